/* Tests of workers of uneven pace at one VM: what it learns from its calls and
   from what workers tell, and what the choice of workers makes of it. */
#include "gate_rig.h"

extern "C" {
#include "gate/worker_pace.h"
}

namespace {

const Route stream = {RTE_STREAM, 2, false, 14000, 900};

std::string
Prompt()
{
    return Request("POST",
                   "X-Token-Usage: 2000,100\r\nX-Deadline-Ms: 14000\r\n");
}

/* Runs streams one after the other and returns when all are served. */
void
Serve(GateRig *rig, int count)
{
    for (int i = 0; i < count; i++) {
        Caller *caller = rig->Call(Prompt());
        ASSERT_TRUE(rig->UntilEnd(caller));
        EXPECT_EQ(caller->Status(), 200);
    }
}

/* Two prefill workers that answer after set times, and a decode worker. */
class Readers {
  public:
    Readers()
    {
        rig.SetRoute(stream, true);
        rig.AddWorkerWithScript(
            std::make_shared<std::deque<ScriptedReply>>(200, Stream(0, 2)),
            FLEET_PHASE_DECODE);
        for (int i = 0; i < 2; i++) {
            workers[i] = rig.AddWorkerWithScript(
                std::make_shared<std::deque<ScriptedReply>>(200,
                                                            ScriptedReply{""}),
                FLEET_PHASE_PREFILL);
            known[i] = rig.last_worker;
        }
    }

    /* Serves a stream and returns the number of its prefill worker. The other
       one is full if `only` names one. */
    int
    Serve(int only = -1)
    {
        size_t seen[2] = {workers[0]->requests.size(),
                          workers[1]->requests.size()};
        if (only >= 0) {
            known[1 - only]->full_until_us =
                Clk_Now(&rig.clk) + 5 * CLK_US_PER_MS;
        }
        Caller *caller = rig.Call(Prompt());
        EXPECT_TRUE(rig.Until([&] {
            return workers[0]->requests.size() + workers[1]->requests.size() >
                   seen[0] + seen[1];
        }));
        int chosen = workers[0]->requests.size() > seen[0] ? 0 : 1;
        rig.RunFor(read_ms[chosen]);
        std::string text = PrefillReply().bytes;
        text.replace(text.find("%ID"), 3, "id-1");
        text.insert(text.find("\r\n") + 2, workers[chosen]->headers);
        workers[chosen]->SendToLast(text);
        EXPECT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->Status(), 200);
        return chosen;
    }

    GateRig rig;
    Worker *workers[2];
    FleetWorker *known[2];
    int read_ms[2] = {20, 20};
};

/* Workers that tell that they are slow at the moment get no prompts until that
   is out of date: 15% of the machines are 2.5 times slower for 600 ms. */
TEST(GatePace, WorkerThatTellsASpikeGetsNoPromptMeanwhile)
{
    Readers readers;
    readers.workers[0]->headers = "X-Server-Load: 0,0,8,100\r\n";
    readers.workers[1]->headers = "X-Server-Load: 0,0,8,100\r\n";
    for (int i = 0; i < 20; i++) {
        readers.Serve(i % 2);
    }
    readers.workers[0]->headers = "X-Server-Load: 0,0,8,250\r\n";
    readers.Serve(0);
    ASSERT_DOUBLE_EQ(readers.known[0]->load_pace, 2.5);
    for (int i = 0; i < 8; i++) {
        EXPECT_EQ(readers.Serve(), 1);
    }
    ASSERT_LT(Clk_Now(&readers.rig.clk) - readers.known[0]->load_us,
              FLEET_LOAD_MAX_AGE_US);
    readers.workers[0]->headers = "X-Server-Load: 0,0,8,100\r\n";
    readers.rig.RunFor(400);
    int count = 0;
    for (int i = 0; i < 20; i++) {
        count += readers.Serve() == 0;
    }
    EXPECT_GE(count, 3);
}

/* Reads of 20 and 50 ms: the pace of a worker that starts again is unknown.
 */
TEST(GatePace, PaceIsLearnedAndForgottenWithARestart)
{
    Readers readers;
    readers.read_ms[1] = 50;
    for (int i = 0; i < 20; i++) {
        readers.Serve(i % 2);
    }
    /* A prompt of 2,000 tokens takes 36 ms at the nominal speed. */
    EXPECT_NEAR(Pace_Get(&readers.known[0]->pace.read), 0.56, 0.1);
    EXPECT_NEAR(Pace_Get(&readers.known[1]->pace.read), 1.4, 0.2);
    for (int i = 0; i < 10; i++) {
        EXPECT_EQ(readers.Serve(), 0);
    }
    FleetEntry entry = readers.known[1]->entry;
    entry.born_ms = 1000;
    entry.position.revision += 100;
    Fleet_SetEntry(Edge_GetFleet(readers.rig.edge), &entry,
                   Clk_Now(&readers.rig.clk));
    EXPECT_DOUBLE_EQ(Pace_Get(&readers.known[1]->pace.read), 1);
}

/* A worker without room was asked again every 60 ms: each question costs a
   round trip, and the worker's time. */
TEST(GatePace, RefusingWorkerIsAskedLessOften)
{
    for (bool tells : {true, false}) {
        SCOPED_TRACE(tells ? "uneven" : "as before");
        GateRig rig;
        rig.SetRoute(stream, true);
        Worker *decode = rig.AddWorkerWithScript(
            std::make_shared<std::deque<ScriptedReply>>(9, Stream(0, 2)),
            FLEET_PHASE_DECODE);
        decode->headers = tells ? "X-Server-Load: 0,0,8,100\r\n" : "";
        Serve(&rig, 1);
        decode->refusals = 1000;
        rig.Call(Prompt());
        rig.RunFor(600);
        int asked = 1000 - decode->refusals;
        EXPECT_GE(asked, 3);
        if (tells) {
            EXPECT_LE(asked, 5);
        }
        else {
            EXPECT_GE(asked, 6);
        }
        decode->refusals = 0;
        rig.RunFor(300);
        Serve(&rig, 1);
    }
}

} // namespace
