/* Ring: adds decisions to the ring buffer and finds those of a request. */
#include "ring.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

struct Ring {
    uint64_t count;
    RingRow rows[RING_ROWS];
};

Ring *
Ring_New(void)
{
    return g_new0(Ring, 1);
}

void
Ring_Free(Ring *ring)
{
    g_free(ring);
}

void
Ring_Add(Board *board, const char *request, const char *format, ...)
{
    RingRow *row = &board->ring->rows[board->ring->count++ % RING_ROWS];
    va_list args;

    row->at_us = Board_Now(board);
    g_strlcpy(row->request, request, sizeof(row->request));
    va_start(args, format);
    vsnprintf(row->text, sizeof(row->text), format, args);
    va_end(args);
}

json_t *
Ring_Find(const Board *board, const char *request)
{
    const Ring *ring = board->ring;
    uint64_t first = ring->count > RING_ROWS ? ring->count - RING_ROWS : 0;
    json_t *found = json_array();

    for (uint64_t i = first; i < ring->count; i++) {
        const RingRow *row = &ring->rows[i % RING_ROWS];
        if (strcmp(row->request, request) == 0) {
            json_array_append_new(found, json_pack("{s:I, s:s}", "at_us",
                                                   (json_int_t)row->at_us,
                                                   "decision", row->text));
        }
    }
    return found;
}
