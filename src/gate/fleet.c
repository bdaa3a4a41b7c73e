#include "fleet.h"

#include <string.h>
#include <xxhash.h>

/* How long a removed worker without calls is kept. */
#define FLT_PRUNE_US (10 * FLT_REMOVED_GRACE_US)

Flt *
Flt_New(void)
{
    Flt *flt = g_new0(Flt, 1);

    flt->workers = g_hash_table_new(g_str_hash, g_str_equal);
    flt->hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
    flt->rows = g_ptr_array_new();
    return flt;
}

void
Flt_Free(Flt *flt)
{
    if (flt == NULL) {
        return;
    }
    g_hash_table_destroy(flt->workers);
    g_hash_table_destroy(flt->hashes);
    for (guint i = 0; i < flt->rows->len; i++) {
        Flt_Unref(g_ptr_array_index(flt->rows, i));
    }
    g_ptr_array_free(flt->rows, TRUE);
    g_free(flt);
}

FltWorker *
Flt_Find(const Flt *flt, const char *id)
{
    return g_hash_table_lookup(flt->workers, id);
}

FltWorker *
Flt_FindByHash(const Flt *flt, uint64_t hash)
{
    return g_hash_table_lookup(flt->hashes, &hash);
}

FltWorker *
Flt_SetEntry(Flt *flt, const FltEntry *entry)
{
    FltWorker *worker = Flt_Find(flt, entry->id);

    if (worker != NULL && worker->entry.revision > entry->revision) {
        worker->sweep_pending = false;
        return NULL;
    }
    if (worker == NULL) {
        worker = g_new0(FltWorker, 1);
        worker->refs = 1;
        worker->slowness = 1.0;
        worker->hash = XXH3_64bits(entry->id, strlen(entry->id));
        g_strlcpy(worker->entry.id, entry->id, sizeof(worker->entry.id));
        g_hash_table_insert(flt->workers, worker->entry.id, worker);
        g_hash_table_insert(flt->hashes, &worker->hash, worker);
        g_ptr_array_add(flt->rows, worker);
    }
    else if (worker->entry.born_ms != entry->born_ms ||
             strcmp(worker->entry.address, entry->address) != 0) {
        /* The worker was restarted: its old health and load don't apply. */
        memset(&worker->health, 0, sizeof(worker->health));
        worker->replaced = false;
        worker->load_us = 0;
        worker->slowness = 1.0;
    }
    if (worker->entry.phase != entry->phase) {
        worker->phase_change_until_us = 0;
        worker->full_until_us = 0;
    }
    worker->entry = *entry;
    worker->listed = true;
    worker->removed_us = 0;
    worker->sweep_pending = false;
    return worker;
}

void
Flt_RemoveEntry(Flt *flt, const char *id, uint64_t revision, int64_t now_us)
{
    FltWorker *worker = Flt_Find(flt, id);

    if (worker != NULL && worker->listed &&
        revision >= worker->entry.revision) {
        worker->listed = false;
        worker->removed_us = now_us;
    }
}

void
Flt_BeginSweep(Flt *flt)
{
    for (guint i = 0; i < flt->rows->len; i++) {
        FltWorker *worker = g_ptr_array_index(flt->rows, i);
        worker->sweep_pending = true;
    }
}

void
Flt_EndSweep(Flt *flt, int64_t now_us)
{
    for (guint i = 0; i < flt->rows->len; i++) {
        FltWorker *worker = g_ptr_array_index(flt->rows, i);
        if (worker->sweep_pending) {
            Flt_RemoveEntry(flt, worker->entry.id, worker->entry.revision,
                            now_us);
        }
        worker->sweep_pending = false;
    }
}

void
Flt_Prune(Flt *flt, int64_t now_us)
{
    for (guint i = flt->rows->len; i-- > 0;) {
        FltWorker *worker = g_ptr_array_index(flt->rows, i);
        if (worker->listed || worker->inflight > 0 ||
            now_us - worker->removed_us < FLT_PRUNE_US) {
            continue;
        }
        g_hash_table_remove(flt->workers, worker->entry.id);
        g_hash_table_remove(flt->hashes, &worker->hash);
        g_ptr_array_remove_index_fast(flt->rows, i);
        Flt_Unref(worker);
    }
}

FltWorker *
Flt_Ref(FltWorker *worker)
{
    worker->refs++;
    return worker;
}

void
Flt_Unref(FltWorker *worker)
{
    if (worker != NULL && --worker->refs == 0) {
        g_free(worker);
    }
}

bool
Flt_IsReady(const FltWorker *worker)
{
    return worker->listed && !worker->entry.draining && !worker->replaced;
}

bool
Flt_IsUsable(const FltWorker *worker, int64_t now_us)
{
    if (worker->entry.draining || worker->replaced) {
        return false;
    }
    return worker->listed ||
           now_us - worker->removed_us < FLT_REMOVED_GRACE_US;
}

bool
Flt_IsChangingPhase(const FltWorker *worker, int64_t now_us)
{
    return worker->peer_phase_changes > 0 ||
           now_us < worker->phase_change_until_us;
}

void
Flt_NoteLoad(FltWorker *worker, uint32_t running, uint32_t waiting,
             int64_t now_us)
{
    worker->load_running = running;
    worker->load_waiting = waiting;
    worker->load_us = now_us;
}
