/* Tests of callers that read their streams slowly, or not at all. */
#include "gate_rig.h"

extern "C" {
#include "decide/unread.h"
}

#include <fstream>
#include <sys/ioctl.h>

/* Of a sanitizer's allocator; not there in a build without one. */
extern "C" size_t __sanitizer_get_current_allocated_bytes()
    __attribute__((weak));

namespace {

const size_t event_bytes = 16 * 1024;

std::string
BigEvent(int id)
{
    return "id: " + std::to_string(id) +
           "\ndata: " + std::string(event_bytes, (char)('a' + id % 26)) +
           "\n\n";
}

/* A worker that streams `count` big events to each request as fast as they
   are read. */
struct BigStreams {
    struct Conn {
        BigStreams *owner;
        bufferevent *bev;
        int next;
    };
    event_base *base;
    evconnlistener *listener;
    std::string address;
    int count;
    int closed = 0;
    std::vector<std::unique_ptr<Conn>> conns;

    BigStreams(event_base *event_base, int events)
        : base(event_base), count(events)
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = evconnlistener_new_bind(base, OnAccept, this,
                                           LEV_OPT_CLOSE_ON_FREE, 1024,
                                           (sockaddr *)&local, sizeof(local));
        getsockname(evconnlistener_get_fd(listener), (sockaddr *)&local,
                    &size);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }

    ~BigStreams()
    {
        for (auto &conn : conns) {
            bufferevent_free(conn->bev);
        }
        evconnlistener_free(listener);
    }

    static void
    OnAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int,
             void *context)
    {
        BigStreams *self = static_cast<BigStreams *>(context);
        self->conns.push_back(std::make_unique<Conn>());
        Conn *conn = self->conns.back().get();
        SetNoDelay(fd);
        conn->owner = self;
        conn->next = -1;
        conn->bev =
            bufferevent_socket_new(self->base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(conn->bev, OnRead, OnWrite, OnEvent, conn);
        bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
    }

    static void
    OnRead(bufferevent *bev, void *context)
    {
        Conn *conn = static_cast<Conn *>(context);
        evbuffer *in = bufferevent_get_input(bev);
        std::string text(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, &text[0], text.size());
        size_t at = text.find("X-Request-Id: ");
        if (at == std::string::npos) {
            return;
        }
        std::string head = StreamHead("Transfer-Encoding: chunked\r\n");
        head.replace(head.find("%ID"), 3,
                     text.substr(at + 14, text.find("\r\n", at) - at - 14));
        bufferevent_write(bev, head.data(), head.size());
        conn->next = 0;
    }

    static void
    OnWrite(bufferevent *bev, void *context)
    {
        Conn *conn = static_cast<Conn *>(context);
        if (conn->next < 0 || conn->next > conn->owner->count) {
            return;
        }
        std::string bytes = conn->next < conn->owner->count
                                ? Chunk(BigEvent(conn->next))
                                : "0\r\n\r\n";
        conn->next++;
        bufferevent_write(bev, bytes.data(), bytes.size());
    }

    static void
    OnEvent(bufferevent *bev, short, void *context)
    {
        static_cast<Conn *>(context)->owner->closed++;
        bufferevent_disable(bev, EV_READ | EV_WRITE);
    }
};

/* A caller whose host takes few bytes that it doesn't read. */
struct SlowCaller {
    bufferevent *bev;
    std::string text;
    size_t text_max = SIZE_MAX; /* It stops to read there. */
    bool closed = false;

    SlowCaller(event_base *base, uint16_t port, const std::string &id)
    {
        sockaddr_in to = {};
        int size = 4096;
        int fd =
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        std::string request =
            "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
            "\r\nX-Token-Usage: 10,10\r\nContent-Length: 1\r\n\r\nb";
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            bev,
            [](bufferevent *from, void *context) {
                SlowCaller *self = static_cast<SlowCaller *>(context);
                char data[4096];
                size_t got;
                while (self->text.size() < self->text_max &&
                       (got = bufferevent_read(from, data, sizeof(data))) >
                           0) {
                    self->text.append(data, got);
                }
                if (self->text.size() >= self->text_max) {
                    bufferevent_disable(from, EV_READ);
                }
            },
            nullptr,
            [](bufferevent *, short what, void *context) {
                static_cast<SlowCaller *>(context)->closed |=
                    (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
            },
            this);
        bufferevent_enable(bev, EV_WRITE);
        bufferevent_socket_connect(bev, (sockaddr *)&to, sizeof(to));
        bufferevent_write(bev, request.data(), request.size());
    }

    ~SlowCaller()
    {
        bufferevent_free(bev);
    }

    bool
    IsComplete() const
    {
        return text.size() > 7 &&
               text.compare(text.size() - 7, 7, "\r\n0\r\n\r\n") == 0;
    }
};

/* Returns the memory in use. Sanitizers keep freed memory for a while, 256 MiB
   in the address sanitizer, which counts as resident. */
size_t
GetUsedBytes()
{
    if (__sanitizer_get_current_allocated_bytes != nullptr) {
        return __sanitizer_get_current_allocated_bytes();
    }
    std::ifstream statm("/proc/self/statm");
    size_t all = 0;
    size_t resident = 0;
    statm >> all >> resident;
    return resident * (size_t)sysconf(_SC_PAGESIZE);
}

/* Returns the bytes in the sockets of a listener's connections that their
   callers' hosts have not taken. */
size_t
GetQueuedBytes(uint16_t port)
{
    size_t sum = 0;
    for (int fd = 3; fd < 8192; fd++) {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        int queued = 0;
        if (getsockname(fd, (sockaddr *)&local, &size) == 0 &&
            local.sin_family == AF_INET && ntohs(local.sin_port) == port &&
            ioctl(fd, TIOCOUTQ, &queued) == 0) {
            sum += (size_t)queued;
        }
    }
    return sum;
}

void
Prepare(GateRig *rig, const BigStreams &worker)
{
    rig->lease_max_ms = 0;
    rig->SetRoute({RTE_STREAM, 1, false, 60000}, true);
    rig->AddWorker({}, FLEET_PHASE_DECODE, worker.address);
    rig->last_worker->entry.slots = 1000;
}

TEST(GateUnread, Decision)
{
    const struct {
        UnreadState state;
        UnreadStep step;
    } rows[] = {
        {{0, false, 0}, UNREAD_KEEP},
        {{UNREAD_PAUSE_BYTES, false, 0}, UNREAD_KEEP},
        {{UNREAD_PAUSE_BYTES + 1, false, 0}, UNREAD_PAUSE},
        {{UNREAD_PAUSE_BYTES + 1, true, 0}, UNREAD_KEEP},
        {{UNREAD_RESUME_BYTES, true, 0}, UNREAD_KEEP},
        {{UNREAD_RESUME_BYTES - 1, true, 0}, UNREAD_RESUME},
        {{UNREAD_MAX_BYTES, true, 0}, UNREAD_KEEP},
        {{UNREAD_MAX_BYTES + 1, false, 0}, UNREAD_GIVE_UP},
        {{UNREAD_RESUME_BYTES, true, UNREAD_PAUSE_MAX_US}, UNREAD_GIVE_UP},
    };
    for (const auto &row : rows) {
        SCOPED_TRACE(row.state.bytes);
        EXPECT_EQ(Unread_Decide(&row.state), row.step);
    }
    EXPECT_EQ(Unread_NewSum(88).max, (size_t)22 * 1024 * 1024);
    EXPECT_EQ(Unread_NewSum(0).max, UNREAD_SUM_MAX_BYTES);
}

/* Such a stream was cut off at 1 MiB of unread bytes. */
TEST(GateUnread, CallerThatReadsInStepsGetsEveryByte)
{
    const int count = 250; /* 4 MB */
    GateRig rig;
    BigStreams worker(rig.base, count);
    Prepare(&rig, worker);
    SlowCaller caller(rig.base, Edge_GetPort(rig.edge), "id-1");
    for (int i = 0; i < 200 && !caller.IsComplete() && !caller.closed; i++) {
        rig.RunFor(i % 10 == 0 ? 2500 : 300);
        caller.text_max = caller.text.size() + 200 * 1024;
        bufferevent_enable(caller.bev, EV_READ);
        bufferevent_trigger(caller.bev, EV_READ, 0);
        rig.Until([&] {
            return caller.text.size() >= caller.text_max ||
                   caller.IsComplete() || caller.closed;
        });
    }
    ASSERT_TRUE(caller.IsComplete());
    size_t at = 0;
    for (int i = 0; i < count; i++) {
        at = caller.text.find(Chunk(BigEvent(i)), at);
        ASSERT_NE(at, std::string::npos) << "event " << i;
    }
}

/* Each stream below 1 MiB was held whole, without a bound for all. */
TEST(GateUnread, CallersThatReadNothingTakeNoMemoryFromOthers)
{
    GateRig rig;
    BigStreams worker(rig.base, 50); /* 0.8 MB each */
    std::vector<std::unique_ptr<SlowCaller>> silent;
    Prepare(&rig, worker);
    size_t before = GetUsedBytes();
    size_t most = 0;
    int served = 0;
    for (int i = 0; i < 500; i++) {
        silent.push_back(std::make_unique<SlowCaller>(
            rig.base, Edge_GetPort(rig.edge), "s-" + std::to_string(i)));
    }
    for (int i = 0; i < 40; i++) {
        SlowCaller reader(rig.base, Edge_GetPort(rig.edge),
                          "r-" + std::to_string(i));
        bufferevent_enable(reader.bev, EV_READ);
        rig.Until([&] { return reader.IsComplete() || reader.closed; });
        served += reader.IsComplete();
        most = std::max(most, GetUsedBytes() +
                                  GetQueuedBytes(Edge_GetPort(rig.edge)));
        rig.RunFor(100);
    }
    EXPECT_EQ(served, 40);
    /* The bound for all responses, and twice as much for what is in sockets,
       what is on its way, and the test's own buffers. */
    EXPECT_LT(most - before, 3 * UNREAD_SUM_MAX_BYTES);
    EXPECT_TRUE(rig.Until([&] { return worker.closed >= 500; }));
}

/* Without the bound for all responses, none is given up before the time that
   each may be held up. */
TEST(GateUnread, SumOfAllResponsesIsBounded)
{
    for (uint32_t memory_mb : {0u, 16u}) {
        SCOPED_TRACE(memory_mb);
        GateRig rig(memory_mb);
        BigStreams worker(rig.base, 50);
        std::vector<std::unique_ptr<SlowCaller>> silent;
        Prepare(&rig, worker);
        for (int i = 0; i < 100; i++) {
            silent.push_back(std::make_unique<SlowCaller>(
                rig.base, Edge_GetPort(rig.edge), "s-" + std::to_string(i)));
        }
        rig.RunFor(1500);
        /* 4 MiB hold 32 of them, each held up above 128 KiB. */
        EXPECT_EQ(worker.closed > 60, memory_mb != 0);
        EXPECT_LT(worker.closed, 90);
        SlowCaller reader(rig.base, Edge_GetPort(rig.edge), "r");
        bufferevent_enable(reader.bev, EV_READ);
        rig.Until([&] { return reader.IsComplete() || reader.closed; });
        EXPECT_TRUE(reader.IsComplete());
    }
}

} // namespace
