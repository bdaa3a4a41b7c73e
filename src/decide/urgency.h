/* Urgency: decides how much memory of the decode workers is left to more
   urgent streams, and which share of it less urgent ones keep.

   In a burst of two to four times the usual load, or while a quarter of the
   workers are lost, the KV memory of all workers is full. Each time a stream
   ends, the next request that looks for room takes its place, whatever its
   priority: most of the places go to the level that sends most requests, which
   is the one that is worth least. Ordering the requests that wait at one VM
   changes little: in a large fleet a VM has one or two of them, and the place
   that becomes free is taken by the request of another VM.

   So all VMs tell how many requests of each level looked for room lately, and
   how many of these found none. While more urgent requests lack room, less
   urgent ones leave room for some streams free at the workers. The number
   grows with the lack and with the distance in level. It may be a fraction:
   then that share of the workers, the same ones at all VMs, keeps room for one
   more. Only memory that becomes free is kept, and the lack ends as soon as
   more urgent requests find it, so that what is kept is no more than they
   need.

   If requests of one level alone exceed the memory, nothing would be left to
   those below. Each level therefore has a right to a share of the admissions:
   its requests earn it as they come, and those that are covered by it look for
   room as the most urgent ones do. */
#ifndef LS_URGENCY_H
#define LS_URGENCY_H

#include <stdbool.h>
#include <stdint.h>

/* Levels that are told apart; 0 is the most urgent. */
#define URGENCY_LEVELS_MAX 4
/* Requests that looked for room count for about this time, unless they find
   some before: the reserve comes and goes within it. */
#define URGENCY_MEMORY_US 100000
/* Streams for which room is kept at a worker, at most, with each level between
   two. Once it is kept, each place that becomes free there is left to the more
   urgent: more would stay unused. */
#define URGENCY_HELD_MAX 1.0
/* Share of a level's requests that lack room, below which nothing is kept for
   it, and from which on most is. A request that finds room at its second or
   third look, some 60 ms later, is still in time. */
#define URGENCY_LACK_MIN 0.1
#define URGENCY_LACK_MAX 0.5
/* Least share of a level's requests that are admitted, as a multiple of the
   share of all. The promise is a quarter. */
#define URGENCY_SHARE_MIN 0.35
/* Requests and admissions count for about this time in that share. */
#define URGENCY_SHARE_MEMORY_US 5000000

/* Requests that looked for room lately, by level. Each counts as one at its
   last look, and less as time passes. */
typedef struct UrgencyLooks {
    double all[URGENCY_LEVELS_MAX];
    double lacking[URGENCY_LEVELS_MAX]; /* Those of them that found none. */
} UrgencyLooks;

/* Requests of a service at a VM; all zero at first. */
typedef struct Urgency {
    UrgencyLooks own;
    UrgencyLooks peers;    /* Of the other VMs, as they told last. */
    int64_t looked_us;     /* Time for which `own` holds. */
    int64_t lack_since_us; /* When the lack began; 0 if there is none. */
    /* Recent requests and admissions of all levels. */
    double asked;
    double admitted;
    int64_t shares_us; /* Time for which these two hold. */
    /* Admissions to which each level has a right. */
    double rights[URGENCY_LEVELS_MAX];
} Urgency;

/* Notes that a request of a level has come. */
void Urgency_NoteAsked(Urgency *urgency, uint32_t level, int64_t now_us);
/* Notes that it was admitted. */
void Urgency_NoteAdmitted(Urgency *urgency, uint32_t level, int64_t now_us);
/* Notes that it looked for room, when it came or later, and whether it found
   none. *lacked_us keeps the time of the request's last look that found none;
   0 at first. */
void Urgency_NoteLook(Urgency *urgency, uint32_t level, bool lacks_room,
                      int64_t *lacked_us, int64_t now_us);
/* Sets the looks of the other VMs. */
void Urgency_SetPeers(Urgency *urgency, const UrgencyLooks *peers,
                      int64_t now_us);
/* Returns the looks at this VM. */
UrgencyLooks Urgency_GetLooks(const Urgency *urgency, int64_t now_us);
/* Returns the number of streams for which a request of a level leaves room at
   a worker; 0 while no more urgent one lacks room, or if the level has a right
   to be served. */
double Urgency_GetHeld(const Urgency *urgency, uint32_t level, int64_t now_us);
/* Returns the whole number for the worker with this hash. */
uint32_t Urgency_GetHeldAt(double held, uint64_t worker);
/* Returns the part of its objective for which a request may wait in a queue of
   a worker, above 0 to 1. */
double Urgency_GetQueueShare(double held);
/* Returns the time for which more urgent requests than those of the least
   urgent level have been lacking room, microseconds. */
int64_t Urgency_GetLackTime(const Urgency *urgency, int64_t now_us);
/* Returns the wait until a refused request of a level should come back:
   `lack_us` is the time for which room has been lacking. */
int64_t Urgency_GetReturnTime(int64_t lack_us, uint32_t level);
/* Returns the interval between two looks of a request: `poll_us` is the usual
   one. */
int64_t Urgency_GetPollTime(int64_t poll_us, uint32_t level, uint32_t levels);
/* Returns the priority at the worker, 0 (first) to 9, of a level out of
   `levels`, at least two. 5 counts for requests that name none. */
uint32_t Urgency_GetWorkerPriority(uint32_t level, uint32_t levels);

#endif
