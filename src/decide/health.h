/* Health: rates a worker by the outcomes of this VM's own calls.

   It detects workers that fail some of their calls although their health
   check passes, workers that stop responding, and workers that refuse
   connections. Failures lose weight over time and blocks end, so that requests
   find out when a worker has recovered. Each further call without a response
   doubles the time for which the worker is blocked, so that only a few
   requests are lost to an unresponsive worker. */
#ifndef LS_HEALTH_H
#define LS_HEALTH_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Weight of one call in the failure rate. */
#define HEALTH_FAIL_WEIGHT 0.2
/* Half-life of the failure rate while no call ends. */
#define HEALTH_HALF_LIFE_US (3 * CLK_US_PER_S)
/* Failure rate that a healthy service may have. */
#define HEALTH_FAIL_RATE_TOLERATED 0.25
/* Cost of a call that is certain to fail. */
#define HEALTH_FAIL_COST_US (2 * CLK_US_PER_S)
/* Shortest and longest time for which an unresponsive worker is blocked. */
#define HEALTH_BLOCK_MIN_US (400 * CLK_US_PER_MS)
#define HEALTH_BLOCK_MAX_US (4 * CLK_US_PER_S)

typedef struct HealthState {
    double fail_rate; /* Moving mean of failed calls, as of `noted_us`. */
    int64_t noted_us;
    int64_t blocked_until_us;
    int64_t block_us; /* Length of the last block; 0 after a success. */
} HealthState;

void Health_NoteSuccess(HealthState *state, int64_t now_us);
void Health_NoteFailure(HealthState *state, int64_t now_us);
/* Counts a failure and blocks a worker that can't be reached or has not
   responded in time. While the worker is blocked, only counts the failure. */
void Health_NoteUnresponsive(HealthState *state, int64_t now_us);
bool Health_IsBlocked(const HealthState *state, int64_t now_us);
/* Returns the failure rate, 0 to 1, reduced by its age. */
double Health_GetFailRate(const HealthState *state, int64_t now_us);
/* Returns what the risk of a failure adds to a call's cost, microseconds. */
int64_t Health_GetCost(const HealthState *state, int64_t now_us);

#endif
