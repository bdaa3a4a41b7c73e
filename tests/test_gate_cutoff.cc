/* Tests that callers of a VM that is cut off from all workers are served by
   way of the VMs that reach them. */
#include "fleet_rig.h"

namespace {

const Route once = {RTE_NON_IDEMPOTENT, 2, false, 5000, 400};
const Route repeatable = {RTE_IDEMPOTENT, 2, false, 5000, 400};
const Route stream = {RTE_STREAM, 2, true, 10000};

struct CutCase {
    const char *name;
    Route route;
    FleetRig::Cut cut;
};

const CutCase cut_cases[] = {
    {"requests that run once, connections hang", once, FleetRig::HANG},
    {"requests that run once, connections refused", once, FleetRig::REFUSE},
    {"repeatable requests, connections hang", repeatable, FleetRig::HANG},
    {"repeatable requests, connections refused", repeatable, FleetRig::REFUSE},
    {"streams, connections hang", stream, FleetRig::HANG},
    {"streams, connections refused", stream, FleetRig::REFUSE},
};

std::vector<ScriptedReply>
Replies(const Route &route, int count)
{
    return std::vector<ScriptedReply>(
        (size_t)count, route.kind == RTE_STREAM ? Stream(0, 9) : Ok());
}

std::string
CallText(int number, const std::string &more = "")
{
    return "POST /r/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(number) +
           "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: 9000\r\n" + more +
           "Content-Length: 1\r\n\r\nb";
}

/* A fleet with three workers that all VMs reach, and with gossip under way. */
class CutFleet : public FleetRig {
  public:
    CutFleet(const Route &route, int vms) : FleetRig(route, vms, 0)
    {
        for (int i = 0; i < 3; i++) {
            AddWorker(Replies(route, 100));
        }
        RunFor(600);
    }

    /* The VM finds out that it is cut off. */
    void
    CutOffAndWait(size_t vm, Cut cut)
    {
        CutOff(vm, cut);
        for (int i = 0; i < 6; i++) {
            Call(vm, CallText(1000 + i));
            RunFor(20);
        }
        RunFor(1500);
    }
};

TEST(CutOffVm, ServesByWayOfTheOthers)
{
    for (const CutCase &row : cut_cases) {
        SCOPED_TRACE(row.name);
        CutFleet rig(row.route, 3);
        rig.CutOffAndWait(0, row.cut);
        for (int i = 0; i < 20; i++) {
            Caller *caller = rig.Call(0, CallText(i));
            rig.RunFor(60);
            EXPECT_EQ(caller->Status(), 200) << i << ": " << caller->text;
            EXPECT_TRUE(caller->IsComplete());
            EXPECT_EQ(caller->text.find("Lavenderspool-Relayed"),
                      std::string::npos);
            EXPECT_EQ(rig.CountRuns("id-" + std::to_string(i)), 1);
            if (row.route.kind == RTE_STREAM) {
                EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
            }
            else {
                EXPECT_EQ(caller->Body(), "done");
            }
        }
    }
}

/* Whatever is found out meanwhile, nothing that may run once runs twice, and
   what is refused has not run. */
TEST(CutOffVm, RunsNothingTwiceWhileItFindsOut)
{
    for (const CutCase &row : cut_cases) {
        SCOPED_TRACE(row.name);
        CutFleet rig(row.route, 3);
        std::vector<Caller *> callers;
        rig.CutOff(0, row.cut);
        for (int i = 0; i < 40; i++) {
            callers.push_back(rig.Call(0, CallText(i)));
            rig.RunFor(30);
        }
        rig.RunFor(1500);
        for (int i = 0; i < 40; i++) {
            int runs = rig.CountRuns("id-" + std::to_string(i));
            EXPECT_LE(runs, 1);
            if (callers[(size_t)i]->Status() == 503) {
                EXPECT_EQ(runs, 0);
            }
        }
        EXPECT_EQ(callers.back()->Status(), 200);
    }
}

/* Two of three VMs are cut off: the third serves for both, and none of them
   sends a request on twice. */
TEST(CutOffVm, MostVmsAreCutOff)
{
    CutFleet rig(once, 3);
    rig.CutOffAndWait(0, FleetRig::HANG);
    rig.CutOffAndWait(1, FleetRig::HANG);
    for (int i = 0; i < 20; i++) {
        Caller *caller = rig.Call((size_t)i % 2, CallText(i));
        rig.RunFor(60);
        EXPECT_EQ(caller->Status(), 200) << i << ": " << caller->text;
        EXPECT_EQ(rig.CountRuns("id-" + std::to_string(i)), 1);
    }
}

TEST(CutOffVm, AllVmsAreCutOff)
{
    CutFleet rig(repeatable, 2);
    rig.CutOffAndWait(0, FleetRig::REFUSE);
    rig.CutOffAndWait(1, FleetRig::REFUSE);
    for (int i = 0; i < 4; i++) {
        Caller *caller = rig.Call(0, CallText(i));
        rig.RunFor(200);
        EXPECT_EQ(caller->Status(), 503) << caller->text;
        EXPECT_NE(caller->text.find("Retry-After: "), std::string::npos);
        EXPECT_EQ(rig.CountRuns("id-" + std::to_string(i)), 0);
    }
}

/* The caller of the VM that is cut off leaves: the worker hears of it. */
TEST(CutOffVm, CallersLeavingIsPassedOn)
{
    FleetRig rig(stream, 2, 0);
    for (int i = 0; i < 2; i++) {
        rig.AddWorker(std::vector<ScriptedReply>(
            20, {StreamHead("Transfer-Encoding: chunked\r\n") +
                 Chunk(Events(0, 2))}));
    }
    rig.RunFor(600);
    rig.CutOff(0, FleetRig::REFUSE);
    rig.Call(0, CallText(1000));
    rig.Call(0, CallText(1001));
    rig.RunFor(1000);
    Caller *caller = rig.Call(0, CallText(1));
    rig.RunFor(300);
    ASSERT_NE(caller->text.find("id: 2\n"), std::string::npos);
    int closed = rig.workers[0]->closed + rig.workers[1]->closed;
    caller->Disconnect();
    rig.RunFor(400);
    EXPECT_EQ(rig.workers[0]->closed + rig.workers[1]->closed, closed + 1);
}

/* The way back is found soon after the cut ends. */
TEST(CutOffVm, ReturnsToItsOwnPaths)
{
    CutFleet rig(once, 2);
    rig.CutOffAndWait(0, FleetRig::HANG);
    rig.Reconnect(0);
    rig.RunFor(1000);
    Caller *caller = rig.Call(0, CallText(1));
    rig.RunFor(100);
    EXPECT_EQ(caller->Status(), 200);
    rig.KillVm(1);
    caller = rig.Call(0, CallText(2));
    rig.RunFor(100);
    EXPECT_EQ(caller->Status(), 200) << caller->text;
}

/* A stream whose VM loses its paths in the middle goes on by way of the other
   VM, at the version that began it. */
TEST(CutOffVm, BegunStreamGoesOnAtItsVersion)
{
    FleetRig rig(stream, 2, 0);
    rig.versions = {"v1", "v2", "v1"};
    rig.AddWorker({{StreamHead("Transfer-Encoding: chunked\r\n") +
                    Chunk(Events(0, 2))}});
    rig.RunFor(600);
    Caller *caller = rig.Call(0, CallText(1));
    rig.RunFor(300);
    ASSERT_NE(caller->text.find("id: 2\n"), std::string::npos);
    rig.AddWorker({Stream(3, 9)});
    rig.AddWorker({Stream(3, 9)});
    rig.AddLoad(2, 4);
    rig.RunFor(100);
    rig.CutOff(0, FleetRig::REFUSE);
    rig.workers[0]->Crash();
    rig.RunFor(1500);
    EXPECT_TRUE(caller->IsComplete()) << caller->text;
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    EXPECT_TRUE(rig.workers[1]->requests.empty());
}

/* The VM that serves for another one is stopped: what it has begun ends as
   planned, and it gets nothing new. */
TEST(CutOffVm, PlannedStopOfTheVmThatServes)
{
    CutFleet rig(once, 3);
    rig.CutOffAndWait(0, FleetRig::REFUSE);
    for (auto &worker : rig.workers) {
        worker->is_silent = true;
    }
    Caller *caller = rig.Call(0, CallText(1));
    rig.RunFor(100);
    Edge_BeginShutdown(rig.edges[1], 0);
    Edge_BeginShutdown(rig.edges[2], 0);
    rig.RunFor(200);
    for (auto &worker : rig.workers) {
        worker->is_silent = false;
        if (worker->unanswered > 0) {
            worker->SendToAll("HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\n"
                              "X-Response-Stamp: s1\r\n"
                              "Content-Length: 4\r\n\r\ndone");
        }
    }
    rig.RunFor(200);
    EXPECT_EQ(caller->Status(), 200) << caller->text;
    caller = rig.Call(0, CallText(2));
    rig.RunFor(500);
    EXPECT_EQ(caller->Status(), 503) << caller->text;
    EXPECT_EQ(rig.CountRuns("id-2"), 0);
}

/* A caller can't mark its request as passed on, and workers don't see the
   mark. */
TEST(CutOffVm, MarkOfACallerHasNoMeaning)
{
    CutFleet rig(once, 2);
    rig.CutOffAndWait(0, FleetRig::REFUSE);
    for (int i = 0; i < 4; i++) {
        Caller *caller =
            rig.Call(0, CallText(i, "Lavenderspool-Relayed: 7\r\n"));
        rig.RunFor(100);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
        EXPECT_EQ(rig.CountRuns("id-" + std::to_string(i)), 1);
    }
    for (const auto &worker : rig.workers) {
        for (const std::string &request : worker->requests) {
            EXPECT_EQ(request.find("Lavenderspool-Relayed"),
                      std::string::npos);
        }
    }
}

struct RefusalCase {
    const char *name;
    Route route;
    int runs;             /* Workers on which it may have run already. */
    bool are_all_crashed; /* Or else they refuse. */
};

const RefusalCase refusal_cases[] = {
    {"first run, stream, workers are full", stream, 0, false},
    {"first run, stream, workers are gone", stream, 0, true},
    {"second run, stream, workers are full", stream, 1, false},
    {"second run, stream, workers are gone", stream, 1, true},
    {"second run, plain, workers refuse", repeatable, 1, false},
    {"second run, plain, workers are gone", repeatable, 1, true},
};

/* A VM that serves for another one has not run what it could not send to any
   worker, whatever ran before at the other VM's workers. */
TEST(CutOffVm, WhatTheOtherVmCanNotServeHasNotRunThere)
{
    for (const RefusalCase &row : refusal_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 1, 0);
        rig.restart_ms = 20000;
        for (int i = 0; i < 2; i++) {
            rig.AddWorker(std::vector<ScriptedReply>(20, Refusal()));
            rig.workers.back()->refusals = 1000;
        }
        rig.RunFor(100);
        for (size_t i = 0; row.are_all_crashed && i < 2; i++) {
            rig.workers[i]->Crash();
        }
        Caller *caller =
            rig.Relay(0, CallText(1, "Lavenderspool-Relayed: " +
                                         std::to_string(row.runs) + "\r\n"));
        for (int i = 0; i < 100 && !caller->IsComplete(); i++) {
            rig.RunFor(50);
        }
        EXPECT_EQ(caller->Status(), 503) << caller->text;
        EXPECT_EQ(caller->text.find("X-Response-Stamp"), std::string::npos);
    }
}

/* Both VMs together count a request once for the retry budget. */
TEST(CutOffVm, RequestCountsOnceForTheBudget)
{
    CutFleet rig(repeatable, 2);
    rig.CutOffAndWait(0, FleetRig::REFUSE);
    rig.RunFor(300);
    auto count = [&] {
        double requests = 0;
        double extras = 0;
        for (Edge *edge : rig.edges) {
            double own_requests;
            double own_extras;
            Gate_GetBudgetUse(Edge_GetGate(edge), "svc", &own_requests,
                              &own_extras);
            requests += own_requests;
            extras += own_extras;
        }
        return std::make_pair(requests, extras);
    };
    auto before = count();
    for (int i = 0; i < 10; i++) {
        rig.Call(0, CallText(i));
        rig.RunFor(60);
    }
    auto after = count();
    EXPECT_NEAR(after.first - before.first, 10, 0.5);
    EXPECT_NEAR(after.second - before.second, 0, 0.5);
}

struct CrashCase {
    const char *name;
    Route route;
    int workers;
    int crashed; /* At the same moment. */
    bool is_dark;
};

const CrashCase crash_cases[] = {
    {"streams, a third of the workers", stream, 12, 4, false},
    {"requests that run once, a third", once, 12, 4, false},
    {"repeatable requests, a third, dark", repeatable, 12, 4, true},
    {"streams, a third, dark", stream, 12, 4, true},
    {"streams, most of the workers", stream, 12, 10, false},
    {"repeatable requests, all of a small service", repeatable, 3, 3, false},
    {"streams, all of a small service", stream, 3, 3, false},
};

/* Workers that crash together are no cut: the VMs reach the others, or the
   other VMs reach none either. */
TEST(CrashOfManyWorkers, IsNotTakenForACut)
{
    for (const CrashCase &row : crash_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 3, 0);
        rig.restart_ms = 1500;
        for (int i = 0; i < row.workers; i++) {
            rig.AddWorker(Replies(row.route, 200));
        }
        rig.RunFor(600);
        for (int i = 0; i < 30; i++) {
            rig.Call((size_t)i % 3, CallText(i));
            rig.RunFor(5);
        }
        uint64_t cuts = Met_Get(MET_SERVICES_CUT);
        uint64_t detours = Met_Get(MET_DETOURS);
        for (int i = 0; i < row.crashed; i++) {
            Worker &worker = *rig.workers[(size_t)i];
            row.is_dark ? worker.GoDark() : worker.Crash();
        }
        for (int i = 100; i < 340; i++) {
            rig.Call((size_t)i % 3, CallText(i));
            rig.RunFor(5);
        }
        rig.RunFor(500);
        EXPECT_EQ(Met_Get(MET_SERVICES_CUT) - cuts, 0U);
        EXPECT_EQ(Met_Get(MET_DETOURS) - detours, 0U);
    }
}

/* What a VM knows of a worker goes along with a request that it passes on: the
   other VM may not have been told. */
struct HearsayCase {
    const char *name;
    Route route;
    bool has_limit; /* The worker named a limit; or else see the next two. */
    bool is_paused;
    int leaves_ago_ms; /* When it said to the first VM that it leaves. */
};

const HearsayCase hearsay_cases[] = {
    {"leaves", once, false, false, 100},
    {"leaves, its time is over", once, false, false, 3000},
    {"leaves, its time is over, stream", stream, false, false, 3000},
    {"pauses", once, false, true, 0},
    {"named a limit", once, true, false, 0},
};

TEST(CutOffVm, OtherVmKnowsWhatTheWorkersSaid)
{
    for (const HearsayCase &row : hearsay_cases) {
        SCOPED_TRACE(row.name);
        CutFleet rig(row.route, 2);
        rig.RemoveWorker(2);
        rig.CutOffAndWait(0, FleetRig::REFUSE);
        rig.AddLoad(1, 4); /* Workers are chosen by load otherwise. */
        rig.RunFor(300);
        size_t before = rig.workers[0]->requests.size();
        FleetWorker *worker = rig.Find(0, 0);
        int64_t now_us = Clk_Now(&rig.clk);
        if (row.leaves_ago_ms > 0) {
            Fleet_NoteLeaving(Edge_GetFleet(rig.edges[0]), worker,
                              now_us - row.leaves_ago_ms * CLK_US_PER_MS);
        }
        if (row.is_paused) {
            Notice_NotePause(&worker->notice, CLK_US_PER_S, now_us);
        }
        if (row.has_limit) {
            Throttle_NoteLimit(&worker->throttle, 0.5, now_us, 0.0, now_us);
        }
        Caller *caller = rig.Call(0, CallText(1));
        rig.RunFor(80);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
        EXPECT_EQ(rig.workers[0]->requests.size(), before);
        EXPECT_EQ(rig.CountRuns("id-1"), 1);
    }
}

/* Other VMs' word that a worker leaves has an end, too: then it gets nothing,
   even if no other worker is left. */
TEST(CutOffVm, WordOfAnotherVmHasAnEnd)
{
    for (bool is_relayed : {false, true}) {
        SCOPED_TRACE(is_relayed);
        CutFleet rig(once, 2);
        rig.RemoveWorker(1);
        rig.RemoveWorker(2);
        for (Edge *edge : rig.edges) {
            Edge_GetFleet(edge)->options.drain_us =
                NOTICE_SEND_MARGIN_US + 600 * CLK_US_PER_MS;
        }
        Fleet_NoteLeaving(Edge_GetFleet(rig.edges[0]), rig.Find(0, 0),
                          Clk_Now(&rig.clk));
        rig.RunFor(300);
        /* The last worker still serves. */
        Caller *caller = rig.Call(1, CallText(1));
        rig.RunFor(100);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
        rig.RunFor(600);
        caller =
            is_relayed
                ? rig.Relay(1, CallText(2, "Lavenderspool-Relayed: 0\r\n"))
                : rig.Call(1, CallText(2));
        rig.RunFor(200);
        EXPECT_EQ(caller->Status(), 503) << caller->text;
        EXPECT_EQ(rig.CountRuns("id-2"), 0);
        /* Without a VM that repeats it, the word lapses. */
        memset(&rig.Find(0, 0)->notice, 0, sizeof(NoticeState));
        rig.RunFor(2600);
        caller = rig.Call(1, CallText(3));
        rig.RunFor(200);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
    }
}

/* What can't be read of a VM's word is ignored, and the request is served. */
TEST(CutOffVm, OddWordsAreIgnored)
{
    CutFleet rig(once, 1);
    char hash[24];
    g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
               rig.Find(0, 0)->hash);
    std::vector<std::string> words = {";",
                                      ";;;",
                                      "; l",
                                      ";zz l 5",
                                      ";" + std::string(hash),
                                      std::string(900, ';'),
                                      ";1234567890123456789012 l 9",
                                      ";0000000000000001 l 9"};
    for (const char *more :
         {" ", " l", " l ", " l x", " l 1e400", " l nan", " p -5", " x 5",
          " r nan 0", " r inf 0", " r -1 0", " r 5 -1", " r 1e-400 0",
          " l 99999999999999999999", " p 99999999999999999999",
          " r 5 99999999999999999999"}) {
        words.push_back(std::string(";") + hash + more);
    }
    for (size_t i = 0; i < words.size(); i++) {
        SCOPED_TRACE(words[i]);
        Caller *caller =
            rig.Relay(0, CallText((int)i, "Lavenderspool-Relayed: 0" +
                                              words[i] + "\r\n"));
        rig.RunFor(60);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
    }
    EXPECT_FALSE(Notice_IsPaused(&rig.Find(0, 0)->notice, Clk_Now(&rig.clk)));
    EXPECT_FALSE(Throttle_IsLimited(&rig.Find(0, 0)->throttle));
}

} // namespace
