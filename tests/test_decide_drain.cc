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
    int64_t expected_ms;
    int64_t deviation_ms;
    bool is_stream;
    bool is_repeatable;
    bool is_late;
    bool taken;
};

const TakeCase take_cases[] = {
    {"quick, once, early", 7800, 15000, 30, 20, false, false, false, true},
    {"quick, once, late", 1000, 15000, 30, 20, false, false, true, true},
    {"quick, once, in the last part", 149, 15000, 1, 0, false, false, true,
     false},
    {"the same, may be repeated", 149, 15000, 1, 0, false, true, true, false},
    {"the same, ends by its limit", 149, 100, 1, 0, false, true, true, false},
    {"after the end", -10, 15000, 1, 0, false, true, true, false},
    {"after the end, limit over", -10, -20, 1, 0, false, true, true, false},
    {"once, may take as long as is left", 1000, 15000, 500, 200, false, false,
     false, false},
    {"once, within four deviations", 1000, 15000, 500, 125, false, false,
     false, true},
    {"may be repeated, as long as is left", 1000, 15000, 1000, 900, false,
     true, false, true},
    {"may be repeated, longer", 1000, 15000, 1001, 0, false, true, false,
     false},
    {"ends by its own limit", 1000, 1000, 5000, 900, false, false, false,
     true},
    {"limit just over", 1000, 1001, 5000, 900, false, false, false, false},
    {"stream, once, a quarter longer", 5000, 14000, 4000, 0, true, false,
     false, true},
    {"stream, once, longer", 4999, 14000, 4000, 0, true, false, false, false},
    {"stream, may be resumed", 3000, 14000, 4000, 0, true, true, false, true},
    {"stream, may be resumed, longer", 2999, 14000, 4000, 0, true, true, false,
     false},
    {"late stream, may be resumed", 4800, 14000, 2400, 0, true, true, true,
     true},
    {"late stream, may be resumed, longer", 4799, 14000, 2400, 0, true, true,
     true, false},
    {"late stream, once", 4799, 14000, 2400, 0, true, false, true, false},
    {"late stream that ends by its limit", 4799, 4000, 9000, 0, true, false,
     true, true},
    {"no limit known", 7800, INT64_MAX / 1000, 100, 20, false, false, false,
     true},
};

TEST(DecideDrain, RequestIsTakenIfItShouldEndInTime)
{
    for (const TakeCase &row : take_cases) {
        SCOPED_TRACE(row.name);
        DrainRequest request = {};
        request.left_us = row.left_ms * ms;
        request.limit_us = row.limit_ms * ms;
        request.expected_us = row.expected_ms * ms;
        request.deviation_us = row.deviation_ms * ms;
        request.is_stream = row.is_stream;
        request.is_repeatable = row.is_repeatable;
        request.is_late = row.is_late;
        EXPECT_EQ(Drain_IsTaken(&request), row.taken);
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
