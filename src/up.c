#include "up.h"

#include <poll.h>
#include <string.h>

#define UP_EVENT_PREFIX "data:"
#define UP_CONNECTIONS_MAX 512L

typedef struct UpCall {
    Up *up;
    uint64_t id;
    bool stream;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    GString *answer; /* Body, or the present line of a stream. */
    int status;
} UpCall;

struct Up {
    UpOptions options;
    CURLM *multi;
    GHashTable *calls; /* id to UpCall */
};

static size_t write_answer(char *data, size_t size, size_t count,
                           void *context);
static void free_call(gpointer data);
static void finish_calls(Up *up);

UpOptions
Up_DefaultOptions(void)
{
    UpOptions options = {0};
    return options;
}

Up *
Up_New(const UpOptions *options)
{
    Up *up = g_new0(Up, 1);

    curl_global_init(CURL_GLOBAL_DEFAULT);
    up->options = *options;
    up->multi = curl_multi_init();
    curl_multi_setopt(up->multi, CURLMOPT_MAXCONNECTS, UP_CONNECTIONS_MAX);
    up->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return up;
}

void
Up_Free(Up *up)
{
    g_hash_table_unref(up->calls);
    curl_multi_cleanup(up->multi);
    g_free(up);
}

static void
add_header(UpCall *call, const char *name, const char *value)
{
    char *line;

    if (value == NULL) {
        return;
    }
    line = g_strdup_printf("%s: %s", name, value);
    call->headers = curl_slist_append(call->headers, line);
    g_free(line);
}

static void
set_body(UpCall *call, const BoardCall *request)
{
    CURL *easy = call->easy;

    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    if (request->body == NULL && strcmp(request->method, "POST") != 0) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
        return;
    }
    call->body = g_memdup2(request->body, request->body_size);
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->body_size);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                     call->body != NULL ? call->body : "");
}

void
Up_BeginCall(Up *up, const BoardCall *request)
{
    UpCall *call = g_new0(UpCall, 1);
    char *url =
        g_strdup_printf("http://%s%s", request->address, request->path);

    call->up = up;
    call->id = request->id;
    call->stream = request->stream;
    call->answer = g_string_new(NULL);
    call->easy = curl_easy_init();
    add_header(call, "Content-Type", "application/json");
    add_header(call, "Expect", "");
    add_header(call, "X-Request-Id", request->request);
    add_header(call, "Idempotency-Key", request->idempotency_key);
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS, UP_CONNECT_MS);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, UP_TOTAL_MS);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, write_answer);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    if (request->fresh) {
        /* libcurl sends a call again by itself when a reused connection
           turns out to be closed; a fresh one rules that out. */
        curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_body(call, request);
    g_free(url);
    g_hash_table_insert(up->calls, &call->id, call);
    curl_multi_add_handle(up->multi, call->easy);
}

void
Up_EndCall(Up *up, uint64_t id)
{
    gint64 key = (gint64)id;
    g_hash_table_remove(up->calls, &key);
}

void
Up_Run(Up *up, struct pollfd *extra, guint count, int timeout_ms)
{
    struct curl_waitfd *fds = g_newa(struct curl_waitfd, count + 1);
    int running;

    for (guint i = 0; i < count; i++) {
        fds[i].fd = extra[i].fd;
        fds[i].events = 0;
        fds[i].events |= (extra[i].events & POLLIN) ? CURL_WAIT_POLLIN : 0;
        fds[i].events |= (extra[i].events & POLLOUT) ? CURL_WAIT_POLLOUT : 0;
        fds[i].revents = 0;
    }
    curl_multi_poll(up->multi, fds, count, timeout_ms, NULL);
    for (guint i = 0; i < count; i++) {
        extra[i].revents = 0;
        extra[i].revents |= (fds[i].revents & CURL_WAIT_POLLIN) ? POLLIN : 0;
        extra[i].revents |= (fds[i].revents & CURL_WAIT_POLLOUT) ? POLLOUT : 0;
    }
    curl_multi_perform(up->multi, &running);
    finish_calls(up);
}

void
Up_Wake(Up *up)
{
    curl_multi_wakeup(up->multi);
}

static void
post_event(const UpCall *call, BoardCallEventType type, const char *data,
           size_t size, bool sent)
{
    BoardCallEvent event = {0};

    event.call = call->id;
    event.type = type;
    event.status = call->status;
    event.data = data;
    event.size = size;
    event.sent = sent;
    call->up->options.on_event(call->up->options.context, &event);
}

/* Reads the whole lines of a stream. Handlers may give the call up, so its
   existence is checked after each event. */
static bool
take_lines(UpCall *call)
{
    Up *up = call->up;
    gint64 id = (gint64)call->id;
    char *end;

    while ((end = strchr(call->answer->str, '\n')) != NULL) {
        gsize size = (gsize)(end - call->answer->str);
        char *line = g_strndup(call->answer->str, size);
        g_string_erase(call->answer, 0, (gssize)size + 1);
        g_strstrip(line);
        if (g_str_has_prefix(line, UP_EVENT_PREFIX)) {
            const char *data = line + strlen(UP_EVENT_PREFIX);
            data += *data == ' ' ? 1 : 0;
            post_event(call, BOARD_CALL_DATA, data, strlen(data), true);
        }
        g_free(line);
        if (!g_hash_table_contains(up->calls, &id)) {
            return false;
        }
    }
    return true;
}

static size_t
write_answer(char *data, size_t size, size_t count, void *context)
{
    UpCall *call = context;
    long status = 0;

    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    call->status = (int)status;
    if (call->answer->len + size * count > UP_ANSWER_MAX) {
        return 0;
    }
    g_string_append_len(call->answer, data, (gssize)(size * count));
    return size * count;
}

/* Delivers the lines that curl_multi_perform gathered. This happens outside
   libcurl's callbacks, where calls may be given up. */
static void
deliver_lines(Up *up)
{
    GList *ids = g_hash_table_get_keys(up->calls);
    GArray *copies = g_array_new(FALSE, FALSE, sizeof(gint64));

    for (GList *item = ids; item != NULL; item = item->next) {
        g_array_append_vals(copies, item->data, 1);
    }
    g_list_free(ids);
    for (guint i = 0; i < copies->len; i++) {
        gint64 id = g_array_index(copies, gint64, i);
        UpCall *call = g_hash_table_lookup(up->calls, &id);
        if (call != NULL && call->stream && call->status == 200 &&
            call->answer->len > 0) {
            take_lines(call);
        }
    }
    g_array_unref(copies);
}

static void
finish_calls(Up *up)
{
    CURLMsg *message;
    int left;

    deliver_lines(up);
    while ((message = curl_multi_info_read(up->multi, &left)) != NULL) {
        UpCall *call = NULL;
        CURLcode result = message->data.result;
        long request_bytes = 0;
        long status = 0;
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
        curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
        call->status = (int)status;
        g_hash_table_steal(up->calls, &call->id);
        post_event(call,
                   result == CURLE_OK ? BOARD_CALL_END : BOARD_CALL_FAILED,
                   call->answer->str, call->answer->len, request_bytes > 0);
        free_call(call);
    }
}

static void
free_call(gpointer data)
{
    UpCall *call = data;

    curl_multi_remove_handle(call->up->multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    g_string_free(call->answer, TRUE);
    g_free(call->body);
    g_free(call);
}
