/* Tests of a planned stop whose process gets no processor for a time: around
   the stop signal, or in the last part of the grace. The kill counts from the
   sending of the signal. What the process has taken is answered before. */
#include "drain_rig.h"

namespace {

class GateHeldUp : public GateDrain {};

/* The signal is sent while the process waits for a processor. */
const std::vector<DrainRow> rows_around_signal = {
    {"call that ends in time", 1000, 0, 1000, 0, 'o', 200},
    {"stream that ends in time", 1100, 0, 1000, 0, 's', 200},
    {"is never answered", 1000, 0, -1, 0, 'o', 502},
    {"is never answered, sent late", 2700, 0, -1, 0, 'i', 502},
};

TEST_F(GateHeldUp, SignalIsHandledLate)
{
    for (int late_ms : {200, 500, 900, 1300}) {
        SCOPED_TRACE(late_ms);
        PlayOnRig([&] {
            Start("4");
            Play(rows_around_signal, {4000, {SIGTERM}, {{0, late_ms}}});
        });
        Reset();
    }
}

/* Requests that come while the process is held up are read in the same step as
   the signal, and taken like those that come after it. */
const std::vector<DrainRow> rows_beside_signal = {
    {"stream beyond the grace", 100, 0, 6000, 0, 's', 503},
    {"the same, may be resumed", 100, 0, 6000, 0, 'r', 503},
    {"stream that ends in time", 100, 0, 500, 0, 's', 200},
    {"call that ends in time", 100, 0, 100, 0, 'o', 200},
};

TEST_F(GateHeldUp, SignalIsHandledBeforeRequestsOfTheSameStep)
{
    PlayOnRig([&] {
        Start("4");
        /* The first streams wait for a survey of the workers. */
        RunFor(600);
        Play(rows_beside_signal, {4000, {SIGTERM}, {{0, 500}}});
    });
}

/* The same with more connections than libevent reads in one step. */
TEST_F(GateHeldUp, SignalIsHandledBeforeManyRequests)
{
    PlayOnRig([&] {
        std::vector<DrainRow> rows(120, rows_beside_signal[0]);
        Start("4");
        RunFor(600);
        Play(rows, {4000, {SIGTERM}, {{0, 500}}});
    });
}

/* The time limits pass while the process is held up; the answers are there. */
const std::vector<DrainRow> rows_at_limit = {
    {"answered within its limit", 100, 0, 300, 700, 'o', 200},
    {"the same, may be repeated", 100, 0, 300, 700, 'i', 200},
    {"is never answered", 100, 0, -1, 700, 'o', 504},
};

TEST_F(GateHeldUp, TimeLimitPassesBeforeTheAnswerIsRead)
{
    PlayOnRig([&] {
        Start("4");
        Play(rows_at_limit, {4000, {SIGTERM}, {{300, 700}}});
    });
}

/* The process is held up as it would end the remaining requests, until shortly
   before the kill. */
const std::vector<DrainRow> rows_at_end = {
    {"is never answered", 500, 0, -1, 0, 'o', 502},
    {"is answered meanwhile", 500, 0, 3150, 0, 'o', 200},
    {"is never answered, may be repeated", 2700, 0, -1, 0, 'i', 502},
};

TEST_F(GateHeldUp, EndOfTheGraceIsHandledLate)
{
    PlayOnRig([&] {
        Start("4");
        Play(rows_at_end, {4000, {SIGTERM}, {{3600, 280}}});
    });
}

/* The same until after the kill: what was taken has its answer, the rest is
   refused. */
const std::vector<DrainRow> rows_before_kill = {
    {"call that ends before", 2500, 0, 50, 0, 'o', 200},
    {"last byte never comes", 2700, 9000, 100, 0, 'o', 0},
    {"call in the last part of the grace", 3560, 0, 150, 0, 'o', 503},
    {"the same, may be repeated", 3560, 0, 150, 0, 'i', 503},
};

TEST_F(GateHeldUp, KillComesBeforeTheEnd)
{
    PlayOnRig([&] {
        Start("4");
        DrainPlay play = {4000, {SIGTERM}, {{3600, 600}}};
        play.ends_itself = false;
        Play(rows_before_kill, play);
    });
}

/* A process that has nothing to do runs often enough to know that no signal
   has come: it does not give up a large part of its grace. */
TEST_F(GateHeldUp, IdleProcessKeepsItsGrace)
{
    PlayOnRig([&] {
        Start("4");
        ASSERT_GT(pid, 0);
        RunFor(1900);
        BeginStop();
        kill(pid, SIGTERM);
        Until([&] { return IsGone() || GetMs() > 4500; });
        size_t at = log.find("\"sent_ago_max_us\":");
        ASSERT_NE(at, std::string::npos);
        EXPECT_LT(atoi(log.c_str() + log.find(':', at) + 1), 500000);
    });
}

} // namespace
