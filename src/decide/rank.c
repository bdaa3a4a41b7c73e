/* Rank: cost of a request at a worker. See rank.h. */
#include "rank.h"

/* Cost of a call that must wait for a slot, in addition to the wait. */
#define RANK_QUEUED_US 20000
/* Cost of a worker without free KV memory: it refuses the request or preempts
   another one. */
#define RANK_MEMORY_FULL_US 2000000
/* The known memory use lags behind. Above this share, the risk that the memory
   is full by now costs up to RANK_MEMORY_RISK_MAX_US. */
#define RANK_MEMORY_RISK_SHARE 0.4
#define RANK_MEMORY_RISK_MAX_US 250000
/* A pause below this share of what is allowed has no price. Above it, another
   VM that reads a prompt at the same worker at the same moment makes it too
   long, which is the more likely the longer it is. */
#define RANK_PAUSE_SHARE_FREE 0.5
/* Events of a stream for which the price of a slower worker counts: they come
   later by this many intervals, and its memory is held for longer. */
#define RANK_STEP_EVENTS 2
/* Cost per running call; spreads calls over otherwise equal workers. */
#define RANK_RUNNING_US 300

static int64_t get_base_cost(const RankWeights *weights,
                             const RankWorker *worker);
static int64_t get_step_cost(const RankWorker *worker);
static int64_t get_memory_cost(const RankWorker *worker);
static int64_t get_prefill_us(const RankWorker *worker, uint32_t tokens,
                              double per_us);

/* The round-trip times stand for one-way latencies of 0.2 ms in a zone, 0.9 ms
   between zones and 8 ms between regions. The prefill speeds are the nominal
   ones of the engines; each worker's slowness corrects them. Traffic and KV
   transfers are priced so that a call to another region costs less than an
   answer that is a second late, and more than waiting for one other call. A
   paused stream is late, too, so a few of them are worth a wait for a prefill
   worker that takes most of the time to the first event. */
RankWeights
Rank_DefaultWeights(void)
{
    RankWeights weights = {
        .rtt_us = {400, 2000, 17000},
        .traffic_us = {0, 4000, 30000},
        .kv_transfer_us = {0, 10000, 60000},
        .prefill_per_us = 0.0555,
        .local_prefill_per_us = 0.0277,
        .paused_stream_us = 150000,
        .paused_max_us = 400000,
        .unlisted_us = 200000,
        .default_service_us = 30000,
    };
    return weights;
}

int64_t
Rank_GetCallCost(const RankWeights *weights, const RankWorker *worker)
{
    int64_t wait_us = Rank_GetCallWait(weights, worker);

    return get_base_cost(weights, worker) + Rank_GetCallTime(weights, worker) +
           (wait_us > 0 ? RANK_QUEUED_US + wait_us : 0);
}

int64_t
Rank_GetCallWait(const RankWeights *weights, const RankWorker *worker)
{
    uint32_t slots = worker->slots > 0 ? worker->slots : 1;

    if (worker->running < slots) {
        return 0;
    }
    return (int64_t)((double)(worker->running - slots + 1) / slots *
                     (double)Rank_GetCallTime(weights, worker));
}

int64_t
Rank_GetCallTime(const RankWeights *weights, const RankWorker *worker)
{
    return worker->service_us > 0 ? (int64_t)worker->service_us
                                  : weights->default_service_us;
}

int64_t
Rank_GetPrefillCost(const RankWeights *weights, const RankWorker *worker,
                    uint32_t tokens)
{
    return get_base_cost(weights, worker) +
           get_prefill_us(worker, tokens, weights->prefill_per_us) +
           get_memory_cost(worker);
}

int64_t
Rank_GetDecodeCost(const RankWeights *weights, const RankWorker *worker,
                   RankDistance kv_distance)
{
    return get_base_cost(weights, worker) +
           weights->kv_transfer_us[kv_distance] + get_memory_cost(worker) +
           get_step_cost(worker) +
           get_prefill_us(worker, 0, weights->local_prefill_per_us);
}

int64_t
Rank_GetPauseCost(const RankWeights *weights, const RankWorker *worker,
                  uint32_t tokens)
{
    int64_t pause_us =
        worker->event_interval_us +
        get_prefill_us(worker, tokens, weights->local_prefill_per_us);
    int64_t all_us = worker->running * weights->paused_stream_us;
    double share;

    if (worker->pause_max_us == 0) {
        return 0;
    }
    if (all_us > weights->paused_max_us) {
        all_us = weights->paused_max_us;
    }
    share = (double)pause_us / (double)worker->pause_max_us;
    if (share >= 1) {
        return all_us;
    }
    share = (share - RANK_PAUSE_SHARE_FREE) / (1 - RANK_PAUSE_SHARE_FREE);
    return share > 0 ? (int64_t)(share * share * (double)all_us) : 0;
}

int64_t
Rank_GetLocalPrefillCost(const RankWeights *weights, const RankWorker *worker,
                         uint32_t tokens)
{
    return get_base_cost(weights, worker) +
           get_prefill_us(worker, tokens, weights->local_prefill_per_us) +
           get_memory_cost(worker) + get_step_cost(worker);
}

static int64_t
get_base_cost(const RankWeights *weights, const RankWorker *worker)
{
    return weights->rtt_us[worker->distance] +
           weights->traffic_us[worker->distance] + worker->health_us +
           (worker->is_unlisted ? weights->unlisted_us : 0) +
           (int64_t)worker->running * RANK_RUNNING_US;
}

/* Returns the price of decoding at another pace than the mean one, and of
   requests beyond the worker's limit. */
static int64_t
get_step_cost(const RankWorker *worker)
{
    int64_t cost_us = 0;

    if (worker->step_pace > 0) {
        cost_us = (int64_t)((worker->step_pace - 1) * RANK_STEP_EVENTS *
                            (double)worker->event_interval_us);
    }
    if (worker->limit > 0 && worker->running >= worker->limit) {
        cost_us += (int64_t)((worker->running + 1.0) / worker->limit *
                             RANK_MEMORY_FULL_US);
    }
    return cost_us;
}

static int64_t
get_memory_cost(const RankWorker *worker)
{
    double share;

    if (worker->kv_capacity_tokens == 0) {
        return 0;
    }
    share =
        (double)worker->kv_peak_tokens / (double)worker->kv_capacity_tokens;
    if (share > 1.0) {
        return (int64_t)(share * RANK_MEMORY_FULL_US);
    }
    if (share <= RANK_MEMORY_RISK_SHARE) {
        return 0;
    }
    share = (share - RANK_MEMORY_RISK_SHARE) / (1.0 - RANK_MEMORY_RISK_SHARE);
    return (int64_t)(share * RANK_MEMORY_RISK_MAX_US);
}

static int64_t
get_prefill_us(const RankWorker *worker, uint32_t tokens, double per_us)
{
    double slowness = worker->slowness > 0 ? worker->slowness : 1.0;

    return (int64_t)((double)(worker->prefill_tokens + tokens) / per_us *
                     slowness);
}
