/* Server-sent events: splits a body into events. See sse.h. */
#include "sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static size_t find_end(const char *data, size_t from, size_t size);
static void read_fields(SseEvent *event);
static bool read_id(const char *value, const char *end, int64_t *id);

void
Sse_Init(Sse *sse)
{
    sse->pending = g_byte_array_new();
    sse->searched = 0;
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
    read_fields(event);
    *offset = end;
    return true;
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

/* Fills in `has_data`, and what the event's first "id:" line tells. */
static void
read_fields(SseEvent *event)
{
    const char *line = event->data;
    const char *end = event->data + event->size;

    while (line < end) {
        const char *next = memchr(line, '\n', (size_t)(end - line));
        if (next == NULL) {
            return;
        }
        if (!event->has_id && !event->is_id_malformed && next - line >= 3 &&
            memcmp(line, "id:", 3) == 0) {
            event->has_id = read_id(line + 3, next, &event->id);
            event->is_id_malformed = !event->has_id;
        }
        event->has_data |= next - line >= 5 && memcmp(line, "data:", 5) == 0;
        line = next + 1;
    }
}

/* Reads a field's value that is a number and nothing else. */
static bool
read_id(const char *value, const char *end, int64_t *id)
{
    char *after = NULL;

    while (value < end && *value == ' ') {
        value++;
    }
    if (value == end || !g_ascii_isdigit(*value)) {
        return false;
    }
    errno = 0;
    *id = strtoll(value, &after, 10);
    while (after < end && (*after == ' ' || *after == '\r')) {
        after++;
    }
    return errno == 0 && after == end && *id < INT64_MAX;
}
