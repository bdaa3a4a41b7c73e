#include "snapshot.h"

#include "gossip.pb-c.h"

typedef struct PicEntry {
    GBytes *text;
    uint64_t revision;
} PicEntry;

struct Pic {
    GBytes *config;      /* NULL until a configuration was set. */
    uint64_t version;    /* Version of the configuration. */
    uint64_t revision;   /* Highest revision of a worker's change. */
    GHashTable *entries; /* Identifier to PicEntry. */
};

static void free_entry(gpointer data);

Pic *
Pic_New(void)
{
    Pic *pic = g_new0(Pic, 1);

    pic->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    return pic;
}

void
Pic_Free(Pic *pic)
{
    if (pic == NULL) {
        return;
    }
    g_clear_pointer(&pic->config, g_bytes_unref);
    g_hash_table_destroy(pic->entries);
    g_free(pic);
}

void
Pic_SetConfig(Pic *pic, const void *text, size_t size, uint64_t version)
{
    if (pic->config != NULL && version <= pic->version) {
        return;
    }
    g_clear_pointer(&pic->config, g_bytes_unref);
    pic->config = g_bytes_new(text, size);
    pic->version = version;
}

void
Pic_SetEntry(Pic *pic, const char *id, const void *text, size_t size,
             uint64_t revision)
{
    PicEntry *entry = g_new0(PicEntry, 1);

    entry->text = g_bytes_new(text, size);
    entry->revision = revision;
    g_hash_table_replace(pic->entries, g_strdup(id), entry);
    pic->revision = MAX(pic->revision, revision);
}

void
Pic_RemoveEntry(Pic *pic, const char *id, uint64_t revision)
{
    g_hash_table_remove(pic->entries, id);
    pic->revision = MAX(pic->revision, revision);
}

void
Pic_ClearEntries(Pic *pic)
{
    g_hash_table_remove_all(pic->entries);
}

uint64_t
Pic_GetVersion(const Pic *pic)
{
    return pic->config != NULL ? pic->version : 0;
}

uint64_t
Pic_GetRevision(const Pic *pic)
{
    return pic->revision;
}

GByteArray *
Pic_Pack(const Pic *pic)
{
    Gossip__Picture picture = GOSSIP__PICTURE__INIT;
    guint count = g_hash_table_size(pic->entries);
    Gossip__Entry *rows = g_new0(Gossip__Entry, count);
    GByteArray *data = g_byte_array_new();
    GHashTableIter iter;
    gpointer id;
    gpointer value;

    picture.entries = g_new0(Gossip__Entry *, count);
    g_hash_table_iter_init(&iter, pic->entries);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const PicEntry *entry = value;
        Gossip__Entry *row = &rows[picture.n_entries];
        gossip__entry__init(row);
        row->id = id;
        row->text.data =
            (uint8_t *)g_bytes_get_data(entry->text, &row->text.len);
        row->revision = entry->revision;
        picture.entries[picture.n_entries++] = row;
    }
    picture.revision = pic->revision;
    if (pic->config != NULL) {
        picture.config_version = pic->version;
        picture.config.data =
            (uint8_t *)g_bytes_get_data(pic->config, &picture.config.len);
    }
    g_byte_array_set_size(data,
                          (guint)gossip__picture__get_packed_size(&picture));
    gossip__picture__pack(&picture, data->data);
    g_free(picture.entries);
    g_free(rows);
    return data;
}

bool
Pic_Apply(const Pic *pic, const void *data, size_t size,
          const PicHandler *handler)
{
    Gossip__Picture *picture = gossip__picture__unpack(NULL, size, data);

    if (picture == NULL) {
        return false;
    }
    if (picture->config.len > 0 &&
        picture->config_version > Pic_GetVersion(pic)) {
        handler->on_config(handler->context, picture->config.data,
                           picture->config.len, picture->config_version);
    }
    if (picture->revision > pic->revision) {
        handler->on_sweep_begin(handler->context);
        for (size_t i = 0; i < picture->n_entries; i++) {
            const Gossip__Entry *row = picture->entries[i];
            handler->on_entry(handler->context, row->id, row->text.data,
                              row->text.len, row->revision);
        }
        handler->on_sweep_end(handler->context);
    }
    gossip__picture__free_unpacked(picture, NULL);
    return true;
}

static void
free_entry(gpointer data)
{
    PicEntry *entry = data;

    g_bytes_unref(entry->text);
    g_free(entry);
}
