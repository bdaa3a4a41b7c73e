/* Grace: requests of a VM that stops. See grace.h. */
#include "grace.h"

#include "../log.h"

static void log_request(const GateTask *task, LogLevel level,
                        const char *event);
static DrainTimes *find_times(const GateTask *task);
static int64_t get_call_bound(const GateTask *task, int64_t expected_us);
static int64_t get_stream_bound(const GateTask *task, int64_t expected_us);
static uint32_t count_events_left(const GateTask *task);
static int64_t get_slowest_interval(const GateTask *task);

void
Grace_Begin(Gate *gate, int64_t end_us)
{
    const GateTask *task = NULL;

    gate->drain_end_us = end_us;
    LIST_FOREACH(task, &gate->tasks, links)
    {
        gate->grace.in_progress++;
    }
}

bool
Grace_IsEnough(const GateTask *task, int64_t expected_us)
{
    int64_t now_us = Task_Now(task);
    DrainRequest request = {
        .left_us = task->gate->drain_end_us - now_us,
        .limit_us = task->deadline_us - now_us,
    };

    if (task->gate->drain_end_us == 0) {
        return true;
    }
    request.needed_us = task->route->kind == RTE_STREAM
                            ? get_stream_bound(task, expected_us)
                            : get_call_bound(task, expected_us);
    return Drain_IsTaken(&request);
}

bool
Grace_MayBegin(GateTask *task, int64_t expected_us)
{
    const Gate *gate = task->gate;
    bool is_stream = task->route->kind == RTE_STREAM;
    int64_t needed_us;

    if (Grace_IsEnough(task, expected_us)) {
        return true;
    }
    needed_us = is_stream ? get_stream_bound(task, expected_us)
                          : get_call_bound(task, expected_us);
    Log_WriteJson(
        LOG_LEVEL_INFO, "grace_too_short",
        json_pack("{s:s,s:I,s:I,s:I,s:I,s:i,s:i}", "request", task->request.id,
                  "left_us", (json_int_t)(gate->drain_end_us - Task_Now(task)),
                  "needed_us", (json_int_t)needed_us, "expected_us",
                  (json_int_t)expected_us, "interval_us",
                  (json_int_t)(is_stream ? get_slowest_interval(task) : 0),
                  "output_tokens", (int)task->request.output_tokens,
                  "output_max", (int)task->request.output_max));
    g_strlcpy(task->cause, "too little is left of the grace",
              sizeof(task->cause));
    Task_Refuse(task, ADMISSION_STOPPING);
    return false;
}

void
Grace_NoteCall(const GateTask *task, int64_t took_us)
{
    Drain_NoteTime(&find_times(task)->call, took_us);
}

void
Grace_NoteStream(const GateTask *task)
{
    DrainTimes *times = find_times(task);

    if (task->first_event_us != 0 && task->work_us != 0 &&
        task->work_us <= task->first_event_us &&
        task->request.last_event == GATE_NO_EVENT) {
        Drain_NoteTime(&times->first, task->first_event_us - task->work_us);
    }
    if (task->events > 1) {
        Drain_NoteTime(&times->interval,
                       (task->last_event_us - task->first_event_us) /
                           (task->events - 1));
    }
}

void
Grace_NoteEnd(GateTask *task)
{
    GraceCount *count = &task->gate->grace;

    if (!task->is_after_stop) {
        return;
    }
    if (task->sends == 0) {
        count->refused++;
        Met_Add(MET_GRACE_REFUSED, 1);
        return;
    }
    count->taken++;
    count->last_taken_us = Task_Now(task);
    Met_Add(MET_GRACE_TAKEN, 1);
}

void
Grace_NoteCut(Gate *gate)
{
    const GateTask *task = NULL;

    LIST_FOREACH(task, &gate->tasks, links)
    {
        if (task->runs == 0 && !task->streaming && !Task_MayBeRunning(task)) {
            continue;
        }
        Met_Add(MET_GRACE_CUT, 1);
        if (task->is_after_stop) {
            gate->grace.cut_taken++;
        }
        else {
            gate->grace.cut_in_progress++;
        }
        log_request(task, LOG_LEVEL_WARNING, "request_cut");
    }
}

void
Grace_LogRequests(const Gate *gate)
{
    const GateTask *task = NULL;

    LIST_FOREACH(task, &gate->tasks, links)
    {
        log_request(task, LOG_LEVEL_INFO, "request_open");
    }
}

void
Grace_LogCount(const Gate *gate)
{
    const GraceCount *count = &gate->grace;

    Log_WriteJson(
        LOG_LEVEL_NOTICE, "grace_used",
        json_pack("{s:i,s:i,s:i,s:i,s:i,s:I}", "in_progress",
                  (int)count->in_progress, "taken", (int)count->taken,
                  "refused", (int)count->refused, "cut_in_progress",
                  (int)count->cut_in_progress, "cut_taken",
                  (int)count->cut_taken, "left_us",
                  (json_int_t)(count->last_taken_us != 0
                                   ? gate->drain_end_us - count->last_taken_us
                                   : -1)));
}

/* Logs how far the request has come. */
static void
log_request(const GateTask *task, LogLevel level, const char *event)
{
    const TaskCall *current = task->current;

    Log_WriteJson(
        level, event,
        json_pack("{s:s,s:b,s:b,s:I,s:I,s:s,s:i,s:i,s:i,s:i}", "request",
                  task->request.id, "after_stop", (int)task->is_after_stop,
                  "stream", (int)(task->route->kind == RTE_STREAM), "age_us",
                  (json_int_t)(Task_Now(task) - task->began_us), "body_us",
                  (json_int_t)(task->arrived_us - task->began_us), "worker",
                  current->call != NULL ? current->worker->entry.id : "",
                  "runs", (int)task->runs, "events", (int)task->events,
                  "output_tokens", (int)task->request.output_tokens,
                  "output_max", (int)task->request.output_max));
}

static DrainTimes *
find_times(const GateTask *task)
{
    GHashTable *times = task->gate->drain_times;
    DrainTimes *found = g_hash_table_lookup(times, task->service->name);

    if (found == NULL) {
        found = g_new0(DrainTimes, 1);
        g_hash_table_insert(times, g_strdup(task->service->name), found);
    }
    return found;
}

static int64_t
get_call_bound(const GateTask *task, int64_t expected_us)
{
    return Drain_GetCallBound(find_times(task),
                              (int64_t)task->route->slo_ms * CLK_US_PER_MS,
                              expected_us);
}

static int64_t
get_stream_bound(const GateTask *task, int64_t expected_us)
{
    DrainStream stream = {
        .slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS,
        .worked_us = task->work_us != 0 ? Task_Now(task) - task->work_us : 0,
        .expected_us = expected_us,
        .gap_us = (int64_t)task->route->gap_ms * CLK_US_PER_MS,
        .events = count_events_left(task),
        .interval_us = get_slowest_interval(task),
    };

    return Drain_GetStreamBound(find_times(task), &stream);
}

/* Returns the most events that may still come; 0 if there is no limit. */
static uint32_t
count_events_left(const GateTask *task)
{
    uint32_t most = Task_CountEventsMax(task);

    return most == 0 ? 0 : MAX(most - Task_CountMadeEvents(task), 1);
}

/* Returns the longest mean interval between the events of the streams in
   progress at the worker that is chosen for the task; 0: none is chosen. */
static int64_t
get_slowest_interval(const GateTask *task)
{
    const FleetWorker *worker = task->assigned.worker;
    const GateTask *other = NULL;
    int64_t slowest_us = 0;

    if (worker == NULL) {
        return 0;
    }
    LIST_FOREACH(other, &task->gate->tasks, links)
    {
        if (other->events >= DRAIN_PACE_EVENTS_MIN &&
            other->current->worker == worker) {
            slowest_us = MAX(slowest_us,
                             (other->last_event_us - other->first_event_us) /
                                 (other->events - 1));
        }
    }
    return slowest_us;
}
