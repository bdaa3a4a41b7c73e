/* Up: HTTP calls to upstreams and to the platform, on libcurl's multi
   interface, which ulfius's own client stands on: calls must be given up at
   any moment without holding a thread. All calls come from the thread that
   owns the board. */
#ifndef LS_UP_H
#define LS_UP_H

#include "board.h"

#include <curl/curl.h>

#define UP_CONNECT_TIMEOUT_MS 1000L
#define UP_TOTAL_TIMEOUT_MS 150000L           /* Upper bound of any call. */
#define UP_ANSWER_BYTES_MAX (4 * 1024 * 1024) /* Bytes of an answer's body.   \
                                               */

typedef struct UpOptions {
    void *context;
    void (*on_event)(void *context, const BoardCallEvent *event);
} UpOptions;

typedef struct Up Up;

UpOptions Up_DefaultOptions(void);
Up *Up_New(const UpOptions *options);
void Up_Free(Up *up);
void Up_BeginCall(Up *up, const BoardCall *call);
void Up_EndCall(Up *up, uint64_t call);
/* Waits for the calls, the descriptors of an array of struct pollfd, or
   Up_Wake, then handles the calls' events. */
void Up_Run(Up *up, GArray *fds, int timeout_ms);
void Up_Wake(Up *up); /* From any thread: makes Up_Run return. */

#endif
