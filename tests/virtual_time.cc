/* Virtual time for tests that run in one process: the monotonic clock stands
   still while the process works or waits for a processor, and moves on only
   while all its sockets are idle. So a busy machine changes no order of
   events. Linked into a test, it replaces the C library's clock_gettime() and
   epoll_wait(), which GLib and libevent call. */
#include "virtual_time.h"

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr int64_t kNsPerS = 1000000000;
constexpr int64_t kNsPerMs = 1000000;
/* The time moves by this much with each reading, so that a loop which waits
   for it without a call to epoll_wait() ends. */
constexpr int64_t kReadNs = 20;
/* Sockets that are quiet for this real time are idle: what was sent over
   loopback arrives within some 10 us. */
constexpr int64_t kIdleNs = 100000;

std::atomic<int64_t> now_ns{1000 * kNsPerS};
std::atomic<int64_t> suspended_ns{0};

/* Returns what has happened at the sockets, after kIdleNs at most. */
int
poll_events(int fd, epoll_event *events, int max)
{
    pollfd sockets = {fd, POLLIN, 0};
    timespec timeout = {0, kIdleNs};
    ppoll(&sockets, 1, &timeout, nullptr);
    return epoll_pwait(fd, events, max, 0, nullptr);
}

} // namespace

/* Lets time pass in which the process does nothing, as if it were stopped. If
   it is suspended, the monotonic clock stands still meanwhile. */
void
VirtualTime_Stop(int64_t ms, bool is_suspended)
{
    (is_suspended ? suspended_ns : now_ns) += ms * kNsPerMs;
}

extern "C" int
clock_gettime(clockid_t id, timespec *ts) noexcept
{
    if (id != CLOCK_MONOTONIC && id != CLOCK_MONOTONIC_COARSE &&
        id != CLOCK_MONOTONIC_RAW && id != CLOCK_BOOTTIME) {
        return (int)syscall(SYS_clock_gettime, id, ts);
    }
    int64_t ns = now_ns.fetch_add(kReadNs);
    ns += id == CLOCK_BOOTTIME ? suspended_ns.load() : 0;
    *ts = {(time_t)(ns / kNsPerS), (long)(ns % kNsPerS)};
    return 0;
}

extern "C" int
epoll_wait(int fd, epoll_event *events, int max, int timeout_ms)
{
    int count = epoll_pwait(fd, events, max, 0, nullptr);
    for (int waited_ms = 0; count == 0 && waited_ms != timeout_ms;
         waited_ms++) {
        count = poll_events(fd, events, max);
        if (count == 0) {
            now_ns += kNsPerMs;
        }
    }
    return count;
}

/* How long data has waited in a socket is told in real time only, so it is
   unknown here. */
extern "C" int
getsockopt(int fd, int level, int name, void *value, socklen_t *size) noexcept
{
    if (level == IPPROTO_TCP && name == TCP_INFO) {
        errno = ENOPROTOOPT;
        return -1;
    }
    return (int)syscall(SYS_getsockopt, fd, level, name, value, size);
}
