/* HTTP client, reading of responses: see client_conn.h. */
#include "client_conn.h"

#include <sys/socket.h>

static bool proves_end(const ClientConn *conn);
static bool is_declined(const ClientConn *conn);
static int parse_begin(http_parser *parser);
static int parse_name(http_parser *parser, const char *at, size_t size);
static int parse_value(http_parser *parser, const char *at, size_t size);
static int parse_header_end(http_parser *parser);
static int parse_body(http_parser *parser, const char *at, size_t size);
static int parse_chunk(http_parser *parser);
static int parse_end(http_parser *parser);

static const http_parser_settings parser_settings = {
    .on_message_begin = parse_begin,
    .on_header_field = parse_name,
    .on_header_value = parse_value,
    .on_headers_complete = parse_header_end,
    .on_body = parse_body,
    .on_chunk_header = parse_chunk,
    .on_message_complete = parse_end,
};

void
ClientConn_InitParser(ClientConn *conn)
{
    http_parser_init(&conn->parser, HTTP_RESPONSE);
    conn->parser.data = conn;
    HeadCheck_Begin(&conn->check, HEAD_CHECK_RESPONSE);
}

size_t
ClientConn_Parse(ClientConn *conn, const char *data, size_t size)
{
    bool in_head = !HeadCheck_IsOver(&conn->check);
    size_t used = size;
    bool is_over;
    size_t parsed;

    if (in_head && !HeadCheck_Read(&conn->check, data, size, &used)) {
        conn->malformed = true;
        return 0;
    }
    is_over = HeadCheck_IsOver(&conn->check);
    conn->head_ended = false;
    parsed = http_parser_execute(&conn->parser, &parser_settings, data, used);
    if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_PAUSED && !conn->complete) {
        http_parser_pause(&conn->parser, 0);
    }
    else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK && !conn->complete) {
        conn->malformed = true;
    }
    /* Both must see the same end of a head. */
    conn->malformed |= in_head && is_over != conn->head_ended;
    return parsed;
}

void
ClientConn_ParseEnd(ClientConn *conn, bool had_error)
{
    if (!had_error && proves_end(conn)) {
        http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
    }
}

/* Whether the end of the connection can end a response. A server that closes
   with a part of the call unread resets the connection. A write that fails
   consumes the socket's error, and the next read then returns an end of file.
   So the server's host must have received the whole call, unless the server
   declined it. */
static bool
proves_end(const ClientConn *conn)
{
    return Client_IsDelivered(conn->call) || is_declined(conn);
}

/* Whether the response declines the call before all of it was sent, as RFC
   9112, section 9.6, describes: an error that announces the close, with no
   reset until now. */
static bool
is_declined(const ClientConn *conn)
{
    const http_parser *parser = &conn->parser;
    int error = 0;
    socklen_t size = sizeof(error);

    return conn->matches && !conn->interim && parser->status_code >= 400 &&
           (parser->http_minor == 0 ||
            (parser->flags & F_CONNECTION_CLOSE) != 0) &&
           getsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_ERROR,
                      &error, &size) == 0 &&
           error == 0;
}

static int
parse_begin(http_parser *parser)
{
    ClientConn *conn = parser->data;

    Header_Free(conn->headers);
    conn->headers = Header_New();
    Header_ResetReader(&conn->reader);
    conn->matches = false;
    conn->interim = false;
    conn->head_size = 0;
    return 0;
}

static int
parse_name(http_parser *parser, const char *at, size_t size)
{
    ClientConn *conn = parser->data;

    Header_ReadName(&conn->reader, conn->headers, at, size);
    conn->head_size += size;
    return conn->head_size > CLIENT_HEADER_MAX_BYTES;
}

static int
parse_value(http_parser *parser, const char *at, size_t size)
{
    ClientConn *conn = parser->data;

    Header_ReadValue(&conn->reader, at, size);
    conn->head_size += size;
    return conn->head_size > CLIENT_HEADER_MAX_BYTES;
}

static int
parse_header_end(http_parser *parser)
{
    ClientConn *conn = parser->data;
    ClientCall *call = conn->call;
    int skip_body = conn->head_request ? 1 : 0;

    Header_EndField(&conn->reader, conn->headers);
    conn->head_ended = true;
    parser->upgrade = 0;
    if (parser->status_code < 200) {
        conn->interim = true;
        return 0;
    }
    if (conn->client->on_response != NULL) {
        conn->client->on_response(conn->client->observer, conn->address,
                                  parser->status_code, conn->headers);
    }
    if (call == NULL) {
        return skip_body;
    }
    conn->matches =
        call->options.matches_request == NULL ||
        call->options.matches_request(call->options.context, conn->headers);
    if (!conn->matches) {
        ClientRefusals_NoteStatus(&conn->refusals, parser->status_code);
        return 0;
    }
    if (call->options.on_head != NULL) {
        call->options.on_head(call->options.context, parser->status_code,
                              conn->headers);
    }
    ClientRefusals_NoteStatus(&conn->refusals, parser->status_code);
    return skip_body;
}

static int
parse_body(http_parser *parser, const char *at, size_t size)
{
    ClientConn *conn = parser->data;

    if (conn->matches) {
        conn->body_size += size;
    }
    if (conn->matches && conn->call != NULL && !conn->rejected &&
        conn->call->options.on_data != NULL) {
        conn->call->options.on_data(conn->call->options.context, at, size);
    }
    return 0;
}

/* Pauses where trailers begin, since these are checked, too. */
static int
parse_chunk(http_parser *parser)
{
    ClientConn *conn = parser->data;

    if (parser->content_length == 0) {
        HeadCheck_Begin(&conn->check, HEAD_CHECK_TRAILER);
        http_parser_pause(parser, 1);
    }
    return 0;
}

/* Pauses where the next head begins. */
static int
parse_end(http_parser *parser)
{
    ClientConn *conn = parser->data;

    conn->head_ended = true;
    conn->complete = conn->matches && !conn->interim;
    HeadCheck_Begin(&conn->check, HEAD_CHECK_RESPONSE);
    http_parser_pause(parser, 1);
    return 0;
}
