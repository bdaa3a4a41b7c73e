/* Load report (Report_): the load that one VM, or all VMs of a region, cause
   at the workers and services, as a message told it. While a report is
   applied, its load is added to the workers' peer_* fields. */
#ifndef LS_LOAD_REPORT_H
#define LS_LOAD_REPORT_H

#include "../decide/urgency.h"
#include "fleet.h"

/* Load at one worker. */
typedef struct ReportUse {
    FleetWorker *worker;
    uint32_t inflight;
    uint64_t prefill_tokens;
    Forecast kv;            /* KV memory. */
    uint32_t unreachable;   /* VMs that can't reach the worker. */
    uint32_t phase_changes; /* VMs that ordered it to change its phase. */
    uint32_t leaving;       /* VMs to which it said that it leaves. */
} ReportUse;

/* Software versions of a service at which begun streams wait for room; further
   ones are left out. */
#define REPORT_ROOMS_MAX 4

/* Begun streams that wait for room at the workers of their software version.
 */
typedef struct ReportRoom {
    uint32_t version; /* As in FleetWorker; 0: the row is free. */
    double waiting_streams;
} ReportRoom;

/* Streams of a service that lack room. */
typedef struct ReportRooms {
    ReportRoom rows[REPORT_ROOMS_MAX];
    UrgencyLooks looks; /* New ones, by level of priority. */
} ReportRooms;

/* Load on a service. */
typedef struct ReportDemand {
    double prompt_per_us; /* Prompt tokens per microsecond. */
    double kv_tokens;     /* KV memory in use for decoding, tokens. */
    double requests;      /* Requests in the retry budget's last window. */
    double extras;        /* Repeated calls in that window: those beyond the
                             first of each request. */
    ReportRooms rooms;
} ReportDemand;

/* Use of a client account. */
typedef struct ReportAccount {
    uint64_t account;      /* Hash of its name. */
    double asked_per_s;    /* Units that callers request. */
    double admitted_per_s; /* Less than 0 if more was given back. */
    double streams_per_s;  /* Tokens of its streams. */
    int64_t at_us;         /* When it was told. */
} ReportAccount;

/* Tokens a second of all accounts' streams. */
typedef struct ReportStreams {
    double looked;  /* Looked for room. */
    double lacking; /* Found none at first. */
    double served;  /* Found room. */
} ReportStreams;

typedef struct Report {
    GArray *uses;     /* ReportUse elements. */
    GArray *demands;  /* Elements private to the module. */
    GArray *accounts; /* ReportAccount elements, one for each account. */
    ReportStreams streams;
    int64_t streams_us; /* When `streams` was told. */
    bool is_full;       /* Accounts that are not listed are unused. */
    bool is_applied;
} Report;

void Report_Init(Report *report);  /* Empty and not applied. */
void Report_Clear(Report *report); /* Frees the contents. */
/* Drops all uses. The report stays applied or not applied. */
void Report_DropUses(Report *report);
void Report_AddUse(Report *report, const ReportUse *use);
void Report_SetApplied(Report *report, bool applied);
void Report_DropDemands(Report *report);
/* Sets the demand of the service with this hash. */
void Report_SetDemand(Report *report, uint64_t service,
                      const ReportDemand *demand);
/* Adds the demand on the service with this hash to *sum. */
void Report_SumDemand(const Report *report, uint64_t service,
                      ReportDemand *sum);
/* Returns the service hash of the i-th demand and stores it in *demand; false
   if there are fewer. */
bool Report_GetDemand(const Report *report, guint i, uint64_t *service,
                      ReportDemand *demand);
/* Adds to the row of the same version. */
void Report_AddRoom(ReportRooms *rooms, const ReportRoom *from);
/* Subtracts rows and looks, down to 0. */
void Report_SubtractRooms(ReportRooms *rooms, const ReportRooms *from);
/* Adds all of `from` to the report, one use for each worker. */
void Report_Merge(Report *report, const Report *from);

#endif
