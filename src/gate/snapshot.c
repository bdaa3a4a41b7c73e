#include "snapshot.h"

#include "gossip.pb-c.h"

#include <string.h>
#include <xxhash.h>

typedef struct SnapshotEntry {
    GBytes *text;
    Pos position;
    bool sweep_pending; /* The running sweep has not set the entry yet. */
} SnapshotEntry;

struct Snapshot {
    GBytes *config;      /* NULL until a configuration was set. */
    uint64_t version;    /* Version of the configuration. */
    Pos position;        /* Last position of a worker's change. */
    bool sweeping;       /* A sweep has begun and not ended. */
    Pos sweep_position;  /* Last position of the sweep's entries. */
    uint64_t digest;     /* XOR of the hashes of all entries. */
    GHashTable *entries; /* Identifier to SnapshotEntry. */
};

static void free_entry(gpointer data);
static uint64_t hash_id(const char *id);
static uint64_t hash_entry(const char *id, const SnapshotEntry *entry);
static void drop_digest(Snapshot *snapshot, const char *id);
static void note_position(Snapshot *snapshot, Pos position);
static void apply_entries(const Gossip__Picture *message,
                          const SnapshotHandler *handler);
static void apply_delta(const Snapshot *snapshot,
                        const Gossip__Picture *message,
                        const SnapshotHandler *handler);

Snapshot *
Snapshot_New(void)
{
    Snapshot *snapshot = g_new0(Snapshot, 1);

    snapshot->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    return snapshot;
}

void
Snapshot_Free(Snapshot *snapshot)
{
    if (snapshot == NULL) {
        return;
    }
    g_clear_pointer(&snapshot->config, g_bytes_unref);
    g_hash_table_destroy(snapshot->entries);
    g_free(snapshot);
}

void
Snapshot_SetConfig(Snapshot *snapshot, const void *text, size_t size,
                   uint64_t version)
{
    if (snapshot->config != NULL && version <= snapshot->version) {
        return;
    }
    g_clear_pointer(&snapshot->config, g_bytes_unref);
    snapshot->config = g_bytes_new(text, size);
    snapshot->version = version;
}

const void *
Snapshot_GetConfig(const Snapshot *snapshot, size_t *size)
{
    *size = 0;
    return snapshot->config != NULL ? g_bytes_get_data(snapshot->config, size)
                                    : NULL;
}

void
Snapshot_ReplaceConfig(Snapshot *snapshot, const void *text, size_t size)
{
    g_clear_pointer(&snapshot->config, g_bytes_unref);
    snapshot->config = g_bytes_new(text, size);
}

void
Snapshot_SetEntry(Snapshot *snapshot, const char *id, const void *text,
                  size_t size, Pos position)
{
    SnapshotEntry *known = g_hash_table_lookup(snapshot->entries, id);
    SnapshotEntry *entry;

    note_position(snapshot, position);
    if (known != NULL && Pos_IsBefore(position, known->position)) {
        known->sweep_pending = false;
        return;
    }
    entry = g_new0(SnapshotEntry, 1);
    entry->text = g_bytes_new(text, size);
    entry->position = position;
    drop_digest(snapshot, id);
    snapshot->digest ^= hash_entry(id, entry);
    g_hash_table_replace(snapshot->entries, g_strdup(id), entry);
}

bool
Snapshot_HasEntry(const Snapshot *snapshot, const char *id, Pos position)
{
    const SnapshotEntry *known = g_hash_table_lookup(snapshot->entries, id);

    return known != NULL && Pos_IsEqual(known->position, position);
}

void
Snapshot_RemoveEntry(Snapshot *snapshot, const char *id, Pos position)
{
    const SnapshotEntry *known = g_hash_table_lookup(snapshot->entries, id);

    note_position(snapshot, position);
    if (known != NULL && Pos_IsBefore(position, known->position)) {
        return;
    }
    drop_digest(snapshot, id);
    g_hash_table_remove(snapshot->entries, id);
}

void
Snapshot_BeginSweep(Snapshot *snapshot, uint64_t era)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((SnapshotEntry *)value)->sweep_pending = true;
    }
    snapshot->sweeping = true;
    snapshot->sweep_position = (Pos){.era = era};
}

void
Snapshot_EndSweep(Snapshot *snapshot)
{
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        if (((const SnapshotEntry *)value)->sweep_pending) {
            drop_digest(snapshot, id);
            g_hash_table_iter_remove(&iter);
        }
    }
    snapshot->sweeping = false;
    snapshot->position = Pos_Max(snapshot->position, snapshot->sweep_position);
}

bool
Snapshot_IsSweeping(const Snapshot *snapshot)
{
    return snapshot->sweeping;
}

uint64_t
Snapshot_GetVersion(const Snapshot *snapshot)
{
    return snapshot->config != NULL ? snapshot->version : 0;
}

Pos
Snapshot_GetPosition(const Snapshot *snapshot)
{
    return snapshot->position;
}

uint64_t
Snapshot_GetDigest(const Snapshot *snapshot)
{
    return snapshot->digest;
}

GByteArray *
Snapshot_Pack(const Snapshot *snapshot, Pos since)
{
    Gossip__Picture message = GOSSIP__PICTURE__INIT;
    guint count = g_hash_table_size(snapshot->entries);
    Gossip__Entry *rows;
    GByteArray *data;
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    if (snapshot->sweeping) {
        return NULL;
    }
    rows = g_new0(Gossip__Entry, count);
    data = g_byte_array_new();
    message.entries = g_new0(Gossip__Entry *, count);
    message.ids = g_new0(uint64_t, count);
    message.is_delta =
        since.revision > 0 && since.era == snapshot->position.era;
    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const SnapshotEntry *entry = value;
        Gossip__Entry *row = &rows[message.n_entries];
        if (message.is_delta) {
            message.ids[message.n_ids++] = hash_id(id);
        }
        if (message.is_delta && entry->position.revision <= since.revision) {
            continue;
        }
        gossip__entry__init(row);
        row->id = id;
        row->text.data =
            (uint8_t *)g_bytes_get_data(entry->text, &row->text.len);
        row->revision = entry->position.revision;
        message.entries[message.n_entries++] = row;
    }
    message.era = snapshot->position.era;
    message.revision = snapshot->position.revision;
    if (snapshot->config != NULL) {
        message.config_version = snapshot->version;
        message.config.data =
            (uint8_t *)g_bytes_get_data(snapshot->config, &message.config.len);
    }
    g_byte_array_set_size(data,
                          (guint)gossip__picture__get_packed_size(&message));
    gossip__picture__pack(&message, data->data);
    g_free(message.entries);
    g_free(message.ids);
    g_free(rows);
    return data;
}

bool
Snapshot_Apply(const Snapshot *snapshot, const void *data, size_t size,
               const SnapshotHandler *handler)
{
    Gossip__Picture *message = gossip__picture__unpack(NULL, size, data);
    Pos position;

    if (message == NULL) {
        return false;
    }
    position = (Pos){message->era, message->revision};
    if (message->config.len > 0 &&
        message->config_version > Snapshot_GetVersion(snapshot)) {
        handler->on_config(handler->context, message->config.data,
                           message->config.len, message->config_version);
    }
    if (message->is_delta && position.era == snapshot->position.era &&
        Pos_IsBefore(snapshot->position, position)) {
        apply_delta(snapshot, message, handler);
    }
    else if (!message->is_delta &&
             !Pos_IsBefore(position, snapshot->position)) {
        handler->on_sweep_begin(handler->context, message->era);
        apply_entries(message, handler);
        handler->on_sweep_end(handler->context);
    }
    gossip__picture__free_unpacked(message, NULL);
    return true;
}

static void
free_entry(gpointer data)
{
    SnapshotEntry *entry = data;

    g_bytes_unref(entry->text);
    g_free(entry);
}

static void
note_position(Snapshot *snapshot, Pos position)
{
    Pos *last =
        snapshot->sweeping ? &snapshot->sweep_position : &snapshot->position;

    *last = Pos_Max(*last, position);
}

static void
apply_entries(const Gossip__Picture *message, const SnapshotHandler *handler)
{
    for (size_t i = 0; i < message->n_entries; i++) {
        const Gossip__Entry *row = message->entries[i];
        handler->on_entry(handler->context, row->id, row->text.data,
                          row->text.len, (Pos){message->era, row->revision});
    }
}

/* Applies the changes, and removes the workers that are not listed. */
static void
apply_delta(const Snapshot *snapshot, const Gossip__Picture *message,
            const SnapshotHandler *handler)
{
    GHashTable *listed = g_hash_table_new(g_int64_hash, g_int64_equal);
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;

    for (size_t i = 0; i < message->n_ids; i++) {
        g_hash_table_add(listed, &message->ids[i]);
    }
    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        uint64_t hash = hash_id(id);
        if (!g_hash_table_contains(listed, &hash)) {
            g_ptr_array_add(gone, g_strdup(id));
        }
    }
    apply_entries(message, handler);
    for (guint i = 0; i < gone->len; i++) {
        handler->on_remove(handler->context, g_ptr_array_index(gone, i),
                           (Pos){message->era, message->revision});
    }
    g_ptr_array_free(gone, TRUE);
    g_hash_table_destroy(listed);
}

/* Takes the entry of this worker, if there is one, out of the digest. */
static void
drop_digest(Snapshot *snapshot, const char *id)
{
    const SnapshotEntry *entry = g_hash_table_lookup(snapshot->entries, id);

    if (entry != NULL) {
        snapshot->digest ^= hash_entry(id, entry);
    }
}

static uint64_t
hash_id(const char *id)
{
    return XXH3_64bits(id, strlen(id));
}

static uint64_t
hash_entry(const char *id, const SnapshotEntry *entry)
{
    return XXH3_64bits_withSeed(&entry->position, sizeof(entry->position),
                                hash_id(id));
}
