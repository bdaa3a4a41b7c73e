/* Pool: sizes of the prefill and decode pools. See pool.h. */
#include "pool.h"

/* Load if a pool has no workers, or its speed or memory is unknown. */
#define POOL_LOAD_INFINITE 1e9

uint32_t
Pool_GetPrefillTarget(const PoolInput *input)
{
    uint32_t total = input->prefill_workers + input->decode_workers;
    double current = Pool_GetLoad(input, input->prefill_workers);
    double best = current;
    uint32_t target = input->prefill_workers;
    double gain;

    if (input->prefill_workers == 0 || input->decode_workers == 0 ||
        current < POOL_LOAD_MIN) {
        return input->prefill_workers;
    }
    for (uint32_t prefill = 1; prefill < total; prefill++) {
        double load = Pool_GetLoad(input, prefill);
        if (load < best) {
            best = load;
            target = prefill;
        }
    }
    gain = current < POOL_LOAD_HIGH ? POOL_GAIN_MIN : POOL_GAIN_MIN_HIGH;
    return best <= current * (1.0 - gain) ? target : input->prefill_workers;
}

double
Pool_GetLoad(const PoolInput *input, uint32_t prefill)
{
    uint32_t total = input->prefill_workers + input->decode_workers;
    double prefill_load;
    double decode_load;

    if (prefill == 0 || prefill >= total || input->prefill_per_us <= 0 ||
        input->kv_capacity_tokens <= 0) {
        return POOL_LOAD_INFINITE;
    }
    prefill_load = POOL_PREFILL_WEIGHT * input->prompt_per_us /
                   (input->prefill_per_us * prefill);
    decode_load =
        input->kv_tokens / (input->kv_capacity_tokens * (total - prefill));
    return prefill_load > decode_load ? prefill_load : decode_load;
}

uint64_t
Pool_GetNextFence(PoolFence *fence, uint64_t wall_ms)
{
    uint64_t next = wall_ms + fence->ahead_ms;

    fence->last = next > fence->last ? next : fence->last + 1;
    return fence->last;
}

void
Pool_NoteFenceRefused(PoolFence *fence)
{
    fence->ahead_ms *= 2;
    if (fence->ahead_ms < POOL_FENCE_AHEAD_MIN_MS) {
        fence->ahead_ms = POOL_FENCE_AHEAD_MIN_MS;
    }
    if (fence->ahead_ms > POOL_FENCE_AHEAD_MAX_MS) {
        fence->ahead_ms = POOL_FENCE_AHEAD_MAX_MS;
    }
}
