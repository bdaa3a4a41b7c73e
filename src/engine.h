/* Engine protocol (Eng_): formats and parses the messages of model engines, in
   the form of OpenAI completions with KV transfer parameters for separate
   prefill and decode pools. */
#ifndef LS_ENGINE_H
#define LS_ENGINE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define ENG_BYTES_PER_TOKEN 4 /* Assumed where tokens are estimated. */

/* A completion to send to an engine. Strings belong to the caller. */
typedef struct EngWork {
    const char *model;
    const char *prompt;
    const char *resume_text; /* Output already delivered, or NULL. */
    uint32_t resume_offset;  /* Number of tokens already delivered. */
    uint32_t max_tokens;     /* Number of tokens still to generate. */
    uint32_t priority;
} EngWork;

/* One event of a decode stream. */
typedef struct EngChunk {
    uint32_t offset;     /* Offset of the first token in `text`. */
    uint32_t tokens;     /* Number of tokens in `text`. */
    char *text;          /* Freed by Eng_ClearChunk(). */
    char *finish_reason; /* NULL until the last event; freed likewise. */
    bool done;           /* The event is the "[DONE]" marker. */
} EngChunk;

/* Reason why an engine refused a request. */
typedef enum EngRefusal {
    ENG_REFUSAL_OTHER,
    ENG_REFUSAL_FULL,       /* The engine has no free slot or memory. */
    ENG_REFUSAL_KV_MISSING, /* The prefill's result is no longer held. */
    ENG_REFUSAL_LEAVING,    /* The engine accepts no new requests. */
} EngRefusal;

/* Formats the identifier of an attempt at engines: "request/attempt". */
void Eng_FormatRequest(char *target, size_t size, const char *request,
                       uint32_t attempt);
/* Estimates the number of tokens in a text of this many bytes; at least 1. */
uint32_t Eng_CountTokens(size_t bytes);
/* Formats the body of a prefill, a decode or a resume request. The caller
   frees it with free(). A resume continues a broken stream at the engine that
   began it; `kv_params` come from Eng_ParsePrefill(). */
char *Eng_FormatPrefill(const EngWork *work);
char *Eng_FormatDecode(const EngWork *work, const json_t *kv_params);
char *Eng_FormatResume(const EngWork *work);
/* Parses the answer of a prefill. Returns its KV transfer parameters as a new
   reference, or NULL if there are none. */
json_t *Eng_ParsePrefill(const char *body, size_t size);
/* Parses the payload of one server-sent event. Returns false if it is
   malformed; the chunk is then empty. */
bool Eng_ParseChunk(const char *data, size_t size, EngChunk *chunk);
/* Frees the strings of a chunk and empties it. */
void Eng_ClearChunk(EngChunk *chunk);
/* Parses the reason of a refusal; `body` may be NULL. */
EngRefusal Eng_ParseRefusal(const char *body, size_t size);

#endif
