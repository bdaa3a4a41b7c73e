/* Errors (Err_): defines the numbered result codes and the error struct that
   functions fill in. docs/ERRORS.md describes the codes for callers and
   operators. */
#ifndef LS_ERRORS_H
#define LS_ERRORS_H

#include <stdint.h>

#define ERR_MESSAGE_MAX 200 /* Bytes, including the NUL. */

/* Exit codes of the programs. */
#define ERR_EXIT_OK 0
#define ERR_EXIT_USAGE 64 /* The command line or a setting is invalid. */
/* The process could not start, e.g. because an address can't be bound or the
   peer key is invalid. */
#define ERR_EXIT_START 69
/* The shutdown ended with requests in progress. */
#define ERR_EXIT_UNFINISHED 75

/* The numbers must not change: callers see them in answers, operators in logs
   and docs/ERRORS.md. */
typedef enum LsResult {
    LS_OK = 0,
    LS_ERR_BAD_JSON = 100,
    LS_ERR_BAD_FIELD = 101,
    LS_ERR_BODY_TOO_LARGE = 102,
    LS_ERR_NO_KEY = 103,
    LS_ERR_UNKNOWN_CUSTOMER = 104,
    LS_ERR_UNKNOWN_MODEL = 105,
    LS_ERR_UNKNOWN_SERVICE = 106,
    LS_ERR_UNKNOWN_ROUTE = 107,
    LS_ERR_NOT_READY = 200,
    LS_ERR_SHUTTING_DOWN = 201,
    LS_ERR_NO_LEASE = 202,
    LS_ERR_RATE_LIMIT = 210,
    LS_ERR_TOKEN_LIMIT = 211,
    LS_ERR_CONCURRENCY_LIMIT = 212,
    LS_ERR_OVERLOAD = 220,
    LS_ERR_NO_UPSTREAM = 221,
    LS_ERR_DEADLINE = 222,
    LS_ERR_PROMPT_BLOCKED = 223,
    LS_ERR_UPSTREAM_FAILED = 230,
    LS_ERR_UPSTREAM_SILENT = 231,
    LS_ERR_HOME_LOST = 232,
    LS_ERR_CANCELLED = 233,
    LS_ERR_RETRIES_SPENT = 234,
    LS_ERR_OPERATION_KEY_NEEDED = 300,
    LS_ERR_OPERATION_KEY_BAD = 301,
    LS_ERR_OPERATION_UNKNOWN = 302,
    LS_ERR_OPERATION_MISMATCH = 303,
    LS_ERR_OPERATION_TABLE_FULL = 304,
    LS_ERR_CONFIG_PARSE = 400,
    LS_ERR_CONFIG_FIELD = 401,
    LS_ERR_CONFIG_DIGEST = 402,
    LS_ERR_CONFIG_OLD = 403,
    LS_ERR_SETTING = 500,
    LS_ERR_NETWORK = 600,
    LS_ERR_FRAME = 601,
    LS_ERR_TRACE = 700,
} LsResult;

/* Whether an upstream may have executed the request that an error answers. */
typedef enum LsRun {
    LS_RUN_NOT_RUN = 0, /* Nothing was sent to an upstream. */
    LS_RUN_UNKNOWN = 1, /* The request may have been executed. */
    LS_RUN_RAN = 2,     /* The request was executed. */
} LsRun;

/* An error and its message. `retry_after_ms` is 0 if a retry can't succeed or
   its time isn't known. */
typedef struct LsError {
    LsResult code;
    LsRun run;
    uint32_t retry_after_ms;
    char message[ERR_MESSAGE_MAX];
} LsError;

/* Fills in *err, with retry_after_ms 0, and returns `code`. `err` may be NULL;
   a message that exceeds ERR_MESSAGE_MAX is truncated. */
LsResult Err_Set(LsError *err, LsResult code, LsRun run, const char *format,
                 ...) __attribute__((format(printf, 4, 5)));
void Err_Clear(LsError *err);           /* Sets LS_OK and an empty message. */
const char *Err_GetName(LsResult code); /* Returns e.g. "overload". */
/* Returns "not_run", "unknown" or "ran". */
const char *Err_GetRunName(LsRun run);
int Err_GetHttpStatus(LsResult code); /* Returns the status for the caller. */

#endif
