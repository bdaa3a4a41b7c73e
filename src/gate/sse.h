/* Server-sent events (Sse_): splits a stream's body into complete events, so
   that the stream can move to another worker between two events. */
#ifndef LS_SSE_H
#define LS_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Largest event: an event holds a few tokens, and bytes without the end of an
   event may come for ever, at all streams of a VM at a time. */
#define SSE_EVENT_MAX_BYTES (64 * 1024)

typedef struct Sse {
    GByteArray *pending; /* Bytes of an incomplete event. */
    size_t searched;     /* Bytes of them that hold no event's end. */
} Sse;

/* A complete event with its terminating blank line. */
typedef struct SseEvent {
    const char *data;
    size_t size;
    bool has_id;
    bool is_id_malformed; /* It has one that is no number. */
    bool has_data;
    int64_t id;
} SseEvent;

void Sse_Init(Sse *sse);
/* Frees the pending bytes. The Sse must be initialized again before use. */
void Sse_Clear(Sse *sse);
void Sse_Reset(Sse *sse); /* Discards the pending bytes before a new run. */
/* Appends bytes of the body to the pending bytes. */
void Sse_Feed(Sse *sse, const void *data, size_t size);
/* Whether the pending bytes are more than an event may have. To be called once
   Sse_Next() has returned false. */
bool Sse_IsEventTooLong(const Sse *sse);
/* Whether the pending bytes are a part of an event, so that a stream which
   ends with them was broken off. Blank lines and comments belong to no event.
   To be called once Sse_Next() has returned false. */
bool Sse_IsInsideEvent(const Sse *sse);
/* Gets the next complete event, starting at *offset (0 for the first one), and
   advances *offset. Returns false if there is none. The event points into the
   pending bytes and is valid until they change. */
bool Sse_Next(Sse *sse, size_t *offset, SseEvent *event);
/* Discards the pending bytes before the offset. */
void Sse_Drop(Sse *sse, size_t offset);

#endif
