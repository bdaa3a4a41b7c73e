/* Tests of changes beside requests: a request that the gate has read gets one
   complete answer or one refusal, whatever changes while it is in progress. */
#include "gate_rig.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace {

const int MANY = 100000;
/* A wait for capacity must outlast the silence of the workers. */
const int SLO_MS = 1600;
const int TIMEOUT_MS = 3000;
const int64_t PATIENCE_US = 8 * CLK_US_PER_S;

/* Replaces all occurrences of a part of a text. */
std::string
Replace(std::string text, const std::string &from, const std::string &to)
{
    for (size_t at = 0; (at = text.find(from, at)) != std::string::npos;
         at += to.size()) {
        text.replace(at, from.size(), to);
    }
    return text;
}

struct Received {
    int status;
    std::string body; /* Without the framing of chunks. */
};

/* Returns the complete answers in the bytes that a caller got. `rest` is what
   follows them. */
std::vector<Received>
ReadAnswers(const std::string &text, std::string *rest)
{
    std::vector<Received> answers;
    size_t at = 0;
    while (at < text.size()) {
        size_t body = text.find("\r\n\r\n", at);
        if (body == std::string::npos) {
            break;
        }
        Received answer = {std::stoi(text.substr(at + 9, 3)), ""};
        body += 4;
        size_t length = text.find("Content-Length: ", at);
        size_t end = body;
        if (length < body) {
            end += std::stoul(text.substr(length + 16));
            if (end > text.size()) {
                break;
            }
            answer.body = text.substr(body, end - body);
        }
        else {
            size_t size = 0;
            do {
                size_t line = text.find("\r\n", end);
                if (line == std::string::npos) {
                    break;
                }
                size = std::stoul(text.substr(end), nullptr, 16);
                if (line + 2 + size + 2 > text.size()) {
                    size = 1;
                    break;
                }
                answer.body += text.substr(line + 2, size);
                end = line + 2 + size + 2;
            } while (size > 0);
            if (size > 0 || end == body) {
                break;
            }
        }
        answers.push_back(answer);
        at = end;
    }
    *rest = text.substr(at);
    return answers;
}

/* A configuration as the store has it. The defaults are those of the rig. */
struct Config {
    std::string kind = "stream";
    bool can_resume = false;
    int attempts = 2;
    int timeout_ms = TIMEOUT_MS;
    int slo_ms = SLO_MS;
    std::string prefix = "/r/";
    std::string backends = "{\"service\":\"svc\",\"weight\":1}";
    std::string services = "svc";
    std::string limits;
};

std::string
FormatService(const std::string &name)
{
    return "{\"name\":\"" + name +
           "\",\"engine\":{\"kv-tokens\":60000,\"stride\":1,\"hold-ms\":2000,"
           "\"handle-ttl-s\":60}}";
}

std::string
FormatConfig(const Config &config, int version)
{
    std::string services = FormatService("other");
    if (!config.services.empty()) {
        services += "," + FormatService(config.services);
    }
    return "{\"version\":" + std::to_string(version) + ",\"limits\":{" +
           config.limits + "},\"services\":[" + services +
           "],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":\"" +
           config.prefix + "\",\"kind\":\"" + config.kind +
           "\",\"timeout-ms\":" + std::to_string(config.timeout_ms) +
           ",\"latency-slo-ms\":" + std::to_string(config.slo_ms) +
           ",\"attempts\":" + std::to_string(config.attempts) +
           ",\"can-resume\":" + (config.can_resume ? "true" : "false") +
           ",\"backends\":[" + config.backends + "]}]}";
}

/* A rig whose configuration and workers change. */
class ChangingRig : public GateRig {
  public:
    void
    Apply(const Config &config)
    {
        std::string text = FormatConfig(config, ++version);
        Feed_ApplyConfig(Edge_GetFeed(edge), text.data(), text.size());
        EXPECT_EQ(Gate_GetTable(Edge_GetGate(edge))->version,
                  (uint64_t)version);
    }

    /* Changes the entries of all workers of the service "svc". */
    void
    ChangeEntries(void (*change)(Fleet *, FleetWorker *, int64_t))
    {
        Fleet *fleet = Edge_GetFleet(edge);
        std::vector<FleetWorker *> listed;
        for (guint i = 0; i < fleet->rows->len; i++) {
            FleetWorker *worker =
                (FleetWorker *)g_ptr_array_index(fleet->rows, i);
            if (strcmp(worker->entry.service, "svc") == 0) {
                listed.push_back(worker);
            }
        }
        for (FleetWorker *worker : listed) {
            change(fleet, worker, Clk_Now(&clk));
        }
    }

    /* Adds a worker of the service "other". */
    Worker *
    AddOther(FleetPhase phase, const ScriptedReply &reply)
    {
        Worker *worker = AddWorker({reply}, phase);
        FleetEntry entry = last_worker->entry;
        g_strlcpy(entry.service, "other", sizeof(entry.service));
        entry.position.revision = 1000;
        Fleet_SetEntry(Edge_GetFleet(edge), &entry, Clk_Now(&clk));
        return worker;
    }

    void
    Turn()
    {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }

    Config config; /* The one that is changed. */
    int version = 1;
};

/* Turns the loops of all rigs until the condition holds, or for the time of a
   failing test. */
bool
TurnUntil(const std::vector<ChangingRig *> &rigs,
          const std::function<bool()> &condition)
{
    int64_t end_us = g_get_monotonic_time() + PATIENCE_US;
    while (!condition()) {
        if (g_get_monotonic_time() > end_us) {
            return false;
        }
        for (ChangingRig *rig : rigs) {
            rig->Turn();
        }
        usleep(200);
    }
    return true;
}

void
TurnFor(const std::vector<ChangingRig *> &rigs, int ms)
{
    int64_t end_us = g_get_monotonic_time() + (int64_t)ms * CLK_US_PER_MS;
    TurnUntil(rigs, [&] { return g_get_monotonic_time() >= end_us; });
}

/* A change of what the gate knows, or a signal to its process. */
struct ChangeCase {
    const char *name;
    void (*apply)(ChangingRig *rig);
    bool is_stop = false;
    /* Nothing may run any more, so that a stream which its worker has broken
       off can't go on. */
    bool ends_broken = false;
    /* The route's timeout of a request that begins after the change is over
       at once. */
    bool is_timeout_over = false;
};

void
DrainEntry(Fleet *fleet, FleetWorker *worker, int64_t now_us)
{
    FleetEntry entry = worker->entry;
    entry.draining = true;
    entry.position.revision = 99;
    Fleet_SetEntry(fleet, &entry, now_us);
}

void
RemoveEntry(Fleet *fleet, FleetWorker *worker, int64_t now_us)
{
    Fleet_RemoveEntry(fleet, worker->entry.id, {0, 99},
                      now_us - 60 * CLK_US_PER_S);
    Fleet_Prune(fleet, now_us);
}

const char small_limits[] = "\"header-bytes\":1,\"body-bytes\":0,"
                            "\"header-ms\":1,\"idle-ms\":1";

const ChangeCase change_cases[] = {
    {"none", [](ChangingRig *) {}},
    {"timeout below what has passed",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.timeout_ms = 1;
         config.slo_ms = 1;
         rig->Apply(config);
     },
     false, false, true},
    {"route gone",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.prefix = "/elsewhere/";
         rig->Apply(config);
     }},
    {"service swapped",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.services = "";
         config.backends = "{\"service\":\"other\",\"weight\":1}";
         rig->Apply(config);
     }},
    {"weights changed",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.backends = "{\"service\":\"svc\",\"weight\":0},"
                           "{\"service\":\"other\",\"weight\":9}";
         rig->Apply(config);
     }},
    {"attempts lowered",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.attempts = 1;
         config.can_resume = false;
         rig->Apply(config);
     }},
    {"kind changed",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.kind = config.kind == "stream" ? "idempotent" : "stream";
         rig->Apply(config);
     }},
    {"limits lowered",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.limits = small_limits;
         rig->Apply(config);
     }},
    {"40 versions at once",
     [](ChangingRig *rig) {
         Config config = rig->config;
         for (int i = 0; i < 20; i++) {
             config.prefix = "/elsewhere/";
             config.limits = small_limits;
             rig->Apply(config);
             rig->Apply(rig->config);
         }
     }},
    {"planned stop",
     [](ChangingRig *rig) { Edge_BeginShutdown(rig->edge, 0); }, true, true},
    {"planned stop, then route gone and entries drain",
     [](ChangingRig *rig) {
         Config config = rig->config;
         Edge_BeginShutdown(rig->edge, 0);
         config.prefix = "/elsewhere/";
         rig->Apply(config);
         rig->ChangeEntries(DrainEntry);
     },
     true, true},
    {"retry budget and seeds of a reload",
     [](ChangingRig *rig) {
         BudgetOptions budget = Budget_DefaultOptions();
         budget.ratio = 0;
         budget.slack = 0;
         Edge_SetBudget(rig->edge, &budget);
         Edge_SetSeeds(rig->edge, nullptr, 0);
     },
     false, true},
    {"entries drain", [](ChangingRig *rig) { rig->ChangeEntries(DrainEntry); },
     false, true},
    {"entries gone", [](ChangingRig *rig) { rig->ChangeEntries(RemoveEntry); },
     false, true},
    {"limits, service and entries at once",
     [](ChangingRig *rig) {
         Config config = rig->config;
         config.services = "";
         config.backends = "{\"service\":\"other\",\"weight\":1}";
         config.limits = small_limits;
         config.timeout_ms = 1;
         rig->Apply(config);
         rig->ChangeEntries(RemoveEntry);
     },
     false, true, true},
};

/* Where a request is when the change comes. */
enum Stage {
    STAGE_PLAIN,   /* A plain call is at the worker. */
    STAGE_WAITING, /* No decode worker has memory. */
    STAGE_RESERVING,
    STAGE_PREFILL,
    STAGE_SENT,   /* The run is at the worker, which has sent nothing. */
    STAGE_HEADER, /* The header has come, and no event. */
    STAGE_EVENTS, /* Some events have come. */
    STAGE_BROKEN, /* The worker has broken off; no other has memory. */
};

struct StageCase {
    const char *name;
    Stage stage;
    const char *kind;
    bool can_resume;
};

const StageCase stage_cases[] = {
    {"plain, idempotent", STAGE_PLAIN, "idempotent", false},
    {"plain, not idempotent", STAGE_PLAIN, "non_idempotent", false},
    {"stream waits for capacity", STAGE_WAITING, "stream", false},
    {"stream at its reservation", STAGE_RESERVING, "stream", false},
    {"stream at its prefill", STAGE_PREFILL, "stream", false},
    {"stream sent", STAGE_SENT, "stream", false},
    {"stream after its header", STAGE_HEADER, "stream", false},
    {"stream in its events", STAGE_EVENTS, "stream", false},
    {"resumable stream at its prefill", STAGE_PREFILL, "stream", true},
    {"resumable stream sent", STAGE_SENT, "stream", true},
    {"resumable stream after its header", STAGE_HEADER, "stream", true},
    {"resumable stream in its events", STAGE_EVENTS, "stream", true},
    {"broken stream waits to resume", STAGE_BROKEN, "stream", true},
};

const std::string chunked_head = StreamHead("Transfer-Encoding: chunked\r\n");
const std::string last_events = Chunk(Events(3, 9)) + "0\r\n\r\n";

/* One request at one stage, with its own gate and workers. */
class ChangedRequest {
  public:
    explicit ChangedRequest(const StageCase &row) : row_(row)
    {
        bool is_stream = row.stage != STAGE_PLAIN;
        rig.config.kind = row.kind;
        rig.config.can_resume = row.can_resume;
        rig.SetRoute(
            {row.stage == STAGE_PLAIN
                 ? (strcmp(row.kind, "idempotent") == 0 ? RTE_IDEMPOTENT
                                                        : RTE_NON_IDEMPOTENT)
                 : RTE_STREAM,
             2, row.can_resume, TIMEOUT_MS, SLO_MS},
            is_stream);
        FleetPhase phase = is_stream ? FLEET_PHASE_DECODE : FLEET_PHASE_NONE;
        ScriptedReply reply = {""};
        if (row.stage == STAGE_HEADER) {
            reply.bytes = chunked_head;
        }
        else if (row.stage == STAGE_EVENTS || row.stage == STAGE_BROKEN) {
            reply.bytes = chunked_head + Chunk(Events(0, 2));
        }
        else if (is_stream && row.stage != STAGE_SENT) {
            reply = Stream(0, 9);
        }
        if (row.stage == STAGE_PREFILL) {
            prefill_ = rig.AddWorker({{""}}, FLEET_PHASE_PREFILL);
        }
        worker_ = rig.AddWorker({reply, Stream(3, 9)}, phase);
        if (row.stage == STAGE_WAITING) {
            worker_->refusals = MANY;
        }
        worker_->holds_reservations = row.stage == STAGE_RESERVING;
        other_ = rig.AddOther(phase, is_stream ? Stream(0, 9) : Ok());
        caller_ = rig.Call(
            Request("POST", is_stream ? "X-Token-Usage: 1000,100\r\n" : ""));
    }

    bool
    IsAtStage()
    {
        switch (row_.stage) {
        case STAGE_WAITING:
            return worker_->refusals < MANY;
        case STAGE_RESERVING:
            return !worker_->reservation.empty();
        case STAGE_PREFILL:
            return prefill_->requests.size() == 1;
        case STAGE_EVENTS:
            return HasEvent(2);
        case STAGE_BROKEN:
            if (second_ == nullptr && HasEvent(2)) {
                second_ = rig.AddWorker({Stream(3, 9)}, FLEET_PHASE_DECODE);
                second_->refusals = MANY;
                worker_->CloseAll();
            }
            return second_ != nullptr && second_->refusals < MANY;
        case STAGE_HEADER:
            /* The gate must have read the header too. */
            turns_ += worker_->requests.size() == 1;
            return turns_ > 20;
        default:
            return worker_->requests.size() == 1;
        }
    }

    /* The worker goes on as usual. */
    void
    Answer()
    {
        switch (row_.stage) {
        case STAGE_PLAIN:
            worker_->SendToAll(Replace(Ok("done").bytes, "%ID", "id-1"));
            break;
        case STAGE_WAITING:
            worker_->refusals = 0;
            break;
        case STAGE_RESERVING:
            worker_->GrantReservations();
            break;
        case STAGE_PREFILL:
            prefill_->SendToAll(Replace(PrefillReply().bytes, "%ID", "id-1"));
            break;
        case STAGE_SENT:
            worker_->SendToAll(Replace(Stream(0, 9).bytes, "%ID", "id-1"));
            break;
        case STAGE_HEADER:
            worker_->SendToAll(Chunk(Events(0, 2)) + last_events);
            break;
        case STAGE_EVENTS:
            worker_->SendToAll(last_events);
            break;
        case STAGE_BROKEN:
            second_->refusals = 0;
            break;
        }
    }

    bool
    IsDone() const
    {
        return caller_->IsComplete() || caller_->closed;
    }

    void
    Check(const ChangeCase &change)
    {
        std::string rest;
        std::vector<Received> answers = ReadAnswers(caller_->text, &rest);
        int runs = 0;
        bool is_sent = row_.stage != STAGE_WAITING &&
                       row_.stage != STAGE_RESERVING &&
                       row_.stage != STAGE_PREFILL;
        if (row_.stage == STAGE_BROKEN && change.ends_broken &&
            answers.empty()) {
            EXPECT_TRUE(caller_->closed);
            return;
        }
        for (const auto &worker : rig.workers) {
            for (const std::string &request : worker->requests) {
                runs += request.find("POST /r/x") == 0 &&
                        request.find("X-Stage: prefill") == std::string::npos;
            }
        }
        ASSERT_EQ(answers.size(), 1u)
            << "closed: " << caller_->closed << " text: " << caller_->text;
        EXPECT_EQ(rest, "");
        EXPECT_TRUE(other_->requests.empty());
        EXPECT_LE(runs, row_.stage == STAGE_BROKEN ? 2 : 1);
        if (answers[0].status == 503 && !is_sent) {
            EXPECT_EQ(runs, 0) << caller_->text;
            return;
        }
        EXPECT_EQ(answers[0].status, 200) << caller_->text;
        EXPECT_EQ(answers[0].body,
                  row_.stage == STAGE_PLAIN ? "done" : Events(0, 9));
    }

    ChangingRig rig;

  private:
    bool
    HasEvent(int id) const
    {
        return caller_->text.find(Events(id, id)) != std::string::npos;
    }

    const StageCase &row_;
    Worker *worker_;
    Worker *prefill_ = nullptr;
    Worker *second_ = nullptr;
    Worker *other_;
    Caller *caller_;
    int turns_ = 0;
};

/* Changes in one batch: each has a gate for each stage. */
const size_t BATCH_SIZE = 4;

class GateChange : public testing::TestWithParam<int> {};

/* The parameter is the time for which the worker is silent at the change, ms.
 */
TEST_P(GateChange, EachRequestGetsOneAnswer)
{
    const size_t count = G_N_ELEMENTS(change_cases);
    for (size_t first = 0; first < count; first += BATCH_SIZE) {
        struct Row {
            const ChangeCase *change;
            const StageCase *stage;
            std::unique_ptr<ChangedRequest> request;
        };
        std::vector<Row> rows;
        std::vector<ChangingRig *> rigs;
        for (size_t i = first; i < MIN(first + BATCH_SIZE, count); i++) {
            for (const StageCase &stage : stage_cases) {
                rows.push_back({&change_cases[i], &stage,
                                std::make_unique<ChangedRequest>(stage)});
                rigs.push_back(&rows.back().request->rig);
            }
        }
        bool at_stage = TurnUntil(rigs, [&] {
            bool all = true;
            for (Row &row : rows) {
                all = row.request->IsAtStage() && all;
            }
            return all;
        });
        ASSERT_TRUE(at_stage);
        int64_t answer_us =
            g_get_monotonic_time() + GetParam() * CLK_US_PER_MS;
        for (Row &row : rows) {
            row.change->apply(&row.request->rig);
        }
        TurnUntil(rigs, [&] { return g_get_monotonic_time() >= answer_us; });
        for (Row &row : rows) {
            row.request->Answer();
        }
        TurnUntil(rigs, [&] {
            bool all = true;
            for (Row &row : rows) {
                all = row.request->IsDone() && all;
            }
            return all;
        });
        TurnFor(rigs, 10); /* A second answer must not follow. */
        for (Row &row : rows) {
            SCOPED_TRACE(std::string(row.stage->name) +
                         "; change: " + row.change->name);
            row.request->Check(*row.change);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Silence, GateChange, testing::Values(0, 700));

/* Checks the answer to a request that begins, or is read, after the change. */
void
CheckBegunAfter(const ChangeCase &change, const Received &answer,
                const std::string &text)
{
    switch (answer.status) {
    case 200:
    case 404:
    case 408:
    case 413:
    case 431:
    case 503:
        break;
    default:
        EXPECT_TRUE(change.is_timeout_over) << text;
        EXPECT_EQ(answer.status, 504) << text;
    }
}

/* Two requests on one connection, sent at once: the second waits behind the
   first when the change comes. */
struct PipelineCase {
    const char *name;
    const char *kind;
};

const PipelineCase pipeline_cases[] = {
    {"behind a plain call", "non_idempotent"},
    {"behind a stream", "stream"},
};

/* `is_stop`: with the changes that are planned stops, or with all others. */
void
CheckPipelined(bool is_stop)
{
    struct Row {
        std::string name;
        std::unique_ptr<ChangingRig> rig;
        bool is_stream;
        const ChangeCase *change;
        Worker *worker;
        Caller *caller;
        std::vector<Received> answers;
    };
    std::vector<Row> rows;
    std::vector<ChangingRig *> rigs;
    for (const PipelineCase &pipeline : pipeline_cases) {
        for (const ChangeCase &change : change_cases) {
            if (change.is_stop != is_stop) {
                continue;
            }
            bool is_stream = strcmp(pipeline.kind, "stream") == 0;
            FleetPhase phase =
                is_stream ? FLEET_PHASE_DECODE : FLEET_PHASE_NONE;
            ScriptedReply first = {
                is_stream ? chunked_head + Chunk(Events(0, 2)) : ""};
            ScriptedReply second = is_stream ? Stream(0, 9) : Ok("second");
            Row row = {std::string(pipeline.name) + "; change: " + change.name,
                       std::make_unique<ChangingRig>(),
                       is_stream,
                       &change,
                       nullptr,
                       nullptr,
                       {}};
            row.rig->config.kind = pipeline.kind;
            row.rig->config.slo_ms = SLO_MS / 4;
            row.rig->SetRoute({is_stream ? RTE_STREAM : RTE_NON_IDEMPOTENT, 1,
                               false, TIMEOUT_MS, SLO_MS / 4},
                              is_stream);
            row.worker = row.rig->AddWorker({first, second}, phase);
            row.rig->AddOther(phase, second);
            std::string request =
                Request("POST", "X-Token-Usage: 1000,100\r\n");
            row.caller =
                row.rig->Call(request + Replace(request, "id-1", "id-2"));
            rigs.push_back(row.rig.get());
            rows.push_back(std::move(row));
        }
    }
    bool at_worker = TurnUntil(rigs, [&] {
        bool all = true;
        for (Row &row : rows) {
            all = all && row.worker->requests.size() == 1 &&
                  (!row.is_stream ||
                   row.caller->text.find(Events(2, 2)) != std::string::npos);
        }
        return all;
    });
    ASSERT_TRUE(at_worker);
    for (Row &row : rows) {
        row.change->apply(row.rig.get());
        row.worker->SendToAll(row.is_stream
                                  ? last_events
                                  : Replace(Ok("first").bytes, "%ID", "id-1"));
    }
    std::string rest;
    TurnUntil(rigs, [&] {
        bool all = true;
        for (Row &row : rows) {
            row.answers = ReadAnswers(row.caller->text, &rest);
            all = all && (row.caller->closed ||
                          (row.answers.size() == 2 && !is_stop));
        }
        return all;
    });
    for (Row &row : rows) {
        SCOPED_TRACE(row.name);
        EXPECT_EQ(row.answers.size(), 2u)
            << "closed: " << row.caller->closed << " " << row.caller->text;
        ASSERT_GE(row.answers.size(), 1u);
        EXPECT_EQ(row.answers[0].status, 200);
        EXPECT_EQ(row.answers[0].body, row.is_stream ? Events(0, 9) : "first");
        if (row.answers.size() == 2) {
            CheckBegunAfter(*row.change, row.answers[1], row.caller->text);
        }
        if (is_stop) {
            /* Only the last answer announces the close. */
            EXPECT_TRUE(row.caller->closed);
            size_t close = row.caller->text.find("Connection: close\r\n");
            EXPECT_NE(close, std::string::npos) << row.caller->text;
            EXPECT_GT(close, row.caller->text.rfind("HTTP/1.1 "))
                << row.caller->text;
        }
    }
}

TEST(GateChange, PipelinedRequestIsAnswered)
{
    CheckPipelined(false);
}

/* A request that has reached the gate behind another one is not lost because
   the process is to stop. */
TEST(GateChange, PipelinedRequestIsAnsweredAtAStop)
{
    CheckPipelined(true);
}

/* A request that a caller sends after its connection's close was announced is
   not processed. */
TEST(GateChange, RequestAfterAnAnnouncedCloseIsNotRun)
{
    ChangingRig rig;
    rig.SetRoute({RTE_STREAM, 1, false, TIMEOUT_MS, SLO_MS / 4}, true);
    Worker *worker = rig.AddWorker({{""}, Stream(0, 9)}, FLEET_PHASE_DECODE);
    std::string request = Request("POST", "X-Token-Usage: 1000,100\r\n");
    Caller *caller = rig.Call(request);
    ASSERT_TRUE(rig.Until([&] { return worker->requests.size() == 1; }));
    Edge_BeginShutdown(rig.edge, 0);
    worker->SendToAll(
        Replace(chunked_head + Chunk(Events(0, 2)), "%ID", "id-1"));
    ASSERT_TRUE(rig.Until(
        [&] { return caller->text.find(Events(2, 2)) != std::string::npos; }));
    EXPECT_NE(caller->text.find("Connection: close\r\n"), std::string::npos);
    caller->Send(Replace(request, "id-1", "id-2"));
    TurnFor({&rig}, 20);
    worker->SendToAll(last_events);
    EXPECT_TRUE(rig.Until([&] { return caller->closed; }));
    std::string rest;
    EXPECT_EQ(ReadAnswers(caller->text, &rest).size(), 1u) << caller->text;
    EXPECT_EQ(worker->requests.size(), 1u);
}

/* The body of a request arrives while the change comes. */
struct BodyCase {
    const char *name;
    const char *before; /* After the header's common fields. */
    const char *after;
};

const BodyCase body_cases[] = {
    {"chunks", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
     "3\r\ndef\r\n0\r\n\r\n"},
    {"inside a chunk", "Transfer-Encoding: chunked\r\n\r\n6\r\nabc",
     "def\r\n0\r\n\r\n"},
    {"length", "Content-Length: 6\r\n\r\nabc", "def"},
    {"inside the header", "Content-Length: 6\r\nX-Mo", "re: 1\r\n\r\nabcdef"},
};

TEST(GateChange, ArrivingBodyIsAnswered)
{
    struct Row {
        std::string name;
        std::unique_ptr<ChangingRig> rig;
        Worker *worker;
        Caller *caller;
        const BodyCase *body;
        const ChangeCase *change;
    };
    std::vector<Row> rows;
    std::vector<ChangingRig *> rigs;
    for (const BodyCase &body : body_cases) {
        for (const ChangeCase &change : change_cases) {
            Row row = {std::string(body.name) + "; change: " + change.name,
                       std::make_unique<ChangingRig>(),
                       nullptr,
                       nullptr,
                       &body,
                       &change};
            row.rig->config.kind = "non_idempotent";
            row.rig->config.slo_ms = SLO_MS / 4;
            row.rig->SetRoute({RTE_NON_IDEMPOTENT, 1});
            row.worker = row.rig->AddWorker({Ok()});
            row.rig->AddOther(FLEET_PHASE_NONE, Ok());
            row.caller =
                row.rig->Call(std::string("POST /r/x HTTP/1.1\r\nHost: "
                                          "h\r\nX-Request-Id: id-1\r\n") +
                              body.before);
            rigs.push_back(row.rig.get());
            rows.push_back(std::move(row));
        }
    }
    TurnFor(rigs, 100);
    for (Row &row : rows) {
        row.change->apply(row.rig.get());
    }
    TurnFor(rigs, 100);
    for (Row &row : rows) {
        row.caller->Send(row.body->after);
    }
    TurnUntil(rigs, [&] {
        bool all = true;
        for (Row &row : rows) {
            all = all && (row.caller->IsComplete() || row.caller->closed);
        }
        return all;
    });
    TurnFor(rigs, 10);
    for (Row &row : rows) {
        SCOPED_TRACE(row.name);
        std::string rest;
        std::vector<Received> answers = ReadAnswers(row.caller->text, &rest);
        ASSERT_EQ(answers.size(), 1u)
            << "closed: " << row.caller->closed << " " << row.caller->text;
        EXPECT_EQ(rest, "");
        CheckBegunAfter(*row.change, answers[0], row.caller->text);
        if (!row.worker->requests.empty() && !row.change->is_timeout_over) {
            EXPECT_EQ(answers[0].status, 200) << row.caller->text;
        }
    }
}

/* The time-out of idle connections is shortened. */
TEST(GateChange, RequestAtTheEndOfAnIdleConnection)
{
    const int idle_ms = 20;
    const int offsets_us[] = {-4000, -1000, -500, -200, -100, 0,
                              100,   200,   500,  1000, 4000};
    ChangingRig rig;
    rig.config.kind = "non_idempotent";
    rig.SetRoute({RTE_NON_IDEMPOTENT, 1});
    Worker *worker =
        rig.AddWorker(std::vector<ScriptedReply>(100, Ok("done")));
    Config config = rig.config;
    config.limits = "\"idle-ms\":" + std::to_string(idle_ms);
    Caller *open = rig.Call(Request());
    ASSERT_TRUE(rig.Until([&] { return open->IsComplete(); }));
    rig.Apply(config);
    std::vector<Caller *> callers;
    std::vector<int64_t> times_us;
    for (size_t i = 0; i < G_N_ELEMENTS(offsets_us); i++) {
        callers.push_back(rig.Call(Request()));
        ASSERT_TRUE(rig.Until([&] { return callers.back()->IsComplete(); }));
        callers.back()->text = "";
        times_us.push_back(g_get_monotonic_time() + offsets_us[i] +
                           (int64_t)(idle_ms + SERVER_IDLE_SLACK_MS) *
                               CLK_US_PER_MS);
    }
    /* The time-out with which the connection became idle still holds. */
    open->text = "";
    open->Send(Request());
    ASSERT_TRUE(rig.Until([&] { return open->IsComplete() || open->closed; }));
    EXPECT_TRUE(open->IsComplete());
    Caller *quiet = rig.Call(Request());
    ASSERT_TRUE(rig.Until([&] { return quiet->IsComplete(); }));
    size_t runs = worker->requests.size();
    size_t next = 0;
    int64_t end_us = times_us.back() + 100 * CLK_US_PER_MS;
    while (g_get_monotonic_time() < end_us) {
        /* Sent past the loop, so that the bytes and the end of the time-out
           meet in the gate's loop. */
        while (next < times_us.size() &&
               g_get_monotonic_time() >= times_us[next]) {
            std::string request =
                Replace(Request(), "id-1", "n-" + std::to_string(next) + "-");
            callers[next++]->Send(request);
        }
        rig.Turn();
    }
    EXPECT_TRUE(quiet->closed);
    TurnUntil({&rig}, [&] {
        bool all = true;
        for (Caller *caller : callers) {
            all = all && (caller->IsComplete() || caller->closed);
        }
        return all;
    });
    for (size_t i = 0; i < callers.size(); i++) {
        SCOPED_TRACE(offsets_us[i]);
        bool has_run = false;
        for (size_t k = runs; k < worker->requests.size(); k++) {
            has_run |= worker->requests[k].find("n-" + std::to_string(i) +
                                                "-") != std::string::npos;
        }
        if (has_run) {
            EXPECT_TRUE(callers[i]->IsComplete()) << callers[i]->text;
        }
        else {
            EXPECT_TRUE(callers[i]->closed);
            EXPECT_EQ(callers[i]->text, "");
        }
    }
}

/* A large answer whose caller reads it slowly, but all the time: it takes
   longer than the changed time-out, and than the time after which a planned
   stop closes idle connections. A caller that stops reading for longer than
   the time-out loses its connection. A request that is sent meanwhile is
   answered as well. */
struct SlowReaderCase {
    const char *name;
    const char *headers; /* Of the request. */
    bool is_before;      /* The change comes before the worker's answer. */
    void (*apply)(ChangingRig *rig);
    bool is_stalled = false;  /* Reads nothing while the others read slowly. */
    bool is_followed = false; /* Sends another request near the end of that. */
};

void
SetIdleLimit(ChangingRig *rig, int ms)
{
    Config config = rig->config;
    config.limits = "\"idle-ms\":" + std::to_string(ms);
    rig->Apply(config);
}

void
LowerIdleLimit(ChangingRig *rig)
{
    SetIdleLimit(rig, 1000);
}

/* The gate sees at its second look that a caller makes no progress, which is
   before the slow callers are done. */
void
MinimizeIdleLimit(ChangingRig *rig)
{
    SetIdleLimit(rig, 200);
}

void
Stop(ChangingRig *rig)
{
    Edge_BeginShutdown(rig->edge, 0);
}

const SlowReaderCase slow_reader_cases[] = {
    {"no change", "", true, [](ChangingRig *) {}},
    {"idle limit lowered before a kept connection's answer", "", true,
     LowerIdleLimit},
    {"idle limit lowered after a kept connection's answer", "", false,
     LowerIdleLimit},
    {"idle limit lowered before a closing connection's answer",
     "Connection: close\r\n", true, LowerIdleLimit},
    {"idle limit lowered after a closing connection's answer",
     "Connection: close\r\n", false, LowerIdleLimit},
    {"no progress on a kept connection", "", true, MinimizeIdleLimit, true},
    {"no progress on a closing connection", "Connection: close\r\n", true,
     MinimizeIdleLimit, true},
    {"planned stop before the answer", "", true, Stop},
    {"planned stop after the answer", "", false, Stop},
    {"planned stop, then another request", "", false, Stop, false, true},
};

/* A caller that reads a part of its answer whenever it is told to. */
class SlowCaller {
  public:
    SlowCaller(uint16_t port, const std::string &request)
    {
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd_ = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(connect(fd_, (sockaddr *)&to, sizeof(to)), 0);
        SetNoDelay(fd_);
        Send(request);
    }

    ~SlowCaller()
    {
        close(fd_);
    }

    void
    Read()
    {
        char data[16 * 1024];
        ssize_t size = recv(fd_, data, sizeof(data), MSG_DONTWAIT);
        if (size > 0) {
            text.append(data, (size_t)size);
        }
        closed = closed || size == 0 || (size < 0 && errno != EAGAIN);
    }

    void
    Send(const std::string &request) const
    {
        EXPECT_EQ(send(fd_, request.data(), request.size(), MSG_NOSIGNAL),
                  (ssize_t)request.size());
    }

    bool
    HasAnswers(size_t count) const
    {
        std::string rest;
        return ReadAnswers(text, &rest).size() == count;
    }

    std::string text;
    bool closed = false;

  private:
    int fd_;
};

TEST(GateChange, SlowReaderGetsItsAnswer)
{
    struct Row {
        const SlowReaderCase *slow;
        std::unique_ptr<ChangingRig> rig;
        Worker *worker;
        std::unique_ptr<SlowCaller> caller;
    };
    const std::string body(7 * 1024 * 1024, 'x');
    const int read_ms = 16; /* Time between two reads. */
    const int64_t follow_us = 250 * CLK_US_PER_MS;
    /* Then the callers read all at once. */
    const int64_t slow_us =
        (int64_t)(Edge_DefaultOptions().notice_ms + 500) * CLK_US_PER_MS;
    std::vector<Row> rows;
    std::vector<ChangingRig *> rigs;
    auto apply = [&](bool is_before) {
        for (Row &row : rows) {
            if (row.slow->is_before == is_before) {
                row.slow->apply(row.rig.get());
            }
        }
    };
    for (const SlowReaderCase &slow : slow_reader_cases) {
        Row row = {&slow, std::make_unique<ChangingRig>(), nullptr, nullptr};
        row.rig->config.kind = "non_idempotent";
        row.rig->SetRoute({RTE_NON_IDEMPOTENT, 1});
        row.worker = row.rig->AddWorker({{""}, Ok()});
        row.caller = std::make_unique<SlowCaller>(
            Edge_GetPort(row.rig->edge), Request("POST", slow.headers));
        rigs.push_back(row.rig.get());
        rows.push_back(std::move(row));
    }
    bool at_worker = TurnUntil(rigs, [&] {
        size_t count = 0;
        for (Row &row : rows) {
            count += row.worker->requests.size();
        }
        return count == rows.size();
    });
    ASSERT_TRUE(at_worker);
    apply(true);
    for (Row &row : rows) {
        row.worker->SendToAll(Replace(Ok(body).bytes, "%ID", "id-1"));
    }
    TurnFor(rigs, 200);
    apply(false);
    int64_t next_us = 0;
    int64_t slow_until_us = g_get_monotonic_time() + slow_us;
    bool has_followed = false;
    TurnUntil(rigs, [&] {
        bool all = true;
        if (g_get_monotonic_time() < MIN(next_us, slow_until_us)) {
            return false;
        }
        next_us = g_get_monotonic_time() + read_ms * CLK_US_PER_MS;
        bool follows = !has_followed && next_us + follow_us > slow_until_us;
        has_followed = has_followed || follows;
        for (Row &row : rows) {
            if (follows && row.slow->is_followed) {
                row.caller->Send(Request("POST", "", "second"));
            }
            if (row.slow->is_stalled &&
                g_get_monotonic_time() < slow_until_us) {
                continue;
            }
            row.caller->Read();
            all = all &&
                  (row.caller->closed ||
                   (row.caller->text.size() > body.size() &&
                    (!row.slow->is_followed || row.caller->HasAnswers(2))));
        }
        return all;
    });
    for (Row &row : rows) {
        SCOPED_TRACE(row.slow->name);
        EXPECT_TRUE(row.caller->HasAnswers(row.slow->is_stalled    ? 0
                                           : row.slow->is_followed ? 2
                                                                   : 1))
            << "got " << row.caller->text.size() << " bytes, closed "
            << row.caller->closed;
    }
}

/* The platform's store, which never changes. */
class FixedStore {
  public:
    explicit FixedStore(event_base *base)
    {
        LsError err = {};
        ServerOptions options = Server_DefaultOptions();
        clk_ = Clk_Default();
        options.base = base;
        options.clk = &clk_;
        options.context = this;
        options.on_request = OnRequest;
        options.on_disconnect = [](void *, ServerExchange *) {};
        server_ = Server_New(&options, &err);
        address = "127.0.0.1:" + std::to_string(Server_GetPort(server_));
    }

    ~FixedStore()
    {
        Server_Free(server_);
    }

    void
    Add(const std::string &key, const std::string &value)
    {
        gchar *text =
            g_base64_encode((const guchar *)value.data(), value.size());
        items_ += std::string(items_.empty() ? "" : ",") + "{\"key\":\"" +
                  key + "\",\"value\":\"" + text +
                  "\",\"revision\":1,\"created\":1,\"lease\":0}";
        g_free(text);
    }

    std::string address;

  private:
    static void
    OnRequest(void *context, ServerExchange *exchange)
    {
        FixedStore *self = static_cast<FixedStore *>(context);
        if (strstr(exchange->target, "kv-range") == nullptr) {
            return; /* A watch without changes stays open. */
        }
        std::string body = "{\"items\":[" + self->items_ +
                           "],\"truncated\":false,\"as-of\":1}";
        Server_SendResponse(exchange, 200, nullptr, body.data(), body.size());
    }

    std::string items_;
    Server *server_;
    Clk clk_;
};

/* A request at a gate process. Each has its own route and worker. */
struct ProcessCase {
    const char *name;
    const char *kind;
    std::vector<ScriptedReply> replies;
    std::string before; /* Sent before the signal. */
    std::string after;  /* Sent after it. */
    std::string answer; /* Sent by the worker after the silence. */
    std::string body;   /* What the caller gets. */
};

std::vector<ProcessCase>
MakeProcessCases()
{
    const std::string request =
        Request("POST", "X-Token-Usage: 1000,100\r\n", "abcdef");
    const std::string half = request.substr(0, request.size() - 3);
    const std::string done = Replace(Ok("done").bytes, "%ID", "id-1");
    const std::string all = Events(0, 9);
    return {
        {"plain, idempotent", "idempotent", {{""}}, request, "", done, "done"},
        {"plain, not idempotent",
         "non_idempotent",
         {{""}},
         request,
         "",
         done,
         "done"},
        {"stream sent",
         "stream",
         {{""}},
         request,
         "",
         Replace(Stream(0, 9).bytes, "%ID", "id-1"),
         all},
        {"stream after its header",
         "stream",
         {{chunked_head}},
         request,
         "",
         Chunk(Events(0, 2)) + last_events,
         all},
        {"stream in its events",
         "stream",
         {{chunked_head + Chunk(Events(0, 2))}},
         request,
         "",
         last_events,
         all},
        {"body arrives", "non_idempotent", {Ok()}, half, "def", "", "done"},
        {"second request of a connection",
         "non_idempotent",
         {Ok("first"), Ok()},
         request,
         request,
         "",
         "done"},
    };
}

/* A signal to the process of the gate. */
struct SignalCase {
    const char *name;
    int signal;
    bool is_stop;
};

const SignalCase signal_cases[] = {
    {"SIGHUP", SIGHUP, false},
    {"SIGTERM", SIGTERM, true},
};

/* A gate process with its store, workers and callers on the test's loop. */
class SignalledProcess {
  public:
    SignalledProcess(event_base *base, const SignalCase &row)
        : row(row), store(base), cases_(MakeProcessCases()), base_(base)
    {
        std::string services;
        std::string routes;
        for (size_t i = 0; i < cases_.size(); i++) {
            std::string name = "s" + std::to_string(i);
            bool is_stream = strcmp(cases_[i].kind, "stream") == 0;
            auto replies = std::make_shared<std::deque<ScriptedReply>>(
                cases_[i].replies.begin(), cases_[i].replies.end());
            workers.push_back(std::make_unique<Worker>(base, replies));
            store.Add("servers/w" + std::to_string(i),
                      "{\"service\":\"" + name + "\",\"addr\":\"" +
                          workers.back()->address +
                          "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
                          "\"state\":\"ready\"" +
                          (is_stream ? ",\"phase\":\"decode\"}" : "}"));
            services += std::string(i > 0 ? "," : "") + "{\"name\":\"" + name +
                        "\"" +
                        (is_stream ? ",\"engine\":{\"kv-tokens\":60000,"
                                     "\"stride\":1,\"handle-ttl-s\":60}}"
                                   : "}");
            routes += std::string(i > 0 ? "," : "") + "{\"name\":\"" + name +
                      "\",\"host\":\"h\",\"prefix\":\"/" + name +
                      "/\",\"kind\":\"" + cases_[i].kind +
                      "\",\"timeout-ms\":5000,\"latency-slo-ms\":4000,"
                      "\"attempts\":1,\"service\":\"" +
                      name + "\"}";
        }
        store.Add("op/config", "{\"version\":1,\"services\":[" + services +
                                   "],\"routes\":[" + routes + "]}");
        gchar *name = g_dir_make_tmp("gate-change-XXXXXX", nullptr);
        directory_ = name;
        g_free(name);
        path_ = directory_ + "/settings.json";
        port_ = FreePort();
        ready_port_ = FreePort();
        control_port_ = FreePort();
        WriteSettings(10);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null",
                                         O_WRONLY, 0);
        char *argv[] = {(char *)GATE_PROGRAM, (char *)"--settings",
                        (char *)path_.c_str(), nullptr};
        char *envp[] = {nullptr};
        EXPECT_EQ(posix_spawn(&pid_, argv[0], &files, nullptr, argv, envp), 0);
        posix_spawn_file_actions_destroy(&files);
    }

    ~SignalledProcess()
    {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        unlink(path_.c_str());
        rmdir(directory_.c_str());
    }

    bool
    IsReady()
    {
        if (probe_ != nullptr && probe_->Status() == 200) {
            return true;
        }
        if (probe_ == nullptr || probe_->closed || probe_->IsComplete()) {
            probe_ = std::make_unique<Caller>(base_, ready_port_);
            probe_->Send("GET " PF_READY_PATH " HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        return false;
    }

    void
    Call()
    {
        probe_.reset();
        for (size_t i = 0; i < cases_.size(); i++) {
            callers.push_back(std::make_unique<Caller>(base_, port_));
            callers[i]->Send(ToRoute(cases_[i].before, i));
        }
    }

    bool
    AreAtStage() const
    {
        bool all = true;
        for (size_t i = 0; i < cases_.size(); i++) {
            bool is_kept = cases_[i].replies.size() > 1;
            bool has_events =
                cases_[i].replies[0].bytes.find("data:") != std::string::npos;
            all = all && (is_kept ? callers[i]->IsComplete()
                                  : cases_[i].answer.empty() ||
                                        workers[i]->requests.size() == 1);
            all = all && (!has_events || callers[i]->text.find("data: t2") !=
                                             std::string::npos);
        }
        return all;
    }

    void
    Signal()
    {
        WriteSettings(0);
        kill(pid_, row.signal);
    }

    void
    GoOn()
    {
        for (size_t i = 0; i < cases_.size(); i++) {
            if (!cases_[i].after.empty()) {
                callers[i]->text = "";
                callers[i]->Send(ToRoute(cases_[i].after, i));
            }
        }
    }

    void
    Answer()
    {
        for (size_t i = 0; i < cases_.size(); i++) {
            if (!cases_[i].answer.empty()) {
                workers[i]->SendToAll(cases_[i].answer);
            }
        }
    }

    bool
    IsDone()
    {
        for (const auto &caller : callers) {
            if (!caller->IsComplete() && !caller->closed) {
                return false;
            }
        }
        if (row.is_stop && pid_ > 0 && waitpid(pid_, &status_, WNOHANG) > 0) {
            pid_ = 0;
        }
        return !row.is_stop || pid_ == 0;
    }

    void
    Check() const
    {
        for (size_t i = 0; i < cases_.size(); i++) {
            SCOPED_TRACE(cases_[i].name);
            std::string rest;
            std::vector<Received> answers =
                ReadAnswers(callers[i]->text, &rest);
            ASSERT_EQ(answers.size(), 1u)
                << "closed: " << callers[i]->closed << " " << callers[i]->text;
            EXPECT_EQ(rest, "");
            EXPECT_EQ(answers[0].status, 200) << callers[i]->text;
            EXPECT_EQ(answers[0].body, cases_[i].body);
        }
        EXPECT_EQ(pid_ == 0, row.is_stop);
        EXPECT_EQ(status_, 0);
    }

    const SignalCase &row;
    FixedStore store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Caller>> callers;

  private:
    static std::string
    ToRoute(const std::string &text, size_t i)
    {
        return Replace(text, "/r/x", "/s" + std::to_string(i) + "/x");
    }

    void
    WriteSettings(int budget_slack) const
    {
        std::string address = "\"127.0.0.1:";
        std::string text =
            "{\"node\":\"vm\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
            "\"listen\":{\"front\":" +
            address + std::to_string(port_) + "\",\"ready\":" + address +
            std::to_string(ready_port_) + "\",\"control\":" + address +
            std::to_string(control_port_) +
            "\"},\"zones\":{\"z\":\"r\"},\"seed-addrs\":[],\"platform\":{"
            "\"addr\":\"" +
            store.address +
            "\"},\"bounds\":{\"grace-s\":8,\"budget-ratio\":0,"
            "\"budget-slack\":" +
            std::to_string(budget_slack) + "}}";
        EXPECT_TRUE(g_file_set_contents(path_.c_str(), text.data(),
                                        (gssize)text.size(), nullptr));
    }

    const std::vector<ProcessCase> cases_;
    event_base *base_;
    std::unique_ptr<Caller> probe_;
    std::string directory_;
    std::string path_;
    uint16_t port_ = 0;
    uint16_t ready_port_ = 0;
    uint16_t control_port_ = 0;
    pid_t pid_ = 0;
    int status_ = 0;
};

TEST(GateChange, RequestsOutliveSignalsToTheProcess)
{
    event_base *base = event_base_new();
    Clk clk = Clk_Default();
    std::vector<std::unique_ptr<SignalledProcess>> processes;
    for (const SignalCase &row : signal_cases) {
        processes.push_back(std::make_unique<SignalledProcess>(base, row));
    }
    auto until = [&](const std::function<bool(SignalledProcess &)> &check) {
        return RunUntil(base, &clk, [&] {
            bool all = true;
            for (auto &process : processes) {
                all = check(*process) && all;
            }
            return all;
        });
    };
    auto run_for = [&](int ms) {
        int64_t end_us = Clk_Now(&clk) + (int64_t)ms * CLK_US_PER_MS;
        RunUntil(base, &clk, [&] { return Clk_Now(&clk) >= end_us; });
    };
    ASSERT_TRUE(until([](SignalledProcess &p) { return p.IsReady(); }));
    for (auto &process : processes) {
        process->Call();
    }
    ASSERT_TRUE(until([](SignalledProcess &p) { return p.AreAtStage(); }));
    run_for(50);
    for (auto &process : processes) {
        process->Signal();
    }
    run_for(200);
    for (auto &process : processes) {
        process->GoOn();
    }
    run_for(500);
    for (auto &process : processes) {
        process->Answer();
    }
    EXPECT_TRUE(until([](SignalledProcess &p) { return p.IsDone(); }));
    for (auto &process : processes) {
        SCOPED_TRACE(process->row.name);
        process->Check();
    }
    processes.clear();
    event_base_free(base);
}

} // namespace
