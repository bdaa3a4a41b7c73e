/* Ring: keeps the process's last decisions in a ring buffer, for requests to
   /v1/explain/. */
#ifndef LS_RING_H
#define LS_RING_H

#include "board.h"

#define RING_TEXT_MAX 120 /* Bytes; longer texts are truncated. */
#define RING_ROWS 2048

typedef struct RingRow {
    int64_t at_us;
    char request[BOARD_REQUEST_ID_MAX];
    char text[RING_TEXT_MAX];
} RingRow;

typedef struct Ring Ring;

Ring *Ring_New(void);
void Ring_Free(Ring *ring);
/* Records a decision on a request. */
void Ring_Add(Board *board, const char *request, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Returns the decisions on a request, oldest first, as a JSON array that the
   caller frees. */
json_t *Ring_Find(const Board *board, const char *request);

#endif
