/* Tests of the time that workers are told is left: when the process is held
   up between a call's begin and its sending, and after waits of other kinds.
   What waits in the socket is in test_gate_time_left_held_up.cc. */
#include "fleet_rig.h"
#include "virtual_time.h"

namespace {

const int kLeftMs = 3000;
const int kSlackMs = 60;

int
GetDeadline(const std::string &request)
{
    size_t at = request.find("X-Deadline-Ms: ");
    return at == std::string::npos ? -1 : atoi(request.c_str() + at + 15);
}

/* A worker that takes what has come only when it is told to, so that it sees
   when that has left the gate. */
class RawWorker {
  public:
    RawWorker()
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        listener_ =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(listener_, (sockaddr *)&local, sizeof(local)), 0);
        EXPECT_EQ(listen(listener_, 8), 0);
        getsockname(listener_, (sockaddr *)&local, &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }

    ~RawWorker()
    {
        close(listener_);
        close(fd_);
    }

    /* Returns what has come since the last time. */
    std::string
    Take()
    {
        char data[4096];
        if (fd_ < 0) {
            fd_ = accept4(listener_, nullptr, nullptr,
                          SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd_ >= 0) {
                SetNoDelay(fd_);
            }
        }
        ssize_t size = recv(fd_, data, sizeof(data), 0);
        return std::string(data, size > 0 ? (size_t)size : 0);
    }

    void
    Answer()
    {
        std::string bytes = ::Answer(200, "X-Response-Stamp: s1\r\n", "done");
        bytes.replace(bytes.find("%ID"), 3, "id-1");
        EXPECT_EQ(send(fd_, bytes.data(), bytes.size(), 0),
                  (ssize_t)bytes.size());
    }

    std::string address;

  private:
    int listener_ = -1;
    int fd_ = -1;
};

class GateTimeLeft : public testing::Test {
  public:
    GateTimeLeft()
    {
        rig.SetRoute({});
        rig.AddWorker({}, FLEET_PHASE_NONE, worker.address);
    }

    /* Calls, and holds the process up once the gate has begun the call.
       Returns what the worker is told beyond what was left when the call left
       the gate. */
    int
    CallHeldUp(int ms)
    {
        Caller *caller = rig.Call(Request(
            "POST", "X-Deadline-Ms: " + std::to_string(kLeftMs) + "\r\n"));
        int64_t began_us = Clk_Now(&rig.clk);
        while (rig.last_worker->inflight == 0) {
            event_base_loop(rig.base, EVLOOP_ONCE);
        }
        std::string request = worker.Take();
        if (request.empty()) {
            VirtualTime_Stop(ms, false);
            EXPECT_TRUE(rig.Until([&] {
                request += worker.Take();
                return !request.empty();
            }));
        }
        int64_t waited_ms = (Clk_Now(&rig.clk) - began_us) / CLK_US_PER_MS;
        worker.Answer();
        EXPECT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->Status(), 200);
        EXPECT_GT(GetDeadline(request), 0);
        EXPECT_NE(request.find("\r\n\r\nb"), std::string::npos);
        EXPECT_EQ(request.find("X-Deadline-Ms"),
                  request.rfind("X-Deadline-Ms"));
        return GetDeadline(request) - (kLeftMs - (int)waited_ms);
    }

    RawWorker worker;
    GateRig rig;
};

TEST_F(GateTimeLeft, ConnectionIsBeingOpened)
{
    EXPECT_LT(CallHeldUp(350), kSlackMs);
}

TEST_F(GateTimeLeft, ConnectionIsOpen)
{
    EXPECT_LT(CallHeldUp(0), kSlackMs);
    EXPECT_LT(CallHeldUp(900), kSlackMs);
}

/* What the last request of a worker tells beyond what is left to a caller
   whose first byte came at `first_us`. */
int
GetExcess(const Worker &worker, int64_t first_us)
{
    if (worker.requests.empty()) {
        ADD_FAILURE() << "no request";
        return kLeftMs;
    }
    int64_t waited_ms = (worker.times_us.back() - first_us) / CLK_US_PER_MS;
    return GetDeadline(worker.requests.back()) - (kLeftMs - (int)waited_ms);
}

std::string
TimedRequest(const std::string &more = "")
{
    return Request("POST", "X-Deadline-Ms: " + std::to_string(kLeftMs) +
                               "\r\n" + more);
}

TEST(TimeLeftAfterWait, BodyComesSlowly)
{
    GateRig rig;
    std::string request = TimedRequest();
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok()});
    int64_t first_us = Clk_Now(&rig.clk);
    Caller *caller = rig.Call(request.substr(0, 20));
    rig.RunFor(700);
    caller->Send(request.substr(20, request.size() - 21));
    rig.RunFor(700);
    caller->Send(request.substr(request.size() - 1));
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->Status(), 200);
    EXPECT_LT(GetExcess(*worker, first_us), kSlackMs);
    EXPECT_GT(GetExcess(*worker, first_us), -kSlackMs);
}

TEST(TimeLeftAfterWait, CallIsRepeated)
{
    GateRig rig;
    rig.SetRoute({});
    auto script = std::make_shared<std::deque<ScriptedReply>>();
    script->push_back({""});
    script->push_back(Ok());
    Worker *workers[] = {rig.AddWorkerWithScript(script, FLEET_PHASE_NONE),
                         rig.AddWorkerWithScript(script, FLEET_PHASE_NONE)};
    int64_t first_us = Clk_Now(&rig.clk);
    Caller *caller = rig.Call(TimedRequest());
    rig.RunFor(1000);
    size_t first = workers[0]->requests.empty() ? 1 : 0;
    workers[first]->CloseAll();
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->Status(), 200);
    EXPECT_LT(GetExcess(*workers[1 - first], first_us), kSlackMs);
    EXPECT_GT(GetExcess(*workers[1 - first], first_us), -kSlackMs);
}

/* The VM is cut off from the workers, and another one sends it on. */
TEST(TimeLeftAfterWait, RequestIsRelayed)
{
    const Route route = {RTE_NON_IDEMPOTENT, 2, false, 5000, 400};
    FleetRig rig(route, 3, 0);
    std::string request = TimedRequest();
    rig.AddWorker(std::vector<ScriptedReply>(100, Ok()));
    rig.RunFor(600);
    rig.CutOff(0, FleetRig::REFUSE);
    for (int i = 0; i < 6; i++) {
        rig.Call(0, TimedRequest());
        rig.RunFor(20);
    }
    rig.RunFor(1500);
    size_t before = rig.workers[0]->requests.size();
    int64_t first_us = Clk_Now(&rig.clk);
    Caller *caller = rig.Call(0, request.substr(0, request.size() - 1));
    rig.RunFor(1000);
    caller->Send(request.substr(request.size() - 1));
    rig.RunFor(200);
    EXPECT_EQ(caller->Status(), 200);
    EXPECT_EQ(rig.workers[0]->requests.size(), before + 1);
    EXPECT_LT(GetExcess(*rig.workers[0], first_us), kSlackMs);
    EXPECT_GT(GetExcess(*rig.workers[0], first_us), -kSlackMs);
}

} // namespace
