/* Stream urgency: which requests of a service whose routes or accounts differ
   in priority leave room to more urgent ones (decide/urgency.h). Requests for
   which something has been done never do: begun and resumed streams, and those
   that hold a read prompt or a reservation. A late retry counts as one of the
   least urgent level, as a late answer is worth less than any in time. Plain
   calls use the same state for the queues of workers. Where all requests of a
   service have one priority, none of these functions has an effect. */
#ifndef LS_STREAM_URGENCY_H
#define LS_STREAM_URGENCY_H

#include "task.h"

/* Returns the task's level, from 0 on, the most urgent one. */
uint32_t StreamUrgency_GetLevel(const GateTask *task);
/* Notes that the request has come. */
void StreamUrgency_NoteAsked(GateTask *task);
/* Notes whether a plain call found a place in time. */
void StreamUrgency_NoteLook(GateTask *task, bool lacks_room);
/* Notes that it was sent to a worker. */
void StreamUrgency_NoteAdmitted(GateTask *task);
/* Decides anew how much room the task leaves to more urgent ones. */
void StreamUrgency_UpdateHeld(GateTask *task);
/* Returns the room, as decided last, that it leaves at the worker, tokens. */
double StreamUrgency_GetHeldTokens(const GateTask *task,
                                   const FleetWorker *worker);
/* Returns the part of an objective for which a plain call may wait in a queue
   of a worker; all of it once the call was sent to one. */
int64_t StreamUrgency_GetQueueTime(const GateTask *task, int64_t slo_us);
/* Looks for a decode worker for a stream as Reservation_ChooseDecodeWorker(),
   and notes whether there is room, also for StreamPrecedence. A stream lacks
   room, too, if its prompt would be read too late for its objective. A less
   urgent one gets none where its prompt would join a queue in which a more
   urgent one that comes next would be late. */
FleetWorker *StreamUrgency_FindRoom(GateTask *task, int64_t *cost_us);
/* Returns why no worker can run the request now, and counts it. */
const char *StreamUrgency_GetWaitCause(GateTask *task);
/* Returns the interval between two looks for room. */
int64_t StreamUrgency_GetPollTime(const GateTask *task, int64_t poll_us);
/* Takes the place in the AdmissionQueue of the least urgent request that waits
   for its first worker. Returns false if none is less urgent. */
bool StreamUrgency_TakePlace(GateTask *task);
/* Returns after which wait a refused caller should come back, and counts the
   refusal: `lack_ms` is the time for which capacity has been lacking. */
int64_t StreamUrgency_NoteRefused(GateTask *task, int64_t lack_ms);
/* Returns what this VM tells the others of the requests that lack room. */
UrgencyLooks StreamUrgency_GetLooks(const Gate *gate, const char *service);
/* Returns GateCallOptions.priority of the task's calls. */
uint32_t StreamUrgency_GetCallPriority(const GateTask *task);

#endif
