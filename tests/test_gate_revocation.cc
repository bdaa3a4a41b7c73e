/* Tests of revocation: a removed key does not run later than the bound at any
   VM, and each VM takes keys again with its first proof. */
#include "revocation_rig.h"
#include "virtual_time.h"

#include <xxhash.h>

extern "C" {
#include "gossip.pb-c.h"
}

namespace {

const int bound_ms = 5000;
const std::vector<std::pair<std::string, std::string>> both = {
    {"acme", "old-key"}, {"other", "kept-key"}};
const std::vector<std::pair<std::string, std::string>> kept = {
    {"other", "kept-key"}};

/* Removes the key of "acme", and calls a VM with it until `ms` have passed.
   Returns when the last accepted call was sent, ms after the removal; -1:
   none. */
int64_t
Revoke(RevocationRig *rig, size_t vm, int64_t ms)
{
    int64_t removed_us = Clk_Now(&rig->clk);
    int64_t last_us = removed_us - CLK_US_PER_MS;
    rig->store->SetConfig(AccountsConfig(2, kept));
    while (Clk_Now(&rig->clk) < removed_us + ms * CLK_US_PER_MS) {
        int64_t sent_us = Clk_Now(&rig->clk);
        if (rig->Call(vm, "old-key") == 200) {
            last_us = sent_us;
        }
        rig->RunFor(40);
    }
    return (last_us - removed_us) / CLK_US_PER_MS;
}

/* A VM that reached nobody accepted a removed key for as long as it was cut
   off. Without the setting it still does. */
TEST(Revocation, HoldsAtAVmThatReachesNobody)
{
    for (SimStore::Path path : {SimStore::REJECTS, SimStore::SILENT}) {
        for (bool is_strict : {true, false}) {
            SCOPED_TRACE(path);
            SCOPED_TRACE(is_strict);
            RevocationRig rig(is_strict ? bound_ms : 0);
            rig.store->SetConfig(AccountsConfig(1, both));
            rig.AddVm("zone-a", false);
            rig.RunFor(2500);
            EXPECT_EQ(rig.Call(0, "old-key"), 200);
            rig.store->SetPath(0, path);
            int64_t last_ms = Revoke(&rig, 0, 8000);
            if (!is_strict) {
                EXPECT_GT(last_ms, 7000);
                continue;
            }
            EXPECT_LE(last_ms, bound_ms);
            EXPECT_EQ(rig.Call(0, "kept-key"), 503);
            EXPECT_NE(rig.last.find("\"code\":\"no_lease\""),
                      std::string::npos);
            EXPECT_NE(rig.last.find("\"run\":\"not_run\""), std::string::npos);
            EXPECT_NE(rig.last.find("Retry-After: "), std::string::npos);
            EXPECT_EQ(rig.CallFields(0, "/p/x", ""), 200);
            EXPECT_EQ(rig.CallFields(0, "/r/x", ""), 401);
            rig.store->SetPath(0, SimStore::OPEN);
            rig.RunFor(2500);
            EXPECT_EQ(rig.Call(0, "old-key"), 401);
            EXPECT_EQ(rig.Call(0, "kept-key"), 200);
        }
    }
}

/* The store turned a third of the VMs away for 9 s, which must not reject
   requests meanwhile, and must learn of the removal from the others. */
TEST(Revocation, VmsThatTheStoreTurnsAwayServeByTheProofsOfOthers)
{
    RevocationRig rig(bound_ms);
    rig.store->SetConfig(AccountsConfig(1, both));
    for (int i = 0; i < 3; i++) {
        rig.AddVm();
    }
    rig.RunFor(3000);
    rig.store->SetPath(0, SimStore::REJECTS);
    for (int i = 0; i < 90; i++) {
        EXPECT_EQ(rig.Call(0, "kept-key"), 200) << i;
        rig.RunFor(95);
    }
    EXPECT_LE(Revoke(&rig, 0, 3000), 2000);
    EXPECT_EQ(rig.Call(0, "old-key"), 401);
    EXPECT_EQ(rig.Call(0, "kept-key"), 200);
    /* The store is down for all of them: no VM takes a key after the bound. */
    for (size_t vm = 0; vm < 3; vm++) {
        rig.store->SetPath(vm, SimStore::SILENT);
    }
    rig.RunFor(bound_ms);
    for (size_t vm = 0; vm < 3; vm++) {
        EXPECT_EQ(rig.Call(vm, "kept-key"), 503) << vm;
    }
    /* One VM reaches it again. */
    rig.store->SetPath(1, SimStore::OPEN);
    rig.RunFor(2500);
    for (size_t vm = 0; vm < 3; vm++) {
        EXPECT_EQ(rig.Call(vm, "kept-key"), 200) << vm;
    }
}

/* The same in a large fleet, where the hubs watch for the others: the store
   turns away each third VM, or all VMs of a region, its hubs too. */
TEST(Revocation, NoVmOfALargeFleetRejectsWhileSomeReachTheStore)
{
    for (bool is_region : {false, true}) {
        SCOPED_TRACE(is_region);
        RevocationRig rig(bound_ms);
        rig.store->SetConfig(AccountsConfig(1, both));
        for (int i = 0; i < 24; i++) {
            rig.AddVm(i % 2 == 0 ? "zone-a" : "zone-b");
        }
        rig.RunFor(8000);
        for (size_t vm = 0; vm < 24; vm++) {
            if (is_region ? vm % 2 == 1 : vm % 3 == 0) {
                rig.store->SetPath(vm, SimStore::REJECTS);
            }
        }
        int rejected = 0;
        for (int i = 0; i < 180; i++) {
            rejected += rig.Call((size_t)i % 24, "kept-key") != 200;
            rig.RunFor(48);
        }
        EXPECT_EQ(rejected, 0);
        rig.store->SetConfig(AccountsConfig(2, kept));
        rig.RunFor(bound_ms);
        for (size_t vm = 0; vm < 24; vm++) {
            EXPECT_EQ(rig.Call(vm, "old-key"), 401) << vm;
        }
    }
}

/* What had come before a process was stopped must not count as proof. */
TEST(Revocation, HoldsAtAVmThatWasStopped)
{
    for (int stopped_ms : {1000, 6000}) {
        for (bool is_suspended : {false, true}) {
            for (bool has_peers : {false, true}) {
                SCOPED_TRACE(stopped_ms);
                SCOPED_TRACE(is_suspended);
                SCOPED_TRACE(has_peers);
                RevocationRig rig(bound_ms);
                rig.store->SetConfig(AccountsConfig(1, both));
                for (int i = 0; i < (has_peers ? 2 : 1); i++) {
                    rig.AddVm("zone-a", has_peers);
                }
                rig.RunFor(2500);
                for (size_t vm = 0; vm < rig.vms.size(); vm++) {
                    rig.store->SetPath(vm, SimStore::SILENT);
                }
                VirtualTime_Stop(stopped_ms, is_suspended);
                /* What the store had answered before comes now. */
                rig.store->AnswerLate();
                rig.RunFor(5);
                int status = rig.Call(0, "old-key");
                EXPECT_EQ(status, stopped_ms > bound_ms ? 503 : 200);
                rig.store->SetConfig(AccountsConfig(2, kept));
                for (size_t vm = 0; vm < rig.vms.size(); vm++) {
                    rig.store->SetPath(vm, SimStore::OPEN);
                }
                rig.RunFor(3500);
                EXPECT_EQ(rig.Call(0, "old-key"), 401);
                EXPECT_EQ(rig.Call(0, "kept-key"), 200);
            }
        }
    }
}

/* A VM that starts while the store is down gets the configuration from another
   VM, whose proof is older than the bound. */
TEST(Revocation, HoldsAtAVmThatStarts)
{
    RevocationRig rig(bound_ms);
    rig.store->SetConfig(AccountsConfig(1, both));
    rig.AddVm();
    rig.RunFor(2500);
    rig.store->SetPath(0, SimStore::REJECTS);
    rig.RunFor(bound_ms);
    rig.AddVm("zone-a", true, SimStore::REJECTS);
    rig.RunFor(4000);
    ASSERT_NE(Gate_GetTable(Edge_GetGate(rig.vms[1]->edge)), nullptr);
    EXPECT_EQ(rig.Call(1, "old-key"), 503);
    rig.store->SetConfig(AccountsConfig(2, kept));
    rig.store->SetPath(0, SimStore::OPEN);
    rig.RunFor(3000);
    EXPECT_EQ(rig.Call(1, "old-key"), 401);
    EXPECT_EQ(rig.Call(1, "kept-key"), 200);
}

/* A list of several pages is no proof: the key may be removed between two. */
TEST(Revocation, PagesProveNothingBeforeTheFirstWatch)
{
    RevocationRig rig(bound_ms);
    rig.store->has_pages = true;
    rig.store->SetConfig(AccountsConfig(1, both));
    rig.AddVm("zone-a", false);
    rig.RunFor(60);
    ASSERT_NE(Gate_GetTable(Edge_GetGate(rig.vms[0]->edge)), nullptr);
    EXPECT_EQ(rig.Call(0, "old-key"), 503);
    rig.RunFor(500);
    EXPECT_EQ(rig.Call(0, "old-key"), 200);
}

/* While a VM's watch was paused, others told it a worker's change, but not the
   configuration that was written before: a watch from that change on would
   show nothing, and prove what is wrong. */
TEST(Revocation, WatchAfterAPauseProvesNothingThatOthersLeftOut)
{
    RevocationRig rig(bound_ms);
    rig.store->SetConfig(AccountsConfig(1, both));
    rig.AddVm("zone-a", false);
    rig.RunFor(2500);
    rig.vms[0]->is_paused = true;
    rig.RunFor(1500);
    rig.store->SetConfig(AccountsConfig(2, kept));
    std::string entry = WorkerEntry("draining");
    Feed_SetEntry(Edge_GetFeed(rig.vms[0]->edge), "w-2", entry.data(),
                  entry.size(), {1, 99});
    int calls = rig.store->calls;
    rig.RunFor(1000);
    EXPECT_EQ(rig.store->calls, calls);
    EXPECT_EQ(rig.Call(0, "old-key"), 200);
    rig.vms[0]->is_paused = false;
    rig.RunFor(2500);
    EXPECT_EQ(rig.Call(0, "old-key"), 401);
    EXPECT_EQ(rig.Call(0, "kept-key"), 200);
}

/* The store returns from a copy. The VM that it turns away learns the era from
   the other one, and takes keys again by a proof of that era. */
TEST(Revocation, ProofsOfAnOlderEraEnd)
{
    RevocationRig rig(bound_ms);
    rig.store->SetConfig(AccountsConfig(1, both));
    rig.AddVm();
    rig.AddVm();
    rig.RunFor(2500);
    rig.store->SetPath(0, SimStore::REJECTS);
    rig.store->BeginEra(AccountsConfig(2, kept));
    rig.RunFor(3500);
    for (size_t vm = 0; vm < 2; vm++) {
        EXPECT_EQ(rig.Call(vm, "old-key"), 401) << vm;
        EXPECT_EQ(rig.Call(vm, "kept-key"), 200) << vm;
    }
}

/* The answer of a newer era ends the lease, before its keys are read. */
TEST(Revocation, WordOfANewerEraEndsTheLease)
{
    RevocationRig rig(bound_ms);
    rig.store->SetConfig(AccountsConfig(1, both));
    rig.AddVm("zone-a", false);
    rig.RunFor(2500);
    rig.store->holds_lists = true;
    rig.store->BeginEra(AccountsConfig(2, kept));
    EXPECT_EQ(rig.Call(0, "old-key"), 200);
    rig.RunFor(1000);
    EXPECT_EQ(rig.Call(0, "old-key"), 503);
    rig.store->holds_lists = false;
    rig.RunFor(2500);
    EXPECT_EQ(rig.Call(0, "old-key"), 401);
    EXPECT_EQ(rig.Call(0, "kept-key"), 200);
}

/* Another VM that answers questions for its proof as a test says. */
class Voucher {
  public:
    struct Answer {
        const char *name;
        int delay_ms;
        uint32_t age_ms;
        uint64_t version;
        uint64_t era;
        uint32_t other_number; /* Added to the question's number. */
        uint32_t serves;
        int status; /* Of a call with a key at the VM that asks. */
    };

    Voucher(RevocationRig *rig, const Answer &answer)
        : rig_(rig), answer_(answer)
    {
        sockaddr_in local = {};
        socklen_t size = sizeof(local);
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        EXPECT_EQ(bind(fd_, (sockaddr *)&local, sizeof(local)), 0);
        getsockname(fd_, (sockaddr *)&local, &size);
        address_ = (uint64_t)INADDR_LOOPBACK << 16 | ntohs(local.sin_port);
    }

    ~Voucher()
    {
        close(fd_);
    }

    /* Sends a sign of life, and the answers that are due. */
    void
    Turn()
    {
        uint8_t data[1500];
        ssize_t size;
        int64_t now_us = Clk_Now(&rig_->clk);
        while ((size = recv(fd_, data, sizeof(data), 0)) > 0) {
            Gossip__News *news =
                gossip__news__unpack(nullptr, (size_t)size, data);
            if (news != nullptr && news->vouch_ask != 0) {
                due_.push_back({now_us + answer_.delay_ms * CLK_US_PER_MS,
                                news->vouch_ask});
                asked++;
            }
            gossip__news__free_unpacked(news, nullptr);
        }
        Send(0);
        while (!due_.empty() && due_.front().first <= now_us) {
            Send(due_.front().second);
            due_.pop_front();
        }
    }

    int asked = 0;

  private:
    void
    Send(uint32_t number)
    {
        Gossip__News news = GOSSIP__NEWS__INIT;
        Gossip__Vouch vouch = GOSSIP__VOUCH__INIT;
        Gossip__Table table = GOSSIP__TABLE__INIT;
        uint8_t data[1400];
        sockaddr_in to = {};
        news.vm = (char *)"voucher";
        news.incarnation = 1;
        news.number = ++sent_;
        news.address = address_;
        news.region = (uint32_t)XXH3_64bits("reg-a", 5);
        news.vms = 2;
        news.config_version = answer_.version;
        news.era = number != 0 ? answer_.era : 1;
        news.serves = answer_.serves;
        if (number != 0) {
            vouch.number = number + answer_.other_number;
            vouch.age_ms = answer_.age_ms;
            news.vouch = &vouch;
            news.table = &table;
        }
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(rig_->vms[0]->peer_port);
        sendto(fd_, data, gossip__news__pack(&news, data), 0, (sockaddr *)&to,
               sizeof(to));
    }

    RevocationRig *rig_;
    Answer answer_;
    int fd_;
    uint64_t address_;
    uint32_t sent_ = 0;
    std::deque<std::pair<int64_t, uint32_t>> due_;
};

const Voucher::Answer answers[] = {
    {"at once", 0, 100, 1, 1, 0, 31, 200},
    {"an old proof", 0, 4600, 1, 1, 0, 31, 503},
    {"late, but within the bound", 2000, 100, 1, 1, 0, 31, 200},
    {"after the bound", 4600, 0, 1, 1, 0, 31, 503},
    {"to another question", 0, 100, 1, 1, 1, 31, 503},
    {"by an older configuration", 0, 100, 0, 1, 0, 31, 200},
    {"by a newer configuration", 0, 100, 2, 1, 0, 31, 503},
    {"of an older era", 0, 100, 1, 0, 0, 31, 503},
    {"of a newer era", 0, 100, 1, 2, 0, 31, 503},
    {"by a VM that does not say that it answers", 0, 100, 1, 1, 0, 15, 503},
};

/* The age in an answer counts from the question: the answer may have waited in
   the network or at this process. */
TEST(Revocation, AnswersOfOthersCountFromTheQuestion)
{
    for (const Voucher::Answer &row : answers) {
        SCOPED_TRACE(row.name);
        RevocationRig rig(bound_ms);
        rig.store->SetConfig(AccountsConfig(1, both));
        rig.AddVm();
        rig.RunFor(2000);
        rig.store->SetPath(0, SimStore::SILENT);
        rig.RunFor(bound_ms);
        EXPECT_EQ(rig.Call(0, "old-key"), 503);
        Voucher voucher(&rig, row);
        for (int i = 0; i < 80; i++) {
            voucher.Turn();
            rig.RunFor(100);
        }
        EXPECT_EQ(rig.Call(0, "old-key"), row.status);
        EXPECT_EQ(voucher.asked > 0, (row.serves & GATE_SERVES_VOUCHES) != 0);
    }
}

/* Each call to the store costs: VMs other than the hubs make none while the
   hubs have proofs, and watches are short only where a lease is needed. */
TEST(Revocation, OnlyHubsWatchAndOnlyForLeases)
{
    struct Case {
        const char *name;
        uint32_t revoke_ms;
        bool has_accounts;
        int wait_ms;
    };
    double usual_bytes = 0; /* Without accounts, for each VM and second. */
    const Case cases[] = {{"no accounts", bound_ms, false, 3000},
                          {"no bound", 0, true, 3000},
                          {"strict", bound_ms, true, 800}};
    for (const Case &row : cases) {
        SCOPED_TRACE(row.name);
        RevocationRig rig(row.revoke_ms);
        rig.store->SetConfig(AccountsConfig(1, both, row.has_accounts));
        for (int i = 0; i < 24; i++) {
            rig.AddVm(i % 2 == 0 ? "zone-a" : "zone-b");
        }
        rig.RunFor(12000);
        rig.store->calls = 0;
        rig.store->waits_ms.clear();
        uint64_t bytes = Met_Get(MET_PEER_BYTES_SENT);
        uint64_t asked = Met_Get(MET_VOUCHES_ASKED);
        rig.RunFor(12000);
        double bytes_per_s =
            (double)(Met_Get(MET_PEER_BYTES_SENT) - bytes) / 12 / 24;
        double asked_per_s =
            (double)(Met_Get(MET_VOUCHES_ASKED) - asked) / 12 / 24;
        printf("%s: %d store calls, %.0f bytes/s and %.2f questions/s for "
               "each VM\n",
               row.name, rig.store->calls, bytes_per_s, asked_per_s);
        usual_bytes = usual_bytes == 0 ? bytes_per_s : usual_bytes;
        EXPECT_LT(bytes_per_s, usual_bytes + 400);
        EXPECT_LT(asked_per_s, row.wait_ms < 3000 ? 1.5 : 0.01);
        /* Two hubs for each of two regions. */
        EXPECT_LE(rig.store->calls, 4 * (12000 / row.wait_ms + 1));
        for (int wait_ms : rig.store->waits_ms) {
            EXPECT_EQ(wait_ms, row.wait_ms);
        }
        for (size_t vm = 0; vm < 24; vm++) {
            EXPECT_EQ(rig.Call(vm, "kept-key"), 200) << vm;
        }
    }
}

} // namespace
