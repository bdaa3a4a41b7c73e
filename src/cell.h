/* Cells (Cell_): keeps a home's accounts of one cell, which is the engines of
   one model in one region: the engines' used capacity, the waiting jobs and
   the charges of granted jobs. */
#ifndef LS_CELL_H
#define LS_CELL_H

#include "board.h"

#include <sys/queue.h>

/* A prompt is hashed in prefixes of 1, 2, 4, ... blocks of this many tokens,
   CELL_PREFIX_COUNT prefixes at most. */
#define CELL_PREFIX_TOKENS 512
#define CELL_PREFIX_COUNT 7

/* The home's account of one engine. */
typedef struct CellEngine {
    char id[CON_ID_MAX];
    ConUpstream spec;
    uint32_t slots_used;        /* Decode slots of granted jobs. */
    uint32_t blocks_used;       /* Memory blocks of granted jobs. */
    uint32_t prefills;          /* Prefills granted and not yet ended. */
    uint32_t reported_requests; /* Length of its last running list. */
    uint32_t foreign_requests;  /* Listed requests not granted by this home. */
    int64_t prefill_free_us;    /* Expected end of its prefill queue. */
    int64_t suspended_until_us; /* It gets no jobs before this time. */
    int64_t last_failure_us;    /* Time of the last failure; 0 if none. */
    uint32_t failure_count;     /* Failures since the last success. */
    GHashTable *prefixes;       /* Set of prefix hashes it has prefilled. */
    GQueue *prefix_order;       /* The same hashes, oldest first. */
} CellEngine;

/* One attempt of a completion at its home. */
typedef struct CellJob {
    TAILQ_ENTRY(CellJob) link;
    char key[BOARD_REQUEST_ID_MAX]; /* "request/attempt" */
    char request[BOARD_REQUEST_ID_MAX];
    char entry[CON_ID_MAX];
    uint32_t attempt;
    uint32_t context_tokens;
    uint32_t output_tokens;
    uint32_t priority;
    GArray *prefixes; /* guint64 hashes, longest prefix last */
    GPtrArray *avoid; /* char *, upstreams that failed earlier attempts */
    int64_t arrived_us;
    int64_t first_token_deadline_us; /* A waiting job is refused after it. */
    int64_t grant_check_us; /* Next check whether the grant is in use. */
    bool granted;
    bool prefilling; /* The prefill was granted and has not ended. */
    struct Cell *cell;
    CellEngine *prefill;
    CellEngine *decode;
    uint32_t blocks; /* Memory blocks charged to `decode`. */
} CellJob;

typedef TAILQ_HEAD(CellJobList, CellJob) CellJobList;

typedef struct Cell {
    char name[CON_ID_MAX * 2]; /* "model@region" */
    GPtrArray *engines;        /* CellEngine * in the configuration. */
    CellJobList waiting;       /* Jobs without a grant, by arrival. */
    guint waiting_count;
    double release_interval_us; /* Smoothed time between releases, or 0. */
    int64_t last_release_us;    /* Time of the last release; 0 if none. */
    int64_t no_grants_until_us; /* A new home grants nothing before it. */
    bool is_home;               /* Whether this VM acts as home. */
    uint64_t next_index;        /* Next engine by round robin. */
} Cell;

Cell *Cell_New(const char *name);
/* Frees a cell. Its jobs must be freed before it. */
void Cell_Free(Cell *cell);
CellEngine *Cell_NewEngine(const char *id);
void Cell_FreeEngine(CellEngine *engine);
CellJob *Cell_NewJob(const char *entry, const char *request, uint32_t attempt);
/* Removes a job from its cell, uncharges its engines and frees it. */
void Cell_FreeJob(CellJob *job);

/* Adds a job to the cell's waiting jobs. */
void Cell_BeginWaiting(Cell *cell, CellJob *job);
/* Removes a job from the waiting jobs and charges its slot, memory and prefill
   to its engines. A job granted by another home has no prefill engine. */
void Cell_ChargeJob(CellJob *job, int64_t now_us);
/* Records the end of the job's prefill. */
void Cell_EndPrefill(CellJob *job, int64_t now_us);
/* Suspends an engine that failed, for a time that doubles with each failure.
   Afterwards the engine gets one job at a time until one succeeds. */
void Cell_RecordFailure(CellEngine *engine, int64_t now_us);
/* Resets the failure counts of the job's engines after its success. */
void Cell_ClearFailures(CellJob *job);
/* Records the release of a granted job for the smoothed interval. */
void Cell_RecordRelease(Cell *cell, int64_t now_us);

/* Number of memory blocks that the job needs at the engine. */
uint32_t Cell_CountBlocks(const CellJob *job, const ConUpstream *spec);
/* Time of the job's prefill on the engine in microseconds, without the tokens
   that its prefix cache should hold. */
int64_t Cell_GetPrefillCost(const CellJob *job, const CellEngine *engine);

#endif
