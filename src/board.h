/* Board: the process's picture of the world, which the controllers read and
   write, and the intents that they send out through callbacks. One thread
   owns a board. Nothing here opens a socket or reads the system clock. */
#ifndef LS_BOARD_H
#define LS_BOARD_H

#include "clk.h"
#include "con.h"
#include "err.h"
#include "met.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BOARD_REQUEST_ID_MAX 112 /* Bytes of a request identifier. */
#define BOARD_TICK_US (20 * CLK_US_PER_MS)

typedef struct Board Board;

/* One HTTP call that a controller wants made. Strings live until the
   callback that receives them returns. */
typedef struct BoardCall {
    uint64_t id;
    const char *method;
    const char *address; /* "IP:port" */
    const char *path;
    const char *body; /* NULL for none. */
    size_t body_size;
    const char *request;         /* X-Request-Id, or NULL. */
    const char *idempotency_key; /* Idempotency-Key, or NULL. */
    bool stream;                 /* The answer is server-sent events. */
    bool fresh; /* On a connection of its own, never sent twice. */
} BoardCall;

typedef enum BoardCallEventType {
    BOARD_CALL_DATA,   /* One server-sent event's payload. */
    BOARD_CALL_END,    /* The answer ended: status and, unstreamed, body. */
    BOARD_CALL_FAILED, /* No whole answer came. */
} BoardCallEventType;

typedef struct BoardCallEvent {
    uint64_t call;
    BoardCallEventType type;
    int status; /* HTTP status; 0 before it is known. */
    const char *data;
    size_t size;
    bool sent; /* Some byte of the call may have left. */
} BoardCallEvent;

typedef void (*BoardCallHandler)(Board *board, void *owner,
                                 const BoardCallEvent *event);

typedef enum BoardAnswerType {
    BOARD_ANSWER_CHUNK, /* Part of a streamed answer. */
    BOARD_ANSWER_END,   /* A whole completion ended. */
    BOARD_ANSWER_BODY,  /* A plain service's answer. */
    BOARD_ANSWER_ERROR, /* An error; nothing follows. */
} BoardAnswerType;

/* What goes to one caller. Each caller gets any number of chunks, then
   exactly one of the other types. */
typedef struct BoardAnswer {
    BoardAnswerType type;
    uint32_t offset; /* Tokens before this chunk. */
    const char *text;
    size_t size;
    int status; /* HTTP status of a body. */
    const char *finish_reason;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    const char *request; /* Identifier of a completion, or NULL. */
    const char *path;    /* "entry>home:prefill>decode" of a completion. */
    const LsError *err;
} BoardAnswer;

/* Where intents go. Every callback gets `context` first. */
typedef struct BoardIo {
    void *context;
    void (*send_frame)(void *context, const char *vm,
                       const Wire__Frame *frame);
    void (*begin_call)(void *context, const BoardCall *call);
    void (*end_call)(void *context, uint64_t call);
    void (*answer)(void *context, uint64_t caller, const BoardAnswer *answer);
} BoardIo;

typedef struct BoardOptions {
    const char *vm;       /* This VM's identifier. */
    uint64_t incarnation; /* Grows with each start of the VM's process. */
    const char *zone;
    const char *region;
    uint32_t vm_count_max; /* VMs that may share a contract's limits. */
    guint32 seed;          /* Of the board's random numbers. */
    BoardIo io;
} BoardOptions;

struct Board {
    Clk clk;
    BoardIo io;
    char vm[CON_ID_MAX];
    char zone[CON_ID_MAX];
    char region[CON_ID_MAX];
    uint64_t incarnation;
    uint32_t vm_count_max;
    GRand *rand;
    uint64_t next_id;
    ConConfig *config;         /* NULL until the first one is accepted. */
    bool stopping;             /* No new work is taken. */
    int64_t next_list_poll_us; /* When running lists are read again. */
    int64_t last_list_poll_us;
    GHashTable *calls; /* Call id to BoardCallOwner. */
    GQueue *local;     /* Frames to this VM itself: GBytes. */
    struct Mem *mem;
    struct Plc *plc;
    struct Req *req;
    struct Op *op;
    struct Svc *svc;
    struct Quo *quo;
    struct Ring *ring;
    struct Slo *slo;
    struct Ord *ord;
};

BoardOptions Board_DefaultOptions(void);
Board *Board_New(const BoardOptions *options);
void Board_Free(Board *board);

uint64_t Board_NewId(Board *board);
int64_t Board_Now(const Board *board);
/* Puts a configuration in force if its version is above the present one.
   The board owns it from then on; a refused one stays the caller's. */
LsResult Board_SetConfig(Board *board, ConConfig *config, LsError *err);

/* Sends a frame to a VM; one to this VM is queued for Board_RunLocal. */
void Board_SendFrame(Board *board, const char *vm, const Wire__Frame *frame);
/* Takes the next frame that this VM sent to itself, or NULL. */
Wire__Frame *Board_TakeLocal(Board *board);

/* Starts a call; its events go to handler(board, owner, event). */
uint64_t Board_BeginCall(Board *board, BoardCall *call,
                         BoardCallHandler handler, void *owner);
/* Gives a call up: no event of it is delivered any more. */
void Board_EndCall(Board *board, uint64_t call);
/* Delivers an event; one of a call given up is dropped and counted. */
void Board_HandleCallEvent(Board *board, const BoardCallEvent *event);

void Board_Answer(Board *board, uint64_t caller, const BoardAnswer *answer);
/* Gives the final answer that is an error; `request` may be NULL. */
void Board_AnswerError(Board *board, uint64_t caller, const char *request,
                       const LsError *err);

#endif
