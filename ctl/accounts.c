/* Accounts. See accounts.h. */
#include "accounts.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ACCOUNTS_PREFIX "lavenderspool_"
#define ACCOUNTS_REQUESTS "account_requests_total{account=\""

typedef struct AccountsCause {
    const char *metric;
    const char *name;
} AccountsCause;

static const AccountsCause causes[] = {
    {"keys_missing_total", "missing"},
    {"keys_unreadable_total", "unreadable"},
    {"keys_unknown_total", "unknown"},
    {"keys_unproven_total", "unproven"},
};

static void parse_line(const char *line, json_t *row);
static void parse_account(const char *text, json_t *accounts);

json_t *
Accounts_Parse(const char *metrics)
{
    json_t *row = json_pack("{s:{},s:{}}", "rejected", "accounts");
    char **lines = g_strsplit(metrics, "\n", -1);

    for (char **line = lines; *line != NULL; line++) {
        if (g_str_has_prefix(*line, ACCOUNTS_PREFIX)) {
            parse_line(*line + strlen(ACCOUNTS_PREFIX), row);
        }
    }
    g_strfreev(lines);
    return row;
}

static void
parse_line(const char *line, json_t *row)
{
    const char *space = strrchr(line, ' ');
    size_t size = space != NULL ? (size_t)(space - line) : 0;

    if (size == 0) {
        return;
    }
    if (g_str_has_prefix(line, ACCOUNTS_REQUESTS)) {
        parse_account(line + strlen(ACCOUNTS_REQUESTS),
                      json_object_get(row, "accounts"));
        return;
    }
    if (size == strlen("key_lease") && strncmp(line, "key_lease", size) == 0) {
        json_object_set_new(row, "lease", json_boolean(space[1] == '1'));
    }
    if (size == strlen("key_proof_age_seconds") &&
        strncmp(line, "key_proof_age_seconds", size) == 0) {
        json_object_set_new(row, "proof_age_s",
                            json_real(g_ascii_strtod(space + 1, NULL)));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        if (size == strlen(causes[i].metric) &&
            strncmp(line, causes[i].metric, size) == 0) {
            json_object_set_new(
                json_object_get(row, "rejected"), causes[i].name,
                json_integer(g_ascii_strtoll(space + 1, NULL, 10)));
        }
    }
}

/* Reads the name, in which quotes and backslashes are escaped, and the count.
 */
static void
parse_account(const char *text, json_t *accounts)
{
    GString *name = g_string_new(NULL);
    const char *at = text;

    while (*at != '\0' && *at != '"') {
        at += *at == '\\' && at[1] != '\0';
        g_string_append_c(name, *at);
        at++;
    }
    if (g_str_has_prefix(at, "\"} ")) {
        json_object_set_new(
            accounts, name->str,
            json_integer(g_ascii_strtoll(at + strlen("\"} "), NULL, 10)));
    }
    g_string_free(name, TRUE);
}

void
Accounts_Print(const char *address, const json_t *row)
{
    const json_t *lease = json_object_get(row, "lease");
    const json_t *age = json_object_get(row, "proof_age_s");
    const json_t *rejected = json_object_get(row, "rejected");
    const char *name;
    json_t *count;

    printf("%-22s lease %s", address,
           lease == NULL ? "not needed"
                         : (json_is_true(lease) ? "yes" : "no"));
    if (age != NULL) {
        printf(", proof %.3f s old", json_real_value(age));
    }
    printf("; rejected keys:");
    for (size_t i = 0; i < G_N_ELEMENTS(causes); i++) {
        printf(" %s %lld", causes[i].name,
               (long long)json_integer_value(
                   json_object_get(rejected, causes[i].name)));
    }
    printf("\n");
    json_object_foreach(json_object_get(row, "accounts"), name, count)
    {
        printf("%-22s account %s: %lld requests\n", address, name,
               (long long)json_integer_value(count));
    }
}
