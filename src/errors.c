#include "errors.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

typedef struct ErrorRow {
    LsResult code;
    const char *name;
    int http_status;
} ErrorRow;

static const ErrorRow error_rows[] = {
    {LS_OK, "ok", 200},
    {LS_ERR_BAD_JSON, "bad_json", 400},
    {LS_ERR_BAD_FIELD, "bad_field", 400},
    {LS_ERR_BODY_TOO_LARGE, "body_too_large", 413},
    {LS_ERR_NO_KEY, "no_key", 401},
    {LS_ERR_UNKNOWN_CUSTOMER, "unknown_customer", 401},
    {LS_ERR_UNKNOWN_MODEL, "unknown_model", 404},
    {LS_ERR_UNKNOWN_SERVICE, "unknown_service", 404},
    {LS_ERR_UNKNOWN_ROUTE, "unknown_route", 404},
    {LS_ERR_NOT_READY, "not_ready", 503},
    {LS_ERR_SHUTTING_DOWN, "shutting_down", 503},
    {LS_ERR_NO_LEASE, "no_lease", 503},
    {LS_ERR_RATE_LIMIT, "rate_limit", 429},
    {LS_ERR_TOKEN_LIMIT, "token_limit", 429},
    {LS_ERR_CONCURRENCY_LIMIT, "concurrency_limit", 429},
    {LS_ERR_OVERLOAD, "overload", 503},
    {LS_ERR_NO_UPSTREAM, "no_upstream", 503},
    {LS_ERR_DEADLINE, "deadline", 504},
    {LS_ERR_PROMPT_BLOCKED, "prompt_blocked", 503},
    {LS_ERR_UPSTREAM_FAILED, "upstream_failed", 502},
    {LS_ERR_UPSTREAM_SILENT, "upstream_silent", 504},
    {LS_ERR_HOME_LOST, "home_lost", 503},
    {LS_ERR_CANCELLED, "cancelled", 499},
    {LS_ERR_RETRIES_SPENT, "retries_spent", 503},
    {LS_ERR_OPERATION_KEY_NEEDED, "operation_key_needed", 400},
    {LS_ERR_OPERATION_KEY_BAD, "operation_key_bad", 400},
    {LS_ERR_OPERATION_UNKNOWN, "operation_unknown", 502},
    {LS_ERR_OPERATION_MISMATCH, "operation_mismatch", 409},
    {LS_ERR_OPERATION_TABLE_FULL, "operation_table_full", 503},
    {LS_ERR_CONFIG_PARSE, "config_parse", 500},
    {LS_ERR_CONFIG_FIELD, "config_field", 500},
    {LS_ERR_CONFIG_DIGEST, "config_digest", 500},
    {LS_ERR_CONFIG_OLD, "config_old", 500},
    {LS_ERR_SETTING, "setting", 500},
    {LS_ERR_NETWORK, "network", 500},
    {LS_ERR_FRAME, "frame", 500},
    {LS_ERR_TRACE, "trace", 500},
};

static const ErrorRow *
find_row(LsResult code)
{
    for (size_t i = 0; i < sizeof(error_rows) / sizeof(error_rows[0]); i++) {
        if (error_rows[i].code == code) {
            return &error_rows[i];
        }
    }
    return NULL;
}

LsResult
Err_Set(LsError *err, LsResult code, LsRun run, const char *format, ...)
{
    va_list args;

    if (err == NULL) {
        return code;
    }
    err->code = code;
    err->run = run;
    err->retry_after_ms = 0;
    va_start(args, format);
    vsnprintf(err->message, sizeof(err->message), format, args);
    va_end(args);
    return code;
}

void
Err_Clear(LsError *err)
{
    memset(err, 0, sizeof(*err));
}

const char *
Err_GetName(LsResult code)
{
    const ErrorRow *row = find_row(code);
    return row != NULL ? row->name : "unnumbered";
}

const char *
Err_GetRunName(LsRun run)
{
    switch (run) {
    case LS_RUN_NOT_RUN:
        return "not_run";
    case LS_RUN_RAN:
        return "ran";
    case LS_RUN_UNKNOWN:
        break;
    }
    return "unknown";
}

int
Err_GetHttpStatus(LsResult code)
{
    const ErrorRow *row = find_row(code);
    return row != NULL ? row->http_status : 500;
}
