/* Choice of a task: chooses the worker for a call. See task.h. */
#include "detour.h"
#include "task.h"
#include "worker_pace.h"

#include <string.h>

/* Cost of a worker that another VM can't reach: most of the time that a call
   would take to find it unreachable. */
#define TASK_PEER_UNREACHABLE_COST_US (300 * CLK_US_PER_MS)

/* Time from the last failure of a begun stream until the workers that failed
   it may be tried again for the first time: less than a caller waits for the
   next event. */
#define TASK_READMIT_US (500 * CLK_US_PER_MS)
#define TASK_READMIT_DOUBLINGS_MAX 6

/* Classes of workers, the best first; the cost decides within one. */
typedef enum Suitability {
    SUITABILITY_SOUND,
    SUITABILITY_LEAVING, /* It still serves. */
    SUITABILITY_BLOCKED, /* It may not answer. */
} Suitability;

/* A worker in a choice. */
typedef struct Candidate {
    FleetWorker *worker; /* NULL: none. */
    Suitability suitability;
    int64_t cost_us;
    int64_t order_us; /* The cost with the spread of the choice. */
} Candidate;

static FleetWorker *find_best(GateTask *task, FleetPhase phase, TaskCost cost,
                              const void *context, guint offset,
                              int64_t *best_us);
static void scan(GateTask *task, FleetPhase phase, TaskCost cost,
                 const void *context, guint offset,
                 const WorkerPaceSpread *spread, Candidate *best);
static void keep_better(Candidate *best, const Candidate *candidate);
static double get_share(const GateTask *task);
static Suitability get_suitability(const FleetWorker *worker,
                                   uint32_t random_value, int64_t now_us);
static void fill_rank(const GateTask *task, const FleetWorker *worker,
                      int64_t now_us, RankWorker *rank);
static bool is_other_version(const GateTask *task, const FleetWorker *worker);

RankDistance
Task_GetDistance(const Gate *gate, const char *from, const char *to)
{
    const char *from_region;
    const char *to_region;

    if (strcmp(from, to) == 0) {
        return RANK_SAME_ZONE;
    }
    from_region = g_hash_table_lookup(gate->options.regions, from);
    to_region = g_hash_table_lookup(gate->options.regions, to);
    return g_strcmp0(from_region, to_region) == 0 && from_region != NULL
               ? RANK_SAME_REGION
               : RANK_OTHER_REGION;
}

FleetWorker *
Task_ChooseWorker(GateTask *task, FleetPhase phase, TaskCost cost,
                  const void *context, int64_t *best_us)
{
    int64_t now_us = Task_Now(task);
    guint offset = g_rand_int(task->gate->rand);
    FleetWorker *best;

    task->gate->choices++;
    while ((best = find_best(task, phase, cost, context, offset, best_us)) !=
               NULL &&
           *best_us < RANK_UNUSABLE_US &&
           Throttle_IsLimited(&best->throttle) &&
           !Throttle_IsOpen(&best->throttle, get_share(task), now_us)) {
        best->throttled_choice = task->gate->choices;
    }
    return best;
}

bool
Task_IsTurnedAway(const GateTask *task, int64_t *until_us, bool *is_limited)
{
    const GPtrArray *rows = task->gate->options.fleet->rows;
    FleetPhase phase = task->route->kind == RTE_STREAM ? FLEET_PHASE_DECODE
                                                       : FLEET_PHASE_NONE;
    int64_t now_us = Task_Now(task);
    bool is_turned_away = false;
    int64_t open_us;

    *until_us = 0;
    *is_limited = false;
    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        if (worker->entry.phase != phase ||
            strcmp(worker->entry.service, task->service->name) != 0 ||
            is_other_version(task, worker) ||
            !Fleet_IsListed(worker, now_us) || worker->entry.draining) {
            continue;
        }
        open_us = Throttle_IsLimited(&worker->throttle)
                      ? Throttle_GetOpenTime(&worker->throttle,
                                             get_share(task), now_us)
                      : now_us;
        if (Notice_GetUse(&worker->notice, now_us) != NOTICE_CLOSED &&
            open_us <= now_us) {
            return false;
        }
        is_turned_away = true;
        *is_limited |= Throttle_IsLimited(&worker->throttle);
        if (!Notice_IsLeaving(&worker->notice, now_us)) {
            /* The pause is over if a trial is running. */
            int64_t end_us = MAX(worker->notice.paused_until_us, open_us);
            *until_us = *until_us == 0 ? end_us : MIN(*until_us, end_us);
        }
    }
    return is_turned_away;
}

int64_t
Task_GetCost(const GateTask *task, const FleetWorker *worker, TaskCost cost,
             const void *context)
{
    RankWorker rank;

    fill_rank(task, worker, Task_Now(task), &rank);
    return cost(task, worker, &rank, context);
}

bool
Task_ExcludeWorker(GateTask *task, FleetWorker *worker)
{
    if (task->excluded_count == TASK_EXCLUDED_MAX) {
        return false;
    }
    task->excluded[task->excluded_count++] = Fleet_Ref(worker);
    task->excluded_us = Task_Now(task);
    return true;
}

void
Task_ReadmitWorkers(GateTask *task)
{
    const FleetWorker *silent =
        task->silent != NULL ? task->silent->worker : NULL;
    int64_t delay_us = TASK_READMIT_US
                       << MIN(task->readmissions, TASK_READMIT_DOUBLINGS_MAX);
    guint kept = 0;

    if (Task_Now(task) - task->excluded_us < delay_us) {
        return;
    }
    for (guint i = 0; i < task->excluded_count; i++) {
        if (task->excluded[i] == silent) {
            task->excluded[kept++] = task->excluded[i];
        }
        else {
            Fleet_Unref(task->excluded[i]);
        }
    }
    task->readmissions += task->excluded_count > kept;
    task->excluded_count = kept;
}

void
Task_ExcludeFailed(GateTask *task)
{
    const TaskCall *current = task->current;
    FleetWorker *behind = current->worker_behind != 0
                              ? Fleet_FindByHash(task->gate->options.fleet,
                                                 current->worker_behind)
                              : NULL;
    bool is_refusal = current->has_reply && current->reply.not_run;

    if (behind != NULL && !Task_IsExcluded(task, behind)) {
        Task_ExcludeWorker(task, behind);
    }
    if (behind == NULL || is_refusal) {
        Task_ExcludeWorker(task, current->worker);
    }
}

/* Returns the best worker that this choice has not excluded, or NULL. Of equal
   ones it is the first one from row `offset` on. Where workers are uneven it
   is the best of some random ones if one of these can take the request. */
static FleetWorker *
find_best(GateTask *task, FleetPhase phase, TaskCost cost, const void *context,
          guint offset, int64_t *best_us)
{
    WorkerPaceSpread spread = WorkerPace_GetSpread(task, phase);
    Candidate best = {.suitability = SUITABILITY_BLOCKED};

    if (spread.is_used) {
        spread.is_sample = true;
        scan(task, phase, cost, context, offset, &spread, &best);
        spread.is_sample = false;
    }
    if (best.worker == NULL || best.suitability != SUITABILITY_SOUND ||
        best.cost_us >= RANK_UNUSABLE_US) {
        best.worker = NULL;
        scan(task, phase, cost, context, offset, &spread, &best);
    }
    if (best.worker != NULL) {
        *best_us = best.cost_us;
    }
    if (phase != FLEET_PHASE_PREFILL && !task->is_relayed &&
        Detour_IsCut(task->gate, task->service->name)) {
        FleetWorker *vm = DetourVm_Choose(task);
        if (vm != NULL) {
            *best_us = DETOUR_COST_US;
            return vm;
        }
    }
    return best.worker;
}

/* Keeps the best worker of all, or of some random ones, in *best. */
static void
scan(GateTask *task, FleetPhase phase, TaskCost cost, const void *context,
     guint offset, const WorkerPaceSpread *spread, Candidate *best)
{
    const GPtrArray *rows = task->gate->options.fleet->rows;
    int64_t now_us = Task_Now(task);

    for (guint i = 0; i < rows->len; i++) {
        FleetWorker *worker =
            g_ptr_array_index(rows, (i + offset) % rows->len);
        RankWorker rank;
        Candidate candidate = {.worker = worker};

        if (worker->entry.phase != phase ||
            strcmp(worker->entry.service, task->service->name) != 0 ||
            !Fleet_IsUsable(worker, now_us) ||
            Fleet_IsChangingPhase(worker, now_us) ||
            worker->throttled_choice == task->gate->choices ||
            is_other_version(task, worker) || Task_IsExcluded(task, worker) ||
            (spread->is_sample &&
             !Pace_IsSampled(spread->candidates,
                             g_rand_double(task->gate->rand)))) {
            continue;
        }
        candidate.suitability = get_suitability(worker, offset, now_us);
        fill_rank(task, worker, now_us, &rank);
        candidate.cost_us = cost(task, worker, &rank, context);
        candidate.order_us = candidate.cost_us;
        if (spread->is_used) {
            candidate.order_us =
                Pace_SpreadCost(candidate.cost_us, spread->scale_us,
                                g_rand_double(task->gate->rand));
        }
        keep_better(best, &candidate);
    }
}

static void
keep_better(Candidate *best, const Candidate *candidate)
{
    if (best->worker == NULL || candidate->suitability < best->suitability ||
        (candidate->suitability == best->suitability &&
         candidate->order_us < best->order_us)) {
        *best = *candidate;
    }
}

/* Returns this VM's part of the requests for the task's service. */
static double
get_share(const GateTask *task)
{
    const GateOptions *options = &task->gate->options;

    return options->get_share(options->context, task->service->name);
}

static Suitability
get_suitability(const FleetWorker *worker, uint32_t random_value,
                int64_t now_us)
{
    if (Health_IsBlocked(&worker->health, now_us) ||
        Health_IsBlockedByPeers(worker->peer_unreachable, worker->heard_us,
                                random_value, now_us)) {
        return SUITABILITY_BLOCKED;
    }
    return Fleet_IsLeaving(worker) || Notice_IsLeaving(&worker->notice, now_us)
               ? SUITABILITY_LEAVING
               : SUITABILITY_SOUND;
}

static void
fill_rank(const GateTask *task, const FleetWorker *worker, int64_t now_us,
          RankWorker *rank)
{
    const RteService *service = task->service;
    uint32_t known_calls = worker->inflight + worker->peer_inflight;
    Forecast kv;
    Forecast stream;

    memset(rank, 0, sizeof(*rank));
    rank->distance = Task_GetDistance(task->gate, task->gate->options.zone,
                                      worker->entry.zone);
    rank->is_unlisted = !Fleet_IsListed(worker, now_us);
    rank->slots = worker->entry.slots;
    rank->running = known_calls;
    if (now_us - worker->load_us < FLEET_LOAD_MAX_AGE_US &&
        worker->load_us != 0) {
        rank->running =
            MAX(known_calls, worker->load_running + worker->load_waiting);
    }
    rank->prefill_tokens =
        worker->prefill_tokens + worker->peer_prefill_tokens;
    kv = worker->kv;
    Forecast_Add(&kv, &worker->peer_kv);
    rank->has_kv_load = Forecast_GetPeak(&kv) > 0;
    stream = worker->entry.phase == FLEET_PHASE_PREFILL
                 ? Forecast_OfPrompt(task->request.prompt_tokens)
                 : Task_GetForecast(task);
    Forecast_Add(&kv, &stream);
    rank->kv_peak_tokens =
        MAX(Forecast_GetPeak(&kv),
            (rank->running + 1) * (uint64_t)task->gate->mean_tokens);
    rank->kv_capacity_tokens = service->is_engine ? service->kv_tokens : 0;
    rank->service_us = worker->service_us;
    rank->slowness = worker->slowness;
    rank->event_interval_us = (int64_t)task->gate->event_interval_us;
    rank->pause_max_us = (int64_t)task->route->gap_ms * CLK_US_PER_MS;
    rank->health_us = Health_GetCost(&worker->health, now_us);
    if (worker->peer_unreachable > 0) {
        rank->health_us += TASK_PEER_UNREACHABLE_COST_US;
    }
    WorkerPace_FillRank(task, worker, now_us, rank);
}

/* Whether the worker must not go on with the stream that has begun. A worker
   that only reads the prompt makes no event. */
static bool
is_other_version(const GateTask *task, const FleetWorker *worker)
{
    bool has_begun = task->version != 0 || task->last_event != GATE_NO_EVENT;

    return has_begun && worker->version != task->version &&
           worker->entry.phase == FLEET_PHASE_DECODE;
}

bool
Task_IsExcluded(const GateTask *task, const FleetWorker *worker)
{
    for (guint i = 0; i < task->excluded_count; i++) {
        if (task->excluded[i] == worker) {
            return true;
        }
    }
    return false;
}
