/* Tests of the decision which requests a VM that stops still takes. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/drain.h"
}

namespace {

const int64_t ms = 1000;

struct TakeCase {
    const char *name;
    int64_t left_ms;
    int64_t limit_ms;
    int64_t needed_ms;
    bool taken;
};

const TakeCase take_cases[] = {
    {"quick", 7800, 15000, 110, true},
    {"quick, late", 1000, 15000, 110, true},
    {"quick, before the last part", 250, 15000, 1, true},
    {"quick, in the last part", 249, 15000, 1, false},
    {"the same, ends by its limit", 249, 100, 1, false},
    {"after the end", -10, 15000, 1, false},
    {"after the end, limit over", -10, -20, 1, false},
    {"takes as long as is left", 1000, 15000, 1000, true},
    {"longer", 1000, 15000, 1001, false},
    {"ends by its own limit", 1000, 1000, 5000, true},
    {"limit just over", 1000, 1001, 5000, false},
    {"no limit known", 7800, INT64_MAX / 1000, 100, true},
    {"no bound known", 7800, 15000, DRAIN_UNKNOWN_US / 1000, false},
    {"no bound known, ends by its limit", 7800, 7000, DRAIN_UNKNOWN_US / 1000,
     true},
};

TEST(DecideDrain, RequestIsTakenIfItIsSureToEndInTime)
{
    for (const TakeCase &row : take_cases) {
        SCOPED_TRACE(row.name);
        DrainRequest request = {};
        request.left_us = row.left_ms * ms;
        request.limit_us = row.limit_ms * ms;
        request.needed_us = row.needed_ms * ms;
        EXPECT_EQ(Drain_IsTaken(&request), row.taken);
    }
}

struct CallCase {
    const char *name;
    int64_t mean_ms; /* 0: none was measured. */
    int64_t deviation_ms;
    int64_t expected_ms;
    int64_t bound_ms;
};

/* Objective 900 ms. */
const CallCase call_cases[] = {
    {"steady: twice the mean", 500, 10, 0, 1000},
    {"four deviations, if that is more", 500, 200, 0, 1300},
    {"a worker with a queue", 500, 10, 1600, 1600},
    {"none was measured: the objective", 0, 0, 0, 900},
};

TEST(DecideDrain, BoundOfACall)
{
    for (const CallCase &row : call_cases) {
        SCOPED_TRACE(row.name);
        DrainTimes times = {};
        times.call.mean_us = (double)(row.mean_ms * ms);
        times.call.deviation_us = (double)(row.deviation_ms * ms);
        EXPECT_EQ(Drain_GetCallBound(&times, 900 * ms, row.expected_ms * ms),
                  row.bound_ms * ms);
    }
}

struct StreamCase {
    const char *name;
    int64_t first_ms;    /* Mean; 0: none was measured. */
    int64_t interval_ms; /* Mean; 0: none was measured. */
    int64_t worked_ms;
    int64_t expected_ms;
    int64_t slowest_ms; /* Interval of a stream in progress. */
    uint32_t events;
    int64_t bound_ms;
};

/* Objective 900 ms, pauses of 300 ms. */
const StreamCase stream_cases[] = {
    {"twice the means", 200, 10, 0, 0, 0, 101, 400 + 300 + 2000},
    {"its calls have begun", 200, 10, 300, 0, 0, 101, 100 + 300 + 2000},
    {"longer ago than usual", 200, 10, 900, 0, 0, 101, 400 + 300 + 2000},
    {"the same, its worker has a queue", 200, 10, 900, 450, 0, 101,
     450 + 300 + 2000},
    {"a worker with a long queue", 200, 10, 0, 700, 0, 101, 700 + 300 + 2000},
    {"others are slow", 200, 10, 0, 0, 45, 101, 400 + 300 + 4500},
    {"others are quick", 200, 10, 0, 0, 5, 101, 400 + 300 + 2000},
    {"none was measured", 0, 0, 0, 0, 0, 101, 900 + 300 + 6000},
    {"one event", 200, 10, 0, 0, 0, 1, 400 + 300},
    {"no limit of its length", 200, 10, 0, 0, 0, 0, DRAIN_UNKNOWN_US / 1000},
    {"no limit to speak of", 200, 10, 0, 0, 0, UINT32_MAX,
     400 + 300 + (int64_t)(UINT32_MAX - 1) * 20},
};

TEST(DecideDrain, BoundOfAStream)
{
    for (const StreamCase &row : stream_cases) {
        SCOPED_TRACE(row.name);
        DrainTimes times = {};
        DrainStream stream = {};
        times.first.mean_us = (double)(row.first_ms * ms);
        times.interval.mean_us = (double)(row.interval_ms * ms);
        stream.slo_us = 900 * ms;
        stream.gap_us = 300 * ms;
        stream.worked_us = row.worked_ms * ms;
        stream.expected_us = row.expected_ms * ms;
        stream.interval_us = row.slowest_ms * ms;
        stream.events = row.events;
        EXPECT_EQ(Drain_GetStreamBound(&times, &stream) / ms, row.bound_ms);
    }
}

/* The remaining requests are ended in the last sixth of the grace. */
TEST(DecideDrain, EndLeavesTimeForTheAnswersOnly)
{
    const int64_t graces_ms[] = {1, 100, 500, 1000, 2000, 4000, 8000, 30000};
    for (int64_t grace_ms : graces_ms) {
        SCOPED_TRACE(grace_ms);
        int64_t end_us = Drain_GetEnd(5 * ms, grace_ms * ms) - 5 * ms;
        EXPECT_GT(end_us, grace_ms * ms * 5 / 6);
        EXPECT_LT(end_us, grace_ms * ms);
        EXPECT_GE(end_us, grace_ms * ms - DRAIN_ANSWER_US);
    }
}

/* The process has half of the rest for its exit, and its last answers have a
   third of it. */
TEST(DecideDrain, ProcessExitsBeforeTheEndOfTheGrace)
{
    const int64_t graces_ms[] = {1, 100, 500, 1000, 2000, 4000, 8000, 30000};
    for (int64_t grace_ms : graces_ms) {
        SCOPED_TRACE(grace_ms);
        int64_t rest_us = 5 * ms + grace_ms * ms;
        int64_t answers_us = rest_us - Drain_GetEnd(5 * ms, grace_ms * ms);
        int64_t exit_us = rest_us - Drain_GetExit(5 * ms, grace_ms * ms);
        EXPECT_GE(exit_us, answers_us / 2);
        EXPECT_GE(answers_us - exit_us, answers_us / 3);
        if (grace_ms >= 4000) {
            EXPECT_GE(exit_us, 150 * ms);
        }
    }
}

TEST(DecideDrain, TimesFollowTheCalls)
{
    DrainTime time = {};
    Drain_NoteTime(&time, 100);
    EXPECT_EQ(time.mean_us, 100);
    EXPECT_EQ(time.deviation_us, 50);
    for (int i = 0; i < 200; i++) {
        Drain_NoteTime(&time, i % 2 == 0 ? 500 : 700);
    }
    EXPECT_NEAR(time.mean_us, 600, 20);
    EXPECT_NEAR(time.deviation_us, 100, 20);
    Drain_NoteTime(&time, 0);
    EXPECT_GT(time.mean_us, 0);
}

} // namespace
