/* Seeded fuzz tests of what reads bytes from others: events, answers of
   workers and requests of callers. They run in the sanitizer builds, too. */
#include "head_cases.h"
#include "raw_server.h"

extern "C" {
#include "gate/sse.h"
#include "io/head_check.h"
}

namespace {

const Route plain = {RTE_IDEMPOTENT, 1, false, 1000, 300};
const Route stream = {RTE_STREAM, 1, false, 1000, 300};

/* FUZZ_SEED, if set, is added to the seed: for more runs by hand. */
GRand *
NewRand(guint32 seed)
{
    const char *more = getenv("FUZZ_SEED");
    return g_rand_new_with_seed(seed +
                                (more != nullptr ? (guint32)atoi(more) : 0));
}

/* Changes a few bytes of a text: replaced, removed, repeated or inserted. */
std::string
Mutate(GRand *rand, std::string text)
{
    static const char *const pieces[] = {"\r\n",
                                         "\n",
                                         "\r",
                                         ":",
                                         "\r\n\r\n",
                                         "0\r\n\r\n",
                                         "id: 9\n",
                                         "Content-Length: 5\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "HTTP/1.1 200 OK\r\n",
                                         "ffffffff\r\n",
                                         "Connection: close\r\n",
                                         " ",
                                         "\t",
                                         "A b: 1\r\n",
                                         "HTTP/1.1 099 X\r\n\r\n"};
    int count = g_rand_int_range(rand, 0, 4);

    for (int i = 0; i < count && !text.empty(); i++) {
        size_t at = (size_t)g_rand_int_range(rand, 0, (gint32)text.size());
        switch (g_rand_int_range(rand, 0, 4)) {
        case 0:
            text[at] = (char)g_rand_int_range(rand, 0, 256);
            break;
        case 1:
            text.erase(at, (size_t)g_rand_int_range(rand, 1, 20));
            break;
        case 2:
            text.insert(at, text.substr(at, 15));
            break;
        default:
            text.insert(at, pieces[g_rand_int_range(
                                rand, 0, (gint32)G_N_ELEMENTS(pieces))]);
            break;
        }
    }
    return text;
}

/* Splits don't matter: the events and the rest make up what was fed, each
   event ends with a blank line, and no part of one is taken for whole. */
TEST(GateFuzz, EventsDoNotDependOnSplits)
{
    GRand *rand = NewRand(11);
    for (int i = 0; i < 3000; i++) {
        std::string text = Mutate(rand, Events(0, 3) + ": c\n\n" +
                                            Events(4, 5) + "id: 6\ndata: x");
        std::vector<std::string> events[2];
        std::string rest[2];
        bool inside[2];
        for (int k = 0; k < 2; k++) {
            Sse sse;
            SseOptions options = {};
            Sse_Init(&sse, &options);
            size_t at = 0;
            while (at < text.size()) {
                size_t size = k == 0 ? text.size()
                                     : (size_t)g_rand_int_range(rand, 1, 12);
                size = MIN(size, text.size() - at);
                Sse_Feed(&sse, text.data() + at, size);
                at += size;
                size_t offset = 0;
                SseEvent event;
                while (Sse_Next(&sse, &offset, &event)) {
                    events[k].emplace_back(event.data, event.size);
                }
                Sse_Drop(&sse, offset);
            }
            rest[k].assign((const char *)sse.pending->data, sse.pending->len);
            inside[k] = Sse_IsInsideEvent(&sse);
            Sse_Clear(&sse);
        }
        EXPECT_EQ(events[0], events[1]) << text;
        EXPECT_EQ(rest[0], rest[1]) << text;
        EXPECT_EQ(inside[0], inside[1]) << text;
        std::string all;
        for (const std::string &event : events[0]) {
            all += event;
            EXPECT_EQ(event.back(), '\n');
        }
        EXPECT_EQ(all + rest[0], text);
        if (!inside[0]) {
            /* What is left of a complete stream: comments and blank lines. */
            EXPECT_EQ(rest[0].find("data"), std::string::npos) << text;
        }
    }
    g_rand_free(rand);
}

/* Each call ends, its caller gets one answer, and the gate serves the next
   call well. */
TEST(GateFuzz, AnswersOfWorkers)
{
    GRand *rand = NewRand(12);
    const std::string chunked = StreamHead("Transfer-Encoding: chunked\r\n");
    for (int i = 0; i < 250; i++) {
        bool is_stream = i % 2 == 0;
        std::string reply =
            is_stream    ? chunked + Chunk(Events(0, 4)) + "0\r\n\r\n"
            : i % 4 == 1 ? Answer(200, "X-Response-Stamp: s\r\n", "done")
                         : StreamHead("") + "done";
        reply = Mutate(rand, reply);
        SCOPED_TRACE(reply);
        GateRig rig;
        rig.SetRoute(is_stream ? stream : plain, is_stream);
        rig.AddWorker({{reply, g_rand_boolean(rand) ? ScriptedReply::CLOSE
                                                    : ScriptedReply::RESET},
                       is_stream ? Stream(0, 4) : Ok()},
                      is_stream ? FLEET_PHASE_DECODE : FLEET_PHASE_NONE);
        std::string request =
            Request("POST", is_stream ? "X-Token-Usage: 10,10\r\n" : "");
        Caller *caller = rig.Call(request);
        ASSERT_TRUE(
            rig.Until([&] { return caller->IsComplete() || caller->closed; }));
        EXPECT_EQ(Gate_GetBufferedBytes(Edge_GetGate(rig.edge)), 0u);
        EXPECT_EQ(rig.last_worker->inflight, 0u);
        memset(&rig.last_worker->health, 0, sizeof(rig.last_worker->health));
        memset(&rig.last_worker->notice, 0, sizeof(rig.last_worker->notice));
        rig.last_worker->misdirected_until_us = 0;
        rig.last_worker->full_until_us = 0;
        Caller *next = rig.Call(request);
        ASSERT_TRUE(rig.Until([&] { return next->IsComplete(); }));
        EXPECT_EQ(next->Status(), 200);
    }
    g_rand_free(rand);
}

/* A caller's bytes are answered or end its connection, and harm no other
   caller. */
TEST(GateFuzz, RequestsOfCallers)
{
    GRand *rand = NewRand(13);
    GateRig rig;
    rig.SetRoute(plain);
    rig.AddWorker(std::vector<ScriptedReply>(2000, Ok()));
    for (int i = 0; i < 400; i++) {
        std::string request =
            i % 2 == 0 ? Request()
                       : "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n" +
                             Chunk("body") + "0\r\n\r\n";
        request = Mutate(rand, request);
        SCOPED_TRACE(request);
        Caller *caller = rig.Call(request);
        Caller *other = rig.Call(Request());
        ASSERT_TRUE(rig.Until([&] { return other->IsComplete(); }));
        EXPECT_EQ(other->Status(), 200);
        EXPECT_EQ(other->Body(), "done");
        caller->Disconnect();
        rig.callers.clear();
    }
    g_rand_free(rand);
}

/* Whether a line is that of a field, or a status line. */
bool
IsValidLine(const std::string &line, bool is_status)
{
    static const char form[] = "HTTP/0.0 000";
    bool is_valid =
        is_status ? line.size() >= strlen(form) : line.find(':') + 1 > 1;
    size_t fixed = is_status ? strlen(form) : line.find(':');
    for (size_t i = 0; is_valid && i < line.size(); i++) {
        unsigned char byte = (unsigned char)line[i];
        if (i >= fixed) {
            is_valid = byte == '\t' || (byte >= 32 && byte != 127);
        }
        else if (is_status) {
            is_valid = form[i] == '0' ? isdigit(byte) != 0 : byte == form[i];
        }
        else {
            is_valid = byte > 32 && byte < 127 &&
                       strchr("\"(),/:;<=>?@[\\]{}", byte) == nullptr;
        }
    }
    return is_valid &&
           (!is_status || ((line.size() == fixed || line[fixed] == ' ') &&
                           line[9] >= '1' && line[9] <= '5'));
}

/* Whether a text begins with a valid head of a response. Sets `size` to that
   of the head. */
bool
IsValidHead(const std::string &text, size_t *size)
{
    size_t at = text.find_first_not_of("\r\n");
    bool is_status = true;
    for (;;) {
        size_t end = text.find('\n', at);
        if (at == std::string::npos || end == std::string::npos) {
            return false;
        }
        std::string line = text.substr(at, end - at);
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        at = end + 1;
        *size = at;
        if (line.empty()) {
            return true;
        }
        if (!IsValidLine(line, is_status)) {
            return false;
        }
        is_status = false;
    }
}

/* What the check takes for a valid head is one by a second reading, wherever
   the bytes are split; and what the client takes for a response has one. */
TEST(GateFuzz, HeadsOfResponses)
{
    GRand *rand = NewRand(14);
    int valid = 0;
    int complete = 0;
    for (int i = 0; i < 20000; i++) {
        const HeadCase &row =
            head_cases[g_rand_int_range(rand, 0, G_N_ELEMENTS(head_cases))];
        std::string text = Mutate(rand, MakeResponse(row));
        SCOPED_TRACE(text);
        HeadCheck check;
        size_t at = 0;
        size_t size = 0;
        size_t used = 0;
        bool is_valid = true;
        HeadCheck_Begin(&check, HEAD_CHECK_RESPONSE);
        while (is_valid && at < text.size() && !HeadCheck_IsOver(&check)) {
            size_t piece = (size_t)g_rand_int_range(rand, 1, 30);
            is_valid = HeadCheck_Read(&check, text.data() + at,
                                      MIN(piece, text.size() - at), &used);
            at += used;
        }
        is_valid = is_valid && HeadCheck_IsOver(&check);
        ASSERT_EQ(is_valid, IsValidHead(text, &size));
        EXPECT_TRUE(!is_valid || at == size);
        valid += is_valid;
        if (i % 10 == 0) {
            ClientRig rig;
            rig.server.reply = text;
            rig.server.end = RawServer::CLOSE;
            rig.Call();
            if (rig.outcome == CLIENT_COMPLETE) {
                complete++;
                EXPECT_TRUE(is_valid);
                EXPECT_TRUE(rig.status >= 200 && rig.status < 600);
            }
        }
    }
    EXPECT_GT(valid, 2000);
    EXPECT_GT(complete, 200);
    g_rand_free(rand);
}

} // namespace
