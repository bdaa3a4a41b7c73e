/* The gate's decisions under the load patterns that they answer; no sockets,
   no clock. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/adm.h"
#include "decide/bud.h"
#include "decide/hlt.h"
#include "decide/pool.h"
#include "decide/rank.h"
#include "decide/rty.h"
#include "gate/flt.h"
#include "gate/rte.h"
#include "gate/sse.h"
}

#include <algorithm>
#include <string>
#include <vector>

namespace {

/* Start of a process that has run for longer than any window. */
const int64_t long_ago = -3600 * CLK_US_PER_S;

struct RetryCase {
    const char *name;
    RtyInput input;
    RtyNext next;
};

/* repeatable, has_answer, run, ran_before, runs, attempts, sends, budget,
   candidate, left_ms */
const RetryCase retry_cases[] = {
    {"not run: elsewhere",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, true, 500},
     RTY_ELSEWHERE},
    {"not run, no worker: refuse",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, false, 500},
     RTY_REFUSE},
    {"not run, budget spent: refuse",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, false, true, 500},
     RTY_REFUSE},
    {"unknown, once: fail",
     {false, false, LS_RUN_UNKNOWN, true, 1, 1, 1, true, true, 500},
     RTY_FAIL},
    {"unknown, repeatable: elsewhere",
     {true, false, LS_RUN_UNKNOWN, true, 1, 2, 1, true, true, 500},
     RTY_ELSEWHERE},
    {"unknown, attempts used: fail",
     {true, false, LS_RUN_UNKNOWN, true, 2, 2, 2, true, true, 500},
     RTY_FAIL},
    {"refused after a run that may have been: fail, not refuse",
     {true, false, LS_RUN_NOT_RUN, true, 1, 1, 2, true, true, 500},
     RTY_FAIL},
    {"worker's error, attempts used: pass it",
     {true, true, LS_RUN_RAN, true, 2, 2, 2, true, true, 500},
     RTY_PASS},
    {"worker's refusal is not passed",
     {false, true, LS_RUN_NOT_RUN, false, 0, 1, 1, true, false, 500},
     RTY_REFUSE},
    {"no time left",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, true, 5},
     RTY_REFUSE},
    {"too many sends",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, RTY_SENDS_MAX, true, true,
      500},
     RTY_REFUSE},
};

TEST(Decide, RetryCases)
{
    for (const RetryCase &row : retry_cases) {
        EXPECT_EQ(Rty_Decide(&row.input), row.next) << row.name;
    }
}

/* A service whose every call fails, for a minute, at nine VMs that hear of
   each other 250 ms late, or not at all, one of them with half of the load:
   in no window may the fleet send more extra calls than its budget. */
TEST(Decide, FleetStaysWithinBudgetWhileAllCallsFail)
{
    const size_t vms = 9;
    const int64_t lag = 250 * CLK_US_PER_MS;
    BudOptions options = {0.2, 58.0, 10 * CLK_US_PER_S, long_ago};
    for (uint32_t heard : {8u, 0u}) {
        std::vector<Bud> budgets(vms);
        std::vector<BudPeerUsage> told(vms);
        std::vector<int64_t> requests, extras;
        int64_t next_tell = 0;
        size_t turn = 0;
        for (Bud &bud : budgets) {
            Bud_Init(&bud, &options);
        }
        for (int64_t now = CLK_US_PER_S; now < 60 * CLK_US_PER_S;
             now += 37000) {
            if (now >= next_tell) {
                next_tell = now + lag;
                for (size_t i = 0; i < vms; i++) {
                    told[i] = {(uint32_t)vms, heard, 0, 0};
                    for (size_t k = 0; k < vms; k++) {
                        double asked, used;
                        Bud_GetUsed(&budgets[k], now, &asked, &used);
                        told[i].requests += heard && k != i ? asked : 0;
                        told[i].extras += heard && k != i ? used : 0;
                    }
                }
            }
            size_t at = ++turn % 2 == 0 ? 0 : turn / 2 % vms;
            Bud_NoteRequest(&budgets[at], now);
            requests.push_back(now);
            for (size_t i = 0; i < vms; i++) {
                while (Bud_GetRemaining(&budgets[i], &told[i], now) > 0) {
                    Bud_NoteExtra(&budgets[i], now);
                    extras.push_back(now);
                }
            }
        }
        for (int64_t from = 0; from < 50 * CLK_US_PER_S; from += 250000) {
            auto within = [&](const std::vector<int64_t> &times) {
                return std::count_if(
                    times.begin(), times.end(), [&](int64_t t) {
                        return t >= from && t < from + options.window_us;
                    });
            };
            EXPECT_LE((double)within(extras),
                      options.ratio * (double)within(requests) + options.slack)
                << heard << " " << from;
        }
        EXPECT_GT(extras.size(), 100u);
    }
}

/* A burst that one VM meets while the peer_usage' parts lie idle. */
TEST(Decide, BurstAtOneVmUsesBudgetOfIdleVms)
{
    BudOptions options = {0.2, 58.0, 10 * CLK_US_PER_S, long_ago};
    Bud bud;
    BudPeerUsage peer_usage = {9, 8, 200, 0};
    uint32_t used = 0;
    Bud_Init(&bud, &options);
    for (int64_t now = CLK_US_PER_S; now < 5 * CLK_US_PER_S; now += 50000) {
        if (Bud_GetRemaining(&bud, &peer_usage, now) > 0) {
            Bud_NoteExtra(&bud, now);
            used++;
        }
    }
    EXPECT_GT(used, 30u); /* Of 73; its own part alone is 4. */
}

/* All VMs start again at once, as on zupan-najem-grown, hunt-b277-7: what was
   used before is not known, so the slack grows back over one window. */
TEST(Decide, RestartedVmHasNoSlack)
{
    BudOptions options = {0.2, 160.0, 10 * CLK_US_PER_S};
    BudPeerUsage alone = {1, 0, 0, 0};
    Bud bud;
    const int64_t born = 100 * CLK_US_PER_S;
    options.started_us = born;
    Bud_Init(&bud, &options);
    EXPECT_EQ(Bud_GetRemaining(&bud, &alone, born), 0u);
    EXPECT_LE(Bud_GetRemaining(&bud, &alone, born + 5 * CLK_US_PER_S), 60u);
    EXPECT_GE(Bud_GetRemaining(&bud, &alone, born + 10 * CLK_US_PER_S), 110u);
}

TEST(Decide, CancelledExtraCallIsRefunded)
{
    Bud bud;
    BudOptions options = {0.0, 4.0, 10 * CLK_US_PER_S, long_ago};
    BudPeerUsage alone = {1, 0, 0, 0};
    Bud_Init(&bud, &options);
    uint32_t left = Bud_GetRemaining(&bud, &alone, 1);
    Bud_NoteExtra(&bud, 1);
    EXPECT_EQ(Bud_GetRemaining(&bud, &alone, 1), left - 1);
    Bud_CancelExtra(&bud, 1);
    EXPECT_EQ(Bud_GetRemaining(&bud, &alone, 1), left);
}

/* A worker that goes silent, answers, and goes silent again. */
TEST(Decide, UnresponsiveWorkerIsBlockedLongerEachTime)
{
    HltState state = {};
    int64_t now = CLK_US_PER_S;
    Hlt_NoteUnresponsive(&state, now);
    EXPECT_TRUE(Hlt_IsBlocked(&state, now + HLT_BLOCK_MIN_US - 1));
    EXPECT_FALSE(Hlt_IsBlocked(&state, now + HLT_BLOCK_MIN_US));
    /* Calls under way when it fell silent say nothing new. */
    Hlt_NoteUnresponsive(&state, now + 1000);
    EXPECT_FALSE(Hlt_IsBlocked(&state, now + HLT_BLOCK_MIN_US));
    now += HLT_BLOCK_MIN_US;
    Hlt_NoteUnresponsive(&state, now);
    EXPECT_TRUE(Hlt_IsBlocked(&state, now + HLT_BLOCK_MIN_US));
    Hlt_NoteSuccess(&state, now + 1);
    EXPECT_FALSE(Hlt_IsBlocked(&state, now + 2));
}

/* A failing worker fails 4 in 10 calls; a healthy service 1 in 20 of its own.
 */
TEST(Decide, PartlyFailingWorkerCostsMoreThanHealthyOne)
{
    HltState failing = {}, healthy = {};
    int64_t now = CLK_US_PER_S;
    for (int i = 0; i < 40; i++) {
        now += 50000;
        i % 5 < 2 ? Hlt_NoteFailure(&failing, now)
                  : Hlt_NoteSuccess(&failing, now);
        i % 20 == 0 ? Hlt_NoteFailure(&healthy, now)
                    : Hlt_NoteSuccess(&healthy, now);
    }
    EXPECT_EQ(Hlt_GetCost(&healthy, now), 0);
    Hlt_NoteFailure(&failing, now);
    EXPECT_GT(Hlt_GetCost(&failing, now), 0);
    /* Evidence fades: it is tried again. */
    EXPECT_EQ(Hlt_GetCost(&failing, now + 4 * HLT_HALF_LIFE_US), 0);
}

TEST(Decide, RetriesOfRefusedCallersAreSpread)
{
    uint32_t least = UINT32_MAX, most = 0;
    for (uint32_t random_value = 0; random_value < 1024; random_value += 64) {
        uint32_t after = Adm_GetRetryAfter(ADM_FULL, 14000, 0, random_value);
        least = std::min(least, after);
        most = std::max(most, after);
    }
    EXPECT_GE(least, ADM_RETRY_MIN_MS);
    EXPECT_GE(most, least + 300);
    /* Never later than the callers will wait. */
    EXPECT_LE(Adm_GetRetryAfter(ADM_NO_WORKER, 600, 0, 1023), 200u);
}

/* A burst that leaves no room: objective 900 ms, route's time 14 s. Callers
   give themselves 11.9 to 14 s. */
struct WaitCase {
    const char *name;
    int64_t left_ms; /* Of the caller's time. */
    bool is_prefilled;
    bool is_streaming;
    int64_t until_ms; /* After its arrival. */
    int64_t pause_ms;
};

const WaitCase wait_cases[] = {
    {"new: waits while it can be in time", 14000, false, false, 650, 30},
    {"new, with less time than others", 11900, false, false, 650, 30},
    {"does not tell its time", 0, false, false, 650, 30},
    {"came back late: asks rarely", 11000, false, false, 1500, 200},
    {"came back late, with little time", 2000, false, false, 1000, 200},
    {"prompt is read: asks often", 14000, true, false, 2000, 20},
    {"stream is begun: waits past the objective", 14000, false, true, 2000,
     30},
    {"stream is begun, came late", 8000, false, true, 2000, 30},
};

TEST(Decide, WaitPlanCases)
{
    for (const WaitCase &row : wait_cases) {
        SCOPED_TRACE(row.name);
        AdmWait wait = {};
        wait.arrived_us = 5 * CLK_US_PER_S;
        wait.waiting_since_us = wait.arrived_us;
        wait.left_us = row.left_ms * CLK_US_PER_MS;
        wait.timeout_us = 14 * CLK_US_PER_S;
        wait.slo_us = 900 * CLK_US_PER_MS;
        wait.deadline_us = wait.arrived_us +
                           (row.left_ms > 0 ? wait.left_us : wait.timeout_us);
        wait.is_prefilled = row.is_prefilled;
        wait.is_streaming = row.is_streaming;
        AdmWaitPlan turn = Adm_PlanWait(&wait);
        EXPECT_EQ((turn.until_us - wait.arrived_us) / CLK_US_PER_MS,
                  row.until_ms);
        EXPECT_EQ(turn.poll_us / CLK_US_PER_MS, row.pause_ms);
    }
}

/* An objective below what a first event takes: half of it is for waiting. */
TEST(Decide, ShortObjectiveStillLeavesTimeToWait)
{
    AdmWait wait = {};
    wait.slo_us = 200 * CLK_US_PER_MS;
    wait.timeout_us = wait.deadline_us = 14 * CLK_US_PER_S;
    EXPECT_EQ(Adm_PlanWait(&wait).until_us, 100 * CLK_US_PER_MS);
}

/* Who is turned away since all is full comes back when the streams that fill
   the workers have ended, 3 s on average, not within the same burst. */
TEST(Decide, RetriesAfterFullWorkersWaitForStreamsToEnd)
{
    for (uint32_t random_value = 0; random_value < 1024; random_value += 64) {
        uint32_t after = Adm_GetRetryAfter(ADM_FULL, 14000, 0, random_value);
        EXPECT_GE(after, 1500u);
        EXPECT_LE(after, 3500u);
    }
}

RankWorker
MakeWorker(RankDistance distance, uint64_t reading, uint64_t held)
{
    RankWorker worker = {};
    worker.distance = distance;
    worker.slots = 128;
    worker.reading = reading;
    worker.held = held;
    worker.memory = 59729;
    worker.slowness = 1.0;
    return worker;
}

/* A burst of 2.2 on a region with one prefill worker: a prompt of 5,200
   tokens takes 94 ms there, so a queue of six makes another region's worker,
   or an idle decode worker, the better place. */
TEST(Decide, BurstMovesPromptsToOtherWorkers)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker local = MakeWorker(RANK_SAME_ZONE, 0, 0);
    RankWorker far = MakeWorker(RANK_OTHER_REGION, 0, 0);
    int64_t idle = Rank_GetPrefillCost(&weights, &local, 5200);
    EXPECT_LT(idle, Rank_GetPrefillCost(&weights, &far, 5200));
    EXPECT_LT(idle, Rank_GetLocalPrefillCost(&weights, &local, 5200));
    RankWorker queued = MakeWorker(RANK_SAME_ZONE, 6 * 5200, 0);
    int64_t busy = Rank_GetPrefillCost(&weights, &queued, 5200);
    EXPECT_GT(busy, Rank_GetPrefillCost(&weights, &far, 5200));
    EXPECT_GT(busy, Rank_GetLocalPrefillCost(&weights, &local, 5200));
}

TEST(Decide, FullMemoryCostsMoreThanAnotherRegion)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker full = MakeWorker(RANK_SAME_ZONE, 0, 57000);
    RankWorker far = MakeWorker(RANK_OTHER_REGION, 0, 10000);
    EXPECT_GT(Rank_GetDecodeCost(&weights, &full, RANK_SAME_ZONE, 5900),
              Rank_GetDecodeCost(&weights, &far, RANK_OTHER_REGION, 5900));
}

struct PoolCase {
    const char *name;
    PoolInput input;
    uint32_t target;
};

/* prefill, decode, prompt_per_us, prefill_per_us, held, memory */
const PoolCase pool_cases[] = {
    /* As recorded at the start of a calm day: 13 streams/s. */
    {"decoding is short of memory", {5, 7, 0.065, 0.0555, 180224, 59729}, 3},
    {"in proportion", {3, 9, 0.065, 0.0555, 180224, 59729}, 3},
    {"idle", {5, 7, 0.005, 0.0555, 14000, 59729}, 5},
    {"near full load a change costs more",
     {3, 9, 0.13, 0.0555, 372000, 59729},
     3},
    /* 0.75 x 0.09 / (7 x 0.0555) = 0.17, 60,000 / (5 x 59,729) = 0.20. */
    {"long prompts, short answers", {2, 10, 0.09, 0.0555, 60000, 59729}, 7},
    {"one pool is empty", {0, 12, 0.065, 0.0555, 180224, 59729}, 0},
};

TEST(Decide, PoolCases)
{
    for (const PoolCase &row : pool_cases) {
        EXPECT_EQ(Pool_GetPrefillTarget(&row.input), row.target) << row.name;
    }
}

/* Bursts of 1.7 to 2.2 scale both loads alike: nothing may change. */
TEST(Decide, BurstsDoNotChangePools)
{
    for (double x : {1.0, 1.7, 1.0, 2.2, 0.85, 1.9}) {
        PoolInput input = {3, 9, 0.065 * x, 0.0555, 180224 * x, 59729};
        EXPECT_EQ(Pool_GetPrefillTarget(&input), 3u) << x;
    }
}

TEST(Decide, RouteHasLongestPrefixOfTheHost)
{
    RteTable *table = Rte_New(1);
    RteBackend backend = {(char *)"svc", 1};
    RteRoute route = {};
    route.host = (char *)"Host.example";
    route.backends = g_array_new(FALSE, FALSE, sizeof(RteBackend));
    g_array_append_val(route.backends, backend);
    for (const char *prefix : {"/a/", "/a/b/", "/"}) {
        route.name = route.prefix = (char *)prefix;
        Rte_AddRoute(table, &route);
    }
    struct {
        const char *host, *path, *prefix;
    } const cases[] = {
        {"host.example", "/a/b/c", "/a/b/"},
        {"HOST.example:80", "/a/x", "/a/"},
        {"host.example", "/a?x=/a/b/", "/"},
        {"host.example", "/ab/", "/"},
        {"other", "/a/", nullptr},
    };
    for (const auto &row : cases) {
        const RteRoute *found = Rte_FindRoute(table, row.host, row.path);
        EXPECT_STREQ(found != nullptr ? found->prefix : nullptr, row.prefix)
            << row.path;
    }
    g_array_free(route.backends, TRUE);
    Rte_Unref(table);
}

TEST(Decide, BodyIsSplitIntoCompleteEvents)
{
    Sse sse;
    SseEvent event;
    size_t offset = 0;
    Sse_Init(&sse);
    std::string text = "id: 7\ndata: x\n\nid: 8\ndata";
    Sse_Feed(&sse, text.data(), text.size());
    ASSERT_TRUE(Sse_Next(&sse, &offset, &event));
    EXPECT_EQ(event.id, 7);
    EXPECT_FALSE(Sse_Next(&sse, &offset, &event));
    Sse_Drop(&sse, offset);
    Sse_Feed(&sse, ": y\n\n", 5);
    offset = 0;
    ASSERT_TRUE(Sse_Next(&sse, &offset, &event));
    EXPECT_EQ(event.id, 8);
    EXPECT_EQ(std::string(event.data, event.size), "id: 8\ndata: y\n\n");
    Sse_Clear(&sse);
}

FltEntry
MakeEntry(const char *id, uint64_t revision)
{
    FltEntry entry = {};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    entry.revision = revision;
    entry.slots = 1;
    return entry;
}

TEST(Decide, LapsedWorkerIsUsableForALimitedTime)
{
    Flt *flt = Flt_New();
    FltEntry entry = MakeEntry("a", 5);
    FltWorker *worker = Flt_Set(flt, &entry);
    Flt_Remove(flt, "a", 4, 1000); /* Of an older entry. */
    EXPECT_TRUE(Flt_IsReady(worker));
    Flt_Remove(flt, "a", 5, 1000);
    EXPECT_FALSE(Flt_IsReady(worker));
    EXPECT_TRUE(Flt_IsUsable(worker, 1000 + FLT_LAPSED_US - 1));
    EXPECT_FALSE(Flt_IsUsable(worker, 1000 + FLT_LAPSED_US));
    /* It comes back, as after an outage of the store. */
    entry.revision = 6;
    Flt_Set(flt, &entry);
    EXPECT_TRUE(Flt_IsReady(worker));
    /* An older entry changes nothing; a leaving one ends its use at once. */
    entry.revision = 4;
    entry.draining = true;
    EXPECT_EQ(Flt_Set(flt, &entry), nullptr);
    EXPECT_TRUE(Flt_IsReady(worker));
    entry.revision = 7;
    Flt_Set(flt, &entry);
    EXPECT_FALSE(Flt_IsUsable(worker, 0));
    Flt_Free(flt);
}

TEST(Decide, SweepRemovesUnlistedWorkers)
{
    Flt *flt = Flt_New();
    FltEntry a = MakeEntry("a", 1), b = MakeEntry("b", 1);
    Flt_Set(flt, &a);
    Flt_Set(flt, &b);
    Flt_BeginSweep(flt);
    Flt_Set(flt, &b);
    Flt_EndSweep(flt, 10);
    EXPECT_FALSE(Flt_IsReady(Flt_Find(flt, "a")));
    EXPECT_TRUE(Flt_IsReady(Flt_Find(flt, "b")));
    Flt_Free(flt);
}

} // namespace
