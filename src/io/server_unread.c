/* Server, unread responses: bounds what is held for callers that read slowly.
   See server_conn.h. */
#include "server_conn.h"

#include "../log.h"
#include "../metrics.h"
#include "loop.h"

#include <event2/buffer.h>

static void on_change(struct evbuffer *out,
                      const struct evbuffer_cb_info *change, void *context);
static void advance(ServerConn *conn);
static void set_paused(ServerConn *conn, bool is_paused);
static void give_up(ServerConn *conn, const char *cause);
static ServerConn *find_largest(const Server *server);

void
ServerConn_WatchUnread(ServerConn *conn)
{
    evbuffer_add_cb(bufferevent_get_output(conn->bev), on_change, conn);
}

void
ServerConn_ForgetUnread(ServerConn *conn)
{
    struct evbuffer *out = bufferevent_get_output(conn->bev);
    UnreadSum *sum = conn->server->options.unread;

    if (evbuffer_remove_cb(out, on_change, conn) == 0 && sum != NULL) {
        sum->bytes -= evbuffer_get_length(out);
    }
}

void
ServerConn_CheckUnread(ServerConn *conn)
{
    const UnreadSum *sum = conn->server->options.unread;

    advance(conn);
    if (sum != NULL && Unread_IsFull(sum)) {
        ServerConn *largest = find_largest(conn->server);
        if (largest != NULL) {
            give_up(largest, "all responses together");
        }
    }
}

void
ServerConn_ContinueUnread(ServerConn *conn)
{
    int64_t left_us;

    if (!conn->is_paused) {
        return;
    }
    advance(conn);
    if (conn->is_paused && !conn->is_given_up) {
        /* The loop's timers may run a little early. */
        left_us = conn->paused_since_us + UNREAD_PAUSE_MAX_US -
                  Clk_Now(conn->server->options.clk);
        Loop_ArmTimerUs(conn->timer, MAX(left_us, CLK_US_PER_MS));
    }
}

void
ServerConn_EndUnread(ServerConn *conn)
{
    conn->is_paused = false;
    bufferevent_setwatermark(conn->bev, EV_WRITE, 0, 0);
}

/* libevent callback: the output buffer has changed. */
static void
on_change(struct evbuffer *out, const struct evbuffer_cb_info *change,
          void *context)
{
    const ServerConn *conn = context;
    UnreadSum *sum = conn->server->options.unread;

    (void)out;
    if (sum != NULL) {
        sum->bytes += change->n_added;
        sum->bytes -= change->n_deleted;
    }
}

static void
advance(ServerConn *conn)
{
    int64_t now_us = Clk_Now(conn->server->options.clk);
    UnreadState state = {
        .bytes = evbuffer_get_length(bufferevent_get_output(conn->bev)),
        .is_paused = conn->is_paused,
        .paused_us = conn->is_paused ? now_us - conn->paused_since_us : 0,
    };

    switch (Unread_Decide(&state)) {
    case UNREAD_PAUSE:
        set_paused(conn, true);
        break;
    case UNREAD_RESUME:
        set_paused(conn, false);
        break;
    case UNREAD_GIVE_UP:
        give_up(conn,
                state.bytes > UNREAD_MAX_BYTES ? "this response" : "time");
        break;
    case UNREAD_KEEP:
        break;
    }
}

static void
set_paused(ServerConn *conn, bool is_paused)
{
    const ServerOptions *options = &conn->server->options;

    conn->is_paused = is_paused;
    conn->paused_since_us = Clk_Now(options->clk);
    /* on_write() is called once less than this is unsent. */
    bufferevent_setwatermark(conn->bev, EV_WRITE,
                             is_paused ? UNREAD_RESUME_BYTES - 1 : 0, 0);
    if (is_paused) {
        Met_Add(MET_RESPONSES_HELD_UP, 1);
        Loop_ArmTimerUs(conn->timer, UNREAD_PAUSE_MAX_US);
    }
    else {
        evtimer_del(conn->timer);
    }
    if (options->on_unread != NULL) {
        options->on_unread(&conn->exchange, is_paused);
    }
}

/* Closes the connection from the event loop, with on_disconnect(). */
static void
give_up(ServerConn *conn, const char *cause)
{
    const UnreadSum *sum = conn->server->options.unread;
    int64_t now_us = Clk_Now(conn->server->options.clk);
    size_t bytes = evbuffer_get_length(bufferevent_get_output(conn->bev));

    if (conn->is_given_up) {
        return;
    }
    conn->is_given_up = true;
    Met_Add(MET_RESPONSES_GIVEN_UP, 1);
    Log_WriteJson(
        LOG_LEVEL_INFO, "response_given_up",
        json_pack("{s:s,s:I,s:I,s:I,s:I}", "bound", cause, "unread_bytes",
                  (json_int_t)bytes, "sum_bytes",
                  (json_int_t)(sum != NULL ? sum->bytes : 0), "sum_max",
                  (json_int_t)(sum != NULL ? sum->max : 0), "paused_us",
                  (json_int_t)(conn->is_paused ? now_us - conn->paused_since_us
                                               : 0)));
    /* Its memory is free soon, so that no other response is given up for it.
     */
    ServerConn_ForgetUnread(conn);
    bufferevent_trigger_event(conn->bev, BEV_EVENT_ERROR,
                              BEV_OPT_DEFER_CALLBACKS);
}

/* Returns the stream with the most unread bytes, or if there is none the
   connection with the most. */
static ServerConn *
find_largest(const Server *server)
{
    ServerConn *conn = NULL;
    ServerConn *largest = NULL;
    size_t most = 0;
    bool is_stream = false;

    LIST_FOREACH(conn, &server->conns, links)
    {
        size_t bytes = evbuffer_get_length(bufferevent_get_output(conn->bev));
        if (conn->is_given_up || bytes == 0 || conn->streaming < is_stream ||
            (conn->streaming == is_stream && bytes <= most)) {
            continue;
        }
        largest = conn;
        most = bytes;
        is_stream = conn->streaming;
    }
    return largest;
}
