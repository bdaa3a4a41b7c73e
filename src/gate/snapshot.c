#include "snapshot.h"

#include "gossip.pb-c.h"

typedef struct SnapshotEntry {
    GBytes *text;
    uint64_t revision;
} SnapshotEntry;

struct Snapshot {
    GBytes *config;      /* NULL until a configuration was set. */
    uint64_t version;    /* Version of the configuration. */
    uint64_t revision;   /* Highest revision of a worker's change. */
    GHashTable *entries; /* Identifier to SnapshotEntry. */
};

static void free_entry(gpointer data);

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
    SnapshotEntry *entry = g_new0(SnapshotEntry, 1);

    entry->text = g_bytes_new(text, size);
    entry->revision = revision;
    g_hash_table_replace(snapshot->entries, g_strdup(id), entry);
    snapshot->revision = MAX(snapshot->revision, revision);
}

void
Snapshot_RemoveEntry(Snapshot *snapshot, const char *id, uint64_t revision)
{
    g_hash_table_remove(snapshot->entries, id);
    snapshot->revision = MAX(snapshot->revision, revision);
}

void
Snapshot_ClearEntries(Snapshot *snapshot)
{
    g_hash_table_remove_all(snapshot->entries);
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

GByteArray *
Snapshot_Pack(const Snapshot *snapshot)
{
    Gossip__Picture message = GOSSIP__PICTURE__INIT;
    guint count = g_hash_table_size(snapshot->entries);
    Gossip__Entry *rows = g_new0(Gossip__Entry, count);
    GByteArray *data = g_byte_array_new();
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    message.entries = g_new0(Gossip__Entry *, count);
    g_hash_table_iter_init(&iter, snapshot->entries);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const SnapshotEntry *entry = value;
        Gossip__Entry *row = &rows[message.n_entries];
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
    if (message->revision > snapshot->revision) {
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
