#include "relay.h"
#include "detour.h"
#include "slow_reader.h"

#include "../log.h"

#include <stdio.h>
#include <string.h>

#define RELAY_PATH "/picture"
/* The era and the revision up to which the requesting VM has all changes. */
#define RELAY_DELTA_PATH                                                      \
    RELAY_PATH "?since=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
#define RELAY_TARGET_MAX 64
/* Shortest interval between two requests. */
#define RELAY_FETCH_INTERVAL_US (500 * CLK_US_PER_MS)
#define RELAY_FETCH_TIMEOUT_US (2 * CLK_US_PER_S)
/* The VM that passes a request on may add fields of this size. */
#define RELAY_HEADER_EXTRA_BYTES 1024
#define RELAY_RESPONSE_MAX_BYTES (16 * 1024 * 1024)

struct Relay {
    RelayOptions options;
    Server *server;
    ClientCall *call; /* The running request, or NULL. */
    GByteArray *body; /* Body of its response. */
    int status;       /* Status of its response; 0 before the header. */
    int64_t fetch_began_us;
    char address[FLEET_ADDRESS_MAX]; /* The VM that it was sent to. */
};

static void on_request(void *context, ServerExchange *exchange);
static void on_disconnect(void *context, ServerExchange *exchange);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, ClientOutcome outcome);

RelayOptions
Relay_DefaultOptions(void)
{
    RelayOptions options = {.ip = "127.0.0.1"};
    return options;
}

Relay *
Relay_New(const RelayOptions *options, LsError *err)
{
    Relay *relay = g_new0(Relay, 1);
    ServerOptions server = Server_DefaultOptions();

    relay->options = *options;
    relay->body = g_byte_array_new();
    server.base = options->base;
    server.clk = options->clk;
    server.ip = options->ip;
    server.port = options->port;
    server.context = relay;
    server.on_request = on_request;
    server.on_disconnect = on_disconnect;
    server.on_unread = SlowReader_OnUnread;
    server.unread = options->unread;
    relay->server = Server_New(&server, err);
    if (relay->server == NULL) {
        Relay_Free(relay);
        return NULL;
    }
    return relay;
}

void
Relay_Free(Relay *relay)
{
    if (relay == NULL) {
        return;
    }
    if (relay->call != NULL) {
        Client_EndCall(relay->call);
    }
    Server_Free(relay->server);
    g_byte_array_free(relay->body, TRUE);
    g_free(relay);
}

void
Relay_FetchSnapshot(Relay *relay, const char *address, Pos since)
{
    char target[RELAY_TARGET_MAX];
    int64_t now_us = Clk_Now(relay->options.clk);
    ClientCallOptions call = {
        .address = address,
        .method = "GET",
        .target = target,
        .idle_max_ms = UINT32_MAX,
        .context = relay,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    if (relay->call != NULL &&
        now_us - relay->fetch_began_us > RELAY_FETCH_TIMEOUT_US) {
        Client_EndCall(relay->call);
        relay->call = NULL;
    }
    if (relay->call != NULL ||
        now_us - relay->fetch_began_us < RELAY_FETCH_INTERVAL_US) {
        return;
    }
    relay->fetch_began_us = now_us;
    g_snprintf(target, sizeof(target), RELAY_DELTA_PATH, since.era,
               since.revision);
    relay->status = 0;
    g_byte_array_set_size(relay->body, 0);
    g_strlcpy(relay->address, address, sizeof(relay->address));
    relay->call = Client_BeginCall(relay->options.client, &call);
}

void
Relay_SetLimits(Relay *relay, const ServerLimits *limits)
{
    ServerLimits own = *limits;

    own.header_bytes += RELAY_HEADER_EXTRA_BYTES;
    Server_SetLimits(relay->server, &own);
}

guint
Relay_CountPending(const Relay *relay)
{
    return Server_CountPending(relay->server);
}

static void
on_request(void *context, ServerExchange *exchange)
{
    Relay *relay = context;
    GByteArray *data;
    Pos since = {0};
    char *mark = DetourVm_TakeMark(exchange->headers);

    if (mark != NULL) {
        Gate_OnRelayedRequest(relay->options.gate, exchange, mark);
        g_free(mark);
        return;
    }
    if (sscanf(exchange->target, RELAY_DELTA_PATH, &since.era,
               &since.revision) != 2 &&
        strcmp(exchange->target, RELAY_PATH) != 0) {
        Server_SendResponse(exchange, 404, NULL, "", 0);
        return;
    }
    data = Feed_PackSnapshot(relay->options.feed, since);
    if (data == NULL) {
        /* This VM is reading all entries anew. */
        Server_SendResponse(exchange, 503, NULL, "", 0);
        return;
    }
    Server_SendResponse(exchange, 200, NULL, data->data, data->len);
    g_byte_array_free(data, TRUE);
}

static void
on_disconnect(void *context, ServerExchange *exchange)
{
    const Relay *relay = context;

    if (exchange->owner != NULL) {
        Gate_OnDisconnect(relay->options.gate, exchange);
    }
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    Relay *relay = context;

    (void)headers;
    /* A snapshot that is cut between two of its fields can be read, so the end
       of the connection doesn't show that it is whole. */
    relay->status =
        Client_GetFraming(relay->call) == CLIENT_FRAMING_CLOSE ? 0 : status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    Relay *relay = context;

    if (relay->body->len + size <= RELAY_RESPONSE_MAX_BYTES) {
        g_byte_array_append(relay->body, data, (guint)size);
    }
    else {
        Client_RejectBody(relay->call);
    }
}

static void
on_end(void *context, ClientOutcome outcome)
{
    Relay *relay = context;
    bool accepted = false;

    relay->call = NULL;
    if (outcome == CLIENT_COMPLETE && relay->status == 200) {
        accepted = Feed_ApplySnapshot(relay->options.feed, relay->body->data,
                                      relay->body->len);
    }
    Log_WriteJson(LOG_LEVEL_INFO, "picture_from_peer",
                  json_pack("{s:s,s:b,s:i}", "peer", relay->address, "taken",
                            (int)accepted, "bytes", (int)relay->body->len));
}
