/* Blame: keeps requests away from workers when they crash workers. What
   crashes them is a part of the prompt, or, for requests without parts, the
   request itself, which comes again from its caller or a VM. */
#ifndef LS_BLAME_H
#define LS_BLAME_H

#include "task.h"

/* Returns what may be the cause of crashes under the request. The task owns
 * it.
 */
const uint64_t *Blame_GetParts(GateTask *task, uint32_t *count);
/* Whether the request doesn't crash workers, as far as is known. Otherwise
   ends the task, or lets it wait for the check of its last worker. */
bool Blame_IsAllowed(GateTask *task);
/* Begins a check of the worker if the call broke as its answer began, or
   before an answer that comes as a whole. */
void Blame_NoteBreak(GateTask *task, ClientOutcome outcome, LsRun run);
/* Notes that the answer goes on, or has ended, without a crash. */
void Blame_NoteSound(GateTask *task);

#endif
