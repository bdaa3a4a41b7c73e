/* Cells: accounts of a cell's engines and jobs. */
#include "cell.h"

#include "engine.h"

#include <string.h>

#define CELL_PREFIXES_MAX 256 /* Prefix hashes kept for each engine. */
/* Suspension after a first failure. It doubles with each further failure, up
   to CELL_FAILURES_MAX failures. */
#define CELL_SUSPEND_MIN_US (2 * CLK_US_PER_S)
#define CELL_FAILURES_MAX 5
/* Failures within this time of the last one count as the same failure. */
#define CELL_SAME_FAILURE_US (500 * CLK_US_PER_MS)
/* Weight of the newest interval in the smoothed interval of releases. */
#define CELL_INTERVAL_WEIGHT 0.2

static void stop_waiting(CellJob *job);
static uint32_t count_cached_tokens(const CellJob *job,
                                    const CellEngine *engine);
static void remember_prefixes(CellEngine *engine, const GArray *prefixes);

Cell *
Cell_New(const char *name)
{
    Cell *cell = g_new0(Cell, 1);

    g_strlcpy(cell->name, name, sizeof(cell->name));
    cell->engines = g_ptr_array_new();
    TAILQ_INIT(&cell->waiting);
    return cell;
}

void
Cell_Free(Cell *cell)
{
    g_ptr_array_unref(cell->engines);
    g_free(cell);
}

CellEngine *
Cell_NewEngine(const char *id)
{
    CellEngine *engine = g_new0(CellEngine, 1);

    g_strlcpy(engine->id, id, sizeof(engine->id));
    engine->prefixes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    engine->prefix_order = g_queue_new();
    return engine;
}

void
Cell_FreeEngine(CellEngine *engine)
{
    g_hash_table_unref(engine->prefixes);
    g_queue_free(engine->prefix_order);
    g_free(engine);
}

CellJob *
Cell_NewJob(const char *entry, const char *request, uint32_t attempt)
{
    CellJob *job = g_new0(CellJob, 1);

    Eng_FormatRequest(job->key, sizeof(job->key), request, attempt);
    g_strlcpy(job->request, request, sizeof(job->request));
    g_strlcpy(job->entry, entry, sizeof(job->entry));
    job->attempt = attempt;
    job->prefixes = g_array_new(FALSE, FALSE, sizeof(guint64));
    job->avoid = g_ptr_array_new_with_free_func(g_free);
    return job;
}

void
Cell_FreeJob(CellJob *job)
{
    if (job->granted) {
        job->decode->slots_used--;
        job->decode->blocks_used -= job->blocks;
        if (job->prefilling) {
            job->prefill->prefills--;
        }
    }
    else {
        stop_waiting(job);
    }
    g_array_unref(job->prefixes);
    g_ptr_array_unref(job->avoid);
    g_free(job);
}

void
Cell_BeginWaiting(Cell *cell, CellJob *job)
{
    job->cell = cell;
    TAILQ_INSERT_TAIL(&cell->waiting, job, link);
    cell->waiting_count++;
}

void
Cell_ChargeJob(CellJob *job, int64_t now_us)
{
    CellEngine *prefill = job->prefill;

    stop_waiting(job);
    job->granted = true;
    job->blocks = Cell_CountBlocks(job, &job->decode->spec);
    job->decode->slots_used++;
    job->decode->blocks_used += job->blocks;
    if (prefill != NULL) {
        job->prefilling = true;
        prefill->prefills++;
        prefill->prefill_free_us = MAX(prefill->prefill_free_us, now_us) +
                                   Cell_GetPrefillCost(job, prefill);
        remember_prefixes(prefill, job->prefixes);
    }
}

void
Cell_EndPrefill(CellJob *job, int64_t now_us)
{
    if (!job->prefilling) {
        return;
    }
    job->prefilling = false;
    job->prefill->prefills--;
    if (job->prefill->prefills == 0) {
        job->prefill->prefill_free_us = now_us;
    }
}

void
Cell_RecordFailure(CellEngine *engine, int64_t now_us)
{
    if (engine->last_failure_us == 0 ||
        now_us - engine->last_failure_us > CELL_SAME_FAILURE_US) {
        engine->failure_count =
            MIN(engine->failure_count + 1, CELL_FAILURES_MAX);
    }
    engine->last_failure_us = now_us;
    engine->suspended_until_us =
        MAX(engine->suspended_until_us,
            now_us + (CELL_SUSPEND_MIN_US << (engine->failure_count - 1)));
}

void
Cell_ClearFailures(CellJob *job)
{
    job->decode->failure_count = 0;
    if (job->prefill != NULL) {
        job->prefill->failure_count = 0;
    }
}

void
Cell_RecordRelease(Cell *cell, int64_t now_us)
{
    double interval = (double)(now_us - cell->last_release_us);

    if (cell->last_release_us != 0 && cell->release_interval_us > 0) {
        interval = cell->release_interval_us * (1 - CELL_INTERVAL_WEIGHT) +
                   interval * CELL_INTERVAL_WEIGHT;
    }
    if (cell->last_release_us != 0) {
        cell->release_interval_us = interval;
    }
    cell->last_release_us = now_us;
}

uint32_t
Cell_CountBlocks(const CellJob *job, const ConUpstream *spec)
{
    uint32_t tokens = job->context_tokens + job->output_tokens;
    return (tokens + spec->block_tokens - 1) / spec->block_tokens;
}

int64_t
Cell_GetPrefillCost(const CellJob *job, const CellEngine *engine)
{
    int64_t tokens = job->context_tokens - count_cached_tokens(job, engine);
    return tokens * CLK_US_PER_S / engine->spec.prefill_tokens_per_s;
}

static void
stop_waiting(CellJob *job)
{
    TAILQ_REMOVE(&job->cell->waiting, job, link);
    job->cell->waiting_count--;
}

/* Counts the job's prompt tokens that the engine's prefix cache should hold.
   At least one token is always left to prefill. */
static uint32_t
count_cached_tokens(const CellJob *job, const CellEngine *engine)
{
    uint32_t block = 1;
    uint32_t cached = 0;

    for (guint i = 0; i < job->prefixes->len; i++, block *= 2) {
        guint64 prefix = g_array_index(job->prefixes, guint64, i);
        if (!g_hash_table_contains(engine->prefixes, &prefix)) {
            break;
        }
        cached = block * CELL_PREFIX_TOKENS;
    }
    return MIN(cached, job->context_tokens - 1);
}

static void
remember_prefixes(CellEngine *engine, const GArray *prefixes)
{
    for (guint i = 0; i < prefixes->len; i++) {
        guint64 prefix = g_array_index(prefixes, guint64, i);
        guint64 *key;
        if (g_hash_table_contains(engine->prefixes, &prefix)) {
            continue;
        }
        key = g_new(guint64, 1);
        *key = prefix;
        g_hash_table_insert(engine->prefixes, key, key);
        g_queue_push_tail(engine->prefix_order, key);
        if (g_queue_get_length(engine->prefix_order) > CELL_PREFIXES_MAX) {
            g_hash_table_remove(engine->prefixes,
                                g_queue_pop_head(engine->prefix_order));
        }
    }
}
