/* Crash check: whether a worker crashed under a call. See crash_check.h. */
#include "crash_check.h"
#include "blame.h"

#include "../io/loop.h"
#include "../log.h"

#include <string.h>
#include <xxhash.h>

/* Workers that are checked at a time, and calls of each of them. */
#define CRASH_CHECKS_MAX 64
#define CRASH_CALLS_MAX 64
/* Time for which the entry of a worker that accepts connections is watched: a
   worker writes again soon after its start, and the entry of one that is gone
   lapses after some seconds. */
#define CRASH_WATCH_US (6 * CLK_US_PER_S)
#define CRASH_WATCH_INTERVAL_US (250 * CLK_US_PER_MS)

/* What shows that a worker failed. */
typedef enum CrashProof {
    CRASH_REFUSED,    /* It refuses connections. */
    CRASH_UNANSWERED, /* It does not answer them. */
    CRASH_LISTED,     /* The source lists a later start, or none. */
} CrashProof;

/* A call that broke or fell silent. */
typedef struct CrashCall {
    uint64_t *causes; /* See BlameCauses. */
    uint32_t cause_count;
    uint32_t own_count;
    bool is_silent;    /* It reached the worker, and got no more answer. */
    int64_t failed_us; /* Earliest time at which the worker may have failed. */
    SuspectsCrash crash;
} CrashCall;

/* One start of a worker that may have crashed. */
typedef struct CrashCheck {
    LIST_ENTRY(CrashCheck) links;
    Gate *gate;
    ClientCall *connection; /* NULL once it has ended. */
    struct event *timer;    /* Pending while the entry is watched. */
    int64_t began_us;
    FleetWorker *worker;
    uint64_t start;
    GArray *calls; /* CrashCall elements. */
} CrashCheck;

static CrashCheck *find_check(const Gate *gate, uint64_t start, guint *count);
static uint64_t hash_start(const FleetWorker *worker, int64_t born_ms);
static CrashCheck *add_check(Gate *gate, const TaskCall *call);
static void begin_connection(CrashCheck *check);
static void on_connection_end(void *context, ClientOutcome outcome);
static void on_watch(evutil_socket_t fd, short what, void *context);
static bool has_new_start(const CrashCheck *check);
static void note_calls(CrashCheck *check, CrashProof proof);
static void note_call(CrashCheck *check, const CrashCall *call,
                      CrashProof proof, int64_t now_us);
static void free_check(CrashCheck *check);
static void clear_call(void *call);

uint64_t
CrashCheck_GetStart(const FleetWorker *worker)
{
    return hash_start(worker, worker->entry.born_ms);
}

uint64_t
CrashCheck_GetCallStart(const TaskCall *call)
{
    return hash_start(call->worker, call->born_ms);
}

void
CrashCheck_Begin(GateTask *task, SuspectsWeight weight)
{
    const TaskCall *current = task->current;
    BlameCauses causes = Blame_GetCauses(task);
    guint count = 0;
    CrashCheck *check =
        find_check(task->gate, CrashCheck_GetCallStart(current), &count);
    CrashCall call = {
        .cause_count = causes.count,
        .own_count = causes.own_count,
        .failed_us = MAX(current->began_us, current->worker->heard_us) + 1,
        .is_silent =
            current->call != NULL && Client_IsDelivered(current->call),
    };

    if (current->call != NULL && !call.is_silent) {
        return;
    }
    if (check == NULL && count < CRASH_CHECKS_MAX) {
        check = add_check(task->gate, current);
    }
    if (check != NULL && check->connection == NULL) {
        begin_connection(check);
    }
    if (check == NULL || check->calls->len >= CRASH_CALLS_MAX) {
        Met_Add(MET_CRASHES_UNCHECKED, 1);
        return;
    }
    call.causes = g_memdup2(causes.ids, causes.count * sizeof(*causes.ids));
    call.crash = (SuspectsCrash){
        .worker = check->start,
        .began_us =
            current->head_us != 0 ? current->head_us : current->began_us,
        .at_us = Task_Now(task),
        .weight = weight,
    };
    g_array_append_val(check->calls, call);
}

bool
CrashCheck_IsPending(const Gate *gate, uint64_t start)
{
    guint count = 0;
    const CrashCheck *check = find_check(gate, start, &count);

    return check != NULL && check->connection != NULL;
}

void
CrashCheck_EndAll(Gate *gate)
{
    while (!LIST_EMPTY(&gate->crash_checks)) {
        CrashCheck *check = LIST_FIRST(&gate->crash_checks);
        if (check->connection != NULL) {
            Client_EndCall(check->connection);
        }
        free_check(check);
    }
}

/* Returns the check of this start of a worker, or NULL and the number of all
   checks. */
static CrashCheck *
find_check(const Gate *gate, uint64_t start, guint *count)
{
    CrashCheck *check = NULL;

    LIST_FOREACH(check, &gate->crash_checks, links)
    {
        if (check->start == start) {
            return check;
        }
        *count += 1;
    }
    return NULL;
}

static uint64_t
hash_start(const FleetWorker *worker, int64_t born_ms)
{
    return worker->hash ^ XXH3_64bits(&born_ms, sizeof(born_ms));
}

static CrashCheck *
add_check(Gate *gate, const TaskCall *call)
{
    CrashCheck *check = g_new0(CrashCheck, 1);

    check->gate = gate;
    check->worker = Fleet_Ref(call->worker);
    check->start = CrashCheck_GetCallStart(call);
    check->timer = evtimer_new(gate->options.base, on_watch, check);
    check->began_us = Clk_Now(gate->options.clk);
    check->calls = g_array_new(FALSE, FALSE, sizeof(CrashCall));
    g_array_set_clear_func(check->calls, clear_call);
    LIST_INSERT_HEAD(&gate->crash_checks, check, links);
    return check;
}

/* Each further broken call is a reason to connect again, also at a worker
   whose entry is watched. */
static void
begin_connection(CrashCheck *check)
{
    ClientCallOptions call = {
        .address = check->worker->entry.address,
        .method = "GET",
        .target = "/",
        .connect_only = true,
        .context = check,
        .on_end = on_connection_end,
    };

    evtimer_del(check->timer);
    check->connection = Client_BeginCall(check->gate->options.client, &call);
}

static void
on_connection_end(void *context, ClientOutcome outcome)
{
    CrashCheck *check = context;

    check->connection = NULL;
    if (outcome == CLIENT_NOT_SENT) {
        note_calls(check, CRASH_REFUSED);
        free_check(check);
        return;
    }
    if (outcome == CLIENT_INTERRUPTED) {
        note_calls(check, CRASH_UNANSWERED);
    }
    on_watch(-1, 0, check);
}

/* Looks for a sign in the source that the worker has ended. */
static void
on_watch(evutil_socket_t fd, short what, void *context)
{
    CrashCheck *check = context;

    (void)fd;
    (void)what;
    if (has_new_start(check)) {
        note_calls(check, CRASH_LISTED);
    }
    else if (Clk_Now(check->gate->options.clk) - check->began_us <
             CRASH_WATCH_US) {
        Loop_ArmTimerUs(check->timer, CRASH_WATCH_INTERVAL_US);
        return;
    }
    else if (check->calls->len > 0) {
        Met_Add(MET_CRASHES_UNPROVEN, 1);
        Log_WriteJson(LOG_LEVEL_INFO, "crash_unproven",
                      json_pack("{s:s,s:i}", "worker", check->worker->entry.id,
                                "calls", (int)check->calls->len));
    }
    free_check(check);
}

/* Whether the source lists a later start at the worker's address, or the
   worker no more though it has not said that it leaves. */
static bool
has_new_start(const CrashCheck *check)
{
    const FleetWorker *worker = check->worker;
    const FleetWorker *listed =
        Fleet_FindByAddress(check->gate->options.fleet, worker->entry.address);

    return (listed != NULL && CrashCheck_GetStart(listed) != check->start) ||
           (worker->removed_us >= check->began_us && !Fleet_IsLeaving(worker));
}

/* Notes the calls as broken by a crash; of a worker that is unanswered only
   those which had reached it. Unless it refuses connections, it is unknown
   when it failed. */
static void
note_calls(CrashCheck *check, CrashProof proof)
{
    Gate *gate = check->gate;
    int64_t now_us = Clk_Now(gate->options.clk);
    static const char *const proof_names[] = {"refused", "unanswered",
                                              "listed"};
    guint noted = 0;

    for (guint i = 0; i < check->calls->len;) {
        const CrashCall *call = &g_array_index(check->calls, CrashCall, i);
        if (proof == CRASH_UNANSWERED && !call->is_silent) {
            i++;
            continue;
        }
        note_call(check, call, proof, now_us);
        noted++;
        g_array_remove_index(check->calls, i);
    }
    if (noted == 0) {
        return;
    }
    Met_Add(MET_WORKERS_CRASHED, 1);
    Log_WriteJson(LOG_LEVEL_INFO, "worker_crashed",
                  json_pack("{s:s,s:i,s:s}", "worker", check->worker->entry.id,
                            "calls", (int)noted, "proof", proof_names[proof]));
    Gate_LogSuspects(gate);
    gate->options.on_load_change(gate->options.context);
}

static void
note_call(CrashCheck *check, const CrashCall *call, CrashProof proof,
          int64_t now_us)
{
    Suspects *suspects = &check->gate->suspects;
    uint32_t shared_count = call->cause_count - call->own_count;
    SuspectsCrash crash = call->crash;

    if (proof == CRASH_REFUSED && !call->is_silent) {
        Suspects_NoteCrash(suspects, call->causes, call->cause_count,
                           call->own_count, &crash, now_us);
        return;
    }
    if (!call->is_silent) {
        Suspects_NoteCrash(suspects, call->causes, shared_count, 0, &crash,
                           now_us);
    }
    /* Runs of one request follow one another, so that its workers failed in
       turn. Those of many requests may have failed together. */
    crash.at_us = call->failed_us;
    Suspects_NoteCrash(suspects, call->causes + shared_count, call->own_count,
                       call->own_count, &crash, now_us);
}

static void
free_check(CrashCheck *check)
{
    LIST_REMOVE(check, links);
    event_free(check->timer);
    Fleet_Unref(check->worker);
    g_array_free(check->calls, TRUE);
    g_free(check);
}

static void
clear_call(void *call)
{
    g_free(((CrashCall *)call)->causes);
}
