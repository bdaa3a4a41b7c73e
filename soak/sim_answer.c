/* Answer of a simulated worker. See sim_answer.h. */
#include "sim_answer.h"
#include "malformed_event.h"

#include "io/server_conn.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>

/* Shares of the answers by framing; the others have chunks. */
#define SIM_LENGTH_RATIO 0.2
#define SIM_CLOSE_RATIO 0.4
/* Share of the events that are split over two writes, and of those that are
   written with the next one. */
#define SIM_SPLIT_RATIO 0.15
#define SIM_JOINED_RATIO 0.15
#define SIM_JOINED_MAX 4 /* Events in one write. */
/* Share of the events that hold several tokens, with `has_steps`. */
#define SIM_STEP_RATIO 0.3
#define SIM_STEP_MAX 4
/* Share of the plain bodies that are written in pieces, and the time between
   these. */
#define SIM_PIECES_RATIO 0.3
#define SIM_PIECES_MAX 3
#define SIM_PIECE_PAUSE_MS 40
#define SIM_EVENT_MAX_BYTES 128
/* Share of the streams with a malformed event. */
#define SIM_MALFORMED_RATIO 0.1

static SimFraming draw_framing(GRand *rand);
static uint32_t draw_malformed(const SimStreamOptions *options);
static void add_piece(SimAnswer *answer, size_t end, uint32_t pause_ms);
static bool is_inside_event(const SimAnswer *answer);

void
SimAnswer_InitPlain(SimAnswer *answer, const char *body, GRand *rand)
{
    size_t size = strlen(body);

    memset(answer, 0, sizeof(*answer));
    answer->body = g_string_new(body);
    answer->pieces = g_array_new(FALSE, FALSE, sizeof(SimPiece));
    answer->framing = rand != NULL ? draw_framing(rand) : SIM_FRAMING_LENGTH;
    if (rand != NULL && size > 1 && g_rand_double(rand) < SIM_PIECES_RATIO) {
        size_t end = 0;
        for (int i = 1; i < SIM_PIECES_MAX && end + 1 < size; i++) {
            end =
                (size_t)g_rand_int_range(rand, (gint32)end + 1, (gint32)size);
            add_piece(answer, end,
                      (uint32_t)g_rand_int_range(rand, 1, SIM_PIECE_PAUSE_MS));
        }
    }
    add_piece(answer, size, 0);
}

void
SimAnswer_InitStream(SimAnswer *answer, const SimStreamOptions *options,
                     GRand *rand)
{
    uint32_t interval_ms = options->interval_ms;
    uint32_t pause_ms = 0;
    uint32_t malformed = draw_malformed(options);
    guint joined = 0;

    memset(answer, 0, sizeof(*answer));
    answer->body = g_string_new(NULL);
    answer->pieces = g_array_new(FALSE, FALSE, sizeof(SimPiece));
    answer->framing = rand != NULL ? draw_framing(rand) : SIM_FRAMING_CHUNKS;
    for (uint32_t next = options->first; next < options->end;) {
        size_t begin = answer->body->len;
        uint32_t tokens = 1;
        char text[SIM_EVENT_MAX_BYTES];
        SimEvent event = {.first = next,
                          .version = options->version,
                          .run = options->run,
                          .from = options->first};
        if (options->has_steps && rand != NULL &&
            g_rand_double(rand) < SIM_STEP_RATIO) {
            tokens = (uint32_t)g_rand_int_range(rand, 1, SIM_STEP_MAX + 1);
            tokens = MIN(tokens, options->end - next);
        }
        if (next <= malformed && malformed < next + tokens) {
            g_string_append(
                answer->body,
                MalformedEvent_Draw(options->malformed_rand, next == 0));
            answer->malformed = answer->body->len;
        }
        event.last = next + tokens - 1;
        g_strlcpy(event.id, options->id, sizeof(event.id));
        SimAnswer_FormatEvent(text, sizeof(text), &event);
        g_string_append(answer->body, text);
        next += tokens;
        pause_ms += tokens * interval_ms;
        if (rand != NULL && g_rand_double(rand) < SIM_SPLIT_RATIO) {
            uint32_t part_ms =
                (uint32_t)g_rand_int_range(rand, 1, (gint32)interval_ms);
            add_piece(answer,
                      (size_t)g_rand_int_range(rand, (gint32)begin + 1,
                                               (gint32)answer->body->len),
                      part_ms);
            pause_ms -= part_ms;
        }
        if (rand != NULL && next < options->end &&
            joined + 1 < SIM_JOINED_MAX &&
            g_rand_double(rand) < SIM_JOINED_RATIO) {
            joined++;
            continue;
        }
        add_piece(answer, answer->body->len, pause_ms);
        joined = 0;
        pause_ms = 0;
    }
}

void
SimAnswer_Clear(SimAnswer *answer)
{
    if (answer->body != NULL) {
        g_string_free(answer->body, TRUE);
        g_array_free(answer->pieces, TRUE);
    }
    memset(answer, 0, sizeof(*answer));
}

void
SimAnswer_Begin(SimAnswer *answer, ServerExchange *exchange, int status,
                const HeaderList *headers)
{
    ServerConn *conn = exchange->conn;
    struct evbuffer *out = bufferevent_get_output(conn->bev);

    answer->is_begun = true;
    conn->streaming = true;
    conn->chunked = answer->framing == SIM_FRAMING_CHUNKS;
    conn->keep_alive =
        conn->keep_alive && answer->framing != SIM_FRAMING_CLOSE;
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
                        http_status_str((enum http_status)status));
    for (guint i = 0; i < headers->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(headers->fields, HeaderField, i);
        evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
    }
    if (conn->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (answer->framing == SIM_FRAMING_LENGTH) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", answer->body->len);
    }
    if (ServerConn_IsClosing(conn)) {
        conn->keep_alive = false;
        evbuffer_add_printf(out, "Connection: close\r\n");
    }
    evbuffer_add(out, "\r\n", 2);
}

bool
SimAnswer_Write(SimAnswer *answer, ServerExchange *exchange,
                uint32_t *pause_ms)
{
    const SimPiece *piece;

    if (answer->next == answer->pieces->len) {
        return false;
    }
    piece = &g_array_index(answer->pieces, SimPiece, answer->next++);
    Server_SendData(exchange, answer->body->str + answer->written,
                    piece->end - answer->written);
    answer->written = piece->end;
    *pause_ms = piece->pause_ms;
    return true;
}

bool
SimAnswer_WritePart(SimAnswer *answer, ServerExchange *exchange, GRand *rand)
{
    const SimPiece *piece;
    size_t size;

    if (answer->is_breaking || answer->next == answer->pieces->len) {
        return false;
    }
    piece = &g_array_index(answer->pieces, SimPiece, answer->next);
    if (piece->end - answer->written < 2) {
        return false;
    }
    size = (size_t)g_rand_int_range(rand, 1,
                                    (gint32)(piece->end - answer->written));
    Server_SendData(exchange, answer->body->str + answer->written, size);
    answer->written += size;
    answer->is_breaking = true;
    return true;
}

void
SimAnswer_Abort(const SimAnswer *answer, ServerExchange *exchange, GRand *rand)
{
    ServerConn *conn = exchange->conn;
    bool is_inside;
    bool shows_end;

    if (!answer->is_begun || rand == NULL) {
        Server_AbortResponse(exchange);
        return;
    }
    is_inside = is_inside_event(answer);
    shows_end = answer->framing != SIM_FRAMING_CLOSE || is_inside;
    if (answer->framing == SIM_FRAMING_CHUNKS && is_inside &&
        g_rand_boolean(rand)) {
        Server_EndStream(exchange);
        return;
    }
    /* Otherwise the connection would be shut down before it is closed. */
    conn->chunked = false;
    ServerConn_SetResetOnClose(conn, !shows_end || g_rand_boolean(rand));
    Server_AbortResponse(exchange);
}

void
SimAnswer_FormatEvent(char *text, size_t size, const SimEvent *event)
{
    g_snprintf(text, size, "id: %lld\ndata: %s %lld v%u r%u %lld\n\n",
               event->last, event->id, event->first, event->version,
               event->run, event->from);
}

bool
SimAnswer_ReadEvent(const char *text, SimEvent *event)
{
    char expected[SIM_EVENT_MAX_BYTES] = "";

    memset(event, 0, sizeof(*event));
    if (sscanf(text, "id: %lld\ndata: %47s %lld v%u r%u %lld", &event->last,
               event->id, &event->first, &event->version, &event->run,
               &event->from) != 6) {
        return false;
    }
    SimAnswer_FormatEvent(expected, sizeof(expected), event);
    return strcmp(text, expected) == 0 && event->version != 0 &&
           event->last >= event->first && event->first >= event->from;
}

static SimFraming
draw_framing(GRand *rand)
{
    double pick = g_rand_double(rand);

    if (pick < SIM_LENGTH_RATIO) {
        return SIM_FRAMING_LENGTH;
    }
    return pick < SIM_LENGTH_RATIO + SIM_CLOSE_RATIO ? SIM_FRAMING_CLOSE
                                                     : SIM_FRAMING_CHUNKS;
}

/* Returns the number of the token before which a malformed event comes, or
   UINT32_MAX if none does. */
static uint32_t
draw_malformed(const SimStreamOptions *options)
{
    GRand *rand = options->malformed_rand;

    return rand != NULL && options->first < options->end &&
                   g_rand_double(rand) < SIM_MALFORMED_RATIO
               ? (uint32_t)g_rand_int_range(rand, (gint32)options->first,
                                            (gint32)options->end)
               : UINT32_MAX;
}

static void
add_piece(SimAnswer *answer, size_t end, uint32_t pause_ms)
{
    SimPiece piece = {end, pause_ms};

    g_array_append_val(answer->pieces, piece);
}

/* Returns whether the last event of a stream was written in part. */
static bool
is_inside_event(const SimAnswer *answer)
{
    const char *body = answer->body->str;
    size_t size = answer->written;

    return size > 1 && strncmp(body, "id: ", 4) == 0 &&
           !(body[size - 1] == '\n' && body[size - 2] == '\n');
}
