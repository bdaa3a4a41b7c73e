/* Cell: a home's accounts of a cell: its engines, the jobs that wait and the
   jobs that were granted places. */
#ifndef LS_CELL_H
#define LS_CELL_H

#include "board.h"

#include <sys/queue.h>

#define CELL_PREFIX_TOKENS 512 /* Prefixes end at 1, 2, 4, ... of these. */
#define CELL_PREFIX_COUNT 7

/* What the home knows of one engine. */
typedef struct CellEngine {
    char id[CON_ID_MAX];
    ConUpstream spec;
    uint32_t slots_used;
    uint32_t blocks_used;
    uint32_t prefills; /* Granted and not yet ended. */
    uint32_t reported; /* Requests in its last running list... */
    uint32_t foreign;  /* ...and those of them that this home did not grant. */
    int64_t prefill_free_us; /* When its prefill queue should be empty. */
    int64_t down_until_us;
    int64_t blamed_us;      /* Of the last failure. */
    uint32_t failure_count; /* Failures since it last worked. */
    GHashTable *prefixes;   /* Prefix hash set. */
    GQueue *prefix_order;   /* Oldest first. */
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
    GArray *prefixes; /* guint64, longest last. */
    GPtrArray *avoid; /* char * */
    int64_t arrived_us;
    int64_t give_up_us; /* First token is of no use after this. */
    int64_t check_us;   /* When its caller is asked about again. */
    bool granted;
    bool prefilling;
    struct Cell *cell;
    CellEngine *prefill;
    CellEngine *decode;
    uint32_t blocks;
} CellJob;

typedef TAILQ_HEAD(CellJobList, CellJob) CellJobList;

typedef struct Cell {
    char name[CON_ID_MAX * 2];
    GPtrArray *engines;  /* CellEngine * of the configuration. */
    CellJobList waiting; /* By arrival. */
    guint waiting_count;
    double release_interval_us; /* Smoothed; 0 until known. */
    int64_t released_us;
    int64_t learn_until_us; /* A new home hears of grants in use first. */
    bool is_home;           /* As of the last look. */
    uint64_t turn;          /* Of the round-robin baseline. */
} Cell;

Cell *Cell_New(const char *name);
void Cell_Free(Cell *cell);
CellEngine *Cell_NewEngine(const char *id);
void Cell_FreeEngine(CellEngine *engine);
CellJob *Cell_NewJob(const char *entry, const char *request, uint32_t attempt);
/* Takes a job out of its cell, with what it was charged, and frees it. */
void Cell_FreeJob(CellJob *job);

void Cell_BeginWaiting(Cell *cell, CellJob *job);
/* Charges a job's places to its engines; it waits no longer. A job without a
   prefill engine is one taken over from another home. */
void Cell_ChargeJob(CellJob *job, int64_t now_us);
/* The job's prefill ended. */
void Cell_EndPrefill(CellJob *job, int64_t now_us);
/* Notes that an engine failed: it is left alone for a time that doubles with
   each failure, then tried with one job at a time until one is done. */
void Cell_RecordFailure(CellEngine *engine, int64_t now_us);
/* Notes that the job's engines worked. */
void Cell_ClearFailures(CellJob *job);
/* Notes that a place of the cell came free. */
void Cell_RecordRelease(Cell *cell, int64_t now_us);

/* Pieces of engine memory that the job needs. */
uint32_t Cell_CountBlocks(const CellJob *job, const ConUpstream *spec);
/* Time that the prefill takes on the engine, less what its cache holds. */
int64_t Cell_GetPrefillCost(const CellJob *job, const CellEngine *engine);

#endif
