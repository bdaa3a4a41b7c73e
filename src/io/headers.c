#include "headers.h"

#include <stdlib.h>
#include <string.h>

/* Longer idle time-outs count as this one. */
#define HEADER_IDLE_MAX_S 3600

/* Fields that are not forwarded: those of one connection (RFC 9110, section
   7.6.1), and others that each hop writes or handles itself, such as those of
   the framing. */
static const char *const hop_by_hop[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
    "Expect",     "Proxy-Authenticate"};

static void clear_field(gpointer data);
static bool is_hop_by_hop(const char *name);

HeaderList *
Header_New(void)
{
    HeaderList *list = g_new0(HeaderList, 1);

    list->fields = g_array_new(FALSE, FALSE, sizeof(HeaderField));
    g_array_set_clear_func(list->fields, clear_field);
    return list;
}

void
Header_Free(HeaderList *list)
{
    if (list == NULL) {
        return;
    }
    g_array_free(list->fields, TRUE);
    g_free(list);
}

void
Header_Add(HeaderList *list, const char *name, const char *value)
{
    Header_AddBytes(list, name, strlen(name), value, strlen(value));
}

void
Header_AddBytes(HeaderList *list, const char *name, size_t name_size,
                const char *value, size_t value_size)
{
    HeaderField field = {g_strndup(name, name_size),
                         g_strndup(value, value_size)};

    g_array_append_val(list->fields, field);
}

const char *
Header_Find(const HeaderList *list, const char *name)
{
    for (guint i = 0; i < list->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(list->fields, HeaderField, i);
        if (g_ascii_strcasecmp(field->name, name) == 0) {
            return field->value;
        }
    }
    return NULL;
}

guint
Header_Count(const HeaderList *list, const char *name)
{
    guint count = 0;

    for (guint i = 0; i < list->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(list->fields, HeaderField, i);
        count += g_ascii_strcasecmp(field->name, name) == 0;
    }
    return count;
}

bool
Header_HasToken(const HeaderList *list, const char *name, const char *token)
{
    for (guint i = 0; i < list->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(list->fields, HeaderField, i);
        char **parts;
        bool found = false;

        if (g_ascii_strcasecmp(field->name, name) != 0) {
            continue;
        }
        parts = g_strsplit(field->value, ",", -1);
        for (guint k = 0; parts[k] != NULL; k++) {
            found =
                found || g_ascii_strcasecmp(g_strstrip(parts[k]), token) == 0;
        }
        g_strfreev(parts);
        if (found) {
            return true;
        }
    }
    return false;
}

int64_t
Header_GetIdleTimeout(const HeaderList *list, int64_t default_ms)
{
    const char *field = Header_Find(list, "Keep-Alive");
    const char *timeout = field != NULL ? strstr(field, "timeout=") : NULL;
    long s;

    if (timeout == NULL) {
        return default_ms;
    }
    s = strtol(timeout + strlen("timeout="), NULL, 10);
    return (int64_t)CLAMP(s, 0, HEADER_IDLE_MAX_S) * 1000;
}

void
Header_CopyEndToEnd(HeaderList *to, const HeaderList *from)
{
    for (guint i = 0; i < from->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(from->fields, HeaderField, i);
        if (!is_hop_by_hop(field->name)) {
            Header_Add(to, field->name, field->value);
        }
    }
}

void
Header_Remove(HeaderList *list, const char *name)
{
    for (guint i = list->fields->len; i-- > 0;) {
        const HeaderField *field =
            &g_array_index(list->fields, HeaderField, i);
        if (g_ascii_strcasecmp(field->name, name) == 0) {
            g_array_remove_index(list->fields, i);
        }
    }
}

void
Header_InitReader(HeaderReader *reader)
{
    reader->name = g_string_new(NULL);
    reader->value = g_string_new(NULL);
    reader->in_value = false;
}

void
Header_ClearReader(HeaderReader *reader)
{
    g_string_free(reader->name, TRUE);
    g_string_free(reader->value, TRUE);
}

void
Header_ResetReader(HeaderReader *reader)
{
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->in_value = false;
}

void
Header_ReadName(HeaderReader *reader, HeaderList *list, const char *at,
                size_t size)
{
    Header_EndField(reader, list);
    g_string_append_len(reader->name, at, (gssize)size);
}

void
Header_ReadValue(HeaderReader *reader, const char *at, size_t size)
{
    reader->in_value = true;
    g_string_append_len(reader->value, at, (gssize)size);
}

void
Header_EndField(HeaderReader *reader, HeaderList *list)
{
    if (reader->in_value) {
        Header_AddBytes(list, reader->name->str, reader->name->len,
                        reader->value->str, reader->value->len);
        Header_ResetReader(reader);
    }
}

static void
clear_field(gpointer data)
{
    HeaderField *field = data;

    g_free(field->name);
    g_free(field->value);
}

static bool
is_hop_by_hop(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
        if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0) {
            return true;
        }
    }
    return false;
}
