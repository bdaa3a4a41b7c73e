/* Origins: the software versions that began the streams of this VM and, by
   gossip, of other VMs. A caller that lost its connection may resume its
   stream at any VM. */
#ifndef LS_ORIGINS_H
#define LS_ORIGINS_H

#include "../clock.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/queue.h>

/* Most records; the oldest one is dropped for a further one. */
#define ORIGINS_MAX 65536
/* Longest time that a record is kept; it bounds what another VM may ask. */
#define ORIGINS_KEEP_MAX_US (120 * CLK_US_PER_S)
/* Messages to other VMs that tell a record; some of them get lost. */
#define ORIGINS_TELLS 4

typedef struct Origin {
    TAILQ_ENTRY(Origin) links;
    uint64_t request; /* Hash of the ID of the caller's request that brought
                         the first event. */
    uint32_t version; /* As in FleetWorker. */
    uint64_t worker;  /* Hash of the worker that has read the prompt. */
    int64_t until_us;
    uint32_t tells_left; /* Messages that are still to tell it. */
} Origin;

typedef TAILQ_HEAD(OriginList, Origin) OriginList;

typedef struct Origins {
    GHashTable *rows; /* Origin.request to Origin. */
    OriginList list;  /* The latest one first. */
    uint32_t untold;  /* Records that are still to be told. */
} Origins;

void Origins_Init(Origins *origins);
void Origins_Clear(Origins *origins);
/* Stores or replaces a record, of which `request`, `version`, `worker` and
   `until_us` are used. Those of this VM are `own` and told to the others. */
void Origins_Set(Origins *origins, const Origin *from, bool own,
                 int64_t now_us);
/* Returns the record of a stream, or NULL if it is unknown. */
const Origin *Origins_Find(const Origins *origins, uint64_t request,
                           int64_t now_us);
/* Returns the next record after `previous` that is to be told, the latest
   first, or NULL. Begins anew if `previous` is NULL. */
Origin *Origins_NextToTell(const Origins *origins, const Origin *previous,
                           int64_t now_us);
/* Notes that a message tells the record. */
void Origins_NoteTold(Origins *origins, Origin *origin);

#endif
