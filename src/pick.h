/* Engine selection (Pick_): chooses the next job of a cell and its engines,
   and predicts times to the first token. It reads the accounts of the cell
   and changes only the engines of the job and the round-robin index. */
#ifndef LS_PICK_H
#define LS_PICK_H

#include "cell.h"

/* Placement policies. All but the first are baselines for comparison. */
typedef enum PickPolicy {
    /* The home reserves a decode slot before the prefill begins. */
    PICK_POLICY_RESERVE,
    /* The home places each job at once, even on full engines. */
    PICK_POLICY_NO_RESERVE,
    /* Each entry assigns its jobs to the engines by round robin. */
    PICK_POLICY_ROUND_ROBIN,
    /* Each entry uses the engine with the fewest requests in its last
       running list, which lags behind the engine's load. */
    PICK_POLICY_LEAST_LOAD,
} PickPolicy;

/* Whether jobs are placed by their own entry instead of a home. */
bool Pick_IsLocal(PickPolicy policy);
/* Whether a job is refused when its first token would miss its target. */
bool Pick_IsShedding(PickPolicy policy);
/* Finds the waiting job to place next; NULL if none waits. */
CellJob *Pick_FindNextJob(const Cell *cell, int64_t now_us);
/* Sets the job's engines. Returns false if the job must wait. */
bool Pick_ChooseEngines(CellJob *job, PickPolicy policy, int64_t now_us);
/* Predicts the time to the job's first token on idle engines, in
   microseconds; 0 if no engine is usable. */
int64_t Pick_PredictIdleFirstToken(const CellJob *job, int64_t now_us);
/* Predicts the time to the first token on the job's engines if the job is
   granted now, in microseconds. */
int64_t Pick_PredictFirstToken(const CellJob *job, int64_t now_us);
/* Predicts the time to the first token if the job queues now, in
   microseconds; 0 if no engine is usable. */
int64_t Pick_PredictQueuedFirstToken(const CellJob *job, int64_t now_us);

#endif
