#include "settings.h"

#include <argtable2.h>
#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SET_ERRORS_MAX 8 /* Errors that argtable2 records. */
#define SET_BODY_MAX_DEFAULT "1048576"

typedef enum SetType {
    SET_TYPE_TEXT,
    SET_TYPE_PORT,
    SET_TYPE_COUNT,
    SET_TYPE_LOG_LEVEL,
    SET_TYPE_PLACEMENT,
} SetType;

/* One setting: its flag and variable, its valid values, and the field of
   SetSettings that it is stored in. */
typedef struct SetRow {
    const char *flag;
    const char *variable;
    SetType type;
    size_t offset;
    const char *default_value; /* NULL if the setting is required */
    uint64_t low;              /* Smallest number. */
    uint64_t high;             /* Largest number, or most bytes of a text. */
    const char *help;
} SetRow;

static const SetRow set_rows[] = {
    {"vm", "LAVENDERSPOOL_VM", SET_TYPE_TEXT, offsetof(SetSettings, vm), NULL,
     1, 47, "identifier of this VM"},
    {"zone", "LAVENDERSPOOL_ZONE", SET_TYPE_TEXT, offsetof(SetSettings, zone),
     NULL, 1, 47, "availability zone of this VM"},
    {"region", "LAVENDERSPOOL_REGION", SET_TYPE_TEXT,
     offsetof(SetSettings, region), NULL, 1, 47, "region of this VM"},
    {"bind", "LAVENDERSPOOL_BIND", SET_TYPE_TEXT, offsetof(SetSettings, bind),
     "127.0.0.1", 1, 47, "IPv4 address to listen on"},
    {"port", "LAVENDERSPOOL_PORT", SET_TYPE_PORT, offsetof(SetSettings, port),
     "8080", 1, 65535, "port for callers"},
    {"operator-port", "LAVENDERSPOOL_OPERATOR_PORT", SET_TYPE_PORT,
     offsetof(SetSettings, operator_port), "8081", 1, 65535,
     "port for health, metrics and status"},
    {"peer-port", "LAVENDERSPOOL_PEER_PORT", SET_TYPE_PORT,
     offsetof(SetSettings, peer_port), "8082", 1, 65535, "port for peers"},
    {"peer-key", "LAVENDERSPOOL_PEER_KEY", SET_TYPE_TEXT,
     offsetof(SetSettings, peer_key), SET_NO_KEY, 1, SET_TEXT_MAX - 1,
     "pre-shared key of the peer links in hex digits, or \"none\" on "
     "loopback"},
    {"config-service", "LAVENDERSPOOL_CONFIG_SERVICE", SET_TYPE_TEXT,
     offsetof(SetSettings, config_service), NULL, 1, 63,
     "IP:port of the configuration service"},
    {"config-prefix", "LAVENDERSPOOL_CONFIG_PREFIX", SET_TYPE_TEXT,
     offsetof(SetSettings, config_prefix), "lavenderspool", 1, 47,
     "prefix of the configuration's keys"},
    {"vm-list", "LAVENDERSPOOL_VM_LIST", SET_TYPE_TEXT,
     offsetof(SetSettings, vm_list), NULL, 1, 63,
     "IP:port of the platform's VM list"},
    {"vm-count-max", "LAVENDERSPOOL_VM_COUNT_MAX", SET_TYPE_COUNT,
     offsetof(SetSettings, vm_count_max), "9", 1, 100000,
     "number of VMs that share the limits of a contract"},
    {"body-max", "LAVENDERSPOOL_BODY_MAX", SET_TYPE_COUNT,
     offsetof(SetSettings, body_max), SET_BODY_MAX_DEFAULT, 1024, 67108864,
     "largest request body, in bytes"},
    {"shutdown-s", "LAVENDERSPOOL_SHUTDOWN_S", SET_TYPE_COUNT,
     offsetof(SetSettings, shutdown_s), "150", 1, 3600,
     "seconds to wait for requests in progress at shutdown"},
    {"log-level", "LAVENDERSPOOL_LOG_LEVEL", SET_TYPE_LOG_LEVEL,
     offsetof(SetSettings, log_level), "info", 0, 0,
     "error, warning, info or debug"},
    {"placement", "LAVENDERSPOOL_PLACEMENT", SET_TYPE_PLACEMENT,
     offsetof(SetSettings, placement), "reserve", 0, 0,
     "reserve, no-reserve, round-robin or least-load"},
};

#define SET_ROW_COUNT (sizeof(set_rows) / sizeof(set_rows[0]))

/* The table for argtable2: the flags of set_rows, the flags of the actions and
   the end marker. */
typedef struct SetTable {
    void *entries[SET_ROW_COUNT + 4];
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_lit *check;
    struct arg_end *end;
} SetTable;

static void begin_table(SetTable *table);
static void end_table(SetTable *table);
static bool apply_value(const SetRow *row, const char *value,
                        SetSettings *settings, LsError *err);

SetAction
Set_Load(int argc, char **argv, SetSettings *settings, LsError *err)
{
    SetTable table;
    SetAction action = SET_ACTION_RUN;

    memset(settings, 0, sizeof(*settings));
    begin_table(&table);
    if (arg_parse(argc, argv, table.entries) > 0) {
        action = SET_ACTION_ERROR;
        Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN,
                "unknown or repeated flag, or flag without a value");
    }
    if (table.help->count > 0) {
        action = SET_ACTION_HELP;
    }
    else if (table.version->count > 0) {
        action = SET_ACTION_VERSION;
    }
    for (size_t i = 0; action == SET_ACTION_RUN && i < SET_ROW_COUNT; i++) {
        const SetRow *row = &set_rows[i];
        const struct arg_str *flag = table.entries[i];
        const char *value = flag->count > 0 ? flag->sval[0] : NULL;
        if (value == NULL) {
            value = getenv(row->variable);
        }
        if (value == NULL) {
            value = row->default_value;
        }
        if (!apply_value(row, value, settings, err)) {
            action = SET_ACTION_ERROR;
        }
    }
    if (action == SET_ACTION_RUN && table.check->count > 0) {
        action = SET_ACTION_CHECK;
    }
    end_table(&table);
    return action;
}

void
Set_PrintHelp(const char *program)
{
    SetTable table;

    begin_table(&table);
    printf("Usage: %s", program);
    arg_print_syntax(stdout, table.entries, "\n\n");
    arg_print_glossary(stdout, table.entries, "  %-28s %s\n");
    printf("\nEach flag has an environment variable: --peer-port is "
           "LAVENDERSPOOL_PEER_PORT.\n");
    end_table(&table);
}

static void
begin_table(SetTable *table)
{
    size_t next = 0;

    for (size_t i = 0; i < SET_ROW_COUNT; i++) {
        table->entries[next++] =
            arg_str0(NULL, set_rows[i].flag, "<value>", set_rows[i].help);
    }
    table->help = arg_lit0(NULL, "help", "print this text");
    table->version = arg_lit0(NULL, "version", "print the version");
    table->check =
        arg_lit0(NULL, "check-settings", "check the settings and exit");
    table->end = arg_end(SET_ERRORS_MAX);
    table->entries[next++] = table->help;
    table->entries[next++] = table->version;
    table->entries[next++] = table->check;
    table->entries[next++] = table->end;
}

static void
end_table(SetTable *table)
{
    arg_freetable(table->entries, SET_ROW_COUNT + 4);
}

static bool
refuse_setting(const SetRow *row, LsError *err, const char *reason)
{
    Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN, "--%s (%s): %s", row->flag,
            row->variable, reason);
    return false;
}

static bool
apply_text(const SetRow *row, const char *value, char *target, LsError *err)
{
    if (value[0] == '\0' || strlen(value) > row->high) {
        return refuse_setting(row, err, "empty or too long");
    }
    g_strlcpy(target, value, SET_TEXT_MAX);
    return true;
}

static bool
apply_number(const SetRow *row, const char *value, void *target, LsError *err)
{
    guint64 number;
    char reason[ERR_MESSAGE_MAX];

    if (!g_ascii_string_to_unsigned(value, 10, row->low, row->high, &number,
                                    NULL)) {
        g_snprintf(reason, sizeof(reason),
                   "needs a whole number from %" G_GUINT64_FORMAT
                   " to %" G_GUINT64_FORMAT,
                   row->low, row->high);
        return refuse_setting(row, err, reason);
    }
    if (row->type == SET_TYPE_PORT) {
        *(uint16_t *)target = (uint16_t)number;
    }
    else {
        *(uint32_t *)target = (uint32_t)number;
    }
    return true;
}

static int
find_name(const char *const *names, size_t count, const char *value)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], value) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static bool
apply_value(const SetRow *row, const char *value, SetSettings *settings,
            LsError *err)
{
    static const char *const levels[] = {"error", "warning", "info", "debug"};
    static const LogLevel log_levels[] = {LOG_LEVEL_ERROR, LOG_LEVEL_WARNING,
                                          LOG_LEVEL_INFO, LOG_LEVEL_DEBUG};
    /* In the order of PickPolicy. */
    static const char *const policies[] = {"reserve", "no-reserve",
                                           "round-robin", "least-load"};
    char *target = (char *)settings + row->offset;
    int index;

    if (value == NULL) {
        return refuse_setting(row, err, "must be given");
    }
    switch (row->type) {
    case SET_TYPE_TEXT:
        return apply_text(row, value, target, err);
    case SET_TYPE_PORT:
    case SET_TYPE_COUNT:
        return apply_number(row, value, target, err);
    case SET_TYPE_LOG_LEVEL:
        index = find_name(levels, G_N_ELEMENTS(levels), value);
        settings->log_level = log_levels[MAX(index, 0)];
        break;
    case SET_TYPE_PLACEMENT:
        index = find_name(policies, G_N_ELEMENTS(policies), value);
        settings->placement = (PickPolicy)MAX(index, 0);
        break;
    default:
        index = -1;
        break;
    }
    return index >= 0 ? true : refuse_setting(row, err, row->help);
}
