/* Bud: the budget of calls beyond the first of each request, which all VMs
   share without talking about each call.

   Answers: a failing service, whose requests would all be sent again and so
   keep it down; and a burst that one VM meets while the peer_usage' parts lie
   idle. Over a sliding window the fleet may send `ratio` x its requests +
   `slack` such calls. VMs that all hear each other at once are a group: they
   have the group's part together. Each counts what the peer_usage used, and
   takes what is left in rounds: in each no more than an even share, so that
   all together can't take more than is left before they hear of it. A VM that
   hears no other keeps to its own part. */
#ifndef LS_BUD_H
#define LS_BUD_H

#include "../clk.h"

#include <stdbool.h>
#include <stdint.h>

#define BUD_BUCKETS 10 /* Parts of a window that are counted apart. */
#define BUD_SAFETY_FACTOR                                                     \
    0.75 /* Of the fleet's budget; views of VMs differ. */
/* A round: the time in which each VM hears of what the peer_usage used. */
#define BUD_ROUND_US (400 * CLK_US_PER_MS)
#define BUD_ROUND_EXTRAS_MAX 64 /* Extra calls of one VM in a round. */

typedef struct BudOptions {
    double ratio;
    double slack;
    int64_t window_us;
    int64_t started_us; /* Start of the process. What the one before it used is
                        not known: the slack grows over the first window. */
} BudOptions;

typedef struct BudBucket {
    int64_t number; /* Of the step since the clock's zero. */
    uint32_t requests;
    uint32_t extras;
} BudBucket;

/* What the other VMs of the group did within the last window. */
typedef struct BudPeerUsage {
    uint32_t vm_count;   /* VMs that share the budget, this one too. */
    uint32_t peer_count; /* Others of the group. */
    double requests;
    double extras;
} BudPeerUsage;

/* One service's budget on this VM. */
typedef struct Bud {
    BudOptions options;
    BudBucket buckets[2 * BUD_BUCKETS];
    int64_t extra_times_us[BUD_ROUND_EXTRAS_MAX]; /* Times of the last extra
                                                     calls. */
    uint32_t extra_index;
} Bud;

BudOptions Bud_DefaultOptions(void);
void Bud_Init(Bud *bud, const BudOptions *options);
void Bud_NoteRequest(Bud *bud, int64_t now_us);
/* Counts an extra call, or takes back one that was not sent after all. */
void Bud_NoteExtra(Bud *bud, int64_t now_us);
void Bud_CancelExtra(Bud *bud, int64_t now_us);
/* Extra calls that this VM may send now. */
uint32_t Bud_GetRemaining(const Bud *bud, const BudPeerUsage *peer_usage,
                          int64_t now_us);
/* This VM's requests and extra calls of the last window. */
void Bud_GetUsed(const Bud *bud, int64_t now_us, double *requests,
                 double *extras);

#endif
