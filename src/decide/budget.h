/* Budget: limits the calls that the VMs send beyond the first call of each
   request, so that together they stay within a bound in any window.

   A failing service would stay down if every failed request were sent again.
   The bound of the fleet is `ratio` x its requests + `slack` in any window.
   What VMs tell each other may be late or lost, VMs are held up, cut off and
   started at any time, so no VM may rely on what it knows of the others'
   calls. Each one has a part of its own:

   - half of `ratio` for each of its own requests. An extra call may arrive up
     to a window after the requests that allow it, so two windows' requests may
     meet in one window: half of them is no more than those of the window with
     most.
   - an even part of `slack`, by the most VMs that the fleet has ever had. A VM
     that starts has none until the calls of its earlier process are out of
     all windows and all VMs know of it.

   A VM that meets a burst borrows from others. What a VM has lent it doesn't
   use itself until the borrower's calls are out of all windows; a loan that
   gets lost is used by nobody.

   In a large fleet the part of a VM may be below one call, and while many VMs
   wait for budget none of them could send any. So loans are counted in
   fractions of a call that add up. Of the VMs that wait, those whose turn it
   is collect the fractions of the others: about as many in a turn as there are
   whole calls for. */
#ifndef LS_BUDGET_H
#define LS_BUDGET_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

#define BUDGET_BUCKETS 25 /* Buckets of the window and the transit time. */
/* A call reaches its worker's host within this time, or its connection is
   reset: time-out of the connection, and of unacknowledged bytes. */
#define BUDGET_TRANSIT_US (2500 * CLK_US_PER_MS)
/* Time within which all VMs that exchange messages know of one that starts. */
#define BUDGET_LEARN_US (3 * CLK_US_PER_S)
/* A loan is used within this time of the request for it. It ends before a
   lender that starts anew has a part of the slack again. */
#define BUDGET_LOAN_US (3 * CLK_US_PER_S)
/* Loans that a VM has, or has given, at a time; further ones are refused. */
#define BUDGET_LOANS_MAX 32
/* A VM with fewer extra calls left than this asks for a loan. */
#define BUDGET_LOW 2
/* Parts of a call, in which loans are counted. */
#define BUDGET_CALL 1000
/* Smallest loan, parts. */
#define BUDGET_LOAN_MIN 50
/* A VM waits for budget for this long after it asked for a loan. */
#define BUDGET_NEED_US (1 * CLK_US_PER_S)
/* A turn is as long as a loan. */
#define BUDGET_TURN_US BUDGET_LOAN_US

typedef struct BudgetOptions {
    double ratio; /* Extra calls allowed for each request. */
    double slack; /* Extra calls of the fleet allowed in any window. */
    int64_t window_us;
    int64_t started_us;  /* Start of the process. */
    bool is_first_start; /* No VM of the fleet ran before. */
} BudgetOptions;

typedef struct BudgetBucket {
    /* Number of the bucket since the clock's zero, from 1 on; 0 if unused. */
    int64_t number;
    uint32_t requests;
    uint32_t extras; /* Parts of calls, without those on loans. */
} BudgetBucket;

/* What another VM has lent to this one, or this one to another. */
typedef struct BudgetLoan {
    uint32_t parts; /* 0: the row is free. */
    int64_t until_us;
} BudgetLoan;

/* A question for a loan. */
typedef struct BudgetAsk {
    uint32_t parts;       /* Wanted. */
    bool takes_fractions; /* Else the asking VM takes whole calls only. */
    bool is_turn; /* It collects fractions of VMs that wait for budget, too. */
} BudgetAsk;

/* From what an extra call is taken. */
typedef enum BudgetSource {
    BUDGET_NONE,
    BUDGET_OWN,
    BUDGET_LOAN,
} BudgetSource;

/* Budget of one service on this VM. All times must count the time for which
   the machine was suspended. */
typedef struct Budget {
    BudgetOptions options;
    BudgetBucket buckets[BUDGET_BUCKETS + 2];
    BudgetLoan borrowed[BUDGET_LOANS_MAX];
    BudgetLoan lent[BUDGET_LOANS_MAX];
    int64_t asked_us; /* When it last asked for a loan; 0: never. */
    int64_t turn_end_us;
    bool is_turn;    /* Until then this VM collects fractions. */
    uint32_t wanted; /* As in Budget_Want(). */
    int64_t wanted_until_us;
} Budget;

BudgetOptions Budget_DefaultOptions(void);
void Budget_Init(Budget *budget, const BudgetOptions *options);
void Budget_NoteRequest(Budget *budget, int64_t now_us);
/* Counts an extra call that is sent now, and returns from what it is taken. */
BudgetSource Budget_NoteExtra(Budget *budget, uint32_t vms, int64_t now_us);
/* Undoes Budget_NoteExtra() for a call of which nothing was sent. Has no
   effect on a loan, or if no extra call was counted in the current bucket. */
void Budget_CancelExtra(Budget *budget, BudgetSource source, int64_t now_us);
/* Returns how many extra calls this VM may send now. `vms` is the most VMs
   that the fleet has ever had, as far as this VM knows; 0: it doesn't know. */
uint32_t Budget_GetRemaining(const Budget *budget, uint32_t vms,
                             int64_t now_us);
/* Until this time the VM asks for loans if it has fewer extra calls left. */
void Budget_Want(Budget *budget, uint32_t calls, int64_t until_us);
/* Whether the VM should ask another one for a loan. */
bool Budget_IsLow(const Budget *budget, uint32_t vms, int64_t now_us);
/* Fills in a question for a loan of up to `parts`, and notes that this VM
   asks. `draw`: a random number, 0 to 1, which decides whose turn it is. */
void Budget_BeginAsk(Budget *budget, uint32_t vms, uint32_t parts, double draw,
                     int64_t now_us, BudgetAsk *ask);
/* Lends to another VM, and returns the parts of calls that it lends. */
uint32_t Budget_Lend(Budget *budget, uint32_t vms, const BudgetAsk *ask,
                     int64_t now_us);
/* Adds what another VM has lent, as this VM asked it at `asked_us`. */
void Budget_Borrow(Budget *budget, uint32_t parts, int64_t asked_us,
                   int64_t now_us);
/* Gets this VM's requests and extra calls of the last window. */
void Budget_GetUsed(const Budget *budget, int64_t now_us, double *requests,
                    double *extras);

#endif
