/* Rig of the review's scripts: see rig.h. */
#include "rig.h"

#include "io/loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define RIG_FRONT_PORT 8149
#define RIG_READY_PORT 8141
#define RIG_CONTROL_PORT 8144
#define RIG_METRICS_PORT "9464" /* As in the deploy file. */
#define RIG_FIRST_STORE 100     /* Last part of the store's address. */
#define RIG_GRACE_MS 8000       /* Setting grace-s. */
#define RIG_SLOTS 128
#define RIG_PLAIN_SLOTS 6
#define RIG_HANDLE_TTL_US (500 * CLK_US_PER_MS)
#define RIG_TICK_MS 5
#define RIG_TRANSFER_US (5 * CLK_US_PER_MS)
#define RIG_DEADLINE_MS 14000

/* A request that a worker works on. */
typedef struct RigJob {
    LIST_ENTRY(RigJob) links;
    RigWorker *worker;
    ServerExchange *exchange;
    struct event *timer;
    RigRequest *request;
    char id[RIG_ID_SIZE];
    bool is_prefill;
    bool is_begun;         /* The head of the stream was sent. */
    uint32_t next;         /* Next event. */
    int64_t other_us;      /* When another worker was sent it too. */
    uint32_t other_events; /* Events made since. */
} RigJob;

struct RigWorker {
    Rig *rig;
    Server *server;
    char id[16];
    char address[32];
    uint32_t number;
    bool is_decode;
    bool is_plain;
    uint32_t running;
    int64_t read_until_us; /* When the prompts that wait have been read. */
};

typedef struct RigWatch {
    LIST_ENTRY(RigWatch) links;
    Rig *rig;
    ServerExchange *exchange;
    struct event *timer;
} RigWatch;

struct Rig {
    RigOptions options;
    Clk clk;
    struct event_base *base;
    struct event *tick;
    struct event *end_timer;
    struct event *child;
    struct event *kill_timers[RIG_VMS_MAX];
    Server *store;
    char net[16]; /* First three parts of the addresses, with a dot. */
    RigWorker workers[RIG_WORKERS_MAX];
    uint32_t worker_count;
    RigVm vms[RIG_VMS_MAX];
    RigCaller callers[RIG_CALLERS_MAX];
    uint32_t caller_vms[RIG_CALLERS_MAX];
    uint32_t caller_count;
    RigRequest requests[RIG_REQUESTS_MAX];
    uint32_t request_count;
    LIST_HEAD(RigJobList, RigJob) jobs;
    LIST_HEAD(RigWatchList, RigWatch) watches;
    GHashTable *handles; /* Handle to the time when it lapses. */
    uint32_t next_handle;
    uint32_t next_hold;
    FILE *record;
    int64_t began_us;
    int status;
};

static void choose_net(Rig *rig);
static bool can_bind(const char *ip, uint16_t port);
static Server *open_server(Rig *rig, uint32_t host, void *context,
                           void (*on_request)(void *, ServerExchange *),
                           void (*on_disconnect)(void *, ServerExchange *));
static void on_tick(evutil_socket_t fd, short what, void *context);
static void on_end_time(evutil_socket_t fd, short what, void *context);
static void on_child(evutil_socket_t fd, short what, void *context);
static void on_kill(evutil_socket_t fd, short what, void *context);
static void write_settings(Rig *rig, uint32_t vm);
static void on_output(evutil_socket_t fd, short what, void *context);
static void note_pid(const Rig *rig, pid_t pid);
static void on_store_request(void *context, ServerExchange *exchange);
static void on_store_disconnect(void *context, ServerExchange *exchange);
static void on_watch_end(evutil_socket_t fd, short what, void *context);
static char *list_items(const Rig *rig);
static void add_item(json_t *items, const char *key, json_t *value);
static json_t *get_config(void);
static json_t *get_route(const char *name, bool can_resume);
static json_t *get_plain_route(void);
static void on_request(void *context, ServerExchange *exchange);
static void on_disconnect(void *context, ServerExchange *exchange);
static void answer(RigWorker *worker, ServerExchange *exchange, int status,
                   const char *id, bool not_run, const char *body);
static void answer_control(RigWorker *worker, ServerExchange *exchange);
static int64_t get_first_token_time(RigWorker *worker,
                                    const ServerExchange *exchange,
                                    bool is_prefill);
static bool take_handle(Rig *rig, const ServerExchange *exchange);
static void begin_job(RigWorker *worker, ServerExchange *exchange,
                      bool is_prefill, int64_t begin_us);
static void note_run(RigJob *job);
static void on_job_timer(evutil_socket_t fd, short what, void *context);
static void end_plain(RigJob *job);
static void end_job(RigJob *job);
static RigRequest *add_request(RigCaller *caller);
static RigRequest *find_request(Rig *rig, const char *id);
static void on_caller_read(struct bufferevent *bev, void *context);
static void on_caller_event(struct bufferevent *bev, short what,
                            void *context);
static int parse_header_end(http_parser *parser);
static int parse_field(http_parser *parser, const char *at, size_t size);
static int parse_body(http_parser *parser, const char *at, size_t size);
static int parse_end(http_parser *parser);
static void end_request(RigCaller *caller);
static void close_caller(RigCaller *caller);

static const http_parser_settings caller_parser = {
    .on_header_field = parse_field,
    .on_headers_complete = parse_header_end,
    .on_body = parse_body,
    .on_message_complete = parse_end,
};

RigOptions
Rig_DefaultOptions(void)
{
    RigOptions options = {
        .gate = "target/lavenderspool-gate",
        .root = ".",
        .out = ".",
        .record = "record.txt",
        .has_trouble = true,
        .vms = 3,
        .prefills = 2,
        .decodes = 4,
        .seconds = 100,
    };
    const char *trouble = getenv("TROUBLE");

    options.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
    return options;
}

bool
Rig_ReadFlags(int argc, char **argv, RigOptions *options)
{
    for (int i = 1; i + 1 < argc; i += 2) {
        if (strcmp(argv[i], "--gate") == 0) {
            options->gate = argv[i + 1];
        }
        else if (strcmp(argv[i], "--root") == 0) {
            options->root = argv[i + 1];
        }
        else if (strcmp(argv[i], "--out") == 0) {
            options->out = argv[i + 1];
        }
        else if (strcmp(argv[i], "--record") == 0) {
            options->record = argv[i + 1];
        }
        else {
            fprintf(stderr, "unknown flag %s\n", argv[i]);
            return false;
        }
    }
    return argc % 2 == 1;
}

Rig *
Rig_New(const RigOptions *options)
{
    Rig *rig = g_new0(Rig, 1);
    uint32_t models = options->prefills + options->decodes;
    uint32_t count = models + options->plains;

    rig->options = *options;
    rig->clk = Clk_Default();
    rig->began_us = Clk_Now(&rig->clk);
    rig->status = 2;
    rig->record = fopen(options->record, "w");
    if (rig->record == NULL || options->vms > RIG_VMS_MAX ||
        count > RIG_WORKERS_MAX) {
        fprintf(stderr, "can't begin: %s\n", g_strerror(errno));
        exit(2);
    }
    setvbuf(rig->record, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    rig->base = event_base_new();
    rig->handles =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    LIST_INIT(&rig->jobs);
    LIST_INIT(&rig->watches);
    choose_net(rig);
    rig->store = open_server(rig, RIG_FIRST_STORE, rig, on_store_request,
                             on_store_disconnect);
    for (uint32_t i = 0; i < count; i++) {
        RigWorker *worker = &rig->workers[i];
        worker->rig = rig;
        worker->number = i;
        worker->is_plain = i >= models;
        worker->is_decode = i >= options->prefills && i < models;
        g_snprintf(worker->id, sizeof(worker->id), "i-%c%u",
                   worker->is_plain    ? 'a'
                   : worker->is_decode ? 'd'
                                       : 'p',
                   i);
        worker->server = open_server(rig, RIG_FIRST_STORE + 1 + i, worker,
                                     on_request, on_disconnect);
        g_snprintf(worker->address, sizeof(worker->address), "%s%u:%u",
                   rig->net, RIG_FIRST_STORE + 1 + i,
                   Server_GetPort(worker->server));
        rig->worker_count++;
    }
    rig->tick = event_new(rig->base, -1, EV_PERSIST, on_tick, rig);
    rig->end_timer = evtimer_new(rig->base, on_end_time, rig);
    rig->child = evsignal_new(rig->base, SIGCHLD, on_child, rig);
    evsignal_add(rig->child, NULL);
    for (uint32_t i = 0; i < options->vms; i++) {
        rig->kill_timers[i] = evtimer_new(rig->base, on_kill, &rig->vms[i]);
        write_settings(rig, i);
        Rig_StartVm(rig, i);
    }
    return rig;
}

void
Rig_Free(Rig *rig)
{
    for (uint32_t i = 0; i < rig->options.vms; i++) {
        if (rig->vms[i].pid != 0) {
            kill(rig->vms[i].pid, SIGCONT);
            kill(rig->vms[i].pid, SIGKILL);
            waitpid(rig->vms[i].pid, NULL, 0);
        }
        event_free(rig->vms[i].output);
        close(rig->vms[i].output_fd);
        if (rig->vms[i].log_file != NULL) {
            fclose(rig->vms[i].log_file);
        }
        event_free(rig->kill_timers[i]);
    }
    for (uint32_t i = 0; i < rig->caller_count; i++) {
        close_caller(&rig->callers[i]);
    }
    while (!LIST_EMPTY(&rig->jobs)) {
        RigJob *job = LIST_FIRST(&rig->jobs);
        job->exchange->owner = NULL;
        end_job(job);
    }
    for (uint32_t i = 0; i < rig->worker_count; i++) {
        Server_Free(rig->workers[i].server);
    }
    while (!LIST_EMPTY(&rig->watches)) {
        on_store_disconnect(rig, LIST_FIRST(&rig->watches)->exchange);
    }
    Server_Free(rig->store);
    event_free(rig->tick);
    event_free(rig->end_timer);
    event_free(rig->child);
    event_base_free(rig->base);
    g_hash_table_destroy(rig->handles);
    fclose(rig->record);
    g_free(rig);
}

int
Rig_Run(Rig *rig)
{
    struct timeval every = {.tv_usec = RIG_TICK_MS * CLK_US_PER_MS};

    evtimer_add(rig->tick, &every);
    Loop_ArmTimer(rig->end_timer, rig->options.seconds * 1000);
    event_base_dispatch(rig->base);
    return rig->status;
}

void
Rig_End(Rig *rig, int status)
{
    rig->status = status;
    event_base_loopbreak(rig->base);
}

int64_t
Rig_Now(const Rig *rig)
{
    return Clk_Now(&rig->clk) - rig->began_us;
}

void
Rig_Note(Rig *rig, const char *format, ...)
{
    va_list args;

    fprintf(rig->record, "%9.3f ", (double)Rig_Now(rig) / CLK_US_PER_S);
    va_start(args, format);
    vfprintf(rig->record, format, args);
    va_end(args);
    fputc('\n', rig->record);
}

/* Takes a /24 network of the loopback range whose addresses are free. */
static void
choose_net(Rig *rig)
{
    uint32_t number = (uint32_t)getpid();
    char ip[24];

    for (uint32_t i = 0; i < 1000; i++, number += 7919) {
        g_snprintf(rig->net, sizeof(rig->net), "127.%u.%u.", 64 + number % 128,
                   number / 128 % 256);
        g_snprintf(ip, sizeof(ip), "%s1", rig->net);
        if (can_bind(ip, RIG_FRONT_PORT) && can_bind(ip, RIG_READY_PORT) &&
            can_bind(ip, RIG_CONTROL_PORT)) {
            return;
        }
    }
    fprintf(stderr, "no free loopback network\n");
    exit(2);
}

static bool
can_bind(const char *ip, uint16_t port)
{
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool is_free;

    inet_pton(AF_INET, ip, &to.sin_addr);
    is_free = fd >= 0 && bind(fd, (struct sockaddr *)&to, sizeof(to)) == 0;
    if (fd >= 0) {
        close(fd);
    }
    return is_free;
}

static Server *
open_server(Rig *rig, uint32_t host, void *context,
            void (*handle_request)(void *, ServerExchange *),
            void (*handle_disconnect)(void *, ServerExchange *))
{
    ServerOptions options = Server_DefaultOptions();
    LsError err = {0};
    Server *server;
    char ip[24];

    g_snprintf(ip, sizeof(ip), "%s%u", rig->net, host);
    options.base = rig->base;
    options.clk = &rig->clk;
    options.ip = ip;
    options.context = context;
    options.on_request = handle_request;
    options.on_disconnect = handle_disconnect;
    server = Server_New(&options, &err);
    if (server == NULL) {
        fprintf(stderr, "%s\n", err.message);
        exit(2);
    }
    return server;
}

static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    Rig *rig = context;

    (void)fd;
    (void)what;
    rig->options.on_tick(rig->options.context, Rig_Now(rig));
}

static void
on_end_time(evutil_socket_t fd, short what, void *context)
{
    Rig *rig = context;

    (void)fd;
    (void)what;
    Rig_Note(rig, "the case took too long");
    Rig_End(rig, 2);
}

static void
on_child(evutil_socket_t fd, short what, void *context)
{
    Rig *rig = context;

    (void)fd;
    (void)what;
    for (uint32_t i = 0; i < rig->options.vms; i++) {
        RigVm *vm = &rig->vms[i];
        int status;
        if (vm->pid != 0 && waitpid(vm->pid, &status, WNOHANG) == vm->pid) {
            vm->pid = 0;
            vm->exited_us = Rig_Now(rig);
            evtimer_del(rig->kill_timers[i]);
            Rig_Note(rig, "VM %u has ended: %s %d", i,
                     WIFSIGNALED(status) ? "signal" : "status",
                     WIFSIGNALED(status) ? WTERMSIG(status)
                                         : WEXITSTATUS(status));
        }
    }
}

/* As the platform does at the end of the grace. */
static void
on_kill(evutil_socket_t fd, short what, void *context)
{
    const RigVm *vm = context;

    (void)fd;
    (void)what;
    if (vm->pid != 0) {
        kill(vm->pid, SIGKILL);
    }
}

static void
write_settings(Rig *rig, uint32_t number)
{
    static const char *const zones[] = {"ljubljana-a", "maribor-a", "koper-a"};
    static const char *const regions[] = {"ljubljana", "maribor", "koper"};
    RigVm *vm = &rig->vms[number];
    const char *net = rig->net;
    char *text;

    g_strlcpy(vm->zone, zones[number % 3], sizeof(vm->zone));
    g_snprintf(vm->ip, sizeof(vm->ip), "%s%u", net, number + 1);
    g_snprintf(vm->settings, sizeof(vm->settings), "%s/vm%u.json",
               rig->options.out, number);
    g_snprintf(vm->log, sizeof(vm->log), "%s/vm%u.log", rig->options.out,
               number);
    text = g_strdup_printf(
        "{\"node\":\"front-%s-%u\",\"role\":\"gate\",\"ip\":\"%s\","
        "\"zone\":\"%s\",\"region\":\"%s\",\"zones\":{"
        "\"ljubljana-a\":\"ljubljana\",\"maribor-a\":\"maribor\","
        "\"koper-a\":\"koper\"},\"listen\":{\"front\":\"%s:%d\",\"ready\":"
        "\"%s:%d\",\"control\":\"%s:%d\"},\"seed-addrs\":[\"%s1:%d\","
        "\"%s2:%d\",\"%s3:%d\"],\"first-start\":true,\"limits\":{"
        "\"cpu-share\":0.25,\"cores\":1,\"memory-mb\":110,"
        "\"max-fds\":4100},\"beat-ms\":1200,\"bounds\":{\"seed-lag-s\":3,"
        "\"reuse-s\":2,\"stable-ms\":3000,\"ack-ms\":4000,\"drain-ms\":2500,"
        "\"grace-s\":8,\"loss-slack-ms\":200,\"config-ms\":2500,"
        "\"budget-ratio\":0.2,\"budget-window-s\":10,\"budget-slack\":58,"
        "\"recovery-s\":12,\"lease-ms\":3000,\"require-fencing\":true},"
        "\"platform\":{\"addr\":\"%s%d:%u\",\"form\":\"read\","
        "\"reads-per-s\":2000,\"history-s\":20}}\n",
        vm->zone, number + 1, vm->ip, vm->zone, regions[number % 3], vm->ip,
        RIG_FRONT_PORT, vm->ip, RIG_READY_PORT, vm->ip, RIG_CONTROL_PORT, net,
        RIG_CONTROL_PORT, net, RIG_CONTROL_PORT, net, RIG_CONTROL_PORT, net,
        RIG_FIRST_STORE, Server_GetPort(rig->store));
    if (!g_file_set_contents(vm->settings, text, -1, NULL)) {
        fprintf(stderr, "can't write %s\n", vm->settings);
        exit(2);
    }
    g_free(text);
}

void
Rig_StartVm(Rig *rig, uint32_t number)
{
    RigVm *vm = &rig->vms[number];
    int ends[2];
    char *argv[] = {(char *)rig->options.gate, (char *)"--metrics-port",
                    (char *)RIG_METRICS_PORT, NULL};
    char *variable =
        g_strdup_printf("LAVENDERSPOOL_SETTINGS=%s", vm->settings);
    char *envp[] = {(char *)"PATH=/usr/bin:/bin", variable, NULL};
    posix_spawn_file_actions_t files;

    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addchdir_np(&files, rig->options.root);
    if (pipe2(ends, O_CLOEXEC) != 0) {
        fprintf(stderr, "can't open a pipe\n");
        exit(2);
    }
    posix_spawn_file_actions_adddup2(&files, ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&files, ends[1], STDERR_FILENO);
    if (posix_spawn(&vm->pid, rig->options.gate, &files, NULL, argv, envp) !=
        0) {
        fprintf(stderr, "can't start %s\n", rig->options.gate);
        exit(2);
    }
    posix_spawn_file_actions_destroy(&files);
    close(ends[1]);
    evutil_make_socket_nonblocking(ends[0]);
    vm->log_file = fopen(vm->log, "a");
    vm->output_fd = ends[0];
    vm->log_file = fopen(vm->log, "a");
    vm->output =
        event_new(rig->base, ends[0], EV_READ | EV_PERSIST, on_output, vm);
    event_add(vm->output, NULL);
    g_free(variable);
    note_pid(rig, vm->pid);
    Rig_Note(rig, "VM %u started at %s", number, vm->ip);
}

void
Rig_SetLogRead(Rig *rig, uint32_t vm, bool is_read)
{
    Rig_Note(rig, "the log of VM %u is %s", vm,
             is_read ? "read again" : "not read");
    if (is_read) {
        event_add(rig->vms[vm].output, NULL);
    }
    else {
        event_del(rig->vms[vm].output);
    }
}

/* Copies what a VM writes to its log file. */
static void
on_output(evutil_socket_t fd, short what, void *context)
{
    RigVm *vm = context;
    char text[65536];
    ssize_t size = read(fd, text, sizeof(text));

    (void)what;
    if (size <= 0) {
        event_del(vm->output);
    }
    else if (vm->log_file != NULL) {
        fwrite(text, 1, (size_t)size, vm->log_file);
    }
}

/* Writes the process's ID to a file, so that run.sh can end it should this
   program fail. */
static void
note_pid(const Rig *rig, pid_t pid)
{
    char path[512];
    FILE *file;

    g_snprintf(path, sizeof(path), "%s/pids", rig->options.out);
    file = fopen(path, "a");
    if (file != NULL) {
        fprintf(file, "%d\n", (int)pid);
        fclose(file);
    }
}

void
Rig_Signal(Rig *rig, uint32_t number, int signal_number)
{
    const RigVm *vm = &rig->vms[number];

    if (vm->pid == 0) {
        return;
    }
    Rig_Note(rig, "VM %u gets signal %d", number, signal_number);
    kill(vm->pid, signal_number);
    if (signal_number == SIGTERM) {
        Loop_ArmTimer(rig->kill_timers[number], RIG_GRACE_MS);
    }
}

const RigVm *
Rig_GetVm(const Rig *rig, uint32_t vm)
{
    return &rig->vms[vm];
}

bool
Rig_IsReady(Rig *rig, uint32_t vm)
{
    static const char text[] = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                               "Connection: close\r\n\r\n";
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(RIG_READY_PORT)};
    struct timeval wait = {.tv_usec = 200 * CLK_US_PER_MS};
    char reply[64] = "";
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    bool is_ready = false;

    inet_pton(AF_INET, rig->vms[vm].ip, &to.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0 &&
        send(fd, text, sizeof(text) - 1, 0) > 0 &&
        recv(fd, reply, sizeof(reply) - 1, 0) > 0) {
        is_ready = strncmp(reply, "HTTP/1.1 200", 12) == 0;
    }
    close(fd);
    return is_ready;
}

/* The store: all keys at once, and watches that see no change. */
static void
on_store_request(void *context, ServerExchange *exchange)
{
    Rig *rig = context;
    const char *wait = strstr(exchange->target, "wait-ms=");
    RigWatch *watch;
    char *text;

    if (g_str_has_prefix(exchange->target, "/v1/kv-range")) {
        text = list_items(rig);
        Server_SendResponse(exchange, 200, NULL, text, strlen(text));
        free(text);
        return;
    }
    if (!g_str_has_prefix(exchange->target, "/v1/kv-watch")) {
        Server_SendResponse(exchange, 404, NULL, "", 0);
        return;
    }
    watch = g_new0(RigWatch, 1);
    watch->rig = rig;
    watch->exchange = exchange;
    watch->timer = evtimer_new(rig->base, on_watch_end, watch);
    exchange->owner = watch;
    LIST_INSERT_HEAD(&rig->watches, watch, links);
    Loop_ArmTimer(watch->timer,
                  wait != NULL ? (uint32_t)strtoul(wait + 8, NULL, 10) : 1000);
}

static void
on_store_disconnect(void *context, ServerExchange *exchange)
{
    RigWatch *watch = exchange->owner;

    (void)context;
    if (watch != NULL) {
        exchange->owner = NULL;
        LIST_REMOVE(watch, links);
        event_free(watch->timer);
        g_free(watch);
    }
}

static void
on_watch_end(evutil_socket_t fd, short what, void *context)
{
    static const char text[] = "{\"events\":[],\"as-of\":500}";
    RigWatch *watch = context;
    ServerExchange *exchange = watch->exchange;

    (void)fd;
    (void)what;
    on_store_disconnect(NULL, exchange);
    Server_SendResponse(exchange, 200, NULL, text, sizeof(text) - 1);
}

static char *
list_items(const Rig *rig)
{
    static const char *const zones[] = {"ljubljana-a", "maribor-a", "koper-a"};
    json_t *items = json_array();
    json_t *root;
    char *text;

    add_item(items, "op/config", get_config());
    for (uint32_t i = 0; i < rig->worker_count; i++) {
        const RigWorker *worker = &rig->workers[i];
        json_t *entry;
        char key[32];
        g_snprintf(key, sizeof(key), "servers/%s", worker->id);
        entry =
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
                      worker->is_plain ? "app" : "llm", "addr",
                      worker->address, "zone", zones[i % 3], "version", "v1",
                      "slots", worker->is_plain ? RIG_PLAIN_SLOTS : RIG_SLOTS,
                      "state", "ready", "cold-left-ms", 0, "sequence", 0,
                      "born", (json_int_t)1700000000000);
        if (!worker->is_plain) {
            json_object_set_new(
                entry, "phase",
                json_string(worker->is_decode ? "decode" : "prefill"));
        }
        add_item(items, key, entry);
    }
    root = json_pack("{s:o,s:b,s:i}", "items", items, "truncated", 0, "as-of",
                     500);
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
add_item(json_t *items, const char *key, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT);
    gchar *encoded = g_base64_encode((const guchar *)text, strlen(text));
    int revision = 400 + (int)json_array_size(items);

    json_array_append_new(items,
                          json_pack("{s:s,s:s,s:i,s:i,s:i}", "key", key,
                                    "value", encoded, "revision", revision,
                                    "created", revision, "lease", 0));
    g_free(encoded);
    free(text);
    json_decref(value);
}

static json_t *
get_config(void)
{
    return json_pack(
        "{s:i,s:[o,o,o],s:[{s:s,s:s,s:i,s:s,s:b},{s:s,s:s,s:i,s:s,s:b,s:{s:i,"
        "s:i,s:i,s:b,s:b,s:i,s:i,"
        "s:f,s:f,s:f,s:f}}],s:{s:i,s:i,s:i,s:i}}",
        "version", 7, "routes", get_route("once", false),
        get_route("resume", true), get_plain_route(), "services", "name",
        "app", "health", "/healthz", "max-conns", 110, "protocol", "h1", "tls",
        0, "name", "llm", "health", "/healthz", "max-conns", 630, "protocol",
        "h1", "tls", 0, "engine", "slots", RIG_SLOTS, "kv-tokens", 59729,
        "kv-token-bytes", 18432, "moves", 1, "backups", 1, "stride",
        RIG_STRIDE, "most", 12, "handle-ttl-s", 0.5, "swap-s", 6.0, "pin-ms",
        4000.0, "hold-ms", 2000.0, "limits", "header-bytes", 16384,
        "body-bytes", 4194304, "header-ms", 3000, "idle-ms", 15000);
}

static json_t *
get_route(const char *name, bool can_resume)
{
    char prefix[32];

    g_snprintf(prefix, sizeof(prefix), "/%s/", name);
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:i}",
                     "name", name, "host", RIG_HOST, "prefix", prefix, "kind",
                     "stream", "timeout-ms", RIG_DEADLINE_MS, "latency-slo-ms",
                     900, "priority", 1, "service", "llm", "attempts",
                     can_resume ? 2 : 1, "sticky", 1, "can-resume",
                     (int)can_resume, "gap-target-ms", 300);
}

static json_t *
get_plain_route(void)
{
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i}", "name", "read",
                     "host", RIG_HOST, "prefix", "/read/", "kind",
                     "idempotent", "timeout-ms", RIG_PLAIN_TIMEOUT_MS,
                     "latency-slo-ms", 200, "priority", 2, "service", "app",
                     "attempts", 2);
}

/* Requests to a worker. */
static void
on_request(void *context, ServerExchange *exchange)
{
    RigWorker *worker = context;
    const Rig *rig = worker->rig;
    const HeaderList *headers = exchange->headers;
    const char *id = Header_Find(headers, "X-Request-Id");
    const char *expected = Header_Find(headers, "X-Expect-Instance");
    bool is_control = strcmp(exchange->method, "DELETE") == 0 ||
                      g_str_has_prefix(exchange->target, "/v1/");
    bool is_prefill = Header_Find(headers, "X-Stage") != NULL;
    bool is_misdirected =
        (expected != NULL && strcmp(expected, worker->id) != 0) ||
        (!is_control && !worker->is_plain && is_prefill == worker->is_decode);

    exchange->owner = NULL;
    if (rig->options.on_request != NULL) {
        rig->options.on_request(rig->options.context, worker, exchange);
    }
    if (is_misdirected) {
        answer(worker, exchange, 421, id, true, "");
    }
    else if (is_control) {
        answer_control(worker, exchange);
    }
    else if (id == NULL) {
        answer(worker, exchange, 400, id, true, "");
    }
    else if (worker->running >= RIG_SLOTS ||
             !take_handle(worker->rig, exchange)) {
        answer(worker, exchange, 503, id, true, "");
    }
    else {
        begin_job(worker, exchange, is_prefill,
                  get_first_token_time(worker, exchange, is_prefill));
    }
}

static void
answer_control(RigWorker *worker, ServerExchange *exchange)
{
    char body[64] = "{}";
    int status = 200;

    if (strcmp(exchange->target, "/v1/hold-take") == 0) {
        g_snprintf(body, sizeof(body), "{\"hold\":\"h%u\"}",
                   ++worker->rig->next_hold);
    }
    else if (strcmp(exchange->target, "/v1/kv-list") == 0) {
        g_strlcpy(body, "{\"epoch\":1,\"next\":1,\"held\":[]}", sizeof(body));
    }
    else if (g_str_has_prefix(exchange->target, "/v1/kv-events")) {
        g_strlcpy(body,
                  "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}",
                  sizeof(body));
    }
    else if (strcmp(exchange->method, "DELETE") != 0) {
        status = 409;
    }
    answer(worker, exchange, status, NULL, false, body);
}

/* Returns the time from now to the first token, or to the end of a prefill.
   Prompts are read one after the other. */
static int64_t
get_first_token_time(RigWorker *worker, const ServerExchange *exchange,
                     bool is_prefill)
{
    const char *usage = Header_Find(exchange->headers, "X-Token-Usage");
    int64_t tokens = usage != NULL ? strtol(usage, NULL, 10) : 0;
    int64_t now_us = Rig_Now(worker->rig);
    int64_t per_ms = is_prefill ? RIG_PREFILL_PER_MS : RIG_DECODE_PER_MS;

    if (worker->is_plain) {
        return RIG_PLAIN_RUN_MS * CLK_US_PER_MS;
    }
    if (Header_Find(exchange->headers, "X-Kv-Source") != NULL) {
        return RIG_TRANSFER_US + RIG_FIRST_TOKEN_US;
    }
    worker->read_until_us =
        MAX(worker->read_until_us, now_us) + tokens * CLK_US_PER_MS / per_ms;
    return worker->read_until_us - now_us +
           (is_prefill ? 0 : RIG_FIRST_TOKEN_US);
}

/* Takes the handle that the request names. Returns false if it has lapsed or
   was taken before. */
static bool
take_handle(Rig *rig, const ServerExchange *exchange)
{
    const char *source = Header_Find(exchange->headers, "X-Kv-Source");
    const char *name = source != NULL ? strrchr(source, '/') : NULL;
    const int64_t *until_us =
        name != NULL ? g_hash_table_lookup(rig->handles, name + 1) : NULL;
    bool is_kept = until_us != NULL && *until_us >= Rig_Now(rig);

    if (until_us != NULL) {
        g_hash_table_remove(rig->handles, name + 1);
    }
    return source == NULL || is_kept;
}

static void
answer(RigWorker *worker, ServerExchange *exchange, int status, const char *id,
       bool not_run, const char *body)
{
    HeaderList *headers = Header_New();
    RigAnswer told = {worker, exchange, status, headers, body};
    char load[32];

    Header_Add(headers, "Content-Type", "application/json");
    if (id != NULL) {
        Header_Add(headers, "X-Request-Id", id);
    }
    if (not_run) {
        Header_Add(headers, "X-Not-Executed", "1");
    }
    g_snprintf(load, sizeof(load), "%u,0,%d", worker->running, RIG_SLOTS);
    Header_Add(headers, "X-Server-Load", load);
    if (worker->rig->options.on_answer != NULL) {
        worker->rig->options.on_answer(worker->rig->options.context, &told);
    }
    Server_SendResponse(exchange, status, headers, body, strlen(body));
    Header_Free(headers);
}

static void
begin_job(RigWorker *worker, ServerExchange *exchange, bool is_prefill,
          int64_t begin_us)
{
    Rig *rig = worker->rig;
    const char *last = Header_Find(exchange->headers, "Last-Event-Id");
    RigJob *job = g_new0(RigJob, 1);

    job->worker = worker;
    job->exchange = exchange;
    g_strlcpy(job->id, Header_Find(exchange->headers, "X-Request-Id"),
              sizeof(job->id));
    job->request = find_request(rig, job->id);
    job->is_prefill = is_prefill;
    job->next = last != NULL ? (uint32_t)strtoul(last, NULL, 10) + 1 : 0;
    job->other_us = RIG_NEVER;
    job->timer = evtimer_new(rig->base, on_job_timer, job);
    exchange->owner = job;
    worker->running++;
    if (!is_prefill) {
        note_run(job);
    }
    LIST_INSERT_HEAD(&rig->jobs, job, links);
    Loop_ArmTimerUs(job->timer, begin_us);
}

/* Notes a run, and that an earlier one goes on beside it. */
static void
note_run(RigJob *job)
{
    Rig *rig = job->worker->rig;
    int64_t now_us = Rig_Now(rig);
    RigJob *other = NULL;

    Rig_Note(rig, "%s reaches worker %s from event %u on", job->id,
             job->worker->id, job->next);
    LIST_FOREACH(other, &rig->jobs, links)
    {
        if (!other->is_prefill && other->other_us == RIG_NEVER &&
            strcmp(other->id, job->id) == 0) {
            other->other_us = now_us;
            Rig_Note(rig, "%s: worker %s still has it", job->id,
                     other->worker->id);
        }
    }
    if (job->request != NULL) {
        job->request->runs++;
        if (job->request->run_us == RIG_NEVER) {
            job->request->run_us = now_us;
        }
    }
}

/* Ends a prefill, or makes the next event of a stream. */
static void
on_job_timer(evutil_socket_t fd, short what, void *context)
{
    RigJob *job = context;
    RigWorker *worker = job->worker;
    Rig *rig = worker->rig;
    ServerExchange *exchange = job->exchange;
    uint32_t end = job->request != NULL ? job->request->events : 1;
    char text[128];

    (void)fd;
    (void)what;
    if (job->is_prefill) {
        char *handle = g_strdup_printf("k%u", rig->next_handle++);
        int64_t *until_us = g_new(int64_t, 1);
        char id[RIG_ID_SIZE];
        *until_us = Rig_Now(rig) + RIG_HANDLE_TTL_US;
        g_snprintf(text, sizeof(text),
                   "{\"kv-handle\":\"%s\",\"tokens\":1,\"version\":1}",
                   handle);
        g_hash_table_insert(rig->handles, handle, until_us);
        g_strlcpy(id, job->id, sizeof(id));
        exchange->owner = NULL;
        end_job(job);
        answer(worker, exchange, 200, id, false, text);
        return;
    }
    if (worker->is_plain) {
        end_plain(job);
        return;
    }
    if (!job->is_begun) {
        HeaderList *headers = Header_New();
        Header_Add(headers, "Content-Type", "text/event-stream");
        Header_Add(headers, "X-Request-Id", job->id);
        Header_Add(headers, "X-Response-Stamp", worker->id);
        Server_BeginStream(exchange, 200, headers);
        Header_Free(headers);
        job->is_begun = true;
    }
    if (job->next >= end) {
        exchange->owner = NULL;
        end_job(job);
        Server_EndStream(exchange);
        return;
    }
    g_snprintf(text, sizeof(text), "id: %u\ndata: %s-%u\n\n", job->next,
               job->id, job->next);
    job->next++;
    job->other_events += job->other_us != RIG_NEVER;
    Loop_ArmTimerUs(job->timer, job->next < end ? RIG_EVENT_US : 0);
    Server_SendData(exchange, text, strlen(text));
}

static void
end_plain(RigJob *job)
{
    ServerExchange *exchange = job->exchange;
    const char *worker_id = job->worker->id;
    HeaderList *headers = Header_New();

    Header_Add(headers, "X-Request-Id",
               Header_Find(exchange->headers, "X-Request-Id"));
    Header_Add(headers, "X-Response-Stamp", worker_id);
    exchange->owner = NULL;
    end_job(job);
    Server_SendResponse(exchange, 200, headers, "ok", 2);
    Header_Free(headers);
}

/* The VM has closed its connection, and the worker stops. */
static void
on_disconnect(void *context, ServerExchange *exchange)
{
    RigWorker *worker = context;
    RigJob *job = exchange->owner;

    if (job == NULL) {
        return;
    }
    if (!job->is_prefill) {
        Rig_Note(worker->rig, "%s: the VM closes on worker %s after event %d",
                 job->id, worker->id, (int)job->next - 1);
        if (job->request != NULL) {
            job->request->cut_us = Rig_Now(worker->rig);
        }
    }
    end_job(job);
}

static void
end_job(RigJob *job)
{
    RigRequest *request = job->request;

    if (job->other_us != RIG_NEVER && request != NULL) {
        int64_t overlap_us = Rig_Now(job->worker->rig) - job->other_us;
        request->overlap_us = MAX(request->overlap_us, overlap_us);
        request->overlap_events =
            MAX(request->overlap_events, job->other_events);
    }
    job->worker->running--;
    event_free(job->timer);
    LIST_REMOVE(job, links);
    g_free(job);
}

static RigRequest *
find_request(Rig *rig, const char *id)
{
    for (uint32_t i = rig->request_count; i-- > 0;) {
        if (strncmp(rig->requests[i].id, id, RIG_ID_SIZE - 1) == 0) {
            return &rig->requests[i];
        }
    }
    return NULL;
}

/* Callers. */
RigCaller *
Rig_GetCaller(Rig *rig, uint32_t vm, bool is_new)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons(RIG_FRONT_PORT)};
    RigCaller *caller = NULL;
    uint32_t free_row = rig->caller_count;
    int on = 1;

    for (uint32_t i = 0; i < rig->caller_count; i++) {
        bool is_idle = rig->callers[i].request == NULL;
        if (!is_new && is_idle && rig->callers[i].is_open &&
            rig->caller_vms[i] == vm) {
            return &rig->callers[i];
        }
        if (is_idle && !rig->callers[i].is_open) {
            free_row = i;
        }
    }
    if (free_row == RIG_CALLERS_MAX) {
        return NULL;
    }
    rig->caller_count = MAX(rig->caller_count, free_row + 1);
    caller = &rig->callers[free_row];
    memset(caller, 0, sizeof(*caller));
    caller->rig = rig;
    caller->is_new = true;
    rig->caller_vms[free_row] = vm;
    caller->bev = bufferevent_socket_new(rig->base, -1, BEV_OPT_CLOSE_ON_FREE);
    inet_pton(AF_INET, rig->vms[vm].ip, &to.sin_addr);
    bufferevent_setcb(caller->bev, on_caller_read, NULL, on_caller_event,
                      caller);
    bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
    http_parser_init(&caller->parser, HTTP_RESPONSE);
    caller->parser.data = caller;
    caller->is_open =
        bufferevent_socket_connect(caller->bev, (struct sockaddr *)&to,
                                   sizeof(to)) == 0;
    setsockopt(bufferevent_getfd(caller->bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof(on));
    return caller;
}

RigRequest *
Rig_SendStream(RigCaller *caller, const char *path, uint32_t prompt,
               uint32_t events, uint32_t hint)
{
    Rig *rig = caller->rig;
    RigRequest *request;
    char *text;

    request = add_request(caller);
    if (request == NULL) {
        return NULL;
    }
    request->events = events;
    request->hint = hint;
    text = g_strdup_printf(
        "POST %s HTTP/1.1\r\nHost: " RIG_HOST "\r\nX-Request-Id: %s\r\n"
        "X-Model: m\r\nX-Token-Usage: %u,%u\r\nX-Length-Hint: %u\r\n"
        "X-Prompt-Prefix: %x:200,%x%08x:%u\r\nX-Deadline-Ms: %d\r\n"
        "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
        path, request->id, prompt, 170 * RIG_STRIDE, hint * RIG_STRIDE,
        0x5c1e07a2U, rig->request_count, (unsigned)getpid(), prompt - 200,
        RIG_DEADLINE_MS);
    bufferevent_write(caller->bev, text, strlen(text));
    g_free(text);
    return request;
}

RigRequest *
Rig_SendPlain(RigCaller *caller, uint32_t id_size)
{
    RigRequest *request = add_request(caller);
    char *padding;
    char *text;

    if (request == NULL) {
        return NULL;
    }
    padding = g_strnfill(id_size - strlen(request->id), 'x');
    text = g_strdup_printf("GET /read/1 HTTP/1.1\r\nHost: " RIG_HOST
                           "\r\nX-Request-Id: %s%s\r\n"
                           "X-Deadline-Ms: %d\r\n\r\n",
                           request->id, padding, 2 * RIG_PLAIN_TIMEOUT_MS);
    bufferevent_write(caller->bev, text, strlen(text));
    g_free(text);
    g_free(padding);
    return request;
}

/* Adds a row for a request of the caller, or returns NULL. */
static RigRequest *
add_request(RigCaller *caller)
{
    Rig *rig = caller->rig;
    RigRequest *request;

    if (rig->request_count == RIG_REQUESTS_MAX) {
        return NULL;
    }
    request = &rig->requests[rig->request_count++];
    g_snprintf(request->id, sizeof(request->id), "%08x%08x",
               (unsigned)getpid(), rig->request_count);
    request->sent_us = Rig_Now(rig);
    request->ended_us = RIG_NEVER;
    request->run_us = RIG_NEVER;
    request->cut_us = RIG_NEVER;
    caller->request = request;
    return request;
}

uint32_t
Rig_CountRequests(const Rig *rig)
{
    return rig->request_count;
}

RigRequest *
Rig_GetRequest(Rig *rig, uint32_t request)
{
    return &rig->requests[request];
}

bool
Rig_IsDecode(const RigWorker *worker)
{
    return worker->is_decode;
}

static void
on_caller_read(struct bufferevent *bev, void *context)
{
    RigCaller *caller = context;
    struct evbuffer *in = bufferevent_get_input(bev);

    while (caller->is_open && evbuffer_get_length(in) > 0) {
        struct evbuffer_iovec piece;
        size_t parsed;
        evbuffer_peek(in, -1, NULL, &piece, 1);
        parsed = http_parser_execute(&caller->parser, &caller_parser,
                                     piece.iov_base, piece.iov_len);
        evbuffer_drain(in, parsed);
        if (HTTP_PARSER_ERRNO(&caller->parser) == HPE_PAUSED) {
            end_request(caller);
        }
        else if (HTTP_PARSER_ERRNO(&caller->parser) != HPE_OK) {
            Rig_Note(caller->rig, "a caller gets bytes that are no answer");
            close_caller(caller);
        }
    }
}

static void
on_caller_event(struct bufferevent *bev, short what, void *context)
{
    RigCaller *caller = context;

    (void)bev;
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0 && caller->request != NULL) {
        http_parser_execute(&caller->parser, &caller_parser, NULL, 0);
    }
    if (caller->request != NULL) {
        end_request(caller);
    }
    close_caller(caller);
}

static int
parse_field(http_parser *parser, const char *at, size_t size)
{
    RigCaller *caller = parser->data;

    if (caller->request != NULL && size == strlen("X-Response-Stamp") &&
        g_ascii_strncasecmp(at, "X-Response-Stamp", size) == 0) {
        caller->request->has_receipt = true;
    }
    return 0;
}

static int
parse_header_end(http_parser *parser)
{
    RigCaller *caller = parser->data;

    if (caller->request != NULL) {
        caller->request->status = (int)parser->status_code;
    }
    return 0;
}

/* Counts the events, which must follow one another. */
static int
parse_body(http_parser *parser, const char *at, size_t size)
{
    RigCaller *caller = parser->data;
    RigRequest *request = caller->request;

    for (size_t i = 0; i < size && request != NULL; i++) {
        if (at[i] != '\n') {
            if (caller->line_size + 1 < sizeof(caller->line)) {
                caller->line[caller->line_size++] = at[i];
            }
            continue;
        }
        caller->line[caller->line_size] = '\0';
        if (g_str_has_prefix(caller->line, "id: ")) {
            uint32_t event = (uint32_t)strtoul(caller->line + 4, NULL, 10);
            if (event != request->seen) {
                Rig_Note(caller->rig, "%s: event %u comes after %d",
                         request->id, event, (int)request->seen - 1);
            }
            request->seen = event + 1;
        }
        caller->line_size = 0;
    }
    return 0;
}

static int
parse_end(http_parser *parser)
{
    RigCaller *caller = parser->data;

    if (caller->request != NULL) {
        caller->request->is_complete = true;
    }
    http_parser_pause(parser, 1);
    return 0;
}

/* Ends the caller's request: its answer is complete, or the connection has
   ended. */
static void
end_request(RigCaller *caller)
{
    RigRequest *request = caller->request;
    bool is_kept = request != NULL && request->is_complete &&
                   http_should_keep_alive(&caller->parser);

    caller->request = NULL;
    caller->is_new = false;
    caller->line_size = 0;
    if (request != NULL) {
        request->ended_us = Rig_Now(caller->rig);
        Rig_Note(caller->rig, "%s ends: status %d, %s, %u of %u events",
                 request->id, request->status,
                 request->is_complete ? "complete" : "cut off", request->seen,
                 request->events);
    }
    http_parser_init(&caller->parser, HTTP_RESPONSE);
    caller->parser.data = caller;
    if (!is_kept) {
        close_caller(caller);
    }
}

static void
close_caller(RigCaller *caller)
{
    caller->is_open = false;
    if (caller->bev != NULL) {
        bufferevent_free(caller->bev);
        caller->bev = NULL;
    }
}
