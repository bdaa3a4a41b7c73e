/* Rig, internal header (Rig_, RigUp_): the state of a rig and the functions
   that its source files share. Only replay/rig*.c include it. RigUp_ stands
   for the fake upstreams: engines and the booking service. */
#ifndef RIG_STATE_H
#define RIG_STATE_H

#include "rig.h"

#define RIG_CELL "lens@region-0"
#define RIG_MODEL "lens"
#define RIG_SERVICE "booking"
#define RIG_PATH "/holds"
/* Interval at which the VMs read the VM list. */
#define RIG_LIST_INTERVAL_US (5 * CLK_US_PER_S)
/* Time after which a VM notices that a link is silent. */
#define RIG_LINK_TIMEOUT_US (2500 * CLK_US_PER_MS)
#define RIG_VIOLATION_MAX 256
#define RIG_VMS_MAX 64
/* Time after which the memory of a disconnected caller must be free. */
#define RIG_DISCONNECTED_US CLK_US_PER_S

typedef struct RigVm {
    Rig *rig;
    int index;
    char id[16];
    char region[16];
    Board *board; /* NULL if the VM is dead */
    bool paused;
    bool listed;       /* The VM list contains this VM. */
    int64_t delist_us; /* Time of removal from the list, 0 if none. */
    uint64_t incarnation;
    GQueue *pending_events; /* RigEvent * that wait until the VM is resumed */
} RigVm;

typedef struct RigEngine {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    bool prefill; /* Prefill engine, otherwise decode engine. */
    int region;
    RigFault fault;
    bool leaving;           /* Marked as leaving in the configuration. */
    GHashTable *requests;   /* Set of request ids held in memory. */
    GHashTable *kv_results; /* Request id to expiry time of its KV data. */
    /* Set of request ids that a fault which acts once has affected. */
    GHashTable *faulted_requests;
    int64_t prefill_free_us;   /* Time at which the prefill queue is empty. */
    int64_t last_work_time_us; /* Time of the last accepted request. */
    uint64_t prefilled;        /* Tokens prefilled. */
    char loaded[CON_ID_MAX];   /* Present load target. */
    uint64_t fencing;          /* Highest fencing token accepted. */
    GString *load_history;     /* Load targets, each followed by a space. */
} RigEngine;

typedef enum RigEventType {
    RIG_EVENT_FRAME,     /* A frame of another VM arrives. */
    RIG_EVENT_ARRIVE,    /* A call arrives at its upstream. */
    RIG_EVENT_PREFILLED, /* A prefill ends. */
    RIG_EVENT_TOKEN,     /* The next token of a stream is due. */
    RIG_EVENT_REPLY,     /* Response data of a call arrives at its VM. */
    RIG_EVENT_LINK_DOWN, /* The VM learns that a link is down. */
    RIG_EVENT_CONFIG,    /* A configuration arrives. */
} RigEventType;

/* An HTTP call from a VM, as it arrives at its upstream. */
typedef struct RigCall {
    int vm;
    uint64_t incarnation; /* Incarnation of the VM's process. */
    uint64_t id;          /* Number that the VM gave the call. */
    char address[CON_ADDRESS_MAX];
    char *path;
    char *request;   /* Request id, NULL if none. */
    char *key;       /* Idempotency key, NULL if none. */
    json_t *body;    /* NULL if there is no body or it is not JSON */
    bool closed;     /* The VM has ended the call or was killed. */
    uint64_t seed;   /* Determines the tokens of the stream. */
    uint32_t next;   /* Number of the stream's next token. */
    uint32_t end;    /* Number after the stream's last token. */
    bool is_resumed; /* RIG_FAULT_CUT does not break it again */
} RigCall;

typedef struct RigEvent {
    int64_t at_us;
    uint64_t sequence; /* Orders events of the same time. */
    RigEventType type;
    int vm;   /* VM that the event concerns. */
    int from; /* Other VM, for FRAME and LINK_DOWN. */
    uint64_t incarnation;
    GBytes *frame;            /* For FRAME. */
    RigCall *call;            /* For ARRIVE, PREFILLED, TOKEN and REPLY. */
    BoardCallEventType reply; /* For REPLY, with the next three fields. */
    int status;
    char *data;
    bool sent;         /* Some bytes of the call may have been sent. */
    ConConfig *config; /* For CONFIG; NULL once handed to the board. */
} RigEvent;

struct Rig {
    RigOptions options;
    int64_t now_us;
    uint64_t sequence; /* Sequence number of the last event added. */
    GSequence *events; /* RigEvent *, sorted by time and sequence */
    GRand *rand;
    RigVm vms[RIG_VMS_MAX];
    bool link_cut[RIG_VMS_MAX][RIG_VMS_MAX]; /* [from][to] */
    GPtrArray *engines;                      /* RigEngine * */
    GPtrArray *callers;                      /* RigCaller * */
    GPtrArray *calls;                        /* RigCall * */
    GHashTable *runs;              /* Idempotency key to number of runs. */
    GHashTable *accepted_requests; /* Set of request ids. */
    RigFault booking_fault;
    uint64_t config_version;
    bool checks_fencing;
    char load[CON_ID_MAX]; /* Load target of all engines, "" for none. */
    uint64_t prefilled;    /* Tokens prefilled by all engines. */
    int64_t next_list_us;  /* Time of the next VM list. */
    char violation[RIG_VIOLATION_MAX];
};

/* Adds an event that concerns a VM and falls due after a delay. Returns the
   event, owned by the rig, so that the caller can set further fields. */
RigEvent *Rig_AddEvent(Rig *rig, RigEventType type, int vm, int64_t delay_us);
/* Starts the process of a VM without any former state. */
void Rig_StartProcess(Rig *rig, RigVm *vm);
/* Handles an event and frees it, or keeps it for a paused VM. */
void Rig_HandleEvent(Rig *rig, RigEvent *event);
/* Returns a new configuration object of the rig's present version, to be
   freed with Con_UnloadConfig(). */
ConConfig *Rig_LoadConfig(Rig *rig);
/* Handles the arrival of a call at its upstream. */
void RigUp_HandleCall(Rig *rig, RigCall *call);
/* Completes a prefill unless its request was cancelled. */
void RigUp_EndPrefill(Rig *rig, RigCall *call);
/* Generates one token of a stream. If the call was closed, the stream stops
   and its request stays in memory until it is cancelled or resumed. */
void RigUp_GenerateToken(Rig *rig, RigCall *call);
/* Returns the seed of a prompt's completion. Token k depends only on the
   prompt and k. */
uint64_t RigUp_GetSeed(const char *prompt);
/* Appends the text of a token. */
void RigUp_AppendToken(GString *text, uint64_t seed, uint32_t number);

#endif
