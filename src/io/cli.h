/* Cli: HTTP/1.1 calls over kept connections, on one libevent loop. libcurl
   sends a call again by itself when a kept connection turns out closed; a
   call that may run only once needs the decision here. */
#ifndef LS_CLI_H
#define LS_CLI_H

#include "../clk.h"
#include "hdr.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define CLI_CONNECT_MS 400     /* Several round trips between regions. */
#define CLI_SILENT_MS 2000     /* Unacknowledged bytes before a reset. */
#define CLI_IDLE_MAX_MS 4000   /* Below the idle time of usual servers. */
#define CLI_IDLE_MARGIN_MS 600 /* Kept from a server's announced time. */
#define CLI_IDLE_COUNT 8       /* Idle connections kept per address. */
#define CLI_HEADER_MAX (64 * 1024)

typedef enum CliOutcome {
    CLI_COMPLETE,    /* The answer is complete. */
    CLI_NOT_SENT,    /* No byte of the call left: connecting failed. */
    CLI_INTERRUPTED, /* The call was sent; no whole answer came. */
    CLI_MALFORMED,   /* What came is no answer in the protocol. */
} CliOutcome;

typedef struct CliCall CliCall;

typedef struct CliCallOptions {
    const char *address; /* "IP:port" */
    const char *method;
    const char *target;
    const HdrList *headers; /* End to end; framing is added. May be NULL. */
    const void *body;
    size_t body_size;
    bool with_length;     /* Sends Content-Length for an empty body too. */
    uint32_t connect_ms;  /* 0: CLI_CONNECT_MS. */
    uint32_t idle_max_ms; /* Oldest kept connection to use; 0: a new one. */
    void *context;
    /* Whether an answer belongs to this call; NULL takes the first. Others
       are late answers to earlier calls and are dropped. */
    bool (*is_own)(void *context, const HdrList *headers);
    void (*on_head)(void *context, int status, const HdrList *headers);
    void (*on_data)(void *context, const void *data, size_t size);
    /* The last callback of a call. The call is freed by then. May be NULL. */
    void (*on_end)(void *context, CliOutcome outcome);
} CliCallOptions;

typedef struct Cli Cli;

Cli *Cli_New(struct event_base *base, const Clk *clk);
void Cli_Free(Cli *cli); /* Drops all calls without a callback. */
/* Starts a call. Callbacks never come from within. */
CliCall *Cli_BeginCall(Cli *cli, const CliCallOptions *options);
/* Gives a call up: closes its connection; no callback follows. */
void Cli_EndCall(CliCall *call);
/* Closes the idle connections to an address. */
void Cli_CloseIdle(Cli *cli, const char *address);

#endif
