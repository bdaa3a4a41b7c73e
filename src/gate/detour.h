/* Detour: a way to the workers by another VM, while this VM is cut off from
   them (decide/reach.h). The request goes to the other VM's listener for VMs
   as it came, and that VM serves it like its own, but passes it on no further.
   A task calls the other VM like a worker: the same rules hold for what may be
   repeated, and what the caller is told. Meanwhile single connections find out
   when the workers can be reached again.

   The module opens the connections that decide whether the VM is cut off, asks
   the other VMs by gossip for workers that they hear, and answers them. */
#ifndef LS_DETOUR_H
#define LS_DETOUR_H

#include "task.h"

/* Cost of a call at another VM, below that of a worker that does not answer.
 */
#define DETOUR_COST_US (20 * CLK_US_PER_MS)

/* Time for which a silent call at another VM is kept beyond the usual limit:
   that VM may wait for capacity, or for another worker after a refusal. */
#define DETOUR_SILENCE_EXTRA_US (700 * CLK_US_PER_MS)

/* Mark of a request that another VM passes on: the number of the route's
   attempts less the one that the called VM gets, notices of workers
   (hearsay.h), and the workers that have failed the request. Earlier builds
   take the number for the attempts that are used up.
   In the answer to such a request: the hash of the last worker that it was
   sent to, in hexadecimal; absent if there is none. */
#define DETOUR_HEADER "Lavenderspool-Relayed"

/* Other VMs of which one call learns at most. */
#define DETOUR_PEERS_MAX 64

void Detour_Init(Gate *gate);
/* Ends all probes and frees what the module keeps. */
void Detour_Clear(Gate *gate);
/* Notes that a worker left a call of the task unanswered, which may be a
   reason to look whether this VM is cut off. */
void Detour_NoteUnanswered(const GateTask *task);
/* Whether this VM is cut off from the service's workers. */
bool Detour_IsCut(const Gate *gate, const char *service);
/* Returns what this VM knows of its way to the service's workers, for logs. */
const char *Detour_GetStateName(const Gate *gate, const char *service);
/* Whether this VM reaches no worker of the service, cut off or not. */
bool Detour_IsLost(const Gate *gate, const char *service);

/* The other VMs (detour_vm.c). */

void DetourVm_Init(Gate *gate);
void DetourVm_Clear(Gate *gate);
/* Returns another VM that reaches the workers of the task's service, in the
   form of a worker that the gate owns, or NULL. Of two VMs at random it is the
   one with fewer requests of this VM. */
FleetWorker *DetourVm_Choose(GateTask *task);
/* Marks a request that is passed on, and adds what this VM knows of the
   service's workers. */
void DetourVm_AddMark(const GateTask *task, HeaderList *headers);
/* Removes the mark and returns it, for g_free(); NULL if there is none. */
char *DetourVm_TakeMark(HeaderList *headers);
/* Notes what the mark says of workers. */
void DetourVm_ReadMark(GateTask *task, const char *mark);
/* Adds to the answer of a request that another VM passed on the worker that it
   was sent to. */
void DetourVm_AddAnswer(const GateTask *task, HeaderList *headers);
/* Removes that from the headers for the caller. Returns the worker's hash, or
   0 if there is none. */
uint64_t DetourVm_TakeAnswer(HeaderList *headers);

#endif
