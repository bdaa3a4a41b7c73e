/* A non-idempotent operation under a paused clock: its answer is lost, the
   caller sends the same key again, and the operation is still executed only
   once. */
#include "lavenderspool.h"

#include <stdio.h>
#include <string.h>

#define KEY "example-key"

/* Records the HTTP calls that the board makes. */
typedef struct CallRecorder {
    int sends;
    uint64_t last_call;
} CallRecorder;

static void
send_frame(void *context, const char *vm, const Wire__Frame *frame)
{
    (void)context;
    (void)vm;
    (void)frame;
}

static void
begin_call(void *context, const BoardCall *call)
{
    CallRecorder *recorder = context;
    recorder->sends++;
    recorder->last_call = call->id;
}

static void
end_call(void *context, uint64_t call)
{
    (void)context;
    (void)call;
}

static void
answer_caller(void *context, uint64_t caller, const BoardAnswer *answer)
{
    (void)context;
    printf("caller %d: %s\n", (int)caller,
           answer->err != NULL ? Err_GetRunName(answer->err->run)
                               : "answered");
}

/* Loads a configuration with one customer and one service. */
static ConConfig *
load_config(void)
{
    char *digest = Con_GetDigest(KEY, strlen(KEY));
    char *text = g_strdup_printf(
        "{\"upstreams\":[{\"id\":\"b1\",\"address\":\"10.0.0.1:1\","
        "\"serves\":\"booking\",\"zone\":\"zone\",\"region\":\"region\","
        "\"role\":\"service\"}],\"customers\":[{\"id\":\"c1\","
        "\"key_sha256\":[\"%s\"],\"priority\":1,\"requests_per_s\":1000,"
        "\"tokens_per_s\":1000,\"concurrency\":100,"
        "\"cross_region_tokens_per_s\":0,\"regions\":[\"region\"],"
        "\"models\":[],\"first_token_ms\":1300,\"per_token_ms\":36,"
        "\"wasted_prefill_weight\":1}]}",
        digest);
    char *part_digest = Con_GetDigest(text, strlen(text));
    char *manifest = g_strdup_printf(
        "{\"version\":1,\"parts\":[{\"name\":\"p\",\"sha256\":\"%s\"}]}",
        part_digest);
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    LsError err;
    ConConfig *config;

    g_ptr_array_add(parts, Con_NewPart("p", text, strlen(text)));
    config = Con_LoadConfig(manifest, strlen(manifest), parts, &err);
    g_ptr_array_unref(parts);
    g_free(manifest);
    g_free(part_digest);
    g_free(text);
    g_free(digest);
    return config;
}

int
main(void)
{
    CallRecorder recorder = {0};
    BoardOptions options = Board_DefaultOptions();
    BoardCallEvent lost_answer = {0};
    OpParams params = {0};
    char key[OP_KEY_MAX];
    Board *board;
    LsError err;

    options.io.context = &recorder;
    options.io.send_frame = send_frame;
    options.io.begin_call = begin_call;
    options.io.end_call = end_call;
    options.io.answer = answer_caller;
    board = Board_New(&options);
    Clk_Pause(&board->clk, CLK_US_PER_S);
    Board_SetConfig(board, load_config(), &err);

    params.customer = Con_FindCustomer(board->config, KEY);
    Op_IssueKey(board, params.customer, key, sizeof(key), &err);
    params.key = key;
    params.service = "booking";
    params.path = "/holds";
    params.body = "{}";
    params.body_size = 2;
    params.caller = 1;
    Op_Begin(board, &params);

    lost_answer.call = recorder.last_call;
    lost_answer.type = BOARD_CALL_FAILED;
    lost_answer.data = "";
    lost_answer.sent = true;
    Board_HandleCallEvent(board, &lost_answer);

    params.caller = 2;
    Op_Begin(board, &params);
    printf("calls sent: %d\n", recorder.sends);
    Board_Free(board);
    return recorder.sends == 1 ? 0 : 1;
}
