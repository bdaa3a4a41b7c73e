/* Worker pace (WorkerPace_): measures how long work takes at the workers,
   learns their pace and limits from it (decide/pace.h), and gives them to the
   choice of workers. It changes choices only for services whose workers differ
   or tell their pace. */
#ifndef LS_WORKER_PACE_H
#define LS_WORKER_PACE_H

#include "task.h"

/* What this VM knows of the workers of a service together. */
typedef struct WorkerPaceService {
    /* Intervals between events, or times of calls, at the usual pace. */
    PaceFit fit;
    PaceRelation relation;
    double mean_log; /* Mean of the logarithms of the workers' step paces. */
    bool is_uneven;  /* Workers differ or tell their pace. */
    /* Listed workers by phase. */
    uint32_t workers[FLEET_PHASE_DECODE + 1];
    int64_t checked_us;
} WorkerPaceService;

/* How a choice is spread over the workers, as in decide/pace.h. */
typedef struct WorkerPaceSpread {
    bool is_used;
    bool is_sample; /* Only random ones are looked at, set by the caller. */
    uint32_t candidates;
    int64_t scale_us;
} WorkerPaceSpread;

/* Returns the task's service's row. */
WorkerPaceService *WorkerPace_Find(GateTask *task);

/* Each of the following takes note of a measurement. */

/* A prompt was read; the answer began or ended `took_us` after the call. */
void WorkerPace_NoteRead(TaskCall *call, int64_t took_us);
/* An event of the call's stream came. */
void WorkerPace_NoteEvent(TaskCall *call);
/* The answer to a plain call began; waiting is subtracted from `took_us`. */
void WorkerPace_NoteCall(TaskCall *call, double took_us);
/* A worker told its load. */
void WorkerPace_NoteLoad(TaskCall *call);

/* Notes that the worker has refused a reservation for lack of room, or granted
   one. */
void WorkerPace_NoteRefusal(GateTask *task, FleetWorker *worker);
void WorkerPace_NoteGrant(FleetWorker *worker);
/* Whether the worker refused another VM just now. Streams that have begun ask
   it nevertheless. */
bool WorkerPace_IsToldFull(const GateTask *task, const FleetWorker *worker);

/* Sets what the ranking needs to know of the worker's pace. */
void WorkerPace_FillRank(const GateTask *task, const FleetWorker *worker,
                         int64_t now_us, RankWorker *rank);
/* Returns how choices in a phase are spread over the workers. */
WorkerPaceSpread WorkerPace_GetSpread(GateTask *task, FleetPhase phase);

#endif
