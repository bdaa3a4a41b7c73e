/* Edge: one VM's process at the edge: its listeners, its gate, its readiness,
   and how it stops. Where configuration and workers come from, and how
   callers and workers speak, is given to it. */
#ifndef LS_EDGE_H
#define LS_EDGE_H

#include "feed.h"
#include "gate.h"
#include "gos.h"
#include "pol.h"

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
    GHashTable *regions; /* Zone to region; kept by the caller. */
    EdgeEndpoint callers;
    EdgeEndpoint health; /* Answers `ready_path`. */
    const char *ready_path;
    EdgeEndpoint peers; /* Other VMs, UDP and TCP; port 0: none. */
    const char *seeds[GOS_SEEDS_MAX]; /* "IP:port" of some VMs' `peers`. */
    guint seed_count;
    EdgeEndpoint metrics; /* Port 0: none. Answers /metrics. */
    uint32_t notice_ms;   /* From not being ready to the last new request. */
    uint32_t grace_ms;    /* From the stop signal to the kill. */
    BudOptions budget;
    uint32_t lease_ms; /* Two VMs must not give orders within it. */
    guint32 seed;
    void *context;
    /* Whether the source itself answers this VM. */
    bool (*is_source_heard)(void *context);
} EdgeOptions;

typedef struct Edge Edge;

EdgeOptions Edge_DefaultOptions(void);
Edge *Edge_New(const EdgeOptions *options, LsError *err); /* Listens. */
void Edge_Free(Edge *edge);
Cli *Edge_GetCli(Edge *edge);
Flt *Edge_GetFleet(Edge *edge);
Gate *Edge_GetGate(Edge *edge);
uint16_t Edge_GetPort(const Edge *edge); /* Callers. */
Feed *Edge_GetFeed(Edge *edge);          /* For what the source says. */
/* Takes over settings that may change while the process runs. */
void Edge_SetBudget(Edge *edge, const BudOptions *budget);
void Edge_SetSeeds(Edge *edge, const char *const *seeds, guint count);
/* Stops taking work; the loop ends once nothing is cut off, or in time. */
void Edge_BeginShutdown(Edge *edge);

#endif
