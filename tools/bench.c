/* bench: measures processor time, memory and bytes sent of the controllers in
   one process, without a network. docs/CAPACITY.md uses the results.

   bench decision|tick|membership|config|wire */
#include "board.h"
#include "control.h"
#include "membership.h"
#include "operation.h"
#include "placement.h"
#include "request.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BENCH_RUNS 5         /* Runs per measurement; the median is printed. */
#define BENCH_DECISIONS 2000 /* Placement decisions per run. */
#define BENCH_CELL_ENGINES 100 /* Engines per cell. */
#define BENCH_PART_ITEMS 400   /* Items per part of the configuration. */
#define BENCH_TCP_IP_BYTES 52  /* Headers of one TCP segment. */
#define BENCH_FRAME_BYTES 4    /* Length prefix of a frame. */
#define BENCH_MEMBERSHIP_S 60  /* Simulated time of an idle membership run. */
/* Simulated time of a tick run; ends before silent VMs are suspected. */
#define BENCH_TICK_S 4
#define BENCH_TICKS_PER_S (CLK_US_PER_S / BOARD_TICK_US)

/* Boards that exchange frames through a queue. */
typedef struct Net {
    Board **boards; /* NULL if frames are only counted */
    int count;
    GQueue *queue; /* NetFrame * */
    uint64_t frames;
    uint64_t bytes;
} Net;

typedef struct NetFrame {
    int from;
    int to;
    Wire__Frame *frame;
} NetFrame;

typedef struct NetNode {
    Net *net;
    int index;
} NetNode;

static void
ignore_call(void *context, const BoardCall *call)
{
    (void)context;
    (void)call;
}

static void
ignore_end(void *context, uint64_t call)
{
    (void)context;
    (void)call;
}

static void
ignore_answer(void *context, uint64_t caller, const BoardAnswer *answer)
{
    (void)context;
    (void)caller;
    (void)answer;
}

static void
queue_frame(void *context, const char *vm, const Wire__Frame *frame)
{
    NetNode *node = context;
    Net *net = node->net;
    NetFrame *item;
    size_t size = wire__frame__get_packed_size(frame);
    guint8 *data;

    net->frames++;
    net->bytes += size + BENCH_FRAME_BYTES;
    if (net->boards == NULL) {
        return;
    }
    data = g_malloc(size + 1);
    wire__frame__pack(frame, data);
    item = g_new0(NetFrame, 1);
    item->from = node->index;
    item->to = atoi(vm + strlen("vm-"));
    item->frame = wire__frame__unpack(NULL, size, data);
    g_free(data);
    g_queue_push_tail(net->queue, item);
}

static Board *
new_board(NetNode *node, uint32_t vm_count)
{
    BoardOptions options = Board_DefaultOptions();
    char vm[32];

    g_snprintf(vm, sizeof(vm), "vm-%d", node->index);
    options.vm = vm;
    options.region = "region-0";
    options.zone = "zone-0";
    options.vm_count_max = vm_count;
    options.seed = (guint32)node->index + 1;
    options.io.context = node;
    options.io.send_frame = queue_frame;
    options.io.begin_call = ignore_call;
    options.io.end_call = ignore_end;
    options.io.answer = ignore_answer;
    return Board_New(&options);
}

static void
append_models(GString *text)
{
    g_string_append(text, "\"models\":[");
    for (int i = 0; i < 4; i++) {
        g_string_append_printf(text,
                               "%s{\"name\":\"model-%d\","
                               "\"kv_bytes_per_token\":100000}",
                               i > 0 ? "," : "", i);
    }
    g_string_append(text, "],");
}

static void
append_upstream(GString *text, int i)
{
    int cell = i / BENCH_CELL_ENGINES;

    g_string_append_printf(
        text,
        "{\"id\":\"engine-%d\",\"address\":\"10.0.%d.%d:8000\","
        "\"serves\":\"model-%d\",\"zone\":\"zone-0\","
        "\"region\":\"region-%d\",\"role\":\"%s\",\"slots\":20,"
        "\"memory_blocks\":60,\"block_tokens\":2000,"
        "\"prefill_tokens_per_s\":20000,\"token_interval_us\":20000,"
        "\"link_bytes_per_s\":1e10}",
        i, i / 250, i % 250, cell % 4, cell / 4,
        i % 3 == 0 ? "prefill" : "decode");
}

static void
append_customer(GString *text, int i)
{
    char key[32];
    char *digest;

    g_snprintf(key, sizeof(key), "key-%d", i);
    digest = Con_GetDigest(key, strlen(key));
    g_string_append_printf(
        text,
        "{\"id\":\"customer-%d\",\"key_sha256\":[\"%s\"],"
        "\"priority\":1,\"requests_per_s\":1e5,\"tokens_per_s\":1e9,"
        "\"concurrency\":100000,\"cross_region_tokens_per_s\":1000,"
        "\"regions\":[\"region-0\",\"region-1\"],"
        "\"models\":[\"model-0\"],\"first_token_ms\":1300,"
        "\"per_token_ms\":36,\"wasted_prefill_weight\":1,"
        "\"routes\":[{\"service\":\"booking\",\"path\":\"/holds\","
        "\"idempotent\":false}]}",
        i, digest);
    g_free(digest);
}

/* Splits a section of the configuration into parts of at most
   BENCH_PART_ITEMS items. */
static void
add_parts(GPtrArray *parts, const char *section, int count,
          void (*append)(GString *text, int i))
{
    for (int begin = 0; begin < count; begin += BENCH_PART_ITEMS) {
        GString *text = g_string_new("{");
        char name[32];
        g_snprintf(name, sizeof(name), "%s-%d", section, begin);
        if (begin == 0 && append == append_upstream) {
            append_models(text);
        }
        g_string_append_printf(text, "\"%s\":[", section);
        for (int i = begin; i < MIN(begin + BENCH_PART_ITEMS, count); i++) {
            g_string_append(text, i > begin ? "," : "");
            append(text, i);
        }
        g_string_append(text, "]}");
        g_ptr_array_add(parts, Con_NewPart(name, text->str, text->len));
        g_string_free(text, TRUE);
    }
}

/* Returns the parts of a configuration of the given size. */
static GPtrArray *
format_parts(int upstreams, int customers)
{
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);

    add_parts(parts, "upstreams", upstreams, append_upstream);
    add_parts(parts, "customers", customers, append_customer);
    return parts;
}

static ConConfig *
load_config(const GPtrArray *parts)
{
    GString *manifest = g_string_new("{\"version\":1,\"parts\":[");
    ConConfig *config;
    LsError err = {0};

    for (guint i = 0; i < parts->len; i++) {
        const ConPart *part = parts->pdata[i];
        char *digest = Con_GetDigest(part->value, part->size);
        g_string_append_printf(manifest,
                               "%s{\"name\":\"%s\",\"sha256\":\"%s\"}",
                               i > 0 ? "," : "", part->name, digest);
        g_free(digest);
    }
    g_string_append(manifest, "]}");
    config = Con_LoadConfig(manifest->str, manifest->len, parts, &err);
    if (config == NULL) {
        fprintf(stderr, "config: %s\n", err.message);
        exit(1);
    }
    g_string_free(manifest, TRUE);
    return config;
}

static size_t
count_bytes(const GPtrArray *parts)
{
    size_t bytes = 0;

    for (guint i = 0; i < parts->len; i++) {
        bytes += ((const ConPart *)parts->pdata[i])->size;
    }
    return bytes;
}

static int
compare_doubles(const void *a, const void *b)
{
    double left = *(const double *)a;
    double right = *(const double *)b;
    return left < right ? -1 : left > right;
}

static double
get_median(double *values, size_t count)
{
    qsort(values, count, sizeof(*values), compare_doubles);
    return values[count / 2];
}

/* Handles one reservation: the request, its grant, the end of its prefill and
   its release. */
static void
handle_reservation(Board *board, int number)
{
    Wire__Reserve reserve = WIRE__RESERVE__INIT;
    Wire__PrefillEnd end = WIRE__PREFILL_END__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    char request[64];

    g_snprintf(request, sizeof(request), "vm-1.661c4271e05da.%d", number);
    reserve.request = request;
    reserve.customer = "customer-1";
    reserve.cell = "model-0@region-0";
    reserve.context_tokens = 2000;
    reserve.output_tokens = 200;
    reserve.first_token_budget_us = 1300000;
    Plc_OnReserve(board, "vm-1", &reserve);
    end.request = request;
    Plc_OnPrefillEnd(board, &end);
    release.request = request;
    release.cell = reserve.cell;
    Plc_OnRelease(board, &release);
}

static void
measure_decision(void)
{
    const int sizes[] = {10, 100, 400, 1600};

    printf("upstreams customers us_per_decision(median of %d)\n", BENCH_RUNS);
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        GPtrArray *parts = format_parts(sizes[s], 2500);
        double runs[BENCH_RUNS];
        for (int run = 0; run < BENCH_RUNS; run++) {
            Net net = {0};
            NetNode node = {&net, 0};
            Board *board = new_board(&node, 9);
            LsError err;
            int64_t begin_us;
            Board_SetConfig(board, load_config(parts), &err);
            begin_us = g_get_monotonic_time();
            for (int i = 0; i < BENCH_DECISIONS; i++) {
                handle_reservation(board, i);
            }
            runs[run] =
                (double)(g_get_monotonic_time() - begin_us) / BENCH_DECISIONS;
            Board_Free(board);
        }
        printf("%9d %9d %.2f\n", sizes[s], 2500, get_median(runs, BENCH_RUNS));
        g_ptr_array_unref(parts);
    }
}

/* Sets a board's VM list to `count` VMs in four regions. */
static void
set_vm_list(Board *board, int count)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(MemListRow));

    for (int i = 0; i < count; i++) {
        MemListRow row = {0};
        g_snprintf(row.vm, sizeof(row.vm), "vm-%d", i);
        g_snprintf(row.region, sizeof(row.region), "region-%d", i % 4);
        g_array_append_val(rows, row);
    }
    Mem_SetVmList(board, rows);
    g_array_unref(rows);
}

/* Measures the processor time that the controllers' ticks of one VM take per
   second. */
static void
measure_tick(void)
{
    const int sizes[][2] = {{9, 12}, {140, 400}, {280, 800}, {560, 1600}};

    printf("  vms upstreams us_per_second(median of %d)\n", BENCH_RUNS);
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        GPtrArray *parts = format_parts(sizes[s][1], 2500);
        double runs[BENCH_RUNS];
        for (int run = 0; run < BENCH_RUNS; run++) {
            Net net = {0};
            NetNode node = {&net, 0};
            Board *board = new_board(&node, (uint32_t)sizes[s][0]);
            int64_t now_us = 1000 * CLK_US_PER_S;
            int64_t begin_us;
            LsError err;
            Board_SetConfig(board, load_config(parts), &err);
            set_vm_list(board, sizes[s][0]);
            begin_us = g_get_monotonic_time();
            for (int i = 0; i < BENCH_TICK_S * BENCH_TICKS_PER_S; i++) {
                now_us += BOARD_TICK_US;
                Clk_Pause(&board->clk, now_us);
                Ctl_OnTick(board);
                Ctl_RunLocal(board);
            }
            runs[run] =
                (double)(g_get_monotonic_time() - begin_us) / BENCH_TICK_S;
            Board_Free(board);
        }
        printf("%5d %9d %.0f\n", sizes[s][0], sizes[s][1],
               get_median(runs, BENCH_RUNS));
        g_ptr_array_unref(parts);
    }
}

static void
deliver_all(Net *net)
{
    NetFrame *item;

    while ((item = g_queue_pop_head(net->queue)) != NULL) {
        char from[32];
        g_snprintf(from, sizeof(from), "vm-%d", item->from);
        Ctl_OnFrame(net->boards[item->to], from, item->frame);
        wire__frame__free_unpacked(item->frame, NULL);
        g_free(item);
    }
}

static void
set_vm_lists(Net *net)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(MemListRow));

    for (int i = 0; i < net->count; i++) {
        MemListRow row = {0};
        g_snprintf(row.vm, sizeof(row.vm), "vm-%d", i);
        g_snprintf(row.address, sizeof(row.address), "10.0.0.1:%d", i);
        g_strlcpy(row.region, "region-0", sizeof(row.region));
        g_array_append_val(rows, row);
    }
    for (int i = 0; i < net->count; i++) {
        Mem_SetVmList(net->boards[i], rows);
    }
    g_array_unref(rows);
}

static void
run_membership(Net *net, int64_t *now_us, int seconds)
{
    for (int step = 0; step < seconds * 10; step++) {
        *now_us += CLK_US_PER_S / 10;
        for (int i = 0; i < net->count; i++) {
            Clk_Pause(&net->boards[i]->clk, *now_us);
            Mem_OnTick(net->boards[i]);
        }
        deliver_all(net);
    }
}

/* Measures the membership traffic and processor time per VM and second while
   nothing changes, and the bytes per VM that one restart adds. */
static void
measure_membership_of(int count)
{
    Net net = {0};
    NetNode *nodes = g_new0(NetNode, count);
    int64_t now_us = 1000 * CLK_US_PER_S;
    double cpu_us;
    int64_t begin_us;
    uint64_t idle_bytes;
    uint64_t frames;

    net.boards = g_new0(Board *, count);
    net.count = count;
    net.queue = g_queue_new();
    for (int i = 0; i < count; i++) {
        nodes[i].net = &net;
        nodes[i].index = i;
        net.boards[i] = new_board(&nodes[i], (uint32_t)count);
    }
    set_vm_lists(&net);
    run_membership(&net, &now_us, 10);
    net.bytes = 0;
    net.frames = 0;
    begin_us = g_get_monotonic_time();
    run_membership(&net, &now_us, BENCH_MEMBERSHIP_S);
    cpu_us = (double)(g_get_monotonic_time() - begin_us);
    idle_bytes = net.bytes;
    frames = net.frames;
    net.bytes = 0;
    net.frames = 0;
    Mem_OnLinkDown(net.boards[0], "vm-1");
    Mem_OnHello(net.boards[0], "vm-1", 2); /* A restart. */
    deliver_all(&net);
    printf("%5d %8.1f %8.1f %8.2f %8.1f %10.1f\n", count,
           (double)idle_bytes / count / BENCH_MEMBERSHIP_S,
           (double)(idle_bytes + frames * BENCH_TCP_IP_BYTES) / count /
               BENCH_MEMBERSHIP_S,
           (double)frames / count / BENCH_MEMBERSHIP_S,
           cpu_us / count / BENCH_MEMBERSHIP_S,
           (double)(net.bytes + net.frames * BENCH_TCP_IP_BYTES) / count);
    for (int i = 0; i < count; i++) {
        Board_Free(net.boards[i]);
    }
    g_queue_free(net.queue);
    g_free(net.boards);
    g_free(nodes);
}

static void
measure_membership(void)
{
    const int sizes[] = {9, 70, 280, 560};

    printf("  vms bytes/s  with-tcp frames/s   cpu-us  bytes-per-change\n");
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        measure_membership_of(sizes[s]);
    }
}

static void
measure_config(void)
{
    const int sizes[][2] = {{160, 250}, {400, 625}, {800, 1250}, {1600, 2500}};

    printf("upstreams customers bytes load_us(median of %d) heap_bytes\n",
           BENCH_RUNS);
    for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
        GPtrArray *parts = format_parts(sizes[s][0], sizes[s][1]);
        double runs[BENCH_RUNS];
        size_t before = mallinfo2().uordblks;
        ConConfig *config = load_config(parts);
        size_t heap = mallinfo2().uordblks - before;
        for (int run = 0; run < BENCH_RUNS; run++) {
            int64_t begin_us = g_get_monotonic_time();
            Con_UnloadConfig(load_config(parts));
            runs[run] = (double)(g_get_monotonic_time() - begin_us);
        }
        printf("%9d %9d %7zu %8.0f %zu\n", sizes[s][0], sizes[s][1],
               count_bytes(parts), get_median(runs, BENCH_RUNS), heap);
        Con_UnloadConfig(config);
        g_ptr_array_unref(parts);
    }
}

/* Prints the sizes of the frames that one completion needs. */
static void
measure_wire(void)
{
    Net net = {0};
    NetNode node = {&net, 0};
    Board *board = new_board(&node, 9);
    GPtrArray *parts = format_parts(100, 1);
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Reserve reserve = WIRE__RESERVE__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    uint64_t prefixes[CELL_PREFIX_COUNT] = {0};
    LsError err;

    Board_SetConfig(board, load_config(parts), &err);
    handle_reservation(board, 1);
    printf("grant %lu bytes\n", (unsigned long)net.bytes);
    reserve.request = "vm-100.661c4271e05da.123456";
    reserve.customer = "customer-1234";
    reserve.cell = "model-0@region-0";
    reserve.context_tokens = 20000;
    reserve.output_tokens = 240;
    reserve.first_token_budget_us = 1300000;
    reserve.n_prefix = CELL_PREFIX_COUNT;
    reserve.prefix = prefixes;
    frame.body_case = WIRE__FRAME__BODY_RESERVE;
    frame.reserve = &reserve;
    printf("reserve %zu bytes\n",
           wire__frame__get_packed_size(&frame) + BENCH_FRAME_BYTES);
    release.cell = reserve.cell;
    release.request = reserve.request;
    frame.body_case = WIRE__FRAME__BODY_RELEASE;
    frame.release = &release;
    printf("release (and prefill end) %zu bytes\n",
           wire__frame__get_packed_size(&frame) + BENCH_FRAME_BYTES);
    Board_Free(board);
    g_ptr_array_unref(parts);
}

int
main(int argc, char **argv)
{
    const char *mode = argc > 1 ? argv[1] : "";

    if (strcmp(mode, "decision") == 0) {
        measure_decision();
    }
    else if (strcmp(mode, "tick") == 0) {
        measure_tick();
    }
    else if (strcmp(mode, "membership") == 0) {
        measure_membership();
    }
    else if (strcmp(mode, "config") == 0) {
        measure_config();
    }
    else if (strcmp(mode, "wire") == 0) {
        measure_wire();
    }
    else {
        fprintf(stderr, "usage: bench decision|tick|membership|config|wire\n");
        return 64;
    }
    return 0;
}
