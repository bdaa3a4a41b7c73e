/* Gate: forwards callers' requests to workers, both plain calls and streams of
   model workers. Each VM decides on its own requests; the gossip between VMs
   only improves the choice. The gate itself is independent of the formats of
   callers and workers, which the codec reads and writes. */
#ifndef LS_GATE_H
#define LS_GATE_H

#include "../decide/budget.h"
#include "../decide/holders.h"
#include "../decide/rank.h"
#include "../decide/suspects.h"
#include "../io/client.h"
#include "../io/server.h"
#include "account_load.h"
#include "fleet.h"
#include "load_report.h"
#include "origins.h"
#include "routes.h"

#include <event2/event.h>

#define GATE_HANDLE_MAX 64  /* Bytes, with the terminating 0. */
#define GATE_TARGET_MAX 128 /* Bytes, with the terminating 0. */
#define GATE_NO_EVENT (-1)  /* In place of the ID of an event. */

/* A caller's request, decoded. Its strings are freed with its task. */
typedef struct GateRequest {
    char *id;
    char *host;
    HeaderList *forward; /* End-to-end headers, without those that the
                         codec sets for each call. */
    int64_t left_ms;     /* Time until the caller's timeout; 0 if unknown. */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* Expected length of the answer, at most
                               `output_max`. Often wrong by several times. */
    uint32_t output_max;    /* Caller's limit of that length; 0: unknown. */
    int64_t last_event;     /* The caller resumes after this event, or
                               GATE_NO_EVENT. */
    bool is_conditional;    /* The caller names a condition for which a worker
                               may refuse the request. */
    char *resumes; /* ID of the caller's request that brought the first
                      event of the stream, or NULL. */
    /* Identifiers of the prompt's parts, in order, without the last part,
       which belongs to the request itself; NULL if there are none. */
    uint64_t *parts;
    uint32_t part_count;
    uint64_t own_part; /* The last part of the prompt, if has_own_part. */
    bool has_own_part;
    /* Key of the caller's client account; NULL: none, or one that can't be
       read. Never logged or sent. */
    char *key;
    bool is_key_bad; /* There is a key that can't be read, or several. */
    /* Name of the account, by the check of this VM, or of another VM that
       passes the request on, or NULL. As decoded it is what the sender put
       there. */
    char *account;
} GateRequest;

/* What the gate adds to the request in one call at a worker. */
typedef struct GateCallOptions {
    const char *worker; /* ID of the only worker that may run it, or NULL. */
    bool prefill;       /* Only read the prompt. */
    const char *kv_address; /* Worker with the prompt's KV memory, or NULL. */
    const char *kv_handle;  /* Handle of that memory, or NULL. */
    const char *lease;      /* Reservation at the worker, or NULL. */
    /* Worker that may still keep the prompt in its memory, from which the
       called one fetches it, or NULL. */
    const char *fetch_address;
    int64_t last_event;  /* Resume after this event, or GATE_NO_EVENT. */
    const char *account; /* Name of the caller's client account, or NULL. */
    /* Priority of the request at the worker, 1 (first) to 10; 0: the worker's
       usual one. */
    uint32_t priority;
} GateCallOptions;

/* Header of a worker's answer, decoded. */
typedef struct GateReply {
    int status;
    bool matches_request; /* It carries the ID of the request. */
    bool has_receipt;     /* It carries the worker's receipt. */
    bool is_encoded;      /* The body was encoded after it left the worker. */
    bool not_run;     /* The worker states that it has not run the request. */
    bool misdirected; /* Another worker answered at the address. */
    bool has_load;
    uint32_t running; /* Calls running at the worker, if has_load. */
    uint32_t waiting; /* Calls queued at the worker, if has_load. */
    /* How long work takes at the worker's machine now, as a multiple of the
       usual time; 0 if the worker doesn't tell. */
    double pace;
} GateReply;

/* What a worker says of itself in the header of any answer. */
typedef struct GateNotice {
    bool leaving;
    bool has_pause;
    int64_t pause_us; /* It wants no request for so long, if has_pause. */
    bool has_limit;
    double limit; /* Requests a second that it takes from all VMs together, if
                     has_limit. */
    const char *malformed; /* Name of a field that can't be read, or NULL. */
} GateNotice;

/* A call that manages a worker's resources or phase, without a request. */
typedef struct GateControlCall {
    const char *method;
    char target[GATE_TARGET_MAX];
    char body[GATE_TARGET_MAX]; /* "" for none. */
    HeaderList *headers;        /* Allocated by the caller, or NULL. */
} GateControlCall;

/* Formats of callers and workers. Each callback gets `context` first. */
typedef struct GateCodec {
    void *context;
    /* Name of the field with the time left, in ms, which a call gets as it is
       sent. */
    const char *left_name;
    /* Name of the line of an event that tells its software version; NULL: no
       event has one. */
    const char *event_version_name;
    /* Names of the fields with the caller's key and with the name of its
       account. Where the configuration has accounts, neither is forwarded as
       the caller sent it. */
    const char *key_name;
    const char *account_name;
    /* Fills in *request; the gate frees its strings. */
    LsResult (*decode_request)(void *context, const ServerExchange *exchange,
                               GateRequest *request, LsError *err);
    void (*encode_call)(void *context, const GateRequest *request,
                        const GateCallOptions *options, HeaderList *headers);
    /* Whether an answer may belong to the request with this ID. */
    bool (*matches_request)(void *context, const HeaderList *headers,
                            const char *id);
    /* Whether an answer may belong to a control call. */
    bool (*matches_control)(void *context, const HeaderList *headers);
    void (*decode_reply)(void *context, int status, const HeaderList *headers,
                         const char *id, GateReply *reply);
    void (*decode_notice)(void *context, int status, const HeaderList *headers,
                          GateNotice *notice);
    /* Converts a worker's header to the one that the caller gets. */
    void (*encode_answer)(void *context, const HeaderList *from,
                          HeaderList *to);
    /* Builds the gate's own answer to an error. `id` may be NULL. */
    void (*encode_error)(void *context, const char *id, const LsError *err,
                         HeaderList *headers, GString *body);
    /* Reads the handle of the KV memory from the answer to a prefill. */
    bool (*decode_prefill)(void *context, const char *body, size_t size,
                           char handle[GATE_HANDLE_MAX]);
    /* Builds the call that frees a handle of KV memory. */
    void (*encode_free)(void *context, const char *handle,
                        GateControlCall *control_call);
    /* Builds the call that reserves a slot and KV memory at a worker. */
    void (*encode_reserve)(void *context, const char *worker, uint32_t tokens,
                           uint32_t ttl_ms, GateControlCall *control_call);
    /* Reads the lease from the answer; false if there is none. */
    bool (*decode_reserve)(void *context, const char *body, size_t size,
                           char lease[GATE_HANDLE_MAX]);
    /* Builds the call that ends a lease. */
    void (*encode_release)(void *context, const char *lease,
                           GateControlCall *control_call);
    /* Builds the call that asks a worker for its state. */
    void (*encode_state)(void *context, const char *worker,
                         GateControlCall *control_call);
    /* Reads the time of the worker's start from the answer; 0 if it tells
       none. Returns false if it is no answer to that call. */
    bool (*decode_state)(void *context, const char *body, size_t size,
                         int64_t *born_ms);
    /* Builds the call that asks a worker for the prompts that it keeps, or, if
       `changes`, for those that it has begun to keep or replaced lately. */
    void (*encode_list)(void *context, const char *worker, bool changes,
                        GateControlCall *control_call);
    /* Calls on_part() for each part of a prompt in the answer to either call.
       Returns false if it is malformed. */
    bool (*decode_list)(void *context, const char *body, size_t size,
                        void (*on_part)(void *part_context, uint64_t part),
                        void *part_context);
    /* Builds the call that orders a worker to change its phase. `fence`
       only grows, so that the worker can reject an older order. */
    void (*encode_order)(void *context, const char *worker, const char *vm,
                         uint64_t fence, FleetPhase to,
                         GateControlCall *control_call);
} GateCodec;

/* What another VM says that it serves; values of News.serves. */
enum {
    GATE_SERVES_REACH = 1 << 0,   /* Questions for workers that it hears. */
    GATE_SERVES_LOOKUPS = 1 << 1, /* Questions for versions of streams. */
    GATE_SERVES_DETOURS = 1 << 2, /* Requests that are passed on to it. */
    GATE_SERVES_LOANS = 1 << 3,   /* Questions for parts of retry budgets. */
    GATE_SERVES_VOUCHES = 1 << 4, /* Questions for its proof (access.h). */
    /* What a build serves that doesn't say what it serves. */
    GATE_SERVES_KNOWN =
        GATE_SERVES_REACH | GATE_SERVES_LOOKUPS | GATE_SERVES_DETOURS,
    GATE_SERVES_ALL =
        GATE_SERVES_KNOWN | GATE_SERVES_LOANS | GATE_SERVES_VOUCHES,
};

/* Another VM that may run a request at workers that this VM can't reach. */
typedef struct GatePeer {
    char vm[FLEET_NAME_MAX];
    char address[FLEET_ADDRESS_MAX]; /* Its listener for other VMs. */
    bool is_near;                    /* It is in this VM's region. */
    int64_t received_us;             /* Time of its last message. */
    uint32_t serves;                 /* A set of GATE_SERVES_... */
    bool tells_reach; /* It says whether it hears workers of the service. */
    uint64_t reached; /* Hash of one that it hears, as in FleetWorker; 0: none.
                       */
    int64_t reached_us; /* When it heard that one last. */
    uint32_t serving;   /* Requests of other VMs in progress there. */
} GatePeer;

/* Who looks for VMs that reach the workers of a service; values of
   Reach.seeks. */
typedef enum GateSeeker {
    GATE_SEEKER_NONE,
    GATE_SEEKER_VM,     /* The VM that says so. */
    GATE_SEEKER_REGION, /* A VM of its region. */
    GATE_SEEKER_FAR,    /* A VM of another region. */
} GateSeeker;

/* Whether a VM hears workers of a service. */
typedef struct GateReach {
    uint64_t service; /* Hash of the service's name. */
    uint64_t worker;  /* As GatePeer.reached. */
    int64_t heard_us; /* As GatePeer.reached_us. */
    bool asks;        /* It looks for a worker that others hear. */
    GateSeeker seeker;
    bool is_urgent;   /* Who seeks needs a worker that was heard just now. */
    uint32_t serving; /* Requests of other VMs in progress. */
    uint32_t vms;     /* Live VMs, which may all be asked at once. */
} GateReach;

/* Work of all requests for a service of model workers since Gate_New(). */
typedef struct GateDemand {
    double prompt_tokens; /* Prompt tokens of the requests. */
    double kv_token_us;   /* KV memory x expected time, in
                               token-microseconds. */
} GateDemand;

struct LookupQuestion;

/* The caller owns what the pointers refer to; it must outlive the gate. */
typedef struct GateOptions {
    struct event_base *base;
    const Clk *clk;
    Client *client;
    Fleet *fleet;
    const GateCodec *codec;
    const char *vm; /* Name of this VM. */
    const char *zone;
    GHashTable *regions; /* Zone to region. */
    RankWeights weights;
    BudgetOptions budget;
    /* Longest use of a key that was removed; 0: the configuration in force
       decides without a proof that it is the newest. */
    int64_t revoke_us;
    AccountLoadOptions quota;
    guint32 seed;
    void *context;
    /* Returns the most VMs that the fleet has ever had, as far as this VM
       knows; 0: it doesn't know. */
    uint32_t (*get_vm_count)(void *context);
    /* Asks another VM for a part of its retry budget. */
    void (*ask_loan)(void *context, const char *service, const BudgetAsk *ask);
    /* Returns this VM's part of the requests for a service, 0 to 1. */
    double (*get_share)(void *context, const char *service);
    /* This VM's use of a service's budget has changed. */
    void (*on_budget_change)(void *context, const char *service,
                             double requests, double extras);
    /* Stores the begun streams that wait for room at the other VMs. */
    void (*get_peer_rooms)(void *context, const char *service,
                           ReportRooms *rooms);
    /* Sets the begun streams that wait for room at this VM. */
    void (*on_rooms_change)(void *context, const char *service,
                            const ReportRooms *rooms);
    /* This VM's load on a worker has changed. */
    void (*on_load_change)(void *context);
    /* Stores other VMs that reach the workers of a service, up to `max`, and
       returns their number. */
    uint32_t (*list_peers)(void *context, const char *service, GatePeer *peers,
                           uint32_t max);
    /* Returns since when this VM has known what the other VMs knew some
       100 ms before; INT64_MAX: it does not now. */
    int64_t (*get_step_time)(void *context);
    /* Stores the VMs that share the workers, this one included if it is one
       of them. */
    void (*list_holders)(void *context, Holders *holders);
    /* Sends questions to another VM (lookup.h). */
    void (*send_lookups)(void *context, uint64_t holder,
                         const struct LookupQuestion *rows, uint32_t count);
} GateOptions;

typedef struct Gate Gate;

GateOptions Gate_DefaultOptions(void);
Gate *Gate_New(const GateOptions *options);
/* Ends all requests and frees the gate. NULL is allowed. */
void Gate_Free(Gate *gate);
/* Applies a configuration if its version is above the current one. The gate
   takes over the reference in either case. Returns whether it was applied. */
bool Gate_SetTable(Gate *gate, RteTable *table);
/* Returns the current configuration, which the gate owns, or NULL if none has
   been applied yet. */
const RteTable *Gate_GetTable(const Gate *gate);
GateDemand Gate_GetDemand(const Gate *gate, const char *service);
const RankWeights *Gate_GetWeights(const Gate *gate);
/* Stores this VM's requests and repeated calls in the current window of a
   service's retry budget. */
void Gate_GetBudgetUse(const Gate *gate, const char *service, double *requests,
                       double *extras);
/* Brings what the other VMs are told up to date: the forecasts of KV memory of
   all requests, as their answers grow, and the begun streams that wait. */
void Gate_UpdateForecasts(Gate *gate);
/* Returns the bytes of workers' answers that are being read. */
size_t Gate_GetBufferedBytes(const Gate *gate);
/* Returns the use of client accounts. The gate owns it. */
AccountLoads *Gate_GetAccountLoads(Gate *gate);
/* Returns the versions that began streams. The gate owns them. */
Origins *Gate_GetOrigins(Gate *gate);
/* Returns the parts of prompts that are suspected to crash workers. The gate
   owns them; Gate_LogSuspects() must follow each change. */
Suspects *Gate_GetSuspects(Gate *gate);
/* Logs and counts a change of the limit that a worker names. */
void Gate_LogLimit(Gate *gate, const FleetWorker *worker);
/* Logs and counts the parts that were blamed or cleared. */
void Gate_LogSuspects(Gate *gate);
/* Changes the ratio, slack and window of the budgets of all services. */
void Gate_SetBudget(Gate *gate, const BudgetOptions *options);
/* Lends a part of a service's budget (the hash of its name) to another VM, and
   returns the parts of calls. */
uint32_t Gate_Lend(Gate *gate, uint64_t service, const BudgetAsk *ask);
/* Adds parts of calls that another VM has lent, which was asked at `asked_us`,
   the time for which the machine was suspended included. */
void Gate_Borrow(Gate *gate, uint64_t service, uint32_t parts,
                 int64_t asked_us);
/* From now on, streams without capacity are ended instead of waiting: refused
   if they have not run, and failed otherwise. */
void Gate_BeginShutdown(Gate *gate);
/* From now on, requests are taken only as Drain_IsTaken() says: the remaining
   ones are ended at `end_us`. */
void Gate_SetDrain(Gate *gate, int64_t end_us);
/* Logs the requests in progress. */
void Gate_LogRequests(const Gate *gate);
/* Logs what was taken, refused and cut since then. */
void Gate_LogDrain(const Gate *gate);
/* Ends all requests: refuses those that have not run, and fails the rest. */
void Gate_EndAll(Gate *gate);

/* Callbacks for ServerOptions; `context` is the gate. */
void Gate_OnRequest(void *context, ServerExchange *exchange);
void Gate_OnDisconnect(void *context, ServerExchange *exchange);
/* Handles a request that another VM passes on, as it can't reach the workers.
   `mark` is the field with which that VM has marked it (detour.h). Such a
   request runs on one worker, is not passed on again, and the other VM has
   counted it for the retry budget. */
void Gate_OnRelayedRequest(void *context, ServerExchange *exchange,
                           const char *mark);
/* Stores the hashes of the names of services whose workers this VM can't
   reach, up to `max`, and returns their number. */
uint32_t Gate_ListCut(const Gate *gate, uint64_t *services, uint32_t max);
/* Stores what this VM tells the others on the workers that it hears, up to
   `max` services, and returns their number. */
uint32_t Gate_ListReaches(const Gate *gate, GateReach *reaches, uint32_t max);
/* Another VM has told whether it hears workers of a service. */
void Gate_OnReach(Gate *gate, const GateReach *reach);

#endif
