/* Adm: how long a request waits for room, and when a caller who was turned
   away should come back.

   Answers: a burst, or a fault, that leaves no room for many requests at
   once. Whoever waits past the objective is late, and takes the room from one
   that could still be in time; so requests wait only while they can be in
   time, and those that came back late ask rarely. If all who were turned away
   came back together they would make the next burst; so their returns are
   spread over as long as the cause is likely to last. */
#ifndef LS_ADM_H
#define LS_ADM_H

#include <stdbool.h>
#include <stdint.h>

/* Reading a prompt and the way to the first event: 5,200 tokens at 55 a
   millisecond, 31 ms for the first token, ways between regions (the sheets),
   and as much again for queues. */
#define ADM_FIRST_EVENT_US 250000
/* Between questions for room, from one to two of these. */
#define ADM_POLL_US 30000
#define ADM_POLL_PREFILLED_US 20000 /* A prompt that was read lapses soon. */
#define ADM_POLL_LATE_US 200000 /* One that is late lets others go first. */
/* Callers leave a stream that is silent for four objectives, 3.6 s on the
   sheets; what is left then must do for a slow first event. */
#define ADM_WAIT_LATE_US 1500000
#define ADM_WAIT_MAX_US 2000000 /* Of one that has something to lose. */
/* Callers of a route differ in their time, by 15% on the sheets; one that has
   less than this share of the route's has been here before. */
#define ADM_FIRST_TRY_SHARE 0.8

#define ADM_RETRY_SHARE 0.33 /* Of their time left that callers will wait. */
#define ADM_RETRY_MIN_MS 50  /* One round trip between regions, and a call. */

typedef enum AdmCause {
    ADM_NO_CONFIG, /* The VM has just started. */
    ADM_NO_WORKER, /* No worker of the service is usable. */
    ADM_FULL,      /* The workers refuse or would be too late. */
    ADM_STOPPING,  /* The VM is leaving; another will answer. */
    ADM_FAULT,     /* A call failed before it ran. */
    ADM_TOO_LARGE, /* No worker could ever take it: coming back is no use. */
    ADM_CAUSE_COUNT,
} AdmCause;

/* A request without room. Times are the runtime clock's. */
typedef struct AdmWait {
    int64_t waiting_since_us; /* Since when it waits. */
    int64_t arrived_us;
    int64_t left_us;     /* Of its caller's time, on arrival; 0: not told. */
    int64_t timeout_us;  /* Of the route: a caller's time, about. */
    int64_t slo_us;      /* Latency objective, from the caller's first try. */
    int64_t deadline_us; /* Of the caller and of the route. */
    bool is_prefilled;   /* Its prompt is read. */
    bool is_streaming;   /* Its caller has a part of the answer. */
} AdmWait;

/* Until when to wait, and after how long to ask again at the earliest. */
typedef struct AdmWaitPlan {
    int64_t until_us;
    int64_t poll_us;
} AdmWaitPlan;

AdmWaitPlan Adm_PlanWait(const AdmWait *wait);

/* Milliseconds after which to return. `wait_ms` is the expected wait for
   room, 0 if unknown; `random_value` is a random number. 0: not at all. */
uint32_t Adm_GetRetryAfter(AdmCause cause, int64_t left_ms, int64_t wait_ms,
                           uint32_t random_value);

#endif
