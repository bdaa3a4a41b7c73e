/* Tests that a stream never holds events of two software versions: neither in
   one answer nor when its caller resumes it. */
#include "fleet_rig.h"
#include "resumed_stream.h"

extern "C" {
#include "gate/task.h"
}

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000};

/* How the first worker, of version v1, ends its part of the stream. */
enum Ending { BREAKS, FALLS_SILENT, LEAVES };

struct AnswerCase {
    const char *name;
    Ending ending;
    bool has_same_version; /* A second worker of v1 is there. */
};

const AnswerCase answer_cases[] = {
    {"the worker breaks off, v1 and v2 serve", BREAKS, true},
    {"the worker breaks off, only v2 serves", BREAKS, false},
    {"the worker falls silent, v1 and v2 serve", FALLS_SILENT, true},
    {"the worker falls silent, only v2 serves", FALLS_SILENT, false},
    {"the worker leaves and breaks off, v1 and v2 serve", LEAVES, true},
    {"the worker leaves and breaks off, only v2 serves", LEAVES, false},
};

/* A VM goes on with a stream that it has begun. */
TEST(JoinedStream, SuccessorWithinOneAnswerIsOfTheSameVersion)
{
    for (const AnswerCase &row : answer_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        Worker *first = rig.AddWorker({{Begun(3)}}, FLEET_PHASE_DECODE);
        FleetWorker *first_row = rig.last_worker;
        Caller *caller = rig.Call(Prompt("id-1"));
        ASSERT_TRUE(rig.Until([&] { return !caller->text.empty(); }));
        rig.version = "v2";
        Worker *newer =
            rig.AddWorker({Stream(3, 9), Stream(3, 9)}, FLEET_PHASE_DECODE);
        Worker *same = nullptr;
        if (row.has_same_version) {
            rig.version = "v1";
            same = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
            rig.last_worker->inflight += 4; /* It costs more than `newer`. */
        }
        if (row.ending == LEAVES) {
            first_row->entry.draining = true;
        }
        if (row.ending != FALLS_SILENT) {
            first->CloseAll();
        }
        if (same != nullptr) {
            EXPECT_TRUE(rig.UntilEnd(caller));
            EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
            EXPECT_EQ(same->requests.size(), 1u);
        }
        else {
            rig.RunFor(3000);
            EXPECT_FALSE(caller->IsComplete());
        }
        EXPECT_TRUE(newer->requests.empty());
    }
}

/* Whatever led a run to a worker of another version, its events don't reach
   the caller: neither after those of the version that began the stream, nor as
   the first ones of a resumption that is bound to that version. */
TEST(JoinedStream, RunOfAnotherVersionIsGivenUp)
{
    for (bool is_resumption : {false, true}) {
        SCOPED_TRACE(is_resumption);
        GateRig rig;
        rig.SetRoute({RTE_STREAM, 2, true, 15000}, true);
        Worker *first =
            rig.AddWorker({{Begun(3)}, ScriptedReply{""}, ScriptedReply{""}},
                          FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt("id-1"));
        ASSERT_TRUE(rig.Until([&] {
            return caller->text.find("id: 2\n") != std::string::npos;
        }));
        Worker *next = rig.AddWorker({ScriptedReply{""}}, FLEET_PHASE_DECODE);
        if (is_resumption) {
            caller->Disconnect();
            rig.RunFor(50);
            rig.last_worker->inflight += 4;
            next = first;
            caller = rig.Call(Resumption("id-1"));
        }
        else {
            first->Crash();
        }
        size_t runs = is_resumption ? 2 : 1;
        ASSERT_TRUE(rig.Until([&] { return next->requests.size() == runs; }));
        GateTask *task = LIST_FIRST(&Edge_GetGate(rig.edge)->tasks);
        ASSERT_NE(task, nullptr);
        task->current->version++;
        std::string bytes = Stream(3, 9).bytes;
        std::string id = is_resumption ? "id-1-again" : "id-1";
        bytes.replace(bytes.find("%ID"), 3, id);
        next->SendToLast(bytes);
        rig.RunFor(500);
        EXPECT_EQ(caller->text.find("id: 3\n"), std::string::npos);
        EXPECT_FALSE(caller->Status() == 200 && caller->IsComplete());
    }
}

struct ResumptionCase {
    const char *name;
    bool has_same_version; /* A worker of v1 is still there. */
    int status;            /* Of the answer to the resumption. */
};

const ResumptionCase resumption_cases[] = {
    {"v1 and v2 serve", true, 200},
    {"only v2 serves", false, 503},
};

/* The caller lost its connection and resumes at the same VM. */
TEST(JoinedStream, ResumptionAtTheSameVm)
{
    for (const ResumptionCase &row : resumption_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        rig.AddWorker({{Begun(3)}, Stream(3, 9)}, FLEET_PHASE_DECODE);
        FleetWorker *first_row = rig.last_worker;
        Caller *caller = rig.Call(Prompt("id-1"));
        ASSERT_TRUE(rig.Until([&] {
            return caller->text.find("id: 2\n") != std::string::npos;
        }));
        rig.version = "v2";
        Worker *newer = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
        first_row->inflight += 4;
        caller->Disconnect();
        rig.RunFor(50);
        if (!row.has_same_version) {
            Fleet_RemoveEntry(Edge_GetFleet(rig.edge), "w-1", {0, 100},
                              Clk_Now(&rig.clk) - 60 * CLK_US_PER_S);
        }
        Caller *again = rig.Call(Resumption("id-1"));
        ASSERT_TRUE(rig.UntilEnd(again));
        EXPECT_EQ(again->Status(), row.status) << again->text;
        EXPECT_TRUE(newer->requests.empty());
    }
}

/* The VM that began the stream is gone; another one knows of it. */
TEST(JoinedStream, ResumptionAtAnotherVm)
{
    for (const ResumptionCase &row : resumption_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(resumable, 2, 0);
        rig.versions = {"v1", "v2"};
        rig.AddWorker({{Begun(3)}, Stream(3, 9)});
        rig.RunFor(300);
        Caller *caller = rig.Call(0, Prompt("id-1"));
        rig.RunFor(300);
        ASSERT_NE(caller->text.find("id: 2\n"), std::string::npos);
        rig.AddWorker({Stream(3, 9)});
        caller->Disconnect();
        rig.KillVm(0);
        if (!row.has_same_version) {
            rig.RemoveWorker(0);
        }
        else {
            rig.AddLoad(0, 4);
        }
        Caller *again = rig.Call(1, Resumption("id-1"));
        rig.RunFor(500);
        EXPECT_EQ(again->Status(), row.status) << again->text;
        EXPECT_TRUE(rig.workers[1]->requests.empty());
    }
}

/* The caller goes on at another VM while the one before still relays its
   stream: each connection carries one run, and the run before ends with the
   connection of its caller. */
TEST(JoinedStream, ResumptionWhileTheVmBeforeStillRelays)
{
    FleetRig rig(resumable, 2, 0);
    rig.AddWorker({{Begun(3)}});
    rig.AddWorker({{StreamHead("Transfer-Encoding: chunked\r\n") +
                    Chunk(Events(3, 5))}});
    rig.AddLoad(1, 4);
    rig.RunFor(300);
    Caller *before = rig.Call(0, Prompt("id-1"));
    rig.RunFor(100);
    ASSERT_NE(before->text.find("id: 2\n"), std::string::npos);
    rig.AddLoad(0, 8);
    Caller *again = rig.Call(1, Resumption("id-1"));
    rig.RunFor(100);
    ASSERT_EQ(rig.workers[1]->requests.size(), 1u);
    rig.workers[0]->SendToAll(Chunk(Events(3, 4)));
    rig.RunFor(100);
    EXPECT_EQ(before->DechunkedBody(), Events(0, 4));
    EXPECT_EQ(again->DechunkedBody(), Events(3, 5));
    int closed = rig.workers[0]->closed;
    before->Disconnect();
    rig.RunFor(100);
    EXPECT_GT(rig.workers[0]->closed, closed);
    rig.workers[0]->SendToAll(Chunk(Events(5, 9)) + "0\r\n\r\n");
    rig.workers[1]->SendToLast(Chunk(Events(6, 9)) + "0\r\n\r\n");
    rig.RunFor(100);
    EXPECT_TRUE(again->IsComplete());
    EXPECT_EQ(again->DechunkedBody(), Events(3, 9));
}

struct RestartCase {
    const char *name;
    bool has_v1;                 /* A worker of v1 is still there. */
    std::vector<std::string> v1; /* What it keeps. */
    std::vector<std::string> v2;
    int status;
};

const RestartCase restart_cases[] = {
    {"v1 keeps the prompt", true, {"aa", "b1"}, {"aa"}, 200},
    {"no worker keeps the prompt", true, {"aa"}, {"aa"}, 503},
    {"workers of two versions keep it", true, {"b1"}, {"b1"}, 503},
    {"v1 has left, v2 does not keep it", false, {}, {"aa", "c7"}, 503},
};

/* All VMs were killed at once: those that start know nothing of before. */
TEST(JoinedStream, ResumptionAfterAllVmsWereKilled)
{
    for (const RestartCase &row : restart_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        Worker *older = nullptr;
        if (row.has_v1) {
            older = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
            older->kept_parts = row.v1;
            rig.last_worker->inflight += 4;
        }
        rig.version = "v2";
        Worker *newer = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
        newer->kept_parts = row.v2;
        Caller *again = rig.Call(Resumption("id-1"));
        ASSERT_TRUE(rig.UntilEnd(again));
        EXPECT_EQ(again->Status(), row.status) << again->text;
        EXPECT_TRUE(newer->requests.empty());
        if (row.status == 200) {
            EXPECT_EQ(older->requests.size(), 1u);
        }
        else {
            EXPECT_NE(again->text.find("Retry-After: "), std::string::npos);
        }
    }
}

/* A VM that starts asks the workers before new prompts replace the old ones
   in their memory. */
TEST(JoinedStream, WorkersAreAskedAsTheVmStarts)
{
    GateRig rig;
    Fleet *fleet = Edge_GetFleet(rig.edge);
    rig.SetRoute(resumable, true);
    Feed_BeginSweep(Edge_GetFeed(rig.edge), 0);
    Worker *older = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    older->kept_parts = {"b1"};
    rig.last_worker->inflight += 4;
    rig.version = "v2";
    Worker *newer = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    Feed_EndSweep(Edge_GetFeed(rig.edge));
    ASSERT_TRUE(fleet->complete_us != 0);
    ASSERT_TRUE(
        rig.Until([&] { return older->lists == 1 && newer->lists == 1; }));
    rig.RunFor(50);
    older->kept_parts = {};
    Caller *again = rig.Call(Resumption("id-1"));
    ASSERT_TRUE(rig.UntilEnd(again));
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_TRUE(newer->requests.empty());
    EXPECT_EQ(older->lists, 1);
    EXPECT_EQ(older->changes, 1);
}

/* Worker that tells no changes: it is asked for its list instead. */
TEST(JoinedStream, WorkerThatTellsNoChangesIsAskedForItsList)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *older = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    older->kept_parts = {"b1"};
    older->has_changes = false;
    rig.last_worker->inflight += 4;
    rig.version = "v2";
    Worker *newer = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    Caller *again = rig.Call(Resumption("id-1"));
    ASSERT_TRUE(rig.UntilEnd(again));
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_TRUE(newer->requests.empty());
}

/* A resumption goes to the worker that has read the prompt, and has it read
   nowhere else. */
TEST(JoinedStream, ResumptionGoesToTheWorkerThatHasReadThePrompt)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *prefill = rig.AddWorker({PrefillReply()}, FLEET_PHASE_PREFILL);
    for (int i = 0; i < 3; i++) {
        rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    }
    Worker *reader = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    reader->kept_parts = {"b1"};
    Caller *again = rig.Call(Resumption("id-1"));
    ASSERT_TRUE(rig.UntilEnd(again));
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_EQ(reader->requests.size(), 1u);
    EXPECT_TRUE(prefill->requests.empty());
}

/* Many resumptions ask each worker once. */
TEST(JoinedStream, ResumptionsAtOnceAskEachWorkerOnce)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *worker = rig.AddWorker({}, FLEET_PHASE_DECODE);
    std::vector<Caller *> again;
    for (int i = 0; i < 50; i++) {
        again.push_back(rig.Call(Resumption("id-" + std::to_string(i))));
    }
    for (const Caller *caller : again) {
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->Status(), 503);
    }
    EXPECT_LE(worker->lists + worker->changes, 2);
}

/* Worker that does not answer the question for its prompts. */
TEST(JoinedStream, SilentWorkerDelaysAResumptionByLessThanASecond)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *older = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
    older->kept_parts = {"b1"};
    Worker *silent = rig.AddWorker({}, FLEET_PHASE_DECODE);
    silent->is_silent = true;
    rig.last_worker->inflight += 4;
    int64_t began_us = Clk_Now(&rig.clk);
    Caller *again = rig.Call(Resumption("id-1"));
    ASSERT_TRUE(rig.UntilEnd(again));
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_LT(Clk_Now(&rig.clk) - began_us, CLK_US_PER_S);
}

/* A version counts as in service from its first entry until its last worker
   has left, and only a VM that knew all workers since then can tell. */
TEST(JoinedStream, VersionsInServiceSinceATime)
{
    FleetOptions options = Fleet_DefaultOptions();
    Fleet *fleet = Fleet_New(&options);
    FleetEntry entry = {};
    uint32_t version = 0;
    g_strlcpy(entry.service, "svc", sizeof(entry.service));
    entry.phase = FLEET_PHASE_DECODE;
    auto set = [&](const char *id, const char *name, uint64_t revision,
                   int64_t now_us) {
        g_strlcpy(entry.id, id, sizeof(entry.id));
        g_strlcpy(entry.version, name, sizeof(entry.version));
        entry.position = {0, revision};
        Fleet_SetEntry(fleet, &entry, now_us);
    };
    auto count = [&](int64_t since_us, int64_t now_us) {
        return Fleet_CountVersions(fleet, "svc", since_us, now_us, &version);
    };
    set("a", "v1", 1, 100);
    EXPECT_EQ(count(0, 110), 0u); /* The list is not complete. */
    Fleet_BeginSweep(fleet, 0, 110);
    set("a", "v1", 1, 110);
    Fleet_EndSweep(fleet, 110);
    EXPECT_EQ(count(100, 120), 0u);
    EXPECT_EQ(count(110, 120), 1u);
    uint32_t first = version;
    set("b", "v2", 2, 200);
    EXPECT_EQ(count(110, 210), 2u);
    Fleet_RemoveEntry(fleet, "a", {0, 3}, 300);
    EXPECT_EQ(count(300, 400), 2u);
    EXPECT_EQ(count(301, 400), 1u);
    EXPECT_NE(version, first);
    EXPECT_FALSE(
        Fleet_HasVersion(fleet, "svc", first, 300 + FLEET_REMOVED_GRACE_US));
    set("b", "v3", 4, 500); /* It starts again at another version. */
    EXPECT_EQ(count(500, 510), 2u);
    EXPECT_EQ(count(501, 510), 1u);
    EXPECT_EQ(Fleet_CountVersions(fleet, "other", 301, 510, &version), 0u);
    Fleet_Free(fleet);
}

TEST(JoinedStream, RecordsAreKeptForTheCallersTimeAndBounded)
{
    Origins origins;
    Origins_Init(&origins);
    auto set = [&](uint64_t request, int64_t until_us, bool own) {
        Origin from = {};
        from.request = request;
        from.version = 7;
        from.worker = 8;
        from.until_us = until_us;
        Origins_Set(&origins, &from, own, 0);
    };
    set(1, 1000, true);
    ASSERT_NE(Origins_Find(&origins, 1, 999), nullptr);
    EXPECT_EQ(Origins_Find(&origins, 1, 999)->version, 7u);
    EXPECT_EQ(Origins_Find(&origins, 1, 999)->worker, 8u);
    EXPECT_EQ(Origins_Find(&origins, 1, 1000), nullptr);
    EXPECT_EQ(Origins_Find(&origins, 2, 0), nullptr);
    for (int i = 0; i < ORIGINS_TELLS; i++) {
        Origin *origin = Origins_NextToTell(&origins, nullptr, 0);
        ASSERT_NE(origin, nullptr);
        EXPECT_EQ(Origins_NextToTell(&origins, origin, 0), nullptr);
        Origins_NoteTold(&origins, origin);
    }
    EXPECT_EQ(Origins_NextToTell(&origins, nullptr, 0), nullptr);
    for (uint64_t i = 0; i < 2 * ORIGINS_MAX; i++) {
        set(i, INT64_MAX, false);
    }
    EXPECT_EQ(g_hash_table_size(origins.rows), (guint)ORIGINS_MAX);
    EXPECT_EQ(Origins_Find(&origins, 0, 1), nullptr);
    EXPECT_NE(Origins_Find(&origins, 2 * ORIGINS_MAX - 1, 1), nullptr);
    EXPECT_EQ(Origins_Find(&origins, 2 * ORIGINS_MAX - 1, ORIGINS_KEEP_MAX_US),
              nullptr);
    Origins_Clear(&origins);
}

} // namespace
