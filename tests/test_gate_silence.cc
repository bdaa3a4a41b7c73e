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
        rig.RunFor(3600);
        EXPECT_EQ(silent->closed, 0);
        silent->SendToAll(Chunk(Events(3, 9)) + stream_end);
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_TRUE(caller->IsComplete());
        EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    }
}

/* One stream waits for its turn, as when its memory was taken, while another
   one at the same worker goes on. */
TEST(GateSilence, WorkerThatAnswersOtherCallsIsNotBlocked)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *worker =
        rig.AddWorker({SilentStream(), SilentStream()}, FLEET_PHASE_DECODE);
    FleetWorker *row = rig.last_worker;
    Caller *first = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !first->text.empty(); }));
    Caller *second = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !second->text.empty(); }));
    for (int i = 3; i < 13; i++) {
        worker->SendToLast(Chunk(Events(i, i)));
        rig.RunFor(150);
        EXPECT_FALSE(Health_IsBlocked(&row->health, Clk_Now(&rig.clk))) << i;
    }
}

/* What keeps a stream whose worker broke off from going on for a while. */
struct ShortageCase {
    const char *name;
    bool has_other;
    int refusals;
    bool has_budget;
};

const ShortageCase shortage_cases[] = {
    {"there is no other worker", false, 0, true},
    {"the other worker is full", true, 1000000, true},
    {"the retry budget is spent", true, 0, false},
};

/* A caller waits for its next event for 3.6 s with the usual objectives. */
TEST(GateSilence, BegunStreamWaitsForAWorkerAsLongAsItsCaller)
{
    for (const ShortageCase &row : shortage_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        BudgetOptions budget = Budget_DefaultOptions();
        Route route = resumable;
        route.timeout_ms = 15000;
        rig.SetRoute(route, true);
        Worker *first = rig.AddWorker({SilentStream()}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
        Worker *other = row.has_other
                            ? rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE)
                            : nullptr;
        if (other != nullptr) {
            other->refusals = row.refusals;
        }
        if (!row.has_budget) {
            budget.ratio = 0;
            budget.slack = 0;
            Edge_SetBudget(rig.edge, &budget);
        }
        first->CloseAll();
        rig.RunFor(3200);
        EXPECT_FALSE(caller->closed);
        if (other == nullptr) {
            other = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
        }
        other->refusals = 0;
        budget.ratio = 50;
        Edge_SetBudget(rig.edge, &budget);
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    }
}

/* Events that a stream has brought before it falls silent. */
const int begun_events[] = {0, 3};

std::string
BeginStream(int events)
{
    return StreamHead("Transfer-Encoding: chunked\r\n") +
           (events > 0 ? Chunk(Events(0, events - 1)) : "");
}

TEST(GateSilence, StreamOfALostWorkerIsTakenOver)
{
    for (int events : begun_events) {
        SCOPED_TRACE(events);
        GateRig rig;
        rig.SetRoute(resumable, true);
        Worker *silent =
            rig.AddWorker({{BeginStream(events)}}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.Until([&] { return !silent->requests.empty(); }));
        Worker *other = rig.AddWorker({Stream(events, 9)}, FLEET_PHASE_DECODE);
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
        EXPECT_EQ(other->requests.size(), 1u);
        ASSERT_TRUE(rig.Until([&] { return silent->closed == 1; }));
    }
}

/* The silent worker goes on while another one reads the prompt again. */
TEST(GateSilence, StreamThatGoesOnKeepsItsWorker)
{
    for (int events : begun_events) {
        SCOPED_TRACE(events);
        GateRig rig;
        rig.SetRoute(resumable, true);
        Worker *silent =
            rig.AddWorker({{BeginStream(events)}}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.Until([&] { return !silent->requests.empty(); }));
        Worker *other = rig.AddWorker({Stream(events, 9)}, FLEET_PHASE_DECODE);
        Worker *prefill =
            rig.AddWorker({{"", ScriptedReply::KEEP}}, FLEET_PHASE_PREFILL);
        ASSERT_TRUE(rig.Until([&] { return !prefill->requests.empty(); }));
        EXPECT_EQ(silent->closed, 0);
        silent->SendToAll(Chunk(Events(events, 9)) + stream_end);
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
        /* The reservation is given back, the prefill is cancelled. */
        ASSERT_TRUE(rig.Until(
            [&] { return !other->requests.empty() && prefill->closed == 1; }));
        ASSERT_EQ(other->requests.size(), 1u);
        EXPECT_EQ(other->requests[0].find("DELETE /v1/hold-drop/L1"), 0u);
        EXPECT_EQ(Forecast_GetPeak(&rig.last_worker->kv), 0u);
        EXPECT_EQ(rig.last_worker->inflight, 0u);
    }
}

/* Both calls end badly, in either order: the caller's stream is broken off,
   and nothing is left behind at the workers. */
TEST(GateSilence, SilentWorkerBreaksWhileItsSuccessorIsPrepared)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *silent = rig.AddWorker({SilentStream()}, FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
    Worker *other = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    Worker *prefill =
        rig.AddWorker({{"", ScriptedReply::KEEP}}, FLEET_PHASE_PREFILL);
    ASSERT_TRUE(rig.Until([&] { return !prefill->requests.empty(); }));
    silent->CloseAll();
    rig.RunFor(50);
    EXPECT_FALSE(caller->closed);
    prefill->CloseAll();
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    EXPECT_EQ(other->requests.size(), 1u);
}

/* A successor that refuses the run, although it has reserved memory. */
TEST(GateSilence, RefusedSuccessorLeavesTheSilentCallOpen)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *silent = rig.AddWorker({SilentStream()}, FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
    Worker *other = rig.AddWorker({}, FLEET_PHASE_DECODE);
    ASSERT_TRUE(rig.Until([&] { return !other->requests.empty(); }));
    rig.RunFor(100);
    EXPECT_EQ(silent->closed, 0);
    silent->SendToAll(Chunk(Events(3, 9)) + stream_end);
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
}

/* What the only other worker does with a plain call that is repeated there
   while the first worker is silent. */
struct RepeatCase {
    const char *name;
    bool has_queue; /* Calls already wait there, longer than the objective. */
    ScriptedReply reply;
};

const RepeatCase repeat_cases[] = {
    {"its queue is too long", true, Ok("other")},
    {"it refuses", false, Refusal()},
    {"it breaks off", false, {"", ScriptedReply::RESET}},
    {"it is silent, too", false, {"", ScriptedReply::KEEP}},
};

TEST(GateSilence, PlainCallIsNotGivenUpBeforeAnotherWorkerAnswers)
{
    for (const RepeatCase &row : repeat_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        Route route;
        route.slo_ms = 200;
        rig.SetRoute(route);
        Worker *silent = rig.AddWorker({{"", ScriptedReply::KEEP}});
        Caller *caller = rig.Call(Request());
        ASSERT_TRUE(rig.Until([&] { return !silent->requests.empty(); }));
        rig.AddWorker({row.reply});
        if (row.has_queue) {
            rig.last_worker->peer_inflight = 500;
            rig.last_worker->service_us = 30000;
        }
        rig.RunFor(600);
        EXPECT_EQ(silent->closed, 0);
        std::string answer = Ok("first").bytes;
        answer.replace(answer.find("%ID"), 3, "id-1");
        silent->SendToAll(answer);
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->Status(), 200);
        EXPECT_EQ(caller->Body(), "first");
    }
}

TEST(GateSilence, PlainCallOfALostWorkerIsAnsweredByAnother)
{
    GateRig rig;
    Route route;
    route.slo_ms = 200;
    rig.SetRoute(route);
    Worker *silent = rig.AddWorker({{"", ScriptedReply::KEEP}});
    Caller *caller = rig.Call(Request());
    ASSERT_TRUE(rig.Until([&] { return !silent->requests.empty(); }));
    rig.AddWorker({Ok("other")});
    ASSERT_TRUE(rig.Until([&] { return caller->IsComplete(); }));
    EXPECT_EQ(caller->Body(), "other");
    ASSERT_TRUE(rig.Until([&] { return silent->closed == 1; }));
}

TEST(GateSilence, PlainCallThatMayRunOnceStaysAtItsWorker)
{
    GateRig rig;
    Route route;
    route.kind = RTE_NON_IDEMPOTENT;
    route.slo_ms = 200;
    rig.SetRoute(route);
    Worker *silent = rig.AddWorker({{"", ScriptedReply::KEEP}});
    Caller *caller = rig.Call(Request());
    ASSERT_TRUE(rig.Until([&] { return !silent->requests.empty(); }));
    Worker *other = rig.AddWorker({Ok("other")});
    rig.RunFor(600);
    std::string answer = Ok("first").bytes;
    answer.replace(answer.find("%ID"), 3, "id-1");
    silent->SendToAll(answer);
    ASSERT_TRUE(rig.Until([&] { return caller->IsComplete(); }));
    EXPECT_EQ(caller->Body(), "first");
    EXPECT_TRUE(other->requests.empty());
}

/* The caller leaves, or its time ends, while both calls are open. */
TEST(GateSilence, EndOfTheRequestEndsBothCalls)
{
    for (bool leaves : {true, false}) {
        SCOPED_TRACE(leaves);
        GateRig rig;
        Route route = resumable;
        route.timeout_ms = 3000;
        rig.SetRoute(route, true);
        Worker *silent = rig.AddWorker({SilentStream()}, FLEET_PHASE_DECODE);
        FleetWorker *row = Fleet_Ref(rig.last_worker);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
        rig.AddWorker({}, FLEET_PHASE_DECODE);
        Worker *prefill =
            rig.AddWorker({{"", ScriptedReply::KEEP}}, FLEET_PHASE_PREFILL);
        ASSERT_TRUE(rig.Until([&] { return !prefill->requests.empty(); }));
        if (leaves) {
            caller->Disconnect();
        }
        ASSERT_TRUE(rig.Until(
            [&] { return silent->closed == 1 && prefill->closed == 1; }));
        EXPECT_EQ(row->inflight, 0u);
        EXPECT_EQ(Forecast_GetPeak(&row->kv), 0u);
        Fleet_Unref(row);
    }
}

} // namespace
