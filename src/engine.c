/* Engine protocol: JSON bodies and server-sent events. */
#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool read_range(const json_t *root, uint32_t *offset, uint32_t *tokens);
static json_t *format_common(const EngWork *work);
static char *dump_and_free(json_t *body);

void
Eng_FormatRequest(char *target, size_t size, const char *request,
                  uint32_t attempt)
{
    snprintf(target, size, "%s/%u", request, attempt);
}

uint32_t
Eng_CountTokens(size_t bytes)
{
    size_t tokens = (bytes + ENG_BYTES_PER_TOKEN - 1) / ENG_BYTES_PER_TOKEN;
    return tokens > 0 ? (uint32_t)tokens : 1;
}

char *
Eng_FormatPrefill(const EngWork *work)
{
    json_t *body = format_common(work);

    json_object_set_new(body, "max_tokens", json_integer(1));
    json_object_set_new(body, "stream", json_false());
    json_object_set_new(body, "kv_transfer_params",
                        json_pack("{s:b, s:b}", "do_remote_decode", 1,
                                  "do_remote_prefill", 0));
    return dump_and_free(body);
}

char *
Eng_FormatDecode(const EngWork *work, const json_t *kv_params)
{
    json_t *body = format_common(work);
    json_t *params = json_deep_copy(kv_params);

    json_object_set_new(params, "do_remote_prefill", json_true());
    json_object_set_new(params, "do_remote_decode", json_false());
    json_object_set_new(body, "max_tokens", json_integer(work->max_tokens));
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "kv_transfer_params", params);
    return dump_and_free(body);
}

char *
Eng_FormatResume(const EngWork *work)
{
    json_t *body =
        json_pack("{s:s, s:b, s:b, s:i}", "model", work->model, "stream", 1,
                  "resume", 1, "resume_offset", (int)work->resume_offset);
    return dump_and_free(body);
}

json_t *
Eng_ParsePrefill(const char *body, size_t size)
{
    json_t *root = json_loadb(body, size, 0, NULL);
    json_t *params = json_object_get(root, "kv_transfer_params");

    params = json_is_object(params) ? json_incref(params) : NULL;
    json_decref(root);
    return params;
}

bool
Eng_ParseChunk(const char *data, size_t size, EngChunk *chunk)
{
    json_t *root;
    const json_t *choice;
    const char *text;
    const char *reason;

    memset(chunk, 0, sizeof(*chunk));
    if (size == strlen("[DONE]") && memcmp(data, "[DONE]", size) == 0) {
        chunk->done = true;
        return true;
    }
    root = json_loadb(data, size, 0, NULL);
    choice = json_array_get(json_object_get(root, "choices"), 0);
    text = json_string_value(json_object_get(choice, "text"));
    reason = json_string_value(json_object_get(choice, "finish_reason"));
    if (text == NULL || !read_range(root, &chunk->offset, &chunk->tokens)) {
        json_decref(root);
        return false;
    }
    chunk->text = strdup(text);
    chunk->finish_reason = reason != NULL ? strdup(reason) : NULL;
    json_decref(root);
    return true;
}

void
Eng_ClearChunk(EngChunk *chunk)
{
    free(chunk->text);
    free(chunk->finish_reason);
    memset(chunk, 0, sizeof(*chunk));
}

EngRefusal
Eng_ParseRefusal(const char *body, size_t size)
{
    json_t *root = body != NULL ? json_loadb(body, size, 0, NULL) : NULL;
    const json_t *error = json_object_get(root, "error");
    const char *code = json_string_value(json_object_get(error, "code"));
    EngRefusal refusal = ENG_REFUSAL_OTHER;

    if (code != NULL && strcmp(code, "full") == 0) {
        refusal = ENG_REFUSAL_FULL;
    }
    else if (code != NULL && strcmp(code, "kv_missing") == 0) {
        refusal = ENG_REFUSAL_KV_MISSING;
    }
    else if (code != NULL && strcmp(code, "leaving") == 0) {
        refusal = ENG_REFUSAL_LEAVING;
    }
    json_decref(root);
    return refusal;
}

/* Reads the offset of a chunk and its tokens, which may be absent. Their sum
   fits into 32 bits, so that no count of tokens wraps around. */
static bool
read_range(const json_t *root, uint32_t *offset, uint32_t *tokens)
{
    const json_t *first = json_object_get(root, "offset");
    const json_t *count = json_object_get(root, "tokens");
    json_int_t begin = json_integer_value(first);
    json_int_t size = json_integer_value(count);

    if (!json_is_integer(first) || begin < 0 || begin > UINT32_MAX ||
        (count != NULL && !json_is_integer(count)) || size < 0 ||
        size > UINT32_MAX - begin) {
        return false;
    }
    *offset = (uint32_t)begin;
    *tokens = (uint32_t)size;
    return true;
}

static json_t *
format_common(const EngWork *work)
{
    json_t *body = json_pack("{s:s, s:s, s:i}", "model", work->model, "prompt",
                             work->prompt, "priority", (int)work->priority);

    if (work->resume_text != NULL && work->resume_offset > 0) {
        json_object_set_new(body, "resume_text",
                            json_string(work->resume_text));
        json_object_set_new(body, "resume_offset",
                            json_integer(work->resume_offset));
    }
    return body;
}

static char *
dump_and_free(json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}
