#include "pool.h"

uint32_t
Pool_GetPrefillTarget(const PoolInput *input)
{
    uint32_t total = input->prefill + input->decode;
    double now = Pool_GetLoad(input, input->prefill);
    double best = now;
    uint32_t target = input->prefill;
    double gain;

    if (input->prefill == 0 || input->decode == 0 || now < POOL_LOAD_MIN) {
        return input->prefill;
    }
    for (uint32_t prefill = 1; prefill < total; prefill++) {
        double load = Pool_GetLoad(input, prefill);
        if (load < best) {
            best = load;
            target = prefill;
        }
    }
    gain = now < POOL_LOAD_HIGH ? POOL_GAIN_MIN : POOL_GAIN_MIN_HIGH;
    return best <= now * (1.0 - gain) ? target : input->prefill;
}

double
Pool_GetLoad(const PoolInput *input, uint32_t prefill)
{
    uint32_t total = input->prefill + input->decode;
    double reading;
    double decoding;

    if (prefill == 0 || prefill >= total || input->prefill_per_us <= 0 ||
        input->memory <= 0) {
        return 1e9;
    }
    reading = POOL_PREFILL_WEIGHT * input->prompt_per_us /
              (input->prefill_per_us * prefill);
    decoding = input->held / (input->memory * (total - prefill));
    return reading > decoding ? reading : decoding;
}
