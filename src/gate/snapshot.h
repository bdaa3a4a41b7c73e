/* Snapshot: the configuration and the workers' entries that this VM knows, in
   the bytes of the source (the store of configuration and workers). A VM that
   the source refuses, or that can't reach it, can get the snapshot from
   another VM instead, as the message Picture. The configuration's version only
   grows, whatever the era: a configuration that was in force may still be
   when the source returns from a copy, and is never replaced by an older
   one. */
#ifndef LS_SNAPSHOT_H
#define LS_SNAPSHOT_H

#include "position.h"

#include <glib.h>

/* The callbacks that apply the newer parts of another VM's snapshot. All must
   be set. */
typedef struct SnapshotHandler {
    void *context;
    void (*on_config)(void *context, const void *text, size_t size,
                      uint64_t version);
    /* on_sweep_begin() and on_sweep_end() enclose the on_entry() calls for all
       workers. */
    void (*on_sweep_begin)(void *context, uint64_t era);
    void (*on_entry)(void *context, const char *id, const void *text,
                     size_t size, Pos position);
    void (*on_sweep_end)(void *context);
    /* A worker that the other VM no longer has. */
    void (*on_remove)(void *context, const char *id, Pos position);
} SnapshotHandler;

typedef struct Snapshot Snapshot;

Snapshot *Snapshot_New(void);
void Snapshot_Free(Snapshot *snapshot); /* NULL is allowed. */
/* Copies the configuration, unless the same or a newer version is set. */
void Snapshot_SetConfig(Snapshot *snapshot, const void *text, size_t size,
                        uint64_t version);
/* Returns the text of the configuration, which belongs to the snapshot, or
   NULL if there is none, and stores its size. */
const void *Snapshot_GetConfig(const Snapshot *snapshot, size_t *size);
/* Replaces the text of the configuration, whose version stays. */
void Snapshot_ReplaceConfig(Snapshot *snapshot, const void *text, size_t size);
/* Copies the worker's entry, unless a newer one is set. */
void Snapshot_SetEntry(Snapshot *snapshot, const char *id, const void *text,
                       size_t size, Pos position);
/* Whether the entry with this position is known. */
bool Snapshot_HasEntry(const Snapshot *snapshot, const char *id, Pos position);
void Snapshot_RemoveEntry(Snapshot *snapshot, const char *id, Pos position);
/* Enclose the setting of a complete list of workers of one era: the entries
   that were not set meanwhile are removed. A sweep that has not ended is
   replaced by the next one. */
void Snapshot_BeginSweep(Snapshot *snapshot, uint64_t era);
void Snapshot_EndSweep(Snapshot *snapshot);
/* Whether a sweep has begun and not ended. Until then the snapshot holds a
   mixture that no other VM may get. */
bool Snapshot_IsSweeping(const Snapshot *snapshot);
/* Returns the configuration's version, or 0 if there is no configuration. */
uint64_t Snapshot_GetVersion(const Snapshot *snapshot);
/* Returns the last position of a set or removed entry. During a sweep it is
   the one before the sweep. */
Pos Snapshot_GetPosition(const Snapshot *snapshot);

/* Returns a digest of the workers' entries: two VMs with the same position and
   digest have the same entries. */
uint64_t Snapshot_GetDigest(const Snapshot *snapshot);

/* Returns the snapshot as a message for another VM that has all changes up to
   `since`: the changes only if that is in the same era, and else all. Returns
   NULL during a sweep. The caller frees it with g_byte_array_free(). */
GByteArray *Snapshot_Pack(const Snapshot *snapshot, Pos since);
/* Calls the handler for the parts of another VM's message that are newer than
   `snapshot`. A complete message of the same position replaces the entries,
   too. Returns false if the message is malformed. */
bool Snapshot_Apply(const Snapshot *snapshot, const void *data, size_t size,
                    const SnapshotHandler *handler);

#endif
