#include "upstream.h"
#include "curl_check.h"

#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define UP_EVENT_PREFIX "data:"
#define UP_CONNECTIONS_MAX 512L /* Connections kept open for reuse. */
#define UP_BUFFER_BYTES 4096L   /* Receive buffer of each call. */
#define UP_EVENTS_MAX 256       /* Sockets handled by one Up_Run(). */

typedef struct UpCall {
    Up *up;
    uint64_t id;
    bool stream;
    CURL *easy;
    CurlCheck check;
    struct curl_slist *headers;
    char *body;
    size_t body_size;
    GString *answer; /* Body, or data of a stream not yet delivered. */
    int status;
    bool has_new_lines; /* The call is in up->calls_with_lines. */
} UpCall;

struct Up {
    UpOptions options;
    CURLM *multi;
    int epoll;         /* epoll instance with libcurl's sockets */
    int wake;          /* eventfd of Up_Wake() */
    int64_t timer_us;  /* Expiry time of libcurl's timer; 0 if not set. */
    GHashTable *calls; /* Call's id to UpCall. */
    GArray *calls_with_lines; /* gint64: ids of streams with new data */
};

static size_t write_answer(char *data, size_t size, size_t count,
                           void *context);
static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *context,
                        void *present);
static int set_timer(CURLM *multi, long timeout_ms, void *context);
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
    up->epoll = epoll_create1(EPOLL_CLOEXEC);
    up->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    up->calls_with_lines = g_array_new(FALSE, FALSE, sizeof(gint64));
    curl_multi_setopt(up->multi, CURLMOPT_MAXCONNECTS, UP_CONNECTIONS_MAX);
    curl_multi_setopt(up->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(up->multi, CURLMOPT_SOCKETDATA, up);
    curl_multi_setopt(up->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(up->multi, CURLMOPT_TIMERDATA, up);
    up->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return up;
}

void
Up_Free(Up *up)
{
    g_hash_table_unref(up->calls);
    curl_multi_cleanup(up->multi);
    g_array_unref(up->calls_with_lines);
    close(up->epoll);
    close(up->wake);
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
    call->body_size = request->body_size;
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
    curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     UP_CONNECT_TIMEOUT_MS);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, UP_TOTAL_TIMEOUT_MS);
    curl_easy_setopt(call->easy, CURLOPT_BUFFERSIZE, UP_BUFFER_BYTES);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, write_answer);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    if (request->fresh) {
        /* libcurl resends a request on its own when a reused connection turns
           out to be closed. A new connection prevents that. */
        curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    CurlCheck_Begin(&call->check, call->easy);
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

/* Returns the time to wait in milliseconds: timeout_ms, or less if libcurl's
   timer expires earlier. */
static int
get_timeout(const Up *up, int timeout_ms)
{
    int64_t remaining_us;

    if (up->timer_us == 0) {
        return timeout_ms;
    }
    remaining_us = MAX(up->timer_us - g_get_monotonic_time(), 0);
    return (int)MIN((remaining_us + CLK_US_PER_MS - 1) / CLK_US_PER_MS,
                    timeout_ms);
}

/* Lets libcurl handle the sockets that are ready, and its timer. */
static void
run_sockets(Up *up)
{
    struct epoll_event events[UP_EVENTS_MAX];
    int running;
    int count = epoll_wait(up->epoll, events, UP_EVENTS_MAX, 0);

    for (int i = 0; i < count; i++) {
        int mask = 0;
        mask |= (events[i].events & EPOLLIN) ? CURL_CSELECT_IN : 0;
        mask |= (events[i].events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
        mask |=
            (events[i].events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(up->multi, events[i].data.fd, mask, &running);
    }
    if (up->timer_us != 0 && g_get_monotonic_time() >= up->timer_us) {
        up->timer_us = 0;
        curl_multi_socket_action(up->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void
Up_Run(Up *up, GArray *fds, int timeout_ms)
{
    struct pollfd own_fds[] = {{up->epoll, POLLIN, 0}, {up->wake, POLLIN, 0}};
    uint64_t count;

    g_array_append_vals(fds, own_fds, G_N_ELEMENTS(own_fds));
    poll((struct pollfd *)(void *)fds->data, fds->len,
         get_timeout(up, timeout_ms));
    g_array_set_size(fds, fds->len - G_N_ELEMENTS(own_fds));
    if (read(up->wake, &count, sizeof(count)) < 0) {
        count = 0; /* Up_Wake was not called. */
    }
    run_sockets(up);
    finish_calls(up);
}

void
Up_Wake(Up *up)
{
    uint64_t one = 1;
    ssize_t written = write(up->wake, &one, sizeof(one));

    /* The write fails only if the counter is full, and a full counter wakes
       the loop as well. */
    (void)written;
}

/* libcurl callback: adds a socket to the epoll set, changes or removes it.
   `present` is NULL for a socket that isn't in the set. */
static int
watch_socket(CURL *easy, curl_socket_t fd, int what, void *context,
             void *present)
{
    Up *up = context;
    struct epoll_event event = {0};

    (void)easy;
    event.data.fd = fd;
    event.events |= (what & CURL_POLL_IN) ? EPOLLIN : 0;
    event.events |= (what & CURL_POLL_OUT) ? EPOLLOUT : 0;
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(up->epoll, EPOLL_CTL_DEL, fd, NULL);
    }
    else if (present != NULL) {
        epoll_ctl(up->epoll, EPOLL_CTL_MOD, fd, &event);
    }
    else {
        epoll_ctl(up->epoll, EPOLL_CTL_ADD, fd, &event);
        curl_multi_assign(up->multi, fd, up);
    }
    return 0;
}

/* libcurl callback: sets or, if timeout_ms is negative, clears the timer. */
static int
set_timer(CURLM *multi, long timeout_ms, void *context)
{
    Up *up = context;

    (void)multi;
    up->timer_us = timeout_ms < 0
                       ? 0
                       : g_get_monotonic_time() + timeout_ms * CLK_US_PER_MS;
    return 0;
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

/* Delivers the complete lines of a stream. Handlers may cancel the call, so
   its existence is checked after each event. Returns false if it was
   cancelled. */
static bool
deliver_call_lines(UpCall *call)
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

/* libcurl callback: appends received data to the answer. Returns 0, which
   fails the call, if the answer is too large. */
static size_t
write_answer(char *data, size_t size, size_t count, void *context)
{
    UpCall *call = context;
    long status = 0;

    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    call->status = (int)status;
    if (call->answer->len + size * count > UP_ANSWER_BYTES_MAX) {
        return 0;
    }
    g_string_append_len(call->answer, data, (gssize)(size * count));
    if (call->stream && call->status == 200 && !call->has_new_lines) {
        gint64 id = (gint64)call->id;
        call->has_new_lines = true;
        g_array_append_val(call->up->calls_with_lines, id);
    }
    return size * count;
}

/* Delivers the new lines of all streams. This is done outside libcurl's
   callbacks, since a call can't be removed from within them and handlers may
   cancel calls. */
static void
deliver_lines(Up *up)
{
    GArray *calls_with_lines = up->calls_with_lines;

    up->calls_with_lines = g_array_new(FALSE, FALSE, sizeof(gint64));
    for (guint i = 0; i < calls_with_lines->len; i++) {
        gint64 id = g_array_index(calls_with_lines, gint64, i);
        UpCall *call = g_hash_table_lookup(up->calls, &id);
        if (call != NULL) {
            call->has_new_lines = false;
            deliver_call_lines(call);
        }
    }
    g_array_unref(calls_with_lines);
}

/* Delivers the new lines of streams and then the ends of calls. */
static void
finish_calls(Up *up)
{
    CURLMsg *message;
    int remaining;

    deliver_lines(up);
    while ((message = curl_multi_info_read(up->multi, &remaining)) != NULL) {
        UpCall *call = NULL;
        bool is_complete = message->data.result == CURLE_OK;
        long request_bytes = 0;
        long status = 0;
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
        curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
        call->status = (int)status;
        is_complete =
            is_complete && CurlCheck_IsComplete(&call->check, call->body_size);
        g_hash_table_steal(up->calls, &call->id);
        post_event(call, is_complete ? BOARD_CALL_END : BOARD_CALL_FAILED,
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
