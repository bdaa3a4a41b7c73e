/* Admission: decides how long a request waits for worker capacity, and which
   Retry-After a refused caller gets.

   A burst or a fault can leave many requests without capacity at once. A
   request that waits past its latency objective is late anyway and takes
   capacity from one that could still meet its objective. Requests therefore
   wait only while they can meet it, and retries that arrive late poll rarely.
   Under lasting overload most of them would wait in vain, so a VM lets only as
   many wait as are served, and refuses the others at once.
   The same holds for the queues of workers: once they are longer than the
   objective allows, each call waits that long first, and all are answered late
   at full load. So a call joins a queue only while it can be answered in time.
   A caller that resumes a stream has less time left than at its first try, but
   is no late retry: it waits for the rest of an answer, which only the workers
   of one software version can give. So it waits as long as its caller does,
   and polls as often as any request.
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
#define ADMISSION_FIRST_EVENT_US 250000
/* Intervals between polls for capacity. The gate adds a random delay of up to
   one interval. */
#define ADMISSION_POLL_US 30000
/* For requests with a read prompt, as its KV memory expires. */
#define ADMISSION_POLL_PREFILLED_US 20000
/* For retries that arrive late; leaves capacity to timely requests. */
#define ADMISSION_POLL_LATE_US 200000
/* Callers close a stream that has been silent for four objectives, 3.6 s.
   The time that remains after these waits covers a slow first event. */
#define ADMISSION_WAIT_LATE_US 1500000 /* Retries that arrive late. */
/* Requests with a read prompt. */
#define ADMISSION_WAIT_MAX_US 2000000
/* Callers close a stream without any event after this many objectives, and not
   before this time. */
#define ADMISSION_LEAVE_SLOS 4
#define ADMISSION_LEAVE_MIN_US 2000000
/* The time that callers of one route allow varies by 15%. A request with less
   than this share of the route's timeout left is a retry. */
#define ADMISSION_FIRST_TRY_SHARE 0.84

/* Largest Retry-After, as a share of the caller's time left. Callers don't
   wait longer than that. A wait that is known is told as it is. */
#define ADMISSION_RETRY_SHARE 0.33
/* Smallest Retry-After: a round trip between regions and a call. */
#define ADMISSION_RETRY_MIN_MS 50

/* Time that a call may take at a worker, as a multiple of the mean. */
#define ADMISSION_CALL_FACTOR 2
/* In place of the longest queue of a late call, for one that isn't late. */
#define ADMISSION_TIMELY (-1)

/* Why a request is refused. */
typedef enum AdmissionCause {
    ADMISSION_NO_CONFIG, /* The VM has just started. */
    ADMISSION_NO_WORKER, /* No worker of the service is usable. */
    ADMISSION_FULL,      /* The workers refuse or would be too late. */
    ADMISSION_STOPPING,  /* The VM is shutting down; another one can answer. */
    ADMISSION_FAULT,     /* A call failed before it ran. */
    /* All workers have asked for a pause; the wait for its end is known. */
    ADMISSION_PAUSED,
    /* The request exceeds any worker's memory: a retry can't succeed. */
    ADMISSION_TOO_LARGE,
    /* A part of the prompt crashes workers; the time until one such request is
       let through is known. */
    ADMISSION_BLOCKED,
    /* The VM can't prove that its keys are valid; another VM may. */
    ADMISSION_NO_LEASE,
    /* The caller's account is above its cap; the time until there is room if
       nothing more is sent is known. */
    ADMISSION_CAPPED,
    ADMISSION_CAUSE_COUNT,
} AdmissionCause;

/* A request without capacity. Times are those of the runtime clock. */
typedef struct AdmissionWait {
    int64_t waiting_since_us;
    int64_t arrived_us;
    int64_t left_us;     /* Caller's time left on arrival; 0 if unknown. */
    int64_t timeout_us;  /* The route's timeout, close to the caller's. */
    int64_t slo_us;      /* Latency objective, from the caller's first try. */
    int64_t deadline_us; /* Earlier of the caller's and the route's. */
    bool is_prefilled;   /* A worker has read the prompt. */
    bool is_streaming;   /* The caller has received a part of the answer. */
    bool is_resumed;     /* The same, with an earlier request. */
} AdmissionWait;

/* The requests of a VM that wait for capacity of one service. Their number is
   limited by how many waits end in time. */
typedef struct AdmissionQueue {
    uint32_t waiting;
    double limit;
} AdmissionQueue;

typedef enum AdmissionWaitEnd {
    ADMISSION_WAIT_SERVED, /* The request runs. */
    ADMISSION_WAIT_OVER,   /* It was refused. */
    ADMISSION_WAIT_LEFT,   /* Its caller has disconnected. */
} AdmissionWaitEnd;

typedef struct AdmissionWaitPlan {
    int64_t until_us; /* When to stop waiting and refuse the request. */
    int64_t poll_us;  /* Shortest interval between two polls. */
} AdmissionWaitPlan;

/* Whether a plain call that waits in a worker's queue first can be answered
   within the latency objective, which is `slo_us` from the caller's first try.
   A call that needs no wait always may go. One that is late by then joins
   queues up to `late_queue_us` only, see Precedence_GetLateQueue(). */
bool Admission_IsInTime(int64_t wait_us, int64_t call_us, int64_t rtt_us,
                        int64_t slo_us, int64_t late_queue_us);
/* Whether a request is a retry, judging by the caller's time left and by that
   of first tries on the route. */
bool Admission_IsRetry(int64_t left_ms, int64_t first_left_ms);
/* Returns the time left of first tries, given the known value (0: none) and
   that of another request. */
int64_t Admission_UpdateFirstLeft(int64_t first_left_ms, int64_t left_ms);

void Admission_InitQueue(AdmissionQueue *queue);
/* Whether one more request may wait. If so, Admission_EndWait() must follow.
 */
bool Admission_BeginWait(AdmissionQueue *queue);
void Admission_EndWait(AdmissionQueue *queue, AdmissionWaitEnd end);

AdmissionWaitPlan Admission_PlanWait(const AdmissionWait *wait);

/* Returns the Retry-After in milliseconds, or 0 if a retry can't succeed.
   `left_ms` is the caller's time left, which may exceed the route's timeout,
   `wait_ms` the expected wait for capacity (0 if unknown), and `random_value`
   spreads the retries. */
uint32_t Admission_GetRetryAfter(AdmissionCause cause, int64_t left_ms,
                                 int64_t wait_ms, uint32_t random_value);

#endif
