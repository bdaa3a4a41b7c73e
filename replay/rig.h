/* Rig: test harness that runs the boards of several VMs under one
   simulated clock, with fake links, engines, a booking service and callers at
   their interfaces. It injects faults and checks the invariants that must
   always hold. Used by the tests and by lavenderspool-replay. */
#ifndef RIG_H
#define RIG_H

#include "board.h"
#include "placement.h"

/* Resolution of the simulated clock: the VMs tick once per step. */
#define RIG_STEP_US (5 * CLK_US_PER_MS)
#define RIG_KEY "rig-key" /* The customer's bearer key. */

typedef struct RigOptions {
    int regions; /* VMs and engines are assigned to them round-robin. */
    int vm_count;
    int prefill_count; /* Prefill engines, all regions together. */
    int decode_count;  /* Decode engines, all regions together. */
    double cross_region_tokens_per_s; /* The customer's limit. */
    uint32_t slots;                   /* Concurrent requests per engine. */
    uint32_t prefill_tokens_per_s;    /* Per prefill engine. */
    uint32_t token_interval_us;       /* Time between tokens of a stream. */
    int64_t latency_us;    /* One-way latency between any two processes. */
    int64_t jitter_us;     /* Upper bound of a frame's random extra delay. */
    double drop_rate;      /* Share of frames lost; each breaks its link. */
    double duplicate_rate; /* Share of frames that are delivered twice. */
    int64_t list_lag_us;   /* Time for which the VM list keeps a killed VM. */
    int64_t kv_life_us;    /* Time for which a prefill's KV data is kept. */
    guint32 seed;
    PickPolicy policy;
} RigOptions;

/* Faults of an engine or of the booking service. The order is that of the
   fault names in trace.c. */
typedef enum RigFault {
    RIG_FAULT_NONE,
    RIG_FAULT_SILENT,  /* Accepts calls and never responds. */
    RIG_FAULT_REFUSE,  /* Refuses requests with the error "full". */
    RIG_FAULT_DOWN,    /* Refuses connections. */
    RIG_FAULT_CUT,     /* Breaks each stream once, after two tokens. */
    RIG_FAULT_LOSE,    /* Runs operations, but loses the responses. */
    RIG_FAULT_LEAVING, /* Reports leaving and refuses new requests. */
    RIG_FAULT_FORGET,  /* Reports the KV data of one request as missing. */
    RIG_FAULT_REPEAT,  /* Sends each token twice. */
    RIG_FAULT_SKIP,    /* Omits the third token of each stream. */
    RIG_FAULT_LONG,    /* Runs operations, but the answers are too long. */
} RigFault;

/* A caller and the answer that it received. */
typedef struct RigCaller {
    uint64_t number;
    int vm;
    /* Identifier of a completion, or "". */
    char request[BOARD_REQUEST_ID_MAX];
    char *key;    /* Idempotency key of an operation, or NULL. */
    char *prompt; /* Prompt of a completion, or NULL. */
    uint32_t max_tokens;
    GString *text;     /* Completion text received so far. */
    int final_answers; /* Number received; more than 1 is a violation. */
    bool is_disconnected;
    bool lost; /* The VM of the caller was killed. */
    int64_t begun_us;
    int64_t disconnected_us;
    int64_t first_us;     /* Time of the first token, 0 if none. */
    int64_t ended_us;     /* Time of the final answer, 0 if none. */
    BoardAnswerType type; /* Type of the final answer. */
    int status;           /* HTTP status of the final answer. */
    LsError err;          /* Set if the final answer is an error. */
} RigCaller;

typedef struct Rig Rig;

RigOptions Rig_DefaultOptions(void);
/* Starts all VMs and runs them for 2 s of simulated time. */
Rig *Rig_New(const RigOptions *options);
void Rig_Free(Rig *rig);
/* Returns the board of a VM, owned by the rig, or NULL if the VM is dead. */
Board *Rig_GetBoard(Rig *rig, int vm);
/* Returns the simulated time in microseconds. */
int64_t Rig_Now(const Rig *rig);
/* Advances the simulated clock and handles the events that fall due. */
void Rig_Run(Rig *rig, int64_t duration_us);

/* Callers. The functions return a record that the rig owns. The VM must have
   a board. */
RigCaller *Rig_SendCompletion(Rig *rig, int vm, const char *prompt,
                              uint32_t max_tokens);
RigCaller *Rig_SendOperation(Rig *rig, int vm, const char *key,
                             const char *body);
/* Returns a new idempotency key, to be freed with g_free(), or NULL if the VM
   refused to issue one. */
char *Rig_IssueKey(Rig *rig, int vm);
/* Disconnects a caller from its VM. */
void Rig_DisconnectCaller(Rig *rig, RigCaller *caller);

/* Faults. */
/* Kills a VM's process. The VM list keeps the VM for `list_lag_us`. */
void Rig_KillVm(Rig *rig, int vm);
/* Restarts a killed VM without its former state. */
void Rig_StartVm(Rig *rig, int vm);
/* Suspends a VM's process; events for it wait until it is resumed. */
void Rig_PauseVm(Rig *rig, int vm);
void Rig_ResumeVm(Rig *rig, int vm);
/* Begins a graceful shutdown of a VM. */
void Rig_StopVm(Rig *rig, int vm);
/* Cuts or restores a link in one direction. */
void Rig_CutLink(Rig *rig, int from, int to, bool cut);
/* Cuts or restores all links of a VM in both directions. */
void Rig_IsolateVm(Rig *rig, int vm, bool isolated);
void Rig_SetEngineFault(Rig *rig, int engine, RigFault fault);
void Rig_SetBookingFault(Rig *rig, RigFault fault);
/* Publishes a configuration that marks an engine as leaving. It reaches VM i
   after i times `stagger_us`. */
void Rig_SetEngineLeaving(Rig *rig, int engine, int64_t stagger_us);

/* Publishes a configuration with a load target for all engines to the VMs in
   `vm_mask` (bit i for VM i). Other VMs get it with the next configuration
   that is published to them. */
void Rig_SetLoad(Rig *rig, const char *load, unsigned vm_mask);
/* Sets whether engines refuse orders with an outdated fencing token. */
void Rig_SetFencingCheck(Rig *rig, bool checks_fencing);
/* Resets an engine's loaded target and its highest fencing token. */
void Rig_RestartEngine(Rig *rig, int engine);

/* State of the rig. */

/* Returns the targets that an engine has loaded, oldest first, each followed
   by a space: "v1 v2 ". The rig owns the string. */
const char *Rig_GetLoadHistory(const Rig *rig, int engine);
/* Returns the number of tokens prefilled in a region. */
uint64_t Rig_GetRegionPrefilledTokens(const Rig *rig, int region);
/* Returns the number of the VM that is home of the cell RIG_CELL according to
   a VM, or -1. */
int Rig_FindHome(Rig *rig, int vm);
/* Returns the number of requests that engines hold in memory. */
guint Rig_CountHeld(const Rig *rig);
/* Returns how often the booking service ran an operation. */
guint Rig_CountRuns(const Rig *rig, const char *key);
/* Returns the time in microseconds at which an engine last accepted a
   request, or 0. */
int64_t Rig_GetLastWorkTime(const Rig *rig, int engine);
/* Returns the number of tokens prefilled by all engines. */
uint64_t Rig_GetPrefilledTokens(const Rig *rig);
/* Returns a description of the first violated invariant, owned by the rig,
   or NULL. `settled` also checks that all callers have been answered and that
   engines hold no request; set it when all faults have been removed and
   enough time has passed. */
const char *Rig_FindViolation(Rig *rig, bool settled);

#endif
