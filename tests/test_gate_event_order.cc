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

/* Events with these IDs. */
std::string
Ids(const std::vector<int> &ids)
{
    std::string text;
    for (int id : ids) {
        text += Events(id, id);
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
    {"it begins without an ID", Ids({0, 1}), "data: u\n\n" + Ids({2}), false,
     ""},
    {"data without an ID after the last event", Ids({0, 1}),
     Ids({1}) + "data: u\n\n" + Ids({2}), false, ""},
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

struct MalformedCase {
    const char *name;
    std::string event;
};

const std::string data = "data: x\n\n";
/* What parsers take differently, or no worker of the platform writes. */
const MalformedCase malformed_cases[] = {
    {"data without an ID", data},
    {"an ID without data", "id: 6\n\n"},
    {"an empty ID", "id:\n" + data},
    {"a blank ID", "id: \n" + data},
    {"an ID line without a colon", "id\n" + data},
    {"an ID that is no number", "id: a1\n" + data},
    {"a negative ID", "id: -6\n" + data},
    {"an ID with a sign", "id: +6\n" + data},
    {"an ID with zeros before it", "id: 06\n" + data},
    {"two blanks before an ID", "id:  6\n" + data},
    {"a blank behind an ID", "id: 6 \n" + data},
    {"a number with more behind it", "id: 9id: 6\n" + data},
    {"a number, then an empty ID", "id: 6\nid:\n" + data},
    {"a number, then a lower one", "id: 6\nid: 3\n" + data},
    {"the same ID twice", "id: 6\nid: 6\n" + data},
    {"a blank before the name", " id: 6\n" + data},
    {"a byte before the name", "xid: 6\n" + data},
    {"a byte order mark before the name", "\xef\xbb\xbfid: 6\n" + data},
    {"a blank behind the name", "id : 6\n" + data},
    {"upper case", "ID: 6\n" + data},
    {"data in upper case", "id: 6\nDATA: x\n\n"},
    {"data without a colon", "id: 6\ndata\n\n"},
    {"a field of another name", "id: 6\nfoo: 1\n" + data},
    {"a type of event", "id: 6\nevent: error\n" + data},
    {"a time to reconnect", "id: 6\nretry: 0\n" + data},
    {"a line that is no field", "id: 6\nspoilt\n" + data},
    {"a line that is no field alone", "spoilt\n\n"},
    {"a blank line before it", "\nid: 6\n" + data},
    {"a CR that ends an event", "id: 6\ndata: x\r\rid: 7\n" + data},
    {"a CR that ends a line", "id: 6\ndata: x\rid: 9\n\n"},
    {"an ID behind a CR in a comment", ": c\rid: 9\r" + data},
    {"two CR before LF", "id: 6\r\r\n" + data},
    {"a NUL in the data", std::string("id: 6\ndata: x\0y\n\n", 16)},
    {"a NUL in the ID", std::string("id: 6\0\ndata: x\n\n", 16)},
    {"bytes that are no UTF-8", "id: 6\ndata: \xff\xfe\n\n"},
    {"a version that is no number", "x-weight-versions: a\nid: 6\n" + data},
    {"a version behind the ID", "id: 6\nx-weight-versions: 2\n" + data},
    {"two versions",
     "x-weight-versions: 2\nx-weight-versions: 3\nid: 6\n" + data},
    {"a version alone", "x-weight-versions: 2\n\n"},
    {"an ID that leaps", "id: 900000\n" + data},
};

/* Runs with a malformed event amid them, or at their begin. */
TEST(GateEventOrder, MalformedEventIsNeverPassedOn)
{
    for (const MalformedCase &row : malformed_cases) {
        for (bool is_first : {false, true}) {
            if (is_first && row.event.find("900000") != std::string::npos) {
                continue; /* The first ID may be any number. */
            }
            SCOPED_TRACE(std::string(row.name) + (is_first ? ", first" : ""));
            std::string before = is_first ? "" : Ids({4, 5});
            GateRig rig;
            rig.SetRoute(at_most_once, true);
            rig.AddWorker({RunOf(before + row.event + Ids({7}))},
                          FLEET_PHASE_DECODE);
            Caller *caller = rig.Call(Prompt());
            ASSERT_TRUE(rig.UntilEnd(caller));
            if (is_first) {
                EXPECT_EQ(caller->Status(), 502);
            }
            else {
                EXPECT_FALSE(caller->IsComplete());
                EXPECT_EQ(caller->DechunkedBody(), before);
            }
        }
    }
}

/* Where the route allows it, another worker goes on after the last valid
   event. */
TEST(GateEventOrder, StreamGoesOnElsewhereAfterAMalformedEvent)
{
    for (const MalformedCase &row : malformed_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        auto script = std::make_shared<std::deque<ScriptedReply>>();
        script->push_back(RunOf(Ids({4, 5}) + row.event + Ids({7})));
        script->push_back(RunOf(Ids({6, 7})));
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_TRUE(caller->IsComplete());
        EXPECT_EQ(caller->DechunkedBody(), Ids({4, 5, 6, 7}));
    }
}

/* What follows the last event of a stream without an event's end. */
TEST(GateEventOrder, StreamThatEndsWithInvalidBytesIsNotComplete)
{
    for (const char *rest :
         {": c\rid: 9\r", ": \xff\n", "\r", "\rdata: x\r\r"}) {
        SCOPED_TRACE(rest);
        GateRig rig;
        rig.SetRoute(at_most_once, true);
        rig.AddWorker({RunOf(Ids({0, 1}) + rest)}, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_FALSE(caller->IsComplete());
        EXPECT_EQ(caller->DechunkedBody(), Ids({0, 1}));
    }
}

/* The caller may have the false one of two events, so no other run follows. */
TEST(GateEventOrder, NoRunFollowsOneThatContradictsItsLastEvent)
{
    const struct {
        const char *name;
        std::string sent;
        std::string event;
        bool goes_on;
    } rows[] = {
        {"a lower ID after a step of 1", Ids({0, 1, 2}), Ids({1}), true},
        {"a lower ID after a longer step", Ids({0, 1, 9}), Ids({2}), false},
        {"other data", Ids({0, 1, 2}), "id: 2\ndata: x\n\n", false},
    };
    for (const auto &row : rows) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        auto script = std::make_shared<std::deque<ScriptedReply>>();
        script->push_back(RunOf(row.sent + row.event));
        script->push_back(RunOf(Ids({3, 4})));
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->IsComplete(), row.goes_on);
        EXPECT_EQ(caller->DechunkedBody(),
                  row.sent + (row.goes_on ? Ids({3, 4}) : ""));
    }
}

/* A silent worker sends a malformed event. Its successor goes on. */
TEST(GateEventOrder, MalformedEventOfASilentWorkerIsNotPassedOn)
{
    GateRig rig;
    rig.SetRoute({RTE_STREAM, 2, true, 15000, 500}, true);
    Worker *worker = rig.AddWorker(
        {{StreamHead("Transfer-Encoding: chunked\r\n") + Chunk(Ids({0, 1}))}},
        FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
    Worker *other = rig.AddWorker({RunOf(Ids({2, 3}))}, FLEET_PHASE_DECODE);
    other->refusals = 2;
    ASSERT_TRUE(rig.Until([&] { return !other->reservation.empty(); }));
    worker->SendToLast(Chunk(data));
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_TRUE(caller->IsComplete());
    EXPECT_EQ(caller->DechunkedBody(), Ids({0, 1, 2, 3}));
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
