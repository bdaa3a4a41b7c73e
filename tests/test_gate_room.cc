/* Tests that a stream that was begun finds room at the workers of its version
   before new ones do. */
#include "fleet_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000, 900};
/* New streams wait longer for room than this test takes. */
const Route patient = {RTE_STREAM, 3, true, 15000, 3000};

std::string
Prompt(const std::string &id, int left_ms, const std::string &more = "")
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\n"
           "X-Prompt-Prefix: aa:200,b1:800\r\nX-Deadline-Ms: " +
           std::to_string(left_ms) + "\r\n" + more +
           "Content-Length: 1\r\n\r\nb";
}

/* The request with which a caller resumes `id` after event 2, with the time
   that remains to it. */
std::string
Resumption(const std::string &id)
{
    return Prompt(id + "-again", 9000,
                  "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
}

/* A resumed stream waits as long as its caller does: the workers that it needs
   may be full for some seconds after a loss of VMs. */
TEST(Room, ResumedStreamWaitsForARoomOfItsVersion)
{
    FleetRig rig(resumable, 1, 0);
    rig.versions = {"v1"};
    rig.AddWorker({Stream(0, 9)});
    rig.workers[0]->kept_parts = {"b1"};
    rig.workers[0]->places = 0;
    Caller *again = rig.Call(0, Resumption("id-1"));
    rig.RunFor(2200);
    EXPECT_EQ(again->Status(), 0) << again->text;
    rig.workers[0]->places = 1;
    rig.RunFor(300);
    EXPECT_EQ(again->Status(), 200) << again->text;
    EXPECT_EQ(again->DechunkedBody(), Events(3, 9));
}

struct CompetitionCase {
    const char *name;
    int vms;
    size_t begun_vm; /* Gets the resumed streams. */
    size_t new_vm;   /* Gets the new ones. */
};

const CompetitionCase competition_cases[] = {
    {"at one VM", 1, 0, 0},
    {"at two VMs", 2, 0, 1},
};

/* The worker of the version is full, and room for one stream after the other
   becomes free. New streams arrive all the while. */
TEST(Room, BegunStreamsGoOnBeforeNewOnesBegin)
{
    const int begun_count = 10;
    for (const CompetitionCase &row : competition_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(patient, row.vms, 0);
        rig.versions = {"v1"};
        rig.AddWorker(std::vector<ScriptedReply>(40, Stream(0, 9)));
        rig.workers[0]->kept_parts = {"b1"};
        rig.workers[0]->places = 0;
        rig.RunFor(400);
        std::vector<Caller *> fresh;
        std::vector<Caller *> begun;
        auto count = [](const std::vector<Caller *> &callers) {
            int served = 0;
            for (const Caller *caller : callers) {
                served += caller->Status() == 200;
            }
            return served;
        };
        for (int i = 0; i < 7; i++) {
            fresh.push_back(
                rig.Call(row.new_vm, Prompt("n" + std::to_string(i), 15000)));
        }
        rig.RunFor(100);
        for (int i = 0; i < begun_count; i++) {
            begun.push_back(
                rig.Call(row.begun_vm, Resumption("b" + std::to_string(i))));
        }
        rig.RunFor(200);
        for (int i = 0; i < begun_count; i++) {
            rig.workers[0]->places = 1;
            rig.RunFor(120);
        }
        EXPECT_EQ(count(begun), begun_count);
        EXPECT_EQ(count(fresh), 0);
        /* None of them waits any more: the room is the new ones'. */
        rig.workers[0]->places = 20;
        rig.RunFor(600);
        EXPECT_EQ(count(fresh), 7);
    }
}

/* A begun stream waits in vain, as it finds room nowhere: new ones go on at
   the other versions meanwhile. */
TEST(Room, NewStreamsGoToOtherVersionsMeanwhile)
{
    FleetRig rig(patient, 1, 0);
    rig.versions = {"v1", "v2"};
    rig.AddWorker({});
    rig.AddWorker({Stream(0, 9), Stream(0, 9)});
    rig.workers[0]->kept_parts = {"b1"};
    rig.workers[0]->places = 0;
    rig.AddLoad(1, 4);
    Caller *again = rig.Call(0, Resumption("id-1"));
    rig.RunFor(200);
    Caller *fresh = rig.Call(0, Prompt("n1", 15000));
    rig.RunFor(200);
    EXPECT_EQ(fresh->Status(), 200) << fresh->text;
    EXPECT_EQ(again->Status(), 0) << again->text;
    EXPECT_EQ(rig.workers[1]->requests.size(), 1u);
}

/* A begun stream waits though its version has room: all workers that it could
   go to have failed it. It holds nothing back. */
TEST(Room, NewStreamsBeginWhileABegunOneHasNoWorkerLeft)
{
    FleetRig rig(patient, 1, 0);
    rig.versions = {"v1"};
    rig.AddWorker({ScriptedReply{StreamHead("Transfer-Encoding: chunked\r\n") +
                                     Chunk(Events(0, 2)),
                                 ScriptedReply::RESET, ""},
                   Stream(0, 9)});
    Caller *begun = rig.Call(0, Prompt("id-1", 15000));
    rig.RunFor(300);
    Caller *fresh = rig.Call(0, Prompt("n1", 15000));
    rig.RunFor(400);
    EXPECT_EQ(fresh->Status(), 200) << fresh->text;
    EXPECT_FALSE(begun->IsComplete());
}

struct MarginCase {
    const char *name;
    bool is_begun;
    uint32_t used_tokens; /* Of the worker's 60,000. */
    int status;           /* 0: it still waits. */
};

const MarginCase margin_cases[] = {
    {"new stream, worker half empty", false, 15000, 200},
    {"new stream, too little for its growth and that of others", false, 40000,
     0},
    {"resumed stream, the same", true, 40000, 200},
    {"resumed stream, worker full", true, 55000, 0},
};

/* Memory is kept free for running streams whose answers are longer than
   expected. New streams don't use it; one that was begun does. */
TEST(Room, BegunStreamUsesMemoryThatIsKeptFreeForGrowth)
{
    for (const MarginCase &row : margin_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(patient, 1, 0);
        rig.versions = {"v1"};
        rig.AddWorker({Stream(row.is_begun ? 3 : 0, 9)});
        rig.workers[0]->kept_parts = {"b1"};
        auto *worker = (FleetWorker *)g_ptr_array_index(
            Edge_GetFleet(rig.edges[0])->rows, 0);
        Forecast used = Forecast_OfPrompt(row.used_tokens);
        Forecast_Add(&worker->kv, &used);
        std::string request =
            row.is_begun ? Resumption("id-1") : Prompt("id-1", 15000);
        size_t at = request.find("1000,100");
        request.replace(at, 8, "2000,8000");
        const Caller *caller = rig.Call(0, request);
        rig.RunFor(500);
        EXPECT_EQ(caller->Status(), row.status) << caller->text;
    }
}

/* VMs that have just started have little retry budget, as they know little of
   what was used before. */
TEST(Room, ResumedStreamWaitsForRetryBudget)
{
    FleetRig rig(resumable, 1, 0);
    BudgetOptions budget = Budget_DefaultOptions();
    auto script = std::vector<ScriptedReply>{Refusal(), Stream(3, 9)};
    rig.versions = {"v1"};
    rig.AddWorker(script);
    rig.workers[0]->kept_parts = {"b1"};
    budget.ratio = 0;
    budget.slack = 0;
    Edge_SetBudget(rig.edges[0], &budget);
    const Caller *again = rig.Call(0, Resumption("id-1"));
    rig.RunFor(600);
    EXPECT_EQ(again->Status(), 0) << again->text;
    budget.ratio = 50;
    Edge_SetBudget(rig.edges[0], &budget);
    rig.RunFor(300);
    EXPECT_EQ(again->Status(), 200) << again->text;
}

struct CrashCase {
    const char *name;
    bool is_begun;
};

const CrashCase crash_cases[] = {
    {"new stream", false},
    {"resumed stream", true},
};

/* Many workers have crashed together. They look idle, and no VM has called
   them since. A refused connection uses up no try of the stream. */
TEST(Room, StreamGoesOnBesideManyWorkersThatCrashedTogether)
{
    for (const CrashCase &row : crash_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(resumable, 1, 0);
        const size_t crashed = 40;
        rig.restart_ms = 60000;
        for (size_t i = 0; i <= crashed; i++) {
            rig.versions.push_back("v1");
            rig.AddWorker({Stream(0, 9)});
        }
        rig.workers[0]->kept_parts = {"b1"};
        rig.AddLoad(0, 4);
        for (size_t i = 1; i <= crashed; i++) {
            rig.workers[i]->Crash();
        }
        const Caller *caller = rig.Call(
            0, row.is_begun ? Resumption("id-1") : Prompt("id-1", 15000));
        rig.RunFor(500);
        EXPECT_EQ(caller->Status(), 200) << caller->text;
        EXPECT_TRUE(caller->IsComplete());
    }
}

/* No worker accepts a connection. None is called again at once. */
TEST(Room, StreamCallsWorkersThatCrashedAtIntervals)
{
    FleetRig rig(resumable, 1, 0);
    rig.restart_ms = 60000;
    for (size_t i = 0; i < 10; i++) {
        rig.versions.push_back("v1");
        rig.AddWorker({});
        rig.workers[i]->kept_parts = {"b1"};
    }
    for (size_t i = 0; i < 10; i++) {
        rig.workers[i]->Crash();
    }
    uint64_t before = Met_Get(MET_CALLS_FAILED);
    const Caller *caller = rig.Call(0, Prompt("id-1", 15000));
    rig.RunFor(1500);
    EXPECT_EQ(caller->Status(), 503) << caller->text;
    EXPECT_LE(Met_Get(MET_CALLS_FAILED) - before, 10u * 5);
}

/* In a burst the workers are full, but for some that have fallen silent. Other
   VMs have found those out. Streams used to wait for a time-out at each. */
TEST(Room, StreamPassesOverWorkersThatOtherVmsCannotReach)
{
    FleetRig rig(resumable, 1, 0);
    const size_t silent = 12;
    for (size_t i = 0; i <= silent; i++) {
        rig.versions.push_back("v1");
        rig.AddWorker({Stream(0, 9)});
    }
    rig.Find(0, 0)->peer_prefill_tokens = 20000;
    for (size_t i = 1; i <= silent; i++) {
        rig.workers[i]->GoDark();
        rig.Find(0, i)->peer_unreachable = 5;
    }
    const Caller *caller = rig.Call(0, Prompt("id-1", 15000));
    rig.RunFor(200);
    EXPECT_EQ(caller->Status(), 200) << caller->text;
    EXPECT_TRUE(caller->IsComplete());
}

} // namespace
