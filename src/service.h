/* Service calls (Svc_): sends idempotent calls to plain services, and retries
   a failed call at another worker. Non-idempotent calls are operations
   (operation.h). */
#ifndef LS_SERVICE_H
#define LS_SERVICE_H

#include "board.h"

#define SVC_DEADLINE_US (20 * CLK_US_PER_S) /* No attempt begins after it. */
#define SVC_ATTEMPT_TIMEOUT_US (5 * CLK_US_PER_S)
#define SVC_ATTEMPTS_MAX 3

/* Parameters of an idempotent call. Strings are copied. */
typedef struct SvcParams {
    uint64_t caller;
    const ConCustomer *customer;
    const char *method;
    const char *service;
    const char *path;
    const char *body;
    size_t body_size;
} SvcParams;

typedef struct Svc Svc;

Svc *Svc_New(void);
void Svc_Free(Svc *svc);

/* Begins a call. The caller gets exactly one answer. */
void Svc_Begin(Board *board, const SvcParams *params);
/* Cancels the call of a caller that disconnected. */
void Svc_Cancel(Board *board, uint64_t caller);
/* Fails attempts that timed out. */
void Svc_OnTick(Board *board);
/* Answers all calls in progress, as the process ends. */
void Svc_EndAll(Board *board);
/* Number of calls in progress. */
guint Svc_Count(const Svc *svc);
/* Chooses a worker of the service in the customer's regions by round robin,
   this region's workers first. Chooses `avoid`, which may be NULL, only if
   there is no other. Returns NULL if there is none; the configuration owns the
   worker. */
const ConUpstream *Svc_ChooseUpstream(Board *board, const char *service,
                                      const char *customer, const char *avoid);

#endif
