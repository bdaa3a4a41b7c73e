/* Stream preparation: reserves memory at a decode worker and lets a prefill
   worker read the prompt. Both steps are calls of the task; at their end, they
   go on with Stream_Advance() or Stream_RetryOrEnd(). */
#ifndef LS_STREAM_PREPARE_H
#define LS_STREAM_PREPARE_H

#include "task.h"

/* Whether the assigned worker supports reservations. */
bool StreamPrepare_CanReserve(const GateTask *task);
/* Reserves a slot and memory at the assigned worker. A refused reservation,
   unlike a refused run, doesn't count for the retry budget. */
void StreamPrepare_BeginReserve(GateTask *task);
/* Whether the assigned worker must be asked for its start before the run: no
   connection for the run is known to lead to the start of its entry; or, where
   the run may happen only once, its answers may end with their connections,
   and one has been lost since it told its start. */
bool StreamPrepare_NeedsCheck(const GateTask *task, uint32_t idle_max_ms);
/* Asks the assigned worker for its start, so that the connection is known to
   lead to the start that its entry tells of. */
void StreamPrepare_BeginCheck(GateTask *task);
/* Keeps requests away from a worker that did not grant a reservation. */
void StreamPrepare_AvoidWorker(GateTask *task);
/* Takes note of a prefill or run that has ended. One that reached no worker
   uses up no try: many workers may have crashed together. */
void StreamPrepare_NoteOutcome(GateTask *task, ClientOutcome outcome);
/* Lets the prefill worker read the prompt. */
void StreamPrepare_BeginPrefill(GateTask *task, FleetWorker *worker);
/* Updates the worker's slowness from the duration of a prefill. */
void StreamPrepare_UpdateSlowness(TaskCall *call, int64_t took_us);

#endif
