/* Tests of the time that workers are told is left, of requests that waited in
   the socket while the process was held up. On the machine's clock, as the
   system tells how long the bytes waited. */
#include "gate_rig.h"

namespace {

const int kLeftMs = 2000;
const int kHeldUpMs = 800;
/* The figure is set early by a timer's margin; a busy machine makes it less.
 */
const int kSlackMs = 60;

int
GetDeadline(const std::string &request)
{
    size_t at = request.find("X-Deadline-Ms: ");
    return at == std::string::npos ? -1 : atoi(request.c_str() + at + 15);
}

class GateTimeLeftHeldUp : public testing::Test {
  public:
    ~GateTimeLeftHeldUp()
    {
        close(fd);
    }

    void
    Connect()
    {
        sockaddr_in to = {};
        fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        to.sin_family = AF_INET;
        to.sin_port = htons(Edge_GetPort(rig.edge));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(fd, (sockaddr *)&to, sizeof(to)), 0);
        SetNoDelay(fd);
    }

    void
    Send(const std::string &bytes)
    {
        ASSERT_EQ(send(fd, bytes.data(), bytes.size(), 0),
                  (ssize_t)bytes.size());
        last_sent_us = Clk_Now(&rig.clk);
    }

    /* What the worker is told, beyond what is left since the first byte. */
    int
    GetExcess(const Worker *worker, size_t i, int64_t first_us) const
    {
        int64_t waited_ms = (worker->times_us[i] - first_us) / CLK_US_PER_MS;
        return GetDeadline(worker->requests[i]) - (kLeftMs - (int)waited_ms);
    }

    GateRig rig;
    int fd = -1;
    int64_t last_sent_us = 0;
    std::string field = "X-Deadline-Ms: " + std::to_string(kLeftMs) + "\r\n";
};

TEST_F(GateTimeLeftHeldUp, RequestOnKeptConnection)
{
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok(), Ok()});
    Connect();
    Send(Request("POST", field));
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 1; }));
    EXPECT_LT(GetExcess(worker, 0, last_sent_us), kSlackMs);
    EXPECT_GT(GetDeadline(worker->requests[0]), kLeftMs - 500);
    rig.RunFor(100);
    Send(Request("POST", field));
    usleep(kHeldUpMs * 1000);
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 2; }));
    EXPECT_LT(GetExcess(worker, 1, last_sent_us), kSlackMs);
    EXPECT_GT(GetDeadline(worker->requests[1]), kLeftMs - kHeldUpMs - 500);
}

TEST_F(GateTimeLeftHeldUp, RequestOnNewConnection)
{
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok()});
    Connect();
    Send(Request("POST", field));
    usleep(kHeldUpMs * 1000);
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 1; }));
    EXPECT_LT(GetExcess(worker, 0, last_sent_us), kSlackMs);
}

/* The time counts from the first byte, whose wait is known as it is read. */
TEST_F(GateTimeLeftHeldUp, BodyComesLater)
{
    std::string request = Request("POST", field);
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok()});
    Connect();
    Send(request.substr(0, request.size() - 1));
    int64_t first_us = last_sent_us;
    usleep(kHeldUpMs * 1000);
    rig.RunFor(100);
    Send(request.substr(request.size() - 1));
    usleep(kHeldUpMs / 4 * 1000);
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 1; }));
    EXPECT_LT(GetExcess(worker, 0, first_us), kSlackMs);
}

/* No worker gets a request whose time has passed. */
TEST_F(GateTimeLeftHeldUp, TimeHasPassed)
{
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok()});
    Connect();
    Send(Request("POST", field));
    usleep((kLeftMs + 300) * 1000);
    rig.RunFor(300);
    EXPECT_EQ(worker->requests.size(), 0u);
}

/* A connection that was idle for long makes no request an old one. */
TEST_F(GateTimeLeftHeldUp, ConnectionWasIdle)
{
    rig.SetRoute({});
    Worker *worker = rig.AddWorker({Ok()});
    Connect();
    rig.RunFor(kHeldUpMs);
    Send(Request("POST", field));
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 1; }));
    EXPECT_GT(GetDeadline(worker->requests[0]), kLeftMs - 500);
}

} // namespace
