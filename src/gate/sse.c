/* Server-sent events: splits a body into events. See sse.h. */
#include "sse.h"

#include <stdlib.h>
#include <string.h>

static size_t find_end(const char *data, size_t size);
static void read_id(SseEvent *event);

void
Sse_Init(Sse *sse)
{
    sse->pending = g_byte_array_new();
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
}

void
Sse_Feed(Sse *sse, const void *data, size_t size)
{
    g_byte_array_append(sse->pending, data, (guint)size);
}

bool
Sse_Next(const Sse *sse, size_t *offset, SseEvent *event)
{
    const char *data = (const char *)sse->pending->data + *offset;
    size_t left = sse->pending->len - *offset;
    size_t size = left > 0 ? find_end(data, left) : 0;

    if (size == 0) {
        return false;
    }
    memset(event, 0, sizeof(*event));
    event->data = data;
    event->size = size;
    read_id(event);
    *offset += size;
    return true;
}

void
Sse_Drop(Sse *sse, size_t offset)
{
    if (offset > 0) {
        g_byte_array_remove_range(sse->pending, 0, (guint)offset);
    }
}

/* Returns the size up to and including the first blank line, or 0. */
static size_t
find_end(const char *data, size_t size)
{
    for (size_t i = 0; i + 1 < size; i++) {
        if (data[i] != '\n') {
            continue;
        }
        if (data[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < size && data[i + 1] == '\r' && data[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

/* Fills in `id` and `has_id` from the event's first "id:" line, if any. */
static void
read_id(SseEvent *event)
{
    const char *line = event->data;
    const char *end = event->data + event->size;

    while (line < end) {
        const char *next = memchr(line, '\n', (size_t)(end - line));
        if (next == NULL) {
            return;
        }
        if (next - line > 3 && memcmp(line, "id:", 3) == 0) {
            event->id = strtoll(line + 3, NULL, 10);
            event->has_id = true;
            return;
        }
        line = next + 1;
    }
}
