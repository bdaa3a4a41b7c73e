/* Cap: limits what one client account sends over all VMs, without a place
   that decides for all of them.

   An account's callers use few VMs or many, and other ones within a second.
   A fixed share for each VM rejects requests within the cap, and a share of a
   small cap may be less than one request. So there are no shares: each VM
   keeps its own estimate of one token bucket that is common to all, and
   thins the requests with the same probability as all others do.

   Each VM counts the units that callers request of it and those that it
   admits, as rates with a memory of CAP_MEMORY_US, and reports them. The
   estimate grows by the cap's rate and shrinks by what all VMs admit. With
   enough left, all requests are admitted. Below that, a request is admitted
   with the probability rate / requested by all, which is lowered while more
   was admitted than the cap allows.

   Reports arrive up to half a second late, and the first units of a sudden
   overload are admitted by VMs that don't know of each other yet. The bound
   therefore exceeds the cap, and a part of that excess (CapOptions.reserve)
   keeps the thinning away from requests within the cap: a burst that the cap
   allows, or the usual variation near its rate, leads to no rejection.

   A VM that hears only some of the others counts on the same part of the
   rate, the burst and the reserve, so that the parts of a divided fleet keep
   the bound together. */
#ifndef LS_CAP_H
#define LS_CAP_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Memory of the reported rates. */
#define CAP_MEMORY_US (300 * CLK_US_PER_MS)
/* An overshoot is given back within this time. */
#define CAP_GIVE_BACK_US (2 * CLK_US_PER_S)
/* Share of the rate that is admitted whatever the overshoot was. */
#define CAP_GIVE_BACK_MIN 0.25
/* Above this share of the burst all requests are admitted. */
#define CAP_FREE_SHARE (1.0 / 3.0)
/* Share of the permitted excess that is not kept for late reports. */
#define CAP_RESERVE_SHARE (1.0 / 3.0)
/* Priorities that are told apart; lower ones count as the last. */
#define CAP_PRIORITIES 8
/* Memory of the mix of priorities: a few requests of each at a VM with one
   request a second. */
#define CAP_MIX_US (5 * CLK_US_PER_S)
/* Share of the probability that each priority gets at least. */
#define CAP_PRIORITY_MIN 0.25

typedef struct CapOptions {
    double rate_per_s; /* Over all VMs, units. */
    double burst;      /* Units beyond the rate. */
    double reserve;    /* Units below 0 at which thinning begins. */
} CapOptions;

/* What the other VMs report. */
typedef struct CapOthers {
    double asked_per_s;
    /* Less than 0 while they give back more than they admit. */
    double admitted_per_s;
    /* Part of the fleet that this VM hears, itself included, 0 to 1. */
    double share;
} CapOthers;

typedef struct CapRates {
    double asked_per_s;
    double admitted_per_s;
} CapRates;

/* Slots of the time for which heard VMs are remembered. A division of the
   fleet that lasts longer gives each part the whole cap; VMs that are gone for
   good lower the cap of the others for so long. */
#define CAP_HEARD_SLOTS 10
#define CAP_HEARD_SLOT_US (6 * CLK_US_PER_S)
/* With at least this part of the VMs heard, the whole cap counts: VMs start
   and end, and single messages get lost. */
#define CAP_HEARD_SHARE 0.8

/* How many VMs were heard lately. All zero at the start. */
typedef struct CapHearing {
    uint32_t most[CAP_HEARD_SLOTS]; /* In each slot. */
    int64_t slot;                   /* Number of the last one. */
} CapHearing;

/* Estimate of one account at one VM. All times are those of the runtime clock
   with suspended time added. */
typedef struct Cap {
    CapOptions options;
    CapOthers others;
    double level; /* Units that may be sent at once; less than 0 after an
                     overshoot. */
    int64_t level_us;
    CapRates told; /* This VM's, as of told_us; they decay since. */
    int64_t told_us;
    /* Units since the last report. They enter the rates with the next one, so
       that other VMs count each unit once, whenever it came. */
    double new_asked;
    double new_admitted;
    double mix[CAP_PRIORITIES]; /* Recent units requested, by priority. */
    int64_t mix_us;
} Cap;

/* Returns the reserve for a bound of (rate x window + burst) x (1 + excess).
 */
double Cap_GetReserve(double rate_per_s, double burst, double excess,
                      int64_t window_us);
/* `is_empty`: what was sent before is not known, as after a restart. */
void Cap_Init(Cap *cap, const CapOptions *options, bool is_empty,
              int64_t now_us);
/* Changes the cap. A level above the new burst is cut to it. */
void Cap_SetOptions(Cap *cap, const CapOptions *options, int64_t now_us);
void Cap_SetOthers(Cap *cap, const CapOthers *others, int64_t now_us);
/* Returns the part of the requests of this many units that is admitted now. */
double Cap_GetProbability(const Cap *cap, double amount, int64_t now_us);
/* Counts a request of this many units, and returns whether it is admitted; it
   counts as sent then. `draw`: a random number, 0 up to but not 1.
   `probability`: gets that of the request; may be NULL. */
bool Cap_Admit(Cap *cap, double amount, uint32_t priority, double draw,
               int64_t now_us, double *probability);
/* Counts a request as requested and admitted by this VM, which the cap does
   not limit. */
void Cap_NoteSent(Cap *cap, double amount, int64_t now_us);
/* Gives an admitted request back that did not run. */
void Cap_GiveBack(Cap *cap, double amount, int64_t now_us);
/* Returns this VM's rates for a report that is sent now. */
CapRates Cap_Report(Cap *cap, int64_t now_us);
/* Returns what is left of the rates of the last report. */
CapRates Cap_GetTold(const Cap *cap, int64_t now_us);
/* Notes how many VMs are heard now, this one included, and returns the part of
   the fleet. `most_vms`: the most that it ever had; 0: not known. */
double Cap_NoteHeard(CapHearing *hearing, uint32_t vms, uint32_t most_vms,
                     int64_t now_us);
/* Returns the estimated units left. */
double Cap_GetLevel(const Cap *cap, int64_t now_us);
/* Returns what all VMs are asked for, units a second. */
double Cap_GetAsked(const Cap *cap, int64_t now_us);
/* Returns the time until all requests are admitted if no more are sent. */
int64_t Cap_GetFreeTime(const Cap *cap, int64_t now_us);
/* Whether the account is unused at all VMs, so that a new estimate would be
   the same. */
bool Cap_IsIdle(const Cap *cap, int64_t now_us);

#endif
