/* Reservation: chooses the workers for a stream, and reserves resources there.
   It chooses the worker that reads the prompt and the one that decodes, and
   keeps track of the KV memory and the reservation that the request has there.

   A burst can fill the memory of the decode workers. If no decode worker has
   memory for a prompt that has been read, its KV memory expires within half a
   second and the prefill is wasted, so memory is reserved first. A stream that
   outgrows its worker's memory makes the worker preempt its newest stream,
   whose prompt must be read again, so the reservation covers a part of the
   answer too.

   After a loss of all VMs hundreds of streams are resumed at once. Reading
   their prompts anew costs more than the rest of their answers, so they run at
   the worker that has read the prompt, or at one that fetches it from there.
 */
#ifndef LS_RESERVATION_H
#define LS_RESERVATION_H

#include "task.h"

/* Returns the decode worker with the lowest cost that may have free memory, or
   NULL. Stores the cost of the run there in *cost_us. */
FleetWorker *Reservation_ChooseDecodeWorker(GateTask *task, int64_t *cost_us);
/* Returns the cost of the run at the assigned worker, microseconds, with the
   price of the pauses that it causes to other streams. */
int64_t Reservation_GetRunCost(const GateTask *task);
/* Returns that price. */
int64_t Reservation_GetPauseCost(const GateTask *task);
/* Whether any decode worker can run the request, now or once it has free
   memory. */
bool Reservation_HasCandidate(GateTask *task);
/* Whether a worker that responds could run the request once it has free
   memory, after no worker can run it now. */
bool Reservation_LacksRoom(GateTask *task);
/* Returns the prefill worker with the lowest cost for decoding at the assigned
   worker, or NULL if none is usable or all are blocked. Stores the cost of
   prefill and KV transfer in *cost_us if there is a usable one. */
FleetWorker *Reservation_ChoosePrefillWorker(GateTask *task, int64_t *cost_us);

/* Returns the worker that has read the prompt of a resumed stream and may
   still keep it, so that it need not be read anew, or NULL. */
FleetWorker *Reservation_FindReader(const GateTask *task);
/* Whether the prompt was read and its KV memory can still be fetched. */
bool Reservation_HasHandle(const GateTask *task);
/* Clears the task's KV handle. `notify_worker`: the memory was not fetched, so
   the worker is called to free it. */
void Reservation_ReleaseHandle(GateTask *task, bool notify_worker);

/* Assigns the task to a decode worker, and counts the request's memory there
   in advance. */
void Reservation_AssignWorker(GateTask *task, FleetWorker *worker);
/* Undoes Reservation_AssignWorker(). `notify_worker`: the reservation was not
   used, so the worker is called to release it. */
void Reservation_UnassignWorker(GateTask *task, bool notify_worker);
/* Whether memory is reserved at a worker that is still usable. Otherwise
   unassigns the worker. */
bool Reservation_HasLease(GateTask *task);
/* Returns the tokens to reserve, for the prompt and a part of the answer. */
uint32_t Reservation_GetLeaseTokens(const GateTask *task);

#endif
