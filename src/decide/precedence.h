/* Precedence: decides when requests that can no longer meet their latency
   objective leave the capacity to those that can.

   In a burst of several times the capacity most callers are refused at first
   and come back once, later than their objective allows. There is always
   enough work in time to use all capacity, so each of them that is served
   takes the place of a request that would have been answered in time. That one
   is refused, comes back late as well, and takes the place of the next: the
   more callers come, the more of the capacity goes to late answers. So while
   timely requests lack capacity, late ones get only what these can't use. As
   soon as timely requests are served again, late ones are served like them.
   How many lack capacity is measured over a short time, as it changes with the
   load within a second.

   Callers come back once. In a burst that has lasted for some seconds, those
   who come back soon are refused for good. A burst is expected to last for as
   long again as it has, so refused callers are told to come back later by that
   time. */
#ifndef LS_PRECEDENCE_H
#define LS_PRECEDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* Requests count for about this time. */
#define PRECEDENCE_MEMORY_US 300000
/* Share of the timely requests that lack capacity from which on late ones get
   none of it. */
#define PRECEDENCE_LACK_MAX 0.1
/* Longest queue that a late call joins while no timely one lacks capacity, as
   a share of the latency objective. */
#define PRECEDENCE_LATE_QUEUE_SHARE 0.25

/* Timely requests for a service at a VM; all zero at first. */
typedef struct Precedence {
    double timely;  /* Recent ones. */
    double lacking; /* Those of them that found no capacity. */
    int64_t noted_us;
    int64_t lack_since_us; /* When the lack began; 0 if there is none. */
} Precedence;

/* Notes a request that can meet its objective, and whether it found no
   capacity when it came. */
void Precedence_NoteTimely(Precedence *precedence, bool lacks_capacity,
                           int64_t now_us);
/* Returns the longest wait in a worker's queue for which a late call joins it,
   microseconds. */
int64_t Precedence_GetLateQueue(const Precedence *precedence, int64_t slo_us,
                                int64_t now_us);
/* Whether a late request may take a place that has become free. */
bool Precedence_MayBeLate(const Precedence *precedence, int64_t now_us);
/* Returns the time for which capacity has been lacking, microseconds. */
int64_t Precedence_GetLackTime(const Precedence *precedence, int64_t now_us);

#endif
