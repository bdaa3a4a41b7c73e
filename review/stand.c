/* Stand-ins of the second review: see stand.h. */
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define ITEMS_MAX 64
#define KEY_MAX 128
#define PROXY_CONNS_MAX 256
#define READY_TIMEOUT_MS 15000
#define BUFFER_SIZE 65536
#define LAST_CHUNK_SIZE 5
#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* Settings as the sheets name them. Node, IP, zone, region twice, three
   listeners, seeds, memory, six bounds, store. */
#define SETTINGS                                                              \
    "{\"node\":\"front-%s-%u\",\"role\":\"gate\",\"machine-class\":"          \
    "\"front\","                                                              \
    "\"serves\":[\"front\",\"control\"],\"ip\":\"%s\","                       \
    "\"zone\":\"%s\",\"region\":\"%s\",\"zones\":{\"%s\":\"%s\"},"            \
    "\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"control\":\"%s\"},"      \
    "\"seed-addrs\":[%s],\"first-start\":true,"                               \
    "\"loss-counted\":false,\"beat-ms\":1200,\"limits\":{\"cpu-share\":0.25," \
    "\"cores\":1,\"memory-mb\":%d,\"max-fds\":4100,\"link-mbps\":1000.0,"     \
    "\"disk-mb\":0},\"bounds\":{\"seed-lag-s\":3,\"reuse-s\":2,"              \
    "\"stable-ms\":%d,\"ack-ms\":%d,\"catchup-s\":4,\"drain-ms\":%d,"         \
    "\"grace-s\":8,\"loss-slack-ms\":200,\"config-ms\":%d,"                   \
    "\"back-slack-ms\":250,\"skew-max-ms\":%d,\"budget-ratio\":0.2,"          \
    "\"budget-window-s\":10,\"budget-slack\":%d,\"recovery-s\":12,"           \
    "\"transit-ms\":200,\"retry-s\":5.9,\"require-fencing\":true,"            \
    "\"lease-ms\":3000,\"thaw-slack-ms\":300},\"platform\":{\"addr\":"        \
    "\"%s\",\"form\":\"read\",\"reads-per-s\":2000,\"history-s\":20,"         \
    "\"value-bytes\":1048576}}\n"

typedef struct Item {
    char key[KEY_MAX];
    char *value; /* Base64. */
    uint64_t revision;
} Item;

struct StnStore {
    char address[STN_ADDRESS_MAX];
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    Item items[ITEMS_MAX];
    size_t count;
    uint64_t revision;
};

struct StnProxy {
    char address[STN_ADDRESS_MAX];
    char target[STN_ADDRESS_MAX];
    int listener;
    pthread_mutex_t mutex;
    unsigned generation; /* Connections of earlier ones are silent. */
};

typedef struct Service {
    int listener;
    int fd;
    StnHandler handler;
    void *context;
} Service;

typedef struct AnswerReader {
    StnAnswer answer;
    size_t head_size;
    size_t expected; /* SIZE_MAX: no length. */
    bool is_in_head;
    bool is_chunked;
    char tail[LAST_CHUNK_SIZE]; /* Last bytes of the body. */
} AnswerReader;

typedef struct ProxyConn {
    StnProxy *proxy;
    int fd;
} ProxyConn;

const StnSettings Stn_ZupanNajem = {
    .zone = "ljubljana-a",
    .region = "ljubljana",
    .memory_mb = 110,
    .stable_ms = 3000,
    .ack_ms = 4000,
    .drain_ms = 2500,
    .config_ms = 2500,
    .skew_max_ms = 5000,
    .budget_slack = 58,
};
const StnSettings Stn_ValdiviesoClaimsGrown = {
    .zone = "maule-talca",
    .region = "maule",
    .memory_mb = 96,
    .stable_ms = 4000,
    .ack_ms = 6000,
    .drain_ms = 4000,
    .config_ms = 4000,
    .skew_max_ms = 6000,
    .budget_slack = 156,
};

static struct timespec began;
static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static bool has_trouble = true;
static char folder[64]; /* Temporary. */
static pid_t processes[STN_GATES_MAX];
static size_t process_count;

static _Noreturn void fail(const char *what);
static struct sockaddr_in read_address(const char *address);
static char *encode_base64(const char *text);
static bool read_request(int fd, char *buffer, size_t *held,
                         StnRequest *request);
static void *accept_all(void *context);
static void *serve_one(void *context);
static bool answer_store(void *context, const StnRequest *request);
static void append(char **text, size_t *size, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
static void append_items(const StnStore *store, uint64_t after, char **text,
                         size_t *size);
static void *accept_proxied(void *context);
static void *pass_bytes(void *context);
static size_t read_head(AnswerReader *reader, const char *data, size_t size);
static void read_body(AnswerReader *reader, const char *data, size_t size);
static void take_address(const char *ip, char address[STN_ADDRESS_MAX]);
static void start_gate(StnGate *gate, unsigned number,
                       const StnSettings *settings, const char *seeds,
                       const char *store);

void
Stn_Begin(const char *dir)
{
    char path[512];
    const char *trouble = getenv("TROUBLE");

    clock_gettime(CLOCK_MONOTONIC, &began);
    signal(SIGPIPE, SIG_IGN);
    has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    snprintf(path, sizeof(path), "%s/record.txt", dir);
    record = fopen(path, "we");
    snprintf(folder, sizeof(folder), "/tmp/review-XXXXXX");
    if (record == NULL || mkdtemp(folder) == NULL) {
        exit(STN_NOT_RUN);
    }
    Stn_Record("begin, trouble %s", has_trouble ? "on" : "off");
}

void
Stn_End(int status)
{
    char path[128];

    for (size_t i = 0; i < process_count; i++) {
        kill(processes[i], SIGKILL);
        waitpid(processes[i], NULL, 0);
        snprintf(path, sizeof(path), "%s/gate-%zu.json", folder, i + 1);
        unlink(path);
        snprintf(path, sizeof(path), "%s/gate-%zu.log", folder, i + 1);
        if (getenv("KEEP_LOGS") == NULL) {
            unlink(path);
        }
    }
    rmdir(folder);
    Stn_Record("end, exit status %d", status);
    fclose(record);
    _exit(status);
}

static void
fail(const char *what)
{
    Stn_Record("the case could not run: %s", what);
    Stn_End(STN_NOT_RUN);
}

bool
Stn_HasTrouble(void)
{
    return has_trouble;
}

int64_t
Stn_Now(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)(now.tv_sec - began.tv_sec) * MS_PER_S +
           (now.tv_nsec - began.tv_nsec) / NS_PER_MS;
}

void
Stn_Sleep(int64_t ms)
{
    struct timespec time = {.tv_sec = ms / MS_PER_S,
                            .tv_nsec = ms % MS_PER_S * NS_PER_MS};

    if (ms > 0) {
        nanosleep(&time, NULL);
    }
}

void
Stn_SleepUntil(int64_t at_ms)
{
    Stn_Sleep(at_ms - Stn_Now());
}

void
Stn_Record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_mutex);
    fprintf(record, "%8.3f s  ", (double)Stn_Now() / MS_PER_S);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_mutex);
}

void
Stn_Spawn(void *(*run)(void *), void *context)
{
    pthread_t thread;
    pthread_attr_t attributes;

    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, context) != 0) {
        fail("no thread");
    }
    pthread_attr_destroy(&attributes);
}

void
Stn_GetIp(unsigned n, char ip[STN_ADDRESS_MAX])
{
    unsigned run = (unsigned)getpid();

    snprintf(ip, STN_ADDRESS_MAX, "127.%u.%u.%u", 64 + run / 250 % 128,
             1 + run % 250, n);
}

static struct sockaddr_in
read_address(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char ip[STN_ADDRESS_MAX];
    char *port;

    snprintf(ip, sizeof(ip), "%s", address);
    port = strchr(ip, ':');
    if (port != NULL) {
        *port = '\0';
        to.sin_port = htons((uint16_t)strtoul(port + 1, NULL, 10));
    }
    inet_pton(AF_INET, ip, &to.sin_addr);
    return to;
}

int
Stn_Listen(const char *ip, char address[STN_ADDRESS_MAX])
{
    struct sockaddr_in own = read_address(ip);
    socklen_t size = sizeof(own);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&own, size) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&own, &size) != 0) {
        fail("no listener");
    }
    snprintf(address, STN_ADDRESS_MAX, "%s:%u", ip, ntohs(own.sin_port));
    return fd;
}

/* Finds an address with a free port, which a gate can listen on. */
static void
take_address(const char *ip, char address[STN_ADDRESS_MAX])
{
    close(Stn_Listen(ip, address));
}

void
Stn_Serve(int listener, StnHandler handler, void *context)
{
    Service *service = calloc(1, sizeof(*service));

    service->listener = listener;
    service->handler = handler;
    service->context = context;
    Stn_Spawn(accept_all, service);
}

static void *
accept_all(void *context)
{
    const Service *service = context;

    for (;;) {
        Service *one = calloc(1, sizeof(*one));
        *one = *service;
        one->fd = accept4(service->listener, NULL, NULL, SOCK_CLOEXEC);
        if (one->fd < 0) {
            free(one);
            return NULL;
        }
        Stn_Spawn(serve_one, one);
    }
}

static void *
serve_one(void *context)
{
    Service *one = context;

    Stn_ServeConnection(one->fd, one->handler, one->context);
    close(one->fd);
    free(one);
    return NULL;
}

void
Stn_ServeConnection(int fd, StnHandler handler, void *context)
{
    char *buffer = malloc(BUFFER_SIZE);
    StnRequest *request = calloc(1, sizeof(*request));
    size_t held = 0;
    bool is_kept = true;

    request->fd = fd;
    while (is_kept && read_request(fd, buffer, &held, request)) {
        is_kept = handler(context, request);
        free(request->body);
        request->body = NULL;
    }
    free(request);
    free(buffer);
}

/* Reads one request with its body. `held` bytes of the buffer are of the next
   request. */
static bool
read_request(int fd, char *buffer, size_t *held, StnRequest *request)
{
    char value[32];
    char *end;
    size_t head_size;
    size_t have;

    for (;;) {
        ssize_t got;
        buffer[*held] = '\0';
        end = strstr(buffer, "\r\n\r\n");
        if (end != NULL || *held >= STN_HEAD_MAX) {
            break;
        }
        got = recv(fd, buffer + *held, BUFFER_SIZE - 1 - *held, 0);
        if (got <= 0) {
            return false;
        }
        *held += (size_t)got;
    }
    if (end == NULL || end + 4 - buffer >= STN_HEAD_MAX) {
        return false;
    }
    head_size = (size_t)(end + 4 - buffer);
    memcpy(request->head, buffer, head_size);
    request->head[head_size] = '\0';
    if (sscanf(request->head, "%15s %511s", request->method,
               request->target) != 2) {
        return false;
    }
    request->body_size =
        Stn_GetField(request->head, "Content-Length", value, sizeof(value))
            ? strtoul(value, NULL, 10)
            : 0;
    request->body = malloc(request->body_size + 1);
    have = *held - head_size;
    have = have < request->body_size ? have : request->body_size;
    memcpy(request->body, buffer + head_size, have);
    *held -= head_size + have;
    memmove(buffer, buffer + head_size + have, *held);
    while (have < request->body_size) {
        ssize_t got =
            recv(fd, request->body + have, request->body_size - have, 0);
        if (got <= 0) {
            free(request->body);
            request->body = NULL;
            return false;
        }
        have += (size_t)got;
    }
    request->body[request->body_size] = '\0';
    return true;
}

bool
Stn_Send(int fd, const void *data, size_t size)
{
    const char *at = data;

    while (size > 0) {
        ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        at += sent;
        size -= (size_t)sent;
    }
    return true;
}

bool
Stn_SendText(int fd, const char *format, ...)
{
    char text[STN_HEAD_MAX];
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    return size > 0 && (size_t)size < sizeof(text) &&
           Stn_Send(fd, text, (size_t)size);
}

bool
Stn_GetField(const char *head, const char *name, char *value, size_t size)
{
    size_t name_size = strlen(name);
    const char *line = strstr(head, "\r\n");

    while (line != NULL) {
        line += 2;
        if (strncasecmp(line, name, name_size) == 0 &&
            line[name_size] == ':') {
            const char *from = line + name_size + 1;
            from += strspn(from, " ");
            snprintf(value, size, "%.*s", (int)strcspn(from, "\r"), from);
            return true;
        }
        line = strstr(line, "\r\n");
    }
    return false;
}

StnStore *
Stn_NewStore(const char *ip)
{
    StnStore *store = calloc(1, sizeof(*store));
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_mutex_init(&store->mutex, NULL);
    pthread_cond_init(&store->changed, &attributes);
    store->revision = 100;
    Stn_Serve(Stn_Listen(ip, store->address), answer_store, store);
    return store;
}

const char *
Stn_GetStoreAddress(const StnStore *store)
{
    return store->address;
}

int64_t
Stn_Put(StnStore *store, const char *key, const char *value)
{
    Item *item = NULL;

    pthread_mutex_lock(&store->mutex);
    for (size_t i = 0; i < store->count; i++) {
        if (strcmp(store->items[i].key, key) == 0) {
            item = &store->items[i];
        }
    }
    if (item == NULL) {
        item = &store->items[store->count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    free(item->value);
    item->value = encode_base64(value);
    item->revision = ++store->revision;
    pthread_cond_broadcast(&store->changed);
    pthread_mutex_unlock(&store->mutex);
    Stn_Record("store: %s at revision %llu acknowledged", key,
               (unsigned long long)item->revision);
    return Stn_Now();
}

static char *
encode_base64(const char *text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char *out = calloc(1, size / 3 * 4 + 5);
    char *to = out;

    for (size_t i = 0; i < size; i += 3) {
        size_t left = size - i;
        uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
        bits |= left > 1 ? (uint32_t)(unsigned char)text[i + 1] << 8 : 0;
        bits |= left > 2 ? (uint32_t)(unsigned char)text[i + 2] : 0;
        *to++ = digits[bits >> 18];
        *to++ = digits[bits >> 12 & 63];
        *to++ = '=';
        *to++ = '=';
        if (left > 1) {
            to[-2] = digits[bits >> 6 & 63];
        }
        if (left > 2) {
            to[-1] = digits[bits & 63];
        }
    }
    return out;
}

/* Answers the calls for all keys and for changes. */
static bool
answer_store(void *context, const StnRequest *request)
{
    StnStore *store = context;
    bool is_watch = strncmp(request->target, "/v1/kv-watch?", 13) == 0;
    const char *after_text = strstr(request->target, "after=");
    const char *wait_text = strstr(request->target, "wait-ms=");
    uint64_t after = 0;
    char *body = NULL;
    size_t size = 0;
    struct timespec until;
    bool is_sent;

    if (is_watch && after_text != NULL && wait_text != NULL) {
        int64_t wait_ms = strtoll(wait_text + 8, NULL, 10);
        after = strtoull(after_text + 6, NULL, 10);
        clock_gettime(CLOCK_MONOTONIC, &until);
        until.tv_sec += wait_ms / MS_PER_S;
        until.tv_nsec += wait_ms % MS_PER_S * NS_PER_MS;
        until.tv_sec += until.tv_nsec / (MS_PER_S * NS_PER_MS);
        until.tv_nsec %= MS_PER_S * NS_PER_MS;
    }
    pthread_mutex_lock(&store->mutex);
    while (is_watch && store->revision <= after &&
           pthread_cond_timedwait(&store->changed, &store->mutex, &until) !=
               ETIMEDOUT) {
    }
    append(&body, &size, "{\"%s\":[", is_watch ? "events" : "items");
    append_items(store, after, &body, &size);
    append(&body, &size, "],\"truncated\":false,\"as-of\":%llu}",
           (unsigned long long)store->revision);
    pthread_mutex_unlock(&store->mutex);
    is_sent = Stn_SendText(request->fd,
                           "HTTP/1.1 200 OK\r\nContent-Type: "
                           "application/json\r\nContent-Length: %zu\r\n\r\n",
                           size) &&
              Stn_Send(request->fd, body, size);
    free(body);
    return is_sent;
}

static void
append_items(const StnStore *store, uint64_t after, char **text, size_t *size)
{
    bool is_first = true;

    for (size_t i = 0; i < store->count; i++) {
        const Item *item = &store->items[i];
        if (item->revision <= after) {
            continue;
        }
        append(text, size,
               "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
               "\"created\":%llu,\"lease\":0}",
               is_first ? "" : ",", item->key, item->value,
               (unsigned long long)item->revision,
               (unsigned long long)item->revision);
        is_first = false;
    }
}

static void
append(char **text, size_t *size, const char *format, ...)
{
    va_list arguments;
    int more;

    va_start(arguments, format);
    more = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    *text = realloc(*text, *size + (size_t)more + 1);
    va_start(arguments, format);
    vsnprintf(*text + *size, (size_t)more + 1, format, arguments);
    va_end(arguments);
    *size += (size_t)more;
}

StnProxy *
Stn_NewProxy(const char *ip, const char *target)
{
    StnProxy *proxy = calloc(1, sizeof(*proxy));

    pthread_mutex_init(&proxy->mutex, NULL);
    snprintf(proxy->target, sizeof(proxy->target), "%s", target);
    proxy->listener = Stn_Listen(ip, proxy->address);
    Stn_Spawn(accept_proxied, proxy);
    return proxy;
}

const char *
Stn_GetProxyAddress(const StnProxy *proxy)
{
    return proxy->address;
}

void
Stn_SilenceProxy(StnProxy *proxy)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->generation++;
    pthread_mutex_unlock(&proxy->mutex);
}

static void *
accept_proxied(void *context)
{
    StnProxy *proxy = context;

    for (;;) {
        ProxyConn *conn = calloc(1, sizeof(*conn));
        conn->proxy = proxy;
        conn->fd = accept4(proxy->listener, NULL, NULL, SOCK_CLOEXEC);
        if (conn->fd < 0) {
            free(conn);
            return NULL;
        }
        Stn_Spawn(pass_bytes, conn);
    }
}

/* Passes the bytes of a connection in both directions until an end of it
   closes; once it is silent, they are read and dropped. */
static void *
pass_bytes(void *context)
{
    ProxyConn *conn = context;
    StnProxy *proxy = conn->proxy;
    char *buffer = malloc(BUFFER_SIZE);
    struct pollfd ends[2] = {{.fd = conn->fd, .events = POLLIN},
                             {.events = POLLIN}};
    unsigned generation;
    bool is_open;

    pthread_mutex_lock(&proxy->mutex);
    generation = proxy->generation;
    pthread_mutex_unlock(&proxy->mutex);
    ends[1].fd = Stn_Connect(proxy->target);
    is_open = ends[1].fd >= 0;
    while (is_open && poll(ends, 2, -1) > 0) {
        for (int i = 0; i < 2 && is_open; i++) {
            ssize_t got;
            bool is_silent;
            if (ends[i].revents == 0) {
                continue;
            }
            got = recv(ends[i].fd, buffer, BUFFER_SIZE, 0);
            pthread_mutex_lock(&proxy->mutex);
            is_silent = proxy->generation != generation;
            pthread_mutex_unlock(&proxy->mutex);
            is_open = got > 0 && (is_silent || Stn_Send(ends[1 - i].fd, buffer,
                                                        (size_t)got));
        }
    }
    close(conn->fd);
    if (ends[1].fd >= 0) {
        close(ends[1].fd);
    }
    free(buffer);
    free(conn);
    return NULL;
}

void
Stn_StartGates(StnGate *gates, unsigned count, const StnSettings *settings,
               const char *const *stores)
{
    char seeds[STN_GATES_MAX * (STN_ADDRESS_MAX + 3)] = "";
    int64_t until_ms;

    for (unsigned i = 0; i < count; i++) {
        size_t size = strlen(seeds);
        Stn_GetIp(i + 1, gates[i].ip);
        take_address(gates[i].ip, gates[i].front);
        take_address(gates[i].ip, gates[i].ready);
        take_address(gates[i].ip, gates[i].control);
        snprintf(seeds + size, sizeof(seeds) - size, "%s\"%s\"",
                 i > 0 ? "," : "", gates[i].control);
    }
    for (unsigned i = 0; i < count; i++) {
        start_gate(&gates[i], i + 1, settings, seeds, stores[i]);
    }
    until_ms = Stn_Now() + READY_TIMEOUT_MS;
    for (unsigned i = 0; i < count; i++) {
        while (Stn_Ask(gates[i].ready,
                       "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n", 1000)
                   .status != 200) {
            if (Stn_Now() > until_ms) {
                fail("a gate is not ready");
            }
            Stn_Sleep(50);
        }
        Stn_Record("gate %u at %s is ready", i + 1, gates[i].front);
    }
}

static void
start_gate(StnGate *gate, unsigned number, const StnSettings *settings,
           const char *seeds, const char *store)
{
    static char metrics_flag[] = "--metrics-port";
    static char metrics_port[] = "9464";
    static char path[] = "target/lavenderspool-gate";
    char *arguments[] = {path, metrics_flag, metrics_port, NULL};
    char settings_path[128];
    char log_path[128];
    char variable[192];
    char search[] = "PATH=/usr/bin:/bin";
    char *environment[] = {variable, search, NULL};
    posix_spawn_file_actions_t actions;
    FILE *file;

    snprintf(settings_path, sizeof(settings_path), "%s/gate-%u.json", folder,
             number);
    snprintf(log_path, sizeof(log_path), "%s/gate-%u.log", folder, number);
    snprintf(variable, sizeof(variable), "LAVENDERSPOOL_SETTINGS=%s",
             settings_path);
    file = fopen(settings_path, "we");
    if (file != NULL) {
        fprintf(file, SETTINGS, settings->zone, number, gate->ip,
                settings->zone, settings->region, settings->zone,
                settings->region, gate->front, gate->ready, gate->control,
                seeds, settings->memory_mb, settings->stable_ms,
                settings->ack_ms, settings->drain_ms, settings->config_ms,
                settings->skew_max_ms, settings->budget_slack, store);
        fclose(file);
    }
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_path,
                                     O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    if (posix_spawn(&gate->pid, path, &actions, NULL, arguments,
                    environment) != 0) {
        fail("the gate does not start");
    }
    posix_spawn_file_actions_destroy(&actions);
    processes[process_count++] = gate->pid;
}

double
Stn_GetMemory(const StnGate *gate)
{
    char path[64];
    char line[256];
    double kb = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)gate->pid);
    file = fopen(path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kb = strtod(line + 6, NULL);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kb * 1024 / 1e6;
}

int
Stn_Connect(const char *address)
{
    struct sockaddr_in to = read_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

StnAnswer
Stn_ReadAnswer(int fd, int64_t timeout_ms)
{
    AnswerReader reader = {.expected = SIZE_MAX, .is_in_head = true};
    int64_t until_ms = Stn_Now() + timeout_ms;
    char *buffer = malloc(BUFFER_SIZE);

    while (!reader.answer.is_complete) {
        struct pollfd ready = {.fd = fd, .events = POLLIN};
        int64_t left_ms = until_ms - Stn_Now();
        ssize_t got = -1;

        if (left_ms > 0 && poll(&ready, 1, (int)left_ms) > 0) {
            got = recv(fd, buffer, BUFFER_SIZE, 0);
        }
        if (got <= 0) {
            /* Without a length or chunks, the end is that of the channel. */
            reader.answer.is_complete = got == 0 && !reader.is_in_head &&
                                        reader.expected == SIZE_MAX &&
                                        !reader.is_chunked;
            break;
        }
        if (reader.is_in_head) {
            size_t used = read_head(&reader, buffer, (size_t)got);
            read_body(&reader, buffer + used, (size_t)got - used);
        }
        else {
            read_body(&reader, buffer, (size_t)got);
        }
    }
    free(buffer);
    return reader.answer;
}

/* Returns how many bytes are of the head. */
static size_t
read_head(AnswerReader *reader, const char *data, size_t size)
{
    StnAnswer *answer = &reader->answer;
    size_t taken = STN_HEAD_MAX - 1 - reader->head_size;
    char value[32];
    const char *end;
    size_t head_size;

    taken = taken < size ? taken : size;
    memcpy(answer->head + reader->head_size, data, taken);
    answer->head[reader->head_size + taken] = '\0';
    end = strstr(answer->head, "\r\n\r\n");
    if (end == NULL) {
        reader->head_size += taken;
        return size;
    }
    head_size = (size_t)(end + 4 - answer->head);
    answer->head[head_size] = '\0';
    answer->status =
        (int)strtol(answer->head + strcspn(answer->head, " "), NULL, 10);
    if (Stn_GetField(answer->head, "Content-Length", value, sizeof(value))) {
        reader->expected = strtoul(value, NULL, 10);
    }
    reader->is_chunked =
        Stn_GetField(answer->head, "Transfer-Encoding", value, sizeof(value));
    reader->is_in_head = false;
    return head_size - reader->head_size;
}

/* The stand-ins' own bodies never hold the bytes of the last chunk. */
static void
read_body(AnswerReader *reader, const char *data, size_t size)
{
    StnAnswer *answer = &reader->answer;
    size_t kept = size < LAST_CHUNK_SIZE ? LAST_CHUNK_SIZE - size : 0;
    size_t added = LAST_CHUNK_SIZE - kept;

    if (reader->is_in_head) {
        return;
    }
    memmove(reader->tail, reader->tail + LAST_CHUNK_SIZE - kept, kept);
    memcpy(reader->tail + kept, data + size - added, added);
    answer->body_size += size;
    answer->is_complete =
        reader->is_chunked
            ? memcmp(reader->tail, "0\r\n\r\n", LAST_CHUNK_SIZE) == 0
            : answer->body_size >= reader->expected;
}

StnAnswer
Stn_Ask(const char *address, const char *request, int64_t timeout_ms)
{
    StnAnswer answer = {0};
    int fd = Stn_Connect(address);

    if (fd < 0) {
        return answer;
    }
    if (Stn_Send(fd, request, strlen(request))) {
        answer = Stn_ReadAnswer(fd, timeout_ms);
    }
    close(fd);
    return answer;
}
