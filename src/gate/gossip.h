/* Gossip (Gos_): exchanges load hints between the VMs of a deployment by
   datagram. Each VM sends the calls that it has running at each worker, so
   that every VM's choice of a worker counts the calls of all VMs, and the
   version of its configuration. In a small fleet it sends them to all VMs, in
   a larger one to the hubs of its region, which return tables (peers.h). All
   of it is a hint: a VM that receives no message still works correctly. VMs
   find each other through seed addresses. */
#ifndef LS_GOSSIP_H
#define LS_GOSSIP_H

#include "../clock.h"
#include "../decide/suspects.h"
#include "../errors.h"
#include "gate.h"
#include "load_report.h"
#include "lookup.h"
#include "origins.h"

#include <event2/event.h>

#define GOS_SEEDS_MAX 8

/* What a VM knows from the source (the store of configuration and workers). */
typedef struct GosVersions {
    uint64_t config_version;
    Pos position;    /* Of the newest change of workers. */
    uint64_t digest; /* Of the workers' entries. */
    bool watches;    /* It watches the source, which answers. */
} GosVersions;

/* Whose proof this VM needs that its configuration is the newest. */
typedef enum GosVouchNeed {
    GOS_VOUCH_NONE,
    GOS_VOUCH_NEAR, /* That of a VM of its region. */
    GOS_VOUCH_ALL,  /* That of any VM, urgently. */
} GosVouchNeed;

/* Proofs of other VMs, and for them (vouch.h). All callbacks are NULL, or
   none. */
typedef struct GosVouchOptions {
    void *context;
    GosVouchNeed (*get_need)(void *context);
    /* Stores the age of this VM's proof; false if there is none. */
    bool (*get_proof_age)(void *context, int64_t *age_us);
    /* Returns the time that counts for proofs. */
    int64_t (*get_now)(void *context);
    /* The VM at this peer address has the proof that its configuration, of
       these versions, was the newest at `proof_us`. Returns whether that was
       of use. */
    bool (*on_vouch)(void *context, const char *address, int64_t proof_us,
                     const GosVersions *versions);
    /* Another VM knows this era of the source. */
    void (*on_era)(void *context, uint64_t era);
} GosVouchOptions;

/* The strings, except those in `seeds`, are not copied: they must outlive the
   Gos. */
typedef struct GosOptions {
    struct event_base *base;
    const Clk *clk;
    const char *ip;
    uint16_t port; /* UDP; 0 takes any free port. */
    /* "IP:port" at which other VMs reach this one, if a translation of
       addresses or a proxy stands between; NULL: as above. */
    const char *advertised;
    const char *vm;
    const char *region;
    GHashTable *regions;  /* Zone to region, of all VMs; NULL: not known. */
    uint32_t capacity;    /* Processor share of the VM, permille: VMs with more
                             of it are preferred as hubs. */
    uint64_t incarnation; /* Random; differs with each start. */
    const char *seeds[GOS_SEEDS_MAX]; /* "IP:port"; copied. */
    guint seed_count;
    Fleet *fleet; /* Its workers' peer_* fields are set to the use that other
                     VMs report. */
    guint32 seed; /* Seed of the random number generator. */
    Suspects *suspects; /* Shared with the other VMs; NULL for none. */
    Origins *origins;   /* Shared with the other VMs; NULL for none. */
    AccountLoads *account_loads; /* The same. */
    void *context;
    /* Called when another VM changed the suspects. Must be set with them. */
    void (*on_suspects_change)(void *context);
    /* Called when another VM told a change of a worker's limit. NULL is
       allowed. */
    void (*on_limit_change)(void *context, const FleetWorker *worker);
    /* Stores the hashes of the services that this VM can't reach, up to `max`,
       and returns their number. NULL is allowed. */
    uint32_t (*list_cut)(void *context, uint64_t *services, uint32_t max);
    /* Stores what this VM tells of the workers that it hears, up to `max`
       services, and returns their number. NULL is allowed. */
    uint32_t (*list_reaches)(void *context, GateReach *reaches, uint32_t max);
    /* Called when another VM has told whether it hears workers of a service.
       NULL is allowed. */
    void (*on_reach)(void *context, const GateReach *reach);
    bool serves_detours; /* Requests of other VMs are served. */
    /* Whether this VM takes no requests of others. NULL is allowed. */
    bool (*is_stopping)(void *context);
    /* Brings this VM's forecasts of the workers' memory up to date. NULL is
       allowed. */
    void (*update_load)(void *context);
    /* Answers a question of another VM; as Lookup_Answer(). Both are NULL, or
       neither. */
    LookupAnswer (*answer_lookup)(void *context,
                                  const LookupQuestion *question,
                                  const Origin **origin);
    /* Called with another VM's answer to a question. */
    void (*on_lookup_answer)(void *context, uint64_t holder,
                             const LookupAnswer *answer);
    /* Lends parts of a retry budget to another VM: as Gate_Lend() and
       Gate_Borrow(). Both are NULL, or neither. */
    uint32_t (*lend)(void *context, uint64_t service, const BudgetAsk *ask);
    void (*borrow)(void *context, uint64_t service, uint32_t parts,
                   int64_t asked_us);
    GosVouchOptions vouch;
    /* Gets what this VM knows; NULL if on_peer_versions is NULL. */
    GosVersions (*get_versions)(void *context);
    /* Called when the VM at this peer address knows something else than this
       VM. NULL is allowed. */
    void (*on_peer_versions)(void *context, const char *address,
                             const GosVersions *versions);
} GosOptions;

typedef struct Gos Gos;

GosOptions Gos_DefaultOptions(void);
/* Binds the socket and begins to send. Returns NULL with *err filled in if
   the address can't be bound. */
Gos *Gos_New(const GosOptions *options, LsError *err);
void Gos_Free(Gos *gos); /* NULL is allowed. */
/* Replaces the seeds by "IP:port" addresses, of which the first GOS_SEEDS_MAX
   are copied. */
void Gos_SetSeeds(Gos *gos, const char *const *seeds, guint count);
/* Sends a message within 30 ms, since this VM's use of workers changed. */
void Gos_ScheduleUpdate(Gos *gos);
/* Returns the number of VMs that may be running, this one included: the peak
   of the last minute and at least 6, since a silent VM may still be running on
   the other side of a network partition. */
uint32_t Gos_CountVms(const Gos *gos);
/* Returns the most VMs that the fleet has ever had, as far as this VM or one
   that it heard knows; 0 if neither has heard a VM of each region. */
uint32_t Gos_GetMostVms(const Gos *gos);
/* Asks another VM for parts of calls of a service's retry budget, unless a
 * question is open or the last ones were in vain.
 */
void Gos_AskLoan(Gos *gos, const char *service, const BudgetAsk *ask);
/* This VM's load on a service, which is sent to the other VMs. All values are
   0 until it is set. */
void Gos_SetDemand(Gos *gos, const char *service, const ReportDemand *demand);
ReportDemand Gos_GetDemand(const Gos *gos, const char *service);
/* Sums the load that all live peers reported for a service. */
ReportDemand Gos_SumPeerDemand(const Gos *gos, const char *service);
/* The same sum over those live peers whose load this VM knows within some
   100 ms: all peers in a small deployment, those of its region in a large
   one. Stores the number of those peers in *count. */
ReportDemand Gos_SumNearDemand(const Gos *gos, const char *service,
                               uint32_t *count);
/* Returns this VM's part of the requests that VMs get for a service, 0 to 1.
   VMs that are silent count as getting as many as the others. */
double Gos_GetShare(const Gos *gos, const char *service);
/* Stores live VMs that reach the workers of a service, up to `max`, and
   returns their number. */
uint32_t Gos_ListServing(const Gos *gos, const char *service, GatePeer *to,
                         uint32_t max);
/* Stores the VMs that share the workers: all live VMs of a small fleet, the
   hubs of a large one. */
void Gos_ListHolders(const Gos *gos, Holders *holders);
/* Sends questions, up to LOOKUP_QUESTIONS_MAX, to another VM. */
void Gos_SendLookups(Gos *gos, uint64_t holder, const LookupQuestion *rows,
                     uint32_t count);
/* Whether this VM should watch the source itself: all VMs of a small
   deployment do, in a large one the hubs, and each VM that hears of no hub
   that does. */
bool Gos_NeedsSource(const Gos *gos);
/* Returns since when this VM has known what the others knew some 100 ms
   before: it was not stopped, and all VMs from which messages come, or the
   hubs, were heard. INT64_MAX if that does not hold now. A VM that knows of no
   other one is in step. */
int64_t Gos_GetStepTime(Gos *gos);
/* Whether a majority of the VMs that Gos_CountVms() counts are live. */
bool Gos_HasMajority(const Gos *gos);
/* Whether this VM is the key's home: the one with the highest rendezvous
   weight for the key among itself and its live peers; in a large deployment
   among the hubs of all regions. */
bool Gos_IsHome(const Gos *gos, const char *key);
/* Returns the number of other VMs from which messages arrive, or whose load is
   included in a hub's table. */
guint Gos_CountLivePeers(const Gos *gos);

#endif
