/* Answer end: decides whether an answer that ended with its connection is
   complete.

   An answer that has neither a length nor chunks ends with its connection, and
   the kernel closes the connections of a process that is gone in the same way.
   When a worker's process ends, all its answers without framing look complete,
   and a part of a stream or of a body would reach the caller as the whole. A
   sign that the process outlived its answer is proof: it closed the connection
   itself. Such a sign is an answer to a question that was sent after the end,
   from the start that the worker's entry named or the worker told before the
   call began, or on a connection that is older than the call and has carried
   an answer. A worker that pauses as its answer ends tells no start, so a
   refusal on such a connection is a sign, too, unless it may be a late copy of
   an earlier one. All rely on one process at an address at a time, and on its
   end as a whole: one that closes its answers first responds for a while
   after, so that a sign for a stream must come some time after the end. Time
   that runs out before, as a deadline or the end of a VM's stop comes, is no
   sign, nor is silence: the stream is broken off.

   A process that goes on may still have broken the answer off, as may what
   stands between: a proxy passes a reset on as an ordinary end. So a stream
   that may be resumed is asked for its rest, at the same worker, which keeps
   the prompt. Nothing else shows that nothing is left. */
#ifndef LS_ANSWER_END_H
#define LS_ANSWER_END_H

#include "../clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Time that a question may take, several round trips between regions. */
#define ANSWER_END_QUESTION_US (250 * CLK_US_PER_MS)
/* Time between a question that brought nothing and the next one. */
#define ANSWER_END_PAUSE_US (50 * CLK_US_PER_MS)
/* No question begins later than this after the end of an answer that another
   worker can make. */
#define ANSWER_END_MAX_US (600 * CLK_US_PER_MS)
/* Callers leave a stream after a pause of this time, or these multiples of the
   latency objective and of the longest pause in time, whichever is longest
   (users' page on requests). */
#define ANSWER_END_CALLER_US (2 * CLK_US_PER_S)
#define ANSWER_END_CALLER_SLOS 4
#define ANSWER_END_CALLER_GAPS 8
/* The last question must end before that. */
#define ANSWER_END_CALLER_MARGIN_US                                           \
    (ANSWER_END_QUESTION_US + ANSWER_END_PAUSE_US)
/* All connections of a killed process end at one moment, but for a lost
   segment of one that is sent again. One that ended earlier is no sign. */
#define ANSWER_END_SIGN_US CLK_US_PER_S
/* A process that ends may close its answers first and respond for a while. A
   sign that it goes on counts from this time after the end of a stream on. */
#define ANSWER_END_SETTLE_US (500 * CLK_US_PER_MS)
/* Connections that were refused, or broken off without an answer. */
#define ANSWER_END_FAILURES_MAX 3
/* Shortest and longest time for the question for the rest: the worker may have
   to read the prompt again. */
#define ANSWER_END_REST_MIN_US (100 * CLK_US_PER_MS)
#define ANSWER_END_REST_MAX_US (2 * CLK_US_PER_S)
/* A connection with more refusals before is not asked until a reply must be
   none of their copies. */
#define ANSWER_END_COPIES_MAX 3
/* Calls of the retry budget that are left to broken requests. */
#define ANSWER_END_REST_RESERVE 3

/* What the last question brought. */
typedef enum AnswerEndReply {
    ANSWER_END_NOT_ASKED,
    ANSWER_END_NO_REPLY,    /* None in time. */
    ANSWER_END_FAILED,      /* The connection was refused or broken off. */
    ANSWER_END_TURNED_AWAY, /* A refusal, which tells no start. */
    /* A refusal on a connection that is older than the call. Late copies of
       earlier refusals can't be as many. */
    ANSWER_END_REFUSED_ANEW,
    /* The same, but it may be such a copy. */
    ANSWER_END_REFUSED_AGAIN,
    ANSWER_END_TELLS_NO_START, /* An answer of a worker that never tells it. */
    ANSWER_END_SAME_START,     /* The one from before the call. */
    ANSWER_END_OTHER_START,    /* Another start. */
    ANSWER_END_OTHER_WORKER,   /* Another worker has the address. */
} AnswerEndReply;

typedef struct AnswerEndState {
    AnswerEndReply reply;
    bool is_older_connection;  /* The reply came on one that is older than the
                                  call. */
    bool has_older_connection; /* An idle one. */
    bool is_older_useless;     /* A reply on one told nothing. */
    bool has_busy_older;       /* One that is in use. */
    /* One of them has ended during the call, ANSWER_END_SIGN_US before the end
       of the answer or later, idle or with a call, or a question on one
       failed: the process may have ended, and another one may respond. */
    bool is_older_broken;
    bool has_responded; /* A reply told no start. */
    bool is_paused;     /* The worker asked for a pause: no question now. */
    /* The pause outlasts the caller, and no other run can go on: some
       questions are asked in it. */
    bool is_pause_long;
    uint32_t failures;   /* So far. */
    int64_t waited_us;   /* Since the end of the answer. */
    int64_t asked_us;    /* When the last question began, since then. */
    int64_t settle_us;   /* From then on a sign counts. */
    int64_t patience_us; /* No question begins later than that. */
    bool is_stream;
    bool knows_start; /* The entry names the worker's start. */
} AnswerEndState;

typedef enum AnswerEndStep {
    ANSWER_END_ASK,       /* On a new connection. */
    ANSWER_END_ASK_OLDER, /* On a connection that is older than the call. */
    ANSWER_END_ASK_AGAIN, /* On a new one after ANSWER_END_PAUSE_US. */
    ANSWER_END_WAIT,      /* To decide again after ANSWER_END_PAUSE_US. */
    ANSWER_END_CONFIRM,   /* To ask in the same way at `settle_us`. */
    ANSWER_END_COMPLETE,
    /* Nothing shows that the process ended, and it never tells its start: the
       caller gets the answer without framing, as the worker sent it. */
    ANSWER_END_AS_RECEIVED,
    ANSWER_END_BROKEN,
} AnswerEndStep;

/* Whether the rest of a stream may be asked for, whose worker goes on. */
typedef struct AnswerEndRestState {
    bool is_resumable;   /* Another run may go on with the stream. */
    bool has_events;     /* The run that ended brought some. */
    bool is_ready;       /* The worker takes new work. */
    bool has_connection; /* One leads to the start of the worker's entry. */
    uint32_t budget;     /* Calls that the retry budget allows. */
    uint32_t sends_left; /* Calls that the request may still make. */
    int64_t left_us;     /* Until the caller leaves. */
} AnswerEndRestState;

/* What the question for the rest brought, other than an event. */
typedef enum AnswerEndRest {
    ANSWER_END_REST_EMPTY, /* A complete answer. */
    ANSWER_END_REST_REFUSED,
    ANSWER_END_REST_LATE,  /* Nothing in time. */
    ANSWER_END_REST_LOST,  /* The connection was refused or broken off. */
    ANSWER_END_REST_OTHER, /* Another worker has the address. */
} AnswerEndRest;

/* Returns from when on a sign counts, however little time the request has
   left. */
int64_t AnswerEnd_GetSettleTime(bool is_stream);
/* Returns how long the end of an answer may wait for proof. `may_go_on`:
   another worker can make the answer, or the rest of it. */
int64_t AnswerEnd_GetPatience(bool is_stream, bool may_go_on, int64_t slo_us,
                              int64_t gap_us);
AnswerEndStep AnswerEnd_Decide(const AnswerEndState *state);
/* Returns what a refusal on an older connection is taken for: `since` on it
   after the end of the answer, with this one, and `before` that. Each of these
   may come once more, late. */
AnswerEndReply AnswerEnd_JudgeRefusal(uint32_t since, uint32_t before);
/* Whether the question can be of use and takes no call from others. */
bool AnswerEnd_MayAskRest(const AnswerEndRestState *state);
/* Returns ANSWER_END_COMPLETE or ANSWER_END_BROKEN. A worker that takes no
   work or is silent was shown to go on; one that can't be reached any more may
   have ended bit by bit, its answers first. */
AnswerEndStep AnswerEnd_JudgeRest(AnswerEndRest rest);

#endif
