#include "fleet.h"

#include <string.h>
#include <xxhash.h>

/* Time from the removal of a worker's entry until the worker is dropped. */
#define FLEET_PRUNE_US (10 * FLEET_REMOVED_GRACE_US)

Fleet *
Fleet_New(void)
{
    Fleet *fleet = g_new0(Fleet, 1);

    fleet->workers = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
    fleet->rows = g_ptr_array_new();
    return fleet;
}

void
Fleet_Free(Fleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    g_hash_table_destroy(fleet->workers);
    g_hash_table_destroy(fleet->hashes);
    for (guint i = 0; i < fleet->rows->len; i++) {
        Fleet_Unref(g_ptr_array_index(fleet->rows, i));
    }
    g_ptr_array_free(fleet->rows, TRUE);
    g_free(fleet);
}

FleetWorker *
Fleet_Find(const Fleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->workers, id);
}

FleetWorker *
Fleet_FindByHash(const Fleet *fleet, uint64_t hash)
{
    return g_hash_table_lookup(fleet->hashes, &hash);
}

FleetWorker *
Fleet_SetEntry(Fleet *fleet, const FleetEntry *entry)
{
    FleetWorker *worker = Fleet_Find(fleet, entry->id);

    if (worker != NULL && worker->entry.revision > entry->revision) {
        worker->sweep_pending = false;
        return NULL;
    }
    if (worker == NULL) {
        worker = g_new0(FleetWorker, 1);
        worker->refs = 1;
        worker->slowness = 1.0;
        worker->hash = XXH3_64bits(entry->id, strlen(entry->id));
        g_strlcpy(worker->entry.id, entry->id, sizeof(worker->entry.id));
        g_hash_table_insert(fleet->workers, worker->entry.id, worker);
        g_hash_table_insert(fleet->hashes, &worker->hash, worker);
        g_ptr_array_add(fleet->rows, worker);
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

bool
Fleet_KeepEntry(Fleet *fleet, const char *id, uint64_t revision)
{
    FleetWorker *worker = Fleet_Find(fleet, id);

    if (worker == NULL || !worker->listed ||
        worker->entry.revision != revision) {
        return false;
    }
    worker->sweep_pending = false;
    return true;
}

void
Fleet_RemoveEntry(Fleet *fleet, const char *id, uint64_t revision,
                  int64_t now_us)
{
    FleetWorker *worker = Fleet_Find(fleet, id);

    if (worker != NULL && worker->listed &&
        revision >= worker->entry.revision) {
        worker->listed = false;
        worker->removed_us = now_us;
    }
}

void
Fleet_BeginSweep(Fleet *fleet)
{
    for (guint i = 0; i < fleet->rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        worker->sweep_pending = true;
    }
}

void
Fleet_EndSweep(Fleet *fleet, int64_t now_us)
{
    for (guint i = 0; i < fleet->rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (worker->sweep_pending) {
            Fleet_RemoveEntry(fleet, worker->entry.id, worker->entry.revision,
                              now_us);
        }
        worker->sweep_pending = false;
    }
}

void
Fleet_Prune(Fleet *fleet, int64_t now_us)
{
    for (guint i = fleet->rows->len; i-- > 0;) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (worker->listed || worker->inflight > 0 ||
            now_us - worker->removed_us < FLEET_PRUNE_US) {
            continue;
        }
        g_hash_table_remove(fleet->workers, worker->entry.id);
        g_hash_table_remove(fleet->hashes, &worker->hash);
        g_ptr_array_remove_index_fast(fleet->rows, i);
        Fleet_Unref(worker);
    }
}

FleetWorker *
Fleet_Ref(FleetWorker *worker)
{
    worker->refs++;
    return worker;
}

void
Fleet_Unref(FleetWorker *worker)
{
    if (worker != NULL && --worker->refs == 0) {
        g_free(worker);
    }
}

bool
Fleet_IsReady(const FleetWorker *worker)
{
    return worker->listed && !worker->entry.draining && !worker->replaced;
}

bool
Fleet_IsUsable(const FleetWorker *worker, int64_t now_us)
{
    if (worker->entry.draining || worker->replaced) {
        return false;
    }
    return worker->listed ||
           now_us - worker->removed_us < FLEET_REMOVED_GRACE_US;
}

bool
Fleet_IsChangingPhase(const FleetWorker *worker, int64_t now_us)
{
    return worker->peer_phase_changes > 0 ||
           now_us < worker->phase_change_until_us;
}

void
Fleet_NoteLoad(FleetWorker *worker, uint32_t running, uint32_t waiting,
               int64_t now_us)
{
    worker->load_running = running;
    worker->load_waiting = waiting;
    worker->load_us = now_us;
}
