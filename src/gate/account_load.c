/* Account load: counts of client accounts. See account_load.h. */
#include "account_load.h"

#include "../decide/fair_share.h"
#include "../io/loop.h"
#include "../log.h"
#include "task.h"

#include <math.h>

/* Time between two looks at what other VMs report. */
#define HEAR_INTERVAL_MS 50
/* A VM that has never heard another one counts on its part of the caps after
   this time, and at once if it restarted. */
#define HEAR_FIRST_US (1 * CLK_US_PER_S)

/* Time over which the loads of streams are averaged for the fair share: some
   streams of each account. */
#define SMOOTH_US (1 * CLK_US_PER_S)
/* Tokens of a stream that tells none, if its account does not say. */
#define STREAM_TOKENS 5000
/* Share of the reserve of a cap that counts requests: the bound's slack is
   tokens, so that all of a surge's first half second comes from the excess. */
#define NO_SLACK_RESERVE 0.5
/* Reports that tell a change, as messages get lost. */
#define NEWS_REPORTS 2
/* A region's table tells an account each time if the region asks for this
   share of the rate, or the level is below this share of the burst. */
#define URGENT_SHARE 0.8
#define URGENT_LEVEL 0.7
/* Rates below this count as none, tokens a second. */
#define STREAMS_MIN 1.0

/* A rate like those of Cap: units enter it with the report that is the first
   to tell them. */
typedef struct Count {
    double told; /* As of the last report, a second. */
    double fresh;
} Count;

typedef struct AccountRow {
    uint64_t hash;
    const Account *account; /* Of the configuration in force. */
    Cap cap;                /* Not used if the account has none. */
    Count streams;          /* Tokens. */
    double streams_per_s;   /* Of all VMs, mean. */
    uint32_t news;          /* Reports that must still tell it. */
    /* Sums of other VMs while they are being heard. */
    ReportAccount heard;
} AccountRow;

struct AccountLoads {
    const GateOptions *options;
    const AccTable *accounts; /* NULL: none. */
    GHashTable *rows;         /* Hash to AccountRow, of accounts in use. */
    struct event *timer;      /* Pending while there are accounts. */
    FairShare fair;
    Count looked;
    Count lacking;
    Count served;
    uint32_t news;         /* As in AccountRow. */
    int64_t told_us;       /* When all counts were reported. */
    ReportStreams heard;   /* Sum of other VMs while they are heard. */
    ReportStreams streams; /* Of all VMs, mean. */
    double stream_size;    /* Tokens of a stream, mean. */
    AccountLoadHear hear;
    void *context;
    CapHearing hearing;
    int64_t smoothed_us;
    bool has_heard; /* Any other VM. */
    double share;   /* Part of the fleet that is heard. */
    int64_t heard_us;
    int64_t started_us;
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static void hear(AccountLoads *loads);
static double get_share(AccountLoads *loads, const AccountLoadHeard *heard,
                        int64_t now_us);
static void update_fair_share(AccountLoads *loads, bool is_own_included,
                              int64_t now_us);
static bool admit_stream(GateTask *task, AccountRow *row, uint64_t tokens);
static void add_told(const AccountRow *row, double decay, int64_t now_us,
                     GArray *list);
static void report(Count *count, double decay);
static double add_own(double others, const Count *own, double decay,
                      bool is_included);
static void smooth(double *mean, double value, double kept);
static double get_decay(int64_t from_us, int64_t to_us, int64_t memory_us);
static const Account *find_account(const AccountLoads *loads, uint64_t hash);
static bool has_cap(const Account *account);
static AccountRow *get_row(AccountLoads *loads, const Account *account);
static CapOptions get_cap_options(const AccountLoads *loads,
                                  const Account *account);
static void log_capped(const GateTask *task, const AccountRow *row,
                       double probability);
static gint compare_weights(gconstpointer a, gconstpointer b,
                            gpointer context);
static double get_weight(const AccountLoads *loads, const ReportAccount *row);
static int64_t get_now(const AccountLoads *loads);

AccountLoadOptions
AccountLoad_DefaultOptions(void)
{
    AccountLoadOptions options = {.window_us = 8 * CLK_US_PER_S,
                                  .excess = 0.25,
                                  .slack = 190000,
                                  .is_first_start = true};
    return options;
}

AccountLoads *
AccountLoad_New(const GateOptions *options)
{
    AccountLoads *loads = g_new0(AccountLoads, 1);

    loads->options = options;
    loads->rows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    loads->timer = evtimer_new(options->base, on_timer, loads);
    loads->started_us = get_now(loads);
    loads->share = 1.0;
    return loads;
}

void
AccountLoad_Free(AccountLoads *loads)
{
    if (loads == NULL) {
        return;
    }
    event_free(loads->timer);
    g_hash_table_destroy(loads->rows);
    g_free(loads);
}

void
AccountLoad_SetHear(AccountLoads *loads, AccountLoadHear callback,
                    void *context)
{
    loads->hear = callback;
    loads->context = context;
}

void
AccountLoad_SetAccounts(AccountLoads *loads, const AccTable *accounts)
{
    size_t count = accounts != NULL ? Acc_List(accounts, NULL, 0) : 0;
    int64_t now_us = get_now(loads);
    GHashTableIter iter;
    gpointer value;

    loads->accounts = count > 0 ? accounts : NULL;
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        const Account *before = row->account;
        row->account = find_account(loads, row->hash);
        /* A change of the unit begins anew. */
        if (row->account == NULL || row->account->unit != before->unit ||
            has_cap(row->account) != has_cap(before)) {
            g_hash_table_iter_remove(&iter);
        }
        else if (has_cap(row->account)) {
            CapOptions cap = get_cap_options(loads, row->account);
            Cap_SetOptions(&row->cap, &cap, now_us);
        }
    }
    if (loads->accounts == NULL) {
        event_del(loads->timer);
    }
    else if (!event_pending(loads->timer, EV_TIMEOUT, NULL)) {
        Loop_ArmTimer(loads->timer, HEAR_INTERVAL_MS);
    }
    if (count > 0) {
        const AccountLoadOptions *quota = &loads->options->quota;
        Log_WriteJson(LOG_LEVEL_INFO, "accounts_in_force",
                      json_pack("{s:I,s:I,s:f,s:f}", "accounts",
                                (json_int_t)count, "window_us",
                                (json_int_t)quota->window_us, "excess",
                                quota->excess, "slack", quota->slack));
    }
}

bool
AccountLoad_Admit(GateTask *task, AdmissionCause *cause)
{
    Gate *gate = task->gate;
    AccountLoads *loads = gate->account_loads;
    const Account *account = task->account;
    uint64_t tokens =
        (uint64_t)task->request.prompt_tokens + task->request.output_max;
    AccountRow *row;

    if (loads->accounts == NULL || account == NULL) {
        return true;
    }
    row = get_row(loads, account);
    if (has_cap(account)) {
        double units = Acc_GetAmount(account, tokens);
        double probability;
        gate->options.on_load_change(gate->options.context);
        if (!Cap_Admit(&row->cap, units, task->priority,
                       g_rand_double(gate->rand), get_now(loads),
                       &probability)) {
            Met_Add(MET_REQUESTS_CAPPED, 1);
            log_capped(task, row, probability);
            g_strlcpy(task->cause, "the account is above its cap",
                      sizeof(task->cause));
            *cause = ADMISSION_CAPPED;
            return false;
        }
        task->account_units = units;
    }
    if (task->route->kind == RTE_STREAM && !admit_stream(task, row, tokens)) {
        g_strlcpy(task->cause, "the account is above its fair share",
                  sizeof(task->cause));
        *cause = ADMISSION_FULL;
        return false;
    }
    return true;
}

void
AccountLoad_NoteRoom(GateTask *task, bool lacks_room)
{
    AccountLoads *loads = task->gate->account_loads;

    if (!task->is_room_noted) {
        task->is_room_noted = true;
        loads->looked.fresh += task->stream_units;
        loads->lacking.fresh += lacks_room ? task->stream_units : 0;
    }
}

void
AccountLoad_NoteServed(GateTask *task)
{
    if (!task->is_served) {
        task->is_served = true;
        task->gate->account_loads->served.fresh += task->stream_units;
    }
}

void
AccountLoad_GiveBack(GateTask *task)
{
    AccountLoads *loads = task->gate->account_loads;
    AccountRow *row;

    if (task->account_units == 0) {
        return;
    }
    row = g_hash_table_lookup(loads->rows, &task->account->hash);
    if (row != NULL) {
        Cap_GiveBack(&row->cap, task->account_units, get_now(loads));
        Met_Add(MET_REQUESTS_GIVEN_BACK, 1);
    }
    task->account_units = 0;
}

int64_t
AccountLoad_GetWait(const GateTask *task)
{
    AccountLoads *loads = task->gate->account_loads;
    const AccountRow *row =
        g_hash_table_lookup(loads->rows, &task->account->hash);

    return row != NULL ? Cap_GetFreeTime(&row->cap, get_now(loads)) : 0;
}

uint32_t
AccountLoad_Report(AccountLoads *loads, bool is_all, ReportAccount *rows,
                   uint32_t max, ReportStreams *streams)
{
    GArray *list = NULL;
    int64_t now_us = get_now(loads);
    double decay = get_decay(loads->told_us, now_us, CAP_MEMORY_US);
    uint32_t count;
    GHashTableIter iter;
    gpointer value;

    *streams = (ReportStreams){0};
    if (loads->accounts == NULL) {
        return 0;
    }
    if (loads->looked.fresh != 0 || loads->served.fresh != 0) {
        loads->news = NEWS_REPORTS;
    }
    report(&loads->looked, decay);
    report(&loads->lacking, decay);
    report(&loads->served, decay);
    if (loads->news > 0 || is_all) {
        loads->news -= loads->news > 0;
        *streams = (ReportStreams){loads->looked.told, loads->lacking.told,
                                   loads->served.told};
    }
    list = g_array_new(FALSE, FALSE, sizeof(ReportAccount));
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        if (row->streams.fresh != 0 || row->cap.new_asked != 0 ||
            row->cap.new_admitted != 0) {
            row->news = NEWS_REPORTS;
        }
        report(&row->streams, decay);
        if (has_cap(row->account)) {
            Cap_Report(&row->cap, now_us);
        }
        if (row->news > 0 || is_all) {
            row->news -= row->news > 0;
            add_told(row, 1.0, now_us, list);
        }
    }
    loads->told_us = now_us;
    AccountLoad_Sort(loads, (ReportAccount *)(void *)list->data, list->len);
    count = MIN(list->len, max);
    for (uint32_t i = 0; i < count; i++) {
        rows[i] = g_array_index(list, ReportAccount, i);
    }
    g_array_free(list, TRUE);
    return count;
}

void
AccountLoad_ListTold(const AccountLoads *loads, Report *to)
{
    int64_t now_us = get_now(loads);
    double decay = get_decay(loads->told_us, now_us, CAP_MEMORY_US);
    GHashTableIter iter;
    gpointer value;

    to->streams = (ReportStreams){loads->looked.told * decay,
                                  loads->lacking.told * decay,
                                  loads->served.told * decay};
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_told(value, decay, now_us, to->accounts);
    }
}

bool
AccountLoad_HasAccounts(const AccountLoads *loads)
{
    return loads->accounts != NULL;
}

bool
AccountLoad_IsUrgent(const AccountLoads *loads, const ReportAccount *row)
{
    const AccountRow *known = g_hash_table_lookup(loads->rows, &row->account);

    if (known == NULL || !has_cap(known->account)) {
        return loads->fair.limit > 0;
    }
    return row->asked_per_s >= URGENT_SHARE * known->account->rate_per_s ||
           Cap_GetLevel(&known->cap, get_now(loads)) <
               URGENT_LEVEL * known->account->burst ||
           loads->fair.limit > 0;
}

/* Adds what this VM told last of an account, if it is any use. */
static void
add_told(const AccountRow *row, double decay, int64_t now_us, GArray *list)
{
    ReportAccount told = {.account = row->hash,
                          .streams_per_s = row->streams.told * decay};

    if (has_cap(row->account)) {
        CapRates rates = Cap_GetTold(&row->cap, now_us);
        told.asked_per_s = rates.asked_per_s;
        told.admitted_per_s = rates.admitted_per_s;
    }
    if (told.asked_per_s != 0 || told.admitted_per_s != 0 ||
        told.streams_per_s != 0) {
        g_array_append_val(list, told);
    }
}

void
AccountLoad_AddHeard(AccountLoads *loads, const ReportAccount *row,
                     double weight)
{
    const Account *account = find_account(loads, row->account);
    AccountRow *known;

    if (account == NULL) {
        return; /* Of another configuration. */
    }
    known = get_row(loads, account);
    known->heard.asked_per_s += row->asked_per_s * weight;
    known->heard.admitted_per_s += row->admitted_per_s * weight;
    known->heard.streams_per_s += row->streams_per_s * weight;
}

void
AccountLoad_AddHeardStreams(AccountLoads *loads, const ReportStreams *streams,
                            double weight)
{
    loads->heard.looked += streams->looked * weight;
    loads->heard.lacking += streams->lacking * weight;
    loads->heard.served += streams->served * weight;
}

void
AccountLoad_Sort(const AccountLoads *loads, ReportAccount *rows,
                 uint32_t count)
{
    g_qsort_with_data(rows, (gint)count, sizeof(*rows), compare_weights,
                      (gpointer)loads);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    AccountLoads *loads = context;

    (void)fd;
    (void)what;
    hear(loads);
    Loop_ArmTimer(loads->timer, HEAR_INTERVAL_MS);
}

/* Takes over what the other VMs report now. */
static void
hear(AccountLoads *loads)
{
    int64_t now_us = get_now(loads);
    AccountLoadHeard heard = {.vms = 1};
    GHashTableIter iter;
    gpointer value;

    if (loads->hear != NULL) {
        heard = loads->hear(loads->context, loads);
    }
    loads->share = get_share(loads, &heard, now_us);
    loads->heard_us = now_us;
    update_fair_share(loads, heard.is_own_included, now_us);
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        CapOthers others = {.share = loads->share};
        CapRates own = {0};
        if (heard.is_own_included) {
            own = Cap_GetTold(&row->cap, now_us);
        }
        others.asked_per_s = MAX(0, row->heard.asked_per_s - own.asked_per_s);
        /* Not cut at 0: reports of this VM are told again with a delay, which
           evens out only if both signs count. */
        others.admitted_per_s = row->heard.admitted_per_s - own.admitted_per_s;
        row->heard = (ReportAccount){0};
        if (has_cap(row->account)) {
            Cap_SetOthers(&row->cap, &others, now_us);
        }
        if (row->streams_per_s < STREAMS_MIN &&
            (!has_cap(row->account) || Cap_IsIdle(&row->cap, now_us)) &&
            now_us - loads->started_us >= loads->options->quota.window_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Averages the loads of streams of all VMs, and decides which accounts take
   more than their fair share. */
static void
update_fair_share(AccountLoads *loads, bool is_own_included, int64_t now_us)
{
    double kept = get_decay(loads->smoothed_us, now_us, SMOOTH_US);
    double decay = get_decay(loads->told_us, now_us, CAP_MEMORY_US);
    double *asked = g_new(double, g_hash_table_size(loads->rows) + 1);
    uint32_t count = 0;
    FairShareLoad load;
    GHashTableIter iter;
    gpointer value;

    smooth(
        &loads->streams.looked,
        add_own(loads->heard.looked, &loads->looked, decay, is_own_included),
        kept);
    smooth(
        &loads->streams.lacking,
        add_own(loads->heard.lacking, &loads->lacking, decay, is_own_included),
        kept);
    smooth(
        &loads->streams.served,
        add_own(loads->heard.served, &loads->served, decay, is_own_included),
        kept);
    loads->heard = (ReportStreams){0};
    loads->smoothed_us = now_us;
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        smooth(&row->streams_per_s,
               add_own(row->heard.streams_per_s, &row->streams, decay,
                       is_own_included),
               kept);
        if (row->streams_per_s >= STREAMS_MIN) {
            asked[count++] = row->streams_per_s;
        }
    }
    load = (FairShareLoad){loads->streams.looked, loads->streams.lacking,
                           loads->streams.served, loads->stream_size};
    FairShare_Update(&loads->fair, &load, asked, count, now_us);
    g_free(asked);
}

/* Counts a stream, and returns whether its account's fair share admits it. One
   that a caller resumes has been served before. */
static bool
admit_stream(GateTask *task, AccountRow *row, uint64_t tokens)
{
    AccountLoads *loads = task->gate->account_loads;
    double units = tokens > 0 ? (double)tokens
                   : row->account->default_tokens > 0
                       ? row->account->default_tokens
                       : STREAM_TOKENS;
    double probability =
        FairShare_GetProbability(&loads->fair, row->streams_per_s);

    loads->stream_size = loads->stream_size == 0
                             ? units
                             : loads->stream_size * 0.95 + units * 0.05;
    row->streams.fresh += units;
    if (task->request.last_event == GATE_NO_EVENT &&
        g_rand_double(task->gate->rand) >= probability) {
        Met_Add(MET_STREAMS_OVER_SHARE, 1);
        Log_WriteJson(
            LOG_LEVEL_INFO, "stream_over_share",
            json_pack("{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:I,s:f}", "request",
                      task->request.id, "account", row->account->name, "asked",
                      row->streams_per_s, "limit", loads->fair.limit, "looked",
                      loads->streams.looked, "lacking", loads->streams.lacking,
                      "served", loads->streams.served, "heard_age_us",
                      (json_int_t)(get_now(loads) - loads->heard_us), "p",
                      probability));
        return false;
    }
    task->stream_units = units;
    return true;
}

/* Moves what is new into the rate. */
static void
report(Count *count, double decay)
{
    count->told =
        count->told * decay + count->fresh * CLK_US_PER_S / CAP_MEMORY_US;
    count->told = count->told < STREAMS_MIN ? 0 : count->told;
    count->fresh = 0;
}

/* Returns the rate of all VMs. `is_included`: that of the others holds what
   this VM told. */
static double
add_own(double others, const Count *own, double decay, bool is_included)
{
    double told = own->told * decay;

    return MAX(0, others - (is_included ? told : 0)) + told +
           own->fresh * CLK_US_PER_S / CAP_MEMORY_US;
}

static void
smooth(double *mean, double value, double kept)
{
    *mean = *mean * kept + value * (1 - kept);
}

static double
get_decay(int64_t from_us, int64_t to_us, int64_t memory_us)
{
    return to_us > from_us ? exp(-(double)(to_us - from_us) / memory_us) : 1.0;
}

/* Returns the part of the fleet that this VM hears. */
static double
get_share(AccountLoads *loads, const AccountLoadHeard *heard, int64_t now_us)
{
    bool is_late = !loads->options->quota.is_first_start ||
                   now_us - loads->started_us >= HEAR_FIRST_US;

    loads->has_heard |= heard->vms > 1;
    if (!loads->has_heard && heard->has_seeds) {
        return is_late ? 1.0 / MAX(heard->most_vms, 1) : 1.0;
    }
    return Cap_NoteHeard(&loads->hearing, heard->vms, heard->most_vms, now_us);
}

/* Returns NULL if the configuration has no account of this hash. */
static const Account *
find_account(const AccountLoads *loads, uint64_t hash)
{
    return loads->accounts != NULL ? Acc_FindByHash(loads->accounts, hash)
                                   : NULL;
}

static bool
has_cap(const Account *account)
{
    return account->rate_per_s > 0;
}

static AccountRow *
get_row(AccountLoads *loads, const Account *account)
{
    const AccountLoadOptions *quota = &loads->options->quota;
    AccountRow *row = g_hash_table_lookup(loads->rows, &account->hash);
    int64_t now_us = get_now(loads);
    CapOthers others = {.share = loads->share};
    CapOptions cap;

    if (row != NULL) {
        return row;
    }
    row = g_new0(AccountRow, 1);
    row->hash = account->hash;
    row->account = account;
    cap = get_cap_options(loads, account);
    if (!quota->is_first_start &&
        now_us - loads->started_us < quota->window_us) {
        /* Nobody has used the account since this VM hears the others. */
        Cap_Init(&row->cap, &cap, true, loads->started_us);
    }
    else {
        Cap_Init(&row->cap, &cap, false, now_us);
    }
    Cap_SetOthers(&row->cap, &others, now_us);
    g_hash_table_insert(loads->rows, &row->hash, row);
    return row;
}

static CapOptions
get_cap_options(const AccountLoads *loads, const Account *account)
{
    const AccountLoadOptions *quota = &loads->options->quota;
    bool has_slack = account->unit == ACC_UNIT_TOKENS;
    CapOptions options = {
        .rate_per_s = account->rate_per_s,
        .burst = account->burst,
        .reserve = Cap_GetReserve(account->rate_per_s, account->burst,
                                  quota->excess, quota->window_us) *
                   (has_slack ? 1.0 : NO_SLACK_RESERVE),
    };

    return options;
}

static void
log_capped(const GateTask *task, const AccountRow *row, double probability)
{
    const AccountLoads *loads = task->gate->account_loads;
    int64_t now_us = get_now(loads);
    const Cap *cap = &row->cap;

    Log_WriteJson(
        LOG_LEVEL_INFO, "request_capped",
        json_pack(
            "{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:I,s:f,s:i}", "request",
            task->request.id, "account", row->account->name, "level",
            Cap_GetLevel(cap, now_us), "rate", cap->options.rate_per_s,
            "burst", cap->options.burst, "asked", Cap_GetAsked(cap, now_us),
            "others_asked", cap->others.asked_per_s, "others_admitted",
            cap->others.admitted_per_s, "share", cap->others.share,
            "heard_age_us",
            (json_int_t)(loads->heard_us != 0 ? now_us - loads->heard_us : -1),
            "p", probability, "priority", (int)task->priority));
}

static gint
compare_weights(gconstpointer a, gconstpointer b, gpointer context)
{
    double one = get_weight(context, a);
    double two = get_weight(context, b);

    return (one < two) - (one > two);
}

/* Returns how close the account is to its cap. */
static double
get_weight(const AccountLoads *loads, const ReportAccount *row)
{
    const Account *account = find_account(loads, row->account);
    double rate = MAX(row->asked_per_s, fabs(row->admitted_per_s));

    return account != NULL && has_cap(account) ? rate / account->rate_per_s
                                               : 0;
}

/* Returns the time with that for which the machine was suspended: the other
   VMs go on meanwhile. */
static int64_t
get_now(const AccountLoads *loads)
{
    const Clk *clk = loads->options->clk;

    return Clk_Now(clk) + Clk_GetSuspended(clk);
}
