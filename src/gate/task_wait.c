/* Task wait: the wait of a stream for capacity. See task_wait.h. */
#include "task_wait.h"
#include "begun.h"
#include "reservation.h"
#include "stream_urgency.h"

#include "../log.h"

#include <string.h>

static void poll(GateTask *task, const AdmissionWaitPlan *wait_plan);
static void log_no_room(const GateTask *task, const AdmissionWaitPlan *plan);
static bool may_wait(GateTask *task);
static AdmissionQueue *find_queue(GateTask *task);
static AdmissionWaitPlan plan_wait(const GateTask *task);

void
TaskWait_BeginWait(GateTask *task, const char *cause)
{
    int64_t now_us = Task_Now(task);
    int64_t open_us;
    bool is_limited;
    AdmissionWaitPlan wait_plan;

    task->work_us = 0;
    /* Any worker may serve a stream that has not begun. */
    if ((task->streaming || task->last_event != GATE_NO_EVENT) &&
        !Reservation_HasCandidate(task)) {
        Task_ReadmitWorkers(task);
    }
    if (task->waiting_since_us == 0) {
        task->waiting_since_us = now_us;
        Begun_NoteWait(task);
    }
    wait_plan = plan_wait(task);
    if (task->silent != NULL ||
        (task->streaming && now_us < wait_plan.until_us)) {
        poll(task, &wait_plan);
        return;
    }
    if (Task_IsTurnedAway(task, &open_us, &is_limited) &&
        (open_us == 0 || open_us >= wait_plan.until_us)) {
        Task_Abort(task, ADMISSION_NO_WORKER, LS_ERR_UPSTREAM_FAILED);
        return;
    }
    if (now_us >= wait_plan.until_us || task->gate->stopping ||
        !may_wait(task)) {
        g_strlcpy(task->cause, cause, sizeof(task->cause));
        log_no_room(task, &wait_plan);
        Task_Abort(task, ADMISSION_FULL, LS_ERR_UPSTREAM_FAILED);
        return;
    }
    poll(task, &wait_plan);
}

static void
log_no_room(const GateTask *task, const AdmissionWaitPlan *plan)
{
    const GPtrArray *rows = task->gate->options.fleet->rows;
    int64_t now_us = Task_Now(task);
    int usable = 0;
    int of_version = 0;
    int refused = 0;
    bool is_begun = task->last_event != GATE_NO_EVENT;

    for (guint i = 0; i < rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(rows, i);
        if (worker->entry.phase == FLEET_PHASE_DECODE &&
            strcmp(worker->entry.service, task->service->name) == 0 &&
            Fleet_IsUsable(worker, now_us)) {
            bool is_candidate = !is_begun || worker->version == task->version;
            usable++;
            of_version += is_candidate;
            refused += is_candidate && now_us < worker->full_until_us;
        }
    }
    Log_WriteJson(
        LOG_LEVEL_INFO, "no_room",
        json_pack("{s:s,s:b,s:b,s:I,s:I,s:I,s:i,s:i,s:i,s:i,s:f}", "request",
                  task->request.id, "begun", (int)is_begun, "retry",
                  (int)task->is_retry, "waited_us",
                  (json_int_t)(now_us - task->waiting_since_us), "poll_us",
                  (json_int_t)plan->poll_us, "left_ms",
                  (json_int_t)Task_GetLeftMs(task), "workers", usable,
                  "of_version", of_version, "refused", refused, "level",
                  (int)StreamUrgency_GetLevel(task), "held_streams",
                  task->held_streams));
}

void
TaskWait_EndWait(GateTask *task, AdmissionWaitEnd end)
{
    if (end == ADMISSION_WAIT_SERVED) {
        AccountLoad_NoteServed(task);
    }
    if (task->queued) {
        task->queued = false;
        Admission_EndWait(find_queue(task), end);
    }
}

/* Schedules the next poll. */
static void
poll(GateTask *task, const AdmissionWaitPlan *wait_plan)
{
    task->waiting = true;
    task->step_deadline_us =
        Task_Now(task) + wait_plan->poll_us +
        g_rand_int_range(task->gate->rand, 0, (gint32)wait_plan->poll_us);
    Task_SetTimer(task);
}

/* Whether the task may wait, or go on to wait. What has been begun always may.
 */
static bool
may_wait(GateTask *task)
{
    if (!task->queued && task->runs == 0 && !task->streaming &&
        task->last_event == GATE_NO_EVENT && !Reservation_HasHandle(task)) {
        task->queued = Admission_BeginWait(find_queue(task)) ||
                       StreamUrgency_TakePlace(task);
        return task->queued;
    }
    return true;
}

static AdmissionQueue *
find_queue(GateTask *task)
{
    GHashTable *queues = task->gate->queues;
    AdmissionQueue *queue = g_hash_table_lookup(queues, task->service->name);

    if (queue == NULL) {
        queue = g_new(AdmissionQueue, 1);
        Admission_InitQueue(queue);
        g_hash_table_insert(queues, g_strdup(task->service->name), queue);
    }
    return queue;
}

static AdmissionWaitPlan
plan_wait(const GateTask *task)
{
    AdmissionWait wait = {
        .waiting_since_us = task->waiting_since_us,
        .arrived_us = task->began_us,
        .left_us = task->request.left_ms * CLK_US_PER_MS,
        .timeout_us = (int64_t)task->route->timeout_ms * CLK_US_PER_MS,
        .slo_us = (int64_t)task->route->slo_ms * CLK_US_PER_MS,
        .deadline_us = task->deadline_us,
        .is_prefilled = Reservation_HasHandle(task),
        .is_streaming = task->streaming,
        .is_resumed = task->request.last_event != GATE_NO_EVENT,
    };
    AdmissionWaitPlan wait_plan = Admission_PlanWait(&wait);

    wait_plan.poll_us = StreamUrgency_GetPollTime(task, wait_plan.poll_us);
    return wait_plan;
}
