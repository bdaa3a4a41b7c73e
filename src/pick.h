/* Pick: chooses the engines and the order of a cell's jobs, and predicts
   first tokens. Pure: it reads accounts and changes none. */
#ifndef LS_PICK_H
#define LS_PICK_H

#include "cell.h"

/* How engines are chosen. All but the first are baselines. */
typedef enum PickPolicy {
    PICK_POLICY_RESERVE,     /* Home reserves decode before prefill. */
    PICK_POLICY_NO_RESERVE,  /* Home places at once, reserving nothing. */
    PICK_POLICY_ROUND_ROBIN, /* Each entry takes engines in turn. */
    PICK_POLICY_LEAST_LOAD,  /* Each entry goes by lagged reports. */
} PickPolicy;

/* Whether jobs are placed at their own entry instead of a home. */
bool Pick_IsLocal(PickPolicy policy);
/* Whether jobs may be refused for a first token that would come too late. */
bool Pick_IsShedding(PickPolicy policy);
/* The waiting job to be placed next, or NULL. */
CellJob *Pick_FindNextJob(const Cell *cell, int64_t now_us);
/* Chooses the job's engines. Returns false when it must wait. */
bool Pick_ChooseEngines(CellJob *job, PickPolicy policy, int64_t now_us);
/* Time until the job's first token if nothing else had to be done. */
int64_t Pick_PredictIdleFirstToken(const CellJob *job, int64_t now_us);
/* Time until the first token on the engines chosen, if granted now. */
int64_t Pick_PredictFirstToken(const CellJob *job, int64_t now_us);
/* Time until the job's first token if it joins the queue now. */
int64_t Pick_PredictQueuedFirstToken(const CellJob *job, int64_t now_us);

#endif
