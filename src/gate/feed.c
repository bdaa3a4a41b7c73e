#include "feed.h"
#include "access.h"
#include "survey.h"

#include "../log.h"
#include "../metrics.h"

#include <string.h>
#include <xxhash.h>

struct Feed {
    FeedOptions options;
    Snapshot *snapshot;
    XXH128_hash_t config_hash; /* Of the last text that was decoded. */
    bool has_plain_keys; /* The snapshot's configuration has keys, not only
                            their digests. */
};

static void apply_config(void *context, const void *text, size_t size,
                         uint64_t version);
static void set_entry(void *context, const char *id, const void *text,
                      size_t size, Pos position);
static void begin_sweep(void *context, uint64_t era);
static void end_sweep(void *context);
static void remove_entry(void *context, const char *id, Pos position);

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
    XXH128_hash_t hash = XXH3_128bits(text, size);
    LsError err = {0};
    RteTable *table;
    RteLimits limits;

    /* Each complete reading of the source brings the configuration again. */
    if (XXH128_isEqual(hash, feed->config_hash)) {
        return;
    }
    feed->config_hash = hash;
    table = decoder->decode_config(decoder->context, text, size, &err);
    if (table == NULL) {
        Met_Add(MET_CONFIG_REFUSED, 1);
        Log_WriteJson(LOG_LEVEL_WARNING, "config_refused",
                      json_pack("{s:i,s:s}", "number", (int)err.code, "cause",
                                err.message));
        return;
    }
    limits = table->limits;
    if (table->version > Snapshot_GetVersion(feed->snapshot)) {
        feed->has_plain_keys = table->has_plain_keys;
    }
    Snapshot_SetConfig(feed->snapshot, text, size, table->version);
    if (Gate_SetTable(feed->options.gate, table)) {
        feed->options.on_limits(feed->options.context, &limits);
    }
}

GByteArray *
Feed_PackSnapshot(Feed *feed, Pos since)
{
    const FeedDecoder *decoder = feed->options.decoder;
    gsize size = 0;
    const void *text;
    char *hidden;

    if (feed->has_plain_keys) {
        text = Snapshot_GetConfig(feed->snapshot, &size);
        hidden = decoder->hide_keys(decoder->context, text, size);
        Snapshot_ReplaceConfig(feed->snapshot, hidden != NULL ? hidden : "",
                               hidden != NULL ? strlen(hidden) : 0);
        g_free(hidden);
        feed->has_plain_keys = false;
    }
    return Snapshot_Pack(feed->snapshot, since);
}

void
Feed_SetEntry(Feed *feed, const char *id, const void *text, size_t size,
              Pos position)
{
    const FeedDecoder *decoder = feed->options.decoder;
    Fleet *fleet = feed->options.fleet;
    int64_t now_us = Clk_Now(feed->options.clk);
    const FleetWorker *worker;
    FleetEntry entry;
    LsError err = {0};
    bool is_known = Snapshot_HasEntry(feed->snapshot, id, position);

    Snapshot_SetEntry(feed->snapshot, id, text, size, position);
    if (Fleet_KeepEntry(fleet, id, position)) {
        return;
    }
    if (decoder->decode_entry(decoder->context, id, text, size, position,
                              &entry, &err) != LS_OK) {
        if (!is_known) {
            Met_Add(MET_ENTRIES_UNREADABLE, 1);
            Log_WriteJson(LOG_LEVEL_INFO, "worker_unreadable",
                          json_pack("{s:s,s:I,s:I,s:s}", "worker", id, "era",
                                    (json_int_t)position.era, "revision",
                                    (json_int_t)position.revision, "cause",
                                    err.message));
        }
        Fleet_RejectEntry(fleet, id, position, now_us);
        return;
    }
    worker = Fleet_SetEntry(fleet, &entry, now_us);
    if (worker != NULL) {
        Log_WriteJson(
            LOG_LEVEL_INFO, "worker",
            json_pack("{s:s,s:I,s:s,s:s,s:s,s:i,s:b,s:b,s:I,s:I}", "worker",
                      id, "born", (json_int_t)entry.born_ms, "version",
                      entry.version, "address", entry.address, "service",
                      entry.service, "phase", (int)entry.phase, "draining",
                      (int)worker->entry.draining, "doubted",
                      (int)(now_us < worker->doubted_until_us), "era",
                      (json_int_t)position.era, "revision",
                      (json_int_t)position.revision));
    }
}

void
Feed_RemoveEntry(Feed *feed, const char *id, Pos position)
{
    Log_WriteJson(LOG_LEVEL_INFO, "worker_gone",
                  json_pack("{s:s,s:I,s:I}", "worker", id, "era",
                            (json_int_t)position.era, "revision",
                            (json_int_t)position.revision));
    Snapshot_RemoveEntry(feed->snapshot, id, position);
    Fleet_RemoveEntry(feed->options.fleet, id, position,
                      Clk_Now(feed->options.clk));
}

void
Feed_BeginSweep(Feed *feed, uint64_t era)
{
    Access_NoteEra(feed->options.gate, era);
    Snapshot_BeginSweep(feed->snapshot, era);
    Fleet_BeginSweep(feed->options.fleet, era, Clk_Now(feed->options.clk));
}

void
Feed_EndSweep(Feed *feed)
{
    Fleet *fleet = feed->options.fleet;
    bool is_first = fleet->complete_us == 0;

    Snapshot_EndSweep(feed->snapshot);
    Fleet_EndSweep(fleet, Clk_Now(feed->options.clk));
    if (is_first) {
        Survey_BeginAll(feed->options.gate);
    }
}

void
Feed_NoteProof(Feed *feed, uint64_t era, int64_t asked_us)
{
    Access_NoteProof(feed->options.gate, era, asked_us, "source");
}

void
Feed_NoteEra(Feed *feed, uint64_t era)
{
    Access_NoteEra(feed->options.gate, era);
}

int64_t
Feed_Now(const Feed *feed)
{
    return Access_Now(feed->options.gate);
}

bool
Feed_NeedsProof(const Feed *feed)
{
    return Access_NeedsLease(feed->options.gate);
}

uint32_t
Feed_GetWatchTime(const Feed *feed, uint32_t most_ms)
{
    const Gate *gate = feed->options.gate;
    int64_t watch_ms;

    if (!Feed_NeedsProof(feed)) {
        return most_ms;
    }
    watch_ms = KeyLease_GetWatchTime(&gate->key_lease, Access_Now(gate)) /
               CLK_US_PER_MS;
    return (uint32_t)MIN(MAX(watch_ms, 1), most_ms);
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
          Pos position)
{
    Feed_SetEntry(context, id, text, size, position);
}

static void
begin_sweep(void *context, uint64_t era)
{
    Feed_BeginSweep(context, era);
}

static void
end_sweep(void *context)
{
    Feed_EndSweep(context);
}

static void
remove_entry(void *context, const char *id, Pos position)
{
    Feed_RemoveEntry(context, id, position);
}
