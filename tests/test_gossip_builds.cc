/* Tests of VMs that run beside VMs of other builds: what one may rely on in
   another one is said by that one. */
#include "fleet_rig.h"

#include <set>

extern "C" {
#include "gate/gossip.h"
#include "gossip.pb-c.h"
}

namespace {

/* A VM of another build: it sends the messages that a test makes, and answers
   requests of other VMs as a build that knows only those for snapshots. */
class OtherVm {
  public:
    using Fill = std::function<void(Gossip__News *)>;

    OtherVm(event_base *base, uint16_t to, Fill fill = nullptr)
        : fill(fill), base_(base), to_(to)
    {
        sockaddr_in local = {};
        timeval tick = {0, 100000};
        do {
            listener = std::make_unique<Worker>(
                base, std::make_shared<std::deque<ScriptedReply>>(
                          100, ScriptedReply{"HTTP/1.1 404 Not Found\r\n"
                                             "Content-Length: 0\r\n\r\n"}));
            local.sin_family = AF_INET;
            local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            local.sin_port = htons((uint16_t)std::stoi(
                listener->address.substr(listener->address.find(':') + 1)));
            fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        } while (bind(fd_, (sockaddr *)&local, sizeof(local)) != 0);
        address = (uint64_t)INADDR_LOOPBACK << 16 | ntohs(local.sin_port);
        timer_ = event_new(
            base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void *context) {
                static_cast<OtherVm *>(context)->Send();
            },
            this);
        event_add(timer_, &tick);
        Send();
    }

    ~OtherVm()
    {
        event_free(timer_);
        close(fd_);
    }

    void
    Send()
    {
        Gossip__News news = GOSSIP__NEWS__INIT;
        uint8_t data[1400];
        sockaddr_in to = {};
        news.vm = (char *)"other";
        news.incarnation = incarnation;
        news.number = ++sent_;
        news.address = address;
        news.vms = 2;
        if (fill) {
            fill(&news);
        }
        std::vector<uint8_t> bytes(data,
                                   data + gossip__news__pack(&news, data));
        bytes.insert(bytes.end(), more.begin(), more.end());
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(to_);
        sendto(fd_, bytes.data(), bytes.size(), 0, (sockaddr *)&to,
               sizeof(to));
    }

    Fill fill;
    std::vector<uint8_t> more; /* Appended to each message. */
    std::unique_ptr<Worker> listener;
    uint64_t address;
    uint64_t incarnation = 1;

  private:
    event_base *base_;
    uint16_t to_;
    int fd_;
    uint32_t sent_ = 0;
    event *timer_;
};

const Route once = {RTE_NON_IDEMPOTENT, 2, false, 3000, 400};

std::string
CallText(int number)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
           std::to_string(number) +
           "\r\nX-Deadline-Ms: 2500\r\nContent-Length: 1\r\n\r\nb";
}

/* Requests that a VM passes on although it is not known to serve them would
   end with its 404. */
TEST(OtherBuild, GetsNoRequestUnlessItSaysThatItServesThem)
{
    FleetRig rig(once, 1, 0);
    rig.AddWorker(std::vector<ScriptedReply>(100, Ok()));
    OtherVm other(rig.base, rig.peer_ports[0]);
    rig.RunFor(600);
    rig.CutOff(0, FleetRig::REFUSE);
    std::vector<Caller *> callers;
    for (int i = 0; i < 10; i++) {
        callers.push_back(rig.Call(0, CallText(i)));
        rig.RunFor(150);
    }
    rig.RunFor(2600);
    for (Caller *caller : callers) {
        EXPECT_EQ(caller->Status(), 503) << caller->text;
    }
    EXPECT_TRUE(other.listener->requests.empty());
}

} // namespace
