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

} // namespace
