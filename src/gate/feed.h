/* Feed: takes what the source says, whether it comes from the source itself
   or from another VM, into the gate's routes, the fleet and the picture. */
#ifndef LS_FEED_H
#define LS_FEED_H

#include "gate.h"
#include "pic.h"

/* Reads the source's own formats. Callbacks get `context` first. */
typedef struct FeedDecoder {
    void *context;
    /* A table, or NULL with *err filled in. */
    RteTable *(*decode_config)(void *context, const void *text, size_t size,
                               LsError *err);
    LsResult (*decode_entry)(void *context, const char *id, const void *text,
                             size_t size, uint64_t revision, FltEntry *entry,
                             LsError *err);
} FeedDecoder;

typedef struct FeedOptions {
    const Clk *clk;
    Gate *gate;
    Flt *fleet;
    const FeedDecoder *decoder;
    void *context;
    void (*on_limits)(void *context, const RteLimits *limits);
} FeedOptions;

typedef struct Feed Feed;

Feed *Feed_New(const FeedOptions *options);
void Feed_Free(Feed *feed);
const Pic *Feed_GetSnapshot(const Feed *feed);

void Feed_ApplyConfig(Feed *feed, const void *text, size_t size);
void Feed_SetEntry(Feed *feed, const char *id, const void *text, size_t size,
                   uint64_t revision);
void Feed_RemoveEntry(Feed *feed, const char *id, uint64_t revision);
/* Between these two all entries that stand are taken; the others are gone. */
void Feed_BeginSweep(Feed *feed);
void Feed_EndSweep(Feed *feed);
/* Takes what is newer in another VM's picture. */
bool Feed_ApplySnapshot(Feed *feed, const void *data, size_t size);

#endif
