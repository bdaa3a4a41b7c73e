/* Task budget: retry budgets of services. See task_budget.h. */
#include "task_budget.h"

#include "../log.h"

/* Parts of calls for which a VM asks another one at a time. */
#define LOAN_PARTS (4 * BUDGET_CALL)

static Budget *find_budget(Gate *gate, const char *service);
static void publish_budget(Gate *gate, const char *service);
static void borrow_if_low(Gate *gate, const char *service);
static uint32_t get_vm_count(const Gate *gate);
static int64_t get_now(const Gate *gate);

void
Task_NoteRequest(GateTask *task)
{
    Gate *gate = task->gate;

    Budget_NoteRequest(find_budget(gate, task->service->name), get_now(gate));
    publish_budget(gate, task->service->name);
}

bool
Task_HasBudget(GateTask *task, uint32_t calls)
{
    Gate *gate = task->gate;
    const Budget *budget = find_budget(gate, task->service->name);
    bool has_budget = Budget_GetRemaining(budget, get_vm_count(gate),
                                          get_now(gate)) >= calls;

    if (!has_budget) {
        borrow_if_low(gate, task->service->name);
    }
    return has_budget;
}

void
TaskBudget_CountCall(GateTask *task)
{
    Gate *gate = task->gate;
    const char *service = task->service->name;
    Budget *budget = find_budget(gate, service);
    uint32_t vms = get_vm_count(gate);
    TaskCall *current = task->current;

    current->counted = current->stage != TASK_PREFILL || task->prefilled;
    current->extra = BUDGET_NONE;
    /* A prefill may fail, which then is a call beyond the first. */
    if (task->counted_calls > 0) {
        if (Budget_GetRemaining(budget, vms, get_now(gate)) == 0) {
            Met_Add(MET_EXTRAS_UNBUDGETED, 1);
            Log_WriteJson(LOG_LEVEL_WARNING, "extra_unbudgeted",
                          json_pack("{s:s,s:i,s:o}", "request",
                                    task->request.id, "stage",
                                    (int)current->stage, "budget_use",
                                    TaskBudget_Describe(task)));
        }
        current->extra = Budget_NoteExtra(budget, vms, get_now(gate));
        publish_budget(gate, service);
        borrow_if_low(gate, service);
    }
    task->counted_calls += current->counted;
}

void
TaskBudget_CorrectCount(GateTask *task, bool is_unsent)
{
    Gate *gate = task->gate;
    TaskCall *current = task->current;

    if (is_unsent) {
        task->counted_calls -= current->counted;
        Budget_CancelExtra(find_budget(gate, task->service->name),
                           current->extra, get_now(gate));
    }
    else if (current->stage == TASK_PREFILL && !current->counted) {
        task->counted_calls++;
    }
    current->counted = false;
    current->extra = BUDGET_NONE;
}

void
TaskBudget_NotePrefilled(GateTask *task)
{
    TaskCall *current = task->current;

    if (!current->counted) {
        Budget_CancelExtra(find_budget(task->gate, task->service->name),
                           current->extra, get_now(task->gate));
        current->extra = BUDGET_NONE;
    }
    task->prefilled = true;
}

uint32_t
TaskBudget_GetLeft(const GateTask *task)
{
    const Gate *gate = task->gate;
    const Budget *budget =
        g_hash_table_lookup(gate->budgets, task->service->name);

    return budget != NULL
               ? Budget_GetRemaining(budget, get_vm_count(gate), get_now(gate))
               : 0;
}

void
TaskBudget_Want(const GateTask *task, uint32_t calls, int64_t for_us)
{
    Gate *gate = task->gate;
    const char *service = task->service->name;

    Budget_Want(find_budget(gate, service), calls, get_now(gate) + for_us);
    borrow_if_low(gate, service);
}

json_t *
TaskBudget_Describe(const GateTask *task)
{
    const Gate *gate = task->gate;
    double requests;
    double extras;

    Gate_GetBudgetUse(gate, task->service->name, &requests, &extras);
    return json_pack("{s:f,s:f,s:i,s:i}", "requests", requests, "extras",
                     extras, "left", (int)TaskBudget_GetLeft(task), "vms",
                     (int)get_vm_count(gate));
}

void
Gate_GetBudgetUse(const Gate *gate, const char *service, double *requests,
                  double *extras)
{
    const Budget *budget = g_hash_table_lookup(gate->budgets, service);

    *requests = 0;
    *extras = 0;
    if (budget != NULL) {
        Budget_GetUsed(budget, get_now(gate), requests, extras);
    }
}

void
Gate_SetBudget(Gate *gate, const BudgetOptions *options)
{
    bool is_other_window =
        options->window_us != gate->options.budget.window_us;
    GHashTableIter iter;
    gpointer budget;

    gate->options.budget.ratio = options->ratio;
    gate->options.budget.slack = options->slack;
    if (is_other_window) {
        /* What was sent in the last window is not known any more. */
        gate->options.budget.window_us = options->window_us;
        gate->options.budget.started_us = get_now(gate);
        gate->options.budget.is_first_start = false;
    }
    g_hash_table_iter_init(&iter, gate->budgets);
    while (g_hash_table_iter_next(&iter, NULL, &budget)) {
        if (is_other_window) {
            Budget_Init(budget, &gate->options.budget);
        }
        ((Budget *)budget)->options = gate->options.budget;
    }
}

uint32_t
Gate_Lend(Gate *gate, uint64_t service, const BudgetAsk *ask)
{
    const RteService *row = Rte_FindServiceByHash(gate->table, service);
    uint32_t lent = 0;

    if (row != NULL) {
        lent = Budget_Lend(find_budget(gate, row->name), get_vm_count(gate),
                           ask, get_now(gate));
        Met_Add(MET_EXTRAS_LENT, lent);
    }
    return lent;
}

void
Gate_Borrow(Gate *gate, uint64_t service, uint32_t parts, int64_t asked_us)
{
    const RteService *row = Rte_FindServiceByHash(gate->table, service);

    if (row != NULL) {
        Budget_Borrow(find_budget(gate, row->name), parts, asked_us,
                      get_now(gate));
        Met_Add(MET_EXTRAS_BORROWED, parts);
        borrow_if_low(gate, row->name);
    }
}

static Budget *
find_budget(Gate *gate, const char *service)
{
    Budget *budget = g_hash_table_lookup(gate->budgets, service);

    if (budget == NULL) {
        budget = g_new0(Budget, 1);
        Budget_Init(budget, &gate->options.budget);
        g_hash_table_insert(gate->budgets, g_strdup(service), budget);
    }
    return budget;
}

/* Reports this VM's use of the service's budget, for the other VMs. */
static void
publish_budget(Gate *gate, const char *service)
{
    const GateOptions *options = &gate->options;
    double requests;
    double extras;

    Budget_GetUsed(find_budget(gate, service), get_now(gate), &requests,
                   &extras);
    options->on_budget_change(options->context, service, requests, extras);
}

static void
borrow_if_low(Gate *gate, const char *service)
{
    const GateOptions *options = &gate->options;
    Budget *budget = find_budget(gate, service);
    uint32_t vms = get_vm_count(gate);

    if (Budget_IsLow(budget, vms, get_now(gate))) {
        BudgetAsk ask;
        Budget_BeginAsk(budget, vms, LOAN_PARTS, g_rand_double(gate->rand),
                        get_now(gate), &ask);
        options->ask_loan(options->context, service, &ask);
    }
}

static uint32_t
get_vm_count(const Gate *gate)
{
    return gate->options.get_vm_count(gate->options.context);
}

/* Returns the time with that for which the machine was suspended, in which
   the other VMs' windows have passed. */
static int64_t
get_now(const Gate *gate)
{
    return Clk_Now(gate->options.clk) + Clk_GetSuspended(gate->options.clk);
}
