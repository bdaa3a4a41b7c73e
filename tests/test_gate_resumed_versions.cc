/* Tests that callers' resumptions go on after all VMs were killed in a
   release: the workers that keep the prompts are leaving, or have started
   again, and their entries come late. */
#include "fleet_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000};
/* Starts of a worker, Unix milliseconds. */
const int64_t earlier_ms = 1000;
const int64_t later_ms = 2000;
/* Workers that keep the prompts, and others of the same versions. */
const int reader_count = 8;
const int worker_count = 16;

/* Number of the own part of a prompt that worker `i` keeps. */
std::string
Part(int i)
{
    char text[16];
    snprintf(text, sizeof(text), "%x", 0x1000 + i);
    return text;
}

std::string
Resumption(int i)
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: again-" +
           std::to_string(i) +
           "\r\nX-Token-Usage: 1000,100\r\nX-Prompt-Prefix: aa:200," +
           Part(i) + ":800\r\nLast-Event-Id: 2\r\nResumes: id-" +
           std::to_string(i) + "\r\nContent-Length: 1\r\n\r\nb";
}

const char *
GetVersion(int i, bool is_other = false)
{
    return (i % 2 == 0) != is_other ? "v1" : "v2";
}

enum Entry { AS_TOLD, LATE, NEVER };

struct LoadCase {
    const char *name;
    int vms;
    bool is_leaving; /* They take no runs, and close each connection. */
    Entry entry;     /* Of the start that the workers tell. */
    bool goes_on;
    const char *state = "";  /* What they tell instead of their start. */
    bool is_removed = false; /* The entries, before the VMs ask. */
    bool tells_start = true;
};

const LoadCase load_cases[] = {
    {"workers stay", 1, false, AS_TOLD, true},
    {"workers stay", 3, false, AS_TOLD, true},
    {"workers are leaving", 1, true, AS_TOLD, true},
    {"workers are leaving", 3, true, AS_TOLD, true},
    {"workers are leaving", 20, true, AS_TOLD, true},
    {"entries of later starts are late", 1, false, LATE, true},
    {"entries of later starts are late", 3, false, LATE, true},
    {"entries of later starts are late, workers are leaving", 1, true, LATE,
     true},
    {"entries of later starts don't come", 1, false, NEVER, false},
    {"entries of later starts don't come", 3, false, NEVER, false},
    {"entries of later starts don't come, workers are leaving", 3, true, NEVER,
     false},
    {"answers to another question", 1, false, AS_TOLD, false,
     "{\"born\":1000}"},
    {"answers to another question", 1, true, AS_TOLD, false,
     "{\"hold\":\"L1\",\"born\":1000}"},
    {"entries are removed", 1, false, AS_TOLD, true, "", true},
    {"entries are removed", 3, false, AS_TOLD, true, "", true},
    {"entries are removed, workers close", 1, true, AS_TOLD, true, "", true},
    {"entries are removed, workers close", 20, true, AS_TOLD, true, "", true},
    {"entries are removed, workers started again", 3, false, NEVER, false, "",
     true},
    {"entries are removed, workers tell no start", 3, false, AS_TOLD, false,
     "", true, false},
};

class LoadRig : public FleetRig {
  public:
    explicit LoadRig(const LoadCase &row) : FleetRig(resumable, row.vms, 0)
    {
        for (int i = 0; i < worker_count; i++) {
            bool is_reader = i < reader_count;
            versions.push_back(GetVersion(i));
            AddWorker(std::vector<ScriptedReply>(reader_count, Stream(3, 9)));
            Worker *worker = workers.back().get();
            worker->kept_parts = {"aa"};
            worker->born_ms = earlier_ms;
            if (is_reader) {
                worker->kept_parts.push_back(Part(i));
                worker->closes_after_answer = row.is_leaving;
                worker->state_body = row.state;
                worker->born_ms = row.entry == AS_TOLD ? earlier_ms : later_ms;
                worker->born_ms = row.tells_start ? worker->born_ms : 0;
            }
            SetEntry(i, GetVersion(i), earlier_ms,
                     is_reader && row.is_leaving);
        }
    }

    /* All VMs learn an entry of worker `i`. */
    void
    SetEntry(int i, const char *software, int64_t born_ms, bool is_draining)
    {
        for (size_t vm = 0; vm < edges.size(); vm++) {
            FleetEntry entry = FindWorker(vm, (size_t)i)->entry;
            g_strlcpy(entry.version, software, sizeof(entry.version));
            entry.born_ms = born_ms;
            entry.draining = is_draining;
            entry.position.revision += 100;
            Fleet_SetEntry(Edge_GetFleet(edges[vm]), &entry, Clk_Now(&clk));
        }
    }

    /* All VMs learn that the entry of worker `i` is gone. */
    void
    RemoveEntry(int i)
    {
        for (size_t vm = 0; vm < edges.size(); vm++) {
            const FleetEntry *entry = &FindWorker(vm, (size_t)i)->entry;
            Pos position = entry->position;
            position.revision += 100;
            Fleet_RemoveEntry(Edge_GetFleet(edges[vm]), entry->id, position,
                              Clk_Now(&clk));
        }
    }

    /* The VMs learn all workers for the first time, as at their start. */
    void
    CompleteSweeps()
    {
        for (size_t vm = 0; vm < edges.size(); vm++) {
            Feed_BeginSweep(Edge_GetFeed(edges[vm]), 0);
            for (int i = 0; i < worker_count; i++) {
                const FleetEntry *entry = &FindWorker(vm, (size_t)i)->entry;
                Fleet_KeepEntry(Edge_GetFleet(edges[vm]), entry->id,
                                entry->position);
            }
            Feed_EndSweep(Edge_GetFeed(edges[vm]));
        }
    }

    bool
    HaveReadersToldTheirStarts() const
    {
        for (int i = 0; i < reader_count; i++) {
            if (workers[(size_t)i]->states == 0) {
                return false;
            }
        }
        return true;
    }
};

TEST(ResumedVersions, ResumptionsAfterAllVmsWereKilledInARelease)
{
    for (const LoadCase &row : load_cases) {
        SCOPED_TRACE(std::string(row.name) + ", " + std::to_string(row.vms) +
                     " VMs");
        LoadRig rig(row);
        rig.CompleteSweeps();
        for (int i = 0; i < reader_count && row.is_removed; i++) {
            rig.RemoveEntry(i);
        }
        if (row.entry == LATE) {
            for (int i = 0; i < 200 && !rig.HaveReadersToldTheirStarts();
                 i++) {
                rig.RunFor(10);
            }
            rig.RunFor(100);
            for (int i = 0; i < reader_count; i++) {
                rig.SetEntry(i, GetVersion(i, true), later_ms, row.is_leaving);
            }
        }
        rig.RunFor(1500);
        /* Prompts are replaced before the callers come back. */
        for (int i = 0; i < reader_count; i++) {
            rig.workers[(size_t)i]->kept_parts = {};
        }
        std::vector<Caller *> again;
        for (int i = 0; i < reader_count; i++) {
            again.push_back(rig.Call((size_t)(i % row.vms), Resumption(i)));
        }
        rig.RunFor(1500);
        int streamed = 0;
        int refused = 0;
        for (const Caller *caller : again) {
            streamed += caller->IsComplete() && caller->Status() == 200;
            refused += caller->IsComplete() && caller->Status() == 503;
        }
        EXPECT_EQ(streamed, row.goes_on ? reader_count : 0);
        EXPECT_EQ(refused, row.goes_on ? 0 : reader_count);
        for (int i = 0; i < worker_count; i++) {
            bool is_other = row.entry == LATE && i < reader_count;
            const auto &worker = rig.workers[(size_t)i];
            for (const std::string &text : worker->requests) {
                size_t at = text.find("aa:200,") + 7;
                int part = std::stoi(text.substr(at), nullptr, 16) - 0x1000;
                EXPECT_STREQ(GetVersion(i, is_other),
                             GetVersion(part, row.entry == LATE))
                    << "joins two versions";
            }
        }
    }
}

struct PriceCase {
    const char *name;
    bool is_leaving;
    int most_states; /* Questions of one VM for a worker's start. */
};

const PriceCase price_cases[] = {
    {"a connection is asked for its start once", false, 2},
    {"each answer of a leaving worker needs one question", true, 2},
};

TEST(ResumedVersions, SurveyAsksFewQuestions)
{
    for (const PriceCase &row : price_cases) {
        SCOPED_TRACE(row.name);
        LoadRig rig({row.name, 1, row.is_leaving, AS_TOLD, true});
        rig.CompleteSweeps();
        rig.RunFor(1500);
        for (const auto &worker : rig.workers) {
            EXPECT_EQ(worker->lists, 1);
            EXPECT_EQ(worker->changes, 1);
            EXPECT_GE(worker->states, 1);
            EXPECT_LE(worker->states, row.most_states);
        }
    }
}

} // namespace
