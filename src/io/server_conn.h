/* Server, internal part (ServerConn_): the connections that server.c and
   server_response.c share. */
#ifndef LS_SERVER_CONN_H
#define LS_SERVER_CONN_H

#include "head_check.h"
#include "server.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <sys/queue.h>

typedef struct ServerConn {
    LIST_ENTRY(ServerConn) links;
    Server *server;
    struct bufferevent *bev;
    struct event *timer;
    http_parser parser;
    HeadCheck check;
    ServerExchange exchange;
    GString *target;
    HeaderReader reader;
    char method[32];
    bool reading;     /* A request was read in part. */
    bool has_header;  /* The header of the request is complete. */
    bool head_ended;  /* The parser has reached the end of a head. */
    bool complete;    /* The request was read to its end. */
    bool in_exchange; /* A request waits for the end of its response. */
    bool streaming;   /* The header of a streamed response was written. */
    bool chunked;     /* The streamed response is chunked. */
    bool keep_alive;  /* The caller may send another request. */
    bool lingering;   /* The connection only waits for the caller's close. */
    bool is_used;     /* A request on it was answered. */
    uint32_t wait_ms; /* Time-out of the last arm_wait_timer(). */
    size_t unsent;    /* Result of count_unsent() at that time. */
    bool is_paused;   /* The caller leaves much of the stream unread. */
    bool is_given_up; /* The connection is about to be closed for that. */
    int64_t paused_since_us;
    int error_status;   /* Status for a request that breaks a limit, or 0. */
    size_t header_size; /* Bytes of the request's header so far. */
    int64_t header_us;  /* When the header was complete. */
    int64_t opened_us;
} ServerConn;

struct Server {
    ServerOptions options;
    struct evconnlistener *listener;
    LIST_HEAD(ServerConnList, ServerConn) conns;
    guint exchanges;   /* Number of connections with `in_exchange`. */
    size_t body_bytes; /* Of the bodies of all requests. */
    uint16_t port;
    bool shutting_down;
    bool closes_idle;
};

/* Whether the connection closes after this response. At a planned stop, it
   stays open for a request that the caller has sent already. */
bool ServerConn_IsClosing(const ServerConn *conn);
/* Sets whether closing the connection resets it. */
void ServerConn_SetResetOnClose(const ServerConn *conn, bool reset);
/* Closes the connection after a response, or prepares for the next request. */
void ServerConn_FinishExchange(ServerConn *conn);
/* Prepares the parser for the first request. */
void ServerConn_InitParser(ServerConn *conn);
/* Prepares the parser for the next request after a complete one. */
void ServerConn_ResumeParser(ServerConn *conn);
/* Reads received bytes, or some of them, and returns how many. Sets `complete`
   at the end of a request, and `error_status` if it is malformed or breaks a
   limit. */
size_t ServerConn_Parse(ServerConn *conn, const char *data, size_t size);
/* Counts the unread bytes of responses, until ServerConn_ForgetUnread(). */
void ServerConn_WatchUnread(ServerConn *conn);
void ServerConn_ForgetUnread(ServerConn *conn);
/* Holds the owner of a stream up, or gives the stream up, if its caller reads
   too slowly. To be called once something was added to it. */
void ServerConn_CheckUnread(ServerConn *conn);
/* The same for a stream that is held up, once the caller has read some of it,
   or the time is over. */
void ServerConn_ContinueUnread(ServerConn *conn);
/* The stream has ended: what is unread is no longer the owner's matter. */
void ServerConn_EndUnread(ServerConn *conn);
/* Closes the connection and frees it. */
void ServerConn_Close(ServerConn *conn);

#endif
