/* Web: the HTTP servers for callers and operators, on ulfius. A thread
   serves each connection; it hands intents to the thread that owns the board
   and waits for answers, watching whether its caller is still there. */
#ifndef LS_WEB_H
#define LS_WEB_H

#include "board.h"
#include "box.h"

#define WEB_THREAD_STACK_BYTES (192 * 1024) /* Of a connection's thread. */
#define WEB_DISCONNECT_CHECK_US                                               \
    (200 * CLK_US_PER_MS) /* Between looks for a caller. */
#define WEB_CONNECTION_MEMORY_BYTES (32 * 1024)
#define WEB_IDLE_TIMEOUT_S 30 /* For a caller that sends or takes nothing. */

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

/* What a caller or operator asked for. Strings are NULL where unused. */
typedef struct WebIntent {
    WebIntentType type;
    uint64_t caller;
    char *key; /* Bearer key. */
    char *model;
    char *prompt;
    uint32_t max_tokens;
    char *method;
    char *service;
    char *path;
    char *idempotency_key;
    char *body;
    size_t body_size;
} WebIntent;

typedef struct WebOptions {
    const char *bind_address;
    uint16_t port;
    uint16_t operator_port;
    uint32_t body_max;
    void *context;
    void (*wake)(void *context); /* An intent waits. From any thread. */
} WebOptions;

typedef struct Web Web;

WebOptions Web_DefaultOptions(void);
Web *Web_New(const WebOptions *options, LsError *err);
void Web_Free(Web *web);
WebIntent *Web_TakeIntent(Web *web); /* NULL when none waits. */
void Web_FreeIntent(WebIntent *intent);
void Web_Answer(Web *web, uint64_t caller, const BoardAnswer *answer);
guint Web_CountCallers(Web *web); /* Connections being served. */

#endif
