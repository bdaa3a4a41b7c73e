/* Server-sent events (Sse_): splits a stream's body into complete events, so
   that the stream can move to another worker between two events.

   Callers read the same bytes with parsers of their own. By the standard a
   line ends with CR, LF or CR LF, the last ID of an event counts, a line
   without a colon is a field with an empty value, and a line of an unknown
   field is passed over; others compare the start of a line. So only events
   that both kinds read alike are valid:

   line             in a valid event
   version field    at most one, before all other lines; a number
   id               exactly one; a decimal number
   data             one or more
   comment          anywhere; a block of comments alone is valid, too
   anything else    never: other fields, fields without a colon or with
                    another case, blanks before the name, blank lines before
                    the event
   bytes            UTF-8 without NUL; CR only before LF */
#ifndef LS_SSE_H
#define LS_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Largest event: an event holds a few tokens, and bytes without the end of an
   event may come for ever, at all streams of a VM at a time. */
#define SSE_EVENT_MAX_BYTES (64 * 1024)

/* What a complete event is. Only the first two are valid. */
typedef enum SseForm {
    SSE_FORM_EVENT,   /* An ID and data. */
    SSE_FORM_COMMENT, /* Comments only. */
    SSE_FORM_NO_ID,
    SSE_FORM_NO_DATA,
    SSE_FORM_ID_MALFORMED, /* No decimal number, or above INT64_MAX - 1. */
    SSE_FORM_ID_REPEATED,
    SSE_FORM_VERSION_MALFORMED, /* No number, or not on the first line. */
    SSE_FORM_FIELD_UNKNOWN,     /* A line that is none of the table's. */
    SSE_FORM_BLANK_LINE,        /* Before the event. */
    SSE_FORM_BYTES_INVALID,     /* A lone CR, a NUL, or not UTF-8. */
    SSE_FORM_COUNT,
} SseForm;

typedef struct Sse {
    GByteArray *pending;       /* Bytes of an incomplete event. */
    size_t searched;           /* Bytes of them that hold no event's end. */
    const char *version_field; /* As in SseOptions. */
} Sse;

typedef struct SseOptions {
    /* Name of the field that tells the software version of an event, which
       outlives the Sse; NULL: there is none. */
    const char *version_field;
} SseOptions;

/* A complete event with its terminating blank line. */
typedef struct SseEvent {
    const char *data;
    size_t size;
    SseForm form;
    int64_t id; /* Of SSE_FORM_EVENT. */
} SseEvent;

void Sse_Init(Sse *sse, const SseOptions *options);
/* Frees the pending bytes. The Sse must be initialized again before use. */
void Sse_Clear(Sse *sse);
void Sse_Reset(Sse *sse); /* Discards the pending bytes before a new run. */
/* Appends bytes of the body to the pending bytes. */
void Sse_Feed(Sse *sse, const void *data, size_t size);
/* Whether the pending bytes are more than an event may have. To be called once
   Sse_Next() has returned false. */
bool Sse_IsEventTooLong(const Sse *sse);
/* Whether the pending bytes are a part of an event, or invalid, so that a
   stream which ends with them was broken off. Blank lines and comments belong
   to no event. To be called once Sse_Next() has returned false. */
bool Sse_IsInsideEvent(const Sse *sse);
/* Gets the next complete event, starting at *offset (0 for the first one), and
   advances *offset. Returns false if there is none. The event points into the
   pending bytes and is valid until they change. */
bool Sse_Next(Sse *sse, size_t *offset, SseEvent *event);
/* Whether the event may be passed on. */
bool Sse_IsValid(const SseEvent *event);
/* Returns the form's name for logs. */
const char *Sse_GetFormName(SseForm form);
/* Discards the pending bytes before the offset. */
void Sse_Drop(Sse *sse, size_t offset);

#endif
