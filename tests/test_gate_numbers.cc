/* Tests of numbers out of range and of odd identifiers in callers' requests
   and workers' answers. */
#include "gate_rig.h"

extern "C" {
#include "gate/sse.h"
}

namespace {

struct LoadCase {
    const char *text;
    bool valid;
    uint32_t running;
    uint32_t waiting;
    double pace;
};

const LoadCase load_cases[] = {
    {"3,1,8", true, 3, 1, 0},
    {"0,0,0", true, 0, 0, 0},
    {"3, 1, 8", true, 3, 1, 0},
    {"3,1,8,100", true, 3, 1, 1.0},
    {"3,1,8,250", true, 3, 1, 2.5},
    {"3, 1, 8, 60", true, 3, 1, 0.6},
    {"3,1,8,0", true, 3, 1, 0},
    {"3,1,8,", false, 0, 0, 0},
    {"3,1,8,-1", false, 0, 0, 0},
    {"3,1,8,100,2", false, 0, 0, 0},
    {"3,1,8,4294967296", false, 0, 0, 0},
    {"-1,0,8", false, 0, 0, 0},
    {"+1,0,8", false, 0, 0, 0},
    {"4294967296,0,8", false, 0, 0, 0},
    {"0,4294967299,8", false, 0, 0, 0},
    {"99999999999999999999,0,8", false, 0, 0, 0},
    {"3,1", false, 0, 0, 0},
    {"3,1,", false, 0, 0, 0},
    {"3,1,8x", false, 0, 0, 0},
    {"1e3,1,8", false, 0, 0, 0},
    {"", false, 0, 0, 0},
};

TEST(GateNumbers, LoadOutOfRangeIsNone)
{
    const GateCodec *codec = Pf_GetCodec();
    for (const LoadCase &row : load_cases) {
        SCOPED_TRACE(row.text);
        HeaderList *headers = Header_New();
        GateReply reply;
        Header_Add(headers, "X-Server-Load", row.text);
        codec->decode_reply(codec->context, 200, headers, "id", &reply);
        EXPECT_EQ(reply.has_load, row.valid);
        if (row.valid) {
            EXPECT_EQ(reply.running, row.running);
            EXPECT_EQ(reply.waiting, row.waiting);
            EXPECT_DOUBLE_EQ(reply.pace, row.pace);
        }
        Header_Free(headers);
    }
}

struct RequestCase {
    const char *field;
    const char *text;
    int64_t left_ms;
    int64_t last_event;
    uint32_t prompt;
    uint32_t output;
};

const RequestCase request_cases[] = {
    {"X-Deadline-Ms", "14000", 14000, GATE_NO_EVENT, 0, 0},
    {"X-Deadline-Ms", "-1", 0, GATE_NO_EVENT, 0, 0},
    {"X-Deadline-Ms", "soon", 0, GATE_NO_EVENT, 0, 0},
    {"X-Deadline-Ms", "99999999999999999999", 0, GATE_NO_EVENT, 0, 0},
    {"X-Deadline-Ms", "9223372036854775807", 0, GATE_NO_EVENT, 0, 0},
    {"Last-Event-Id", "12", 0, 12, 0, 0},
    {"Last-Event-Id", "0", 0, 0, 0, 0},
    {"Last-Event-Id", "-2", 0, GATE_NO_EVENT, 0, 0},
    {"Last-Event-Id", "x", 0, GATE_NO_EVENT, 0, 0},
    {"Last-Event-Id", "99999999999999999999", 0, GATE_NO_EVENT, 0, 0},
    {"Last-Event-Id", "9223372036854775807", 0, GATE_NO_EVENT, 0, 0},
    {"X-Token-Usage", "1460,80", 0, GATE_NO_EVENT, 1460, 80},
    {"X-Token-Usage", "1460", 0, GATE_NO_EVENT, 1460, 0},
    {"X-Token-Usage", "4294967296,80", 0, GATE_NO_EVENT, 0, 0},
    {"X-Token-Usage", "10,4294967296", 0, GATE_NO_EVENT, 10, 0},
    {"X-Token-Usage", "-1,80", 0, GATE_NO_EVENT, 0, 0},
};

TEST(GateNumbers, CallersNumberOutOfRangeIsNone)
{
    const GateCodec *codec = Pf_GetCodec();
    for (const RequestCase &row : request_cases) {
        SCOPED_TRACE(std::string(row.field) + " " + row.text);
        ServerExchange exchange = {};
        GateRequest request = {};
        LsError err = {};
        request.last_event = GATE_NO_EVENT;
        exchange.headers = Header_New();
        Header_Add(exchange.headers, "X-Request-Id", "i");
        Header_Add(exchange.headers, "Host", "h");
        Header_Add(exchange.headers, row.field, row.text);
        ASSERT_EQ(
            codec->decode_request(codec->context, &exchange, &request, &err),
            LS_OK);
        EXPECT_EQ(request.left_ms, row.left_ms);
        EXPECT_EQ(request.last_event, row.last_event);
        EXPECT_EQ(request.prompt_tokens, row.prompt);
        EXPECT_EQ(request.output_tokens, row.output);
        g_free(request.id);
        g_free(request.host);
        Header_Free(request.forward);
        Header_Free(exchange.headers);
    }
}

/* A handle is sent in a header field and in a target. */
TEST(GateNumbers, OddHandleIsNone)
{
    const struct {
        std::string value;
        bool valid;
    } rows[] = {
        {"\"3fa09c41b7d5\"", true},
        {"\"\"", false},
        {"\"h\\r\\nX-Model: m\"", false},
        {"\"a b\"", false},
        {"\"a/b\"", false},
        {"\"a?b\"", false},
        {"\"a\\u0000b\"", false},
        {"\"\\u00fc\"", false},
        {"7", false},
        {"1e400", false},
        {"[\"h\"]", false},
        {std::string(100000, '['), false},
        {"null", false},
    };
    const GateCodec *codec = Pf_GetCodec();
    for (const auto &row : rows) {
        SCOPED_TRACE(row.value.substr(0, 40));
        char text[GATE_HANDLE_MAX] = "";
        std::string body = "{\"kv-handle\":" + row.value +
                           ",\"tokens\":1,\"hold\":" + row.value + "}";
        EXPECT_EQ(codec->decode_prefill(codec->context, body.data(),
                                        body.size(), text),
                  row.valid);
        EXPECT_EQ(codec->decode_reserve(codec->context, body.data(),
                                        body.size(), text),
                  row.valid);
    }
}

/* The connection is kept, whatever the number. */
TEST(GateNumbers, LongKeepAliveIsKept)
{
    for (const char *timeout :
         {"30", "4294967296", "9223372036854775807", "99999999999999999999"}) {
        SCOPED_TRACE(timeout);
        GateRig rig;
        rig.SetRoute({RTE_IDEMPOTENT, 2, false, 5000, 4000});
        Worker *worker = rig.AddWorker({Ok(), Ok(), Ok()});
        worker->headers =
            std::string("Keep-Alive: timeout=") + timeout + "\r\n";
        for (int i = 0; i < 3; i++) {
            Caller *caller = rig.Call(Request());
            ASSERT_TRUE(rig.UntilEnd(caller));
            EXPECT_EQ(caller->Status(), 200);
        }
        EXPECT_EQ(worker->accepted, 1);
    }
}

/* An event whose number is out of range counts as one without a number. */
TEST(GateNumbers, EventIdOutOfRangeIsNone)
{
    const struct {
        const char *id;
        bool valid;
    } rows[] = {
        {"7", true},
        {" 7", true},
        {"9223372036854775806", true},
        {"9223372036854775807", false},
        {"99999999999999999999", false},
        {"-1", false},
        {"-9223372036854775808", false},
    };
    for (const auto &row : rows) {
        SCOPED_TRACE(row.id);
        std::string text = std::string("id:") + row.id + "\ndata: x\n\n";
        size_t offset = 0;
        SseEvent event;
        Sse sse;
        SseOptions options = {};
        Sse_Init(&sse, &options);
        Sse_Feed(&sse, text.data(), text.size());
        ASSERT_TRUE(Sse_Next(&sse, &offset, &event));
        EXPECT_EQ(event.form == SSE_FORM_EVENT, row.valid);
        EXPECT_EQ(event.form == SSE_FORM_ID_MALFORMED, !row.valid);
        Sse_Clear(&sse);
    }
}

} // namespace
