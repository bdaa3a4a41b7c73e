/* Tests of the decision when a silent call is given up. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/handover.h"
}

namespace {

constexpr int64_t ms = CLK_US_PER_MS;

struct StepCase {
    const char *name;
    HandoverState state; /* may_repeat, has_progress, has_ended,
                            is_limit_passed, successor, sent_us. */
    HandoverStep step;
};

const StepCase step_cases[] = {
    {"silent for a moment",
     {true, false, false, false, HANDOVER_NONE, 0},
     HANDOVER_WAIT},
    {"silent for long",
     {true, false, false, true, HANDOVER_NONE, 0},
     HANDOVER_PREPARE},
    {"may run only once",
     {false, false, false, true, HANDOVER_NONE, 0},
     HANDOVER_WAIT},
    {"the successor is not ready",
     {true, false, false, true, HANDOVER_PREPARING, 0},
     HANDOVER_WAIT},
    {"the successor has not answered yet",
     {true, false, false, true, HANDOVER_SENT, 100 * ms},
     HANDOVER_WAIT},
    {"the successor accepts",
     {true, false, false, true, HANDOVER_ACCEPTED, 100 * ms},
     HANDOVER_SWITCH},
    {"the successor is slow to accept",
     {true, false, false, true, HANDOVER_SENT, HANDOVER_ACCEPT_MAX_US},
     HANDOVER_SWITCH},
    {"the successor refused",
     {true, false, false, true, HANDOVER_NONE, 0},
     HANDOVER_PREPARE},
    {"goes on before the successor is ready",
     {true, true, false, true, HANDOVER_PREPARING, 0},
     HANDOVER_RETURN},
    {"goes on before the successor accepts",
     {true, true, false, true, HANDOVER_SENT, 100 * ms},
     HANDOVER_WAIT},
    {"goes on after the successor accepted",
     {true, true, false, true, HANDOVER_ACCEPTED, 100 * ms},
     HANDOVER_SWITCH},
    {"goes on after the successor refused",
     {true, true, false, true, HANDOVER_NONE, 0},
     HANDOVER_RETURN},
    {"interrupted before the successor is ready",
     {true, false, true, true, HANDOVER_PREPARING, 0},
     HANDOVER_SWITCH},
    {"interrupted, may run only once",
     {false, false, true, true, HANDOVER_NONE, 0},
     HANDOVER_SWITCH},
};

TEST(DecideHandover, StepCases)
{
    for (const StepCase &row : step_cases) {
        SCOPED_TRACE(row.name);
        EXPECT_EQ(Handover_Decide(&row.state), row.step);
    }
}

struct LimitsCase {
    const char *name;
    HandoverCall call;   /* stage, expected_us, slo_us, gap_us. */
    int64_t patience_us; /* Time until the caller leaves. */
};

const LimitsCase limits_cases[] = {
    {"events", {HANDOVER_EVENTS, 0, 900 * ms, 300 * ms}, 3600 * ms},
    {"long gaps", {HANDOVER_EVENTS, 0, 100 * ms, 500 * ms}, 4000 * ms},
    {"short objective", {HANDOVER_EVENTS, 0, 50 * ms, 20 * ms}, 2000 * ms},
    {"no event", {HANDOVER_NO_EVENT, 250 * ms, 900 * ms, 300 * ms}, 3600 * ms},
    {"prefill", {HANDOVER_PREFILL, 100 * ms, 900 * ms, 300 * ms}, 3600 * ms},
};

/* A worker that is silent for a second and a half is no reason to read a
   prompt again, and a caller must not leave before its successor is ready. */
TEST(DecideHandover, StreamsGetASuccessorBeforeTheirCallersLeave)
{
    for (const LimitsCase &row : limits_cases) {
        SCOPED_TRACE(row.name);
        HandoverLimits limits = Handover_GetLimits(&row.call);
        EXPECT_GE(limits.prepare_us, row.patience_us / 2);
        EXPECT_LE(limits.prepare_us, row.patience_us - 500 * ms);
        EXPECT_LT(limits.quiet_us, limits.prepare_us);
    }
}

TEST(DecideHandover, PlainCallsAreRepeatedSoonAfterTheirObjective)
{
    HandoverCall call = {HANDOVER_PLAIN, 0, 200 * ms, 0};
    EXPECT_EQ(Handover_GetLimits(&call).prepare_us, 220 * ms);
    call.slo_us = 10 * ms;
    EXPECT_EQ(Handover_GetLimits(&call).prepare_us, 60 * ms);
}

} // namespace
