/* Reach in gossip: which VMs reach the workers of a service in doubt. See
   gossip_message.h. */
#include "gossip_message.h"

#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

/* Age of a VM's last message up to which requests are passed on to it. */
#define GOS_SERVING_MAX_AGE_US (1200 * CLK_US_PER_MS)

/* VMs that are known by others' word, in one list. */
#define GOS_PROXIES_LISTED 32
/* Time for which this VM passes on that others look for VMs. */
#define GOS_SOUGHT_US (500 * CLK_US_PER_MS)
/* A worker's last bytes are at least so much older than a VM says that was
   told of them by another one. */
#define GOS_PROXY_DELAY_US (10 * CLK_US_PER_MS)

static uint32_t list_peers(const Gos *gos, uint64_t service, bool is_hearing,
                           GatePeer *to, uint32_t max);
static bool is_serving(const Gos *gos, const Peer *peer, uint64_t service);
static const GateReach *find_reach(const Peer *peer, uint64_t service);
static bool is_heard(const Gos *gos, uint64_t address);
static bool is_hub(const Gos *gos);
static GosSought *find_sought(Gos *gos, uint64_t service, int64_t now_us);
static void note_seeker(Gos *gos, const Peer *peer, GateReach *reach);
static void pass_seeker_on(const Gos *gos, const GosSought *sought,
                           Gossip__Reach *row);
static void store_proxies(Gos *gos, const Gossip__News *news);

uint32_t
Gos_ListServing(const Gos *gos, const char *service, GatePeer *to,
                uint32_t max)
{
    uint64_t hash = XXH3_64bits(service, strlen(service));
    Proxy proxies[GOS_PROXIES_LISTED];
    uint32_t proxy_count =
        Proxies_List(&gos->proxies, hash, gos->peers.options.region, 0,
                     Clk_Now(gos->options.clk), proxies, GOS_PROXIES_LISTED);
    uint32_t count = list_peers(gos, hash, true, to, max);

    for (uint32_t i = 0; i < proxy_count && count < max; i++) {
        const Proxy *proxy = &proxies[i];
        GatePeer *row = &to[count];
        if (is_heard(gos, proxy->address)) {
            continue; /* Its own word goes before that of others. */
        }
        *row = (GatePeer){
            .is_near = proxy->region == gos->peers.options.region,
            .received_us = proxy->told_us,
            .serves = GATE_SERVES_KNOWN,
            .tells_reach = true,
            .reached = proxy->worker,
            .reached_us = proxy->heard_us,
            .serving = proxy->serving,
        };
        Gos_FormatAddress(proxy->address, row->address);
        g_strlcpy(row->vm, row->address, sizeof(row->vm));
        count++;
    }
    return count + list_peers(gos, hash, false, to + count, max - count);
}

/* Stores the peers that serve requests of other VMs: those that hear a worker,
   or the others. */
static uint32_t
list_peers(const Gos *gos, uint64_t service, bool is_hearing, GatePeer *to,
           uint32_t max)
{
    const Peer *peer = NULL;
    uint32_t count = 0;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        const GateReach *reach = find_reach(peer, service);
        bool hears = reach != NULL && reach->worker != 0;
        if (count == max || hears != is_hearing ||
            !is_serving(gos, peer, service)) {
            continue;
        }
        to[count] = (GatePeer){
            .is_near = peer->region == gos->peers.options.region,
            .received_us = peer->received_us,
            .serves = peer->serves,
            .tells_reach = reach != NULL,
            .reached = reach != NULL ? reach->worker : 0,
            .reached_us = reach != NULL ? reach->heard_us : 0,
            .serving = reach != NULL ? reach->serving : 0,
        };
        g_strlcpy(to[count].vm, peer->vm, sizeof(to[count].vm));
        Gos_FormatAddress(peer->address, to[count].address);
        count++;
    }
    return count;
}

static bool
is_serving(const Gos *gos, const Peer *peer, uint64_t service)
{
    bool is_serving =
        peer->received_us != 0 && !peer->is_stopping &&
        Clk_Now(gos->options.clk) - peer->received_us < GOS_SERVING_MAX_AGE_US;

    for (uint32_t i = 0; i < peer->cut_count && is_serving; i++) {
        is_serving = peer->cut[i] != service;
    }
    return is_serving;
}

static const GateReach *
find_reach(const Peer *peer, uint64_t service)
{
    for (uint32_t i = 0; i < peer->reach_count; i++) {
        if (peer->reaches[i].service == service) {
            return &peer->reaches[i];
        }
    }
    return NULL;
}

/* Whether messages of the VM itself arrive. */
static bool
is_heard(const Gos *gos, uint64_t address)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    const Peer *peer = NULL;

    if (address == gos->address) {
        return true;
    }
    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        if (peer->address == address) {
            return peer->received_us != 0 &&
                   now_us - peer->received_us < GOS_SERVING_MAX_AGE_US;
        }
    }
    return false;
}

static bool
is_hub(const Gos *gos)
{
    HubsChoice choice = Peers_GetHubs(&gos->peers);

    return !gos->peers.is_mesh && Hubs_Contains(&choice, gos->address);
}

void
Gos_StoreReaches(Gos *gos, Peer *peer, const Gossip__News *news)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);

    peer->reach_count = (uint32_t)MIN(news->n_reaches, PEERS_REACHES_MAX);
    for (uint32_t i = 0; i < peer->reach_count; i++) {
        GateReach *reach = &peer->reaches[i];
        Proxy proxy;
        *reach = Gos_DecodeReach(news, i, now_us);
        reach->vms = Peers_CountLive(&gos->peers) + 1;
        note_seeker(gos, peer, reach);
        proxy = (Proxy){
            .service = reach->service,
            .address = peer->address,
            .region = peer->region,
            .worker = is_serving(gos, peer, reach->service) &&
                              (peer->serves & GATE_SERVES_DETOURS) != 0
                          ? reach->worker
                          : 0,
            .heard_us = reach->heard_us,
            .told_us = now_us,
            .serving = reach->serving,
        };
        Proxies_Note(&gos->proxies, &proxy);
    }
    store_proxies(gos, news);
    for (uint32_t i = 0; i < peer->reach_count && options->on_reach != NULL;
         i++) {
        options->on_reach(options->context, &peer->reaches[i]);
    }
}

/* Returns the row of a service, or one that is free; NULL if there is none. */
static GosSought *
find_sought(Gos *gos, uint64_t service, int64_t now_us)
{
    GosSought *unused = NULL;

    for (uint32_t i = 0; i < PEERS_REACHES_MAX; i++) {
        GosSought *row = &gos->sought[i];
        if (row->service == service) {
            return row;
        }
        if (now_us - MAX(row->near_us, row->far_us) > GOS_SOUGHT_US) {
            unused = row;
        }
    }
    if (unused != NULL) {
        *unused = (GosSought){.service = service};
    }
    return unused;
}

/* Notes that the peer looks for VMs, or that VMs of its region do. What comes
   from a third region is not passed on, so that it ends. */
static void
note_seeker(Gos *gos, const Peer *peer, GateReach *reach)
{
    bool is_near = peer->region == gos->peers.options.region;
    GateSeeker last = is_near ? GATE_SEEKER_VM : GATE_SEEKER_REGION;
    int64_t now_us = Clk_Now(gos->options.clk);
    GosSought *sought;

    if (!is_near && reach->seeker > last) {
        reach->seeker = GATE_SEEKER_NONE;
        reach->is_urgent = false;
    }
    if (reach->seeker == GATE_SEEKER_NONE || reach->seeker > last) {
        return;
    }
    sought = find_sought(gos, reach->service, now_us);
    if (sought == NULL) {
        return;
    }
    if (is_near) {
        sought->near_us = now_us;
        sought->near_urgent_us =
            reach->is_urgent ? now_us : sought->near_urgent_us;
    }
    else {
        sought->far_us = now_us;
        sought->far_urgent_us =
            reach->is_urgent ? now_us : sought->far_urgent_us;
    }
}

static void
store_proxies(Gos *gos, const Gossip__News *news)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    for (size_t i = 0; i < news->n_proxies; i++) {
        const Gossip__Proxy *row = news->proxies[i];
        Proxy proxy = {
            .service = row->service,
            .address = row->address,
            .region = row->region,
            .worker = row->worker,
            .heard_us =
                Gos_DecodeAge(row->age_ms, now_us) - GOS_PROXY_DELAY_US,
            .told_us = Gos_DecodeAge(row->told_age_ms, now_us),
            .serving = row->serving,
        };
        if (row->age_ms != 0 && row->told_age_ms != 0 && row->worker != 0 &&
            !is_heard(gos, row->address)) {
            Proxies_Note(&gos->proxies, &proxy);
        }
    }
}

void
Gos_AddReaches(const Gos *gos, GosMessage *message)
{
    GateReach reaches[PEERS_REACHES_MAX];
    int64_t now_us = Clk_Now(gos->options.clk);
    Gossip__News *news = &message->news;
    uint32_t count = gos->options.list_reaches(gos->options.context, reaches,
                                               PEERS_REACHES_MAX);

    news->reaches = message->reaches;
    for (uint32_t i = 0; i < count; i++) {
        Gossip__Reach *row = &message->reach_rows[i];
        gossip__reach__init(row);
        row->service = reaches[i].service;
        row->worker = reaches[i].worker;
        row->age_ms = Gos_EncodeAge(reaches[i].heard_us, now_us);
        row->asks = reaches[i].asks;
        row->seeks = reaches[i].seeker;
        row->urgent = reaches[i].is_urgent;
        row->serving = reaches[i].serving;
        for (uint32_t k = 0; k < PEERS_REACHES_MAX && is_hub(gos); k++) {
            if (gos->sought[k].service == row->service) {
                pass_seeker_on(gos, &gos->sought[k], row);
            }
        }
        message->reaches[news->n_reaches++] = row;
    }
}

/* Adds what others look for to the hub's own word. */
static void
pass_seeker_on(const Gos *gos, const GosSought *sought, Gossip__Reach *row)
{
    int64_t since_us = Clk_Now(gos->options.clk) - GOS_SOUGHT_US;

    if (row->seeks == GATE_SEEKER_NONE && sought->near_us > since_us) {
        row->seeks = GATE_SEEKER_REGION;
    }
    if (row->seeks == GATE_SEEKER_NONE && sought->far_us > since_us) {
        row->seeks = GATE_SEEKER_FAR;
    }
    /* Hubs of other regions must not take what came from there for this
       region's need. */
    row->urgent |=
        sought->near_urgent_us > since_us ||
        (row->seeks == GATE_SEEKER_FAR && sought->far_urgent_us > since_us);
}

bool
Gos_AddProxies(Gos *gos, GosMessage *message)
{
    Gossip__News *news = &message->news;
    int64_t now_us = Clk_Now(gos->options.clk);
    uint32_t sought = 0;

    for (size_t i = 0; i < news->n_reaches; i++) {
        sought += news->reaches[i]->seeks != GATE_SEEKER_NONE;
    }
    news->proxies = message->proxies;
    for (size_t i = 0; i < news->n_reaches && is_hub(gos); i++) {
        Proxy proxies[GOS_PROXIES_MAX];
        uint32_t count = 0;
        if (news->reaches[i]->seeks != GATE_SEEKER_NONE) {
            count = Proxies_List(&gos->proxies, news->reaches[i]->service,
                                 gos->peers.options.region, gos->proxy_turn,
                                 now_us, proxies, GOS_PROXIES_MAX / sought);
        }
        for (uint32_t k = 0; k < count; k++) {
            const Proxy *proxy = &proxies[k];
            Gossip__Proxy *row = &message->proxy_rows[news->n_proxies];
            gossip__proxy__init(row);
            row->service = proxy->service;
            row->address = proxy->address;
            row->region = proxy->region;
            row->worker = proxy->worker;
            row->age_ms = Gos_EncodeAge(proxy->heard_us, now_us);
            row->told_age_ms = Gos_EncodeAge(proxy->told_us, now_us);
            row->serving = proxy->serving;
            message->proxies[news->n_proxies++] = row;
        }
    }
    gos->proxy_turn += GOS_PROXIES_MAX;
    return news->n_proxies > 0;
}

GateReach
Gos_DecodeReach(const Gossip__News *news, size_t i, int64_t now_us)
{
    const Gossip__Reach *row = news->reaches[i];
    GateReach reach = {
        .service = row->service,
        .worker = row->age_ms != 0 ? row->worker : 0,
        .heard_us = Gos_DecodeAge(row->age_ms, now_us),
        .asks = row->asks,
        .is_urgent = row->urgent || row->asks,
        .serving = row->serving,
    };

    if (row->seeks <= GATE_SEEKER_FAR) {
        reach.seeker = (GateSeeker)row->seeks;
    }
    if (reach.seeker == GATE_SEEKER_NONE && row->asks) {
        reach.seeker = GATE_SEEKER_VM; /* An earlier build. */
    }

    return reach;
}

void
Gos_FormatAddress(uint64_t address, char text[FLEET_ADDRESS_MAX])
{
    struct in_addr ip = {.s_addr = htonl((uint32_t)(address >> 16))};
    char ip_text[INET_ADDRSTRLEN];

    inet_ntop(AF_INET, &ip, ip_text, sizeof(ip_text));
    g_snprintf(text, FLEET_ADDRESS_MAX, "%s:%u", ip_text,
               (unsigned)(address & UINT16_MAX));
}
