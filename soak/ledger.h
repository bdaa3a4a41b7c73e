/* Ledger: records each request of a soak test as its caller and the workers
   saw it, and the guarantees that were violated. */
#ifndef LS_LEDGER_H
#define LS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum LedgerKind {
    LEDGER_READ,   /* Idempotent: may run more than once. */
    LEDGER_HOLD,   /* Non-idempotent: runs at most once. */
    LEDGER_STREAM, /* Stream that runs at most once. */
    LEDGER_RESUME, /* Stream that another worker may resume. */
    LEDGER_KIND_COUNT,
} LedgerKind;

typedef struct LedgerRow {
    LedgerKind kind;
    uint32_t vm;      /* Index of the VM that received the request. */
    uint32_t runs;    /* Number of times a worker began to run it. */
    int status;       /* HTTP status that the caller received, 0 if none. */
    bool is_complete; /* The caller received the complete response. */
} LedgerRow;

typedef struct Ledger {
    GHashTable *rows;    /* Request identifier to LedgerRow. */
    GPtrArray *findings; /* Violations, one line of text each. */
} Ledger;

void Ledger_Init(Ledger *ledger);
void Ledger_Clear(Ledger *ledger);
/* Appends a line that describes a violated guarantee. */
void Ledger_AddFinding(Ledger *ledger, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void Ledger_AddRequest(Ledger *ledger, const char *id, LedgerKind kind,
                       uint32_t vm);
/* Returns the row of a request, owned by the ledger, or NULL if no caller
   sent the request or `id` is NULL. */
LedgerRow *Ledger_Find(Ledger *ledger, const char *id);
/* Records that a worker begins to run a request; `id` may be NULL. A request
   that no caller sent is a finding. */
void Ledger_RecordRun(Ledger *ledger, const char *id);
/* Adds a finding for each request that ran more than once although it must
   not, and for each that ran although its status says that it did not;
   LEDGER_READ requests are exempt from both. Call it when all processes have
   ended, because a request may still start to run after its caller received a
   refusal. */
void Ledger_Check(Ledger *ledger);
/* Counts the requests of a kind that were served completely with status 200
   (`*served`), and all requests of that kind (`*all`). */
void Ledger_Count(const Ledger *ledger, LedgerKind kind, guint *served,
                  guint *all);
const char *Ledger_GetKindName(LedgerKind kind);

#endif
