/* Pic: what this VM knows of configuration and workers, in the source's own
   bytes, so that a VM which the source turns away can have it from another
   VM. Versions and revisions only grow. */
#ifndef LS_PIC_H
#define LS_PIC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Takes what is newer in another VM's picture. */
typedef struct PicHandler {
    void *context;
    void (*on_config)(void *context, const void *text, size_t size,
                      uint64_t version);
    /* All workers follow, between these two. */
    void (*on_sweep_begin)(void *context);
    void (*on_entry)(void *context, const char *id, const void *text,
                     size_t size, uint64_t revision);
    void (*on_sweep_end)(void *context);
} PicHandler;

typedef struct Pic Pic;

Pic *Pic_New(void);
void Pic_Free(Pic *pic);
void Pic_SetConfig(Pic *pic, const void *text, size_t size, uint64_t version);
void Pic_SetEntry(Pic *pic, const char *id, const void *text, size_t size,
                  uint64_t revision);
void Pic_RemoveEntry(Pic *pic, const char *id, uint64_t revision);
void
Pic_ClearEntries(Pic *pic); /* Drops the workers, before all are set anew. */
uint64_t Pic_GetVersion(const Pic *pic);
uint64_t Pic_GetRevision(const Pic *pic);

GByteArray *Pic_Pack(const Pic *pic); /* For another VM. */
/* Hands over what is newer than `pic`; false if the bytes are malformed. */
bool Pic_Apply(const Pic *pic, const void *data, size_t size,
               const PicHandler *taker);

#endif
