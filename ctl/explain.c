/* Explain: from a request's identifier to its cause. See explain.h. */
#include "explain.h"

#include "errors.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* How long before the request's first line an event of its workers or of its
   VM may explain it: the gate's limits on what a VM may know late are below
   that. */
#define EXPLAIN_BEFORE_US (10 * G_USEC_PER_SEC)

/* The lines of a request that its cause is read from; NULL if missing. */
typedef struct Explanation {
    const char *request;
    const json_t *end;     /* request_end */
    const json_t *refused; /* request_refused */
    const json_t *failed;  /* Its last call_failed. */
    const json_t *retry;   /* Its last retry. */
    GHashTable *workers;   /* Set of the workers that its lines name. */
    const char *vm;
    gint64 first_us;
    gint64 last_us;
} Explanation;

static bool read_file(GPtrArray *lines, const char *path);
static gint compare_times(gconstpointer a, gconstpointer b);
static void collect(Explanation *explanation, const GPtrArray *lines);
static bool is_context(const Explanation *explanation, const json_t *line);
static void print_line(const json_t *line);
static void print_cause(const Explanation *explanation);
static const char *get_text(const json_t *line, const char *key);
static gint64 get_time_us(const json_t *line);

bool
Explain_PrintLogs(const char *request, const char **paths, int count)
{
    GPtrArray *lines =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    Explanation explanation = {.request = request};
    bool ok = true;

    for (int i = 0; i < count && ok; i++) {
        ok = read_file(lines, paths[i]);
    }
    if (ok) {
        g_ptr_array_sort(lines, compare_times);
        explanation.workers = g_hash_table_new(g_str_hash, g_str_equal);
        collect(&explanation, lines);
        ok = explanation.vm != NULL;
        if (!ok) {
            fprintf(stderr, "error %d: no line names the request %s\n",
                    LS_ERR_BAD_FIELD, request);
        }
        for (guint i = 0; i < lines->len && ok; i++) {
            const json_t *line = g_ptr_array_index(lines, i);
            if (strcmp(get_text(line, "request"), request) == 0 ||
                is_context(&explanation, line)) {
                print_line(line);
            }
        }
        if (ok) {
            print_cause(&explanation);
        }
        g_hash_table_destroy(explanation.workers);
    }
    g_ptr_array_free(lines, TRUE);
    return ok;
}

static bool
read_file(GPtrArray *lines, const char *path)
{
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    char *text = NULL;
    size_t size = 0;

    if (file == NULL) {
        fprintf(stderr, "error %d: can't read %s\n", LS_ERR_SETTING, path);
        return false;
    }
    while (getline(&text, &size, file) >= 0) {
        const char *begin = strchr(text, '{');
        json_t *line = begin != NULL ? json_loads(begin, 0, NULL) : NULL;
        if (line != NULL) {
            g_ptr_array_add(lines, line);
        }
    }
    free(text);
    if (file != stdin) {
        fclose(file);
    }
    return true;
}

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 left_us = get_time_us(*(json_t *const *)a);
    gint64 right_us = get_time_us(*(json_t *const *)b);

    return (left_us > right_us) - (left_us < right_us);
}

static void
collect(Explanation *explanation, const GPtrArray *lines)
{
    for (guint i = 0; i < lines->len; i++) {
        const json_t *line = g_ptr_array_index(lines, i);
        const char *event = get_text(line, "event");
        const char *worker = get_text(line, "worker");
        if (strcmp(get_text(line, "request"), explanation->request) != 0) {
            continue;
        }
        if (explanation->vm == NULL) {
            explanation->vm = get_text(line, "vm");
            explanation->first_us = get_time_us(line);
        }
        explanation->last_us = get_time_us(line);
        if (worker[0] != '\0') {
            g_hash_table_add(explanation->workers, (gpointer)worker);
        }
        if (strcmp(event, "request_end") == 0) {
            /* The request began before its first line. */
            explanation->end = line;
            explanation->first_us =
                MIN(explanation->first_us,
                    explanation->last_us -
                        json_integer_value(json_object_get(line, "took_us")));
        }
        else if (strcmp(event, "request_refused") == 0) {
            explanation->refused = line;
        }
        else if (strcmp(event, "call_failed") == 0) {
            explanation->failed = line;
        }
        else if (strcmp(event, "retry") == 0) {
            explanation->retry = line;
        }
    }
}

/* Whether a line tells what the request's VM learned of its workers, of the
   source or of itself around the request. */
static bool
is_context(const Explanation *explanation, const json_t *line)
{
    static const char *const vm_events[] = {
        "started",        "stopping",     "shutdown_cut",   "reload",
        "store_lost",     "store_era",    "store_regained", "config_in_force",
        "config_refused", "worker_pauses"};
    gint64 time_us = get_time_us(line);
    const char *worker = get_text(line, "worker");

    if (strcmp(get_text(line, "vm"), explanation->vm) != 0 ||
        get_text(line, "request")[0] != '\0' ||
        time_us < explanation->first_us - EXPLAIN_BEFORE_US ||
        time_us > explanation->last_us) {
        return false;
    }
    for (guint i = 0; i < G_N_ELEMENTS(vm_events); i++) {
        if (strcmp(get_text(line, "event"), vm_events[i]) == 0) {
            return true;
        }
    }
    return worker[0] != '\0' &&
           g_hash_table_contains(explanation->workers, worker);
}

static void
print_line(const json_t *line)
{
    const char *key;
    json_t *value;

    printf("%s  %-20s  %s", get_text(line, "time"), get_text(line, "vm"),
           get_text(line, "event"));
    json_object_foreach((json_t *)line, key, value)
    {
        char *text;
        if (strcmp(key, "time") == 0 || strcmp(key, "vm") == 0 ||
            strcmp(key, "event") == 0 || strcmp(key, "level") == 0 ||
            strcmp(key, "request") == 0) {
            continue;
        }
        text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        printf(" %s=%s", key, text != NULL ? text : "");
        free(text);
    }
    printf("\n");
}

/* Prints the outcome and, if it wasn't a success, what decided it. */
static void
print_cause(const Explanation *explanation)
{
    const json_t *end = explanation->end;
    const json_t *retry = explanation->retry;
    const char *outcome = get_text(end, "outcome");

    if (explanation->refused != NULL) {
        printf("cause: refused before any call: %s\n",
               get_text(explanation->refused, "cause"));
        return;
    }
    if (end == NULL) {
        printf("cause: unknown, the request's end is missing: its VM may have "
               "been killed, or the line was dropped\n");
        return;
    }
    if (strcmp(outcome, "passed") == 0 || strcmp(outcome, "streamed") == 0) {
        int status = (int)json_integer_value(json_object_get(end, "status"));
        printf(status < 400 ? "cause: none, the worker's answer was delivered "
                              "with status %d\n"
                            : "cause: the worker's own error was delivered, "
                              "status %d\n",
               status);
        return;
    }
    printf("cause: %s", outcome);
    if (get_text(end, "cause")[0] != '\0') {
        printf(": %s", get_text(end, "cause"));
    }
    if (explanation->failed != NULL) {
        printf("; last call at %s: %s",
               get_text(explanation->failed, "worker"),
               get_text(explanation->failed, "cause"));
    }
    if (retry != NULL && strcmp(get_text(retry, "next"), "elsewhere") != 0) {
        json_int_t runs = json_integer_value(json_object_get(retry, "runs"));
        json_int_t attempts =
            json_integer_value(json_object_get(retry, "attempts"));
        if (strcmp(get_text(retry, "run"), "not_run") != 0 &&
            (!json_is_true(json_object_get(retry, "repeatable")) ||
             runs >= attempts)) {
            printf("; it may have run and is allowed %d run(s)",
                   json_is_true(json_object_get(retry, "repeatable"))
                       ? (int)attempts
                       : 1);
        }
        else if (!json_is_true(json_object_get(retry, "budget"))) {
            printf("; the service's retry budget was spent");
        }
        else if (!json_is_true(json_object_get(retry, "candidate"))) {
            printf("; no other worker was usable");
        }
        else {
            printf("; %d ms were left",
                   (int)json_integer_value(json_object_get(retry, "left_ms")));
        }
    }
    printf("\n");
}

/* Returns a text field, or "" if there is none. */
static const char *
get_text(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));

    return text != NULL ? text : "";
}

/* Returns the time of a line, microseconds since 1970, or 0. */
static gint64
get_time_us(const json_t *line)
{
    GDateTime *time =
        g_date_time_new_from_iso8601(get_text(line, "time"), NULL);
    gint64 time_us = 0;

    if (time != NULL) {
        time_us = g_date_time_to_unix(time) * G_USEC_PER_SEC +
                  g_date_time_get_microsecond(time);
        g_date_time_unref(time);
    }
    return time_us;
}
