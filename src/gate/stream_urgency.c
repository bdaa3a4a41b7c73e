/* Stream urgency: room for more urgent requests. See stream_urgency.h. */
#include "stream_urgency.h"
#include "begun.h"
#include "reservation.h"
#include "stream.h"
#include "stream_precedence.h"

#include "../log.h"

#include <math.h>
#include <string.h>

/* Share of the shortest objective of the service that a less urgent prompt may
   wait to be read: a more urgent one that comes next waits as long, and has
   the other half for its own reading and first event. */
#define STREAM_URGENCY_READ_SHARE 0.5

/* Time for which what the other VMs told holds, and least time between two log
   lines on a lack. */
#define STREAM_URGENCY_UPDATE_US (10 * CLK_US_PER_MS)
#define STREAM_URGENCY_LOG_US (500 * CLK_US_PER_MS)

/* A service's state. */
typedef struct UrgencyRow {
    Urgency urgency;
    int64_t updated_us; /* When what the other VMs told was read. */
    bool is_lack_logged;
    int64_t logged_us;
} UrgencyRow;

G_STATIC_ASSERT(RTE_LEVELS_MAX == URGENCY_LEVELS_MAX);

static Urgency *get_urgency(const GateTask *task);
static void log_lack(UrgencyRow *row, const char *service, int64_t now_us);
static uint32_t get_place(const GateTask *task);
static bool has_levels(const GateTask *task);
static bool is_new(const GateTask *task);
static bool may_read(GateTask *task, const FleetWorker *worker);
static double get_read_wait(const GateTask *task,
                            const FleetWorker *decode_worker);
static double get_queue_time(const FleetWorker *worker, double tokens_per_us);

uint32_t
StreamUrgency_GetLevel(const GateTask *task)
{
    return Rte_GetLevel(task->service, task->priority);
}

void
StreamUrgency_NoteAsked(GateTask *task)
{
    if (has_levels(task) && is_new(task) && !task->is_retry) {
        Urgency_NoteAsked(get_urgency(task), get_place(task), Task_Now(task));
    }
}

void
StreamUrgency_NoteLook(GateTask *task, bool lacks_room)
{
    if (has_levels(task) && is_new(task) && !task->is_retry) {
        const Gate *gate = task->gate;
        bool lacked = task->lacked_us != 0;
        Urgency_NoteLook(get_urgency(task), get_place(task), lacks_room,
                         &task->lacked_us, Task_Now(task));
        /* A further look of the same request is no news. */
        if (lacks_room && !lacked) {
            gate->options.on_load_change(gate->options.context);
        }
    }
}

void
StreamUrgency_NoteAdmitted(GateTask *task)
{
    if (has_levels(task) && !task->is_admitted && !task->is_retry &&
        task->last_event == GATE_NO_EVENT) {
        task->is_admitted = true;
        Urgency_NoteAdmitted(get_urgency(task), get_place(task),
                             Task_Now(task));
    }
}

void
StreamUrgency_UpdateHeld(GateTask *task)
{
    task->held_streams = has_levels(task) && is_new(task)
                             ? Urgency_GetHeld(get_urgency(task),
                                               get_place(task), Task_Now(task))
                             : 0;
}

double
StreamUrgency_GetHeldTokens(const GateTask *task, const FleetWorker *worker)
{
    return task->held_streams > 0
               ? Urgency_GetHeldAt(task->held_streams, worker->hash) *
                     task->gate->mean_tokens
               : 0;
}

int64_t
StreamUrgency_GetQueueTime(const GateTask *task, int64_t slo_us)
{
    return task->sends > 0
               ? slo_us
               : (int64_t)(Urgency_GetQueueShare(task->held_streams) *
                           (double)slo_us);
}

FleetWorker *
StreamUrgency_FindRoom(GateTask *task, int64_t *cost_us)
{
    FleetWorker *worker = Reservation_ChooseDecodeWorker(task, cost_us);

    task->lacks_room =
        worker == NULL && task->silent == NULL && Reservation_LacksRoom(task);
    StreamPrecedence_NoteTimely(task);
    return !has_levels(task) || !is_new(task) || may_read(task, worker)
               ? worker
               : NULL;
}

const char *
StreamUrgency_GetWaitCause(GateTask *task)
{
    if (Begun_IsAnyHeld(Begun_Update(task))) {
        Met_Add(MET_STREAMS_HELD_BACK, 1);
        return "no capacity beside begun streams";
    }
    if (task->held_streams > 0) {
        Met_Add(MET_LEVEL_HELD_BACK_0 + StreamUrgency_GetLevel(task), 1);
        return "capacity is left to more urgent requests";
    }
    return "no capacity at any worker";
}

int64_t
StreamUrgency_GetPollTime(const GateTask *task, int64_t poll_us)
{
    return is_new(task) && !task->is_retry
               ? Urgency_GetPollTime(poll_us, get_place(task),
                                     task->service->level_count)
               : poll_us;
}

bool
StreamUrgency_TakePlace(GateTask *task)
{
    uint32_t level = get_place(task);
    GateTask *other = NULL;
    GateTask *least = NULL;

    if (!has_levels(task)) {
        return false;
    }
    LIST_FOREACH(other, &task->gate->tasks, links)
    {
        if (other->queued && other->waiting && is_new(other) &&
            other->sends == 0 &&
            strcmp(other->service->name, task->service->name) == 0 &&
            get_place(other) > level) {
            level = get_place(other);
            least = other;
        }
    }
    if (least == NULL) {
        return false;
    }
    /* It looks for room once more, and is refused if there is none: its own
       timer does that, as callers of this function may go through the tasks.
     */
    least->queued = false;
    least->step_deadline_us = Task_Now(task);
    Task_SetTimer(least);
    return true;
}

int64_t
StreamUrgency_NoteRefused(GateTask *task, int64_t lack_ms)
{
    uint32_t level = StreamUrgency_GetLevel(task);
    int64_t lack_us;

    if (!has_levels(task)) {
        return lack_ms;
    }
    Met_Add(MET_LEVEL_REFUSED_0 + level, 1);
    lack_us = Urgency_GetLackTime(get_urgency(task), Task_Now(task));
    return Urgency_GetReturnTime(MAX(lack_ms * CLK_US_PER_MS, lack_us),
                                 level) /
           CLK_US_PER_MS;
}

uint32_t
StreamUrgency_GetCallPriority(const GateTask *task)
{
    return has_levels(task)
               ? 1 + Urgency_GetWorkerPriority(get_place(task),
                                               task->service->level_count)
               : 0;
}

UrgencyLooks
StreamUrgency_GetLooks(const Gate *gate, const char *service)
{
    const UrgencyRow *row = g_hash_table_lookup(gate->urgencies, service);
    UrgencyLooks none = {0};

    return row != NULL
               ? Urgency_GetLooks(&row->urgency, Clk_Now(gate->options.clk))
               : none;
}

/* Returns the state of the task's service, with what the other VMs told. */
static Urgency *
get_urgency(const GateTask *task)
{
    Gate *gate = task->gate;
    const char *service = task->service->name;
    UrgencyRow *row = g_hash_table_lookup(gate->urgencies, service);
    int64_t now_us = Task_Now(task);
    ReportRooms rooms = {0};

    if (row == NULL) {
        row = g_new0(UrgencyRow, 1);
        g_hash_table_insert(gate->urgencies, g_strdup(service), row);
    }
    if (row->updated_us == 0 ||
        now_us - row->updated_us >= STREAM_URGENCY_UPDATE_US) {
        row->updated_us = now_us;
        gate->options.get_peer_rooms(gate->options.context, service, &rooms);
        Urgency_SetPeers(&row->urgency, &rooms.looks, now_us);
        log_lack(row, service, now_us);
    }
    return &row->urgency;
}

/* Logs the beginning and the end of a lack. */
static void
log_lack(UrgencyRow *row, const char *service, int64_t now_us)
{
    const Urgency *urgency = &row->urgency;
    UrgencyLooks own = Urgency_GetLooks(urgency, now_us);
    bool is_lack = Urgency_GetLackTime(urgency, now_us) > 0;

    if (is_lack == row->is_lack_logged ||
        now_us - row->logged_us < STREAM_URGENCY_LOG_US) {
        return;
    }
    row->is_lack_logged = is_lack;
    row->logged_us = now_us;
    Log_WriteJson(
        LOG_LEVEL_INFO, "urgent_lack",
        json_pack(
            "{s:s,s:b,s:I,s:[f,f,f,f],s:[f,f,f,f],s:[f,f,f,f],s:[f,f,f,f]}",
            "service", service, "lacks", (int)is_lack, "lack_us",
            (json_int_t)Urgency_GetLackTime(urgency, now_us), "lacking",
            own.lacking[0], own.lacking[1], own.lacking[2], own.lacking[3],
            "asked", own.all[0], own.all[1], own.all[2], own.all[3],
            "peers_lacking", urgency->peers.lacking[0],
            urgency->peers.lacking[1], urgency->peers.lacking[2],
            urgency->peers.lacking[3], "peers_asked", urgency->peers.all[0],
            urgency->peers.all[1], urgency->peers.all[2],
            urgency->peers.all[3]));
}

/* Returns the level as which the task counts beside others. */
static uint32_t
get_place(const GateTask *task)
{
    return has_levels(task) && task->is_retry &&
                   task->last_event == GATE_NO_EVENT
               ? task->service->level_count - 1
               : StreamUrgency_GetLevel(task);
}

static bool
has_levels(const GateTask *task)
{
    return task->service->level_count > 1;
}

/* Whether nothing has been done for the request yet. */
static bool
is_new(const GateTask *task)
{
    return !Stream_HasBegun(task) && task->last_event == GATE_NO_EVENT &&
           task->runs == 0 && !task->prefilled && task->lease[0] == '\0';
}

/* Notes the look, and returns whether the prompt may be read now. */
static bool
may_read(GateTask *task, const FleetWorker *worker)
{
    double slo_us = (double)task->route->slo_ms * CLK_US_PER_MS;
    double least_slo_us = (double)task->service->least_slo_ms * CLK_US_PER_MS;
    double waited_us = (double)(Task_Now(task) - task->began_us);
    double read_us = worker != NULL ? get_read_wait(task, worker) : 0;

    StreamUrgency_NoteLook(task,
                           task->lacks_room || (worker != NULL && slo_us > 0 &&
                                                waited_us + read_us > slo_us));
    return task->held_streams <= 0 || least_slo_us <= 0 ||
           read_us <= STREAM_URGENCY_READ_SHARE * least_slo_us;
}

/* Returns the shortest wait until a worker reads a further prompt. If no
   prefill worker is usable, the decode worker reads it. */
static double
get_read_wait(const GateTask *task, const FleetWorker *decode_worker)
{
    const RankWeights *weights = &task->gate->options.weights;
    const GPtrArray *rows = task->gate->options.fleet->rows;
    int64_t now_us = Task_Now(task);
    double least_us = HUGE_VAL;

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        if (worker->entry.phase == FLEET_PHASE_PREFILL &&
            strcmp(worker->entry.service, task->service->name) == 0 &&
            Fleet_IsUsable(worker, now_us) && !Fleet_IsLeaving(worker) &&
            !Health_IsBlocked(&worker->health, now_us)) {
            least_us =
                MIN(least_us, get_queue_time(worker, weights->prefill_per_us));
        }
    }
    return least_us < HUGE_VAL
               ? least_us
               : get_queue_time(decode_worker, weights->local_prefill_per_us);
}

static double
get_queue_time(const FleetWorker *worker, double tokens_per_us)
{
    return (double)(worker->prefill_tokens + worker->peer_prefill_tokens) /
           tokens_per_us * (worker->slowness > 0 ? worker->slowness : 1);
}
