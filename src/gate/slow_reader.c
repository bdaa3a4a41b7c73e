/* Slow readers: see slow_reader.h. */
#include "slow_reader.h"
#include "task.h"

#include "../log.h"

void
SlowReader_SetBounds(ServerOptions *server, UnreadSum *sum, uint32_t memory_mb)
{
    *sum = Unread_NewSum(memory_mb);
    server->on_unread = SlowReader_OnUnread;
    server->unread = sum;
}

void
SlowReader_OnUnread(ServerExchange *exchange, bool is_paused)
{
    GateTask *task = exchange->owner;

    if (task == NULL) {
        return;
    }
    if (is_paused) {
        task->read_paused_us = Task_Now(task);
    }
    else if (task->step_deadline_us != 0) {
        /* The worker was not silent. What it sent so far is no more progress
           than before: comments must not extend a stream. */
        int64_t paused_us = Task_Now(task) - task->read_paused_us;
        task->step_deadline_us += paused_us;
        task->current->progress_us += paused_us;
    }
    task->is_read_paused = is_paused;
    for (guint i = 0; i < G_N_ELEMENTS(task->calls); i++) {
        if (task->calls[i].call != NULL) {
            Client_SetReading(task->calls[i].call, !is_paused);
        }
    }
    Log_WriteJson(LOG_LEVEL_INFO, "response_held_up",
                  json_pack("{s:s,s:b,s:s}", "request", task->request.id,
                            "paused", (int)is_paused, "worker", task->worker));
    Task_SetTimer(task);
}
