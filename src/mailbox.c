#include "mailbox.h"

#include <pthread.h>

struct Box {
    uint64_t caller;
    GAsyncQueue *items;
};

struct BoxTable {
    pthread_mutex_t lock;
    uint64_t last_caller; /* Number of the newest caller. */
    GHashTable *boxes;    /* Caller's number to Box. */
};

BoxTable *
Box_NewTable(void)
{
    BoxTable *table = g_new0(BoxTable, 1);

    pthread_mutex_init(&table->lock, NULL);
    table->boxes = g_hash_table_new(g_int64_hash, g_int64_equal);
    return table;
}

void
Box_FreeTable(BoxTable *table)
{
    g_hash_table_unref(table->boxes);
    pthread_mutex_destroy(&table->lock);
    g_free(table);
}

Box *
Box_Open(BoxTable *table, uint64_t *caller)
{
    Box *box = g_new0(Box, 1);

    box->items = g_async_queue_new_full((GDestroyNotify)Box_FreeItem);
    pthread_mutex_lock(&table->lock);
    box->caller = ++table->last_caller;
    g_hash_table_insert(table->boxes, &box->caller, box);
    pthread_mutex_unlock(&table->lock);
    *caller = box->caller;
    return box;
}

void
Box_Close(BoxTable *table, Box *box)
{
    pthread_mutex_lock(&table->lock);
    g_hash_table_remove(table->boxes, &box->caller);
    pthread_mutex_unlock(&table->lock);
    g_async_queue_unref(box->items);
    g_free(box);
}

void
Box_Put(BoxTable *table, uint64_t caller, const BoardAnswer *answer)
{
    gint64 key = (gint64)caller;
    Box *box;
    BoxItem *item = g_new0(BoxItem, 1);

    item->answer = *answer;
    item->text =
        g_strndup(answer->text != NULL ? answer->text : "", answer->size);
    item->finish_reason = g_strdup(answer->finish_reason);
    item->path = g_strdup(answer->path);
    item->request = g_strdup(answer->request);
    if (answer->err != NULL) {
        item->err = *answer->err;
    }
    pthread_mutex_lock(&table->lock);
    box = g_hash_table_lookup(table->boxes, &key);
    if (box != NULL) {
        BOX_TSAN_RELEASE(item);
        g_async_queue_push(box->items, item);
    }
    pthread_mutex_unlock(&table->lock);
    if (box == NULL) {
        Met_Add(MET_CHUNKS_DROPPED, 1);
        Box_FreeItem(item);
    }
}

BoxItem *
Box_Take(Box *box, int64_t timeout_us)
{
    BoxItem *item = g_async_queue_timeout_pop(box->items, (guint64)timeout_us);

    if (item != NULL) {
        BOX_TSAN_ACQUIRE(item);
    }
    return item;
}

void
Box_FreeItem(BoxItem *item)
{
    g_free(item->text);
    g_free(item->finish_reason);
    g_free(item->path);
    g_free(item->request);
    g_free(item);
}

guint
Box_CountOpen(BoxTable *table)
{
    guint count;

    pthread_mutex_lock(&table->lock);
    count = g_hash_table_size(table->boxes);
    pthread_mutex_unlock(&table->lock);
    return count;
}
