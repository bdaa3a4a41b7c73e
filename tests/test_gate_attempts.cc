/* Tests that a request runs on no more workers than its route allows while
   VMs pass requests on to each other. */
#include "fleet_rig.h"

namespace {

const Route repeatable = {RTE_IDEMPOTENT, 2, false, 5000, 400};
const Route three = {RTE_IDEMPOTENT, 3, false, 5000, 400};
const Route stream = {RTE_STREAM, 2, true, 10000};

/* A worker's own error: the request has run. */
ScriptedReply
OwnError()
{
    return {Answer(500, "X-Response-Stamp: s1\r\n", "oops")};
}

/* A stream that breaks off after event 2. */
ScriptedReply
BrokenStream()
{
    return Stream(0, 2, ScriptedReply::RESET);
}

std::string
CallText(int number, const std::string &more = "")
{
    return "POST /r/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(number) +
           "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: 9000\r\n" + more +
           "Content-Length: 1\r\n\r\nb";
}

/* Four VMs, of which the first one is cut off from the six workers. */
class CutFleet : public FleetRig {
  public:
    CutFleet(const Route &route, const ScriptedReply &reply)
        : FleetRig(route, 4, 0)
    {
        script = std::make_shared<std::deque<ScriptedReply>>(
            400, route.kind == RTE_STREAM ? Stream(0, 9) : Ok());
        for (int i = 0; i < 6; i++) {
            AddWorkerWithScript(script);
        }
        RunFor(600);
        for (int i = 0; i < 16; i++) {
            Call((size_t)i % 4, CallText(1000 + i));
            RunFor(20);
        }
        CutOff(0, REFUSE);
        for (int i = 0; i < 3; i++) {
            Call(0, CallText(1100 + i));
        }
        RunFor(1500);
        *script = std::deque<ScriptedReply>(400, reply);
    }

    std::shared_ptr<std::deque<ScriptedReply>> script; /* Of all workers. */
};

struct AttemptsCase {
    const char *name;
    Route route;
    ScriptedReply reply;
};

const AttemptsCase attempts_cases[] = {
    {"workers' own errors", repeatable, OwnError()},
    {"workers' own errors, three attempts", three, OwnError()},
    {"connections break off", repeatable, {"", ScriptedReply::RESET}},
    {"workers take requests and are silent", repeatable, {""}},
    {"the same, three attempts", three, {""}},
    {"streams break off", stream, BrokenStream()},
    {"streams end without an answer", stream, {"", ScriptedReply::RESET}},
    {"streams' workers are silent", stream, {""}},
    {"streams fall silent",
     stream,
     {StreamHead("Transfer-Encoding: chunked\r\n") + Chunk(Events(0, 2))}},
};

/* What another VM spent was counted as one run. */
TEST(Attempts, CountTheRunsAtOtherVms)
{
    for (const AttemptsCase &row : attempts_cases) {
        SCOPED_TRACE(row.name);
        CutFleet rig(row.route, row.reply);
        uint64_t detours = Met_Get(MET_DETOURS);
        for (int i = 0; i < 12; i++) {
            rig.Call(0, CallText(i));
            rig.RunFor(100);
        }
        rig.RunFor(row.route.timeout_ms + 500);
        EXPECT_GE(Met_Get(MET_DETOURS) - detours, 6U);
        for (int i = 0; i < 12; i++) {
            EXPECT_LE(rig.CountWorkers("id-" + std::to_string(i)),
                      (int)row.route.attempts)
                << i;
        }
    }
}

/* The VM that serves the request dies after it has spent attempts: the first
   worker fails, and the next one is silent. */
TEST(Attempts, CountTheRunsAtAVmThatDies)
{
    for (size_t killed : {1U, 2U, 3U}) {
        SCOPED_TRACE(killed);
        CutFleet rig(repeatable, {""});
        rig.script->front() = OwnError();
        Caller *caller = rig.Call(0, CallText(1));
        int waited = 0;
        while (rig.CountWorkers("id-1") < 2) {
            ASSERT_LT(waited++, 100);
            rig.RunFor(10);
        }
        rig.KillVm(killed);
        rig.RunFor(5500);
        EXPECT_LE(rig.CountWorkers("id-1"), 2);
        EXPECT_TRUE(caller->IsComplete());
    }
}

/* A VM of an earlier build counts a request that it passes on as one run. */
TEST(Attempts, ARequestOfAnEarlierBuildRunsOnce)
{
    for (const AttemptsCase &row : attempts_cases) {
        SCOPED_TRACE(row.name);
        CutFleet rig(row.route, row.reply);
        rig.Relay(1, CallText(1, "Lavenderspool-Relayed: 0\r\n"));
        rig.RunFor(row.route.timeout_ms + 500);
        EXPECT_EQ(rig.CountWorkers("id-1"), 1);
    }
}

/* One error of a worker does not end what another worker can serve. */
TEST(Attempts, TheNextAttemptSucceeds)
{
    for (int vms : {2, 4}) {
        SCOPED_TRACE(vms);
        CutFleet rig(repeatable, Ok());
        for (size_t vm = 3; (int)vm >= vms; vm--) {
            rig.KillVm(vm);
        }
        rig.AddWorker(std::vector<ScriptedReply>(400, OwnError()));
        rig.RunFor(2500);
        for (size_t i = 0; i < 6; i++) {
            rig.AddLoad(i, 2); /* The failing one seems best. */
        }
        rig.RunFor(100);
        int served = 0;
        for (int i = 0; i < 10; i++) {
            Caller *caller = rig.Call(0, CallText(i));
            rig.RunFor(100);
            served += caller->Status() == 200;
            EXPECT_LE(rig.CountWorkers("id-" + std::to_string(i)), 2);
        }
        EXPECT_EQ(served, 10);
    }
}

} // namespace
