/* Server, reading of requests: see server_conn.h. */
#include "server_conn.h"

#include <event2/buffer.h>
#include <string.h>

static int parse_begin(http_parser *parser);
static int parse_target(http_parser *parser, const char *at, size_t size);
static int parse_name(http_parser *parser, const char *at, size_t size);
static int parse_value(http_parser *parser, const char *at, size_t size);
static int parse_header_end(http_parser *parser);
static int parse_body(http_parser *parser, const char *at, size_t size);
static int parse_chunk(http_parser *parser);
static int parse_end(http_parser *parser);

static const http_parser_settings parser_settings = {
    .on_message_begin = parse_begin,
    .on_url = parse_target,
    .on_header_field = parse_name,
    .on_header_value = parse_value,
    .on_headers_complete = parse_header_end,
    .on_body = parse_body,
    .on_chunk_header = parse_chunk,
    .on_message_complete = parse_end,
};

void
ServerConn_InitParser(ServerConn *conn)
{
    http_parser_init(&conn->parser, HTTP_REQUEST);
    conn->parser.data = conn;
    HeadCheck_Begin(&conn->check, HEAD_CHECK_REQUEST);
}

void
ServerConn_ResumeParser(ServerConn *conn)
{
    http_parser_pause(&conn->parser, 0);
    HeadCheck_Begin(&conn->check, HEAD_CHECK_REQUEST);
}

size_t
ServerConn_Parse(ServerConn *conn, const char *data, size_t size)
{
    bool in_head = !HeadCheck_IsOver(&conn->check);
    size_t used = size;
    bool is_over;
    size_t parsed;
    bool is_malformed;

    if (in_head && !HeadCheck_Read(&conn->check, data, size, &used)) {
        conn->error_status = 400;
        return 0;
    }
    is_over = HeadCheck_IsOver(&conn->check);
    conn->head_ended = false;
    parsed = http_parser_execute(&conn->parser, &parser_settings, data, used);
    if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_PAUSED && !conn->complete) {
        http_parser_pause(&conn->parser, 0);
    }
    /* Both must see the same end of a head. */
    is_malformed =
        (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK && !conn->complete) ||
        (in_head && is_over != conn->head_ended);
    if (is_malformed && conn->error_status == 0) {
        conn->error_status = 400;
    }
    return parsed;
}

static int
parse_begin(http_parser *parser)
{
    ServerConn *conn = parser->data;

    Header_ResetReader(&conn->reader);
    return 0;
}

static int
parse_target(http_parser *parser, const char *at, size_t size)
{
    ServerConn *conn = parser->data;

    g_string_append_len(conn->target, at, (gssize)size);
    return 0;
}

static int
parse_name(http_parser *parser, const char *at, size_t size)
{
    ServerConn *conn = parser->data;

    if (conn->has_header) {
        return 0; /* Trailers are ignored. */
    }
    Header_ReadName(&conn->reader, conn->exchange.headers, at, size);
    return 0;
}

static int
parse_value(http_parser *parser, const char *at, size_t size)
{
    ServerConn *conn = parser->data;

    if (conn->has_header) {
        return 0;
    }
    Header_ReadValue(&conn->reader, at, size);
    return 0;
}

static int
parse_header_end(http_parser *parser)
{
    ServerConn *conn = parser->data;
    HeaderList *headers = conn->exchange.headers;

    Header_EndField(&conn->reader, conn->exchange.headers);
    conn->head_ended = true;
    conn->has_header = true;
    conn->header_us = Clk_Now(conn->server->options.clk);
    conn->keep_alive = http_should_keep_alive(parser) != 0;
    g_strlcpy(conn->method, http_method_str(parser->method),
              sizeof(conn->method));
    conn->exchange.method = conn->method;
    conn->exchange.target = conn->target->str;
    parser->upgrade = 0; /* The server supports no other protocol. */
    if (parser->content_length != UINT64_MAX &&
        parser->content_length > conn->server->options.limits.body_bytes) {
        conn->error_status = 413;
        return -1;
    }
    if (Header_HasToken(headers, "Expect", "100-continue")) {
        evbuffer_add_printf(bufferevent_get_output(conn->bev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return 0;
}

static int
parse_body(http_parser *parser, const char *at, size_t size)
{
    ServerConn *conn = parser->data;

    if (conn->exchange.body->len + size >
        conn->server->options.limits.body_bytes) {
        conn->error_status = 413;
        return -1;
    }
    if (conn->server->body_bytes + size > SERVER_BODIES_MAX_BYTES) {
        conn->error_status = 503;
        return -1;
    }
    g_byte_array_append(conn->exchange.body, (const guint8 *)at, (guint)size);
    conn->server->body_bytes += size;
    return 0;
}

/* Pauses where trailers begin, since these are checked, too. */
static int
parse_chunk(http_parser *parser)
{
    ServerConn *conn = parser->data;

    if (parser->content_length == 0) {
        HeadCheck_Begin(&conn->check, HEAD_CHECK_TRAILER);
        http_parser_pause(parser, 1);
    }
    return 0;
}

static int
parse_end(http_parser *parser)
{
    ServerConn *conn = parser->data;

    conn->head_ended = true;
    conn->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}
