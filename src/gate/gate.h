/* Gate: forwards callers' requests to workers: plain calls, and streams of
   model workers. Each VM decides for its own requests; what VMs tell each
   other only improves the choice. The codec speaks to callers and workers in
   their own words; the gate knows none of them. */
#ifndef LS_GATE_H
#define LS_GATE_H

#include "../decide/bud.h"
#include "../decide/rank.h"
#include "../io/cli.h"
#include "../io/srv.h"
#include "flt.h"
#include "rte.h"

#include <event2/event.h>

#define GATE_HANDLE_MAX 64
#define GATE_TARGET_MAX 128
#define GATE_NO_EVENT (-1)

/* A caller's request, decoded. Strings live as long as its task. */
typedef struct GateRequest {
    char *id;
    char *host;
    HdrList *forward; /* End-to-end headers, without those that the
                         codec sets at a call. */
    int64_t left_ms;  /* How long the caller waits; 0 if not told. */
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* Expected of the answer, at most its bound. */
    int64_t last_event; /* The caller resumes after it, or GATE_NO_EVENT. */
} GateRequest;

/* What the system adds to one call at a worker. */
typedef struct GateCallOptions {
    const char *worker; /* Only this worker may run it. */
    int64_t left_ms;
    bool prefill;           /* Read the prompt only. */
    const char *kv_address; /* Where its KV memory is; NULL: nowhere. */
    const char *kv_handle;
    const char *lease;  /* Of room at the worker, or NULL. */
    int64_t last_event; /* Go on after it, or GATE_NO_EVENT. */
} GateCallOptions;

/* The header of a worker's answer, decoded. */
typedef struct GateReply {
    int status;
    bool own;         /* It names the request. */
    bool receipt;     /* It bears the worker's receipt. */
    bool encoded;     /* The body is not what the worker wrote. */
    bool not_run;     /* The worker says that it has not run the request. */
    bool misdirected; /* Another worker answered. */
    bool has_load;
    uint32_t running;
    uint32_t waiting;
} GateReply;

/* A call at a worker that belongs to a request but does not carry it. */
typedef struct GateControlCall {
    const char *method;
    char target[GATE_TARGET_MAX];
    char body[GATE_TARGET_MAX]; /* "" for none. */
    HdrList *headers;           /* Made by the caller; NULL for none. */
} GateControlCall;

/* How callers and workers speak. Each callback gets `context` first. */
typedef struct GateCodec {
    void *context;
    /* Fills in *request; strings in it are the gate's from then on. */
    LsResult (*decode_request)(void *context, const SrvExchange *exchange,
                               GateRequest *request, LsError *err);
    void (*encode_call)(void *context, const GateRequest *request,
                        const GateCallOptions *options, HdrList *headers);
    /* Whether an answer may belong to the request of this id. */
    bool (*is_own)(void *context, const HdrList *headers, const char *id);
    void (*decode_reply)(void *context, int status, const HdrList *headers,
                         const char *id, GateReply *reply);
    /* A worker's header, as the caller is to get it. */
    void (*encode_answer)(void *context, const HdrList *from, HdrList *to);
    /* An answer of the system's own. `request` may be NULL. */
    void (*encode_error)(void *context, const char *id, const LsError *err,
                         HdrList *headers, GString *body);
    /* Reads the handle of KV memory from the answer to a prefill. */
    bool (*decode_prefill)(void *context, const char *body, size_t size,
                           char handle[GATE_HANDLE_MAX]);
    /* The call that frees a handle of KV memory. */
    void (*encode_free)(void *context, const char *handle,
                        GateControlCall *control_call);
    /* The call that reserves a slot and memory at a worker for a while. */
    void (*encode_reserve)(void *context, const char *worker, uint32_t tokens,
                           uint32_t ttl_ms, GateControlCall *control_call);
    bool (*decode_reserve)(void *context, const char *body, size_t size,
                           char lease[GATE_HANDLE_MAX]);
    void (*encode_release)(void *context, const char *lease,
                           GateControlCall *control_call);
    /* The order that a worker change its phase. `fence` only grows. */
    void (*encode_order)(void *context, const char *worker, const char *vm,
                         uint64_t fence, FltPhase to,
                         GateControlCall *control_call);
} GateCodec;

/* Work that requests for a service of model workers bring, since the start. */
typedef struct GateDemand {
    double prompt_tokens; /* To be read. */
    double held_token_us; /* Memory x expected time, tokens x microseconds. */
} GateDemand;

typedef struct GateOptions {
    struct event_base *base;
    const Clk *clk;
    Cli *cli;
    Flt *fleet;
    const GateCodec *codec;
    const char *zone;
    GHashTable *regions; /* Zone to region. */
    RankWeights weights;
    BudOptions budget;
    guint32 seed;
    void *context;
    /* What the other VMs did with a service in the budget's window. */
    BudPeerUsage (*get_peer_usage)(void *context, const char *service);
    /* This VM's own, when it changes. */
    void (*on_budget_change)(void *context, const char *service,
                             double requests, double extras);
    void (*on_load_change)(
        void *context); /* The use of some worker changed. */
} GateOptions;

typedef struct Gate Gate;

GateOptions Gate_DefaultOptions(void);
Gate *Gate_New(const GateOptions *options);
void Gate_Free(Gate *gate);
/* Puts a configuration in force if its version is above the present one; the
   gate takes over the reference. Returns whether it did. */
bool Gate_SetTable(Gate *gate, RteTable *table);
const RteTable *Gate_GetTable(const Gate *gate); /* NULL before the first. */
/* What the service's requests have asked for so far. */
GateDemand Gate_GetDemand(const Gate *gate, const char *service);
const RankWeights *Gate_GetWeights(const Gate *gate);
void Gate_SetBudget(Gate *gate, const BudOptions *budget);
void Gate_BeginShutdown(Gate *gate);
/* Answers what has not been sent to a worker, and breaks off the rest. */
void Gate_EndAll(Gate *gate);

/* For SrvOptions; `context` is the gate. */
void Gate_OnRequest(void *context, SrvExchange *exchange);
void Gate_OnGone(void *context, SrvExchange *exchange);

#endif
