/* HTTP server (Server_): an HTTP/1.1 server for many connections on one
   libevent loop. A request is passed to the handler once it was read
   completely; its response is sent at once or as a stream. libmicrohttpd,
   which ulfius uses, does not fit here: it does not report that a caller
   closed its connection while the response is pending. */
#ifndef LS_SERVER_H
#define LS_SERVER_H

#include "../clock.h"
#include "../decide/unread.h"
#include "../errors.h"
#include "headers.h"

#include <event2/event.h>
#include <stdint.h>

/* After the last response on a connection, the server waits this long for the
   caller to read it and to close. */
#define SERVER_LINGER_MS 1000
/* The first request of a connection may be on its way for this long: it comes
   a round trip after the connection, or later if a packet is lost. */
#define SERVER_FIRST_REQUEST_MS 1000
/* An idle connection is closed this long after its time-out, so that a request
   which a caller sends in time is still read. */
#define SERVER_IDLE_SLACK_MS 1000

/* Bodies of all requests that are being read or run, in sum: a share of the
   memory of a small VM. Further ones are refused. */
#define SERVER_BODIES_MAX_BYTES ((size_t)24 * 1024 * 1024)
/* A body may take the time of ServerLimits.idle_ms and as long as it comes at
   this rate, bytes a second: slower than any usual link. */
#define SERVER_BODY_RATE_MIN 1024

/* Limits on the size and the duration of a caller's request. */
typedef struct ServerLimits {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_ms; /* Longest time from the first byte of a request to the
                           end of its header. */
    uint32_t idle_ms;   /* Longest wait for a request or a part of a body. */
} ServerLimits;

/* One request and its response. It is valid until the response has ended or
   on_disconnect() has returned. */
typedef struct ServerExchange {
    const char *method;
    const char *target; /* Path and query as the caller sent them. */
    HeaderList *headers;
    GByteArray *body;
    uint32_t caller;         /* IPv4 address of the connection's other end. */
    int64_t received_us;     /* Time at which the first byte came. */
    void *owner;             /* For use by the handler of the request. */
    struct ServerConn *conn; /* For use by the server. */
} ServerExchange;

typedef struct ServerOptions {
    struct event_base *base;
    const Clk *clk;
    const char *ip;
    uint16_t port; /* 0 takes any free port. */
    ServerLimits limits;
    void *context;
    /* Called for each request. The handler must end the exchange, now or
       later, with one of the functions below. */
    void (*on_request)(void *context, ServerExchange *exchange);
    /* Called when the caller's connection ends before the response does. */
    void (*on_disconnect)(void *context, ServerExchange *exchange);
    /* Called when the caller of a streamed response leaves too much of it
       unread, so that the owner is to add nothing for a while, and when it may
       go on. May be NULL. */
    void (*on_unread)(ServerExchange *exchange, bool is_paused);
    /* Unread bytes of the responses of several servers; NULL: no bound. */
    UnreadSum *unread;
} ServerOptions;

typedef struct Server Server;

ServerOptions Server_DefaultOptions(void);
/* Begins to listen. Returns NULL with *err filled in if the address can't be
   bound. */
Server *Server_New(const ServerOptions *options, LsError *err);
void Server_Free(Server *server); /* NULL is allowed. */
uint16_t Server_GetPort(const Server *server);
void Server_SetLimits(Server *server, const ServerLimits *limits);
/* Makes every response from now on close its connection, unless the caller has
   already sent a further request. */
void Server_BeginShutdown(Server *server);
/* Stops listening. Connections that have reached this VM by then are still
   served. */
void Server_StopListening(Server *server);
/* Stops listening and closes the connections that have no request, once their
   last response is sent, new ones after SERVER_FIRST_REQUEST_MS. Requests
   whose first bytes have reached this VM by then are still read and answered.
 */
void Server_CloseIdle(Server *server);
/* Answers the requests that are still being read, and closes their
   connections. `headers` may be NULL. */
void Server_RefuseUnread(Server *server, int status, const HeaderList *headers,
                         const void *body, size_t size);
/* Returns the number of requests without a complete response, of responses
   that the caller's host has not yet received, and without a listener of
   connections whose request is still being read, or may be on its way. */
guint Server_CountPending(const Server *server);
guint Server_CountOpen(const Server *server); /* All connections. */

/* Returns the bytes of the bodies of all requests. */
size_t Server_GetBodyBytes(const Server *server);

/* Sends a complete response, with Content-Length, and ends the exchange.
   `headers` may be NULL. */
void Server_SendResponse(ServerExchange *exchange, int status,
                         const HeaderList *headers, const void *body,
                         size_t size);
/* The same without Content-Length: the end of the connection ends the
   response. */
void Server_SendUntilClose(ServerExchange *exchange, int status,
                           const HeaderList *headers, const void *body,
                           size_t size);
/* Sends the header of a streamed response. `headers` may be NULL. */
void Server_BeginStream(ServerExchange *exchange, int status,
                        const HeaderList *headers);
/* Sends a part of the body of a streamed response. If the caller reads so
   slowly that decide/unread gives the response up, its connection is closed
   from the event loop, with on_disconnect() if the exchange has not ended. */
void Server_SendData(ServerExchange *exchange, const void *data, size_t size);
/* Completes a streamed response and ends the exchange. */
void Server_EndStream(ServerExchange *exchange);
/* Closes the connection so that the caller sees an incomplete response, and
   ends the exchange. */
void Server_AbortResponse(ServerExchange *exchange);

#endif
