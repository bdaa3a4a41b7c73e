/* Tests of the order of a stream's events: IDs in steps, data without an ID,
   and runs that don't follow what the caller has. */
#include "gate_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 2, true};
const Route at_most_once = {RTE_STREAM, 1, false};

std::string
Prompt(const std::string &more = "")
{
    return Request("POST", "X-Token-Usage: 1000,100\r\n" + more);
}

/* Events with these IDs; a negative one is data without an ID. */
std::string
Ids(const std::vector<int> &ids)
{
    std::string text;
    for (int id : ids) {
        text +=
            id < 0 ? "data: u" + std::to_string(-id) + "\n\n" : Events(id, id);
    }
    return text;
}

ScriptedReply
RunOf(const std::string &events, ScriptedReply::End end = ScriptedReply::KEEP)
{
    return {StreamHead("Transfer-Encoding: chunked\r\n") + Chunk(events) +
                (end == ScriptedReply::KEEP ? "0\r\n\r\n" : ""),
            end};
}

struct RunCase {
    const char *name;
    std::string events;
    bool is_whole;        /* The caller gets them as a complete stream, */
    std::string received; /* and these. */
};

/* One run on one connection. */
const RunCase run_cases[] = {
    {"steps of one", Ids({0, 1, 2, 3}), true, Ids({0, 1, 2, 3})},
    {"steps of four", Ids({3, 7, 11}), true, Ids({3, 7, 11})},
    {"uneven steps", Ids({0, 4, 5, 16}), true, Ids({0, 4, 5, 16})},
    {"numbers from 1", Ids({1, 2, 3}), true, Ids({1, 2, 3})},
    {"a version line at an event",
     Ids({0}) + "x-weight-versions: 2\n" + Ids({1, 2}), true,
     Ids({0}) + "x-weight-versions: 2\n" + Ids({1, 2})},
    {"the last event again", Ids({0, 1, 1, 2}), true, Ids({0, 1, 2})},
    {"other data under the last ID", Ids({0, 1}) + "id: 1\ndata: x\n\n", false,
     Ids({0, 1})},
    {"an ID that falls", Ids({0, 1, 2, 1, 3}), false, Ids({0, 1, 2})},
    {"the stream anew", Ids({0, 1, 2, 0, 1, 2, 3}), false, Ids({0, 1, 2})},
    {"data without an ID", Ids({0, -1, 1, -2}), true, Ids({0, -1, 1, -2})},
    {"no ID at all", Ids({-1, -2}), true, Ids({-1, -2})},
    {"an empty ID", Ids({0, 1}) + "id: \ndata: x\n\n" + Ids({2}), false,
     Ids({0, 1})},
    {"an ID that is no number", Ids({5}) + "id: a1\ndata: x\n\n", false,
     Ids({5})},
    {"a negative ID", Ids({5}) + "id: -6\ndata: x\n\n", false, Ids({5})},
    {"a number with more behind it", Ids({5}) + "id: 9id: 6\ndata: x\n\n",
     false, Ids({5})},
    {"an ID with CR LF", Ids({5}) + "id:6\r\ndata: x\r\n\r\n", true,
     Ids({5}) + "id:6\r\ndata: x\r\n\r\n"},
};

TEST(GateEventOrder, EventsOfOneRun)
{
    for (const RunCase &row : run_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(at_most_once, true);
        rig.AddWorker({RunOf(row.events)}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->IsComplete(), row.is_whole);
        EXPECT_EQ(caller->DechunkedBody(), row.received);
    }
}

struct JoinCase {
    const char *name;
    std::string first; /* Events before the break. */
    std::string next;  /* Of the run that goes on. */
    bool is_joined;    /* The caller gets a complete stream, of these: */
    std::string received;
};

const JoinCase join_cases[] = {
    {"the next ID", Ids({0, 1, 2}), Ids({3, 4}), true, Ids({0, 1, 2, 3, 4})},
    {"a gap after steps of one", Ids({0, 1, 2}), Ids({4, 5}), false, ""},
    {"the step of all events so far", Ids({3, 7, 11}), Ids({15, 19}), true,
     Ids({3, 7, 11, 15, 19})},
    {"two of these steps", Ids({3, 7, 11}), Ids({19, 23}), false, ""},
    {"one step seen", Ids({3, 7}), Ids({11, 15}), false, ""},
    {"uneven steps", Ids({0, 4, 5, 9}), Ids({13, 14}), false, ""},
    {"the next ID after uneven steps", Ids({0, 4, 9}), Ids({10, 13}), true,
     Ids({0, 4, 9, 10, 13})},
    {"it repeats the last event", Ids({0, 4, 9}), Ids({9, 13}), true,
     Ids({0, 4, 9, 13})},
    {"it begins anew", Ids({0, 1, 2}), Ids({0, 1, 2, 3}), true,
     Ids({0, 1, 2, 3})},
    {"it begins anew with another text", Ids({0, 1}),
     "id: 0\ndata: x\n\nid: 1\ndata: y\n\n" + Ids({2}), false, ""},
    {"it repeats events, but not the last one", Ids({0, 1, 2}), Ids({1, 3}),
     false, ""},
    {"its IDs fall", Ids({0, 1, 2}), Ids({1, 0, 2, 3}), false, ""},
    {"data without an ID before the break", Ids({0, 1, -1}), Ids({2, 3}),
     false, ""},
    {"data without an ID, then an ID", Ids({0, -1, 1}), Ids({2, -2, 3}), true,
     Ids({0, -1, 1, 2, -2, 3})},
    {"it begins without an ID", Ids({0, 1}), Ids({-1, 2}), false, ""},
    {"data without an ID after the last event", Ids({0, 1}), Ids({1, -1, 2}),
     true, Ids({0, 1, -1, 2})},
    {"no ID at all", Ids({-1}), Ids({-1, -2}), false, ""},
    {"a comment", Ids({0, 1}) + ": on\n\n", ": on\n\n" + Ids({2}), true,
     Ids({0, 1}) + ": on\n\n: on\n\n" + Ids({2})},
};

/* The first run is broken off, and another worker goes on. */
TEST(GateEventOrder, EventsOfTwoRuns)
{
    for (const JoinCase &row : join_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        auto script = std::make_shared<std::deque<ScriptedReply>>();
        script->push_back(RunOf(row.first, ScriptedReply::CLOSE));
        script->push_back(RunOf(row.next));
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->IsComplete(), row.is_joined);
        EXPECT_EQ(caller->DechunkedBody(),
                  row.is_joined ? row.received : row.first);
    }
}

/* A silent worker sends data without an ID, then goes on. */
TEST(GateEventOrder, DataWithoutAnIdOfASilentWorkerIsKept)
{
    GateRig rig;
    rig.SetRoute({RTE_STREAM, 2, true, 15000, 500}, true);
    Worker *worker = rig.AddWorker(
        {{StreamHead("Transfer-Encoding: chunked\r\n") + Chunk(Ids({0, 1}))}},
        FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
    Worker *other = rig.AddWorker({}, FLEET_PHASE_DECODE);
    other->refusals = 1000000;
    ASSERT_TRUE(rig.Until([&] { return !other->reservation.empty(); }));
    worker->SendToLast(Chunk(Ids({-1})));
    rig.RunFor(20);
    worker->SendToLast(Chunk(Ids({2, 3})) + "0\r\n\r\n");
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_TRUE(caller->IsComplete());
    EXPECT_EQ(caller->DechunkedBody(), Ids({0, 1, -1, 2, 3}));
}

/* IDs may be any numbers: they don't tell how much of a stream is left. */
TEST(GateEventOrder, MadeEventsAreCountedNotTakenFromIds)
{
    GateRig rig;
    rig.SetRoute(at_most_once, true);
    rig.AddWorker({{StreamHead("Transfer-Encoding: chunked\r\n") +
                    Chunk(Ids({1000000, 1000001, 1000002}))}},
                  FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] {
        return caller->text.find("id: 1000002\n") != std::string::npos;
    }));
    Gate_UpdateForecasts(Edge_GetGate(rig.edge));
    EXPECT_LT(Forecast_GetPeak(&rig.last_worker->kv), 2000u);
}

} // namespace
