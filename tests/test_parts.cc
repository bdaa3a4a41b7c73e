// Tests of single modules: contracts, ownership, quotas, membership,
// placement, the engine protocol, settings and service levels.
#include "c_api.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "api.h"
#include "engine.h"
#include "pick.h"
#include "settings.h"
#include "slo.h"
}

namespace {

// Loads a configuration of version 1 with one part. Returns NULL on an error.
ConConfig *
Load(const std::string &part, LsError *err)
{
    char *digest = Con_GetDigest(part.data(), part.size());
    std::string manifest =
        std::string("{\"version\":1,\"parts\":[{\"name\":\"p\","
                    "\"sha256\":\"") +
        digest + "\"}]}";
    GPtrArray *parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
    g_ptr_array_add(parts, Con_NewPart("p", part.data(), part.size()));
    ConConfig *config =
        Con_LoadConfig(manifest.data(), manifest.size(), parts, err);
    g_ptr_array_unref(parts);
    g_free(digest);
    return config;
}

// Returns a valid contract in which `from` is replaced by `to`.
std::string
Customer(const std::string &from, const std::string &to)
{
    std::string text =
        "{\"models\":[{\"name\":\"m\",\"kv_bytes_per_token\":1}],"
        "\"customers\":[{\"id\":\"c\",\"key_sha256\":[],\"priority\":1,"
        "\"requests_per_s\":1,\"tokens_per_s\":1,\"concurrency\":1,"
        "\"cross_region_tokens_per_s\":0,\"regions\":[\"r\"],"
        "\"models\":[\"m\"],\"first_token_ms\":1300,\"per_token_ms\":36,"
        "\"wasted_prefill_weight\":1,\"routes\":[{\"service\":\"s\","
        "\"path\":\"/holds\",\"idempotent\":false},{\"service\":\"s\","
        "\"path\":\"/holds/list\",\"idempotent\":true}]}]}";
    size_t at = text.find(from);
    return from.empty() ? text : text.replace(at, from.size(), to);
}

TEST(Contract, ErrorsNamePartFieldAndReason)
{
    struct Case {
        const char *from;
        const char *to;
        LsResult code;
        const char *message;
    };
    const Case cases[] = {
        {"", "", LS_OK, ""},
        {"{\"models\"", "[", LS_ERR_CONFIG_PARSE, "p: line"},
        {"\"id\":\"c\"", "\"id\":7", LS_ERR_CONFIG_FIELD,
         "p: customers[0].id: needs"},
        {"\"id\":\"c\"", "\"id\":\"a b\"", LS_ERR_CONFIG_FIELD,
         "p: customers[0].id: letters"},
        {"\"priority\":1", "\"priority\":10", LS_ERR_CONFIG_FIELD,
         "p: customers[0].priority: needs a number from 0 to 9"},
        {"\"concurrency\":1", "\"concurrency\":-1", LS_ERR_CONFIG_FIELD,
         "p: customers[0].concurrency"},
        {"\"key_sha256\":[]", "\"key_sha256\":[\"ab\"]", LS_ERR_CONFIG_FIELD,
         "p: customers[0].key_sha256: needs 64"},
        {"\"models\":[\"m\"]", "\"models\":[\"n\"]", LS_ERR_CONFIG_FIELD,
         "customer c: models: n is not defined"},
        {"\"idempotent\":false", "\"idempotent\":0", LS_ERR_CONFIG_FIELD,
         "p: customers[0].routes.idempotent"},
        {"\"path\":\"/holds\"", "\"path\":\"holds\"", LS_ERR_CONFIG_FIELD,
         "p: customers[0].routes.path"},
        {"\"first_token_ms\":1300,", "", LS_ERR_CONFIG_FIELD,
         "p: customers[0].first_token_ms"},
    };
    for (const Case &row : cases) {
        LsError err = {};
        ConConfig *config = Load(Customer(row.from, row.to), &err);
        EXPECT_EQ(err.code, row.code) << row.to << ": " << err.message;
        EXPECT_EQ(config != nullptr, row.code == LS_OK);
        EXPECT_EQ(std::string(err.message).find(row.message), 0u)
            << err.message;
        Con_UnloadConfig(config);
    }
}

TEST(Contract, LongestRouteMatches)
{
    LsError err;
    ConConfig *config = Load(Customer("", ""), &err);
    const ConCustomer *customer = Con_FindCustomerById(config, "c");
    EXPECT_FALSE(Con_FindRoute(customer, "s", "/holds")->idempotent);
    EXPECT_FALSE(Con_FindRoute(customer, "s", "/holds/7")->idempotent);
    EXPECT_TRUE(Con_FindRoute(customer, "s", "/holds/list/1")->idempotent);
    EXPECT_EQ(Con_FindRoute(customer, "s", "/holdsome"), nullptr);
    EXPECT_EQ(Con_FindRoute(customer, "t", "/holds"), nullptr);
    Con_UnloadConfig(config);
}

// Contracts damaged at random, from a fixed seed, don't crash the parser. It
// returns a configuration exactly if it reports no error.
TEST(Contract, DamagedTextIsAcceptedOrRefused)
{
    GRand *rand = g_rand_new_with_seed(7);
    for (int i = 0; i < 5000; i++) {
        std::string text = Customer("", "");
        int changes = g_rand_int_range(rand, 1, 4);
        for (int k = 0; k < changes; k++) {
            size_t at = static_cast<size_t>(
                g_rand_int_range(rand, 0, static_cast<gint32>(text.size())));
            if (g_rand_boolean(rand)) {
                text[at] = static_cast<char>(g_rand_int_range(rand, 0, 256));
            }
            else {
                text.erase(at,
                           static_cast<size_t>(g_rand_int_range(rand, 1, 20)));
            }
        }
        LsError err = {};
        ConConfig *config = Load(text, &err);
        EXPECT_EQ(config == nullptr, err.code != LS_OK);
        Con_UnloadConfig(config);
    }
    g_rand_free(rand);
}

// Keys spread evenly over the members. When a member leaves, only its keys
// move.
TEST(Own, KeysSpreadEvenlyAndFewMove)
{
    const char *members[] = {"a", "b", "c", "d", "e", "f", "g", "h", "i"};
    int owned[9] = {};
    for (int i = 0; i < 9000; i++) {
        std::string key = "key-" + std::to_string(i);
        int owner = Own_FindOwner(key.c_str(), members, 9);
        int without = Own_FindOwner(key.c_str(), members, 8);
        owned[owner]++;
        if (owner != 8) {
            EXPECT_EQ(owner, without);
        }
    }
    for (int count : owned) {
        EXPECT_GT(count, 800);
        EXPECT_LT(count, 1200);
    }
    EXPECT_EQ(Own_FindOwner("key", members, 0), -1);
}

TEST(Quota, SharesNeverExceedTheLimit)
{
    for (uint32_t limit : {0u, 1u, 8u, 9u, 10u, 100u, 4294967295u}) {
        for (uint32_t vms : {1u, 9u, 560u}) {
            uint64_t sum = 0;
            for (uint32_t i = 0; i < vms; i++) {
                sum += Quo_GetShare(limit, vms);
            }
            EXPECT_LE(sum, limit);
        }
    }
}

TEST(Quota, BucketNeverExceedsItsRate)
{
    QuoBucket bucket = {};
    int64_t now = 1;
    double taken = 0;
    for (int ms = 0; ms < 10000; ms++) {
        Quo_FillBucket(&bucket, 20, 20, now);
        int64_t wait = Quo_TakeFromBucket(&bucket, 3);
        taken += wait == 0 ? 3 : 0;
        now += CLK_US_PER_MS;
    }
    EXPECT_LE(taken, 20 * 11);
    EXPECT_GE(taken, 20 * 10);
}

// Limits of a contract at one of three VMs.
TEST(Quota, RefusalsAreNotRunAndSayWhenToRetry)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    Board *board = Rig_GetBoard(rig, 0);
    ConCustomer customer = *Con_FindCustomer(board->config, RIG_KEY);
    LsError err;
    customer.concurrency = 6; // 2 at each of 3 VMs
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_OK);
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_OK);
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_ERR_CONCURRENCY_LIMIT);
    EXPECT_EQ(err.run, LS_RUN_NOT_RUN);
    EXPECT_GT(err.retry_after_ms, 0u);
    Quo_Release(board, customer.id);
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_OK);
    Quo_Release(board, customer.id);
    customer.requests_per_s = 3; // 1 per second at each of 3 VMs
    Rig_Run(rig, CLK_US_PER_S);
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_OK);
    Quo_Release(board, customer.id);
    EXPECT_EQ(Quo_Admit(board, &customer, 1, &err), LS_ERR_RATE_LIMIT);
    EXPECT_LE(err.retry_after_ms, 1001u);
    Rig_Free(rig);
}

// A killed VM is declared dead by all others, counts as removed once it is off
// the platform's list, and is alive again after a restart.
TEST(Membership, KilledVmIsDeadThenRemovedThenAlive)
{
    RigOptions options = Rig_DefaultOptions();
    options.vm_count = 9;
    Rig *rig = Rig_New(&options);
    Rig_KillVm(rig, 3);
    Rig_Run(rig, 12 * CLK_US_PER_S);
    for (int i = 0; i < 9; i++) {
        if (i != 3) {
            EXPECT_EQ(Mem_GetState(Rig_GetBoard(rig, i), "vm-3"), MEM_DEAD)
                << i;
        }
    }
    EXPECT_FALSE(Mem_IsRemoved(Rig_GetBoard(rig, 0), "vm-3"));
    Rig_Run(rig, 10 * CLK_US_PER_S);
    EXPECT_TRUE(Mem_IsRemoved(Rig_GetBoard(rig, 0), "vm-3"));
    Rig_StartVm(rig, 3);
    Rig_Run(rig, 8 * CLK_US_PER_S);
    for (int i = 0; i < 9; i++) {
        EXPECT_EQ(Mem_GetState(Rig_GetBoard(rig, i), "vm-3"), MEM_ALIVE) << i;
    }
    Rig_Free(rig);
}

// A paused VM refutes its death after it resumes, and the sides of a healed
// partition see each other as alive and agree on the homes.
TEST(Membership, PausedAndPartitionedVmsRejoin)
{
    RigOptions options = Rig_DefaultOptions();
    options.vm_count = 9;
    Rig *rig = Rig_New(&options);
    Rig_PauseVm(rig, 2);
    for (int a = 4; a < 9; a++) {
        Rig_IsolateVm(rig, a, true);
    }
    Rig_Run(rig, 20 * CLK_US_PER_S);
    EXPECT_EQ(Mem_GetState(Rig_GetBoard(rig, 0), "vm-2"), MEM_DEAD);
    Rig_ResumeVm(rig, 2);
    EXPECT_TRUE(Mem_IsViewStale(Rig_GetBoard(rig, 2)));
    for (int a = 4; a < 9; a++) {
        Rig_IsolateVm(rig, a, false);
    }
    Rig_Run(rig, 20 * CLK_US_PER_S);
    EXPECT_FALSE(Mem_IsViewStale(Rig_GetBoard(rig, 2)));
    for (int i = 0; i < 9; i++) {
        for (int k = 0; k < 9; k++) {
            std::string vm = "vm-" + std::to_string(k);
            EXPECT_EQ(Mem_GetState(Rig_GetBoard(rig, i), vm.c_str()),
                      MEM_ALIVE)
                << i << " of " << k;
        }
        EXPECT_EQ(Rig_FindHome(rig, i), Rig_FindHome(rig, 0));
    }
    Rig_Free(rig);
}

// Urgent jobs are placed first, but no job of low priority starves.
TEST(Priority, UrgentFirstWithoutStarvation)
{
    struct Case {
        const char *name;
        int64_t waited_s; // Time that the job of priority 9 has waited.
        bool urgent_first;
    };
    for (const Case &row :
         {Case{"both new", 0, true}, Case{"waited a little", 10, true},
          Case{"waited long", 20, false}}) {
        Cell *cell = Cell_New("m@r");
        CellJob *low_priority = Cell_NewJob("vm", "low", 0);
        CellJob *urgent = Cell_NewJob("vm", "urgent", 0);
        int64_t now = 100 * CLK_US_PER_S;
        low_priority->priority = 9;
        low_priority->arrived_us = now - row.waited_s * CLK_US_PER_S;
        urgent->arrived_us = now;
        Cell_BeginWaiting(cell, low_priority);
        Cell_BeginWaiting(cell, urgent);
        EXPECT_EQ(Pick_FindNextJob(cell, now),
                  row.urgent_first ? urgent : low_priority)
            << row.name;
        Cell_FreeJob(low_priority);
        Cell_FreeJob(urgent);
        Cell_Free(cell);
    }
}

// The suspension of an engine doubles with each failure up to 32 s, and starts
// again at the minimum after a job succeeded.
TEST(Failures, SuspensionDoublesUntilAJobSucceeds)
{
    CellEngine *engine = Cell_NewEngine("e");
    int64_t now = 100 * CLK_US_PER_S;
    int64_t pause_s = 2;
    for (int i = 0; i < 7; i++) {
        Cell_RecordFailure(engine, now);
        Cell_RecordFailure(engine, now + CLK_US_PER_MS); // The same failure.
        EXPECT_EQ((engine->suspended_until_us - now) / CLK_US_PER_S, pause_s);
        pause_s = MIN(pause_s * 2, 32);
        now = engine->suspended_until_us;
    }
    CellJob *job = Cell_NewJob("vm", "r", 0);
    job->decode = engine;
    Cell_ClearFailures(job);
    Cell_RecordFailure(engine, now + CLK_US_PER_S);
    EXPECT_EQ(engine->failure_count, 1u);
    Cell *cell = Cell_New("m@r");
    Cell_BeginWaiting(cell, job);
    Cell_FreeJob(job);
    Cell_Free(cell);
    Cell_FreeEngine(engine);
}

TEST(Engine, ParsesChunksAndRefusals)
{
    struct Case {
        const char *data;
        bool ok;
        uint32_t offset;
        bool done;
    };
    const Case cases[] = {
        {"[DONE]", true, 0, true},
        {"{\"offset\":3,\"tokens\":1,\"choices\":[{\"text\":\"x\","
         "\"finish_reason\":null}]}",
         true, 3, false},
        {"{\"tokens\":1,\"choices\":[{\"text\":\"x\"}]}", false, 0, false},
        {"{\"offset\":3,\"choices\":[]}", false, 0, false},
        {"{\"offset\":4294967295,\"tokens\":0,\"choices\":[{\"text\":\"x\"}]}",
         true, 4294967295, false},
        {"{\"offset\":4294967296,\"tokens\":1,\"choices\":[{\"text\":\"x\"}]}",
         false, 0, false},
        {"{\"offset\":-1,\"tokens\":1,\"choices\":[{\"text\":\"x\"}]}", false,
         0, false},
        {"{\"offset\":3,\"tokens\":-1,\"choices\":[{\"text\":\"x\"}]}", false,
         0, false},
        {"{\"offset\":3,\"tokens\":4294967297,\"choices\":[{\"text\":\"x\"}]}",
         false, 0, false},
        {"{\"offset\":3,\"tokens\":4294967293,\"choices\":[{\"text\":\"x\"}]}",
         false, 0, false},
        {"{\"offset\":3,\"tokens\":\"1\",\"choices\":[{\"text\":\"x\"}]}",
         false, 0, false},
        {"{\"offset\":3,\"tokens\":1.5,\"choices\":[{\"text\":\"x\"}]}", false,
         0, false},
        {"{", false, 0, false},
        {"", false, 0, false},
    };
    for (const Case &row : cases) {
        EngChunk chunk;
        EXPECT_EQ(Eng_ParseChunk(row.data, strlen(row.data), &chunk), row.ok)
            << row.data;
        EXPECT_EQ(chunk.offset, row.offset);
        EXPECT_EQ(chunk.done, row.done);
        Eng_ClearChunk(&chunk);
    }
    EXPECT_EQ(Eng_ParseRefusal("{\"error\":{\"code\":\"full\"}}", 25),
              ENG_REFUSAL_FULL);
    EXPECT_EQ(Eng_ParseRefusal("x", 1), ENG_REFUSAL_OTHER);
}

TEST(Settings, ErrorsNameTheFlag)
{
    struct Case {
        std::vector<const char *> flags;
        SetAction action;
        const char *message;
    };
    const std::vector<const char *> good = {
        "d",           "--vm",      "v",          "--zone",
        "z",           "--region",  "r",          "--config-service",
        "127.0.0.1:1", "--vm-list", "127.0.0.1:1"};
    const Case cases[] = {
        {{}, SET_ACTION_RUN, ""},
        {{"--help"}, SET_ACTION_HELP, ""},
        {{"--version"}, SET_ACTION_VERSION, ""},
        {{"--check-settings"}, SET_ACTION_CHECK, ""},
        {{"--port", "70000"},
         SET_ACTION_ERROR,
         "--port (LAVENDERSPOOL_PORT): needs a whole number"},
        {{"--port", "8o"}, SET_ACTION_ERROR, "--port"},
        {{"--log-level", "loud"}, SET_ACTION_ERROR, "--log-level"},
        {{"--vm", ""}, SET_ACTION_ERROR, "unknown or repeated flag"},
        {{"--none", "1"}, SET_ACTION_ERROR, "unknown"},
    };
    for (const Case &row : cases) {
        std::vector<const char *> args = good;
        args.insert(args.end(), row.flags.begin(), row.flags.end());
        SetSettings settings;
        LsError err = {};
        EXPECT_EQ(Set_Load(static_cast<int>(args.size()),
                           const_cast<char **>(args.data()), &settings, &err),
                  row.action)
            << err.message;
        EXPECT_EQ(std::string(err.message).find(row.message), 0u)
            << err.message;
    }
    const std::pair<const char *, LogLevel> levels[] = {
        {"error", LOG_LEVEL_ERROR},
        {"warning", LOG_LEVEL_WARNING},
        {"info", LOG_LEVEL_INFO},
        {"debug", LOG_LEVEL_DEBUG},
    };
    for (const auto &row : levels) {
        std::vector<const char *> args = good;
        args.insert(args.end(), {"--log-level", row.first});
        SetSettings settings;
        LsError err = {};
        EXPECT_EQ(Set_Load(static_cast<int>(args.size()),
                           const_cast<char **>(args.data()), &settings, &err),
                  SET_ACTION_RUN);
        EXPECT_EQ(settings.log_level, row.second) << row.first;
    }
    SetSettings settings;
    LsError err;
    char name[] = "d";
    char *none[] = {name, nullptr};
    EXPECT_EQ(Set_Load(1, none, &settings, &err), SET_ACTION_ERROR);
    EXPECT_EQ(std::string(err.message),
              "--vm (LAVENDERSPOOL_VM): must be given");
}

// An event of 600 s ago is outside the window of 300 s, but inside the longer
// ones.
TEST(Slo, WindowsSlide)
{
    RigOptions options = Rig_DefaultOptions();
    Rig *rig = Rig_New(&options);
    Board *board = Rig_GetBoard(rig, 0);
    for (int i = 0; i < 10; i++) {
        Slo_Count(board, "c", SLO_FIRST_TOKEN, i != 0);
    }
    Clk_Pause(&board->clk, Rig_Now(rig) + 600 * CLK_US_PER_S);
    Slo_Count(board, "c", SLO_FIRST_TOKEN, true);
    json_t *all = Slo_Describe(board);
    char *text =
        json_dumps(json_object_get(json_object_get(all, "c"), "first_token"),
                   JSON_COMPACT | JSON_SORT_KEYS);
    EXPECT_STREQ(text, "{\"21600\":[11,1],\"300\":[1,0],\"3600\":[11,1]}");
    free(text);
    json_decref(all);
    Rig_Free(rig);
}

} // namespace
