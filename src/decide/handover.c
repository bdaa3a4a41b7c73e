/* Handover: silent calls and their successors. See handover.h. */
#include "handover.h"

/* Callers leave a stream after the longest of these times without an event. */
#define HANDOVER_PATIENCE_MIN_US (2 * CLK_US_PER_S)
#define HANDOVER_PATIENCE_SLO_FACTOR 4
#define HANDOVER_PATIENCE_GAP_FACTOR 8
/* Share of the callers' patience after which a successor is prepared. The rest
   is for its reservation, the prompt and its first event. */
#define HANDOVER_PREPARE_SHARE 0.6
/* But not later than this, as what is silent for so long doesn't go on, or
   than a multiple of the time in which an event is expected. */
#define HANDOVER_PREPARE_US (2 * CLK_US_PER_S)
#define HANDOVER_PREPARE_GAP_FACTOR 7
#define HANDOVER_PREPARE_EXPECTED_FACTOR 3
/* A worker gets no new requests after this multiple of the time in which an
   answer is expected, but not before the minimum. */
#define HANDOVER_QUIET_FACTOR 3
#define HANDOVER_QUIET_MIN_US (300 * CLK_US_PER_MS)
/* A plain call gets a successor after the objective times this ratio, but not
   before the minimum, which is twice the usual duration of a call. */
#define HANDOVER_PLAIN_SLO_RATIO 1.1
#define HANDOVER_PLAIN_MIN_US (60 * CLK_US_PER_MS)

static int64_t get_patience(const HandoverCall *call);
static int64_t min(int64_t a, int64_t b);
static int64_t max(int64_t a, int64_t b);

HandoverLimits
Handover_GetLimits(const HandoverCall *call)
{
    HandoverLimits limits;
    int64_t share_us;
    int64_t usual_us;
    int64_t factor;

    if (call->stage == HANDOVER_PLAIN) {
        limits.prepare_us =
            max((int64_t)((double)call->slo_us * HANDOVER_PLAIN_SLO_RATIO),
                HANDOVER_PLAIN_MIN_US);
        limits.quiet_us = limits.prepare_us;
        return limits;
    }
    share_us = (int64_t)((double)get_patience(call) * HANDOVER_PREPARE_SHARE);
    usual_us =
        call->stage == HANDOVER_EVENTS ? call->gap_us : call->expected_us;
    factor = call->stage == HANDOVER_EVENTS ? HANDOVER_PREPARE_GAP_FACTOR
                                            : HANDOVER_PREPARE_EXPECTED_FACTOR;
    limits.prepare_us =
        min(share_us, max(HANDOVER_PREPARE_US, factor * usual_us));
    limits.quiet_us =
        min(limits.prepare_us,
            max(HANDOVER_QUIET_FACTOR * usual_us, HANDOVER_QUIET_MIN_US));
    return limits;
}

HandoverStep
Handover_Decide(const HandoverState *state)
{
    bool is_taken_over = state->successor == HANDOVER_ACCEPTED ||
                         (state->successor == HANDOVER_SENT &&
                          state->sent_us >= HANDOVER_ACCEPT_MAX_US);

    if (state->has_ended || is_taken_over) {
        return HANDOVER_SWITCH;
    }
    if (state->has_progress) {
        /* Two workers may run it now, until the other one refuses. */
        return state->successor == HANDOVER_SENT ? HANDOVER_WAIT
                                                 : HANDOVER_RETURN;
    }
    return state->successor == HANDOVER_NONE && state->may_repeat &&
                   state->is_limit_passed
               ? HANDOVER_PREPARE
               : HANDOVER_WAIT;
}

/* Returns the time without an event after which callers leave. */
static int64_t
get_patience(const HandoverCall *call)
{
    return max(HANDOVER_PATIENCE_MIN_US,
               max(HANDOVER_PATIENCE_SLO_FACTOR * call->slo_us,
                   HANDOVER_PATIENCE_GAP_FACTOR * call->gap_us));
}

static int64_t
min(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static int64_t
max(int64_t a, int64_t b)
{
    return a > b ? a : b;
}
