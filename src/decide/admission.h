/* Admission (Adm_): decides how long a request waits for worker capacity, and
   which Retry-After a refused caller gets.

   A burst or a fault can leave many requests without capacity at once. A
   request that waits past its latency objective is late anyway and takes
   capacity from one that could still meet its objective. Requests therefore
   wait only while they can meet it, and retries that arrive late poll rarely.
   If all refused callers retried at the same time, they would form the next
   burst, so their retries are spread over the expected duration of the
   cause. */
#ifndef LS_ADMISSION_H
#define LS_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* Time from a worker's acceptance to the first event at the caller: 5,200
   prompt tokens at 55 tokens/ms, 31 ms for the first token, latency between
   regions, and the same again for queueing. */
#define ADM_FIRST_EVENT_US 250000
/* Intervals between polls for capacity. The gate adds a random delay of up to
   one interval. */
#define ADM_POLL_US 30000
#define ADM_POLL_PREFILLED_US 20000 /* KV memory of a read prompt expires. */
#define ADM_POLL_LATE_US 200000     /* Leaves capacity to timely requests. */
/* Callers close a stream that has been silent for four objectives, 3.6 s.
   The time that remains after these waits covers a slow first event. */
#define ADM_WAIT_LATE_US 1500000 /* Retries that arrive late. */
#define ADM_WAIT_MAX_US                                                       \
    2000000 /* Requests with a read prompt or a stream.                       \
             */
/* The time that callers of one route allow varies by 15%. A request with less
   than this share of the route's timeout left is a retry. */
#define ADM_FIRST_TRY_SHARE 0.8

#define ADM_RETRY_SHARE                                                       \
    0.33                    /* Share of their time left that callers wait.    \
                             */
#define ADM_RETRY_MIN_MS 50 /* A round trip between regions and a call. */

/* Why a request is refused. */
typedef enum AdmCause {
    ADM_NO_CONFIG, /* The VM has just started. */
    ADM_NO_WORKER, /* No worker of the service is usable. */
    ADM_FULL,      /* The workers refuse or would be too late. */
    ADM_STOPPING,  /* The VM is shutting down; another one will answer. */
    ADM_FAULT,     /* A call failed before it ran. */
    ADM_TOO_LARGE, /* No worker can ever run the request: no Retry-After. */
    ADM_CAUSE_COUNT,
} AdmCause;

/* A request without capacity. Times are those of the runtime clock. */
typedef struct AdmWait {
    int64_t waiting_since_us;
    int64_t arrived_us;
    int64_t left_us;     /* Caller's time left on arrival; 0 if unknown. */
    int64_t timeout_us;  /* The route's timeout, close to the caller's. */
    int64_t slo_us;      /* Latency objective, from the caller's first try. */
    int64_t deadline_us; /* Earlier of the caller's and the route's. */
    bool is_prefilled;   /* A worker has read the prompt. */
    bool is_streaming;   /* The caller has a part of the answer. */
} AdmWait;

typedef struct AdmWaitPlan {
    int64_t until_us; /* When to refuse the request. */
    int64_t poll_us;  /* Shortest interval between two polls. */
} AdmWaitPlan;

AdmWaitPlan Adm_PlanWait(const AdmWait *wait);

/* Returns the Retry-After in milliseconds, or 0 if a retry can't succeed.
   `left_ms` is the caller's time left, `wait_ms` the expected wait for
   capacity (0 if unknown), and `random_value` spreads the retries. */
uint32_t Adm_GetRetryAfter(AdmCause cause, int64_t left_ms, int64_t wait_ms,
                           uint32_t random_value);

#endif
