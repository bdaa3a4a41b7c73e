/* Room: places for a stream at model workers. Which worker reads the prompt,
   which decodes, and what is held there for the request: a prompt's memory,
   and reserved room.

   Answers: a burst that fills the decode workers' memory. A prompt that is
   read while none has room lapses within half a second and is read in vain;
   so room is reserved first. A stream that outgrows its worker's memory pushes
   the newest one out, whose prompt is read again; so the reservation covers
   part of the answer too. */
#ifndef LS_ROOM_H
#define LS_ROOM_H

#include "task.h"

/* The best decode worker that may have room, or NULL. *cost_us is that of the
   whole run there. */
FltWorker *Room_ChooseDecodeWorker(GateTask *task, int64_t *cost_us);
/* Cost of the whole run at the booked worker. */
int64_t Room_GetRunCost(const GateTask *task);
/* Whether any decode worker could take it, full for the moment or not. */
bool Room_HasCandidate(GateTask *task);
/* The best prefill worker for going on at the booked decode worker, or NULL;
 *cost_us is that of both. */
FltWorker *Room_ChoosePrefillWorker(GateTask *task, int64_t *cost_us);

/* Whether the prompt was read and its memory can still be fetched. */
bool Room_HasHandle(const GateTask *task);
/* Forgets memory that was read. `notify_worker`: its worker is told to free
 * it. */
void Room_ReleaseHandle(GateTask *task, bool notify_worker);

/* Counts the request's memory at a worker before it is sent there. */
void Room_AssignWorker(GateTask *task, FltWorker *worker);
/* `notify_worker`: the worker is told to free the room that it reserved. */
void Room_UnassignWorker(GateTask *task, bool notify_worker);
/* Whether room is reserved at a worker that may still be used. */
bool Room_HasLease(GateTask *task);
/* Tokens to reserve: the prompt's and some of the answer's. */
uint32_t Room_GetLeaseTokens(const GateTask *task);

#endif
