/* Retry: decides what follows when a call at a worker did not succeed.

   Workers fail, refuse, disconnect or stop responding in the middle of a
   call, while the caller's time runs. A call that may have run is repeated
   only if the route allows it. A request that has not run is reported as not
   run, so that the caller may retry it. */
#ifndef LS_RETRY_H
#define LS_RETRY_H

#include "../errors.h"

#include <stdbool.h>
#include <stdint.h>

/* Largest number of calls for one request, whatever their outcome. */
#define RETRY_SENDS_MAX 6
/* With less time left, a new call can't be answered in time. */
#define RETRY_LEFT_MIN_MS 20

typedef enum RetryNext {
    RETRY_ELSEWHERE, /* Call another worker. */
    RETRY_PASS,      /* Give the caller the worker's own answer. */
    /* The request has not run and won't run any more: the caller may retry. */
    RETRY_REFUSE,
    RETRY_FAIL, /* The request may have run, and there is no answer. */
} RetryNext;

typedef struct RetryInput {
    bool repeatable; /* The route allows more than one run. */
    bool has_answer; /* The worker gave a complete answer of its own. */
    LsRun run;       /* Whether the call that just ended has run. */
    bool ran_before; /* An earlier call, or this one, may have run. */
    uint32_t runs;   /* Workers on which it may have run, this one included. */
    uint32_t attempts;  /* Workers on which the route allows it to run. */
    uint32_t sends;     /* Calls so far. */
    bool has_budget;    /* The retry budget allows another call. */
    bool has_candidate; /* Another worker can run the request. */
    int64_t left_ms;    /* Until the caller's or the route's timeout. */
} RetryInput;

RetryNext Retry_Decide(const RetryInput *input);

#endif
