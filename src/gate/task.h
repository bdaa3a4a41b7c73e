/* Task: one request at the gate, from its arrival to its answer. What plain
   calls (pln) and streams (gen) have in common. */
#ifndef LS_TASK_H
#define LS_TASK_H

#include "../decide/adm.h"
#include "../decide/rty.h"
#include "../met.h"
#include "gate.h"
#include "sse.h"

#include <sys/queue.h>

#define TASK_EXCLUDED_MAX RTY_SENDS_MAX
#define TASK_CAUSE_MAX 48

typedef struct GateTask GateTask;

/* What a call at a worker is for. */
typedef enum TaskStage {
    TASK_RUN,     /* The whole request. */
    TASK_DECODE,  /* The request, from a prompt that was read elsewhere. */
    TASK_PREFILL, /* Reading the prompt. */
    TASK_RESERVE, /* Room for the request; does not carry it. */
    TASK_STAGE_COUNT,
} TaskStage;

/* One call at a worker. */
typedef struct TaskCall {
    CliCall *call; /* NULL when none is under way. */
    FltWorker *worker;
    TaskStage stage;
    bool counted;     /* It counts as an arrival of the request. */
    bool extra;       /* It was taken from the budget. */
    uint32_t reading; /* Prompt tokens counted at the worker. */
    uint32_t held;    /* Memory counted at the worker. */
    int64_t began_us;
    int64_t expected_us; /* Until the first byte, as estimated. */
    bool has_reply;
    GateReply reply;
    HdrList *headers; /* Of the reply, as the caller is to get them. */
    GByteArray *body;
    bool cut; /* The body was longer than what is kv of it. */
} TaskCall;

/* Memory of a prompt that was read and not yet taken. */
typedef struct TaskHandle {
    char handle[GATE_HANDLE_MAX];
    char address[FLT_ADDRESS_MAX];
    FltWorker *worker; /* That read it. */
    int64_t prefilled_us;
    uint32_t offers; /* Decode workers that were offered it. */
} TaskHandle;

/* The decode worker that the request is meant for; its memory counts as used
   there from the choice on, for this VM and, by gossip, for the others. */
typedef struct TaskAssignment {
    FltWorker *worker; /* NULL: none is chosen. */
    uint32_t tokens;
} TaskAssignment;

struct GateTask {
    LIST_ENTRY(GateTask) links;
    Gate *gate;
    SrvExchange *exchange; /* NULL once the caller is gone or answered. */
    GateRequest request;
    RteTable *table;
    const RteRoute *route;
    const RteService *service;
    struct event *timer;
    int64_t began_us;
    int64_t deadline_us;      /* Of the caller and of the route. */
    int64_t step_deadline_us; /* When a silent call is given up; 0: never. */
    TaskCall current;
    TaskHandle kv;
    TaskAssignment booking;
    char lease[GATE_HANDLE_MAX]; /* Of room at the booked worker, or "". */
    int64_t lease_until_us;
    FltWorker *excluded[TASK_EXCLUDED_MAX]; /* Failed this request. */
    guint excluded_count;
    uint32_t sends; /* Calls of which a byte may have left. */
    uint32_t runs;  /* Workers on which it may have run. */
    uint32_t
        counted_calls; /* Calls that count against the budget but for one. */
    bool prefilled;    /* A prefill was accepted: the next one counts. */
    bool waiting;      /* For room at a worker. */
    int64_t waiting_since_us; /* Since when it has had no worker, or 0. */
    bool streaming;           /* The caller has the header of the stream. */
    int64_t last_event;       /* Last event that the caller was sent. */
    Sse sse;
    int64_t first_us; /* When the caller was sent the first event. */
    uint32_t events;  /* Sent to the caller. */
    int64_t spent_us[TASK_STAGE_COUNT]; /* At workers, by stage. */
    char cause[TASK_CAUSE_MAX];         /* Of the last failure. */
};

struct Gate {
    GateOptions options;
    RteTable *table;
    LIST_HEAD(TaskList, GateTask) tasks;
    GHashTable *budgets; /* Service name to Bud. */
    GHashTable *demands; /* Service name to GateDemand. */
    double
        event_interval_us; /* From event to event of a stream, moving mean. */
    GRand *rand;
    double mean_tokens; /* Memory of a stream's request, moving. */
    bool stopping;
};

/* A worker for the task that has not failed it, least costly by `cost`; those
   that health leaves out only if there is no other. NULL if there is none. */
typedef int64_t (*TaskCost)(const GateTask *task, const FltWorker *worker,
                            const RankWorker *rank, const void *context);
FltWorker *Task_ChooseWorker(GateTask *task, FltPhase phase, TaskCost cost,
                             const void *context, int64_t *best_us);
/* The same of one worker, whatever its state. */
int64_t Task_GetCost(const GateTask *task, const FltWorker *worker,
                     TaskCost cost, const void *context);
RankDistance Task_GetDistance(const Gate *gate, const char *from,
                              const char *to);

int64_t Task_Now(const GateTask *task);
bool
Task_MayBeRunning(const GateTask *task); /* The call under way may run it. */
int64_t Task_GetLeftMs(const GateTask *task);
/* Counts the task's arrival for its service's retry budget. */
void Task_NoteRequest(GateTask *task);
/* Whether so many more calls are within the service's budget. Calls are
   counted as they begin. */
bool Task_HasBudget(GateTask *task, uint32_t calls);
/* Starts a call at the worker. `idle_max_ms` as in CliCallOptions. */
void Task_BeginCall(GateTask *task, FltWorker *worker,
                    const GateCallOptions *options, uint32_t idle_max_ms,
                    void (*on_data)(void *, const void *, size_t),
                    void (*on_end)(void *, CliOutcome));
/* Starts a control_call call; its answer is kv in task->current. */
void Task_BeginControlCall(GateTask *task, FltWorker *worker,
                           const GateControlCall *control_call,
                           void (*on_end)(void *, CliOutcome));
/* Starts a control_call call of which no answer is awaited. */
void Task_SendControlCall(const GateTask *task, const char *address,
                          const GateControlCall *control_call);
/* Gives the call up that is under way, or clears what it left. */
void Task_EndCall(GateTask *task);
void Task_ExcludeWorker(GateTask *task, FltWorker *worker);
/* Whether the call that ended has run, by its outcome and answer. */
LsRun Task_GetRun(const GateTask *task, CliOutcome outcome);
/* Whether the answer is one that may be passed on. */
bool Task_HasAnswer(const GateTask *task, CliOutcome outcome);
/* Keeps what comes of an answer's body, up to a bound. */
void Task_AppendBody(void *task, const void *data, size_t size);
/* Why a call did not end well, in a word for logs and callers. */
const char *Task_GetCause(const GateTask *task, CliOutcome outcome, LsRun run);
/* Takes a failed call's lesson for the worker's health, and logs it. */
void Task_NoteFailure(GateTask *task, CliOutcome outcome, LsRun run,
                      const char *cause);
/* What a decision on a retry needs of the task; `run` is of the call that
   ended. The kind of request fills in the rest. */
RtyInput Task_GetRetryInput(const GateTask *task, LsRun run);
/* Decides what follows a failed call, and logs why. */
RtyNext Task_DecideRetry(const GateTask *task, const RtyInput *input);
void Task_SetTimer(GateTask *task);

/* Each of these ends and frees the task. */
void Task_PassAnswer(GateTask *task);             /* Worker's answer. */
void Task_Refuse(GateTask *task, AdmCause cause); /* 503, not run. */
void Task_Fail(GateTask *task, LsResult code);    /* 502, 504. */
/* Ends the call under way; fails what may have run, and refuses the rest. */
void Task_GiveUp(GateTask *task, AdmCause cause, LsResult code);
void Task_End(GateTask *task, const char *outcome, int status);

/* Kinds of requests. */
void Pln_Begin(GateTask *task);
void Pln_OnStepTimeout(GateTask *task);
void Gen_Begin(GateTask *task);
void Gen_OnStepTimeout(GateTask *task);
void Gen_ReleaseAll(GateTask *task); /* Frees memory and places not used. */

#endif
