/* Unread: decides when a response that its caller reads slowly holds up its
   worker, and when it is given up.

   Load pattern: callers that read in steps, or not at all, beside workers that
   write steadily. What a VM holds for them counts toward its memory, 88 MB on
   the smallest, and a worker cuts off a response that stays unread for some
   seconds. So the worker is held up while much is unread, for less than the
   time after which it would cut the response off, and the sum of all
   responses is bounded: the stream with the most unread bytes goes first. */
#ifndef LS_UNREAD_H
#define LS_UNREAD_H

#include "../clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Unread bytes of one streamed response. */
#define UNREAD_MAX_BYTES ((size_t)256 * 1024)
/* Reading from the worker stops above the first and begins again below the
   second. */
#define UNREAD_PAUSE_BYTES (UNREAD_MAX_BYTES / 2)
#define UNREAD_RESUME_BYTES (UNREAD_MAX_BYTES / 4)
/* Longest time that reading stops. */
#define UNREAD_PAUSE_MAX_US (3 * CLK_US_PER_S)
/* All responses of a VM together, where its memory is not known, and else a
   share of it. */
#define UNREAD_SUM_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define UNREAD_MEMORY_SHARE 4

/* All responses of a VM. */
typedef struct UnreadSum {
    size_t bytes;
    size_t max;
} UnreadSum;

typedef struct UnreadState {
    size_t bytes;      /* Of this response. */
    bool is_paused;    /* Reading from its worker has stopped. */
    int64_t paused_us; /* For how long. */
} UnreadState;

typedef enum UnreadStep {
    UNREAD_KEEP,
    UNREAD_PAUSE,  /* Stop to read from the worker. */
    UNREAD_RESUME, /* Begin again. */
    UNREAD_GIVE_UP,
} UnreadStep;

/* `memory_mb`: the VM's memory limit; 0: unknown. */
UnreadSum Unread_NewSum(uint32_t memory_mb);
/* Whether the sum of all responses calls for one to be given up. */
bool Unread_IsFull(const UnreadSum *sum);
UnreadStep Unread_Decide(const UnreadState *state);

#endif
