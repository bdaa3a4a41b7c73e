/* Web: serves HTTP to callers and operators, built on ulfius. Each connection
   has a thread, which parses a request into an intent, queues it for the
   thread that owns the board and waits for the answer. While it waits, it
   checks whether the client has closed the connection, so that abandoned work
   can be cancelled. */
#ifndef LS_WEB_H
#define LS_WEB_H

#include "board.h"
#include "mailbox.h"

/* Stack of a connection's thread. */
#define WEB_THREAD_STACK_BYTES (192 * 1024)
/* Interval of the checks for a closed connection. */
#define WEB_DISCONNECT_CHECK_US (200 * CLK_US_PER_MS)
/* Buffer memory of a connection. */
#define WEB_CONNECTION_MEMORY_BYTES (32 * 1024)
/* Longest time without data in either direction. */
#define WEB_IDLE_TIMEOUT_S 30

typedef enum WebIntentType {
    WEB_INTENT_COMPLETION,
    WEB_INTENT_ISSUE_KEY,
    WEB_INTENT_SERVICE,
    WEB_INTENT_DISCONNECTED,
    WEB_INTENT_READY,
    WEB_INTENT_STATUS,
    WEB_INTENT_EXPLAIN,
    WEB_INTENT_BURN,
} WebIntentType;

/* Request of a caller or operator, or a closed connection. Strings that the
   type doesn't use are NULL. */
typedef struct WebIntent {
    WebIntentType type;
    uint64_t caller;
    char *key; /* API key from the Authorization header. */
    char *model;
    char *prompt;
    uint32_t max_tokens;
    char *method;
    char *service;
    char *path; /* Service path, or a request's id to explain. */
    char *idempotency_key;
    char *body;
    size_t body_size;
} WebIntent;

typedef struct WebOptions {
    const char *bind_address; /* IPv4 address of both servers. */
    uint16_t port;            /* Port for callers. */
    uint16_t operator_port;
    uint32_t body_max; /* Largest request body in bytes. */
    void *context;     /* Argument of `wake`. */
    /* Wakes the thread that owns the board, since an intent is queued. Called
       from the connections' threads. */
    void (*wake)(void *context);
} WebOptions;

typedef struct Web Web;

WebOptions Web_DefaultOptions(void);
/* Starts both servers. Returns NULL with *err filled in if that fails. */
Web *Web_New(const WebOptions *options, LsError *err);
void Web_Free(Web *web);
/* Takes the oldest intent from the queue; free it with Web_FreeIntent. Returns
   NULL if the queue is empty. */
WebIntent *Web_TakeIntent(Web *web);
void Web_FreeIntent(WebIntent *intent);
/* Copies an answer and queues it for the caller's thread. Ignored if the
   caller's connection is closed. */
void Web_Answer(Web *web, uint64_t caller, const BoardAnswer *answer);
/* Returns the number of open requests, those of operators included. */
guint Web_CountCallers(Web *web);

#endif
