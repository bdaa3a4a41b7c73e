/* Drain: decides which requests a VM that stops still takes.

   A planned stop leaves a grace, at whose end the process is killed. Callers
   use their open connections until then: requests come as the signal does, in
   the seconds until the balancer has taken the VM out, and, when a long body
   was on its way, up to the end. Most take milliseconds, and a refusal would
   cost their callers another way; some take as long as the whole grace, and a
   cut leaves their callers without an answer to what may have run. So what
   should end in time is taken, and has all of the grace but what its answer
   needs to arrive; what should not is refused at once, as another VM can run
   it. What may run only once is taken with more time in hand; a stream that
   may be resumed if it is more likely than not to end, as others may refuse
   it, too, when many VMs stop one after another. A stream that comes after the
   notice needs twice the time, since its cut is no complete answer. */
#ifndef LS_DRAIN_H
#define LS_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Time before the kill at which the remaining requests are ended, so that
   their answers arrive; at most this share of the grace. */
#define DRAIN_ANSWER_US 250000
#define DRAIN_ANSWER_SHARE 10
/* Part of that time which is left to the exit of the process: it closes its
   sockets and frees its memory, and may have to wait for a processor. */
#define DRAIN_EXIT_SHARE 0.6
/* With less time left, no request is taken. */
#define DRAIN_LEFT_MIN_US 150000
/* Deviations from the mean time within which nearly all calls end. */
#define DRAIN_DEVIATIONS 4
/* Time for a stream, as a multiple of what is expected. Long ones are shorter
   than callers expect, by a quarter in the median. */
#define DRAIN_ONCE_STREAM_FACTOR 1.25
#define DRAIN_RESUMABLE_STREAM_FACTOR 0.75
#define DRAIN_LATE_STREAM_FACTOR 2.0

/* Time of the calls of a service: moving mean, and mean distance from it. */
typedef struct DrainTime {
    double mean_us; /* 0: not known yet. */
    double deviation_us;
} DrainTime;

typedef struct DrainRequest {
    int64_t left_us;      /* Until the remaining requests are ended. */
    int64_t limit_us;     /* Until the caller's or the route's time-out. */
    int64_t expected_us;  /* Time that the request should take. */
    int64_t deviation_us; /* Of plain requests. */
    bool is_stream;
    bool is_repeatable; /* It may run again, or be resumed. */
    bool is_late;       /* It came after the notice. */
} DrainRequest;

/* Returns when the remaining requests are ended. */
int64_t Drain_GetEnd(int64_t stop_us, int64_t grace_us);
/* Returns when the process closes its connections, even those of callers that
   have not read their answers. */
int64_t Drain_GetExit(int64_t stop_us, int64_t grace_us);
void Drain_NoteTime(DrainTime *time, int64_t took_us);
/* Whether the request is taken, or else refused at once. */
bool Drain_IsTaken(const DrainRequest *request);

#endif
