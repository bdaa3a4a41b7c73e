/* Ledger of a soak test: records requests, runs and violated guarantees. */
#include "ledger.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static guint get_service(LedgerKind kind);
static void check_budget(Ledger *ledger);
static int64_t get_held(const Ledger *ledger, int64_t now_us);
static void excuse_row(LedgerRow *row);
static bool is_accepted(const LedgerRow *row);
static bool is_lost(const LedgerRow *row);
static bool is_refusal_status(int status);

void
Ledger_Init(Ledger *ledger, const BudgetCheckOptions *budget)
{
    memset(ledger, 0, sizeof(*ledger));
    BudgetCheck_Init(&ledger->budget, budget);
    ledger->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ledger->vm_faults = g_array_new(FALSE, FALSE, sizeof(LedgerVmFault));
    ledger->findings = g_ptr_array_new_with_free_func(g_free);
}

void
Ledger_Clear(Ledger *ledger)
{
    BudgetCheck_Clear(&ledger->budget);
    g_hash_table_destroy(ledger->rows);
    g_array_free(ledger->vm_faults, TRUE);
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
Ledger_AddRequest(Ledger *ledger, const char *id, LedgerKind kind, uint32_t vm,
                  int64_t limit_ms, int64_t now_us)
{
    LedgerRow *row = g_new0(LedgerRow, 1);

    row->kind = kind;
    row->vm = vm;
    row->sent_us = now_us;
    row->limit_ms = limit_ms;
    BudgetCheck_NoteRequest(&ledger->budget, get_service(kind), now_us);
    row->is_late = ledger->stop_us[vm] != 0 &&
                   now_us - ledger->stop_us[vm] > LEDGER_STOP_LATE_US;
    row->is_at_end = ledger->is_ending[vm];
    row->held_us = get_held(ledger, now_us);
    g_hash_table_insert(ledger->rows, g_strdup(id), row);
}

void
Ledger_NoteTick(Ledger *ledger, int64_t now_us, int64_t tick_us)
{
    ledger->held_us = get_held(ledger, now_us);
    ledger->ticked_us = now_us;
    ledger->tick_us = tick_us;
}

/* Returns for how long the soak was held up until now. */
static int64_t
get_held(const Ledger *ledger, int64_t now_us)
{
    int64_t late_us = now_us - ledger->ticked_us - ledger->tick_us;
    bool is_held_up = ledger->ticked_us != 0 && late_us >= LEDGER_HELD_MIN_US;

    return ledger->held_us + (is_held_up ? late_us : 0);
}

void
Ledger_RecordArrival(Ledger *ledger, const char *id, bool took_prefill,
                     int64_t limit_ms, int64_t now_us)
{
    LedgerRow *row = Ledger_Find(ledger, id);
    int64_t excess_ms;

    if (row == NULL) {
        return;
    }
    if (took_prefill && !row->has_prefill) {
        row->has_prefill = true;
    }
    else if (row->arrivals++ > 0) {
        BudgetCheck_NoteExtra(&ledger->budget, get_service(row->kind), now_us);
    }
    excess_ms = limit_ms - (row->limit_ms - (now_us - row->sent_us) / 1000);
    excess_ms -= row->unseen_ms;
    excess_ms -= (get_held(ledger, now_us) - row->held_us) / 1000;
    if (limit_ms == 0 || row->limit_ms == 0 ||
        excess_ms <= LEDGER_TIME_SLACK_MS) {
        return;
    }
    if (now_us - ledger->vm_held_us[row->vm] < LEDGER_IN_TOUCH_US) {
        ledger->late_limits++;
        /* The VM doesn't learn later when the request was sent. */
        if (row->arrivals + row->has_prefill == 1 &&
            row->sent_us < ledger->vm_held_us[row->vm]) {
            row->unseen_ms = excess_ms;
        }
        return;
    }
    Ledger_AddFinding(ledger,
                      "BUDGET: %s (%s, VM %u) gave a worker %lld ms more "
                      "than its caller has left",
                      id, Ledger_GetKindName(row->kind), row->vm,
                      (long long)excess_ms);
}

LedgerRow *
Ledger_Find(Ledger *ledger, const char *id)
{
    return id != NULL ? g_hash_table_lookup(ledger->rows, id) : NULL;
}

void
Ledger_RecordRun(Ledger *ledger, const char *id, guint worker)
{
    LedgerRow *row = Ledger_Find(ledger, id);

    if (row == NULL) {
        Ledger_AddFinding(ledger,
                          "UNASKED: a worker runs %s, which no caller sent",
                          id != NULL ? id : "a request without an identifier");
        return;
    }
    row->runs++;
    row->workers |= 1U << worker;
}

void
Ledger_RecordAnswer(Ledger *ledger, const char *id, int64_t now_us)
{
    LedgerRow *row = Ledger_Find(ledger, id);

    if (row != NULL) {
        row->answered_us = now_us;
    }
}

void
Ledger_RecordStop(Ledger *ledger, uint32_t vm, int64_t at_us)
{
    ledger->stop_us[vm] = at_us;
    ledger->is_ending[vm] = false;
}

void
Ledger_RecordEnd(Ledger *ledger, const char *id, int status, bool is_complete,
                 int64_t now_us)
{
    LedgerRow *row = Ledger_Find(ledger, id);
    int64_t limit_ms = row->kind < LEDGER_STREAM ? ledger->plain_limit_ms
                                                 : ledger->stream_limit_ms;

    /* A caller that takes up a stream has less time left. */
    if (row->limit_ms > 0 && row->limit_ms < limit_ms) {
        limit_ms = row->limit_ms;
    }

    row->status = status;
    row->is_complete = is_complete;
    row->is_ended = true;
    row->ended_us = now_us;
    row->is_at_limit =
        limit_ms > 0 &&
        now_us - row->sent_us >= (limit_ms - LEDGER_LIMIT_SLACK_MS) * 1000;
}

void
Ledger_LowerLimits(Ledger *ledger, uint32_t plain_ms, uint32_t stream_ms)
{
    if (ledger->plain_limit_ms == 0 || plain_ms < ledger->plain_limit_ms) {
        ledger->plain_limit_ms = plain_ms;
    }
    if (ledger->stream_limit_ms == 0 || stream_ms < ledger->stream_limit_ms) {
        ledger->stream_limit_ms = stream_ms;
    }
}

void
Ledger_ExcuseWorker(Ledger *ledger, guint worker)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LedgerRow *row = value;
        if (row->workers & 1U << worker) {
            excuse_row(row);
        }
    }
}

void
Ledger_ExcuseVm(Ledger *ledger, uint32_t vm, int64_t now_us)
{
    LedgerVmFault fault = {vm, now_us, INT64_MAX};
    GHashTableIter iter;
    gpointer value;

    g_array_append_val(ledger->vm_faults, fault);
    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LedgerRow *row = value;
        if (row->vm == vm) {
            excuse_row(row);
        }
    }
}

void
Ledger_RecordProcessEnd(Ledger *ledger, guint worker)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LedgerRow *row = value;
        row->has_ended_worker |= !row->is_ended && row->workers & 1U << worker;
    }
}

void
Ledger_RecordSilence(Ledger *ledger, guint worker)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LedgerRow *row = value;
        row->is_held_up |= !row->is_ended && row->workers & 1U << worker;
    }
}

void
Ledger_ExcuseStop(Ledger *ledger, uint32_t vm, int64_t now_us)
{
    LedgerVmFault fault = {vm, now_us,
                           ledger->stop_us[vm] + LEDGER_STOP_LATE_US};
    GHashTableIter iter;
    gpointer value;

    ledger->is_ending[vm] = true;
    g_array_append_val(ledger->vm_faults, fault);
    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        LedgerRow *row = value;
        row->is_at_end |= row->vm == vm && !row->is_ended;
    }
}

void
Ledger_ExcuseRelayed(Ledger *ledger, const char *id, uint32_t via)
{
    LedgerRow *row = Ledger_Find(ledger, id);

    for (guint i = 0; row != NULL && i < ledger->vm_faults->len; i++) {
        const LedgerVmFault *fault =
            &g_array_index(ledger->vm_faults, LedgerVmFault, i);
        row->is_excused |= fault->vm == via && fault->at_us >= row->sent_us &&
                           fault->at_us <= row->ended_us &&
                           row->sent_us <= fault->sent_max_us;
    }
}

void
Ledger_Check(Ledger *ledger)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    check_budget(ledger);
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
        if (!at_most_once && ledger->attempts_max > 0 &&
            (uint32_t)__builtin_popcount(row->workers) >
                ledger->attempts_max) {
            Ledger_AddFinding(ledger,
                              "BUDGET: %s (%s, VM %u) ran on %d workers",
                              (const char *)id, Ledger_GetKindName(row->kind),
                              row->vm, __builtin_popcount(row->workers));
        }
        if (row->kind != LEDGER_READ && row->runs > 0 &&
            is_refusal_status(row->status)) {
            Ledger_AddFinding(
                ledger, "REFUSED: %s (%s, VM %u) was refused with %d but ran",
                (const char *)id, Ledger_GetKindName(row->kind), row->vm,
                row->status);
        }
        if (is_lost(row)) {
            Ledger_AddFinding(
                ledger,
                "LOST: %s (%s, VM %u) ended without a complete response, "
                "status %d, %lld ms after it was sent%s; its workers went on",
                (const char *)id, Ledger_GetKindName(row->kind), row->vm,
                row->status, (long long)(row->ended_us - row->sent_us) / 1000,
                row->is_late ? ", late to a stopping VM" : "");
        }
    }
}

/* Checks the retry budget of each service, and prints how much of it was used
   at most. */
static void
check_budget(Ledger *ledger)
{
    static const char *const services[] = {"app", "llm"};

    for (guint i = 0; i < BUDGET_CHECK_SERVICES; i++) {
        BudgetCheckWindow worst = BudgetCheck_FindWorst(&ledger->budget, i);
        printf("budget of %s: %u of %.1f extra arrivals in a window at most, "
               "%u in all\n",
               services[i], worst.extras, worst.allowed,
               ledger->budget.extras_us[i]->len);
        if (worst.extras > worst.allowed) {
            Ledger_AddFinding(ledger,
                              "BUDGET: %u extra arrivals at %s in a window, "
                              "%.1f allowed",
                              worst.extras, services[i], worst.allowed);
        }
    }
    printf("time left: %u arrivals with too much from VMs held up lately\n",
           ledger->late_limits);
}

void
Ledger_CountEnds(const Ledger *ledger, LedgerEnds *ends)
{
    GHashTableIter iter;
    gpointer value;

    memset(ends, 0, sizeof(*ends));
    g_hash_table_iter_init(&iter, ledger->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const LedgerRow *row = value;
        guint *count = &ends->excused;
        if (!is_accepted(row)) {
            continue;
        }
        if (row->has_left) {
            count = &ends->left;
        }
        else if (!row->is_ended) {
            count = &ends->open;
        }
        else if (row->is_complete) {
            count = is_refusal_status(row->status) ? &ends->refused
                                                   : &ends->answered;
        }
        else if (is_lost(row)) {
            count = &ends->lost;
        }
        ends->accepted++;
        ends->late += row->is_late;
        ends->late_run += row->is_late && row->runs > 0;
        ++*count;
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

static guint
get_service(LedgerKind kind)
{
    return kind >= LEDGER_STREAM;
}

static void
excuse_row(LedgerRow *row)
{
    if (!row->is_ended) {
        row->is_excused = true;
    }
}

/* Returns whether the VM has read the request whole, as far as that can be
   seen from outside. */
static bool
is_accepted(const LedgerRow *row)
{
    return row->status != 0 || row->runs > 0;
}

static bool
is_lost(const LedgerRow *row)
{
    bool is_delivered = row->answered_us != 0 &&
                        row->ended_us - row->answered_us >= LEDGER_DELIVERY_US;
    bool may_be_cut =
        row->is_at_end && (!row->is_late || row->is_held_up) && !is_delivered;

    return is_accepted(row) && row->is_ended && !row->is_complete &&
           !row->has_left && !row->is_at_limit && !row->is_excused &&
           !may_be_cut;
}

/* Statuses by which the gate tells the caller that the request did not run. */
static bool
is_refusal_status(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}
