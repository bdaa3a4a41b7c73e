#include "server.h"

#include "../log.h"
#include "loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define SRV_BACKLOG 1024
/* Reading from a connection pauses while this many bytes are unparsed. */
#define SRV_READ_MAX_BYTES (256 * 1024)
/* Idle time before the first TCP keep-alive probe. */
#define SRV_KEEPALIVE_IDLE_S 5

typedef struct SrvConn {
    LIST_ENTRY(SrvConn) links;
    Srv *srv;
    struct bufferevent *bev;
    struct event *timer;
    http_parser parser;
    SrvExchange exchange;
    GString *target;
    HdrReader reader;
    char method[32];
    bool reading;       /* A part of a request was read. */
    bool has_header;    /* The header of the request is complete. */
    bool in_exchange;   /* A request waits for the end of its response. */
    bool streaming;     /* The header of a streamed response was written. */
    bool chunked;       /* The streamed response is chunked. */
    bool keep_alive;    /* The caller may send another request. */
    bool lingering;     /* The connection only waits for the caller's close. */
    int error_status;   /* Status for a request that breaks a limit, or 0. */
    size_t header_size; /* Bytes of the request's header so far. */
} SrvConn;

struct Srv {
    SrvOptions options;
    struct evconnlistener *listener;
    LIST_HEAD(SrvConnList, SrvConn) conns;
    guint exchanges; /* Number of connections with `in_exchange`. */
    uint16_t port;
    bool shutting_down;
};

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int size, void *context);
static void on_read(struct bufferevent *bev, void *context);
static void on_write(struct bufferevent *bev, void *context);
static void on_event(struct bufferevent *bev, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static int parse_begin(http_parser *parser);
static int parse_target(http_parser *parser, const char *at, size_t size);
static int parse_name(http_parser *parser, const char *at, size_t size);
static int parse_value(http_parser *parser, const char *at, size_t size);
static int parse_header_end(http_parser *parser);
static int parse_body(http_parser *parser, const char *at, size_t size);
static int parse_end(http_parser *parser);
static void begin_request(SrvConn *conn);
static void parse_input(SrvConn *conn);
static void reject(SrvConn *conn, int status);
static void finish_exchange(SrvConn *conn);
static void begin_linger(SrvConn *conn);
static void close_conn(SrvConn *conn);
static void write_head(SrvConn *conn, int status, const HdrList *headers);
static bool is_closing(const SrvConn *conn);

static const http_parser_settings parser_settings = {
    .on_message_begin = parse_begin,
    .on_url = parse_target,
    .on_header_field = parse_name,
    .on_header_value = parse_value,
    .on_headers_complete = parse_header_end,
    .on_body = parse_body,
    .on_message_complete = parse_end,
};

SrvOptions
Srv_DefaultOptions(void)
{
    SrvOptions options = {
        .ip = "127.0.0.1",
        .limits = {.header_bytes = 16384,
                   .body_bytes = 4 * 1024 * 1024,
                   .header_ms = 3000,
                   .idle_ms = 15000},
    };
    return options;
}

Srv *
Srv_New(const SrvOptions *options, LsError *err)
{
    Srv *srv = g_new0(Srv, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(options->port)};
    socklen_t size = sizeof(address);

    srv->options = *options;
    LIST_INIT(&srv->conns);
    if (inet_pton(AF_INET, options->ip, &address.sin_addr) == 1) {
        srv->listener = evconnlistener_new_bind(
            options->base, on_accept, srv,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, SRV_BACKLOG,
            (struct sockaddr *)&address, sizeof(address));
    }
    if (srv->listener == NULL) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN, "can't listen on %s:%u",
                options->ip, options->port);
        g_free(srv);
        return NULL;
    }
    getsockname(evconnlistener_get_fd(srv->listener),
                (struct sockaddr *)&address, &size);
    srv->port = ntohs(address.sin_port);
    return srv;
}

void
Srv_Free(Srv *srv)
{
    if (srv == NULL) {
        return;
    }
    while (!LIST_EMPTY(&srv->conns)) {
        close_conn(LIST_FIRST(&srv->conns));
    }
    if (srv->listener != NULL) {
        evconnlistener_free(srv->listener);
    }
    g_free(srv);
}

uint16_t
Srv_GetPort(const Srv *srv)
{
    return srv->port;
}

void
Srv_SetLimits(Srv *srv, const SrvLimits *limits)
{
    srv->options.limits = *limits;
}

void
Srv_BeginShutdown(Srv *srv)
{
    srv->shutting_down = true;
}

void
Srv_CloseIdle(Srv *srv)
{
    SrvConn *conn = LIST_FIRST(&srv->conns);

    if (srv->listener != NULL) {
        evconnlistener_free(srv->listener);
        srv->listener = NULL;
    }
    while (conn != NULL) {
        SrvConn *next = LIST_NEXT(conn, links);
        if (!conn->in_exchange && !conn->reading && !conn->lingering) {
            close_conn(conn);
        }
        conn = next;
    }
}

guint
Srv_CountPending(const Srv *srv)
{
    const SrvConn *conn;
    guint count = srv->exchanges;

    for (conn = LIST_FIRST(&srv->conns); conn != NULL;
         conn = LIST_NEXT(conn, links)) {
        struct evbuffer *out = bufferevent_get_output(conn->bev);
        count += !conn->in_exchange && evbuffer_get_length(out) > 0;
    }
    return count;
}

void
Srv_SendResponse(SrvExchange *exchange, int status, const HdrList *headers,
                 const void *body, size_t size)
{
    SrvConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    write_head(conn, status, headers);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", size);
    if (size > 0 && g_strcmp0(conn->method, "HEAD") != 0) {
        evbuffer_add(out, body, size);
    }
    finish_exchange(conn);
}

void
Srv_BeginStream(SrvExchange *exchange, int status, const HdrList *headers)
{
    SrvConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    conn->chunked =
        conn->parser.http_major == 1 && conn->parser.http_minor == 1;
    conn->keep_alive = conn->keep_alive && conn->chunked;
    write_head(conn, status, headers);
    evbuffer_add_printf(
        out, conn->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    conn->streaming = true;
}

void
Srv_SendData(SrvExchange *exchange, const void *data, size_t size)
{
    SrvConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    if (size == 0) {
        return;
    }
    if (conn->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", size);
    }
    evbuffer_add(out, data, size);
    if (conn->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
    if (evbuffer_get_length(out) > SRV_OUT_MAX_BYTES) {
        bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                                  BEV_OPT_DEFER_CALLBACKS);
    }
}

void
Srv_EndStream(SrvExchange *exchange)
{
    SrvConn *conn = exchange->conn;

    if (conn->chunked) {
        evbuffer_add(bufferevent_get_output(conn->bev), "0\r\n\r\n", 5);
    }
    finish_exchange(conn);
}

void
Srv_AbortResponse(SrvExchange *exchange)
{
    SrvConn *conn = exchange->conn;

    conn->keep_alive = false;
    if (!conn->chunked) {
        /* Without chunks, only a reset shows that the response is
           incomplete. */
        struct linger reset = {.l_onoff = 1, .l_linger = 0};
        setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        conn->in_exchange = false;
        conn->srv->exchanges--;
        close_conn(conn);
        return;
    }
    finish_exchange(conn);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Srv *srv = context;
    SrvConn *conn = g_new0(SrvConn, 1);
    int on = 1;
    int idle_s = SRV_KEEPALIVE_IDLE_S;

    (void)listener;
    (void)address;
    (void)size;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    conn->srv = srv;
    conn->target = g_string_new(NULL);
    Hdr_InitReader(&conn->reader);
    conn->exchange.conn = conn;
    conn->exchange.body = g_byte_array_new();
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    conn->timer = evtimer_new(srv->options.base, on_timer, conn);
    conn->bev =
        bufferevent_socket_new(srv->options.base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
    bufferevent_setwatermark(conn->bev, EV_READ, 0, SRV_READ_MAX_BYTES);
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    LIST_INSERT_HEAD(&srv->conns, conn, links);
    begin_request(conn);
}

static void
on_read(struct bufferevent *bev, void *context)
{
    SrvConn *conn = context;

    if (conn->lingering) {
        struct evbuffer *in = bufferevent_get_input(bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    parse_input(conn);
}

static void
on_write(struct bufferevent *bev, void *context)
{
    SrvConn *conn = context;

    (void)bev;
    /* libevent calls this also once at the begin of the connection, before
       any response. */
    if (conn->lingering) {
        begin_linger(conn);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    SrvConn *conn = context;

    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (conn->in_exchange) {
        conn->in_exchange = false;
        conn->srv->exchanges--;
        conn->srv->options.on_disconnect(conn->srv->options.context,
                                         &conn->exchange);
    }
    close_conn(conn);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    SrvConn *conn = context;

    (void)fd;
    (void)what;
    if (conn->lingering || !conn->reading) {
        close_conn(conn);
        return;
    }
    reject(conn, 408);
}

/* Prepares the connection for its next request. */
static void
begin_request(SrvConn *conn)
{
    Hdr_Free(conn->exchange.headers);
    conn->exchange.headers = Hdr_New();
    g_byte_array_set_size(conn->exchange.body, 0);
    conn->exchange.owner = NULL;
    g_string_truncate(conn->target, 0);
    conn->reading = false;
    conn->has_header = false;
    conn->streaming = false;
    conn->header_size = 0;
    conn->error_status = 0;
    conn->keep_alive = true;
    Loop_ArmTimer(conn->timer,
                  conn->srv->options.limits.idle_ms + SRV_IDLE_SLACK_MS);
}

/* Parses the received bytes up to the end of one request. */
static void
parse_input(SrvConn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    const SrvLimits *limits = &conn->srv->options.limits;

    while (!conn->in_exchange && !conn->lingering &&
           evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec piece;
        size_t parsed;

        evbuffer_peek(in, -1, NULL, &piece, 1);
        if (!conn->reading) {
            conn->reading = true;
            conn->exchange.received_us = Clk_Now(conn->srv->options.clk);
            Loop_ArmTimer(conn->timer, limits->header_ms);
        }
        else if (conn->has_header) {
            Loop_ArmTimer(conn->timer, limits->idle_ms);
        }
        parsed = http_parser_execute(&conn->parser, &parser_settings,
                                     piece.iov_base, piece.iov_len);
        if (!conn->has_header) {
            conn->header_size += parsed;
        }
        if (conn->error_status == 0 &&
            conn->header_size > limits->header_bytes) {
            conn->error_status = 431;
        }
        if (conn->error_status != 0) {
            reject(conn, conn->error_status);
            return;
        }
        if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_PAUSED) {
            evbuffer_drain(in, parsed);
            conn->reading = false;
            conn->in_exchange = true;
            conn->srv->exchanges++;
            evtimer_del(conn->timer);
            conn->srv->options.on_request(conn->srv->options.context,
                                          &conn->exchange);
            return;
        }
        if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
            reject(conn, 400);
            return;
        }
        evbuffer_drain(in, parsed);
    }
}

static int
parse_begin(http_parser *parser)
{
    SrvConn *conn = parser->data;

    Hdr_ResetReader(&conn->reader);
    return 0;
}

static int
parse_target(http_parser *parser, const char *at, size_t size)
{
    SrvConn *conn = parser->data;

    g_string_append_len(conn->target, at, (gssize)size);
    return 0;
}

static int
parse_name(http_parser *parser, const char *at, size_t size)
{
    SrvConn *conn = parser->data;

    if (conn->has_header) {
        return 0; /* Trailers are ignored. */
    }
    Hdr_ReadName(&conn->reader, conn->exchange.headers, at, size);
    return 0;
}

static int
parse_value(http_parser *parser, const char *at, size_t size)
{
    SrvConn *conn = parser->data;

    if (conn->has_header) {
        return 0;
    }
    Hdr_ReadValue(&conn->reader, at, size);
    return 0;
}

static int
parse_header_end(http_parser *parser)
{
    SrvConn *conn = parser->data;
    HdrList *headers = conn->exchange.headers;

    Hdr_EndField(&conn->reader, conn->exchange.headers);
    conn->has_header = true;
    conn->keep_alive = http_should_keep_alive(parser) != 0;
    g_strlcpy(conn->method, http_method_str(parser->method),
              sizeof(conn->method));
    conn->exchange.method = conn->method;
    conn->exchange.target = conn->target->str;
    parser->upgrade = 0; /* The server supports no other protocol. */
    if (parser->content_length != UINT64_MAX &&
        parser->content_length > conn->srv->options.limits.body_bytes) {
        conn->error_status = 413;
        return -1;
    }
    if (Hdr_HasToken(headers, "Expect", "100-continue")) {
        evbuffer_add_printf(bufferevent_get_output(conn->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return 0;
}

static int
parse_body(http_parser *parser, const char *at, size_t size)
{
    SrvConn *conn = parser->data;

    if (conn->exchange.body->len + size >
        conn->srv->options.limits.body_bytes) {
        conn->error_status = 413;
        return -1;
    }
    g_byte_array_append(conn->exchange.body, (const guint8 *)at, (guint)size);
    return 0;
}

static int
parse_end(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

/* Responds with an error to a request that is malformed, too large or too
   slow, and closes the connection. */
static void
reject(SrvConn *conn, int status)
{
    Log_WriteJson(LOG_LEVEL_INFO, "request_unreadable",
                  json_pack("{s:i,s:s,s:i}", "status", status, "parser",
                            http_errno_name(HTTP_PARSER_ERRNO(&conn->parser)),
                            "header_bytes", (int)conn->header_size));
    conn->keep_alive = false;
    conn->reading = false;
    conn->in_exchange = true;
    conn->srv->exchanges++;
    conn->parser.http_major = 1;
    conn->parser.http_minor = 1;
    Srv_SendResponse(&conn->exchange, status, NULL, "", 0);
}

static void
write_head(SrvConn *conn, int status, const HdrList *headers)
{
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        http_status_str((enum http_status)status));
    for (guint i = 0; headers != NULL && i < headers->fields->len; i++) {
        const HdrField *field = &g_array_index(headers->fields, HdrField, i);
        evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
    }
    if (is_closing(conn)) {
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
}

static bool
is_closing(const SrvConn *conn)
{
    return !conn->keep_alive || conn->srv->shutting_down;
}

/* Closes the connection after a response, or prepares for the next request. */
static void
finish_exchange(SrvConn *conn)
{
    conn->in_exchange = false;
    conn->srv->exchanges--;
    if (is_closing(conn)) {
        conn->keep_alive = false;
        conn->lingering = true;
        Loop_ArmTimer(conn->timer, conn->srv->options.limits.idle_ms);
        if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0) {
            /* If bytes are still unsent, on_write() calls it later. */
            begin_linger(conn);
        }
        return;
    }
    http_parser_pause(&conn->parser, 0);
    begin_request(conn);
    if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0) {
        /* The next request is parsed from the event loop, since the handler
           of this one may still be on the stack. */
        bufferevent_trigger(conn->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}

/* Closes only the sending half and waits for the caller to close. A close with
   unread bytes would reset the connection before the caller has read the
   response. */
static void
begin_linger(SrvConn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);

    conn->lingering = true;
    evbuffer_drain(in, evbuffer_get_length(in));
    shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
    Loop_ArmTimer(conn->timer, SRV_LINGER_MS);
}

static void
close_conn(SrvConn *conn)
{
    LIST_REMOVE(conn, links);
    bufferevent_free(conn->bev);
    event_free(conn->timer);
    Hdr_Free(conn->exchange.headers);
    g_byte_array_free(conn->exchange.body, TRUE);
    g_string_free(conn->target, TRUE);
    Hdr_ClearReader(&conn->reader);
    g_free(conn);
}
