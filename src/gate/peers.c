/* Peers: the other VMs and their load. See peers.h. */
#include "peers.h"

#include "../log.h"
#include "../ownership.h"

#include <string.h>

/* Time between two messages of a peer while nothing changes. */
#define PEERS_INTERVAL_US (250 * CLK_US_PER_MS)
/* A near peer counts as live until eight intervals passed without a message
   from it. */
#define PEERS_LIVE_TIMEOUT_US (8 * PEERS_INTERVAL_US)
/* The use of workers that a near peer reported is dropped at this age. */
#define PEERS_USE_TIMEOUT_US (1200 * CLK_US_PER_MS)
/* A hub that sent no table for this long is not relied on for changes in the
   source; it is short compared to the time within which changes must apply. */
#define PEERS_WATCHER_TIMEOUT_US (800 * CLK_US_PER_MS)
/* A table is dropped at this age. */
#define PEERS_TABLE_TIMEOUT_US (2 * CLK_US_PER_S)
/* Within this time only the hub that sent the last table of a region may
   replace it: the tables of two hubs differ by some messages. */
#define PEERS_SOURCE_TIMEOUT_US (500 * CLK_US_PER_MS)
/* A peer of a mesh that is not near has the time of a near peer, and in
   addition the time in which this many messages are expected from it. */
#define PEERS_REMOTE_ROUNDS 4
/* A peer that no message came from or mentioned for this long is removed; the
   VM count remembers its peak for as long. */
#define PEERS_FORGET_US (60 * CLK_US_PER_S)
/* Lowest VM count to assume; it holds before any message came, too. */
#define PEERS_VMS_MIN 6
/* How long a fleet counts as large after a message said so. */
#define PEERS_LARGE_US (5 * CLK_US_PER_S)
/* A hub relies on its direct view once it has at least this share of the VMs
   that another hub's table includes. */
#define PEERS_DIRECT_RATIO 0.75

static void expire(Peers *peers, int64_t now_us);
static void update_mode(Peers *peers, int64_t now_us);
static void suspect_silent_hubs(Peers *peers, int64_t now_us);
static void choose_hubs(Peers *peers, int64_t now_us);
static bool may_answer_lookups(const Peer *peer);
static bool is_any_hub(const Peers *peers, uint64_t address);
static HubsChoice *get_or_add_choice(Peers *peers, uint32_t region);
static void update_views(Peers *peers, int64_t now_us);
static int64_t get_timeout_us(const Peers *peers, const Peer *peer,
                              int64_t near_us);
static uint32_t count_members(const Peers *peers);
static bool is_current(const PeersRegion *row, int64_t now_us);
static void free_peer(Peers *peers, Peer *peer);
static void free_region(gpointer row);

void
Peers_Init(Peers *peers, const PeersOptions *options)
{
    memset(peers, 0, sizeof(*peers));
    peers->options = *options;
    LIST_INIT(&peers->list);
    peers->regions = g_ptr_array_new_with_free_func(free_region);
    peers->peak_vms = PEERS_VMS_MIN;
    peers->most_vms = PEERS_VMS_MIN;
    peers->peak_us = Clk_Now(options->clk);
    peers->is_mesh = true;
}

void
Peers_Clear(Peers *peers)
{
    while (!LIST_EMPTY(&peers->list)) {
        free_peer(peers, LIST_FIRST(&peers->list));
    }
    g_ptr_array_free(peers->regions, TRUE);
}

Peer *
Peers_GetOrAdd(Peers *peers, uint64_t address)
{
    Peer *peer = NULL;

    LIST_FOREACH(peer, &peers->list, links)
    {
        if (peer->address == address) {
            return peer;
        }
    }
    if (peers->count >= PEERS_MAX) {
        return NULL;
    }
    peers->count++;
    peer = g_new0(Peer, 1);
    peer->address = address;
    Report_Init(&peer->report);
    LIST_INSERT_HEAD(&peers->list, peer, links);
    return peer;
}

Peer *
Peers_NoteCandidate(Peers *peers, uint64_t address, uint32_t region,
                    uint32_t capacity, uint32_t age_ms)
{
    int64_t now_us = Clk_Now(peers->options.clk);
    Peer *peer = NULL;

    if (address == 0 || address == peers->options.address ||
        age_ms >= HUBS_CANDIDATE_MAX_AGE_MS) {
        return NULL;
    }
    peer = Peers_GetOrAdd(peers, address);
    if (peer == NULL) {
        return NULL;
    }
    peer->region = region;
    peer->capacity = capacity;
    peer->mentioned_us = now_us;
    peer->heard_us =
        MAX(peer->heard_us, now_us - (int64_t)age_ms * CLK_US_PER_MS);
    return peer;
}

void
Peers_NoteServes(Peer *peer, uint32_t serves, int64_t at_us)
{
    if (at_us >= peer->serves_us) {
        peer->serves = serves;
        peer->serves_us = at_us;
    }
}

void
Peers_NoteFleetSize(Peers *peers, uint32_t vms)
{
    if (vms > HUBS_MESH_VMS_MAX) {
        peers->large_until_us = Clk_Now(peers->options.clk) + PEERS_LARGE_US;
    }
}

void
Peers_NoteMostVms(Peers *peers, uint32_t region, uint32_t vms)
{
    bool is_known = false;

    for (uint32_t i = 0; i < peers->heard_region_count; i++) {
        is_known |= peers->heard_regions[i] == region;
    }
    if (!is_known && peers->heard_region_count < PEERS_REGIONS_MAX) {
        peers->heard_regions[peers->heard_region_count++] = region;
    }
    if (vms <= PEERS_MAX) {
        peers->most_vms = MAX(peers->most_vms, vms);
    }
}

Report *
Peers_BeginTablePart(Peers *peers, uint32_t region, uint64_t source,
                     uint32_t members, uint32_t part, uint32_t part_count)
{
    int64_t now_us = Clk_Now(peers->options.clk);
    PeersRegion *row = NULL;

    if (part >= part_count || part_count > PEERS_PARTS_MAX) {
        return NULL;
    }
    for (guint i = 0; i < peers->regions->len && row == NULL; i++) {
        PeersRegion *known = g_ptr_array_index(peers->regions, i);
        row = known->region == region ? known : NULL;
    }
    if (row == NULL) {
        if (peers->regions->len >= PEERS_REGIONS_MAX) {
            return NULL;
        }
        row = g_new0(PeersRegion, 1);
        row->region = region;
        for (uint32_t i = 0; i < PEERS_PARTS_MAX; i++) {
            Report_Init(&row->parts[i]);
        }
        g_ptr_array_add(peers->regions, row);
    }
    if (row->source != source &&
        now_us - row->received_us < PEERS_SOURCE_TIMEOUT_US) {
        return NULL;
    }
    if (row->part_count != part_count) {
        for (uint32_t i = 0; i < PEERS_PARTS_MAX; i++) {
            Report_DropUses(&row->parts[i]);
            Report_DropDemands(&row->parts[i]);
        }
    }
    Peers_NoteMostVms(peers, region, 0);
    row->source = source;
    row->received_us = now_us;
    row->members = members;
    row->part_count = part_count;
    Report_DropUses(&row->parts[part]);
    Report_DropDemands(&row->parts[part]);
    Report_SetApplied(&row->parts[part],
                      !peers->is_mesh && (region != peers->options.region ||
                                          !peers->is_direct));
    return &row->parts[part];
}

void
Peers_Refresh(Peers *peers)
{
    int64_t now_us = Clk_Now(peers->options.clk);

    expire(peers, now_us);
    update_mode(peers, now_us);
    suspect_silent_hubs(peers, now_us);
    choose_hubs(peers, now_us);
    update_views(peers, now_us);
}

bool
Peers_IsNear(const Peers *peers, const Peer *peer)
{
    return peer->region == peers->options.region ||
           (peers->is_mesh && peers->remote_count <= PEERS_REMOTE_FANOUT);
}

bool
Peers_IsLive(const Peers *peers, const Peer *peer)
{
    return peer->received_us != 0 &&
           Clk_Now(peers->options.clk) - peer->received_us <
               get_timeout_us(peers, peer, PEERS_LIVE_TIMEOUT_US);
}

HubsChoice
Peers_GetHubs(const Peers *peers)
{
    HubsChoice none = {.count = 0};

    for (guint i = 0; i < peers->hubs_count; i++) {
        if (peers->hubs[i].region == peers->options.region) {
            return peers->hubs[i].choice;
        }
    }
    return none;
}

bool
Peers_IsMember(const Peers *peers, const Peer *peer)
{
    return peer->region == peers->options.region && peer->reported_us != 0 &&
           Clk_Now(peers->options.clk) - peer->reported_us <
               PEERS_USE_TIMEOUT_US;
}

bool
Peers_IsSubscriber(const Peers *peers, const Peer *peer)
{
    return Peers_IsMember(peers, peer) && peer->subscribed_us != 0 &&
           Clk_Now(peers->options.clk) - peer->subscribed_us <
               PEERS_USE_TIMEOUT_US;
}

bool
Peers_HasView(const Peers *peers)
{
    return peers->is_mesh || (peers->is_direct && count_members(peers) > 0) ||
           Peers_FindRegion(peers, peers->options.region) != NULL;
}

bool
Peers_HasWatcher(const Peers *peers)
{
    HubsChoice choice = Peers_GetHubs(peers);
    int64_t now_us = Clk_Now(peers->options.clk);
    const Peer *peer = NULL;

    if (peers->is_mesh || Hubs_Contains(&choice, peers->options.address)) {
        return false;
    }
    LIST_FOREACH(peer, &peers->list, links)
    {
        if (peer->watches && Hubs_Contains(&choice, peer->address) &&
            peer->table_us != 0 &&
            now_us - peer->table_us < PEERS_WATCHER_TIMEOUT_US) {
            return true;
        }
    }
    return false;
}

uint32_t
Peers_SumRegion(const Peers *peers, Report *sum)
{
    const PeersRegion *row = Peers_FindRegion(peers, peers->options.region);
    const Peer *peer = NULL;

    if (!peers->is_direct && row != NULL) {
        for (uint32_t i = 0; i < row->part_count; i++) {
            Report_Merge(sum, &row->parts[i]);
        }
        return row->members > 0 ? row->members - 1 : 0;
    }
    LIST_FOREACH(peer, &peers->list, links)
    {
        if (Peers_IsMember(peers, peer)) {
            Report_Merge(sum, &peer->report);
        }
    }
    return count_members(peers);
}

const PeersRegion *
Peers_FindRegion(const Peers *peers, uint32_t region)
{
    int64_t now_us = Clk_Now(peers->options.clk);

    for (guint i = 0; i < peers->regions->len; i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        if (row->region == region) {
            return is_current(row, now_us) ? row : NULL;
        }
    }
    return NULL;
}

guint
Peers_CountLive(const Peers *peers)
{
    int64_t now_us = Clk_Now(peers->options.clk);
    const PeersRegion *own = Peers_FindRegion(peers, peers->options.region);
    const Peer *peer = NULL;
    guint count = 0;
    guint near_count = 0;

    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_live = Peers_IsLive(peers, peer);
        count += is_live;
        near_count += is_live && peer->region == peers->options.region;
    }
    if (peers->is_mesh) {
        return count;
    }
    count = !peers->is_direct && own != NULL && own->members > near_count
                ? own->members - 1
                : near_count;
    for (guint i = 0; i < peers->regions->len; i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        if (row->region != peers->options.region && is_current(row, now_us)) {
            count += row->members;
        }
    }
    return count;
}

uint32_t
Peers_CountVms(const Peers *peers)
{
    return MAX(peers->peak_vms, Peers_CountLive(peers) + 1);
}

bool
Peers_IsHome(const Peers *peers, const char *key)
{
    uint64_t own_weight = Own_GetWeight(key, peers->options.vm);
    const Peer *peer = NULL;

    if (!peers->is_mesh && !peers->is_direct) {
        return false;
    }
    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_rival = peers->is_mesh;
        for (guint i = 0; i < peers->hubs_count && !is_rival; i++) {
            is_rival = peers->hubs[i].region == peer->region &&
                       Hubs_Contains(&peers->hubs[i].choice, peer->address);
        }
        if (is_rival && Peers_IsLive(peers, peer) &&
            Own_GetWeight(key, peer->vm) > own_weight) {
            return false;
        }
    }
    return true;
}

void
Peers_ListHolders(const Peers *peers, Holders *holders)
{
    const Peer *peer = NULL;

    holders->self = peers->options.address;
    if (peers->is_mesh || is_any_hub(peers, holders->self)) {
        Holders_Add(holders, holders->self);
    }
    LIST_FOREACH(peer, &peers->list, links)
    {
        if (may_answer_lookups(peer) &&
            (peers->is_mesh ? Peers_IsLive(peers, peer)
                            : is_any_hub(peers, peer->address))) {
            Holders_Add(holders, peer->address);
        }
    }
}

/* Whether lookups go to the peer. Of a hub that neither this VM nor one that
   says so has heard, nothing is known: without its answer a lookup ends as one
   that can't be answered, while a holder left out by this VM alone would have
   others take over workers that it asks. */
static bool
may_answer_lookups(const Peer *peer)
{
    return peer->serves_us == 0 || (peer->serves & GATE_SERVES_LOOKUPS) != 0;
}

static bool
is_any_hub(const Peers *peers, uint64_t address)
{
    for (guint i = 0; i < peers->hubs_count; i++) {
        if (Hubs_Contains(&peers->hubs[i].choice, address)) {
            return true;
        }
    }
    return false;
}

ReportDemand
Peers_SumDemand(const Peers *peers, uint64_t service, bool near_only,
                const ReportDemand *own, uint32_t *count)
{
    int64_t now_us = Clk_Now(peers->options.clk);
    const PeersRegion *table = Peers_FindRegion(peers, peers->options.region);
    bool use_table = !peers->is_mesh && !peers->is_direct && table != NULL;
    ReportDemand sum = {0};
    const Peer *peer = NULL;

    *count = 0;
    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_counted = peers->is_mesh
                              ? Peers_IsLive(peers, peer) &&
                                    (!near_only || Peers_IsNear(peers, peer))
                              : !use_table && Peers_IsMember(peers, peer);
        if (is_counted) {
            Report_SumDemand(&peer->report, service, &sum);
            (*count)++;
        }
    }
    if (use_table && table->members > 0) {
        Report_SumDemand(&table->parts[0], service, &sum);
        /* The table includes what this VM reported a little earlier. */
        sum.prompt_per_us = MAX(0, sum.prompt_per_us - own->prompt_per_us);
        sum.kv_tokens = MAX(0, sum.kv_tokens - own->kv_tokens);
        sum.requests = MAX(0, sum.requests - own->requests);
        sum.extras = MAX(0, sum.extras - own->extras);
        Report_SubtractRooms(&sum.rooms, &own->rooms);
        *count += table->members - 1;
    }
    for (guint i = 0; i < peers->regions->len && !peers->is_mesh && !near_only;
         i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        if (row->region != peers->options.region && is_current(row, now_us)) {
            Report_SumDemand(&row->parts[0], service, &sum);
            *count += row->members;
        }
    }
    return sum;
}

/* Drops the load that silent VMs reported and tables that are too old, and
   removes peers that have been silent for long. */
static void
expire(Peers *peers, int64_t now_us)
{
    Peer *peer = LIST_FIRST(&peers->list);

    peers->remote_count = 0;
    while (peer != NULL) {
        Peer *next = LIST_NEXT(peer, links);
        if (now_us - peer->reported_us >
            get_timeout_us(peers, peer, PEERS_USE_TIMEOUT_US)) {
            Report_DropUses(&peer->report);
        }
        if (now_us - peer->mentioned_us > PEERS_FORGET_US) {
            free_peer(peers, peer);
        }
        else {
            peers->remote_count += peer->region != peers->options.region ||
                                   peer->received_us == 0;
        }
        peer = next;
    }
    for (guint i = 0; i < peers->regions->len; i++) {
        PeersRegion *row = g_ptr_array_index(peers->regions, i);
        for (uint32_t k = 0; k < row->part_count && !is_current(row, now_us);
             k++) {
            Report_DropUses(&row->parts[k]);
            Report_DropDemands(&row->parts[k]);
        }
    }
}

static void
update_mode(Peers *peers, int64_t now_us)
{
    uint32_t count = Peers_CountLive(peers) + 1;
    bool is_mesh;

    Peers_NoteFleetSize(peers, count);
    if (count > 1) {
        Peers_NoteMostVms(peers, peers->options.region, count);
    }
    if (count >= peers->peak_vms ||
        now_us - peers->peak_us > PEERS_FORGET_US) {
        peers->peak_vms = MAX(count, PEERS_VMS_MIN);
        peers->peak_us = now_us;
    }
    is_mesh = now_us >= peers->large_until_us;
    if (is_mesh != peers->is_mesh) {
        peers->is_mesh = is_mesh;
        Log_WriteJson(
            LOG_LEVEL_INFO, "gossip_mode",
            json_pack("{s:b,s:i}", "mesh", is_mesh, "vms", (int)count));
    }
}

static void
suspect_silent_hubs(Peers *peers, int64_t now_us)
{
    HubsChoice choice = Peers_GetHubs(peers);
    uint64_t primary = Hubs_GetPrimary(&choice, peers->options.address);
    Peer *peer = NULL;

    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_chosen = !peers->is_mesh &&
                         peer->region == peers->options.region &&
                         Hubs_Contains(&choice, peer->address);
        int64_t timeout_ms = peer->address == primary && !peers->is_direct
                                 ? HUBS_TIMEOUT_MS
                                 : HUBS_STANDBY_TIMEOUT_MS;
        if (!is_chosen) {
            peer->chosen_us = 0;
            continue;
        }
        if (peer->chosen_us == 0) {
            peer->chosen_us = now_us;
        }
        if (now_us - MAX(peer->chosen_us, peer->table_us) >
            timeout_ms * CLK_US_PER_MS) {
            peer->heard_us = 0;
            peer->chosen_us = 0;
            peer->suspect_until_us =
                now_us + HUBS_CANDIDATE_MAX_AGE_MS * CLK_US_PER_MS;
            Log_WriteJson(LOG_LEVEL_INFO, "hub_silent",
                          json_pack("{s:s,s:I}", "peer", peer->vm,
                                    "table_age_us",
                                    (json_int_t)(peer->table_us != 0
                                                     ? now_us - peer->table_us
                                                     : 0)));
        }
    }
}

static void
choose_hubs(Peers *peers, int64_t now_us)
{
    HubsCandidate self = {peers->options.address, peers->options.capacity};
    HubsChoice *choice;
    const Peer *peer = NULL;

    peers->hubs_count = 0;
    choice = get_or_add_choice(peers, peers->options.region);
    Hubs_Offer(choice, &self);
    LIST_FOREACH(peer, &peers->list, links)
    {
        HubsCandidate candidate = {peer->address, peer->capacity};
        if (peer->heard_us == 0 || now_us < peer->suspect_until_us ||
            now_us - peer->heard_us >=
                HUBS_CANDIDATE_MAX_AGE_MS * CLK_US_PER_MS) {
            continue;
        }
        choice = get_or_add_choice(peers, peer->region);
        if (choice != NULL) {
            Hubs_Offer(choice, &candidate);
        }
    }
}

static HubsChoice *
get_or_add_choice(Peers *peers, uint32_t region)
{
    PeersHubs *row;

    for (guint i = 0; i < peers->hubs_count; i++) {
        if (peers->hubs[i].region == region) {
            return &peers->hubs[i].choice;
        }
    }
    if (peers->hubs_count == PEERS_REGIONS_MAX) {
        return NULL;
    }
    row = &peers->hubs[peers->hubs_count++];
    row->region = region;
    row->choice.count = 0;
    return &row->choice;
}

/* Applies the load of this region either from the VMs' own reports or from
   the table, never from both. */
static void
update_views(Peers *peers, int64_t now_us)
{
    HubsChoice choice = Peers_GetHubs(peers);
    const PeersRegion *table = Peers_FindRegion(peers, peers->options.region);
    Peer *peer = NULL;

    peers->is_direct =
        !peers->is_mesh && Hubs_Contains(&choice, peers->options.address) &&
        (table == NULL ||
         count_members(peers) + 1 >= PEERS_DIRECT_RATIO * table->members);
    LIST_FOREACH(peer, &peers->list, links)
    {
        Report_SetApplied(
            &peer->report,
            peers->is_mesh ||
                (peers->is_direct && peer->region == peers->options.region));
    }
    for (guint i = 0; i < peers->regions->len; i++) {
        PeersRegion *row = g_ptr_array_index(peers->regions, i);
        bool is_applied =
            !peers->is_mesh && is_current(row, now_us) &&
            (row->region != peers->options.region || !peers->is_direct);
        for (uint32_t k = 0; k < PEERS_PARTS_MAX; k++) {
            Report_SetApplied(&row->parts[k], is_applied);
        }
    }
}

/* Returns how long the peer may be silent, given the time `near_us` for a near
   peer. A peer that gets only a share of the messages has more time. */
static int64_t
get_timeout_us(const Peers *peers, const Peer *peer, int64_t near_us)
{
    if (Peers_IsNear(peers, peer) || !peers->is_mesh) {
        return near_us;
    }
    return near_us + (int64_t)PEERS_REMOTE_ROUNDS * peers->remote_count /
                         PEERS_REMOTE_FANOUT * PEERS_INTERVAL_US;
}

/* Returns the number of other VMs of this region that report to this one. */
static uint32_t
count_members(const Peers *peers)
{
    const Peer *peer = NULL;
    uint32_t count = 0;

    LIST_FOREACH(peer, &peers->list, links)
    {
        count += Peers_IsMember(peers, peer);
    }
    return count;
}

static bool
is_current(const PeersRegion *row, int64_t now_us)
{
    return now_us - row->received_us < PEERS_TABLE_TIMEOUT_US;
}

static void
free_peer(Peers *peers, Peer *peer)
{
    peers->count--;
    LIST_REMOVE(peer, links);
    Report_Clear(&peer->report);
    g_free(peer);
}

static void
free_region(gpointer data)
{
    PeersRegion *row = data;

    for (uint32_t i = 0; i < PEERS_PARTS_MAX; i++) {
        Report_Clear(&row->parts[i]);
    }
    g_free(row);
}
