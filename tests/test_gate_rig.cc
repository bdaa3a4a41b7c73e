/* Tests of the gate's test rig: what another process may do meanwhile changes
   nothing in a test. */
#include "gate_rig.h"

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

} // namespace
