/* Rig of the review's scripts (Rig_): stand-ins for the platform's store, for
   workers and for callers, and the gate's processes. All run on loopback
   addresses of one /24 network that no other test uses. */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include "clock.h"
#include "io/server.h"

#include <event2/bufferevent.h>
#include <http_parser.h>
#include <stdio.h>
#include <sys/queue.h>

#define RIG_VMS_MAX 4
#define RIG_WORKERS_MAX 16
#define RIG_CALLERS_MAX 64
#define RIG_REQUESTS_MAX 4096
#define RIG_HOST "h.example"
/* Bytes of the part of an identifier by which requests are told apart, with
   the terminating 0. */
#define RIG_ID_SIZE 17
/* Of plain requests: the route's timeout and a worker's time. */
#define RIG_PLAIN_TIMEOUT_MS 1200
#define RIG_PLAIN_RUN_MS 30
/* As on the sheet of zupan-najem: 11 tokens in an event, 3.41 ms a step. */
#define RIG_STRIDE 11
#define RIG_EVENT_US (11 * 3410)
/* Prompt tokens that a worker reads in a millisecond: a decode worker reads at
   half the speed. */
#define RIG_PREFILL_PER_MS 55
#define RIG_DECODE_PER_MS 27
#define RIG_FIRST_TOKEN_US (31 * CLK_US_PER_MS)
/* No time was noted yet. */
#define RIG_NEVER INT64_C(-1)

typedef struct Rig Rig;
typedef struct RigWorker RigWorker;

/* What became of one client attempt, as its caller and the workers saw it. */
typedef struct RigRequest {
    char id[RIG_ID_SIZE];
    uint32_t events;  /* Events of a complete answer. */
    uint32_t hint;    /* The caller's estimate of that number. */
    int64_t sent_us;  /* Last byte sent by the caller. */
    int64_t ended_us; /* End of the answer, or of the connection. */
    int status;       /* 0: none. */
    bool has_receipt;
    bool is_complete;        /* The answer is complete in its framing. */
    uint32_t seen;           /* Events that the caller got. */
    int64_t run_us;          /* When a worker was first sent it to run. */
    int64_t cut_us;          /* When its caller's VM closed on that worker. */
    uint32_t runs;           /* Workers that were sent it to run. */
    int64_t overlap_us;      /* Longest time that two workers worked on it. */
    uint32_t overlap_events; /* Events that the earlier one made then. */
} RigRequest;

/* A caller's connection to a VM; it is kept for further requests. */
typedef struct RigCaller {
    Rig *rig;
    struct bufferevent *bev;
    http_parser parser;
    RigRequest *request; /* NULL while idle. */
    bool is_open;
    bool is_new;     /* No answer came on it yet. */
    char line[4096]; /* Unfinished line of the answer's body. */
    size_t line_size;
} RigCaller;

typedef struct RigVm {
    char ip[24];
    char settings[512];
    char log[512];
    char zone[16];
    pid_t pid;            /* 0 once it has ended. */
    struct event *output; /* Of the pipe of its standard output and error. */
    int output_fd;
    FILE *log_file;
    int64_t exited_us;
} RigVm;

/* An answer of a worker, for the case's hook. */
typedef struct RigAnswer {
    RigWorker *worker;
    ServerExchange *exchange;
    int status;
    const HeaderList *headers;
    const char *body;
} RigAnswer;

typedef struct RigOptions {
    const char *gate;   /* Path of the program. */
    const char *root;   /* Folder in which it starts. */
    const char *out;    /* Folder for settings and logs. */
    const char *record; /* Path of the record. */
    bool has_trouble;   /* The disruption takes place. */
    uint32_t vms;       /* Number of gates. */
    uint32_t prefills;  /* Number of prefill workers. */
    uint32_t decodes;   /* Number of decode workers. */
    uint32_t plains;    /* Number of workers of plain requests. */
    uint32_t seconds;   /* Longest time that the case may take. */
    void *context;      /* Of the callbacks. */
    void (*on_tick)(void *context, int64_t now_us); /* Each 5 ms. */
    /* Are told of each request that reaches a worker, before it is handled,
       and of each answer but streams, before it is sent; NULL for none. */
    void (*on_request)(void *context, RigWorker *worker,
                       ServerExchange *exchange);
    void (*on_answer)(void *context, const RigAnswer *answer);
} RigOptions;

RigOptions Rig_DefaultOptions(void);
/* Reads the flags of a case's program: --gate, --root, --out and --record. */
bool Rig_ReadFlags(int argc, char **argv, RigOptions *options);
Rig *Rig_New(const RigOptions *options);
void Rig_Free(Rig *rig);
/* Runs until Rig_End(); returns its status, or 2 if the time is over. */
int Rig_Run(Rig *rig);
void Rig_End(Rig *rig, int status);
/* Returns the time since the start, microseconds. */
int64_t Rig_Now(const Rig *rig);
/* Writes a line with the time to the record. */
void Rig_Note(Rig *rig, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Starts a VM's process by the deploy file's command. */
void Rig_StartVm(Rig *rig, uint32_t vm);
void Rig_Signal(Rig *rig, uint32_t vm, int signal_number);
const RigVm *Rig_GetVm(const Rig *rig, uint32_t vm);
/* Whether the VM answers the balancer's question with 200. */
bool Rig_IsReady(Rig *rig, uint32_t vm);
/* Returns an idle connection to the VM, a kept one if there is one and
   `is_new` is not set. */
RigCaller *Rig_GetCaller(Rig *rig, uint32_t vm, bool is_new);
/* Sends a stream's request. `path` selects the route: "/once/" may run once,
   "/resume/" may be resumed. `prompt` in tokens, `events` and `hint` in
   events of the answer. */
RigRequest *Rig_SendStream(RigCaller *caller, const char *path,
                           uint32_t prompt, uint32_t events, uint32_t hint);
/* Sends a plain request that may be repeated, with an identifier of
   `id_size` bytes, RIG_ID_SIZE - 1 at least. */
RigRequest *Rig_SendPlain(RigCaller *caller, uint32_t id_size);
/* Stops or continues to read a VM's log. */
void Rig_SetLogRead(Rig *rig, uint32_t vm, bool is_read);
uint32_t Rig_CountRequests(const Rig *rig);
RigRequest *Rig_GetRequest(Rig *rig, uint32_t request);
bool Rig_IsDecode(const RigWorker *worker);

#endif
