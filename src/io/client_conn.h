/* HTTP client, internal part (ClientConn_): the connections, and the reading
   of responses. */
#ifndef LS_CLIENT_CONN_H
#define LS_CLIENT_CONN_H

#include "client.h"
#include "client_refusals.h"
#include "client_request.h"
#include "head_check.h"

#include <event2/bufferevent.h>
#include <http_parser.h>
#include <sys/queue.h>

#define CLIENT_ADDRESS_MAX 64

typedef struct ClientConn {
    LIST_ENTRY(ClientConn) links;
    Client *client;
    char address[CLIENT_ADDRESS_MAX];
    struct bufferevent *bev;
    struct event *timer;  /* Connect time-out, later idle time-out. */
    struct event *sender; /* Sends the call. */
    http_parser parser;
    HeadCheck check;
    ClientCall *call; /* NULL while idle. */
    HeaderList *headers;
    HeaderReader reader;
    uint64_t number; /* As in Client_GetNumber(). */
    int64_t idle_since_us;
    uint32_t idle_ms;       /* Idle time after which it is closed. */
    size_t head_size;       /* Bytes of the response's header so far. */
    uint64_t body_size;     /* Bytes of the response's body so far. */
    uint64_t received_size; /* All bytes since the call began. */
    uint32_t calls;         /* That it has carried. */
    uint64_t label;         /* As in ClientCallOptions; 0: none. */
    ClientRefusals refusals;
    bool connected;
    bool matches;       /* The response being read belongs to the call. */
    bool interim;       /* The response being read has a 1xx status. */
    bool parsing;       /* http_parser_execute() runs. */
    bool close_pending; /* The connection closes when the parser returns. */
    bool head_ended;    /* The parser has reached the end of a head. */
    bool malformed;     /* The received bytes are no HTTP response. */
    bool complete;      /* The call's response is complete. */
    bool rejected;      /* The call's owner rejected the body. */
    bool head_request;  /* The call's method is HEAD: no body follows. */
    bool has_responded; /* It has carried a complete response. */
} ClientConn;

struct ClientCall {
    ClientCallOptions options; /* Its strings, headers and body are valid
                                  within Client_BeginCall() only. */
    ClientConn *conn;
    size_t size; /* Bytes of the request. */
    ClientRequest request;
};

struct Client {
    struct event_base *base;
    const Clk *clk;
    LIST_HEAD(ClientConnList, ClientConn) conns;
    uint64_t last_number; /* Of a connection. */
    GHashTable *lost; /* Address to the time of its last lost connection. */
    void *observer;   /* Context of on_response(). */
    void (*on_response)(void *context, const char *address, int status,
                        const HeaderList *headers);
};

/* Prepares for the next response. */
void ClientConn_InitParser(ClientConn *conn);
/* Reads received bytes, or some of them, and returns how many. Sets `complete`
   at the end of the call's response, and `malformed` if the bytes are no HTTP
   response or more than the client takes. */
size_t ClientConn_Parse(ClientConn *conn, const char *data, size_t size);
/* Completes a response that is delimited by the end of its connection, if this
   end proves anything; `had_error`: the connection broke. */
void ClientConn_ParseEnd(ClientConn *conn, bool had_error);

#endif
