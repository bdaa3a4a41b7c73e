/* Tests of lost answers, for each moment of the loss, each kind of request and
   each earlier outcome: what may run once is not run again, and no caller is
   told that a request has not run which may have. */
#include "gate_rig.h"

#include <unistd.h>

namespace {

/* Where the first worker's connection ends. */
enum Moment {
    NO_LISTENER,
    BEFORE_SEND,
    WHILE_SENDING,
    AFTER_SEND,
    IN_STATUS_LINE,
    IN_HEAD,
    AFTER_HEAD,
    IN_BODY,
    IN_LAST_CHUNK,
    MOMENT_COUNT,
};

const char *const moment_names[] = {
    "no listener",    "before the send",    "while sending",
    "after the send", "in the status line", "in the head",
    "after the head", "in the body",        "in the last chunk"};

struct Kind {
    const char *name;
    Route route;
    bool repeatable;
};

const Kind kinds[] = {
    {"idempotent", {RTE_IDEMPOTENT, 2, false}, true},
    {"at most once", {RTE_NON_IDEMPOTENT, 2, false}, false},
    {"stream", {RTE_STREAM, 2, false}, false},
    {"resumable stream", {RTE_STREAM, 2, true}, true},
};

std::string
MakeRequest(const Kind &kind)
{
    bool is_stream = kind.route.kind == RTE_STREAM;
    return Request("POST", is_stream ? "X-Token-Usage: 1000,100\r\n" : "",
                   std::string(60000, 'b'));
}

/* What the first worker sends before its connection is lost. */
std::string
GetSentPart(const Kind &kind, Moment moment)
{
    const std::string head = StreamHead("Transfer-Encoding: chunked\r\n");
    const std::string body =
        kind.route.kind == RTE_STREAM ? Chunk(Events(0, 4)) : Chunk("done");

    switch (moment) {
    case IN_STATUS_LINE:
        return "HTTP/1.1 20";
    case IN_HEAD:
        return head.substr(0, 30);
    case AFTER_HEAD:
        return head;
    case IN_BODY:
        return head + body.substr(0, body.size() - 3);
    case IN_LAST_CHUNK:
        return head + body + "0\r";
    default:
        return "";
    }
}

ScriptedReply
GetGoodReply(const Kind &kind, Moment moment)
{
    /* The events that the caller doesn't have yet. The body is cut inside of
       event 4. */
    int from = moment == IN_BODY ? 4 : moment == IN_LAST_CHUNK ? 5 : 0;

    return kind.route.kind == RTE_STREAM ? Stream(from, 9) : Ok();
}

/* A first call is lost, another worker would answer. */
TEST(GateLoss, FirstCall)
{
    for (const Kind &kind : kinds) {
        for (int moment = 0; moment < MOMENT_COUNT; moment++) {
            for (ScriptedReply::End end :
                 {ScriptedReply::CLOSE, ScriptedReply::RESET}) {
                SCOPED_TRACE(
                    std::string(kind.name) + ", " + moment_names[moment] +
                    (end == ScriptedReply::CLOSE ? ", closed" : ", reset"));
                bool is_stream = kind.route.kind == RTE_STREAM;
                GateRig rig;
                rig.lease_max_ms = 0;
                rig.SetRoute(kind.route, is_stream);
                FleetPhase phase =
                    is_stream ? FLEET_PHASE_DECODE : FLEET_PHASE_NONE;
                Worker *first = nullptr;
                if (moment == NO_LISTENER) {
                    rig.AddWorker({}, phase, "127.0.0.1:1");
                }
                else {
                    first = rig.AddWorker(
                        {{GetSentPart(kind, (Moment)moment), end}}, phase);
                    first->resets_on_accept = moment == BEFORE_SEND;
                    first->resets_on_read = moment == WHILE_SENDING;
                }
                Worker *second =
                    rig.AddWorker({GetGoodReply(kind, (Moment)moment)}, phase);
                rig.last_worker->service_us = 1e6; /* The first is chosen. */
                rig.last_worker->slowness = 8;
                Caller *caller = rig.Call(MakeRequest(kind));
                ASSERT_TRUE(rig.Until(
                    [&] { return caller->IsComplete() || caller->closed; }));
                /* A connection that is reset at once may have taken the call
                   or not. */
                bool expect_repeat =
                    kind.repeatable || moment == NO_LISTENER ||
                    (moment == BEFORE_SEND && second->requests.size() == 1);
                bool has_events = is_stream && moment >= IN_BODY;
                EXPECT_EQ(second->requests.size(), expect_repeat ? 1u : 0u);
                if (expect_repeat) {
                    EXPECT_EQ(caller->Status(), 200);
                    EXPECT_TRUE(caller->IsComplete());
                }
                else if (has_events) {
                    EXPECT_FALSE(caller->IsComplete());
                }
                else {
                    EXPECT_EQ(caller->Status(), 502);
                }
                if (first != nullptr && moment >= AFTER_SEND) {
                    EXPECT_EQ(first->requests.size(), 1u);
                }
            }
        }
    }
}

struct SecondCallCase {
    const char *name;
    ScriptedReply first;
    ScriptedReply second;
    int idempotent;   /* Status for the caller. */
    int at_most_once; /* The same; the second call is made only if `first`
                         has not run. */
};

const SecondCallCase second_call_cases[] = {
    {"refused, then lost", Refusal(), {"", ScriptedReply::RESET}, 502, 502},
    {"refused twice", Refusal(), Refusal(), 503, 503},
    {"lost, then refused", {"", ScriptedReply::RESET}, Refusal(), 502, 502},
    {"lost twice",
     {"", ScriptedReply::RESET},
     {"", ScriptedReply::CLOSE},
     502,
     502},
    {"lost, then answered", {"", ScriptedReply::RESET}, Ok(), 200, 502},
    {"refused, then answered", Refusal(), Ok(), 200, 200},
};

/* Retries: a refusal of the second worker says nothing of the first one. */
TEST(GateLoss, SecondCall)
{
    for (const SecondCallCase &row : second_call_cases) {
        for (bool once : {false, true}) {
            SCOPED_TRACE(std::string(row.name) + (once ? ", once" : ""));
            GateRig rig;
            rig.SetRoute({once ? RTE_NON_IDEMPOTENT : RTE_IDEMPOTENT, 2});
            auto script = std::make_shared<std::deque<ScriptedReply>>();
            script->push_back(row.first);
            script->push_back(row.second);
            rig.AddWorkerWithScript(script, FLEET_PHASE_NONE);
            rig.AddWorkerWithScript(script, FLEET_PHASE_NONE);
            Caller *caller = rig.Call(Request());
            ASSERT_TRUE(rig.Until([&] { return caller->IsComplete(); }));
            EXPECT_EQ(caller->Status(),
                      once ? row.at_most_once : row.idempotent);
        }
    }
}

} // namespace
