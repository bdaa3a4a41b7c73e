/* Feed: applies the configuration and the workers' entries of the source (the
   store of configuration and workers) to the gate's routes, the fleet and the
   snapshot. They come from the source itself or from another VM. */
#ifndef LS_FEED_H
#define LS_FEED_H

#include "gate.h"
#include "snapshot.h"

/* Decodes the source's formats. Callbacks get `context` as first argument. */
typedef struct FeedDecoder {
    void *context;
    /* Returns a table that the caller owns, or NULL with *err filled in. */
    RteTable *(*decode_config)(void *context, const void *text, size_t size,
                               LsError *err);
    /* Returns the configuration with the digests of keys in place of the keys,
       which decode_config() reads, too, or NULL if it holds no key. The caller
       frees it with g_free(). */
    char *(*hide_keys)(void *context, const void *text, size_t size);
    /* Fills in *entry, or returns an error with *err filled in. */
    LsResult (*decode_entry)(void *context, const char *id, const void *text,
                             size_t size, Pos position, FleetEntry *entry,
                             LsError *err);
} FeedDecoder;

typedef struct FeedOptions {
    const Clk *clk;
    Gate *gate;
    Fleet *fleet;
    const FeedDecoder *decoder;
    void *context;
    /* Called when a new configuration is in force, with its limits. */
    void (*on_limits)(void *context, const RteLimits *limits);
} FeedOptions;

typedef struct Feed Feed;

Feed *Feed_New(const FeedOptions *options);
void Feed_Free(Feed *feed); /* NULL is allowed. */
/* Returns the current snapshot, which belongs to the feed. */
const Snapshot *Feed_GetSnapshot(const Feed *feed);

/* Packs the snapshot as Snapshot_Pack(), for another VM. Digests replace the
   keys of accounts, once for each configuration: writing a large one anew
   takes as long as decoding it, and few VMs are asked. */
GByteArray *Feed_PackSnapshot(Feed *feed, Pos since);

/* Decodes a configuration and puts it in force if its version is newer. A
   malformed one is logged and ignored. */
void Feed_ApplyConfig(Feed *feed, const void *text, size_t size);
/* Adds or updates a worker by its entry. A malformed entry is logged
   and names no worker to use. */
void Feed_SetEntry(Feed *feed, const char *id, const void *text, size_t size,
                   Pos position);
void Feed_RemoveEntry(Feed *feed, const char *id, Pos position);
/* Enclose the setting of all entries that exist in one era: Feed_EndSweep()
   removes the workers that were not set since Feed_BeginSweep(). */
void Feed_BeginSweep(Feed *feed, uint64_t era);
void Feed_EndSweep(Feed *feed);
/* The source itself has answered a question that was begun at `asked_us`, as
   in Access_Now(), and all that it returned was applied: the configuration is
   the newest one of this era at that time. */
void Feed_NoteProof(Feed *feed, uint64_t era, int64_t asked_us);
/* The source is in this era. */
void Feed_NoteEra(Feed *feed, uint64_t era);
int64_t Feed_Now(const Feed *feed); /* As Access_Now(). */
/* Whether it matters that the configuration is shown to be the newest. */
bool Feed_NeedsProof(const Feed *feed);
/* Returns how long the source may hold a question open, ms, or `most_ms` if
   that is less. */
uint32_t Feed_GetWatchTime(const Feed *feed, uint32_t most_ms);
/* Applies the newer parts of another VM's snapshot. Returns false if the
   message is malformed. */
bool Feed_ApplySnapshot(Feed *feed, const void *data, size_t size);

#endif
