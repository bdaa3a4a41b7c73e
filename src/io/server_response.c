/* Server, responses: writes complete and streamed responses. See server.h. */
#include "server_conn.h"

#include <event2/buffer.h>

static void write_head(ServerConn *conn, int status,
                       const HeaderList *headers);

void
Server_SendResponse(ServerExchange *exchange, int status,
                    const HeaderList *headers, const void *body, size_t size)
{
    ServerConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    write_head(conn, status, headers);
    evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", size);
    if (size > 0 && g_strcmp0(conn->method, "HEAD") != 0) {
        evbuffer_add(out, body, size);
    }
    ServerConn_FinishExchange(conn);
}

void
Server_SendUntilClose(ServerExchange *exchange, int status,
                      const HeaderList *headers, const void *body, size_t size)
{
    ServerConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    conn->keep_alive = false;
    ServerConn_SetResetOnClose(conn, true);
    write_head(conn, status, headers);
    evbuffer_add(out, "\r\n", 2);
    if (size > 0 && g_strcmp0(conn->method, "HEAD") != 0) {
        evbuffer_add(out, body, size);
    }
    ServerConn_FinishExchange(conn);
}

void
Server_BeginStream(ServerExchange *exchange, int status,
                   const HeaderList *headers)
{
    ServerConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    conn->chunked =
        conn->parser.http_major == 1 && conn->parser.http_minor == 1;
    conn->keep_alive = conn->keep_alive && conn->chunked;
    if (!conn->chunked) {
        /* The end of the connection is the end of the response, so that any
           other end, even that of the process, must be a reset. */
        ServerConn_SetResetOnClose(conn, true);
    }
    write_head(conn, status, headers);
    evbuffer_add_printf(
        out, conn->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    conn->streaming = true;
}

void
Server_SendData(ServerExchange *exchange, const void *data, size_t size)
{
    ServerConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    if (size == 0 || conn->is_given_up) {
        return;
    }
    if (conn->chunked) {
        evbuffer_add_printf(out, "%zx\r\n", size);
    }
    evbuffer_add(out, data, size);
    if (conn->chunked) {
        evbuffer_add(out, "\r\n", 2);
    }
    ServerConn_CheckUnread(conn);
}

void
Server_EndStream(ServerExchange *exchange)
{
    ServerConn *conn = exchange->conn;

    if (conn->is_given_up) {
        Server_AbortResponse(exchange);
        return;
    }
    if (conn->chunked) {
        evbuffer_add(bufferevent_get_output(conn->bev), "0\r\n\r\n", 5);
    }
    ServerConn_FinishExchange(conn);
}

void
Server_AbortResponse(ServerExchange *exchange)
{
    ServerConn *conn = exchange->conn;

    conn->keep_alive = false;
    if (!conn->chunked) {
        conn->in_exchange = false;
        conn->server->exchanges--;
        ServerConn_Close(conn);
        return;
    }
    ServerConn_FinishExchange(conn);
}

static void
write_head(ServerConn *conn, int status, const HeaderList *headers)
{
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        http_status_str((enum http_status)status));
    for (guint i = 0; headers != NULL && i < headers->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(headers->fields, HeaderField, i);
        evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
    }
    if (ServerConn_IsClosing(conn)) {
        /* Requests that arrive after this must not be processed. */
        conn->keep_alive = false;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
}
