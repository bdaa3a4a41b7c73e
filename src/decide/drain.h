/* Drain: decides which requests a VM that stops still takes.

   A planned stop leaves a grace, at whose end the process is killed. Callers
   use their open connections until then: requests come as the signal does, in
   the seconds until the balancer has taken the VM out, and, when a long body
   was on its way, up to the end. Most take milliseconds, and a refusal would
   cost their callers another way; some take as long as the whole grace, and a
   cut leaves their callers without an answer to what may have run. So what is
   sure to end in time is taken, and has all of the grace but what its answer
   needs to arrive; the rest is refused at once, as another VM can run it.

   What is sure follows from bounds, not from means: callers estimate the
   length of an answer and are wrong by ten times, and a worker under load
   makes events at half the usual pace. The bounds are the caller's limit of
   the answer's length, and twice the mean of what this VM has measured, or
   more where the measured times differ more. */
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
/* With less time left, no request is taken: a short one ends in time also if
   the process gets no processor for most of it. */
#define DRAIN_LEFT_MIN_US 250000
/* Deviations from the mean time within which nearly all calls end. */
#define DRAIN_DEVIATIONS 4
/* An upper bound of times, as a multiple of their mean. */
#define DRAIN_BOUND_FACTOR 2.0
/* Interval between events, before any was measured. */
#define DRAIN_DEFAULT_INTERVAL_US 30000
/* Events of a stream in progress after which its pace is known. */
#define DRAIN_PACE_EVENTS_MIN 8
#define DRAIN_UNKNOWN_US (INT64_MAX / 4) /* No bound is known. */

/* Times of one kind: moving mean, and mean distance from it. */
typedef struct DrainTime {
    double mean_us; /* 0: not known yet. */
    double deviation_us;
} DrainTime;

/* What was measured of a service's answers. */
typedef struct DrainTimes {
    DrainTime call;     /* Of a plain call. */
    DrainTime first;    /* From a stream's first call to its first event. */
    DrainTime interval; /* Between the events of a stream. */
} DrainTimes;

/* A stream that would begin, or that has not had an event yet. */
typedef struct DrainStream {
    int64_t slo_us;      /* Objective up to the first event. */
    int64_t worked_us;   /* Since its first call was sent; 0: it was not. */
    int64_t expected_us; /* Estimate up to the first event; 0: unknown. */
    int64_t gap_us;      /* Longest pause between events that is in time. */
    uint32_t events;     /* Most events that may come; 0: unknown. */
    /* Longest mean interval of the streams in progress at the worker to be
       called; 0: unknown. */
    int64_t interval_us;
} DrainStream;

typedef struct DrainRequest {
    int64_t left_us;   /* Until the remaining requests are ended. */
    int64_t limit_us;  /* Until the caller's or the route's time-out. */
    int64_t needed_us; /* Upper bound of the time that the request takes. */
} DrainRequest;

/* Returns when the remaining requests are ended. */
int64_t Drain_GetEnd(int64_t stop_us, int64_t grace_us);
/* Returns when the process closes its connections, even those of callers that
   have not read their answers. */
int64_t Drain_GetExit(int64_t stop_us, int64_t grace_us);
void Drain_NoteTime(DrainTime *time, int64_t took_us);
/* Returns an upper bound of the times. `usual_us` stands for their mean if
   none was noted. */
int64_t Drain_GetBound(const DrainTime *time, int64_t usual_us);
/* Returns an upper bound of the time that a plain call takes. `expected_us`
   is the estimate for its worker, 0 if none is chosen. */
int64_t Drain_GetCallBound(const DrainTimes *times, int64_t slo_us,
                           int64_t expected_us);
/* Returns an upper bound of the time up to the stream's end. */
int64_t Drain_GetStreamBound(const DrainTimes *times,
                             const DrainStream *stream);
/* Whether the request is taken, or else refused at once. */
bool Drain_IsTaken(const DrainRequest *request);

#endif
