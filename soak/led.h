/* Led: the ledger of a soak: every request, as its caller and the workers saw
   it, and the promises that were broken. */
#ifndef LS_LED_H
#define LS_LED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum LedKind {
    LED_READ,   /* May run more than once. */
    LED_HOLD,   /* At most once. */
    LED_STREAM, /* At most once. */
    LED_RESUME, /* A stream that may go on at another worker. */
    LED_KIND_COUNT,
} LedKind;

typedef struct LedRow {
    LedKind kind;
    uint32_t vm;   /* That was asked. */
    uint32_t runs; /* Workers that began to run it. */
    int status;    /* That its caller got; 0: none. */
    bool whole;
} LedRow;

typedef struct Led {
    GHashTable *rows;    /* Identifier to LedRow. */
    GPtrArray *findings; /* Lines of text. */
} Led;

void Led_Init(Led *led);
void Led_Clear(Led *led);
void Led_AddFinding(Led *led, const char *format, ...) G_GNUC_PRINTF(2, 3);
void Led_AddRequest(Led *led, const char *id, LedKind kind, uint32_t vm);
LedRow *Led_Find(Led *led, const char *id);   /* NULL if nobody sent it. */
void Led_RecordRun(Led *led, const char *id); /* A worker begins to run it. */
/* Looks for requests that ran twice, or were refused as not run and had run.
   After all processes have ended: a run may follow its refusal. */
void Led_Check(Led *led);
/* Requests of a kind that were served, and all of them. */
void Led_Count(const Led *led, LedKind kind, guint *served, guint *all);
const char *Led_GetKindName(LedKind kind);

#endif
