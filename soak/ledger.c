/* Ledger of a soak test: records requests, runs and violated guarantees. */
#include "ledger.h"

#include <stdarg.h>

static bool is_refusal_status(int status);

void
Led_Init(Led *led)
{
    led->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    led->findings = g_ptr_array_new_with_free_func(g_free);
}

void
Led_Clear(Led *led)
{
    g_hash_table_destroy(led->rows);
    g_ptr_array_free(led->findings, TRUE);
}

void
Led_AddFinding(Led *led, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    g_ptr_array_add(led->findings, g_strdup_vprintf(format, args));
    va_end(args);
}

void
Led_AddRequest(Led *led, const char *id, LedKind kind, uint32_t vm)
{
    LedRow *row = g_new0(LedRow, 1);

    row->kind = kind;
    row->vm = vm;
    g_hash_table_insert(led->rows, g_strdup(id), row);
}

LedRow *
Led_Find(Led *led, const char *id)
{
    return id != NULL ? g_hash_table_lookup(led->rows, id) : NULL;
}

void
Led_RecordRun(Led *led, const char *id)
{
    LedRow *row = Led_Find(led, id);

    if (row == NULL) {
        Led_AddFinding(led, "UNASKED: a worker runs %s, which no caller sent",
                       id != NULL ? id : "a request without an identifier");
        return;
    }
    row->runs++;
}

void
Led_Check(Led *led)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    g_hash_table_iter_init(&iter, led->rows);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const LedRow *row = value;
        bool once = row->kind == LED_HOLD || row->kind == LED_STREAM;
        if (once && row->runs > 1) {
            Led_AddFinding(led, "TWICE: %s (%s, VM %u) ran %u times",
                           (const char *)id, Led_GetKindName(row->kind),
                           row->vm, row->runs);
        }
        if (row->kind != LED_READ && row->runs > 0 &&
            is_refusal_status(row->status)) {
            Led_AddFinding(
                led, "REFUSED: %s (%s, VM %u) was refused with %d but ran",
                (const char *)id, Led_GetKindName(row->kind), row->vm,
                row->status);
        }
    }
}

void
Led_Count(const Led *led, LedKind kind, guint *served, guint *all)
{
    GHashTableIter iter;
    gpointer value;

    *served = 0;
    *all = 0;
    g_hash_table_iter_init(&iter, led->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const LedRow *row = value;
        *all += row->kind == kind;
        *served += row->kind == kind && row->is_complete && row->status == 200;
    }
}

const char *
Led_GetKindName(LedKind kind)
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
