/* Tests of the gate's test rig: what another process may do meanwhile changes
   nothing in a test. */
#include "gate_rig.h"

extern "C" {
#include "proxy.h"
}

#include <atomic>
#include <set>
#include <sys/wait.h>
#include <thread>

namespace {

/* Two processes that run side by side. A VM of one would hear what is sent to
   a VM of the other one that has ended. */
TEST(Rig, PortsBelongToOneProcess)
{
    const size_t count = 300;
    int ends[2];
    uint16_t others[count];
    ASSERT_EQ(pipe(ends), 0);
    pid_t pid = fork();
    if (pid == 0) {
        /* It begins with blocks of its own, as each process does. */
        PortBlocks blocks;
        for (uint16_t &port : others) {
            port = blocks.Next();
        }
        ssize_t size = write(ends[1], others, sizeof(others));
        pause();
        _exit(size == (ssize_t)sizeof(others) ? 0 : 1);
    }
    ASSERT_GT(pid, 0);
    EXPECT_EQ(read(ends[0], others, sizeof(others)), (ssize_t)sizeof(others));
    std::set<uint16_t> taken(others, others + count);
    EXPECT_EQ(taken.size(), count);
    EXPECT_EQ(taken.count(0), 0U);
    for (int i = 0; i < 3 * PortBlocks::claims_max * PortBlocks::size; i++) {
        uint16_t port = FreePort();
        EXPECT_GT(port, 0);
        EXPECT_EQ(taken.count(port), 0U);
    }
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    close(ends[0]);
    close(ends[1]);
}

/* Small writes on an open connection arrive within virtual milliseconds, with
   a proxy of the soak between them or without: none waits for the
   acknowledgement of the one before, which comes in real time and late where
   the peer has just sent something. */
TEST(Rig, SmallWritesLeaveAtOnce)
{
    const size_t requests = 50;
    for (bool is_proxied : {false, true}) {
        SCOPED_TRACE(is_proxied ? "through a proxy" : "direct");
        event_base *base = event_base_new();
        Clk clk = Clk_Default();
        auto replies = std::make_shared<std::deque<ScriptedReply>>(
            requests, ScriptedReply{"answer"});
        auto worker = std::make_unique<Worker>(base, replies);
        auto port = (uint16_t)std::stoi(
            worker->address.substr(worker->address.find(':') + 1));
        Proxy *proxy = Proxy_New(base, port);
        auto caller = std::make_unique<Caller>(
            base, is_proxied ? Proxy_GetPort(proxy) : port);
        auto run_for = [&](int64_t ms) {
            int64_t end_us = Clk_Now(&clk) + ms * CLK_US_PER_MS;
            RunUntil(base, &clk, [&] { return Clk_Now(&clk) >= end_us; });
        };
        for (size_t i = 1; i <= requests; i++) {
            for (const char *part :
                 {"POST / HTTP/1.1\r\n", "Content-Length: 1\r\n\r\n", "b"}) {
                caller->Send(part);
                run_for(3);
            }
            ASSERT_EQ(worker->requests.size(), i);
            for (const char *part : {"x", "y"}) {
                size_t size = caller->text.size();
                worker->SendToLast(part);
                run_for(3);
                ASSERT_EQ(caller->text.size(), size + 1) << "request " << i;
            }
        }
        caller.reset();
        Proxy_Free(proxy);
        worker.reset();
        event_base_free(base);
    }
}

/* Another process tries to get the port of a worker that is dark or crashed
   and starts again. */
TEST(Rig, WorkerKeepsItsPort)
{
    for (bool is_dark : {true, false}) {
        SCOPED_TRACE(is_dark ? "dark" : "crashed");
        event_base *base = event_base_new();
        auto replies = std::make_shared<std::deque<ScriptedReply>>();
        auto worker = std::make_unique<Worker>(base, replies);
        sockaddr_in local = {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        local.sin_port = htons((uint16_t)std::stoi(
            worker->address.substr(worker->address.find(':') + 1)));
        std::atomic<bool> is_over{false};
        std::atomic<int> tries{0};
        std::atomic<int> taken{0};
        std::thread other([&] {
            while (!is_over) {
                int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                taken += bind(fd, (sockaddr *)&local, sizeof(local)) == 0;
                tries++;
                close(fd);
            }
        });
        for (int i = 0; i < 500; i++) {
            int before = tries;
            is_dark ? worker->GoDark() : worker->Crash();
            worker->Restart();
            while (tries == before) {
                std::this_thread::yield();
            }
        }
        is_over = true;
        other.join();
        EXPECT_EQ(taken, 0);
        EXPECT_TRUE(worker->IsUp());
        worker.reset();
        event_base_free(base);
    }
}

/* Ports of outgoing connections stay taken for a minute: a listener among them
   finds none once many tests have run. */
TEST(Rig, WorkersGetPortsOfTheProcess)
{
    event_base *base = event_base_new();
    for (int i = 0; i < 3 * PortBlocks::size * PortBlocks::claims_max; i++) {
        Worker worker(base, std::make_shared<std::deque<ScriptedReply>>());
        int port =
            std::stoi(worker.address.substr(worker.address.find(':') + 1));
        EXPECT_LE(port, +PortBlocks::last);
    }
    event_base_free(base);
}

} // namespace
