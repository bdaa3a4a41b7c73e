#include "web.h"

#include "api.h"
#include "sock.h"

#include <arpa/inet.h>
#include <string.h>
#include <ulfius.h>

#define WEB_STREAM_BLOCK_BYTES 4096
#define WEB_BEARER "Bearer "
#define WEB_CONTENT_LENGTH "Content-Length"
#define WEB_OPERATOR_TIMEOUT_US (2 * CLK_US_PER_S)
#define WEB_SERVICES_PREFIX "/v1/services/"
#define WEB_EXPLAIN_PREFIX "/v1/explain/"
#define WEB_SSE_DONE "data: [DONE]\n\n"
/* Sent while no event is available; clients ignore it. */
#define WEB_SSE_COMMENT ": \n\n"

struct Web {
    WebOptions options;
    struct _u_instance callers;
    struct _u_instance operators;
    GPtrArray *addresses; /* struct sockaddr_in * of the two instances */
    bool callers_started;
    bool operators_started;
    GAsyncQueue *intents;
    BoxTable *boxes;
    Sock *sockets; /* Connections of both instances. */
};

/* A streamed answer that is being written to its caller. */
typedef struct WebStream {
    Web *web;
    Box *box;
    uint64_t caller;
    int fd;
    char *model;
    GString *pending; /* Events not yet written. */
    bool finished;    /* The last event was added to `pending`. */
} WebStream;

static int handle_completion(const struct _u_request *request,
                             struct _u_response *response, void *context);
static int handle_issue_key(const struct _u_request *request,
                            struct _u_response *response, void *context);
static int handle_service(const struct _u_request *request,
                          struct _u_response *response, void *context);
static int handle_operator(const struct _u_request *request,
                           struct _u_response *response, void *context);
static int handle_metrics(const struct _u_request *request,
                          struct _u_response *response, void *context);
static int handle_unknown(const struct _u_request *request,
                          struct _u_response *response, void *context);
static bool start_callers(Web *web, LsError *err);
static bool start_operators(Web *web, LsError *err);

WebOptions
Web_DefaultOptions(void)
{
    WebOptions options = {0};

    options.bind_address = "127.0.0.1";
    options.body_max = 1024 * 1024;
    return options;
}

Web *
Web_New(const WebOptions *options, LsError *err)
{
    Web *web = g_new0(Web, 1);

    web->options = *options;
    web->intents = g_async_queue_new_full((GDestroyNotify)Web_FreeIntent);
    web->boxes = Box_NewTable();
    web->addresses = g_ptr_array_new_with_free_func(g_free);
    web->sockets = Sock_New();
    if (!start_callers(web, err) || !start_operators(web, err)) {
        Web_Free(web);
        return NULL;
    }
    return web;
}

void
Web_Free(Web *web)
{
    if (web->callers_started) {
        ulfius_stop_framework(&web->callers);
        ulfius_clean_instance(&web->callers);
    }
    if (web->operators_started) {
        ulfius_stop_framework(&web->operators);
        ulfius_clean_instance(&web->operators);
    }
    g_async_queue_unref(web->intents);
    Box_FreeTable(web->boxes);
    Sock_Free(web->sockets);
    g_ptr_array_unref(web->addresses);
    g_free(web);
}

WebIntent *
Web_TakeIntent(Web *web)
{
    WebIntent *intent = g_async_queue_try_pop(web->intents);

    if (intent != NULL) {
        BOX_TSAN_ACQUIRE(intent);
    }
    return intent;
}

void
Web_FreeIntent(WebIntent *intent)
{
    g_free(intent->key);
    g_free(intent->model);
    g_free(intent->prompt);
    g_free(intent->method);
    g_free(intent->service);
    g_free(intent->path);
    g_free(intent->idempotency_key);
    g_free(intent->body);
    g_free(intent);
}

void
Web_Answer(Web *web, uint64_t caller, const BoardAnswer *answer)
{
    Box_Put(web->boxes, caller, answer);
}

guint
Web_CountCallers(Web *web)
{
    return Box_CountOpen(web->boxes);
}

static void
post_intent(Web *web, WebIntent *intent)
{
    BOX_TSAN_RELEASE(intent);
    g_async_queue_push(web->intents, intent);
    web->options.wake(web->options.context);
}

static void
post_disconnect(Web *web, uint64_t caller)
{
    WebIntent *intent = g_new0(WebIntent, 1);

    intent->type = WEB_INTENT_DISCONNECTED;
    intent->caller = caller;
    post_intent(web, intent);
}

/* Sets a JSON body and frees it. */
static void
set_json(struct _u_response *response, unsigned int status, char *body)
{
    ulfius_set_string_body_response(response, status, body);
    u_map_put(response->map_header, "Content-Type", "application/json");
    free(body);
}

static int
set_error(struct _u_response *response, const LsError *err,
          const char *request)
{
    char seconds[16];

    if (err->retry_after_ms > 0) {
        g_snprintf(seconds, sizeof(seconds), "%u",
                   (err->retry_after_ms + 999) / 1000);
        u_map_put(response->map_header, "Retry-After", seconds);
    }
    if (err->code == LS_ERR_BAD_FIELD) {
        /* What follows may be framed by a field that was not understood. */
        u_map_put(response->map_header, "Connection", "close");
    }
    set_json(response, (unsigned int)Err_GetHttpStatus(err->code),
             Api_FormatError(err, request));
    return U_CALLBACK_COMPLETE;
}

/* Checks the head's fields and the body's size, and reads the API key. */
static LsResult
check_request(const Web *web, const struct _u_request *request,
              WebIntent *intent, LsError *err)
{
    const char *header = u_map_get_case(request->map_header, "Authorization");
    const char *length =
        u_map_get_case(request->map_header, WEB_CONTENT_LENGTH);

    if (!Sock_HasValidFields(web->sockets, request->client_address)) {
        return Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                       "a field of the request's head is malformed");
    }
    if (request->binary_body_length > web->options.body_max ||
        (length != NULL &&
         g_ascii_strtoull(length, NULL, 10) > web->options.body_max)) {
        return Err_Set(err, LS_ERR_BODY_TOO_LARGE, LS_RUN_NOT_RUN,
                       "the body is larger than %u bytes",
                       web->options.body_max);
    }
    if (header == NULL ||
        g_ascii_strncasecmp(header, WEB_BEARER, strlen(WEB_BEARER)) != 0) {
        return Err_Set(err, LS_ERR_NO_KEY, LS_RUN_NOT_RUN,
                       "the header \"Authorization: Bearer KEY\" is required");
    }
    intent->key = g_strdup(header + strlen(WEB_BEARER));
    return LS_OK;
}

/* Waits for the next answer. Returns NULL when the client has closed the
   connection. */
static BoxItem *
wait_for_answer(Box *box, int fd)
{
    BoxItem *item = NULL;

    /* The connection is checked before each wait: while chunks arrive faster
       than WEB_DISCONNECT_CHECK_US, no wait times out, so a check only after
       timeouts would miss a closed connection. */
    while (item == NULL && !Sock_IsClosed(fd)) {
        item = Box_Take(box, WEB_DISCONNECT_CHECK_US);
    }
    return item;
}

/* Appends an answer to `pending` as a server-sent event, and frees it. */
static void
append_event(WebStream *stream, BoxItem *item)
{
    const char *marker = "";
    char *text;

    switch (item->answer.type) {
    case BOARD_ANSWER_CHUNK:
        text = Api_FormatChunk(stream->model, item);
        break;
    case BOARD_ANSWER_END:
        text = Api_FormatEnd(stream->model, item);
        marker = WEB_SSE_DONE;
        break;
    default:
        text = Api_FormatError(&item->err, item->request);
        break;
    }
    g_string_append_printf(stream->pending, "data: %s\n\n%s", text, marker);
    stream->finished = item->answer.type != BOARD_ANSWER_CHUNK;
    free(text);
    Box_FreeItem(item);
}

/* ulfius callback: copies up to `max` bytes of the stream to the buffer, after
   a wait of at most WEB_DISCONNECT_CHECK_US. */
static ssize_t
write_stream(void *context, uint64_t offset, char *buffer, size_t max)
{
    WebStream *stream = context;
    size_t size;

    (void)offset;
    if (stream->pending->len == 0 && !stream->finished) {
        BoxItem *item = Box_Take(stream->box, WEB_DISCONNECT_CHECK_US);
        if (item != NULL) {
            append_event(stream, item);
        }
        else if (Sock_IsClosed(stream->fd)) {
            return U_STREAM_ERROR;
        }
        else {
            g_string_append(stream->pending, WEB_SSE_COMMENT);
        }
    }
    if (stream->pending->len == 0) {
        return U_STREAM_END;
    }
    size = MIN(stream->pending->len, max);
    memcpy(buffer, stream->pending->str, size);
    g_string_erase(stream->pending, 0, (gssize)size);
    return (ssize_t)size;
}

/* ulfius callback: the response is complete or its connection is closed. */
static void
free_stream(void *context)
{
    WebStream *stream = context;

    if (!stream->finished) {
        post_disconnect(stream->web, stream->caller);
    }
    Box_Close(stream->web->boxes, stream->box);
    g_string_free(stream->pending, TRUE);
    g_free(stream->model);
    g_free(stream);
}

/* Starts a streamed answer with its first chunk. */
static int
begin_stream(Web *web, struct _u_response *response, Box *box, uint64_t caller,
             int fd, const char *model, BoxItem *first)
{
    WebStream *stream = g_new0(WebStream, 1);

    stream->web = web;
    stream->box = box;
    stream->caller = caller;
    stream->fd = fd;
    stream->model = g_strdup(model);
    stream->pending = g_string_new(NULL);
    append_event(stream, first);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    u_map_put(response->map_header, "Cache-Control", "no-store");
    ulfius_set_stream_response(response, 200, write_stream, free_stream,
                               U_STREAM_SIZE_UNKNOWN, WEB_STREAM_BLOCK_BYTES,
                               stream);
    return U_CALLBACK_COMPLETE;
}

/* Collects the chunks of an answer that isn't streamed and sends them as one
   response. Closes the box. */
static int
answer_unstreamed(Web *web, struct _u_response *response, Box *box,
                  uint64_t caller, int fd, const char *model, BoxItem *item)
{
    GString *text = g_string_new(NULL);
    int result = U_CALLBACK_COMPLETE;

    while (item != NULL && item->answer.type == BOARD_ANSWER_CHUNK) {
        g_string_append(text, item->text);
        Box_FreeItem(item);
        item = wait_for_answer(box, fd);
    }
    if (item == NULL) {
        post_disconnect(web, caller);
        result = U_CALLBACK_ERROR;
    }
    else if (item->answer.type == BOARD_ANSWER_ERROR) {
        set_error(response, &item->err, item->request);
        Box_FreeItem(item);
    }
    else {
        set_json(response, 200, Api_FormatAnswer(model, text->str, item));
        Box_FreeItem(item);
    }
    Box_Close(web->boxes, box);
    g_string_free(text, TRUE);
    return result;
}

static int
handle_completion(const struct _u_request *request,
                  struct _u_response *response, void *context)
{
    Web *web = context;
    WebIntent *intent = g_new0(WebIntent, 1);
    bool stream = false;
    uint64_t caller;
    char *model;
    Box *box;
    BoxItem *item;
    LsError err;
    int fd = Sock_Find(web->sockets, request->client_address);
    int result;

    intent->type = WEB_INTENT_COMPLETION;
    if (check_request(web, request, intent, &err) != LS_OK ||
        Api_ParseCompletion(request->binary_body, request->binary_body_length,
                            intent, &stream, &err) != LS_OK) {
        Web_FreeIntent(intent);
        return set_error(response, &err, NULL);
    }
    model = g_strdup(intent->model);
    box = Box_Open(web->boxes, &caller);
    intent->caller = caller;
    post_intent(web, intent);
    item = wait_for_answer(box, fd);
    if (stream && item != NULL && item->answer.type != BOARD_ANSWER_ERROR) {
        result = begin_stream(web, response, box, caller, fd, model, item);
    }
    else {
        result =
            answer_unstreamed(web, response, box, caller, fd, model, item);
    }
    g_free(model);
    return result;
}

/* Queues an intent that isn't a completion, and waits for its only answer. */
static int
answer_body(Web *web, struct _u_response *response, WebIntent *intent, int fd)
{
    uint64_t caller;
    Box *box = Box_Open(web->boxes, &caller);
    BoxItem *item;

    intent->caller = caller;
    post_intent(web, intent);
    item = wait_for_answer(box, fd);
    if (item == NULL) {
        post_disconnect(web, caller);
        Box_Close(web->boxes, box);
        return U_CALLBACK_ERROR;
    }
    if (item->answer.type == BOARD_ANSWER_ERROR) {
        set_error(response, &item->err, item->request);
    }
    else {
        ulfius_set_binary_body_response(response,
                                        (unsigned int)item->answer.status,
                                        item->text, item->answer.size);
        u_map_put(response->map_header, "Content-Type", "application/json");
    }
    Box_FreeItem(item);
    Box_Close(web->boxes, box);
    return U_CALLBACK_COMPLETE;
}

static int
handle_issue_key(const struct _u_request *request,
                 struct _u_response *response, void *context)
{
    Web *web = context;
    WebIntent *intent = g_new0(WebIntent, 1);
    LsError err;

    intent->type = WEB_INTENT_ISSUE_KEY;
    if (check_request(web, request, intent, &err) != LS_OK) {
        Web_FreeIntent(intent);
        return set_error(response, &err, NULL);
    }
    return answer_body(web, response, intent,
                       Sock_Find(web->sockets, request->client_address));
}

/* Splits /v1/services/{service}/{path}. The path retains its query. */
static LsResult
parse_service_path(const char *url, WebIntent *intent, LsError *err)
{
    const char *service = url + strlen(WEB_SERVICES_PREFIX);
    const char *path = strchr(service, '/');

    if (!g_str_has_prefix(url, WEB_SERVICES_PREFIX) || path == NULL ||
        path == service || strstr(path, "..") != NULL) {
        return Err_Set(err, LS_ERR_UNKNOWN_ROUTE, LS_RUN_NOT_RUN,
                       "the path must be /v1/services/{service}/{path}");
    }
    intent->service = g_strndup(service, (gsize)(path - service));
    intent->path = g_strdup(path);
    return LS_OK;
}

static int
handle_service(const struct _u_request *request, struct _u_response *response,
               void *context)
{
    Web *web = context;
    WebIntent *intent = g_new0(WebIntent, 1);
    LsError err;

    intent->type = WEB_INTENT_SERVICE;
    if (check_request(web, request, intent, &err) != LS_OK ||
        parse_service_path(request->http_url, intent, &err) != LS_OK) {
        Web_FreeIntent(intent);
        return set_error(response, &err, NULL);
    }
    intent->method = g_strdup(request->http_verb);
    intent->idempotency_key =
        g_strdup(u_map_get_case(request->map_header, "Idempotency-Key"));
    intent->body =
        g_memdup2(request->binary_body, request->binary_body_length);
    intent->body_size = request->binary_body_length;
    return answer_body(web, response, intent,
                       Sock_Find(web->sockets, request->client_address));
}

static int
handle_operator(const struct _u_request *request, struct _u_response *response,
                void *context)
{
    Web *web = context;
    WebIntent *intent = g_new0(WebIntent, 1);
    uint64_t caller;
    Box *box = Box_Open(web->boxes, &caller);
    BoxItem *item;

    intent->type = WEB_INTENT_READY;
    if (strcmp(request->url_path, "/v1/status") == 0) {
        intent->type = WEB_INTENT_STATUS;
    }
    else if (strcmp(request->url_path, "/v1/burn") == 0) {
        intent->type = WEB_INTENT_BURN;
    }
    else if (g_str_has_prefix(request->url_path, WEB_EXPLAIN_PREFIX)) {
        intent->type = WEB_INTENT_EXPLAIN;
        intent->path =
            g_strdup(request->url_path + strlen(WEB_EXPLAIN_PREFIX));
    }
    intent->caller = caller;
    post_intent(web, intent);
    item = Box_Take(box, WEB_OPERATOR_TIMEOUT_US);
    if (item == NULL) {
        ulfius_set_string_body_response(response, 503, "no answer\n");
    }
    else {
        ulfius_set_binary_body_response(response,
                                        (unsigned int)item->answer.status,
                                        item->text, item->answer.size);
        Box_FreeItem(item);
    }
    Box_Close(web->boxes, box);
    return U_CALLBACK_COMPLETE;
}

static int
handle_health(const struct _u_request *request, struct _u_response *response,
              void *context)
{
    (void)request;
    (void)context;
    ulfius_set_string_body_response(response, 200, "ok\n");
    return U_CALLBACK_COMPLETE;
}

static int
handle_metrics(const struct _u_request *request, struct _u_response *response,
               void *context)
{
    char *text = Met_FormatText();

    (void)request;
    (void)context;
    ulfius_set_string_body_response(response, 200, text);
    u_map_put(response->map_header, "Content-Type",
              "text/plain; version=0.0.4");
    g_free(text);
    return U_CALLBACK_COMPLETE;
}

static int
handle_unknown(const struct _u_request *request, struct _u_response *response,
               void *context)
{
    LsError err;

    (void)context;
    Err_Set(&err, LS_ERR_UNKNOWN_ROUTE, LS_RUN_NOT_RUN, "no route %s %s",
            request->http_verb, request->url_path);
    return set_error(response, &err, NULL);
}

static bool
init_instance(Web *web, struct _u_instance *instance, uint16_t port,
              LsError *err)
{
    struct sockaddr_in *address = g_new0(struct sockaddr_in, 1);

    /* The instance keeps a pointer to its address until it is stopped. */
    g_ptr_array_add(web->addresses, address);
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    if (inet_pton(AF_INET, web->options.bind_address, &address->sin_addr) !=
            1 ||
        ulfius_init_instance(instance, port, address, NULL) != U_OK) {
        Err_Set(err, LS_ERR_SETTING, LS_RUN_NOT_RUN,
                "address %s: not an IPv4 address", web->options.bind_address);
        return false;
    }
    instance->max_post_body_size = web->options.body_max + 1;
    instance->allowed_post_processor = U_POST_PROCESS_NONE;
    instance->timeout = WEB_IDLE_TIMEOUT_S;
    return true;
}

static bool
start_instance(Web *web, struct _u_instance *instance, uint16_t port,
               LsError *err)
{
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_SOCK_ADDR, 0, instance->bind_address},
        {MHD_OPTION_CONNECTION_TIMEOUT, WEB_IDLE_TIMEOUT_S, NULL},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, WEB_CONNECTION_MEMORY_BYTES,
         NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, WEB_THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)Sock_Notify, web->sockets},
        {MHD_OPTION_STRICT_FOR_CLIENT, 1, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    if (ulfius_start_framework_with_mhd_options(
            instance,
            MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                MHD_USE_POLL,
            options) != U_OK) {
        Err_Set(err, LS_ERR_NETWORK, LS_RUN_NOT_RUN, "can't listen on %s:%u",
                web->options.bind_address, port);
        ulfius_clean_instance(instance);
        return false;
    }
    return true;
}

static bool
start_callers(Web *web, LsError *err)
{
    struct _u_instance *instance = &web->callers;

    if (!init_instance(web, instance, web->options.port, err)) {
        return false;
    }
    ulfius_add_endpoint_by_val(instance, "POST", "/v1/completions", NULL, 0,
                               handle_completion, web);
    ulfius_add_endpoint_by_val(instance, "POST", "/v1/operations", NULL, 0,
                               handle_issue_key, web);
    ulfius_add_endpoint_by_val(instance, "*", "/v1/services/*", NULL, 0,
                               handle_service, web);
    ulfius_set_default_endpoint(instance, handle_unknown, web);
    web->callers_started =
        start_instance(web, instance, web->options.port, err);
    return web->callers_started;
}

static bool
start_operators(Web *web, LsError *err)
{
    struct _u_instance *instance = &web->operators;

    if (!init_instance(web, instance, web->options.operator_port, err)) {
        return false;
    }
    ulfius_add_endpoint_by_val(instance, "GET", "/healthz", NULL, 0,
                               handle_health, web);
    ulfius_add_endpoint_by_val(instance, "GET", "/readyz", NULL, 0,
                               handle_operator, web);
    ulfius_add_endpoint_by_val(instance, "GET", "/metrics", NULL, 0,
                               handle_metrics, web);
    ulfius_add_endpoint_by_val(instance, "GET", "/v1/status", NULL, 0,
                               handle_operator, web);
    ulfius_add_endpoint_by_val(instance, "GET", "/v1/burn", NULL, 0,
                               handle_operator, web);
    ulfius_add_endpoint_by_val(instance, "GET", "/v1/explain/*", NULL, 0,
                               handle_operator, web);
    ulfius_set_default_endpoint(instance, handle_unknown, web);
    web->operators_started =
        start_instance(web, instance, web->options.operator_port, err);
    return web->operators_started;
}
