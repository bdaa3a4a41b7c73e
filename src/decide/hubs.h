/* Hubs: decides which VMs of a region collect the load of all its VMs and
   distribute it as tables, and how often.

   In a fleet of hundreds of VMs each VM serves few requests a second, but each
   of them changes the load of two workers several times. If every VM told each
   change to every other VM, messages would grow with the square of the fleet
   and exceed the requests by far. So each VM tells its changes only to the
   hubs of its region, and gets one table for all of them in return. */
#ifndef LS_HUBS_H
#define LS_HUBS_H

#include <stdbool.h>
#include <stdint.h>

/* Hubs of a region. Each has the load of the whole region, so that one can
   replace the other at once. */
#define HUBS_PER_REGION 2
/* A fleet with more VMs than this uses hubs; in a smaller one each VM sends
   its load to all others, which is faster. */
#define HUBS_MESH_VMS_MAX 16
/* A hub that sent no table for this long is replaced; it sends one each
   HUBS_PERIOD_MAX_MS or more often to VMs that asked for all of them. */
#define HUBS_TIMEOUT_MS 600
/* The same for the second hub, which sends one in HUBS_STANDBY_PERIODS. */
#define HUBS_STANDBY_TIMEOUT_MS 2000
#define HUBS_STANDBY_PERIODS 5
/* Limits of the time between two tables. */
#define HUBS_PERIOD_MIN_MS 40
#define HUBS_PERIOD_MAX_MS 120
/* One in so many tables goes to the hubs of other regions, and tables of other
   regions are passed on as rarely: they decide only on work that the own
   region has no capacity for. */
#define HUBS_REMOTE_PERIODS 3
/* A VM is no candidate any more if nobody heard it for this long. */
#define HUBS_CANDIDATE_MAX_AGE_MS 5000

typedef struct HubsCandidate {
    uint64_t address;
    uint32_t capacity; /* Processor share of the VM, permille. */
} HubsCandidate;

/* The best candidates of a region, best first. */
typedef struct HubsChoice {
    HubsCandidate hubs[HUBS_PER_REGION];
    uint32_t count;
} HubsChoice;

/* Whether `a` is preferred to `b`: by capacity, so that small VMs are spared,
   and then by a hash of the address, on which all VMs agree. */
bool Hubs_IsPreferred(const HubsCandidate *a, const HubsCandidate *b);
/* Inserts a candidate if it is among the best. */
void Hubs_Offer(HubsChoice *choice, const HubsCandidate *candidate);
/* Whether the address is among the chosen. */
bool Hubs_Contains(const HubsChoice *choice, uint64_t address);
/* Returns the hub from which the VM at `address` wants each table; 0 if there
   is none. The VMs divide themselves among the hubs. */
uint64_t Hubs_GetPrimary(const HubsChoice *choice, uint64_t address);
/* Returns the time between two tables of a hub, so that its messages grow less
   than the number of VMs that want them. */
uint32_t Hubs_GetPeriodMs(uint32_t subscribers);

#endif
