/* Relay of the picture between VMs. See relay.h. */
#include "relay.h"

#include "../log.h"

#include <string.h>

#define RLY_PATH "/picture"
/* Shortest interval between two requests. */
#define RLY_FETCH_INTERVAL_US (500 * CLK_US_PER_MS)
#define RLY_FETCH_TIMEOUT_US (2 * CLK_US_PER_S)
#define RLY_BYTES_MAX (16 * 1024 * 1024)

struct Rly {
    RlyOptions options;
    Srv *srv;
    CliCall *call;
    GByteArray *body;
    int status;
    int64_t fetch_began_us;
    char address[FLT_ADDRESS_MAX];
};

static void on_request(void *context, SrvExchange *exchange);
static void on_disconnect(void *context, SrvExchange *exchange);
static void on_head(void *context, int status, const HdrList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, CliOutcome outcome);

RlyOptions
Rly_DefaultOptions(void)
{
    RlyOptions options = {.ip = "127.0.0.1"};
    return options;
}

Rly *
Rly_New(const RlyOptions *options, LsError *err)
{
    Rly *rly = g_new0(Rly, 1);
    SrvOptions srv = Srv_DefaultOptions();

    rly->options = *options;
    rly->body = g_byte_array_new();
    srv.base = options->base;
    srv.clk = options->clk;
    srv.ip = options->ip;
    srv.port = options->port;
    srv.context = rly;
    srv.on_request = on_request;
    srv.on_disconnect = on_disconnect;
    rly->srv = Srv_New(&srv, err);
    if (rly->srv == NULL) {
        Rly_Free(rly);
        return NULL;
    }
    return rly;
}

void
Rly_Free(Rly *rly)
{
    if (rly == NULL) {
        return;
    }
    if (rly->call != NULL) {
        Cli_EndCall(rly->call);
    }
    Srv_Free(rly->srv);
    g_byte_array_free(rly->body, TRUE);
    g_free(rly);
}

void
Rly_FetchPicture(Rly *rly, const char *address)
{
    int64_t now_us = Clk_Now(rly->options.clk);
    CliCallOptions call = {
        .address = address,
        .method = "GET",
        .target = RLY_PATH,
        .idle_max_ms = UINT32_MAX,
        .context = rly,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    if (rly->call != NULL &&
        now_us - rly->fetch_began_us > RLY_FETCH_TIMEOUT_US) {
        Cli_EndCall(rly->call);
        rly->call = NULL;
    }
    if (rly->call != NULL ||
        now_us - rly->fetch_began_us < RLY_FETCH_INTERVAL_US) {
        return;
    }
    rly->fetch_began_us = now_us;
    rly->status = 0;
    g_byte_array_set_size(rly->body, 0);
    g_strlcpy(rly->address, address, sizeof(rly->address));
    rly->call = Cli_BeginCall(rly->options.cli, &call);
}

static void
on_request(void *context, SrvExchange *exchange)
{
    Rly *rly = context;
    GByteArray *data;

    if (strcmp(exchange->target, RLY_PATH) != 0) {
        Srv_SendResponse(exchange, 404, NULL, "", 0);
        return;
    }
    data = Pic_Pack(Feed_GetSnapshot(rly->options.feed));
    Srv_SendResponse(exchange, 200, NULL, data->data, data->len);
    g_byte_array_free(data, TRUE);
}

static void
on_disconnect(void *context, SrvExchange *exchange)
{
    (void)context;
    (void)exchange;
}

static void
on_head(void *context, int status, const HdrList *headers)
{
    Rly *rly = context;

    (void)headers;
    rly->status = status;
}

static void
on_data(void *context, const void *data, size_t size)
{
    Rly *rly = context;

    if (rly->body->len + size <= RLY_BYTES_MAX) {
        g_byte_array_append(rly->body, data, (guint)size);
    }
}

static void
on_end(void *context, CliOutcome outcome)
{
    Rly *rly = context;
    bool accepted = false;

    rly->call = NULL;
    if (outcome == CLI_COMPLETE && rly->status == 200) {
        accepted = Feed_ApplySnapshot(rly->options.feed, rly->body->data,
                                      rly->body->len);
    }
    Log_WriteJson(LOG_LEVEL_INFO, "picture_from_peer",
                  json_pack("{s:s,s:b,s:i}", "peer", rly->address, "taken",
                            (int)accepted, "bytes", (int)rly->body->len));
}
