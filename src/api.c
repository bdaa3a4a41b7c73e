#include "api.h"

#include <string.h>

#define API_MAX_TOKENS_DEFAULT 16

static json_t *
format_choice(const char *text, const char *finish_reason)
{
    return json_pack("[{s:i, s:s, s:s?}]", "index", 0, "text", text,
                     "finish_reason", finish_reason);
}

static char *
dump_and_free(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    return text;
}

/* Adds the token counts and the path of the request through the system,
   "entry>home:prefill>decode". */
static void
add_usage(json_t *object, const BoxItem *end)
{
    const BoardAnswer *answer = &end->answer;

    json_object_set_new(
        object, "usage",
        json_pack("{s:i, s:i, s:i}", "prompt_tokens",
                  (int)answer->prompt_tokens, "completion_tokens",
                  (int)answer->output_tokens, "total_tokens",
                  (int)(answer->prompt_tokens + answer->output_tokens)));
    json_object_set_new(object, "lavenderspool",
                        json_pack("{s:s?}", "path", end->path));
}

LsResult
Api_ParseCompletion(const char *body, size_t size, WebIntent *intent,
                    bool *stream, LsError *err)
{
    json_error_t json_err;
    json_t *root = json_loadb(body, size, JSON_REJECT_DUPLICATES, &json_err);
    const json_t *model = json_object_get(root, "model");
    const json_t *prompt = json_object_get(root, "prompt");
    const json_t *max_tokens = json_object_get(root, "max_tokens");
    const json_t *streamed = json_object_get(root, "stream");
    LsResult result = LS_OK;

    if (!json_is_object(root)) {
        result = Err_Set(err, LS_ERR_BAD_JSON, LS_RUN_NOT_RUN, "body: %s",
                         root == NULL ? json_err.text : "must be an object");
    }
    else if (!json_is_string(model)) {
        result = Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                         "model: must be a string");
    }
    else if (!json_is_string(prompt) || json_string_length(prompt) == 0) {
        result = Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                         "prompt: must be a non-empty string");
    }
    else if (max_tokens != NULL &&
             (!json_is_integer(max_tokens) ||
              json_integer_value(max_tokens) <= 0 ||
              json_integer_value(max_tokens) > G_MAXINT32)) {
        result =
            Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                    "max_tokens: must be an integer from 1 to 2147483647");
    }
    else if (streamed != NULL && !json_is_boolean(streamed)) {
        result = Err_Set(err, LS_ERR_BAD_FIELD, LS_RUN_NOT_RUN,
                         "stream: must be true or false");
    }
    else {
        intent->model = g_strdup(json_string_value(model));
        intent->prompt = g_strdup(json_string_value(prompt));
        intent->max_tokens = max_tokens != NULL
                                 ? (uint32_t)json_integer_value(max_tokens)
                                 : API_MAX_TOKENS_DEFAULT;
        *stream = json_is_true(streamed);
    }
    json_decref(root);
    return result;
}

char *
Api_FormatError(const LsError *err, const char *request)
{
    json_t *error = json_pack("{s:i, s:s, s:s, s:s}", "number", (int)err->code,
                              "code", Err_GetName(err->code), "message",
                              err->message, "run", Err_GetRunName(err->run));

    if (request != NULL) {
        json_object_set_new(error, "request", json_string(request));
    }
    if (err->retry_after_ms > 0) {
        json_object_set_new(error, "retry_after_ms",
                            json_integer(err->retry_after_ms));
    }
    return dump_and_free(json_pack("{s:o}", "error", error));
}

/* Formats the members that chunks and complete answers have in common. */
static json_t *
format_completion(const char *model, const char *text, const BoxItem *item)
{
    return json_pack("{s:s?, s:s, s:s, s:o}", "id", item->request, "object",
                     "text_completion", "model", model, "choices",
                     format_choice(text, item->finish_reason));
}

char *
Api_FormatChunk(const char *model, const BoxItem *chunk)
{
    return dump_and_free(format_completion(model, chunk->text, chunk));
}

char *
Api_FormatEnd(const char *model, const BoxItem *end)
{
    return Api_FormatAnswer(model, "", end);
}

char *
Api_FormatAnswer(const char *model, const char *text, const BoxItem *end)
{
    json_t *object = format_completion(model, text, end);

    add_usage(object, end);
    return dump_and_free(object);
}
