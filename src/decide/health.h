/* Health: rates a worker by the outcomes of this VM's own calls.

   It detects workers that fail some of their calls although their health
   check passes, workers that stop responding, and workers that refuse
   connections. Failures lose weight over time and blocks end, so that requests
   find out when a worker has recovered. Each further call without a response
   doubles the time for which the worker is blocked, so that only a few
   requests are lost to an unresponsive worker.

   In a burst that fills all workers while a tenth to a quarter of them fall
   silent, the silent ones look empty: their streams are gone. Each VM would
   then send nearly all its requests to one of them after the other, and wait
   for a time-out each time, until it has found out about each by itself. So a
   worker that several other VMs can't reach is blocked at this VM, too, unless
   it has answered here lately. A few requests try it nevertheless, as the
   other VMs may be cut off from it. */
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
/* Other VMs that can't reach a worker, from which number on it is blocked
   here. A single one may have lost its own link. */
#define HEALTH_PEERS_MIN 2
/* Time after an answer to this VM in which the word of others doesn't count.
 */
#define HEALTH_HEARD_US (1 * CLK_US_PER_S)
/* One in so many choices tries a worker despite the word of others. */
#define HEALTH_PEERS_TRIES 16

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
/* Whether a worker is blocked on the word of other VMs, of which `peers` can't
   reach it. `heard_us` is the time of its last bytes to this VM, or 0, and
   `random_value` decides which choices try it. */
bool Health_IsBlockedByPeers(uint32_t peers, int64_t heard_us,
                             uint32_t random_value, int64_t now_us);
/* Returns the failure rate, 0 to 1, reduced by its age. */
double Health_GetFailRate(const HealthState *state, int64_t now_us);
/* Returns what the risk of a failure adds to a call's cost, microseconds. */
int64_t Health_GetCost(const HealthState *state, int64_t now_us);

#endif
