/* Budget: limits the calls that the VMs send beyond the first call of each
   request, without coordination for each call.

   A failing service would stay down if every failed request were sent again.
   On the other hand, a burst at one VM must be able to use what the other VMs
   leave unused. Over a sliding window the fleet may send `ratio` x its
   requests + `slack` extra calls. VMs that exchange gossip directly with each
   other form a group, which shares the group's part of the budget. Each VM
   subtracts what its peers used and spends the rest in rounds: at most an even
   share in each round, so that the group can't overspend before its members
   learn of each other's calls. A VM without reachable peers uses its own part
   only. */
#ifndef LS_BUDGET_H
#define LS_BUDGET_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BUDGET_BUCKETS 10 /* Buckets of the sliding window. */
/* Share of the fleet's budget that the VMs may use, as their counts differ. */
#define BUDGET_SAFETY_FACTOR 0.75
/* Length of a round: the time in which each VM learns what its peers used. */
#define BUDGET_ROUND_US (400 * CLK_US_PER_MS)
/* Extra calls of one VM that are counted in a round, at most. */
#define BUDGET_ROUND_EXTRAS_MAX 64

typedef struct BudgetOptions {
    double ratio; /* Extra calls allowed for each request. */
    double slack; /* Extra calls of the fleet allowed in any window. */
    int64_t window_us;
    /* Start of the process. The usage before a restart is unknown, so the
       slack grows from 0 to its full value over the first window. */
    int64_t started_us;
} BudgetOptions;

typedef struct BudgetBucket {
    /* Number of the bucket since the clock's zero, from 1 on; 0 if unused. */
    int64_t number;
    uint32_t requests;
    uint32_t extras;
} BudgetBucket;

/* Usage of the other VMs of the group within the last window. */
typedef struct BudgetPeerUsage {
    uint32_t vm_count;   /* VMs of the fleet, with this one. */
    uint32_t peer_count; /* Other VMs of the group. */
    double requests;
    double extras;
} BudgetPeerUsage;

/* Budget of one service on this VM. */
typedef struct Budget {
    BudgetOptions options;
    BudgetBucket buckets[2 * BUDGET_BUCKETS];
    int64_t extra_times_us[BUDGET_ROUND_EXTRAS_MAX]; /* Last extra calls. */
    uint32_t extra_index; /* Next index in extra_times_us, before modulo. */
} Budget;

BudgetOptions Budget_DefaultOptions(void);
void Budget_Init(Budget *budget, const BudgetOptions *options);
void Budget_NoteRequest(Budget *budget, int64_t now_us);
void Budget_NoteExtra(Budget *budget, int64_t now_us);
/* Undoes Budget_NoteExtra() for a call of which nothing was sent. Has no
   effect if no extra call was counted in the current bucket. */
void Budget_CancelExtra(Budget *budget, int64_t now_us);
/* Returns how many extra calls this VM may send now. */
uint32_t Budget_GetRemaining(const Budget *budget,
                             const BudgetPeerUsage *peer_usage,
                             int64_t now_us);
/* Gets this VM's requests and extra calls of the last window. */
void Budget_GetUsed(const Budget *budget, int64_t now_us, double *requests,
                    double *extras);

#endif
