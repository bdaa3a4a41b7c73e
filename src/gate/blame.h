/* Blame: keeps requests away from workers when a part of their prompt crashes
   workers. */
#ifndef LS_BLAME_H
#define LS_BLAME_H

#include "task.h"

/* Whether no part of the prompt crashes workers, as far as is known. Otherwise
   ends the task, or lets it wait for the check of its last worker. */
bool Blame_IsAllowed(GateTask *task);
/* Begins a check of the worker if the call broke as its answer began. */
void Blame_NoteBreak(GateTask *task, ClientOutcome outcome, LsRun run);
/* Notes that the answer goes on, or has ended, without a crash. */
void Blame_NoteSound(GateTask *task);

#endif
