/* Eng: the model engines' protocol, the OpenAI completions form with the KV
   transfer parameters of split prefill and decode pools. */
#ifndef LS_ENG_H
#define LS_ENG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define ENG_BYTES_PER_TOKEN 4 /* Used to estimate a prompt's tokens. */

/* One completion as engines see it. */
typedef struct EngWork {
    const char *model;
    const char *prompt;
    const char *resume_text; /* Output already delivered, or NULL. */
    uint32_t resume_offset;  /* Its tokens. */
    uint32_t max_tokens;
    uint32_t priority;
} EngWork;

/* One event of a decode stream. */
typedef struct EngChunk {
    uint32_t offset; /* Of the first token in `text`. */
    uint32_t tokens;
    char *text;          /* free() it. */
    char *finish_reason; /* NULL until the last event; free() it. */
    bool done;           /* The "[DONE]" marker. */
} EngChunk;

typedef enum EngRefusal {
    ENG_REFUSAL_OTHER,
    ENG_REFUSAL_FULL,       /* No slot or memory. */
    ENG_REFUSAL_KV_MISSING, /* The prefill's result is gone. */
    ENG_REFUSAL_LEAVING,    /* The engine takes no new work. */
} EngRefusal;

/* A request's identifier at engines: "request/attempt". */
void Eng_FormatRequest(char *target, size_t size, const char *request,
                       uint32_t attempt);
/* Estimates the tokens of a text of this many bytes. */
uint32_t Eng_CountTokens(size_t bytes);
char *Eng_FormatPrefill(const EngWork *work); /* Body; free() it. */
char *Eng_FormatDecode(const EngWork *work, const json_t *kv_params);
char *Eng_FormatResume(const EngWork *work); /* Continue on one engine. */
/* The KV parameters of a prefill's answer as a new reference, or NULL. */
json_t *Eng_ParsePrefill(const char *body, size_t size);
/* Reads one server-sent event. Returns false when it is malformed. */
bool Eng_ParseChunk(const char *data, size_t size, EngChunk *chunk);
void Eng_ClearChunk(EngChunk *chunk);
EngRefusal Eng_ParseRefusal(const char *body, size_t size);

#endif
