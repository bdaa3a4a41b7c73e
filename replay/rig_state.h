/* The rig's state, and what its own files share; no others include this. */
#ifndef RIG_STATE_H
#define RIG_STATE_H

#include "rig.h"

#define RIG_CELL "lens@region-0"
#define RIG_MODEL "lens"
#define RIG_SERVICE "booking"
#define RIG_PATH "/holds"
#define RIG_LIST_INTERVAL_US (5 * CLK_US_PER_S)
#define RIG_LINK_TIMEOUT_US (2500 * CLK_US_PER_MS)
#define RIG_VIOLATION_MAX 256
#define RIG_VMS_MAX 64
#define RIG_DISCONNECTED_US                                                   \
    CLK_US_PER_S /* For memory of a caller that left. */

typedef struct RigVm {
    Rig *rig;
    int index;
    char id[16];
    char region[16];
    Board *board; /* NULL while dead. */
    bool paused;
    bool listed;
    int64_t delist_us; /* When the lagging list drops it. */
    uint64_t incarnation;
    GQueue *held; /* RigEvent * that wait for the process to wake. */
} RigVm;

typedef struct RigEngine {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    bool prefill;
    int region;
    RigFault fault;
    bool leaving;         /* By configuration. */
    GHashTable *requests; /* id held in memory */
    GHashTable *results;  /* id to expiry of a prefill's result */
    GHashTable *faulted;  /* id that the fault has hit once */
    int64_t prefill_free_us;
    int64_t last_work_time_us;
    uint64_t prefilled; /* Tokens. */
    char loaded[CON_ID_MAX];
    uint64_t fencing; /* Highest of the orders taken. */
    GString *history; /* Targets loaded, one after another. */
} RigEngine;

typedef enum RigEventType {
    RIG_EVENT_FRAME,
    RIG_EVENT_ARRIVE, /* A call reaches its upstream. */
    RIG_EVENT_PREFILLED,
    RIG_EVENT_TOKEN,
    RIG_EVENT_REPLY, /* An event of a call reaches its VM. */
    RIG_EVENT_LINK_DOWN,
    RIG_EVENT_CONFIG,
} RigEventType;

/* A call as its upstream sees it. */
typedef struct RigCall {
    int vm;
    uint64_t incarnation; /* Of the calling process. */
    uint64_t id;
    char address[CON_ADDRESS_MAX];
    char *path;
    char *request;
    char *key;
    json_t *body;
    bool closed; /* The VM gave it up. */
    uint64_t seed;
    uint32_t next;
    uint32_t end;
    bool cut;
} RigCall;

typedef struct RigEvent {
    int64_t at_us;
    uint64_t order;
    RigEventType type;
    int vm; /* At which it happens. */
    int from;
    uint64_t incarnation;
    GBytes *frame;
    RigCall *call;
    BoardCallEventType reply;
    int status;
    char *data;
    bool sent;
    ConConfig *config;
} RigEvent;

struct Rig {
    RigOptions options;
    int64_t now_us;
    uint64_t order;
    GSequence *events;
    GRand *rand;
    RigVm vms[RIG_VMS_MAX];
    bool cut[RIG_VMS_MAX][RIG_VMS_MAX];
    GPtrArray *engines; /* RigEngine * */
    GPtrArray *callers; /* RigCaller * */
    GPtrArray *calls;   /* RigCall * */
    GHashTable *runs;   /* key to count */
    GHashTable *worked; /* request that reached an engine */
    RigFault booking_fault;
    uint64_t version;
    bool checks_fencing;
    char load[CON_ID_MAX]; /* Target of all engines; empty for none. */
    uint64_t prefilled;
    int64_t next_list_us;
    char violation[RIG_VIOLATION_MAX];
};

/* Adds an event that happens at a VM after a delay. */
RigEvent *Rig_AddEvent(Rig *rig, RigEventType type, int vm, int64_t delay_us);
void Rig_StartProcess(Rig *rig, RigVm *vm);      /* With empty memory. */
void Rig_HandleEvent(Rig *rig, RigEvent *event); /* And frees it. */
ConConfig *Rig_LoadConfig(Rig *rig); /* Of the rig's present version. */
/* A call reaches its upstream. */
void RigUp_HandleCall(Rig *rig, RigCall *call);
void RigUp_EndPrefill(Rig *rig, RigCall *call);
/* Generates one token. A stream whose call was closed stops, and its request
   stays in memory until it is cancelled or resumed. */
void RigUp_GenerateToken(Rig *rig, RigCall *call);
/* Token k of a prompt's answer depends only on the prompt and k. */
uint64_t RigUp_GetSeed(const char *prompt);
void RigUp_AppendToken(GString *text, uint64_t seed, uint32_t number);

#endif
