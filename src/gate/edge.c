/* Edge: process of a gate on one VM. See edge.h. */
#include "edge.h"

#include "../io/loop.h"
#include "../log.h"
#include "../metrics.h"
#include "access.h"
#include "edge_gossip.h"
#include "relay.h"
#include "shutdown.h"
#include "slow_reader.h"
#include "vouch.h"

#include <string.h>

/* Interval between removals of workers that left the source some time ago. */
#define EDGE_PRUNE_INTERVAL_MS 5000
/* A VM that watches the source, but is behind another VM for longer than this,
   asks that VM: its own watch may be lost. */
#define EDGE_BEHIND_MAX_US (900 * CLK_US_PER_MS)
/* In this time after its start a VM reads the source itself: if hundreds of
   VMs start together and ask each other for complete snapshots, the copies
   fill their memory and links. */
#define EDGE_FIRST_READ_US (1500 * CLK_US_PER_MS)
#define EDGE_METRICS_PATH "/metrics"

struct Edge {
    EdgeOptions options;
    UnreadSum unread; /* Of all responses. */
    Client *client;
    Fleet *fleet;
    Gate *gate;
    Gos *gossip; /* NULL without other VMs. */
    Feed *feed;
    Relay *relay; /* NULL without other VMs. */
    Vouch vouch;
    PoolControl *pools; /* NULL without other VMs, as their load is unknown. */
    Server *callers;
    Server *health;
    Server *metrics;
    Shutdown *shutdown;
    struct event *prune_timer;
    int64_t began_us;
    /* What this VM knew when it learned that another VM knows something newer,
       and the time of that. */
    GosVersions behind;
    int64_t behind_us;
};

static void on_limits(void *context, const RteLimits *limits);
static void on_health(void *context, ServerExchange *exchange);
static void on_metrics(void *context, ServerExchange *exchange);
static void on_caller_request(void *context, ServerExchange *exchange);
static void on_caller_disconnect(void *context, ServerExchange *exchange);
static void ignore_disconnect(void *context, ServerExchange *exchange);
static void prepare_shutdown(Edge *edge);
static void on_prune(evutil_socket_t fd, short what, void *context);
static bool start_servers(Edge *edge, LsError *err);
static bool start_peering(Edge *edge, LsError *err);
static uint32_t get_vm_count(void *context);
static void ask_loan(void *context, const char *service, const BudgetAsk *ask);
static double get_share(void *context, const char *service);
static void on_budget_change(void *context, const char *service,
                             double requests, double extras);
static void get_peer_rooms(void *context, const char *service,
                           ReportRooms *rooms);
static void on_rooms_change(void *context, const char *service,
                            const ReportRooms *rooms);
static void on_load_change(void *context);
static uint32_t list_peers(void *context, const char *service, GatePeer *peers,
                           uint32_t max);
static int64_t get_step_time(void *context);
static void list_holders(void *context, Holders *holders);
static void send_lookups(void *context, uint64_t holder,
                         const LookupQuestion *rows, uint32_t count);
static bool is_stopping(void *context);
static GosVersions get_versions(void *context);
static void on_peer_versions(void *context, const char *address,
                             const GosVersions *versions);

EdgeOptions
Edge_DefaultOptions(void)
{
    GateOptions gate = Gate_DefaultOptions();
    EdgeOptions options = {
        .callers = {.ip = "127.0.0.1"},
        .health = {.ip = "127.0.0.1"},
        .ready_path = "/ready",
        .peers = {.ip = "127.0.0.1"},
        .metrics = {.ip = "127.0.0.1"},
        .notice_ms = 3000,
        .grace_ms = 8000,
        .lease_ms = 3000,
        .budget = gate.budget,
        .quota = gate.quota,
        .fleet = Fleet_DefaultOptions(),
    };
    return options;
}

Edge *
Edge_New(const EdgeOptions *options, LsError *err)
{
    Edge *edge = g_new0(Edge, 1);
    GateOptions gate = Gate_DefaultOptions();
    FeedOptions feed = {0};

    edge->options = *options;
    edge->began_us = Clk_Now(options->clk);
    edge->client = Client_New(options->base, options->clk);
    edge->fleet = Fleet_New(&options->fleet);
    gate.base = options->base;
    gate.clk = options->clk;
    gate.client = edge->client;
    gate.fleet = edge->fleet;
    gate.codec = options->codec;
    gate.vm = options->vm;
    gate.zone = options->zone;
    gate.regions = options->regions;
    gate.budget = options->budget;
    gate.quota = options->quota;
    gate.seed = options->seed;
    gate.revoke_us = options->revoke_ms * CLK_US_PER_MS;
    gate.context = edge;
    gate.get_vm_count = get_vm_count;
    gate.ask_loan = ask_loan;
    gate.get_share = get_share;
    gate.on_budget_change = on_budget_change;
    gate.get_peer_rooms = get_peer_rooms;
    gate.on_rooms_change = on_rooms_change;
    gate.on_load_change = on_load_change;
    gate.list_peers = list_peers;
    if (options->peers.port != 0) {
        gate.list_holders = list_holders;
        gate.get_step_time = get_step_time;
        gate.send_lookups = send_lookups;
    }
    edge->gate = Gate_New(&gate);
    feed.clk = options->clk;
    feed.gate = edge->gate;
    feed.fleet = edge->fleet;
    feed.decoder = options->decoder;
    feed.context = edge;
    feed.on_limits = on_limits;
    edge->feed = Feed_New(&feed);
    edge->prune_timer = evtimer_new(options->base, on_prune, edge);
    Loop_ArmTimer(edge->prune_timer, EDGE_PRUNE_INTERVAL_MS);

    if (!start_servers(edge, err) ||
        (options->peers.port != 0 && !start_peering(edge, err))) {
        Edge_Free(edge);
        return NULL;
    }
    prepare_shutdown(edge);
    return edge;
}

void
Edge_Free(Edge *edge)
{
    if (edge == NULL) {
        return;
    }
    PoolControl_Free(edge->pools);
    if (edge->gate != NULL) {
        /* Some requests came from other VMs, by the relay. */
        Gate_EndAll(edge->gate);
    }
    Relay_Free(edge->relay);
    Feed_Free(edge->feed);
    Gate_Free(edge->gate);
    Gos_Free(edge->gossip);
    Server_Free(edge->callers);
    Server_Free(edge->health);
    Server_Free(edge->metrics);
    Client_Free(edge->client);
    Fleet_Free(edge->fleet);
    Shutdown_Free(edge->shutdown);
    event_free(edge->prune_timer);
    g_free(edge);
}

Client *
Edge_GetClient(Edge *edge)
{
    return edge->client;
}

Fleet *
Edge_GetFleet(Edge *edge)
{
    return edge->fleet;
}

Gate *
Edge_GetGate(Edge *edge)
{
    return edge->gate;
}

uint16_t
Edge_GetPort(const Edge *edge)
{
    return Server_GetPort(edge->callers);
}

Feed *
Edge_GetFeed(Edge *edge)
{
    return edge->feed;
}

void
Edge_SetBudget(Edge *edge, const BudgetOptions *budget)
{
    Gate_SetBudget(edge->gate, budget);
}

void
Edge_SetSeeds(Edge *edge, const char *const *seeds, guint count)
{
    if (edge->gossip != NULL) {
        Gos_SetSeeds(edge->gossip, seeds, count);
    }
}

void
Edge_BeginShutdown(Edge *edge, int64_t signal_us)
{
    Shutdown_Begin(edge->shutdown,
                   signal_us != 0 ? signal_us : Clk_Now(edge->options.clk));
}

/* Starts the listeners for callers, health checks and metrics. */
static bool
start_servers(Edge *edge, LsError *err)
{
    const EdgeOptions *options = &edge->options;
    ServerOptions callers = Server_DefaultOptions();
    ServerOptions health = Server_DefaultOptions();

    callers.base = options->base;
    callers.clk = options->clk;
    callers.ip = options->callers.ip;
    callers.port = options->callers.port;
    callers.context = edge;
    callers.on_request = on_caller_request;
    callers.on_disconnect = on_caller_disconnect;
    SlowReader_SetBounds(&callers, &edge->unread, options->memory_mb);
    edge->callers = Server_New(&callers, err);

    health.base = options->base;
    health.clk = options->clk;
    health.context = edge;
    health.on_disconnect = ignore_disconnect;
    if (edge->callers != NULL) {
        health.ip = options->health.ip;
        health.port = options->health.port;
        health.on_request = on_health;
        edge->health = Server_New(&health, err);
    }
    if (edge->health != NULL && options->metrics.port != 0) {
        health.ip = options->metrics.ip;
        health.port = options->metrics.port;
        health.on_request = on_metrics;
        edge->metrics = Server_New(&health, err);
    }
    return edge->callers != NULL && edge->health != NULL &&
           (options->metrics.port == 0 || edge->metrics != NULL);
}

/* Prepares the stop, which needs all parts of the edge. */
static void
prepare_shutdown(Edge *edge)
{
    ShutdownOptions shutdown = {
        .base = edge->options.base,
        .clk = edge->options.clk,
        .codec = edge->options.codec,
        .gate = edge->gate,
        .callers = edge->callers,
        .relay = edge->relay,
        .notice_ms = edge->options.notice_ms,
        .grace_ms = edge->options.grace_ms,
    };

    edge->shutdown = Shutdown_New(&shutdown);
}

static bool
start_peering(Edge *edge, LsError *err)
{
    GosOptions gossip = Gos_DefaultOptions();
    PoolControlOptions pools = PoolControl_DefaultOptions();
    RelayOptions relay = Relay_DefaultOptions();

    gossip.base = edge->options.base;
    gossip.clk = edge->options.clk;
    gossip.ip = edge->options.peers.ip;
    gossip.port = edge->options.peers.port;
    gossip.advertised = edge->options.advertised;
    gossip.vm = edge->options.vm;
    gossip.region =
        g_hash_table_lookup(edge->options.regions, edge->options.zone);
    gossip.region = gossip.region != NULL ? gossip.region : "";
    gossip.regions = edge->options.regions;
    gossip.capacity = edge->options.capacity;
    gossip.seed = edge->options.seed;
    gossip.incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
    gossip.seed_count = edge->options.seed_count;
    memcpy(gossip.seeds, edge->options.seeds, sizeof(gossip.seeds));
    gossip.fleet = edge->fleet;
    gossip.suspects = Gate_GetSuspects(edge->gate);
    gossip.origins = Gate_GetOrigins(edge->gate);
    gossip.account_loads = Gate_GetAccountLoads(edge->gate);
    gossip.context = edge;
    EdgeGossip_SetCallbacks(&gossip);
    gossip.serves_detours = true;
    gossip.is_stopping = is_stopping;
    gossip.get_versions = get_versions;
    gossip.on_peer_versions = on_peer_versions;
    edge->vouch = (Vouch){.gate = edge->gate, .feed = edge->feed};
    Vouch_SetOptions(&edge->vouch, &gossip);
    edge->gossip = Gos_New(&gossip, err);
    relay.base = edge->options.base;
    relay.clk = edge->options.clk;
    relay.client = edge->client;
    relay.feed = edge->feed;
    relay.gate = edge->gate;
    relay.unread = &edge->unread;
    relay.ip = edge->options.peers.ip;
    relay.port = edge->options.peers.port;
    edge->relay = edge->gossip != NULL ? Relay_New(&relay, err) : NULL;
    if (edge->relay == NULL) {
        return false;
    }
    edge->vouch.relay = edge->relay;
    pools.base = edge->options.base;
    pools.clk = edge->options.clk;
    pools.client = edge->client;
    pools.fleet = edge->fleet;
    pools.gate = edge->gate;
    pools.gossip = edge->gossip;
    pools.codec = edge->options.codec;
    pools.vm = edge->options.vm;
    pools.lease_ms = edge->options.lease_ms;
    pools.context = edge->options.context;
    pools.is_source_reachable = edge->options.is_source_reachable;
    edge->pools = PoolControl_New(&pools);
    return true;
}

static uint32_t
get_vm_count(void *context)
{
    const Edge *edge = context;

    return edge->gossip != NULL ? Gos_GetMostVms(edge->gossip) : 1;
}

static void
ask_loan(void *context, const char *service, const BudgetAsk *ask)
{
    const Edge *edge = context;

    if (edge->gossip != NULL) {
        Gos_AskLoan(edge->gossip, service, ask);
    }
}

static double
get_share(void *context, const char *service)
{
    const Edge *edge = context;

    return edge->gossip != NULL ? Gos_GetShare(edge->gossip, service) : 1.0;
}

static void
on_budget_change(void *context, const char *service, double requests,
                 double extras)
{
    Edge *edge = context;

    if (edge->gossip != NULL) {
        ReportDemand row = Gos_GetDemand(edge->gossip, service);
        row.requests = requests;
        row.extras = extras;
        Gos_SetDemand(edge->gossip, service, &row);
    }
}

static void
get_peer_rooms(void *context, const char *service, ReportRooms *rooms)
{
    const Edge *edge = context;

    if (edge->gossip != NULL) {
        *rooms = Gos_SumPeerDemand(edge->gossip, service).rooms;
    }
}

static void
on_rooms_change(void *context, const char *service, const ReportRooms *rooms)
{
    Edge *edge = context;

    if (edge->gossip != NULL) {
        ReportDemand row = Gos_GetDemand(edge->gossip, service);
        row.rooms = *rooms;
        Gos_SetDemand(edge->gossip, service, &row);
    }
}

static void
on_load_change(void *context)
{
    Edge *edge = context;

    if (edge->gossip != NULL) {
        Gos_ScheduleUpdate(edge->gossip);
    }
}

static uint32_t
list_peers(void *context, const char *service, GatePeer *peers, uint32_t max)
{
    const Edge *edge = context;

    return edge->gossip != NULL
               ? Gos_ListServing(edge->gossip, service, peers, max)
               : 0;
}

static int64_t
get_step_time(void *context)
{
    const Edge *edge = context;

    return Gos_GetStepTime(edge->gossip);
}

static void
list_holders(void *context, Holders *holders)
{
    const Edge *edge = context;

    Gos_ListHolders(edge->gossip, holders);
}

static void
send_lookups(void *context, uint64_t holder, const LookupQuestion *rows,
             uint32_t count)
{
    const Edge *edge = context;

    Gos_SendLookups(edge->gossip, holder, rows, count);
}

static bool
is_stopping(void *context)
{
    const Edge *edge = context;

    return Shutdown_HasBegun(edge->shutdown);
}

static GosVersions
get_versions(void *context)
{
    const Edge *edge = context;
    const Snapshot *snapshot = Feed_GetSnapshot(edge->feed);
    GosVersions versions = {
        .config_version = Snapshot_GetVersion(snapshot),
        .position = Snapshot_GetPosition(snapshot),
        .digest = Snapshot_GetDigest(snapshot),
        .watches = Gos_NeedsSource(edge->gossip) &&
                   !Snapshot_IsSweeping(snapshot) &&
                   edge->options.is_source_reachable(edge->options.context),
    };

    return versions;
}

/* Fetches the snapshot of another VM that knows something newer, unless this
   VM learns it by itself: it watches the source, which answers, and has not
   been behind for long. */
static void
on_peer_versions(void *context, const char *address,
                 const GosVersions *versions)
{
    Edge *edge = context;
    GosVersions own = get_versions(edge);
    int64_t now_us = Clk_Now(edge->options.clk);
    bool is_newer = versions->config_version > own.config_version ||
                    Pos_IsBefore(own.position, versions->position);

    if (own.position.revision == 0 &&
        now_us - edge->began_us < EDGE_FIRST_READ_US) {
        return;
    }
    if (is_newer && (edge->behind_us == 0 ||
                     edge->behind.config_version != own.config_version ||
                     !Pos_IsEqual(edge->behind.position, own.position))) {
        edge->behind = own;
        edge->behind_us = now_us;
    }
    if (is_newer &&
        (!own.watches || now_us - edge->behind_us > EDGE_BEHIND_MAX_US)) {
        Relay_FetchSnapshot(edge->relay, address, own.position);
    }
    else if (!own.watches && versions->watches &&
             Pos_IsEqual(versions->position, own.position) &&
             versions->digest != own.digest) {
        /* A change was missed, so all entries are needed. */
        Relay_FetchSnapshot(edge->relay, address, (Pos){0});
    }
}

bool
Edge_NeedsSource(const Edge *edge)
{
    return edge->gossip == NULL || Gos_NeedsSource(edge->gossip) ||
           Vouch_NeedsSource(edge->gate);
}

static void
on_limits(void *context, const RteLimits *limits)
{
    Edge *edge = context;
    ServerLimits caller_limits = {
        .header_bytes = limits->header_bytes,
        .body_bytes = limits->body_bytes,
        .header_ms = limits->header_ms,
        .idle_ms = limits->idle_ms,
    };

    Server_SetLimits(edge->callers, &caller_limits);
    if (edge->relay != NULL) {
        Relay_SetLimits(edge->relay, &caller_limits);
    }
}

static void
on_health(void *context, ServerExchange *exchange)
{
    Edge *edge = context;
    bool ready = !Shutdown_HasBegun(edge->shutdown) &&
                 Gate_GetTable(edge->gate) != NULL;

    if (strcmp(exchange->target, edge->options.ready_path) != 0) {
        Server_SendResponse(exchange, 404, NULL, "", 0);
        return;
    }
    Server_SendResponse(exchange, ready ? 200 : 503, NULL, "", 0);
}

static void
on_metrics(void *context, ServerExchange *exchange)
{
    const Edge *edge = context;
    char *text;

    if (strcmp(exchange->target, EDGE_METRICS_PATH) != 0) {
        Server_SendResponse(exchange, 404, NULL, "", 0);
        return;
    }
    text = Access_FormatMetrics(edge->gate);
    Server_SendResponse(exchange, 200, NULL, text, strlen(text));
    g_free(text);
}

/* Requests that are read in the same step as the stop signal are taken only as
   after it. */
static void
on_caller_request(void *context, ServerExchange *exchange)
{
    Edge *edge = context;
    const EdgeOptions *options = &edge->options;
    int64_t signal_us = options->get_stop_signal != NULL
                            ? options->get_stop_signal(options->context)
                            : 0;

    if (signal_us != 0) {
        Edge_BeginShutdown(edge, signal_us);
    }
    Gate_OnRequest(edge->gate, exchange);
}

static void
on_caller_disconnect(void *context, ServerExchange *exchange)
{
    const Edge *edge = context;

    Gate_OnDisconnect(edge->gate, exchange);
}

static void
ignore_disconnect(void *context, ServerExchange *exchange)
{
    (void)context;
    (void)exchange;
}

static void
on_prune(evutil_socket_t fd, short what, void *context)
{
    Edge *edge = context;

    (void)fd;
    (void)what;
    Fleet_Prune(edge->fleet, Clk_Now(edge->options.clk));
    Loop_ArmTimer(edge->prune_timer, EDGE_PRUNE_INTERVAL_MS);
}
