/* Notice: what a worker says of itself in its answers, whatever it answers.

   In a burst a worker turns requests away and names the time for which it
   wants none. All requests that still go there are refused, and when the time
   is over, all that were held back would arrive at once and be turned away
   again. So nothing goes there until then, and afterwards one request at a
   time, then twice as many with each one that is accepted.

   In a rolling release workers leave one after the other while load is high,
   and some never say so in the source. Each request that still goes to a
   leaving worker is refused or cut at its end, and comes back to the workers
   that are left. So a worker that says that it leaves gets no request while
   another can serve, and none at all after the time that it has promised to
   serve on. What it said to another VM holds as well, as long as that VM
   repeats it: the worker may have been started anew since. */
#ifndef LS_NOTICE_H
#define LS_NOTICE_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* A request is on its way for up to this time: a connection is opened, and a
   region's latency is added. */
#define NOTICE_SEND_MARGIN_US (500 * CLK_US_PER_MS)

/* What another VM says holds for this long after it said so last. */
#define NOTICE_TOLD_US (2 * CLK_US_PER_S)
/* Longest pause that is kept; it guards the arithmetic. */
#define NOTICE_PAUSE_MAX_US (24 * 3600 * CLK_US_PER_S)
/* Trials at a time after which a worker counts as open again. */
#define NOTICE_TRIALS_MAX 8

typedef enum NoticeUse {
    NOTICE_OPEN,        /* The worker may get any work. */
    NOTICE_LAST_RESORT, /* Only if no other worker can serve. */
    NOTICE_CLOSED,      /* It must not get any work. */
} NoticeUse;

/* All zero for a worker that has said nothing. */
typedef struct NoticeState {
    bool leaving;
    int64_t leave_deadline_us; /* The last request is sent before it. */
    /* The same as other VMs say, and how long that holds. */
    int64_t told_deadline_us;
    int64_t told_until_us;
    int64_t paused_until_us; /* It wants no request until then. */
    uint32_t trials_max;     /* Requests at a time after a pause; 0: no
                                limit. */
    uint32_t trials;         /* Those in progress. */
} NoticeState;

/* The worker says that it leaves; it serves for `serve_us` from now on. What
   it says later doesn't extend that. */
void Notice_NoteLeaving(NoticeState *state, int64_t serve_us, int64_t now_us);
/* Another VM says that the worker leaves and serves for `serve_us` from now
   on. The shortest time that it said counts. */
void Notice_NoteTold(NoticeState *state, int64_t serve_us, int64_t now_us);
/* Whether the worker leaves, as itself or another VM says. */
bool Notice_IsLeaving(const NoticeState *state, int64_t now_us);
/* Returns how long the worker still gets requests; negative if its time is
   over. For workers that leave. */
int64_t Notice_GetLeft(const NoticeState *state, int64_t now_us);
/* The worker turns a request away and wants none for `pause_us`. */
void Notice_NotePause(NoticeState *state, int64_t pause_us, int64_t now_us);
bool Notice_IsPaused(const NoticeState *state, int64_t now_us);
/* To be called as a request is sent to the worker. Returns whether it is a
   trial, which must end with Notice_EndTrial(). */
bool Notice_BeginTrial(NoticeState *state);
void Notice_EndTrial(NoticeState *state, bool accepted);
NoticeUse Notice_GetUse(const NoticeState *state, int64_t now_us);

#endif
