/* Tests of VMs that run beside VMs of other builds: what one may rely on in
   another one is said by that one. */
#include "fleet_rig.h"

#include <set>
#include <xxhash.h>

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

/* Beside a VM that says nothing of the workers that it hears, the crash of all
   workers is no cut: no way round could begin there. */
TEST(OtherBuild, SilentOnWorkersIsNoSignOfACut)
{
    FleetRig rig(once, 1, 0);
    rig.AddWorker(std::vector<ScriptedReply>(100, Ok()));
    OtherVm other(rig.base, rig.peer_ports[0]);
    uint64_t cuts = Met_Get(MET_SERVICES_CUT);
    rig.RunFor(600);
    rig.restart_ms = 60000;
    rig.workers[0]->Crash();
    for (int i = 0; i < 10; i++) {
        rig.Call(0, CallText(i));
        rig.RunFor(150);
    }
    EXPECT_EQ(Met_Get(MET_SERVICES_CUT), cuts);
}

/* A VM of an earlier build uses what the field says is left, and tells nothing
   of it: one attempt. */
TEST(OtherBuild, IsLeftOneAttempt)
{
    for (uint32_t attempts : {1U, 2U, 3U}) {
        const Route route = {RTE_IDEMPOTENT, attempts, false, 3000, 400};
        FleetRig rig(route, 1, 0);
        for (int i = 0; i < 2; i++) {
            rig.AddWorker(std::vector<ScriptedReply>(100, Ok()));
        }
        Gossip__Reach reach = GOSSIP__REACH__INIT;
        Gossip__Reach *reaches[] = {&reach};
        reach.service = XXH3_64bits("svc", 3);
        reach.worker = rig.Find(0, 0)->hash;
        reach.age_ms = 1;
        OtherVm other(rig.base, rig.peer_ports[0], [&](Gossip__News *news) {
            news->serves = GATE_SERVES_KNOWN;
            news->reaches = reaches;
            news->n_reaches = 1;
        });
        rig.RunFor(600);
        rig.CutOff(0, FleetRig::REFUSE);
        for (int i = 0; i < 8; i++) {
            rig.Call(0, CallText(i));
            rig.RunFor(250);
        }
        EXPECT_FALSE(other.listener->requests.empty());
        for (const std::string &text : other.listener->requests) {
            size_t at = text.find("Lavenderspool-Relayed: ");
            ASSERT_NE(at, std::string::npos);
            EXPECT_EQ(std::stoul(text.substr(at + 23)), attempts - 1);
        }
    }
}

/* A VM's gossip without a gate. */
class OwnVm {
  public:
    OwnVm()
    {
        LsError err = {};
        GosOptions options = Gos_DefaultOptions();
        const FleetOptions fleet_options = Fleet_DefaultOptions();
        base = event_base_new();
        clk = Clk_Default();
        fleet = Fleet_New(&fleet_options);
        options.base = base;
        options.clk = &clk;
        options.port = port = FreePort();
        options.vm = "own";
        options.fleet = fleet;
        options.incarnation = 7;
        options.context = this;
        gos = Gos_New(&options, &err);
        EXPECT_NE(gos, nullptr) << err.message;
    }

    ~OwnVm()
    {
        Gos_Free(gos);
        Fleet_Free(fleet);
        event_base_free(base);
    }

    Holders
    GetHolders() const
    {
        Holders holders = {};
        Gos_ListHolders(gos, &holders);
        return holders;
    }

    void
    RunFor(int64_t ms)
    {
        int64_t end_us = Clk_Now(&clk) + ms * CLK_US_PER_MS;
        RunUntil(base, &clk, [&] { return Clk_Now(&clk) >= end_us; });
    }

    event_base *base;
    Clk clk;
    Fleet *fleet;
    Gos *gos;
    uint16_t port;
};

struct ServesCase {
    const char *name;
    bool answers_reach;
    uint32_t serves;
    bool is_holder;
};

const ServesCase serves_cases[] = {
    {"says nothing", false, 0, false},
    {"says only that it answers questions for workers", true,
     GATE_SERVES_REACH, false},
    {"answers lookups", true, GATE_SERVES_REACH | GATE_SERVES_LOOKUPS, true},
    {"says more than this build knows", true,
     GATE_SERVES_LOOKUPS | UINT32_C(1) << 31, true},
    {"the build before the set", true, 0, true},
};

/* A holder that answers no lookup makes each one wait for its time-out, and
   its workers count as not asked. */
TEST(OtherBuild, IsAHolderOnlyIfItSaysThatItAnswersLookups)
{
    for (const ServesCase &row : serves_cases) {
        SCOPED_TRACE(row.name);
        OwnVm own;
        OtherVm other(own.base, own.port, [&](Gossip__News *news) {
            news->answers_reach = row.answers_reach;
            news->serves = row.serves;
        });
        own.RunFor(300);
        ASSERT_EQ(Gos_CountLivePeers(own.gos), 1U);
        Holders holders = own.GetHolders();
        EXPECT_TRUE(Holders_Contains(&holders, holders.self));
        EXPECT_EQ(Holders_Contains(&holders, other.address), row.is_holder);
    }
}

/* Unknown fields and values are ignored, counted, and logged once for each
   start of the sender. */
TEST(OtherBuild, UnknownContentIsIgnoredAndCounted)
{
    Gossip__Found found = GOSSIP__FOUND__INIT;
    Gossip__Found *rows[] = {&found};
    found.kept = 9;
    const struct {
        const char *name;
        OtherVm::Fill fill;
        std::vector<uint8_t> more; /* Wire format. */
        bool is_unknown;
    } cases[] = {
        {"known", [](Gossip__News *news) { news->serves = 7; }, {}, false},
        {"a field", nullptr, {0xc0, 0x3e, 5}, true},
        {"a field of a table", nullptr, {0x82, 1, 3, 0xa0, 0x1f, 1}, true},
        {"a field of a hub", nullptr, {0x7a, 3, 0xa0, 0x1f, 1}, true},
        {"a thing that it serves",
         [](Gossip__News *news) { news->serves = UINT32_C(1) << 31; },
         {},
         true},
        {"a value",
         [&](Gossip__News *news) {
             news->found = rows;
             news->n_found = 1;
         },
         {},
         true},
    };
    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        OwnVm own;
        uint64_t count = Met_Get(MET_PEER_UNKNOWN_CONTENT);
        uint64_t newer = Met_Get(MET_PEERS_NEWER);
        OtherVm other(own.base, own.port, row.fill);
        other.more = row.more;
        own.RunFor(450);
        EXPECT_EQ(Gos_CountLivePeers(own.gos), 1U);
        EXPECT_EQ(Met_Get(MET_PEER_UNKNOWN_CONTENT) >= count + 3,
                  row.is_unknown);
        EXPECT_EQ(Met_Get(MET_PEERS_NEWER), newer + row.is_unknown);
        other.incarnation++;
        own.RunFor(250);
        EXPECT_EQ(Met_Get(MET_PEERS_NEWER), newer + 2 * row.is_unknown);
    }
}

/* In a large fleet the hubs are the holders. A VM hears the hubs of other
   regions by way of its own; one of a build that names no set of theirs must
   not make it forget what another one told. */
TEST(OtherBuild, HubsOfOtherRegionsAreHoldersAsTheyAreToldToServe)
{
    OwnVm own;
    const uint64_t remote = (uint64_t)INADDR_LOOPBACK << 16 | 9;
    Gossip__Hub row = GOSSIP__HUB__INIT;
    Gossip__Hub *rows[] = {&row};
    OtherVm hub(own.base, own.port, [&](Gossip__News *news) {
        news->vms = 100;
        news->capacity = 900;
        news->serves = GATE_SERVES_LOOKUPS;
        news->hubs = rows;
        news->n_hubs = 1;
    });
    row.address = remote;
    row.region = 77;
    row.capacity = 500;
    const struct {
        const char *name;
        uint32_t serves_told;
        bool is_holder;
    } steps[] = {
        {"nothing told yet", 0, true},
        {"told to answer lookups", 1 + GATE_SERVES_LOOKUPS, true},
        {"nothing told", 0, true},
        {"told to serve nothing", 1, false},
        {"nothing told, again", 0, false},
    };
    for (const auto &step : steps) {
        SCOPED_TRACE(step.name);
        row.serves_told = step.serves_told;
        own.RunFor(700);
        Holders holders = own.GetHolders();
        EXPECT_TRUE(Holders_Contains(&holders, hub.address));
        EXPECT_EQ(Holders_Contains(&holders, remote), step.is_holder);
    }
}

} // namespace
