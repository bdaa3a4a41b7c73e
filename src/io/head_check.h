/* Head check (HeadCheck_): validates the bytes of message heads and trailers
   (RFC 9112, sections 3 to 5) before the parser gets them. http_parser, as
   packaged, isn't strict: it takes any three digits for a status, passes on a
   name that holds a blank, and reads "Content-Length : 2" as a length. */
#ifndef LS_HEAD_CHECK_H
#define LS_HEAD_CHECK_H

#include <stdbool.h>
#include <stddef.h>

typedef enum HeadCheckKind {
    HEAD_CHECK_RESPONSE,
    HEAD_CHECK_REQUEST,
    HEAD_CHECK_TRAILER, /* Field lines only. */
} HeadCheckKind;

typedef enum HeadCheckState {
    HEAD_CHECK_STATUS,       /* Version and status of a response. */
    HEAD_CHECK_REASON,       /* Rest of the status line. */
    HEAD_CHECK_REQUEST_LINE, /* Method, target and version. */
    HEAD_CHECK_LINE,         /* Start of a field line, or the empty line. */
    HEAD_CHECK_NAME,
    HEAD_CHECK_VALUE,
    HEAD_CHECK_LINE_END,  /* LF of a line. */
    HEAD_CHECK_EMPTY_END, /* LF of the empty line. */
    HEAD_CHECK_OVER,
} HeadCheckState;

typedef struct HeadCheck {
    HeadCheckState state;
    size_t read; /* Bytes of the start line so far. */
} HeadCheck;

void HeadCheck_Begin(HeadCheck *check, HeadCheckKind kind);
/* Reads the next bytes, up to the end of the head, and sets `used` to their
   number. Returns false if the head is malformed; it must not be used then. A
   line that continues the one before it (obs-fold) is malformed, as its value
   holds a line end. */
bool HeadCheck_Read(HeadCheck *check, const char *data, size_t size,
                    size_t *used);
/* Whether the head has been read to its end. */
bool HeadCheck_IsOver(const HeadCheck *check);
/* Whether a single field can stand in a head or in trailers. */
bool HeadCheck_IsField(const char *name, size_t name_size, const char *value,
                       size_t value_size);

#endif
