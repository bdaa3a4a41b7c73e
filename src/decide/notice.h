/* Notice: what a worker says of itself in its answers, whatever it answers.

   In a rolling release workers leave one after the other while load is high,
   and some never say so in the source. Each request that still goes to a
   leaving worker is refused or cut at its end, and comes back to the workers
   that are left. So a worker that says that it leaves gets no request while
   another can serve, and none at all after the time that it has promised to
   serve on. */
#ifndef LS_NOTICE_H
#define LS_NOTICE_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* A request is on its way for up to this time: a connection is opened, and a
   region's latency is added. */
#define NOTICE_SEND_MARGIN_US (500 * CLK_US_PER_MS)

typedef enum NoticeUse {
    NOTICE_OPEN,        /* The worker may get any work. */
    NOTICE_LAST_RESORT, /* Only if no other worker can serve. */
    NOTICE_CLOSED,      /* It must not get any work. */
} NoticeUse;

/* All zero for a worker that has said nothing. */
typedef struct NoticeState {
    bool leaving;
    int64_t leave_deadline_us; /* The last request is sent before it. */
} NoticeState;

/* The worker says that it leaves; it serves for `serve_us` from now on. What
   it says later doesn't extend that. */
void Notice_NoteLeaving(NoticeState *state, int64_t serve_us, int64_t now_us);
NoticeUse Notice_GetUse(const NoticeState *state, int64_t now_us);

#endif
