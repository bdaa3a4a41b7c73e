/* Start: decides for which start of a worker an answer counts that does not
   name its start.

   Workers start again under the identifier that they had, at another software
   version, and a VM learns that from their entries, some of them late. After
   all VMs were killed, hundreds of streams go on by what the workers keep of
   before, which counts for the version of the start that keeps it. So a worker
   is asked for its start after its answer. A connection leads to one process,
   so what it tells on the connection of the answer holds for the answer. A
   worker that is leaving closes each connection with its answer; what it tells
   on another one holds if the entry had named this start before the worker was
   asked, since a process that had started before and is there afterwards was
   there in between. */
#ifndef LS_START_H
#define LS_START_H

#include <stdbool.h>
#include <stdint.h>

/* Starts in Unix milliseconds; 0: none is named. */
typedef struct StartState {
    int64_t asked_ms;        /* Of the entry as the worker was asked. */
    int64_t entry_ms;        /* Of the entry now. */
    int64_t told_ms;         /* What the worker told after its answer. */
    bool is_same_connection; /* On which it told that. */
} StartState;

typedef enum StartStep {
    START_AS_ASKED,  /* The answer counts for the entry as it was then. */
    START_AS_ENTRY,  /* It counts for the entry as it is now. */
    START_WAIT,      /* The entry of this start has not come yet. */
    START_ASK_AGAIN, /* The answer may be that of the start before. */
    START_UNKNOWN,   /* The entry of this start does not come any more. */
} StartStep;

StartStep Start_Decide(const StartState *state);

#endif
