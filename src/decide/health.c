/* Health of a worker. See health.h. */
#include "health.h"

#include <math.h>

static void update_fail_rate(HltState *state, double outcome, int64_t now_us);

void
Hlt_NoteSuccess(HltState *state, int64_t now_us)
{
    update_fail_rate(state, 0.0, now_us);
    state->blocked_until_us = 0;
    state->block_us = 0;
}

void
Hlt_NoteFailure(HltState *state, int64_t now_us)
{
    update_fail_rate(state, 1.0, now_us);
}

void
Hlt_NoteUnresponsive(HltState *state, int64_t now_us)
{
    update_fail_rate(state, 1.0, now_us);
    if (now_us < state->blocked_until_us) {
        return; /* The call began before the block: no new evidence. */
    }
    state->block_us =
        state->block_us == 0 ? HLT_BLOCK_MIN_US : 2 * state->block_us;
    if (state->block_us > HLT_BLOCK_MAX_US) {
        state->block_us = HLT_BLOCK_MAX_US;
    }
    state->blocked_until_us = now_us + state->block_us;
}

bool
Hlt_IsBlocked(const HltState *state, int64_t now_us)
{
    return now_us < state->blocked_until_us;
}

double
Hlt_GetFailRate(const HltState *state, int64_t now_us)
{
    int64_t age_us = now_us - state->noted_us;

    return state->fail_rate * exp2(-(double)age_us / HLT_HALF_LIFE_US);
}

int64_t
Hlt_GetCost(const HltState *state, int64_t now_us)
{
    double excess = Hlt_GetFailRate(state, now_us) - HLT_FAIL_RATE_TOLERATED;

    return excess > 0.0 ? (int64_t)(excess * HLT_FAIL_COST_US) : 0;
}

static void
update_fail_rate(HltState *state, double outcome, int64_t now_us)
{
    double rate = Hlt_GetFailRate(state, now_us);

    state->fail_rate = rate + HLT_FAIL_WEIGHT * (outcome - rate);
    state->noted_us = now_us;
}
