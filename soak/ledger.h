/* Ledger: records each request of a soak test as its caller and the workers
   saw it, and the guarantees that were violated. */
#ifndef LS_LEDGER_H
#define LS_LEDGER_H

#include "budget_check.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A request that ends this close to its time limit ends because of it. */
#define LEDGER_LIMIT_SLACK_MS 500
/* What a VM takes later than this after its stop signal must be answered. */
#define LEDGER_STOP_LATE_US (3 * G_USEC_PER_SEC)
/* Time from the end of a worker's answer, within which the caller has it. */
#define LEDGER_DELIVERY_US G_USEC_PER_SEC
#define LEDGER_VMS_MAX 100
/* A worker may be given this much more time than the caller has left. */
#define LEDGER_TIME_SLACK_MS 500
/* Shorter times without a tick are not counted as a hold-up of the soak. */
#define LEDGER_HELD_MIN_US (100 * G_TIME_SPAN_MILLISECOND)
/* A VM that was held up within this time is not held to that. */
#define LEDGER_IN_TOUCH_US (3 * G_USEC_PER_SEC)

typedef enum LedgerKind {
    LEDGER_READ,   /* Idempotent: may run more than once. */
    LEDGER_HOLD,   /* Non-idempotent: runs at most once. */
    LEDGER_STREAM, /* Stream that runs at most once. */
    LEDGER_RESUME, /* Stream that another worker may resume. */
    LEDGER_KIND_COUNT,
} LedgerKind;

typedef struct LedgerRow {
    LedgerKind kind;
    uint32_t vm;       /* Index of the VM that received the request. */
    uint32_t runs;     /* Number of times a worker began to run it. */
    uint32_t arrivals; /* Number of times it reached a worker, but for the
                          first prefill that a worker took. */
    bool has_prefill;  /* A worker took a prefill. */
    int64_t limit_ms;  /* Time that its caller waits, from sent_us on. */
    int64_t unseen_ms; /* What its first arrival had too much, as its VM was
                          held up when it was sent. */
    int64_t held_us;   /* As in Ledger, when it was sent. */
    uint32_t workers;  /* Set of the workers that began to run it, as bits. */
    int status;        /* HTTP status that the caller received, 0 if none. */
    bool is_complete;  /* The caller received the complete response. */
    bool is_ended;     /* The caller's connection or its response has ended. */
    bool has_left;     /* The caller has disconnected before. */
    bool is_at_limit;  /* It ended at its time limit. */
    bool is_excused;   /* One of its workers, or its VM, failed meanwhile. */
    /* Sent LEDGER_STOP_LATE_US after the stop signal of its VM. */
    bool is_late;
    bool is_at_end;        /* The end of its VM's grace came meanwhile. */
    bool is_held_up;       /* Its worker fell silent for a time. */
    bool has_ended_worker; /* The process of one of its workers ended. */
    int64_t answered_us;   /* A worker has sent its whole answer, or 0. */
    int64_t sent_us;
    int64_t ended_us;
} LedgerRow;

/* The ends of the requests that VMs have accepted: those that were answered or
   reached a worker. */
typedef struct LedgerEnds {
    guint accepted;
    guint answered; /* One complete response that is no refusal. */
    guint refused;
    guint left;    /* The caller disconnected. */
    guint excused; /* No complete response, for a reason outside of the VM. */
    guint lost;    /* No complete response, without such a reason. */
    guint open;    /* Not ended. */
    /* Of all of these, those sent late to a stopping VM, and of these, those
       that a worker began to run. */
    guint late;
    guint late_run;
} LedgerEnds;

/* A VM was killed, stopped late, or paused. */
typedef struct LedgerVmFault {
    uint32_t vm;
    int64_t at_us;
    int64_t sent_max_us; /* Requests sent later are not excused. */
} LedgerVmFault;

typedef struct Ledger {
    GHashTable *rows;  /* Request identifier to LedgerRow. */
    GArray *vm_faults; /* LedgerVmFault elements. */
    BudgetCheck budget;
    /* Last tick of the soak, or 0 if none follows, and the time between two.
     */
    int64_t ticked_us;
    int64_t tick_us;
    int64_t held_us; /* For which the soak itself was held up so far. */
    /* Last time that each VM was started or held up. */
    int64_t vm_held_us[LEDGER_VMS_MAX];
    /* Parts of plain bodies whose worker's process ended, which the caller got
       without framing: a worker that tells no start leaves no proof. */
    guint unproven;
    guint late_limits;   /* Arrivals with too much time, of VMs held up lately.
                          */
    GPtrArray *findings; /* Violations, one line of text each. */
    /* Time of the stop signal of each VM, or 0 if it doesn't stop. */
    int64_t stop_us[LEDGER_VMS_MAX];
    bool is_ending[LEDGER_VMS_MAX]; /* The end of its grace has come. */
    /* Workers on which the routes allow a repeatable request; 0: any number.
     */
    uint32_t attempts_max;
    /* Shortest time limits so far, of plain requests and of streams; 0: none.
     */
    uint32_t plain_limit_ms;
    uint32_t stream_limit_ms;
} Ledger;

void Ledger_Init(Ledger *ledger, const BudgetCheckOptions *budget);
void Ledger_Clear(Ledger *ledger);
/* Appends a line that describes a violated guarantee. */
void Ledger_AddFinding(Ledger *ledger, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void Ledger_AddRequest(Ledger *ledger, const char *id, LedgerKind kind,
                       uint32_t vm, int64_t limit_ms, int64_t now_us);
/* To be called at intervals of `tick_us`. A longer time between two calls is
   one for which the soak itself was held up. */
void Ledger_NoteTick(Ledger *ledger, int64_t now_us, int64_t tick_us);
/* Records that a request reached a worker, which it gives `limit_ms`, or 0 if
   it may have been held up on its way;
   `took_prefill`: as a prefill, which the worker took. */
void Ledger_RecordArrival(Ledger *ledger, const char *id, bool took_prefill,
                          int64_t limit_ms, int64_t now_us);
/* Returns the row of a request, owned by the ledger, or NULL if no caller
   sent the request or `id` is NULL. */
LedgerRow *Ledger_Find(Ledger *ledger, const char *id);
/* Records that a worker, 0 to 31, begins to run a request; `id` may be NULL. A
   request that no caller sent is a finding. */
void Ledger_RecordRun(Ledger *ledger, const char *id, guint worker);
/* Records that a worker has sent a whole answer, without impediment. */
void Ledger_RecordAnswer(Ledger *ledger, const char *id, int64_t now_us);
/* Records when a VM was sent its stop signal; 0: it runs again. */
void Ledger_RecordStop(Ledger *ledger, uint32_t vm, int64_t at_us);
/* Records how a request ended for its caller; `status` is 0 without a
   response. */
void Ledger_RecordEnd(Ledger *ledger, const char *id, int status,
                      bool is_complete, int64_t now_us);
/* Lowers the time limits of requests that have not ended and of later ones.
   They are never raised, as a VM may still use an older configuration. */
void Ledger_LowerLimits(Ledger *ledger, uint32_t plain_ms, uint32_t stream_ms);
/* Excuse the open requests that a worker has begun to run, or that a VM has
   received, if they end without a complete response. */
void Ledger_ExcuseWorker(Ledger *ledger, guint worker);
void Ledger_ExcuseVm(Ledger *ledger, uint32_t vm, int64_t now_us);
/* Notes that a worker's process ends. */
void Ledger_RecordProcessEnd(Ledger *ledger, guint worker);
/* Notes that a worker falls silent for a time: a VM can't foresee how long the
   streams take that it has begun to run. */
void Ledger_RecordSilence(Ledger *ledger, guint worker);
/* Lets a stopping VM break off, from now on, what was not sent late or was
   held up by its worker, unless a worker has sent its whole answer
   LEDGER_DELIVERY_US before. */
void Ledger_ExcuseStop(Ledger *ledger, uint32_t vm, int64_t now_us);
/* Excuses a request that its VM passed on to another VM, `via`, if that one
   failed before the request ended. */
void Ledger_ExcuseRelayed(Ledger *ledger, const char *id, uint32_t via);
/* Adds a finding for each request that ran more than once although it must
   not, or on more workers than its route allows, for each that ran although
   its status says that it did not (LEDGER_READ requests are exempt from both),
   and for each accepted request of any kind that ended without a complete
   response, unless its caller left, its time limit was reached or it is
   excused. Call it when all processes have ended, because a request may still
   start to run after its caller received a refusal. */
void Ledger_Check(Ledger *ledger);
/* Counts the accepted requests by how they ended. */
void Ledger_CountEnds(const Ledger *ledger, LedgerEnds *ends);
/* Counts the requests of a kind that were served completely with status 200
   (`*served`), and all requests of that kind (`*all`). */
void Ledger_Count(const Ledger *ledger, LedgerKind kind, guint *served,
                  guint *all);
const char *Ledger_GetKindName(LedgerKind kind);

#endif
