/* Srv: an HTTP/1.1 server for many connections on one libevent loop. A
   request is handed over once it has been read whole; its answer is written
   whole or as a stream. libmicrohttpd, under ulfius, hides a caller's leaving
   while an answer is awaited, and so does not fit here. */
#ifndef LS_SRV_H
#define LS_SRV_H

#include "../clk.h"
#include "../err.h"
#include "hdr.h"

#include <event2/event.h>
#include <stdint.h>

#define SRV_LINGER_MS 1000        /* For the caller to read a last answer. */
#define SRV_OUT_MAX (1024 * 1024) /* Bytes that a slow reader may leave. */
#define SRV_IDLE_SLACK_MS 1000    /* A close never meets a timely request. */

/* What a caller may send, and how long it may take. */
typedef struct SrvLimits {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_ms; /* From the first byte to the end of the header. */
    uint32_t idle_ms;   /* Between requests, and between parts of a body. */
} SrvLimits;

/* One request and its answer. Lives until its answer has ended or
   on_disconnect() has returned. */
typedef struct SrvExchange {
    const char *method;
    const char *target; /* Path and query as they were sent. */
    HdrList *headers;
    GByteArray *body;
    int64_t received_us; /* When its first byte was read. */
    void *owner;         /* The receiver's own. */
    struct SrvConn *conn;
} SrvExchange;

typedef struct SrvOptions {
    struct event_base *base;
    const Clk *clk;
    const char *ip;
    uint16_t port; /* 0 takes any free port. */
    SrvLimits limits;
    void *context;
    void (*on_request)(void *context, SrvExchange *exchange);
    /* The caller closed before its answer ended. */
    void (*on_disconnect)(void *context, SrvExchange *exchange);
} SrvOptions;

typedef struct Srv Srv;

SrvOptions Srv_DefaultOptions(void);
Srv *Srv_New(const SrvOptions *options, LsError *err); /* Listens. */
void Srv_Free(Srv *srv);
uint16_t Srv_GetPort(const Srv *srv);
void Srv_SetLimits(Srv *srv, const SrvLimits *limits);
/* From now on each answer closes its connection. */
void Srv_BeginShutdown(Srv *srv);
/* Closes the connections without a request and stops listening. */
void Srv_CloseIdle(Srv *srv);
/* Requests without an answer, and answers that have not left yet. */
guint Srv_CountPending(const Srv *srv);

/* Writes a whole answer; `headers` may be NULL. Ends the exchange. */
void Srv_SendResponse(SrvExchange *exchange, int status,
                      const HdrList *headers, const void *body, size_t size);
void Srv_BeginStream(SrvExchange *exchange, int status,
                     const HdrList *headers);
void Srv_SendData(SrvExchange *exchange, const void *data, size_t size);
void Srv_EndStream(SrvExchange *exchange); /* Ends the exchange, complete. */
/* Ends the exchange so that the caller sees that the answer is incomplete. */
void Srv_AbortResponse(SrvExchange *exchange);

#endif
