/* Loans of gossip: VMs ask others for calls of retry budgets. A lost question
   or answer costs a loan, never the bound: what a VM has lent counts as used
   by it. See decide/budget.h and gossip_message.h. */
#include "gossip_message.h"

#include <string.h>
#include <xxhash.h>

/* A question without an answer counts as in vain after this time: some round
   trips between regions. */
#define LOAN_TIMEOUT_US (60 * CLK_US_PER_MS)
/* After this many questions in vain, the next ones wait. */
#define LOAN_VAIN_MAX 4
#define LOAN_PAUSE_US (500 * CLK_US_PER_MS)

static bool is_only_vm(const Gos *gos);
static bool has_heard(const Peers *peers, const char *region);
static int64_t get_now(const Gos *gos);
static GosLoanAsk *find_ask(Gos *gos, uint64_t service);
static uint32_t count_parts(uint32_t calls);
static uint64_t choose_lender(const Gos *gos, uint64_t last);
static void send_loan(Gos *gos, uint64_t to, const Gossip__Loan *loan,
                      bool is_ask);

uint32_t
Gos_GetMostVms(const Gos *gos)
{
    const Peers *peers = &gos->peers;
    GHashTableIter iter;
    gpointer region;

    if (gos->options.regions != NULL && !peers->knows_fleet &&
        !is_only_vm(gos)) {
        g_hash_table_iter_init(&iter, gos->options.regions);
        while (g_hash_table_iter_next(&iter, NULL, &region)) {
            if (!has_heard(peers, region)) {
                return 0;
            }
        }
    }
    return MAX(peers->most_vms, Peers_CountVms(peers));
}

void
Gos_AskLoan(Gos *gos, const char *service, const BudgetAsk *wanted)
{
    uint64_t hash = XXH3_64bits(service, strlen(service));
    int64_t now_us = get_now(gos);
    GosLoanAsk *ask = find_ask(gos, hash);
    Gossip__Loan loan;

    if (ask == NULL) {
        return;
    }
    if (ask->asked_us != 0) {
        if (now_us - ask->asked_us < LOAN_TIMEOUT_US) {
            return;
        }
        ask->vain_count++;
        ask->vain_us = now_us;
        ask->asked_us = 0;
    }
    if (ask->vain_count >= LOAN_VAIN_MAX) {
        if (now_us - ask->vain_us < LOAN_PAUSE_US) {
            return;
        }
        ask->vain_count = 0;
    }
    ask->lender = choose_lender(gos, ask->lender);
    if (ask->lender == 0) {
        return;
    }
    ask->number = ++gos->loan_number;
    ask->parts = wanted->parts;
    ask->asked_us = now_us;
    gossip__loan__init(&loan);
    loan.service = hash;
    loan.number = ask->number;
    loan.calls = wanted->parts / BUDGET_CALL;
    loan.parts = wanted->parts;
    loan.turn = wanted->is_turn;
    send_loan(gos, ask->lender, &loan, true);
}

bool
Gos_HandleLoans(Gos *gos, const Gossip__News *news)
{
    const GosOptions *options = &gos->options;

    if (news->n_loan_asks == 0 && news->n_loans == 0) {
        return false;
    }
    if (options->lend == NULL) {
        return true;
    }
    for (size_t i = 0; i < news->n_loan_asks; i++) {
        Gossip__Loan loan = *news->loan_asks[i];
        BudgetAsk ask = {
            .parts = loan.parts != 0 ? loan.parts : count_parts(loan.calls),
            .takes_fractions = loan.parts != 0,
            .is_turn = loan.turn,
        };
        uint32_t lent = options->lend(options->context, loan.service, &ask);
        loan.calls = lent / BUDGET_CALL;
        loan.parts = ask.takes_fractions ? lent : 0;
        loan.turn = false;
        send_loan(gos, news->address, &loan, false);
    }
    for (size_t i = 0; i < news->n_loans; i++) {
        const Gossip__Loan *loan = news->loans[i];
        GosLoanAsk *ask = find_ask(gos, loan->service);
        int64_t asked_us = ask != NULL ? ask->asked_us : 0;
        uint32_t parts =
            loan->parts != 0 ? loan->parts : count_parts(loan->calls);
        if (asked_us == 0 || ask->lender != news->address ||
            ask->number != loan->number) {
            continue;
        }
        ask->asked_us = 0;
        if (parts == 0) {
            ask->vain_count++;
            ask->vain_us = get_now(gos);
        }
        else {
            ask->vain_count = 0;
        }
        options->borrow(options->context, loan->service,
                        MIN(parts, ask->parts), asked_us);
    }
    return true;
}

/* Whether the settings name no other VM, and none was heard. */
static bool
is_only_vm(const Gos *gos)
{
    bool is_only = gos->peers.heard_region_count == 0;

    for (size_t i = 0; i < GOS_SEEDS_MAX; i++) {
        is_only &= gos->seeds[i] == 0 || gos->seeds[i] == gos->address;
    }
    return is_only;
}

/* Whether any other VM of the region was ever heard. */
static bool
has_heard(const Peers *peers, const char *region)
{
    uint32_t hash = (uint32_t)XXH3_64bits(region, strlen(region));
    bool has_heard = false;

    for (uint32_t i = 0; i < peers->heard_region_count; i++) {
        has_heard |= peers->heard_regions[i] == hash;
    }
    return has_heard;
}

/* Returns the time with that for which the machine was suspended: a loan ends
   meanwhile. */
static int64_t
get_now(const Gos *gos)
{
    return Clk_Now(gos->options.clk) + Clk_GetSuspended(gos->options.clk);
}

/* Returns the row of the service, which is added if it is new; NULL if there
   is no room. */
static GosLoanAsk *
find_ask(Gos *gos, uint64_t service)
{
    for (size_t i = 0; i < G_N_ELEMENTS(gos->loan_asks); i++) {
        GosLoanAsk *row = &gos->loan_asks[i];
        if (row->service == service || row->service == 0) {
            row->service = service;
            return row;
        }
    }
    return NULL;
}

/* Returns the parts of whole calls, as earlier builds count them. */
static uint32_t
count_parts(uint32_t calls)
{
    return MIN(calls, UINT32_MAX / BUDGET_CALL) * BUDGET_CALL;
}

/* Returns a random live VM that lends, another one than the last if there is
   one, or 0. */
static uint64_t
choose_lender(const Gos *gos, uint64_t last)
{
    const Peer *peer = NULL;
    uint64_t lender = 0;
    guint32 count = 0;

    LIST_FOREACH(peer, &gos->peers.list, links)
    {
        if (Peers_IsLive(&gos->peers, peer) && !peer->is_stopping &&
            (peer->serves & GATE_SERVES_LOANS) != 0 && peer->address != last &&
            g_rand_int(gos->rand) % ++count == 0) {
            lender = peer->address;
        }
    }
    return lender != 0 ? lender : last;
}

static void
send_loan(Gos *gos, uint64_t to, const Gossip__Loan *loan, bool is_ask)
{
    Gossip__Loan row = *loan;
    Gossip__Loan *rows = &row;
    Gossip__Table no_load;
    GosMessage message;

    gossip__loan__init(&row);
    row.service = loan->service;
    row.number = loan->number;
    row.calls = loan->calls;
    row.parts = loan->parts;
    row.turn = loan->turn;
    Gos_BeginWithoutLoad(gos, &message, &no_load);
    if (is_ask) {
        message.news.loan_asks = &rows;
        message.news.n_loan_asks = 1;
    }
    else {
        message.news.loans = &rows;
        message.news.n_loans = 1;
    }
    Gos_PackMessage(&message);
    Gos_SendTo(gos, to, &message);
}
