/* lavenderspoolctl: queries the daemons and validates configuration files
   offline. It changes nothing in a deployment: operators do so by publishing
   contracts and by starting and stopping upstreams.

   Exit codes: 0 success, 1 a check failed or a burn rate is too high, 2 a VM
   did not answer, 64 usage error. */
#include "accounts.h"
#include "burn.h"
#include "configuration.h"
#include "curl_check.h"
#include "explain.h"
#include "settings.h"

#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#ifndef LS_VERSION
#define LS_VERSION "0.0.0"
#endif

#define CTL_EXIT_CHECK_FAILED 1
#define CTL_EXIT_NO_ANSWER 2
#define CTL_TIMEOUT_S 3
#define CTL_VMS_MAX 1024
#define CTL_FILES_MAX 256
#define CTL_VMS_DEFAULT "127.0.0.1:8081"

/* Parsed command line. */
typedef struct CtlArguments {
    char **vms; /* Operator addresses, "IP:port". */
    bool json;
    const char **operands;
    int operand_count;
} CtlArguments;

/* libcurl callback: appends received data to a GString. */
static size_t
append_body(char *data, size_t size, size_t count, void *context)
{
    g_string_append_len(context, data, (gssize)(size * count));
    return size * count;
}

/* Sends a GET to one VM's operator address. Returns the body of its answer,
   for g_free(), or NULL if the VM did not answer with status 200. */
static char *
get_text(const char *vm, const char *path)
{
    CURL *easy = curl_easy_init();
    char *url = g_strdup_printf("http://%s%s", vm, path);
    GString *body = g_string_new(NULL);
    CurlCheck check;
    char *answer = NULL;
    long status = 0;

    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, (long)CTL_TIMEOUT_S);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    CurlCheck_Begin(&check, easy);
    if (curl_easy_perform(easy) == CURLE_OK &&
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status) == CURLE_OK &&
        status == 200 && CurlCheck_IsComplete(&check, 0) &&
        strlen(body->str) == body->len) {
        answer = g_strndup(body->str, body->len);
    }
    curl_easy_cleanup(easy);
    g_string_free(body, TRUE);
    g_free(url);
    return answer;
}

/* As get_text(), but returns the JSON of the answer. */
static json_t *
get_from_vm(const char *vm, const char *path)
{
    char *text = get_text(vm, path);
    json_t *answer = text != NULL ? json_loads(text, 0, NULL) : NULL;

    g_free(text);
    return answer;
}

/* Queries all VMs. Returns an object with the answer of each address; the
   addresses without one are appended to `unanswered`. */
static json_t *
get_from_vms(const CtlArguments *arguments, const char *path,
             json_t *unanswered)
{
    json_t *answers = json_object();

    for (int i = 0; arguments->vms[i] != NULL; i++) {
        json_t *answer = get_from_vm(arguments->vms[i], path);
        if (answer != NULL) {
            json_object_set_new(answers, arguments->vms[i], answer);
        }
        else {
            json_array_append_new(unanswered, json_string(arguments->vms[i]));
        }
    }
    return answers;
}

/* Prints the VMs that did not answer. Returns CTL_EXIT_NO_ANSWER if there are
   any. */
static int
print_unanswered(const json_t *unanswered)
{
    size_t i;
    const json_t *vm;

    json_array_foreach(unanswered, i, vm)
    {
        fprintf(stderr, "no answer from %s\n", json_string_value(vm));
    }
    return json_array_size(unanswered) > 0 ? CTL_EXIT_NO_ANSWER : ERR_EXIT_OK;
}

static void
print_json(const json_t *value)
{
    json_dumpf(value, stdout, JSON_INDENT(1));
    printf("\n");
}

static int
run_status(const CtlArguments *arguments)
{
    json_t *unanswered = json_array();
    json_t *answers = get_from_vms(arguments, "/v1/status", unanswered);
    const char *address;
    json_t *status;
    int code;

    if (arguments->json) {
        print_json(answers);
    }
    else {
        printf("%-22s %-16s %8s %9s %12s %8s %s\n", "address", "vm", "config",
               "stopping", "completions", "jobs", "config error");
    }
    json_object_foreach(answers, address, status)
    {
        if (!arguments->json) {
            printf("%-22s %-16s %8d %9s %12d %8d %s\n", address,
                   json_string_value(json_object_get(status, "vm")),
                   (int)json_integer_value(
                       json_object_get(status, "config_version")),
                   json_is_true(json_object_get(status, "stopping")) ? "yes"
                                                                     : "no",
                   (int)json_integer_value(
                       json_object_get(status, "completions")),
                   (int)json_integer_value(json_object_get(status, "jobs")),
                   json_string_value(json_object_get(status, "config_error")));
        }
    }
    code = print_unanswered(unanswered);
    json_decref(answers);
    json_decref(unanswered);
    return code;
}

static int
run_explain(const CtlArguments *arguments)
{
    json_t *unanswered = json_array();
    char *path;
    json_t *answers;
    const char *address;
    json_t *rows;
    int code;

    if (arguments->operand_count < 1) {
        fprintf(stderr, "error %d: explain requires a request identifier\n",
                LS_ERR_SETTING);
        json_decref(unanswered);
        return ERR_EXIT_USAGE;
    }
    if (arguments->operand_count > 1) {
        json_decref(unanswered);
        return Explain_PrintLogs(arguments->operands[0],
                                 arguments->operands + 1,
                                 arguments->operand_count - 1)
                   ? ERR_EXIT_OK
                   : CTL_EXIT_CHECK_FAILED;
    }
    path = g_strdup_printf("/v1/explain/%s", arguments->operands[0]);
    answers = get_from_vms(arguments, path, unanswered);
    json_object_foreach(answers, address, rows)
    {
        size_t i;
        const json_t *row;
        json_array_foreach(rows, i, row)
        {
            printf("%-22s %14.3f s  %s\n", address,
                   (double)json_integer_value(json_object_get(row, "at_us")) /
                       1e6,
                   json_string_value(json_object_get(row, "decision")));
        }
    }
    code = print_unanswered(unanswered);
    json_decref(answers);
    json_decref(unanswered);
    g_free(path);
    return code;
}

static int
run_burn(const CtlArguments *arguments)
{
    json_t *unanswered = json_array();
    json_t *answers = get_from_vms(arguments, "/v1/burn", unanswered);
    json_t *merged = json_object();
    json_t *rows;
    const char *address;
    json_t *counts;
    int code;

    json_object_foreach(answers, address, counts)
    {
        Burn_Merge(merged, counts);
    }
    rows = Burn_ListRows(merged);
    if (arguments->json) {
        json_t *report =
            json_pack("{s:O, s:O}", "rows", rows, "silent", unanswered);
        print_json(report);
        json_decref(report);
    }
    else {
        Burn_PrintRows(rows);
    }
    code = print_unanswered(unanswered);
    if (Burn_IsAlert(rows)) {
        code = CTL_EXIT_CHECK_FAILED;
    }
    json_decref(rows);
    json_decref(merged);
    json_decref(answers);
    json_decref(unanswered);
    return code;
}

/* The addresses are those of the gates' metrics. */
static int
run_accounts(const CtlArguments *arguments)
{
    json_t *unanswered = json_array();
    json_t *answers = json_object();
    const char *address;
    json_t *row;
    int code;

    for (int i = 0; arguments->vms[i] != NULL; i++) {
        char *text = get_text(arguments->vms[i], "/metrics");
        if (text != NULL) {
            json_object_set_new(answers, arguments->vms[i],
                                Accounts_Parse(text));
        }
        else {
            json_array_append_new(unanswered, json_string(arguments->vms[i]));
        }
        g_free(text);
    }
    if (arguments->json) {
        print_json(answers);
    }
    json_object_foreach(answers, address, row)
    {
        if (!arguments->json) {
            Accounts_Print(address, row);
        }
    }
    code = print_unanswered(unanswered);
    json_decref(answers);
    json_decref(unanswered);
    return code;
}

/* Reads the files as parts and creates a manifest that lists them. Returns
   NULL with *err filled in if a file can't be read. */
static GString *
load_parts(const CtlArguments *arguments, GPtrArray *parts, LsError *err)
{
    GString *manifest = g_string_new("{\"version\":1,\"parts\":[");

    for (int i = 0; i < arguments->operand_count; i++) {
        char *value;
        char *name;
        char *digest;
        gsize size;
        if (!g_file_get_contents(arguments->operands[i], &value, &size,
                                 NULL)) {
            Err_Set(err, LS_ERR_CONFIG_PARSE, LS_RUN_NOT_RUN,
                    "%s: can't be read", arguments->operands[i]);
            g_string_free(manifest, TRUE);
            return NULL;
        }
        name = g_path_get_basename(arguments->operands[i]);
        digest = Con_GetDigest(value, size);
        g_string_append_printf(manifest,
                               "%s{\"name\":\"%s\",\"sha256\":\"%s\"}",
                               i > 0 ? "," : "", name, digest);
        g_ptr_array_add(parts, Con_NewPart(name, value, size));
        g_free(value);
        g_free(name);
        g_free(digest);
    }
    g_string_append(manifest, "]}");
    return manifest;
}

static int
run_check(const CtlArguments *arguments)
{
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    LsError err = {0};
    GString *manifest = load_parts(arguments, parts, &err);
    ConConfig *config =
        manifest != NULL
            ? Con_LoadConfig(manifest->str, manifest->len, parts, &err)
            : NULL;

    if (config == NULL) {
        printf("error %d: %s\n", err.code, err.message);
    }
    else {
        printf("valid: %u customers, %u upstreams, %u models\n",
               config->customers->len, config->upstreams->len,
               config->models->len);
        Con_UnloadConfig(config);
    }
    if (manifest != NULL) {
        g_string_free(manifest, TRUE);
    }
    g_ptr_array_unref(parts);
    return config != NULL ? ERR_EXIT_OK : CTL_EXIT_CHECK_FAILED;
}

static int
run_command(const char *command, const CtlArguments *arguments)
{
    if (strcmp(command, "status") == 0) {
        return run_status(arguments);
    }
    if (strcmp(command, "check") == 0 && arguments->operand_count > 0) {
        return run_check(arguments);
    }
    if (strcmp(command, "explain") == 0) {
        return run_explain(arguments);
    }
    if (strcmp(command, "accounts") == 0) {
        return run_accounts(arguments);
    }
    if (strcmp(command, "burn") == 0) {
        return run_burn(arguments);
    }
    fprintf(stderr, "error %d: unknown command or missing operand: %s\n",
            LS_ERR_SETTING, command);
    return ERR_EXIT_USAGE;
}

static void
print_help(void **table)
{
    printf("Usage: lavenderspoolctl");
    arg_print_syntax(stdout, table, "\n\n");
    printf("  status             the state of each VM\n"
           "  check FILE...      validates configuration parts offline\n"
           "  explain REQUEST    the decisions that placed a request\n"
           "  explain REQUEST FILE...\n"
           "                     the cause of its outcome from the VMs' logs; "
           "- is\n"
           "                     standard input\n"
           "  accounts           requests of client accounts, rejected keys "
           "and the\n"
           "                     lease of keys; --vms: addresses of gates' "
           "/metrics\n"
           "  burn               error budget burn over 5 min, 1 h, 6 h\n\n");
    arg_print_glossary(stdout, table, "  %-24s %s\n");
}

int
main(int argc, char **argv)
{
    struct arg_str *vms = arg_str0(NULL, "vms", "<IP:port,...>",
                                   "operator addresses of the VMs");
    struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
    struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
    struct arg_str *operands =
        arg_strn(NULL, NULL, "<command>", 0, CTL_FILES_MAX,
                 "command and its operands, see above");
    struct arg_end *end = arg_end(4);
    void *table[] = {vms, json, help, version, operands, end};
    int errors = arg_parse(argc, argv, table);
    const char *variable = getenv("LAVENDERSPOOL_VMS");
    CtlArguments arguments = {0};
    int code = ERR_EXIT_OK;

    if (help->count > 0) {
        print_help(table);
    }
    else if (version->count > 0) {
        printf("lavenderspoolctl %s\n", LS_VERSION);
    }
    else if (errors > 0 || operands->count == 0) {
        arg_print_errors(stderr, end, "lavenderspoolctl");
        fprintf(stderr, "error %d: see --help\n", LS_ERR_SETTING);
        code = ERR_EXIT_USAGE;
    }
    else {
        const char *list = variable != NULL ? variable : CTL_VMS_DEFAULT;
        arguments.vms =
            g_strsplit(vms->count > 0 ? vms->sval[0] : list, ",", CTL_VMS_MAX);
        arguments.json = json->count > 0;
        arguments.operands = operands->sval + 1;
        arguments.operand_count = operands->count - 1;
        code = run_command(operands->sval[0], &arguments);
        g_strfreev(arguments.vms);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
