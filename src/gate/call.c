/* One call of a task at a worker: the choice of the worker, what is counted
   while it runs, and what its end teaches. */
#include "task.h"

#include "../log.h"

#include <string.h>

/* Weight of a new sample in a moving mean. */
#define TASK_MEAN_WEIGHT 0.1
/* Cost of a worker that some other VM can't reach: most of the time that
   finding it unreachable would take. */
#define TASK_HEARSAY_US (300 * CLK_US_PER_MS)
/* An answer above it is cut, and so never passed on as whole. */
#define TASK_BODY_MAX (8 * 1024 * 1024)

static void fill_rank(const GateTask *task, const FltWorker *worker,
                      int64_t now_us, RankWorker *rank);
static bool was_tried(const GateTask *task, const FltWorker *worker);
static Bud *find_budget(GateTask *task);
static void tell_budget(GateTask *task);
static void use_worker(GateTask *task, FltWorker *worker);
static void count_arrival(GateTask *task);
static void settle_arrival(GateTask *task, CliOutcome outcome);
static const char *get_stage_name(TaskStage stage);
static void log_call(const GateTask *task);
static void on_side_head(void *context, int status, const HdrList *headers);
static bool is_own(void *context, const HdrList *headers);
static void on_head(void *context, int status, const HdrList *headers);

RankNear
Task_GetNear(const Gate *gate, const char *from, const char *to)
{
    const char *from_region;
    const char *to_region;

    if (strcmp(from, to) == 0) {
        return RANK_ZONE;
    }
    from_region = g_hash_table_lookup(gate->options.regions, from);
    to_region = g_hash_table_lookup(gate->options.regions, to);
    return g_strcmp0(from_region, to_region) == 0 && from_region != NULL
               ? RANK_REGION
               : RANK_FAR;
}

FltWorker *
Task_ChooseWorker(GateTask *task, FltPhase phase, TaskCost cost,
                  const void *context, int64_t *best_us)
{
    const GPtrArray *rows = task->gate->options.fleet->rows;
    int64_t now_us = Task_Now(task);
    FltWorker *best = NULL;
    bool best_blocked = true;
    guint offset = rows->len > 0 ? g_rand_int(task->gate->rand) : 0;

    for (guint i = 0; i < rows->len; i++) {
        FltWorker *worker = g_ptr_array_index(rows, (i + offset) % rows->len);
        RankWorker rank;
        int64_t at_us;
        bool blocked;

        if (worker->entry.phase != phase ||
            strcmp(worker->entry.service, task->service->name) != 0 ||
            !Flt_IsUsable(worker, now_us) || Flt_IsChanging(worker, now_us) ||
            was_tried(task, worker)) {
            continue;
        }
        blocked = Hlt_IsBlocked(&worker->health, now_us);
        fill_rank(task, worker, now_us, &rank);
        at_us = cost(task, worker, &rank, context);
        if (best == NULL || (best_blocked && !blocked) ||
            (best_blocked == blocked && at_us < *best_us)) {
            best = worker;
            best_blocked = blocked;
            *best_us = at_us;
        }
    }
    return best;
}

int64_t
Task_GetCost(const GateTask *task, const FltWorker *worker, TaskCost cost,
             const void *context)
{
    RankWorker rank;

    fill_rank(task, worker, Task_Now(task), &rank);
    return cost(task, worker, &rank, context);
}

void
Task_NoteRequest(GateTask *task)
{
    Bud_NoteRequest(find_budget(task), Task_Now(task));
    tell_budget(task);
}

bool
Task_HasExtra(GateTask *task, uint32_t calls)
{
    const GateOptions *options = &task->gate->options;
    BudOthers others =
        options->get_others(options->context, task->service->name);

    return Bud_GetLeft(find_budget(task), &others, Task_Now(task)) >= calls;
}

void
Task_BeginCall(GateTask *task, FltWorker *worker,
               const GateCallOptions *options, uint32_t idle_max_ms,
               void (*on_data)(void *, const void *, size_t),
               void (*on_end)(void *, CliOutcome))
{
    const GateCodec *codec = task->gate->options.codec;
    TaskCall *now = &task->now;
    HdrList *headers = Hdr_New();
    CliCallOptions call = {
        .address = worker->entry.address,
        .method = task->exchange->method,
        .target = task->exchange->target,
        .headers = headers,
        .body = task->exchange->body->data,
        .body_size = task->exchange->body->len,
        .with_length = strcmp(task->exchange->method, "GET") != 0 &&
                       strcmp(task->exchange->method, "HEAD") != 0,
        .idle_max_ms = idle_max_ms,
        .context = task,
        .is_own = is_own,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    codec->encode_call(codec->context, &task->request, options, headers);
    now->stage = options->prefill             ? TASK_PREFILL
                 : options->kv_handle != NULL ? TASK_DECODE
                                              : TASK_RUN;
    if (task->service->is_engine) {
        uint32_t tokens = task->request.prompt_tokens;
        now->reading = now->stage == TASK_DECODE ? 0 : tokens;
        now->held = tokens + task->request.output_tokens;
    }
    use_worker(task, worker);
    count_arrival(task);
    task->sends++;
    now->call = Cli_BeginCall(task->gate->options.cli, &call);
    Hdr_Free(headers);
    log_call(task);
}

void
Task_BeginSide(GateTask *task, FltWorker *worker, const GateSide *side,
               void (*on_end)(void *, CliOutcome))
{
    TaskCall *now = &task->now;
    CliCallOptions call = {
        .address = worker->entry.address,
        .method = side->method,
        .target = side->target,
        .headers = side->headers,
        .body = side->body,
        .body_size = strlen(side->body),
        .idle_max_ms = UINT32_MAX,
        .context = task,
        .on_head = on_side_head,
        .on_data = Task_TakeBody,
        .on_end = on_end,
    };

    now->stage = TASK_RESERVE;
    use_worker(task, worker);
    now->call = Cli_BeginCall(task->gate->options.cli, &call);
    log_call(task);
}

void
Task_SendSide(const GateTask *task, const char *address, const GateSide *side)
{
    CliCallOptions call = {
        .address = address,
        .method = side->method,
        .target = side->target,
        .idle_max_ms = UINT32_MAX,
    };

    Cli_BeginCall(task->gate->options.cli, &call);
}

void
Task_EndCall(GateTask *task)
{
    TaskCall *now = &task->now;

    if (now->call != NULL) {
        Cli_EndCall(now->call);
    }
    if (now->worker != NULL) {
        task->spent_us[now->stage] += Task_Now(task) - now->began_us;
        now->worker->inflight--;
        now->worker->reading -= now->reading;
        now->worker->held -= now->held;
        task->gate->options.on_use(task->gate->options.context);
        Flt_Unref(now->worker);
    }
    if (now->body != NULL) {
        g_byte_array_free(now->body, TRUE);
    }
    Hdr_Free(now->headers);
    memset(now, 0, sizeof(*now));
    task->patience_us = 0;
}

void
Task_AddTried(GateTask *task, FltWorker *worker)
{
    if (task->tried_count < TASK_TRIED_MAX) {
        task->tried[task->tried_count++] = Flt_Ref(worker);
    }
}

LsRun
Task_GetRun(const GateTask *task, CliOutcome outcome)
{
    const TaskCall *now = &task->now;

    if (outcome == CLI_NOT_SENT) {
        return LS_RUN_NOT_RUN;
    }
    if (now->has_reply && (now->reply.not_run || now->reply.misdirected)) {
        return LS_RUN_NOT_RUN;
    }
    return outcome == CLI_WHOLE && now->has_reply ? LS_RUN_RAN
                                                  : LS_RUN_UNKNOWN;
}

bool
Task_HasAnswer(const GateTask *task, CliOutcome outcome)
{
    const GateReply *reply = &task->now.reply;

    if (outcome != CLI_WHOLE || !task->now.has_reply || reply->encoded ||
        task->now.cut) {
        return false;
    }
    return reply->own && reply->receipt;
}

void
Task_TakeBody(void *context, const void *data, size_t size)
{
    GateTask *task = context;

    if (task->now.body->len + size <= TASK_BODY_MAX) {
        g_byte_array_append(task->now.body, data, (guint)size);
    }
    else {
        task->now.cut = true;
    }
}

const char *
Task_GetCause(const GateTask *task, CliOutcome outcome, LsRun run)
{
    if (outcome == CLI_NOT_SENT) {
        return "unreachable";
    }
    if (run == LS_RUN_NOT_RUN) {
        return "refused by the worker";
    }
    if (outcome == CLI_MALFORMED) {
        return "malformed answer";
    }
    if (outcome == CLI_BROKEN) {
        return "connection lost";
    }
    return Task_HasAnswer(task, outcome) ? "worker's error"
                                         : "answer without receipt";
}

void
Task_NoteFailure(GateTask *task, CliOutcome outcome, LsRun run,
                 const char *cause)
{
    TaskCall *now = &task->now;
    FltWorker *worker = now->worker;
    int64_t now_us = Task_Now(task);

    if (now->stage != TASK_RESERVE) {
        settle_arrival(task, outcome);
    }
    if (now->has_reply && now->reply.misdirected) {
        worker->replaced = true;
        Cli_ForgetAddress(task->gate->options.cli, worker->entry.address);
    }
    else if (outcome == CLI_NOT_SENT) {
        Hlt_NoteSilence(&worker->health, now_us);
    }
    else if (run != LS_RUN_NOT_RUN) {
        Hlt_NoteFailure(&worker->health, now_us);
    }
    g_strlcpy(task->cause, cause, sizeof(task->cause));
    Met_Add(MET_CALLS_FAILED, 1);
    Log_WriteJson(
        LOG_LEVEL_INFO, "call_failed",
        json_pack(
            "{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:i,s:i,s:i,s:i}", "request",
            task->request.id, "worker", worker->entry.id, "stage",
            get_stage_name(now->stage), "cause", cause, "status",
            now->has_reply ? now->reply.status : 0, "run", Err_GetRunName(run),
            "after_us", (json_int_t)(now_us - now->began_us), "sends",
            (int)task->sends, "runs", (int)task->runs, "running",
            (int)now->reply.running, "waiting", (int)now->reply.waiting));
}

RtyInput
Task_GetRetryInput(const GateTask *task, LsRun run)
{
    RtyInput input = {
        .run = run,
        .ran_before = task->runs > 0,
        .runs = task->runs,
        .attempts = task->route->attempts,
        .sends = task->sends,
        .left_ms = Task_GetLeftMs(task),
    };

    return input;
}

RtyNext
Task_DecideRetry(const GateTask *task, const RtyInput *input)
{
    static const char *const names[] = {"elsewhere", "pass", "refuse", "fail"};
    RtyNext next = Rty_Decide(input);

    Log_WriteJson(LOG_LEVEL_INFO, "retry",
                  json_pack("{s:s,s:s,s:s,s:b,s:b,s:b,s:i,s:i,s:I}", "request",
                            task->request.id, "next", names[next], "run",
                            Err_GetRunName(input->run), "repeatable",
                            input->repeatable, "budget", input->budget,
                            "candidate", input->candidate, "runs",
                            (int)input->runs, "attempts", (int)input->attempts,
                            "left_ms", (json_int_t)input->left_ms));
    return next;
}

static void
fill_rank(const GateTask *task, const FltWorker *worker, int64_t now_us,
          RankWorker *rank)
{
    const RteService *service = task->service;
    uint32_t known = worker->inflight + worker->peer_inflight;

    memset(rank, 0, sizeof(*rank));
    rank->near =
        Task_GetNear(task->gate, task->gate->options.zone, worker->entry.zone);
    rank->lapsed = !worker->listed;
    rank->slots = worker->entry.slots;
    rank->running = known;
    if (now_us - worker->load_us < FLT_LOAD_AGE_US && worker->load_us != 0) {
        rank->running =
            MAX(known, worker->load_running + worker->load_waiting);
    }
    rank->reading = worker->reading + worker->peer_reading;
    rank->held = MAX(worker->held + worker->peer_held,
                     rank->running * (uint64_t)task->gate->mean_tokens);
    rank->memory = service->is_engine ? service->kv_tokens : 0;
    rank->service_us = worker->service_us;
    rank->slowness = worker->slowness;
    rank->health_us = Hlt_GetCost(&worker->health, now_us);
    if (worker->peer_silent > 0) {
        rank->health_us += TASK_HEARSAY_US;
    }
}

static bool
was_tried(const GateTask *task, const FltWorker *worker)
{
    for (guint i = 0; i < task->tried_count; i++) {
        if (task->tried[i] == worker) {
            return true;
        }
    }
    return false;
}

static Bud *
find_budget(GateTask *task)
{
    Gate *gate = task->gate;
    Bud *bud = g_hash_table_lookup(gate->budgets, task->service->name);

    if (bud == NULL) {
        bud = g_new0(Bud, 1);
        Bud_Init(bud, &gate->options.budget);
        g_hash_table_insert(gate->budgets, g_strdup(task->service->name), bud);
    }
    return bud;
}

/* Lets the other VMs know what this one used. */
static void
tell_budget(GateTask *task)
{
    const GateOptions *options = &task->gate->options;
    double requests;
    double extras;

    Bud_GetUsed(find_budget(task), Task_Now(task), &requests, &extras);
    options->on_budget(options->context, task->service->name, requests,
                       extras);
}

static void
use_worker(GateTask *task, FltWorker *worker)
{
    TaskCall *now = &task->now;

    now->worker = Flt_Ref(worker);
    now->began_us = Task_Now(task);
    now->has_reply = false;
    now->body = g_byte_array_new();
    worker->inflight++;
    worker->reading += now->reading;
    worker->held += now->held;
    task->gate->options.on_use(task->gate->options.context);
}

/* Counts the call that begins. The first prefill that a worker accepts is
   free; a refused one is counted as it ends. */
static void
count_arrival(GateTask *task)
{
    TaskCall *now = &task->now;

    now->counted = now->stage != TASK_PREFILL || task->prefilled;
    now->extra = now->counted && task->arrivals > 0;
    if (now->extra) {
        Bud_NoteExtra(find_budget(task), Task_Now(task));
        tell_budget(task);
    }
    task->arrivals += now->counted;
}

/* Corrects the count for a call that failed. */
static void
settle_arrival(GateTask *task, CliOutcome outcome)
{
    TaskCall *now = &task->now;

    if (outcome == CLI_NOT_SENT && now->counted) {
        task->arrivals--;
        if (now->extra) {
            Bud_DropExtra(find_budget(task), Task_Now(task));
        }
    }
    if (outcome != CLI_NOT_SENT && now->stage == TASK_PREFILL &&
        !now->counted) {
        if (task->arrivals > 0) {
            Bud_NoteExtra(find_budget(task), Task_Now(task));
        }
        task->arrivals++;
    }
    now->counted = false;
    now->extra = false;
}

static const char *
get_stage_name(TaskStage stage)
{
    static const char *const names[] = {"run", "decode", "prefill", "reserve"};

    return names[stage];
}

static void
log_call(const GateTask *task)
{
    const TaskCall *now = &task->now;

    Log_WriteJson(LOG_LEVEL_DEBUG, "call",
                  json_pack("{s:s,s:s,s:s,s:I,s:I,s:i}", "request",
                            task->request.id, "worker", now->worker->entry.id,
                            "stage", get_stage_name(now->stage), "expected_us",
                            (json_int_t)now->expected_us, "load_age_us",
                            (json_int_t)(now->began_us - now->worker->load_us),
                            "inflight", (int)now->worker->inflight));
}

static void
on_side_head(void *context, int status, const HdrList *headers)
{
    GateTask *task = context;

    (void)headers;
    task->now.has_reply = true;
    task->now.reply.status = status;
}

static bool
is_own(void *context, const HdrList *headers)
{
    const GateTask *task = context;
    const GateCodec *codec = task->gate->options.codec;

    return codec->is_own(codec->context, headers, task->request.id);
}

static void
on_head(void *context, int status, const HdrList *headers)
{
    GateTask *task = context;
    const GateCodec *codec = task->gate->options.codec;
    TaskCall *now = &task->now;
    int64_t now_us = Task_Now(task);

    now->has_reply = true;
    codec->decode_reply(codec->context, status, headers, task->request.id,
                        &now->reply);
    now->headers = Hdr_New();
    codec->encode_answer(codec->context, headers, now->headers);
    if (now->reply.has_load) {
        Flt_NoteLoad(now->worker, now->reply.running, now->reply.waiting,
                     now_us);
    }
    if (!task->service->is_engine && status < 300) {
        double took = (double)(now_us - now->began_us);
        double mean = now->worker->service_us;
        now->worker->service_us =
            mean == 0 ? took : mean + TASK_MEAN_WEIGHT * (took - mean);
    }
}
