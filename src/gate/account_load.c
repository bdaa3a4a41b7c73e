/* Account load: counts of client accounts. See account_load.h. */
#include "account_load.h"

#include "../io/loop.h"
#include "../log.h"
#include "task.h"

#include <math.h>

/* Time between two looks at what other VMs report. */
#define HEAR_INTERVAL_MS 50
/* A VM that has never heard another one counts on its part of the caps after
   this time, and at once if it restarted. */
#define HEAR_FIRST_US (1 * CLK_US_PER_S)

typedef struct AccountRow {
    uint64_t hash;
    const Account *account; /* Of the configuration in force. */
    Cap cap;
    double heard_asked; /* Sums of other VMs while they are being heard. */
    double heard_admitted;
} AccountRow;

struct AccountLoads {
    const GateOptions *options;
    const AccTable *accounts; /* NULL: none. */
    GHashTable *rows;         /* Hash to AccountRow, of accounts in use. */
    bool has_caps;
    struct event *timer; /* Pending while there are caps. */
    AccountLoadHear hear;
    void *context;
    CapHearing hearing;
    bool has_heard; /* Any other VM. */
    double share;   /* Part of the fleet that is heard. */
    int64_t heard_us;
    int64_t started_us;
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static void hear(AccountLoads *loads);
static double get_share(AccountLoads *loads, const AccountLoadHeard *heard,
                        int64_t now_us);
static const Account *find_capped(const AccountLoads *loads, uint64_t hash);
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
    const Account **list = g_new(const Account *, count + 1);
    int64_t now_us = get_now(loads);
    GHashTableIter iter;
    gpointer value;

    loads->accounts = accounts;
    loads->has_caps = false;
    for (size_t i = 0; count > 0 && i < Acc_List(accounts, list, count); i++) {
        loads->has_caps |= list[i]->rate_per_s > 0;
    }
    g_free(list);
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        row->account = find_capped(loads, row->hash);
        if (row->account == NULL) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            CapOptions cap = get_cap_options(loads, row->account);
            Cap_SetOptions(&row->cap, &cap, now_us);
        }
    }
    if (!loads->has_caps) {
        event_del(loads->timer);
    }
    else if (!event_pending(loads->timer, EV_TIMEOUT, NULL)) {
        Loop_ArmTimer(loads->timer, HEAR_INTERVAL_MS);
    }
    if (count > 0) {
        const AccountLoadOptions *quota = &loads->options->quota;
        Log_WriteJson(LOG_LEVEL_INFO, "accounts_in_force",
                      json_pack("{s:I,s:b,s:I,s:f,s:f}", "accounts",
                                (json_int_t)count, "capped",
                                (int)loads->has_caps, "window_us",
                                (json_int_t)quota->window_us, "excess",
                                quota->excess, "slack", quota->slack));
    }
}

bool
AccountLoad_Admit(GateTask *task)
{
    Gate *gate = task->gate;
    AccountLoads *loads = gate->account_loads;
    const Account *account = task->account;
    double probability = 1.0;
    AccountRow *row;
    double units;

    if (!loads->has_caps || account == NULL || account->rate_per_s <= 0) {
        return true;
    }
    units = Acc_GetAmount(account, (uint64_t)task->request.prompt_tokens +
                                       task->request.output_max);
    row = get_row(loads, account);
    gate->options.on_load_change(gate->options.context);
    if (!Cap_Admit(&row->cap, units, task->priority, g_rand_double(gate->rand),
                   get_now(loads), &probability)) {
        Met_Add(MET_REQUESTS_CAPPED, 1);
        log_capped(task, row, probability);
        g_strlcpy(task->cause, "the account is above its cap",
                  sizeof(task->cause));
        return false;
    }
    task->account_units = units;
    return true;
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
AccountLoad_Report(AccountLoads *loads, ReportAccount *rows, uint32_t max)
{
    guint size = g_hash_table_size(loads->rows);
    ReportAccount *all = g_new(ReportAccount, size + 1);
    int64_t now_us = get_now(loads);
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        CapRates rates = Cap_Report(&row->cap, now_us);
        if (rates.asked_per_s != 0 || rates.admitted_per_s != 0) {
            all[count++] = (ReportAccount){row->hash, rates.asked_per_s,
                                           rates.admitted_per_s};
        }
    }
    AccountLoad_Sort(loads, all, count);
    count = MIN(count, max);
    memcpy(rows, all, count * sizeof(*rows));
    g_free(all);
    return count;
}

void
AccountLoad_AddHeard(AccountLoads *loads, const ReportAccount *row,
                     double weight)
{
    const Account *account = find_capped(loads, row->account);
    AccountRow *known;

    if (account == NULL) {
        return; /* Of another configuration. */
    }
    known = get_row(loads, account);
    known->heard_asked += row->asked_per_s * weight;
    known->heard_admitted += row->admitted_per_s * weight;
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
    g_hash_table_iter_init(&iter, loads->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AccountRow *row = value;
        CapOthers others = {.share = loads->share};
        CapRates own = {0};
        if (heard.is_own_included) {
            own = Cap_GetTold(&row->cap, now_us);
        }
        others.asked_per_s = MAX(0, row->heard_asked - own.asked_per_s);
        /* Not cut at 0: reports of this VM are told again with a delay, which
           evens out only if both signs count. */
        others.admitted_per_s = row->heard_admitted - own.admitted_per_s;
        row->heard_asked = 0;
        row->heard_admitted = 0;
        Cap_SetOthers(&row->cap, &others, now_us);
        if (Cap_IsIdle(&row->cap, now_us) &&
            now_us - loads->started_us >= loads->options->quota.window_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
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

/* Returns the account of this hash if it has a cap, or else NULL. */
static const Account *
find_capped(const AccountLoads *loads, uint64_t hash)
{
    const Account *account =
        loads->accounts != NULL ? Acc_FindByHash(loads->accounts, hash) : NULL;

    return account != NULL && account->rate_per_s > 0 ? account : NULL;
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
    CapOptions options = {
        .rate_per_s = account->rate_per_s,
        .burst = account->burst,
        .reserve = Cap_GetReserve(account->rate_per_s, account->burst,
                                  quota->excess, quota->window_us),
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
    const Account *account = find_capped(loads, row->account);
    double rate = MAX(row->asked_per_s, fabs(row->admitted_per_s));

    return account != NULL ? rate / account->rate_per_s : 0;
}

/* Returns the time with that for which the machine was suspended: the other
   VMs go on meanwhile. */
static int64_t
get_now(const AccountLoads *loads)
{
    const Clk *clk = loads->options->clk;

    return Clk_Now(clk) + Clk_GetSuspended(clk);
}
