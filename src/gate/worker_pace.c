/* Worker pace: pace and limits of workers. See worker_pace.h. */
#include "worker_pace.h"
#include "stream.h"

#include "../log.h"
#include "../metrics.h"

#include <math.h>
#include <string.h>

/* Events whose mean interval is one measurement. */
#define WORKER_PACE_EVENTS 5
/* How often the workers of a service are compared. */
#define WORKER_PACE_CHECK_US (250 * CLK_US_PER_MS)
/* A worker counts in the comparison from this many measurements on. */
#define WORKER_PACE_KNOWN_WEIGHT 6.0
/* Workers differ if the highest pace is this multiple of the lowest. Times of
   equal workers under load stay within it. */
#define WORKER_PACE_UNEVEN_RATIO 1.5
/* For how long a worker that told its pace counts as one that tells it. */
#define WORKER_PACE_TOLD_US (10 * CLK_US_PER_S)
/* Bounds of what a worker's pace at the moment changes. */
#define WORKER_PACE_MOMENT_MIN 0.5
#define WORKER_PACE_MOMENT_MAX 4.0
/* Share of the route's longest pause that the usual interval of events may
   take: a prompt that is read there in between comes on top. */
#define WORKER_PACE_GAP_SHARE 0.8
/* Spread of choices: share of the time of the request's prompt at the nominal
   speed, a fixed scale for decoding, and share of the usual call. */
#define WORKER_PACE_READ_SPREAD_SHARE 0.02
#define WORKER_PACE_DECODE_SPREAD_US CLK_US_PER_MS
#define WORKER_PACE_CALL_SPREAD_SHARE 0.1
/* Refusals within this time count as in a row; each one doubles the time until
   the next question, up to this many times. */
#define WORKER_PACE_REFUSALS_US CLK_US_PER_S
#define WORKER_PACE_DOUBLINGS_MAX 2
/* Least time between log lines on one worker. */
#define WORKER_PACE_LOG_US CLK_US_PER_S
#define WORKER_PACE_LOGGED_RATIO 1.5 /* Of limits. */

static const WorkerPaceService *find(const GateTask *task);
static void check(GateTask *task, WorkerPaceService *service);
static double get_running(const FleetWorker *worker, int64_t now_us);
static double get_step(const WorkerPaceService *service,
                       const FleetWorker *worker);
static double get_moment(const WorkerPaceService *service,
                         const FleetWorker *worker, double usual,
                         int64_t now_us);
static void note_step(TaskCall *call, double running, double took_us);
static uint32_t get_memory_limit(const GateTask *task, const RankWorker *rank);
static PaceLine get_line(const WorkerPaceService *service,
                         const FleetWorker *worker);
static void log_pace(const FleetWorker *worker, const char *kind, double pace,
                     double measured, int64_t now_us);
static void log_limit(FleetWorker *worker, const PaceLine *line,
                      uint32_t limit, int64_t now_us);

WorkerPaceService *
WorkerPace_Find(GateTask *task)
{
    if (task->pace == NULL) {
        GHashTable *paces = task->gate->paces;
        task->pace = g_hash_table_lookup(paces, task->service->name);
        if (task->pace == NULL) {
            task->pace = g_new0(WorkerPaceService, 1);
            g_hash_table_insert(paces, g_strdup(task->service->name),
                                task->pace);
        }
    }
    return task->pace;
}

void
WorkerPace_NoteRead(TaskCall *call, int64_t took_us)
{
    GateTask *task = call->task;
    FleetWorker *worker = call->worker;
    const RankWeights *weights = &task->gate->options.weights;
    RankDistance distance = Task_GetDistance(
        task->gate, task->gate->options.zone, worker->entry.zone);
    int64_t now_us = Task_Now(task);
    uint32_t tokens = task->request.prompt_tokens;
    double per_us = worker->entry.phase == FLEET_PHASE_PREFILL
                        ? weights->prefill_per_us
                        : weights->local_prefill_per_us;
    double low;
    double high;
    double multiple;

    if (worker->is_vm || tokens == 0 || took_us <= 0) {
        return;
    }
    high =
        (double)MAX(took_us - weights->rtt_us[distance], 1) * per_us / tokens;
    low = high * tokens / (double)(tokens + call->backlog_tokens);
    multiple = Pace_GetShown(&worker->pace.read, low, high);
    Pace_AddToSum(&worker->pace.read_sum, multiple);
    if (Pace_Note(&worker->pace.read, multiple, 1, now_us)) {
        log_pace(worker, "read", Pace_Get(&worker->pace.read), multiple,
                 now_us);
    }
}

void
WorkerPace_NoteEvent(TaskCall *call)
{
    int64_t now_us = Task_Now(call->task);
    double running;

    if (call->worker->is_vm) {
        return;
    }
    if (call->paced_events == 0) {
        call->paced_us = now_us;
        call->paced_running = get_running(call->worker, now_us);
    }
    if (call->paced_events++ < WORKER_PACE_EVENTS) {
        return;
    }
    running = get_running(call->worker, now_us);
    note_step(call, (call->paced_running + running) / 2,
              (double)(now_us - call->paced_us) / WORKER_PACE_EVENTS);
    call->paced_us = now_us;
    call->paced_running = running;
    call->paced_events = 1;
}

void
WorkerPace_NoteCall(TaskCall *call, double took_us)
{
    FleetWorker *worker = call->worker;

    if (!worker->is_vm) {
        note_step(call, get_running(worker, Task_Now(call->task)), took_us);
    }
}

void
WorkerPace_NoteLoad(TaskCall *call)
{
    FleetWorker *worker = call->worker;
    WorkerPaceService *service = WorkerPace_Find(call->task);

    if (call->reply.pace > 0 && !worker->is_vm) {
        bool is_prefill = worker->entry.phase == FLEET_PHASE_PREFILL;
        worker->pace.told_us = Task_Now(call->task);
        Pace_NoteTold(&service->relation,
                      is_prefill ? Pace_Get(&worker->pace.read)
                                 : get_step(service, worker),
                      call->reply.pace);
    }
}

void
WorkerPace_NoteRefusal(GateTask *task, FleetWorker *worker)
{
    int64_t now_us = Task_Now(task);
    uint32_t doublings = 0;

    check(task, WorkerPace_Find(task));
    worker->refusals = now_us - worker->refused_us < WORKER_PACE_REFUSALS_US
                           ? worker->refusals + 1
                           : 1;
    if (find(task)->is_uneven || task->table->accounts != NULL) {
        doublings = MIN(worker->refusals - 1, WORKER_PACE_DOUBLINGS_MAX);
    }
    worker->refused_us = now_us;
    worker->full_until_us = now_us + (STREAM_FULL_BACKOFF_US << doublings);
    Met_Add(MET_RESERVATIONS_REFUSED, 1);
}

void
WorkerPace_NoteGrant(FleetWorker *worker)
{
    worker->refusals = 0;
}

bool
WorkerPace_IsToldFull(const GateTask *task, const FleetWorker *worker)
{
    const WorkerPaceService *service = find(task);

    return Task_Now(task) < worker->told_full_until_us &&
           task->last_event == GATE_NO_EVENT &&
           ((service != NULL && service->is_uneven) ||
            task->table->accounts != NULL);
}

void
WorkerPace_FillRank(const GateTask *task, const FleetWorker *worker,
                    int64_t now_us, RankWorker *rank)
{
    const WorkerPaceService *service = find(task);
    double step;
    double moment;
    PaceLine line;

    if (service == NULL || !service->is_uneven || worker->is_vm) {
        return;
    }
    step = get_step(service, worker);
    if (worker->entry.phase == FLEET_PHASE_PREFILL) {
        double usual = Pace_Get(&worker->pace.read);
        moment = get_moment(service, worker, usual, now_us);
        rank->slowness = CLAMP(usual * moment, PACE_MIN, PACE_MAX);
        return;
    }
    moment = get_moment(service, worker, step, now_us);
    line = get_line(service, worker);
    if (worker->entry.phase == FLEET_PHASE_NONE) {
        if (line.base_us > 0) {
            rank->slots = Pace_GetLimit(&line, 0, 0, worker->entry.slots);
            rank->service_us =
                moment *
                Pace_GetTime(&line, MIN(rank->running + 1, rank->slots));
        }
    }
    else {
        double read =
            worker->pace.read.weight > 0 ? Pace_Get(&worker->pace.read) : step;
        rank->slowness = CLAMP(read * moment, PACE_MIN, PACE_MAX);
        /* The moment is over before most of the stream's events come. */
        rank->step_pace = CLAMP(step * sqrt(moment), PACE_MIN, PACE_MAX);
        rank->limit = Pace_GetLimit(
            &line, WORKER_PACE_GAP_SHARE * (double)rank->pause_max_us,
            get_memory_limit(task, rank), worker->entry.slots);
    }
    log_limit((FleetWorker *)worker, &line,
              worker->entry.phase == FLEET_PHASE_NONE ? rank->slots
                                                      : rank->limit,
              now_us);
}

WorkerPaceSpread
WorkerPace_GetSpread(GateTask *task, FleetPhase phase)
{
    const RankWeights *weights = &task->gate->options.weights;
    WorkerPaceService *service = WorkerPace_Find(task);
    WorkerPaceSpread spread = {0};

    check(task, service);
    if (!service->is_uneven) {
        return spread;
    }
    spread.is_used = true;
    spread.candidates = service->workers[phase];
    switch (phase) {
    case FLEET_PHASE_PREFILL:
        spread.scale_us =
            (int64_t)(WORKER_PACE_READ_SPREAD_SHARE *
                      task->request.prompt_tokens / weights->prefill_per_us);
        break;
    case FLEET_PHASE_DECODE:
        spread.scale_us = WORKER_PACE_DECODE_SPREAD_US;
        break;
    default:
        spread.scale_us = (int64_t)(WORKER_PACE_CALL_SPREAD_SHARE *
                                    Pace_GetLine(&service->fit, 0).base_us);
    }
    return spread;
}

/* Returns the service's row, or NULL if the task has not looked it up. */
static const WorkerPaceService *
find(const GateTask *task)
{
    return task->pace;
}

/* Compares the workers of the task's service, if that is due. */
static void
check(GateTask *task, WorkerPaceService *service)
{
    const GPtrArray *rows = task->gate->options.fleet->rows;
    int64_t now_us = Task_Now(task);
    double sum = 0;
    double low[2] = {0};
    double high[2] = {0};
    uint32_t counts[2] = {0};
    bool was_uneven = service->is_uneven;
    bool is_told = false;

    if (service->checked_us != 0 &&
        now_us - service->checked_us < WORKER_PACE_CHECK_US) {
        return;
    }
    service->checked_us = now_us;
    memset(service->workers, 0, sizeof(service->workers));
    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        const Pace *paces[2] = {&worker->pace.read, &worker->pace.step};
        if (strcmp(worker->entry.service, task->service->name) != 0 ||
            !Fleet_IsListed(worker, now_us)) {
            continue;
        }
        is_told =
            is_told || (worker->pace.told_us != 0 &&
                        now_us - worker->pace.told_us < WORKER_PACE_TOLD_US);
        for (int k = 0; k < 2; k++) {
            double value = paces[k]->log;
            if (paces[k]->weight < WORKER_PACE_KNOWN_WEIGHT ||
                (k == 0 && worker->entry.phase != FLEET_PHASE_PREFILL)) {
                continue;
            }
            low[k] = counts[k] == 0 ? value : MIN(low[k], value);
            high[k] = counts[k] == 0 ? value : MAX(high[k], value);
            counts[k]++;
            sum += k == 1 ? value : 0;
        }
    }
    service->mean_log = counts[1] > 0 ? sum / counts[1] : 0;
    service->is_uneven = is_told || MAX(high[0] - low[0], high[1] - low[1]) >
                                        log(WORKER_PACE_UNEVEN_RATIO);
    if (service->is_uneven != was_uneven) {
        Log_WriteJson(LOG_LEVEL_INFO, "workers_uneven",
                      json_pack("{s:s,s:b,s:b,s:f,s:f,s:i,s:i}", "service",
                                task->service->name, "uneven",
                                (int)service->is_uneven, "told", (int)is_told,
                                "read_ratio", exp(high[0] - low[0]),
                                "step_ratio", exp(high[1] - low[1]), "readers",
                                (int)counts[0], "others", (int)counts[1]));
    }
}

static double
get_running(const FleetWorker *worker, int64_t now_us)
{
    uint32_t running = worker->inflight + worker->peer_inflight;

    if (worker->load_us != 0 &&
        now_us - worker->load_us < FLEET_LOAD_MAX_AGE_US) {
        running = MAX(running, worker->load_running);
    }
    return MAX(running, 1);
}

/* Returns the usual time of a step or call relative to the mean of the
   service's workers. */
static double
get_step(const WorkerPaceService *service, const FleetWorker *worker)
{
    return worker->pace.step.weight > 0
               ? CLAMP(exp(worker->pace.step.log - service->mean_log),
                       PACE_MIN, PACE_MAX)
               : 1.0;
}

/* Returns by which factor work takes longer now than at the usual pace. */
static double
get_moment(const WorkerPaceService *service, const FleetWorker *worker,
           double usual, int64_t now_us)
{
    double moment;

    if (worker->load_us == 0 ||
        now_us - worker->load_us >= FLEET_LOAD_MAX_AGE_US) {
        return 1;
    }
    moment = Pace_GetMoment(&service->relation, usual, worker->load_pace);
    return CLAMP(moment, WORKER_PACE_MOMENT_MIN, WORKER_PACE_MOMENT_MAX);
}

/* Notes the time of a call, or the interval between events. */
static void
note_step(TaskCall *call, double running, double took_us)
{
    FleetWorker *worker = call->worker;
    WorkerPaceService *service = WorkerPace_Find(call->task);
    int64_t now_us = Task_Now(call->task);
    double step = get_step(service, worker);
    double multiple;
    PaceLine line;

    if (took_us <= 0) {
        return;
    }
    Pace_NoteTime(&service->fit, running, took_us / step);
    Pace_NoteTime(&worker->pace.fit, running, took_us);
    line = Pace_GetLine(&service->fit, 0);
    if (Pace_HasGrowth(&worker->pace.fit)) {
        worker->pace.growth =
            Pace_GetLine(&worker->pace.fit, line.growth).growth;
        worker->pace.has_growth = true;
    }
    if (worker->pace.has_growth) {
        line.growth = worker->pace.growth;
    }
    multiple = took_us / Pace_GetTime(&line, running);
    Pace_AddToSum(&worker->pace.step_sum, multiple);
    if (Pace_Note(&worker->pace.step, multiple, 1, now_us)) {
        log_pace(worker, "step", get_step(service, worker), multiple, now_us);
    }
}

/* Returns how many requests of the usual size the worker's memory holds. */
static uint32_t
get_memory_limit(const GateTask *task, const RankWorker *rank)
{
    double mean_tokens = task->gate->mean_tokens;

    return mean_tokens > 0 && rank->kv_capacity_tokens > 0
               ? (uint32_t)((double)rank->kv_capacity_tokens / mean_tokens)
               : rank->slots;
}

/* Returns the times of steps or calls at the worker. */
static PaceLine
get_line(const WorkerPaceService *service, const FleetWorker *worker)
{
    PaceLine line = Pace_GetLine(&service->fit, 0);

    if (worker->pace.has_growth) {
        line.growth = worker->pace.growth;
    }
    else if (!Pace_HasGrowth(&service->fit)) {
        line.growth = 0;
    }
    line.base_us *= get_step(service, worker);
    return line;
}

static void
log_pace(const FleetWorker *worker, const char *kind, double pace,
         double measured, int64_t now_us)
{
    FleetPace *state = &((FleetWorker *)worker)->pace;

    Met_Add(MET_PACE_CHANGES, 1);
    if (state->logged_us != 0 &&
        now_us - state->logged_us < WORKER_PACE_LOG_US) {
        return;
    }
    state->logged_us = now_us;
    Log_WriteJson(
        LOG_LEVEL_INFO, "worker_pace",
        json_pack("{s:s,s:s,s:f,s:f,s:f,s:f,s:I}", "worker", worker->entry.id,
                  "kind", kind, "pace", pace, "measured", measured, "weight",
                  strcmp(kind, "read") == 0 ? state->read.weight
                                            : state->step.weight,
                  "told", worker->load_pace, "told_age_us",
                  (json_int_t)(worker->load_us != 0 ? now_us - worker->load_us
                                                    : -1)));
}

/* Logs a limit that has changed much. */
static void
log_limit(FleetWorker *worker, const PaceLine *line, uint32_t limit,
          int64_t now_us)
{
    FleetPace *state = &worker->pace;
    uint32_t before = state->limit != 0 ? state->limit : worker->entry.slots;
    double ratio = (double)MAX(limit, 1) / MAX(before, 1);

    if ((ratio < WORKER_PACE_LOGGED_RATIO &&
         ratio > 1 / WORKER_PACE_LOGGED_RATIO) ||
        now_us - state->limit_us < WORKER_PACE_LOG_US) {
        return;
    }
    state->limit = limit;
    state->limit_us = now_us;
    Met_Add(MET_LIMITS_LEARNED, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "worker_limit",
                  json_pack("{s:s,s:i,s:i,s:i,s:f,s:f}", "worker",
                            worker->entry.id, "limit", (int)limit, "before",
                            (int)before, "slots", (int)worker->entry.slots,
                            "base_us", line->base_us, "growth", line->growth));
}
