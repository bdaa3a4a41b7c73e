/* Task budget (TaskBudget_): counts the calls of requests against the retry
   budgets of their services, and lends and borrows parts of these. */
#ifndef LS_TASK_BUDGET_H
#define LS_TASK_BUDGET_H

#include "task.h"

#include <jansson.h>

/* Charges the current call, which begins, if it may be one beyond the first.
 */
void TaskBudget_CountCall(GateTask *task);
/* Corrects the count after a failed call: one that has reached no worker
   doesn't count, a failed prefill that has does. */
void TaskBudget_CorrectCount(GateTask *task, bool is_unsent);
/* Corrects the count after a prefill: the first one that succeeds is free. */
void TaskBudget_NotePrefilled(GateTask *task);
/* Returns how many calls beyond the first this VM may make now, without parts
   of the budget that others would lend. */
uint32_t TaskBudget_GetLeft(const GateTask *task);
/* Borrows, for this time, until so many calls are left. */
void TaskBudget_Want(const GateTask *task, uint32_t calls, int64_t for_us);
/* Returns what the budget is reckoned from, for the log. */
json_t *TaskBudget_Describe(const GateTask *task);

#endif
