/* HTTP server (Srv_): an HTTP/1.1 server for many connections on one libevent
   loop. A request is passed on once it was read completely; its response is
   sent at once or as a stream. libmicrohttpd, which ulfius uses, does not fit
   here: it does not report that a caller closed its connection while the
   response is pending. */
#ifndef LS_SERVER_H
#define LS_SERVER_H

#include "../clock.h"
#include "../errors.h"
#include "headers.h"

#include <event2/event.h>
#include <stdint.h>

/* After the last response on a connection, the server waits this long for the
   caller to read it and to close. */
#define SRV_LINGER_MS 1000
/* A connection is closed when more bytes than this wait for a slow reader. */
#define SRV_OUT_MAX_BYTES (1024 * 1024)
/* An idle connection is closed this long after its time-out, so that the close
   does not meet a request that a caller sends in time. */
#define SRV_IDLE_SLACK_MS 1000

/* Limits on the size and the duration of a caller's request. */
typedef struct SrvLimits {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_ms; /* From the first byte to the end of the header. */
    uint32_t idle_ms;   /* Between requests, and between parts of a body. */
} SrvLimits;

/* One request and its response. It is valid until the response has ended or
   on_disconnect() has returned. */
typedef struct SrvExchange {
    const char *method;
    const char *target; /* Path and query as the caller sent them. */
    HdrList *headers;
    GByteArray *body;
    int64_t received_us; /* Time at which the first byte was read. */
    void *owner;         /* For use by the handler of the request. */
    struct SrvConn *conn;
} SrvExchange;

typedef struct SrvOptions {
    struct event_base *base;
    const Clk *clk;
    const char *ip;
    uint16_t port; /* 0 takes any free port. */
    SrvLimits limits;
    void *context;
    /* Called for each request. The handler must end the exchange, now or
       later, with one of the functions below. */
    void (*on_request)(void *context, SrvExchange *exchange);
    /* Called when the caller's connection ends before the response does. */
    void (*on_disconnect)(void *context, SrvExchange *exchange);
} SrvOptions;

typedef struct Srv Srv;

SrvOptions Srv_DefaultOptions(void);
/* Begins to listen. Returns NULL with *err filled in if the address can't be
   bound. */
Srv *Srv_New(const SrvOptions *options, LsError *err);
void Srv_Free(Srv *srv); /* NULL is allowed. */
uint16_t Srv_GetPort(const Srv *srv);
void Srv_SetLimits(Srv *srv, const SrvLimits *limits);
/* Makes every response from now on close its connection. */
void Srv_BeginShutdown(Srv *srv);
/* Stops listening and closes the connections that have no request. */
void Srv_CloseIdle(Srv *srv);
/* Returns the number of requests without a complete response, and of
   responses that are not yet sent completely. */
guint Srv_CountPending(const Srv *srv);

/* Sends a complete response and ends the exchange. `headers` may be NULL. */
void Srv_SendResponse(SrvExchange *exchange, int status,
                      const HdrList *headers, const void *body, size_t size);
/* Sends the header of a streamed response. `headers` may be NULL. */
void Srv_BeginStream(SrvExchange *exchange, int status,
                     const HdrList *headers);
void Srv_SendData(SrvExchange *exchange, const void *data, size_t size);
/* Completes a streamed response and ends the exchange. */
void Srv_EndStream(SrvExchange *exchange);
/* Closes the connection so that the caller sees an incomplete response, and
   ends the exchange. */
void Srv_AbortResponse(SrvExchange *exchange);

#endif
