/* Tables of gossip: the load of a region's VMs, which hubs send (peers.h). See
   gossip_message.h. */
#include "gossip_message.h"

#include "../io/loop.h"

static void add_own_uses(Gos *gos, Report *sum);
static uint32_t count_parts(const Report *report, int64_t now_us);
static void send_table(Gos *gos, uint32_t region, uint32_t members,
                       const Report *report, bool is_own);
static void send_proxies(Gos *gos);
static void send_table_part(Gos *gos, const GosMessage *message, bool is_own);

void
Gos_StoreTable(Gos *gos, const Gossip__News *news)
{
    const Gossip__Table *table = news->table;
    int64_t now_us = Clk_Now(gos->options.clk);
    bool is_own = table->region == gos->peers.options.region;
    size_t count = MIN(MIN(table->n_workers, table->n_inflight),
                       MIN(table->n_reading, table->n_held));
    Report *report =
        Peers_BeginTablePart(&gos->peers, table->region, news->address,
                             table->members, table->part, table->parts);

    if (report == NULL) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        ReportUse use = {
            .worker = Fleet_FindByHash(gos->options.fleet, table->workers[i]),
            .inflight = table->inflight[i],
            .prefill_tokens = table->reading[i],
            .kv =
                Gos_DecodeKv(table->held[i], table->later, table->n_later, i),
        };
        ReportUse own;
        if (use.worker == NULL) {
            continue;
        }
        for (size_t k = 0; k < table->n_silent; k++) {
            use.unreachable += table->silent[k] == table->workers[i];
        }
        for (size_t k = 0; k < table->n_changing; k++) {
            use.phase_changes += table->changing[k] == table->workers[i];
        }
        for (size_t k = 0; k < table->n_leaving; k++) {
            use.leaving += table->leaving[k] == table->workers[i];
        }
        if (is_own && Gos_GetOwnUse(use.worker, now_us, &own)) {
            /* The table includes what this VM reported some 100 ms ago, which
               is close to what it has now. */
            use.inflight -= MIN(use.inflight, own.inflight);
            use.prefill_tokens -= MIN(use.prefill_tokens, own.prefill_tokens);
            Forecast_Subtract(&use.kv, &own.kv);
            use.unreachable -= MIN(use.unreachable, own.unreachable);
            use.phase_changes -= MIN(use.phase_changes, own.phase_changes);
            use.leaving -= MIN(use.leaving, own.leaving);
        }
        Gos_MergeTablePace(use.worker, table, i, now_us);
        if (use.leaving > 0) {
            Fleet_NoteTold(gos->options.fleet, use.worker, now_us);
        }
        Report_AddUse(report, &use);
    }
    Gos_StoreTableAccounts(gos, table);
    for (size_t i = 0; i < table->n_demands; i++) {
        const Gossip__Demand *from = table->demands[i];
        ReportDemand demand = Gos_DecodeDemand(from);
        Report_SetDemand(report, from->service, &demand);
    }
}

void
Gos_SendTables(Gos *gos)
{
    Peers *peers = &gos->peers;
    Report sum;
    uint32_t members;
    uint32_t reporting = 0;
    uint32_t subscribers = 0;
    const Peer *peer = NULL;

    Peers_Refresh(peers);
    LIST_FOREACH(peer, &peers->list, links)
    {
        reporting += Peers_IsMember(peers, peer);
        subscribers += Peers_IsSubscriber(peers, peer);
    }
    if (peers->is_mesh || reporting == 0) {
        return;
    }
    Report_Init(&sum);
    members = Peers_SumRegion(peers, &sum) + 1;
    add_own_uses(gos, &sum);
    Report_Merge(&sum, &gos->own);
    Gos_SumAccounts(gos, peers->options.region, &sum);
    if (gos->periods % GOS_PACE_PERIODS == 0) {
        Gos_AddIdlePaces(gos, &sum);
    }
    send_table(gos, peers->options.region, members, &sum, true);
    Report_Clear(&sum);
    send_proxies(gos);
    for (guint i = 0;
         i < peers->regions->len && gos->periods % HUBS_REMOTE_PERIODS == 0;
         i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        if (row->region == peers->options.region ||
            Peers_FindRegion(peers, row->region) == NULL) {
            continue;
        }
        Report_Init(&sum);
        for (uint32_t k = 0; k < row->part_count; k++) {
            Report_Merge(&sum, &row->parts[k]);
        }
        Gos_SumAccounts(gos, row->region, &sum);
        send_table(gos, row->region, row->members, &sum, false);
        Report_Clear(&sum);
    }
    gos->periods++;
    Loop_ArmTimer(gos->table_timer, Hubs_GetPeriodMs(subscribers));
}

/* Adds this VM's use of the workers to a sum. */
static void
add_own_uses(Gos *gos, Report *sum)
{
    const GPtrArray *rows = gos->options.fleet->rows;
    int64_t now_us = Clk_Now(gos->options.clk);
    Report own;

    if (gos->options.update_load != NULL) {
        gos->options.update_load(gos->options.context);
    }
    Report_Init(&own);
    for (guint i = 0; i < rows->len; i++) {
        ReportUse use;
        if (Gos_GetOwnUse(g_ptr_array_index(rows, i), now_us, &use)) {
            Report_AddUse(&own, &use);
            Gos_DropPaceSums(use.worker);
        }
    }
    Report_Merge(sum, &own);
    Report_Clear(&own);
}

/* Returns the number of parts in which each one fits into a message. */
static uint32_t
count_parts(const Report *report, int64_t now_us)
{
    /* Half of the room stays free, as the hashes fill the parts unevenly. */
    uint32_t parts = report->uses->len <= GOS_TABLE_ROWS_MAX
                         ? 1
                         : 1 + report->uses->len * 3 / 2 / GOS_TABLE_ROWS_MAX;
    bool is_whole = false;

    parts = MIN(parts, PEERS_PARTS_MAX);
    while (!is_whole && parts < PEERS_PARTS_MAX) {
        is_whole = true;
        for (uint32_t i = 0; i < parts && is_whole; i++) {
            GosTablePart part;
            gossip__table__init(&part.table);
            part.tells_pace = true;
            is_whole = Gos_FillTablePart(&part, report, i, parts, now_us);
        }
        parts += !is_whole;
    }
    return parts;
}

/* Sends a region's table, in parts by the workers' hashes. */
static void
send_table(Gos *gos, uint32_t region, uint32_t members, const Report *report,
           bool is_own)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    uint32_t parts = count_parts(report, now_us);

    for (uint32_t i = 0; i < parts; i++) {
        GosMessage message;
        GosTablePart part;

        gossip__table__init(&part.table);
        part.table.region = region;
        part.table.members = members;
        part.tells_pace = gos->periods % GOS_PACE_PERIODS == 0;
        Gos_FillTablePart(&part, report, i, parts, now_us);
        Gos_BeginMessage(gos, &message);
        message.news.n_demands = 0;
        message.news.table = &part.table;
        if (i == 0) {
            Gos_AddHubs(gos, &message);
        }
        Gos_PackMessage(&message);
        send_table_part(gos, &message, is_own);
    }
}

/* Sends the VMs that reach workers which others look for, in a message of
   their own: a table may fill one. */
static void
send_proxies(Gos *gos)
{
    GosMessage message;
    Gossip__Table none;

    Gos_BeginWithoutLoad(gos, &message, &none);
    if (Gos_AddProxies(gos, &message)) {
        Gos_PackMessage(&message);
        send_table_part(gos, &message, true);
    }
}

static void
send_table_part(Gos *gos, const GosMessage *message, bool is_own)
{
    const Peers *peers = &gos->peers;
    const Peer *peer = NULL;

    LIST_FOREACH(peer, &peers->list, links)
    {
        bool is_due = Peers_IsSubscriber(peers, peer);
        if (!is_due && is_own && peer->region == peers->options.region) {
            is_due = Peers_IsMember(peers, peer) &&
                     gos->periods % HUBS_STANDBY_PERIODS == 0;
        }
        for (guint i = 0; i < peers->hubs_count && is_own && !is_due; i++) {
            is_due = peers->is_direct &&
                     peer->region != peers->options.region &&
                     gos->periods % HUBS_REMOTE_PERIODS == 0 &&
                     peers->hubs[i].region == peer->region &&
                     Hubs_Contains(&peers->hubs[i].choice, peer->address);
        }
        if (is_due) {
            Gos_SendTo(gos, peer->address, message);
        }
    }
}
