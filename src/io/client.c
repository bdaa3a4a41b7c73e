#include "client_conn.h"
#include "client_socket.h"
#include "loop.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <string.h>
#include <sys/ioctl.h>

/* Addresses whose lost connections are noted. */
#define CLIENT_LOST_MAX 1024

static ClientConn *find_idle(Client *client, const ClientCallOptions *options);
static bool is_better(const ClientConn *conn, const ClientConn *other,
                      const ClientCallOptions *options);
static ClientConn *open_conn(Client *client, const char *address);
static void free_call(ClientCall *call);
static void on_send(evutil_socket_t fd, short what, void *context);
static bool has_sent(const ClientConn *conn);
static void on_read(struct bufferevent *bev, void *context);
static bool is_overhead_excessive(const ClientConn *conn);
static void on_event(struct bufferevent *bev, short what, void *context);
static void note_lost(const ClientConn *conn);
static void on_timer(evutil_socket_t fd, short what, void *context);
static void end_call(ClientConn *conn, ClientOutcome outcome);
static void make_idle(ClientConn *conn);
static void close_conn(ClientConn *conn);

Client *
Client_New(struct event_base *base, const Clk *clk)
{
    Client *client = g_new0(Client, 1);

    client->base = base;
    client->clk = clk;
    LIST_INIT(&client->conns);
    client->lost =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return client;
}

void
Client_Free(Client *client)
{
    if (client == NULL) {
        return;
    }
    while (!LIST_EMPTY(&client->conns)) {
        close_conn(LIST_FIRST(&client->conns));
    }
    g_hash_table_destroy(client->lost);
    g_free(client);
}

void
Client_SetObserver(Client *client, void *context,
                   void (*on_response)(void *context, const char *address,
                                       int status, const HeaderList *headers))
{
    client->observer = context;
    client->on_response = on_response;
}

ClientCall *
Client_BeginCall(Client *client, const ClientCallOptions *options)
{
    ClientCall *call = g_new0(ClientCall, 1);
    ClientConn *conn =
        options->connect_only ? NULL : find_idle(client, options);

    call->options = *options;
    call->request = ClientRequest_New(options);
    if (conn != NULL) {
        evtimer_del(conn->timer);
    }
    else {
        conn = open_conn(client, options->address);
        Loop_ArmTimer(conn->timer, options->connect_ms != 0
                                       ? options->connect_ms
                                       : CLIENT_CONNECT_TIMEOUT_MS);
    }
    conn->call = call;
    conn->calls++;
    conn->complete = false;
    conn->rejected = false;
    conn->body_size = 0;
    conn->received_size = 0;
    conn->head_request = strcmp(options->method, "HEAD") == 0;
    call->conn = conn;
    if (conn->connected) {
        /* Not at once: the connection's end may be known to the loop. */
        event_active(conn->sender, EV_WRITE, 0);
    }
    return call;
}

bool
Client_HasIdle(Client *client, const ClientCallOptions *options)
{
    return find_idle(client, options) != NULL;
}

bool
Client_HasOlder(const Client *client, const char *address, uint64_t number_max)
{
    const ClientConn *conn = NULL;
    bool has_older = false;

    LIST_FOREACH(conn, &client->conns, links)
    {
        has_older |= conn->has_responded && conn->number <= number_max &&
                     strcmp(conn->address, address) == 0;
    }
    return has_older;
}

void
Client_EndCall(ClientCall *call)
{
    ClientConn *conn = call->conn;

    conn->call = NULL;
    free_call(call);
    if (conn->parsing) {
        conn->close_pending = true;
        return;
    }
    close_conn(conn);
}

ClientFraming
Client_GetFraming(const ClientCall *call)
{
    const http_parser *parser = &call->conn->parser;

    if (call->conn->head_request || parser->status_code == 204 ||
        parser->status_code == 304) {
        return CLIENT_FRAMING_NONE;
    }
    if ((parser->flags & F_CHUNKED) != 0) {
        return CLIENT_FRAMING_CHUNKS;
    }
    return (parser->flags & F_CONTENTLENGTH) != 0 ? CLIENT_FRAMING_LENGTH
                                                  : CLIENT_FRAMING_CLOSE;
}

uint64_t
Client_GetNumber(const ClientCall *call)
{
    return call->conn->number;
}

int64_t
Client_GetLostTime(const Client *client, const char *address)
{
    const int64_t *time_us = g_hash_table_lookup(client->lost, address);

    return time_us != NULL ? *time_us : INT64_MIN;
}

uint64_t
Client_GetLastNumber(const Client *client)
{
    return client->last_number;
}

bool
Client_IsReused(const ClientCall *call)
{
    return call->conn->calls > 1;
}

uint32_t
Client_CountRefusals(const ClientCall *call)
{
    return call->conn->refusals.total;
}

bool
Client_IsDelivered(const ClientCall *call)
{
    struct bufferevent *bev = call->conn->bev;
    int unacked = 0;

    return call->conn->connected && has_sent(call->conn) &&
           ioctl(bufferevent_getfd(bev), TIOCOUTQ, &unacked) == 0 &&
           unacked == 0;
}

void
Client_SetReading(ClientCall *call, bool is_reading)
{
    if (is_reading) {
        bufferevent_enable(call->conn->bev, EV_READ);
    }
    else {
        bufferevent_disable(call->conn->bev, EV_READ);
    }
}

void
Client_RejectBody(ClientCall *call)
{
    call->conn->rejected = true;
}

void
Client_CloseIdle(Client *client, const char *address)
{
    ClientConn *next;

    for (ClientConn *conn = LIST_FIRST(&client->conns); conn != NULL;
         conn = next) {
        next = LIST_NEXT(conn, links);
        if (conn->call == NULL && !conn->parsing &&
            strcmp(conn->address, address) == 0) {
            close_conn(conn);
        }
    }
}

/* Returns the idle connection that was used last, so that the others reach
   their idle time-out, or NULL. */
static ClientConn *
find_idle(Client *client, const ClientCallOptions *options)
{
    int64_t now_us = Clk_Now(client->clk);
    ClientConn *best = NULL;
    ClientConn *conn = NULL;
    uint32_t count = 0;

    LIST_FOREACH(conn, &client->conns, links)
    {
        int64_t idle_ms = (now_us - conn->idle_since_us) / CLK_US_PER_MS;
        if (conn->call != NULL || conn->parsing || !conn->connected ||
            idle_ms >= conn->idle_ms ||
            strcmp(conn->address, options->address) != 0) {
            continue;
        }
        count += conn->has_responded;
        if (idle_ms >= options->idle_max_ms ||
            (options->label != 0 && conn->label != options->label) ||
            (options->number_max != 0 &&
             (conn->number > options->number_max || !conn->has_responded)) ||
            ClientRefusals_HasName(&conn->refusals, options->name)) {
            continue;
        }
        if (best == NULL || is_better(conn, best, options)) {
            best = conn;
        }
    }
    return best != NULL && options->keeps_one && count == best->has_responded
               ? NULL
               : best;
}

/* Whether an idle connection is to be used rather than another one. */
static bool
is_better(const ClientConn *conn, const ClientConn *other,
          const ClientCallOptions *options)
{
    if (options->number_max != 0 &&
        conn->refusals.total != other->refusals.total) {
        return conn->refusals.total < other->refusals.total;
    }
    return conn->idle_since_us > other->idle_since_us;
}

static ClientConn *
open_conn(Client *client, const char *address)
{
    ClientConn *conn = g_new0(ClientConn, 1);
    struct sockaddr_in to = ClientSocket_ReadAddress(address);
    int fd = ClientSocket_Open();

    conn->client = client;
    g_strlcpy(conn->address, address, sizeof(conn->address));
    conn->headers = Header_New();
    Header_InitReader(&conn->reader);
    ClientConn_InitParser(conn);
    conn->timer = evtimer_new(client->base, on_timer, conn);
    conn->sender = event_new(client->base, -1, 0, on_send, conn);
    /* Callbacks are deferred, since a connect that fails at once must not call
       back from within Client_BeginCall(). */
    conn->bev = bufferevent_socket_new(
        client->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
    bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    LIST_INSERT_HEAD(&client->conns, conn, links);
    if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&to,
                                   sizeof(to)) != 0) {
        bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                                  BEV_OPT_DEFER_CALLBACKS);
    }
    return conn;
}

static void
free_call(ClientCall *call)
{
    ClientRequest_Clear(&call->request);
    g_free(call);
}

static void
on_send(evutil_socket_t fd, short what, void *context)
{
    ClientConn *conn = context;
    ClientCall *call = conn->call;
    struct evbuffer *bytes = call->request.head;

    (void)fd;
    (void)what;
    call->size = ClientRequest_Complete(&call->request, &call->options,
                                        Clk_Now(conn->client->clk));
    /* The bufferevent would write in the loop's next turn. It writes what is
       not taken now, and reports errors. */
    evbuffer_write(bytes, bufferevent_getfd(conn->bev));
    evbuffer_add_buffer(bufferevent_get_output(conn->bev), bytes);
}

/* Whether all bytes of the call have been written. */
static bool
has_sent(const ClientConn *conn)
{
    return (conn->call->size > 0 || conn->call->options.connect_only) &&
           evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0;
}

static void
on_read(struct bufferevent *bev, void *context)
{
    ClientConn *conn = context;
    struct evbuffer *in = bufferevent_get_input(bev);

    while (evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec piece;
        size_t parsed;

        if (conn->call == NULL) {
            /* No response is expected, so these bytes belong to no call. */
            close_conn(conn);
            return;
        }
        evbuffer_peek(in, -1, NULL, &piece, 1);
        conn->parsing = true;
        parsed = ClientConn_Parse(conn, piece.iov_base, piece.iov_len);
        conn->parsing = false;
        if (conn->close_pending) {
            close_conn(conn);
            return;
        }
        evbuffer_drain(in, parsed);
        conn->received_size += parsed;
        if (conn->complete) {
            end_call(conn, CLIENT_COMPLETE);
            return;
        }
        if (conn->malformed || conn->rejected || is_overhead_excessive(conn)) {
            end_call(conn, CLIENT_MALFORMED);
            return;
        }
    }
}

/* Whether the bytes that are no part of the body show that no response will
   come. */
static bool
is_overhead_excessive(const ClientConn *conn)
{
    return conn->received_size - conn->body_size >
           CLIENT_OVERHEAD_MAX_BYTES +
               CLIENT_OVERHEAD_PER_BODY_BYTE * conn->body_size;
}

static void
on_event(struct bufferevent *bev, short what, void *context)
{
    ClientConn *conn = context;
    bool unsent;

    if ((what & BEV_EVENT_CONNECTED) != 0) {
        conn->connected = true;
        conn->number = ++conn->client->last_number;
        evtimer_del(conn->timer);
        if (conn->call != NULL && conn->call->options.connect_only) {
            Loop_ArmTimer(conn->timer, CLIENT_LINGER_MS);
        }
        else if (conn->call != NULL) {
            on_send(-1, EV_WRITE, conn);
        }
        return;
    }
    if (conn->call == NULL) {
        note_lost(conn);
        close_conn(conn);
        return;
    }
    if (!conn->connected) {
        bool refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
        end_call(conn, refused || !conn->call->options.connect_only
                           ? CLIENT_NOT_SENT
                           : CLIENT_INTERRUPTED);
        return;
    }
    if (conn->call->options.connect_only) {
        end_call(conn, CLIENT_NOT_SENT);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        conn->parsing = true;
        ClientConn_ParseEnd(conn, (what & BEV_EVENT_ERROR) != 0);
        conn->parsing = false;
        if (conn->close_pending) {
            close_conn(conn);
            return;
        }
        if (conn->complete) {
            end_call(conn, CLIENT_COMPLETE);
            return;
        }
    }
    if (conn->has_responded) {
        note_lost(conn);
    }
    unsent =
        evbuffer_get_length(bufferevent_get_output(bev)) >= conn->call->size;
    end_call(conn, unsent ? CLIENT_NOT_SENT : CLIENT_INTERRUPTED);
}

static void
note_lost(const ClientConn *conn)
{
    GHashTable *lost = conn->client->lost;
    int64_t now_us = Clk_Now(conn->client->clk);

    if (g_hash_table_size(lost) >= CLIENT_LOST_MAX) {
        g_hash_table_remove_all(lost);
    }
    g_hash_table_insert(lost, g_strdup(conn->address),
                        g_memdup2(&now_us, sizeof(now_us)));
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    ClientConn *conn = context;

    (void)fd;
    (void)what;
    if (conn->call == NULL) {
        close_conn(conn);
        return;
    }
    if (!conn->connected) {
        end_call(conn, conn->call->options.connect_only ? CLIENT_INTERRUPTED
                                                        : CLIENT_NOT_SENT);
    }
    else if (conn->call->options.connect_only) {
        end_call(conn, CLIENT_COMPLETE);
    }
}

/* Keeps or closes the connection, then calls the owner's on_end(). */
static void
end_call(ClientConn *conn, ClientOutcome outcome)
{
    ClientCall *call = conn->call;
    ClientCallOptions options = call->options;
    bool sent_all = has_sent(conn);
    bool extra = evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0;

    conn->call = NULL;
    free_call(call);
    conn->has_responded |= outcome == CLIENT_COMPLETE && !options.connect_only;
    if (outcome == CLIENT_COMPLETE && options.get_label != NULL) {
        conn->label = options.get_label(options.context);
    }
    /* The answer to a question names no request, so that a copy of it is not
       taken for that of a run. */
    if (outcome == CLIENT_COMPLETE && sent_all && !extra &&
        (options.connect_only ||
         (http_should_keep_alive(&conn->parser) &&
          (options.get_label != NULL ||
           ClientRefusals_NoteEnd(&conn->refusals,
                                  (int)conn->parser.status_code,
                                  options.name))))) {
        make_idle(conn);
    }
    else {
        close_conn(conn);
    }
    if (options.on_end != NULL) {
        options.on_end(options.context, outcome);
    }
}

/* Keeps the connection for later calls, if nothing forbids it. */
static void
make_idle(ClientConn *conn)
{
    int64_t timeout_ms = Header_GetIdleTimeout(
        conn->headers, CLIENT_IDLE_MAX_MS + CLIENT_IDLE_MARGIN_MS);
    guint idle = 0;
    ClientConn *other = NULL;

    LIST_FOREACH(other, &conn->client->conns, links)
    {
        idle +=
            other->call == NULL && strcmp(other->address, conn->address) == 0;
    }
    conn->idle_ms = (uint32_t)CLAMP(timeout_ms - CLIENT_IDLE_MARGIN_MS, 0,
                                    CLIENT_IDLE_MAX_MS);
    if (conn->idle_ms == 0 || idle > CLIENT_IDLE_CONNS_MAX) {
        close_conn(conn);
        return;
    }
    conn->idle_since_us = Clk_Now(conn->client->clk);
    bufferevent_enable(conn->bev, EV_READ);
    ClientConn_InitParser(conn);
    Loop_ArmTimer(conn->timer, conn->idle_ms);
}

static void
close_conn(ClientConn *conn)
{
    if (conn->call != NULL) {
        free_call(conn->call);
    }
    LIST_REMOVE(conn, links);
    bufferevent_free(conn->bev);
    event_free(conn->timer);
    event_free(conn->sender);
    Header_Free(conn->headers);
    Header_ClearReader(&conn->reader);
    g_free(conn);
}
