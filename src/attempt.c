/* Attempts: engine calls, their time-outs and their failures. */
#include "attempt.h"

#include "engine.h"
#include "placement.h"
#include "reap.h"
#include "request.h"

#include <string.h>

/* Time for the home's answer beyond the first-token target. The home itself
   refuses a job that it can't place by the target; it lets only a prompt that
   is too long for its target wait longer. */
#define ATT_GRANT_SLACK_US (2 * CLK_US_PER_S)
/* A prefill times out after its slack plus this multiple of its expected time,
   and so does a KV transfer with the first decode step. */
#define ATT_TIMEOUT_FACTOR 4
#define ATT_PREFILL_SLACK_US CLK_US_PER_S
#define ATT_FIRST_CHUNK_SLACK_US CLK_US_PER_S
/* A stream times out after this many token intervals without a chunk, or
   after the minimum if that is longer. */
#define ATT_TOKEN_GAP_INTERVALS 20
#define ATT_TOKEN_GAP_MIN_US (2 * CLK_US_PER_S)
/* Values assumed for an upstream that is no longer in the configuration. */
#define ATT_PREFILL_TOKENS_PER_S_DEFAULT 1000
#define ATT_TRANSFER_DEFAULT_US CLK_US_PER_S

static int64_t get_prefill_us(const Board *board, const AttCompletion *item);
static int64_t get_transfer_us(const Board *board, const AttCompletion *item);
static EngWork get_work(const AttCompletion *item);
static void begin_engine_call(Board *board, AttCompletion *item,
                              const char *upstream, char *body, bool stream,
                              BoardCallHandler handler);
static bool check_upstream(Board *board, AttCompletion *item,
                           const char *upstream);
static void begin_decode(Board *board, AttCompletion *item,
                         const json_t *params);
static void send_prefill_end(Board *board, const AttCompletion *item);
static void handle_engine_failure(Board *board, AttCompletion *item,
                                  const char *upstream,
                                  const BoardCallEvent *event);
static void handle_prefill(Board *board, void *owner,
                           const BoardCallEvent *event);
static bool deliver_chunk(Board *board, AttCompletion *item,
                          const EngChunk *chunk);
static void handle_decode(Board *board, void *owner,
                          const BoardCallEvent *event);

bool
Att_HasGrant(const AttCompletion *item)
{
    return item->stage == ATT_PREFILL || item->stage == ATT_DECODE;
}

void
Att_SetStage(Board *board, AttCompletion *item, AttStage stage)
{
    item->stage = stage;
    item->last_progress_us = Board_Now(board);
    item->home_check_us = item->last_progress_us + REQ_HOME_CHECK_US;
}

int64_t
Att_GetTimeout(const Board *board, const AttCompletion *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->decode);
    int64_t interval = spec != NULL ? spec->token_interval_us : 0;

    switch (item->stage) {
    case ATT_WAIT_GRANT:
        return item->first_token_target_us + ATT_GRANT_SLACK_US;
    case ATT_PREFILL:
        return ATT_PREFILL_SLACK_US +
               ATT_TIMEOUT_FACTOR * get_prefill_us(board, item);
    case ATT_DECODE:
        if (!item->kv_used) {
            return ATT_FIRST_CHUNK_SLACK_US +
                   ATT_TIMEOUT_FACTOR *
                       (get_transfer_us(board, item) + interval);
        }
        return MAX(ATT_TOKEN_GAP_MIN_US, ATT_TOKEN_GAP_INTERVALS * interval);
    case ATT_BACKOFF:
        break;
    }
    return REQ_DEADLINE_US;
}

void
Att_BeginPrefill(Board *board, AttCompletion *item)
{
    EngWork work = get_work(item);

    Att_SetStage(board, item, ATT_PREFILL);
    if (!check_upstream(board, item, item->prefill)) {
        return;
    }
    Met_Add(MET_PREFILLS, 1);
    Met_Add(MET_PREFILL_TOKENS, item->prompt_tokens + item->tokens);
    begin_engine_call(board, item, item->prefill, Eng_FormatPrefill(&work),
                      false, handle_prefill);
}

void
Att_BeginResume(Board *board, AttCompletion *item)
{
    EngWork work = get_work(item);

    item->resumed = true;
    Board_EndCall(board, item->call);
    Att_SetStage(board, item, ATT_DECODE);
    if (!check_upstream(board, item, item->decode)) {
        return;
    }
    Met_Add(MET_UPSTREAM_RETRIES, 1);
    begin_engine_call(board, item, item->decode, Eng_FormatResume(&work), true,
                      handle_decode);
}

void
Att_Cancel(Board *board, AttCompletion *item)
{
    const char *const upstreams[] = {item->prefill, item->decode};
    char engine_request[BOARD_REQUEST_ID_MAX];

    if (item->call != 0) {
        /* A call that did not end may have reached the engine. */
        item->sent = true;
        Board_EndCall(board, item->call);
        item->call = 0;
    }
    if (!Att_HasGrant(item)) {
        return;
    }
    if (!item->kv_used) {
        Met_Add(MET_PREFILL_TOKENS_WASTED, item->prompt_tokens + item->tokens);
    }
    Eng_FormatRequest(engine_request, sizeof(engine_request), item->id,
                      item->attempt);
    for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        const ConUpstream *spec =
            Con_FindUpstream(board->config, upstreams[i]);
        bool reached = i == 0 || item->stage == ATT_DECODE;
        if (spec != NULL && reached) {
            Reap_CancelAtEngine(board, spec, engine_request);
        }
    }
}

/* Returns the expected time of the prefill on its upstream. */
static int64_t
get_prefill_us(const Board *board, const AttCompletion *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->prefill);
    uint32_t rate = spec != NULL ? spec->prefill_tokens_per_s
                                 : ATT_PREFILL_TOKENS_PER_S_DEFAULT;

    return (int64_t)item->prompt_tokens * CLK_US_PER_S / rate;
}

/* Returns the expected time of the KV transfer over the decode upstream's
   link. */
static int64_t
get_transfer_us(const Board *board, const AttCompletion *item)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, item->decode);

    return spec != NULL ? Con_GetTransferTime(spec, item->prompt_tokens)
                        : ATT_TRANSFER_DEFAULT_US;
}

static EngWork
get_work(const AttCompletion *item)
{
    EngWork work = {0};

    work.model = item->model;
    work.prompt = item->prompt;
    work.resume_text = item->text->str;
    work.resume_offset = item->tokens;
    work.max_tokens = item->max_tokens - item->tokens;
    work.priority = item->priority;
    return work;
}

/* Posts a body to an engine under the attempt's identifier. Frees the body. */
static void
begin_engine_call(Board *board, AttCompletion *item, const char *upstream,
                  char *body, bool stream, BoardCallHandler handler)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, upstream);
    char engine_request[BOARD_REQUEST_ID_MAX];
    BoardCall call = {0};

    Eng_FormatRequest(engine_request, sizeof(engine_request), item->id,
                      item->attempt);
    call.method = "POST";
    call.address = spec->address;
    call.path = "/v1/completions";
    call.body = body;
    call.body_size = strlen(body);
    call.request = engine_request;
    call.stream = stream;
    call.fresh = item->resumed;
    item->call = Board_BeginCall(board, &call, handler, item);
    free(body);
}

/* Fails the attempt if the upstream is no longer in the configuration. */
static bool
check_upstream(Board *board, AttCompletion *item, const char *upstream)
{
    const ConUpstream *spec = Con_FindUpstream(board->config, upstream);

    if (spec != NULL) {
        return true;
    }
    Req_FailAttempt(board, item, PLC_OUTCOME_LEAVING, upstream,
                    LS_ERR_NO_UPSTREAM,
                    "the upstream is no longer in the configuration");
    return false;
}

static void
begin_decode(Board *board, AttCompletion *item, const json_t *params)
{
    EngWork work = get_work(item);

    Att_SetStage(board, item, ATT_DECODE);
    if (!check_upstream(board, item, item->decode)) {
        return;
    }
    begin_engine_call(board, item, item->decode,
                      Eng_FormatDecode(&work, params), true, handle_decode);
}

static void
send_prefill_end(Board *board, const AttCompletion *item)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__PrefillEnd end = WIRE__PREFILL_END__INIT;

    end.cell = (char *)item->cell;
    end.request = (char *)item->id;
    end.attempt = item->attempt;
    frame.body_case = WIRE__FRAME__BODY_PREFILL_END;
    frame.prefill_end = &end;
    Board_SendFrame(board, item->home, &frame);
}

/* Fails the attempt with the outcome that the engine's answer names. */
static void
handle_engine_failure(Board *board, AttCompletion *item, const char *upstream,
                      const BoardCallEvent *event)
{
    EngRefusal refusal = ENG_REFUSAL_OTHER;

    if (event->type == BOARD_CALL_END && event->status != 200) {
        refusal = Eng_ParseRefusal(event->data, event->size);
    }
    switch (refusal) {
    case ENG_REFUSAL_FULL:
        Req_FailAttempt(board, item, PLC_OUTCOME_REFUSED, upstream,
                        LS_ERR_OVERLOAD,
                        "the engine had no free slot or memory");
        return;
    case ENG_REFUSAL_LEAVING:
        Req_FailAttempt(board, item, PLC_OUTCOME_LEAVING, upstream,
                        LS_ERR_NO_UPSTREAM,
                        "the engine accepts no new requests");
        return;
    case ENG_REFUSAL_KV_MISSING:
        Req_FailAttempt(board, item, PLC_OUTCOME_DONE, "",
                        LS_ERR_UPSTREAM_FAILED,
                        "the prefill's result was no longer held");
        return;
    case ENG_REFUSAL_OTHER:
        break;
    }
    Req_FailAttempt(board, item, PLC_OUTCOME_FAILED, upstream,
                    LS_ERR_UPSTREAM_FAILED,
                    "the engine's answer was missing, incomplete or an error");
}

static void
handle_prefill(Board *board, void *owner, const BoardCallEvent *event)
{
    AttCompletion *item = owner;
    json_t *params = NULL;

    if (event->type == BOARD_CALL_DATA) {
        return;
    }
    item->call = 0;
    item->sent = item->sent || event->sent;
    if (event->type == BOARD_CALL_END && event->status == 200) {
        params = Eng_ParsePrefill(event->data, event->size);
    }
    if (params == NULL) {
        handle_engine_failure(board, item, item->prefill, event);
        return;
    }
    send_prefill_end(board, item);
    begin_decode(board, item, params);
    json_decref(params);
}

/* Delivers a chunk to the caller if it continues the answer exactly. A chunk
   that was delivered before is dropped. Returns false if tokens are missing
   before the chunk, or only a part of it was delivered before. */
static bool
deliver_chunk(Board *board, AttCompletion *item, const EngChunk *chunk)
{
    BoardAnswer answer = {0};

    if (chunk->offset + chunk->tokens <= item->tokens && chunk->tokens > 0) {
        Met_Add(MET_CHUNKS_DROPPED, 1);
        return true;
    }
    if (chunk->offset != item->tokens) {
        return false;
    }
    if (item->first_token_us == 0) {
        item->first_token_us = Board_Now(board);
    }
    answer.type = BOARD_ANSWER_CHUNK;
    answer.offset = item->tokens;
    answer.request = item->id;
    answer.text = chunk->text;
    answer.size = strlen(chunk->text);
    item->tokens += chunk->tokens;
    g_string_append(item->text, chunk->text);
    if (chunk->finish_reason != NULL) {
        g_strlcpy(item->finish_reason, chunk->finish_reason,
                  sizeof(item->finish_reason));
    }
    Board_Answer(board, item->caller, &answer);
    return true;
}

static void
handle_decode(Board *board, void *owner, const BoardCallEvent *event)
{
    AttCompletion *item = owner;
    EngChunk chunk;
    bool ok;

    item->sent = item->sent || event->sent;
    if (event->type == BOARD_CALL_DATA) {
        ok = Eng_ParseChunk(event->data, event->size, &chunk);
        item->last_progress_us = Board_Now(board);
        item->kv_used = true;
        if (ok && !chunk.done) {
            ok = deliver_chunk(board, item, &chunk);
        }
        Eng_ClearChunk(&chunk);
        if (!ok) {
            Req_FailAttempt(board, item, PLC_OUTCOME_FAILED, item->decode,
                            LS_ERR_UPSTREAM_FAILED,
                            "the stream was malformed or lacked tokens");
        }
        return;
    }
    item->call = 0;
    if (item->finish_reason[0] != '\0') {
        Req_Finish(board, item);
        return;
    }
    if (item->kv_used && !item->resumed) {
        Att_BeginResume(board, item);
        return;
    }
    handle_engine_failure(board, item, item->decode, event);
}
