/* Header fields (Hdr_): a list of HTTP header fields in the order and spelling
   in which they arrived. Names are compared without case. */
#ifndef LS_HEADERS_H
#define LS_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct HdrField {
    char *name;
    char *value;
} HdrField;

typedef struct HdrList {
    GArray *fields; /* HdrField elements. */
} HdrList;

/* Assembles fields from the pieces of names and values that http_parser
   passes to its callbacks. */
typedef struct HdrReader {
    GString *name;
    GString *value;
    bool in_value; /* The last piece belonged to a value. */
} HdrReader;

HdrList *Hdr_New(void);
void Hdr_Free(HdrList *list); /* NULL is allowed. */
/* Both copy name and value. */
void Hdr_Add(HdrList *list, const char *name, const char *value);
void Hdr_AddBytes(HdrList *list, const char *name, size_t name_size,
                  const char *value, size_t value_size);
/* Returns the value of the first field of this name, or NULL. The value
   belongs to the list. */
const char *Hdr_Find(const HdrList *list, const char *name);
/* Returns the number of fields of this name. */
guint Hdr_Count(const HdrList *list, const char *name);
/* Whether a comma-separated field of this name has the token, in any case. */
bool Hdr_HasToken(const HdrList *list, const char *name, const char *token);
/* Copies the end-to-end fields: all but those of one connection and those of
   the message's framing. */
void Hdr_CopyEndToEnd(HdrList *to, const HdrList *from);

void Hdr_InitReader(HdrReader *reader);
void Hdr_ClearReader(HdrReader *reader); /* Frees the reader's buffers. */
void Hdr_ResetReader(HdrReader *reader); /* Prepares for the next message. */
/* Append a piece of a field's name or value. A name that follows a value adds
   the finished field to the list. */
void Hdr_ReadName(HdrReader *reader, HdrList *list, const char *at,
                  size_t size);
void Hdr_ReadValue(HdrReader *reader, const char *at, size_t size);
/* Adds the last field to the list, at the end of the header. */
void Hdr_EndField(HdrReader *reader, HdrList *list);

#endif
