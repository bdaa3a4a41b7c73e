#include "snapshot.h"

#include "gossip.pb-c.h"

#include <string.h>
#include <xxhash.h>

typedef struct SnapshotEntry {
    GBytes *text;
    uint64_t revision;
} SnapshotEntry;

struct Snapshot {
    GBytes *config;      /* NULL until a configuration was set. */
    uint64_t version;    /* Version of the configuration. */
    uint64_t revision;   /* Highest revision of a worker's change. */
    uint64_t digest;     /* XOR of the hashes of all entries. */
    GHashTable *entries; /* Identifier to SnapshotEntry. */
};

static void free_entry(gpointer data);
static uint64_t hash_id(const char *id);
static uint64_t hash_entry(const char *id, const SnapshotEntry *entry);
static void drop_digest(Snapshot *snapshot, const char *id);
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

void
Snapshot_SetEntry(Snapshot *snapshot, const char *id, const void *text,
                  size_t size, uint64_t revision)
{
    const SnapshotEntry *known = g_hash_table_lookup(snapshot->entries, id);
    SnapshotEntry *entry;

    snapshot->revision = MAX(snapshot->revision, revision);
    if (known != NULL && known->revision > revision) {
        return;
    }
    entry = g_new0(SnapshotEntry, 1);
    entry->text = g_bytes_new(text, size);
    entry->revision = revision;
    drop_digest(snapshot, id);
    snapshot->digest ^= hash_entry(id, entry);
    g_hash_table_replace(snapshot->entries, g_strdup(id), entry);
}

void
Snapshot_RemoveEntry(Snapshot *snapshot, const char *id, uint64_t revision)
{
    const SnapshotEntry *known = g_hash_table_lookup(snapshot->entries, id);

    snapshot->revision = MAX(snapshot->revision, revision);
    if (known != NULL && known->revision > revision) {
        return;
    }
    drop_digest(snapshot, id);
    g_hash_table_remove(snapshot->entries, id);
}

void
Snapshot_ClearEntries(Snapshot *snapshot)
{
    g_hash_table_remove_all(snapshot->entries);
    snapshot->digest = 0;
}

uint64_t
Snapshot_GetVersion(const Snapshot *snapshot)
{
    return snapshot->config != NULL ? snapshot->version : 0;
}

uint64_t
Snapshot_GetRevision(const Snapshot *snapshot)
{
    return snapshot->revision;
}

uint64_t
Snapshot_GetDigest(const Snapshot *snapshot)
{
    return snapshot->digest;
}

GByteArray *
Snapshot_Pack(const Snapshot *snapshot, uint64_t since)
{
    Gossip__Picture message = GOSSIP__PICTURE__INIT;
    guint count = g_hash_table_size(snapshot->entries);
    Gossip__Entry *rows = g_new0(Gossip__Entry, count);
    GByteArray *data = g_byte_array_new();
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    message.entries = g_new0(Gossip__Entry *, count);
    message.ids = g_new0(uint64_t, count);
    message.is_delta = since > 0;
    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const SnapshotEntry *entry = value;
        Gossip__Entry *row = &rows[message.n_entries];
        if (message.is_delta) {
            message.ids[message.n_ids++] = hash_id(id);
        }
        if (entry->revision <= since) {
            continue;
        }
        gossip__entry__init(row);
        row->id = id;
        row->text.data =
            (uint8_t *)g_bytes_get_data(entry->text, &row->text.len);
        row->revision = entry->revision;
        message.entries[message.n_entries++] = row;
    }
    message.revision = snapshot->revision;
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

    if (message == NULL) {
        return false;
    }
    if (message->config.len > 0 &&
        message->config_version > Snapshot_GetVersion(snapshot)) {
        handler->on_config(handler->context, message->config.data,
                           message->config.len, message->config_version);
    }
    if (message->is_delta && message->revision > snapshot->revision) {
        apply_delta(snapshot, message, handler);
    }
    else if (!message->is_delta && message->revision >= snapshot->revision) {
        handler->on_sweep_begin(handler->context);
        for (size_t i = 0; i < message->n_entries; i++) {
            const Gossip__Entry *row = message->entries[i];
            handler->on_entry(handler->context, row->id, row->text.data,
                              row->text.len, row->revision);
        }
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
    for (size_t i = 0; i < message->n_entries; i++) {
        const Gossip__Entry *row = message->entries[i];
        handler->on_entry(handler->context, row->id, row->text.data,
                          row->text.len, row->revision);
    }
    for (guint i = 0; i < gone->len; i++) {
        handler->on_remove(handler->context, g_ptr_array_index(gone, i),
                           message->revision);
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
    return XXH3_64bits_withSeed(&entry->revision, sizeof(entry->revision),
                                hash_id(id));
}
