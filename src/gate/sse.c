/* Server-sent events: splits a body into events. See sse.h. */
#include "sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Lines of an event that were read. */
typedef struct SseFields {
    uint32_t ids;
    uint32_t data;
    uint32_t comments;
    uint32_t versions;
} SseFields;

static size_t find_end(const char *data, size_t from, size_t size);
static SseForm read_fields(const Sse *sse, SseEvent *event);
static SseForm read_line(const Sse *sse, const char *line, const char *end,
                         SseEvent *event, SseFields *fields);
static bool is_field(const char *line, const char *end, const char *name);
static bool read_number(const char *value, const char *end, int64_t *number);
static bool are_bytes_valid(const char *data, size_t size);

void
Sse_Init(Sse *sse, const SseOptions *options)
{
    sse->pending = g_byte_array_new();
    sse->searched = 0;
    sse->version_field = options->version_field;
}

void
Sse_Clear(Sse *sse)
{
    g_byte_array_free(sse->pending, TRUE);
    sse->pending = NULL;
}

void
Sse_Reset(Sse *sse)
{
    g_byte_array_set_size(sse->pending, 0);
    sse->searched = 0;
}

void
Sse_Feed(Sse *sse, const void *data, size_t size)
{
    g_byte_array_append(sse->pending, data, (guint)size);
}

bool
Sse_IsEventTooLong(const Sse *sse)
{
    return sse->pending->len > SSE_EVENT_MAX_BYTES;
}

bool
Sse_IsInsideEvent(const Sse *sse)
{
    const char *line = (const char *)sse->pending->data;
    const char *end = line + sse->pending->len;

    if (!are_bytes_valid(line, sse->pending->len)) {
        return true;
    }
    while (line < end) {
        const char *next = memchr(line, '\n', (size_t)(end - line));
        bool blank = next == line || (next == line + 1 && *line == '\r');
        if (next == NULL || (!blank && *line != ':')) {
            return true;
        }
        line = next + 1;
    }
    return false;
}

bool
Sse_Next(Sse *sse, size_t *offset, SseEvent *event)
{
    const char *data = (const char *)sse->pending->data;
    size_t from = MAX(*offset, sse->searched);
    size_t end = find_end(data, from, sse->pending->len);

    if (end == 0) {
        /* An end that is incomplete so far may begin in the last two bytes. */
        sse->searched = sse->pending->len > 2 ? sse->pending->len - 2 : 0;
        return false;
    }
    memset(event, 0, sizeof(*event));
    event->data = data + *offset;
    event->size = end - *offset;
    event->form = read_fields(sse, event);
    *offset = end;
    return true;
}

bool
Sse_IsValid(const SseEvent *event)
{
    return event->form == SSE_FORM_EVENT || event->form == SSE_FORM_COMMENT;
}

const char *
Sse_GetFormName(SseForm form)
{
    static const char *const names[SSE_FORM_COUNT] = {
        [SSE_FORM_EVENT] = "event",
        [SSE_FORM_COMMENT] = "comment",
        [SSE_FORM_NO_ID] = "no ID",
        [SSE_FORM_NO_DATA] = "no data",
        [SSE_FORM_ID_MALFORMED] = "ID is no number",
        [SSE_FORM_ID_REPEATED] = "several IDs",
        [SSE_FORM_VERSION_MALFORMED] = "version misplaced or no number",
        [SSE_FORM_FIELD_UNKNOWN] = "unknown line",
        [SSE_FORM_BLANK_LINE] = "blank line before the event",
        [SSE_FORM_BYTES_INVALID] = "invalid bytes",
    };

    return names[form];
}

void
Sse_Drop(Sse *sse, size_t offset)
{
    if (offset > 0) {
        g_byte_array_remove_range(sse->pending, 0, (guint)offset);
        sse->searched -= MIN(sse->searched, offset);
    }
}

/* Returns the offset after the first blank line at `from` or later, or 0 if
   there is none. */
static size_t
find_end(const char *data, size_t from, size_t size)
{
    while (from + 1 < size) {
        const char *line = memchr(data + from, '\n', size - from);
        if (line == NULL) {
            return 0;
        }
        from = (size_t)(line - data) + 1;
        if (from < size && data[from] == '\n') {
            return from + 1;
        }
        if (from + 1 < size && data[from] == '\r' && data[from + 1] == '\n') {
            return from + 2;
        }
    }
    return 0;
}

/* Reads the event's lines and returns its form. */
static SseForm
read_fields(const Sse *sse, SseEvent *event)
{
    const char *line = event->data;
    const char *end = event->data + event->size;
    SseFields fields = {0};

    if (!are_bytes_valid(event->data, event->size)) {
        return SSE_FORM_BYTES_INVALID;
    }
    while (line < end) {
        const char *next = memchr(line, '\n', (size_t)(end - line));
        const char *line_end =
            next > line && next[-1] == '\r' ? next - 1 : next;
        SseForm form;
        if (line_end == line && next + 1 == end) {
            break; /* The blank line that ends the event. */
        }
        form = read_line(sse, line, line_end, event, &fields);
        if (form != SSE_FORM_EVENT) {
            return form;
        }
        line = next + 1;
    }
    if (fields.ids == 0 && fields.data == 0 && fields.versions == 0) {
        return fields.comments > 0 ? SSE_FORM_COMMENT : SSE_FORM_BLANK_LINE;
    }
    if (fields.ids == 0) {
        return SSE_FORM_NO_ID;
    }
    return fields.data > 0 ? SSE_FORM_EVENT : SSE_FORM_NO_DATA;
}

/* Reads one line, without its end. Returns SSE_FORM_EVENT if it is valid. */
static SseForm
read_line(const Sse *sse, const char *line, const char *end, SseEvent *event,
          SseFields *fields)
{
    int64_t version;

    if (line == end) {
        return SSE_FORM_BLANK_LINE;
    }
    if (*line == ':') {
        fields->comments++;
        return SSE_FORM_EVENT;
    }
    if (is_field(line, end, "data")) {
        fields->data++;
        return SSE_FORM_EVENT;
    }
    if (is_field(line, end, "id")) {
        if (fields->ids++ > 0) {
            return SSE_FORM_ID_REPEATED;
        }
        return read_number(line + strlen("id:"), end, &event->id)
                   ? SSE_FORM_EVENT
                   : SSE_FORM_ID_MALFORMED;
    }
    if (sse->version_field != NULL &&
        is_field(line, end, sse->version_field)) {
        bool is_first = fields->versions++ == 0 && line == event->data;
        return is_first && read_number(line + strlen(sse->version_field) + 1,
                                       end, &version)
                   ? SSE_FORM_EVENT
                   : SSE_FORM_VERSION_MALFORMED;
    }
    return SSE_FORM_FIELD_UNKNOWN;
}

/* Whether the line begins with the name and a colon. */
static bool
is_field(const char *line, const char *end, const char *name)
{
    size_t size = strlen(name);

    return (size_t)(end - line) > size && memcmp(line, name, size) == 0 &&
           line[size] == ':';
}

/* Reads a field's value that is a decimal number and nothing else, after at
   most one blank. */
static bool
read_number(const char *value, const char *end, int64_t *number)
{
    const char *digits = value < end && *value == ' ' ? value + 1 : value;
    char *after = NULL;

    if (digits == end || !g_ascii_isdigit(*digits) ||
        (*digits == '0' && digits + 1 < end)) {
        return false;
    }
    errno = 0;
    *number = strtoll(digits, &after, 10);
    return errno == 0 && after == end && *number < INT64_MAX;
}

/* Whether the bytes are UTF-8 without NUL, in which each CR ends a line
   together with LF. A character that is incomplete at the end is invalid. */
static bool
are_bytes_valid(const char *data, size_t size)
{
    const char *at = data;
    const char *end = data + size;

    if (size == 0) {
        return true;
    }
    while ((at = memchr(at, '\r', (size_t)(end - at))) != NULL) {
        at++;
        if (at == end || *at != '\n') {
            return false;
        }
    }
    return g_utf8_validate(data, (gssize)size, NULL);
}
