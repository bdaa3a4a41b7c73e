/* Unread: see unread.h. */
#include "unread.h"

UnreadSum
Unread_NewSum(uint32_t memory_mb)
{
    UnreadSum sum = {.max = UNREAD_SUM_MAX_BYTES};

    if (memory_mb > 0) {
        sum.max = (size_t)memory_mb * 1024 * 1024 / UNREAD_MEMORY_SHARE;
    }
    return sum;
}

bool
Unread_IsFull(const UnreadSum *sum)
{
    return sum->bytes >= sum->max;
}

UnreadStep
Unread_Decide(const UnreadState *state)
{
    if (state->bytes > UNREAD_MAX_BYTES ||
        (state->is_paused && state->paused_us >= UNREAD_PAUSE_MAX_US)) {
        return UNREAD_GIVE_UP;
    }
    if (!state->is_paused && state->bytes > UNREAD_PAUSE_BYTES) {
        return UNREAD_PAUSE;
    }
    return state->is_paused && state->bytes < UNREAD_RESUME_BYTES
               ? UNREAD_RESUME
               : UNREAD_KEEP;
}
