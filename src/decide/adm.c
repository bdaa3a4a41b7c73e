#include "adm.h"

#define ADM_TICKETS 1024

/* From when to when the returns are spread, milliseconds. */
typedef struct AdmSpread {
    uint32_t from_ms;
    uint32_t width_ms;
} AdmSpread;

static const AdmSpread spreads[ADM_CAUSE_COUNT] = {
    [ADM_NO_CONFIG] = {200, 300}, /* A read of the configuration. */
    [ADM_NO_WORKER] = {300, 700}, /* A worker's restart, a block's end. */
    [ADM_FULL] = {1500, 2000},    /* Half a stream's time, to all of it. */
    [ADM_STOPPING] = {50, 50},    [ADM_FAULT] = {50, 150},
};

AdmTurn
Adm_GetTurn(const AdmWait *wait)
{
    int64_t half_us = (wait->waiting_us + wait->deadline_us) / 2;
    int64_t spare_us = wait->slo_us - ADM_FIRST_US;
    bool is_back =
        wait->left_us > 0 &&
        (double)wait->left_us < ADM_NEW_SHARE * (double)wait->timeout_us;
    AdmTurn turn = {.pause_us = ADM_PAUSE_US};

    if (wait->is_read || wait->is_begun) {
        turn.until_us = wait->waiting_us + ADM_WAIT_MAX_US;
        turn.pause_us = wait->is_read ? ADM_PAUSE_READ_US : ADM_PAUSE_US;
    }
    else if (!is_back) {
        /* Under a short objective, what time there is is shared. */
        turn.until_us =
            wait->arrived_us +
            (spare_us > wait->slo_us / 2 ? spare_us : wait->slo_us / 2);
    }
    else {
        turn.until_us = wait->waiting_us + ADM_WAIT_LATE_US;
        turn.pause_us = ADM_PAUSE_LATE_US;
    }
    if (turn.until_us > half_us) {
        turn.until_us = half_us;
    }
    return turn;
}

uint32_t
Adm_GetRetryAfter(AdmCause cause, int64_t left_ms, int64_t wait_ms,
                  uint32_t ticket)
{
    const AdmSpread *spread = &spreads[cause];
    int64_t limit_ms = (int64_t)((double)left_ms * ADM_LEFT_SHARE);
    int64_t after_ms =
        spread->from_ms + wait_ms +
        (int64_t)spread->width_ms * (ticket % ADM_TICKETS) / ADM_TICKETS;

    if (cause == ADM_NEVER) {
        return 0;
    }
    if (after_ms > limit_ms) {
        after_ms = limit_ms;
    }
    return after_ms < ADM_RETRY_MIN_MS ? ADM_RETRY_MIN_MS : (uint32_t)after_ms;
}
