/* Tests that a VM which is out of step (cut off from the other VMs, or stopped
   for a while) takes no software version for the only one: workers of another
   version may have joined meanwhile. */
#include "fleet_rig.h"
#include "virtual_time.h"

#include <set>
#include <sys/syscall.h>

namespace {

/* Ports of VMs for other VMs: datagrams between one of these and others are
   lost. */
std::set<uint16_t> cut_ports;

/* Port of the sender of a datagram. */
uint16_t
GetPort(int fd)
{
    sockaddr_in local = {};
    socklen_t size = sizeof(local);
    getsockname(fd, (sockaddr *)&local, &size);
    return ntohs(local.sin_port);
}

bool
IsCut(int fd, const sockaddr *to)
{
    uint16_t port = ntohs(((const sockaddr_in *)to)->sin_port);
    return cut_ports.count(GetPort(fd)) != cut_ports.count(port);
}

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

/* Cuts VMs off from the other ones while it lives. */
class LinkCut {
  public:
    explicit LinkCut(const std::set<uint16_t> &ports)
    {
        cut_ports = ports;
    }

    ~LinkCut()
    {
        cut_ports.clear();
    }
};

/* VMs that have known the workers of the only version for long. */
class OneVersionFleet : public FleetRig {
  public:
    explicit OneVersionFleet(int vms, int remote_vms = 0)
        : FleetRig(resumable, vms, 0)
    {
        for (int i = 0; i < remote_vms; i++) {
            AddVm(0, i % 2 == 0 ? "zone-b" : "zone-c");
        }
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
    {"stopped for 2 s, a while ago", 3, 0, 2000, false, 1500, false},
    {"suspended for 2 s, a while ago", 3, 0, 2000, true, 1500, false},
    {"stopped for 2 s, before the callers' time", 3, 0, 2000, false, 9000,
     true},
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

/* VMs of other regions send each message to some VMs only, so that silences of
   a second are usual. */
TEST(OutOfStep, SilencesOfVmsThatSendToSomeOnlyAreUsual)
{
    /* VMs of the first region, which count few others, and of two others. */
    const int sizes[][2] = {{4, 11}, {11, 2}};
    for (const auto &row : sizes) {
        SCOPED_TRACE(row[0]);
        OneVersionFleet rig(row[0], row[1]);
        for (int i = 1; i <= 10; i++) {
            EXPECT_TRUE(rig.IsServed(i)) << i;
        }
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

struct JoinCase {
    const char *name;
    int vms;
    std::set<size_t> cut; /* VMs that are cut off from the others. */
    int cut_ms;           /* Before the stream begins. */
    int later_ms;         /* From the end of the cut to the resumption. */
    bool knows_worker;    /* The VM has learned of it by then. */
    bool is_served;
};

const JoinCase join_cases[] = {
    {"in step, but the entry comes late", 3, {}, 0, 0, false, false},
    {"in step", 3, {}, 0, 0, true, true},
    {"a short silence", 3, {0}, 200, -1, false, false},
    {"cut off", 3, {0}, 1500, -1, false, false},
    {"cut off for long", 3, {0}, 61000, -1, false, false},
    {"cut off until just now", 3, {0}, 1500, 0, false, false},
    {"cut off a while ago, the entry comes late",
     3,
     {0},
     1500,
     1200,
     false,
     false},
    {"cut off a while ago", 3, {0}, 1500, 1200, true, true},
    {"half of the VMs are cut off", 5, {0, 3, 4}, 1500, -1, false, false},
    {"half of the VMs were cut off", 5, {0, 3, 4}, 1500, 1200, true, true},
    {"large fleet, cut off a while ago", 18, {0}, 1500, 1200, false, false},
};

/* A worker of a new version joins and begins a stream while a VM is out of
   step. The VM that began the stream is lost, and the caller resumes it at the
   one that was out of step. */
TEST(OutOfStep, StreamOfAVersionThatJoinedMeanwhileDoesNotGoOnAtTheOldOne)
{
    for (const JoinCase &row : join_cases) {
        SCOPED_TRACE(row.name);
        OneVersionFleet rig(row.vms);
        std::set<uint16_t> ports;
        for (size_t vm : row.cut) {
            ports.insert(rig.peer_ports[vm]);
            rig.behind.insert(vm);
        }
        rig.behind.insert(0);
        auto cut = std::make_unique<LinkCut>(ports);
        rig.RunFor(row.cut_ms);
        for (size_t i : {0, 1}) {
            rig.AddLoad(i, 100);
        }
        rig.versions.push_back("v2");
        rig.AddWorker({{StreamHead("Transfer-Encoding: chunked\r\n") +
                        Chunk(Events(0, 2))},
                       Stream(3, 9)});
        Caller *caller =
            rig.Call(1, Request("POST", "X-Token-Usage: 1000,100\r\n"
                                        "X-Prompt-Prefix: aa:200,b1:800\r\n"));
        rig.RunFor(400);
        ASSERT_EQ(rig.workers[2]->requests.size(), 1u);
        EXPECT_EQ(caller->Status(), 200);
        rig.KillVm(1);
        rig.RunFor(row.cut_ms > 0 ? 200 : 0);
        if (row.later_ms >= 0) {
            cut.reset();
            rig.RunFor(row.later_ms);
        }
        if (row.knows_worker) {
            rig.CatchUp(0);
        }
        EXPECT_EQ(rig.IsServed(1), row.is_served);
        for (size_t i : {0, 1}) {
            EXPECT_TRUE(rig.workers[i]->requests.empty())
                << "joins two versions";
        }
    }
}

} // namespace

/* Takes the place of the C library's function. */
extern "C" ssize_t
sendto(int fd, const void *data, size_t size, int flags, const sockaddr *to,
       socklen_t to_size)
{
    if (to != nullptr && !cut_ports.empty() && IsCut(fd, to)) {
        return (ssize_t)size;
    }
    return syscall(SYS_sendto, fd, data, size, flags, to, to_size);
}
