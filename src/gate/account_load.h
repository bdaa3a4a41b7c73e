/* Account load (AccountLoad_): counts what client accounts request of this VM
   and what is admitted, and keeps their caps (decide/cap.h) and their fair
   shares of streams (decide/fair_share.h). The other VMs' counts come from
   gossip (gossip_account.c). Nothing is counted, and no timer runs, while the
   configuration has no accounts. */
#ifndef LS_ACCOUNT_LOAD_H
#define LS_ACCOUNT_LOAD_H

#include "../decide/admission.h"
#include "../decide/cap.h"
#include "account.h"
#include "load_report.h"

struct GateOptions;
struct GateTask;

/* In any window, what all VMs together send of an account stays within
   (rate x window + burst) x (1 + excess) + slack. */
typedef struct AccountLoadOptions {
    int64_t window_us;
    double excess;
    double slack;        /* Units; left to late reports as a whole. */
    bool is_first_start; /* No VM of the fleet ran before. */
} AccountLoadOptions;

/* Which VMs are heard. */
typedef struct AccountLoadHeard {
    uint32_t vms;         /* VMs whose counts are known, this one included. */
    uint32_t most_vms;    /* Most that the fleet ever had; 0: not known. */
    bool has_seeds;       /* This VM knows addresses of other VMs. */
    bool is_own_included; /* The counts include what this VM reported. */
} AccountLoadHeard;

typedef struct AccountLoads AccountLoads;

/* Calls AccountLoad_AddHeard() for each count of other VMs, or of several
   together. */
typedef AccountLoadHeard (*AccountLoadHear)(void *context,
                                            AccountLoads *loads);

AccountLoadOptions AccountLoad_DefaultOptions(void);
AccountLoads *AccountLoad_New(const struct GateOptions *options);
void AccountLoad_Free(AccountLoads *loads); /* NULL is allowed. */
void AccountLoad_SetHear(AccountLoads *loads, AccountLoadHear hear,
                         void *context);
/* Applies the accounts of a configuration, which must outlive the next call;
   NULL: none. Accounts that stay keep their state. */
void AccountLoad_SetAccounts(AccountLoads *loads, const AccTable *accounts);

/* Counts a request and returns whether its account's cap and, for a new
   stream, its fair share admit it. If not, stores the cause. */
bool AccountLoad_Admit(struct GateTask *task, AdmissionCause *cause);
/* Notes whether a stream found room when it first looked for it. */
void AccountLoad_NoteRoom(struct GateTask *task, bool lacks_room);
/* Notes that a stream found room. */
void AccountLoad_NoteServed(struct GateTask *task);
/* Gives an admitted request back that did not run. */
void AccountLoad_GiveBack(struct GateTask *task);
/* Returns the time until the account's requests are all admitted, if nothing
   more is sent. */
int64_t AccountLoad_GetWait(const struct GateTask *task);

/* Stores this VM's counts for a report that is sent now, those closest to
   their caps first, up to `max`, and returns their number. Unless `is_all`,
   those that have not changed lately are left out. */
uint32_t AccountLoad_Report(AccountLoads *loads, bool is_all,
                            ReportAccount *rows, uint32_t max,
                            ReportStreams *streams);
/* Stores what is left of the last reports in an empty report. */
void AccountLoad_ListTold(const AccountLoads *loads, Report *to);
bool AccountLoad_HasAccounts(const AccountLoads *loads);
/* Whether the account may reach its cap within a second. */
bool AccountLoad_IsUrgent(const AccountLoads *loads, const ReportAccount *row);
void AccountLoad_AddHeard(AccountLoads *loads, const ReportAccount *row,
                          double weight);
void AccountLoad_AddHeardStreams(AccountLoads *loads,
                                 const ReportStreams *streams, double weight);
/* Sorts rows so that those closest to their caps come first. */
void AccountLoad_Sort(const AccountLoads *loads, ReportAccount *rows,
                      uint32_t count);

#endif
