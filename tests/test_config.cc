// The configuration reader (Cfg_). The tests pause the clock and answer the
// reader's HTTP calls themselves.
#include "c_api.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "config_reader.h"
}

namespace {

const int64_t kSecond = CLK_US_PER_S;

struct Call {
    uint64_t id;
    std::string path;
};

// The configuration reader of one VM. Its HTTP calls and frames are recorded,
// so that a test can answer them.
struct ConfigReader {
    Board *board;
    Cfg *cfg;
    std::vector<Call> calls;
    std::vector<std::vector<uint8_t>> frames;

    ConfigReader()
    {
        BoardOptions options = Board_DefaultOptions();
        CfgOptions cfg_options = Cfg_DefaultOptions();
        options.io.context = this;
        options.io.send_frame = [](void *context, const char *,
                                   const Wire__Frame *frame) {
            auto *self = static_cast<ConfigReader *>(context);
            std::vector<uint8_t> data(wire__frame__get_packed_size(frame));
            wire__frame__pack(frame, data.data());
            self->frames.push_back(data);
        };
        options.io.begin_call = [](void *context, const BoardCall *call) {
            static_cast<ConfigReader *>(context)->calls.push_back(
                {call->id, call->path});
        };
        options.io.end_call = [](void *, uint64_t) {};
        options.io.answer = [](void *, uint64_t, const BoardAnswer *) {};
        board = Board_New(&options);
        Clk_Pause(&board->clk, 100 * kSecond);
        cfg_options.service_address = "10.0.0.1:1";
        cfg = Cfg_New(&cfg_options);
        Cfg_OnTick(cfg, board);
    }
    ~ConfigReader()
    {
        Cfg_Free(cfg);
        Board_Free(board);
    }
    uint64_t
    Version() const
    {
        return board->config != nullptr ? board->config->version : 0;
    }
    void
    Advance(int64_t by_us)
    {
        Clk_Advance(&board->clk, by_us);
        Cfg_OnTick(cfg, board);
    }
    // Answers the oldest call with the value and ModifyIndex `index`, and
    // returns the call's path. With an empty value the call fails.
    std::string
    Answer(const std::string &value, int index)
    {
        Call call = calls.front();
        calls.erase(calls.begin());
        char *encoded = g_base64_encode(
            reinterpret_cast<const guchar *>(value.data()), value.size());
        std::string body = std::string("[{\"Value\":\"") + encoded +
                           "\",\"ModifyIndex\":" + std::to_string(index) +
                           "}]";
        g_free(encoded);
        BoardCallEvent event = {};
        event.call = call.id;
        event.type = value.empty() ? BOARD_CALL_FAILED : BOARD_CALL_END;
        event.status = 200;
        event.data = body.c_str();
        event.size = body.size();
        Board_HandleCallEvent(board, &event);
        return call.path;
    }
};

const char kPart[] = "{\"models\":[{\"name\":\"m\","
                     "\"kv_bytes_per_token\":1}]}";
const char kBadPart[] = "{\"models\":[{\"name\":7}]}";

std::string
Manifest(int version, const std::string &part)
{
    char *digest = Con_GetDigest(part.data(), part.size());
    std::string text = "{\"version\":" + std::to_string(version) +
                       ",\"parts\":[{\"name\":\"p\",\"sha256\":\"" + digest +
                       "\"}]}";
    g_free(digest);
    return text;
}

TEST(Config, ReadsManifestThenChangedPartsOnly)
{
    ConfigReader vm;
    EXPECT_EQ(vm.Answer(Manifest(1, kPart), 10),
              "/v1/kv/lavenderspool/manifest?index=0&wait=30s");
    EXPECT_EQ(vm.Answer(kPart, 10), "/v1/kv/lavenderspool/parts/p");
    EXPECT_EQ(vm.Version(), 1u);
    vm.Advance(kSecond);
    EXPECT_EQ(vm.Answer(Manifest(2, kPart), 11),
              "/v1/kv/lavenderspool/manifest?index=10&wait=30s");
    EXPECT_EQ(vm.Version(), 2u);
    EXPECT_TRUE(vm.calls.empty()) << "the part has not changed";
}

TEST(Config, VersionsOnlyGrow)
{
    struct Case {
        const char *name;
        int version;
        int index;
        uint64_t active_version;
    };
    // Answers of a service that was restarted, is stale, or returns a lower
    // index.
    const Case cases[] = {{"same", 5, 10, 5},
                          {"older", 4, 11, 5},
                          {"older, lower index", 3, 2, 5},
                          {"newer, lower index", 6, 3, 6},
                          {"newest", 9, 12, 9}};
    ConfigReader vm;
    vm.Answer(Manifest(5, kPart), 10);
    vm.Answer(kPart, 10);
    for (const Case &row : cases) {
        vm.Advance(2 * kSecond);
        ASSERT_EQ(vm.calls.size(), 1u) << row.name;
        vm.Answer(Manifest(row.version, kPart), row.index);
        EXPECT_EQ(vm.Version(), row.active_version) << row.name;
    }
}

// The previous configuration remains active, and a refused version is not read
// again.
TEST(Config, InvalidVersionIsRefusedOnce)
{
    ConfigReader vm;
    vm.Answer(Manifest(1, kPart), 10);
    vm.Answer(kPart, 10);
    vm.Advance(kSecond);
    vm.Answer(Manifest(2, kBadPart), 11);
    vm.Answer(kBadPart, 11);
    EXPECT_EQ(vm.Version(), 1u);
    EXPECT_EQ(std::string(Cfg_GetLastError(vm.cfg)).find("p: models[0].name"),
              0u);
    vm.Advance(2 * kSecond);
    vm.Answer(Manifest(2, kBadPart), 11);
    EXPECT_TRUE(vm.calls.empty())
        << "a refused version must not be read again";
    vm.Advance(2 * kSecond);
    vm.Answer(Manifest(3, kPart), 12);
    EXPECT_EQ(vm.Version(), 3u);
    EXPECT_STREQ(Cfg_GetLastError(vm.cfg), "");
}

// A part that was published after its manifest was read has another digest.
// Both are then read again.
TEST(Config, DigestMismatchIsRetried)
{
    ConfigReader vm;
    vm.Answer(Manifest(1, kPart), 10);
    vm.Answer("{\"models\":[]}", 10);
    EXPECT_EQ(vm.Version(), 0u);
    vm.Advance(2 * kSecond);
    vm.Answer(Manifest(1, kPart), 10);
    vm.Answer(kPart, 10);
    EXPECT_EQ(vm.Version(), 1u);
}

// A read without an answer times out after 40 s, and the service is read
// again.
TEST(Config, UnansweredReadIsRetried)
{
    ConfigReader vm;
    vm.Advance(41 * kSecond);
    EXPECT_EQ(vm.calls.size(), 1u);
    vm.calls.clear();
    vm.Advance(2 * kSecond);
    ASSERT_EQ(vm.calls.size(), 1u);
    EXPECT_EQ(vm.Answer("", 0),
              "/v1/kv/lavenderspool/manifest?index=0&wait=30s");
    vm.Advance(2 * kSecond);
    EXPECT_EQ(vm.calls.size(), 1u);
}

// While the configuration service is down, a VM gets a newer version from the
// peer that announced it.
TEST(Config, PeersRelayNewerVersions)
{
    ConfigReader source;
    ConfigReader vm;
    source.Answer(Manifest(4, kPart), 10);
    source.Answer(kPart, 10);
    Mem_OnHello(vm.board, "peer", 1);
    Wire__Heartbeat heartbeat = WIRE__HEARTBEAT__INIT;
    Wire__Frame frame = WIRE__FRAME__INIT;
    heartbeat.incarnation = 1;
    heartbeat.config_version = 4;
    frame.body_case = WIRE__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &heartbeat;
    vm.frames.clear();
    Mem_OnHeartbeat(vm.board, "peer", &heartbeat);
    Cfg_OnFrame(vm.cfg, vm.board, "peer", &frame);
    ASSERT_EQ(vm.frames.size(), 1u);
    Wire__Frame *request =
        wire__frame__unpack(nullptr, vm.frames[0].size(), vm.frames[0].data());
    ASSERT_EQ(request->body_case, WIRE__FRAME__BODY_CONFIG_REQUEST);
    source.frames.clear();
    Cfg_OnFrame(source.cfg, source.board, "other", request);
    wire__frame__free_unpacked(request, nullptr);
    ASSERT_EQ(source.frames.size(), 1u);
    Wire__Frame *snapshot = wire__frame__unpack(
        nullptr, source.frames[0].size(), source.frames[0].data());
    Cfg_OnFrame(vm.cfg, vm.board, "peer", snapshot);
    EXPECT_EQ(vm.Version(), 4u);
    Cfg_OnFrame(vm.cfg, vm.board, "peer", snapshot);
    EXPECT_EQ(vm.Version(), 4u);
    wire__frame__free_unpacked(snapshot, nullptr);
}

std::string
Upstream(const std::string &field, const std::string &value)
{
    const std::pair<const char *, const char *> fields[] = {
        {"id", "\"e1\""},
        {"serves", "\"m\""},
        {"zone", "\"z\""},
        {"region", "\"r\""},
        {"role", "\"both\""},
        {"address", "\"127.0.0.1:80\""},
        {"slots", "8"},
        {"memory_blocks", "100"},
        {"block_tokens", "16"},
        {"prefill_tokens_per_s", "1000"},
        {"token_interval_us", "20000"},
        {"link_bytes_per_s", "1e9"},
    };
    std::string entry;
    bool is_known = false;
    for (const auto &row : fields) {
        is_known = is_known || field == row.first;
        entry += std::string(entry.empty() ? "{" : ",") + "\"" + row.first +
                 "\":" + (field == row.first ? value : row.second);
    }
    return entry +
           (is_known || field.empty() ? "" : ",\"" + field + "\":" + value) +
           "}";
}

std::string
Nested(int depth)
{
    return std::string((size_t)depth, '[') + std::string((size_t)depth, ']');
}

struct OddCase {
    const char *name;
    std::string entry;
    int number;          // Of the error; 0: the entry is taken.
    const char *message; // Part of it.
};

std::vector<OddCase>
MakeOddCases()
{
    std::string long_name = "\"" + std::string(156, 'x') + "\"";
    std::vector<OddCase> rows = {
        {"sound", Upstream("", ""), 0, ""},
        {"nested 2,000 deep", Nested(2000), 401, "upstreams[0]"},
        {"nested 200,000 deep", Nested(200000), 400, "p: line 1"},
        {"nested in a field, 2,000", Upstream("slots", Nested(2000)), 401,
         "upstreams[0].slots"},
        {"nested in a field, 200,000", Upstream("slots", Nested(200000)), 400,
         "p: line 1"},
        {"nested in an unknown field", Upstream("x", Nested(2000)), 0, ""},
        {"beyond 64 bits", Upstream("slots", "99999999999999999999"), 400,
         "too big integer"},
        {"slots 2^32", Upstream("slots", "4294967296"), 401,
         "upstreams[0].slots"},
        {"slots 2^32 + 8", Upstream("slots", "4294967304"), 401,
         "upstreams[0].slots"},
        {"slots 2^63 - 1", Upstream("slots", "9223372036854775807"), 401,
         "upstreams[0].slots"},
        {"slots 1e400", Upstream("slots", "1e400"), 400, "overflow"},
        {"slots -1", Upstream("slots", "-1"), 401, "upstreams[0].slots"},
        {"slots 0", Upstream("slots", "0"), 401, "upstreams[0].slots"},
        {"link 1e308", Upstream("link_bytes_per_s", "1e308"), 401,
         "upstreams[0].link_bytes_per_s"},
        {"empty entry", "{}", 401, "upstreams[0].id"},
        {"not an object", "7", 401, "upstreams[0]"},
        {"null", "null", 401, "upstreams[0]"},
        {"bytes that can't be read", "\"\xff\xfe\"", 400, "p: line 1"},
        {"a NUL in a name", Upstream("id", "\"a\\u0000b\""), 400, "p: line 1"},
        {"empty name", Upstream("id", "\"\""), 401, "upstreams[0].id"},
        {"long name", Upstream("id", long_name), 401, "upstreams[0].id"},
        {"long service", Upstream("serves", long_name), 401,
         "upstreams[0].serves"},
        {"name with spaces", Upstream("id", "\"a b\""), 401,
         "upstreams[0].id"},
        {"unknown model", Upstream("serves", "\"none\""), 401, "none"},
        {"unknown role", Upstream("role", "\"x\""), 401, "upstreams[0].role"},
        {"unknown state", Upstream("state", "\"x\""), 401,
         "upstreams[0].state"},
        {"twice", Upstream("", "") + "," + Upstream("", ""), 401,
         "upstreams[1].id"},
    };
    for (const char *address : {"127.0.0.1:70000",
                                "127.0.0.1:65536",
                                "127.0.0.1:0",
                                "127.0.0.1:-1",
                                "127.0.0.1:+80",
                                "127.0.0.1:80x",
                                "127.0.0.1:",
                                "127.0.0.1:99999999999999999999",
                                "127.0.0.1: 80",
                                "127.0.0.1",
                                "999.1.1.1:80",
                                "1.2.3:80",
                                ":80",
                                "",
                                " 127.0.0.1:80",
                                "127.0.0.1:80/x",
                                "u@127.0.0.1:80",
                                "::1:80",
                                "[::1:80",
                                "[]:80",
                                "[127.0.0.1]:80"}) {
        rows.push_back(
            {address, Upstream("address", "\"" + std::string(address) + "\""),
             401, "upstreams[0].address"});
    }
    for (const char *address : {"127.0.0.1:1", "10.0.0.1:65535", "[::1]:80"}) {
        rows.push_back(
            {address, Upstream("address", "\"" + std::string(address) + "\""),
             0, ""});
    }
    return rows;
}

// Whatever an entry of the upstream list holds, the version in force stays,
// the error names the entry, and the next version is read.
TEST(Config, OddUpstreamIsRefusedAndTheListIsFollowed)
{
    int version = 1;
    ConfigReader vm;
    vm.Answer(Manifest(version, kPart), version);
    vm.Answer(kPart, version);
    for (const OddCase &row : MakeOddCases()) {
        SCOPED_TRACE(row.name);
        uint64_t before = vm.Version();
        std::string part = std::string(kPart, sizeof(kPart) - 2) +
                           ",\"upstreams\":[" + row.entry + "]}";
        GPtrArray *parts =
            g_ptr_array_new_with_free_func((GDestroyNotify)Con_FreePart);
        LsError err = {};
        version++;
        g_ptr_array_add(parts, Con_NewPart("p", part.data(), part.size()));
        std::string manifest = Manifest(version, part);
        ConConfig *config =
            Con_LoadConfig(manifest.data(), manifest.size(), parts, &err);
        EXPECT_EQ(config != nullptr, row.number == 0);
        EXPECT_EQ((int)err.code, row.number);
        EXPECT_NE(std::string(err.message).find(row.message),
                  std::string::npos)
            << err.message;
        Con_UnloadConfig(config);
        g_ptr_array_unref(parts);
        vm.Advance(2 * kSecond);
        ASSERT_EQ(vm.calls.size(), 1u);
        vm.Answer(manifest, version);
        ASSERT_EQ(vm.calls.size(), 1u);
        vm.Answer(part, version);
        EXPECT_EQ(vm.Version(), row.number == 0 ? (uint64_t)version : before);
        EXPECT_EQ(std::string(Cfg_GetLastError(vm.cfg)), err.message);
        version++;
        vm.Advance(2 * kSecond);
        vm.Answer(Manifest(version, kPart), version);
        if (!vm.calls.empty()) {
            vm.Answer(kPart, version); // It isn't the part in force.
        }
        EXPECT_EQ(vm.Version(), (uint64_t)version);
    }
}

// The same for manifests and for answers of the configuration service.
TEST(Config, OddManifestsAreRefusedAndTheListIsFollowed)
{
    const std::string manifests[] = {
        "",
        "7",
        "[]",
        "{}",
        Nested(2000),
        Nested(200000),
        "{\"version\":0,\"parts\":[]}",
        "{\"version\":-1,\"parts\":[]}",
        "{\"version\":1e400,\"parts\":[]}",
        "{\"version\":99999999999999999999,\"parts\":[]}",
        "{\"version\":\"9\",\"parts\":[]}",
        "{\"version\":9,\"parts\":7}",
        "{\"version\":9,\"parts\":[7]}",
        "{\"version\":9,\"parts\":[{}]}",
        "{\"version\":9,\"parts\":[" + Nested(2000) + "]}",
        "{\"version\":9,\"parts\":[{\"name\":\"p\",\"sha256\":\"x\"}]}",
        "\xff\xfe",
        "{\"version\":9"};
    ConfigReader vm;
    int version = 10;
    vm.Answer(Manifest(version, kPart), version);
    vm.Answer(kPart, version);
    for (const std::string &manifest : manifests) {
        SCOPED_TRACE(manifest.substr(0, 60));
        vm.Advance(2 * kSecond);
        ASSERT_EQ(vm.calls.size(), 1u);
        vm.Answer(manifest, version);
        EXPECT_EQ(vm.Version(), (uint64_t)version);
        vm.Advance(2 * kSecond);
        ASSERT_EQ(vm.calls.size(), 1u);
        version++;
        vm.Answer(Manifest(version, kPart), version);
        if (!vm.calls.empty()) {
            vm.Answer(kPart, version); // It isn't the part in force.
        }
        EXPECT_EQ(vm.Version(), (uint64_t)version);
    }
}

} // namespace
