/* Board: the shared state of one process's controllers. */
#include "board.h"

#include "membership.h"
#include "operation.h"
#include "order.h"
#include "placement.h"
#include "quota.h"
#include "request.h"
#include "ring.h"
#include "service.h"
#include "slo.h"

#include <string.h>

#define BOARD_VM_COUNT_MAX_DEFAULT 9
#define BOARD_SEED_DEFAULT 1

typedef struct BoardCallOwner {
    BoardCallHandler handler;
    void *owner;
} BoardCallOwner;

BoardOptions
Board_DefaultOptions(void)
{
    BoardOptions options = {0};

    options.vm = "vm";
    options.incarnation = 1;
    options.zone = "zone";
    options.region = "region";
    options.vm_count_max = BOARD_VM_COUNT_MAX_DEFAULT;
    options.seed = BOARD_SEED_DEFAULT;
    return options;
}

Board *
Board_New(const BoardOptions *options)
{
    Board *board = g_new0(Board, 1);

    board->clk = Clk_Default();
    board->io = options->io;
    board->incarnation = options->incarnation;
    board->vm_count_max = options->vm_count_max;
    g_strlcpy(board->vm, options->vm, sizeof(board->vm));
    g_strlcpy(board->zone, options->zone, sizeof(board->zone));
    g_strlcpy(board->region, options->region, sizeof(board->region));
    board->rand = g_rand_new_with_seed(options->seed);
    board->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    board->local = g_queue_new();
    board->mem = Mem_New(options->vm, options->incarnation);
    board->plc = Plc_New();
    board->req = Req_New();
    board->op = Op_New();
    board->svc = Svc_New();
    board->quo = Quo_New();
    board->ring = Ring_New();
    board->slo = Slo_New();
    board->ord = Ord_New();
    return board;
}

void
Board_Free(Board *board)
{
    Req_Free(board->req);
    Plc_Free(board->plc);
    Op_Free(board->op);
    Svc_Free(board->svc);
    Quo_Free(board->quo);
    Mem_Free(board->mem);
    Ring_Free(board->ring);
    Slo_Free(board->slo);
    Ord_Free(board->ord);
    Con_UnloadConfig(board->config);
    g_hash_table_unref(board->calls);
    g_queue_free_full(board->local, (GDestroyNotify)g_bytes_unref);
    g_rand_free(board->rand);
    g_free(board);
}

uint64_t
Board_NewId(Board *board)
{
    return ++board->next_id;
}

int64_t
Board_Now(const Board *board)
{
    return Clk_Now(&board->clk);
}

LsResult
Board_SetConfig(Board *board, ConConfig *config, LsError *err)
{
    uint64_t current = board->config != NULL ? board->config->version : 0;

    if (config->version <= current) {
        return Err_Set(err, LS_ERR_CONFIG_OLD, LS_RUN_NOT_RUN,
                       "version %lu is not higher than version %lu in force",
                       (unsigned long)config->version, (unsigned long)current);
    }
    Con_UnloadConfig(board->config);
    board->config = config;
    Plc_OnConfig(board);
    Met_Add(MET_CONFIG_ACCEPTED, 1);
    return LS_OK;
}

void
Board_SendFrame(Board *board, const char *vm, const Wire__Frame *frame)
{
    size_t size;
    guint8 *data;

    if (strcmp(vm, board->vm) != 0) {
        board->io.send_frame(board->io.context, vm, frame);
        return;
    }
    size = wire__frame__get_packed_size(frame);
    data = g_malloc(size > 0 ? size : 1);
    wire__frame__pack(frame, data);
    g_queue_push_tail(board->local, g_bytes_new_take(data, size));
}

Wire__Frame *
Board_TakeLocal(Board *board)
{
    GBytes *bytes = g_queue_pop_head(board->local);
    Wire__Frame *frame;
    gsize size;
    const guint8 *data;

    if (bytes == NULL) {
        return NULL;
    }
    data = g_bytes_get_data(bytes, &size);
    frame = wire__frame__unpack(NULL, size, data);
    g_bytes_unref(bytes);
    return frame;
}

uint64_t
Board_BeginCall(Board *board, BoardCall *call, BoardCallHandler handler,
                void *owner)
{
    BoardCallOwner *call_owner = g_new0(BoardCallOwner, 1);
    gint64 *key = g_new(gint64, 1);

    call->id = Board_NewId(board);
    call_owner->handler = handler;
    call_owner->owner = owner;
    *key = (gint64)call->id;
    g_hash_table_insert(board->calls, key, call_owner);
    board->io.begin_call(board->io.context, call);
    return call->id;
}

void
Board_EndCall(Board *board, uint64_t call)
{
    gint64 key = (gint64)call;

    if (g_hash_table_remove(board->calls, &key)) {
        board->io.end_call(board->io.context, call);
    }
}

void
Board_HandleCallEvent(Board *board, const BoardCallEvent *event)
{
    gint64 key = (gint64)event->call;
    const BoardCallOwner *call_owner = g_hash_table_lookup(board->calls, &key);
    BoardCallOwner owner;

    if (call_owner == NULL) {
        Met_Add(MET_CHUNKS_DROPPED, 1);
        return;
    }
    owner = *call_owner;
    if (event->type != BOARD_CALL_DATA) {
        g_hash_table_remove(board->calls, &key);
    }
    owner.handler(board, owner.owner, event);
}

void
Board_Answer(Board *board, uint64_t caller, const BoardAnswer *answer)
{
    board->io.answer(board->io.context, caller, answer);
}

void
Board_AnswerError(Board *board, uint64_t caller, const char *request,
                  const LsError *err)
{
    BoardAnswer answer = {0};

    answer.request = request;
    answer.type = BOARD_ANSWER_ERROR;
    answer.err = err;
    Met_Add(err->run == LS_RUN_NOT_RUN ? MET_ANSWERS_REFUSED
                                       : MET_ANSWERS_FAILED,
            1);
    Board_Answer(board, caller, &answer);
}
