/* Tests of the decision which VMs ask which workers for their prompts, at the
   sizes of small and of large fleets. */
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "decide/holders.h"
#include "decide/hubs.h"
}

namespace {

const int64_t kMs = 1000;

struct FleetCase {
    int vms;
    int workers;
    bool is_mesh;
};

const FleetCase fleet_cases[] = {
    {3, 4, true},     {9, 12, true},     {16, 60, true},
    {17, 12, false},  {61, 60, false},   {61, 111, false},
    {61, 140, false}, {295, 166, false}, {295, 300, false},
};

/* VMs that all start at once and hear of each other one by one. */
class StartingFleet {
  public:
    StartingFleet(const FleetCase &size, uint32_t seed) : size_(size)
    {
        std::mt19937 random(seed);
        for (int i = 0; i < size.vms; i++) {
            starts_.push_back((int64_t)(random() % 40) * kMs);
        }
        for (int i = 0; i < size.vms * size.vms; i++) {
            heard_.push_back((int64_t)(20 + random() % 260) * kMs);
        }
        for (int i = 0; i < size.workers; i++) {
            workers.push_back((uint64_t)random() << 32 | random());
        }
    }

    static uint64_t
    Address(int vm)
    {
        return UINT64_C(0x0a0000010000) + ((uint64_t)vm << 16) + 7000;
    }

    /* The holders as the VM knows them at this time. */
    Holders
    GetView(int vm, int64_t now_us) const
    {
        Holders view = {};
        std::map<int, HubsChoice> hubs;
        std::vector<int> known;
        for (int other = 0; other < size_.vms; other++) {
            int64_t at_us =
                std::max(starts_[(size_t)vm], starts_[(size_t)other]) +
                heard_[(size_t)(vm * size_.vms + other)];
            if (other == vm || now_us >= at_us) {
                known.push_back(other);
            }
        }
        view.self = Address(vm);
        for (int other : known) {
            HubsCandidate candidate = {Address(other), 250};
            if (known.size() <= HUBS_MESH_VMS_MAX) {
                Holders_Add(&view, candidate.address);
            }
            else {
                Hubs_Offer(&hubs[other % 3], &candidate);
            }
        }
        for (const auto &[region, choice] : hubs) {
            for (uint32_t i = 0; i < choice.count; i++) {
                Holders_Add(&view, choice.hubs[i].address);
            }
        }
        return view;
    }

    /* Lets all VMs start. Returns which workers each one asks. */
    std::vector<std::set<uint64_t>>
    Start() const
    {
        std::vector<std::set<uint64_t>> asked;
        for (int vm = 0; vm < size_.vms; vm++) {
            std::set<uint64_t> own;
            int64_t since_us = starts_[(size_t)vm];
            int64_t now_us = since_us;
            Holders view = GetView(vm, now_us);
            HoldersWait wait;
            Holders_BeginWait(&wait, &view, now_us);
            while (!Holders_HaveSettled(&wait, &view, now_us)) {
                now_us += 25 * kMs;
                view = GetView(vm, now_us);
            }
            for (uint64_t worker : workers) {
                if (Holders_IsOwn(&view, worker)) {
                    own.insert(worker);
                }
            }
            asked.push_back(own);
        }
        return asked;
    }

    std::vector<uint64_t> workers;

  private:
    FleetCase size_;
    std::vector<int64_t> starts_;
    std::vector<int64_t> heard_;
};

/* All VMs of a fleet lose power and start together: each worker is asked, but
   by few of them, and any VM finds which worker keeps a prompt. */
TEST(Holders, AllVmsStartAtOnce)
{
    for (const FleetCase &size : fleet_cases) {
        for (uint32_t seed = 1; seed <= 3; seed++) {
            SCOPED_TRACE(std::to_string(size.vms) + " VMs, " +
                         std::to_string(size.workers) + " workers, seed " +
                         std::to_string(seed));
            StartingFleet fleet(size, seed);
            std::vector<std::set<uint64_t>> asked = fleet.Start();
            std::map<uint64_t, int> lists;
            size_t most = 0;
            for (const auto &own : asked) {
                most = std::max(most, own.size());
                for (uint64_t worker : own) {
                    lists[worker]++;
                }
            }
            /* Six hubs, or the VMs of a mesh, have two workers in that many
               each; a hash divides them unevenly. */
            double holders = size.is_mesh ? size.vms : 6;
            double share = 2.0 * size.workers / holders;
            EXPECT_LE((double)most, 1.5 * share + 6);
            for (uint64_t worker : fleet.workers) {
                EXPECT_GE(lists[worker], 2);
                EXPECT_LE(lists[worker], 3);
            }
            for (int vm = 0; vm < size.vms; vm += 7) {
                Holders view = fleet.GetView(vm, 1000 * kMs);
                for (size_t i = 0; i < fleet.workers.size(); i++) {
                    HoldersAnswers answers = {};
                    for (int other = 0; other < size.vms; other++) {
                        uint64_t address = StartingFleet::Address(other);
                        if (!Holders_Contains(&view, address)) {
                            continue;
                        }
                        bool keeps =
                            asked[(size_t)other].count(fleet.workers[i]) > 0;
                        HoldersAnswer answer = {
                            address,
                            keeps ? RESUMPTION_KEPT_BY_ONE_VERSION
                                  : RESUMPTION_KEPT_BY_NONE,
                            keeps ? 7u : 0u, keeps ? fleet.workers[i] : 0};
                        Holders_NoteAnswer(&answers, &answer);
                    }
                    HoldersAnswer kept = {};
                    EXPECT_EQ(Holders_Judge(&view, &answers,
                                            fleet.workers.data(),
                                            (uint32_t)fleet.workers.size(),
                                            false, &kept),
                              RESUMPTION_KEPT_BY_ONE_VERSION);
                    EXPECT_EQ(kept.worker, fleet.workers[i]);
                }
            }
        }
    }
}

struct WaitCase {
    const char *name;
    int heard_ms; /* When the first other VM is heard; -1: never. */
    int last_ms;  /* When the last one is. */
    bool has_others;
    int settled_ms; /* The VM looks each 25 ms. */
};

const WaitCase wait_cases[] = {
    {"the only VM", -1, -1, false, 300},
    {"others are heard at once", 0, 0, true, 300},
    {"others are heard one by one", 0, 200, true, 500},
    {"others start all the time", 0, 5000, true, 1000},
    {"the first other VM starts late", 700, 700, true, 1000},
    {"the others start late, one by one", 700, 5000, true, 1675},
    {"no other VM is left", -1, -1, true, 3000},
};

/* A VM that hears nobody yet does not ask all workers at once. */
TEST(Holders, WaitForOtherVms)
{
    for (const WaitCase &row : wait_cases) {
        SCOPED_TRACE(row.name);
        const int kStepMs = 25;
        HoldersWait wait;
        int now_ms = 0;
        auto get_view = [&] {
            Holders view = {};
            view.self = 1;
            Holders_Add(&view, 1);
            for (int ms = row.heard_ms;
                 row.heard_ms >= 0 && ms <= std::min(now_ms, row.last_ms);
                 ms += 100) {
                Holders_Add(&view, 2 + (uint64_t)ms);
            }
            view.is_alone = row.has_others && view.count == 1;
            return view;
        };
        Holders view = get_view();
        Holders_BeginWait(&wait, &view, 0);
        while (!Holders_HaveSettled(&wait, &view, now_ms * kMs)) {
            now_ms += kStepMs;
            view = get_view();
        }
        EXPECT_EQ(now_ms, row.settled_ms);
    }
}

struct JudgeCase {
    const char *name;
    std::vector<HoldersAnswer> answers; /* holder, survey, version, worker. */
    bool is_over;
    ResumptionSurvey survey;
};

const ResumptionSurvey kAsking = RESUMPTION_ASKING;
const ResumptionSurvey kNone = RESUMPTION_KEPT_BY_NONE;
const ResumptionSurvey kOne = RESUMPTION_KEPT_BY_ONE_VERSION;
const ResumptionSurvey kSeveral = RESUMPTION_KEPT_BY_SEVERAL;
const ResumptionSurvey kNotAsked = RESUMPTION_NOT_ASKED;

/* Of holders 1, 2 and 3. */
const JudgeCase judge_cases[] = {
    {"no answer yet", {}, false, kAsking},
    {"no answer in time", {}, true, RESUMPTION_CANNOT_ASK},
    {"one has not answered, as its version doesn't know the question",
     {{1, kNone}, {2, kNone}},
     false,
     kAsking},
    {"it never does, but the workers have two holders",
     {{1, kNone}, {2, kNone}},
     true,
     kNone},
    {"two never answer", {{1, kNone}}, true, RESUMPTION_CANNOT_ASK},
    {"one is no holder by its own view",
     {{1, kNone}, {2, kNotAsked}},
     true,
     RESUMPTION_CANNOT_ASK},
    {"one still asks its workers",
     {{1, kNone}, {2, kNone}, {3, kAsking}},
     false,
     kAsking},
    {"none keeps it", {{1, kNone}, {2, kNone}, {3, kNone}}, false, kNone},
    {"one version keeps it, and all workers were asked",
     {{1, kOne, 7, 70}, {2, kNone}},
     false,
     kOne},
    {"another version may keep it, too", {{1, kOne, 7, 70}}, false, kAsking},
    {"the same, but the time is over",
     {{1, kOne, 7, 70}},
     true,
     RESUMPTION_CANNOT_ASK},
    {"two holders found the same worker",
     {{1, kOne, 7, 70}, {2, kOne, 7, 70}, {3, kNone}},
     false,
     kOne},
    {"two holders found two versions",
     {{1, kOne, 7, 70}, {2, kOne, 8, 80}, {3, kNone}},
     false,
     kSeveral},
    {"one holder found two, another one may have the record",
     {{1, kSeveral}, {2, kOne, 7, 70}},
     false,
     kAsking},
    {"the same, but the time is over",
     {{1, kSeveral}, {2, kOne, 7, 70}},
     true,
     kSeveral},
};

TEST(Holders, JudgeWhatTheAnswersTell)
{
    Holders holders = {};
    std::vector<uint64_t> workers;
    for (uint64_t address : {2, 1, 3, 2}) {
        Holders_Add(&holders, address);
    }
    ASSERT_EQ(holders.count, 3u);
    for (uint64_t i = 0; i < 40; i++) {
        workers.push_back(1000 + i);
    }
    for (const JudgeCase &row : judge_cases) {
        SCOPED_TRACE(row.name);
        HoldersAnswers answers = {};
        HoldersAnswer kept = {};
        for (const HoldersAnswer &answer : row.answers) {
            Holders_NoteAnswer(&answers, &answer);
        }
        EXPECT_EQ(Holders_Judge(&holders, &answers, workers.data(),
                                (uint32_t)workers.size(), row.is_over, &kept),
                  row.survey);
        if (row.survey == kOne) {
            EXPECT_EQ(kept.version, 7u);
            EXPECT_EQ(kept.worker, 70u);
        }
    }
}

TEST(Holders, AreBounded)
{
    Holders holders = {};
    HoldersAnswers answers = {};
    for (uint64_t i = 0; i < 3 * HOLDERS_MAX; i++) {
        HoldersAnswer answer = {i + 1, kNone};
        Holders_Add(&holders, 3 * HOLDERS_MAX - i);
        Holders_NoteAnswer(&answers, &answer);
    }
    EXPECT_EQ(holders.count, (uint32_t)HOLDERS_MAX);
    EXPECT_EQ(answers.count, (uint32_t)HOLDERS_MAX);
    for (uint32_t i = 0; i < HOLDERS_MAX; i++) {
        EXPECT_EQ(holders.addresses[i], i + 1u);
    }
}

} // namespace
