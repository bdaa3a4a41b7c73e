/* Trace: parses the lines of a trace and carries out their actions. */
#include "trace.h"

#include "rig.h"

#include <stdlib.h>
#include <string.h>

#define TRACE_LINE_MAX 65536         /* Longest line in bytes. */
#define TRACE_STAGGER_DEFAULT_MS 500 /* Default of "stagger_ms". */
/* Simulated time from the last event to the check of all answers. */
#define TRACE_SETTLE_US (60 * CLK_US_PER_S)

typedef struct Trace {
    Rig *rig;
    int line;
    int64_t begun_us;
    GHashTable *callers; /* Name to RigCaller, owned by the rig. */
    GHashTable *keys;    /* Name to idempotency key. */
    LsError *err;
} Trace;

typedef bool (*TraceAction)(Trace *trace, const json_t *event);

typedef struct TraceCommand {
    const char *name;
    TraceAction run;
} TraceCommand;

/* Names of the RigFault values, in their order. */
static const char *const fault_names[] = {
    "none",    "silent", "refuse", "down", "cut", "lose",
    "leaving", "forget", "repeat", "skip", "long"};

/* Sets the error to the line's number and a text in which `what` replaces the
   format's one %s. Returns false. */
static bool
fail(Trace *trace, const char *format, const char *what)
{
    char text[ERR_MESSAGE_MAX];

    g_snprintf(text, sizeof(text), format, what);
    Err_Set(trace->err, LS_ERR_TRACE, LS_RUN_NOT_RUN, "line %d: %s",
            trace->line, text);
    return false;
}

static int
get_int(const json_t *event, const char *field, int fallback)
{
    const json_t *value = json_object_get(event, field);
    return json_is_integer(value) ? (int)json_integer_value(value) : fallback;
}

static const char *
get_text(const json_t *event, const char *field)
{
    const char *text = json_string_value(json_object_get(event, field));
    return text != NULL ? text : "";
}

/* Returns the VM number of an event. "home" is the home of the cell according
   to vm-0. */
static int
get_vm(Trace *trace, const json_t *event)
{
    return strcmp(get_text(event, "vm"), "home") == 0
               ? Rig_FindHome(trace->rig, 0)
               : get_int(event, "vm", 0);
}

static bool
begin_rig(Trace *trace, const json_t *event)
{
    RigOptions options = Rig_DefaultOptions();

    if (trace->rig != NULL) {
        return fail(trace, "\"%s\" occurs twice", "rig");
    }
    options.vm_count = get_int(event, "vms", options.vm_count);
    options.prefill_count = get_int(event, "prefill", options.prefill_count);
    options.decode_count = get_int(event, "decode", options.decode_count);
    options.slots = (uint32_t)get_int(event, "slots", (int)options.slots);
    options.latency_us =
        get_int(event, "latency_ms", 1) * (int64_t)CLK_US_PER_MS;
    options.seed = (guint32)get_int(event, "seed", 1);
    trace->rig = Rig_New(&options);
    trace->begun_us = Rig_Now(trace->rig);
    return true;
}

static bool
do_completion(Trace *trace, const json_t *event)
{
    char *prompt =
        g_strnfill((gsize)get_int(event, "prompt_bytes", 8000),
                   (gchar)('a' + g_hash_table_size(trace->callers) % 26));

    g_hash_table_insert(
        trace->callers, g_strdup(get_text(event, "name")),
        Rig_SendCompletion(trace->rig, get_vm(trace, event), prompt,
                           (uint32_t)get_int(event, "max_tokens", 10)));
    g_free(prompt);
    return true;
}

static bool
do_issue(Trace *trace, const json_t *event)
{
    char *key = Rig_IssueKey(trace->rig, get_vm(trace, event));

    if (key == NULL) {
        return fail(trace, "%s was refused", "the idempotency key");
    }
    g_hash_table_insert(trace->keys, g_strdup(get_text(event, "name")), key);
    return true;
}

static bool
do_operation(Trace *trace, const json_t *event)
{
    const char *key = g_hash_table_lookup(trace->keys, get_text(event, "key"));

    if (key == NULL) {
        return fail(trace, "no key %s", get_text(event, "key"));
    }
    g_hash_table_insert(
        trace->callers, g_strdup(get_text(event, "name")),
        Rig_SendOperation(trace->rig, get_vm(trace, event), key, "{}"));
    return true;
}

static bool
do_drop(Trace *trace, const json_t *event)
{
    RigCaller *caller =
        g_hash_table_lookup(trace->callers, get_text(event, "name"));

    if (caller == NULL) {
        return fail(trace, "no caller %s", get_text(event, "name"));
    }
    Rig_DisconnectCaller(trace->rig, caller);
    return true;
}

static bool
do_vm(Trace *trace, const json_t *event)
{
    const char *action = get_text(event, "do");
    int vm = get_vm(trace, event);

    if (strcmp(action, "kill") == 0) {
        Rig_KillVm(trace->rig, vm);
    }
    else if (strcmp(action, "start") == 0) {
        Rig_StartVm(trace->rig, vm);
    }
    else if (strcmp(action, "pause") == 0) {
        Rig_PauseVm(trace->rig, vm);
    }
    else if (strcmp(action, "resume") == 0) {
        Rig_ResumeVm(trace->rig, vm);
    }
    else if (strcmp(action, "stop") == 0) {
        Rig_StopVm(trace->rig, vm);
    }
    else {
        Rig_IsolateVm(trace->rig, vm, strcmp(action, "isolate") == 0);
    }
    return true;
}

static bool
get_fault(Trace *trace, const json_t *event, RigFault *fault)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
        if (strcmp(fault_names[i], get_text(event, "fault")) == 0) {
            *fault = (RigFault)i;
            return true;
        }
    }
    return fail(trace, "no fault %s", get_text(event, "fault"));
}

static bool
do_engine(Trace *trace, const json_t *event)
{
    RigFault fault;

    if (!get_fault(trace, event, &fault)) {
        return false;
    }
    Rig_SetEngineFault(trace->rig, get_int(event, "engine", 0), fault);
    return true;
}

static bool
do_booking(Trace *trace, const json_t *event)
{
    RigFault fault;

    if (!get_fault(trace, event, &fault)) {
        return false;
    }
    Rig_SetBookingFault(trace->rig, fault);
    return true;
}

static bool
do_leaving(Trace *trace, const json_t *event)
{
    Rig_SetEngineLeaving(
        trace->rig, get_int(event, "engine", 0),
        get_int(event, "stagger_ms", TRACE_STAGGER_DEFAULT_MS) *
            (int64_t)CLK_US_PER_MS);
    return true;
}

static const char *
get_outcome(const RigCaller *caller)
{
    if (caller->final_answers == 0) {
        return "none";
    }
    if (caller->type == BOARD_ANSWER_END) {
        return "whole";
    }
    if (caller->type == BOARD_ANSWER_BODY) {
        return "ran";
    }
    return Err_GetRunName(caller->err.run);
}

static bool
expect_outcome(Trace *trace, const json_t *event)
{
    const char *name = get_text(event, "name");
    const RigCaller *caller = g_hash_table_lookup(trace->callers, name);
    int first_ms = get_int(event, "first_ms_max", 0);

    if (caller == NULL) {
        return fail(trace, "no caller %s", name);
    }
    if (strcmp(get_outcome(caller), get_text(event, "outcome")) != 0) {
        return fail(trace, "the actual outcome is %s", get_outcome(caller));
    }
    if (first_ms > 0 &&
        caller->first_us - caller->begun_us > first_ms * CLK_US_PER_MS) {
        return fail(trace, "the first token of %s arrived too late", name);
    }
    return true;
}

static bool
expect_runs(Trace *trace, const json_t *event)
{
    const char *key = g_hash_table_lookup(trace->keys, get_text(event, "key"));
    char runs[16];

    if (key == NULL) {
        return fail(trace, "no key %s", get_text(event, "key"));
    }
    g_snprintf(runs, sizeof(runs), "%u", Rig_CountRuns(trace->rig, key));
    return atoi(runs) == get_int(event, "runs", 0)
               ? true
               : fail(trace, "the operation ran %s times", runs);
}

static bool
expect_held(Trace *trace, const json_t *event)
{
    char held[16];

    g_snprintf(held, sizeof(held), "%u", Rig_CountHeld(trace->rig));
    return atoi(held) == get_int(event, "held", 0)
               ? true
               : fail(trace, "engines hold %s requests in memory", held);
}

static bool
expect_idle(Trace *trace, const json_t *event)
{
    int64_t since_us = trace->begun_us +
                       get_int(event, "since_ms", 0) * (int64_t)CLK_US_PER_MS;

    return Rig_GetLastWorkTime(trace->rig, get_int(event, "engine", 0)) <=
                   since_us
               ? true
               : fail(trace, "%s accepted a request after that time",
                      "the engine");
}

static const TraceCommand commands[] = {
    {"rig", begin_rig},
    {"completion", do_completion},
    {"issue", do_issue},
    {"operation", do_operation},
    {"drop", do_drop},
    {"kill", do_vm},
    {"start", do_vm},
    {"pause", do_vm},
    {"resume", do_vm},
    {"stop", do_vm},
    {"isolate", do_vm},
    {"rejoin", do_vm},
    {"engine", do_engine},
    {"booking", do_booking},
    {"leaving", do_leaving},
    {"expect-outcome", expect_outcome},
    {"expect-runs", expect_runs},
    {"expect-held", expect_held},
    {"expect-idle", expect_idle},
};

/* Advances the clock to the time of an event and carries out its action. */
static bool
run_event(Trace *trace, const json_t *event)
{
    const char *action = get_text(event, "do");
    int64_t at_us =
        trace->begun_us + get_int(event, "at_ms", 0) * (int64_t)CLK_US_PER_MS;

    if (trace->rig == NULL && strcmp(action, "rig") != 0) {
        return fail(trace, "the first action must be \"%s\"", "rig");
    }
    if (trace->rig != NULL && at_us > Rig_Now(trace->rig)) {
        Rig_Run(trace->rig, at_us - Rig_Now(trace->rig));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, action) == 0) {
            return commands[i].run(trace, event);
        }
    }
    return fail(trace, "unknown action \"%s\"", action);
}

static bool
run_line(Trace *trace, const char *line)
{
    json_error_t json_err;
    json_t *event;
    bool ok;

    trace->line++;
    if (line[0] == '\n' || line[0] == '#') {
        return true;
    }
    event = json_loads(line, 0, &json_err);
    if (!json_is_object(event)) {
        json_decref(event);
        return fail(trace, "not a JSON object: %s", json_err.text);
    }
    ok = run_event(trace, event);
    json_decref(event);
    return ok;
}

LsResult
Trace_Run(FILE *file, LsError *err)
{
    Trace trace = {0};
    char *line = g_malloc(TRACE_LINE_MAX);
    const char *violation;
    bool ok = true;

    Err_Clear(err);
    trace.err = err;
    trace.callers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    trace.keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (ok && fgets(line, TRACE_LINE_MAX, file) != NULL) {
        ok = run_line(&trace, line);
    }
    if (ok && trace.rig == NULL) {
        ok = fail(&trace, "%s is empty", "the trace");
    }
    if (ok) {
        Rig_Run(trace.rig, TRACE_SETTLE_US);
        violation = Rig_FindViolation(trace.rig, true);
        ok = violation == NULL || fail(&trace, "%s", violation);
    }
    if (trace.rig != NULL) {
        Rig_Free(trace.rig);
    }
    g_hash_table_unref(trace.callers);
    g_hash_table_unref(trace.keys);
    g_free(line);
    return ok ? LS_OK : err->code;
}
