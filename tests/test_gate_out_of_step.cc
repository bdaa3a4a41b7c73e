/* Tests that a VM which is out of step (cut off from the other VMs, or stopped
   for a while) takes no software version for the only one: workers of another
   version may have joined meanwhile. */
#include "fleet_rig.h"
#include "virtual_time.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 3000};

/* A resumption of a stream that another VM began, at a worker of a version
   that this VM has not seen yet. */
std::string
Resumption(int number)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: again-" +
           std::to_string(number) +
           "\r\nX-Token-Usage: 1000,100\r\nX-Prompt-Prefix: aa:200,b1:800\r\n"
           "Last-Event-Id: 2\r\nResumes: id-" +
           std::to_string(number) + "\r\nContent-Length: 1\r\n\r\nb";
}

/* VMs that have known the workers of the only version for long. */
class OneVersionFleet : public FleetRig {
  public:
    explicit OneVersionFleet(int vms) : FleetRig(resumable, vms, 0)
    {
        for (int i = 0; i < 2; i++) {
            versions.push_back("v1");
            AddWorker(std::vector<ScriptedReply>(40, Stream(3, 9)));
        }
        for (Edge *edge : edges) {
            Fleet *fleet = Edge_GetFleet(edge);
            Feed_BeginSweep(Edge_GetFeed(edge), 0);
            for (guint i = 0; i < fleet->rows->len; i++) {
                auto *worker =
                    (FleetWorker *)g_ptr_array_index(fleet->rows, i);
                Fleet_KeepEntry(fleet, worker->entry.id,
                                worker->entry.position);
            }
            Feed_EndSweep(Edge_GetFeed(edge));
        }
        RunFor(9000); /* Longer than the callers' time. */
    }

    bool
    IsServed(int number)
    {
        Caller *caller = Call(0, Resumption(number));
        RunFor(1500);
        EXPECT_TRUE(caller->IsComplete());
        return caller->Status() == 200;
    }
};

struct StepCase {
    const char *name;
    int vms;
    int cut_ms;     /* The VM hears no other one for this time. */
    int stopped_ms; /* The VM is stopped for this time. */
    bool is_suspended;
    int later_ms; /* The resumption comes so much later. */
    bool is_served;
};

const StepCase step_cases[] = {
    {"in step", 3, 0, 0, false, 0, true},
    {"the only VM", 1, 0, 0, false, 0, true},
    {"cut off for a second", 3, 1000, 0, false, 0, false},
    {"cut off for a second, large fleet", 18, 1000, 0, false, 0, false},
    {"cut off for 4 s", 3, 4000, 0, false, 0, false},
    {"cut off for 4 s, large fleet", 18, 4000, 0, false, 0, false},
    {"in step, large fleet", 18, 0, 0, false, 0, true},
    {"cut off for 12 s", 3, 12000, 0, false, 0, false},
    {"stopped for 2 s", 3, 0, 2000, false, 0, false},
    {"suspended for 2 s", 3, 0, 2000, true, 0, false},
    {"stopped for 2 s, the only VM", 1, 0, 2000, false, 0, false},
    {"stopped for 2 s, a while ago", 3, 0, 2000, false, 1500, true},
    {"suspended for 2 s, a while ago", 3, 0, 2000, true, 1500, true},
};

/* Streams that had begun at a version that joined meanwhile went on at the
   older one. */
TEST(OutOfStep, TheOnlyKnownVersionMayNotBeTheOnlyOne)
{
    for (const StepCase &row : step_cases) {
        SCOPED_TRACE(row.name);
        OneVersionFleet rig(row.vms);
        if (row.cut_ms > 0) {
            for (int vm = 1; vm < row.vms; vm++) {
                rig.KillVm((size_t)vm);
            }
            rig.RunFor(row.cut_ms);
        }
        if (row.stopped_ms > 0) {
            VirtualTime_Stop(row.stopped_ms, row.is_suspended);
        }
        if (row.later_ms > 0) {
            rig.RunFor(row.later_ms);
        }
        EXPECT_EQ(rig.IsServed(1), row.is_served);
    }
}

/* The workers that keep the prompt still tell where the stream began. */
TEST(OutOfStep, TheWorkersTellOfTheirStreams)
{
    OneVersionFleet rig(3);
    rig.workers[1]->kept_parts = {"aa", "b1"};
    rig.KillVm(1);
    rig.KillVm(2);
    rig.RunFor(2500);
    EXPECT_TRUE(rig.IsServed(1));
}

} // namespace
