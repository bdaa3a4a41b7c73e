/* Hlt: how far a worker can be trusted, from this VM's own calls.

   Answers: a worker that fails part of its calls while its health check is
   good, one that has fallen silent, one that refuses connections. Evidence
   fades, so that a worker that recovers is found by real requests: a few of
   them, since each new failure doubles the time for which it is left out. */
#ifndef LS_HLT_H
#define LS_HLT_H

#include "../clk.h"

#include <stdbool.h>
#include <stdint.h>

#define HLT_FAIL_WEIGHT 0.2 /* Of one call in the failing share. */
#define HLT_HALF_LIFE_US (3 * CLK_US_PER_S) /* Half-life of the share. */
#define HLT_FAIL_RATE_TOLERATED                                               \
    0.25 /* Share of errors that services may give. */
#define HLT_FAIL_COST_US (2 * CLK_US_PER_S)    /* Of a call sure to fail. */
#define HLT_BLOCK_MIN_US (400 * CLK_US_PER_MS) /* After a first silence. */
#define HLT_BLOCK_MAX_US (4 * CLK_US_PER_S)    /* After a row of them. */

typedef struct HltState {
    double fail_rate; /* At `noted_us`. */
    int64_t noted_us;
    int64_t blocked_until_us;
    int64_t block_us; /* Of the last block. */
} HltState;

void Hlt_NoteSuccess(HltState *state, int64_t now_us);
void Hlt_NoteFailure(HltState *state, int64_t now_us);
/* The worker can't be reached, or has gone silent. */
void Hlt_NoteUnresponsive(HltState *state, int64_t now_us);
bool Hlt_IsBlocked(const HltState *state, int64_t now_us);
double Hlt_GetFailRate(const HltState *state, int64_t now_us);
/* What the risk of a failure adds to the cost of a call, microseconds. */
int64_t Hlt_GetCost(const HltState *state, int64_t now_us);

#endif
