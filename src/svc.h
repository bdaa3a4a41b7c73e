/* Svc: calls of plain services. Idempotent calls are tried again elsewhere;
   others go through Op. */
#ifndef LS_SVC_H
#define LS_SVC_H

#include "board.h"

#define SVC_DEADLINE_US (20 * CLK_US_PER_S)
#define SVC_TRY_US (5 * CLK_US_PER_S) /* For one try. */
#define SVC_TRIES 3

/* An idempotent call by a caller of this VM. */
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

void Svc_Begin(Board *board, const SvcParams *order);
void Svc_Cancel(Board *board, uint64_t caller);
void Svc_OnTick(Board *board);
guint Svc_Count(const Svc *svc); /* Calls in progress. */
/* A worker of the service in the customer's regions, this region's first,
   in turn; not `avoid` unless it is the only one. NULL if there is none. */
const ConUpstream *Svc_ChooseUpstream(Board *board, const char *service,
                                      const char *customer, const char *avoid);

#endif
