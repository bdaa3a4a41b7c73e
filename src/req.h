/* Req: completions at the entry that holds their caller. The entry gets a
   grant from the home of a cell, runs prefill and decode itself, and passes
   numbered chunks on. It alone answers the caller, once. */
#ifndef LS_REQ_H
#define LS_REQ_H

#include "att.h"
#include "plc.h"

#define REQ_DEADLINE_US (120 * CLK_US_PER_S)
#define REQ_ATTEMPTS_MAX 4
#define REQ_MAX_TOKENS_MAX 8192
#define REQ_HOME_CHECK_US CLK_US_PER_S /* Between checks of a cell's home. */

/* A completion as the caller asked for it. Strings are copied. */
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

/* Begins a completion. On an error nothing was begun and the error is the
   caller's answer. `request` receives the identifier. */
LsResult Req_Begin(Board *board, const ReqParams *order, char *request,
                   size_t request_size, LsError *err);
/* The caller is gone: gives everything up that was begun for it. */
void Req_Cancel(Board *board, uint64_t caller);
void Req_OnGrant(Board *board, const char *home, const Wire__Grant *grant);
void Req_OnRefuse(Board *board, const char *home, const Wire__Refuse *refuse);
void Req_OnClaimQuery(Board *board, const char *home,
                      const Wire__ClaimQuery *query);
/* The link to a VM failed: requests that wait for its grant go elsewhere. */
void Req_OnLinkDown(Board *board, const char *vm);
void Req_OnTick(Board *board);
/* Ends the present attempt and plans the next one, or answers with the error
   when the attempts or the retry budget are used up. `blamed` names the
   upstream at fault, if any. */
void Req_FailAttempt(Board *board, AttCompletion *item, PlcOutcome outcome,
                     const char *blamed, LsResult code, const char *message);
/* The answer is whole: tells caller and home. */
void Req_Finish(Board *board, AttCompletion *item);
guint Req_Count(const Req *req); /* Completions in progress. */

#endif
