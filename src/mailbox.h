/* Mailbox (Box_): passes answers from the thread that owns the board to the
   thread that serves one caller. Each caller has a box, found by the caller's
   number. All functions are thread-safe. */
#ifndef LS_MAILBOX_H
#define LS_MAILBOX_H

#include "board.h"

/* ThreadSanitizer doesn't recognise the synchronisation in GLib's queues.
   These macros tell it that an item passes from one thread to another: RELEASE
   before the item is queued, ACQUIRE after it is taken. */
#if defined(__SANITIZE_THREAD__)
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define BOX_TSAN_RELEASE(item) __tsan_release(item)
#define BOX_TSAN_ACQUIRE(item) __tsan_acquire(item)
#else
#define BOX_TSAN_RELEASE(item) ((void)(item))
#define BOX_TSAN_ACQUIRE(item) ((void)(item))
#endif

/* An answer with its own copies of the strings. */
typedef struct BoxItem {
    BoardAnswer answer;
    LsError err;
    char *text;
    char *finish_reason;
    char *request;
    char *path;
} BoxItem;

typedef struct Box Box; /* Queue of one caller's answers. */
typedef struct BoxTable BoxTable;

BoxTable *Box_NewTable(void);
void Box_FreeTable(BoxTable *table);
/* Opens a box for a new caller and sets *caller to its number. The thread that
   serves the caller owns the box and must close it with Box_Close. */
Box *Box_Open(BoxTable *table, uint64_t *caller);
void Box_Close(BoxTable *table, Box *box);
/* Copies an answer into a caller's box. If the box was closed, the answer is
   dropped and counted in MET_CHUNKS_DROPPED. */
void Box_Put(BoxTable *table, uint64_t caller, const BoardAnswer *answer);
/* Takes the next answer; free it with Box_FreeItem. Returns NULL after the
   timeout. */
BoxItem *Box_Take(Box *box, int64_t timeout_us);
void Box_FreeItem(BoxItem *item);
guint Box_CountOpen(BoxTable *table);

#endif
