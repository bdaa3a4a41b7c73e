/* Rank: what a worker would cost a request, in one unit: microseconds until
   the first byte of the answer, with everything else that the operator pays
   for turned into microseconds by the weights below.

   Answers: a burst of twice the usual traffic on some regions while workers
   are lost or slow. Work then moves to another region's workers, or to
   workers of the other phase, once waiting costs more than the way there. */
#ifndef LS_RANK_H
#define LS_RANK_H

#include <stdbool.h>
#include <stdint.h>

/* Cost of what must not be chosen. */
#define RANK_UNUSABLE_US (INT64_MAX / 4)

typedef enum RankDistance {
    RANK_SAME_ZONE,    /* The same availability zone. */
    RANK_SAME_REGION,  /* The same region. */
    RANK_OTHER_REGION, /* Another region. */
    RANK_DISTANCE_COUNT,
} RankDistance;

/* Weights; a deployment may set others. */
typedef struct RankWeights {
    int64_t rtt_us[RANK_DISTANCE_COUNT];     /* Round trip. */
    int64_t traffic_us[RANK_DISTANCE_COUNT]; /* Price of a call's bytes. */
    int64_t
        kv_transfer_us[RANK_DISTANCE_COUNT]; /* Price and time of moving a
                                     prompt's KV memory between two workers. */
    double prefill_per_us; /* Prompt tokens that a prefill worker reads. */
    double local_prefill_per_us; /* The same of a decode worker. */
    int64_t local_prefill_us; /* Price of slowing a decode worker's streams. */
    int64_t lapsed_us;        /* Added for a worker whose entry has lapsed. */
    int64_t default_service_us; /* Time of a call whose mean is not known. */
} RankWeights;

/* What is known of a worker; loads are the sums of all VMs' known calls. */
typedef struct RankWorker {
    RankDistance distance;
    bool lapsed;
    uint32_t slots;
    uint32_t running;  /* Calls at the worker, waiting ones too. */
    uint64_t reading;  /* Prompt tokens waiting to be read there. */
    uint64_t held;     /* KV memory in use, tokens. */
    uint64_t memory;   /* KV memory, tokens; 0 if it has none. */
    double service_us; /* Mean time of a call; 0 if unknown. */
    double slowness;   /* 1.0 is the usual speed. */
    int64_t health_us; /* Cost of the risk of failure. */
} RankWorker;

RankWeights Rank_DefaultWeights(void);
/* Cost of a plain call. */
int64_t Rank_GetCallCost(const RankWeights *weights, const RankWorker *worker);
/* Cost of reading a prompt at a prefill worker. */
int64_t Rank_GetPrefillCost(const RankWeights *weights,
                            const RankWorker *worker, uint32_t tokens);
/* Cost of going on at a decode worker, `move` from where it was read. */
int64_t Rank_GetDecodeCost(const RankWeights *weights,
                           const RankWorker *worker, RankDistance move,
                           uint32_t tokens);
/* Cost of the whole request at a decode worker. */
int64_t Rank_GetLocalPrefillCost(const RankWeights *weights,
                                 const RankWorker *worker, uint32_t tokens);

#endif
