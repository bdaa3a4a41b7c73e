/* Service levels (Slo_): counts how many of each customer's requests meet
   their targets over sliding windows, for the report on burn rates. */
#ifndef LS_SLO_H
#define LS_SLO_H

#include "board.h"

#define SLO_OBJECTIVE 0.95 /* Share of requests that must meet a target. */

/* Buckets of the 5 min window. */
#define SLO_SHORT_BUCKET_US (60 * CLK_US_PER_S)
#define SLO_SHORT_BUCKETS 5
/* Buckets of the 1 h and 6 h windows. */
#define SLO_LONG_BUCKET_US (300 * CLK_US_PER_S)
#define SLO_LONG_BUCKETS 72

typedef enum SloTarget {
    SLO_ANSWERED,    /* Not failed, and not refused for lack of capacity. */
    SLO_FIRST_TOKEN, /* Within the contract's first-token target. */
    SLO_PER_TOKEN,   /* Within the contract's per-token target. */
    SLO_TARGET_COUNT,
} SloTarget;

typedef struct Slo Slo;

Slo *Slo_New(void);
void Slo_Free(Slo *slo);
/* Counts one request towards a target. */
void Slo_Count(Board *board, const char *customer, SloTarget target, bool met);
/* Returns the counts as a new JSON object that the caller frees:
   {"customer": {"target": {"300": [total, missed], "3600": ...}}}, with the
   windows of 300, 3600 and 21600 seconds. */
json_t *Slo_Describe(const Board *board);

#endif
