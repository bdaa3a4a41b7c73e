/* Tests of the decision whether a VM is cut off from a service. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/reach.h"
}

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace {

const int64_t ms = CLK_US_PER_MS;

struct SuspicionCase {
    const char *name;
    std::vector<std::pair<int64_t, int64_t>> workers; /* heard, unanswered */
    bool is_suspicious;
};

const SuspicionCase suspicion_cases[] = {
    {"no workers", {}, false},
    {"nothing is known", {{0, 0}, {0, 0}}, false},
    {"all answer", {{100, 0}, {110, 0}}, false},
    {"one is silent, none answered since", {{100, 120}, {90, 0}}, true},
    {"one is silent, the others are not called", {{0, 120}, {0, 0}}, true},
    {"two are silent, a third answered later",
     {{50, 120}, {60, 130}, {140, 0}},
     false},
    {"two are silent, one of them answered later",
     {{50, 120}, {140, 130}},
     false},
    {"all are silent", {{100, 120}, {100, 130}, {100, 140}}, true},
    {"the last one that answered fell silent in the middle",
     {{100, 100}, {90, 0}},
     false},
    {"cut off since the start", {{0, 10}, {0, 20}}, true},
    {"the only worker is silent", {{100, 120}}, true},
};

TEST(Reach, LooksWhenNoneAnswersSinceOneFellSilent)
{
    for (const SuspicionCase &row : suspicion_cases) {
        SCOPED_TRACE(row.name);
        std::vector<ReachWorker> workers;
        for (const auto &worker : row.workers) {
            workers.push_back(
                {workers.size() + 1, worker.first, worker.second, 0});
        }
        EXPECT_EQ(Reach_IsSuspicious(workers.data(), (uint32_t)workers.size()),
                  row.is_suspicious);
    }
}

TEST(Reach, TriesTheLastHeardAndSomeAtRandom)
{
    for (uint32_t count : {0U, 1U, 3U, 8U, 12U, 140U, 300U}) {
        SCOPED_TRACE(count);
        std::mt19937 random(count);
        std::vector<ReachWorker> workers;
        for (uint32_t i = 0; i < count; i++) {
            workers.push_back(
                {i + 1, (int64_t)(i * 7 % count), 0, (uint32_t)random()});
        }
        uint32_t chosen = Reach_ChooseSample(workers.data(), count);
        std::set<uint64_t> distinct;
        for (const ReachWorker &worker : workers) {
            distinct.insert(worker.hash);
        }
        EXPECT_EQ(chosen, std::min(count, (uint32_t)REACH_SAMPLE_MAX));
        EXPECT_EQ(distinct.size(), count);
        for (uint32_t i = 0; i < std::min(chosen, 4U); i++) {
            for (uint32_t k = i + 1; k < count; k++) {
                EXPECT_GE(workers[i].heard_us, workers[k].heard_us);
            }
        }
    }
}

const ReachOthers all_tell = {0, 0};
const ReachOthers one_is_silent = {1, 0};
const ReachOthers earlier_version = {1, 1};

/* The round begins at 1,000 ms. Times in ms. */
struct ProbeRow {
    ReachOutcome outcome;
    ReachReason reason;
    int64_t began;
    int64_t heard;
    int64_t told;
};

struct JudgeCase {
    const char *name;
    std::vector<ProbeRow> probes;
    int64_t failed; /* When the last probe failed. */
    ReachOthers others;
    int64_t now;
    ReachVerdict verdict;
};

const ProbeRow failed = {REACH_FAILED, REACH_SAMPLE, 1000, 990, 0};
const ProbeRow pending = {REACH_PENDING, REACH_SAMPLE, 1000, 990, 0};
const ProbeRow connected = {REACH_CONNECTED, REACH_SAMPLE, 1000, 990, 0};

const JudgeCase judge_cases[] = {
    {"no worker", {}, 0, all_tell, 2000, REACH_UNDECIDED},
    {"one connects",
     {failed, failed, connected},
     1001,
     all_tell,
     1100,
     REACH_OPEN},
    {"one connects, others hang",
     {failed, pending, connected},
     1001,
     all_tell,
     1100,
     REACH_OPEN},
    {"some hang",
     {failed, pending, failed},
     1001,
     all_tell,
     1100,
     REACH_UNDECIDED},
    {"all refused, the others were not asked yet",
     {failed, failed, failed},
     1001,
     one_is_silent,
     1010,
     REACH_UNDECIDED},
    {"crash of all workers, no other VM hears one",
     {failed, failed, failed},
     1001,
     all_tell,
     1310,
     REACH_LOST},
    {"a VM is silent for a while",
     {failed, failed},
     1001,
     one_is_silent,
     1200,
     REACH_UNDECIDED},
    {"a VM does not answer at all",
     {failed, failed},
     1001,
     one_is_silent,
     1310,
     REACH_LOST},
    {"a VM of an earlier version says nothing of workers",
     {failed, failed},
     1001,
     earlier_version,
     1310,
     REACH_CUT},
    {"another VM hears a worker that this one can't reach",
     {failed, failed, {REACH_FAILED, REACH_TOLD, 1040, 900, 1080}},
     1041,
     all_tell,
     1090,
     REACH_CUT},
    {"another VM heard the worker before the check only",
     {failed, failed, {REACH_FAILED, REACH_TOLD, 1040, 900, 1035}},
     1041,
     all_tell,
     1090,
     REACH_UNDECIDED},
    {"the other VM's word was on its way as the worker crashed",
     {failed, failed, {REACH_FAILED, REACH_TOLD, 1040, 900, 1060}},
     1041,
     all_tell,
     1400,
     REACH_LOST},
    {"another VM hears a worker of the sample, not checked yet",
     {failed, {REACH_FAILED, REACH_SAMPLE, 1000, 900, 1080}},
     1001,
     all_tell,
     1090,
     REACH_UNDECIDED},
    {"the worker that another VM hears accepts a connection",
     {failed, failed, {REACH_CONNECTED, REACH_TOLD, 1040, 900, 1080}},
     1041,
     all_tell,
     1090,
     REACH_OPEN},
    {"the check hangs still",
     {failed, failed, {REACH_PENDING, REACH_TOLD, 1040, 900, 1080}},
     1041,
     all_tell,
     1090,
     REACH_UNDECIDED},
    {"other VMs hear two that this one can't reach, a third hangs still",
     {failed,
      {REACH_FAILED, REACH_TOLD, 1040, 900, 1080},
      {REACH_FAILED, REACH_TOLD, 1040, 900, 1080},
      {REACH_PENDING, REACH_TOLD, 1060, 900, 1080}},
     1041,
     all_tell,
     1090,
     REACH_CUT},
    {"other VMs hear one that this one can't reach, another hangs still",
     {failed,
      {REACH_FAILED, REACH_TOLD, 1040, 900, 1080},
      {REACH_PENDING, REACH_TOLD, 1060, 900, 1080}},
     1041,
     all_tell,
     1090,
     REACH_UNDECIDED},
    {"two old connections live on, new ones are refused",
     {failed,
      failed,
      {REACH_FAILED, REACH_HEARD, 1002, 1050, 0},
      {REACH_FAILED, REACH_HEARD, 1003, 1060, 0}},
     1004,
     all_tell,
     1070,
     REACH_CUT},
    {"one old connection lives on: the worker may close its listener",
     {failed,
      failed,
      {REACH_FAILED, REACH_HEARD, 1002, 1050, 0},
      {REACH_FAILED, REACH_HEARD, 1003, 1001, 0}},
     1004,
     all_tell,
     1070,
     REACH_UNDECIDED},
    {"bytes of crashed workers were on their way",
     {failed,
      failed,
      {REACH_FAILED, REACH_HEARD, 1002, 1010, 0},
      {REACH_FAILED, REACH_HEARD, 1003, 1012, 0}},
     1004,
     all_tell,
     1070,
     REACH_UNDECIDED},
};

TEST(Reach, JudgesByNewConnections)
{
    for (const JudgeCase &row : judge_cases) {
        SCOPED_TRACE(row.name);
        ReachRound round = {};
        round.began_us = 1000 * ms;
        round.failed_us = row.failed * ms;
        for (const ProbeRow &probe : row.probes) {
            round.probes[round.count] = {round.count + 1,  probe.reason,
                                         probe.outcome,    probe.began * ms,
                                         probe.heard * ms, probe.told * ms};
            round.count++;
        }
        EXPECT_EQ(Reach_Judge(&round, &row.others, row.now * ms), row.verdict);
    }
}

TEST(Reach, ChecksEachLivingWorkerOnceAndOnlySome)
{
    ReachRound round = {};
    EXPECT_FALSE(Reach_NeedsCheck(&round, 1, 1000 * ms)); /* No round. */
    EXPECT_FALSE(Reach_NeedsOwnCheck(&round, 1, 1000 * ms));
    round.began_us = 1000 * ms;
    round.probes[round.count++] = {1, REACH_SAMPLE, REACH_FAILED, 1000 * ms, 0,
                                   0};
    EXPECT_TRUE(Reach_NeedsCheck(&round, 1, 1010 * ms));
    EXPECT_TRUE(Reach_NeedsCheck(&round, 1, 900 * ms));
    EXPECT_FALSE(Reach_NeedsCheck(&round, 1, 700 * ms)); /* Long ago. */
    EXPECT_FALSE(Reach_NeedsCheck(&round, 1, 0));
    EXPECT_TRUE(Reach_NeedsOwnCheck(&round, 1, 1010 * ms));
    EXPECT_FALSE(Reach_NeedsOwnCheck(&round, 1, 900 * ms));
    for (uint64_t i = 1; i <= REACH_OWN_CHECKS_MAX; i++) {
        EXPECT_TRUE(Reach_NeedsOwnCheck(&round, i, 1010 * ms));
        round.probes[round.count++] = {i,         REACH_HEARD, REACH_PENDING,
                                       1010 * ms, 0,           0};
        EXPECT_FALSE(Reach_NeedsOwnCheck(&round, i, 1020 * ms));
        EXPECT_FALSE(Reach_NeedsCheck(&round, i, 1020 * ms));
    }
    EXPECT_FALSE(Reach_NeedsOwnCheck(&round, 100, 1020 * ms));
    for (uint64_t i = 11; i < 11 + REACH_TOLD_CHECKS_MAX; i++) {
        EXPECT_TRUE(Reach_NeedsCheck(&round, i, 1010 * ms));
        round.probes[round.count++] = {i,         REACH_TOLD, REACH_PENDING,
                                       1010 * ms, 0,          0};
    }
    EXPECT_FALSE(Reach_NeedsCheck(&round, 100, 1020 * ms));
}

/* What befalls the workers, or the paths of the VM to them, at 0 ms. */
struct SimCase {
    const char *name;
    double crashed; /* Share of the workers. */
    double cut;    /* Share of the workers that the VM can't reach any more. */
    bool hangs;    /* New connections hang, or else they are refused. */
    bool old_live; /* Of a cut: old connections live on. */
    bool are_others_cut; /* The only other VMs are cut off as well. */
};

const SimCase sim_cases[] = {
    {"crash of 10%", 0.1, 0, false, false, false},
    {"crash of 30%", 0.3, 0, false, false, false},
    {"crash of 30%, dark", 0.3, 0, true, false, false},
    {"crash of 60%", 0.6, 0, false, false, false},
    {"crash of 90%", 0.9, 0, false, false, false},
    {"crash of 90%, dark", 0.9, 0, true, false, false},
    {"crash of all", 1, 0, false, false, false},
    {"crash of all, dark", 1, 0, true, false, false},
    {"cut of the VM", 0, 1, true, false, false},
    {"cut of the VM, refused", 0, 1, false, false, false},
    {"cut of the VM, old connections live on", 0, 1, false, true, false},
    {"cut of half of the workers", 0, 0.5, true, false, false},
    {"cut of the VM, a third has crashed", 0.34, 1, true, false, false},
    {"cut of all VMs", 0, 1, true, false, true},
};

struct SimResult {
    ReachVerdict verdict = REACH_UNDECIDED;
    int64_t after = 600; /* ms from the first unanswered call. */
    int connections = 0;
};

/* One VM judges at steps of 1 ms, with one other VM that hears a living worker
   each 20 ms and tells one of them each 40 ms, with a delay of 2 ms. Calls are
   drawn at random and answer within 30 ms. */
class Simulation {
  public:
    Simulation(const SimCase &row, int workers, unsigned seed)
        : row_(row), random_(seed)
    {
        for (int i = 0; i < workers; i++) {
            order_.push_back(i);
        }
        std::shuffle(order_.begin(), order_.end(), random_);
        is_up_.assign((size_t)workers, true);
        is_cut_.assign((size_t)workers, false);
        heard_.assign((size_t)workers, 0);
        told_.assign((size_t)workers, 0);
        for (int i = 0; i < (int)(row.crashed * workers + 0.5); i++) {
            is_up_[(size_t)order_[(size_t)i]] = false;
        }
        for (int i = 0; i < (int)(row.cut * workers + 0.5); i++) {
            is_cut_[(size_t)order_[(size_t)i]] = true;
        }
        for (int64_t &heard : heard_) {
            heard = base - (int64_t)(random_() % 400);
        }
    }

    SimResult
    Run()
    {
        SimResult result;
        ReachVerdict last = REACH_UNDECIDED;
        BeginRound(base);
        for (int64_t now = base; now < base + 600; now++) {
            HearAndTell(now);
            EndProbes(now);
            BeginChecks(now);
            last = Judge(now);
            if (last != REACH_UNDECIDED) {
                result.after = now - base;
                break;
            }
        }
        result.verdict = last;
        result.connections = (int)round_.count;
        return result;
    }

  private:
    static constexpr int64_t base = 10000;

    /* Whether a new connection succeeds. */
    bool
    CanConnect(size_t worker) const
    {
        return is_up_[worker] && !is_cut_[worker];
    }

    void
    BeginRound(int64_t now)
    {
        std::vector<ReachWorker> workers;
        for (size_t i = 0; i < is_up_.size(); i++) {
            workers.push_back({i + 1, heard_[i] * ms, 0, (uint32_t)random_()});
        }
        uint32_t chosen =
            Reach_ChooseSample(workers.data(), (uint32_t)workers.size());
        round_.began_us = now * ms;
        for (uint32_t i = 0; i < chosen; i++) {
            Begin(workers[i].hash, now, REACH_SAMPLE);
        }
    }

    void
    Begin(uint64_t worker, int64_t now, ReachReason reason)
    {
        round_.probes[round_.count++] = {worker,   reason, REACH_PENDING,
                                         now * ms, 0,      0};
    }

    void
    EndProbes(int64_t now)
    {
        for (uint32_t i = 0; i < round_.count; i++) {
            ReachProbe &probe = round_.probes[i];
            bool can = CanConnect(probe.worker - 1);
            int64_t took = can ? 101 : row_.hangs ? 200 : 1;
            if (probe.outcome == REACH_PENDING &&
                now * ms >= probe.began_us + took * ms) {
                probe.outcome = can ? REACH_CONNECTED : REACH_FAILED;
                round_.failed_us = now * ms;
            }
        }
    }

    void
    HearAndTell(int64_t now)
    {
        for (size_t i = 0; i < is_up_.size(); i++) {
            bool is_heard = is_up_[i] && (!is_cut_[i] || row_.old_live);
            if (is_heard && random_() % 60 == 0) {
                heard_[i] = now;
            }
        }
        if (row_.are_others_cut || (now - base) % 40 != 37) {
            return;
        }
        if (named_ == 0) {
            for (size_t i = 0; i < is_up_.size(); i++) {
                named_ = is_up_[i] ? i + 1 : named_;
            }
        }
        if (named_ != 0) {
            told_[named_ - 1] = now - (int64_t)(random_() % 20);
        }
    }

    void
    BeginChecks(int64_t now)
    {
        bool is_pending = false;
        for (size_t i = 0; i < is_up_.size(); i++) {
            if (Reach_NeedsCheck(&round_, i + 1, told_[i] * ms)) {
                Begin(i + 1, now, REACH_TOLD);
            }
        }
        for (uint32_t i = 0; i < round_.count; i++) {
            is_pending |= round_.probes[i].outcome == REACH_PENDING;
        }
        for (size_t i = 0; i < is_up_.size() && !is_pending; i++) {
            if (Reach_NeedsOwnCheck(&round_, i + 1, heard_[i] * ms)) {
                Begin(i + 1, now, REACH_HEARD);
            }
        }
    }

    ReachVerdict
    Judge(int64_t now)
    {
        for (uint32_t i = 0; i < round_.count; i++) {
            ReachProbe &probe = round_.probes[i];
            probe.heard_us = heard_[probe.worker - 1] * ms;
            probe.told_us = told_[probe.worker - 1] * ms;
        }
        return Reach_Judge(&round_, &all_tell, now * ms);
    }

    SimCase row_;
    std::mt19937 random_;
    std::vector<int> order_;
    std::vector<bool> is_up_;
    std::vector<bool> is_cut_;
    std::vector<int64_t> heard_;
    std::vector<int64_t> told_;
    uint64_t named_ = 0;
    ReachRound round_ = {};
};

/* 40 VMs judge each case at each size: no false cut, no missed one, and each
   real one is found in half a second, with a bounded number of connections. */
TEST(ReachSimulation, FindsCutsAndNoCrashes)
{
    for (const SimCase &row : sim_cases) {
        for (int workers : {3, 6, 12, 60, 140, 300}) {
            int false_cuts = 0;
            int missed = 0;
            int64_t longest = 0;
            for (unsigned seed = 1; seed <= 40; seed++) {
                SimResult result = Simulation(row, workers, seed).Run();
                bool is_cut =
                    row.cut == 1 && (!row.are_others_cut || row.old_live);
                false_cuts += result.verdict == REACH_CUT && !is_cut;
                missed += result.verdict != REACH_CUT && is_cut;
                longest = std::max(longest, result.after);
                EXPECT_LE(result.connections, REACH_PROBES_MAX);
            }
            EXPECT_EQ(false_cuts, 0) << row.name << ", " << workers;
            EXPECT_EQ(missed, 0) << row.name << ", " << workers;
            EXPECT_LE(longest, 550) << row.name << ", " << workers;
            RecordProperty(std::string(row.name) + ", " +
                               std::to_string(workers),
                           (int)longest);
        }
    }
}

} // namespace
