/* Tests that callers' resumptions go on in services and fleets of any size,
   and that asking for their software versions costs little. */
#include "fleet_rig.h"

namespace {

const Route resumable = {RTE_STREAM, 3, true, 15000};

/* Number of the own part of a prompt that worker `i` keeps. */
std::string
Part(int i)
{
    char text[16];
    snprintf(text, sizeof(text), "%x", 0x1000 + i);
    return text;
}

std::string
Prompt(const std::string &id, const std::string &part,
       const std::string &more = "")
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\n"
           "X-Prompt-Prefix: aa:200," +
           part + ":800\r\n" + more + "Content-Length: 1\r\n\r\nb";
}

/* The request with which a caller resumes `id` after event 2. */
std::string
Resumption(const std::string &id, const std::string &part,
           const std::string &suffix = "-again")
{
    return Prompt(id + suffix, part,
                  "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
}

/* The VM learns all workers for the first time, as at its start. */
void
CompleteSweep(Edge *edge)
{
    Fleet *fleet = Edge_GetFleet(edge);
    Feed_BeginSweep(Edge_GetFeed(edge), 0);
    for (guint i = 0; i < fleet->rows->len; i++) {
        auto *worker = (FleetWorker *)g_ptr_array_index(fleet->rows, i);
        Fleet_KeepEntry(fleet, worker->entry.id, worker->entry.position);
    }
    Feed_EndSweep(Edge_GetFeed(edge));
}

struct SizeCase {
    int vms;
    int workers;
    int most_lists; /* Of one worker. */
};

const SizeCase size_cases[] = {
    {1, 12, 1},  {3, 12, 3},  {1, 70, 1},  {3, 70, 3},
    {16, 12, 3}, {17, 12, 3}, {20, 70, 3},
};

/* All VMs were killed at once and start together. Soon afterwards new prompts
   replace the old ones in the workers' memory. */
TEST(ResumedAtSize, ResumptionsAfterAllVmsWereKilled)
{
    for (const SizeCase &row : size_cases) {
        SCOPED_TRACE(std::to_string(row.vms) + " VMs, " +
                     std::to_string(row.workers) + " workers");
        FleetRig rig(resumable, row.vms, 0);
        for (int i = 0; i < row.workers; i++) {
            rig.versions.push_back(i % 2 == 0 ? "v1" : "v2");
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa", Part(i)};
        }
        for (Edge *edge : rig.edges) {
            CompleteSweep(edge);
        }
        rig.RunFor(1500);
        for (const auto &worker : rig.workers) {
            EXPECT_GE(worker->lists, 1);
            EXPECT_LE(worker->lists, row.most_lists);
            EXPECT_LE(worker->changes, row.most_lists);
            worker->kept_parts = {};
        }
        std::vector<Caller *> again;
        for (int i = 0; i < row.workers; i++) {
            again.push_back(
                rig.Call((size_t)(i % row.vms),
                         Resumption("id-" + std::to_string(i), Part(i))));
        }
        rig.RunFor(1500);
        int streamed = 0;
        for (const Caller *caller : again) {
            streamed += caller->IsComplete() && caller->Status() == 200;
        }
        EXPECT_EQ(streamed, row.workers);
        for (int i = 0; i < row.workers; i++) {
            for (const std::string &text : rig.workers[(size_t)i]->requests) {
                size_t at = text.find("aa:200,") + 7;
                int part = std::stoi(text.substr(at), nullptr, 16) - 0x1000;
                EXPECT_EQ(part % 2, i % 2) << "joins two versions";
            }
        }
    }
}

/* A VM that has heard no other one yet is not the only one. */
TEST(ResumedAtSize, WorkersAreAskedByFewVmsIfTheSeedStartsLast)
{
    const int kWorkers = 24;
    for (int vms : {9, 20}) {
        SCOPED_TRACE(std::to_string(vms) + " VMs");
        FleetRig rig(resumable, 0, 0);
        uint16_t seed_port = rig.ReserveSeed();
        for (int i = 0; i < kWorkers; i++) {
            rig.versions.push_back(i % 2 == 0 ? "v1" : "v2");
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa", Part(i)};
        }
        for (int vm = 1; vm < vms; vm++) {
            rig.AddVm();
            CompleteSweep(rig.edges.back());
        }
        rig.RunFor(600);
        rig.AddVm(seed_port);
        CompleteSweep(rig.edges.back());
        rig.RunFor(1200);
        for (const auto &worker : rig.workers) {
            EXPECT_GE(worker->lists, 1);
            EXPECT_LE(worker->lists, 3);
        }
        int streamed = 0;
        std::vector<Caller *> again;
        for (int i = 0; i < kWorkers; i++) {
            again.push_back(
                rig.Call((size_t)(i % vms),
                         Resumption("id-" + std::to_string(i), Part(i))));
        }
        rig.RunFor(1500);
        for (const Caller *caller : again) {
            streamed += caller->IsComplete() && caller->Status() == 200;
        }
        EXPECT_EQ(streamed, kWorkers);
    }
}

/* New prompts have replaced the old one before any VM asks for it. */
TEST(ResumedAtSize, ResumptionOfAPromptThatWasReplaced)
{
    for (int vms : {1, 3, 20}) {
        SCOPED_TRACE(std::to_string(vms) + " VMs");
        FleetRig rig(resumable, vms, 0);
        for (int i = 0; i < 8; i++) {
            rig.versions.push_back(i % 2 == 0 ? "v1" : "v2");
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa"};
            rig.workers.back()->replaced_parts = {Part(i)};
        }
        for (Edge *edge : rig.edges) {
            CompleteSweep(edge);
        }
        rig.RunFor(1500);
        int streamed = 0;
        for (int i = 0; i < 8; i++) {
            Caller *again =
                rig.Call((size_t)(i % vms),
                         Resumption("id-" + std::to_string(i), Part(i)));
            rig.RunFor(500);
            streamed += again->IsComplete() && again->Status() == 200;
        }
        EXPECT_EQ(streamed, 8);
        for (int i = 0; i < 8; i++) {
            for (const std::string &text : rig.workers[(size_t)i]->requests) {
                size_t at = text.find("aa:200,") + 7;
                int part = std::stoi(text.substr(at), nullptr, 16) - 0x1000;
                EXPECT_EQ(part % 2, i % 2) << "joins two versions";
            }
        }
    }
}

/* Returns how often workers were asked what changed. */
int
CountChanges(const FleetRig &rig)
{
    int count = 0;
    for (const auto &worker : rig.workers) {
        count += worker->changes;
    }
    return count;
}

struct AgeCase {
    int vms;
    int age_ms; /* Of the last survey as the caller comes back. */
    bool goes_on;
};

const AgeCase age_cases[] = {
    {1, 20, true},   {3, 20, true},  {20, 20, true},
    {20, 250, true}, {3, 20, false}, {20, 20, false},
};

/* Callers resume streams that began after the last survey. The next one
   follows after an interval only. */
TEST(ResumedAtSize, ResumptionsWaitForTheNextSurvey)
{
    const int kWorkers = 8;
    for (const AgeCase &row : age_cases) {
        SCOPED_TRACE(std::to_string(row.vms) + " VMs, " +
                     std::to_string(row.age_ms) + " ms after a survey");
        FleetRig rig(resumable, row.vms, 0);
        for (int i = 0; i < kWorkers; i++) {
            rig.versions.push_back(i % 2 == 0 ? "v1" : "v2");
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa"};
        }
        for (Edge *edge : rig.edges) {
            CompleteSweep(edge);
        }
        rig.RunFor(1500);
        rig.Call(0, Resumption("unknown", Part(kWorkers)));
        int before = CountChanges(rig);
        for (int i = 0; i < 200 && CountChanges(rig) == before; i++) {
            rig.RunFor(2);
        }
        EXPECT_GT(CountChanges(rig), before);
        rig.RunFor(row.age_ms);
        for (int i = 0; i < kWorkers && row.goes_on; i++) {
            rig.workers[(size_t)i]->replaced_parts = {Part(i)};
        }
        std::vector<Caller *> again;
        for (int i = 0; i < kWorkers; i++) {
            again.push_back(
                rig.Call((size_t)(i % row.vms),
                         Resumption("id-" + std::to_string(i), Part(i))));
        }
        rig.RunFor(1500);
        int streamed = 0;
        int refused = 0;
        for (const Caller *caller : again) {
            streamed += caller->IsComplete() && caller->Status() == 200;
            refused += caller->IsComplete() && caller->Status() == 503;
        }
        EXPECT_EQ(streamed, row.goes_on ? kWorkers : 0);
        EXPECT_EQ(refused, row.goes_on ? 0 : kWorkers);
        for (int i = 0; i < kWorkers; i++) {
            for (const std::string &text : rig.workers[(size_t)i]->requests) {
                size_t at = text.find("aa:200,") + 7;
                int part = std::stoi(text.substr(at), nullptr, 16) - 0x1000;
                EXPECT_EQ(part % 2, i % 2) << "joins two versions";
            }
        }
    }
}

struct FetchCase {
    const char *name;
    bool is_full; /* The worker that has read the prompt takes no more. */
    bool is_gone;
    bool is_blocked;   /* It has not responded in time. */
    const char *first; /* What reaches worker 0, which has read the prompt. */
    const char *other; /* What reaches worker 1. */
};

const FetchCase fetch_cases[] = {
    {"it has room", false, false, false, "", nullptr},
    {"it is full", true, false, false, nullptr, "Kv-Fetch: "},
    {"it is gone", false, true, false, nullptr, ""},
    {"it does not respond", true, false, true, nullptr, ""},
};

/* The prompt of a resumed stream is not read twice. */
TEST(ResumedAtSize, ResumedStreamFetchesItsPromptFromTheWorkerThatReadIt)
{
    for (const FetchCase &row : fetch_cases) {
        SCOPED_TRACE(row.name);
        FleetRig rig(resumable, 1, 0);
        rig.versions = {"v1", "v1", "v2"};
        for (int i = 0; i < 3; i++) {
            rig.AddWorker({Stream(3, 9)});
            rig.workers.back()->kept_parts = {"aa"};
        }
        rig.workers[0]->kept_parts = {"aa", Part(0)};
        CompleteSweep(rig.edges[0]);
        rig.RunFor(800);
        FleetWorker *reader = rig.FindWorker(0, 0);
        int64_t now_us = Clk_Now(&rig.clk);
        if (row.is_full) {
            reader->full_until_us = now_us + 10 * CLK_US_PER_S;
        }
        if (row.is_blocked) {
            Health_NoteUnresponsive(&reader->health, now_us);
        }
        if (row.is_gone) {
            rig.RemoveWorker(0);
        }
        Caller *again = rig.Call(0, Resumption("id-1", Part(0)));
        rig.RunFor(500);
        EXPECT_TRUE(again->IsComplete());
        EXPECT_EQ(again->Status(), 200);
        const char *expected[] = {row.first, row.other, nullptr};
        for (size_t i = 0; i < 3; i++) {
            const auto &requests = rig.workers[i]->requests;
            EXPECT_EQ(requests.size(), expected[i] != nullptr ? 1u : 0u) << i;
            if (expected[i] == nullptr || requests.empty()) {
                continue;
            }
            std::string fetch =
                *expected[i] != '\0'
                    ? expected[i] + rig.workers[0]->address + "\r\n"
                    : "Host: ";
            EXPECT_NE(requests[0].find(fetch), std::string::npos);
            EXPECT_EQ(requests[0].find("Kv-Fetch: ") != std::string::npos,
                      *expected[i] != '\0');
        }
    }
}

/* The worker that has read the prompt fails during the run: it may have been
   started again, and keeps nothing then. */
TEST(ResumedAtSize, NothingIsFetchedFromAWorkerThatFailed)
{
    FleetRig rig(resumable, 1, 0);
    rig.versions = {"v1", "v1", "v2"};
    rig.AddWorker({{StreamHead("Transfer-Encoding: chunked\r\n") +
                    Chunk(Events(3, 5))}});
    rig.AddWorker({Stream(6, 9)});
    rig.AddWorker({Stream(3, 9)});
    for (auto &worker : rig.workers) {
        worker->kept_parts = {"aa"};
    }
    rig.workers[0]->kept_parts = {"aa", Part(0)};
    CompleteSweep(rig.edges[0]);
    rig.RunFor(800);
    Caller *again = rig.Call(0, Resumption("id-1", Part(0)));
    rig.RunFor(100);
    ASSERT_EQ(rig.workers[0]->requests.size(), 1u);
    rig.workers[0]->CloseAll();
    rig.RunFor(500);
    EXPECT_TRUE(again->IsComplete());
    ASSERT_EQ(rig.workers[1]->requests.size(), 1u);
    EXPECT_EQ(rig.workers[1]->requests[0].find("Kv-Fetch: "),
              std::string::npos);
}

/* The workers crashed, so that they keep nothing, and the VM that began the
   stream is gone. Any other VM finds the record. */
TEST(ResumedAtSize, RecordIsFoundFromEachVmAfterWorkersCrashed)
{
    for (int vms : {3, 20}) {
        SCOPED_TRACE(std::to_string(vms) + " VMs");
        FleetRig rig(resumable, vms, 0);
        rig.versions = {"v1", "v2"};
        std::vector<ScriptedReply> replies(
            1, {StreamHead("Transfer-Encoding: chunked\r\n") +
                Chunk(Events(0, 2))});
        replies.insert(replies.end(), (size_t)vms, Stream(3, 9));
        rig.AddWorker(replies);
        rig.RunFor(1500);
        Caller *caller = rig.Call(1, Prompt("id-1", "b1"));
        rig.RunFor(500);
        ASSERT_NE(caller->text.find("id: 2\n"), std::string::npos);
        rig.AddWorker(std::vector<ScriptedReply>((size_t)vms, Stream(3, 9)));
        caller->Disconnect();
        rig.KillVm(1);
        int streamed = 0;
        for (int vm = 0; vm < vms; vm++) {
            if (vm == 1) {
                continue;
            }
            Caller *again =
                rig.Call((size_t)vm,
                         Resumption("id-1", "b1", "-" + std::to_string(vm)));
            rig.RunFor(600);
            streamed += again->IsComplete() && again->Status() == 200;
        }
        EXPECT_EQ(streamed, vms - 1);
        EXPECT_TRUE(rig.workers[1]->requests.empty());
    }
}

/* The workers keep prompts from before the VM started. A new one would replace
   them. */
TEST(ResumedAtSize, NewPromptsWaitUntilOldOnesAreNamed)
{
    FleetRig rig({RTE_STREAM, 3, true, 15000, 900}, 1, 0);
    rig.versions = {"v1"};
    rig.AddWorker({Stream(0, 9)});
    rig.workers[0]->kept_parts = {"aa", Part(0)};
    CompleteSweep(rig.edges[0]);
    const Caller *fresh = rig.Call(0, Prompt("id-1", Part(1)));
    int64_t end_us = Clk_Now(&rig.clk) + CLK_US_PER_S;
    while (rig.workers[0]->requests.empty() && Clk_Now(&rig.clk) < end_us) {
        rig.RunFor(2);
    }
    EXPECT_EQ(rig.workers[0]->lists, 1);
    EXPECT_EQ(rig.workers[0]->changes, 1);
    rig.RunFor(200);
    EXPECT_EQ(fresh->Status(), 200) << fresh->text;
}

/* A worker that says nothing holds new streams up for a part of their latency
   objective only. */
TEST(ResumedAtSize, NewPromptsDoNotWaitForASilentWorker)
{
    FleetRig rig({RTE_STREAM, 3, true, 15000, 900}, 1, 0);
    rig.versions = {"v1", "v1"};
    rig.AddWorker({Stream(0, 9)});
    rig.AddWorker({});
    rig.workers[1]->is_silent = true;
    rig.AddLoad(1, 6);
    CompleteSweep(rig.edges[0]);
    const Caller *fresh = rig.Call(0, Prompt("id-1", Part(1)));
    rig.RunFor(600);
    EXPECT_EQ(fresh->Status(), 200) << fresh->text;
}

/* Later questions, for a resumption, hold no new stream up. */
TEST(ResumedAtSize, NewPromptsDoNotWaitForLaterQuestions)
{
    FleetRig rig({RTE_STREAM, 3, true, 15000, 900}, 1, 0);
    rig.versions = {"v1", "v2"};
    rig.AddWorker({Stream(0, 9)});
    rig.AddWorker({});
    CompleteSweep(rig.edges[0]);
    rig.RunFor(600);
    rig.workers[1]->is_silent = true;
    rig.AddLoad(1, 6);
    rig.Call(0, Resumption("id-0", Part(0)));
    rig.RunFor(100);
    const Caller *fresh = rig.Call(0, Prompt("id-1", Part(1)));
    rig.RunFor(100);
    EXPECT_EQ(fresh->Status(), 200) << fresh->text;
}

} // namespace
