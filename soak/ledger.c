/* Ledger of a soak test: records requests, runs and violated guarantees. */
#include "ledger.h"

#include <stdarg.h>

static bool is_refusal_status(int status);

void
Ledger_Init(Ledger *ledger)
{
    ledger->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ledger->findings = g_ptr_array_new_with_free_func(g_free);
}

void
Ledger_Clear(Ledger *ledger)
{
    g_hash_table_destroy(ledger->rows);
    g_ptr_array_free(ledger->findings, TRUE);
}

void
Ledger_AddFinding(Ledger *ledger, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_ptr_array_add(ledger->findings, g_strdup_vprintf(format, args));
    va_end(args);
}

void
Ledger_AddRequest(Ledger *ledger, const char *id, LedgerKind kind, uint32_t vm)
{
    LedgerRow *row = g_new0(LedgerRow, 1);

    row->kind = kind;
    row->vm = vm;
    g_hash_table_insert(ledger->rows, g_strdup(id), row);
}

LedgerRow *
Ledger_Find(Ledger *ledger, const char *id)
{
    return id != NULL ? g_hash_table_lookup(ledger->rows, id) : NULL;
}

void
Ledger_RecordRun(Ledger *ledger, const char *id)
{
    LedgerRow *row = Ledger_Find(ledger, id);

    if (row == NULL) {
        Ledger_AddFinding(ledger,
                          "UNASKED: a worker runs %s, which no caller sent",
                          id != NULL ? id : "a request without an identifier");
        return;
    }
    row->runs++;
}

void
Ledger_Check(Ledger *ledger)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const LedgerRow *row = value;
        bool at_most_once =
            row->kind == LEDGER_HOLD || row->kind == LEDGER_STREAM;
        if (at_most_once && row->runs > 1) {
            Ledger_AddFinding(ledger, "TWICE: %s (%s, VM %u) ran %u times",
                              (const char *)id, Ledger_GetKindName(row->kind),
                              row->vm, row->runs);
        }
        if (row->kind != LEDGER_READ && row->runs > 0 &&
            is_refusal_status(row->status)) {
            Ledger_AddFinding(
                ledger, "REFUSED: %s (%s, VM %u) was refused with %d but ran",
                (const char *)id, Ledger_GetKindName(row->kind), row->vm,
                row->status);
        }
    }
}

void
Ledger_Count(const Ledger *ledger, LedgerKind kind, guint *served, guint *all)
{
    GHashTableIter iter;
    gpointer value;

    *served = 0;
    *all = 0;
    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const LedgerRow *row = value;
        *all += row->kind == kind;
        *served += row->kind == kind && row->is_complete && row->status == 200;
    }
}

const char *
Ledger_GetKindName(LedgerKind kind)
{
    static const char *const names[] = {"read", "hold", "stream", "resume"};

    return names[kind];
}

/* Statuses by which the gate tells the caller that the request did not run. */
static bool
is_refusal_status(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}
