/* Budget: counts and limits extra calls. See budget.h. */
#include "budget.h"

#include <string.h>

static double get_slack(const Budget *budget, uint32_t vms, int64_t now_us);
static void count(const Budget *budget, int64_t window_us, int64_t now_us,
                  double *requests, double *extras);
static double get_own_left(const Budget *budget, uint32_t vms,
                           int64_t window_us, int64_t now_us);
static uint32_t get_held(const Budget *budget, uint32_t vms, int64_t now_us);
static bool keeps_part(const Budget *budget, const BudgetAsk *ask,
                       int64_t now_us);
static uint32_t use_loans(Budget *budget, int64_t now_us);
static uint32_t count_loans(const BudgetLoan *loans, int64_t now_us);
static BudgetLoan *find_loan(BudgetLoan *loans, int64_t now_us);
static int64_t get_bucket_us(const Budget *budget);
static int64_t get_bucket_number(const Budget *budget, int64_t now_us);
static BudgetBucket *get_bucket(Budget *budget, int64_t now_us);

BudgetOptions
Budget_DefaultOptions(void)
{
    BudgetOptions options = {
        .ratio = 0.1, .slack = 10.0, .window_us = 10 * CLK_US_PER_S};
    return options;
}

void
Budget_Init(Budget *budget, const BudgetOptions *options)
{
    memset(budget, 0, sizeof(*budget));
    budget->options = *options;
}

void
Budget_NoteRequest(Budget *budget, int64_t now_us)
{
    get_bucket(budget, now_us)->requests++;
}

BudgetSource
Budget_NoteExtra(Budget *budget, uint32_t vms, int64_t now_us)
{
    uint32_t own = BUDGET_CALL;

    if (get_own_left(budget, vms, budget->options.window_us, now_us) < 1.0) {
        own -= use_loans(budget, now_us);
    }
    get_bucket(budget, now_us)->extras += own;
    return own == BUDGET_CALL ? BUDGET_OWN : BUDGET_LOAN;
}

void
Budget_CancelExtra(Budget *budget, BudgetSource source, int64_t now_us)
{
    BudgetBucket *bucket = get_bucket(budget, now_us);

    if (source == BUDGET_OWN && bucket->extras >= BUDGET_CALL) {
        bucket->extras -= BUDGET_CALL;
    }
}

uint32_t
Budget_GetRemaining(const Budget *budget, uint32_t vms, int64_t now_us)
{
    return get_held(budget, vms, now_us) / BUDGET_CALL;
}

void
Budget_Want(Budget *budget, uint32_t calls, int64_t until_us)
{
    budget->wanted = calls;
    budget->wanted_until_us = until_us;
}

bool
Budget_IsLow(const Budget *budget, uint32_t vms, int64_t now_us)
{
    const BudgetOptions *options = &budget->options;
    uint32_t calls = BUDGET_LOW;

    if (now_us < budget->wanted_until_us && budget->wanted > calls) {
        calls = budget->wanted;
    }
    return (options->slack > 0 || options->ratio > 0) &&
           Budget_GetRemaining(budget, vms, now_us) < calls;
}

void
Budget_BeginAsk(Budget *budget, uint32_t vms, uint32_t parts, double draw,
                int64_t now_us, BudgetAsk *ask)
{
    if (now_us >= budget->turn_end_us) {
        double requests;
        double extras;
        double part;
        count(budget, budget->options.window_us, now_us, &requests, &extras);
        part = budget->options.ratio / 2 * requests +
               get_slack(budget, vms, now_us);
        budget->turn_end_us = now_us + BUDGET_TURN_US;
        /* The fractions of two VMs or more make one call. */
        budget->is_turn = draw < part / 2;
    }
    budget->asked_us = now_us;
    *ask = (BudgetAsk){
        .parts = parts, .takes_fractions = true, .is_turn = budget->is_turn};
}

uint32_t
Budget_Lend(Budget *budget, uint32_t vms, const BudgetAsk *ask, int64_t now_us)
{
    /* The calls arrive later than those that this VM sends now, so the
       requests that allow them must be younger by that. */
    int64_t delay_us = BUDGET_LOAN_US + BUDGET_TRANSIT_US;
    double left = get_own_left(budget, vms,
                               budget->options.window_us - delay_us, now_us);
    uint32_t parts = left > 0 ? (uint32_t)(left * BUDGET_CALL) : 0;
    BudgetLoan *loan = find_loan(budget->lent, now_us);

    if (parts >= 2 * BUDGET_CALL) {
        parts /= 2;
    }
    else if (parts >= BUDGET_CALL) {
        parts = BUDGET_CALL;
    }
    else if (parts < BUDGET_LOAN_MIN || !ask->takes_fractions ||
             keeps_part(budget, ask, now_us)) {
        return 0;
    }
    parts = parts < ask->parts ? parts : ask->parts;
    if (!ask->takes_fractions) {
        parts -= parts % BUDGET_CALL;
    }
    if (loan == NULL) {
        return 0;
    }
    loan->parts = parts;
    loan->until_us = now_us + delay_us + budget->options.window_us;
    return parts;
}

void
Budget_Borrow(Budget *budget, uint32_t parts, int64_t asked_us, int64_t now_us)
{
    BudgetLoan *loan = find_loan(budget->borrowed, now_us);

    if (loan != NULL) {
        loan->parts = parts;
        loan->until_us = asked_us + BUDGET_LOAN_US;
    }
}

void
Budget_GetUsed(const Budget *budget, int64_t now_us, double *requests,
               double *extras)
{
    count(budget, budget->options.window_us, now_us, requests, extras);
}

/* Counts the requests of the last `window_us`, and the extra calls that may
   arrive in the last window of the budget. */
static void
count(const Budget *budget, int64_t window_us, int64_t now_us,
      double *requests, double *extras)
{
    int64_t number = get_bucket_number(budget, now_us);
    int64_t window_buckets = window_us / get_bucket_us(budget);

    *requests = 0;
    *extras = 0;
    for (int i = 0; i < BUDGET_BUCKETS + 2; i++) {
        const BudgetBucket *bucket = &budget->buckets[i];
        if (bucket->number > number - window_buckets) {
            *requests += bucket->requests;
        }
        /* A window may begin inside a bucket, so one more bucket counts. */
        if (bucket->number >= number - BUDGET_BUCKETS) {
            *extras += (double)bucket->extras / BUDGET_CALL;
        }
    }
}

/* Returns this VM's part of the slack. */
static double
get_slack(const Budget *budget, uint32_t vms, int64_t now_us)
{
    const BudgetOptions *options = &budget->options;
    int64_t wait_us =
        BUDGET_LEARN_US +
        (options->is_first_start ? 0 : BUDGET_TRANSIT_US + options->window_us);

    if (vms == 0 || now_us - options->started_us < wait_us) {
        return 0;
    }
    return options->slack / vms;
}

/* Returns the extra calls that the VM has left without loans, if the requests
   of the last `window_us` count. */
static double
get_own_left(const Budget *budget, uint32_t vms, int64_t window_us,
             int64_t now_us)
{
    double requests;
    double extras;

    count(budget, window_us, now_us, &requests, &extras);
    return budget->options.ratio / 2 * requests +
           get_slack(budget, vms, now_us) -
           (double)count_loans(budget->lent, now_us) / BUDGET_CALL - extras;
}

/* Returns the parts of extra calls that the VM has left, loans included. */
static uint32_t
get_held(const Budget *budget, uint32_t vms, int64_t now_us)
{
    double own = get_own_left(budget, vms, budget->options.window_us, now_us);

    return (own > 0 ? (uint32_t)(own * BUDGET_CALL) : 0) +
           count_loans(budget->borrowed, now_us);
}

/* Whether the VM needs a part below one call itself. */
static bool
keeps_part(const Budget *budget, const BudgetAsk *ask, int64_t now_us)
{
    bool waits =
        budget->asked_us != 0 && now_us - budget->asked_us <= BUDGET_NEED_US;
    bool is_turn = budget->is_turn && now_us < budget->turn_end_us;

    return waits && (is_turn || !ask->is_turn);
}

/* Takes up to one call off the loans, those that end first, and returns the
   parts. */
static uint32_t
use_loans(Budget *budget, int64_t now_us)
{
    uint32_t used = 0;

    while (used < BUDGET_CALL) {
        BudgetLoan *first = NULL;
        uint32_t parts;
        for (uint32_t i = 0; i < BUDGET_LOANS_MAX; i++) {
            BudgetLoan *row = &budget->borrowed[i];
            if (row->parts > 0 && now_us < row->until_us &&
                (first == NULL || row->until_us < first->until_us)) {
                first = row;
            }
        }
        if (first == NULL) {
            break;
        }
        parts = BUDGET_CALL - used;
        parts = parts < first->parts ? parts : first->parts;
        first->parts -= parts;
        used += parts;
    }
    return used;
}

static uint32_t
count_loans(const BudgetLoan *loans, int64_t now_us)
{
    uint32_t parts = 0;

    for (uint32_t i = 0; i < BUDGET_LOANS_MAX; i++) {
        parts += now_us < loans[i].until_us ? loans[i].parts : 0;
    }
    return parts;
}

/* Returns a free row, or NULL. */
static BudgetLoan *
find_loan(BudgetLoan *loans, int64_t now_us)
{
    for (uint32_t i = 0; i < BUDGET_LOANS_MAX; i++) {
        if (loans[i].parts == 0 || now_us >= loans[i].until_us) {
            return &loans[i];
        }
    }
    return NULL;
}

static int64_t
get_bucket_us(const Budget *budget)
{
    return (budget->options.window_us + BUDGET_TRANSIT_US) / BUDGET_BUCKETS;
}

static int64_t
get_bucket_number(const Budget *budget, int64_t now_us)
{
    return now_us / get_bucket_us(budget) + 1;
}

static BudgetBucket *
get_bucket(Budget *budget, int64_t now_us)
{
    int64_t number = get_bucket_number(budget, now_us);
    BudgetBucket *bucket = &budget->buckets[number % (BUDGET_BUCKETS + 2)];

    if (bucket->number != number) {
        memset(bucket, 0, sizeof(*bucket));
        bucket->number = number;
    }
    return bucket;
}
