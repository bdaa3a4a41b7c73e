/* Settings (Set_): the daemon's settings, from command-line flags and
   environment variables. A flag overrides its variable. docs/SETTINGS.md lists
   all settings. */
#ifndef LS_SETTINGS_H
#define LS_SETTINGS_H

#include "errors.h"
#include "log.h"
#include "placement.h"

#include <stdbool.h>
#include <stdint.h>

#define SET_TEXT_MAX 128
#define SET_NO_KEY "none"

typedef struct SetSettings {
    char vm[SET_TEXT_MAX];
    char zone[SET_TEXT_MAX];
    char region[SET_TEXT_MAX];
    char bind[SET_TEXT_MAX]; /* IPv4 address of all listeners */
    char config_service[SET_TEXT_MAX];
    char vm_list[SET_TEXT_MAX];
    char config_prefix[SET_TEXT_MAX];
    char peer_key[SET_TEXT_MAX]; /* hex digits, or SET_NO_KEY */
    uint16_t port;               /* for callers */
    uint16_t operator_port;      /* for health, metrics and status */
    uint16_t peer_port;
    uint32_t vm_count_max;
    uint32_t body_max; /* bytes of a caller's request body */
    uint32_t shutdown_s;
    LogLevel log_level;
    PickPolicy placement;
} SetSettings;

typedef enum SetAction {
    SET_ACTION_RUN,
    SET_ACTION_HELP,
    SET_ACTION_VERSION,
    SET_ACTION_CHECK,
    SET_ACTION_ERROR,
} SetAction;

/* Reads flags and variables. On SET_ACTION_ERROR, *err names the setting
   unless the flags can't be parsed. */
SetAction Set_Load(int argc, char **argv, SetSettings *settings, LsError *err);
void Set_PrintHelp(const char *program); /* to standard output */

#endif
