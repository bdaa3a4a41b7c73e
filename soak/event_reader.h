/* Event reader (EventReader_): reads a stream's events as a caller's parser
   does by the standard of server-sent events: CR, LF or CR LF end a line, the
   last ID of an event counts, and a line without a colon is a field. The gate
   has a reader of its own, so that a difference between both shows. */
#ifndef LS_EVENT_READER_H
#define LS_EVENT_READER_H

#include <glib.h>
#include <stdbool.h>

/* What a blank line ends, unless it has comments only. The texts are valid
   during the callback. */
typedef struct EventReaderPiece {
    const char *id;   /* The last one; "" if it has none, or an empty one. */
    const char *data; /* Lines joined by LF. */
    guint ids;        /* Lines of each field. */
    guint data_lines;
    guint others; /* Lines of other fields, and those with a NUL. */
} EventReaderPiece;

typedef struct EventReader {
    GString *line;
    GString *id;
    GString *data;
    EventReaderPiece piece;
    bool is_after_cr; /* An LF belongs to the end of the last line. */
    void *context;
    void (*on_piece)(void *context, const EventReaderPiece *piece);
} EventReader;

void EventReader_Init(EventReader *reader, void *context,
                      void (*on_piece)(void *context,
                                       const EventReaderPiece *piece));
void EventReader_Clear(EventReader *reader);
/* Reads bytes of the body and calls on_piece() for each piece that ends. */
void EventReader_Feed(EventReader *reader, const void *data, size_t size);
/* Whether a part of a piece has been read. */
bool EventReader_IsInside(const EventReader *reader);

#endif
