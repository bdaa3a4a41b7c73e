/* Ledger of a soak test (Led_): records each request as its caller and the
   workers saw it, and the guarantees that were violated. */
#ifndef LS_LEDGER_H
#define LS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum LedKind {
    LED_READ,   /* idempotent: may run more than once */
    LED_HOLD,   /* non-idempotent: runs at most once */
    LED_STREAM, /* stream that runs at most once */
    LED_RESUME, /* stream that another worker may resume */
    LED_KIND_COUNT,
} LedKind;

typedef struct LedRow {
    LedKind kind;
    uint32_t vm;      /* index of the VM that received the request */
    uint32_t runs;    /* number of times a worker began to run it */
    int status;       /* HTTP status that the caller received, 0 if none */
    bool is_complete; /* the caller received the complete response */
} LedRow;

typedef struct Led {
    GHashTable *rows;    /* request identifier to LedRow */
    GPtrArray *findings; /* violations, one line of text each */
} Led;

void Led_Init(Led *led);
void Led_Clear(Led *led);
/* Appends a line that describes a violated guarantee. */
void Led_AddFinding(Led *led, const char *format, ...) G_GNUC_PRINTF(2, 3);
void Led_AddRequest(Led *led, const char *id, LedKind kind, uint32_t vm);
/* Returns the row of a request, owned by the ledger, or NULL if no caller
   sent the request or `id` is NULL. */
LedRow *Led_Find(Led *led, const char *id);
/* Records that a worker begins to run a request; `id` may be NULL. A request
   that no caller sent is a finding. */
void Led_RecordRun(Led *led, const char *id);
/* Adds a finding for each request that ran more than once although it must
   not, and for each that ran although its status says that it did not. Call
   it when all processes have ended, because a request may start to run after
   its caller was told that it was refused. */
void Led_Check(Led *led);
/* Counts the requests of a kind that were served completely with status 200,
   and all requests of that kind. */
void Led_Count(const Led *led, LedKind kind, guint *served, guint *all);
const char *Led_GetKindName(LedKind kind);

#endif
