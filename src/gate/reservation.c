/* Reservation: workers and reservations of a stream. See reservation.h. */
#include "reservation.h"
#include "begun.h"
#include "stream_urgency.h"
#include "worker_pace.h"

#include "../log.h"

#include <string.h>

/* Limits for fetching a prompt's KV memory: the number of decode workers that
   may try, and the share of its lifetime within which the fetch must begin. */
#define RESERVATION_OFFERS_MAX 3
#define RESERVATION_HANDLE_FETCH_SHARE 0.7
/* Runs of a request that may fetch the prompt from its reader: the time of a
   further failure would be lost. */
#define RESERVATION_FETCHES_MAX 2
/* Price of such a fetch: new prompts may replace this one before. */
#define RESERVATION_FETCH_US (20 * CLK_US_PER_MS)
/* A prompt is not read while all decode workers have less memory left, by the
   forecast with the request, than this number of usual answers. The answers of
   a worker's streams differ from what is expected by about as much in sum: if
   they are short, nearly all memory can be used. */
#define RESERVATION_MARGIN_ANSWERS 3.5
/* The same for a stream that was begun: only workers of its version can go on
   with it, and its caller leaves after some seconds. */
#define RESERVATION_MARGIN_BEGUN_ANSWERS 1
/* Share of the expected answer that a reservation covers. Without it, streams
   outgrow the worker's memory and one is preempted. With the whole answer, the
   memory of every seventh stream stays unused (docs/design/007). */
#define RESERVATION_ANSWER_SHARE (1.0 / 3)

static bool has_sound_worker(GateTask *task);
static int64_t get_available_cost(const GateTask *task,
                                  const FleetWorker *worker,
                                  const RankWorker *rank, const void *context);
static int64_t get_run_cost(const GateTask *task, const FleetWorker *worker,
                            const RankWorker *rank, const void *context);
static int64_t get_pause_cost(const GateTask *task, const FleetWorker *worker,
                              const RankWorker *rank, const void *context);
static int64_t get_remote_prefill_cost(const GateTask *task,
                                       const FleetWorker *worker,
                                       const RankWorker *rank,
                                       const void *context);

uint32_t
Reservation_GetLeaseTokens(const GateTask *task)
{
    uint32_t tokens =
        task->request.prompt_tokens +
        (uint32_t)(RESERVATION_ANSWER_SHARE * task->request.output_tokens);

    /* A worker never grants more than its whole memory. */
    return task->service->kv_tokens > 0 ? MIN(tokens, task->service->kv_tokens)
                                        : tokens;
}

bool
Reservation_HasLease(GateTask *task)
{
    const FleetWorker *worker = task->assigned.worker;
    int64_t now_us = Task_Now(task);

    if (worker != NULL && (worker->entry.born_ms != task->assigned.born_ms ||
                           worker->version != task->assigned.version)) {
        /* It has started again, and knows nothing of the reservation. */
        Reservation_UnassignWorker(task, false);
        return false;
    }
    if (task->lease[0] != '\0' && now_us < task->lease_until_us &&
        Fleet_IsUsable(worker, now_us) &&
        ((!Health_IsBlocked(&worker->health, now_us) &&
          !Fleet_IsLeaving(worker)) ||
         !has_sound_worker(task))) {
        return true;
    }
    Reservation_UnassignWorker(task, true);
    return false;
}

/* Whether a decode worker that responds and doesn't leave can run the request
   now. */
static bool
has_sound_worker(GateTask *task)
{
    int64_t cost_us = 0;
    const FleetWorker *best = Reservation_ChooseDecodeWorker(task, &cost_us);

    return best != NULL && !Fleet_IsLeaving(best) &&
           !Health_IsBlocked(&best->health, Task_Now(task));
}

FleetWorker *
Reservation_ChooseDecodeWorker(GateTask *task, int64_t *cost_us)
{
    FleetWorker *best;

    StreamUrgency_UpdateHeld(task);
    best = Task_ChooseWorker(task, FLEET_PHASE_DECODE, get_available_cost,
                             Begun_Update(task), cost_us);
    return best != NULL && *cost_us < RANK_UNUSABLE_US ? best : NULL;
}

int64_t
Reservation_GetRunCost(const GateTask *task)
{
    return Task_GetCost(task, task->assigned.worker, get_run_cost, NULL) +
           Reservation_GetPauseCost(task);
}

int64_t
Reservation_GetPauseCost(const GateTask *task)
{
    return Task_GetCost(task, task->assigned.worker, get_pause_cost, NULL);
}

bool
Reservation_HasCandidate(GateTask *task)
{
    int64_t cost_us = 0;

    return Task_ChooseWorker(task, FLEET_PHASE_DECODE, get_available_cost,
                             NULL, &cost_us) != NULL;
}

bool
Reservation_LacksRoom(GateTask *task)
{
    int64_t cost_us = 0;
    const FleetWorker *best = Task_ChooseWorker(
        task, FLEET_PHASE_DECODE, get_available_cost, NULL, &cost_us);

    return best != NULL && !Health_IsBlocked(&best->health, Task_Now(task));
}

FleetWorker *
Reservation_ChoosePrefillWorker(GateTask *task, int64_t *cost_us)
{
    FleetWorker *best =
        Task_ChooseWorker(task, FLEET_PHASE_PREFILL, get_remote_prefill_cost,
                          task->assigned.worker, cost_us);

    /* A decode worker reads the prompt otherwise. */
    return best != NULL && !Fleet_IsLeaving(best) &&
                   !Health_IsBlocked(&best->health, Task_Now(task))
               ? best
               : NULL;
}

FleetWorker *
Reservation_FindReader(const GateTask *task)
{
    const Gate *gate = task->gate;
    int64_t now_us = Task_Now(task);
    FleetWorker *reader =
        task->reader != 0 && task->fetches < RESERVATION_FETCHES_MAX
            ? Fleet_FindByHash(gate->options.fleet, task->reader)
            : NULL;

    return reader != NULL && Fleet_IsUsable(reader, now_us) &&
                   !Task_IsExcluded(task, reader) &&
                   !Health_IsBlocked(&reader->health, now_us)
               ? reader
               : NULL;
}

bool
Reservation_HasHandle(const GateTask *task)
{
    int64_t age_us = Task_Now(task) - task->kv.prefilled_us;
    int64_t ttl_us = (int64_t)task->service->handle_ttl_ms * CLK_US_PER_MS;

    return task->kv.handle[0] != '\0' &&
           task->kv.offers < RESERVATION_OFFERS_MAX &&
           (double)age_us <= RESERVATION_HANDLE_FETCH_SHARE * (double)ttl_us;
}

/* Returns the cost of a run at a worker, or RANK_UNUSABLE_US if it is full, if
   new streams are held back there, or if it has no room beside that which is
   left to more urgent ones. `context` is the BegunRoom or NULL. */
static int64_t
get_available_cost(const GateTask *task, const FleetWorker *worker,
                   const RankWorker *rank, const void *context)
{
    bool is_prefilled = task->kv.handle[0] != '\0';
    double margin_answers = task->last_event == GATE_NO_EVENT
                                ? RESERVATION_MARGIN_ANSWERS
                                : RESERVATION_MARGIN_BEGUN_ANSWERS;

    if (Task_Now(task) < worker->full_until_us ||
        WorkerPace_IsToldFull(task, worker) ||
        (!is_prefilled && Begun_IsHeld(context, worker)) ||
        (!is_prefilled && rank->kv_capacity_tokens > 0 && rank->has_kv_load &&
         (double)rank->kv_peak_tokens +
                 margin_answers * task->gate->mean_answer_tokens +
                 StreamUrgency_GetHeldTokens(task, worker) >
             (double)rank->kv_capacity_tokens)) {
        return RANK_UNUSABLE_US;
    }
    return get_run_cost(task, worker, rank, context);
}

/* Returns the cost of a run at a worker: decoding with a KV transfer if the
   prompt was read elsewhere, or prefill and decoding there. */
static int64_t
get_run_cost(const GateTask *task, const FleetWorker *worker,
             const RankWorker *rank, const void *context)
{
    const RankWeights *weights = &task->gate->options.weights;
    const FleetWorker *source = task->kv.handle[0] != '\0'
                                    ? task->kv.worker
                                    : Reservation_FindReader(task);
    uint32_t unread_tokens =
        worker->hash == task->reader ? 0 : task->request.prompt_tokens;

    (void)context;
    if (source != NULL && (task->kv.worker != NULL || source != worker)) {
        return Rank_GetDecodeCost(weights, rank,
                                  Task_GetDistance(task->gate,
                                                   source->entry.zone,
                                                   worker->entry.zone)) +
               (task->kv.worker != NULL ? 0 : RESERVATION_FETCH_US);
    }
    return Rank_GetLocalPrefillCost(weights, rank, unread_tokens);
}

/* Returns the price of the pauses that the run causes at a worker. */
static int64_t
get_pause_cost(const GateTask *task, const FleetWorker *worker,
               const RankWorker *rank, const void *context)
{
    (void)context;
    return task->kv.handle[0] != '\0' || worker->hash == task->reader ||
                   Reservation_FindReader(task) != NULL
               ? 0
               : Rank_GetPauseCost(&task->gate->options.weights, rank,
                                   task->request.prompt_tokens);
}

/* Returns the cost of prefill at this worker and KV transfer to the decode
   worker `context`. */
static int64_t
get_remote_prefill_cost(const GateTask *task, const FleetWorker *worker,
                        const RankWorker *rank, const void *context)
{
    const FleetWorker *decode_worker = context;
    const RankWeights *weights = &task->gate->options.weights;
    RankDistance kv_distance = Task_GetDistance(task->gate, worker->entry.zone,
                                                decode_worker->entry.zone);

    if (Task_Now(task) < worker->full_until_us) {
        return RANK_UNUSABLE_US;
    }
    return Rank_GetPrefillCost(weights, rank, task->request.prompt_tokens) +
           weights->kv_transfer_us[kv_distance] +
           weights->rtt_us[RANK_SAME_ZONE];
}

void
Reservation_ReleaseHandle(GateTask *task, bool notify_worker)
{
    const GateCodec *codec = task->gate->options.codec;
    TaskHandle *kv = &task->kv;

    if (notify_worker && kv->handle[0] != '\0') {
        GateControlCall control_call = {0};
        codec->encode_free(codec->context, kv->handle, &control_call);
        Task_SendControlCall(task, kv->worker, kv->address, &control_call);
        Met_Add(MET_PREFILL_TOKENS_WASTED, task->request.prompt_tokens);
        Log_WriteJson(LOG_LEVEL_INFO, "prefill_wasted",
                      json_pack("{s:s,s:s,s:i}", "request", task->request.id,
                                "address", kv->address, "tokens",
                                (int)task->request.prompt_tokens));
    }
    Fleet_Unref(kv->worker);
    memset(kv, 0, sizeof(*kv));
}

void
Reservation_AssignWorker(GateTask *task, FleetWorker *worker)
{
    task->assigned.worker = Fleet_Ref(worker);
    task->assigned.born_ms = worker->entry.born_ms;
    task->assigned.version = worker->version;
    task->assigned.kv = Task_GetForecast(task);
    Forecast_Add(&worker->kv, &task->assigned.kv);
}

void
Reservation_UnassignWorker(GateTask *task, bool notify_worker)
{
    const GateCodec *codec = task->gate->options.codec;
    FleetWorker *worker = task->assigned.worker;

    if (worker == NULL) {
        return;
    }
    if (notify_worker && task->lease[0] != '\0' &&
        Task_Now(task) < task->lease_until_us) {
        GateControlCall control_call = {0};
        codec->encode_release(codec->context, task->lease, &control_call);
        Task_SendControlCall(task, worker, worker->entry.address,
                             &control_call);
    }
    task->lease[0] = '\0';
    Forecast_Subtract(&worker->kv, &task->assigned.kv);
    Fleet_Unref(worker);
    task->assigned.worker = NULL;
}
