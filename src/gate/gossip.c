/* Gossip: sends and receives the messages between VMs. See gossip.h. */
#include "gossip.h"

#include "../io/loop.h"
#include "../log.h"
#include "../metrics.h"
#include "gossip_message.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* Time between messages while nothing changes. */
#define GOS_INTERVAL_MS 250
/* Time from a change to the message about it. */
#define GOS_UPDATE_DELAY_MS 30
#define GOS_SEED_INTERVALS 8   /* Intervals between messages to all seeds. */
#define GOS_MAJORITY_RATIO 0.6 /* Share of the VMs that is a majority. */

static void on_readable(evutil_socket_t fd, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void on_table_timer(evutil_socket_t fd, short what, void *context);
static void handle_message(Gos *gos, const Gossip__News *news);
static void note_mentioned(Gos *gos, const Gossip__News *news);
static void note_unknown(Peer *peer, const Gossip__News *news);
static void store_report(Gos *gos, Peer *peer, const Gossip__News *news,
                         bool is_started);
static void check_versions(Gos *gos, const Gossip__News *news);
static void send_report(Gos *gos, bool is_regular);
static uint64_t get_table_source(const Gos *gos, const HubsChoice *hubs);
static bool is_report_receiver(const Gos *gos, const HubsChoice *hubs,
                               const Peer *peer);
static void send_to_seeds(Gos *gos, const GosMessage *message);
static ReportDemand sum_demand(const Gos *gos, const char *service,
                               bool near_only, uint32_t *count);
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
    PeersOptions peers = {
        .clk = options->clk,
        .fleet = options->fleet,
        .capacity = options->capacity,
        .vm = options->vm,
    };

    gos->options = *options;
    gos->ran_us = Clk_Now(options->clk);
    gos->in_step_us = INT64_MAX;
    gos->suspended_us = Clk_GetSuspended(options->clk);
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
    if (options->advertised != NULL) {
        gos->address = parse_address(options->advertised);
    }
    gos->rand = g_rand_new_with_seed(options->seed);
    Gos_SetSeeds(gos, options->seeds, options->seed_count);
    if (options->suspects != NULL && Gos_HasOtherSeed(gos)) {
        Suspects_BeginLearning(options->suspects, Clk_Now(options->clk));
    }
    Report_Init(&gos->own);
    peers.address = gos->address;
    peers.region = (uint32_t)hash_text(options->region);
    Peers_Init(&gos->peers, &peers);
    gos->readable = event_new(options->base, gos->fd, EV_READ | EV_PERSIST,
                              on_readable, gos);
    event_add(gos->readable, NULL);
    gos->timer = evtimer_new(options->base, on_timer, gos);
    gos->table_timer = evtimer_new(options->base, on_table_timer, gos);
    Gos_StartAccounts(gos);
    Loop_ArmTimer(gos->timer, 0);
    Gos_BeginVouches(gos);
    return gos;
}

void
Gos_Free(Gos *gos)
{
    if (gos == NULL) {
        return;
    }
    Gos_EndVouches(gos);
    Peers_Clear(&gos->peers);
    Report_Clear(&gos->own);
    event_free(gos->readable);
    event_free(gos->timer);
    event_free(gos->table_timer);
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
    return Peers_CountLive(&gos->peers);
}

uint32_t
Gos_CountVms(const Gos *gos)
{
    return Peers_CountVms(&gos->peers);
}

void
Gos_SetDemand(Gos *gos, const char *service, const ReportDemand *demand)
{
    Report_SetDemand(&gos->own, hash_text(service), demand);
}

ReportDemand
Gos_GetDemand(const Gos *gos, const char *service)
{
    ReportDemand demand = {0};

    Report_SumDemand(&gos->own, hash_text(service), &demand);
    return demand;
}

ReportDemand
Gos_SumPeerDemand(const Gos *gos, const char *service)
{
    uint32_t count;

    return sum_demand(gos, service, false, &count);
}

ReportDemand
Gos_SumNearDemand(const Gos *gos, const char *service, uint32_t *count)
{
    return sum_demand(gos, service, true, count);
}

double
Gos_GetShare(const Gos *gos, const char *service)
{
    uint32_t peers;
    double others = sum_demand(gos, service, false, &peers).requests;
    double own = Gos_GetDemand(gos, service).requests;
    double known = MIN(1.0, (peers + 1.0) / Gos_CountVms(gos));

    return own + others > 0.0 ? known * own / (own + others)
                              : known / (peers + 1.0);
}

bool
Gos_NeedsSource(const Gos *gos)
{
    return !Peers_HasWatcher(&gos->peers);
}

bool
Gos_HasMajority(const Gos *gos)
{
    return Gos_CountLivePeers(gos) + 1 >=
           GOS_MAJORITY_RATIO * Gos_CountVms(gos);
}

void
Gos_ListHolders(const Gos *gos, Holders *holders)
{
    Peers_ListHolders(&gos->peers, holders);
    holders->is_alone = Gos_CountLivePeers(gos) == 0 && Gos_HasOtherSeed(gos);
}

bool
Gos_IsHome(const Gos *gos, const char *key)
{
    return Peers_IsHome(&gos->peers, key);
}

static ReportDemand
sum_demand(const Gos *gos, const char *service, bool near_only,
           uint32_t *count)
{
    ReportDemand own = Gos_GetDemand(gos, service);

    return Peers_SumDemand(&gos->peers, hash_text(service), near_only, &own,
                           count);
}

bool
Gos_HasOtherSeed(const Gos *gos)
{
    for (size_t i = 0; i < GOS_SEEDS_MAX; i++) {
        if (gos->seeds[i] != 0 && gos->seeds[i] != gos->address) {
            return true;
        }
    }
    return false;
}

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    uint8_t data[GOS_MESSAGE_MAX_BYTES + 1];
    ssize_t size;

    (void)what;
    while ((size = recv(fd, data, sizeof(data), 0)) >= 0) {
        Gossip__News *news = gossip__news__unpack(NULL, (size_t)size, data);
        Met_Add(MET_PEER_BYTES_RECEIVED, (uint64_t)size);
        if (news == NULL) {
            Met_Add(MET_PEER_FRAMES_BAD, 1);
            continue;
        }
        handle_message(gos, news);
        gossip__news__free_unpacked(news, NULL);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    int64_t now_us = Clk_Now(gos->options.clk);
    /* Changes arm the timer earlier, so it does not tell which one is due. */
    bool is_regular = !gos->update_pending || now_us >= gos->regular_us;

    (void)fd;
    (void)what;
    Gos_NoteStep(gos);
    gos->update_pending = false;
    if (is_regular) {
        gos->regular_us = now_us + GOS_INTERVAL_MS * CLK_US_PER_MS;
    }
    Peers_Refresh(&gos->peers);
    send_report(gos, is_regular);
    Loop_ArmTimer(gos->timer, GOS_INTERVAL_MS);
}

static void
on_table_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Gos_SendTables(context);
}

static void
handle_message(Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    Peer *peer = NULL;
    bool is_started;

    if (news->address == 0 || news->address == gos->address) {
        return;
    }
    gos->has_heard_others = true;
    peer = Peers_GetOrAdd(&gos->peers, news->address);
    if (peer == NULL) {
        return;
    }
    if (news->incarnation == peer->previous_incarnation ||
        (news->incarnation == peer->incarnation &&
         news->number <= peer->sequence)) {
        return; /* The message is late or a duplicate. */
    }
    is_started = news->incarnation != peer->incarnation;
    if (is_started) {
        peer->previous_incarnation = peer->incarnation;
        peer->incarnation = news->incarnation;
        peer->is_newer = false;
    }
    if (is_started || !Peers_IsLive(&gos->peers, peer)) {
        Log_WriteJson(LOG_LEVEL_INFO, "peer_heard",
                      json_pack("{s:s,s:I,s:I}", "peer", news->vm, "silent_us",
                                (json_int_t)(peer->received_us != 0
                                                 ? now_us - peer->received_us
                                                 : 0),
                                "serves", (json_int_t)Gos_DecodeServes(news)));
    }
    peer->sequence = news->number;
    peer->region = news->region;
    peer->capacity = news->capacity;
    g_strlcpy(peer->vm, news->vm, sizeof(peer->vm));
    peer->received_us = now_us;
    peer->mentioned_us = now_us;
    peer->heard_us = now_us;
    peer->suspect_until_us = 0;
    note_unknown(peer, news);
    Peers_NoteFleetSize(&gos->peers, news->vms);
    Peers_NoteMostVms(&gos->peers, news->region, news->most_vms);
    gos->peers.knows_fleet |= news->most_vms != 0;
    note_mentioned(gos, news);
    peer->watches = news->watches;
    Peers_NoteServes(peer, Gos_DecodeServes(news), now_us);
    peer->is_stopping = news->stopping;
    peer->cut_count = (uint32_t)MIN(news->n_cut, PEERS_CUT_MAX);
    for (uint32_t i = 0; i < peer->cut_count; i++) {
        peer->cut[i] = news->cut[i];
    }
    Gos_StoreReaches(gos, peer, news);
    if (Gos_MergeSuspects(gos, news)) {
        gos->options.on_suspects_change(gos->options.context);
    }
    if (gos->options.suspects != NULL) {
        Suspects_EndLearning(gos->options.suspects);
    }
    Gos_MergeLimits(gos, news);
    Gos_MergeOrigins(gos, news);
    if (Gos_HandleVouches(gos, news) || Gos_HandleLookups(gos, news) ||
        Gos_HandleLoans(gos, news)) {
        /* Such a message tells no load. */
    }
    else if (news->table != NULL) {
        peer->table_us = now_us;
        Gos_StoreTable(gos, news);
    }
    else {
        store_report(gos, peer, news, is_started);
    }
    check_versions(gos, news);
}

/* Notes the other VMs that a message names. */
static void
note_mentioned(Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    for (size_t i = 0; i < news->n_peers; i++) {
        Peer *mentioned = news->peers[i] != gos->address
                              ? Peers_GetOrAdd(&gos->peers, news->peers[i])
                              : NULL;
        if (mentioned != NULL) {
            mentioned->mentioned_us = now_us;
        }
    }
    for (size_t i = 0; i < news->n_hubs; i++) {
        const Gossip__Hub *hub = news->hubs[i];
        Peer *candidate =
            Peers_NoteCandidate(&gos->peers, hub->address, hub->region,
                                hub->capacity, hub->age_ms);
        if (candidate != NULL && hub->serves_told != 0) {
            Peers_NoteServes(candidate, hub->serves_told - 1,
                             now_us - (int64_t)hub->age_ms * CLK_US_PER_MS);
        }
    }
}

/* Counts a message with content that this build doesn't know, which is
   ignored; logged once for each start of the sender. */
static void
note_unknown(Peer *peer, const Gossip__News *news)
{
    if (!Gos_HasUnknown(news)) {
        return;
    }
    Met_Add(MET_PEER_UNKNOWN_CONTENT, 1);
    if (!peer->is_newer) {
        peer->is_newer = true;
        Met_Add(MET_PEERS_NEWER, 1);
        Log_WriteJson(LOG_LEVEL_INFO, "peer_newer",
                      json_pack("{s:s}", "peer", peer->vm));
    }
}

static void
store_report(Gos *gos, Peer *peer, const Gossip__News *news, bool is_started)
{
    bool is_small = news->vms <= HUBS_MESH_VMS_MAX;

    peer->reported_us = Clk_Now(gos->options.clk);
    if (news->hub == gos->address) {
        peer->subscribed_us = peer->reported_us;
    }
    Report_DropDemands(&peer->report);
    for (size_t i = 0; i < news->n_demands; i++) {
        const Gossip__Demand *from = news->demands[i];
        ReportDemand demand = Gos_DecodeDemand(from);
        Report_SetDemand(&peer->report, from->service, &demand);
    }
    Gos_StoreAccounts(gos, &peer->report, news->account_loads);
    Report_DropUses(&peer->report);
    for (size_t i = 0; i < news->n_uses; i++) {
        const Gossip__Use *from = news->uses[i];
        ReportUse use = {
            .worker = Fleet_FindByHash(gos->options.fleet, from->worker),
            .inflight = from->inflight,
            .prefill_tokens = from->reading,
            .kv = Gos_DecodeKv(from->held, from->later, from->n_later, 0),
            .unreachable = from->silent,
            .phase_changes = from->changing,
            .leaving = from->leaving,
        };
        if (use.worker != NULL) {
            Gos_MergeUsePace(use.worker, from, peer->reported_us);
            if (from->leaving) {
                Fleet_NoteTold(gos->options.fleet, use.worker,
                               peer->reported_us);
            }
            Report_AddUse(&peer->report, &use);
        }
    }
    /* A VM that starts gets requests at once, and must know before which of
       them crash workers. */
    if (gos->peers.is_mesh ? is_started : news->seeking || is_small) {
        GosMessage message;
        Gos_BeginMessage(gos, &message);
        if (gos->peers.is_mesh) {
            Gos_AddUses(gos, &message);
            Gos_AddPeers(gos, &message);
        }
        else {
            Gos_AddHubs(gos, &message);
            Gos_AddProxies(gos, &message);
        }
        Gos_PackMessage(&message);
        Gos_SendTo(gos, peer->address, &message);
    }
    if (!gos->peers.is_mesh && Peers_IsMember(&gos->peers, peer) &&
        !event_pending(gos->table_timer, EV_TIMEOUT, NULL)) {
        Loop_ArmTimer(gos->table_timer, HUBS_PERIOD_MIN_MS);
    }
}

static void
check_versions(Gos *gos, const Gossip__News *news)
{
    const GosOptions *options = &gos->options;
    char address[FLEET_ADDRESS_MAX];
    GosVersions theirs = {
        .config_version = news->config_version,
        .position = {news->era, news->revision},
        .digest = news->digest,
        .watches = news->watches,
    };
    GosVersions own;

    if (options->on_peer_versions == NULL) {
        return;
    }
    own = options->get_versions(options->context);
    if (theirs.config_version == own.config_version &&
        Pos_IsEqual(theirs.position, own.position) &&
        theirs.digest == own.digest) {
        return;
    }
    Gos_FormatAddress(news->address, address);
    options->on_peer_versions(options->context, address, &theirs);
}

/* Sends this VM's load: in a mesh to all peers of this region and to a random
   share of the others, and else to the hubs of this region. One in
   GOS_SEED_INTERVALS regular messages of a mesh or of a hub, and each one of a
   VM that knows no others or no hub, goes to all seeds as well, so that VMs
   find each other at the start and again after a network partition. */
static void
send_report(Gos *gos, bool is_regular)
{
    const Peers *peers = &gos->peers;
    HubsChoice hubs = Peers_GetHubs(peers);
    bool is_lost =
        peers->is_mesh ? Peers_CountLive(peers) == 0 : !Peers_HasView(peers);
    bool is_turn = gos->intervals % GOS_SEED_INTERVALS == 0 &&
                   (peers->is_mesh || peers->is_direct);
    GosMessage message;
    const Peer *peer = NULL;

    Gos_BeginMessage(gos, &message);
    Gos_AddAccounts(gos, &message);
    Gos_AddOrigins(gos, &message);
    Gos_AddUses(gos, &message);
    if (peers->is_mesh) {
        Gos_AddPeers(gos, &message);
    }
    else {
        message.news.hub = get_table_source(gos, &hubs);
    }
    Gos_PackMessage(&message);
    LIST_FOREACH(peer, &peers->list, links)
    {
        if (is_report_receiver(gos, &hubs, peer)) {
            Gos_SendTo(gos, peer->address, &message);
        }
    }
    if (!is_regular) {
        return;
    }
    gos->intervals++;
    if (is_lost || is_turn) {
        message.news.number = ++gos->sequence;
        message.news.seeking = is_lost || !peers->is_mesh;
        Gos_PackMessage(&message);
        send_to_seeds(gos, &message);
    }
}

/* Returns the hub from which this VM wants each table: the other one if this
   VM is a hub itself but has no view yet, and 0 once it has one. */
static uint64_t
get_table_source(const Gos *gos, const HubsChoice *hubs)
{
    uint64_t source = Hubs_GetPrimary(hubs, gos->address);

    if (gos->peers.is_direct) {
        return 0;
    }
    for (uint32_t i = 0; i < hubs->count && source == gos->address; i++) {
        source = hubs->hubs[i].address;
    }
    return source;
}

static bool
is_report_receiver(const Gos *gos, const HubsChoice *hubs, const Peer *peer)
{
    const Peers *peers = &gos->peers;

    if (!peers->is_mesh) {
        return Hubs_Contains(hubs, peer->address);
    }
    return (peer->received_us != 0 && Peers_IsNear(peers, peer)) ||
           g_rand_double(gos->rand) * peers->remote_count <
               PEERS_REMOTE_FANOUT;
}

static void
send_to_seeds(Gos *gos, const GosMessage *message)
{
    for (guint i = 0; i < GOS_SEEDS_MAX; i++) {
        if (gos->seeds[i] != 0 && gos->seeds[i] != gos->address) {
            Gos_SendTo(gos, gos->seeds[i], message);
        }
    }
}

/* Sends the tables that are due: this region's to all VMs that report to this
   one, and those of other regions. */
void
Gos_SendTo(Gos *gos, uint64_t address, const GosMessage *message)
{
    struct sockaddr_in to = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)(address & UINT16_MAX)),
        .sin_addr.s_addr = htonl((uint32_t)(address >> 16)),
    };

    /* A datagram that can't be sent now is dropped, as if the network had lost
       it: the next message carries the full state again. */
    if (message->size > 0 && sendto(gos->fd, message->data, message->size, 0,
                                    (struct sockaddr *)&to, sizeof(to)) > 0) {
        Met_Add(MET_PEER_BYTES_SENT, message->size);
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
