/* Random test of streams at workers that fall silent, close and go on: checks
   events, the workers that ran each request, and what is left behind. */
#include "gate_rig.h"

#include <map>
#include <random>
#include <set>

namespace {

std::string
Begun(int events)
{
    return StreamHead("Transfer-Encoding: chunked\r\n") +
           (events > 0 ? Chunk(Events(0, events - 1)) : "");
}

TEST(GateSuccessorRandom, StreamsAtWorkersThatFallSilent)
{
    const unsigned seed = 1;
    std::mt19937 random(seed);
    GateRig rig;
    Route route = {RTE_STREAM, 2, true, 5000, 50};
    std::vector<Worker *> decode;
    std::vector<Worker *> prefill;
    std::vector<FleetWorker *> rows;
    int ids = 0;
    auto pick = [&](int n) { return (int)(random() % (unsigned)n); };

    rig.SetRoute(route, true);
    for (int w = 0; w < 5; w++) {
        std::vector<ScriptedReply> script;
        for (int i = 0; i < 3000; i++) {
            int kind = pick(9);
            script.push_back(kind < 3   ? Stream(0, 9)
                             : kind < 6 ? ScriptedReply{Begun(pick(9))}
                             : kind < 7 ? ScriptedReply{""}
                             : kind < 8
                                 ? Stream(0, pick(9), ScriptedReply::CLOSE)
                                 : ScriptedReply{Begun(pick(9)) + "id: 9"});
        }
        if (w < 3) {
            decode.push_back(rig.AddWorker(script, FLEET_PHASE_DECODE));
        }
        else {
            script.clear();
            for (int i = 0; i < 3000; i++) {
                script.push_back(pick(4)
                                     ? PrefillReply("h" + std::to_string(i))
                                     : ScriptedReply{""});
            }
            prefill.push_back(rig.AddWorker(script, FLEET_PHASE_PREFILL));
        }
        rows.push_back(Fleet_Ref(rig.last_worker));
    }
    for (int step = 0; step < 600; step++) {
        if (pick(2) == 0) {
            std::string id = "r" + std::to_string(++ids);
            rig.callers.push_back(
                std::make_unique<Caller>(rig.base, Edge_GetPort(rig.edge)));
            rig.callers.back()->Send(
                "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                "\r\nX-Token-Usage: 1000,100\r\nContent-Length: 1\r\n\r\nb");
        }
        Worker *worker = decode[(size_t)pick(3)];
        switch (pick(24)) {
        case 0:
            worker->CloseAll();
            break;
        case 1:
        case 2:
            worker->is_silent = !worker->is_silent;
            break;
        case 3:
            worker->SendEventsToAll(pick(10), pick(2) * pick(10));
            break;
        case 4:
            worker->SendToAll("0\r\n\r\n");
            break;
        case 5:
            worker->SendToAll(Chunk(Events(0, 9)) + "0\r\n\r\n");
            break;
        case 6:
            prefill[(size_t)pick(2)]->CloseAll();
            break;
        case 7:
            worker->refusals = pick(30);
            break;
        case 8:
            rig.callers[(size_t)pick((int)rig.callers.size())]->Disconnect();
            break;
        }
        rig.RunFor(20);
    }
    rig.RunFor(6500); /* All are past their timeout. */
    std::map<std::string, std::set<Worker *>> runs;
    for (Worker *worker : decode) {
        for (const std::string &text : worker->requests) {
            size_t at = text.find("X-Request-Id: ");
            if (text.find("/r/x") != std::string::npos &&
                at != std::string::npos) {
                runs[text.substr(at + 14, text.find("\r\n", at) - at - 14)]
                    .insert(worker);
            }
        }
    }
    for (const auto &row : runs) {
        EXPECT_LE(row.second.size(), 2u) << row.first;
    }
    for (const auto &caller : rig.callers) {
        if (caller->Status() == 200 &&
            caller->text.find("chunked") != std::string::npos) {
            std::string body = caller->DechunkedBody();
            /* Any first event is accepted; no gap, no repeat after it. */
            EXPECT_NE(Events(0, 9).find(body), std::string::npos) << body;
        }
        if (caller->Status() == 503) {
            size_t at = caller->text.find("X-Request-Id: ");
            ASSERT_NE(at, std::string::npos);
            std::string id = caller->text.substr(
                at + 14, caller->text.find("\r\n", at) - at - 14);
            EXPECT_EQ(runs.count(id), 0u) << id << caller->text;
        }
    }
    for (FleetWorker *row : rows) {
        EXPECT_EQ(row->inflight, 0u) << row->entry.id;
        EXPECT_EQ(row->prefill_tokens, 0u) << row->entry.id;
        EXPECT_EQ(Forecast_GetPeak(&row->kv), 0u) << row->entry.id;
        Fleet_Unref(row);
    }
}

} // namespace
