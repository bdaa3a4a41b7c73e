/* Plc: placement, done by the home of a cell (the engines of one model in
   one region). The home reserves a decode slot and a place in a prefill
   queue together, before any prefill begins; work that can't be placed yet
   waits here in priority order, and work whose first token would come too
   late is refused at once. Two homes at a time do no harm: the engines
   refuse the excess. */
#ifndef LS_PLC_H
#define LS_PLC_H

#include "pick.h"

/* How the use of a grant ended, as the entry reports it. */
typedef enum PlcOutcome {
    PLC_OUTCOME_DONE,      /* The answer is whole. */
    PLC_OUTCOME_CANCELLED, /* The caller is gone. */
    PLC_OUTCOME_REFUSED,   /* An engine was full. */
    PLC_OUTCOME_FAILED,    /* An engine failed or went silent. */
    PLC_OUTCOME_LEAVING,   /* An engine takes no new work. */
} PlcOutcome;

typedef struct Plc Plc;

Plc *Plc_New(void);
void Plc_Free(Plc *plc);
void Plc_SetPolicy(Plc *plc, PickPolicy policy);
PickPolicy Plc_GetPolicy(const Plc *plc);

void Plc_OnConfig(Board *board);
/* A request to place work, from the VM `entry`. */
void Plc_OnReserve(Board *board, const char *entry,
                   const Wire__Reserve *reserve);
void Plc_OnPrefillEnd(Board *board, const Wire__PrefillEnd *end);
void Plc_OnRelease(Board *board, const Wire__Release *release);
/* Forgets a job, "request/attempt", that has no caller any more. */
void Plc_DropJob(Board *board, const char *key);
/* The link to an entry failed: it asks again for what still waits here. */
void Plc_OnLinkDown(Board *board, const char *vm);
void Plc_OnHold(Board *board, const char *entry, const Wire__Hold *hold);
/* An engine's running list: its length, how many of these requests are not of
   this home's grants, and whether the engine is leaving. */
void Plc_OnReport(Board *board, const char *upstream, uint32_t requests,
                  uint32_t foreign, bool leaving);
/* Sends the waiting jobs back, for their entries to find another home. */
void Plc_ReturnWaiting(Board *board);
void Plc_OnTick(Board *board);
/* Jobs granted or waiting at this home. */
guint Plc_CountJobs(const Plc *plc);
guint Plc_CountWaiting(const Plc *plc); /* Jobs without a grant. */
/* Whether "request/attempt" is a job of this home. */
bool Plc_HasJob(const Plc *plc, const char *key);
json_t *Plc_Describe(const Board *board); /* Engines, for status. */

#endif
