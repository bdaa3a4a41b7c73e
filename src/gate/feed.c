#include "feed.h"

#include "../log.h"
#include "../metrics.h"

struct Feed {
    FeedOptions options;
    Snapshot *snapshot;
};

static void apply_config(void *context, const void *text, size_t size,
                         uint64_t version);
static void set_entry(void *context, const char *id, const void *text,
                      size_t size, uint64_t revision);
static void begin_sweep(void *context);
static void end_sweep(void *context);
static void remove_entry(void *context, const char *id, uint64_t revision);

Feed *
Feed_New(const FeedOptions *options)
{
    Feed *feed = g_new0(Feed, 1);

    feed->options = *options;
    feed->snapshot = Snapshot_New();
    return feed;
}

void
Feed_Free(Feed *feed)
{
    if (feed == NULL) {
        return;
    }
    Snapshot_Free(feed->snapshot);
    g_free(feed);
}

const Snapshot *
Feed_GetSnapshot(const Feed *feed)
{
    return feed->snapshot;
}

void
Feed_ApplyConfig(Feed *feed, const void *text, size_t size)
{
    const FeedDecoder *decoder = feed->options.decoder;
    LsError err = {0};
    RteTable *table =
        decoder->decode_config(decoder->context, text, size, &err);
    RteLimits limits;

    if (table == NULL) {
        Met_Add(MET_CONFIG_REFUSED, 1);
        Log_WriteJson(LOG_LEVEL_WARNING, "config_refused",
                      json_pack("{s:i,s:s}", "number", (int)err.code, "cause",
                                err.message));
        return;
    }
    limits = table->limits;
    Snapshot_SetConfig(feed->snapshot, text, size, table->version);
    if (Gate_SetTable(feed->options.gate, table)) {
        feed->options.on_limits(feed->options.context, &limits);
    }
}

void
Feed_SetEntry(Feed *feed, const char *id, const void *text, size_t size,
              uint64_t revision)
{
    const FeedDecoder *decoder = feed->options.decoder;
    Fleet *fleet = feed->options.fleet;
    FleetEntry entry;
    LsError err = {0};

    Snapshot_SetEntry(feed->snapshot, id, text, size, revision);
    if (Fleet_KeepEntry(fleet, id, revision)) {
        return;
    }
    if (decoder->decode_entry(decoder->context, id, text, size, revision,
                              &entry, &err) != LS_OK) {
        Log_WriteJson(LOG_LEVEL_INFO, "worker_unreadable",
                      json_pack("{s:s,s:I,s:s}", "worker", id, "revision",
                                (json_int_t)revision, "cause", err.message));
        Fleet_RemoveEntry(fleet, id, revision, Clk_Now(feed->options.clk));
        return;
    }
    if (Fleet_SetEntry(fleet, &entry) != NULL) {
        Log_WriteJson(LOG_LEVEL_INFO, "worker",
                      json_pack("{s:s,s:s,s:s,s:i,s:b,s:I}", "worker", id,
                                "address", entry.address, "service",
                                entry.service, "phase", (int)entry.phase,
                                "draining", (int)entry.draining, "revision",
                                (json_int_t)revision));
    }
}

void
Feed_RemoveEntry(Feed *feed, const char *id, uint64_t revision)
{
    Log_WriteJson(LOG_LEVEL_INFO, "worker_gone",
                  json_pack("{s:s,s:I}", "worker", id, "revision",
                            (json_int_t)revision));
    Snapshot_RemoveEntry(feed->snapshot, id, revision);
    Fleet_RemoveEntry(feed->options.fleet, id, revision,
                      Clk_Now(feed->options.clk));
}

void
Feed_BeginSweep(Feed *feed)
{
    Snapshot_ClearEntries(feed->snapshot);
    Fleet_BeginSweep(feed->options.fleet);
}

void
Feed_EndSweep(Feed *feed)
{
    Fleet_EndSweep(feed->options.fleet, Clk_Now(feed->options.clk));
}

bool
Feed_ApplySnapshot(Feed *feed, const void *data, size_t size)
{
    SnapshotHandler handler = {
        .context = feed,
        .on_config = apply_config,
        .on_sweep_begin = begin_sweep,
        .on_entry = set_entry,
        .on_sweep_end = end_sweep,
        .on_remove = remove_entry,
    };

    return Snapshot_Apply(feed->snapshot, data, size, &handler);
}

static void
apply_config(void *context, const void *text, size_t size, uint64_t version)
{
    (void)version;
    Feed_ApplyConfig(context, text, size);
}

static void
set_entry(void *context, const char *id, const void *text, size_t size,
          uint64_t revision)
{
    Feed_SetEntry(context, id, text, size, revision);
}

static void
begin_sweep(void *context)
{
    Feed_BeginSweep(context);
}

static void
end_sweep(void *context)
{
    Feed_EndSweep(context);
}

static void
remove_entry(void *context, const char *id, uint64_t revision)
{
    Feed_RemoveEntry(context, id, revision);
}
