/* Tests that streams of a service whose routes differ in priority leave room
   to the more urgent ones, and that nothing changes where they are alike. */
#include "fleet_rig.h"

namespace {

const Route patient = {RTE_STREAM, 3, true, 15000, 3000};

/* Returns a table with one route for each priority, "/0/" and so on, to the
   same service. */
RteTable *
MakeLevels(const std::vector<uint32_t> &priorities)
{
    RteTable *table = MakeTable(patient, true, 2000, 2);
    RteBackend backend = {(char *)"svc", 1};
    g_hash_table_remove_all(table->hosts);
    for (size_t i = 0; i < priorities.size(); i++) {
        std::string prefix = "/" + std::to_string(i) + "/";
        RteRoute row = {};
        row.name = (char *)prefix.c_str();
        row.host = (char *)"h";
        row.prefix = (char *)prefix.c_str();
        row.kind = RTE_STREAM;
        row.attempts = patient.attempts;
        row.can_resume = patient.can_resume;
        row.timeout_ms = patient.timeout_ms;
        row.slo_ms = patient.slo_ms;
        row.gap_ms = 300;
        row.priority = priorities[i];
        row.backends = g_array_new(FALSE, FALSE, sizeof(RteBackend));
        g_array_append_val(row.backends, backend);
        Rte_AddRoute(table, &row);
        g_array_free(row.backends, TRUE);
    }
    return table;
}

std::string
Prompt(size_t route, const std::string &id, const std::string &more = "")
{
    return "POST /" + std::to_string(route) +
           "/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\nX-Deadline-Ms: 15000\r\n"
           "X-Prompt-Prefix: aa:200,b1:800\r\n" +
           more + "Content-Length: 1\r\n\r\nb";
}

int
Count(const std::vector<Caller *> &callers, int status)
{
    int count = 0;
    for (const Caller *caller : callers) {
        count += caller->Status() == status;
    }
    return count;
}

/* VMs with one worker whose memory has room for one more stream, as far as
   they know, and which grants no reservation at first. */
class Levels {
  public:
    explicit Levels(const std::vector<uint32_t> &priorities, int vms = 1)
        : rig(patient, vms, 0)
    {
        rig.versions = {"v1"};
        rig.AddWorker(std::vector<ScriptedReply>(40, Stream(0, 9)));
        rig.workers[0]->kept_parts = {"b1"};
        rig.workers[0]->places = 0;
        for (int vm = 0; vm < vms; vm++) {
            Forecast used = Forecast_OfPrompt(58200);
            Gate_SetTable(Edge_GetGate(rig.edges[vm]), MakeLevels(priorities));
            Forecast_Add(&rig.Find(vm, 0)->kv, &used);
        }
        rig.RunFor(400);
    }

    std::vector<Caller *>
    Call(size_t vm, size_t route, int count, const std::string &more = "")
    {
        std::vector<Caller *> callers;
        for (int i = 0; i < count; i++) {
            std::string id = "id-" + std::to_string(++next_);
            callers.push_back(rig.Call(vm, Prompt(route, id, more)));
        }
        return callers;
    }

    FleetRig rig;

  private:
    int next_ = 0;
};

struct FieldCase {
    const char *name;
    std::vector<uint32_t> priorities;
    std::vector<std::string> fields; /* "" for none. */
};

const FieldCase field_cases[] = {
    {"no priorities", {ACC_PRIORITY_NONE}, {""}},
    {"one priority", {3, 3}, {"", ""}},
    {"two", {0, 7}, {"0", "9"}},
    {"three, in any order", {7, 1, 4}, {"9", "0", "5"}},
    {"some without", {ACC_PRIORITY_NONE, 2}, {"9", "0"}},
    {"more than four", {1, 2, 3, 4, 5}, {"0", "3", "6", "9", "9"}},
};

/* Without the field, workers read the prompts of a burst in the order in which
   they come. */
TEST(GateUrgency, WorkersAreToldThePriorityWhereLevelsDiffer)
{
    for (const FieldCase &row : field_cases) {
        SCOPED_TRACE(row.name);
        Levels levels(row.priorities);
        levels.rig.workers[0]->places = -1;
        for (size_t i = 0; i < row.priorities.size(); i++) {
            const Caller *caller = levels.Call(0, i, 1)[0];
            levels.rig.RunFor(100);
            ASSERT_EQ(caller->Status(), 200) << caller->text;
            const std::string &sent = levels.rig.workers[0]->requests.back();
            std::string field = "X-Request-Priority: ";
            EXPECT_EQ(sent.find(field) != std::string::npos,
                      !row.fields[i].empty());
            if (!row.fields[i].empty()) {
                EXPECT_NE(sent.find(field + row.fields[i] + "\r\n"),
                          std::string::npos)
                    << sent;
            }
        }
    }
}

/* Less urgent streams came first, and look for the memory that becomes free
   one place after the other. */
TEST(GateUrgency, MemoryThatBecomesFreeGoesToMoreUrgentStreams)
{
    Levels levels({0, 1, 2});
    std::vector<Caller *> less = levels.Call(0, 2, 4);
    levels.rig.RunFor(50);
    std::vector<Caller *> more = levels.Call(0, 0, 4);
    levels.rig.RunFor(200);
    for (int i = 0; i < 4; i++) {
        levels.rig.workers[0]->places = 1;
        levels.rig.RunFor(150);
    }
    EXPECT_EQ(Count(more, 200), 4);
    EXPECT_EQ(Count(less, 200), 0);
    /* None of them lacks room any more: it is the others'. */
    levels.rig.workers[0]->places = 20;
    levels.rig.RunFor(600);
    EXPECT_EQ(Count(less, 200), 4);
}

/* A queue full of less urgent streams refused each more urgent one. */
TEST(GateUrgency, FullQueueRefusesTheLeastUrgentStream)
{
    Levels levels({0, 1, 2});
    std::vector<Caller *> less = levels.Call(0, 2, 9);
    levels.rig.RunFor(200);
    int refused = Count(less, 503);
    ASSERT_GT(refused, 0);
    std::vector<Caller *> more = levels.Call(0, 0, 2);
    levels.rig.RunFor(200);
    EXPECT_EQ(Count(more, 503), 0);
    EXPECT_EQ(Count(less, 503), refused + 2);
    levels.rig.workers[0]->places = 2;
    levels.rig.RunFor(200);
    EXPECT_EQ(Count(more, 200), 2);
}

/* A resumed stream has the memory of its worker, whatever its priority. */
TEST(GateUrgency, ResumedStreamLeavesNoRoom)
{
    Levels levels({0, 1, 2});
    std::vector<Caller *> more = levels.Call(0, 0, 4);
    levels.rig.RunFor(200);
    std::vector<Caller *> again =
        levels.Call(0, 2, 1, "Last-Event-Id: 2\r\nResumes: id-0\r\n");
    levels.rig.RunFor(100);
    levels.rig.workers[0]->places = 1;
    levels.rig.RunFor(200);
    EXPECT_EQ(Count(again, 200), 1) << again[0]->text;
    EXPECT_EQ(Count(more, 200), 0);
}

/* Where all have one priority, the streams that came first are not refused for
   those that come later. */
TEST(GateUrgency, NothingChangesWithOnePriority)
{
    Levels levels({2, 2, 2});
    std::vector<Caller *> first = levels.Call(0, 2, 12);
    levels.rig.RunFor(200);
    int refused = Count(first, 503);
    std::vector<Caller *> second = levels.Call(0, 0, 2);
    levels.rig.RunFor(200);
    EXPECT_EQ(Count(first, 503), refused);
    EXPECT_EQ(Count(second, 503), 2);
}

} // namespace
