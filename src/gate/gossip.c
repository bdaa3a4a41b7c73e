#include "gossip.h"

#include "../io/loop.h"
#include "../log.h"
#include "../metrics.h"
#include "../ownership.h"
#include "gossip.pb-c.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* Time between messages while nothing changes. */
#define GOS_INTERVAL_MS 250
/* Time from a change to the message about it. */
#define GOS_UPDATE_DELAY_MS 30
/* Mean number of VMs of other regions that one message is sent to. */
#define GOS_REMOTE_FANOUT 8
/* A near peer counts as live until eight intervals passed without a message
   from it. */
#define GOS_LIVE_TIMEOUT_US (2 * CLK_US_PER_S)
/* The use of workers that a near peer reported is dropped at this age. */
#define GOS_USE_TIMEOUT_US (1200 * CLK_US_PER_MS)
/* A peer that is not near has the time of a near peer, and in addition the
   time in which this many messages are expected from it. */
#define GOS_REMOTE_ROUNDS 4
/* A peer that no message came from or mentioned for this long is removed; the
   VM count remembers its peak for as long. */
#define GOS_FORGET_US (60 * CLK_US_PER_S)
#define GOS_SEED_INTERVALS 8 /* Intervals between messages to all seeds. */
/* Lowest VM count to assume; it holds before any message came, too. */
#define GOS_VMS_MIN 6
#define GOS_MAJORITY_RATIO 0.6 /* Share of the VMs that is a majority. */
#define GOS_USES_MAX 48        /* Workers in one message. */
#define GOS_PEERS_MAX 6        /* Addresses of other VMs in one message. */
#define GOS_DEMANDS_MAX 8      /* Services in one message. */
/* Largest message; a datagram of this size fits the usual networks without
   fragmentation. */
#define GOS_MESSAGE_MAX_BYTES 1400

/* A peer's calls at one worker, as its last message reported them. */
typedef struct GosUse {
    FleetWorker *worker;
    uint32_t inflight;
    uint64_t prefill_tokens;
    uint64_t kv_tokens;
    bool unreachable;  /* The peer can't reach the worker. */
    bool phase_change; /* The peer ordered the worker to change its phase. */
} GosUse;

typedef struct GosDemandRow {
    uint64_t service; /* Hash of the service's name. */
    GosDemand demand;
} GosDemandRow;

typedef struct GosPeer {
    LIST_ENTRY(GosPeer) links;
    uint64_t address;
    uint64_t incarnation;
    uint64_t previous_incarnation; /* Late messages of it are ignored. */
    uint32_t sequence;             /* Number of the last message. */
    uint32_t region;               /* Hash of the region's name. */
    int64_t received_us;  /* Time of the last message from it; 0: none yet. */
    int64_t mentioned_us; /* Last time that any message named it. */
    char vm[FLEET_NAME_MAX];
    GArray *uses;    /* GosUse elements. */
    GArray *demands; /* GosDemandRow elements. */
} GosPeer;

struct Gos {
    GosOptions options;
    int fd;
    uint64_t address;   /* IPv4 address << 16 | port. */
    uint32_t region;    /* Hash of the region's name. */
    uint32_t sequence;  /* Number of the last message sent. */
    uint32_t intervals; /* Regular messages sent. */
    guint remote_count; /* Peers of other regions or of an unknown region. */
    uint64_t seeds[GOS_SEEDS_MAX]; /* Addresses; 0 for none. */
    GRand *rand;
    GArray *demands; /* GosDemandRow elements of this VM. */
    struct event *readable;
    struct event *timer;
    bool update_pending; /* The timer is set for a change. */
    LIST_HEAD(GosPeerList, GosPeer) peers;
    uint32_t peak_vms; /* Highest recent VM count, this VM included. */
    int64_t peak_us;   /* Time of that count. */
};

static void on_readable(evutil_socket_t fd, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void handle_message(Gos *gos, const Gossip__News *message);
static void replace_uses(Gos *gos, GosPeer *peer, const Gossip__News *message);
static void drop_uses(GosPeer *peer);
static void free_peer(GosPeer *peer);
static void send_message(Gos *gos, bool is_regular);
static void send_to(Gos *gos, uint64_t address, const uint8_t *data,
                    size_t size);
static size_t pack_message(Gos *gos, uint8_t *data);
static bool is_near(const Gos *gos, const GosPeer *peer);
static int64_t get_timeout_us(const Gos *gos, const GosPeer *peer,
                              int64_t near_us);
static bool is_live(const Gos *gos, const GosPeer *peer, int64_t now_us);
static GosPeer *get_or_add_peer(Gos *gos, uint64_t address);
static void expire_peers(Gos *gos);
static GosDemand sum_demand(const Gos *gos, const char *service,
                            bool near_only, uint32_t *count);
static void add_demand(const GArray *rows, uint64_t service, GosDemand *sum);
static uint64_t parse_address(const char *text);
static uint64_t hash_text(const char *text);

GosOptions
Gos_DefaultOptions(void)
{
    GosOptions options = {.ip = "127.0.0.1", .vm = "", .region = ""};
    return options;
}

Gos *
Gos_New(const GosOptions *options, LsError *err)
{
    Gos *gos = g_new0(Gos, 1);
    struct sockaddr_in local = {.sin_family = AF_INET,
                                .sin_port = htons(options->port)};
    socklen_t size = sizeof(local);

    gos->options = *options;
    gos->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (inet_pton(AF_INET, options->ip, &local.sin_addr) != 1 || gos->fd < 0 ||
        bind(gos->fd, (struct sockaddr *)&local, sizeof(local)) != 0) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN,
                "can't bind a UDP socket to %s:%u", options->ip,
                options->port);
        if (gos->fd >= 0) {
            close(gos->fd);
        }
        g_free(gos);
        return NULL;
    }
    getsockname(gos->fd, (struct sockaddr *)&local, &size);
    gos->address = (uint64_t)ntohl(local.sin_addr.s_addr) << 16 |
                   (uint64_t)ntohs(local.sin_port);
    gos->region = (uint32_t)hash_text(options->region);
    gos->rand = g_rand_new_with_seed(options->seed);
    Gos_SetSeeds(gos, options->seeds, options->seed_count);
    gos->demands = g_array_new(FALSE, FALSE, sizeof(GosDemandRow));
    gos->peak_vms = GOS_VMS_MIN;
    gos->peak_us = Clk_Now(options->clk);
    LIST_INIT(&gos->peers);
    gos->readable = event_new(options->base, gos->fd, EV_READ | EV_PERSIST,
                              on_readable, gos);
    event_add(gos->readable, NULL);
    gos->timer = evtimer_new(options->base, on_timer, gos);
    Loop_ArmTimer(gos->timer, 0);
    return gos;
}

void
Gos_Free(Gos *gos)
{
    if (gos == NULL) {
        return;
    }
    while (!LIST_EMPTY(&gos->peers)) {
        GosPeer *peer = LIST_FIRST(&gos->peers);
        drop_uses(peer);
        free_peer(peer);
    }
    g_array_free(gos->demands, TRUE);
    event_free(gos->readable);
    event_free(gos->timer);
    g_rand_free(gos->rand);
    close(gos->fd);
    g_free(gos);
}

void
Gos_SetSeeds(Gos *gos, const char *const *seeds, guint count)
{
    memset(gos->seeds, 0, sizeof(gos->seeds));
    for (guint i = 0; i < count && i < GOS_SEEDS_MAX; i++) {
        gos->seeds[i] = parse_address(seeds[i]);
    }
}

void
Gos_ScheduleUpdate(Gos *gos)
{
    if (!gos->update_pending) {
        gos->update_pending = true;
        Loop_ArmTimer(gos->timer, GOS_UPDATE_DELAY_MS);
    }
}

guint
Gos_CountLivePeers(const Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    const GosPeer *peer;
    guint count = 0;

    LIST_FOREACH(peer, &gos->peers, links)
    {
        count += is_live(gos, peer, now_us);
    }
    return count;
}

void
Gos_SetDemand(Gos *gos, const char *service, const GosDemand *demand)
{
    GosDemandRow row = {hash_text(service), *demand};

    for (guint i = 0; i < gos->demands->len; i++) {
        GosDemandRow *old = &g_array_index(gos->demands, GosDemandRow, i);
        if (old->service == row.service) {
            *old = row;
            return;
        }
    }
    g_array_append_val(gos->demands, row);
}

GosDemand
Gos_GetDemand(const Gos *gos, const char *service)
{
    GosDemand demand = {0};

    add_demand(gos->demands, hash_text(service), &demand);
    return demand;
}

GosDemand
Gos_SumNearDemand(const Gos *gos, const char *service, uint32_t *count)
{
    return sum_demand(gos, service, true, count);
}

bool
Gos_HasMajority(const Gos *gos)
{
    return Gos_CountLivePeers(gos) + 1 >=
           GOS_MAJORITY_RATIO * Gos_CountVms(gos);
}

GosDemand
Gos_SumPeerDemand(const Gos *gos, const char *service)
{
    uint32_t count;

    return sum_demand(gos, service, false, &count);
}

bool
Gos_IsHome(const Gos *gos, const char *key)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    uint64_t own_weight = Own_GetWeight(key, gos->options.vm);
    const GosPeer *peer;

    LIST_FOREACH(peer, &gos->peers, links)
    {
        if (is_live(gos, peer, now_us) &&
            Own_GetWeight(key, peer->vm) > own_weight) {
            return false;
        }
    }
    return true;
}

/* Sums the demand of the live peers, or only of the near ones among them, and
   stores the number of peers in the sum in *count. */
static GosDemand
sum_demand(const Gos *gos, const char *service, bool near_only,
           uint32_t *count)
{
    uint64_t hash = hash_text(service);
    int64_t now_us = Clk_Now(gos->options.clk);
    GosDemand sum = {0};
    const GosPeer *peer;

    *count = 0;
    LIST_FOREACH(peer, &gos->peers, links)
    {
        if (is_live(gos, peer, now_us) && (!near_only || is_near(gos, peer))) {
            add_demand(peer->demands, hash, &sum);
            (*count)++;
        }
    }
    return sum;
}

static void
add_demand(const GArray *rows, uint64_t service, GosDemand *sum)
{
    for (guint i = 0; i < rows->len; i++) {
        const GosDemandRow *row = &g_array_index(rows, GosDemandRow, i);
        if (row->service == service) {
            sum->prompt_per_us += row->demand.prompt_per_us;
            sum->kv_tokens += row->demand.kv_tokens;
            sum->requests += row->demand.requests;
            sum->extras += row->demand.extras;
        }
    }
}

uint32_t
Gos_CountVms(const Gos *gos)
{
    return MAX(gos->peak_vms, Gos_CountLivePeers(gos) + 1);
}

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    uint8_t data[GOS_MESSAGE_MAX_BYTES + 1];
    ssize_t size;

    (void)what;
    while ((size = recv(fd, data, sizeof(data), 0)) >= 0) {
        Gossip__News *message = gossip__news__unpack(NULL, (size_t)size, data);
        Met_Add(MET_PEER_BYTES_RECEIVED, (uint64_t)size);
        if (message == NULL) {
            Met_Add(MET_PEER_FRAMES_BAD, 1);
            continue;
        }
        handle_message(gos, message);
        gossip__news__free_unpacked(message, NULL);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    bool is_regular = !gos->update_pending;

    (void)fd;
    (void)what;
    gos->update_pending = false;
    expire_peers(gos);
    send_message(gos, is_regular);
    Loop_ArmTimer(gos->timer, GOS_INTERVAL_MS);
}

static void
handle_message(Gos *gos, const Gossip__News *message)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);
    GosPeer *peer;

    if (message->address == 0 || message->address == gos->address) {
        return;
    }
    peer = get_or_add_peer(gos, message->address);
    if (message->incarnation == peer->previous_incarnation ||
        (message->incarnation == peer->incarnation &&
         message->number <= peer->sequence)) {
        return; /* The message is late or a duplicate. */
    }
    if (message->incarnation != peer->incarnation) {
        peer->previous_incarnation = peer->incarnation;
        peer->incarnation = message->incarnation;
    }
    if (!is_live(gos, peer, now_us)) {
        Log_WriteJson(LOG_LEVEL_INFO, "peer_heard",
                      json_pack("{s:s,s:I}", "peer", message->vm, "silent_us",
                                (json_int_t)(peer->received_us != 0
                                                 ? now_us - peer->received_us
                                                 : 0)));
    }
    peer->sequence = message->number;
    peer->region = message->region;
    g_strlcpy(peer->vm, message->vm, sizeof(peer->vm));
    g_array_set_size(peer->demands, 0);
    for (size_t i = 0; i < message->n_demands; i++) {
        const Gossip__Demand *from = message->demands[i];
        GosDemandRow row = {
            from->service,
            {from->prompt_per_us, from->held, from->requests, from->extras}};
        g_array_append_val(peer->demands, row);
    }
    peer->received_us = now_us;
    peer->mentioned_us = now_us;
    replace_uses(gos, peer, message);
    for (size_t i = 0; i < message->n_peers; i++) {
        if (message->peers[i] != gos->address) {
            get_or_add_peer(gos, message->peers[i])->mentioned_us = now_us;
        }
    }
    if (options->on_newer_peer != NULL &&
        (message->config_version >
             options->get_config_version(options->context) ||
         message->revision > options->get_revision(options->context))) {
        struct in_addr ip = {.s_addr =
                                 htonl((uint32_t)(message->address >> 16))};
        char ip_text[INET_ADDRSTRLEN];
        char address[FLEET_ADDRESS_MAX];

        inet_ntop(AF_INET, &ip, ip_text, sizeof(ip_text));
        g_snprintf(address, sizeof(address), "%s:%u", ip_text,
                   (unsigned)(message->address & UINT16_MAX));
        options->on_newer_peer(options->context, address,
                               message->config_version, message->revision);
    }
}

static void
replace_uses(Gos *gos, GosPeer *peer, const Gossip__News *message)
{
    drop_uses(peer);
    for (size_t i = 0; i < message->n_uses; i++) {
        const Gossip__Use *from = message->uses[i];
        FleetWorker *worker =
            Fleet_FindByHash(gos->options.fleet, from->worker);
        GosUse use = {worker,     from->inflight, from->reading,
                      from->held, from->silent,   from->changing};

        if (worker == NULL) {
            continue;
        }
        Fleet_Ref(worker);
        worker->peer_inflight += use.inflight;
        worker->peer_prefill_tokens += use.prefill_tokens;
        worker->peer_kv_tokens += use.kv_tokens;
        worker->peer_unreachable += use.unreachable;
        worker->peer_phase_changes += use.phase_change;
        g_array_append_val(peer->uses, use);
    }
}

static void
drop_uses(GosPeer *peer)
{
    for (guint i = 0; i < peer->uses->len; i++) {
        GosUse *use = &g_array_index(peer->uses, GosUse, i);
        use->worker->peer_inflight -= use->inflight;
        use->worker->peer_prefill_tokens -= use->prefill_tokens;
        use->worker->peer_kv_tokens -= use->kv_tokens;
        use->worker->peer_unreachable -= use->unreachable;
        use->worker->peer_phase_changes -= use->phase_change;
        Fleet_Unref(use->worker);
    }
    g_array_set_size(peer->uses, 0);
}

static void
free_peer(GosPeer *peer)
{
    LIST_REMOVE(peer, links);
    g_array_free(peer->uses, TRUE);
    g_array_free(peer->demands, TRUE);
    g_free(peer);
}

/* Sends to all peers of this region and to a random share of the others. One
   in GOS_SEED_INTERVALS regular messages, and each one while no peer is known,
   goes to all seeds as well, so that VMs find each other at the start and
   again after a network partition. */
static void
send_message(Gos *gos, bool is_regular)
{
    uint8_t data[GOS_MESSAGE_MAX_BYTES];
    size_t size = pack_message(gos, data);
    GosPeer *peer;

    gos->remote_count = 0;
    LIST_FOREACH(peer, &gos->peers, links)
    {
        gos->remote_count +=
            peer->region != gos->region || peer->received_us == 0;
    }
    LIST_FOREACH(peer, &gos->peers, links)
    {
        if ((peer->received_us != 0 && peer->region == gos->region) ||
            g_rand_double(gos->rand) * gos->remote_count < GOS_REMOTE_FANOUT) {
            send_to(gos, peer->address, data, size);
        }
    }
    if (is_regular && (gos->intervals++ % GOS_SEED_INTERVALS == 0 ||
                       LIST_EMPTY(&gos->peers))) {
        for (guint i = 0; i < GOS_SEEDS_MAX; i++) {
            if (gos->seeds[i] != 0 && gos->seeds[i] != gos->address) {
                send_to(gos, gos->seeds[i], data, size);
            }
        }
    }
}

static void
send_to(Gos *gos, uint64_t address, const uint8_t *data, size_t size)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)(address & UINT16_MAX)),
        .sin_addr.s_addr = htonl((uint32_t)(address >> 16)),
    };

    /* A datagram that can't be sent now is dropped, as if the network had lost
       it: the next message carries the full state again. */
    if (sendto(gos->fd, data, size, 0, (struct sockaddr *)&to, sizeof(to)) >
        0) {
        Met_Add(MET_PEER_BYTES_SENT, size);
    }
}

static size_t
pack_message(Gos *gos, uint8_t *data)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);
    Gossip__News message = GOSSIP__NEWS__INIT;
    Gossip__Use rows[GOS_USES_MAX];
    Gossip__Use *uses[GOS_USES_MAX];
    Gossip__Demand demand_rows[GOS_DEMANDS_MAX];
    Gossip__Demand *demands[GOS_DEMANDS_MAX];
    uint64_t peers[GOS_PEERS_MAX];
    GosPeer *peer;

    message.vm = (char *)options->vm;
    message.incarnation = options->incarnation;
    message.number = ++gos->sequence;
    message.address = gos->address;
    message.region = gos->region;
    if (options->get_config_version != NULL) {
        message.config_version = options->get_config_version(options->context);
        message.revision = options->get_revision(options->context);
    }
    message.uses = uses;
    for (guint i = 0;
         i < options->fleet->rows->len && message.n_uses < GOS_USES_MAX; i++) {
        const FleetWorker *worker = g_ptr_array_index(options->fleet->rows, i);
        bool unreachable = Health_IsBlocked(&worker->health, now_us);
        Gossip__Use *row = &rows[message.n_uses];
        bool phase_change = now_us < worker->phase_change_until_us;
        if (worker->inflight == 0 && worker->kv_tokens == 0 && !unreachable &&
            !phase_change) {
            continue;
        }
        gossip__use__init(row);
        row->worker = worker->hash;
        row->inflight = worker->inflight;
        row->reading = (uint32_t)worker->prefill_tokens;
        row->held = (uint32_t)worker->kv_tokens;
        row->silent = unreachable;
        row->changing = phase_change;
        uses[message.n_uses++] = row;
    }
    message.peers = peers;
    LIST_FOREACH(peer, &gos->peers, links)
    {
        /* The message holds a random few: once it is full, a later peer may
           replace an earlier one. */
        guint at =
            message.n_peers < GOS_PEERS_MAX
                ? (guint)message.n_peers
                : (guint)g_rand_int_range(gos->rand, 0, 2 * GOS_PEERS_MAX);
        if (is_live(gos, peer, now_us) && at < GOS_PEERS_MAX) {
            peers[at] = peer->address;
            message.n_peers = MAX(message.n_peers, at + 1);
        }
    }
    message.demands = demands;
    for (guint i = 0; i < gos->demands->len && i < GOS_DEMANDS_MAX; i++) {
        const GosDemandRow *from =
            &g_array_index(gos->demands, GosDemandRow, i);
        gossip__demand__init(&demand_rows[i]);
        demand_rows[i].service = from->service;
        demand_rows[i].prompt_per_us = (float)from->demand.prompt_per_us;
        demand_rows[i].held = (float)from->demand.kv_tokens;
        demand_rows[i].requests = (float)from->demand.requests;
        demand_rows[i].extras = (float)from->demand.extras;
        demands[message.n_demands++] = &demand_rows[i];
    }
    /* Uses are dropped until the message fits. */
    while (gossip__news__get_packed_size(&message) > GOS_MESSAGE_MAX_BYTES &&
           message.n_uses > 0) {
        message.n_uses--;
    }
    return gossip__news__pack(&message, data);
}

/* Whether the peer gets every message of this VM, and this VM every message
   of the peer. */
static bool
is_near(const Gos *gos, const GosPeer *peer)
{
    return peer->region == gos->region ||
           gos->remote_count <= GOS_REMOTE_FANOUT;
}

/* Returns how long the peer may be silent, given the time `near_us` for a near
   peer. A peer that gets only a share of the messages has more time. */
static int64_t
get_timeout_us(const Gos *gos, const GosPeer *peer, int64_t near_us)
{
    if (is_near(gos, peer)) {
        return near_us;
    }
    return near_us + (int64_t)GOS_REMOTE_ROUNDS * gos->remote_count /
                         GOS_REMOTE_FANOUT * GOS_INTERVAL_MS * CLK_US_PER_MS;
}

static bool
is_live(const Gos *gos, const GosPeer *peer, int64_t now_us)
{
    return peer->received_us != 0 &&
           now_us - peer->received_us <
               get_timeout_us(gos, peer, GOS_LIVE_TIMEOUT_US);
}

static GosPeer *
get_or_add_peer(Gos *gos, uint64_t address)
{
    GosPeer *peer;

    LIST_FOREACH(peer, &gos->peers, links)
    {
        if (peer->address == address) {
            return peer;
        }
    }
    peer = g_new0(GosPeer, 1);
    peer->address = address;
    peer->uses = g_array_new(FALSE, FALSE, sizeof(GosUse));
    peer->demands = g_array_new(FALSE, FALSE, sizeof(GosDemandRow));
    LIST_INSERT_HEAD(&gos->peers, peer, links);
    return peer;
}

/* Updates the VM count, drops the use that silent peers reported, and removes
   peers that have been silent for long. */
static void
expire_peers(Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    uint32_t count = Gos_CountLivePeers(gos) + 1;
    GosPeer *peer = LIST_FIRST(&gos->peers);

    if (count >= gos->peak_vms || now_us - gos->peak_us > GOS_FORGET_US) {
        gos->peak_vms = MAX(count, GOS_VMS_MIN);
        gos->peak_us = now_us;
    }
    while (peer != NULL) {
        GosPeer *next = LIST_NEXT(peer, links);
        if (now_us - peer->received_us >
            get_timeout_us(gos, peer, GOS_USE_TIMEOUT_US)) {
            drop_uses(peer);
        }
        if (now_us - peer->mentioned_us > GOS_FORGET_US) {
            free_peer(peer);
        }
        peer = next;
    }
}

/* Parses "IP:port" to IPv4 address << 16 | port; 0 if there is no address. */
static uint64_t
parse_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    char ip[FLEET_ADDRESS_MAX];
    struct in_addr number;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return 0;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    if (inet_pton(AF_INET, ip, &number) != 1) {
        return 0;
    }
    return (uint64_t)ntohl(number.s_addr) << 16 |
           (strtoul(colon + 1, NULL, 10) & UINT16_MAX);
}

static uint64_t
hash_text(const char *text)
{
    return XXH3_64bits(text, strlen(text));
}
