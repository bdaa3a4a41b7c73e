/* Placement (Plc_): assigns jobs to engines at the home of a cell. A cell is
   the engines of one model in one region; its home is the VM that places the
   cell's jobs. A job is one attempt of a completion; the VM that holds the
   completion's caller is its entry.

   The home reserves a decode slot and a place in a prefill queue together,
   before the prefill begins, so that no prefill is wasted for lack of a
   decode slot. A job that can't be placed yet waits in priority order; a job
   whose first token would come too late is refused at once. Two VMs that act
   as home at the same time are safe, because the engines refuse requests
   beyond their capacity. */
#ifndef LS_PLACEMENT_H
#define LS_PLACEMENT_H

#include "pick.h"

/* Outcome of a grant, as reported by the entry. */
typedef enum PlcOutcome {
    PLC_OUTCOME_DONE,      /* The answer is complete. */
    PLC_OUTCOME_CANCELLED, /* The caller disconnected. */
    PLC_OUTCOME_REFUSED,   /* An engine had no slot or memory. */
    PLC_OUTCOME_FAILED,    /* An engine failed or timed out. */
    PLC_OUTCOME_LEAVING,   /* An engine accepts no new requests. */
} PlcOutcome;

typedef struct Plc Plc;

Plc *Plc_New(void);
void Plc_Free(Plc *plc);
void Plc_SetPolicy(Plc *plc, PickPolicy policy);
PickPolicy Plc_GetPolicy(const Plc *plc);

/* Updates engines and cells from the configuration in force. */
void Plc_OnConfig(Board *board);
/* Handles a request of the VM `entry` to place a job. The grant or the
   refusal follows as a frame; a repeated frame is ignored. */
void Plc_OnReserve(Board *board, const char *entry,
                   const Wire__Reserve *reserve);
/* Handles the end of a job's prefill and grants waiting jobs. */
void Plc_OnPrefillEnd(Board *board, const Wire__PrefillEnd *end);
/* Frees the job and what it reserved, and suspends the engine that the entry
   blames, if any. */
void Plc_OnRelease(Board *board, const Wire__Release *release);
/* Frees the job `key`, "request/attempt", which its entry no longer uses. */
void Plc_DropJob(Board *board, const char *key);
/* Frees the waiting jobs of an entry whose link failed. The entry reserves
   again for them. */
void Plc_OnLinkDown(Board *board, const char *vm);
/* Records a grant of a former home that the VM `entry` still uses. */
void Plc_OnHold(Board *board, const char *entry, const Wire__Hold *hold);
/* Handles an engine's list of running requests: the length of the list, how
   many of these requests this home did not grant, and whether the engine
   accepts no new requests. */
void Plc_OnReport(Board *board, const char *upstream, uint32_t requests,
                  uint32_t foreign_requests, bool leaving);
/* Refuses all waiting jobs, so that their entries reserve at another home. */
void Plc_RefuseWaiting(Board *board);
/* Refuses waiting jobs past their deadlines, updates the homes of the cells,
   grants waiting jobs, checks the grants in use and reads running lists. */
void Plc_OnTick(Board *board);
/* Number of jobs at this home, granted or waiting. */
guint Plc_CountJobs(const Plc *plc);
/* Number of jobs without a grant. */
guint Plc_CountWaiting(const Plc *plc);
/* Whether this home has the job `key`, "request/attempt". */
bool Plc_HasJob(const Plc *plc, const char *key);
/* Describes the engines for the status page, as a new JSON array that the
   caller frees. */
json_t *Plc_Describe(const Board *board);

#endif
