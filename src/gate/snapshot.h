/* Picture (Pic_): a snapshot of the configuration and the workers' entries
   that this VM knows, in the bytes of the source (the store of configuration
   and workers). A VM that the source rejects, or that can't reach it, can get
   the snapshot from another VM instead. Versions and revisions only grow. */
#ifndef LS_SNAPSHOT_H
#define LS_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The callbacks that apply the newer parts of another VM's snapshot. */
typedef struct PicHandler {
    void *context;
    void (*on_config)(void *context, const void *text, size_t size,
                      uint64_t version);
    /* The begin and end of a sweep enclose the entries of all workers. */
    void (*on_sweep_begin)(void *context);
    void (*on_entry)(void *context, const char *id, const void *text,
                     size_t size, uint64_t revision);
    void (*on_sweep_end)(void *context);
} PicHandler;

typedef struct Pic Pic;

Pic *Pic_New(void);
void Pic_Free(Pic *pic); /* NULL is allowed. */
/* Copies the configuration, unless a version as new is already set. */
void Pic_SetConfig(Pic *pic, const void *text, size_t size, uint64_t version);
/* Copies the worker's entry. */
void Pic_SetEntry(Pic *pic, const char *id, const void *text, size_t size,
                  uint64_t revision);
void Pic_RemoveEntry(Pic *pic, const char *id, uint64_t revision);
/* Removes all workers, before a complete list of them is set. */
void Pic_ClearEntries(Pic *pic);
uint64_t Pic_GetVersion(const Pic *pic); /* 0 if there is no configuration. */
uint64_t Pic_GetRevision(const Pic *pic);

/* Returns the snapshot as a message for another VM; the caller frees it. */
GByteArray *Pic_Pack(const Pic *pic);
/* Calls the handler for the parts of another VM's message that are newer than
   `pic`. Returns false if the message is malformed. */
bool Pic_Apply(const Pic *pic, const void *data, size_t size,
               const PicHandler *handler);

#endif
