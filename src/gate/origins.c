/* Origins: software versions that began streams. See origins.h. */
#include "origins.h"

#include "../metrics.h"

static void drop(Origins *origins, Origin *origin);
static void expire(Origins *origins, int64_t now_us);

void
Origins_Init(Origins *origins)
{
    origins->rows = g_hash_table_new(g_int64_hash, g_int64_equal);
    TAILQ_INIT(&origins->list);
}

void
Origins_Clear(Origins *origins)
{
    while (!TAILQ_EMPTY(&origins->list)) {
        drop(origins, TAILQ_FIRST(&origins->list));
    }
    g_hash_table_destroy(origins->rows);
}

void
Origins_Set(Origins *origins, const Origin *from, bool own, int64_t now_us)
{
    Origin *origin;
    Origin *oldest;

    expire(origins, now_us);
    origin = g_hash_table_lookup(origins->rows, &from->request);
    if (origin != NULL) {
        drop(origins, origin);
    }
    oldest = TAILQ_LAST(&origins->list, OriginList);
    if (oldest != NULL && g_hash_table_size(origins->rows) >= ORIGINS_MAX) {
        Met_Add(MET_ORIGINS_DROPPED, 1);
        drop(origins, oldest);
    }
    origin = g_new0(Origin, 1);
    origin->request = from->request;
    origin->version = from->version;
    origin->worker = from->worker;
    origin->until_us = MIN(from->until_us, now_us + ORIGINS_KEEP_MAX_US);
    origin->tells_left = own ? ORIGINS_TELLS : 0;
    origins->untold += own;
    g_hash_table_insert(origins->rows, &origin->request, origin);
    TAILQ_INSERT_HEAD(&origins->list, origin, links);
}

const Origin *
Origins_Find(const Origins *origins, uint64_t request, int64_t now_us)
{
    const Origin *origin = g_hash_table_lookup(origins->rows, &request);

    return origin != NULL && now_us < origin->until_us ? origin : NULL;
}

Origin *
Origins_NextToTell(const Origins *origins, const Origin *previous,
                   int64_t now_us)
{
    Origin *origin = previous != NULL ? TAILQ_NEXT(previous, links)
                                      : TAILQ_FIRST(&origins->list);

    if (origins->untold == 0) {
        return NULL;
    }
    while (origin != NULL &&
           (origin->tells_left == 0 || now_us >= origin->until_us)) {
        origin = TAILQ_NEXT(origin, links);
    }
    return origin;
}

void
Origins_NoteTold(Origins *origins, Origin *origin)
{
    origin->tells_left--;
    origins->untold -= origin->tells_left == 0;
}

static void
drop(Origins *origins, Origin *origin)
{
    origins->untold -= origin->tells_left > 0;
    g_hash_table_remove(origins->rows, &origin->request);
    TAILQ_REMOVE(&origins->list, origin, links);
    g_free(origin);
}

/* Drops the oldest records that are over. Those behind one that is kept wait
   for it, as callers have about the same time. */
static void
expire(Origins *origins, int64_t now_us)
{
    Origin *oldest;

    while ((oldest = TAILQ_LAST(&origins->list, OriginList)) != NULL &&
           now_us >= oldest->until_us) {
        drop(origins, oldest);
    }
}
