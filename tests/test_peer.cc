// Peer links over loopback. Frames are delivered in both directions.
// Unauthorised peers, damaged frames, oversized headers and slow senders
// neither crash a VM nor keep memory or links allocated on it.
#include "c_api.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "peer.h"
}

namespace {

// One end of a link, with counters of the callbacks.
struct PeerEnd {
    Peer *peer;
    std::string address_of_other;
    int frames = 0;
    int link_downs = 0;
    int64_t now_us = g_get_monotonic_time();

    explicit PeerEnd(const char *vm, const char *key = nullptr)
    {
        PeerOptions options = Peer_DefaultOptions();
        LsError err;
        options.vm = vm;
        options.incarnation = 7;
        options.key_hex = key;
        options.context = this;
        options.find_address = [](void *context, const char *) {
            return static_cast<PeerEnd *>(context)->address_of_other.c_str();
        };
        options.on_frame = [](void *context, const char *,
                              const Wire__Frame *) {
            static_cast<PeerEnd *>(context)->frames++;
        };
        options.on_link_down = [](void *context, const char *) {
            static_cast<PeerEnd *>(context)->link_downs++;
        };
        peer = Peer_New(&options, &err);
    }
    ~PeerEnd()
    {
        Peer_Free(peer);
    }
    std::string
    Address() const
    {
        return "127.0.0.1:" + std::to_string(Peer_GetPort(peer));
    }
    // Polls and handles events `rounds` times. Time is advanced by by_us first
    // and does not pass by itself.
    void
    Run(int rounds = 20, int64_t by_us = 0)
    {
        now_us += by_us;
        for (int i = 0; i < rounds; i++) {
            GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
            Peer_AddPollFds(peer, fds);
            auto *rows = reinterpret_cast<struct pollfd *>(fds->data);
            poll(rows, fds->len, 1);
            Peer_Run(peer, rows, fds->len, now_us);
            g_array_unref(fds);
        }
    }
    guint
    Links()
    {
        GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
        Peer_AddPollFds(peer, fds);
        guint links = fds->len - 1;
        g_array_unref(fds);
        return links;
    }
};

int
Connect(const PeerEnd &end)
{
    struct sockaddr_in address = {};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_port = htons(Peer_GetPort(end.peer));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    EXPECT_EQ(connect(fd, reinterpret_cast<struct sockaddr *>(&address),
                      sizeof(address)),
              0);
    return fd;
}

std::string
Pack(const Wire__Frame *frame)
{
    size_t size = wire__frame__get_packed_size(frame);
    std::string text(size + 4, '\0');
    uint32_t header = htonl(static_cast<uint32_t>(size));
    memcpy(&text[0], &header, 4);
    wire__frame__pack(frame, reinterpret_cast<uint8_t *>(&text[4]));
    return text;
}

std::string
Hello(const char *vm)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Hello hello = WIRE__HELLO__INIT;
    hello.vm = const_cast<char *>(vm);
    frame.body_case = WIRE__FRAME__BODY_HELLO;
    frame.hello = &hello;
    return Pack(&frame);
}

std::string
Release(const char *request)
{
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    release.request = const_cast<char *>(request);
    frame.body_case = WIRE__FRAME__BODY_RELEASE;
    frame.release = &release;
    return Pack(&frame);
}

TEST(Peer, FramesPassBothWaysOnOneLink)
{
    PeerEnd a("vm-a");
    PeerEnd b("vm-b");
    a.address_of_other = b.Address();
    Wire__Frame frame = WIRE__FRAME__INIT;
    Wire__Release release = WIRE__RELEASE__INIT;
    frame.body_case = WIRE__FRAME__BODY_RELEASE;
    frame.release = &release;
    Peer_SendFrame(a.peer, "vm-b", &frame);
    for (int i = 0; i < 20; i++) {
        a.Run(1);
        b.Run(1);
    }
    EXPECT_EQ(b.frames, 2); // Hello and release.
    Peer_SendFrame(b.peer, "vm-a", &frame);
    for (int i = 0; i < 20; i++) {
        b.Run(1);
        a.Run(1);
    }
    EXPECT_EQ(a.frames, 2);
    EXPECT_EQ(a.Links() + b.Links(), 2u);
}

// A VM with a key accepts frames only from a VM with the same key.
TEST(Peer, OnlyPeersWithTheSameKeyAreAccepted)
{
    const char kKey[] = "00112233445566778899aabbccddeeff";
    const char kOtherKey[] = "ff112233445566778899aabbccddeeff";
    struct Case {
        const char *name;
        const char *key;
        int frames;
    };
    for (const Case &row :
         {Case{"the same key", kKey, 2}, Case{"another key", kOtherKey, 0},
          Case{"no key", nullptr, 0}}) {
        PeerEnd a("vm-a", row.key);
        PeerEnd b("vm-b", kKey);
        a.address_of_other = b.Address();
        Wire__Frame frame = WIRE__FRAME__INIT;
        Wire__Release release = WIRE__RELEASE__INIT;
        frame.body_case = WIRE__FRAME__BODY_RELEASE;
        frame.release = &release;
        Peer_SendFrame(a.peer, "vm-b", &frame);
        for (int i = 0; i < 60; i++) {
            a.Run(1);
            b.Run(1);
        }
        EXPECT_EQ(b.frames, row.frames) << row.name;
    }
}

// Without a key only loopback addresses are allowed, and a key must be hex
// digits of a minimum length.
TEST(Peer, KeyIsRequiredOutsideLoopback)
{
    struct Case {
        const char *address;
        const char *key;
        bool starts;
    };
    for (const Case &row :
         {Case{"0.0.0.0", nullptr, false}, Case{"127.0.0.1", nullptr, true},
          Case{"127.0.0.1", "short", false},
          Case{"127.0.0.1", "0011", false}}) {
        PeerOptions options = Peer_DefaultOptions();
        LsError err = {};
        options.bind_address = row.address;
        options.key_hex = row.key;
        Peer *peer = Peer_New(&options, &err);
        EXPECT_EQ(peer != nullptr, row.starts) << row.address;
        EXPECT_EQ(err.code, row.starts ? LS_OK : LS_ERR_SETTING);
        if (peer != nullptr) {
            Peer_Free(peer);
        }
    }
}

// A link whose first frames are invalid is closed.
TEST(Peer, InvalidFirstFramesCloseTheLink)
{
    struct Case {
        const char *name;
        std::string bytes;
        bool closes;
    };
    const Case cases[] = {
        {"another protocol", "GET / HTTP/1.1\r\n\r\n", true},
        {"a frame before the hello", Release("r"), true},
        {"a hello without a VM name", Hello(""), true},
        {"a hello with the receiver's own name", Hello("vm-a"), true},
        {"an oversized first frame", std::string("\x00\x10\x00\x00", 4), true},
        {"an oversized later frame",
         Hello("vm-x") + std::string("\x7f\x00\x00\x00", 4), true},
        {"an invalid protobuf message",
         Hello("vm-x") + std::string("\x00\x00\x00\x02\xff\xff", 6), true},
        {"a valid hello", Hello("vm-x"), false},
    };
    for (const Case &row : cases) {
        PeerEnd a("vm-a");
        int fd = Connect(a);
        EXPECT_EQ(write(fd, row.bytes.data(), row.bytes.size()),
                  static_cast<ssize_t>(row.bytes.size()));
        a.Run();
        EXPECT_EQ(a.Links(), row.closes ? 0u : 1u) << row.name;
        close(fd);
    }
}

TEST(Peer, SlowAndSilentPeersTimeOut)
{
    PeerEnd a("vm-a");
    int fd = Connect(a);
    std::string hello = Hello("vm-x");
    EXPECT_EQ(write(fd, hello.data(), 3), 3);
    a.Run();
    EXPECT_EQ(a.Links(), 1u);
    a.Run(20, 3 * CLK_US_PER_S); // No complete hello within 2 s.
    EXPECT_EQ(a.Links(), 0u);
    close(fd);

    // The peer stops sending while its connection stays open.
    fd = Connect(a);
    hello += Release("r");
    EXPECT_EQ(write(fd, hello.data(), hello.size()),
              static_cast<ssize_t>(hello.size()));
    a.Run();
    EXPECT_EQ(a.Links(), 1u);
    a.Run(20, 1 * CLK_US_PER_S); // A ping is sent.
    EXPECT_EQ(a.Links(), 1u);
    a.Run(20, 3 * CLK_US_PER_S); // The ping is not answered within 2 s.
    EXPECT_EQ(a.Links(), 0u);
    EXPECT_EQ(a.link_downs, 1);
    close(fd);
}

// Random bytes of valid frames are overwritten, with a fixed seed.
TEST(Peer, DamagedFramesNeverCrash)
{
    GRand *rand = g_rand_new_with_seed(11);
    PeerEnd a("vm-a");
    for (int round = 0; round < 400; round++) {
        std::string bytes = Hello("vm-x");
        for (int i = 0; i < 5; i++) {
            bytes += Release("vm-1.661c4271e05da.5");
        }
        int changes = g_rand_int_range(rand, 1, 6);
        for (int i = 0; i < changes; i++) {
            size_t at = static_cast<size_t>(
                g_rand_int_range(rand, 0, static_cast<gint32>(bytes.size())));
            bytes[at] = static_cast<char>(g_rand_int_range(rand, 0, 256));
        }
        int fd = Connect(a);
        EXPECT_GT(write(fd, bytes.data(), bytes.size()), 0);
        a.Run(3);
        close(fd);
        a.Run(3);
    }
    a.Run(20, 5 * CLK_US_PER_S);
    EXPECT_EQ(a.Links(), 0u);
    g_rand_free(rand);
}

} // namespace
