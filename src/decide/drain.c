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

static int64_t
get_longer(int64_t one_us, int64_t other_us)
{
    return one_us > other_us ? one_us : other_us;
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

int64_t
Drain_GetBound(const DrainTime *time, int64_t usual_us)
{
    double mean_us = time->mean_us;

    if (mean_us == 0) {
        mean_us = (double)usual_us;
    }
    return (int64_t)fmax(DRAIN_BOUND_FACTOR * mean_us,
                         mean_us + DRAIN_DEVIATIONS * time->deviation_us);
}

int64_t
Drain_GetCallBound(const DrainTimes *times, int64_t slo_us,
                   int64_t expected_us)
{
    return get_longer(Drain_GetBound(&times->call, slo_us / 2), expected_us);
}

int64_t
Drain_GetStreamBound(const DrainTimes *times, const DrainStream *stream)
{
    int64_t first_us = Drain_GetBound(&times->first, stream->slo_us / 2);
    int64_t interval_us =
        get_longer(Drain_GetBound(&times->interval, DRAIN_DEFAULT_INTERVAL_US),
                   stream->interval_us);

    if (stream->events == 0 ||
        interval_us > DRAIN_UNKNOWN_US / stream->events) {
        return DRAIN_UNKNOWN_US;
    }
    /* Beyond its bound, nothing is known of the rest. */
    if (stream->worked_us < first_us) {
        first_us -= stream->worked_us;
    }
    first_us = get_longer(first_us, stream->expected_us);
    return first_us + stream->gap_us + interval_us * (stream->events - 1);
}

bool
Drain_IsTaken(const DrainRequest *request)
{
    if (request->left_us < DRAIN_LEFT_MIN_US) {
        return false;
    }
    /* It ends by itself in any case, or is sure to be answered. */
    return request->limit_us <= request->left_us ||
           request->needed_us <= request->left_us;
}
