#include "headers.h"

#include <string.h>

/* The fields of RFC 9110, section 7.6.1, and those of the framing, which each
   hop writes itself. */
static const char *const hop_by_hop[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length",
    "Expect",     "Proxy-Authenticate"};

static void clear_field(gpointer data);
static bool is_hop_by_hop(const char *name);

HdrList *
Hdr_New(void)
{
    HdrList *list = g_new0(HdrList, 1);

    list->fields = g_array_new(FALSE, FALSE, sizeof(HdrField));
    g_array_set_clear_func(list->fields, clear_field);
    return list;
}

void
Hdr_Free(HdrList *list)
{
    if (list == NULL) {
        return;
    }
    g_array_free(list->fields, TRUE);
    g_free(list);
}

void
Hdr_Add(HdrList *list, const char *name, const char *value)
{
    Hdr_AddBytes(list, name, strlen(name), value, strlen(value));
}

void
Hdr_AddBytes(HdrList *list, const char *name, size_t name_size,
             const char *value, size_t value_size)
{
    HdrField field = {g_strndup(name, name_size),
                      g_strndup(value, value_size)};

    g_array_append_val(list->fields, field);
}

const char *
Hdr_Find(const HdrList *list, const char *name)
{
    for (guint i = 0; i < list->fields->len; i++) {
        const HdrField *field = &g_array_index(list->fields, HdrField, i);
        if (g_ascii_strcasecmp(field->name, name) == 0) {
            return field->value;
        }
    }
    return NULL;
}

guint
Hdr_Count(const HdrList *list, const char *name)
{
    guint count = 0;

    for (guint i = 0; i < list->fields->len; i++) {
        const HdrField *field = &g_array_index(list->fields, HdrField, i);
        count += g_ascii_strcasecmp(field->name, name) == 0;
    }
    return count;
}

bool
Hdr_HasToken(const HdrList *list, const char *name, const char *token)
{
    for (guint i = 0; i < list->fields->len; i++) {
        const HdrField *field = &g_array_index(list->fields, HdrField, i);
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

void
Hdr_CopyEndToEnd(HdrList *to, const HdrList *from)
{
    for (guint i = 0; i < from->fields->len; i++) {
        const HdrField *field = &g_array_index(from->fields, HdrField, i);
        if (!is_hop_by_hop(field->name)) {
            Hdr_Add(to, field->name, field->value);
        }
    }
}

void
Hdr_InitReader(HdrReader *reader)
{
    reader->name = g_string_new(NULL);
    reader->value = g_string_new(NULL);
    reader->in_value = false;
}

void
Hdr_ClearReader(HdrReader *reader)
{
    g_string_free(reader->name, TRUE);
    g_string_free(reader->value, TRUE);
}

void
Hdr_ResetReader(HdrReader *reader)
{
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->in_value = false;
}

void
Hdr_ReadName(HdrReader *reader, HdrList *list, const char *at, size_t size)
{
    Hdr_EndField(reader, list);
    g_string_append_len(reader->name, at, (gssize)size);
}

void
Hdr_ReadValue(HdrReader *reader, const char *at, size_t size)
{
    reader->in_value = true;
    g_string_append_len(reader->value, at, (gssize)size);
}

void
Hdr_EndField(HdrReader *reader, HdrList *list)
{
    if (reader->in_value) {
        Hdr_AddBytes(list, reader->name->str, reader->name->len,
                     reader->value->str, reader->value->len);
        Hdr_ResetReader(reader);
    }
}

static void
clear_field(gpointer data)
{
    HdrField *field = data;

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
