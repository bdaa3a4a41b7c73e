/* Tests of workers that fall silent for a moment and go on: a call at such a
   worker is given up only once another worker has taken the request over. */
#include "gate_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 2, true};
const char stream_end[] = "0\r\n\r\n";

/* A stream that falls silent after the events 0 to 2. */
ScriptedReply
SilentStream()
{
    return {StreamHead("Transfer-Encoding: chunked\r\n") +
            Chunk(Events(0, 2))};
}

std::string
Prompt()
{
    return Request("POST", "X-Token-Usage: 1000,100\r\n");
}

void
RunFor(GateRig *rig, int ms)
{
    int64_t end_us = Clk_Now(&rig->clk) + ms * CLK_US_PER_MS;
    rig->Until([&] { return Clk_Now(&rig->clk) >= end_us; });
}

/* What keeps the only other worker from taking the stream over. */
struct SuccessorCase {
    const char *name;
    bool has_other;
    int refusals; /* Reservations that it refuses. */
    bool is_silent;
    bool has_budget;
};

const SuccessorCase successor_cases[] = {
    {"there is no other worker", false, 0, false, true},
    {"the other worker is full", true, 1000000, false, true},
    {"the other worker is silent, too", true, 0, true, true},
    {"the retry budget is spent", true, 0, false, false},
};

TEST(GateSilence, BegunStreamIsNotBrokenOffWhileNoWorkerTakesItOver)
{
    for (const SuccessorCase &row : successor_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        Worker *silent = rig.AddWorker({SilentStream()}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
        Worker *other = nullptr;
        if (row.has_other) {
            other = rig.AddWorker({}, FLEET_PHASE_DECODE);
            other->refusals = row.refusals;
            other->is_silent = row.is_silent;
        }
        if (!row.has_budget) {
            BudgetOptions budget = Budget_DefaultOptions();
            budget.ratio = 0;
            budget.slack = 0;
            Edge_SetBudget(rig.edge, &budget);
        }
        /* Longer than callers wait for an event. */
        RunFor(&rig, 3600);
        EXPECT_EQ(silent->closed, 0);
        silent->SendToAll(Chunk(Events(3, 9)) + stream_end);
        ASSERT_TRUE(
            rig.Until([&] { return caller->IsComplete() || caller->closed; }));
        EXPECT_TRUE(caller->IsComplete());
        EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    }
}

} // namespace
