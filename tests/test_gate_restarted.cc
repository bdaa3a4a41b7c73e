/* Tests that a stream goes on at the software version that began it while
   workers start again, at another version, under the identifier that they had.
 */
#include "resumed_stream.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000};
/* Starts of a worker, Unix milliseconds. */
const int64_t earlier_ms = 1000;
const int64_t later_ms = 2000;

class RestartRig : public GateRig {
  public:
    RestartRig()
    {
        lease_max_ms = 0;
        SetRoute(resumable, true);
        born_ms = earlier_ms;
    }

    /* Adds a decode worker whose entry tells of its earlier start. */
    Worker *
    AddDecode(const char *software, std::vector<ScriptedReply> replies)
    {
        version = software;
        return AddWorker(replies, FLEET_PHASE_DECODE);
    }

    /* Writes the entry of the worker that was added last. */
    void
    SetEntry(const char *software, int64_t born, Pos position)
    {
        FleetEntry entry = last_worker->entry;
        g_strlcpy(entry.version, software, sizeof(entry.version));
        entry.born_ms = born;
        entry.position = position;
        Fleet_SetEntry(Edge_GetFleet(edge), &entry, Clk_Now(&clk));
    }
};

struct EntryCase {
    const char *name;
    Pos known;
    int64_t known_born;
    Pos position;
    int64_t born;
    bool is_taken;
};

/* The source may return from a copy that is older than a worker's start. */
const EntryCase entry_cases[] = {
    {"copy of before the start", {3, 20}, later_ms, {4, 5}, earlier_ms, false},
    {"copy of the same start", {3, 20}, later_ms, {4, 5}, later_ms, true},
    {"entry of a later start", {3, 20}, earlier_ms, {4, 5}, later_ms, true},
    {"start at a clock that went back",
     {4, 5},
     later_ms,
     {4, 9},
     earlier_ms,
     true},
    {"start that is not told", {3, 20}, later_ms, {4, 5}, 0, true},
};

TEST(RestartedWorker, EntryOfAnEarlierStartIsNotTaken)
{
    for (const EntryCase &row : entry_cases) {
        SCOPED_TRACE(row.name);
        RestartRig rig;
        rig.AddDecode("v2", {});
        rig.SetEntry("v1", row.known_born, row.known);
        rig.SetEntry("v2", row.born, row.position);
        EXPECT_EQ(rig.last_worker->entry.born_ms,
                  row.is_taken ? row.born : row.known_born);
        EXPECT_STREQ(rig.last_worker->entry.version,
                     row.is_taken ? "v2" : "v1");
        rig.SetEntry("v1", later_ms, {4, 30});
        EXPECT_EQ(rig.last_worker->entry.born_ms, later_ms);
        EXPECT_EQ(rig.last_worker->entry.position.era, 4u);
    }
}

struct RewriteCase {
    const char *name;
    Pos position; /* Of the second entry of the earlier start. */
    int64_t born;
    bool is_taken;
};

const RewriteCase rewrite_cases[] = {
    {"read once more", {4, 5}, earlier_ms, false},
    {"another earlier start", {4, 9}, earlier_ms - 1, false},
    {"written again", {4, 9}, earlier_ms, true},
    {"read in an era after that", {5, 9}, earlier_ms, false},
};

/* The source returns from a copy, and meanwhile the worker has started again
   at a clock that went back: only a process that runs writes its entry. */
TEST(RestartedWorker, EntryOfAnEarlierStartIsTakenOnceWrittenAgain)
{
    for (const RewriteCase &row : rewrite_cases) {
        SCOPED_TRACE(row.name);
        RestartRig rig;
        rig.AddDecode("v1", {});
        rig.SetEntry("v1", later_ms, {3, 20});
        rig.SetEntry("v2", earlier_ms, {4, 5});
        EXPECT_EQ(rig.last_worker->entry.born_ms, later_ms);
        rig.SetEntry("v2", row.born, row.position);
        EXPECT_EQ(rig.last_worker->entry.born_ms,
                  row.is_taken ? row.born : later_ms);
        EXPECT_STREQ(rig.last_worker->entry.version,
                     row.is_taken ? "v2" : "v1");
    }
}

/* A stream has lost its worker. The entry of another one is of the same
   version, but that has started again at another one since. */
TEST(RestartedWorker, StreamGoesOnAtTheStartOfTheEntryOnly)
{
    for (bool has_same_version : {false, true}) {
        SCOPED_TRACE(has_same_version);
        RestartRig rig;
        Worker *first = rig.AddDecode("v1", {{Begun(3)}});
        Caller *caller = rig.Call(Prompt("id-1"));
        ASSERT_TRUE(rig.Until([&] {
            return caller->text.find("id: 2\n") != std::string::npos;
        }));
        Worker *restarted = rig.AddDecode("v1", {Stream(3, 9), Stream(3, 9)});
        restarted->born_ms = later_ms;
        Worker *same = nullptr;
        if (has_same_version) {
            same = rig.AddDecode("v1", {Stream(3, 9)});
            rig.last_worker->inflight += 4; /* It costs more. */
        }
        first->Crash();
        rig.RunFor(1500);
        EXPECT_TRUE(restarted->requests.empty());
        EXPECT_GT(restarted->states, 0);
        if (same != nullptr) {
            EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
        }
        else {
            EXPECT_FALSE(caller->IsComplete());
        }
    }
}

/* A stream that begins at a worker which has started again would be recorded
   under the version of the start before. */
TEST(RestartedWorker, StreamBeginsOnceTheEntryTellsTheStart)
{
    RestartRig rig;
    Worker *restarted = rig.AddDecode("v1", {{Begun(3)}, Stream(3, 9)});
    restarted->born_ms = later_ms;
    Caller *caller = rig.Call(Prompt("id-1"));
    rig.RunFor(100);
    EXPECT_TRUE(restarted->requests.empty());
    rig.SetEntry("v2", later_ms, {0, 50});
    ASSERT_TRUE(rig.Until(
        [&] { return caller->text.find("id: 2\n") != std::string::npos; }));
    Worker *older = rig.AddDecode("v1", {Stream(3, 9)});
    caller->Disconnect();
    rig.RunFor(50);
    Caller *again = rig.Call(Resumption("id-1"));
    ASSERT_TRUE(rig.UntilEnd(again));
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_EQ(restarted->requests.size(), 2u);
    EXPECT_TRUE(older->requests.empty());
}

/* All VMs were killed at once, and the worker that keeps the prompt is not the
   one that its entry tells of. */
TEST(RestartedWorker, PromptsOfAnotherStartDontTellTheVersion)
{
    for (int64_t born : {earlier_ms, later_ms}) {
        SCOPED_TRACE(born);
        RestartRig rig;
        Worker *kept = rig.AddDecode("v1", {Stream(3, 9)});
        kept->kept_parts = {"b1"};
        kept->born_ms = born;
        Worker *same = rig.AddDecode("v1", {Stream(3, 9)});
        Worker *newer = rig.AddDecode("v2", {Stream(3, 9)});
        Caller *again = rig.Call(Resumption("id-1"));
        ASSERT_TRUE(rig.UntilEnd(again));
        EXPECT_EQ(again->Status(), born == earlier_ms ? 200 : 503)
            << again->text;
        EXPECT_TRUE(same->requests.empty());
        EXPECT_TRUE(newer->requests.empty());
    }
}

struct StateCase {
    const char *name;
    int64_t born_ms; /* That the worker tells; 0: none. */
    int states;      /* Questions for two streams, one after the other. */
};

const StateCase state_cases[] = {
    {"a connection is asked for its start once", earlier_ms, 1},
    {"a worker that tells no start is not asked again", 0, 1},
};

TEST(RestartedWorker, ConnectionIsAskedOnce)
{
    for (const StateCase &row : state_cases) {
        SCOPED_TRACE(row.name);
        RestartRig rig;
        Worker *worker = rig.AddDecode("v1", {Stream(0, 9), Stream(0, 9)});
        worker->born_ms = row.born_ms;
        for (const char *id : {"id-1", "id-2"}) {
            Caller *caller = rig.Call(Prompt(id));
            ASSERT_TRUE(rig.UntilEnd(caller));
            EXPECT_EQ(caller->DechunkedBody(), Events(0, 9)) << caller->text;
        }
        EXPECT_EQ(worker->states, row.states);
        EXPECT_EQ(worker->requests.size(), 2u);
    }
}

/* A reservation at the worker that has started again is given back. */
TEST(RestartedWorker, ReservationIsGivenBack)
{
    RestartRig rig;
    rig.lease_max_ms = 2000;
    rig.SetRoute(resumable, true, 2);
    Worker *restarted = rig.AddDecode("v1", {Refusal()});
    restarted->born_ms = later_ms;
    Worker *other = rig.AddDecode("v1", {Stream(0, 9)});
    rig.last_worker->inflight += 4;
    Caller *caller = rig.Call(Prompt("id-1"));
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9)) << caller->text;
    ASSERT_EQ(restarted->requests.size(), 1u);
    EXPECT_EQ(restarted->requests[0].find("DELETE /v1/hold-drop/L1 "), 0u);
    EXPECT_EQ(other->requests.size(), 1u);
}

/* A worker starts again between its reservation and the run of a stream that
   has begun at the version of its start before. */
TEST(RestartedWorker, ReservationOfAnEarlierStartIsNotUsed)
{
    RestartRig rig;
    rig.lease_max_ms = 2000;
    rig.SetRoute(resumable, true, 2);
    Worker *first = rig.AddDecode("v1", {{Begun(3)}});
    Caller *caller = rig.Call(Prompt("id-1"));
    ASSERT_TRUE(rig.Until(
        [&] { return caller->text.find("id: 2\n") != std::string::npos; }));
    Worker *restarted = rig.AddDecode("v1", {Stream(3, 9)});
    restarted->holds_reservations = true;
    first->Crash();
    ASSERT_TRUE(rig.Until([&] { return !restarted->reservation.empty(); }));
    restarted->born_ms = later_ms;
    rig.SetEntry("v2", later_ms, {0, 50});
    restarted->GrantReservations();
    rig.RunFor(300);
    EXPECT_TRUE(restarted->requests.empty());
    EXPECT_FALSE(caller->IsComplete());
    Worker *same = rig.AddDecode("v1", {Stream(3, 9)});
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    EXPECT_EQ(same->requests.size(), 1u);
}

/* The connection on which a run was refused carries it no more: the worker is
   asked on another one. */
TEST(RestartedWorker, RefusedRunIsSentAgainOnAnotherConnection)
{
    RestartRig rig;
    Worker *worker = rig.AddDecode("v1", {Refusal(), Stream(0, 9)});
    Caller *caller = rig.Call(Prompt("id-1"));
    rig.RunFor(300);
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9)) << caller->text;
    EXPECT_EQ(worker->requests.size(), 2u);
    EXPECT_EQ(worker->states, 2);
}

struct OddStateCase {
    const char *name;
    const char *body;
    size_t runs;
};

const OddStateCase odd_state_cases[] = {
    {"late answer to a reservation", "{\"hold\":\"L1\"}", 0},
    {"no JSON", "{", 0},
    {"a state without a start", "{\"phase\":\"decode\"}", 1},
};

/* A worker that tells no start gets streams as before; an answer to another
   question does not show that it tells none. */
TEST(RestartedWorker, OddAnswerIsNoState)
{
    for (const OddStateCase &row : odd_state_cases) {
        SCOPED_TRACE(row.name);
        RestartRig rig;
        Worker *worker = rig.AddDecode("v1", {Stream(0, 9)});
        worker->state_body = row.body;
        rig.Call(Prompt("id-1"));
        rig.RunFor(300);
        EXPECT_EQ(worker->requests.size(), row.runs);
    }
}

struct NoStartCase {
    const char *name;
    bool has_told_before;
    const char *body; /* Of the answer without a start; "": a 404. */
    bool tells_later; /* The process that follows tells its start. */
};

const NoStartCase no_start_cases[] = {
    {"state without a start, told before", true, "{\"phase\":\"decode\"}",
     false},
    {"404, told before", true, "", false},
    {"state without a start, told later", false, "{\"phase\":\"decode\"}",
     true},
    {"404, told later", false, "", true},
};

/* An answer without a start says nothing about the process on another
   connection: the worker starts again, at another version. */
TEST(RestartedWorker, AnswerWithoutAStartDoesNotEndTheChecks)
{
    for (const NoStartCase &row : no_start_cases) {
        SCOPED_TRACE(row.name);
        RestartRig rig;
        Worker *worker =
            rig.AddDecode("v1", {Stream(0, 9), Stream(3, 9), Stream(3, 9)});
        worker->born_ms = row.has_told_before ? earlier_ms : 0;
        worker->state_body = row.has_told_before ? "" : row.body;
        Caller *before = rig.Call(Prompt("id-1"));
        ASSERT_TRUE(rig.UntilEnd(before));
        EXPECT_EQ(before->DechunkedBody(), Events(0, 9));
        worker->Crash();
        worker->Restart();
        worker->born_ms = row.tells_later ? later_ms : 0;
        worker->state_body = row.tells_later ? "" : row.body;
        Worker *first = rig.AddDecode("v1", {{Begun(3)}});
        rig.last_worker->slowness = 0.5;
        Fleet_Find(Edge_GetFleet(rig.edge), "w-1")->inflight += 4;
        Caller *caller = rig.Call(Prompt("id-2"));
        ASSERT_TRUE(rig.Until([&] {
            return caller->text.find("id: 2\n") != std::string::npos;
        }));
        first->Crash();
        rig.RunFor(1500);
        EXPECT_EQ(worker->requests.size(), 1u);
        EXPECT_FALSE(caller->IsComplete());
    }
}

/* One version was in service for long, as far as this VM knows; then a worker
   tells a start that no entry tells of. */
TEST(RestartedWorker, OnlyVersionIsUncertainAfterAnUnknownStart)
{
    for (bool has_unknown : {false, true}) {
        SCOPED_TRACE(has_unknown);
        RestartRig rig;
        Feed_BeginSweep(Edge_GetFeed(rig.edge), 0);
        rig.AddDecode("v1", {Stream(3, 9), Stream(3, 9)});
        Feed_EndSweep(Edge_GetFeed(rig.edge));
        rig.RunFor(25000);
        rig.last_worker->inflight += 4; /* It costs more. */
        if (has_unknown) {
            Worker *restarted = rig.AddDecode("v1", {});
            restarted->born_ms = later_ms;
            Caller *caller = rig.Call(Prompt("id-2"));
            ASSERT_TRUE(rig.Until([&] { return restarted->states > 0; }));
            caller->Disconnect();
            rig.RunFor(50);
        }
        Caller *again = rig.Call(Resumption("id-1"));
        ASSERT_TRUE(rig.UntilEnd(again));
        EXPECT_EQ(again->Status(), has_unknown ? 503 : 200) << again->text;
    }
}

/* The worker closes each connection with its first answer. */
TEST(RestartedWorker, WorkerThatKeepsNoConnectionGetsNoStream)
{
    RestartRig rig;
    Worker *closing = rig.AddDecode("v1", {Stream(0, 9)});
    closing->closes_after_answer = true;
    Worker *other = rig.AddDecode("v1", {Stream(0, 9)});
    rig.last_worker->inflight += 4;
    Caller *caller = rig.Call(Prompt("id-1"));
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9)) << caller->text;
    EXPECT_TRUE(closing->requests.empty());
    EXPECT_LE(closing->states, 3);
    EXPECT_EQ(other->requests.size(), 1u);
}

} // namespace
