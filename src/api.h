/* Client API (Api_): parses the JSON of callers' requests and formats the JSON
   of their answers, in the form of OpenAI's completions API. */
#ifndef LS_API_H
#define LS_API_H

#include "mailbox.h"
#include "web.h"

/* Parses the body of POST /v1/completions into the intent, and sets *stream if
   the answer must be streamed. Fails with LS_ERR_BAD_JSON or
   LS_ERR_BAD_FIELD, and then changes neither. */
LsResult Api_ParseCompletion(const char *body, size_t size, WebIntent *intent,
                             bool *stream, LsError *err);
/* The following functions return JSON text; free() it. `request` is the
   request's identifier, or NULL. */
char *Api_FormatError(const LsError *err, const char *request);
char *Api_FormatChunk(const char *model, const BoxItem *chunk);
char *Api_FormatEnd(const char *model, const BoxItem *end);
char *Api_FormatAnswer(const char *model, const char *text,
                       const BoxItem *end);

#endif
