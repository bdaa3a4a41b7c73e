/* Header fields (Header_): a list of HTTP header fields in the order and
   spelling in which they arrived. Upper and lower case count as equal in
   names. */
#ifndef LS_HEADERS_H
#define LS_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct HeaderField {
    char *name;
    char *value;
} HeaderField;

typedef struct HeaderList {
    GArray *fields; /* HeaderField elements. */
} HeaderList;

/* Assembles fields from the pieces of names and values that http_parser
   passes to its callbacks. */
typedef struct HeaderReader {
    GString *name;
    GString *value;
    bool in_value; /* The last piece belonged to a value. */
} HeaderReader;

HeaderList *Header_New(void);
void Header_Free(HeaderList *list); /* NULL is allowed. */
/* Both copy name and value. */
void Header_Add(HeaderList *list, const char *name, const char *value);
void Header_AddBytes(HeaderList *list, const char *name, size_t name_size,
                     const char *value, size_t value_size);
/* Removes all fields with this name. */
void Header_Remove(HeaderList *list, const char *name);
/* Returns the value of the first field of this name, or NULL. The value
   belongs to the list. */
const char *Header_Find(const HeaderList *list, const char *name);
/* Returns the number of fields of this name. */
guint Header_Count(const HeaderList *list, const char *name);
/* Whether a comma-separated field of this name has the token. Upper and lower
   case count as equal. */
bool Header_HasToken(const HeaderList *list, const char *name,
                     const char *token);
/* Returns the idle time-out that a Keep-Alive field states, or `default_ms`.
 */
int64_t Header_GetIdleTimeout(const HeaderList *list, int64_t default_ms);
/* Appends the end-to-end fields of `from`: all but those of one connection and
   those of the message's framing. */
void Header_CopyEndToEnd(HeaderList *to, const HeaderList *from);

void Header_InitReader(HeaderReader *reader);
/* Frees the reader's buffers. */
void Header_ClearReader(HeaderReader *reader);
/* Prepares the reader for the next message. */
void Header_ResetReader(HeaderReader *reader);
/* Append a piece of a field's name or value. A name that follows a value adds
   the finished field to the list. */
void Header_ReadName(HeaderReader *reader, HeaderList *list, const char *at,
                     size_t size);
void Header_ReadValue(HeaderReader *reader, const char *at, size_t size);
/* Adds the last field to the list, at the end of the header. */
void Header_EndField(HeaderReader *reader, HeaderList *list);

#endif
