/* Drain: decides which requests a VM that stops still takes. See drain.h. */
#include "drain.h"

#include <math.h>

/* Weight of a new sample in the moving means. */
#define DRAIN_WEIGHT 0.1

static int64_t
get_answer_time(int64_t grace_us)
{
    int64_t answer_us = grace_us / DRAIN_ANSWER_SHARE;

    return answer_us < DRAIN_ANSWER_US ? answer_us : DRAIN_ANSWER_US;
}

int64_t
Drain_GetEnd(int64_t stop_us, int64_t grace_us)
{
    return stop_us + grace_us - get_answer_time(grace_us);
}

int64_t
Drain_GetExit(int64_t stop_us, int64_t grace_us)
{
    return stop_us + grace_us -
           (int64_t)(DRAIN_EXIT_SHARE * (double)get_answer_time(grace_us));
}

void
Drain_NoteTime(DrainTime *time, int64_t took_us)
{
    double distance_us = (double)took_us - time->mean_us;

    if (time->mean_us == 0) {
        time->mean_us = (double)took_us;
        time->deviation_us = (double)took_us / 2;
        return;
    }
    time->mean_us += DRAIN_WEIGHT * distance_us;
    time->deviation_us +=
        DRAIN_WEIGHT * (fabs(distance_us) - time->deviation_us);
}

bool
Drain_IsTaken(const DrainRequest *request)
{
    double needed_us = (double)request->expected_us;

    if (request->left_us < DRAIN_LEFT_MIN_US) {
        return false;
    }
    if (request->limit_us <= request->left_us) {
        return true; /* It ends by itself in any case. */
    }
    if (request->is_stream && request->is_late) {
        needed_us *= DRAIN_LATE_STREAM_FACTOR;
    }
    else if (request->is_stream) {
        needed_us *= request->is_repeatable ? DRAIN_RESUMABLE_STREAM_FACTOR
                                            : DRAIN_ONCE_STREAM_FACTOR;
    }
    else if (!request->is_repeatable) {
        needed_us += DRAIN_DEVIATIONS * (double)request->deviation_us;
    }
    return needed_us <= (double)request->left_us;
}
