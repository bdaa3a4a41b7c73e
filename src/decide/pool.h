/* Pool: decides how many workers of a service prefill prompts and how many
   decode.

   The mix of prompts and answers can fill one pool while the other one is
   idle: long answers occupy the decode workers' memory, and the next burst
   finds no capacity. The busier pool limits the throughput, so workers change
   their phase until both pools are equally busy. Decode workers can also read
   prompts, at half the speed, whereas KV memory for decoding exists on decode
   workers only; the prefill pool may therefore be the busier one. A worker
   that changes its phase is unavailable for some seconds. Near full load that
   costs more than a small correction saves, so the threshold is higher. */
#ifndef LS_POOL_H
#define LS_POOL_H

#include <stdint.h>

/* Weight of the prefill pool's load against the decode pool's. */
#define POOL_PREFILL_WEIGHT 0.75
/* Below this load of the busier pool no worker changes its phase. */
#define POOL_LOAD_MIN 0.2
/* Smallest share of that load that a change must save: POOL_GAIN_MIN_HIGH from
   a load of POOL_LOAD_HIGH on, and POOL_GAIN_MIN below it. */
#define POOL_GAIN_MIN 0.1
#define POOL_LOAD_HIGH 0.6
#define POOL_GAIN_MIN_HIGH 0.3

typedef struct PoolInput {
    uint32_t prefill_workers; /* Available prefill workers. */
    uint32_t decode_workers;  /* Available decode workers. */
    double prompt_per_us;     /* Prompt tokens that arrive per microsecond. */
    double prefill_per_us; /* Prompt tokens/us that a prefill worker reads. */
    /* KV memory that arriving requests will occupy on decode workers, mean
       number of tokens. */
    double kv_tokens;
    double kv_capacity_tokens; /* KV memory of one decode worker, tokens. */
} PoolInput;

/* Returns the number of prefill workers that serves the load best, or the
   current number if no change is worth its cost. */
uint32_t Pool_GetPrefillTarget(const PoolInput *input);
/* Returns the load of the busier pool if `prefill` of all workers are prefill
   workers. 1.0 is full; the load is very large if a pool would be empty or if
   the prefill speed or the KV memory is unknown (0). */
double Pool_GetLoad(const PoolInput *input, uint32_t prefill);

/* Fence numbers of the orders of one home. A worker refuses an order with a
   lower number than one it has seen, so that an earlier home can't interfere.
   The numbers follow the wall clock, which a VM may have wrong by up to an
   hour after a step: a home that is refused goes ahead of it. */
#define POOL_FENCE_AHEAD_MIN_MS (3600ULL * 1000)
#define POOL_FENCE_AHEAD_MAX_MS (24 * POOL_FENCE_AHEAD_MIN_MS)

typedef struct PoolFence {
    uint64_t last;     /* Number of the last order; 0 for none. */
    uint64_t ahead_ms; /* How far numbers are ahead of the wall clock. */
} PoolFence;

/* Returns the number of the next order, which is above all before it. */
uint64_t Pool_GetNextFence(PoolFence *fence, uint64_t wall_ms);
/* A worker has refused a number as too low. */
void Pool_NoteFenceRefused(PoolFence *fence);

#endif
