/* Settings (Set_): reads the daemon's settings from command-line flags and
   environment variables. A flag overrides its variable. docs/SETTINGS.md lists
   all settings. */
#ifndef LS_SETTINGS_H
#define LS_SETTINGS_H

#include "errors.h"
#include "log.h"
#include "placement.h"

#include <stdbool.h>
#include <stdint.h>

#define SET_TEXT_MAX 128  /* Bytes of a text setting, including the NUL. */
#define SET_NO_KEY "none" /* The peer links have no pre-shared key. */

typedef struct SetSettings {
    char vm[SET_TEXT_MAX];
    char zone[SET_TEXT_MAX];
    char region[SET_TEXT_MAX];
    char bind[SET_TEXT_MAX];           /* IPv4 address of all listeners. */
    char config_service[SET_TEXT_MAX]; /* "IP:port" */
    char vm_list[SET_TEXT_MAX];        /* "IP:port" */
    char config_prefix[SET_TEXT_MAX];
    char peer_key[SET_TEXT_MAX]; /* Hex digits, or SET_NO_KEY. */
    uint16_t port;               /* Port for callers. */
    uint16_t operator_port;      /* Port for health, metrics and status. */
    uint16_t peer_port;
    uint32_t vm_count_max; /* VMs that share the limits of a contract. */
    uint32_t body_max;     /* Largest body of a caller's request in bytes. */
    uint32_t shutdown_s;   /* Longest wait for requests at shutdown. */
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

/* Reads flags and variables into *settings. On SET_ACTION_ERROR, *err names
   the setting unless the flags can't be parsed. */
SetAction Set_Load(int argc, char **argv, SetSettings *settings, LsError *err);
void Set_PrintHelp(const char *program); /* Prints to standard output. */

#endif
