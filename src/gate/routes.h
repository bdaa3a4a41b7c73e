/* Route table (Rte_): the routes and services of one configuration version.
   A table is immutable once it is in force; each request keeps a reference to
   the table with which it began. */
#ifndef LS_ROUTES_H
#define LS_ROUTES_H

#include "account.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Levels of priority of one service that are told apart. */
#define RTE_LEVELS_MAX 4

typedef enum RteKind {
    RTE_IDEMPOTENT,     /* A request may run more than once. */
    RTE_NON_IDEMPOTENT, /* A request runs at most once. */
    RTE_STREAM, /* The response is a stream of server-sent events. A request
                   runs at most once unless the route can resume. */
} RteKind;

typedef struct RteBackend {
    char *service;
    uint32_t weight;
} RteBackend;

typedef struct RteRoute {
    char *name;
    char *host;
    char *prefix; /* Begins and ends with a slash. */
    RteKind kind;
    uint32_t timeout_ms;
    uint32_t slo_ms;   /* Latency objective; for streams, time to the first
                          event. */
    uint32_t gap_ms;   /* Longest time between two events of a stream that
                          meets the objective. */
    uint32_t attempts; /* Maximum number of workers that run a request. */
    bool can_resume;   /* A broken stream may continue at another worker. */
    uint32_t priority; /* 0 is the most urgent, or ACC_PRIORITY_NONE. */
    bool is_public;    /* Callers need no key. */
    GArray *backends;  /* RteBackend elements, at least one. */
} RteRoute;

/* The properties that all workers of a service share. */
typedef struct RteService {
    char *name;
    bool is_engine;     /* The workers run a model and have KV memory. */
    uint32_t kv_tokens; /* KV memory of one worker, tokens. */
    uint32_t tokens_per_event; /* Tokens in one event of a stream. */
    uint32_t handle_ttl_ms;    /* How long a worker keeps the KV memory of a
                                  prefilled prompt. */
    uint32_t lease_max_ms;     /* Longest reservation of KV memory; 0: workers
                                  don't support reservations. */
    /* Different priorities among the service's routes and accounts, the most
       urgent first; those beyond the last one count as it. One where all
       requests are alike. */
    uint32_t levels[RTE_LEVELS_MAX];
    uint32_t level_count;
    uint32_t least_slo_ms; /* Shortest objective of its routes; 0: none. */
} RteService;

/* Limits on callers' requests. */
typedef struct RteLimits {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_ms; /* Longest time from the first byte of a request to the
                           end of its header. */
    uint32_t idle_ms;   /* Longest wait for a request or a part of a body. */
} RteLimits;

typedef struct RteTable {
    uint64_t version;
    RteLimits limits;
    GHashTable *hosts;    /* Lower-case host to GPtrArray of RteRoute, longest
                             prefix first. */
    GHashTable *services; /* Name to RteService. */
    AccTable *accounts;   /* NULL: callers need no key. */
    bool has_plain_keys;  /* The source's text has keys, not digests only. */
    guint route_count;
    gint refs;
} RteTable;

/* Returns an empty table with one reference, which the caller owns. */
RteTable *Rte_New(uint64_t version);
RteTable *Rte_Ref(RteTable *table);
void Rte_Unref(RteTable *table); /* NULL is allowed. */
/* Both copy their argument, which stays the caller's to free. A service
   replaces one of the same name. */
void Rte_AddRoute(RteTable *table, const RteRoute *route);
void Rte_AddService(RteTable *table, const RteService *service);
/* Computes the levels of all services, once the table is complete. */
void Rte_SetLevels(RteTable *table);
/* Returns the level, from 0 on, of a request of this priority. */
uint32_t Rte_GetLevel(const RteService *service, uint32_t priority);
/* Returns the host's route with the longest prefix that matches the path, or
   NULL. The host's port and the path's query are ignored. The route belongs to
   the table. */
const RteRoute *Rte_FindRoute(const RteTable *table, const char *host,
                              const char *path);
/* Returns NULL if there is no such service. */
const RteService *Rte_FindService(const RteTable *table, const char *name);
/* Finds a service by the hash of its name, as messages between VMs name it;
   NULL if there is none, or no table (NULL). */
const RteService *Rte_FindServiceByHash(const RteTable *table, uint64_t hash);
/* Returns the name of one of the route's services, chosen in proportion to
   the weights. The name belongs to the route. */
const char *Rte_ChooseService(const RteRoute *route, uint32_t random_value);

#endif
