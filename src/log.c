#include "log.h"

#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_DOMAIN "lavenderspool"
#define LOG_VM_MAX 64
/* Further lines are dropped and counted. Those of warnings and errors have a
   limit of their own, so that a burst of others doesn't hide them. */
#define LOG_LINES_PER_S 300
/* Longest text in a field; callers choose the length of identifiers. */
#define LOG_TEXT_MAX_BYTES 512
/* Longest line, with its end: a pipe that poll() finds writable takes as much
   without blocking. */
#define LOG_LINE_MAX_BYTES PIPE_BUF

static char log_vm[LOG_VM_MAX];
static LogLevel log_level = LOG_LEVEL_WARNING;

/* Lines within one second. */
typedef struct LogRate {
    atomic_int_fast64_t second; /* The one that is being counted. */
    atomic_uint lines;
} LogRate;

static LogRate log_rate;         /* Of lines that are no warnings. */
static LogRate log_warning_rate; /* Of warnings and errors. */
static atomic_uint log_dropped_lines;
static GMutex log_out_mutex; /* Held from poll() to the end of the write. */

static void write_object(LogLevel level, const char *event, json_t *line);
static void shorten_texts(json_t *line);
static void write_stdout_line(const char *text, GLogLevelFlags level);
static bool admit_line(LogRate *rate);
static bool write_all(const char *line, size_t size);
static char *shorten_line(json_t *line);
static GLogWriterOutput write_line(GLogLevelFlags level,
                                   const GLogField *fields, gsize n_fields,
                                   gpointer user_data);
static GLogLevelFlags get_glib_level(LogLevel level);
static const char *get_level_name(GLogLevelFlags level);

void
Log_Begin(const char *vm, LogLevel level)
{
    g_strlcpy(log_vm, vm, sizeof(log_vm));
    log_level = level;
    g_log_set_writer_func(write_line, NULL, NULL);
}

void
Log_Write(LogLevel level, const char *event, ...)
{
    json_t *line;
    const char *key;
    va_list args;

    if (level > log_level) {
        return;
    }
    line = json_object();
    va_start(args, event);
    while ((key = va_arg(args, const char *)) != NULL) {
        const char *value = va_arg(args, const char *);
        if (value != NULL) {
            json_object_set_new(line, key, json_string(value));
        }
    }
    va_end(args);
    write_object(level, event, line);
}

void
Log_WriteJson(LogLevel level, const char *event, json_t *fields)
{
    if (level > log_level || fields == NULL) {
        json_decref(fields);
        return;
    }
    write_object(level, event, fields);
}

static void
write_object(LogLevel level, const char *event, json_t *line)
{
    char *text;

    json_object_set_new(line, "event", json_string(event));
    text = json_dumps(line, JSON_COMPACT);
    g_log_structured(LOG_DOMAIN, get_glib_level(level), "MESSAGE", "%s",
                     text != NULL ? text : "{}");
    free(text);
    json_decref(line);
}

/* Writes a line to standard output, or drops it if that would block or exceed
   LOG_LINES_PER_S. */
static void
write_stdout_line(const char *text, GLogLevelFlags level)
{
    bool is_warning = (level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_ERROR |
                                G_LOG_LEVEL_CRITICAL)) != 0;
    /* A burst of others must not hide that the process starts or stops. */
    bool is_limited = (level & G_LOG_LEVEL_MESSAGE) == 0;
    LogRate *rate = is_warning ? &log_warning_rate : &log_rate;
    char *line = g_strconcat(text, "\n", NULL);
    size_t size = strlen(line);

    if (size > LOG_LINE_MAX_BYTES || (is_limited && !admit_line(rate)) ||
        !write_all(line, size)) {
        atomic_fetch_add(&log_dropped_lines, 1);
    }
    g_free(line);
}

/* Writes a line of at most LOG_LINE_MAX_BYTES. Returns false if standard
   output can't take it at once. */
static bool
write_all(const char *line, size_t size)
{
    struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
    ssize_t written = -1;

    g_mutex_lock(&log_out_mutex);
    if (poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
        written = send(STDOUT_FILENO, line, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (written < 0 && errno == ENOTSOCK) {
            written = write(STDOUT_FILENO, line, size);
        }
    }
    g_mutex_unlock(&log_out_mutex);
    return written >= 0;
}

/* Cuts long texts to LOG_TEXT_MAX_BYTES, between two characters. */
static void
shorten_texts(json_t *line)
{
    const char *key;
    json_t *value;
    void *next;

    json_object_foreach_safe(line, next, key, value)
    {
        const char *text = json_string_value(value);
        if (text != NULL && json_string_length(value) > LOG_TEXT_MAX_BYTES) {
            const char *end =
                g_utf8_find_prev_char(text, text + LOG_TEXT_MAX_BYTES + 1);
            json_object_set_new(
                line, key,
                json_stringn(text, end != NULL ? (size_t)(end - text) : 0));
        }
    }
}

/* Counts a line and returns whether it is within LOG_LINES_PER_S. */
static bool
admit_line(LogRate *rate)
{
    int_fast64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

    if (atomic_exchange(&rate->second, second) != second) {
        atomic_store(&rate->lines, 0);
    }
    return atomic_fetch_add(&rate->lines, 1) < LOG_LINES_PER_S;
}

/* Returns the line without its texts, but for those that each line has. Free
   the result with free(). */
static char *
shorten_line(json_t *line)
{
    static const char *const kept[] = {"event", "time", "level", "vm"};
    const char *key;
    json_t *value;
    void *next;

    json_object_foreach_safe(line, next, key, value)
    {
        bool is_kept = !json_is_string(value);
        for (gsize i = 0; i < G_N_ELEMENTS(kept); i++) {
            is_kept = is_kept || strcmp(key, kept[i]) == 0;
        }
        if (!is_kept) {
            json_object_del(line, key);
        }
    }
    json_object_set_new(line, "shortened", json_true());
    return json_dumps(line, JSON_COMPACT);
}

/* GLib log writer: writes the message of one record as a JSON line. The
   message is a JSON object in this project's records and plain text in
   libraries'. */
static GLogWriterOutput
write_line(GLogLevelFlags level, const GLogField *fields, gsize n_fields,
           gpointer user_data)
{
    const char *message = "";
    json_t *line;
    char *text;
    GDateTime *now;
    char *stamp;
    unsigned dropped;

    (void)user_data;
    for (gsize i = 0; i < n_fields; i++) {
        if (g_strcmp0(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    line = json_loads(message, 0, NULL);
    if (!json_is_object(line)) {
        json_decref(line);
        line = json_pack("{s:s, s:s}", "event", "library", "text", message);
    }
    shorten_texts(line);
    now = g_date_time_new_now_utc();
    stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    json_object_set_new(line, "time", json_string(stamp));
    json_object_set_new(line, "level", json_string(get_level_name(level)));
    json_object_set_new(line, "vm", json_string(log_vm));
    dropped = atomic_exchange(&log_dropped_lines, 0);
    if (dropped > 0) {
        json_object_set_new(line, "lines_dropped_before",
                            json_integer((json_int_t)dropped));
    }
    text = json_dumps(line, JSON_COMPACT);
    if (text != NULL && strlen(text) >= LOG_LINE_MAX_BYTES) {
        /* Escaped characters, or many fields. */
        free(text);
        text = shorten_line(line);
    }
    write_stdout_line(text != NULL ? text : "{}", level);
    free(text);
    g_free(stamp);
    g_date_time_unref(now);
    json_decref(line);
    return G_LOG_WRITER_HANDLED;
}

static GLogLevelFlags
get_glib_level(LogLevel level)
{
    switch (level) {
    case LOG_LEVEL_ERROR:
        return G_LOG_LEVEL_CRITICAL;
    case LOG_LEVEL_WARNING:
        return G_LOG_LEVEL_WARNING;
    case LOG_LEVEL_NOTICE:
        return G_LOG_LEVEL_MESSAGE;
    case LOG_LEVEL_INFO:
        return G_LOG_LEVEL_INFO;
    case LOG_LEVEL_DEBUG:
        break;
    }
    return G_LOG_LEVEL_DEBUG;
}

static const char *
get_level_name(GLogLevelFlags level)
{
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) {
        return "error";
    }
    if (level & G_LOG_LEVEL_WARNING) {
        return "warning";
    }
    if (level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE)) {
        return "info";
    }
    return "debug";
}
