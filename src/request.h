/* Completion requests (Req_): runs completions at their entry, the VM that
   holds the caller's connection. The entry reserves engines at the home of a
   cell, runs prefill and decode itself, and streams numbered chunks to the
   caller. Only the entry answers the caller, exactly once; the loss of a home
   therefore breaks no stream. */
#ifndef LS_REQUEST_H
#define LS_REQUEST_H

#include "attempt.h"
#include "placement.h"

/* Longest time from the arrival of a request to its last token. */
#define REQ_DEADLINE_US (120 * CLK_US_PER_S)
#define REQ_ATTEMPTS_MAX 4      /* Attempts of one completion. */
#define REQ_MAX_TOKENS_MAX 8192 /* Largest max_tokens of a request. */
/* Interval of the checks whether a cell's home has changed. */
#define REQ_HOME_CHECK_US CLK_US_PER_S

/* Parameters of a completion. Strings are copied. */
typedef struct ReqParams {
    uint64_t caller;
    const ConCustomer *customer;
    const char *model;
    const char *prompt;
    uint32_t max_tokens;
} ReqParams;

typedef struct Req Req;

Req *Req_New(void);
void Req_Free(Req *req);

/* Begins a completion; `request` receives its identifier. Returns an error if
   the completion was not begun: the error is then the answer to the caller,
   and no other answer follows. */
LsResult Req_Begin(Board *board, const ReqParams *params, char *request,
                   size_t request_size, LsError *err);
/* Cancels the completion of a caller that disconnected, and its work at the
   engines. */
void Req_Cancel(Board *board, uint64_t caller);
/* Begins the prefill, or releases the grant if no attempt waits for it. */
void Req_OnGrant(Board *board, const char *home, const Wire__Grant *grant);
/* Reserves at another home or at the next cell that the contract allows, or
   answers with the error. */
void Req_OnRefuse(Board *board, const char *home, const Wire__Refuse *refuse);
/* Answers a home's query with the requests that this entry doesn't use. */
void Req_OnClaimQuery(Board *board, const char *home,
                      const Wire__ClaimQuery *query);
/* Handles the failure of the link to a home: requests that wait for its grant
   reserve at another home, and running ones are reported to the new home. */
void Req_OnLinkDown(Board *board, const char *vm);
/* Ends stages that timed out, begins due retries and reports grants to new
   homes. */
void Req_OnTick(Board *board);
/* Ends the current attempt and schedules the next one, or answers with the
   error and frees the completion if the attempts or the retry budget are
   exhausted. `blamed` is the upstream that caused the failure, or "". */
void Req_FailAttempt(Board *board, AttCompletion *item, PlcOutcome outcome,
                     const char *blamed, LsResult code, const char *message);
/* Ends a complete answer: answers the caller, releases the grant and frees
   the completion. */
void Req_Finish(Board *board, AttCompletion *item);
/* Answers all completions in progress, as the process ends. */
void Req_EndAll(Board *board);
/* Number of completions in progress. */
guint Req_Count(const Req *req);

#endif
