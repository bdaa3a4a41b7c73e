/* Board (Board_): the state that the controllers of one process share, and
   the callbacks through which they send frames, calls and answers. A board
   belongs to one thread. It opens no socket and doesn't read the system clock,
   so the controllers run unchanged under a simulated clock and network. */
#ifndef LS_BOARD_H
#define LS_BOARD_H

#include "clock.h"
#include "configuration.h"
#include "errors.h"
#include "metrics.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BOARD_REQUEST_ID_MAX 112           /* Bytes of a request identifier. */
#define BOARD_TICK_US (20 * CLK_US_PER_MS) /* Interval of Ctl_OnTick(). */

typedef struct Board Board;

/* One outgoing HTTP call. Strings are valid until the begin_call() callback
   returns. */
typedef struct BoardCall {
    uint64_t id;
    const char *method;
    const char *address; /* "IP:port" */
    const char *path;
    const char *body; /* Request body, or NULL. */
    size_t body_size;
    const char *request;         /* X-Request-Id, or NULL. */
    const char *idempotency_key; /* Idempotency-Key, or NULL. */
    bool stream; /* The answer is a stream of server-sent events. */
    bool fresh;  /* Use a new connection and never send the call twice. */
} BoardCall;

typedef enum BoardCallEventType {
    BOARD_CALL_DATA,   /* Payload of one server-sent event. */
    BOARD_CALL_END,    /* Status and, unless streamed, the whole body. */
    BOARD_CALL_FAILED, /* The answer is missing or incomplete. */
} BoardCallEventType;

/* Event of an outgoing call. `data` is valid until the handler returns. */
typedef struct BoardCallEvent {
    uint64_t call;
    BoardCallEventType type;
    int status; /* HTTP status; 0 before it is known. */
    const char *data;
    size_t size;
    bool sent; /* Some bytes of the call may have been sent. */
} BoardCallEvent;

typedef void (*BoardCallHandler)(Board *board, void *owner,
                                 const BoardCallEvent *event);

typedef enum BoardAnswerType {
    BOARD_ANSWER_CHUNK, /* Part of a streamed answer. */
    BOARD_ANSWER_END,   /* End of a complete completion. */
    BOARD_ANSWER_BODY,  /* Answer of a plain service. */
    BOARD_ANSWER_ERROR, /* Error that ends the answer. */
} BoardAnswerType;

/* An answer, or part of one, to a caller. Each caller gets any number of
   chunks, then exactly one answer of another type. */
typedef struct BoardAnswer {
    BoardAnswerType type;
    uint32_t offset; /* Number of tokens before this chunk. */
    const char *text;
    size_t size;
    int status; /* HTTP status of BOARD_ANSWER_BODY. */
    const char *finish_reason;
    uint32_t prompt_tokens;
    uint32_t output_tokens;
    const char *request; /* Identifier of the completion, or NULL. */
    const char *path;    /* "entry>home:prefill>decode" of the completion. */
    const LsError *err;
} BoardAnswer;

/* Callbacks for the output of the controllers. Each gets `context` first. A
   caller is identified by the number of its open HTTP request. */
typedef struct BoardIo {
    void *context;
    void (*send_frame)(void *context, const char *vm,
                       const Wire__Frame *frame);
    void (*begin_call)(void *context, const BoardCall *call);
    void (*end_call)(void *context, uint64_t call);
    void (*answer)(void *context, uint64_t caller, const BoardAnswer *answer);
} BoardIo;

/* Options of a board. Strings are copied. */
typedef struct BoardOptions {
    const char *vm;       /* This VM's identifier. */
    uint64_t incarnation; /* Higher at each start of the VM's process. */
    const char *zone;
    const char *region;
    uint32_t vm_count_max; /* Most VMs that share contract limits. */
    guint32 seed;          /* Seed of the board's random numbers. */
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
    bool stopping;             /* No new work: the process shuts down. */
    int64_t next_list_poll_us; /* Next read of engines' running lists. */
    int64_t last_list_poll_us;
    GHashTable *calls; /* Call id to BoardCallOwner. */
    GQueue *local;     /* Frames to this VM itself, as GBytes. */
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

/* Returns default options. The caller sets all callbacks of `io`. */
BoardOptions Board_DefaultOptions(void);
Board *Board_New(const BoardOptions *options);
void Board_Free(Board *board);

/* Returns an identifier that is unique in this process. */
uint64_t Board_NewId(Board *board);
/* Returns the time of the board's clock in microseconds. */
int64_t Board_Now(const Board *board);
/* Puts a configuration in force if its version is higher than the current
   one, and takes ownership of it. Returns LS_ERR_CONFIG_OLD otherwise; the
   caller then keeps ownership. */
LsResult Board_SetConfig(Board *board, ConConfig *config, LsError *err);

/* Sends a frame to a VM. A frame to this VM is queued for Ctl_RunLocal(). */
void Board_SendFrame(Board *board, const char *vm, const Wire__Frame *frame);
/* Removes and returns the next frame that this VM sent to itself; NULL if
   there is none. The caller frees it with wire__frame__free_unpacked(). */
Wire__Frame *Board_TakeLocal(Board *board);

/* Starts a call and returns its identifier. Its events are delivered to
   handler(board, owner, event). */
uint64_t Board_BeginCall(Board *board, BoardCall *call,
                         BoardCallHandler handler, void *owner);
/* Cancels a call. No further event of it is delivered. */
void Board_EndCall(Board *board, uint64_t call);
/* Delivers an event to its call's handler. An event of a cancelled call is
   dropped and counted. */
void Board_HandleCallEvent(Board *board, const BoardCallEvent *event);

/* Sends an answer, or part of one, to a caller. */
void Board_Answer(Board *board, uint64_t caller, const BoardAnswer *answer);
/* Sends a final error to a caller; `request` may be NULL. */
void Board_AnswerError(Board *board, uint64_t caller, const char *request,
                       const LsError *err);

#endif
