/* Rig: runs the simulated clock, and delivers frames, calls and answers
   between the boards, the fake upstreams and the callers. */
#include "rig_state.h"

#include "control.h"
#include "membership.h"
#include "operation.h"
#include "request.h"

#include <string.h>

static void send_frame(void *context, const char *id,
                       const Wire__Frame *frame);
static void begin_call(void *context, const BoardCall *call);
static void end_call(void *context, uint64_t call);
static void receive_answer(void *context, uint64_t caller,
                           const BoardAnswer *answer);
static void publish_vm_list(Rig *rig);
static void free_event(RigEvent *event);
static void free_call(gpointer data);

RigOptions
Rig_DefaultOptions(void)
{
    RigOptions options = {0};

    options.regions = 1;
    options.vm_count = 3;
    options.prefill_count = 2;
    options.decode_count = 3;
    options.slots = 20;
    options.prefill_tokens_per_s = 20000;
    options.token_interval_us = 20000;
    options.latency_us = 1000;
    options.list_lag_us = 15 * CLK_US_PER_S;
    options.kv_life_us = 800 * CLK_US_PER_MS;
    options.seed = 1;
    return options;
}

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const RigEvent *left = a;
    const RigEvent *right = b;

    (void)data;
    if (left->at_us != right->at_us) {
        return left->at_us < right->at_us ? -1 : 1;
    }
    return left->sequence < right->sequence ? -1 : 1;
}

RigEvent *
Rig_AddEvent(Rig *rig, RigEventType type, int vm, int64_t delay_us)
{
    RigEvent *event = g_new0(RigEvent, 1);

    event->type = type;
    event->vm = vm;
    event->incarnation = rig->vms[vm].incarnation;
    event->at_us = rig->now_us + delay_us;
    event->sequence = ++rig->sequence;
    g_sequence_insert_sorted(rig->events, event, compare_events, NULL);
    return event;
}

static void
free_engine(gpointer data)
{
    RigEngine *engine = data;
    g_hash_table_unref(engine->requests);
    g_hash_table_unref(engine->kv_results);
    g_hash_table_unref(engine->faulted_requests);
    g_string_free(engine->load_history, TRUE);
    g_free(engine);
}

static void
free_caller(gpointer data)
{
    RigCaller *caller = data;
    g_free(caller->key);
    g_free(caller->prompt);
    g_string_free(caller->text, TRUE);
    g_free(caller);
}

static void
add_engine(Rig *rig, bool prefill)
{
    RigEngine *engine = g_new0(RigEngine, 1);
    guint number = rig->engines->len;

    g_snprintf(engine->id, sizeof(engine->id), "%s-%u",
               prefill ? "prefill" : "decode", number);
    g_snprintf(engine->address, sizeof(engine->address), "10.0.0.%u:1",
               number + 1);
    engine->prefill = prefill;
    engine->region =
        (prefill ? (int)number : (int)number - rig->options.prefill_count) %
        rig->options.regions;
    engine->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->kv_results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->faulted_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->load_history = g_string_new(NULL);
    g_ptr_array_add(rig->engines, engine);
}

Rig *
Rig_New(const RigOptions *options)
{
    Rig *rig = g_new0(Rig, 1);

    rig->options = *options;
    rig->now_us = 1000 * CLK_US_PER_S;
    rig->events = g_sequence_new((GDestroyNotify)free_event);
    rig->rand = g_rand_new_with_seed(options->seed);
    rig->engines = g_ptr_array_new_with_free_func(free_engine);
    rig->callers = g_ptr_array_new_with_free_func(free_caller);
    rig->calls = g_ptr_array_new_with_free_func(free_call);
    rig->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    rig->accepted_requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    rig->config_version = 1;
    for (int i = 0; i < options->prefill_count + options->decode_count; i++) {
        add_engine(rig, i < options->prefill_count);
    }
    for (int i = 0; i < options->vm_count; i++) {
        RigVm *vm = &rig->vms[i];
        vm->rig = rig;
        vm->index = i;
        vm->pending_events = g_queue_new();
        g_snprintf(vm->id, sizeof(vm->id), "vm-%d", i);
        g_snprintf(vm->region, sizeof(vm->region), "region-%d",
                   i % options->regions);
        Rig_StartProcess(rig, vm);
    }
    Rig_Run(rig, 2 * CLK_US_PER_S);
    return rig;
}

void
Rig_Free(Rig *rig)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (rig->vms[i].board != NULL) {
            Board_Free(rig->vms[i].board);
        }
        g_queue_free_full(rig->vms[i].pending_events,
                          (GDestroyNotify)free_event);
    }
    g_sequence_free(rig->events);
    g_rand_free(rig->rand);
    g_ptr_array_unref(rig->engines);
    g_ptr_array_unref(rig->callers);
    g_ptr_array_unref(rig->calls);
    g_hash_table_unref(rig->runs);
    g_hash_table_unref(rig->accepted_requests);
    g_free(rig);
}

Board *
Rig_GetBoard(Rig *rig, int vm)
{
    return rig->vms[vm].board;
}

int64_t
Rig_Now(const Rig *rig)
{
    return rig->now_us;
}

static bool
is_running(const RigVm *vm)
{
    return vm->board != NULL && !vm->paused;
}

static void
tick_vms(Rig *rig)
{
    if (rig->now_us >= rig->next_list_us) {
        rig->next_list_us = rig->now_us + RIG_LIST_INTERVAL_US;
        publish_vm_list(rig);
    }
    for (int i = 0; i < rig->options.vm_count; i++) {
        RigVm *vm = &rig->vms[i];
        if (is_running(vm)) {
            Clk_Pause(&vm->board->clk, rig->now_us);
            Ctl_OnTick(vm->board);
            Ctl_RunLocal(vm->board);
        }
    }
}

void
Rig_Run(Rig *rig, int64_t duration_us)
{
    int64_t end_us = rig->now_us + duration_us;

    while (rig->now_us < end_us) {
        int64_t step_end_us = rig->now_us + RIG_STEP_US;
        GSequenceIter *first;
        while (!g_sequence_iter_is_end(
            first = g_sequence_get_begin_iter(rig->events))) {
            RigEvent *event = g_sequence_get(first);
            GSequence *removed;
            if (event->at_us > step_end_us) {
                break;
            }
            removed = g_sequence_new(NULL);
            g_sequence_move(first, g_sequence_get_begin_iter(removed));
            g_sequence_free(removed);
            rig->now_us = MAX(rig->now_us, event->at_us);
            Rig_HandleEvent(rig, event);
        }
        rig->now_us = step_end_us;
        tick_vms(rig);
    }
}

static RigCaller *
add_caller(Rig *rig, int vm)
{
    RigCaller *caller = g_new0(RigCaller, 1);

    caller->number = rig->callers->len + 1;
    caller->vm = vm;
    caller->text = g_string_new(NULL);
    caller->begun_us = rig->now_us;
    g_ptr_array_add(rig->callers, caller);
    return caller;
}

static const ConCustomer *
get_customer(const Board *board)
{
    return Con_FindCustomer(board->config, RIG_KEY);
}

RigCaller *
Rig_SendCompletion(Rig *rig, int vm, const char *prompt, uint32_t max_tokens)
{
    RigCaller *caller = add_caller(rig, vm);
    Board *board = rig->vms[vm].board;
    ReqParams params = {0};
    LsError err;

    caller->prompt = g_strdup(prompt);
    caller->max_tokens = max_tokens;
    params.caller = caller->number;
    params.customer = get_customer(board);
    params.model = RIG_MODEL;
    params.prompt = prompt;
    params.max_tokens = max_tokens;
    if (Req_Begin(board, &params, caller->request, sizeof(caller->request),
                  &err) != LS_OK) {
        Board_AnswerError(board, caller->number, NULL, &err);
    }
    Ctl_RunLocal(board);
    return caller;
}

RigCaller *
Rig_SendOperation(Rig *rig, int vm, const char *key, const char *body)
{
    RigCaller *caller = add_caller(rig, vm);
    Board *board = rig->vms[vm].board;
    OpParams params = {0};

    caller->key = g_strdup(key);
    params.caller = caller->number;
    params.customer = get_customer(board);
    params.key = key;
    params.service = RIG_SERVICE;
    params.path = RIG_PATH;
    params.body = body;
    params.body_size = strlen(body);
    Op_Begin(board, &params);
    Ctl_RunLocal(board);
    return caller;
}

char *
Rig_IssueKey(Rig *rig, int vm)
{
    Board *board = rig->vms[vm].board;
    char key[OP_KEY_MAX];
    LsError err;

    if (Op_IssueKey(board, get_customer(board), key, sizeof(key), &err) !=
        LS_OK) {
        return NULL;
    }
    return g_strdup(key);
}

void
Rig_DisconnectCaller(Rig *rig, RigCaller *caller)
{
    RigVm *vm = &rig->vms[caller->vm];

    caller->is_disconnected = true;
    caller->disconnected_us = rig->now_us;
    if (is_running(vm)) {
        Ctl_OnCallerDisconnected(vm->board, caller->number);
        Ctl_RunLocal(vm->board);
    }
}

const char *
Rig_GetLoadHistory(const Rig *rig, int engine)
{
    return ((const RigEngine *)rig->engines->pdata[engine])->load_history->str;
}

int
Rig_FindHome(Rig *rig, int vm)
{
    const char *home = Mem_FindHome(rig->vms[vm].board, RIG_CELL, "region-0");

    for (int i = 0; i < rig->options.vm_count; i++) {
        if (strcmp(rig->vms[i].id, home) == 0) {
            return i;
        }
    }
    return -1;
}

guint
Rig_CountHeld(const Rig *rig)
{
    guint count = 0;

    for (guint i = 0; i < rig->engines->len; i++) {
        const RigEngine *engine = rig->engines->pdata[i];
        count += g_hash_table_size(engine->requests);
    }
    return count;
}

guint
Rig_CountRuns(const Rig *rig, const char *key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(rig->runs, key));
}

int64_t
Rig_GetLastWorkTime(const Rig *rig, int engine)
{
    return ((const RigEngine *)rig->engines->pdata[engine])->last_work_time_us;
}

uint64_t
Rig_GetRegionPrefilledTokens(const Rig *rig, int region)
{
    uint64_t tokens = 0;

    for (guint i = 0; i < rig->engines->len; i++) {
        const RigEngine *engine = rig->engines->pdata[i];
        tokens += engine->region == region ? engine->prefilled : 0;
    }
    return tokens;
}

uint64_t
Rig_GetPrefilledTokens(const Rig *rig)
{
    return rig->prefilled;
}

void
Rig_StartProcess(Rig *rig, RigVm *vm)
{
    BoardOptions options = Board_DefaultOptions();
    LsError err;

    vm->incarnation = (uint64_t)rig->now_us;
    vm->listed = true;
    vm->delist_us = 0;
    options.vm = vm->id;
    options.incarnation = vm->incarnation;
    options.zone = "z";
    options.region = vm->region;
    options.vm_count_max = (uint32_t)rig->options.vm_count;
    options.seed = rig->options.seed + (guint32)vm->index;
    options.io.context = vm;
    options.io.send_frame = send_frame;
    options.io.begin_call = begin_call;
    options.io.end_call = end_call;
    options.io.answer = receive_answer;
    vm->board = Board_New(&options);
    Clk_Pause(&vm->board->clk, rig->now_us);
    Plc_SetPolicy(vm->board->plc, rig->options.policy);
    Board_SetConfig(vm->board, Rig_LoadConfig(rig), &err);
    publish_vm_list(rig);
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (rig->vms[i].board != NULL && i != vm->index) {
            Mem_OnHello(rig->vms[i].board, vm->id, vm->incarnation);
            Mem_OnHello(vm->board, rig->vms[i].id, rig->vms[i].incarnation);
        }
    }
}

static void
publish_vm_list(Rig *rig)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(MemListRow));

    for (int i = 0; i < rig->options.vm_count; i++) {
        RigVm *vm = &rig->vms[i];
        MemListRow row = {0};
        if (vm->delist_us != 0 && rig->now_us >= vm->delist_us) {
            vm->listed = false;
        }
        if (vm->listed) {
            g_strlcpy(row.vm, vm->id, sizeof(row.vm));
            g_strlcpy(row.address, vm->id, sizeof(row.address));
            g_strlcpy(row.zone, "z", sizeof(row.zone));
            g_strlcpy(row.region, vm->region, sizeof(row.region));
            g_array_append_val(rows, row);
        }
    }
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (rig->vms[i].board != NULL && !rig->vms[i].paused) {
            Mem_SetVmList(rig->vms[i].board, rows);
        }
    }
    g_array_unref(rows);
}

static int
find_vm(const Rig *rig, const char *id)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (strcmp(rig->vms[i].id, id) == 0) {
            return i;
        }
    }
    return -1;
}

static void
queue_frame(Rig *rig, const RigVm *from, int to, GBytes *bytes)
{
    int64_t delay_us = rig->options.latency_us;

    if (rig->options.jitter_us > 0) {
        delay_us +=
            g_rand_int_range(rig->rand, 0, (gint32)rig->options.jitter_us);
    }
    RigEvent *event = Rig_AddEvent(rig, RIG_EVENT_FRAME, to, delay_us);
    event->from = from->index;
    event->frame = g_bytes_ref(bytes);
}

static bool
is_dropped(Rig *rig)
{
    return rig->options.drop_rate > 0 &&
           g_rand_double(rig->rand) < rig->options.drop_rate;
}

static void
send_frame(void *context, const char *id, const Wire__Frame *frame)
{
    const RigVm *from = context;
    Rig *rig = from->rig;
    int to = find_vm(rig, id);
    size_t size = wire__frame__get_packed_size(frame);
    guint8 *data = g_malloc(size + 1);
    GBytes *bytes;

    wire__frame__pack(frame, data);
    bytes = g_bytes_new_take(data, size);
    if (to >= 0 && rig->vms[to].board == NULL) {
        Rig_AddEvent(rig, RIG_EVENT_LINK_DOWN, from->index,
                     rig->options.latency_us)
            ->from = to;
    }
    else if (to >= 0 && (rig->link_cut[from->index][to] || is_dropped(rig))) {
        Rig_AddEvent(rig, RIG_EVENT_LINK_DOWN, from->index,
                     RIG_LINK_TIMEOUT_US)
            ->from = to;
    }
    else if (to >= 0) {
        queue_frame(rig, from, to, bytes);
        if (rig->options.duplicate_rate > 0 &&
            g_rand_double(rig->rand) < rig->options.duplicate_rate) {
            queue_frame(rig, from, to, bytes);
        }
    }
    g_bytes_unref(bytes);
}

static void
begin_call(void *context, const BoardCall *board_call)
{
    RigVm *vm = context;
    Rig *rig = vm->rig;
    RigCall *call = g_new0(RigCall, 1);

    call->vm = vm->index;
    call->incarnation = vm->incarnation;
    call->id = board_call->id;
    g_strlcpy(call->address, board_call->address, sizeof(call->address));
    call->path = g_strdup(board_call->path);
    call->request = g_strdup(board_call->request);
    call->key = g_strdup(board_call->idempotency_key);
    call->body =
        board_call->body != NULL
            ? json_loadb(board_call->body, board_call->body_size, 0, NULL)
            : NULL;
    g_ptr_array_add(rig->calls, call);
    Rig_AddEvent(rig, RIG_EVENT_ARRIVE, vm->index, rig->options.latency_us)
        ->call = call;
}

static void
end_call(void *context, uint64_t id)
{
    const RigVm *vm = context;

    for (guint i = 0; i < vm->rig->calls->len; i++) {
        RigCall *call = vm->rig->calls->pdata[i];
        if (call->vm == vm->index && call->id == id &&
            call->incarnation == vm->incarnation) {
            call->closed = true;
        }
    }
}

static void
receive_answer(void *context, uint64_t number, const BoardAnswer *answer)
{
    const RigVm *vm = context;
    Rig *rig = vm->rig;
    RigCaller *caller;

    if (number == 0 || number > rig->callers->len) {
        return;
    }
    caller = rig->callers->pdata[number - 1];
    if (answer->type == BOARD_ANSWER_CHUNK) {
        if (caller->first_us == 0) {
            caller->first_us = rig->now_us;
        }
        g_string_append_len(caller->text, answer->text, (gssize)answer->size);
        return;
    }
    caller->final_answers++;
    caller->type = answer->type;
    caller->status = answer->status;
    caller->ended_us = rig->now_us;
    if (answer->err != NULL) {
        caller->err = *answer->err;
    }
}

static void
deliver_reply(Board *board, const RigEvent *event)
{
    BoardCallEvent reply_event = {0};

    if (event->call->closed) {
        return;
    }
    reply_event.call = event->call->id;
    reply_event.type = event->reply;
    reply_event.status = event->status;
    reply_event.data = event->data;
    reply_event.size = strlen(event->data);
    reply_event.sent = event->sent;
    Board_HandleCallEvent(board, &reply_event);
}

static void
deliver_frame(Rig *rig, Board *board, const RigEvent *event)
{
    gsize size;
    const guint8 *data = g_bytes_get_data(event->frame, &size);
    Wire__Frame *frame = wire__frame__unpack(NULL, size, data);

    Ctl_OnFrame(board, rig->vms[event->from].id, frame);
    wire__frame__free_unpacked(frame, NULL);
}

/* Delivers an event to the board of a running VM. */
static void
deliver_to_vm(Rig *rig, RigEvent *event)
{
    Board *board = rig->vms[event->vm].board;
    LsError err;

    Clk_Pause(&board->clk, rig->now_us);
    switch (event->type) {
    case RIG_EVENT_FRAME:
        deliver_frame(rig, board, event);
        break;
    case RIG_EVENT_REPLY:
        deliver_reply(board, event);
        break;
    case RIG_EVENT_LINK_DOWN:
        Ctl_OnLinkDown(board, rig->vms[event->from].id);
        break;
    case RIG_EVENT_CONFIG:
        if (Board_SetConfig(board, event->config, &err) == LS_OK) {
            event->config = NULL;
        }
        break;
    default:
        break;
    }
    Ctl_RunLocal(board);
}

void
Rig_HandleEvent(Rig *rig, RigEvent *event)
{
    RigVm *vm = &rig->vms[event->vm];

    if (event->type == RIG_EVENT_ARRIVE) {
        RigUp_HandleCall(rig, event->call);
    }
    else if (event->type == RIG_EVENT_PREFILLED) {
        RigUp_EndPrefill(rig, event->call);
    }
    else if (event->type == RIG_EVENT_TOKEN) {
        RigUp_GenerateToken(rig, event->call);
    }
    else if (vm->board != NULL && (event->type == RIG_EVENT_CONFIG ||
                                   event->incarnation == vm->incarnation)) {
        if (vm->paused) {
            g_queue_push_tail(vm->pending_events, event);
            return;
        }
        deliver_to_vm(rig, event);
    }
    free_event(event);
}

static void
free_event(RigEvent *event)
{
    if (event->frame != NULL) {
        g_bytes_unref(event->frame);
    }
    Con_UnloadConfig(event->config);
    g_free(event->data);
    g_free(event);
}

static void
free_call(gpointer data)
{
    RigCall *call = data;
    g_free(call->path);
    g_free(call->request);
    g_free(call->key);
    json_decref(call->body);
    g_free(call);
}
