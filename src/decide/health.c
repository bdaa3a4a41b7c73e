/* Health: failure rate and blocks of a worker. See health.h. */
#include "health.h"

#include <math.h>

static void update_fail_rate(HealthState *state, double outcome,
                             int64_t now_us);

void
Health_NoteSuccess(HealthState *state, int64_t now_us)
{
    update_fail_rate(state, 0.0, now_us);
    state->blocked_until_us = 0;
    state->block_us = 0;
}

void
Health_NoteFailure(HealthState *state, int64_t now_us)
{
    update_fail_rate(state, 1.0, now_us);
}

void
Health_NoteUnresponsive(HealthState *state, int64_t now_us)
{
    update_fail_rate(state, 1.0, now_us);
    if (now_us < state->blocked_until_us) {
        return; /* The call began before the block: no new evidence. */
    }
    state->block_us =
        state->block_us == 0 ? HEALTH_BLOCK_MIN_US : 2 * state->block_us;
    if (state->block_us > HEALTH_BLOCK_MAX_US) {
        state->block_us = HEALTH_BLOCK_MAX_US;
    }
    state->blocked_until_us = now_us + state->block_us;
}

bool
Health_IsBlocked(const HealthState *state, int64_t now_us)
{
    return now_us < state->blocked_until_us;
}

bool
Health_IsBlockedByPeers(uint32_t peers, int64_t heard_us,
                        uint32_t random_value, int64_t now_us)
{
    bool is_heard = heard_us != 0 && now_us - heard_us < HEALTH_HEARD_US;

    return peers >= HEALTH_PEERS_MIN && !is_heard &&
           random_value % HEALTH_PEERS_TRIES != 0;
}

double
Health_GetFailRate(const HealthState *state, int64_t now_us)
{
    int64_t age_us = now_us - state->noted_us;

    return state->fail_rate * exp2(-(double)age_us / HEALTH_HALF_LIFE_US);
}

int64_t
Health_GetCost(const HealthState *state, int64_t now_us)
{
    double excess =
        Health_GetFailRate(state, now_us) - HEALTH_FAIL_RATE_TOLERATED;

    return excess > 0.0 ? (int64_t)(excess * HEALTH_FAIL_COST_US) : 0;
}

static void
update_fail_rate(HealthState *state, double outcome, int64_t now_us)
{
    double rate = Health_GetFailRate(state, now_us);

    state->fail_rate = rate + HEALTH_FAIL_WEIGHT * (outcome - rate);
    state->noted_us = now_us;
}
