/* Tests of odd entries that another writer leaves among those of the workers,
   and of odd configurations. An odd entry names no worker; the others hold,
   and the list is followed on. */
#include "store_rig.h"

#include <algorithm>
#include <jansson.h>

namespace {

const std::string whole = WorkerEntry("ready");

/* The entry of a worker with a part of its text replaced. */
std::string
With(const std::string &part, const std::string &by)
{
    std::string text = whole;
    size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), by);
}

std::string
WithSlots(const std::string &value)
{
    return With("\"slots\":4", "\"slots\":" + value);
}

std::string
WithAddress(const std::string &value)
{
    return With("\"127.0.0.1:9\"", value);
}

std::string
WithBorn(const std::string &value)
{
    return With("\"slots\"", "\"born\":" + value + ",\"slots\"");
}

/* `key` and `value` as JSON texts. */
std::string
RawItem(const std::string &key, const std::string &value, int revision)
{
    return "{\"key\":" + key + ",\"value\":" + value +
           ",\"revision\":" + std::to_string(revision) +
           ",\"created\":1,\"lease\":0}";
}

std::string
Base64(const std::string &value)
{
    gchar *text = g_base64_encode((const guchar *)value.data(), value.size());
    std::string quoted = std::string("\"") + text + "\"";
    g_free(text);
    return quoted;
}

std::string
Deleted(const std::string &key, int revision)
{
    return "{\"key\":" + key + ",\"revision\":" + std::to_string(revision) +
           ",\"deleted\":true}";
}

struct OddCase {
    std::string name;
    std::string key;   /* As JSON text. */
    std::string value; /* As JSON text. */
};

std::vector<OddCase>
MakeOddCases()
{
    const std::string deep_200 = std::string(200000, '[');
    const std::string deep_2 = std::string(2000, '[') + std::string(2000, ']');
    const std::string deep_field =
        With("\"slots\"", "\"more\":" + std::string(3000, '[') +
                              std::string(3000, ']') + ",\"slots\"");
    const std::vector<std::pair<std::string, std::string>> values = {
        {"nothing", ""},
        {"bytes that can't be read", std::string("\xff\xfe\0\x01", 4)},
        {"text behind", whole + "x"},
        {"half of it", whole.substr(0, whole.size() / 2)},
        {"a list", "[1]"},
        {"nested deeply, without an end", deep_200},
        {"nested deeply", deep_2},
        {"nested deeply in a field", deep_field},
        {"nested objects", std::string(5000, '{')},
        {"slots 2^32", WithSlots("4294967296")},
        {"slots 2^32 + 4", WithSlots("4294967300")},
        {"slots 2^63 - 1", WithSlots("9223372036854775807")},
        {"slots 2^63", WithSlots("9223372036854775808")},
        {"slots of 40 digits", WithSlots(std::string(40, '9'))},
        {"slots 1e400", WithSlots("1e400")},
        {"slots 1e9", WithSlots("1e9")},
        {"slots -1", WithSlots("-1")},
        {"slots 0", WithSlots("0")},
        {"slots 1.5", WithSlots("1.5")},
        {"slots as text", WithSlots("\"4\"")},
        {"slots true", WithSlots("true")},
        {"born -1", WithBorn("-1")},
        {"born 1.5", WithBorn("1.5")},
        {"born too large", WithBorn("99999999999999999999")},
        {"born as text", WithBorn("\"1\"")},
        {"port 70000", WithAddress("\"127.0.0.1:70000\"")},
        {"port 65536", WithAddress("\"127.0.0.1:65536\"")},
        {"port 0", WithAddress("\"127.0.0.1:0\"")},
        {"port -1", WithAddress("\"127.0.0.1:-1\"")},
        {"port 2^64 + 80", WithAddress("\"127.0.0.1:18446744073709551696\"")},
        {"port +80", WithAddress("\"127.0.0.1:+80\"")},
        {"port 80xyz", WithAddress("\"127.0.0.1:80xyz\"")},
        {"port +80xyz", WithAddress("\"127.0.0.1:+80xyz\"")},
        {"port after a blank", WithAddress("\"127.0.0.1: 80\"")},
        {"blank after the port", WithAddress("\"127.0.0.1:80 \"")},
        {"port in octal digits", WithAddress("\"127.0.0.1:0x50\"")},
        {"no port", WithAddress("\"127.0.0.1:\"")},
        {"no colon", WithAddress("\"127.0.0.1\"")},
        {"two ports", WithAddress("\"127.0.0.1:80:90\"")},
        {"port as a number", WithAddress("80")},
        {"IP 999.1.1.1", WithAddress("\"999.1.1.1:80\"")},
        {"IP of three octets", WithAddress("\"127.0.1:80\"")},
        {"IP of five octets", WithAddress("\"127.0.0.1.1:80\"")},
        {"IP with an empty octet", WithAddress("\"127..0.1:80\"")},
        {"IP 0.0.0.0", WithAddress("\"0.0.0.0:80\"")},
        {"IP of a group", WithAddress("\"224.0.0.1:80\"")},
        {"IPv6", WithAddress("\"[::1]:80\"")},
        {"a name", WithAddress("\"localhost:80\"")},
        {"line break in the address",
         WithAddress("\"127.0.0.1\\r\\nX-A: 1:80\"")},
        {"no IP", WithAddress("\":80\"")},
        {"address too long",
         WithAddress("\"" + std::string(100, '1') + ":80\"")},
        {"state unknown", With("\"ready\"", "\"gone\"")},
        {"state 1", With("\"ready\"", "1")},
        {"no service", With("\"service\"", "\"other\"")},
        {"service null", With("\"svc\"", "null")},
        {"service too long", With("svc", std::string(5000, 's'))},
        {"zone a list", With("\"zone-a\"", "[]")},
    };
    std::vector<OddCase> cases;
    for (const auto &row : values) {
        cases.push_back({row.first, "\"servers/x\"", Base64(row.second)});
    }
    for (const char *value : {"null", "7", "{}", "\"***\"", "\"\""}) {
        cases.push_back(
            {std::string("value ") + value, "\"servers/x\"", value});
    }
    for (const char *key : {"\"servers/\"", "\"servers/x\\r\\nX-A: 1\"",
                            "\"servers/x y\"", "\"servers/x\\u0000y\"",
                            "\"servers/\\u0000\"", "\"servers/\\u00fc\"",
                            "\"servers/\\ud800\"", "\"servers/\xff\xfe\""}) {
        cases.push_back({std::string("key ") + key, key, Base64(whole)});
    }
    cases.push_back({"key of 190 characters",
                     "\"servers/" + std::string(182, 'k') + "\"",
                     Base64(whole)});
    return cases;
}

const std::vector<OddCase> odd_cases = MakeOddCases();

class StoreOddTest : public StoreTest {
  protected:
    /* Returns the names of the workers that new work may go to. */
    std::string
    ListUsable()
    {
        const Fleet *fleet = Edge_GetFleet(rig.edge);
        std::vector<std::string> names;
        std::string text;
        for (guint i = 0; i < fleet->rows->len; i++) {
            FleetWorker *worker = (FleetWorker *)fleet->rows->pdata[i];
            if (Fleet_IsUsable(worker, Clk_Now(&rig.clk))) {
                names.push_back(worker->entry.id);
            }
        }
        std::sort(names.begin(), names.end());
        for (const std::string &name : names) {
            text += (text.empty() ? "" : " ") + name;
        }
        return text;
    }

    bool
    UntilUsable(const std::string &names)
    {
        int64_t end_us = Clk_Now(&rig.clk) + CLK_US_PER_S;
        rig.Until([&] {
            return ListUsable() == names || Clk_Now(&rig.clk) > end_us;
        });
        return ListUsable() == names;
    }

    void
    End()
    {
        Pf_FreeStore(client);
        client = nullptr;
        store.reset();
    }
};

/* One VM a row, so that each begins without any workers. */
class StoreOddCaseTest : public StoreOddTest,
                         public testing::WithParamInterface<size_t> {};

TEST_P(StoreOddCaseTest, OddEntryAmongTheChanges)
{
    const OddCase &row = odd_cases[GetParam()];
    SCOPED_TRACE(row.name);
    uint64_t told = Met_Get(MET_ENTRIES_UNREADABLE);
    bool is_plain = row.key == "\"servers/x\"";

    Begin({Range(Item("servers/a", whole, 4), 4),
           Events(RawItem(row.key, row.value, 5) + "," +
                      Item("servers/b", whole, 6),
                  6)});
    EXPECT_TRUE(UntilUsable("a b")) << ListUsable();
    EXPECT_EQ(Met_Get(MET_ENTRIES_UNREADABLE) - told, 1u);
    /* Its deletion, and a good entry under the same key. */
    End();
    Begin({Range(Item("servers/a", whole, 4) + "," +
                     RawItem(row.key, row.value, 5) + "," +
                     Item("servers/b", whole, 6),
                 6),
           Events(Deleted(row.key, 7) + "," + Item("servers/c", whole, 8) +
                      "," + RawItem("\"servers/x\"", Base64(whole), 9),
                  9)});
    EXPECT_TRUE(UntilUsable("a b c x")) << ListUsable();
    EXPECT_LE(Met_Get(MET_ENTRIES_UNREADABLE) - told, is_plain ? 1u : 2u);
}

TEST_P(StoreOddCaseTest, OddEntryInPlaceOfAGoodOne)
{
    const OddCase &row = odd_cases[GetParam()];
    SCOPED_TRACE(row.name);
    if (row.key != "\"servers/x\"") {
        return;
    }
    Begin(
        {Range(Item("servers/a", whole, 4) + "," + Item("servers/x", whole, 4),
               4),
         Events(RawItem(row.key, row.value, 5), 5), ""});
    ASSERT_TRUE(rig.Until([&] { return store->targets.size() == 3; }));
    EXPECT_EQ(ListUsable(), "a");
    End();
    Begin({Range(
        Item("servers/a", whole, 4) + "," + Item("servers/x", whole, 6), 6)});
    EXPECT_TRUE(UntilUsable("a x")) << ListUsable();
}

TEST_P(StoreOddCaseTest, OddEntryInAnotherVmsSnapshot)
{
    const OddCase &row = odd_cases[GetParam()];
    SCOPED_TRACE(row.name);
    GateRig other;
    std::string text;
    json_t *value = json_loads(row.value.c_str(), JSON_DECODE_ANY, nullptr);
    json_t *key =
        json_loads(row.key.c_str(), JSON_DECODE_ANY | JSON_ALLOW_NUL, nullptr);
    if (json_is_string(value) && json_is_string(key)) {
        gsize size;
        guchar *bytes = g_base64_decode(json_string_value(value), &size);
        text.assign((const char *)bytes, size);
        g_free(bytes);
        Feed *from = Edge_GetFeed(other.edge);
        Feed_BeginSweep(from, 0);
        Feed_SetEntry(from, "a", whole.data(), whole.size(), {0, 4});
        Feed_SetEntry(from, json_string_value(key) + strlen("servers/"),
                      text.data(), text.size(), {0, 5});
        Feed_EndSweep(from);
        GByteArray *data = Snapshot_Pack(Feed_GetSnapshot(from), {});
        Feed *to = Edge_GetFeed(rig.edge);
        bool is_good = text == whole && row.key.find("u0000y") < 99;
        EXPECT_TRUE(Feed_ApplySnapshot(to, data->data, data->len));
        EXPECT_EQ(ListUsable(), is_good ? "a x" : "a");
        g_byte_array_free(data, TRUE);
        Feed_SetEntry(from, "b", whole.data(), whole.size(), {0, 6});
        data = Snapshot_Pack(Feed_GetSnapshot(from), {0, 5});
        EXPECT_TRUE(Feed_ApplySnapshot(to, data->data, data->len));
        EXPECT_EQ(ListUsable(), is_good ? "a b x" : "a b");
        g_byte_array_free(data, TRUE);
    }
    json_decref(value);
    json_decref(key);
}

INSTANTIATE_TEST_SUITE_P(Drill, StoreOddCaseTest,
                         testing::Range((size_t)0, odd_cases.size()));

/* A VM that starts reads all of them at once, over two pages. */
TEST_F(StoreOddTest, AllOddEntriesInTheFirstList)
{
    std::string pages[2];
    int revision = 10;
    for (size_t i = 0; i < odd_cases.size(); i++) {
        std::string key = odd_cases[i].key;
        if (key != "\"servers/\"") {
            key.insert(key.find("servers/") + 8, std::to_string(i) + "-");
        }
        pages[i % 2] += "," + RawItem(key, odd_cases[i].value, revision++);
    }
    Begin({Range(Item("servers/a", whole, 4) + pages[0] + "," +
                     Item("servers/m", whole, 4),
                 200, true),
           Range(Item("servers/n", whole, 4) + pages[1] + "," +
                     Item("servers/z", whole, 5),
                 200),
           Events(Item("servers/b", whole, 201), 201)});
    EXPECT_TRUE(UntilUsable("a b m n z")) << ListUsable();
    ASSERT_GE(store->targets.size(), 2u);
    EXPECT_NE(store->targets[1].find("after=servers/m"), std::string::npos);
}

struct OddConfigCase {
    const char *name;
    std::string from; /* A part of the good configuration, */
    std::string to;   /* and what stands in its place. */
};

const std::string config =
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":"
    "\"/r/\",\"kind\":\"idempotent\",\"timeout-ms\":14000,\"latency-slo-ms\":"
    "900,\"backends\":[{\"service\":\"svc\",\"weight\":90}],\"attempts\":2,"
    "\"can-resume\":false,\"gap-target-ms\":300.0}],\"services\":[{\"name\":"
    "\"svc\",\"engine\":{\"kv-tokens\":59729,\"stride\":11,"
    "\"handle-ttl-s\":0.5,\"hold-ms\":2000.0}}],\"limits\":{\"header-bytes\":"
    "16384,\"body-bytes\":4194304,\"header-ms\":3000,\"idle-ms\":15000}}";

const OddConfigCase odd_configs[] = {
    {"nothing", config, ""},
    {"bytes that can't be read", config, "\xff\xfe"},
    {"nested deeply", config, std::string(200000, '[')},
    {"nested deeply in a field", "\"attempts\":2",
     "\"attempts\":2,\"more\":" + std::string(3000, '[') +
         std::string(3000, ']')},
    {"half of it", config, config.substr(0, config.size() / 2)},
    {"version -1", "\"version\":7", "\"version\":-1"},
    {"version 0", "\"version\":7", "\"version\":0"},
    {"version 2^63", "\"version\":7", "\"version\":9223372036854775808"},
    {"version 8.5", "\"version\":7", "\"version\":8.5"},
    {"version as text", "\"version\":7", "\"version\":\"8\""},
    {"time-out 2^32", "14000", "4294967296"},
    {"time-out 1e300", "14000", "1e300"},
    {"time-out -1", "14000", "-1"},
    {"time-out as text", "14000", "\"14000\""},
    {"objective nested", "900,", "[900],"},
    {"attempts -1", "\"attempts\":2", "\"attempts\":-1"},
    {"weight 2^32", "90}", "4294967296}"},
    {"weight -1", "90}", "-1}"},
    {"weight as text", "90}", "\"90\"}"},
    {"service unknown", "\"service\":\"svc\"", "\"service\":\"other\""},
    {"kind unknown", "\"idempotent\"", "\"often\""},
    {"memory 2^40", "59729", "1099511627776"},
    {"handles' time 1e300", "0.5", "1e300"},
    {"handles' time -1", "0.5", "-1"},
    {"header bytes 2^40", "16384", "1099511627776"},
    {"body bytes as text", "4194304", "\"much\""},
    {"routes an object", "\"routes\":[", "\"routes\":{},\"other\":["},
    {"services a text", "\"services\":[", "\"services\":\"\",\"other\":["},
    {"a route a number", "\"routes\":[", "\"routes\":[7,"},
    {"a service a list", "\"services\":[", "\"services\":[[],"},
};

/* The last good configuration stays, and a later good one comes into force. */
TEST_F(StoreOddTest, OddConfigurationIsRefused)
{
    for (const OddConfigCase &row : odd_configs) {
        SCOPED_TRACE(row.name);
        GateRig vm;
        Feed *feed = Edge_GetFeed(vm.edge);
        Gate *gate = Edge_GetGate(vm.edge);
        std::string odd = config;
        std::string later = config;
        uint64_t refused = Met_Get(MET_CONFIG_REFUSED);
        Feed_ApplyConfig(feed, config.data(), config.size());
        ASSERT_NE(Gate_GetTable(gate), nullptr);
        const RteRoute *route =
            Rte_FindRoute(Gate_GetTable(gate), "h", "/r/x");
        ASSERT_NE(route, nullptr);
        EXPECT_EQ(route->timeout_ms, 14000u);
        EXPECT_EQ(route->gap_ms, 300u);
        EXPECT_EQ(Rte_FindService(Gate_GetTable(gate), "svc")->handle_ttl_ms,
                  500u);
        ASSERT_NE(odd.find(row.from), std::string::npos);
        odd.replace(odd.find(row.from), row.from.size(), row.to);
        if (row.from != config && row.from != "\"version\":7") {
            odd.replace(odd.find("\"version\":7"), 11, "\"version\":8");
        }
        Feed_ApplyConfig(feed, odd.data(), odd.size());
        EXPECT_EQ(Gate_GetTable(gate)->version, 7u);
        EXPECT_EQ(Met_Get(MET_CONFIG_REFUSED) - refused, 1u);
        later.replace(later.find("\"version\":7"), 11, "\"version\":9");
        Feed_ApplyConfig(feed, later.data(), later.size());
        EXPECT_EQ(Gate_GetTable(gate)->version, 9u);
    }
}

/* A field that is not there, or null, has its default. */
TEST_F(StoreOddTest, ConfigurationWithFewFieldsIsAccepted)
{
    const std::string few =
        "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"prefix\":\"/\",\"kind\":\"stream\",\"service\":\"svc\","
        "\"timeout-ms\":null}],\"services\":[{\"name\":\"svc\"}]}";
    Feed_ApplyConfig(Edge_GetFeed(rig.edge), few.data(), few.size());
    const RteTable *table = Gate_GetTable(Edge_GetGate(rig.edge));
    ASSERT_NE(table, nullptr);
    EXPECT_EQ(Rte_FindRoute(table, "h", "/x")->timeout_ms, 15000u);
}

} // namespace
