#include "server_conn.h"

#include "../log.h"
#include "arrival.h"
#include "loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define SERVER_BACKLOG 1024
/* Reading from a connection pauses while this many bytes are unparsed. */
#define SERVER_READ_MAX_BYTES (256 * 1024)
/* Bytes in a socket that are not on their way yet. Without this bound the
   system's buffer takes megabytes for a caller that reads nothing, which count
   toward the VM's memory, too. */
#define SERVER_NOT_SENT_MAX_BYTES (32 * 1024)
/* Idle time before the first TCP keep-alive probe. */
#define SERVER_KEEPALIVE_IDLE_S 5

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
                      struct sockaddr *address, int size, void *context);
static void accept_backlog(Server *server);
static bool has_unread_data(const ServerConn *conn);
static bool is_idle(const ServerConn *conn);
static uint32_t get_first_wait(const ServerConn *conn);
static size_t count_unsent(const ServerConn *conn);
static void on_read(struct bufferevent *bev, void *context);
static void on_write(struct bufferevent *bev, void *context);
static void on_event(struct bufferevent *bev, short what, void *context);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void begin_request(ServerConn *conn);
static void note_arrival(ServerConn *conn);
static void parse_input(ServerConn *conn);
static void arm_wait_timer(ServerConn *conn, uint32_t ms);
static void arm_body_timer(const ServerConn *conn);
static void drop_body(ServerConn *conn);
static void reject(ServerConn *conn, int status);
static void begin_refusal(ServerConn *conn, int status);
static void begin_linger(ServerConn *conn);

ServerOptions
Server_DefaultOptions(void)
{
    ServerOptions options = {
        .ip = "127.0.0.1",
        .limits = {.header_bytes = 16384,
                   .body_bytes = 4 * 1024 * 1024,
                   .header_ms = 3000,
                   .idle_ms = 15000},
    };
    return options;
}

Server *
Server_New(const ServerOptions *options, LsError *err)
{
    Server *server = g_new0(Server, 1);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(options->port)};
    socklen_t size = sizeof(address);

    server->options = *options;
    LIST_INIT(&server->conns);
    if (inet_pton(AF_INET, options->ip, &address.sin_addr) == 1) {
        server->listener = evconnlistener_new_bind(
            options->base, on_accept, server,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, SERVER_BACKLOG,
            (struct sockaddr *)&address, sizeof(address));
    }
    if (server->listener == NULL) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN, "can't listen on %s:%u",
                options->ip, options->port);
        g_free(server);
        return NULL;
    }
    getsockname(evconnlistener_get_fd(server->listener),
                (struct sockaddr *)&address, &size);
    server->port = ntohs(address.sin_port);
    return server;
}

void
Server_Free(Server *server)
{
    if (server == NULL) {
        return;
    }
    while (!LIST_EMPTY(&server->conns)) {
        ServerConn_Close(LIST_FIRST(&server->conns));
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    g_free(server);
}

uint16_t
Server_GetPort(const Server *server)
{
    return server->port;
}

size_t
Server_GetBodyBytes(const Server *server)
{
    return server->body_bytes;
}

void
Server_SetLimits(Server *server, const ServerLimits *limits)
{
    server->options.limits = *limits;
}

void
Server_BeginShutdown(Server *server)
{
    server->shutting_down = true;
}

void
Server_StopListening(Server *server)
{
    if (server->listener != NULL) {
        accept_backlog(server);
        evconnlistener_free(server->listener);
        server->listener = NULL;
    }
}

void
Server_CloseIdle(Server *server)
{
    ServerConn *conn;

    Server_StopListening(server);
    server->closes_idle = true;
    conn = LIST_FIRST(&server->conns);
    while (conn != NULL) {
        ServerConn *next = LIST_NEXT(conn, links);
        /* on_write() does this later for those with unsent bytes. */
        if (is_idle(conn) && get_first_wait(conn) > 0) {
            arm_wait_timer(conn, get_first_wait(conn));
        }
        else if (is_idle(conn) &&
                 evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0) {
            ServerConn_Close(conn);
        }
        conn = next;
    }
}

void
Server_RefuseUnread(Server *server, int status, const HeaderList *headers,
                    const void *body, size_t size)
{
    ServerConn *conn = LIST_FIRST(&server->conns);

    while (conn != NULL) {
        ServerConn *next = LIST_NEXT(conn, links);
        if (conn->reading) {
            begin_refusal(conn, status);
            Server_SendResponse(&conn->exchange, status, headers, body, size);
        }
        conn = next;
    }
}

guint
Server_CountOpen(const Server *server)
{
    const ServerConn *conn;
    guint count = 0;

    LIST_FOREACH(conn, &server->conns, links)
    {
        count++;
    }
    return count;
}

guint
Server_CountPending(const Server *server)
{
    const ServerConn *conn;
    guint count = server->exchanges;

    for (conn = LIST_FIRST(&server->conns); conn != NULL;
         conn = LIST_NEXT(conn, links)) {
        /* A response is lost if its connection is reset by a further request
           before it has arrived. */
        bool is_awaited = server->listener == NULL && !conn->lingering &&
                          (!is_idle(conn) || get_first_wait(conn) > 0);
        count += !conn->in_exchange && (count_unsent(conn) > 0 || is_awaited);
    }
    return count;
}

bool
ServerConn_IsClosing(const ServerConn *conn)
{
    return !conn->keep_alive ||
           (conn->server->shutting_down && !has_unread_data(conn));
}

void
ServerConn_SetResetOnClose(const ServerConn *conn, bool reset)
{
    struct linger linger = {.l_onoff = reset, .l_linger = 0};

    setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &linger,
               sizeof(linger));
}

void
ServerConn_FinishExchange(ServerConn *conn)
{
    drop_body(conn);
    ServerConn_EndUnread(conn);
    conn->is_used = true;
    conn->in_exchange = false;
    conn->server->exchanges--;
    if (ServerConn_IsClosing(conn)) {
        conn->keep_alive = false;
        conn->lingering = true;
        arm_wait_timer(conn, conn->server->options.limits.idle_ms);
        if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0) {
            /* If bytes are still unsent, on_write() does this later. */
            begin_linger(conn);
        }
        return;
    }
    ServerConn_ResumeParser(conn);
    begin_request(conn);
    if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0) {
        /* The next request is parsed from the event loop, since the handler
           of this one may still be on the stack. */
        bufferevent_trigger(conn->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
    }
}

void
ServerConn_Close(ServerConn *conn)
{
    LIST_REMOVE(conn, links);
    conn->server->body_bytes -= conn->exchange.body->len;
    ServerConn_ForgetUnread(conn);
    bufferevent_free(conn->bev);
    event_free(conn->timer);
    Header_Free(conn->exchange.headers);
    g_byte_array_free(conn->exchange.body, TRUE);
    g_string_free(conn->target, TRUE);
    Header_ClearReader(&conn->reader);
    g_free(conn);
}

/* Accepts the connections that callers have opened already. */
static void
accept_backlog(Server *server)
{
    evutil_socket_t listener_fd = evconnlistener_get_fd(server->listener);
    struct sockaddr_in caller = {0};
    socklen_t size = sizeof(caller);
    int fd;

    while ((fd = accept4(listener_fd, (struct sockaddr *)&caller, &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        on_accept(server->listener, fd, (struct sockaddr *)&caller, (int)size,
                  server);
        size = sizeof(caller);
    }
}

/* Whether the caller has sent bytes that were not read yet: closing the
   connection would reset it. */
static bool
has_unread_data(const ServerConn *conn)
{
    char byte;

    return evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0 ||
           recv(bufferevent_getfd(conn->bev), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Whether the connection has no request, not even an unread one. Bytes of the
   last response may be unsent. */
static bool
is_idle(const ServerConn *conn)
{
    return !conn->in_exchange && !conn->reading && !conn->lingering &&
           !has_unread_data(conn);
}

/* Returns the time, in ms, that an idle connection is kept for its first
   request. */
static uint32_t
get_first_wait(const ServerConn *conn)
{
    int64_t age_ms =
        (Clk_Now(conn->server->options.clk) - conn->opened_us) / CLK_US_PER_MS;

    return conn->is_used || age_ms >= SERVER_FIRST_REQUEST_MS
               ? 0
               : (uint32_t)(SERVER_FIRST_REQUEST_MS - age_ms);
}

/* Returns the bytes of responses that the caller's host has not acknowledged.
   Without those in the socket, the progress of a slow reader would show only
   in steps of a third of the socket's buffer. */
static size_t
count_unsent(const ServerConn *conn)
{
    int queued = 0;

    if (ioctl(bufferevent_getfd(conn->bev), TIOCOUTQ, &queued) != 0) {
        queued = 0; /* A broken connection is reported by on_event(). */
    }
    return evbuffer_get_length(bufferevent_get_output(conn->bev)) +
           (size_t)queued;
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int size, void *context)
{
    Server *server = context;
    ServerConn *conn = g_new0(ServerConn, 1);
    int on = 1;
    int idle_s = SERVER_KEEPALIVE_IDLE_S;
    int not_sent = SERVER_NOT_SENT_MAX_BYTES;

    (void)listener;
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &not_sent,
               sizeof(not_sent));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    conn->server = server;
    conn->opened_us = Clk_Now(server->options.clk);
    conn->target = g_string_new(NULL);
    Header_InitReader(&conn->reader);
    conn->exchange.conn = conn;
    if (address->sa_family == AF_INET &&
        size >= (int)sizeof(struct sockaddr_in)) {
        conn->exchange.caller =
            ntohl(((struct sockaddr_in *)address)->sin_addr.s_addr);
    }
    conn->exchange.body = g_byte_array_new();
    ServerConn_InitParser(conn);
    conn->timer = evtimer_new(server->options.base, on_timer, conn);
    conn->bev = bufferevent_socket_new(server->options.base, fd,
                                       BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
    bufferevent_setwatermark(conn->bev, EV_READ, 0, SERVER_READ_MAX_BYTES);
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    ServerConn_WatchUnread(conn);
    LIST_INSERT_HEAD(&server->conns, conn, links);
    begin_request(conn);
}

static void
on_read(struct bufferevent *bev, void *context)
{
    ServerConn *conn = context;

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
    ServerConn *conn = context;

    (void)bev;
    ServerConn_ContinueUnread(conn);
    /* libevent calls this also once when the connection is accepted, before
       any response. */
    if (conn->lingering || (conn->server->closes_idle && is_idle(conn) &&
                            get_first_wait(conn) == 0)) {
        begin_linger(conn);
    }
    else if (!conn->in_exchange && !conn->reading) {
        /* The idle time begins when the response was sent. */
        arm_wait_timer(conn, conn->wait_ms);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    ServerConn *conn = context;

    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if (conn->in_exchange) {
        conn->in_exchange = false;
        conn->server->exchanges--;
        conn->server->options.on_disconnect(conn->server->options.context,
                                            &conn->exchange);
    }
    ServerConn_Close(conn);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    ServerConn *conn = context;
    size_t unsent;

    (void)fd;
    (void)what;
    if (conn->reading) {
        reject(conn, 408);
        return;
    }
    if (conn->in_exchange) {
        ServerConn_ContinueUnread(conn);
        return;
    }
    unsent = count_unsent(conn);
    if (unsent > 0 && unsent < conn->unsent) {
        /* A caller that reads slowly is not idle. */
        arm_wait_timer(conn, conn->wait_ms);
        return;
    }
    ServerConn_Close(conn);
}

/* Prepares the connection for its next request. */
static void
begin_request(ServerConn *conn)
{
    Header_Free(conn->exchange.headers);
    conn->exchange.headers = Header_New();
    drop_body(conn);
    conn->exchange.owner = NULL;
    g_string_truncate(conn->target, 0);
    conn->reading = false;
    conn->has_header = false;
    conn->complete = false;
    conn->streaming = false;
    conn->header_size = 0;
    conn->error_status = 0;
    conn->keep_alive = true;
    arm_wait_timer(conn, conn->server->options.limits.idle_ms +
                             SERVER_IDLE_SLACK_MS);
}

/* Notes when the first bytes of a request came. */
static void
note_arrival(ServerConn *conn)
{
    int64_t now_us = Clk_Now(conn->server->options.clk);
    int64_t wait_us = Arrival_GetWait(bufferevent_getfd(conn->bev));

    conn->exchange.received_us = now_us - wait_us;
    if (wait_us > 0) {
        Log_WriteJson(LOG_LEVEL_INFO, "request_read_late",
                      json_pack("{s:I}", "wait_us", (json_int_t)wait_us));
    }
}

/* Parses the received bytes up to the end of one request. */
static void
parse_input(ServerConn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);
    const ServerLimits *limits = &conn->server->options.limits;

    while (!conn->in_exchange && !conn->lingering &&
           evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec piece;
        size_t parsed;

        evbuffer_peek(in, -1, NULL, &piece, 1);
        if (!conn->reading) {
            conn->reading = true;
            note_arrival(conn);
            Loop_ArmTimer(conn->timer, limits->header_ms);
        }
        parsed = ServerConn_Parse(conn, piece.iov_base, piece.iov_len);
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
        if (conn->complete) {
            evbuffer_drain(in, parsed);
            conn->reading = false;
            conn->in_exchange = true;
            conn->server->exchanges++;
            evtimer_del(conn->timer);
            conn->server->options.on_request(conn->server->options.context,
                                             &conn->exchange);
            return;
        }
        evbuffer_drain(in, parsed);
        if (conn->has_header) {
            arm_body_timer(conn);
        }
    }
}

/* Sets the time-out of a connection that waits for a request, or for its
   caller to read the response or to close. */
static void
arm_wait_timer(ServerConn *conn, uint32_t ms)
{
    conn->wait_ms = ms;
    conn->unsent = count_unsent(conn);
    Loop_ArmTimer(conn->timer, ms);
}

/* Sets the time by which the next part of a body must come. */
static void
arm_body_timer(const ServerConn *conn)
{
    int64_t idle_us =
        (int64_t)conn->server->options.limits.idle_ms * CLK_US_PER_MS;
    int64_t end_us = conn->header_us + idle_us +
                     (int64_t)conn->exchange.body->len * CLK_US_PER_S /
                         SERVER_BODY_RATE_MIN;
    int64_t left_us = end_us - Clk_Now(conn->server->options.clk);

    Loop_ArmTimerUs(conn->timer, CLAMP(left_us, 0, idle_us));
}

/* Drops the body of a request, with its memory. */
static void
drop_body(ServerConn *conn)
{
    conn->server->body_bytes -= conn->exchange.body->len;
    g_byte_array_free(conn->exchange.body, TRUE);
    conn->exchange.body = g_byte_array_new();
}

/* Responds with an error to a request that is malformed, too large or too
   slow, and closes the connection. */
static void
reject(ServerConn *conn, int status)
{
    begin_refusal(conn, status);
    Server_SendResponse(&conn->exchange, status, NULL, "", 0);
}

/* Prepares the response to a request that was not read to its end. */
static void
begin_refusal(ServerConn *conn, int status)
{
    Log_WriteJson(LOG_LEVEL_INFO, "request_unreadable",
                  json_pack("{s:i,s:s,s:i}", "status", status, "parser",
                            http_errno_name(HTTP_PARSER_ERRNO(&conn->parser)),
                            "header_bytes", (int)conn->header_size));
    conn->keep_alive = false;
    conn->reading = false;
    conn->in_exchange = true;
    conn->server->exchanges++;
    conn->parser.http_major = 1;
    conn->parser.http_minor = 1;
}

/* Closes only the sending half and waits for the caller to close. A close with
   unread bytes would reset the connection before the caller has read the
   response. */
static void
begin_linger(ServerConn *conn)
{
    struct evbuffer *in = bufferevent_get_input(conn->bev);

    conn->lingering = true;
    evbuffer_drain(in, evbuffer_get_length(in));
    ServerConn_SetResetOnClose(conn, false);
    shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
    arm_wait_timer(conn, SERVER_LINGER_MS);
}
