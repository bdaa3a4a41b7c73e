#include "fleet.h"

#include <string.h>
#include <xxhash.h>

/* Time from the removal of a worker's entry until the worker is dropped. */
#define FLEET_PRUNE_US (10 * FLEET_REMOVED_GRACE_US)
/* Time from the last worker of a software version until it is forgotten, above
   the time for which callers resume a stream. */
#define FLEET_VERSION_KEEP_US (600 * CLK_US_PER_S)

static bool is_same_start(const FleetEntry *a, const FleetEntry *b);
static bool is_earlier_start(const FleetEntry *known, const FleetEntry *entry);
static bool is_written_again(FleetWorker *worker, const FleetEntry *entry);
static void note_era(Fleet *fleet, uint64_t era, int64_t now_us);
static void note_version(Fleet *fleet, const FleetWorker *worker,
                         int64_t now_us);
static uint32_t hash_version(const char *name);
static void carry_over(const Fleet *fleet, FleetWorker *worker,
                       FleetEntry *entry, int64_t now_us);
static int64_t get_removed_us(const FleetWorker *worker, int64_t now_us);

FleetOptions
Fleet_DefaultOptions(void)
{
    FleetOptions options = {
        .entry_lapse_us = 5 * CLK_US_PER_S,
        .drain_us = 2500 * CLK_US_PER_MS,
    };
    return options;
}

Fleet *
Fleet_New(const FleetOptions *options)
{
    Fleet *fleet = g_new0(Fleet, 1);

    fleet->options = *options;
    fleet->workers = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->hashes = g_hash_table_new(g_int64_hash, g_int64_equal);
    fleet->rows = g_ptr_array_new();
    fleet->versions = g_ptr_array_new_with_free_func(g_free);
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
    g_ptr_array_free(fleet->versions, TRUE);
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
Fleet_FindByAddress(const Fleet *fleet, const char *address)
{
    FleetWorker *last = NULL;

    for (guint i = 0; i < fleet->rows->len; i++) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (strcmp(worker->entry.address, address) == 0 &&
            (last == NULL ||
             Pos_IsBefore(last->entry.position, worker->entry.position))) {
            last = worker;
        }
    }
    return last;
}

FleetWorker *
Fleet_SetEntry(Fleet *fleet, const FleetEntry *from, int64_t now_us)
{
    FleetWorker *worker = Fleet_Find(fleet, from->id);
    FleetEntry copy = *from;
    const FleetEntry *entry = &copy;

    note_era(fleet, from->position.era, now_us);
    if (worker != NULL &&
        (Pos_IsBefore(from->position, worker->entry.position) ||
         (is_earlier_start(&worker->entry, from) &&
          !is_written_again(worker, from)))) {
        worker->sweep_pending = false;
        return NULL;
    }
    if (worker != NULL) {
        carry_over(fleet, worker, &copy, now_us);
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
    else if (!is_same_start(&worker->entry, entry)) {
        /* The worker was restarted: its old health and load don't apply. */
        memset(&worker->health, 0, sizeof(worker->health));
        memset(&worker->notice, 0, sizeof(worker->notice));
        memset(&worker->throttle, 0, sizeof(worker->throttle));
        worker->malformed_notice_logged = false;
        worker->misdirected_until_us = 0;
        worker->tells_no_start = false;
        worker->tells_start = false;
        worker->load_us = 0;
        worker->slowness = 1.0;
        memset(&worker->pace, 0, sizeof(worker->pace));
        worker->refused_us = 0;
        worker->heard_refusal_us = 0;
        worker->refusals = 0;
        worker->told_full_until_us = 0;
    }
    if (strcmp(worker->entry.address, entry->address) != 0) {
        worker->told_born_ms = 0;
        worker->told_us = 0;
    }
    if (worker->version != 0) {
        note_version(fleet, worker, now_us);
    }
    if (worker->entry.phase != entry->phase) {
        worker->phase_change_until_us = 0;
        worker->full_until_us = 0;
    }
    worker->entry = *entry;
    worker->earlier_born_ms = 0;
    worker->version = hash_version(entry->version);
    note_version(fleet, worker, now_us);
    worker->listed = true;
    worker->listed_until_us = 0;
    worker->removed_us = 0;
    worker->sweep_pending = false;
    return worker;
}

/* Whether both entries are of one start of one worker. */
static bool
is_same_start(const FleetEntry *a, const FleetEntry *b)
{
    return a->born_ms == b->born_ms && strcmp(a->address, b->address) == 0;
}

/* Whether the entry is of a start before the known one: the source has
   returned from a copy that is older than the worker's start. */
static bool
is_earlier_start(const FleetEntry *known, const FleetEntry *entry)
{
    return entry->position.era > known->position.era && entry->born_ms != 0 &&
           entry->born_ms < known->born_ms;
}

/* Whether the process of that start has written the entry since the source
   returned, and so is the one that runs: its clock went back. Notes the entry
   if not. */
static bool
is_written_again(FleetWorker *worker, const FleetEntry *entry)
{
    Pos seen = worker->earlier_position;

    if (worker->earlier_born_ms == entry->born_ms &&
        seen.era == entry->position.era) {
        return Pos_IsBefore(seen, entry->position);
    }
    worker->earlier_position = entry->position;
    worker->earlier_born_ms = entry->born_ms;
    return false;
}

static void
note_era(Fleet *fleet, uint64_t era, int64_t now_us)
{
    if (era > fleet->era) {
        fleet->era = era;
        fleet->era_began_us = now_us;
    }
}

/* Keeps what is known of the worker unless it has written the entry since: an
   entry of a newer era may be an older one, from the copy. */
static void
carry_over(const Fleet *fleet, FleetWorker *worker, FleetEntry *entry,
           int64_t now_us)
{
    Pos known = worker->entry.position;
    bool is_newer_era = entry->position.era > known.era;
    bool is_rewritten = !is_newer_era && Pos_IsBefore(known, entry->position);

    if (!is_same_start(&worker->entry, entry) || is_rewritten) {
        worker->doubted_until_us = 0;
        return;
    }
    entry->draining |= worker->entry.draining;
    if (is_newer_era && !Fleet_IsListed(worker, now_us)) {
        worker->doubted_until_us = now_us + fleet->options.entry_lapse_us;
    }
}

bool
Fleet_KeepEntry(Fleet *fleet, const char *id, Pos position)
{
    FleetWorker *worker = Fleet_Find(fleet, id);

    if (worker == NULL || !worker->listed ||
        !Pos_IsEqual(worker->entry.position, position)) {
        return false;
    }
    worker->sweep_pending = false;
    return true;
}

void
Fleet_RemoveEntry(Fleet *fleet, const char *id, Pos position, int64_t now_us)
{
    FleetWorker *worker = Fleet_Find(fleet, id);

    note_era(fleet, position.era, now_us);
    if (worker != NULL && worker->listed &&
        !Pos_IsBefore(position, worker->entry.position)) {
        worker->removed_us = get_removed_us(worker, now_us);
        worker->listed = false;
        note_version(fleet, worker, now_us);
    }
}

void
Fleet_RejectEntry(Fleet *fleet, const char *id, Pos position, int64_t now_us)
{
    FleetWorker *worker = Fleet_Find(fleet, id);

    Fleet_RemoveEntry(fleet, id, position, now_us);
    if (worker != NULL && !worker->listed &&
        !Pos_IsBefore(position, worker->entry.position)) {
        worker->removed_us =
            MIN(worker->removed_us, now_us - FLEET_REMOVED_GRACE_US);
    }
}

void
Fleet_BeginSweep(Fleet *fleet, uint64_t era, int64_t now_us)
{
    note_era(fleet, era, now_us);
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
        if (worker->sweep_pending && worker->entry.position.era < fleet->era) {
            worker->listed_until_us = fleet->era_began_us + FLEET_ERA_GRACE_US;
        }
        else if (worker->sweep_pending) {
            Fleet_RemoveEntry(fleet, worker->entry.id, worker->entry.position,
                              now_us);
        }
        worker->sweep_pending = false;
    }
    if (fleet->complete_us == 0) {
        fleet->complete_us = now_us;
    }
}

/* Notes that the worker's software version is in service. */
static void
note_version(Fleet *fleet, const FleetWorker *worker, int64_t now_us)
{
    FleetVersion *version = NULL;

    for (guint i = 0; i < fleet->versions->len; i++) {
        FleetVersion *known = g_ptr_array_index(fleet->versions, i);
        if (known->hash == worker->version &&
            strcmp(known->service, worker->entry.service) == 0) {
            known->left_us = now_us;
            return;
        }
    }
    version = g_new0(FleetVersion, 1);
    g_strlcpy(version->service, worker->entry.service,
              sizeof(version->service));
    g_strlcpy(version->name, worker->entry.version, sizeof(version->name));
    version->hash = worker->version;
    version->left_us = now_us;
    g_ptr_array_add(fleet->versions, version);
}

static uint32_t
hash_version(const char *name)
{
    uint32_t hash = (uint32_t)XXH3_64bits(name, strlen(name));

    return hash != 0 ? hash : 1;
}

uint32_t
Fleet_CountVersions(const Fleet *fleet, const char *service, int64_t since_us,
                    int64_t now_us, uint32_t *version)
{
    uint32_t count = 0;

    if (fleet->complete_us == 0 || fleet->complete_us > since_us ||
        (fleet->unknown_start_us != 0 &&
         fleet->unknown_start_us >= since_us)) {
        return 0;
    }
    for (guint i = 0; i < fleet->versions->len; i++) {
        const FleetVersion *row = g_ptr_array_index(fleet->versions, i);
        bool is_seen = row->left_us >= since_us;
        if (strcmp(row->service, service) != 0) {
            continue;
        }
        for (guint k = 0; k < fleet->rows->len && !is_seen; k++) {
            const FleetWorker *worker = g_ptr_array_index(fleet->rows, k);
            is_seen = worker->version == row->hash &&
                      Fleet_IsListed(worker, now_us) &&
                      strcmp(worker->entry.service, service) == 0;
        }
        if (is_seen) {
            *version = row->hash;
            count++;
        }
    }
    return count;
}

bool
Fleet_HasVersion(const Fleet *fleet, const char *service, uint32_t version,
                 int64_t now_us)
{
    for (guint i = 0; i < fleet->rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (worker->version == version &&
            worker->entry.phase == FLEET_PHASE_DECODE &&
            strcmp(worker->entry.service, service) == 0 &&
            Fleet_IsUsable(worker, now_us)) {
            return true;
        }
    }
    return false;
}

const char *
Fleet_GetVersionName(const Fleet *fleet, uint32_t version)
{
    for (guint i = 0; i < fleet->versions->len; i++) {
        const FleetVersion *row = g_ptr_array_index(fleet->versions, i);
        if (row->hash == version) {
            return row->name;
        }
    }
    return "";
}

void
Fleet_Prune(Fleet *fleet, int64_t now_us)
{
    for (guint i = fleet->rows->len; i-- > 0;) {
        FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        if (Fleet_IsListed(worker, now_us) || worker->inflight > 0 ||
            now_us - get_removed_us(worker, now_us) < FLEET_PRUNE_US) {
            continue;
        }
        g_hash_table_remove(fleet->workers, worker->entry.id);
        g_hash_table_remove(fleet->hashes, &worker->hash);
        g_ptr_array_remove_index_fast(fleet->rows, i);
        Fleet_Unref(worker);
    }
    for (guint i = fleet->versions->len; i-- > 0;) {
        const FleetVersion *version = g_ptr_array_index(fleet->versions, i);
        if (now_us - version->left_us > FLEET_VERSION_KEEP_US &&
            !Fleet_HasVersion(fleet, version->service, version->hash,
                              now_us)) {
            g_ptr_array_remove_index_fast(fleet->versions, i);
        }
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

/* Returns the time at which the entry was removed, or now_us if it is listed.
 */
static int64_t
get_removed_us(const FleetWorker *worker, int64_t now_us)
{
    if (!worker->listed) {
        return worker->removed_us;
    }
    return worker->listed_until_us != 0 ? MIN(worker->listed_until_us, now_us)
                                        : now_us;
}

bool
Fleet_IsListed(const FleetWorker *worker, int64_t now_us)
{
    return worker->listed &&
           (worker->listed_until_us == 0 || now_us < worker->listed_until_us);
}

bool
Fleet_MayServeOn(const FleetWorker *worker, int64_t now_us)
{
    return !worker->listed &&
           now_us - worker->removed_us < FLEET_SERVE_ON_US &&
           worker->entry.born_ms != 0 && !worker->tells_no_start;
}

bool
Fleet_IsReady(const FleetWorker *worker, int64_t now_us)
{
    return Fleet_IsListed(worker, now_us) && !worker->entry.draining &&
           !worker->notice.leaving && now_us >= worker->misdirected_until_us &&
           now_us >= worker->doubted_until_us;
}

void
Fleet_NoteUnknownStart(Fleet *fleet, int64_t now_us)
{
    fleet->unknown_start_us = now_us;
}

void
Fleet_NoteToldStart(FleetWorker *worker, const char *address, int64_t born_ms,
                    uint64_t number, int64_t now_us)
{
    if (born_ms != 0 && strcmp(worker->entry.address, address) == 0) {
        worker->told_born_ms = born_ms;
        worker->told_us = now_us;
        worker->told_number = number;
    }
}

uint64_t
Fleet_GetNoStartLabel(const FleetWorker *worker)
{
    uint64_t start[] = {worker->hash, 0};

    return XXH3_64bits(start, sizeof(start)) | 1;
}

uint64_t
Fleet_GetStartLabel(const FleetWorker *worker, int64_t born_ms)
{
    uint64_t start[] = {worker->hash, (uint64_t)born_ms};

    return born_ms != 0 ? XXH3_64bits(start, sizeof(start)) | 1 : 0;
}

void
Fleet_NoteMisdirected(FleetWorker *worker, int64_t now_us)
{
    worker->misdirected_until_us = now_us + FLEET_MISDIRECTED_US;
}

void
Fleet_NoteLeaving(Fleet *fleet, FleetWorker *worker, int64_t now_us)
{
    Notice_NoteLeaving(&worker->notice, fleet->options.drain_us, now_us);
}

void
Fleet_NoteTold(const Fleet *fleet, FleetWorker *worker, int64_t now_us)
{
    Notice_NoteTold(&worker->notice, fleet->options.drain_us, now_us);
}

bool
Fleet_IsLeaving(const FleetWorker *worker)
{
    return worker->notice.leaving || worker->peer_leaving > 0;
}

bool
Fleet_IsUsable(const FleetWorker *worker, int64_t now_us)
{
    if (worker->entry.draining || now_us < worker->misdirected_until_us ||
        now_us < worker->doubted_until_us ||
        Notice_GetUse(&worker->notice, now_us) == NOTICE_CLOSED) {
        return false;
    }
    return Fleet_IsListed(worker, now_us) ||
           now_us - get_removed_us(worker, now_us) < FLEET_REMOVED_GRACE_US;
}

bool
Fleet_IsChangingPhase(const FleetWorker *worker, int64_t now_us)
{
    return worker->peer_phase_changes > 0 ||
           now_us < worker->phase_change_until_us;
}

void
Fleet_NoteLoad(FleetWorker *worker, uint32_t running, uint32_t waiting,
               double pace, int64_t now_us)
{
    worker->load_running = running;
    worker->load_waiting = waiting;
    worker->load_pace = pace;
    worker->load_us = now_us;
}
