/* Answer of a simulated worker (SimAnswer_): a body in one of the forms that
   a worker may give it. The form is drawn from random numbers: what marks the
   end of the body, and the writes that carry it. */
#ifndef LS_SIM_ANSWER_H
#define LS_SIM_ANSWER_H

#include "io/server.h"

#include <stdbool.h>

/* What marks the end of a body. */
typedef enum SimFraming {
    SIM_FRAMING_CHUNKS,
    SIM_FRAMING_LENGTH,
    SIM_FRAMING_CLOSE, /* The end of the connection. */
} SimFraming;

/* What an event says of itself. */
typedef struct SimEvent {
    long long last;   /* Number of its last token, which is its ID. */
    char id[48];      /* Identifier of the request. */
    long long first;  /* Number of its first token. */
    unsigned version; /* Software version of the worker. */
    unsigned run;     /* Number of the run that made it. */
    long long from;   /* Number of the run's first token. */
} SimEvent;

typedef struct SimStreamOptions {
    const char *id;       /* Identifier of the request. */
    uint32_t first;       /* Number of the first token. */
    uint32_t end;         /* Number after that of the last token. */
    unsigned version;     /* Software version of the worker. */
    unsigned run;         /* Number of the run, of all workers'. */
    uint32_t interval_ms; /* Mean time between tokens. */
    bool has_steps;       /* An event may hold several tokens. */
    /* Draws the malformed event among those of some streams; NULL: none. */
    GRand *malformed_rand;
} SimStreamOptions;

/* A part of the body that is written at once. */
typedef struct SimPiece {
    size_t end;        /* Offset of its end in the body. */
    uint32_t pause_ms; /* Time until the next one. */
} SimPiece;

typedef struct SimAnswer {
    SimFraming framing;
    GString *body;
    GArray *pieces;   /* SimPiece elements. */
    guint next;       /* Piece that is written next. */
    size_t written;   /* Bytes of the body. */
    size_t malformed; /* Offset of the end of a malformed event; 0: none. */
    bool is_begun;    /* The header was sent. */
    bool is_breaking; /* A part of a piece was written, nothing follows. */
} SimAnswer;

/* Draw the form of an answer with this body, or with the events of a stream.
   Without `rand` a plain body has a length and is written at once, and a
   stream has chunks of one event each. */
void SimAnswer_InitPlain(SimAnswer *answer, const char *body, GRand *rand);
void SimAnswer_InitStream(SimAnswer *answer, const SimStreamOptions *options,
                          GRand *rand);
/* Frees the body. The answer may be zeroed instead of initialized. */
void SimAnswer_Clear(SimAnswer *answer);
/* Sends the header, to which that of the framing is added. */
void SimAnswer_Begin(SimAnswer *answer, ServerExchange *exchange, int status,
                     const HeaderList *headers);
/* Writes the next piece and stores the time until the next one. Returns false
   if the body was written: Server_EndStream() is due. */
bool SimAnswer_Write(SimAnswer *answer, ServerExchange *exchange,
                     uint32_t *pause_ms);
/* Writes a part of the next piece, after which SimAnswer_Abort() is due.
   Returns false if nothing is left to be written in part. */
bool SimAnswer_WritePart(SimAnswer *answer, ServerExchange *exchange,
                         GRand *rand);
/* Ends the exchange so that its answer is seen to be incomplete: by a reset,
   where the framing or a cut event shows it by the end of the connection, and
   for a cut event in chunks by the last chunk. Without `rand`, by the end of
   the connection. */
void SimAnswer_Abort(const SimAnswer *answer, ServerExchange *exchange,
                     GRand *rand);
/* Stores the text of an event. */
void SimAnswer_FormatEvent(char *text, size_t size, const SimEvent *event);
/* Reads the text of an event. Returns false if no worker makes such a one. */
bool SimAnswer_ReadEvent(const char *text, SimEvent *event);

#endif
