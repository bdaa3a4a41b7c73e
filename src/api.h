/* Api: the JSON that callers send and get. */
#ifndef LS_API_H
#define LS_API_H

#include "box.h"
#include "web.h"

/* Reads the body of POST /v1/completions into the intent. */
LsResult Api_ParseCompletion(const char *body, size_t size, WebIntent *intent,
                             bool *stream, LsError *err);
/* free() the results. `request` is the identifier, or NULL. */
char *Api_FormatError(const LsError *err, const char *request);
char *Api_FormatChunk(const char *model, const BoxItem *chunk);
char *Api_FormatEnd(const char *model, const BoxItem *end);
char *Api_FormatAnswer(const char *model, const char *text,
                       const BoxItem *end);

#endif
