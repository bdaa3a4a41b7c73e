/* Pool: how many of a service's workers should read prompts, and how many
   should decode.

   Answers: a mix of prompts and answers that fills one pool while the other
   stands idle, as when long answers hold the decode workers' memory and a
   burst then finds no room. The busier pool bounds what can be served, so
   workers change over until both are equally busy. Decode workers can read
   prompts too, at half the speed, but memory cannot be had elsewhere: so the
   prefill pool may be the busier. A worker that changes is
   lost for some seconds: near full load that costs more than it mends, so
   then only a gross disproportion counts. */
#ifndef LS_POOL_H
#define LS_POOL_H

#include <stdint.h>

#define POOL_PREFILL_WEIGHT 0.75 /* Of its load against the decode pool's. */
#define POOL_LOAD_MIN                                                         \
    0.2 /* Below this load of the busier pool nothing changes.                \
         */
#define POOL_GAIN_MIN                                                         \
    0.1 /* Least part of that load that a change must save. */
#define POOL_LOAD_HIGH                                                        \
    0.6 /* From this load on the part must be POOL_GAIN_MIN_HIGH.             \
         */
#define POOL_GAIN_MIN_HIGH 0.3

typedef struct PoolInput {
    uint32_t prefill; /* Workers of each pool that are at hand. */
    uint32_t decode;
    double prompt_per_us;  /* Prompt tokens that arrive, a microsecond. */
    double prefill_per_us; /* The same that one prefill worker reads. */
    double held;           /* Memory that arriving requests will hold at decode
                              workers, tokens at a time on average. */
    double memory;         /* Memory of one decode worker, tokens. */
} PoolInput;

/* The number of prefill workers that serves the load best. */
uint32_t Pool_GetPrefillTarget(const PoolInput *input);
/* Load of the busier pool with so many prefill workers; 1.0 is full. */
double Pool_GetLoad(const PoolInput *input, uint32_t prefill);

#endif
