/* Tests of the gate's decisions under the faults and loads that they are made
   for, without sockets or a running clock. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/admission.h"
#include "decide/budget.h"
#include "decide/forecast.h"
#include "decide/health.h"
#include "decide/hubs.h"
#include "decide/pool.h"
#include "decide/precedence.h"
#include "decide/rank.h"
#include "decide/retry.h"
#include "gate/fleet.h"
#include "gate/routes.h"
#include "gate/sse.h"
}

#include <algorithm>
#include <string>
#include <vector>

namespace {

struct RetryCase {
    const char *name;
    RetryInput input;
    RetryNext next;
};

/* repeatable, has_answer, run, ran_before, runs, attempts, sends, budget,
   candidate, left_ms */
const RetryCase retry_cases[] = {
    {"not run: elsewhere",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, true, 500},
     RETRY_ELSEWHERE},
    {"not run, no worker: refuse",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, false, 500},
     RETRY_REFUSE},
    {"not run, budget spent: refuse",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, false, true, 500},
     RETRY_REFUSE},
    {"unknown, not repeatable: fail",
     {false, false, LS_RUN_UNKNOWN, true, 1, 1, 1, true, true, 500},
     RETRY_FAIL},
    {"unknown, repeatable: elsewhere",
     {true, false, LS_RUN_UNKNOWN, true, 1, 2, 1, true, true, 500},
     RETRY_ELSEWHERE},
    {"unknown, attempts used: fail",
     {true, false, LS_RUN_UNKNOWN, true, 2, 2, 2, true, true, 500},
     RETRY_FAIL},
    {"refused after a possible run: fail, not refuse",
     {true, false, LS_RUN_NOT_RUN, true, 1, 1, 2, true, true, 500},
     RETRY_FAIL},
    {"worker's error, attempts used: pass it",
     {true, true, LS_RUN_RAN, true, 2, 2, 2, true, true, 500},
     RETRY_PASS},
    {"worker's refusal is not passed",
     {false, true, LS_RUN_NOT_RUN, false, 0, 1, 1, true, false, 500},
     RETRY_REFUSE},
    {"no time left",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, 1, true, true, 5},
     RETRY_REFUSE},
    {"too many sends",
     {false, false, LS_RUN_NOT_RUN, false, 0, 1, RETRY_SENDS_MAX, true, true,
      500},
     RETRY_REFUSE},
};

TEST(Decide, RetryCases)
{
    for (const RetryCase &row : retry_cases) {
        EXPECT_EQ(Retry_Decide(&row.input), row.next) << row.name;
    }
}

/* A worker stops responding several times before it answers again. */
TEST(Decide, UnresponsiveWorkerIsBlockedLongerEachTime)
{
    HealthState state = {};
    int64_t now = CLK_US_PER_S;
    Health_NoteUnresponsive(&state, now);
    EXPECT_TRUE(Health_IsBlocked(&state, now + HEALTH_BLOCK_MIN_US - 1));
    EXPECT_FALSE(Health_IsBlocked(&state, now + HEALTH_BLOCK_MIN_US));
    /* A call that began before the block is no new evidence. */
    Health_NoteUnresponsive(&state, now + 1000);
    EXPECT_FALSE(Health_IsBlocked(&state, now + HEALTH_BLOCK_MIN_US));
    now += HEALTH_BLOCK_MIN_US;
    Health_NoteUnresponsive(&state, now);
    EXPECT_TRUE(Health_IsBlocked(&state, now + HEALTH_BLOCK_MIN_US));
    Health_NoteSuccess(&state, now + 1);
    EXPECT_FALSE(Health_IsBlocked(&state, now + 2));
}

struct PeersCase {
    const char *name;
    uint32_t peers;
    int64_t heard_age_us; /* -1: never heard. */
    int tries;            /* Of HEALTH_PEERS_TRIES choices. */
};

const PeersCase peers_cases[] = {
    {"nobody else misses it", 0, -1, HEALTH_PEERS_TRIES},
    {"one VM may have lost its own link", 1, -1, HEALTH_PEERS_TRIES},
    {"several VMs miss it", HEALTH_PEERS_MIN, -1, 1},
    {"it answered here lately", 30, HEALTH_HEARD_US - 1, HEALTH_PEERS_TRIES},
    {"it answered here before", 30, HEALTH_HEARD_US, 1},
};

/* Each VM found out by itself, with time-outs, about each silent worker. */
TEST(Decide, WorkerThatOtherVmsCannotReachIsTriedRarely)
{
    for (const PeersCase &row : peers_cases) {
        SCOPED_TRACE(row.name);
        int64_t now = 60 * CLK_US_PER_S;
        int64_t heard = row.heard_age_us < 0 ? 0 : now - row.heard_age_us;
        int tries = 0;
        for (uint32_t i = 0; i < HEALTH_PEERS_TRIES; i++) {
            tries += !Health_IsBlockedByPeers(row.peers, heard, i, now);
        }
        EXPECT_EQ(tries, row.tries);
    }
}

/* A worker that fails 4 of 10 calls must cost more. The errors that a healthy
   service returns, 1 of 20 calls, must not. */
TEST(Decide, PartlyFailingWorkerCostsMoreThanHealthyOne)
{
    HealthState failing = {}, healthy = {};
    int64_t now = CLK_US_PER_S;
    for (int i = 0; i < 40; i++) {
        now += 50000;
        i % 5 < 2 ? Health_NoteFailure(&failing, now)
                  : Health_NoteSuccess(&failing, now);
        i % 20 == 0 ? Health_NoteFailure(&healthy, now)
                    : Health_NoteSuccess(&healthy, now);
    }
    EXPECT_EQ(Health_GetCost(&healthy, now), 0);
    Health_NoteFailure(&failing, now);
    EXPECT_GT(Health_GetCost(&failing, now), 0);
    /* Old failures lose their weight, so the worker is tried again. */
    EXPECT_EQ(Health_GetCost(&failing, now + 4 * HEALTH_HALF_LIFE_US), 0);
}

TEST(Decide, RetriesOfRefusedCallersAreSpread)
{
    uint32_t least = UINT32_MAX, most = 0;
    for (uint32_t random_value = 0; random_value < 1024; random_value += 64) {
        uint32_t after =
            Admission_GetRetryAfter(ADMISSION_FULL, 14000, 0, random_value);
        least = std::min(least, after);
        most = std::max(most, after);
    }
    EXPECT_GE(least, ADMISSION_RETRY_MIN_MS);
    EXPECT_GE(most, least + 300);
    /* Callers don't wait longer than a third of their time left. */
    EXPECT_LE(Admission_GetRetryAfter(ADMISSION_NO_WORKER, 600, 0, 1023),
              200u);
}

/* Waits during a burst without capacity. The objective is 900 ms, the route's
   timeout is 14 s, and the callers' timeouts are 11.9 to 14 s. */
struct WaitCase {
    const char *name;
    int64_t left_ms; /* Caller's time left; 0 if unknown. */
    bool is_prefilled;
    bool is_streaming;
    bool is_resumed;
    int64_t until_ms; /* End of the wait, after the arrival. */
    int64_t poll_ms;  /* Shortest interval between two polls. */
};

const WaitCase wait_cases[] = {
    {"first try: waits while it can meet the objective", 14000, false, false,
     false, 650, 30},
    {"first try with a shorter timeout", 11900, false, false, false, 650, 30},
    {"unknown timeout", 0, false, false, false, 650, 30},
    {"late retry: polls rarely", 11000, false, false, false, 1500, 200},
    {"late retry with little time left", 2000, false, false, false, 1000, 200},
    {"prompt is read: polls often", 14000, true, false, false, 2000, 20},
    {"stream has begun: waits as long as its caller", 14000, false, true,
     false, 14000, 30},
    {"stream has begun, late retry", 8000, false, true, false, 8000, 30},
    {"stream has begun, prompt is read", 8000, true, true, false, 8000, 20},
    {"resumed: waits until its caller would leave", 11000, false, false, true,
     3100, 20},
    {"resumed with a long time left", 14000, false, false, true, 3100, 20},
    {"resumed with little time left", 3000, false, false, true, 1500, 20},
    {"resumed, prompt is read", 11000, true, false, true, 3100, 20},
    {"resumed, stream has begun", 8000, false, true, true, 8000, 20},
};

TEST(Decide, WaitPlanCases)
{
    for (const WaitCase &row : wait_cases) {
        SCOPED_TRACE(row.name);
        AdmissionWait wait = {};
        wait.arrived_us = 5 * CLK_US_PER_S;
        wait.waiting_since_us = wait.arrived_us;
        wait.left_us = row.left_ms * CLK_US_PER_MS;
        wait.timeout_us = 14 * CLK_US_PER_S;
        wait.slo_us = 900 * CLK_US_PER_MS;
        wait.deadline_us = wait.arrived_us +
                           (row.left_ms > 0 ? wait.left_us : wait.timeout_us);
        wait.is_prefilled = row.is_prefilled;
        wait.is_streaming = row.is_streaming;
        wait.is_resumed = row.is_resumed;
        AdmissionWaitPlan wait_plan = Admission_PlanWait(&wait);
        EXPECT_EQ((wait_plan.until_us - wait.arrived_us) / CLK_US_PER_MS,
                  row.until_ms);
        EXPECT_EQ(wait_plan.poll_us / CLK_US_PER_MS, row.poll_ms);
    }
}

/* If the objective is shorter than the usual time to the first event, half of
   it must remain for the wait. */
TEST(Decide, ShortObjectiveStillLeavesTimeToWait)
{
    AdmissionWait wait = {};
    wait.slo_us = 200 * CLK_US_PER_MS;
    wait.timeout_us = wait.deadline_us = 14 * CLK_US_PER_S;
    EXPECT_EQ(Admission_PlanWait(&wait).until_us, 100 * CLK_US_PER_MS);
}

/* Callers refused by full workers must retry when streams there have ended
   (after 3 s on average), and not within the same burst. */
TEST(Decide, RetriesAfterFullWorkersWaitForStreamsToEnd)
{
    for (uint32_t random_value = 0; random_value < 1024; random_value += 64) {
        uint32_t after =
            Admission_GetRetryAfter(ADMISSION_FULL, 14000, 0, random_value);
        EXPECT_GE(after, 1500u);
        EXPECT_LE(after, 3500u);
    }
}

RankWorker
MakeWorker(RankDistance distance, uint64_t prefill_tokens,
           uint64_t kv_peak_tokens)
{
    RankWorker worker = {};
    worker.distance = distance;
    worker.slots = 128;
    worker.prefill_tokens = prefill_tokens;
    worker.kv_peak_tokens = kv_peak_tokens;
    worker.kv_capacity_tokens = 59729;
    worker.slowness = 1.0;
    return worker;
}

struct FenceCase {
    const char *name;
    int64_t first_ms;  /* Offset of the first home's clock. */
    int64_t second_ms; /* Offset of the next home's clock. */
    int refusals_max;  /* Orders of the next home that are refused. */
};

const FenceCase fence_cases[] = {
    {"right clocks", 0, 0, 0},
    {"the next home's clock is behind", 0, -2400000, 1},
    {"the first home's clock was ahead", 2400000, 0, 1},
    {"both", 2400000, -2400000, 2},
    {"half a day", 43200000, 0, 5},
};

/* A home dies and another one takes over, 6 s later, with a clock that was set
   wrong. Its orders are soon accepted, and no number is used twice. */
TEST(Decide, FencesOutliveClockSteps)
{
    const int64_t start_ms = 1790000000000;
    for (const FenceCase &row : fence_cases) {
        SCOPED_TRACE(row.name);
        PoolFence first = {};
        PoolFence second = {};
        uint64_t seen = 0; /* Highest number that the worker has seen. */
        for (int i = 0; i < 3; i++) {
            uint64_t fence = Pool_GetNextFence(
                &first, (uint64_t)(start_ms + row.first_ms + i));
            EXPECT_GT(fence, seen);
            seen = fence;
        }
        int refusals = 0;
        uint64_t last = 0;
        for (int i = 0; i < 10; i++) {
            /* The clock steps back once more in between. */
            int64_t step_ms = i == 5 ? -2400000 : 0;
            uint64_t fence = Pool_GetNextFence(
                &second,
                (uint64_t)(start_ms + 6000 + i + row.second_ms + step_ms));
            EXPECT_GT(fence, last);
            last = fence;
            if (fence < seen) {
                refusals++;
                Pool_NoteFenceRefused(&second);
            }
            seen = MAX(seen, fence);
        }
        EXPECT_LE(refusals, row.refusals_max);
    }
}

/* A region with one prefill worker has a burst of 2.2 times its usual load. A
   prompt of 5,200 tokens takes 94 ms there. With six prompts queued, a worker
   of another region or an idle decode worker must cost less. */
TEST(Decide, BurstMovesPromptsToOtherWorkers)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker local = MakeWorker(RANK_SAME_ZONE, 0, 5200);
    RankWorker far = MakeWorker(RANK_OTHER_REGION, 0, 5200);
    int64_t idle = Rank_GetPrefillCost(&weights, &local, 5200);
    EXPECT_LT(idle, Rank_GetPrefillCost(&weights, &far, 5200));
    EXPECT_LT(idle, Rank_GetLocalPrefillCost(&weights, &local, 5200));
    RankWorker queued = MakeWorker(RANK_SAME_ZONE, 6 * 5200, 5200);
    int64_t busy = Rank_GetPrefillCost(&weights, &queued, 5200);
    EXPECT_GT(busy, Rank_GetPrefillCost(&weights, &far, 5200));
    EXPECT_GT(busy, Rank_GetLocalPrefillCost(&weights, &local, 5200));
}

/* A burst of llavesnorte: several VMs read prompts at one decode worker with
   eight streams, whose events come each 88 ms. The route allows pauses of
   300 ms. */
struct PauseCase {
    const char *name;
    uint32_t running;
    uint64_t waiting_tokens; /* Of prompts that others read there. */
    uint32_t tokens;
    int64_t pause_max_ms;
    int64_t min_us; /* Bounds of the price. */
    int64_t max_us;
};

const PauseCase pause_cases[] = {
    {"no streams", 0, 0, 9000, 300, 0, 0},
    {"no limit", 8, 0, 9000, 0, 0, 0},
    {"a short prompt", 8, 0, 1500, 300, 0, 0},
    {"a usual prompt", 8, 0, 5000, 300, 50000, 300000},
    {"a second prompt at the same time", 8, 4000, 4000, 300, 400000, 400000},
    {"a long prompt", 8, 0, 9000, 300, 400000, 400000},
    {"a long prompt, one stream", 1, 0, 9000, 300, 100000, 200000},
};

TEST(Decide, PromptsThatPauseStreamsHaveAPrice)
{
    RankWeights weights = Rank_DefaultWeights();
    for (const PauseCase &row : pause_cases) {
        SCOPED_TRACE(row.name);
        RankWorker worker = MakeWorker(RANK_SAME_ZONE, row.waiting_tokens, 0);
        worker.running = row.running;
        worker.event_interval_us = 88000;
        worker.pause_max_us = row.pause_max_ms * CLK_US_PER_MS;
        int64_t cost_us = Rank_GetPauseCost(&weights, &worker, row.tokens);
        EXPECT_GE(cost_us, row.min_us);
        EXPECT_LE(cost_us, row.max_us);
    }
}

/* A prompt waits for three others at the prefill worker rather than hold up
   the streams of a decode worker, but not for nine others. */
TEST(Decide, LongPromptWaitsForAPrefillWorker)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker decode = MakeWorker(RANK_SAME_ZONE, 0, 0);
    decode.running = 8;
    decode.event_interval_us = 88000;
    decode.pause_max_us = 300000;
    int64_t local = Rank_GetLocalPrefillCost(&weights, &decode, 9000) +
                    Rank_GetPauseCost(&weights, &decode, 9000);
    RankWorker three = MakeWorker(RANK_SAME_ZONE, 3 * 5200, 0);
    RankWorker nine = MakeWorker(RANK_SAME_ZONE, 9 * 5200, 0);
    EXPECT_GT(local, Rank_GetPrefillCost(&weights, &three, 9000));
    EXPECT_LT(local, Rank_GetPrefillCost(&weights, &nine, 9000));
    EXPECT_LT(Rank_GetLocalPrefillCost(&weights, &decode, 9000),
              Rank_GetPrefillCost(&weights, &three, 9000));
}

TEST(Decide, FullMemoryCostsMoreThanAnotherRegion)
{
    RankWeights weights = Rank_DefaultWeights();
    RankWorker full = MakeWorker(RANK_SAME_ZONE, 0, 57000 + 5900);
    RankWorker far = MakeWorker(RANK_OTHER_REGION, 0, 10000 + 5900);
    EXPECT_GT(Rank_GetDecodeCost(&weights, &full, RANK_SAME_ZONE),
              Rank_GetDecodeCost(&weights, &far, RANK_OTHER_REGION));
}

/* Streams of a worker with 70,369 tokens of KV memory: prompts of 5,200
   tokens, answers of 4,900, 1.4 tokens a millisecond. */
ForecastStream
MakeStream(uint32_t made_tokens, uint32_t expected_tokens = 4900)
{
    return {5200, made_tokens, expected_tokens, 0.0014};
}

uint64_t
GetPeak(const std::vector<uint32_t> &made)
{
    Forecast sum = {};
    for (uint32_t tokens : made) {
        ForecastStream stream = MakeStream(tokens);
        Forecast forecast = Forecast_OfStream(&stream);
        Forecast_Add(&sum, &forecast);
    }
    return Forecast_GetPeak(&sum);
}

/* A burst fills a worker with streams that begin together: ten of them use
   52,000 tokens now, less than eight that began one after another, but they
   outgrow the memory before they end. */
TEST(Decide, StreamsThatBeginTogetherOutgrowTheMemory)
{
    std::vector<uint32_t> together(10, 0);
    std::vector<uint32_t> staggered = {0,    600,  1200, 1800,
                                       2400, 3000, 3600, 4200};
    EXPECT_GT(GetPeak(together), 0.95 * 70369);
    EXPECT_EQ(GetPeak(staggered), 8u * 5200 + 16800);
    EXPECT_LT(GetPeak(staggered), 0.95 * 70369);
}

struct ForecastCase {
    const char *name;
    ForecastStream stream;
    Forecast forecast;
};

const ForecastCase forecast_cases[] = {
    {"just begun", MakeStream(0), {{5200, 6600, 6796}}},
    {"near its expected end", MakeStream(4700), {{9900, 5730, 0}}},
    {"longer than expected", MakeStream(6000, 1000), {{11200, 9100, 0}}},
    {"speed unknown", {5200, 0, 4900, 0}, {{5200, 0, 0}}},
};

TEST(Decide, ForecastOfOneStream)
{
    for (const ForecastCase &row : forecast_cases) {
        SCOPED_TRACE(row.name);
        Forecast forecast = Forecast_OfStream(&row.stream);
        for (int i = 0; i < FORECAST_POINTS; i++) {
            EXPECT_NEAR((double)forecast.tokens[i],
                        (double)row.forecast.tokens[i], 0.03 * 5200);
        }
        Forecast sum = forecast;
        Forecast_Add(&sum, &forecast);
        Forecast_Subtract(&sum, &forecast);
        Forecast_Subtract(&sum, &forecast);
        EXPECT_EQ(Forecast_GetPeak(&sum), 0u);
    }
}

struct PoolCase {
    const char *name;
    PoolInput input;
    uint32_t target;
};

/* prefill_workers, decode_workers, prompt_per_us, prefill_per_us, kv_tokens,
   kv_capacity_tokens */
const PoolCase pool_cases[] = {
    /* 13 streams/s, without a burst. */
    {"decoding is short of memory", {5, 7, 0.065, 0.0555, 180224, 59729}, 3},
    {"balanced pools", {3, 9, 0.065, 0.0555, 180224, 59729}, 3},
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

/* Bursts of 1.7 to 2.2 times the load scale both pools' loads alike, so no
   worker may change its phase. */
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
    SseOptions options = {};
    Sse_Init(&sse, &options);
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

const FleetOptions fleet_options = Fleet_DefaultOptions();

FleetEntry
MakeEntry(const char *id, uint64_t revision)
{
    FleetEntry entry = {};
    g_strlcpy(entry.id, id, sizeof(entry.id));
    entry.position.revision = revision;
    entry.slots = 1;
    return entry;
}

TEST(Decide, RemovedWorkerIsUsableForALimitedTime)
{
    Fleet *fleet = Fleet_New(&fleet_options);
    FleetEntry entry = MakeEntry("a", 5);
    FleetWorker *worker = Fleet_SetEntry(fleet, &entry, 0);
    Fleet_RemoveEntry(fleet, "a", {0, 4}, 1000); /* Older entry: ignored. */
    EXPECT_TRUE(Fleet_IsReady(worker, 0));
    Fleet_RemoveEntry(fleet, "a", {0, 5}, 1000);
    EXPECT_FALSE(Fleet_IsReady(worker, 0));
    EXPECT_TRUE(Fleet_IsUsable(worker, 1000 + FLEET_REMOVED_GRACE_US - 1));
    EXPECT_FALSE(Fleet_IsUsable(worker, 1000 + FLEET_REMOVED_GRACE_US));
    /* The entry returns, as after an outage of the store. */
    entry.position.revision = 6;
    Fleet_SetEntry(fleet, &entry, 0);
    EXPECT_TRUE(Fleet_IsReady(worker, 0));
    /* An older entry is ignored. A draining worker is unusable at once. */
    entry.position.revision = 4;
    entry.draining = true;
    EXPECT_EQ(Fleet_SetEntry(fleet, &entry, 0), nullptr);
    EXPECT_TRUE(Fleet_IsReady(worker, 0));
    entry.position.revision = 7;
    Fleet_SetEntry(fleet, &entry, 0);
    EXPECT_FALSE(Fleet_IsUsable(worker, 0));
    Fleet_Free(fleet);
}

TEST(Decide, SweepRemovesUnlistedWorkers)
{
    Fleet *fleet = Fleet_New(&fleet_options);
    FleetEntry a = MakeEntry("a", 1), b = MakeEntry("b", 1);
    Fleet_SetEntry(fleet, &a, 0);
    Fleet_SetEntry(fleet, &b, 0);
    Fleet_BeginSweep(fleet, 0, 10);
    Fleet_SetEntry(fleet, &b, 0);
    Fleet_EndSweep(fleet, 10);
    EXPECT_FALSE(Fleet_IsReady(Fleet_Find(fleet, "a"), 10));
    EXPECT_TRUE(Fleet_IsReady(Fleet_Find(fleet, "b"), 10));
    Fleet_Free(fleet);
}

/* The burst of llavesnorte: three workers with six slots and a queue of 24
   each, 60 ms a call, an objective of 300 ms. Calls in a full queue are all
   late. */
TEST(Decide, CallJoinsAQueueOnlyIfItCanBeInTime)
{
    const struct {
        const char *name;
        uint32_t running;
        int64_t call_ms;
        int64_t slo_ms;
        bool is_retry;
        bool is_in_time;
    } cases[] = {
        {"free slot", 5, 60, 300, false, true},
        {"free slot, retry", 5, 60, 300, true, true},
        {"free slot, objective below the call's time", 5, 60, 50, false, true},
        {"short queue", 6, 60, 300, false, true},
        {"short queue, retry", 8, 60, 300, true, true},
        {"queue of half the objective, retry", 18, 60, 300, true, false},
        {"queue of half the objective", 18, 60, 300, false, true},
        {"full queue", 29, 60, 300, false, false},
        {"full queue, long objective", 29, 60, 1000, false, true},
        {"no objective", 29, 60, 0, false, true},
    };
    RankWeights weights = Rank_DefaultWeights();
    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        RankWorker worker = {};
        worker.slots = 6;
        worker.running = row.running;
        worker.service_us = (double)(row.call_ms * CLK_US_PER_MS);
        Precedence precedence = {}; /* No timely call lacks capacity. */
        EXPECT_EQ(
            Admission_IsInTime(
                Rank_GetCallWait(&weights, &worker),
                Rank_GetCallTime(&weights, &worker),
                weights.rtt_us[RANK_OTHER_REGION], row.slo_ms * CLK_US_PER_MS,
                row.is_retry ? Precedence_GetLateQueue(
                                   &precedence, row.slo_ms * CLK_US_PER_MS, 0)
                             : ADMISSION_TIMELY),
            row.is_in_time);
    }
}

TEST(Decide, RetriesAreToldByTheTimeLeftOfFirstTries)
{
    int64_t known_ms = 0;
    EXPECT_FALSE(Admission_IsRetry(3000, known_ms));
    for (int i = 0; i < 50; i++) {
        known_ms = Admission_UpdateFirstLeft(known_ms, 2700 + 60 * (i % 11));
        known_ms = Admission_UpdateFirstLeft(known_ms, 1900);
    }
    EXPECT_TRUE(Admission_IsRetry(1900, known_ms));
    EXPECT_FALSE(Admission_IsRetry(2700, known_ms));
    EXPECT_FALSE(Admission_IsRetry(0, known_ms)); /* Unknown. */
    /* Streams of 11.9 to 14 s, and one of the former after 0.3 s. */
    EXPECT_FALSE(Admission_IsRetry(11900, 14000));
    EXPECT_TRUE(Admission_IsRetry(11600, 14000));
    /* One caller that allows far more doesn't make the others retries. */
    EXPECT_FALSE(Admission_IsRetry(
        2700, Admission_UpdateFirstLeft(known_ms, 4 * known_ms)));
    /* Callers that allow less from now on are not taken for retries for long.
     */
    for (int i = 0; i < 3000; i++) {
        known_ms = Admission_UpdateFirstLeft(known_ms, 1000);
    }
    EXPECT_FALSE(Admission_IsRetry(1000, known_ms));
}

/* Overload that lasts: nearly all waits are in vain, so that few requests go
   on to wait; when capacity is back, their number grows again. */
TEST(Decide, AsManyRequestsWaitAsAreServed)
{
    AdmissionQueue queue;
    Admission_InitQueue(&queue);
    int first = 0;
    while (Admission_BeginWait(&queue)) {
        first++;
    }
    EXPECT_GT(first, 1);
    for (int i = 0; i < 40; i++) {
        Admission_EndWait(&queue, ADMISSION_WAIT_OVER);
        while (Admission_BeginWait(&queue)) {
        }
        if (queue.waiting <= 1) {
            break;
        }
    }
    /* One always may, which finds out when there is room again. */
    EXPECT_EQ(queue.waiting, 1u);
    EXPECT_FALSE(Admission_BeginWait(&queue));
    Admission_EndWait(&queue, ADMISSION_WAIT_OVER);
    ASSERT_TRUE(Admission_BeginWait(&queue));
    /* Callers that leave say nothing of the capacity. */
    Admission_EndWait(&queue, ADMISSION_WAIT_LEFT);
    ASSERT_TRUE(Admission_BeginWait(&queue));
    for (int i = 0; i < 40; i++) {
        Admission_EndWait(&queue, ADMISSION_WAIT_SERVED);
        ASSERT_TRUE(Admission_BeginWait(&queue));
    }
    int again = 1;
    while (Admission_BeginWait(&queue)) {
        again++;
    }
    EXPECT_GE(again, first);
}

} // namespace
