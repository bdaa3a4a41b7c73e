/* Accounts of gossip: tells and hears the use of client accounts. A VM tells
   what is new in each message with its load; hubs send the sums of their
   region in tables. A lost or late message makes the estimate of a cap late,
   which its reserve and the bound's excess allow for. See account_load.h and
   gossip_message.h. */
#include "account_load.h"
#include "gossip_message.h"

#include <math.h>
#include <string.h>

/* What a VM reported last counts for this long. */
#define ACCOUNTS_TIMEOUT_US (1 * CLK_US_PER_S)
/* Time between two tables that tell all accounts; those near their caps are in
   each table. */
#define ACCOUNTS_FULL_US (600 * CLK_US_PER_MS)
/* A table's account counts for this long: one full table may get lost. */
#define ACCOUNTS_TABLE_US (1600 * CLK_US_PER_MS)
/* Most accounts of one VM or region that are remembered. */
#define ACCOUNTS_ROWS_MAX 256
/* Parts of a unit in which messages tell rates, and the highest number of
   them. */
#define ACCOUNTS_PARTS 16
#define ACCOUNTS_PARTS_MAX (INT32_MAX / 2)
/* Highest rate of all streams that a message may tell. */
#define ACCOUNTS_RATE_MAX 1e9

static AccountLoadHeard hear(void *context, AccountLoads *loads);
static void hear_report(AccountLoads *loads, const Report *report,
                        int64_t now_us, int64_t memory_us);
static bool is_heard(const Gos *gos, const Peer *peer);
static bool is_fresh(const Gos *gos, const PeersRegion *row);
static double get_weight(int64_t told_us, int64_t now_us, int64_t memory_us);
static PeersRegion *find_region(const Gos *gos, uint32_t region);
static void store(Report *report, const Gossip__AccountLoads *loads,
                  int64_t now_us);
static void set_row(Report *report, const ReportAccount *row);
static bool has_content(const Gossip__AccountLoads *loads);
static double clip(double rate);
static int32_t encode(double rate);
static void sum_own_region(const Gos *gos, GHashTable *rows, Report *sum);
static void select_rows(const AccountLoads *loads, Report *sum);
static void add_report(GHashTable *rows, Report *sum, const Report *from,
                       int64_t now_us, int64_t memory_us);
static void fill_loads(GosAccounts *to, const Report *report, uint32_t number,
                       uint32_t count);

void
Gos_StartAccounts(Gos *gos)
{
    if (gos->options.account_loads != NULL) {
        AccountLoad_SetHear(gos->options.account_loads, hear, gos);
    }
}

void
Gos_AddAccounts(Gos *gos, GosMessage *message)
{
    GArray *own = gos->own.accounts;
    uint32_t count;

    if (gos->options.account_loads == NULL) {
        return;
    }
    g_array_set_size(own, GOS_ACCOUNTS_MAX);
    /* In a mesh some messages go to some of the VMs only. */
    count = AccountLoad_Report(gos->options.account_loads, gos->peers.is_mesh,
                               (ReportAccount *)(void *)own->data,
                               GOS_ACCOUNTS_MAX, &gos->own.streams);
    g_array_set_size(own, count);
    fill_loads(&message->accounts, &gos->own, 0, 1);
    if (has_content(&message->accounts.loads)) {
        message->news.account_loads = &message->accounts.loads;
    }
}

void
Gos_StoreAccounts(const Gos *gos, Report *report,
                  const Gossip__AccountLoads *loads)
{
    int64_t now_us = Clk_Now(gos->options.clk);

    store(report, loads, now_us);
    /* What is left of older ones is almost nothing. */
    for (guint i = report->accounts->len; i-- > 0;) {
        const ReportAccount *row =
            &g_array_index(report->accounts, ReportAccount, i);
        if (now_us - row->at_us > 2 * ACCOUNTS_TIMEOUT_US) {
            g_array_remove_index_fast(report->accounts, i);
        }
    }
}

void
Gos_StoreTableAccounts(const Gos *gos, const Gossip__Table *table)
{
    const Gossip__AccountLoads *loads = table->account_loads;
    PeersRegion *row = find_region(gos, table->region);

    if (loads == NULL || row == NULL) {
        return;
    }
    for (guint i = row->parts[0].accounts->len; i-- > 0 && loads->full;) {
        const ReportAccount *known =
            &g_array_index(row->parts[0].accounts, ReportAccount, i);
        if (known->account % table->parts == table->part) {
            g_array_remove_index_fast(row->parts[0].accounts, i);
        }
    }
    store(&row->parts[0], loads, Clk_Now(gos->options.clk));
}

void
Gos_FillTableAccounts(GosTablePart *part, const Report *report,
                      uint32_t number, uint32_t count)
{
    fill_loads(&part->accounts, report, number, count);
    if (has_content(&part->accounts.loads)) {
        part->table.account_loads = &part->accounts.loads;
    }
}

void
Gos_SumAccounts(Gos *gos, uint32_t region, Report *sum)
{
    AccountLoads *loads = gos->options.account_loads;
    int64_t now_us = Clk_Now(gos->options.clk);
    PeersRegion *row = find_region(gos, region);
    bool is_own = region == gos->peers.options.region;
    int64_t *told_us = &gos->accounts_told_us;
    GHashTable *rows = NULL;

    if (loads == NULL || !AccountLoad_HasAccounts(loads) ||
        (!is_own && row == NULL)) {
        return;
    }
    rows = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (is_own) {
        sum_own_region(gos, rows, sum);
    }
    else {
        told_us = &row->accounts_told_us;
        add_report(rows, sum, &row->parts[0], now_us, 0);
    }
    g_hash_table_destroy(rows);
    /* Hubs of other regions get the tables of such periods only. */
    sum->is_full = gos->periods % HUBS_REMOTE_PERIODS == 0 &&
                   now_us - *told_us >= ACCOUNTS_FULL_US;
    if (sum->is_full) {
        *told_us = now_us;
    }
    select_rows(loads, sum);
}

/* Reports what the other VMs use: those whose messages come here, and
   otherwise the last tables of regions. */
static AccountLoadHeard
hear(void *context, AccountLoads *loads)
{
    Gos *gos = context;
    const Peers *peers = &gos->peers;
    int64_t now_us = Clk_Now(gos->options.clk);
    AccountLoadHeard heard = {.vms = 1, .most_vms = Gos_GetMostVms(gos)};
    const PeersRegion *own =
        peers->is_mesh || peers->is_direct
            ? NULL
            : Peers_FindRegion(peers, peers->options.region);
    const Peer *peer = NULL;

    for (guint i = 0; i < GOS_SEEDS_MAX; i++) {
        heard.has_seeds |= gos->seeds[i] != 0 && gos->seeds[i] != gos->address;
    }
    heard.is_own_included = own != NULL && is_fresh(gos, own);
    LIST_FOREACH(peer, &peers->list, links)
    {
        if (!heard.is_own_included && is_heard(gos, peer)) {
            hear_report(loads, &peer->report, now_us, CAP_MEMORY_US);
            heard.vms++;
        }
    }
    for (guint i = 0; i < peers->regions->len && !peers->is_mesh; i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        bool is_own = row->region == peers->options.region;
        if (is_own ? heard.is_own_included : is_fresh(gos, row)) {
            hear_report(loads, &row->parts[0], now_us, 0);
            heard.vms += row->members - (is_own && row->members > 0);
        }
    }
    return heard;
}

/* `memory_us` as in get_weight(). */
static void
hear_report(AccountLoads *loads, const Report *report, int64_t now_us,
            int64_t memory_us)
{
    AccountLoad_AddHeardStreams(
        loads, &report->streams,
        get_weight(report->streams_us, now_us, memory_us));
    for (guint i = 0; i < report->accounts->len; i++) {
        const ReportAccount *row =
            &g_array_index(report->accounts, ReportAccount, i);
        AccountLoad_AddHeard(loads, row,
                             get_weight(row->at_us, now_us, memory_us));
    }
}

/* Whether the load of the peer comes here directly. */
static bool
is_heard(const Gos *gos, const Peer *peer)
{
    const Peers *peers = &gos->peers;

    return peer->reported_us != 0 &&
           Clk_Now(gos->options.clk) - peer->reported_us <
               ACCOUNTS_TIMEOUT_US &&
           (peers->is_mesh || Peers_IsMember(peers, peer));
}

static bool
is_fresh(const Gos *gos, const PeersRegion *row)
{
    return Clk_Now(gos->options.clk) - row->received_us < ACCOUNTS_TIMEOUT_US;
}

/* Returns what is left of a rate that was told at this time. A VM's own falls
   with the memory of its counts until it tells another one. One of a table
   (memory 0) counts as it is until the next table. */
static double
get_weight(int64_t told_us, int64_t now_us, int64_t memory_us)
{
    int64_t age_us = now_us - told_us;

    if (memory_us == 0) {
        return age_us < ACCOUNTS_TABLE_US ? 1.0 : 0.0;
    }
    return age_us > 0 ? exp(-(double)age_us / (double)memory_us) : 1.0;
}

static PeersRegion *
find_region(const Gos *gos, uint32_t region)
{
    for (guint i = 0; i < gos->peers.regions->len; i++) {
        PeersRegion *row = g_ptr_array_index(gos->peers.regions, i);
        if (row->region == region) {
            return row;
        }
    }
    return NULL;
}

/* Stores the rows of a message, beside those that it does not name. */
static void
store(Report *report, const Gossip__AccountLoads *loads, int64_t now_us)
{
    size_t count;

    if (loads == NULL) {
        return;
    }
    count = MIN(MIN(loads->n_accounts, loads->n_asked),
                MIN(loads->n_refused, loads->n_besides));
    if (loads->full || loads->looked > 0 || loads->served > 0) {
        report->streams = (ReportStreams){
            clip(loads->looked), clip(loads->lacking), clip(loads->served)};
        report->streams_us = now_us;
    }
    for (size_t i = 0; i < MIN(count, GOS_TABLE_ACCOUNTS_MAX); i++) {
        double asked = loads->asked[i];
        ReportAccount row = {
            .account = loads->accounts[i],
            .asked_per_s = asked / ACCOUNTS_PARTS,
            .admitted_per_s = (asked - loads->refused[i]) / ACCOUNTS_PARTS,
            .streams_per_s =
                MAX(0, (asked - loads->besides[i]) / ACCOUNTS_PARTS),
            .at_us = now_us,
        };
        set_row(report, &row);
    }
}

/* Replaces the row of the same account, or adds one. */
static void
set_row(Report *report, const ReportAccount *row)
{
    for (guint i = 0; i < report->accounts->len; i++) {
        ReportAccount *known =
            &g_array_index(report->accounts, ReportAccount, i);
        if (known->account == row->account) {
            *known = *row;
            return;
        }
    }
    if (report->accounts->len < ACCOUNTS_ROWS_MAX) {
        g_array_append_val(report->accounts, *row);
    }
}

static bool
has_content(const Gossip__AccountLoads *loads)
{
    return loads->n_accounts > 0 || loads->full || loads->looked > 0 ||
           loads->served > 0;
}

/* Returns a rate that a message told, or 0 if it is damaged. */
static double
clip(double rate)
{
    return rate >= 0 && rate <= ACCOUNTS_RATE_MAX ? rate : 0;
}

/* Returns a rate in the parts of messages. */
static int32_t
encode(double rate)
{
    return (int32_t)lrint(
        CLAMP(rate * ACCOUNTS_PARTS, -ACCOUNTS_PARTS_MAX, ACCOUNTS_PARTS_MAX));
}

/* Adds what this VM and those that report to it use. */
static void
sum_own_region(const Gos *gos, GHashTable *rows, Report *sum)
{
    int64_t now_us = Clk_Now(gos->options.clk);
    const Peer *peer = NULL;
    Report own;

    Report_Init(&own);
    own.streams_us = now_us;
    AccountLoad_ListTold(gos->options.account_loads, &own);
    for (guint i = 0; i < own.accounts->len; i++) {
        g_array_index(own.accounts, ReportAccount, i).at_us = now_us;
    }
    add_report(rows, sum, &own, now_us, 0);
    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        if (Peers_IsMember(&gos->peers, peer)) {
            add_report(rows, sum, &peer->report, now_us, CAP_MEMORY_US);
        }
    }
    Report_Clear(&own);
}

/* Leaves out what this table need not tell. */
static void
select_rows(const AccountLoads *loads, Report *sum)
{
    if (!sum->is_full && sum->streams.lacking <= 0) {
        sum->streams = (ReportStreams){0};
    }
    for (guint i = sum->accounts->len; i-- > 0 && !sum->is_full;) {
        if (!AccountLoad_IsUrgent(
                loads, &g_array_index(sum->accounts, ReportAccount, i))) {
            g_array_remove_index_fast(sum->accounts, i);
        }
    }
    AccountLoad_Sort(loads, (ReportAccount *)(void *)sum->accounts->data,
                     sum->accounts->len);
    if (sum->accounts->len > GOS_TABLE_ACCOUNTS_MAX) {
        g_array_set_size(sum->accounts, GOS_TABLE_ACCOUNTS_MAX);
    }
}

/* Adds a report's accounts to the sum, whose rows `rows` finds. */
static void
add_report(GHashTable *rows, Report *sum, const Report *from, int64_t now_us,
           int64_t memory_us)
{
    double weight = get_weight(from->streams_us, now_us, memory_us);

    for (guint i = 0; i < from->accounts->len; i++) {
        const ReportAccount *row =
            &g_array_index(from->accounts, ReportAccount, i);
        double left = get_weight(row->at_us, now_us, memory_us);
        gpointer at = g_hash_table_lookup(rows, &row->account);
        ReportAccount *to;
        if (at == NULL) {
            ReportAccount none = {.account = row->account};
            g_array_append_val(sum->accounts, none);
            at = GUINT_TO_POINTER(sum->accounts->len);
            g_hash_table_insert(rows, (gpointer)&row->account, at);
        }
        to = &g_array_index(sum->accounts, ReportAccount,
                            GPOINTER_TO_UINT(at) - 1);
        to->asked_per_s += row->asked_per_s * left;
        to->admitted_per_s += row->admitted_per_s * left;
        to->streams_per_s += row->streams_per_s * left;
    }
    sum->streams.looked += from->streams.looked * weight;
    sum->streams.lacking += from->streams.lacking * weight;
    sum->streams.served += from->streams.served * weight;
}

/* Fills in the accounts whose hashes belong to this part. */
static void
fill_loads(GosAccounts *to, const Report *report, uint32_t number,
           uint32_t count)
{
    size_t n = 0;

    gossip__account_loads__init(&to->loads);
    for (guint i = 0; i < report->accounts->len && n < GOS_TABLE_ACCOUNTS_MAX;
         i++) {
        const ReportAccount *row =
            &g_array_index(report->accounts, ReportAccount, i);
        if (row->account % count == number) {
            int32_t asked = encode(row->asked_per_s);
            to->accounts[n] = row->account;
            to->asked[n] = (uint32_t)MAX(0, asked);
            to->refused[n] = asked - encode(row->admitted_per_s);
            to->besides[n] = asked - encode(row->streams_per_s);
            n++;
        }
    }
    to->loads.accounts = to->accounts;
    to->loads.asked = to->asked;
    to->loads.refused = to->refused;
    to->loads.besides = to->besides;
    to->loads.n_accounts = n;
    to->loads.n_asked = n;
    to->loads.n_refused = n;
    to->loads.n_besides = n;
    to->loads.full = report->is_full;
    if (number == 0) {
        to->loads.looked = (float)report->streams.looked;
        to->loads.lacking = (float)report->streams.lacking;
        to->loads.served = (float)report->streams.served;
    }
}
