/* Admission: waits for capacity and Retry-After. See admission.h. */
#include "admission.h"

#define ADM_RANDOM_STEPS 1024 /* Steps over the width of a delay range. */

/* Retries are spread evenly over [from_ms, from_ms + width_ms). */
typedef struct AdmDelayRange {
    uint32_t from_ms;
    uint32_t width_ms;
} AdmDelayRange;

static const AdmDelayRange retry_delays[ADM_CAUSE_COUNT] = {
    [ADM_NO_CONFIG] = {200, 300}, /* Time to read the configuration. */
    [ADM_NO_WORKER] = {300, 700}, /* Worker restart or end of a block. */
    [ADM_FULL] = {1500, 2000},    /* 0.5 to 1 stream duration. */
    [ADM_STOPPING] = {50, 50},    [ADM_FAULT] = {50, 150},
};

AdmWaitPlan
Adm_PlanWait(const AdmWait *wait)
{
    int64_t half_us = (wait->waiting_since_us + wait->deadline_us) / 2;
    int64_t spare_us = wait->slo_us - ADM_FIRST_EVENT_US;
    bool is_retry =
        wait->left_us > 0 &&
        (double)wait->left_us < ADM_FIRST_TRY_SHARE * (double)wait->timeout_us;
    AdmWaitPlan wait_plan = {.poll_us = ADM_POLL_US};

    if (wait->is_prefilled || wait->is_streaming) {
        wait_plan.until_us = wait->waiting_since_us + ADM_WAIT_MAX_US;
        wait_plan.poll_us =
            wait->is_prefilled ? ADM_POLL_PREFILLED_US : ADM_POLL_US;
    }
    else if (!is_retry) {
        /* A short objective leaves half of its time for the wait. */
        wait_plan.until_us =
            wait->arrived_us +
            (spare_us > wait->slo_us / 2 ? spare_us : wait->slo_us / 2);
    }
    else {
        wait_plan.until_us = wait->waiting_since_us + ADM_WAIT_LATE_US;
        wait_plan.poll_us = ADM_POLL_LATE_US;
    }
    /* A request waits for at most half of its time left. */
    if (wait_plan.until_us > half_us) {
        wait_plan.until_us = half_us;
    }
    return wait_plan;
}

uint32_t
Adm_GetRetryAfter(AdmCause cause, int64_t left_ms, int64_t wait_ms,
                  uint32_t random_value)
{
    const AdmDelayRange *range = &retry_delays[cause];
    int64_t limit_ms = (int64_t)((double)left_ms * ADM_RETRY_SHARE);
    int64_t after_ms = range->from_ms + wait_ms +
                       (int64_t)range->width_ms *
                           (random_value % ADM_RANDOM_STEPS) /
                           ADM_RANDOM_STEPS;

    if (cause == ADM_TOO_LARGE) {
        return 0;
    }
    if (after_ms > limit_ms) {
        after_ms = limit_ms;
    }
    return after_ms < ADM_RETRY_MIN_MS ? ADM_RETRY_MIN_MS : (uint32_t)after_ms;
}
