/* Slo: service levels of each customer over sliding windows, for the report
   on service-level burn. */
#ifndef LS_SLO_H
#define LS_SLO_H

#include "board.h"

#define SLO_OBJECTIVE 0.95 /* Share of requests that must meet a target. */
#define SLO_SHORT_BUCKET_US                                                   \
    (60 * CLK_US_PER_S) /* One bucket of the last 5 min. */
#define SLO_LONG_BUCKET_US                                                    \
    (300 * CLK_US_PER_S) /* One bucket of the last 6 h. */
#define SLO_SHORT_BUCKETS 5
#define SLO_LONG_BUCKETS 72

typedef enum SloTarget {
    SLO_ANSWERED,    /* Not refused for want of capacity, not failed. */
    SLO_FIRST_TOKEN, /* Within the contract's first-token target. */
    SLO_PER_TOKEN,   /* Within its per-token target. */
    SLO_TARGET_COUNT,
} SloTarget;

typedef struct Slo Slo;

Slo *Slo_New(void);
void Slo_Free(Slo *slo);
/* Counts one request towards a target. */
void Slo_Count(Board *board, const char *customer, SloTarget target, bool met);
/* {"customer": {"target": {"300": [total, bad], "3600": ..., "21600": ...}}}
   with windows in seconds. */
json_t *Slo_Describe(const Board *board);

#endif
