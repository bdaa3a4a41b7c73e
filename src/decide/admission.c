/* Admission: waits for capacity and Retry-After. See admission.h. */
#include "admission.h"

/* Requests that may wait at a VM: at the start and at most, the change after a
   wait that ended in time, and the factor after one that did not. */
#define ADMISSION_QUEUE_START 8
#define ADMISSION_QUEUE_MAX 256
#define ADMISSION_QUEUE_STEP 0.5
#define ADMISSION_QUEUE_FACTOR 0.8
/* Requests by which the time left of first tries becomes known, if they have
   more and if they have less. */
#define ADMISSION_FIRST_LEFT_RISE 100
#define ADMISSION_FIRST_LEFT_FALL 1000
/* Steps over the width of a delay range. */
#define ADMISSION_RANDOM_STEPS 1024

/* Retries are spread evenly over [from_ms, from_ms + width_ms). */
typedef struct AdmissionDelayRange {
    uint32_t from_ms;
    uint32_t width_ms;
} AdmissionDelayRange;

static const AdmissionDelayRange retry_delays[ADMISSION_CAUSE_COUNT] = {
    [ADMISSION_NO_CONFIG] = {200, 300}, /* Time to read the configuration. */
    [ADMISSION_NO_WORKER] = {300, 700}, /* Worker restart or end of a block. */
    [ADMISSION_FULL] = {1500, 2000}, /* 0.5 to 1 times a stream's duration. */
    [ADMISSION_STOPPING] = {50, 50},
    [ADMISSION_FAULT] = {50, 150},
    [ADMISSION_PAUSED] = {50, 150},
    [ADMISSION_BLOCKED] = {50, 150},
    /* Until another VM was asked once more. */
    [ADMISSION_NO_LEASE] = {300, 700},
    /* The others of the account come meanwhile, too: the later the better. */
    [ADMISSION_CAPPED] = {500, 4000},
};

static int64_t get_leave_us(int64_t slo_us);

void
Admission_InitQueue(AdmissionQueue *queue)
{
    queue->waiting = 0;
    queue->limit = ADMISSION_QUEUE_START;
}

bool
Admission_BeginWait(AdmissionQueue *queue)
{
    if (queue->waiting >= queue->limit) {
        return false;
    }
    queue->waiting++;
    return true;
}

void
Admission_EndWait(AdmissionQueue *queue, AdmissionWaitEnd end)
{
    queue->waiting--;
    if (end == ADMISSION_WAIT_SERVED) {
        queue->limit += ADMISSION_QUEUE_STEP;
    }
    else if (end == ADMISSION_WAIT_OVER) {
        queue->limit *= ADMISSION_QUEUE_FACTOR;
    }
    queue->limit = queue->limit < 1 ? 1 : queue->limit;
    queue->limit = queue->limit > ADMISSION_QUEUE_MAX ? ADMISSION_QUEUE_MAX
                                                      : queue->limit;
}

bool
Admission_IsInTime(int64_t wait_us, int64_t call_us, int64_t rtt_us,
                   int64_t slo_us, int64_t late_queue_us)
{
    if (wait_us == 0 || slo_us == 0) {
        return true;
    }
    return late_queue_us != ADMISSION_TIMELY
               ? wait_us <= late_queue_us
               : wait_us + ADMISSION_CALL_FACTOR * call_us + rtt_us <= slo_us;
}

bool
Admission_IsRetry(int64_t left_ms, int64_t first_left_ms)
{
    return left_ms > 0 &&
           (double)left_ms < ADMISSION_FIRST_TRY_SHARE * (double)first_left_ms;
}

int64_t
Admission_UpdateFirstLeft(int64_t first_left_ms, int64_t left_ms)
{
    int64_t change_ms = left_ms - first_left_ms;

    if (first_left_ms == 0) {
        return left_ms;
    }
    return change_ms >= 0
               ? first_left_ms + change_ms / ADMISSION_FIRST_LEFT_RISE
               : first_left_ms + change_ms / ADMISSION_FIRST_LEFT_FALL - 1;
}

AdmissionWaitPlan
Admission_PlanWait(const AdmissionWait *wait)
{
    int64_t limit_us = (wait->waiting_since_us + wait->deadline_us) / 2;
    int64_t spare_us = wait->slo_us - ADMISSION_FIRST_EVENT_US;
    bool is_retry = wait->left_us > 0 &&
                    (double)wait->left_us <
                        ADMISSION_FIRST_TRY_SHARE * (double)wait->timeout_us;
    AdmissionWaitPlan wait_plan = {.poll_us = ADMISSION_POLL_US};

    if (wait->is_streaming) {
        /* The caller has a part of its answer, and leaves by itself. */
        wait_plan.until_us = wait->deadline_us;
        wait_plan.poll_us = wait->is_prefilled || wait->is_resumed
                                ? ADMISSION_POLL_PREFILLED_US
                                : ADMISSION_POLL_US;
        return wait_plan;
    }
    if (wait->is_resumed) {
        wait_plan.until_us = wait->arrived_us + get_leave_us(wait->slo_us) -
                             2 * ADMISSION_FIRST_EVENT_US;
        wait_plan.poll_us = ADMISSION_POLL_PREFILLED_US;
    }
    else if (wait->is_prefilled) {
        wait_plan.until_us = wait->waiting_since_us + ADMISSION_WAIT_MAX_US;
        wait_plan.poll_us = ADMISSION_POLL_PREFILLED_US;
    }
    else if (!is_retry) {
        /* A short objective leaves half of its time for the wait. */
        wait_plan.until_us =
            wait->arrived_us +
            (spare_us > wait->slo_us / 2 ? spare_us : wait->slo_us / 2);
    }
    else {
        wait_plan.until_us = wait->waiting_since_us + ADMISSION_WAIT_LATE_US;
        wait_plan.poll_us = ADMISSION_POLL_LATE_US;
    }
    /* A request waits for at most half of its time left. */
    if (wait_plan.until_us > limit_us) {
        wait_plan.until_us = limit_us;
    }
    return wait_plan;
}

/* Returns the time after which a caller closes a silent stream. */
static int64_t
get_leave_us(int64_t slo_us)
{
    int64_t leave_us = ADMISSION_LEAVE_SLOS * slo_us;

    return leave_us > ADMISSION_LEAVE_MIN_US ? leave_us
                                             : ADMISSION_LEAVE_MIN_US;
}

uint32_t
Admission_GetRetryAfter(AdmissionCause cause, int64_t left_ms, int64_t wait_ms,
                        uint32_t random_value)
{
    const AdmissionDelayRange *range = &retry_delays[cause];
    int64_t limit_ms = (int64_t)((double)left_ms * ADMISSION_RETRY_SHARE);
    int64_t after_ms = range->from_ms + wait_ms +
                       (int64_t)range->width_ms *
                           (random_value % ADMISSION_RANDOM_STEPS) /
                           ADMISSION_RANDOM_STEPS;

    if (cause == ADMISSION_TOO_LARGE) {
        return 0;
    }
    if (cause == ADMISSION_CAPPED && after_ms > limit_ms / 2) {
        /* Most are above the limit, and all of them would come back after the
           same time. */
        int64_t width_ms = range->width_ms < limit_ms - limit_ms / 2
                               ? range->width_ms
                               : limit_ms - limit_ms / 2;
        after_ms = limit_ms - width_ms *
                                  (random_value % ADMISSION_RANDOM_STEPS) /
                                  ADMISSION_RANDOM_STEPS;
    }
    else if (after_ms > limit_ms && cause != ADMISSION_PAUSED &&
             cause != ADMISSION_BLOCKED) {
        after_ms = limit_ms;
    }
    return after_ms < ADMISSION_RETRY_MIN_MS ? ADMISSION_RETRY_MIN_MS
                                             : (uint32_t)after_ms;
}
