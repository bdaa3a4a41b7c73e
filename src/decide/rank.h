/* Rank: estimates what a request costs at a worker, in microseconds until the
   first byte of the answer. The weights convert other costs, such as traffic
   between regions, to microseconds.

   During a burst of twice the usual traffic in some regions, with workers lost
   or slow, work moves to workers of another region or of the other phase as
   soon as waiting costs more than the network latency to them.

   In the same burst prompts are read at decode workers, too. That holds up all
   streams there: on engines with short steps an event has many tokens, and the
   pieces of a long prompt come between the steps of one event. */
#ifndef LS_RANK_H
#define LS_RANK_H

#include <stdbool.h>
#include <stdint.h>

/* Cost of a worker that must not be chosen. */
#define RANK_UNUSABLE_US (INT64_MAX / 4)

/* Network distance of a worker. */
typedef enum RankDistance {
    RANK_SAME_ZONE, /* Same availability zone. */
    RANK_SAME_REGION,
    RANK_OTHER_REGION,
    RANK_DISTANCE_COUNT,
} RankDistance;

/* Weights of the costs. Deployments may set their own. */
typedef struct RankWeights {
    int64_t rtt_us[RANK_DISTANCE_COUNT];     /* Round-trip time. */
    int64_t traffic_us[RANK_DISTANCE_COUNT]; /* Price of a call's bytes. */
    /* Price and duration of the transfer of a prompt's KV memory. */
    int64_t kv_transfer_us[RANK_DISTANCE_COUNT];
    double prefill_per_us; /* Prompt tokens/us that a prefill worker reads. */
    double local_prefill_per_us; /* Prompt tokens/us at a decode worker. */
    int64_t paused_stream_us;   /* Price of a stream whose pause is longer than
                                   its route allows. */
    int64_t paused_max_us;      /* Price of all such streams of a worker. */
    int64_t unlisted_us;        /* Added if RankWorker.is_unlisted is set. */
    int64_t default_service_us; /* Used while the mean call time is unknown. */
} RankWeights;

/* State of a worker. Loads are sums over the known calls of all VMs. */
typedef struct RankWorker {
    RankDistance distance;
    bool is_unlisted; /* The worker's entry is no longer in the source. */
    uint32_t slots;   /* Calls that the worker can run at the same time. */
    uint32_t running; /* Calls at the worker, with those that wait there. */
    /* Prompt tokens that the worker has yet to read. */
    uint64_t prefill_tokens;
    /* KV memory: highest expected use with the request, tokens. */
    uint64_t kv_peak_tokens;
    bool has_kv_load;            /* Other requests use the KV memory, too. */
    uint64_t kv_capacity_tokens; /* KV memory, tokens; 0 if it has none. */
    double service_us;           /* Mean time of a call; 0 if unknown. */
    /* Prefill time relative to that at the nominal speed, 1.0 as usual; 0
       counts as 1.0. */
    double slowness;
    double step_pace;  /* Time of a step relative to the mean of the service's
                          workers; 0: unknown, or all are alike. */
    uint32_t limit;    /* Requests beyond which the worker counts as full; 0:
                          none. */
    int64_t health_us; /* Cost of the risk of failure. */
    int64_t event_interval_us; /* Usual time between events of its streams. */
    int64_t pause_max_us;      /* Longest time that is allowed; 0: any. */
} RankWorker;

RankWeights Rank_DefaultWeights(void);

/* Each of the following functions returns the cost of the named work at a
   worker, in microseconds. */

/* Plain call. */
int64_t Rank_GetCallCost(const RankWeights *weights, const RankWorker *worker);
/* Return how long a plain call waits for a slot, and how long it then takes
   there, microseconds. */
int64_t Rank_GetCallWait(const RankWeights *weights, const RankWorker *worker);
int64_t Rank_GetCallTime(const RankWeights *weights, const RankWorker *worker);
/* Prefill of a prompt of `tokens` at a prefill worker. */
int64_t Rank_GetPrefillCost(const RankWeights *weights,
                            const RankWorker *worker, uint32_t tokens);
/* Decoding at a decode worker at the distance `kv_distance` from the prefill
   worker that read the prompt. */
int64_t Rank_GetDecodeCost(const RankWeights *weights,
                           const RankWorker *worker, RankDistance kv_distance);
/* Price of the pauses that reading a prompt of `tokens` at a decode worker
   causes to its streams. */
int64_t Rank_GetPauseCost(const RankWeights *weights, const RankWorker *worker,
                          uint32_t tokens);
/* Prefill and decoding at the same decode worker, without that price. */
int64_t Rank_GetLocalPrefillCost(const RankWeights *weights,
                                 const RankWorker *worker, uint32_t tokens);

#endif
