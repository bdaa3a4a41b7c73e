/* Tests of the decision whether an answer without framing is complete. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/answer_end.h"
}

namespace {

struct Row {
    const char *name;
    AnswerEndState state;
    AnswerEndStep stream; /* Step for a stream, and for a plain answer. */
    AnswerEndStep plain;
};

AnswerEndState
State(AnswerEndReply reply)
{
    AnswerEndState state = {};
    state.reply = reply;
    state.patience_us = ANSWER_END_MAX_US;
    state.has_responded =
        reply == ANSWER_END_TURNED_AWAY || reply == ANSWER_END_TELLS_NO_START;
    return state;
}

AnswerEndState
OnOlder(AnswerEndReply reply)
{
    AnswerEndState state = State(reply);
    state.is_older_connection = true;
    state.is_older_broken = reply == ANSWER_END_FAILED;
    return state;
}

AnswerEndState
WithOlder(AnswerEndReply reply)
{
    AnswerEndState state = State(reply);
    state.has_older_connection = true;
    return state;
}

AnswerEndState
Failed(uint32_t failures, int64_t waited_us, bool has_responded)
{
    AnswerEndState state = State(ANSWER_END_FAILED);
    state.failures = failures;
    state.waited_us = waited_us;
    state.has_responded = has_responded;
    return state;
}

AnswerEndState
Paused(AnswerEndReply reply)
{
    AnswerEndState state = WithOlder(reply);
    state.is_paused = true;
    return state;
}

AnswerEndState
PausedFor(int64_t waited_us)
{
    AnswerEndState state = Paused(ANSWER_END_NOT_ASKED);
    state.waited_us = waited_us;
    return state;
}

/* No older connection can end. */
TEST(DecideAnswerEnd, PausedPlainAnswerWaitsForOlderConnectionsOnly)
{
    AnswerEndState state = Paused(ANSWER_END_NOT_ASKED);
    state.has_older_connection = false;
    EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_AS_RECEIVED);
    state.has_busy_older = true;
    EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_WAIT);
    state.is_older_broken = true;
    EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_BROKEN);
}

TEST(DecideAnswerEnd, OnlyASignOfTheProcessProvesTheEnd)
{
    const Row rows[] = {
        {"not asked", State(ANSWER_END_NOT_ASKED), ANSWER_END_ASK,
         ANSWER_END_ASK},
        {"not asked, older connection", WithOlder(ANSWER_END_NOT_ASKED),
         ANSWER_END_ASK_OLDER, ANSWER_END_ASK_OLDER},
        {"same start", State(ANSWER_END_SAME_START), ANSWER_END_COMPLETE,
         ANSWER_END_COMPLETE},
        {"other worker", State(ANSWER_END_OTHER_WORKER), ANSWER_END_BROKEN,
         ANSWER_END_BROKEN},
        {"other start", State(ANSWER_END_OTHER_START), ANSWER_END_BROKEN,
         ANSWER_END_BROKEN},
        {"other start, older connection left",
         WithOlder(ANSWER_END_OTHER_START), ANSWER_END_ASK_OLDER,
         ANSWER_END_ASK_OLDER},
        {"other start on an older connection", OnOlder(ANSWER_END_OTHER_START),
         ANSWER_END_COMPLETE, ANSWER_END_COMPLETE},
        {"tells no start", State(ANSWER_END_TELLS_NO_START), ANSWER_END_BROKEN,
         ANSWER_END_AS_RECEIVED},
        {"tells no start, older connection left",
         WithOlder(ANSWER_END_TELLS_NO_START), ANSWER_END_ASK_OLDER,
         ANSWER_END_ASK_OLDER},
        {"tells no start on an older connection",
         OnOlder(ANSWER_END_TELLS_NO_START), ANSWER_END_COMPLETE,
         ANSWER_END_COMPLETE},
        {"turned away", State(ANSWER_END_TURNED_AWAY), ANSWER_END_ASK_AGAIN,
         ANSWER_END_AS_RECEIVED},
        {"turned away on an older connection", OnOlder(ANSWER_END_TURNED_AWAY),
         ANSWER_END_ASK, ANSWER_END_ASK},
        {"refused anew on an older connection",
         OnOlder(ANSWER_END_REFUSED_ANEW), ANSWER_END_COMPLETE,
         ANSWER_END_COMPLETE},
        {"refused again, older connection left",
         WithOlder(ANSWER_END_REFUSED_AGAIN), ANSWER_END_ASK_OLDER,
         ANSWER_END_ASK_OLDER},
        {"older connection broke", OnOlder(ANSWER_END_FAILED), ANSWER_END_ASK,
         ANSWER_END_ASK},
        {"no reply on an older connection", OnOlder(ANSWER_END_NO_REPLY),
         ANSWER_END_ASK, ANSWER_END_ASK},
        {"no reply", State(ANSWER_END_NO_REPLY), ANSWER_END_ASK_AGAIN,
         ANSWER_END_ASK_AGAIN},
        {"one connection failed", Failed(1, 0, false), ANSWER_END_ASK_AGAIN,
         ANSWER_END_ASK_AGAIN},
        {"all connections failed", Failed(ANSWER_END_FAILURES_MAX, 0, false),
         ANSWER_END_BROKEN, ANSWER_END_BROKEN},
        {"connections failed after a response",
         Failed(ANSWER_END_FAILURES_MAX, 0, true), ANSWER_END_BROKEN,
         ANSWER_END_AS_RECEIVED},
        {"no time left", Failed(1, ANSWER_END_MAX_US, false),
         ANSWER_END_BROKEN, ANSWER_END_BROKEN},
        {"paused", Paused(ANSWER_END_NOT_ASKED), ANSWER_END_ASK_AGAIN,
         ANSWER_END_WAIT},
        {"paused for a while", PausedFor(ANSWER_END_PAUSE_US),
         ANSWER_END_ASK_AGAIN, ANSWER_END_AS_RECEIVED},
        {"paused after the question", Paused(ANSWER_END_SAME_START),
         ANSWER_END_COMPLETE, ANSWER_END_COMPLETE},
    };

    for (const Row &row : rows) {
        SCOPED_TRACE(row.name);
        AnswerEndState state = row.state;
        EXPECT_EQ(AnswerEnd_Decide(&state), row.plain);
        state.is_stream = true;
        EXPECT_EQ(AnswerEnd_Decide(&state), row.stream);
    }
}

/* Another process responds where an older connection broke. */
TEST(DecideAnswerEnd, ResponseAfterABrokenConnectionShowsNothing)
{
    AnswerEndState state = State(ANSWER_END_TELLS_NO_START);
    state.is_older_broken = true;
    EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_BROKEN);
}

/* A reply that names no start is none of a worker that tells its start. */
TEST(DecideAnswerEnd, StartMustBeToldIfItIsKnown)
{
    for (AnswerEndReply reply :
         {ANSWER_END_TELLS_NO_START, ANSWER_END_TURNED_AWAY}) {
        AnswerEndState state = OnOlder(reply);
        state.is_stream = true;
        state.knows_start = true;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_ASK);
    }
}

/* An older connection that is in use may prove the end once it is idle. */
TEST(DecideAnswerEnd, BusyOlderConnectionIsWaitedFor)
{
    for (AnswerEndReply reply :
         {ANSWER_END_OTHER_START, ANSWER_END_TELLS_NO_START}) {
        AnswerEndState state = State(reply);
        state.is_stream = true;
        state.has_busy_older = true;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_WAIT);
        state.waited_us = state.patience_us;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_BROKEN);
    }
}

/* A stream that no other worker can go on with waits as long as its caller. */
TEST(DecideAnswerEnd, PatienceIsThatOfTheCaller)
{
    const int64_t ms = CLK_US_PER_MS;
    const struct {
        const char *name;
        bool is_stream;
        bool may_go_on;
        int64_t slo_us;
        int64_t gap_us;
        int64_t patience_us;
    } rows[] = {
        {"plain", false, false, 9000 * ms, 900 * ms, ANSWER_END_MAX_US},
        {"goes on elsewhere", true, true, 9000 * ms, 900 * ms,
         ANSWER_END_MAX_US},
        {"2 s", true, false, 100 * ms, 100 * ms, 1700 * ms},
        {"four times the objective", true, false, 900 * ms, 300 * ms,
         3300 * ms},
        {"eight times the pause", true, false, 500 * ms, 400 * ms, 2900 * ms},
    };

    for (const auto &row : rows) {
        EXPECT_EQ(AnswerEnd_GetPatience(row.is_stream, row.may_go_on,
                                        row.slo_us, row.gap_us),
                  row.patience_us)
            << row.name;
    }
}

/* Replies that tell nothing must not be asked for again and again. */
TEST(DecideAnswerEnd, UselessRepliesAreNotAskedForAtOnce)
{
    for (AnswerEndReply reply :
         {ANSWER_END_TURNED_AWAY, ANSWER_END_TELLS_NO_START}) {
        AnswerEndState state = WithOlder(reply);
        state.is_stream = true;
        state.knows_start = true;
        state.is_older_connection = true;
        state.is_older_useless = true;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_ASK);
        state.is_older_connection = false;
        state.has_busy_older = true;
        EXPECT_EQ(AnswerEnd_Decide(&state), reply == ANSWER_END_TURNED_AWAY
                                                ? ANSWER_END_ASK_AGAIN
                                                : ANSWER_END_BROKEN);
    }
}

/* Time is over at the first look after ANSWER_END_MAX_US. */
TEST(DecideAnswerEnd, CheckEnds)
{
    const AnswerEndReply replies[] = {ANSWER_END_NO_REPLY, ANSWER_END_FAILED,
                                      ANSWER_END_TURNED_AWAY,
                                      ANSWER_END_TELLS_NO_START};

    for (AnswerEndReply reply : replies) {
        for (bool has_older : {false, true}) {
            AnswerEndState state = State(reply);
            state.has_older_connection = has_older;
            state.is_stream = true;
            state.waited_us = ANSWER_END_MAX_US;
            EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_BROKEN);
        }
    }
}

/* A sign that comes before the process can have ended is asked for again. */
TEST(DecideAnswerEnd, EarlySignIsConfirmed)
{
    struct {
        AnswerEndState state;
        AnswerEndStep early;
    } rows[] = {
        {State(ANSWER_END_SAME_START), ANSWER_END_CONFIRM},
        {OnOlder(ANSWER_END_OTHER_START), ANSWER_END_CONFIRM},
        {OnOlder(ANSWER_END_TELLS_NO_START), ANSWER_END_CONFIRM},
        {OnOlder(ANSWER_END_REFUSED_ANEW), ANSWER_END_CONFIRM},
        {State(ANSWER_END_OTHER_WORKER), ANSWER_END_BROKEN},
        {State(ANSWER_END_OTHER_START), ANSWER_END_BROKEN},
    };

    for (auto &row : rows) {
        SCOPED_TRACE(row.state.reply);
        row.state.is_stream = true;
        row.state.settle_us = AnswerEnd_GetSettleTime(true);
        row.state.asked_us = row.state.settle_us - 1;
        EXPECT_EQ(AnswerEnd_Decide(&row.state), row.early);
        row.state.asked_us++;
        EXPECT_EQ(AnswerEnd_Decide(&row.state), row.early == ANSWER_END_CONFIRM
                                                    ? ANSWER_END_COMPLETE
                                                    : ANSWER_END_BROKEN);
    }
}

/* A worker that falls silent or turns questions away after an early sign is
   asked until the caller would leave. It may have ended since. */
TEST(DecideAnswerEnd, SilenceAfterAnEarlySignIsNoProof)
{
    for (AnswerEndReply reply :
         {ANSWER_END_NO_REPLY, ANSWER_END_TURNED_AWAY}) {
        AnswerEndState state = State(reply);
        state.is_stream = true;
        state.settle_us = ANSWER_END_SETTLE_US;
        state.asked_us = ANSWER_END_SETTLE_US;
        state.waited_us = state.patience_us - 1;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_ASK_AGAIN);
        state.waited_us++;
        EXPECT_EQ(AnswerEnd_Decide(&state), ANSWER_END_BROKEN);
    }
}

/* In a pause that outlasts the caller few questions are asked, once their
   replies count, and on an older connection only. */
TEST(DecideAnswerEnd, LongPauseAllowsFewQuestions)
{
    AnswerEndState all = Paused(ANSWER_END_NOT_ASKED);
    all.is_stream = true;
    all.is_pause_long = true;
    all.settle_us = ANSWER_END_SETTLE_US;
    all.waited_us = ANSWER_END_SETTLE_US;
    struct {
        const char *name;
        void (*change)(AnswerEndState *state);
        AnswerEndStep step;
    } rows[] = {
        {"all", [](AnswerEndState *) {}, ANSWER_END_ASK_OLDER},
        {"the pause ends in time",
         [](AnswerEndState *s) { s->is_pause_long = false; },
         ANSWER_END_ASK_AGAIN},
        {"the sign would be early", [](AnswerEndState *s) { s->waited_us--; },
         ANSWER_END_ASK_AGAIN},
        {"no older connection",
         [](AnswerEndState *s) { s->has_older_connection = false; },
         ANSWER_END_ASK_AGAIN},
        {"asked", [](AnswerEndState *s) { s->reply = ANSWER_END_NO_REPLY; },
         ANSWER_END_ASK_AGAIN},
        {"refused again",
         [](AnswerEndState *s) { s->reply = ANSWER_END_REFUSED_AGAIN; },
         ANSWER_END_ASK_OLDER},
        {"turned away",
         [](AnswerEndState *s) { s->reply = ANSWER_END_TURNED_AWAY; },
         ANSWER_END_ASK_AGAIN},
        {"the caller leaves",
         [](AnswerEndState *s) { s->waited_us = s->patience_us; },
         ANSWER_END_BROKEN},
        {"plain", [](AnswerEndState *s) { s->is_stream = false; },
         ANSWER_END_AS_RECEIVED},
    };

    for (const auto &row : rows) {
        SCOPED_TRACE(row.name);
        AnswerEndState state = all;
        row.change(&state);
        EXPECT_EQ(AnswerEnd_Decide(&state), row.step);
    }
}

/* Each refusal before the end of the answer may come once more. */
TEST(DecideAnswerEnd, RefusalsBeyondAllCopiesAreASign)
{
    for (uint32_t before = 0; before <= ANSWER_END_COPIES_MAX; before++) {
        for (uint32_t since = 1; since <= before; since++) {
            EXPECT_EQ(AnswerEnd_JudgeRefusal(since, before),
                      ANSWER_END_REFUSED_AGAIN);
        }
        EXPECT_EQ(AnswerEnd_JudgeRefusal(before + 1, before),
                  ANSWER_END_REFUSED_ANEW);
    }
    EXPECT_EQ(AnswerEnd_JudgeRefusal(1, ANSWER_END_COPIES_MAX + 1),
              ANSWER_END_TURNED_AWAY);
}

/* It doesn't depend on the time that is left. */
TEST(DecideAnswerEnd, SettleTimeIsThatOfAProcessThatEnds)
{
    EXPECT_EQ(AnswerEnd_GetSettleTime(false), 0);
    EXPECT_EQ(AnswerEnd_GetSettleTime(true), ANSWER_END_SETTLE_US);
    /* The confirming question begins within the shortest patience. */
    EXPECT_LT(ANSWER_END_SETTLE_US, ANSWER_END_MAX_US);
}

/* The rest of a stream is asked for only where the answer can be used and the
   question harms nobody. */
TEST(DecideAnswerEnd, RestIsAskedForWhereItMay)
{
    const AnswerEndRestState all = {true,
                                    true,
                                    true,
                                    true,
                                    ANSWER_END_REST_RESERVE + 1,
                                    1,
                                    ANSWER_END_REST_MIN_US};
    struct {
        const char *name;
        void (*change)(AnswerEndRestState *state);
    } rows[] = {
        {"may run once",
         [](AnswerEndRestState *s) { s->is_resumable = false; }},
        {"had no event", [](AnswerEndRestState *s) { s->has_events = false; }},
        {"worker leaves", [](AnswerEndRestState *s) { s->is_ready = false; }},
        {"no connection",
         [](AnswerEndRestState *s) { s->has_connection = false; }},
        {"budget spent", [](AnswerEndRestState *s) { s->budget--; }},
        {"no call left", [](AnswerEndRestState *s) { s->sends_left = 0; }},
        {"caller leaves", [](AnswerEndRestState *s) { s->left_us--; }},
    };

    EXPECT_TRUE(AnswerEnd_MayAskRest(&all));
    for (const auto &row : rows) {
        SCOPED_TRACE(row.name);
        AnswerEndRestState state = all;
        row.change(&state);
        EXPECT_FALSE(AnswerEnd_MayAskRest(&state));
    }
}

TEST(DecideAnswerEnd, OnlyALostProcessMakesTheRestUnknown)
{
    struct {
        AnswerEndRest rest;
        AnswerEndStep step;
    } rows[] = {
        {ANSWER_END_REST_EMPTY, ANSWER_END_COMPLETE},
        {ANSWER_END_REST_REFUSED, ANSWER_END_COMPLETE},
        {ANSWER_END_REST_LATE, ANSWER_END_COMPLETE},
        {ANSWER_END_REST_LOST, ANSWER_END_BROKEN},
        {ANSWER_END_REST_OTHER, ANSWER_END_BROKEN},
    };

    for (const auto &row : rows) {
        SCOPED_TRACE(row.rest);
        EXPECT_EQ(AnswerEnd_JudgeRest(row.rest), row.step);
    }
}

} // namespace
