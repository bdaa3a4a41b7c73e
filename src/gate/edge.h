/* Edge: one VM's gate process, with its listeners, readiness check, metrics
   and shutdown. The caller supplies the source of configuration and workers
   and the codec for callers and workers. */
#ifndef LS_EDGE_H
#define LS_EDGE_H

#include "feed.h"
#include "gate.h"
#include "gossip.h"
#include "pool_control.h"

typedef struct EdgeEndpoint {
    const char *ip;
    uint16_t port;
} EdgeEndpoint;

typedef struct EdgeOptions {
    struct event_base *base;
    const Clk *clk;
    const GateCodec *codec;
    const FeedDecoder *decoder;
    const char *vm;
    const char *zone;
    GHashTable *regions;  /* Zone to region; owned by the caller. */
    uint32_t capacity;    /* Processor share of the VM, permille. */
    uint32_t memory_mb;   /* Memory limit of the VM; 0: unknown. */
    EdgeEndpoint callers; /* Listens for callers' requests. */
    EdgeEndpoint health;  /* Answers `ready_path` with 200 or 503. */
    const char *ready_path;
    EdgeEndpoint peers;     /* Other VMs, UDP and TCP; port 0 disables it. */
    const char *advertised; /* As in GosOptions. */
    const char *seeds[GOS_SEEDS_MAX]; /* "IP:port" of other VMs' `peers`. */
    guint seed_count;
    EdgeEndpoint metrics; /* Answers /metrics; port 0 disables it. */
    /* Time until the load balancer sends no more requests to a VM that is not
       ready. */
    uint32_t notice_ms;
    uint32_t grace_ms; /* Time from the stop signal to the kill. */
    BudgetOptions budget;
    /* Longest use of a removed key after the source has acknowledged its
       removal: a VM that can't prove that its configuration is recent accepts
       no key. 0: the configuration in force decides. */
    uint32_t revoke_ms;
    AccountLoadOptions quota;
    FleetOptions fleet;
    /* Time within which orders to workers must come from one VM. */
    uint32_t lease_ms;
    guint32 seed;
    void *context;
    /* Returns when a stop signal may have been sent that the loop has not
       handled yet, or 0; NULL is allowed. */
    int64_t (*get_stop_signal)(void *context);
    /* Whether the source of configuration and workers itself answers this VM;
       data from another VM doesn't count. */
    bool (*is_source_reachable)(void *context);
} EdgeOptions;

typedef struct Edge Edge;

EdgeOptions Edge_DefaultOptions(void);
/* Listens at all endpoints. Returns NULL with *err filled in if it can't. */
Edge *Edge_New(const EdgeOptions *options, LsError *err);
void Edge_Free(Edge *edge); /* NULL is allowed. */
/* The edge owns what the following functions return. */
Client *Edge_GetClient(Edge *edge);
Fleet *Edge_GetFleet(Edge *edge);
Gate *Edge_GetGate(Edge *edge);
uint16_t Edge_GetPort(const Edge *edge); /* Port for callers. */
Feed *Edge_GetFeed(Edge *edge);          /* Accepts the source's data. */
/* Whether this VM should watch the source for changes. Otherwise it gets them
   from a VM that does, once it has read the source completely. */
bool Edge_NeedsSource(const Edge *edge);
/* Edge_SetBudget() and Edge_SetSeeds() change settings while the process
   runs. */
void Edge_SetBudget(Edge *edge, const BudgetOptions *budget);
void Edge_SetSeeds(Edge *edge, const char *const *seeds, guint count);
/* Begins the shutdown at a signal that was not sent before `signal_us`, or
   just now if that is 0: the health endpoint answers 503. After `notice_ms`,
   the edge stops listening, and the loop ends when no request is in progress.
   Shortly before `grace_ms` has passed since the signal, the remaining
   requests are ended, and the loop ends. */
void Edge_BeginShutdown(Edge *edge, int64_t signal_us);

#endif
