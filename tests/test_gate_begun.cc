/* Tests that a stream that was begun goes on at a worker that failed it
   before, if no other one of its version is there. */
#include "gate_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true};

std::string
Prompt(const std::string &id = "id-1", const std::string &more = "")
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: 9000\r\n" + more +
           "Content-Length: 1\r\n\r\nb";
}

struct OnlyWorkerCase {
    const char *name;
    std::vector<ScriptedReply> replies; /* The first one begins the stream. */
    bool complete;
};

const OnlyWorkerCase only_worker_cases[] = {
    {"resets a run once",
     {Stream(0, 4, ScriptedReply::RESET), Stream(5, 9)},
     true},
    {"resets two runs",
     {Stream(0, 2, ScriptedReply::RESET), Stream(3, 4, ScriptedReply::RESET),
      Stream(5, 9)},
     true},
    {"fails a run before its first event",
     {Stream(0, 4, ScriptedReply::RESET),
      {Answer(500, "X-Response-Stamp: s1\r\n", "no")},
      Stream(5, 9)},
     true},
    {"fails all runs that the route allows",
     {Stream(0, 4, ScriptedReply::RESET),
      {"", ScriptedReply::RESET},
      {"", ScriptedReply::RESET},
      Stream(5, 9)},
     false},
};

TEST(Begun, StreamGoesOnAtTheOnlyWorkerThatFailedIt)
{
    for (const OnlyWorkerCase &row : only_worker_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        rig.SetRoute(resumable, true);
        auto script = std::make_shared<std::deque<ScriptedReply>>(
            row.replies.begin(), row.replies.end());
        Worker *worker = rig.AddWorkerWithScript(script, FLEET_PHASE_DECODE);
        Caller *caller = rig.Call(Prompt());
        ASSERT_TRUE(rig.UntilEnd(caller));
        EXPECT_EQ(caller->IsComplete(), row.complete);
        EXPECT_EQ(caller->DechunkedBody(), Events(0, row.complete ? 9 : 4));
        EXPECT_EQ(worker->requests.size(),
                  row.complete ? row.replies.size() : resumable.attempts);
    }
}

/* A worker that gave no reservation in time before the stream began may go on
   with it, once the one that began it is gone. */
TEST(Begun, StreamGoesOnAtAWorkerThatGaveNoReservationBefore)
{
    GateRig rig;
    rig.SetRoute(resumable, true);
    Worker *silent = rig.AddWorker({Stream(5, 9)}, FLEET_PHASE_DECODE);
    silent->holds_reservations = true;
    Caller *caller = rig.Call(Prompt());
    ASSERT_TRUE(rig.Until([&] { return !silent->reservation.empty(); }));
    Worker *first =
        rig.AddWorker({Stream(0, 4, ScriptedReply::EXIT)}, FLEET_PHASE_DECODE);
    ASSERT_TRUE(rig.Until([&] { return !first->IsUp(); }));
    silent->holds_reservations = false;
    ASSERT_TRUE(rig.UntilEnd(caller));
    EXPECT_TRUE(caller->IsComplete());
    EXPECT_EQ(caller->DechunkedBody(), Events(0, 9));
}

} // namespace
