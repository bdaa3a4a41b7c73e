/* Tests of keys: which requests are rejected, what the worker sees, and that
   the key is found nowhere else. */
#include "revocation_rig.h"

#include <fcntl.h>
#include <sys/wait.h>

extern "C" {
#include "gate/access.h"
#include "log.h"
}

namespace {

const std::vector<std::pair<std::string, std::string>> accounts = {
    {"acme", "key-1"}, {"other", "key-2"}};

struct AccessCase {
    const char *name;
    bool has_accounts;
    const char *path;
    std::string fields;
    int status;
    std::string code;    /* Of the error, or "". */
    std::string account; /* That the worker sees; "" for none. */
    std::string key;     /* Authorization that the worker sees. */
};

const AccessCase access_cases[] = {
    {"a key", true, "/r/x", "Authorization: Token key-1\r\n", 200, "", "acme",
     ""},
    {"names in other letters", true, "/r/x", "AUTHORIZATION: token key-1\r\n",
     200, "", "acme", ""},
    {"a name of the caller", true, "/r/x",
     "X-Tenant: other\r\nAuthorization: Token key-1\r\nx-tenant: root\r\n",
     200, "", "acme", ""},
    {"a name that belongs to the connection", true, "/r/x",
     "Connection: X-Tenant\r\nX-Tenant: other\r\n"
     "Authorization: Token key-1\r\n",
     200, "", "acme", ""},
    {"no key", true, "/r/x", "", 401, "no_key", "", ""},
    {"a name without a key", true, "/r/x", "X-Tenant: acme\r\n", 401, "no_key",
     "", ""},
    {"a mark of another VM", true, "/r/x",
     "Lavenderspool-Relayed: 1\r\nX-Tenant: acme\r\n", 401, "no_key", "", ""},
    {"another scheme", true, "/r/x", "Authorization: Bearer key-1\r\n", 401,
     "no_key", "", ""},
    {"no scheme", true, "/r/x", "Authorization: key-1\r\n", 401, "no_key", "",
     ""},
    {"an empty key", true, "/r/x", "Authorization: Token \r\n", 401, "no_key",
     "", ""},
    {"an empty field", true, "/r/x", "Authorization:\r\n", 401, "no_key", "",
     ""},
    {"a long key", true, "/r/x",
     "Authorization: Token " + std::string(300, 'k') + "\r\n", 401, "no_key",
     "", ""},
    {"a tab in the key", true, "/r/x", "Authorization: Token key\t-1\r\n", 401,
     "no_key", "", ""},
    {"another byte in the key", true, "/r/x",
     "Authorization: Token key-1\x80\r\n", 401, "no_key", "", ""},
    {"two keys in a field", true, "/r/x",
     "Authorization: Token key-1, Token key-2\r\n", 401, "no_key", "", ""},
    {"two fields", true, "/r/x",
     "Authorization: Token key-1\r\nAuthorization: Token key-1\r\n", 401,
     "no_key", "", ""},
    {"an unknown key", true, "/r/x", "Authorization: Token key-3\r\n", 401,
     "unknown_customer", "", ""},
    {"the beginning of a key", true, "/r/x", "Authorization: Token key-\r\n",
     401, "unknown_customer", "", ""},
    {"a public route", true, "/p/x", "X-Tenant: acme\r\n", 200, "", "", ""},
    {"a public route, a key", true, "/p/x",
     "Authorization: Token key-1\r\nX-Tenant: acme\r\n", 200, "", "", ""},
    {"a public route, a bad key", true, "/p/x", "Authorization: x\r\n", 200,
     "", "", ""},
    {"no route", true, "/none/x", "", 404, "unknown_route", "", ""},
    {"no accounts", false, "/r/x",
     "Authorization: Basic abc\r\nX-Tenant: root\r\n", 200, "", "root",
     "Basic abc"},
};

/* Returns the value of the only field of this name; "(several)". */
std::string
Field(const std::string &request, const std::string &name)
{
    std::string found;
    gchar *lower = g_ascii_strdown(request.c_str(), -1);
    std::string text = lower;
    g_free(lower);
    size_t at = 0;
    while ((at = text.find("\r\n" + name + ": ", at)) != std::string::npos) {
        if (!found.empty()) {
            return "(several)";
        }
        at += name.size() + 4;
        found = request.substr(at, request.find("\r\n", at) - at);
    }
    return found;
}

TEST(Access, RejectsWithoutAKeyAndSendsTheAccountsName)
{
    for (const AccessCase &row : access_cases) {
        SCOPED_TRACE(row.name);
        RevocationRig rig(0);
        rig.store->SetConfig(AccountsConfig(1, accounts, row.has_accounts));
        rig.AddVm("zone-a", false);
        rig.RunFor(600);
        size_t before = rig.worker->requests.size();
        EXPECT_EQ(rig.CallFields(0, row.path, row.fields), row.status);
        EXPECT_EQ(rig.worker->requests.size() - before, row.status == 200);
        EXPECT_EQ(rig.last.find("WWW-Authenticate: Token") !=
                      std::string::npos,
                  row.status == 401);
        EXPECT_EQ(rig.last.find("key-"), std::string::npos);
        if (row.status == 200) {
            const std::string &request = rig.worker->requests.back();
            EXPECT_EQ(Field(request, "x-tenant"), row.account);
            EXPECT_EQ(Field(request, "authorization"), row.key);
            continue;
        }
        EXPECT_NE(rig.last.find("\"code\":\"" + row.code + "\""),
                  std::string::npos);
        EXPECT_NE(rig.last.find("\"run\":\"not_run\""), std::string::npos);
    }
}

/* Heads that the server rejects itself reach no worker, whatever the key. */
TEST(Access, HeadsThatCantBeReadAreRejected)
{
    for (const std::string &key :
         {std::string(65536, 'k'), std::string("key-1\x01"),
          std::string("key-1\0x", 7)}) {
        RevocationRig rig(0);
        rig.store->SetConfig(AccountsConfig(1, accounts));
        rig.AddVm("zone-a", false);
        rig.RunFor(600);
        int status = rig.Call(0, key);
        EXPECT_TRUE(status == 400 || status == 401 || status == 431) << status;
        EXPECT_EQ(rig.worker->requests.size(), 0u);
    }
}

/* A key that was moved or removed counts as the configuration in force says.
 */
TEST(Access, FollowsTheConfiguration)
{
    RevocationRig rig(0);
    rig.store->SetConfig(AccountsConfig(1, accounts));
    rig.AddVm("zone-a", false);
    rig.RunFor(600);
    EXPECT_EQ(rig.Call(0, "key-1"), 200);
    rig.store->SetConfig(AccountsConfig(2, {{"new", "key-1"}}));
    rig.RunFor(600);
    EXPECT_EQ(rig.Call(0, "key-1"), 200);
    EXPECT_EQ(Field(rig.worker->requests.back(), "x-tenant"), "new");
    EXPECT_EQ(rig.Call(0, "key-2"), 401);
    rig.store->SetConfig(AccountsConfig(3, {}));
    rig.RunFor(600);
    EXPECT_EQ(rig.Call(0, "key-1"), 401);
}

/* A VM that gets the configuration from another one gets digests of the keys,
   and accepts the same keys. */
TEST(Access, KeysWorkAtAVmThatReadsNoStore)
{
    RevocationRig rig(5000);
    rig.store->SetConfig(AccountsConfig(1, accounts));
    rig.AddVm();
    rig.RunFor(1500);
    rig.AddVm("zone-a", true, SimStore::REJECTS);
    rig.AddVm("zone-a", true, SimStore::REJECTS);
    rig.RunFor(4000);
    for (size_t vm = 0; vm < 3; vm++) {
        EXPECT_EQ(rig.Call(vm, "key-1"), 200) << vm;
        EXPECT_EQ(Field(rig.worker->requests.back(), "x-tenant"), "acme");
        EXPECT_EQ(rig.Call(vm, "key-3"), 401) << vm;
    }
}

/* Prefill, run, and the run that goes on after a break carry the name. */
TEST(Access, EachCallOfAStreamCarriesTheName)
{
    GateRig rig;
    Route route = {RTE_STREAM, 3, true, 5000, 900};
    RteTable *table = MakeTable(route, true, 2000, 1);
    Account account = {};
    account.name = (char *)"acme";
    account.priority = ACC_PRIORITY_NONE;
    table->accounts = Acc_NewTable();
    ASSERT_TRUE(Acc_AddAccount(table->accounts, &account));
    ASSERT_TRUE(Acc_AddKey(table->accounts, "key-1", "acme"));
    ASSERT_TRUE(Gate_SetTable(Edge_GetGate(rig.edge), table));
    rig.AddWorker({PrefillReply(), PrefillReply()}, FLEET_PHASE_PREFILL);
    auto script = std::make_shared<std::deque<ScriptedReply>>();
    script->push_back(Stream(0, 3, ScriptedReply::RESET));
    script->push_back(Stream(4, 9));
    rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
    rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
    Caller *caller = rig.Call(
        Request("POST", "X-Token-Usage: 1000,100\r\nX-Tenant: root\r\n"
                        "Authorization: Token key-1\r\n"));
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
    size_t count = 0;
    for (const auto &worker : rig.workers) {
        for (const std::string &request : worker->requests) {
            EXPECT_EQ(Field(request, "x-tenant"), "acme") << request;
            EXPECT_EQ(Field(request, "authorization"), "") << request;
            count++;
        }
    }
    EXPECT_GE(count, 3u);
}

/* A request that another VM passes on carries the name, which that VM has
   checked. The worker gets it even if this VM does not know the account. */
TEST(Access, NameOfARequestThatIsPassedOnIsTrusted)
{
    RevocationRig rig(5000);
    rig.store->SetConfig(AccountsConfig(1, accounts));
    rig.AddVm();
    rig.RunFor(600);
    for (const char *name : {"acme", "unknown"}) {
        Caller *caller =
            rig.Begin(rig.vms[0]->peer_port, "/r/x",
                      std::string("Lavenderspool-Relayed: 1\r\nX-Tenant: ") +
                          name + "\r\n",
                      std::string("id-") + name);
        rig.RunFor(50);
        ASSERT_EQ(caller->Status(), 200);
        EXPECT_EQ(Field(rig.worker->requests.back(), "x-tenant"), name);
    }
}

/* A VM that can't reach the worker sends the request on with the account's
   name and without the key. The other VM has no accounts, so that it forwards
   both fields as they come. */
TEST(Access, PassesRequestsOnWithoutTheKey)
{
    RevocationRig rig(0);
    LsError err = {};
    FleetEntry entry = {};
    std::string address = "127.0.0.1:" + std::to_string(FreePort());
    std::string config = AccountsConfig(9, {}, false);
    std::string text = "{\"service\":\"svc\",\"addr\":\"" + address +
                       "\",\"zone\":\"zone-a\",\"version\":\"v1\","
                       "\"slots\":8,\"state\":\"ready\"}";
    rig.store->SetConfig(AccountsConfig(1, accounts));
    rig.AddVm();
    rig.AddVm();
    rig.RunFor(1500);
    ASSERT_EQ(Pf_GetDecoder()->decode_entry(nullptr, "w-1", text.data(),
                                            text.size(), {1, 99}, &entry,
                                            &err),
              LS_OK);
    Fleet_SetEntry(Edge_GetFleet(rig.vms[0]->edge), &entry, Clk_Now(&rig.clk));
    Gate_SetTable(Edge_GetGate(rig.vms[1]->edge),
                  Pf_GetDecoder()->decode_config(nullptr, config.data(),
                                                 config.size(), &err));
    uint64_t detours = Met_Get(MET_DETOURS);
    for (int i = 0; i < 30 && Met_Get(MET_DETOURS) == detours; i++) {
        rig.Call(0, "key-1");
        rig.RunFor(200);
    }
    size_t before = rig.worker->requests.size();
    EXPECT_EQ(rig.Call(0, "key-1"), 200);
    ASSERT_GT(rig.worker->requests.size(), before);
    EXPECT_EQ(Field(rig.worker->requests.back(), "x-tenant"), "acme");
    EXPECT_EQ(Field(rig.worker->requests.back(), "authorization"), "");
}

/* Reads all that comes at the descriptor. */
std::string
ReadAll(int fd)
{
    std::string text;
    char data[65536];
    ssize_t size;
    while ((size = read(fd, data, sizeof(data))) > 0) {
        text.append(data, (size_t)size);
    }
    return text;
}

/* Log lines, metrics, answers, and what the VMs send to each other and to the
   worker hold no key. */
TEST(Access, KeyIsFoundNowhere)
{
    int log[2];
    ASSERT_EQ(pipe2(log, O_NONBLOCK), 0);
    fcntl(log[1], F_SETPIPE_SZ, 1 << 20);
    int output = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(log[1], STDOUT_FILENO);
    pid_t pid = fork();
    if (pid == 0) {
        std::string seen;
        Log_Begin("vm-1", LOG_LEVEL_DEBUG);
        RevocationRig rig(5000);
        rig.store->SetConfig(AccountsConfig(1, accounts));
        rig.AddVm();
        rig.AddVm();
        rig.RunFor(1500);
        for (const char *fields :
             {"Authorization: Token key-1\r\n", "Authorization: key-1\r\n",
              "Authorization: Token key-3\r\n",
              "Authorization: Token key-1\r\nAuthorization: key-2\r\n"}) {
            rig.CallFields(0, "/r/x", fields);
            seen += rig.last;
            rig.CallFields(0, "/p/x", fields);
            seen += rig.last;
        }
        /* A configuration that can't be read. */
        rig.store->SetConfig(
            "{\"version\":2,\"tenants\":[{\"name\" \"key-1\"");
        rig.RunFor(1500);
        rig.store->SetPath(0, SimStore::REJECTS);
        rig.store->SetPath(1, SimStore::REJECTS);
        rig.RunFor(5000);
        rig.Call(0, "key-1");
        seen += rig.last;
        for (const std::string &request : rig.worker->requests) {
            seen += request;
        }
        Caller *caller =
            rig.Begin(rig.vms[0]->metrics_port, "/metrics", "", "id-m");
        rig.RunFor(50);
        seen += caller->text;
        /* The snapshot for other VMs. */
        caller = rig.Begin(rig.vms[0]->peer_port, "/picture", "", "id-p");
        rig.RunFor(50);
        seen += caller->text;
        fflush(stdout);
        seen += caller->text.find("acme") != std::string::npos
                    ? "\nsnapshot read\n"
                    : "";
        for (size_t at = 0; at < seen.size();) {
            ssize_t size = write(STDOUT_FILENO, &seen[at], seen.size() - at);
            if (size <= 0) {
                _exit(1);
            }
            at += (size_t)size;
        }
        _exit(testing::Test::HasFailure());
    }
    int status = -1;
    waitpid(pid, &status, 0);
    dup2(output, STDOUT_FILENO);
    close(output);
    close(log[1]);
    std::string text = ReadAll(log[0]);
    close(log[0]);
    EXPECT_EQ(status, 0);
    for (const char *key : {"key-1", "key-2", "key-3"}) {
        size_t at = text.find(key);
        EXPECT_EQ(at, std::string::npos)
            << text.substr(at > 300 ? at - 300 : 0, 400);
    }
    for (const char *present :
         {"request_refused", "key_unproven", "key_lease_begun",
          "key_lease_ended", "\"account\":\"acme\"", "no_lease",
          "lavenderspool_key_lease 0", "key_proof_age_seconds",
          "account_requests_total{account=\"acme\"} 1", "config_refused",
          "keys_missing_total", "keys_unreadable_total ",
          "keys_unknown_total ", "keys_unproven_total ", "snapshot read"}) {
        EXPECT_NE(text.find(present), std::string::npos) << present;
    }
}

TEST(Access, PriorityOfTheAccountComesBeforeThatOfTheRoute)
{
    RteRoute route = {};
    Account account = {};
    route.priority = 7;
    account.priority = 1;
    EXPECT_EQ(Access_GetPriority(&route, &account), 1u);
    account.priority = ACC_PRIORITY_NONE;
    EXPECT_EQ(Access_GetPriority(&route, &account), 7u);
    EXPECT_EQ(Access_GetPriority(&route, nullptr), 7u);
}

struct SettingsCase {
    const char *name;
    const char *bounds;
    bool is_valid;
    uint32_t revoke_ms;
    uint32_t config_ms;
};

const SettingsCase settings_cases[] = {
    {"none", "{}", true, 0, 4000},
    {"strict", "{\"strict-revoke\":true,\"revoke-ms\":5000}", true, 5000,
     4000},
    {"no bound", "{\"strict-revoke\":true}", true, 0, 4000},
    {"not strict",
     "{\"strict-revoke\":false,\"revoke-ms\":5000,\"config-ms\":3000}", true,
     0, 3000},
    {"only a bound", "{\"revoke-ms\":5000}", true, 0, 4000},
    {"strict is a text", "{\"strict-revoke\":\"yes\",\"revoke-ms\":5000}",
     false, 0, 0},
    {"the bound is a text", "{\"strict-revoke\":true,\"revoke-ms\":\"5\"}",
     false, 0, 0},
    {"a bound of 0", "{\"strict-revoke\":true,\"revoke-ms\":0}", false, 0, 0},
};

/* A malformed bound counted as none would accept removed keys. */
TEST(Access, MalformedBoundsAreErrors)
{
    for (const SettingsCase &row : settings_cases) {
        SCOPED_TRACE(row.name);
        PfSettings settings;
        LsError err = {};
        char *path = nullptr;
        std::string text =
            "{\"node\":\"vm-1\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
            "\"listen\":{\"front\":\"127.0.0.1:1\",\"ready\":"
            "\"127.0.0.1:2\",\"control\":\"127.0.0.1:3\"},"
            "\"platform\":{\"addr\":\"127.0.0.1:4\"},\"bounds\":" +
            std::string(row.bounds) + "}";
        int fd = g_file_open_tmp("settings-XXXXXX", &path, nullptr);
        ASSERT_GE(fd, 0);
        ASSERT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
        close(fd);
        EXPECT_EQ(Pf_LoadSettings(path, &settings, &err) == LS_OK,
                  row.is_valid)
            << err.message;
        if (row.is_valid) {
            EXPECT_EQ(settings.revoke_ms, row.revoke_ms);
            EXPECT_EQ(settings.config_ms, row.config_ms);
        }
        Pf_UnloadSettings(&settings);
        unlink(path);
        g_free(path);
    }
}

/* Calls of a decoder. */
struct DecoderCalls {
    int decoded = 0;
    int hidden = 0;
};

/* A VM on a small processor held its streams up while it decoded a large
   configuration that it knew, and wrote each one anew with digests. */
TEST(Access, ConfigurationIsDecodedOnceAndRewrittenOnDemand)
{
    const std::string text =
        "{\"version\":2,\"routes\":[],\"services\":[],"
        "\"tenants\":[{\"name\":\"acme\",\"keys\":[\"key-1\"]}]}";
    GateRig rig;
    DecoderCalls calls;
    FeedDecoder decoder = *Pf_GetDecoder();
    FeedOptions options = {};
    decoder.context = &calls;
    decoder.decode_config = [](void *context, const void *from, size_t size,
                               LsError *err) {
        static_cast<DecoderCalls *>(context)->decoded++;
        return Pf_GetDecoder()->decode_config(nullptr, from, size, err);
    };
    decoder.hide_keys = [](void *context, const void *from, size_t size) {
        static_cast<DecoderCalls *>(context)->hidden++;
        return Pf_GetDecoder()->hide_keys(nullptr, from, size);
    };
    options.clk = &rig.clk;
    options.gate = Edge_GetGate(rig.edge);
    options.fleet = Edge_GetFleet(rig.edge);
    options.decoder = &decoder;
    options.on_limits = [](void *, const RteLimits *) {};
    Feed *feed = Feed_New(&options);
    for (int i = 0; i < 3; i++) {
        Feed_ApplyConfig(feed, text.data(), text.size());
    }
    EXPECT_EQ(calls.decoded, 1);
    EXPECT_EQ(calls.hidden, 0);
    for (int i = 0; i < 3; i++) {
        GByteArray *data = Feed_PackSnapshot(feed, {0, 0});
        ASSERT_NE(data, nullptr);
        std::string packed((const char *)data->data, data->len);
        EXPECT_EQ(packed.find("key-1"), std::string::npos);
        EXPECT_NE(packed.find("acme"), std::string::npos);
        g_byte_array_free(data, TRUE);
    }
    EXPECT_EQ(calls.hidden, 1);
    Feed_Free(feed);
}

} // namespace
