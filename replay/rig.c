#include "rig.h"

#include "ctl.h"
#include "mem.h"
#include "op.h"
#include "req.h"

#include <string.h>
#include <xxhash.h>

#define RIG_CELL "lens@region"
#define RIG_MODEL "lens"
#define RIG_SERVICE "booking"
#define RIG_PATH "/holds"
#define RIG_LIST_US (5 * CLK_US_PER_S)
#define RIG_LINK_SILENT_US (2500 * CLK_US_PER_MS)
#define RIG_VIOLATION_MAX 256
#define RIG_VMS_MAX 64
#define RIG_GONE_US CLK_US_PER_S /* For memory of a caller that left. */

typedef struct RigVm {
    Rig *rig;
    int index;
    char id[16];
    Board *board; /* NULL while dead. */
    bool paused;
    bool listed;
    int64_t unlist_us; /* When the lagging list drops it. */
    uint64_t incarnation;
    GQueue *held; /* RigEvent * that wait for the process to wake. */
} RigVm;

typedef struct RigEngine {
    char id[CON_ID_MAX];
    char address[CON_ADDRESS_MAX];
    bool prefill;
    RigFault fault;
    bool leaving;         /* By configuration. */
    GHashTable *requests; /* id held in memory */
    GHashTable *results;  /* id to expiry of a prefill's result */
    GHashTable *faulted;  /* id that the fault has hit once */
    int64_t prefill_free_us;
    int64_t last_work_us;
} RigEngine;

typedef enum RigEventType {
    RIG_EVENT_FRAME,
    RIG_EVENT_ARRIVE, /* A call reaches its upstream. */
    RIG_EVENT_PREFILLED,
    RIG_EVENT_TOKEN,
    RIG_EVENT_REPLY, /* An event of a call reaches its VM. */
    RIG_EVENT_LINK_DOWN,
    RIG_EVENT_CONFIG,
} RigEventType;

/* A call as its upstream sees it. */
typedef struct RigCall {
    int vm;
    uint64_t incarnation; /* Of the calling process. */
    uint64_t id;
    char address[CON_ADDRESS_MAX];
    char *path;
    char *request;
    char *key;
    json_t *body;
    bool closed; /* The VM gave it up. */
    uint64_t seed;
    uint32_t next;
    uint32_t end;
    bool cut;
} RigCall;

typedef struct RigEvent {
    int64_t at_us;
    uint64_t order;
    RigEventType type;
    int vm; /* At which it happens. */
    int from;
    uint64_t incarnation;
    GBytes *frame;
    RigCall *call;
    BoardCallEventType reply;
    int status;
    char *data;
    bool sent;
    ConConfig *config;
} RigEvent;

struct Rig {
    RigOptions options;
    int64_t now_us;
    uint64_t order;
    GSequence *events;
    GRand *rand;
    RigVm vms[RIG_VMS_MAX];
    bool cut[RIG_VMS_MAX][RIG_VMS_MAX];
    GPtrArray *engines; /* RigEngine * */
    GPtrArray *callers; /* RigCaller * */
    GPtrArray *calls;   /* RigCall * */
    GHashTable *runs;   /* key to count */
    GHashTable *worked; /* request that reached an engine */
    RigFault booking_fault;
    uint64_t version;
    uint64_t prefilled;
    int64_t next_list_us;
    char violation[RIG_VIOLATION_MAX];
};

static void start_process(Rig *rig, RigVm *vm);
static void send_frame(void *context, const char *id,
                       const Wire__Frame *frame);
static void begin_call(void *context, const BoardCall *call);
static void end_call(void *context, uint64_t call);
static void take_answer(void *context, uint64_t caller,
                        const BoardAnswer *answer);
static ConConfig *load_config(Rig *rig);
static void give_list(Rig *rig);
static void handle_event(Rig *rig, RigEvent *event);
static void free_event(RigEvent *event);
static void free_call(gpointer data);

RigOptions
Rig_DefaultOptions(void)
{
    RigOptions options = {0};

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
    return left->order < right->order ? -1 : 1;
}

static RigEvent *
add_event(Rig *rig, RigEventType type, int vm, int64_t delay_us)
{
    RigEvent *event = g_new0(RigEvent, 1);

    event->type = type;
    event->vm = vm;
    event->incarnation = rig->vms[vm].incarnation;
    event->at_us = rig->now_us + delay_us;
    event->order = ++rig->order;
    g_sequence_insert_sorted(rig->events, event, compare_events, NULL);
    return event;
}

static void
free_engine(gpointer data)
{
    RigEngine *engine = data;
    g_hash_table_unref(engine->requests);
    g_hash_table_unref(engine->results);
    g_hash_table_unref(engine->faulted);
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
    engine->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engine->faulted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
    rig->worked = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    rig->version = 1;
    for (int i = 0; i < options->prefill_count + options->decode_count; i++) {
        add_engine(rig, i < options->prefill_count);
    }
    for (int i = 0; i < options->vm_count; i++) {
        RigVm *vm = &rig->vms[i];
        vm->rig = rig;
        vm->index = i;
        vm->held = g_queue_new();
        g_snprintf(vm->id, sizeof(vm->id), "vm-%d", i);
        start_process(rig, vm);
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
        g_queue_free_full(rig->vms[i].held, (GDestroyNotify)free_event);
    }
    g_sequence_free(rig->events);
    g_rand_free(rig->rand);
    g_ptr_array_unref(rig->engines);
    g_ptr_array_unref(rig->callers);
    g_ptr_array_unref(rig->calls);
    g_hash_table_unref(rig->runs);
    g_hash_table_unref(rig->worked);
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
        rig->next_list_us = rig->now_us + RIG_LIST_US;
        give_list(rig);
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
Rig_Run(Rig *rig, int64_t by_us)
{
    int64_t end_us = rig->now_us + by_us;

    while (rig->now_us < end_us) {
        int64_t step_end = rig->now_us + RIG_STEP_US;
        GSequenceIter *first;
        while (!g_sequence_iter_is_end(
            first = g_sequence_get_begin_iter(rig->events))) {
            RigEvent *event = g_sequence_get(first);
            GSequence *taken;
            if (event->at_us > step_end) {
                break;
            }
            taken = g_sequence_new(NULL);
            g_sequence_move(first, g_sequence_get_begin_iter(taken));
            g_sequence_free(taken);
            rig->now_us = MAX(rig->now_us, event->at_us);
            handle_event(rig, event);
        }
        rig->now_us = step_end;
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
    ReqOrder order = {0};
    LsError err;

    caller->prompt = g_strdup(prompt);
    caller->max_tokens = max_tokens;
    order.caller = caller->number;
    order.customer = get_customer(board);
    order.model = RIG_MODEL;
    order.prompt = prompt;
    order.max_tokens = max_tokens;
    if (Req_Begin(board, &order, caller->request, sizeof(caller->request),
                  &err) != LS_OK) {
        Board_AnswerError(board, caller->number, &err);
    }
    Ctl_RunLocal(board);
    return caller;
}

RigCaller *
Rig_SendOperation(Rig *rig, int vm, const char *key, const char *body)
{
    RigCaller *caller = add_caller(rig, vm);
    Board *board = rig->vms[vm].board;
    OpOrder order = {0};

    caller->key = g_strdup(key);
    order.caller = caller->number;
    order.customer = get_customer(board);
    order.key = key;
    order.service = RIG_SERVICE;
    order.path = RIG_PATH;
    order.body = body;
    order.body_size = strlen(body);
    Op_Begin(board, &order);
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
Rig_DropCaller(Rig *rig, RigCaller *caller)
{
    RigVm *vm = &rig->vms[caller->vm];

    caller->gone = true;
    caller->gone_us = rig->now_us;
    if (is_running(vm)) {
        Ctl_OnCallerGone(vm->board, caller->number);
        Ctl_RunLocal(vm->board);
    }
}

/* Marks the calls of a VM's present process as closed. */
static void
close_calls(Rig *rig, const RigVm *vm)
{
    for (guint i = 0; i < rig->calls->len; i++) {
        RigCall *call = rig->calls->pdata[i];
        call->closed = call->closed || (call->vm == vm->index &&
                                        call->incarnation == vm->incarnation);
    }
}

/* Tells the other VMs that their links to a VM broke. */
static void
break_links(Rig *rig, int vm, int64_t delay_us)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (i != vm) {
            add_event(rig, RIG_EVENT_LINK_DOWN, i, delay_us)->from = vm;
        }
    }
}

void
Rig_KillVm(Rig *rig, int index)
{
    RigVm *vm = &rig->vms[index];

    if (vm->board == NULL) {
        return;
    }
    close_calls(rig, vm);
    for (guint i = 0; i < rig->callers->len; i++) {
        RigCaller *caller = rig->callers->pdata[i];
        caller->lost = caller->lost || caller->vm == index;
    }
    Board_Free(vm->board);
    vm->board = NULL;
    vm->paused = false;
    vm->unlist_us = rig->now_us + rig->options.list_lag_us;
    break_links(rig, index, rig->options.latency_us);
}

void
Rig_StartVm(Rig *rig, int index)
{
    if (rig->vms[index].board == NULL) {
        start_process(rig, &rig->vms[index]);
    }
}

void
Rig_PauseVm(Rig *rig, int vm)
{
    rig->vms[vm].paused = true;
    break_links(rig, vm, RIG_LINK_SILENT_US);
}

void
Rig_ResumeVm(Rig *rig, int index)
{
    RigVm *vm = &rig->vms[index];
    RigEvent *event;

    if (!vm->paused) {
        return;
    }
    vm->paused = false;
    if (vm->board == NULL) {
        return;
    }
    /* The loop's tick comes before what the kernel kept for the process. */
    Clk_Pause(&vm->board->clk, rig->now_us);
    Ctl_OnTick(vm->board);
    Ctl_RunLocal(vm->board);
    while ((event = g_queue_pop_head(vm->held)) != NULL) {
        handle_event(rig, event);
    }
}

void
Rig_StopVm(Rig *rig, int vm)
{
    if (rig->vms[vm].board != NULL) {
        Ctl_Stop(rig->vms[vm].board);
    }
}

void
Rig_CutLink(Rig *rig, int from, int to, bool cut)
{
    if (cut && !rig->cut[from][to]) {
        add_event(rig, RIG_EVENT_LINK_DOWN, from, RIG_LINK_SILENT_US)->from =
            to;
        add_event(rig, RIG_EVENT_LINK_DOWN, to, RIG_LINK_SILENT_US)->from =
            from;
    }
    rig->cut[from][to] = cut;
}

void
Rig_IsolateVm(Rig *rig, int vm, bool isolated)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (i != vm) {
            Rig_CutLink(rig, vm, i, isolated);
            Rig_CutLink(rig, i, vm, isolated);
        }
    }
}

void
Rig_SetEngineFault(Rig *rig, int engine, RigFault fault)
{
    ((RigEngine *)rig->engines->pdata[engine])->fault = fault;
}

void
Rig_SetBookingFault(Rig *rig, RigFault fault)
{
    rig->booking_fault = fault;
}

void
Rig_SetLeaving(Rig *rig, int engine, int64_t stagger_us)
{
    ((RigEngine *)rig->engines->pdata[engine])->leaving = true;
    rig->version++;
    for (int i = 0; i < rig->options.vm_count; i++) {
        add_event(rig, RIG_EVENT_CONFIG, i, i * stagger_us)->config =
            load_config(rig);
    }
}

int
Rig_FindHome(Rig *rig, int vm)
{
    const char *home = Mem_FindHome(rig->vms[vm].board, RIG_CELL, "region");

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
    guint held = 0;

    for (guint i = 0; i < rig->engines->len; i++) {
        const RigEngine *engine = rig->engines->pdata[i];
        held += g_hash_table_size(engine->requests);
    }
    return held;
}

guint
Rig_CountRuns(const Rig *rig, const char *key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(rig->runs, key));
}

int64_t
Rig_GetLastWork(const Rig *rig, int engine)
{
    return ((const RigEngine *)rig->engines->pdata[engine])->last_work_us;
}

uint64_t
Rig_GetPrefilled(const Rig *rig)
{
    return rig->prefilled;
}

static uint64_t
get_seed(const char *prompt)
{
    return XXH64(prompt, strlen(prompt), 7);
}

static void
append_token(GString *text, uint64_t seed, uint32_t number)
{
    g_string_append_printf(
        text, "%03x ",
        (unsigned)(XXH64(&number, sizeof(number), seed) & 0xfff));
}

static bool
set_violation(Rig *rig, const RigCaller *caller, const char *what)
{
    g_snprintf(rig->violation, sizeof(rig->violation),
               "caller %lu at vm-%d (%s): %s", (unsigned long)caller->number,
               caller->vm, caller->key != NULL ? caller->key : caller->request,
               what);
    return false;
}

/* Checks that an answer is the beginning, or all, of the right one. */
static bool
check_text(Rig *rig, const RigCaller *caller)
{
    GString *whole = g_string_new(NULL);
    bool ended = caller->terminals > 0 && caller->type == BOARD_ANSWER_END;
    bool ok;

    for (uint32_t i = 0; i < caller->max_tokens; i++) {
        append_token(whole, get_seed(caller->prompt), i);
    }
    ok = ended ? strcmp(whole->str, caller->text->str) == 0
               : g_str_has_prefix(whole->str, caller->text->str);
    g_string_free(whole, TRUE);
    return ok || set_violation(rig, caller, "the answer is not its request's");
}

static guint
count_calls_of_key(const Rig *rig, const char *key)
{
    guint count = 0;

    for (guint i = 0; i < rig->callers->len; i++) {
        const RigCaller *caller = rig->callers->pdata[i];
        count += g_strcmp0(caller->key, key) == 0 ? 1 : 0;
    }
    return count;
}

/* Checks that "not run" is said only of what was not run. */
static bool
check_not_run(Rig *rig, const RigCaller *caller)
{
    bool refused = caller->terminals > 0 &&
                   caller->type == BOARD_ANSWER_ERROR &&
                   caller->err.run == LS_RUN_NOT_RUN;

    if (!refused) {
        return true;
    }
    if (caller->key != NULL && count_calls_of_key(rig, caller->key) == 1 &&
        Rig_CountRuns(rig, caller->key) > 0) {
        return set_violation(rig, caller, "\"not run\", but it ran");
    }
    if (caller->request[0] != '\0' &&
        g_hash_table_contains(rig->worked, caller->request)) {
        return set_violation(rig, caller, "\"not run\", but work left");
    }
    return true;
}

static bool
check_caller(Rig *rig, const RigCaller *caller, bool settled)
{
    if (caller->terminals > 1) {
        return set_violation(rig, caller, "answered twice");
    }
    if (settled && caller->terminals == 0 && !caller->gone && !caller->lost) {
        return set_violation(rig, caller, "not answered");
    }
    if (caller->prompt != NULL && !check_text(rig, caller)) {
        return false;
    }
    return check_not_run(rig, caller);
}

const char *
Rig_FindViolation(Rig *rig, bool settled)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;

    for (guint i = 0; i < rig->callers->len; i++) {
        if (!check_caller(rig, rig->callers->pdata[i], settled)) {
            return rig->violation;
        }
    }
    g_hash_table_iter_init(&iter, rig->runs);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (GPOINTER_TO_UINT(value) > 1) {
            g_snprintf(rig->violation, sizeof(rig->violation),
                       "operation %s ran %u times", (const char *)key,
                       GPOINTER_TO_UINT(value));
            return rig->violation;
        }
    }
    if (settled && Rig_CountHeld(rig) > 0) {
        g_snprintf(rig->violation, sizeof(rig->violation),
                   "%u requests are left in engines' memory",
                   Rig_CountHeld(rig));
        return rig->violation;
    }
    return NULL;
}

static char *
format_upstreams(const Rig *rig)
{
    GString *text = g_string_new(NULL);

    for (guint i = 0; i < rig->engines->len; i++) {
        const RigEngine *engine = rig->engines->pdata[i];
        g_string_append_printf(
            text,
            "{\"id\":\"%s\",\"address\":\"%s\",\"serves\":\"" RIG_MODEL
            "\",\"zone\":\"z\",\"region\":\"region\",\"role\":\"%s\","
            "\"state\":\"%s\",\"slots\":%u,\"memory_blocks\":100,"
            "\"block_tokens\":2000,\"prefill_tokens_per_s\":%u,"
            "\"token_interval_us\":%u,\"link_bytes_per_s\":1e10},",
            engine->id, engine->address,
            engine->prefill ? "prefill" : "decode",
            engine->leaving ? "leaving" : "active", rig->options.slots,
            rig->options.prefill_tokens_per_s, rig->options.token_interval_us);
    }
    return g_string_free(text, FALSE);
}

static ConConfig *
load_config(Rig *rig)
{
    char *digest = Con_GetDigest(RIG_KEY, strlen(RIG_KEY));
    char *upstreams = format_upstreams(rig);
    char *text = g_strdup_printf(
        "{\"models\":[{\"name\":\"" RIG_MODEL
        "\",\"kv_bytes_per_token\":100000}],"
        "\"upstreams\":[%s{\"id\":\"booking-1\",\"address\":\"10.0.1.1:1\","
        "\"serves\":\"" RIG_SERVICE
        "\",\"zone\":\"z\",\"region\":\"region\",\"role\":\"service\"}],"
        "\"customers\":[{\"id\":\"zupan\",\"key_sha256\":[\"%s\"],"
        "\"priority\":1,\"requests_per_s\":100000,\"tokens_per_s\":1e9,"
        "\"concurrency\":100000,\"cross_region_tokens_per_s\":0,"
        "\"regions\":[\"region\"],\"models\":[\"" RIG_MODEL
        "\"],\"first_token_ms\":1300,\"per_token_ms\":36,"
        "\"wasted_prefill_weight\":1,\"routes\":[{\"service\":\"" RIG_SERVICE
        "\",\"path\":\"" RIG_PATH "\",\"idempotent\":false}]}]}",
        upstreams, digest);
    char *part_digest = Con_GetDigest(text, strlen(text));
    char *manifest = g_strdup_printf(
        "{\"version\":%lu,\"parts\":[{\"name\":\"all\",\"sha256\":\"%s\"}]}",
        (unsigned long)rig->version, part_digest);
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    ConConfig *config;
    LsError err;

    g_ptr_array_add(parts, Con_NewPart("all", text, strlen(text)));
    config = Con_LoadConfig(manifest, strlen(manifest), parts, &err);
    g_assert(config != NULL);
    g_ptr_array_unref(parts);
    g_free(manifest);
    g_free(part_digest);
    g_free(text);
    g_free(upstreams);
    g_free(digest);
    return config;
}

static void
start_process(Rig *rig, RigVm *vm)
{
    BoardOptions options = Board_DefaultOptions();
    LsError err;

    vm->incarnation = (uint64_t)rig->now_us;
    vm->listed = true;
    vm->unlist_us = 0;
    options.vm = vm->id;
    options.incarnation = vm->incarnation;
    options.zone = "z";
    options.region = "region";
    options.vm_count_max = (uint32_t)rig->options.vm_count;
    options.seed = rig->options.seed + (guint32)vm->index;
    options.io.context = vm;
    options.io.send_frame = send_frame;
    options.io.begin_call = begin_call;
    options.io.end_call = end_call;
    options.io.answer = take_answer;
    vm->board = Board_New(&options);
    Clk_Pause(&vm->board->clk, rig->now_us);
    Plc_SetPolicy(vm->board->plc, rig->options.policy);
    Board_SetConfig(vm->board, load_config(rig), &err);
    give_list(rig);
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (rig->vms[i].board != NULL && i != vm->index) {
            Mem_OnHello(rig->vms[i].board, vm->id, vm->incarnation);
            Mem_OnHello(vm->board, rig->vms[i].id, rig->vms[i].incarnation);
        }
    }
}

static void
give_list(Rig *rig)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(MemListRow));

    for (int i = 0; i < rig->options.vm_count; i++) {
        RigVm *vm = &rig->vms[i];
        MemListRow row = {0};
        if (vm->unlist_us != 0 && rig->now_us >= vm->unlist_us) {
            vm->listed = false;
        }
        if (vm->listed) {
            g_strlcpy(row.vm, vm->id, sizeof(row.vm));
            g_strlcpy(row.address, vm->id, sizeof(row.address));
            g_strlcpy(row.zone, "z", sizeof(row.zone));
            g_strlcpy(row.region, "region", sizeof(row.region));
            g_array_append_val(rows, row);
        }
    }
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (rig->vms[i].board != NULL && !rig->vms[i].paused) {
            Mem_SetList(rig->vms[i].board, rows);
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
    int64_t delay = rig->options.latency_us;

    if (rig->options.jitter_us > 0) {
        delay +=
            g_rand_int_range(rig->rand, 0, (gint32)rig->options.jitter_us);
    }
    RigEvent *event = add_event(rig, RIG_EVENT_FRAME, to, delay);
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
        add_event(rig, RIG_EVENT_LINK_DOWN, from->index,
                  rig->options.latency_us)
            ->from = to;
    }
    else if (to >= 0 && (rig->cut[from->index][to] || is_dropped(rig))) {
        add_event(rig, RIG_EVENT_LINK_DOWN, from->index, RIG_LINK_SILENT_US)
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
begin_call(void *context, const BoardCall *request)
{
    RigVm *vm = context;
    Rig *rig = vm->rig;
    RigCall *call = g_new0(RigCall, 1);

    call->vm = vm->index;
    call->incarnation = vm->incarnation;
    call->id = request->id;
    g_strlcpy(call->address, request->address, sizeof(call->address));
    call->path = g_strdup(request->path);
    call->request = g_strdup(request->request);
    call->key = g_strdup(request->idempotency_key);
    call->body = request->body != NULL
                     ? json_loadb(request->body, request->body_size, 0, NULL)
                     : NULL;
    g_ptr_array_add(rig->calls, call);
    add_event(rig, RIG_EVENT_ARRIVE, vm->index, rig->options.latency_us)
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
take_answer(void *context, uint64_t number, const BoardAnswer *answer)
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
    caller->terminals++;
    caller->type = answer->type;
    caller->status = answer->status;
    caller->ended_us = rig->now_us;
    if (answer->err != NULL) {
        caller->err = *answer->err;
    }
}

static void
reply(Rig *rig, RigCall *call, BoardCallEventType type, int status,
      const char *data, bool sent)
{
    RigEvent *event =
        add_event(rig, RIG_EVENT_REPLY, call->vm, rig->options.latency_us);

    event->incarnation = call->incarnation;
    event->call = call;
    event->reply = type;
    event->status = status;
    event->data = g_strdup(data);
    event->sent = sent;
}

static void
refuse(Rig *rig, RigCall *call, const char *code)
{
    char *body = g_strdup_printf("{\"error\":{\"code\":\"%s\"}}", code);
    reply(rig, call, BOARD_CALL_END, 503, body, true);
    g_free(body);
}

static RigEngine *
find_engine(const Rig *rig, const char *address)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        if (strcmp(engine->address, address) == 0) {
            return engine;
        }
    }
    return NULL;
}

static void
run_booking(Rig *rig, RigCall *call)
{
    guint runs = Rig_CountRuns(rig, call->key) + 1;

    if (rig->booking_fault == RIG_FAULT_DOWN) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", false);
        return;
    }
    if (rig->booking_fault == RIG_FAULT_REFUSE) {
        refuse(rig, call, "full");
        return;
    }
    g_hash_table_replace(rig->runs, g_strdup(call->key),
                         GUINT_TO_POINTER(runs));
    if (rig->booking_fault == RIG_FAULT_LOSE) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", true);
    }
    else if (rig->booking_fault != RIG_FAULT_SILENT) {
        reply(rig, call, BOARD_CALL_END, 200, "{\"run\":1}", true);
    }
}

static void
list_requests(Rig *rig, RigCall *call, const RigEngine *engine)
{
    GString *text = g_string_new("{\"requests\":[");
    GHashTableIter iter;
    gpointer key;

    g_hash_table_iter_init(&iter, engine->requests);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_string_append_printf(text, "%s\"%s\"",
                               text->str[text->len - 1] == '[' ? "" : ",",
                               (const char *)key);
    }
    g_string_append_printf(text, "],\"leaving\":%s}",
                           engine->fault == RIG_FAULT_LEAVING ? "true"
                                                              : "false");
    reply(rig, call, BOARD_CALL_END, 200, text->str, true);
    g_string_free(text, TRUE);
}

static void
cancel_request(RigEngine *engine, const char *path)
{
    char *unescaped =
        g_uri_unescape_string(path + strlen("/v1/requests/"), NULL);
    char *end = g_strrstr(unescaped, "/cancel");

    *end = '\0';
    g_hash_table_remove(engine->requests, unescaped);
    g_hash_table_remove(engine->results, unescaped);
    g_free(unescaped);
}

static bool
is_text_true(const json_t *body, const char *field)
{
    return json_is_true(
        json_object_get(json_object_get(body, "kv_transfer_params"), field));
}

static void
begin_prefill(Rig *rig, RigCall *call, RigEngine *engine)
{
    const char *prompt =
        json_string_value(json_object_get(call->body, "prompt"));
    int64_t tokens = (int64_t)strlen(prompt) / 4 + 1;

    engine->prefill_free_us =
        MAX(engine->prefill_free_us, rig->now_us) +
        tokens * CLK_US_PER_S / rig->options.prefill_tokens_per_s;
    rig->prefilled += (uint64_t)tokens;
    add_event(rig, RIG_EVENT_PREFILLED, call->vm,
              engine->prefill_free_us - rig->now_us)
        ->call = call;
}

static RigEngine *
find_result(const Rig *rig, const char *id)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        const int64_t *expiry = g_hash_table_lookup(engine->results, id);
        if (expiry != NULL && *expiry >= rig->now_us) {
            return engine;
        }
    }
    return NULL;
}

static void
begin_stream(Rig *rig, RigCall *call, uint32_t offset, uint32_t count,
             const char *prompt)
{
    call->seed = get_seed(prompt);
    call->next = offset;
    call->end = offset + count;
    add_event(rig, RIG_EVENT_TOKEN, call->vm, rig->options.token_interval_us)
        ->call = call;
}

static uint32_t
get_count(const RigCall *call, const char *field)
{
    return (uint32_t)json_integer_value(json_object_get(call->body, field));
}

static void
begin_decode(Rig *rig, RigCall *call, RigEngine *engine)
{
    RigEngine *source = find_result(rig, call->request);

    if (source != NULL && engine->fault == RIG_FAULT_FORGET &&
        g_hash_table_add(engine->faulted, g_strdup(call->request))) {
        engine->fault = RIG_FAULT_NONE;
        source = NULL;
    }
    if (source == NULL) {
        g_hash_table_remove(engine->requests, call->request);
        refuse(rig, call, "kv_missing");
        return;
    }
    g_hash_table_remove(source->results, call->request);
    g_hash_table_remove(source->requests, call->request);
    begin_stream(rig, call, get_count(call, "resume_offset"),
                 get_count(call, "max_tokens"),
                 json_string_value(json_object_get(call->body, "prompt")));
}

/* Goes on with a request that is still held, from an earlier call. */
static void
resume_stream(Rig *rig, RigCall *call, const RigEngine *engine)
{
    for (guint i = 0; i < rig->calls->len; i++) {
        const RigCall *earlier = rig->calls->pdata[i];
        if (earlier != call && earlier->end > 0 &&
            g_strcmp0(earlier->request, call->request) == 0 &&
            strcmp(earlier->address, call->address) == 0 &&
            g_hash_table_contains(engine->requests, call->request)) {
            call->seed = earlier->seed;
            call->next = get_count(call, "resume_offset");
            call->end = earlier->end;
            call->cut = true;
            add_event(rig, RIG_EVENT_TOKEN, call->vm,
                      rig->options.token_interval_us)
                ->call = call;
            return;
        }
    }
    refuse(rig, call, "no_such_request");
}

static void
note_work(Rig *rig, const RigCall *call, RigEngine *engine)
{
    char *request = g_strdup(call->request);
    char *slash = strrchr(request, '/');

    if (slash != NULL) {
        *slash = '\0';
    }
    g_hash_table_add(rig->worked, request);
    engine->last_work_us = rig->now_us;
}

static void
run_engine(Rig *rig, RigCall *call, RigEngine *engine)
{
    bool resume = json_is_true(json_object_get(call->body, "resume"));

    if (engine->fault == RIG_FAULT_SILENT) {
        return;
    }
    if (engine->fault == RIG_FAULT_DOWN) {
        reply(rig, call, BOARD_CALL_FAILED, 0, "", false);
    }
    else if (strcmp(call->path, "/v1/requests") == 0) {
        list_requests(rig, call, engine);
    }
    else if (g_str_has_suffix(call->path, "/cancel")) {
        cancel_request(engine, call->path);
        reply(rig, call, BOARD_CALL_END, 200, "{}", true);
    }
    else if (resume) {
        resume_stream(rig, call, engine);
    }
    else if (engine->fault == RIG_FAULT_LEAVING) {
        refuse(rig, call, "leaving");
    }
    else if (engine->fault == RIG_FAULT_REFUSE ||
             g_hash_table_size(engine->requests) >= rig->options.slots) {
        refuse(rig, call, "full");
    }
    else {
        note_work(rig, call, engine);
        g_hash_table_add(engine->requests, g_strdup(call->request));
        if (is_text_true(call->body, "do_remote_decode")) {
            begin_prefill(rig, call, engine);
        }
        else {
            begin_decode(rig, call, engine);
        }
    }
}

static void
end_prefill(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);
    int64_t *expiry;

    if (!g_hash_table_contains(engine->requests, call->request)) {
        return; /* Cancelled. */
    }
    expiry = g_new(int64_t, 1);
    *expiry = rig->now_us + rig->options.kv_life_us;
    g_hash_table_replace(engine->results, g_strdup(call->request), expiry);
    if (engine->fault != RIG_FAULT_SILENT) {
        reply(rig, call, BOARD_CALL_END, 200,
              "{\"kv_transfer_params\":{\"remote_engine_id\":0}}", true);
    }
}

static void
expire_results(Rig *rig)
{
    for (guint i = 0; i < rig->engines->len; i++) {
        RigEngine *engine = rig->engines->pdata[i];
        GHashTableIter iter;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init(&iter, engine->results);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            if (*(int64_t *)value < rig->now_us) {
                g_hash_table_remove(engine->requests, key);
                g_hash_table_iter_remove(&iter);
            }
        }
    }
}

/* Generates one token. A stream whose call was closed stops, and its request
   stays in memory until it is cancelled or resumed. */
static void
generate_token(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);
    GString *text = g_string_new(NULL);
    bool last = call->next + 1 >= call->end;
    char *data;

    if (call->closed || engine->fault == RIG_FAULT_SILENT ||
        !g_hash_table_contains(engine->requests, call->request)) {
        g_string_free(text, TRUE);
        return;
    }
    if (engine->fault == RIG_FAULT_DOWN ||
        (engine->fault == RIG_FAULT_CUT && !call->cut && call->next >= 2)) {
        reply(rig, call, BOARD_CALL_FAILED, 200, "", true);
        g_string_free(text, TRUE);
        return;
    }
    append_token(text, call->seed, call->next);
    data = g_strdup_printf(
        "{\"offset\":%u,\"tokens\":1,\"choices\":[{\"text\":\"%s\","
        "\"finish_reason\":%s}]}",
        call->next, text->str, last ? "\"length\"" : "null");
    if (engine->fault != RIG_FAULT_SKIP || call->next != 2) {
        reply(rig, call, BOARD_CALL_DATA, 200, data, true);
    }
    if (engine->fault == RIG_FAULT_REPEAT) {
        reply(rig, call, BOARD_CALL_DATA, 200, data, true);
    }
    g_free(data);
    g_string_free(text, TRUE);
    call->next++;
    if (last) {
        g_hash_table_remove(engine->requests, call->request);
        reply(rig, call, BOARD_CALL_DATA, 200, "[DONE]", true);
        reply(rig, call, BOARD_CALL_END, 200, "", true);
        return;
    }
    add_event(rig, RIG_EVENT_TOKEN, call->vm, rig->options.token_interval_us)
        ->call = call;
}

static void
arrive(Rig *rig, RigCall *call)
{
    RigEngine *engine = find_engine(rig, call->address);

    /* A call that its sender gave up on the way arrives all the same. */
    expire_results(rig);
    if (engine != NULL) {
        run_engine(rig, call, engine);
    }
    else {
        run_booking(rig, call);
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

/* Delivers an event to a running VM's board. */
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

static void
handle_event(Rig *rig, RigEvent *event)
{
    RigVm *vm = &rig->vms[event->vm];

    if (event->type == RIG_EVENT_ARRIVE) {
        arrive(rig, event->call);
    }
    else if (event->type == RIG_EVENT_PREFILLED) {
        end_prefill(rig, event->call);
    }
    else if (event->type == RIG_EVENT_TOKEN) {
        generate_token(rig, event->call);
    }
    else if (vm->board != NULL && (event->type == RIG_EVENT_CONFIG ||
                                   event->incarnation == vm->incarnation)) {
        if (vm->paused) {
            g_queue_push_tail(vm->held, event);
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
