/* Box: hands answers from the thread that owns the board to the thread that
   serves one caller. Boxes are found by caller number. */
#ifndef LS_BOX_H
#define LS_BOX_H

#include "board.h"

/* The thread sanitizer can't see into GLib's queues; these tell it that an
   item passes from one thread to another. */
#if defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define BOX_TSAN_RELEASE(item) __tsan_release(item)
#define BOX_TSAN_ACQUIRE(item) __tsan_acquire(item)
#else
#define BOX_TSAN_RELEASE(item) ((void)(item))
#define BOX_TSAN_ACQUIRE(item) ((void)(item))
#endif

/* One answer with copies of its strings. */
typedef struct BoxItem {
    BoardAnswer answer;
    LsError err;
    char *text;
    char *finish_reason;
    char *request;
    char *path;
} BoxItem;

typedef struct Box Box; /* One caller's. */
typedef struct BoxTable BoxTable;

BoxTable *Box_NewTable(void);
void Box_FreeTable(BoxTable *table);
/* Opens a box; the caller's thread owns it until Box_Close. */
Box *Box_Open(BoxTable *table, uint64_t *caller);
void Box_Close(BoxTable *table, Box *box);
/* Puts an answer into a caller's box, if it is still open. */
void Box_Put(BoxTable *table, uint64_t caller, const BoardAnswer *answer);
/* Takes the next answer, or NULL after the timeout. */
BoxItem *Box_Take(Box *box, int64_t timeout_us);
void Box_FreeItem(BoxItem *item);
guint Box_CountOpen(BoxTable *table);

#endif
