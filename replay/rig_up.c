/* Rig, fake upstreams (RigUp_): engines that prefill, decode and hold requests
   in memory, and a booking service that counts the runs of each operation. */
#include "operation.h"
#include "rig_state.h"

#include <string.h>
#include <xxhash.h>

uint64_t
RigUp_GetSeed(const char *prompt)
{
    return XXH64(prompt, strlen(prompt), 7);
}

void
RigUp_AppendToken(GString *text, uint64_t seed, uint32_t number)
{
    g_string_append_printf(
        text, "%03x ",
        (unsigned)(XXH64(&number, sizeof(number), seed) & 0xfff));
}

static void
reply(Rig *rig, RigCall *call, BoardCallEventType type, int status,
      const char *data, bool sent)
{
    RigEvent *event =
        Rig_AddEvent(rig, RIG_EVENT_REPLY, call->vm, rig->options.latency_us);

    event->incarnation = call->incarnation;
    event->call = call;
    event->reply = type;
    event->status = status;
    event->data = g_strdup(data);
    event->sent = sent;
}

static void
refuse(Rig *rig, RigCall *call, const char *code)
{
    char *body = g_strdup_printf("{\"error\":{\"code\":\"%s\"}}", code);
    reply(rig, call, BOARD_CALL_END, 503, body, true);
    g_free(body);
}

static RigEngine *
find_engine(const Rig *rig, const char *address)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        if (strcmp(engine->address, address) == 0) {
            return engine;
        }
    }
    return NULL;
}

static void
handle_booking_call(Rig *rig, RigCall *call)
{
    guint runs = Rig_CountRuns(rig, call->key) + 1;

    if (rig->booking_fault == RIG_FAULT_DOWN) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", false);
        return;
    }
    if (rig->booking_fault == RIG_FAULT_REFUSE) {
        refuse(rig, call, "full");
        return;
    }
    g_hash_table_replace(rig->runs, g_strdup(call->key),
                         GUINT_TO_POINTER(runs));
    if (rig->booking_fault == RIG_FAULT_LOSE) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", true);
    }
    else if (rig->booking_fault == RIG_FAULT_LONG) {
        char *text = g_strnfill(OP_ANSWER_MAX_BYTES + 1, 'x');
        reply(rig, call, BOARD_CALL_END, 200, text, true);
        g_free(text);
    }
    else if (rig->booking_fault != RIG_FAULT_SILENT) {
        reply(rig, call, BOARD_CALL_END, 200, "{\"run\":1}", true);
    }
}

static void
list_requests(Rig *rig, RigCall *call, const RigEngine *engine)
{
    GString *text = g_string_new("{\"requests\":[");
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, engine->requests);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_string_append_printf(text, "%s\"%s\"",
                               text->str[text->len - 1] == '[' ? "" : ",",
                               (const char *)key);
    }
    g_string_append_printf(
        text, "],\"loaded\":\"%s\",\"leaving\":%s}", engine->loaded,
        engine->fault == RIG_FAULT_LEAVING ? "true" : "false");
    reply(rig, call, BOARD_CALL_END, 200, text->str, true);
    g_string_free(text, TRUE);
}

static void
cancel_request(RigEngine *engine, const char *path)
{
    char *unescaped =
        g_uri_unescape_string(path + strlen("/v1/requests/"), NULL);
    char *end = g_strrstr(unescaped, "/cancel");

    *end = '\0';
    g_hash_table_remove(engine->requests, unescaped);
    g_hash_table_remove(engine->kv_results, unescaped);
    g_free(unescaped);
}

static bool
is_kv_param_true(const json_t *body, const char *field)
{
    return json_is_true(
        json_object_get(json_object_get(body, "kv_transfer_params"), field));
}

static void
begin_prefill(Rig *rig, RigCall *call, RigEngine *engine)
{
    const char *prompt =
        json_string_value(json_object_get(call->body, "prompt"));
    int64_t tokens = (int64_t)strlen(prompt) / 4 + 1;

    engine->prefill_free_us =
        MAX(engine->prefill_free_us, rig->now_us) +
        tokens * CLK_US_PER_S / rig->options.prefill_tokens_per_s;
    engine->prefilled += (uint64_t)tokens;
    rig->prefilled += (uint64_t)tokens;
    Rig_AddEvent(rig, RIG_EVENT_PREFILLED, call->vm,
                 engine->prefill_free_us - rig->now_us)
        ->call = call;
}

static RigEngine *
find_kv_result(const Rig *rig, const char *id)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        const int64_t *expiry = g_hash_table_lookup(engine->kv_results, id);
        if (expiry != NULL && *expiry >= rig->now_us) {
            return engine;
        }
    }
    return NULL;
}

static void
begin_stream(Rig *rig, RigCall *call, uint32_t offset, uint32_t count,
             const char *prompt)
{
    call->seed = RigUp_GetSeed(prompt);
    call->next = offset;
    call->end = offset + count;
    Rig_AddEvent(rig, RIG_EVENT_TOKEN, call->vm,
                 rig->options.token_interval_us)
        ->call = call;
}

static uint32_t
get_uint32(const RigCall *call, const char *field)
{
    return (uint32_t)json_integer_value(json_object_get(call->body, field));
}

static void
begin_decode(Rig *rig, RigCall *call, RigEngine *engine)
{
    RigEngine *source = find_kv_result(rig, call->request);

    if (source != NULL && engine->fault == RIG_FAULT_FORGET &&
        g_hash_table_add(engine->faulted_requests, g_strdup(call->request))) {
        engine->fault = RIG_FAULT_NONE;
        source = NULL;
    }
    if (source == NULL) {
        g_hash_table_remove(engine->requests, call->request);
        refuse(rig, call, "kv_missing");
        return;
    }
    g_hash_table_remove(source->kv_results, call->request);
    g_hash_table_remove(source->requests, call->request);
    begin_stream(rig, call, get_uint32(call, "resume_offset"),
                 get_uint32(call, "max_tokens"),
                 json_string_value(json_object_get(call->body, "prompt")));
}

/* Resumes the stream of an earlier call, if the engine still holds its
   request. */
static void
resume_stream(Rig *rig, RigCall *call, const RigEngine *engine)
{
    for (guint i = 0; i < rig->calls->len; i++) {
        const RigCall *earlier = rig->calls->pdata[i];
        if (earlier != call && earlier->end > 0 &&
            g_strcmp0(earlier->request, call->request) == 0 &&
            strcmp(earlier->address, call->address) == 0 &&
            g_hash_table_contains(engine->requests, call->request)) {
            call->seed = earlier->seed;
            call->next = get_uint32(call, "resume_offset");
            call->end = earlier->end;
            call->is_resumed = true;
            Rig_AddEvent(rig, RIG_EVENT_TOKEN, call->vm,
                         rig->options.token_interval_us)
                ->call = call;
            return;
        }
    }
    refuse(rig, call, "no_such_request");
}

/* Records that an engine accepted a request. The id in a call ends with "/"
   and the number of the attempt. */
static void
record_work(Rig *rig, const RigCall *call, RigEngine *engine)
{
    char *request = g_strdup(call->request);
    char *slash = strrchr(request, '/');

    if (slash != NULL) {
        *slash = '\0';
    }
    g_hash_table_add(rig->accepted_requests, request);
    engine->last_work_time_us = rig->now_us;
}

/* Carries out an order. If fencing is checked, refuses an order with an
   outdated fencing token. */
static void
handle_order(Rig *rig, RigCall *call, RigEngine *engine)
{
    uint64_t fencing =
        (uint64_t)json_integer_value(json_object_get(call->body, "fencing"));
    const char *load = json_string_value(json_object_get(call->body, "load"));

    if (rig->checks_fencing && fencing < engine->fencing) {
        reply(rig, call, BOARD_CALL_END, 409, "{}", true);
        return;
    }
    engine->fencing = MAX(engine->fencing, fencing);
    g_strlcpy(engine->loaded, load, sizeof(engine->loaded));
    g_string_append_printf(engine->load_history, "%s ", load);
    reply(rig, call, BOARD_CALL_END, 200, "{}", true);
}

static void
handle_engine_call(Rig *rig, RigCall *call, RigEngine *engine)
{
    bool resume = json_is_true(json_object_get(call->body, "resume"));

    if (engine->fault == RIG_FAULT_SILENT) {
        return;
    }
    if (engine->fault == RIG_FAULT_DOWN) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", false);
    }
    else if (strcmp(call->path, "/v1/requests") == 0) {
        list_requests(rig, call, engine);
    }
    else if (strcmp(call->path, "/v1/orders") == 0) {
        handle_order(rig, call, engine);
    }
    else if (g_str_has_suffix(call->path, "/cancel")) {
        cancel_request(engine, call->path);
        reply(rig, call, BOARD_CALL_END, 200, "{}", true);
    }
    else if (resume) {
        resume_stream(rig, call, engine);
    }
    else if (engine->fault == RIG_FAULT_LEAVING) {
        refuse(rig, call, "leaving");
    }
    else if (engine->fault == RIG_FAULT_REFUSE ||
             g_hash_table_size(engine->requests) >= rig->options.slots) {
        refuse(rig, call, "full");
    }
    else {
        record_work(rig, call, engine);
        g_hash_table_add(engine->requests, g_strdup(call->request));
        if (is_kv_param_true(call->body, "do_remote_decode")) {
            begin_prefill(rig, call, engine);
        }
        else {
            begin_decode(rig, call, engine);
        }
    }
}

void
RigUp_EndPrefill(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);
    int64_t *expiry;

    if (!g_hash_table_contains(engine->requests, call->request)) {
        return; /* The request was cancelled. */
    }
    expiry = g_new(int64_t, 1);
    *expiry = rig->now_us + rig->options.kv_life_us;
    g_hash_table_replace(engine->kv_results, g_strdup(call->request), expiry);
    if (engine->fault != RIG_FAULT_SILENT) {
        reply(rig, call, BOARD_CALL_END, 200,
              "{\"kv_transfer_params\":{\"remote_engine_id\":0}}", true);
    }
}

static void
expire_kv_results(Rig *rig)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        GHashTableIter iter;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init(&iter, engine->kv_results);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            if (*(int64_t *)value < rig->now_us) {
                g_hash_table_remove(engine->requests, key);
                g_hash_table_iter_remove(&iter);
            }
        }
    }
}

void
RigUp_GenerateToken(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);
    GString *text = g_string_new(NULL);
    bool last = call->next + 1 >= call->end;
    char *data;

    if (call->closed || engine->fault == RIG_FAULT_SILENT ||
        !g_hash_table_contains(engine->requests, call->request)) {
        g_string_free(text, TRUE);
        return;
    }
    if (engine->fault == RIG_FAULT_DOWN ||
        (engine->fault == RIG_FAULT_CUT && !call->is_resumed &&
         call->next >= 2)) {
        reply(rig, call, BOARD_CALL_FAILED, 200, "", true);
        g_string_free(text, TRUE);
        return;
    }
    RigUp_AppendToken(text, call->seed, call->next);
    data = g_strdup_printf(
        "{\"offset\":%u,\"tokens\":1,\"choices\":[{\"text\":\"%s\","
        "\"finish_reason\":%s}]}",
        call->next, text->str, last ? "\"length\"" : "null");
    if (engine->fault != RIG_FAULT_SKIP || call->next != 2) {
        reply(rig, call, BOARD_CALL_DATA, 200, data, true);
    }
    if (engine->fault == RIG_FAULT_REPEAT) {
        reply(rig, call, BOARD_CALL_DATA, 200, data, true);
    }
    g_free(data);
    g_string_free(text, TRUE);
    call->next++;
    if (last) {
        g_hash_table_remove(engine->requests, call->request);
        reply(rig, call, BOARD_CALL_DATA, 200, "[DONE]", true);
        reply(rig, call, BOARD_CALL_END, 200, "", true);
        return;
    }
    Rig_AddEvent(rig, RIG_EVENT_TOKEN, call->vm,
                 rig->options.token_interval_us)
        ->call = call;
}

void
RigUp_HandleCall(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);

    /* A call that its VM closed before it arrived is handled too: the network
       delivers what was sent. */
    expire_kv_results(rig);
    if (engine != NULL) {
        handle_engine_call(rig, call, engine);
    }
    else {
        handle_booking_call(rig, call);
    }
}
