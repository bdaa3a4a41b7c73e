#include "node.h"

#include "config_reader.h"
#include "control.h"
#include "log.h"
#include "membership.h"
#include "operation.h"
#include "peer.h"
#include "quota.h"
#include "request.h"
#include "ring.h"
#include "service.h"
#include "slo.h"
#include "upstream.h"
#include "web.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Time that a shutdown waits once nothing is in progress, in which queued
   frames and answers are still sent. */
#define NODE_EXIT_DELAY_US (500 * CLK_US_PER_MS)
/* Time before the end of a shutdown at which the remaining work is ended, so
   that its answers arrive and the process is gone by then; at most a quarter
   of the shutdown's time. */
#define NODE_ANSWER_US CLK_US_PER_S

struct Node {
    SetSettings settings;
    Board *board;
    Peer *peer;
    Up *up;
    Web *web;
    Cfg *cfg;
    GArray *fds; /* struct pollfd */
    int64_t next_tick_us;
    volatile sig_atomic_t stop_requests; /* Calls of Node_RequestStop(). */
    int64_t stop_begun_us; /* Start of the shutdown; 0 before it. */
    /* When the shutdown found nothing in progress; 0 otherwise. */
    int64_t idle_since_us;
    int64_t exit_us; /* Once the remaining work is ended: when the process
                        exits, whoever has not read the answer; else 0. */
};

static void send_frame(void *context, const char *vm,
                       const Wire__Frame *frame);
static void begin_call(void *context, const BoardCall *call);
static void end_call(void *context, uint64_t call);
static void answer_caller(void *context, uint64_t caller,
                          const BoardAnswer *answer);
static const char *find_address(void *context, const char *vm);
static void handle_frame(void *context, const char *vm,
                         const Wire__Frame *frame);
static void handle_link_down(void *context, const char *vm);
static void handle_call_event(void *context, const BoardCallEvent *event);
static void wake(void *context);
static void handle_intents(Node *node);
static bool check_shutdown(Node *node, int *exit_code);

static bool
start_listeners(Node *node, LsError *err)
{
    const SetSettings *settings = &node->settings;
    PeerOptions peer = Peer_DefaultOptions();
    WebOptions web = Web_DefaultOptions();

    peer.vm = settings->vm;
    peer.incarnation = node->board->incarnation;
    peer.bind_address = settings->bind;
    peer.port = settings->peer_port;
    if (strcmp(settings->peer_key, SET_NO_KEY) != 0) {
        peer.key_hex = settings->peer_key;
    }
    peer.context = node;
    peer.find_address = find_address;
    peer.on_frame = handle_frame;
    peer.on_link_down = handle_link_down;
    node->peer = Peer_New(&peer, err);
    if (node->peer == NULL) {
        return false;
    }
    web.bind_address = node->settings.bind;
    web.port = settings->port;
    web.operator_port = settings->operator_port;
    web.body_max = settings->body_max;
    web.context = node;
    web.wake = wake;
    node->web = Web_New(&web, err);
    return node->web != NULL;
}

Node *
Node_New(const SetSettings *settings, LsError *err)
{
    Node *node = g_new0(Node, 1);
    BoardOptions board = Board_DefaultOptions();
    UpOptions up = Up_DefaultOptions();
    CfgOptions cfg = Cfg_DefaultOptions();

    node->settings = *settings;
    node->fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    up.context = node;
    up.on_event = handle_call_event;
    node->up = Up_New(&up);
    cfg.service_address = node->settings.config_service;
    cfg.list_address = node->settings.vm_list;
    cfg.prefix = node->settings.config_prefix;
    node->cfg = Cfg_New(&cfg);
    board.vm = node->settings.vm;
    board.incarnation = (uint64_t)g_get_real_time();
    board.zone = node->settings.zone;
    board.region = node->settings.region;
    board.vm_count_max = settings->vm_count_max;
    board.seed = g_random_int();
    board.io.context = node;
    board.io.send_frame = send_frame;
    board.io.begin_call = begin_call;
    board.io.end_call = end_call;
    board.io.answer = answer_caller;
    node->board = Board_New(&board);
    Plc_SetPolicy(node->board->plc, settings->placement);
    if (!start_listeners(node, err)) {
        Node_Free(node);
        return NULL;
    }
    return node;
}

void
Node_Free(Node *node)
{
    if (node->web != NULL) {
        Web_Free(node->web);
    }
    if (node->peer != NULL) {
        Peer_Free(node->peer);
    }
    Board_Free(node->board);
    Cfg_Free(node->cfg);
    Up_Free(node->up);
    g_array_unref(node->fds);
    g_free(node);
}

void
Node_RequestStop(Node *node)
{
    node->stop_requests++;
    Up_Wake(node->up);
}

/* Waits for the network or the next tick and handles the events. */
static void
run_once(Node *node)
{
    int64_t wait_us = node->next_tick_us - Board_Now(node->board);

    g_array_set_size(node->fds, 0);
    Peer_AddPollFds(node->peer, node->fds);
    Up_Run(node->up, node->fds,
           (int)((CLAMP(wait_us, 0, BOARD_TICK_US) + CLK_US_PER_MS - 1) /
                 CLK_US_PER_MS));
    if (Board_Now(node->board) >= node->next_tick_us) {
        /* The tick runs before the frames are handled: after a pause of the
           process it is what marks the membership view as stale, and this must
           precede any action on a frame. */
        node->next_tick_us = Board_Now(node->board) + BOARD_TICK_US;
        Ctl_OnTick(node->board);
        Cfg_OnTick(node->cfg, node->board);
        Ctl_RunLocal(node->board);
    }
    Peer_Run(node->peer, (struct pollfd *)(void *)node->fds->data,
             node->fds->len, Board_Now(node->board));
    handle_intents(node);
    Ctl_RunLocal(node->board);
}

int
Node_Run(Node *node)
{
    int exit_code = ERR_EXIT_OK;

    Log_Write(LOG_LEVEL_INFO, "started", "region", node->settings.region,
              "zone", node->settings.zone, NULL);
    while (!check_shutdown(node, &exit_code)) {
        run_once(node);
    }
    Log_Write(LOG_LEVEL_INFO, "stopped", NULL);
    return exit_code;
}

/* Logs how many requests a forced shutdown ends, and returns the exit code. */
static int
log_unfinished_work(Node *node)
{
    char completions[16];
    char services[16];
    char operations[16];

    g_snprintf(completions, sizeof(completions), "%u",
               Req_Count(node->board->req));
    g_snprintf(services, sizeof(services), "%u", Svc_Count(node->board->svc));
    g_snprintf(operations, sizeof(operations), "%u",
               Op_CountRunning(node->board->op));
    Log_Write(LOG_LEVEL_ERROR, "shutdown_cut", "completions", completions,
              "services", services, "operations", operations, NULL);
    return ERR_EXIT_UNFINISHED;
}

/* Returns the time that the last answers get at the end of a shutdown. */
static int64_t
get_answer_time(const Node *node)
{
    return MIN(NODE_ANSWER_US, node->settings.shutdown_s * CLK_US_PER_S / 4);
}

/* Answers what is still in progress, and returns the exit code. */
static int
end_remaining(Node *node, int64_t now)
{
    int exit_code = log_unfinished_work(node);

    Ctl_EndAll(node->board);
    node->exit_us = now + get_answer_time(node) * 3 / 4;
    return exit_code;
}

/* Begins a shutdown that was requested. Returns whether the process can exit,
   and sets *exit_code if requests are unfinished. */
static bool
check_shutdown(Node *node, int *exit_code)
{
    int64_t now = Board_Now(node->board);

    if (node->stop_requests == 0) {
        return false;
    }
    if (node->stop_begun_us == 0) {
        node->stop_begun_us = now;
        Log_Write(LOG_LEVEL_INFO, "stopping", NULL);
        Ctl_Stop(node->board);
    }
    if (node->exit_us == 0 &&
        (node->stop_requests > 1 ||
         now - node->stop_begun_us + get_answer_time(node) >
             node->settings.shutdown_s * CLK_US_PER_S)) {
        *exit_code = end_remaining(node, now);
    }
    if (node->exit_us != 0 && now >= node->exit_us) {
        return true;
    }
    if (!Ctl_IsIdle(node->board) || Web_CountCallers(node->web) > 0) {
        node->idle_since_us = 0;
        return false;
    }
    if (node->idle_since_us == 0) {
        node->idle_since_us = now;
    }
    return now - node->idle_since_us > NODE_EXIT_DELAY_US;
}

static void
send_frame(void *context, const char *vm, const Wire__Frame *frame)
{
    Peer_SendFrame(((Node *)context)->peer, vm, frame);
}

static void
begin_call(void *context, const BoardCall *call)
{
    Up_BeginCall(((Node *)context)->up, call);
}

static void
end_call(void *context, uint64_t call)
{
    Up_EndCall(((Node *)context)->up, call);
}

/* Logs the outcome of a completion. The line that logged its start names the
   customer. */
static void
log_outcome(const BoardAnswer *answer)
{
    if (answer->request == NULL || answer->type == BOARD_ANSWER_CHUNK) {
        return;
    }
    Log_Write(LOG_LEVEL_INFO, "completion_ended", "request", answer->request,
              "outcome",
              answer->err != NULL ? Err_GetName(answer->err->code) : "whole",
              "run",
              answer->err != NULL ? Err_GetRunName(answer->err->run) : "ran",
              "path", answer->path, NULL);
}

static void
answer_caller(void *context, uint64_t caller, const BoardAnswer *answer)
{
    log_outcome(answer);
    Web_Answer(((Node *)context)->web, caller, answer);
}

static const char *
find_address(void *context, const char *vm)
{
    return Mem_FindAddress(((Node *)context)->board, vm);
}

static void
handle_frame(void *context, const char *vm, const Wire__Frame *frame)
{
    Node *node = context;

    Ctl_OnFrame(node->board, vm, frame);
    Cfg_OnFrame(node->cfg, node->board, vm, frame);
    Ctl_RunLocal(node->board);
}

static void
handle_link_down(void *context, const char *vm)
{
    Node *node = context;

    Log_Write(LOG_LEVEL_WARNING, "link_down", "peer", vm, NULL);
    Ctl_OnLinkDown(node->board, vm);
    Ctl_RunLocal(node->board);
}

static void
handle_call_event(void *context, const BoardCallEvent *event)
{
    Node *node = context;

    Board_HandleCallEvent(node->board, event);
    Ctl_RunLocal(node->board);
}

static void
wake(void *context)
{
    Up_Wake(((Node *)context)->up);
}

/* Returns the customer of the request's API key. If there is none, answers the
   caller with an error and returns NULL. */
static const ConCustomer *
find_customer(Node *node, const WebIntent *intent)
{
    const ConConfig *config = node->board->config;
    const ConCustomer *customer;
    LsError err;

    if (config == NULL) {
        Err_Set(&err, LS_ERR_NOT_READY, LS_RUN_NOT_RUN,
                "no configuration has been loaded yet");
        err.retry_after_ms = 1000;
        Board_AnswerError(node->board, intent->caller, NULL, &err);
        return NULL;
    }
    customer = Con_FindCustomer(config, intent->key);
    if (customer == NULL) {
        Err_Set(&err, LS_ERR_UNKNOWN_CUSTOMER, LS_RUN_NOT_RUN,
                "no contract contains this API key");
        Board_AnswerError(node->board, intent->caller, NULL, &err);
    }
    return customer;
}

static void
log_request(const char *event, const char *request, const char *customer,
            const LsError *err)
{
    Log_Write(LOG_LEVEL_INFO, event, "request", request, "customer", customer,
              "error", err != NULL ? Err_GetName(err->code) : NULL, NULL);
}

static void
begin_completion(Node *node, const WebIntent *intent)
{
    const ConCustomer *customer = find_customer(node, intent);
    char request[BOARD_REQUEST_ID_MAX] = "";
    ReqParams params = {0};
    LsError err;

    if (customer == NULL) {
        return;
    }
    params.caller = intent->caller;
    params.customer = customer;
    params.model = intent->model;
    params.prompt = intent->prompt;
    params.max_tokens = intent->max_tokens;
    if (Req_Begin(node->board, &params, request, sizeof(request), &err) !=
        LS_OK) {
        log_request("completion_refused", request, customer->id, &err);
        Board_AnswerError(node->board, intent->caller, NULL, &err);
        return;
    }
    log_request("completion_begun", request, customer->id, NULL);
}

static void
answer_json(Node *node, uint64_t caller, int status, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    BoardAnswer answer = {0};

    answer.type = BOARD_ANSWER_BODY;
    answer.status = status;
    answer.text = text;
    answer.size = strlen(text);
    Board_Answer(node->board, caller, &answer);
    free(text);
    json_decref(object);
}

static void
issue_key(Node *node, const WebIntent *intent)
{
    const ConCustomer *customer = find_customer(node, intent);
    char key[OP_KEY_MAX];
    LsError err;

    if (customer == NULL) {
        return;
    }
    if (Op_IssueKey(node->board, customer, key, sizeof(key), &err) != LS_OK) {
        Board_AnswerError(node->board, intent->caller, NULL, &err);
        return;
    }
    answer_json(node, intent->caller, 201,
                json_pack("{s:s}", "idempotency_key", key));
}

static void
begin_operation(Node *node, const WebIntent *intent,
                const ConCustomer *customer)
{
    OpParams params = {0};
    LsError err;

    if (intent->idempotency_key == NULL) {
        Err_Set(&err, LS_ERR_OPERATION_KEY_NEEDED, LS_RUN_NOT_RUN,
                "this call is not idempotent: get a key by POST "
                "/v1/operations and send it as Idempotency-Key");
        Board_AnswerError(node->board, intent->caller, NULL, &err);
        return;
    }
    params.caller = intent->caller;
    params.customer = customer;
    params.key = intent->idempotency_key;
    params.service = intent->service;
    params.path = intent->path;
    params.body = intent->body;
    params.body_size = intent->body_size;
    Op_Begin(node->board, &params);
}

static void
begin_service(Node *node, const WebIntent *intent)
{
    const ConCustomer *customer = find_customer(node, intent);
    const ConRoute *route;
    SvcParams params = {0};
    LsError err;

    if (customer == NULL) {
        return;
    }
    route = Con_FindRoute(customer, intent->service, intent->path);
    if (route == NULL || node->board->stopping) {
        Err_Set(&err,
                route == NULL ? LS_ERR_UNKNOWN_SERVICE : LS_ERR_SHUTTING_DOWN,
                LS_RUN_NOT_RUN,
                route == NULL ? "the contract allows no route %s%s"
                              : "shutting down: %s%s was not sent",
                intent->service, intent->path);
        Board_AnswerError(node->board, intent->caller, NULL, &err);
        return;
    }
    if (!route->idempotent) {
        begin_operation(node, intent, customer);
        return;
    }
    params.caller = intent->caller;
    params.customer = customer;
    params.method = intent->method;
    params.service = intent->service;
    params.path = intent->path;
    params.body = intent->body;
    params.body_size = intent->body_size;
    Svc_Begin(node->board, &params);
}

/* Returns the home VM of each cell, according to this VM's membership view. */
static json_t *
describe_homes(Board *board)
{
    json_t *homes = json_object();

    for (guint i = 0;
         board->config != NULL && i < board->config->upstreams->len; i++) {
        const ConUpstream *upstream = board->config->upstreams->pdata[i];
        if (upstream->role != CON_ROLE_SERVICE) {
            json_object_set_new(homes, upstream->cell,
                                json_string(Mem_FindHome(board, upstream->cell,
                                                         upstream->region)));
        }
    }
    return homes;
}

static void
answer_status(Node *node, const WebIntent *intent)
{
    Board *board = node->board;

    answer_json(
        node, intent->caller, 200,
        json_pack(
            "{s:s, s:I, s:b, s:i, s:i, s:i, s:s, s:o, s:o, s:o}", "vm",
            board->vm, "config_version",
            (json_int_t)(board->config != NULL ? board->config->version : 0),
            "stopping", (int)board->stopping, "completions",
            (int)Req_Count(board->req), "callers",
            (int)Web_CountCallers(node->web), "jobs",
            (int)Plc_CountJobs(board->plc), "config_error",
            Cfg_GetLastError(node->cfg), "members", Mem_Describe(board),
            "homes", describe_homes(board), "engines", Plc_Describe(board)));
}

static void
answer_ready(Node *node, const WebIntent *intent)
{
    bool ready = node->board->config != NULL && !node->board->stopping;

    answer_json(node, intent->caller, ready ? 200 : 503,
                json_pack("{s:b}", "ready", (int)ready));
}

static void
handle_intent(Node *node, const WebIntent *intent)
{
    switch (intent->type) {
    case WEB_INTENT_COMPLETION:
        begin_completion(node, intent);
        break;
    case WEB_INTENT_ISSUE_KEY:
        issue_key(node, intent);
        break;
    case WEB_INTENT_SERVICE:
        begin_service(node, intent);
        break;
    case WEB_INTENT_DISCONNECTED:
        Ctl_OnCallerDisconnected(node->board, intent->caller);
        break;
    case WEB_INTENT_READY:
        answer_ready(node, intent);
        break;
    case WEB_INTENT_STATUS:
        answer_status(node, intent);
        break;
    case WEB_INTENT_BURN:
        answer_json(node, intent->caller, 200, Slo_Describe(node->board));
        break;
    case WEB_INTENT_EXPLAIN:
        answer_json(node, intent->caller, 200,
                    Ring_Find(node->board, intent->path));
        break;
    }
}

static void
handle_intents(Node *node)
{
    WebIntent *intent;

    while ((intent = Web_TakeIntent(node->web)) != NULL) {
        handle_intent(node, intent);
        Ctl_RunLocal(node->board);
        Web_FreeIntent(intent);
    }
}
