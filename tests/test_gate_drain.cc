/* Tests of a planned stop: a gate process with callers that keep using their
   connections until it is gone. What is passed on gets its answer within the
   grace; what can't is refused, and none of it runs. */
#include "drain_rig.h"
#include "fleet_rig.h"

#include <algorithm>

namespace {

std::string
FleetRequest(int number)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 9000\r\nContent-Length: 1\r\n\r\nb";
}

/* The rig repeats a play that it may have spoilt itself, and no other. */
struct RigCase {
    const char *name;
    int held_up_ms;
    int failing_plays;
    int plays;
    bool passes;
};

const RigCase rig_cases[] = {
    {"passes", 0, 0, 1, true},
    {"passes beside a hold-up", 200, 0, 1, true},
    {"fails without a hold-up", 0, 1, 1, false},
    {"fails beside a hold-up within the margin", 30, 1, 1, false},
    {"fails once beside a hold-up", 200, 1, 2, true},
    {"fails each time beside a hold-up", 200, 100, 5, false},
};

TEST_F(GateDrain, OnlyPlaysOfAHeldUpRigAreRepeated)
{
    for (const RigCase &row : rig_cases) {
        SCOPED_TRACE(row.name);
        testing::TestPartResultArray results;
        int plays = 0;
        {
            testing::ScopedFakeTestPartResultReporter reporter(
                testing::ScopedFakeTestPartResultReporter::
                    INTERCEPT_ONLY_CURRENT_THREAD,
                &results);
            PlayOnRig([&] {
                RunFor(10);
                g_usleep((gulong)row.held_up_ms * 1000);
                RunFor(10);
                EXPECT_GT(++plays, row.failing_plays);
            });
        }
        EXPECT_EQ(plays, row.plays);
        EXPECT_EQ(results.size() == 0, row.passes);
    }
}

/* 502: the worker was at work until the end, and the caller has an answer. */
const std::vector<DrainRow> rows_4 = {
    {"ends soon", 500, 0, 100, 0, 'o', 200},
    {"takes nearly all of the grace", 500, 0, 3000, 0, 'o', 200},
    {"takes the last second", 2500, 0, 1000, 0, 'o', 200},
    {"the same, may be repeated", 2500, 0, 1000, 0, 'i', 200},
    {"ends after the notice", 2700, 0, 600, 5000, 'o', 200},
    {"is never answered", 500, 0, -1, 0, 'o', 502},
    {"is never answered, sent late", 2700, 0, -1, 0, 'o', 502},
    {"is never answered, may be repeated", 2700, 0, -1, 0, 'i', 502},
    {"ends by its own time limit", 2700, 0, -1, 700, 'o', 504},
    {"last byte after the notice", 2700, 3200, 100, 0, 'o', 200},
    {"last byte as the grace ends", 2700, 3870, 100, 0, 'o', 0},
    {"last byte in the last part of the grace", 2700, 3700, 0, 0, 'o', 503},
    {"last byte never comes", 2700, 9000, 100, 0, 'o', 0},
    {"stream that ends in time", 300, 0, 1000, 0, 's', 200},
    {"resumable stream that ends in time", 300, 0, 1200, 0, 'r', 200},
    {"resumable stream that ends in time at the usual pace only", 300, 0, 2500,
     0, 'r', 503},
    {"stream that may not end in time", 1500, 0, 6000, 0, 's', 503},
    {"resumable stream that can't end in time", 2500, 0, 6000, 0, 'r', 503},
};

TEST_F(GateDrain, GraceOf4Seconds)
{
    PlayOnRig([&] {
        Start("4");
        Play(rows_4, 4000);
    });
}

TEST_F(GateDrain, TwoSignalsAndAReloadDontEndItSooner)
{
    PlayOnRig([&] {
        Start("4");
        Play(rows_4, 4000, {SIGTERM, SIGHUP, SIGTERM});
    });
}

const std::vector<DrainRow> rows_8 = {
    {"takes nearly all of the grace", 500, 0, 7000, 0, 'o', 200},
    {"sent late, takes the rest", 2700, 0, 4800, 0, 'o', 200},
    {"is never answered", 2700, 0, -1, 0, 'o', 502},
    {"stream that ends in time", 500, 0, 4000, 0, 's', 200},
    {"resumable stream that ends in time", 500, 0, 4000, 0, 'r', 200},
    {"resumable stream that ends in time at the usual pace only", 500, 0, 6000,
     0, 'r', 503},
    {"last byte after the notice", 2700, 5000, 1000, 0, 'o', 200},
    {"stream whose last byte comes late", 2700, 5000, 2500, 0, 'r', 503},
};

TEST_F(GateDrain, GraceOf8Seconds)
{
    PlayOnRig([&] {
        Start("8");
        Play(rows_8, 8000);
    });
}

/* The process ends as soon as nothing is left. */
const std::vector<DrainRow> rows_30 = {
    {"ends soon", 500, 0, 3500, 0, 'o', 200},
    {"stream that ends soon", 500, 0, 3500, 0, 's', 200},
};

TEST_F(GateDrain, GraceOf30Seconds)
{
    PlayOnRig([&] {
        Start("30");
        Play(rows_30, 5000);
    });
}

/* A caller sends its next request before it has the answer to the last one, so
   that its connection never is idle, until the process is gone. What the
   worker has run is answered. */
TEST_F(GateDrain, CallersUseTheirConnectionsUntilTheProcessIsGone)
{
    PlayOnRig([&] {
        Start("4");
        ASSERT_GT(pid, 0);
        struct Busy {
            std::unique_ptr<Caller> caller;
            int count = 0;
        };
        std::vector<Busy> all(6);
        for (Busy &one : all) {
            one.caller = Connect();
        }
        BeginStop();
        kill(pid, SIGTERM);
        Until([&] {
            for (size_t i = 0; i < all.size(); i++) {
                Busy &one = all[i];
                size_t answers = 0;
                for (size_t at = 0;
                     (at = one.caller->text.find("HTTP/1.1 ", at)) !=
                     std::string::npos;
                     at++) {
                    answers++;
                }
                /* Two on the way at each time. */
                while (!one.caller->closed && one.count < (int)answers + 2) {
                    std::string id = "b" + std::to_string(i) + "-" +
                                     std::to_string(one.count++);
                    one.caller->Send(
                        MakeRequest(id, {"", 0, 0, 40, 0, 'o', 200}));
                }
            }
            return IsGone() || GetMs() > 4500;
        });
        RunFor(50);
        EXPECT_EQ(pid, 0);
        for (size_t i = 0; i < all.size(); i++) {
            const std::string &text = all[i].caller->text;
            for (int k = 0; k < all[i].count; k++) {
                std::string id =
                    "b" + std::to_string(i) + "-" + std::to_string(k);
                if (worker->runs.count(id)) {
                    EXPECT_NE(text.find("X-Request-Id: " + id + "\r\n"),
                              std::string::npos)
                        << id << " of " << all[i].count;
                    EXPECT_EQ(worker->runs[id], 1);
                }
            }
        }
    });
}

/* Connections stay open as long as the process has other work, so that late
   requests on them are answered. */
const std::vector<DrainRow> rows_kept = {
    {"keeps the process at work", 2500, 0, 3500, 0, 'o', 200},
    {"after the notice", 3200, 0, 100, 0, 'o', 200},
    {"a second later", 4200, 0, 500, 0, 'o', 200},
    {"as the other work ends", 5800, 0, 500, 0, 'o', 200},
    {"stream that ends in time", 3500, 0, 1000, 0, 's', 200},
    {"stream that can't end in time", 4500, 0, 6000, 0, 's', 503},
};

TEST_F(GateDrain, RequestsOnKeptConnectionsAfterTheNotice)
{
    PlayOnRig([&] {
        Start("8");
        Play(rows_kept, 8000);
    });
}

/* A connection was opened before the process stopped to listen, and its first
   request is on its way: it is answered. */
TEST_F(GateDrain, FirstRequestsOfNewConnectionsAreAnswered)
{
    PlayOnRig([&] {
        const int request_after_ms[] = {5, 60, 150, 450};
        Start("4");
        ASSERT_GT(pid, 0);
        std::vector<std::unique_ptr<Caller>> callers;
        std::vector<int64_t> due_ms;
        std::vector<bool> begun;
        BeginStop();
        kill(pid, SIGTERM);
        Until([&] {
            int64_t now_ms = GetMs();
            if (now_ms >= 2800 + (int64_t)callers.size() * 20 &&
                callers.size() < 8) {
                due_ms.push_back(now_ms +
                                 request_after_ms[callers.size() % 4]);
                begun.push_back(false);
                callers.push_back(std::make_unique<Caller>(base, port));
            }
            for (size_t i = 0; i < callers.size(); i++) {
                if (!begun[i] && now_ms >= due_ms[i]) {
                    begun[i] = true;
                    callers[i]->Send(MakeRequest("n" + std::to_string(i),
                                                 {"", 0, 0, 40, 0, 'o', 200}));
                }
            }
            return IsGone() || now_ms > 4500;
        });
        RunFor(50); /* What was on the way when it ended. */
        EXPECT_EQ(pid, 0);
        EXPECT_LE(gone_ms, 4000);
        ASSERT_EQ(callers.size(), 8U);
        for (size_t i = 0; i < callers.size(); i++) {
            SCOPED_TRACE(due_ms[i]);
            EXPECT_EQ(callers[i]->Status(), 200);
            EXPECT_EQ(worker->runs["n" + std::to_string(i)], 1);
            EXPECT_NE(callers[i]->text.find("Connection: close"),
                      std::string::npos);
        }
    });
}

/* One that never has a request doesn't hold up the stop. */
TEST_F(GateDrain, NewConnectionWithoutARequestIsClosed)
{
    PlayOnRig([&] {
        Start("30");
        ASSERT_GT(pid, 0);
        std::unique_ptr<Caller> caller;
        int64_t connected_ms = 0;
        BeginStop();
        kill(pid, SIGTERM);
        Until([&] {
            if (caller == nullptr && GetMs() >= 2900) {
                connected_ms = GetMs();
                caller = std::make_unique<Caller>(base, port);
            }
            return IsGone() || GetMs() > 5000;
        });
        RunFor(50); /* What was on the way when it ended. */
        EXPECT_EQ(pid, 0);
        ASSERT_NE(caller, nullptr);
        EXPECT_LT(connected_ms, 3000) << "it no longer listened";
        EXPECT_TRUE(caller->closed);
    });
}

/* A VM that has just begun its stop, which the others don't know yet, gets
   requests of a VM that is cut off from the workers. What it has no time for
   runs by way of another VM, once; if all stop, it is refused. */
TEST(GateDrainFleet, RequestOfAnotherVmIsRefusedOrRunsElsewhere)
{
    for (int stopping = 1; stopping <= 2; stopping++) {
        SCOPED_TRACE(stopping);
        FleetRig rig({RTE_NON_IDEMPOTENT, 2, false, 5000, 400}, 3, 0);
        for (int i = 0; i < 3; i++) {
            rig.AddWorker(std::vector<ScriptedReply>(100, Ok()));
        }
        rig.RunFor(600);
        rig.CutOff(0, FleetRig::REFUSE);
        for (int i = 0; i < 6; i++) {
            rig.Call(0, FleetRequest(1000 + i));
            rig.RunFor(20);
        }
        rig.RunFor(1500);
        for (int vm = 1; vm <= stopping; vm++) {
            int64_t now_us = Clk_Now(&rig.clk);
            Gate_SetDrain(Edge_GetGate(rig.edges[vm]),
                          now_us + 100 * CLK_US_PER_MS);
        }
        std::map<std::string, int> runs;
        std::vector<Caller *> callers;
        for (int i = 0; i < 12; i++) {
            callers.push_back(rig.Call(0, FleetRequest(i)));
            rig.RunFor(50);
        }
        rig.RunFor(300);
        for (const auto &worker : rig.workers) {
            for (const std::string &request : worker->requests) {
                size_t at = request.find("X-Request-Id: ") + 14;
                runs[request.substr(at, request.find("\r\n", at) - at)]++;
            }
        }
        int served = 0;
        for (int i = 0; i < 12; i++) {
            SCOPED_TRACE(i);
            int status = callers[i]->Status();
            EXPECT_TRUE(status == 200 || status == 503) << callers[i]->text;
            EXPECT_EQ(runs["id-" + std::to_string(i)], status == 200);
            served += status == 200;
        }
        EXPECT_EQ(served, stopping == 1 ? 12 : 0);
    }
}

/* A stream that waits for capacity as the stop begins is refused, and does not
   run when there is room again. */
TEST(GateDrainFleet, StreamThatWaitsForCapacityIsRefused)
{
    GateRig rig;
    rig.SetRoute({RTE_STREAM, 2, true, 5000}, true);
    Worker *worker = rig.AddWorker({Stream(0, 9)}, FLEET_PHASE_DECODE);
    worker->refusals = 1000000;
    Caller *caller = rig.Call(Request("POST", "X-Token-Usage: 1000,100\r\n"));
    rig.RunFor(100);
    EXPECT_TRUE(caller->text.empty());
    Edge_BeginShutdown(rig.edge, 0);
    ASSERT_TRUE(rig.UntilEnd(caller));
    worker->refusals = 0;
    EXPECT_EQ(caller->Status(), 503);
    EXPECT_NE(caller->text.find("Connection: close"), std::string::npos);
    rig.RunFor(300);
    EXPECT_TRUE(worker->requests.empty());
}

/* A call that was refused late in the grace is not tried elsewhere: there is
   no time for another one. */
TEST(GateDrainFleet, NoOtherWorkerIsTriedAtTheEnd)
{
    GateRig rig;
    rig.SetRoute({RTE_IDEMPOTENT, 3, false, 5000, 400});
    Worker *first = rig.AddWorker({{""}});
    Caller *caller = rig.Call(Request());
    ASSERT_TRUE(rig.Until([&] { return first->requests.size() == 1; }));
    Worker *second = rig.AddWorker({Ok()});
    int64_t now_us = Clk_Now(&rig.clk);
    Gate_SetDrain(Edge_GetGate(rig.edge), now_us + 100 * CLK_US_PER_MS);
    first->SendToLast("HTTP/1.1 503 X\r\nX-Request-Id: id-1\r\n"
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->Status(), 503);
    EXPECT_TRUE(second->requests.empty());
}

} // namespace
