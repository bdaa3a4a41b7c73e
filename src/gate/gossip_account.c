/* Accounts of gossip: tells and hears the use of client accounts. A VM reports
   its rates in each message with its load; hubs send the sums of their region
   in tables. A lost or late message makes the estimate of a cap late, which
   its reserve and the bound's excess allow for. See account_load.h and
   gossip_message.h. */
#include "account_load.h"
#include "gossip_message.h"

#include <math.h>
#include <string.h>

/* What a VM reported last counts for this long. */
#define ACCOUNTS_TIMEOUT_US (1 * CLK_US_PER_S)
/* Highest rate that a message may tell; others are damaged. */
#define ACCOUNTS_RATE_MAX 1e9

static AccountLoadHeard hear(void *context, AccountLoads *loads);
static void hear_report(AccountLoads *loads, const Report *report,
                        double weight);
static bool is_heard(const Gos *gos, const Peer *peer);
static bool is_fresh(const Gos *gos, const PeersRegion *row);
static double get_weight(const Gos *gos, const Peer *peer);
static double clip(double rate);
static void add_report(GHashTable *rows, Report *sum, const Report *from,
                       double weight);
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
Gos_UpdateAccounts(Gos *gos)
{
    GArray *own = gos->own.accounts;

    if (gos->options.account_loads != NULL) {
        g_array_set_size(own, GOS_ACCOUNTS_MAX);
        g_array_set_size(
            own, AccountLoad_Report(gos->options.account_loads,
                                    (ReportAccount *)(void *)own->data,
                                    GOS_ACCOUNTS_MAX, &gos->own.streams));
    }
}

void
Gos_AddAccounts(const Gos *gos, GosMessage *message)
{
    fill_loads(&message->accounts, &gos->own, 0, 1);
    if (message->accounts.loads.n_accounts > 0 ||
        gos->own.streams.looked > 0 || gos->own.streams.served > 0) {
        message->news.account_loads = &message->accounts.loads;
    }
}

void
Gos_StoreAccounts(Report *report, const Gossip__AccountLoads *loads)
{
    size_t count = loads != NULL ? MIN(loads->n_accounts,
                                       MIN(loads->n_asked, loads->n_admitted))
                                 : 0;

    g_array_set_size(report->accounts, 0);
    report->streams = (ReportStreams){0};
    if (loads != NULL) {
        report->streams.looked = clip(loads->looked);
        report->streams.lacking = clip(loads->lacking);
        report->streams.served = clip(loads->served);
    }
    for (size_t i = 0; i < MIN(count, GOS_TABLE_ACCOUNTS_MAX); i++) {
        ReportAccount row = {
            .account = loads->accounts[i],
            .asked_per_s = loads->asked[i],
            .admitted_per_s = loads->admitted[i],
            .streams_per_s =
                i < loads->n_streams ? clip(loads->streams[i]) : 0,
        };
        /* False for values that are no numbers, too. */
        if (row.asked_per_s >= 0 && row.asked_per_s <= ACCOUNTS_RATE_MAX &&
            fabs(row.admitted_per_s) <= ACCOUNTS_RATE_MAX) {
            g_array_append_val(report->accounts, row);
        }
    }
}

void
Gos_FillTableAccounts(GosTablePart *part, const Report *report,
                      uint32_t number, uint32_t count)
{
    fill_loads(&part->accounts, report, number, count);
    if (part->accounts.loads.n_accounts > 0 ||
        part->accounts.loads.looked > 0 || part->accounts.loads.served > 0) {
        part->table.account_loads = &part->accounts.loads;
    }
}

void
Gos_SumAccounts(Gos *gos, uint32_t region, Report *sum)
{
    const Peers *peers = &gos->peers;
    GHashTable *rows = NULL;
    const Peer *peer = NULL;

    if (gos->options.account_loads == NULL) {
        return;
    }
    rows = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < peers->regions->len; i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        for (uint32_t k = 0; k < row->part_count && row->region == region &&
                             region != peers->options.region;
             k++) {
            add_report(rows, sum, &row->parts[k], 1.0);
        }
    }
    if (region == peers->options.region) {
        Gos_UpdateAccounts(gos);
        add_report(rows, sum, &gos->own, 1.0);
        LIST_FOREACH(peer, &peers->list, links)
        {
            if (Peers_IsMember(peers, peer)) {
                add_report(rows, sum, &peer->report, get_weight(gos, peer));
            }
        }
    }
    g_hash_table_destroy(rows);
    AccountLoad_Sort(gos->options.account_loads,
                     (ReportAccount *)(void *)sum->accounts->data,
                     sum->accounts->len);
    if (sum->accounts->len > GOS_TABLE_ACCOUNTS_MAX) {
        g_array_set_size(sum->accounts, GOS_TABLE_ACCOUNTS_MAX);
    }
}

/* Reports what the other VMs use: those whose messages come here, and
   otherwise the last tables of regions. */
static AccountLoadHeard
hear(void *context, AccountLoads *loads)
{
    Gos *gos = context;
    const Peers *peers = &gos->peers;
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
            hear_report(loads, &peer->report, get_weight(gos, peer));
            heard.vms++;
        }
    }
    for (guint i = 0; i < peers->regions->len && !peers->is_mesh; i++) {
        const PeersRegion *row = g_ptr_array_index(peers->regions, i);
        bool is_own = row->region == peers->options.region;
        if (is_own ? heard.is_own_included : is_fresh(gos, row)) {
            for (uint32_t k = 0; k < row->part_count; k++) {
                hear_report(loads, &row->parts[k], 1.0);
            }
            heard.vms += row->members - (is_own && row->members > 0);
        }
    }
    return heard;
}

static void
hear_report(AccountLoads *loads, const Report *report, double weight)
{
    AccountLoad_AddHeardStreams(loads, &report->streams, weight);
    for (guint i = 0; i < report->accounts->len; i++) {
        AccountLoad_AddHeard(
            loads, &g_array_index(report->accounts, ReportAccount, i), weight);
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

/* Returns what is left of the rates that a peer reported: its reports fall by
   as much while nothing is requested. Tables come at regular times, and count
   as they are until the next one. */
static double
get_weight(const Gos *gos, const Peer *peer)
{
    int64_t age_us = Clk_Now(gos->options.clk) - peer->reported_us;

    return exp(-(double)age_us / CAP_MEMORY_US);
}

/* Returns a rate that a message told, or 0 if it is damaged. */
static double
clip(double rate)
{
    return rate >= 0 && rate <= ACCOUNTS_RATE_MAX ? rate : 0;
}

/* Adds a report's accounts to the sum, whose rows `rows` finds. */
static void
add_report(GHashTable *rows, Report *sum, const Report *from, double weight)
{
    for (guint i = 0; i < from->accounts->len; i++) {
        const ReportAccount *row =
            &g_array_index(from->accounts, ReportAccount, i);
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
        to->asked_per_s += row->asked_per_s * weight;
        to->admitted_per_s += row->admitted_per_s * weight;
        to->streams_per_s += row->streams_per_s * weight;
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
            to->accounts[n] = row->account;
            to->asked[n] = (float)row->asked_per_s;
            to->admitted[n] = (float)row->admitted_per_s;
            to->streams[n] = (float)row->streams_per_s;
            n++;
        }
    }
    to->loads.accounts = to->accounts;
    to->loads.asked = to->asked;
    to->loads.admitted = to->admitted;
    to->loads.n_accounts = n;
    to->loads.n_asked = n;
    to->loads.n_admitted = n;
    to->loads.streams = to->streams;
    to->loads.n_streams = n;
    if (number == 0) {
        to->loads.looked = (float)report->streams.looked;
        to->loads.lacking = (float)report->streams.lacking;
        to->loads.served = (float)report->streams.served;
    }
}
