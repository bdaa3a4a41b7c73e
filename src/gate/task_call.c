/* Calls of a task: sends a call, and updates the worker's load, health and the
   retry budget. See task.h. */
#include "detour.h"
#include "end_check.h"
#include "task.h"
#include "task_budget.h"
#include "worker_pace.h"

#include "../log.h"

#include <string.h>
#include <xxhash.h>

/* Weight of a new sample in the moving mean of a worker's call time. */
#define TASK_SERVICE_TIME_WEIGHT 0.1
/* An estimated wait is taken off a call's time, but leaves this part of it. */
#define TASK_WAIT_SHARE_MAX 4
/* Bytes. A longer answer is never passed to the caller, and its call ends. */
#define TASK_BODY_MAX (8 * 1024 * 1024)
/* Bytes of all answers that are being read: a share of the memory of a small
   VM. */
#define TASK_BODIES_MAX (24 * 1024 * 1024)

/* Parts of a prompt in one log line. */
#define TASK_LOGGED_PARTS_MAX 8
/* Events that a stream is taken to have had at most if its caller names no
   limit. IDs may be any numbers. */
#define TASK_EVENTS_MAX (1 << 16)
/* Time between two events of a stream while it is unknown. */
#define TASK_DEFAULT_EVENT_INTERVAL_US 30000

static uint64_t get_call_name(const GateTask *task);
static uint64_t get_told_label(void *context);
static void init_call(GateTask *task, FleetWorker *worker);
static void end_call(TaskCall *call);
static void end_trial(TaskCall *call, bool accepted);
static const char *get_stage_name(TaskStage stage);
static json_t *list_parts(const GateTask *task);
static void log_call(const GateTask *task);
static void on_control_head(void *context, int status,
                            const HeaderList *headers);
static bool matches_request(void *context, const HeaderList *headers);
static bool matches_control(void *context, const HeaderList *headers);
static void on_head(void *context, int status, const HeaderList *headers);

void
Task_BeginCall(GateTask *task, FleetWorker *worker,
               const GateCallOptions *options, uint32_t idle_max_ms,
               void (*on_data)(void *, const void *, size_t),
               void (*on_end)(void *, ClientOutcome))
{
    const GateCodec *codec = task->gate->options.codec;
    TaskCall *current = task->current;
    HeaderList *headers = Header_New();
    GateCallOptions sent = *options;
    ClientCallOptions call = {
        .address = worker->entry.address,
        .method = task->exchange->method,
        .target = task->exchange->target,
        .headers = headers,
        .left_name = codec->left_name,
        .left_until_us = task->deadline_us,
        .body = task->exchange->body->data,
        .body_size = task->exchange->body->len,
        .with_length = strcmp(task->exchange->method, "GET") != 0 &&
                       strcmp(task->exchange->method, "HEAD") != 0,
        .idle_max_ms = idle_max_ms,
        .name = get_call_name(task),
        .context = current,
        .matches_request = matches_request,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    sent.account = task->request.account;
    if (worker->is_vm) {
        sent.worker = NULL; /* That VM chooses the worker. */
    }
    codec->encode_call(codec->context, &task->request, &sent, headers);
    if (worker->is_vm) {
        DetourVm_AddMark(task, headers);
    }
    current->stage = options->prefill             ? TASK_PREFILL
                     : options->kv_handle != NULL ? TASK_DECODE
                                                  : TASK_RUN;
    if (task->service->is_engine) {
        uint32_t tokens = task->request.prompt_tokens;
        current->prefill_tokens =
            current->stage == TASK_DECODE || options->fetch_address != NULL
                ? 0
                : tokens;
        current->kv = current->stage == TASK_PREFILL
                          ? Forecast_OfPrompt(tokens)
                          : Task_GetForecast(task);
    }
    if (current->stage != TASK_PREFILL) {
        call.label = Task_GetStartLabel(task, worker);
        /* For the proof that the process outlives its answer; a label is one.
         */
        call.keeps_one = call.label == 0 && worker->closes_answers;
        task->checks = 0;
    }
    init_call(task, worker);
    g_strlcpy(task->worker, worker->entry.id, sizeof(task->worker));
    task->last_worker = worker->hash;
    current->framing = CLIENT_FRAMING_NONE;
    TaskBudget_CountCall(task);
    task->sends++;
    current->call = Client_BeginCall(task->gate->options.client, &call);
    Client_SetReading(current->call, !task->is_read_paused);
    Header_Free(headers);
    log_call(task);
}

void
Task_BeginControlCall(GateTask *task, FleetWorker *worker, TaskStage stage,
                      const GateControlCall *control_call,
                      void (*on_end)(void *, ClientOutcome))
{
    TaskCall *current = task->current;
    ClientCallOptions call = {
        .address = worker->entry.address,
        .method = control_call->method,
        .target = control_call->target,
        .headers = control_call->headers,
        .body = control_call->body,
        .body_size = strlen(control_call->body),
        .idle_max_ms = UINT32_MAX,
        /* The run must be able to use the connection. */
        .name = stage == TASK_CHECK ? get_call_name(task) : 0,
        .context = current,
        .matches_request = matches_control,
        .get_label = stage == TASK_CHECK ? get_told_label : NULL,
        .on_head = on_control_head,
        .on_data = Task_AppendBody,
        .on_end = on_end,
    };

    current->stage = stage;
    init_call(task, worker);
    current->call = Client_BeginCall(task->gate->options.client, &call);
    log_call(task);
}

uint64_t
Task_GetStartLabel(const GateTask *task, const FleetWorker *worker)
{
    if (!task->route->can_resume || worker->is_vm) {
        return 0;
    }
    return worker->tells_no_start && worker->entry.born_ms != 0
               ? Fleet_GetNoStartLabel(worker)
               : Fleet_GetStartLabel(worker, worker->entry.born_ms);
}

bool
Task_HasConnection(const GateTask *task, const FleetWorker *worker,
                   uint32_t idle_max_ms)
{
    ClientCallOptions call = {
        .address = worker->entry.address,
        .idle_max_ms = idle_max_ms,
        .name = get_call_name(task),
        .label = Task_GetStartLabel(task, worker),
    };

    return call.label == 0 ||
           Client_HasIdle(task->gate->options.client, &call);
}

/* Returns the name of the request's calls, as in ClientCallOptions. */
static uint64_t
get_call_name(const GateTask *task)
{
    return XXH3_64bits(task->request.id, strlen(task->request.id));
}

static uint64_t
get_told_label(void *context)
{
    const TaskCall *call = context;

    return Task_ReadStartLabel(call->task, call->worker, call->reply.status,
                               call->body);
}

uint64_t
Task_ReadStartLabel(const GateTask *task, const FleetWorker *worker,
                    int status, const GByteArray *state)
{
    const GateCodec *codec = task->gate->options.codec;
    int64_t born_ms = 0;

    if (status == 404) {
        return Fleet_GetNoStartLabel(worker);
    }
    if (status != 200 ||
        !codec->decode_state(codec->context, (const char *)state->data,
                             state->len, &born_ms)) {
        return 0;
    }
    return born_ms == 0 ? Fleet_GetNoStartLabel(worker)
                        : Fleet_GetStartLabel(worker, born_ms);
}

void
Task_SendControlCall(const GateTask *task, FleetWorker *worker,
                     const char *address, const GateControlCall *control_call)
{
    ClientCallOptions call = {
        .address = address,
        .method = control_call->method,
        .target = control_call->target,
        .idle_max_ms = UINT32_MAX,
    };

    if (!Notice_IsPaused(&worker->notice, Task_Now(task))) {
        Throttle_Charge(&worker->throttle);
        Client_BeginCall(task->gate->options.client, &call);
    }
}

uint32_t
Task_CountEventsMax(const GateTask *task)
{
    uint32_t per_event = MAX(task->service->tokens_per_event, 1);

    return (uint32_t)(((int64_t)task->request.output_max + per_event - 1) /
                      per_event);
}

uint32_t
Task_CountMadeEvents(const GateTask *task)
{
    uint32_t most = Task_CountEventsMax(task);
    int64_t made =
        EventOrder_CountEvents(&task->order, task->request.last_event);

    return (uint32_t)MIN(made, most > 0 ? most : TASK_EVENTS_MAX);
}

Forecast
Task_GetForecast(const GateTask *task)
{
    uint32_t per_event = MAX(task->service->tokens_per_event, 1);
    double event_interval_us = task->gate->event_interval_us > 0
                                   ? task->gate->event_interval_us
                                   : TASK_DEFAULT_EVENT_INTERVAL_US;
    ForecastStream stream = {
        .prompt_tokens = task->request.prompt_tokens,
        .made_tokens = (uint32_t)Task_CountMadeEvents(task) * per_event,
        .expected_tokens = task->request.output_tokens,
        .tokens_per_us = per_event / event_interval_us,
    };

    return Forecast_OfStream(&stream);
}

void
Task_UpdateForecasts(GateTask *task)
{
    Forecast kv = {0};

    if (!task->service->is_engine) {
        return;
    }
    kv = Task_GetForecast(task);
    if (task->assigned.worker != NULL) {
        Forecast_Subtract(&task->assigned.worker->kv, &task->assigned.kv);
        Forecast_Add(&task->assigned.worker->kv, &kv);
        task->assigned.kv = kv;
    }
    if (Task_MayBeRunning(task)) {
        Forecast_Subtract(&task->current->worker->kv, &task->current->kv);
        Forecast_Add(&task->current->worker->kv, &kv);
        task->current->kv = kv;
    }
}

void
Task_EndCall(GateTask *task)
{
    end_call(task->current);
    task->step_deadline_us = 0;
}

LsRun
Task_GetRun(const TaskCall *call, ClientOutcome outcome)
{
    if (outcome == CLIENT_NOT_SENT) {
        return LS_RUN_NOT_RUN;
    }
    if (outcome == CLIENT_MALFORMED && !call->truncated) {
        /* Its trailers are malformed, so that its head promises nothing. */
        return LS_RUN_UNKNOWN;
    }
    if (call->has_reply && (call->reply.not_run || call->reply.misdirected)) {
        return LS_RUN_NOT_RUN;
    }
    return outcome == CLIENT_COMPLETE && call->has_reply ? LS_RUN_RAN
                                                         : LS_RUN_UNKNOWN;
}

bool
Task_HasAnswer(const TaskCall *call, ClientOutcome outcome)
{
    const GateReply *reply = &call->reply;

    if (outcome != CLIENT_COMPLETE || !call->has_reply || reply->is_encoded ||
        call->truncated) {
        return false;
    }
    return reply->matches_request && reply->has_receipt;
}

void
Task_NoteHeard(TaskCall *call)
{
    call->heard_us = Task_Now(call->task);
    call->worker->heard_us = call->heard_us;
}

void
Task_NoteUnresponsive(TaskCall *call)
{
    FleetWorker *worker = call->worker;

    if (worker->is_vm && call->call != NULL) {
        return; /* The worker behind it may be silent; the VM's life is known
                   from its messages. */
    }
    Health_NoteUnresponsive(&worker->health, Task_Now(call->task));
    worker->unanswered_us = MAX(worker->unanswered_us, call->heard_us);
    /* A worker may be silent by itself once it has the call. */
    call->task->unreached +=
        call->end_check == NULL &&
        (call->call == NULL || !Client_IsDelivered(call->call));
    Detour_NoteUnanswered(call->task);
}

void
Task_AppendBody(void *context, const void *data, size_t size)
{
    TaskCall *call = context;
    Gate *gate = call->task->gate;

    Task_NoteHeard(call);
    if (call->body->len + size <= TASK_BODY_MAX &&
        gate->buffered_bytes + size <= TASK_BODIES_MAX) {
        g_byte_array_append(call->body, data, (guint)size);
        gate->buffered_bytes += size;
    }
    else {
        call->truncated = true;
        Client_RejectBody(call->call);
    }
}

const char *
Task_GetFramingName(const GateTask *task)
{
    static const char *const names[] = {"none", "length", "chunks", "close"};

    return names[task->current->framing];
}

const char *
Task_GetCause(const TaskCall *call, ClientOutcome outcome, LsRun run)
{
    if (outcome == CLIENT_NOT_SENT) {
        return "unreachable";
    }
    if (run == LS_RUN_NOT_RUN) {
        return "refused by the worker";
    }
    if (outcome == CLIENT_MALFORMED) {
        return "malformed answer";
    }
    if (outcome == CLIENT_INTERRUPTED) {
        return "connection lost";
    }
    return Task_HasAnswer(call, outcome) ? "worker's error"
                                         : "answer without receipt";
}

void
Task_NoteFailure(GateTask *task, ClientOutcome outcome, LsRun run,
                 const char *cause)
{
    TaskCall *current = task->current;
    FleetWorker *worker = current->worker;
    int64_t now_us = Task_Now(task);

    if (current->stage != TASK_RESERVE && current->stage != TASK_CHECK) {
        bool is_unsent = worker->is_vm && run == LS_RUN_NOT_RUN &&
                         current->worker_behind == 0;
        TaskBudget_CorrectCount(task, outcome == CLIENT_NOT_SENT || is_unsent);
    }
    if (current->has_reply && current->reply.misdirected &&
        run == LS_RUN_NOT_RUN && !task->request.is_conditional) {
        Fleet_NoteMisdirected(worker, now_us);
        Client_CloseIdle(task->gate->options.client, worker->entry.address);
    }
    else if (outcome == CLIENT_NOT_SENT) {
        Task_NoteUnresponsive(current);
    }
    else if (run != LS_RUN_NOT_RUN &&
             current->born_ms == worker->entry.born_ms &&
             (current->worker_behind == 0 || outcome != CLIENT_COMPLETE)) {
        Health_NoteFailure(&worker->health, now_us);
    }
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Met_Add(MET_CALLS_FAILED, 1);
    Log_WriteJson(
        LOG_LEVEL_INFO, "call_failed",
        json_pack(
            "{s:s,s:s,s:o,s:i,s:b,s:I,s:s,s:s,s:i,s:s,s:i,s:s,s:I,s:i,s:i,s:i,"
            "s:i,s:I,s:I,s:I,s:I,s:o,s:o}",
            "request", task->request.id, "worker", worker->entry.id, "parts",
            list_parts(task), "events", (int)current->events, "leaving",
            (int)Fleet_IsLeaving(worker), "pause_us",
            (json_int_t)MAX(worker->notice.paused_until_us - now_us, 0),
            "stage", get_stage_name(current->stage), "cause", cause, "status",
            current->has_reply ? current->reply.status : 0, "framing",
            Task_GetFramingName(task), "unfinished_bytes",
            (int)task->current->sse.pending->len, "run", Err_GetRunName(run),
            "after_us", (json_int_t)(now_us - current->began_us), "sends",
            (int)task->sends, "runs", (int)task->runs, "running",
            (int)current->reply.running, "waiting",
            (int)current->reply.waiting, "quiet_us",
            (json_int_t)(now_us - current->heard_us), "worker_quiet_us",
            (json_int_t)(worker->heard_us != 0 ? now_us - worker->heard_us
                                               : -1),
            "config", (json_int_t)task->table->version, "config_now",
            (json_int_t)task->gate->table->version, "identity",
            json_sprintf("%016llx",
                         (unsigned long long)Task_GetIdentity(task)),
            "own_part",
            json_sprintf("%016llx",
                         (unsigned long long)task->request.own_part)));
}

RetryInput
Task_GetRetryInput(const GateTask *task, LsRun run)
{
    RetryInput input = {
        .run = run,
        .ran_before = task->runs > 0,
        .runs = task->runs,
        .attempts = task->attempts,
        .sends = task->sends,
        .left_ms = Task_GetLeftMs(task),
    };

    return input;
}

RetryNext
Task_DecideRetry(const GateTask *task, const RetryInput *input)
{
    static const char *const names[] = {"elsewhere", "pass", "refuse", "fail"};
    RetryNext next = Retry_Decide(input);

    Log_WriteJson(
        LOG_LEVEL_INFO, "retry",
        json_pack("{s:s,s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:I,s:o}", "request",
                  task->request.id, "service", task->service->name, "next",
                  names[next], "run", Err_GetRunName(input->run), "repeatable",
                  input->repeatable, "budget", input->has_budget, "candidate",
                  input->has_candidate, "runs", (int)input->runs, "attempts",
                  (int)input->attempts, "left_ms", (json_int_t)input->left_ms,
                  "budget_use", TaskBudget_Describe(task)));
    return next;
}

/* Sets up task->current for a call at the worker, and adds the call to the
   worker's load. */
static void
init_call(GateTask *task, FleetWorker *worker)
{
    TaskCall *current = task->current;

    current->worker = Fleet_Ref(worker);
    current->began_us = Task_Now(task);
    task->work_us = task->work_us != 0 ? task->work_us : current->began_us;
    current->heard_us = current->began_us;
    current->progress_us = current->began_us;
    current->has_reply = false;
    current->body = g_byte_array_new();
    current->version = worker->version;
    current->born_ms = worker->entry.born_ms;
    current->told_born_ms = worker->told_born_ms;
    g_strlcpy(current->address, worker->entry.address,
              sizeof(current->address));
    current->last_number = Client_GetLastNumber(task->gate->options.client);
    current->trial = Notice_BeginTrial(&worker->notice);
    Throttle_Charge(&worker->throttle);
    worker->inflight++;
    current->backlog_tokens =
        worker->prefill_tokens + worker->peer_prefill_tokens;
    worker->prefill_tokens += current->prefill_tokens;
    Forecast_Add(&worker->kv, &current->kv);
    task->gate->options.on_load_change(task->gate->options.context);
}

/* Cancels the call if it is in progress, and clears it but for the fields that
   stay valid. */
static void
end_call(TaskCall *call)
{
    GateTask *task = call->task;
    Sse sse = call->sse;
    ClientFraming framing = call->framing;

    if (call->call != NULL) {
        Client_EndCall(call->call);
    }
    EndCheck_Cancel(call);
    if (call->worker != NULL) {
        task->spent_us[call->stage] += Task_Now(task) - call->began_us;
        end_trial(call, false);
        call->worker->inflight--;
        call->worker->prefill_tokens -= call->prefill_tokens;
        Forecast_Subtract(&call->worker->kv, &call->kv);
        task->gate->options.on_load_change(task->gate->options.context);
        Fleet_Unref(call->worker);
    }
    if (call->body != NULL) {
        task->gate->buffered_bytes -= call->body->len;
        g_byte_array_free(call->body, TRUE);
    }
    Header_Free(call->headers);
    memset(call, 0, sizeof(*call));
    call->task = task;
    call->sse = sse;
    call->framing = framing;
}

/* Ends the call's trial, if it is one. */
static void
end_trial(TaskCall *call, bool accepted)
{
    if (call->trial) {
        call->trial = false;
        Notice_EndTrial(&call->worker->notice, accepted);
    }
}

static const char *
get_stage_name(TaskStage stage)
{
    static const char *const names[] = {"run", "decode", "prefill", "reserve",
                                        "check"};

    return names[stage];
}

/* Returns the identifiers of the prompt's shared parts, for logs. */
static json_t *
list_parts(const GateTask *task)
{
    json_t *list = json_array();

    for (uint32_t i = 0;
         i < task->request.part_count && i < TASK_LOGGED_PARTS_MAX; i++) {
        json_array_append_new(
            list, json_sprintf("%016llx",
                               (unsigned long long)task->request.parts[i]));
    }
    return list;
}

static void
log_call(const GateTask *task)
{
    const TaskCall *current = task->current;

    Log_WriteJson(
        LOG_LEVEL_DEBUG, "call",
        json_pack("{s:s,s:s,s:I,s:s,s:I,s:I,s:i}", "request", task->request.id,
                  "worker", current->worker->entry.id, "left_ms",
                  (json_int_t)Task_GetLeftMs(task), "stage",
                  get_stage_name(current->stage), "expected_us",
                  (json_int_t)current->expected_us, "load_age_us",
                  (json_int_t)(current->began_us - current->worker->load_us),
                  "inflight", (int)current->worker->inflight));
}

static void
on_control_head(void *context, int status, const HeaderList *headers)
{
    TaskCall *call = context;

    (void)headers;
    call->has_reply = true;
    call->reply.status = status;
    Task_NoteHeard(call);
    end_trial(call, status != 503);
}

/* A late copy of a request's answer is not the answer to a control call. */
static bool
matches_control(void *context, const HeaderList *headers)
{
    const TaskCall *call = context;
    const GateCodec *codec = call->task->gate->options.codec;

    return codec->matches_control(codec->context, headers);
}

/* An answer that names no request may be a late copy of the answer to an
   earlier control call on the connection. The own answer may still follow. */
static bool
matches_request(void *context, const HeaderList *headers)
{
    const TaskCall *call = context;
    const GateTask *task = call->task;
    const GateCodec *codec = task->gate->options.codec;

    if (Client_IsReused(call->call) &&
        codec->matches_control(codec->context, headers)) {
        Met_Add(MET_ANSWERS_FOREIGN, 1);
        return false;
    }
    return codec->matches_request(codec->context, headers, task->request.id);
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    TaskCall *current = context;
    GateTask *task = current->task;
    const GateCodec *codec = task->gate->options.codec;
    int64_t now_us = Task_Now(task);

    current->has_reply = true;
    current->head_us = now_us;
    Task_NoteHeard(current);
    end_trial(current, status != 503);
    codec->decode_reply(codec->context, status, headers, task->request.id,
                        &current->reply);
    if (!current->reply.matches_request && Client_IsReused(current->call)) {
        /* It may be one of an earlier call, and this one runs. */
        current->reply.not_run = false;
        current->reply.misdirected = false;
    }
    if (current->worker->is_vm && !current->reply.has_receipt &&
        (status < 500 || status == 503)) {
        /* The other VM's own answer, which promises that nothing has run. */
        current->reply.not_run = true;
    }
    current->framing = Client_GetFraming(current->call);
    if (current->framing == CLIENT_FRAMING_CLOSE) {
        Met_Add(MET_ANSWERS_UNTIL_CLOSE, 1);
        current->worker->closes_answers = true;
        EndCheck_LearnStart(current);
    }
    current->headers = Header_New();
    codec->encode_answer(codec->context, headers, current->headers);
    if (current->worker->is_vm) {
        current->worker_behind = DetourVm_TakeAnswer(current->headers);
    }
    if (current->reply.has_load) {
        Fleet_NoteLoad(current->worker, current->reply.running,
                       current->reply.waiting, current->reply.pace, now_us);
        WorkerPace_NoteLoad(current);
    }
    if (!task->service->is_engine && status < 300) {
        int64_t all_us = now_us - current->began_us;
        double took_us = (double)MAX(all_us - current->wait_us,
                                     all_us / TASK_WAIT_SHARE_MAX);
        double mean_us = current->worker->service_us;
        current->worker->service_us =
            mean_us == 0
                ? took_us
                : mean_us + TASK_SERVICE_TIME_WEIGHT * (took_us - mean_us);
        WorkerPace_NoteCall(current, took_us);
    }
}
