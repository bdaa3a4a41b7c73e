/* Event reader of a soak test's callers. See event_reader.h. */
#include "event_reader.h"

#include <string.h>

static void end_line(EventReader *reader);
static bool is_field(const GString *line, size_t size, const char *name);
static void end_piece(EventReader *reader);

void
EventReader_Init(EventReader *reader, void *context,
                 void (*on_piece)(void *context,
                                  const EventReaderPiece *piece))
{
    memset(reader, 0, sizeof(*reader));
    reader->line = g_string_new(NULL);
    reader->id = g_string_new(NULL);
    reader->data = g_string_new(NULL);
    reader->context = context;
    reader->on_piece = on_piece;
}

void
EventReader_Clear(EventReader *reader)
{
    g_string_free(reader->line, TRUE);
    g_string_free(reader->id, TRUE);
    g_string_free(reader->data, TRUE);
    memset(reader, 0, sizeof(*reader));
}

void
EventReader_Feed(EventReader *reader, const void *data, size_t size)
{
    const char *bytes = data;

    for (size_t i = 0; i < size; i++) {
        bool is_end =
            bytes[i] == '\r' || (bytes[i] == '\n' && !reader->is_after_cr);
        if (is_end) {
            end_line(reader);
        }
        else if (bytes[i] != '\n') {
            g_string_append_c(reader->line, bytes[i]);
        }
        reader->is_after_cr = bytes[i] == '\r';
    }
}

bool
EventReader_IsInside(const EventReader *reader)
{
    const EventReaderPiece *piece = &reader->piece;

    return reader->line->len > 0 ||
           piece->ids + piece->data_lines + piece->others > 0;
}

static void
end_line(EventReader *reader)
{
    GString *line = reader->line;
    const char *colon = memchr(line->str, ':', line->len);
    size_t size = colon != NULL ? (size_t)(colon - line->str) : line->len;
    const char *value = colon != NULL ? colon + 1 : "";
    bool has_nul = memchr(line->str, '\0', line->len) != NULL;

    value += *value == ' ' ? 1 : 0;
    if (line->len == 0) {
        end_piece(reader);
    }
    else if (is_field(line, size, "id") && !has_nul) {
        reader->piece.ids++;
        g_string_assign(reader->id, value);
    }
    else if (is_field(line, size, "data") && !has_nul) {
        if (reader->piece.data_lines++ > 0) {
            g_string_append_c(reader->data, '\n');
        }
        g_string_append(reader->data, value);
    }
    else if (size > 0) {
        reader->piece.others++;
    }
    g_string_truncate(line, 0);
}

/* Whether the name of the line's field, `size` bytes, is this one. */
static bool
is_field(const GString *line, size_t size, const char *name)
{
    return size == strlen(name) && memcmp(line->str, name, size) == 0;
}

static void
end_piece(EventReader *reader)
{
    EventReaderPiece piece = reader->piece;

    piece.id = reader->id->str;
    piece.data = reader->data->str;
    if (piece.ids + piece.data_lines + piece.others > 0) {
        reader->on_piece(reader->context, &piece);
    }
    memset(&reader->piece, 0, sizeof(reader->piece));
    g_string_truncate(reader->id, 0);
    g_string_truncate(reader->data, 0);
}
