#include "gos.h"

#include "../io/loop.h"
#include "../log.h"
#include "../met.h"
#include "../own.h"
#include "gossip.pb-c.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#define GOS_BEAT_MS 250 /* Between messages when nothing changes. */
#define GOS_HASTE_MS 30 /* From a change to its message. */
#define GOS_FAR_COUNT 8 /* VMs of other regions that one message goes to. */
#define GOS_HEARD_US (2 * CLK_US_PER_S)   /* Eight beats without a message. */
#define GOS_USE_US (1200 * CLK_US_PER_MS) /* Age at which use is dropped. */
/* Turns of being among the VMs of other regions that a message goes to. */
#define GOS_FAR_TURNS 4
#define GOS_FORGET_US (60 * CLK_US_PER_S)
#define GOS_SEED_BEATS 8   /* Every so many beats seeds that are silent too. */
#define GOS_VMS_MIN 6      /* Assumed before any VM was heard. */
#define GOS_MOST_SHARE 0.6 /* Of the VMs, which are most of them. */
#define GOS_USES_MAX 48
#define GOS_PEERS_MAX 6
#define GOS_DEMANDS_MAX 8
#define GOS_MESSAGE_MAX 1400 /* Bytes that fit a datagram everywhere. */

typedef struct GosUse {
    FltWorker *worker;
    uint32_t inflight;
    uint64_t reading;
    uint64_t held;
    bool silent;
    bool changing;
} GosUse;

typedef struct GosDemandRow {
    uint64_t service; /* Hash of its name. */
    GosDemand demand;
} GosDemandRow;

typedef struct GosPeer {
    LIST_ENTRY(GosPeer) links;
    uint64_t address;
    uint64_t incarnation;
    uint64_t before; /* Incarnation before it. */
    uint32_t number;
    uint32_t region;
    int64_t heard_us; /* 0: only heard of. */
    int64_t named_us; /* When it was last heard of. */
    char vm[FLT_NAME_MAX];
    GArray *uses;    /* Of GosUse. */
    GArray *demands; /* Of GosDemandRow. */
} GosPeer;

struct Gos {
    GosOptions options;
    int fd;
    uint64_t address;
    uint32_t region;
    uint32_t number;
    uint32_t beats;
    guint far; /* VMs of other regions, or of which no region is known. */
    uint64_t seeds[GOS_SEEDS_MAX]; /* Addresses; 0 for none. */
    GRand *rand;
    GArray *demands; /* This VM's: of GosDemandRow. */
    struct event *readable;
    struct event *timer;
    bool hasty; /* The timer stands for a change. */
    LIST_HEAD(GosPeerList, GosPeer) peers;
    uint32_t most; /* VMs counted at most, and when. */
    int64_t most_us;
};

static void on_readable(evutil_socket_t fd, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void take_news(Gos *gos, const Gossip__News *news);
static void take_uses(Gos *gos, GosPeer *peer, const Gossip__News *news);
static void drop_uses(GosPeer *peer);
static void free_peer(GosPeer *peer);
static void send_news(Gos *gos, bool beat);
static void send_to(Gos *gos, uint64_t address, const uint8_t *data,
                    size_t size);
static size_t pack_news(Gos *gos, uint8_t *data);
static bool is_near(const Gos *gos, const GosPeer *peer);
static int64_t get_patience(const Gos *gos, const GosPeer *peer,
                            int64_t near_us);
static bool is_heard(const Gos *gos, const GosPeer *peer, int64_t now_us);
static GosPeer *use_peer(Gos *gos, uint64_t address);
static void forget_peers(Gos *gos);
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
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons(options->port)};
    socklen_t size = sizeof(at);

    gos->options = *options;
    gos->fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (inet_pton(AF_INET, options->ip, &at.sin_addr) != 1 || gos->fd < 0 ||
        bind(gos->fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN,
                "can't receive datagrams on %s:%u", options->ip,
                options->port);
        if (gos->fd >= 0) {
            close(gos->fd);
        }
        g_free(gos);
        return NULL;
    }
    getsockname(gos->fd, (struct sockaddr *)&at, &size);
    gos->address = (uint64_t)ntohl(at.sin_addr.s_addr) << 16 |
                   (uint64_t)ntohs(at.sin_port);
    gos->region = (uint32_t)hash_text(options->region);
    gos->rand = g_rand_new_with_seed(options->seed);
    Gos_SetSeeds(gos, options->seeds, options->seed_count);
    gos->demands = g_array_new(FALSE, FALSE, sizeof(GosDemandRow));
    gos->most = GOS_VMS_MIN;
    gos->most_us = Clk_Now(options->clk);
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
    if (!gos->hasty) {
        gos->hasty = true;
        Loop_ArmTimer(gos->timer, GOS_HASTE_MS);
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
        count += is_heard(gos, peer, now_us);
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
    return Gos_CountLivePeers(gos) + 1 >= GOS_MOST_SHARE * Gos_CountVms(gos);
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
    uint64_t own = Own_GetWeight(key, gos->options.vm);
    const GosPeer *peer;

    LIST_FOREACH(peer, &gos->peers, links)
    {
        if (is_heard(gos, peer, now_us) &&
            Own_GetWeight(key, peer->vm) > own) {
            return false;
        }
    }
    return true;
}

/* Of the other VMs heard, all or the near ones, whose number is *count. */
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
        if (is_heard(gos, peer, now_us) &&
            (!near_only || is_near(gos, peer))) {
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
            sum->held += row->demand.held;
            sum->requests += row->demand.requests;
            sum->extras += row->demand.extras;
        }
    }
}

uint32_t
Gos_CountVms(const Gos *gos)
{
    return MAX(gos->most, Gos_CountLivePeers(gos) + 1);
}

static void
on_readable(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    uint8_t data[GOS_MESSAGE_MAX + 1];
    ssize_t size;

    (void)what;
    while ((size = recv(fd, data, sizeof(data), 0)) >= 0) {
        Gossip__News *news = gossip__news__unpack(NULL, (size_t)size, data);
        Met_Add(MET_PEER_BYTES_RECEIVED, (uint64_t)size);
        if (news == NULL) {
            Met_Add(MET_PEER_FRAMES_BAD, 1);
            continue;
        }
        take_news(gos, news);
        gossip__news__free_unpacked(news, NULL);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Gos *gos = context;
    bool beat = !gos->hasty;

    (void)fd;
    (void)what;
    gos->hasty = false;
    forget_peers(gos);
    send_news(gos, beat);
    Loop_ArmTimer(gos->timer, GOS_BEAT_MS);
}

static void
take_news(Gos *gos, const Gossip__News *news)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);
    GosPeer *peer;

    if (news->address == 0 || news->address == gos->address) {
        return;
    }
    peer = use_peer(gos, news->address);
    if (news->incarnation == peer->before ||
        (news->incarnation == peer->incarnation &&
         news->number <= peer->number)) {
        return; /* Overtaken by a newer message. */
    }
    if (news->incarnation != peer->incarnation) {
        peer->before = peer->incarnation;
        peer->incarnation = news->incarnation;
    }
    if (!is_heard(gos, peer, now_us)) {
        Log_WriteJson(LOG_LEVEL_INFO, "peer_heard",
                      json_pack("{s:s,s:I}", "peer", news->vm, "silent_us",
                                (json_int_t)(peer->heard_us != 0
                                                 ? now_us - peer->heard_us
                                                 : 0)));
    }
    peer->number = news->number;
    peer->region = news->region;
    g_strlcpy(peer->vm, news->vm, sizeof(peer->vm));
    g_array_set_size(peer->demands, 0);
    for (size_t i = 0; i < news->n_demands; i++) {
        const Gossip__Demand *from = news->demands[i];
        GosDemandRow row = {
            from->service,
            {from->prompt_per_us, from->held, from->requests, from->extras}};
        g_array_append_val(peer->demands, row);
    }
    peer->heard_us = now_us;
    peer->named_us = now_us;
    take_uses(gos, peer, news);
    for (size_t i = 0; i < news->n_peers; i++) {
        if (news->peers[i] != gos->address) {
            use_peer(gos, news->peers[i])->named_us = now_us;
        }
    }
    if (options->on_newer_peer != NULL &&
        (news->config_version >
             options->get_config_version(options->context) ||
         news->revision > options->get_revision(options->context))) {
        struct in_addr ip = {.s_addr = htonl((uint32_t)(news->address >> 16))};
        char name[INET_ADDRSTRLEN];
        char address[FLT_ADDRESS_MAX];

        inet_ntop(AF_INET, &ip, name, sizeof(name));
        g_snprintf(address, sizeof(address), "%s:%u", name,
                   (unsigned)(news->address & UINT16_MAX));
        options->on_newer_peer(options->context, address, news->config_version,
                               news->revision);
    }
}

static void
take_uses(Gos *gos, GosPeer *peer, const Gossip__News *news)
{
    drop_uses(peer);
    for (size_t i = 0; i < news->n_uses; i++) {
        const Gossip__Use *from = news->uses[i];
        FltWorker *worker = Flt_FindByHash(gos->options.fleet, from->worker);
        GosUse use = {worker,     from->inflight, from->reading,
                      from->held, from->silent,   from->changing};

        if (worker == NULL) {
            continue;
        }
        Flt_Ref(worker);
        worker->peer_inflight += use.inflight;
        worker->peer_reading += use.reading;
        worker->peer_held += use.held;
        worker->peer_unreachable += use.silent;
        worker->peer_phase_changes += use.changing;
        g_array_append_val(peer->uses, use);
    }
}

static void
drop_uses(GosPeer *peer)
{
    for (guint i = 0; i < peer->uses->len; i++) {
        GosUse *use = &g_array_index(peer->uses, GosUse, i);
        use->worker->peer_inflight -= use->inflight;
        use->worker->peer_reading -= use->reading;
        use->worker->peer_held -= use->held;
        use->worker->peer_unreachable -= use->silent;
        use->worker->peer_phase_changes -= use->changing;
        Flt_Unref(use->worker);
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

/* To all VMs of the region, to some of the others, and, on some beats, to
   the seeds that are silent. */
static void
send_news(Gos *gos, bool beat)
{
    uint8_t data[GOS_MESSAGE_MAX];
    size_t size = pack_news(gos, data);
    GosPeer *peer;

    gos->far = 0;
    LIST_FOREACH(peer, &gos->peers, links)
    {
        gos->far += peer->region != gos->region || peer->heard_us == 0;
    }
    LIST_FOREACH(peer, &gos->peers, links)
    {
        if ((peer->heard_us != 0 && peer->region == gos->region) ||
            g_rand_double(gos->rand) * gos->far < GOS_FAR_COUNT) {
            send_to(gos, peer->address, data, size);
        }
    }
    if (beat &&
        (gos->beats++ % GOS_SEED_BEATS == 0 || LIST_EMPTY(&gos->peers))) {
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

    /* A datagram that can't be sent now is a lost one: the next follows. */
    if (sendto(gos->fd, data, size, 0, (struct sockaddr *)&to, sizeof(to)) >
        0) {
        Met_Add(MET_PEER_BYTES_SENT, size);
    }
}

static size_t
pack_news(Gos *gos, uint8_t *data)
{
    const GosOptions *options = &gos->options;
    int64_t now_us = Clk_Now(options->clk);
    Gossip__News news = GOSSIP__NEWS__INIT;
    Gossip__Use rows[GOS_USES_MAX];
    Gossip__Use *uses[GOS_USES_MAX];
    Gossip__Demand demand_rows[GOS_DEMANDS_MAX];
    Gossip__Demand *demands[GOS_DEMANDS_MAX];
    uint64_t peers[GOS_PEERS_MAX];
    GosPeer *peer;

    news.vm = (char *)options->vm;
    news.incarnation = options->incarnation;
    news.number = ++gos->number;
    news.address = gos->address;
    news.region = gos->region;
    if (options->get_config_version != NULL) {
        news.config_version = options->get_config_version(options->context);
        news.revision = options->get_revision(options->context);
    }
    news.uses = uses;
    for (guint i = 0;
         i < options->fleet->rows->len && news.n_uses < GOS_USES_MAX; i++) {
        const FltWorker *worker = g_ptr_array_index(options->fleet->rows, i);
        bool silent = Hlt_IsBlocked(&worker->health, now_us);
        Gossip__Use *row = &rows[news.n_uses];
        bool changing = now_us < worker->phase_change_until_us;
        if (worker->inflight == 0 && worker->held == 0 && !silent &&
            !changing) {
            continue;
        }
        gossip__use__init(row);
        row->worker = worker->hash;
        row->inflight = worker->inflight;
        row->reading = (uint32_t)worker->reading;
        row->held = (uint32_t)worker->held;
        row->silent = silent;
        row->changing = changing;
        uses[news.n_uses++] = row;
    }
    news.peers = peers;
    LIST_FOREACH(peer, &gos->peers, links)
    {
        /* A random few: the later ones replace earlier ones. */
        guint at =
            news.n_peers < GOS_PEERS_MAX
                ? (guint)news.n_peers
                : (guint)g_rand_int_range(gos->rand, 0, 2 * GOS_PEERS_MAX);
        if (is_heard(gos, peer, now_us) && at < GOS_PEERS_MAX) {
            peers[at] = peer->address;
            news.n_peers = MAX(news.n_peers, at + 1);
        }
    }
    news.demands = demands;
    for (guint i = 0; i < gos->demands->len && i < GOS_DEMANDS_MAX; i++) {
        const GosDemandRow *from =
            &g_array_index(gos->demands, GosDemandRow, i);
        gossip__demand__init(&demand_rows[i]);
        demand_rows[i].service = from->service;
        demand_rows[i].prompt_per_us = (float)from->demand.prompt_per_us;
        demand_rows[i].held = (float)from->demand.held;
        demand_rows[i].requests = (float)from->demand.requests;
        demand_rows[i].extras = (float)from->demand.extras;
        demands[news.n_demands++] = &demand_rows[i];
    }
    while (gossip__news__get_packed_size(&news) > GOS_MESSAGE_MAX &&
           news.n_uses > 0) {
        news.n_uses--;
    }
    return gossip__news__pack(&news, data);
}

/* VMs that get each message of this one, and it theirs. */
static bool
is_near(const Gos *gos, const GosPeer *peer)
{
    return peer->region == gos->region || gos->far <= GOS_FAR_COUNT;
}

/* How long the peer may be silent, if a near one may be for `near_us`. */
static int64_t
get_patience(const Gos *gos, const GosPeer *peer, int64_t near_us)
{
    if (is_near(gos, peer)) {
        return near_us;
    }
    return near_us + (int64_t)GOS_FAR_TURNS * gos->far / GOS_FAR_COUNT *
                         GOS_BEAT_MS * CLK_US_PER_MS;
}

static bool
is_heard(const Gos *gos, const GosPeer *peer, int64_t now_us)
{
    return peer->heard_us != 0 &&
           now_us - peer->heard_us < get_patience(gos, peer, GOS_HEARD_US);
}

static GosPeer *
use_peer(Gos *gos, uint64_t address)
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

/* Drops what silent VMs had under way, and VMs that are long silent. */
static void
forget_peers(Gos *gos)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    uint32_t count = Gos_CountLivePeers(gos) + 1;
    GosPeer *peer = LIST_FIRST(&gos->peers);

    if (count >= gos->most || now_us - gos->most_us > GOS_FORGET_US) {
        gos->most = MAX(count, GOS_VMS_MIN);
        gos->most_us = now_us;
    }
    while (peer != NULL) {
        GosPeer *next = LIST_NEXT(peer, links);
        if (now_us - peer->heard_us > get_patience(gos, peer, GOS_USE_US)) {
            drop_uses(peer);
        }
        if (now_us - peer->named_us > GOS_FORGET_US) {
            free_peer(peer);
        }
        peer = next;
    }
}

static uint64_t
parse_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    char ip[FLT_ADDRESS_MAX];
    struct in_addr at;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return 0;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    if (inet_pton(AF_INET, ip, &at) != 1) {
        return 0;
    }
    return (uint64_t)ntohl(at.s_addr) << 16 |
           (strtoul(colon + 1, NULL, 10) & UINT16_MAX);
}

static uint64_t
hash_text(const char *text)
{
    return XXH3_64bits(text, strlen(text));
}
