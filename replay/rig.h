/* Rig: several boards under one paused clock, with small fakes at their
   interfaces: links that may be cut, engines, a booking service and callers.
   It checks the promises that must always hold. Used by tests and replay. */
#ifndef RIG_H
#define RIG_H

#include "board.h"
#include "plc.h"

#define RIG_STEP_US (5 * CLK_US_PER_MS)
#define RIG_KEY "rig-key" /* The customer's bearer key. */

typedef struct RigOptions {
    int regions; /* VMs and engines are spread over them in turn. */
    int vm_count;
    int prefill_count; /* In all regions. */
    int decode_count;
    double cross_region_tokens_per_s; /* Of the customer's contract. */
    uint32_t slots;
    uint32_t prefill_tokens_per_s;
    uint32_t token_interval_us;
    int64_t latency_us;    /* One way, between any two. */
    int64_t jitter_us;     /* Added to frames at random. */
    double drop_rate;      /* Of frames; each breaks its link. */
    double duplicate_rate; /* Of frames. */
    int64_t list_lag_us;   /* Of the VM list. */
    int64_t kv_life_us;    /* Of a prefill's result. */
    guint32 seed;
    PickPolicy policy;
} RigOptions;

/* Faults of an engine or of the booking service. */
typedef enum RigFault {
    RIG_FAULT_NONE,
    RIG_FAULT_SILENT,  /* Takes calls and says nothing more. */
    RIG_FAULT_REFUSE,  /* Answers "full". */
    RIG_FAULT_DOWN,    /* Refuses connections. */
    RIG_FAULT_CUT,     /* Breaks each stream off once, after two tokens. */
    RIG_FAULT_LOSE,    /* Runs operations, but loses the answers. */
    RIG_FAULT_LEAVING, /* Says that it takes no new work. */
    RIG_FAULT_FORGET,  /* Loses each prefill's result once. */
    RIG_FAULT_REPEAT,  /* Sends each token twice. */
    RIG_FAULT_SKIP,    /* Leaves the third token of a stream out. */
} RigFault;

/* What one caller got. */
typedef struct RigCaller {
    uint64_t number;
    int vm;
    char request[BOARD_REQUEST_ID_MAX]; /* Of a completion. */
    char *key;                          /* Of an operation. */
    char *prompt;
    uint32_t max_tokens;
    GString *text;
    int final_answers; /* Final answers received; must never be above 1. */
    bool gone;
    bool lost; /* Its VM was killed. */
    int64_t begun_us;
    int64_t disconnected_us;
    int64_t first_us;
    int64_t ended_us;
    BoardAnswerType type; /* Of the final answer. */
    int status;
    LsError err;
} RigCaller;

typedef struct Rig Rig;

RigOptions Rig_DefaultOptions(void);
Rig *Rig_New(const RigOptions *options);
void Rig_Free(Rig *rig);
Board *Rig_GetBoard(Rig *rig, int vm);
int64_t Rig_Now(const Rig *rig);
void Rig_Run(Rig *rig, int64_t by_us); /* Moves the paused clock on. */

/* Callers. Each call returns a caller's record, owned by the rig. */
RigCaller *Rig_SendCompletion(Rig *rig, int vm, const char *prompt,
                              uint32_t max_tokens);
RigCaller *Rig_SendOperation(Rig *rig, int vm, const char *key,
                             const char *body);
char *Rig_IssueKey(Rig *rig, int vm); /* g_free it; NULL if refused. */
void Rig_DisconnectCaller(Rig *rig, RigCaller *caller);

/* Faults. */
void Rig_KillVm(Rig *rig, int vm);
void Rig_StartVm(Rig *rig, int vm); /* Again, with empty memory. */
void Rig_PauseVm(Rig *rig, int vm);
void Rig_ResumeVm(Rig *rig, int vm);
void Rig_StopVm(Rig *rig, int vm); /* Graceful shutdown. */
void Rig_CutLink(Rig *rig, int from, int to, bool cut); /* One way. */
void Rig_IsolateVm(Rig *rig, int vm, bool isolated);
void Rig_SetEngineFault(Rig *rig, int engine, RigFault fault);
void Rig_SetBookingFault(Rig *rig, RigFault fault);
/* Marks an engine as leaving by a new configuration, which reaches VM i
   after i times `stagger_us`. */
void Rig_SetEngineLeaving(Rig *rig, int engine, int64_t stagger_us);

/* Publishes a target for all engines to the VMs of a mask; the others get it
   with the next call that includes them. */
void Rig_SetLoad(Rig *rig, const char *load, unsigned vm_mask);
/* Whether engines refuse orders with an old fencing number. */
void Rig_SetFencingCheck(Rig *rig, bool checks_fencing);
void Rig_RestartEngine(Rig *rig, int engine); /* Forgets what it loaded. */

/* Readings. */
const char *Rig_GetLoadHistory(const Rig *rig, int engine); /* "v1 v2 " */
uint64_t Rig_GetRegionPrefilledTokens(const Rig *rig,
                                      int region); /* Tokens prefilled. */
int Rig_FindHome(Rig *rig, int vm);  /* Home of the cell as a VM sees it. */
guint Rig_CountHeld(const Rig *rig); /* Requests in engines' memory. */
guint Rig_CountRuns(const Rig *rig, const char *key); /* At the booking. */
int64_t Rig_GetLastWorkTime(const Rig *rig,
                            int engine);         /* Newest work taken. */
uint64_t Rig_GetPrefilledTokens(const Rig *rig); /* Tokens, by all engines. */
/* The first broken promise in words, or NULL. `settled`: no fault is left
   and all answers are due. */
const char *Rig_FindViolation(Rig *rig, bool settled);

#endif
