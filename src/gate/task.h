/* Task: one request at the gate, from its arrival to its answer. This module
   has the parts that plain calls (plain.c) and streams (stream.c) share: the
   choice of a worker, the calls, and the answer to the caller. */
#ifndef LS_TASK_H
#define LS_TASK_H

#include "../decide/admission.h"
#include "../decide/drain.h"
#include "../decide/event_order.h"
#include "../decide/key_lease.h"
#include "../decide/precedence.h"
#include "../decide/retry.h"
#include "../decide/suspects.h"
#include "../decide/urgency.h"
#include "../metrics.h"
#include "gate.h"
#include "origins.h"
#include "sse.h"

#include <sys/queue.h>

#define TASK_EXCLUDED_MAX RETRY_SENDS_MAX
#define TASK_CAUSE_MAX 48 /* Bytes, with the terminating 0. */

typedef struct GateTask GateTask;

/* What a call at a worker is for. */
typedef enum TaskStage {
    TASK_RUN,     /* Prefill and decoding, or a plain request. */
    TASK_DECODE,  /* Decoding of a prompt that another worker has read. */
    TASK_PREFILL, /* Prefill only. */
    TASK_RESERVE, /* Reservation of a slot and memory, before the run. */
    TASK_CHECK,   /* Question for the worker's start, before the run. */
    TASK_STAGE_COUNT,
} TaskStage;

/* One call at a worker. */
typedef struct TaskCall {
    GateTask *task;
    ClientCall *call; /* NULL if no call is in progress. */
    FleetWorker *worker;
    TaskStage stage;
    bool counted;         /* Included in the task's counted_calls. */
    BudgetSource extra;   /* What it is charged to, as a call beyond the first.
                           */
    bool trial;           /* At a worker that has asked for a pause. */
    uint32_t version;     /* Of the worker's software, as in FleetWorker. */
    int64_t born_ms;      /* Start of the worker by its entry; 0: unknown. */
    int64_t told_born_ms; /* The one that it had told as the call began; 0:
                             none. */
    char address[FLEET_ADDRESS_MAX]; /* Of the worker as the call began. */
    /* The last connection that was opened before, as in ClientCallOptions. */
    uint64_t last_number;
    /* Prompt tokens that this call adds to the worker. */
    uint32_t prefill_tokens;
    Forecast kv;         /* KV memory that this call adds. */
    int64_t began_us;    /* When the call was sent. */
    int64_t head_us;     /* When the reply's header came; 0 for not yet. */
    int64_t heard_us;    /* Last bytes of its answer, or `began_us`. */
    int64_t expected_us; /* Estimated time to the first byte. */
    /* Prompt tokens that waited at the worker as the call began, as far as
       this VM knew. */
    uint64_t backlog_tokens;
    /* Measurement of the interval between events (worker_pace.h). */
    uint32_t paced_events;
    int64_t paced_us;
    double paced_running;
    int64_t wait_us; /* Estimated wait of a plain call for a slot. */
    bool has_reply;  /* `reply` is filled in. */
    GateReply reply;
    bool asks_rest;         /* The run asks whether a stream, whose worker goes
                               on, has more events. */
    uint32_t events;        /* Complete events received. */
    int64_t first_event_us; /* Time of the first one; 0 if there is none. */
    bool is_sound;          /* The answer goes on since some time. */
    HeaderList *headers;    /* Headers of the reply for the caller. */
    GByteArray *body;       /* Body of the reply, up to TASK_BODY_MAX bytes. */
    bool truncated;         /* The body was longer than the limit. */
    /* When the call began, or when its last event with an ID came. */
    int64_t progress_us;
    size_t idle_bytes; /* Of a stream's body, since then. */
    /* Hash of the last worker that the called VM sent the request to, as it
       told; 0: not known, or no VM was called. */
    uint64_t worker_behind;
    bool is_quiet;  /* Its worker was found to be silent. */
    bool is_unsent; /* It reached no worker, which is kept from calls. */
    /* Finds out whether the ended answer is complete; NULL if none does. */
    struct EndCheck *end_check;
    /* Valid beyond the call's end. */
    Sse sse;               /* Splits a stream. */
    EventOrderRun order;   /* Of its events. */
    ClientFraming framing; /* Of the answer. */
} TaskCall;

/* KV memory of a prompt that a prefill worker keeps until it is fetched. */
typedef struct TaskHandle {
    char handle[GATE_HANDLE_MAX];    /* "" if there is none. */
    char address[FLEET_ADDRESS_MAX]; /* Address of the prefill worker. */
    FleetWorker *worker;             /* Prefill worker. */
    int64_t prefilled_us;            /* When the prefill succeeded. */
    uint32_t offers; /* Calls to decode workers that passed the handle. */
} TaskHandle;

/* Decode worker chosen for the request. The request's memory counts as used
   there from then on, for this VM and, by gossip, for the other VMs. */
typedef struct TaskAssignment {
    FleetWorker *worker; /* NULL if none is chosen. */
    Forecast kv;         /* KV memory counted as used. */
    /* Its start and software version as it was chosen. */
    int64_t born_ms;
    uint32_t version;
} TaskAssignment;

struct GateTask {
    LIST_ENTRY(GateTask) links;
    Gate *gate;
    ServerExchange *exchange; /* NULL once the caller has disconnected or
                                 has its answer. */
    GateRequest request;
    RteTable *table;
    const RteRoute *route;
    const RteService *service;
    /* Client account of the caller, which belongs to the table; NULL: none. */
    const Account *account;
    uint32_t priority; /* Of the account, or else of the route. */
    /* Units that the request counts against the account's cap; 0: none. */
    double account_units;
    double stream_units; /* Tokens of a stream of an account; 0: none. */
    bool is_room_noted;  /* It has looked for room. */
    bool is_served;      /* It found room. */
    struct WorkerPaceService *pace; /* See WorkerPace_Find(); NULL if it was
                                       not yet looked up. */
    struct event *timer;
    uint32_t caller;   /* IPv4 address of the caller; 0 if it is unknown. */
    uint64_t identity; /* See Task_GetIdentity(); 0 if not yet computed. */
    /* See Blame_GetCauses(); NULL if not yet computed. */
    uint64_t *causes;
    uint32_t cause_count;
    bool is_caller_gone; /* The caller has disconnected. */
    bool is_relayed;     /* Another VM passed the request on. */
    bool is_after_stop;  /* It came after the begin of a planned stop. */
    uint32_t unreached;  /* Calls of this task that reached no worker. */
    bool is_retry;    /* The caller was refused before, judging by its time. */
    int64_t began_us; /* When its first byte came. */
    int64_t arrived_us;  /* When its last byte came. */
    int64_t work_us;     /* When the present try's first call was sent; 0: it
                            was not, or the task waits again. */
    int64_t deadline_us; /* Earlier of the caller's and the route's. */
    int64_t timer_us;    /* When the timer is due. */
    bool timer_delayed;  /* It was late, and was put off once. */
    bool is_read_paused; /* Its caller leaves too much of the stream unread. */
    int64_t read_paused_us;   /* Since when. */
    int64_t step_deadline_us; /* End of the current step (a call without any
                                 data, or a wait); 0 for none. */
    TaskCall calls[2];
    TaskCall *current; /* One of `calls`. */
    TaskCall *silent;  /* The other one while its worker is silent and another
                          one is prepared, or else NULL; see successor.h. */
    TaskHandle kv;
    TaskAssignment assigned;
    char lease[GATE_HANDLE_MAX]; /* Reservation at the assigned worker; "" if
                                    there is none. */
    int64_t lease_until_us;
    /* Workers that failed this task. */
    FleetWorker *excluded[TASK_EXCLUDED_MAX];
    guint excluded_count;
    int64_t excluded_us; /* When the last one was added. */
    /* Calls of Task_ReadmitWorkers() with effect. After the first one a
       refused run excludes its worker, too, which would be tried again at
       once. */
    uint32_t readmissions;
    char worker[FLEET_ID_MAX]; /* Of the last call. */
    uint64_t last_worker;      /* Hash of that one; 0: none was called. */
    /* Software version of the workers that make the stream's events, as in
       FleetWorker; 0 until its first event. */
    uint32_t version;
    /* Hash of the worker that has read the prompt of a resumed stream and may
       still keep it; 0: none. */
    uint64_t reader;
    uint32_t fetches;          /* Runs that fetched the prompt from there. */
    const char *prompt_source; /* Of the last run, for the log. */
    /* Waits until the version of a resumed stream is known. */
    bool resuming;
    uint64_t checked_worker; /* Hash of the last worker asked for its start. */
    uint32_t checks;         /* Questions for its start since the last run. */
    uint32_t sends;          /* Calls begun that carry the request. */
    uint32_t runs;           /* Workers on which the request may have run, not
                                counting those of a VM that passed it on. */
    uint32_t attempts;       /* Workers on which this VM may run it. */
    uint32_t counted_calls;  /* Calls counted for the retry budget, which
                                charges all but the first. */
    bool prefilled;          /* A prefill succeeded; further ones count as
                                calls for the retry budget. */
    /* Start of the worker that may have crashed under the last call; 0 for
       none. */
    uint64_t crash_worker;
    SuspectsWeight crash_weight; /* Of that call. */
    bool is_probe;               /* Let through despite a blamed part. */
    bool queued;                 /* Counts in its service\'s AdmissionQueue. */
    bool waiting;                /* Waits for capacity at a worker. */
    /* All workers that could run the request were full at the last look; not
       set while one is silent that may go on with it. */
    bool lacks_room;
    int64_t waiting_since_us; /* When the wait began; a run resets it to 0. */
    /* Streams for which it leaves room to more urgent ones at a worker. */
    double held_streams;
    int64_t lacked_us;      /* As in Urgency_NoteLook(). */
    bool is_admitted;       /* Counted as such by the service's Urgency. */
    bool streaming;         /* The caller was sent the stream's header. */
    int64_t first_event;    /* ID of the first event sent to the caller. */
    int64_t last_event;     /* ID of the last event sent to the caller. */
    EventOrder order;       /* Of the events sent to the caller. */
    int64_t first_event_us; /* When the first event was sent; 0 if none was. */
    int64_t last_event_us;  /* When the last one was sent. */
    int64_t longest_gap_us; /* Longest time between two events. */
    uint32_t events;        /* Events sent to the caller, comments too. */
    int64_t spent_us[TASK_STAGE_COUNT]; /* Time of the calls of each stage. */
    char cause[TASK_CAUSE_MAX];         /* Cause of the last failure. */
    uint32_t retry_after_ms;            /* Told to a refused caller. */
};

/* Requests of a planned stop. */
typedef struct GraceCount {
    uint32_t in_progress;     /* As the stop began. */
    uint32_t taken;           /* Came after that, and were sent to a worker. */
    uint32_t refused;         /* Came after that, and did not run. */
    uint32_t cut_in_progress; /* Of `in_progress`, ended without an answer. */
    uint32_t cut_taken;       /* The same of `taken`. */
    int64_t last_taken_us;    /* When the last of `taken` ended; 0: none. */
} GraceCount;

struct Gate {
    GateOptions options;
    RteTable *table;
    LIST_HEAD(TaskList, GateTask) tasks;
    GHashTable *budgets;     /* Service name to Budget. */
    GHashTable *demands;     /* Service name to GateDemand. */
    GHashTable *queues;      /* Service name to AdmissionQueue. */
    GHashTable *precedences; /* Service name to Precedence. */
    GHashTable *rooms;       /* Service name to BegunRoom. */
    GHashTable *urgencies;   /* Service name to UrgencyRow. */
    GHashTable *paces;       /* Service name to WorkerPaceService. */
    /* Route name to the time left of callers at their first try, ms. */
    GHashTable *first_left_ms;
    double event_interval_us; /* Between events of a stream, moving mean. */
    GRand *rand;
    size_t buffered_bytes;     /* Of the bodies of all calls in progress. */
    double mean_tokens;        /* KV memory of a stream over its time, mean. */
    double mean_answer_tokens; /* Expected tokens of an answer, mean. */
    int64_t limits_until_us;   /* Until then workers may name limits. */
    uint32_t choices;          /* Choices of a worker so far. */
    Suspects suspects;
    LIST_HEAD(CrashCheckList, CrashCheck) crash_checks;
    Origins origins;
    KeyLease key_lease;
    bool has_key_lease; /* As it was logged last. */
    /* Account name to AccessCount. */
    GHashTable *account_counts;
    AccountLoads *account_loads;
    struct Surveys *surveys;
    struct Lookups *lookups;
    LIST_HEAD(DetourServiceList, DetourService) cut_services;
    LIST_HEAD(DetourVmList, DetourVm) detour_vms;
    LIST_HEAD(DetourProbeList, DetourProbe) detour_probes;
    struct event *detour_timer;
    uint32_t relayed_count; /* Requests of other VMs in progress. */
    bool stopping;
    GHashTable *drain_times; /* Service name to DrainTimes. */
    int64_t drain_end_us;    /* As in Grace_Begin(); 0 before a stop. */
    GraceCount grace;
};

/* Returns the cost of a call at a worker, microseconds. */
typedef int64_t (*TaskCost)(const GateTask *task, const FleetWorker *worker,
                            const RankWorker *rank, const void *context);
/* Returns the usable worker with the lowest cost, or NULL if there is none.
   Workers that failed the task, and those whose limit allows no request, are
   excluded; leaving workers are chosen only if there is no other, and blocked
   ones only if there is no leaving one. If a worker is found, its cost is
   stored in *best_us; it can be RANK_UNUSABLE_US. */
FleetWorker *Task_ChooseWorker(GateTask *task, FleetPhase phase, TaskCost cost,
                               const void *context, int64_t *best_us);
/* Whether workers that could run the request are listed, and each of them has
   said that it takes no work now, or no more from this VM. Stores when the
   first one will take work again in *until_us, or 0 if all are leaving, and
   whether one of them limits its requests in *is_limited. */
bool Task_IsTurnedAway(const GateTask *task, int64_t *until_us,
                       bool *is_limited);
/* Returns the cost at one worker, whatever the worker's state. */
int64_t Task_GetCost(const GateTask *task, const FleetWorker *worker,
                     TaskCost cost, const void *context);
/* Returns the network distance between two availability zones. */
RankDistance Task_GetDistance(const Gate *gate, const char *from,
                              const char *to);

/* Returns a hash that is the same for each repeat of the request, by the
   caller or a VM: of its host, method, target and body. 0 if the caller left
   before it was computed. */
uint64_t Task_GetIdentity(GateTask *task);
/* Returns the most events that the stream may have; 0 if there is no limit. */
uint32_t Task_CountEventsMax(const GateTask *task);
/* Returns how many events the stream has had, those before a caller's
   resumption included. */
uint32_t Task_CountMadeEvents(const GateTask *task);
/* Returns the time of the gate's clock, microseconds. */
int64_t Task_Now(const GateTask *task);
/* Returns the precedence of timely requests for the task's service. */
Precedence *Task_GetPrecedence(const GateTask *task);
/* Whether the call in progress may be running the request, or its answer may
   be complete. */
bool Task_MayBeRunning(const GateTask *task);
/* Returns the time until the task's deadline. */
int64_t Task_GetLeftMs(const GateTask *task);
/* Returns the expected time from a stream's first event to its last one. */
int64_t Task_GetStreamTime(const GateTask *task);
/* Counts the request for its service's retry budget. */
void Task_NoteRequest(GateTask *task);
/* Whether the service's budget allows this number of further calls. Calls are
   counted as they begin. */
bool Task_HasBudget(GateTask *task, uint32_t calls);
/* Sends the request to the worker. `idle_max_ms` as in ClientCallOptions. The
   callbacks get the TaskCall; `on_end` must set its `call` to NULL. */
void Task_BeginCall(GateTask *task, FleetWorker *worker,
                    const GateCallOptions *options, uint32_t idle_max_ms,
                    void (*on_data)(void *, const void *, size_t),
                    void (*on_end)(void *, ClientOutcome));
/* Sends a control call. Its answer is stored in task->current. `on_end` gets
   the TaskCall, and must set its `call` to NULL. */
void Task_BeginControlCall(GateTask *task, FleetWorker *worker,
                           TaskStage stage,
                           const GateControlCall *control_call,
                           void (*on_end)(void *, ClientOutcome));
/* Returns the label of a connection on which the run may be sent to the
   worker, as in ClientCallOptions; 0: on any. The events of a stream that goes
   on elsewhere must come from workers of one software version, and a worker
   may start again at another one under its identifier before its entry says
   so. */
uint64_t Task_GetStartLabel(const GateTask *task, const FleetWorker *worker);
/* Returns the label of a connection on which the worker has answered the
   question for its state: by the start that it told, or that it told none. */
uint64_t Task_ReadStartLabel(const GateTask *task, const FleetWorker *worker,
                             int status, const GByteArray *state);
/* Whether there is a connection on which the run may be sent. */
bool Task_HasConnection(const GateTask *task, const FleetWorker *worker,
                        uint32_t idle_max_ms);
/* Sends a control call that frees something which also lapses by itself, and
   ignores its answer. A worker that has asked for a pause gets none. */
void Task_SendControlCall(const GateTask *task, FleetWorker *worker,
                          const char *address,
                          const GateControlCall *control_call);
/* Cancels the call in progress, if any, and clears task->current. */
void Task_EndCall(GateTask *task);
/* Excludes a worker that failed from the task's further choices. Returns false
   if the task has excluded too many already. */
bool Task_ExcludeWorker(GateTask *task, FleetWorker *worker);
/* Lets a stream that has begun choose among the excluded workers again, but
   for a silent one that it still waits for: only those of its version can go
   on with it, and there may be no other. Has no effect soon after the last
   failure; the time doubles with each effect, as another worker may come while
   these take the calls that the stream may make. */
void Task_ReadmitWorkers(GateTask *task);
/* As Task_ExcludeWorker(), for what failed the current call: the worker behind
   the called VM if that VM named one, as it may serve the next attempt. */
void Task_ExcludeFailed(GateTask *task);
/* Whether the worker failed the task. */
bool Task_IsExcluded(const GateTask *task, const FleetWorker *worker);
/* Whether the ended call has run, judging by its outcome and answer. */
LsRun Task_GetRun(const TaskCall *call, ClientOutcome outcome);
/* Whether the worker's answer may be passed to the caller. */
bool Task_HasAnswer(const TaskCall *call, ClientOutcome outcome);
/* Notes that bytes of the answer came. */
void Task_NoteHeard(TaskCall *call);
/* Notes that the call's worker can't be reached or has not responded in time.
 */
void Task_NoteUnresponsive(TaskCall *call);
/* Appends data to the body of the answer, up to TASK_BODY_MAX bytes. `call` is
   the TaskCall. */
void Task_AppendBody(void *call, const void *data, size_t size);
/* Returns the name, for logs, of the framing of the last answer to a call. */
const char *Task_GetFramingName(const GateTask *task);
/* Returns a short text for logs and callers on why a call failed. */
const char *Task_GetCause(const TaskCall *call, ClientOutcome outcome,
                          LsRun run);
/* Updates the worker's health after a failed call, and logs the failure. */
void Task_NoteFailure(GateTask *task, ClientOutcome outcome, LsRun run,
                      const char *cause);
/* Returns the input of Retry_Decide() as far as it doesn't depend on the kind
   of request. `run` is that of the ended call. */
RetryInput Task_GetRetryInput(const GateTask *task, LsRun run);
/* Decides what follows a failed call, and logs the decision. */
RetryNext Task_DecideRetry(const GateTask *task, const RetryInput *input);
/* Returns the forecast of the task's KV memory at a decode worker. */
Forecast Task_GetForecast(const GateTask *task);
/* Brings the forecasts at the task's workers up to date. */
void Task_UpdateForecasts(GateTask *task);
/* Arms the timer for the earlier of the task's and the step's deadline. */
void Task_SetTimer(GateTask *task);

/* Each of the following five functions ends and frees the task. */

/* Answers with the worker's answer. */
void Task_PassAnswer(GateTask *task);
/* The same with the end of the connection as its end. */
void Task_PassUntilClose(GateTask *task);
/* Answers 503: the request has not run. */
void Task_Refuse(GateTask *task, AdmissionCause cause);
/* Answers 502 or 504, or aborts a stream that has begun. */
void Task_Fail(GateTask *task, LsResult code);
/* Ends the call in progress. Fails the task with `code` if the request may
   have run, or refuses it with `cause` otherwise. A task with a silent call
   goes on with that one instead. */
void Task_Abort(GateTask *task, AdmissionCause cause, LsResult code);
/* Counts and logs the end. The caller must have its answer, or have
   disconnected. */
void Task_End(GateTask *task, const char *outcome, int status);

/* Plain calls (plain.c) and streams (stream.c). Each Begin function begins the
   request's first step. Each OnStepTimeout function is called when
   `step_deadline_us` has passed. */

void Plain_Begin(GateTask *task);
void Plain_OnStepTimeout(GateTask *task);
void Stream_Begin(GateTask *task);
void Stream_OnStepTimeout(GateTask *task);
/* Frees KV memory and reservations at workers that were not used, and ends the
   wait for capacity. */
void Stream_ReleaseAll(GateTask *task);

#endif
