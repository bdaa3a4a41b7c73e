/* Stream events: the events of a run, on their way to the caller. See
   stream_events.h. */
#include "stream_events.h"
#include "blame.h"
#include "detour.h"
#include "stream.h"
#include "stream_prepare.h"
#include "stream_resume.h"
#include "worker_pace.h"

#include "../log.h"

#include <xxhash.h>

/* Bytes of a stream without a new event: comments and repeated events may come
   without end. */
#define STREAM_IDLE_MAX_BYTES ((size_t)4 * SSE_EVENT_MAX_BYTES)

static EventOrderEvent describe(const SseEvent *event);
static void log_refused(const GateTask *task, const TaskCall *call,
                        const SseEvent *event);
static bool is_of_version(const GateTask *task);
static void note_event_time(GateTask *task);
static void finish_prefill(TaskCall *call);

bool
StreamEvents_HasNext(const GateTask *task, TaskCall *call)
{
    size_t offset = 0;
    size_t begin = 0;
    SseEvent event;

    while (Sse_Next(&call->sse, &offset, &event)) {
        EventOrderRun run = call->order;
        EventOrderEvent described = describe(&event);
        EventOrderStep step =
            EventOrder_Decide(&task->order, &run, &described);
        if (step == EVENT_ORDER_SEND && event.form == SSE_FORM_EVENT) {
            /* StreamEvents_Forward() decides again. */
            Sse_Drop(&call->sse, begin);
            return true;
        }
        if (step == EVENT_ORDER_REFUSE && !call->order.is_refused) {
            log_refused(task, call, &event);
        }
        call->order = run;
        begin = offset;
    }
    Sse_Drop(&call->sse, begin);
    return false;
}

bool
StreamEvents_Begin(GateTask *task)
{
    TaskCall *current = task->current;

    if (task->last_event != GATE_NO_EVENT && !task->streaming) {
        StreamResume_Recall(task);
    }
    if (!is_of_version(task)) {
        current->order.is_refused = true;
        return false;
    }
    if (task->streaming) {
        return true;
    }
    if (!current->worker->is_vm) {
        StreamResume_NoteBegun(task);
    }
    DetourVm_AddAnswer(task, current->headers);
    Server_BeginStream(task->exchange, current->reply.status,
                       current->headers);
    task->streaming = true;
    task->first_event_us = Task_Now(task);
    Met_Observe(MET_FIRST_EVENT_US, Task_Now(task) - task->began_us);
    return true;
}

bool
StreamEvents_Forward(GateTask *task)
{
    TaskCall *current = task->current;
    size_t offset = 0;
    SseEvent event;

    while (Sse_Next(&task->current->sse, &offset, &event)) {
        EventOrderEvent described = describe(&event);
        EventOrderStep step =
            EventOrder_Decide(&task->order, &current->order, &described);
        if (step == EVENT_ORDER_SKIP) {
            continue;
        }
        if (step == EVENT_ORDER_REFUSE) {
            log_refused(task, current, &event);
            return false;
        }
        if (!StreamEvents_Begin(task)) {
            return false;
        }
        Health_NoteSuccess(&current->worker->health, Task_Now(task));
        if (current->events++ == 0) {
            current->first_event_us = Task_Now(task);
        }
        if (!current->is_sound &&
            Task_Now(task) - current->first_event_us >= SUSPECTS_BEGIN_US) {
            current->is_sound = true;
            Blame_NoteSound(task);
        }
        if (current->prefill_tokens > 0) {
            StreamPrepare_UpdateSlowness(current,
                                         Task_Now(task) - current->began_us);
            finish_prefill(current);
        }
        Server_SendData(task->exchange, event.data, event.size);
        note_event_time(task);
        WorkerPace_NoteEvent(current);
        task->events++;
        EventOrder_NoteSent(&task->order, &described);
        if (event.form == SSE_FORM_EVENT) {
            if (task->first_event == GATE_NO_EVENT) {
                task->first_event = event.id;
            }
            /* Comments are no progress: a stalled worker may send them. */
            task->last_event = event.id;
            Stream_ExpectProgress(task);
        }
    }
    Sse_Drop(&task->current->sse, offset);
    if (StreamEvents_IsMalformed(current)) {
        return false;
    }
    Task_SetTimer(task);
    return true;
}

bool
StreamEvents_IsMalformed(const TaskCall *call)
{
    return call->order.is_refused || Sse_IsEventTooLong(&call->sse) ||
           call->idle_bytes > STREAM_IDLE_MAX_BYTES;
}

void
StreamEvents_UpdateInterval(GateTask *task)
{
    Gate *gate = task->gate;
    double event_interval_us;

    if (task->events < 2) {
        return;
    }
    event_interval_us =
        (double)(Task_Now(task) - task->first_event_us) / (task->events - 1);
    Stream_UpdateMean(&gate->event_interval_us, event_interval_us);
}

static EventOrderEvent
describe(const SseEvent *event)
{
    EventOrderEvent described = {
        .id = event->form == SSE_FORM_EVENT ? event->id : EVENT_ORDER_NO_ID,
        .is_malformed = !Sse_IsValid(event),
        .digest = XXH3_64bits(event->data, event->size),
    };

    return described;
}

/* Logs the event for which a run is given up, without its content. */
static void
log_refused(const GateTask *task, const TaskCall *call, const SseEvent *event)
{
    bool is_valid = Sse_IsValid(event);

    Met_Add(is_valid ? MET_EVENTS_OUT_OF_ORDER : MET_EVENTS_MALFORMED, 1);
    Log_WriteJson(
        LOG_LEVEL_WARNING, "event_refused",
        json_pack("{s:s,s:s,s:s,s:I,s:I,s:i,s:i,s:b,s:b}", "request",
                  task->request.id, "worker", call->worker->entry.id, "form",
                  Sse_GetFormName(event->form), "id",
                  (json_int_t)(is_valid ? event->id : EVENT_ORDER_NO_ID),
                  "last_event", (json_int_t)task->last_event, "events",
                  (int)call->events, "bytes", (int)event->size,
                  "may_be_resumed", (int)task->route->can_resume,
                  "contradicts", (int)call->order.is_contradicted));
}

/* Whether the run's events are of the software version that began the stream,
   if one did. A VM keeps to that version, and tells it. */
static bool
is_of_version(const GateTask *task)
{
    const Fleet *fleet = task->gate->options.fleet;
    const TaskCall *current = task->current;
    bool has_begun = task->version != 0 || task->last_event != GATE_NO_EVENT;

    if (current->worker->is_vm || !has_begun ||
        task->version == current->version) {
        return true;
    }
    Met_Add(MET_RUNS_OF_OTHER_VERSION, 1);
    Log_WriteJson(LOG_LEVEL_ERROR, "run_of_other_version",
                  json_pack("{s:s,s:s,s:s,s:s}", "request", task->request.id,
                            "worker", current->worker->entry.id, "began",
                            Fleet_GetVersionName(fleet, task->version),
                            "goes_on",
                            Fleet_GetVersionName(fleet, current->version)));
    return false;
}

static void
note_event_time(GateTask *task)
{
    int64_t now_us = Task_Now(task);

    if (task->last_event_us != 0) {
        task->longest_gap_us =
            MAX(task->longest_gap_us, now_us - task->last_event_us);
    }
    task->last_event_us = now_us;
}

/* Removes the call's prompt from the worker's load once it has been read. */
static void
finish_prefill(TaskCall *call)
{
    call->worker->prefill_tokens -= call->prefill_tokens;
    call->prefill_tokens = 0;
}
