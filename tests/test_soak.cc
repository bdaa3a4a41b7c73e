/* Tests of the soak test itself: the violations that its ledger detects, and
   the faults that its proxy injects. If the ledger missed a violated
   guarantee, a soak run without findings would mean nothing. */
#include "gate_rig.h"

extern "C" {
#include "io/client.h"
#include "ledger.h"
#include "load_generator.h"
#include "proxy.h"
#include "sim_answer.h"
#include "sim_platform.h"
}

namespace {

const BudgetCheckOptions budget = {0.2, 2, 10 * CLK_US_PER_S};

struct LedgerCase {
    const char *name;
    LedgerKind kind;
    int runs;
    int status;          /* HTTP status that the caller received. */
    const char *finding; /* First word of the finding, or nullptr. */
};

const LedgerCase ledger_cases[] = {
    {"hold, served", LEDGER_HOLD, 1, 200, nullptr},
    {"hold, outcome unknown", LEDGER_HOLD, 1, 502, nullptr},
    {"hold, refused", LEDGER_HOLD, 0, 503, nullptr},
    {"hold, run twice", LEDGER_HOLD, 2, 200, "TWICE"},
    {"hold, refused and run", LEDGER_HOLD, 1, 503, "REFUSED"},
    {"hold, rate-limited and run", LEDGER_HOLD, 1, 429, "REFUSED"},
    {"stream, run twice", LEDGER_STREAM, 2, 200, "TWICE"},
    {"resumable stream, run twice", LEDGER_RESUME, 2, 200, nullptr},
    {"resumable stream, refused and run", LEDGER_RESUME, 1, 503, "REFUSED"},
    {"read, run twice", LEDGER_READ, 2, 200, nullptr},
};

TEST(Soak, LedgerFindsViolations)
{
    for (const LedgerCase &row : ledger_cases) {
        SCOPED_TRACE(row.name);
        Ledger ledger;
        Ledger_Init(&ledger, &budget);
        Ledger_AddRequest(&ledger, "r1", row.kind, 0, 0, 0);
        for (int i = 0; i < row.runs; i++) {
            Ledger_RecordRun(&ledger, "r1", 0);
        }
        Ledger_Find(&ledger, "r1")->status = row.status;
        Ledger_Check(&ledger);
        ASSERT_EQ(ledger.findings->len, row.finding != nullptr ? 1u : 0u);
        if (row.finding != nullptr) {
            EXPECT_EQ(std::string((char *)ledger.findings->pdata[0])
                          .find(row.finding),
                      0u);
        }
        Ledger_Clear(&ledger);
    }
}

TEST(Soak, LedgerFindsRunsWithoutRequest)
{
    Ledger ledger;
    Ledger_Init(&ledger, &budget);
    Ledger_RecordRun(&ledger, "r9", 0);
    ASSERT_EQ(ledger.findings->len, 1u);
    Ledger_Clear(&ledger);
}

enum LostEvent {
    LOST_NOTHING,
    LOST_WORKER,       /* The request's worker fails. */
    LOST_OTHER_WORKER, /* A worker that did not run the request fails. */
    LOST_VM,
    LOST_OTHER_VM,
    LOST_RELAYED,
    LOST_RELAYED_ELSEWHERE,
    LOST_SHORT_TIMEOUT, /* Timeouts are shortened. */
    LOST_LEFT,          /* The caller leaves. */
};

struct LostCase {
    const char *name;
    LedgerKind kind;
    int runs;
    LostEvent event;
    int status;
    bool is_complete;
    int64_t ended_ms;
    bool is_lost;
    guint LedgerEnds::*count; /* The end as which it is counted. */
};

const LostCase lost_cases[] = {
    {"complete", LEDGER_STREAM, 1, LOST_NOTHING, 200, true, 900, false,
     &LedgerEnds::answered},
    {"outcome unknown", LEDGER_HOLD, 1, LOST_NOTHING, 502, true, 900, false,
     &LedgerEnds::answered},
    {"refused", LEDGER_STREAM, 0, LOST_NOTHING, 503, true, 900, false,
     &LedgerEnds::refused},
    {"stream broken off", LEDGER_STREAM, 1, LOST_NOTHING, 200, false, 1300,
     true, &LedgerEnds::lost},
    {"resumed stream broken off", LEDGER_RESUME, 2, LOST_NOTHING, 200, false,
     1300, true, &LedgerEnds::lost},
    {"no answer from a worker", LEDGER_HOLD, 1, LOST_NOTHING, 0, false, 1300,
     true, &LedgerEnds::lost},
    {"body cut", LEDGER_READ, 1, LOST_NOTHING, 200, false, 1300, true,
     &LedgerEnds::lost},
    {"never accepted", LEDGER_STREAM, 0, LOST_NOTHING, 0, false, 10, false,
     nullptr},
    {"its worker failed", LEDGER_STREAM, 1, LOST_WORKER, 200, false, 1300,
     false, &LedgerEnds::excused},
    {"another worker failed", LEDGER_STREAM, 1, LOST_OTHER_WORKER, 200, false,
     1300, true, &LedgerEnds::lost},
    {"its VM was killed", LEDGER_STREAM, 1, LOST_VM, 200, false, 1300, false,
     &LedgerEnds::excused},
    {"another VM was killed", LEDGER_STREAM, 1, LOST_OTHER_VM, 200, false,
     1300, true, &LedgerEnds::lost},
    {"the VM that it was passed on to was killed", LEDGER_STREAM, 1,
     LOST_RELAYED, 200, false, 1300, false, &LedgerEnds::excused},
    {"passed on, and a third VM was killed", LEDGER_STREAM, 1,
     LOST_RELAYED_ELSEWHERE, 200, false, 1300, true, &LedgerEnds::lost},
    {"caller's time limit", LEDGER_STREAM, 1, LOST_NOTHING, 200, false, 14000,
     false, &LedgerEnds::excused},
    {"before a shortened timeout", LEDGER_STREAM, 1, LOST_SHORT_TIMEOUT, 200,
     false, 5400, true, &LedgerEnds::lost},
    {"at a shortened timeout", LEDGER_STREAM, 1, LOST_SHORT_TIMEOUT, 200,
     false, 6000, false, &LedgerEnds::excused},
    {"plain, its own limit", LEDGER_HOLD, 1, LOST_NOTHING, 0, false, 3000,
     false, &LedgerEnds::excused},
    {"caller left", LEDGER_STREAM, 1, LOST_LEFT, 0, false, 0, false,
     &LedgerEnds::left},
};

/* Plays one row of lost_cases and then returns its counts. */
LedgerEnds
PlayLostCase(const LostCase &row, Ledger *ledger)
{
    LedgerEnds ends;
    bool is_relayed = false;

    Ledger_LowerLimits(ledger, 3000, 14000);
    Ledger_AddRequest(ledger, "r1", row.kind, 0, 0, 0);
    for (int i = 0; i < row.runs; i++) {
        Ledger_RecordRun(ledger, "r1", (guint)i);
    }
    switch (row.event) {
    case LOST_NOTHING:
        break;
    case LOST_WORKER:
        Ledger_ExcuseWorker(ledger, 0);
        break;
    case LOST_OTHER_WORKER:
        Ledger_ExcuseWorker(ledger, 5);
        break;
    case LOST_VM:
        Ledger_ExcuseVm(ledger, 0, 1000);
        break;
    case LOST_OTHER_VM:
        Ledger_ExcuseVm(ledger, 1, 1000);
        break;
    case LOST_RELAYED:
        Ledger_ExcuseVm(ledger, 1, 1000);
        is_relayed = true;
        break;
    case LOST_RELAYED_ELSEWHERE:
        Ledger_ExcuseVm(ledger, 2, 1000);
        is_relayed = true;
        break;
    case LOST_SHORT_TIMEOUT:
        Ledger_LowerLimits(ledger, 2000, 6000);
        break;
    case LOST_LEFT:
        Ledger_Find(ledger, "r1")->has_left = true;
        break;
    }
    if (row.event != LOST_LEFT) {
        Ledger_RecordEnd(ledger, "r1", row.status, row.is_complete,
                         row.ended_ms * 1000);
    }
    /* What fails after the end is no reason for it. */
    Ledger_ExcuseWorker(ledger, 0);
    Ledger_ExcuseVm(ledger, 0, row.ended_ms * 1000 + 1);
    Ledger_ExcuseVm(ledger, 1, row.ended_ms * 1000 + 1);
    if (is_relayed) {
        Ledger_ExcuseRelayed(ledger, "r1", 1);
    }
    Ledger_Check(ledger);
    Ledger_CountEnds(ledger, &ends);
    return ends;
}

TEST(Soak, LedgerFindsLostRequests)
{
    for (const LostCase &row : lost_cases) {
        SCOPED_TRACE(row.name);
        Ledger ledger;
        Ledger_Init(&ledger, &budget);
        LedgerEnds ends = PlayLostCase(row, &ledger);
        EXPECT_EQ(ends.accepted, row.count != nullptr ? 1u : 0u);
        if (row.count != nullptr) {
            EXPECT_EQ(ends.*row.count, 1u);
        }
        ASSERT_EQ(ledger.findings->len, row.is_lost ? 1u : 0u);
        if (row.is_lost) {
            EXPECT_EQ(
                std::string((char *)ledger.findings->pdata[0]).find("LOST"),
                0u);
        }
        Ledger_Clear(&ledger);
    }
}

struct StopCase {
    const char *name;
    int64_t sent_ms;     /* After the stop signal. */
    uint32_t stopped_vm; /* The request's VM is 0; it passes on to 1. */
    int64_t answered_ms; /* End of the worker's answer, or 0. */
    int status;
    bool is_complete;
    int64_t ended_ms;
    bool is_lost;
    int silent_worker; /* One falls silent meanwhile; 9: none. */
};

const StopCase stop_cases[] = {
    {"sent before the signal, cut at the end", -500, 0, 0, 200, false, 7750,
     false, 9},
    {"sent early, cut at the end", 2900, 0, 0, 200, false, 7750, false, 9},
    {"sent early, cut too soon", 2900, 0, 0, 200, false, 6000, true, 9},
    {"sent early, cut as the worker has just ended", 2900, 0, 7000, 200, false,
     7750, false, 9},
    {"sent early, cut though the worker had ended", 2900, 0, 6000, 200, false,
     7750, true, 9},
    {"sent late, cut at the end", 3100, 0, 0, 200, false, 7750, true, 9},
    {"sent late, cut by the kill", 3100, 0, 0, 0, false, 8000, true, 9},
    {"sent late, complete", 3100, 0, 7000, 200, true, 7100, false, 9},
    {"sent late, its worker never answers", 3100, 0, 0, 504, true, 7700, false,
     9},
    {"sent early, passed on to a VM that stops", 2900, 1, 0, 200, false, 7750,
     false, 9},
    {"sent late, passed on to a VM that stops", 3100, 1, 0, 200, false, 7750,
     true, 9},
    {"sent late, held up by its worker", 3100, 0, 0, 200, false, 7750, false,
     0},
    {"sent late, another worker is silent", 3100, 0, 0, 200, false, 7750, true,
     1},
    {"held up by its worker, cut too soon", 3100, 0, 0, 200, false, 6000, true,
     0},
};

TEST(Soak, LedgerFindsWhatAStopBreaksOff)
{
    const int64_t stop_ms = 10000;
    for (const StopCase &row : stop_cases) {
        SCOPED_TRACE(row.name);
        Ledger ledger;
        LedgerEnds ends;
        const int64_t excuse_us = (stop_ms + 6667) * 1000;
        const int64_t ended_us = (stop_ms + row.ended_ms) * 1000;
        Ledger_Init(&ledger, &budget);
        Ledger_LowerLimits(&ledger, 3000, 14000);
        if (row.sent_ms >= 0) {
            Ledger_RecordStop(&ledger, row.stopped_vm, stop_ms * 1000);
        }
        Ledger_AddRequest(&ledger, "l1", LEDGER_STREAM, 0, 0,
                          (stop_ms + row.sent_ms) * 1000);
        Ledger_RecordStop(&ledger, row.stopped_vm, stop_ms * 1000);
        Ledger_RecordRun(&ledger, "l1", 0);
        Ledger_RecordSilence(&ledger, (guint)row.silent_worker);
        if (row.answered_ms != 0) {
            Ledger_RecordAnswer(&ledger, "l1",
                                (stop_ms + row.answered_ms) * 1000);
        }
        if (ended_us >= excuse_us) {
            Ledger_ExcuseStop(&ledger, row.stopped_vm, excuse_us);
        }
        Ledger_RecordEnd(&ledger, "l1", row.status, row.is_complete, ended_us);
        if (ended_us < excuse_us) {
            Ledger_ExcuseStop(&ledger, row.stopped_vm, excuse_us);
        }
        Ledger_ExcuseRelayed(&ledger, "l1", 1);
        Ledger_Check(&ledger);
        Ledger_CountEnds(&ledger, &ends);
        EXPECT_EQ(ends.late, row.stopped_vm == 0 && row.sent_ms > 3000);
        EXPECT_EQ(ends.late_run, ends.late);
        ASSERT_EQ(ledger.findings->len, row.is_lost ? 1u : 0u);
        if (row.is_lost) {
            EXPECT_EQ(
                std::string((char *)ledger.findings->pdata[0]).find("LOST"),
                0u);
        }
        Ledger_Clear(&ledger);
    }
}

TEST(Soak, LedgerForgetsAStopWithTheNextStart)
{
    Ledger ledger;
    Ledger_Init(&ledger, &budget);
    Ledger_RecordStop(&ledger, 0, 10 * CLK_US_PER_S);
    Ledger_RecordStop(&ledger, 0, 0);
    Ledger_AddRequest(&ledger, "r1", LEDGER_STREAM, 0, 0, 15 * CLK_US_PER_S);
    EXPECT_FALSE(Ledger_Find(&ledger, "r1")->is_late);
    Ledger_Clear(&ledger);
}

struct ProxyCase {
    const char *name;
    ProxyMode mode;
    bool reaches; /* The request reaches the server. */
    bool returns; /* The response reaches the caller. */
};

const ProxyCase proxy_cases[] = {
    {"passes", PROXY_PASS, true, true},
    {"slow", PROXY_SLOW, true, true},
    {"silent", PROXY_SILENT, false, false},
    {"mute", PROXY_MUTE, true, false},
};

TEST(Soak, ProxyInjectsFaultsAndRecovers)
{
    for (const ProxyCase &row : proxy_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        Worker *worker = rig.AddWorker({Ok()});
        uint16_t port = (uint16_t)std::stoi(
            worker->address.substr(worker->address.find(':') + 1));
        Proxy *proxy = Proxy_New(rig.base, port);
        Proxy_SetMode(proxy, row.mode);
        {
            Caller caller(rig.base, Proxy_GetPort(proxy));
            caller.Send("GET / HTTP/1.1\r\nX-Request-Id: a\r\n\r\n");
            int ticks = 0;
            rig.Until([&] {
                return row.returns ? caller.IsComplete() : ++ticks > 100;
            });
            EXPECT_EQ(worker->requests.size(), row.reaches ? 1u : 0u);
            EXPECT_EQ(caller.IsComplete(), row.returns);
            Proxy_SetMode(proxy, PROXY_PASS); /* Blocked bytes arrive. */
            EXPECT_TRUE(rig.Until([&] { return caller.IsComplete(); }));
            Proxy_ResetAll(proxy);
            EXPECT_TRUE(rig.Until([&] { return caller.closed; }));
        }
        Proxy_Free(proxy);
    }
}

/* Held bytes follow when the proxy is held no longer, in any mode, and the
   connections stay open. */
TEST(Soak, ProxyHoldsBytesBack)
{
    for (ProxyMode mode : {PROXY_PASS, PROXY_SLOW, PROXY_DRIBBLE}) {
        SCOPED_TRACE(mode);
        GateRig rig;
        Worker *worker = rig.AddWorker({Ok()});
        uint16_t port = (uint16_t)std::stoi(
            worker->address.substr(worker->address.find(':') + 1));
        Proxy *proxy = Proxy_New(rig.base, port);
        Proxy_SetMode(proxy, mode);
        {
            Caller caller(rig.base, Proxy_GetPort(proxy));
            int ticks = 0;
            Proxy_SetHeld(proxy, true);
            caller.Send("GET / HTTP/1.1\r\nX-Request-Id: a\r\n\r\n");
            rig.Until([&] { return ++ticks > 100; });
            EXPECT_EQ(worker->requests.size(), 0u);
            EXPECT_FALSE(caller.closed);
            Proxy_SetHeld(proxy, false);
            if (mode == PROXY_DRIBBLE) {
                EXPECT_TRUE(
                    rig.Until([&] { return worker->requests.size() == 1; }));
                Proxy_SetMode(proxy, PROXY_PASS); /* The rest at once. */
            }
            EXPECT_TRUE(rig.Until([&] { return caller.IsComplete(); }));
            EXPECT_FALSE(caller.closed);
        }
        Proxy_Free(proxy);
    }
}

struct ArrivalCase {
    const char *name;
    int requests;
    int arrivals;     /* Of each request, 10 ms apart. */
    bool is_prefill;  /* The first one is a prefill that is taken. */
    int64_t limit_ms; /* That each arrival gives; its caller waits 3 s. */
    int64_t after_ms; /* From the request to its first arrival. */
    bool was_held_up; /* Its VM was held up just before. */
    const char *finding;
};

const ArrivalCase arrival_cases[] = {
    {"one arrival each", 20, 1, false, 2900, 0, false, nullptr},
    {"a prefill and a run each", 20, 2, true, 2900, 0, false, nullptr},
    {"repeats within the budget", 2, 2, false, 2900, 0, false, nullptr},
    {"repeats beyond the budget", 4, 2, false, 2900, 0, false, "BUDGET"},
    {"repeated prefills count", 4, 3, true, 2900, 0, false, "BUDGET"},
    {"time that the caller has", 1, 1, false, 2000, 1000, false, nullptr},
    {"time that the caller no longer has", 1, 1, false, 3000, 1000, false,
     "BUDGET"},
    {"the same of a VM that was held up", 1, 1, false, 3000, 1000, true,
     nullptr},
    {"held up on its way beyond its time", 1, 1, false, 0, 4000, false,
     nullptr},
};

TEST(Soak, LedgerChecksTheRetryBudgetAndTheTimeLeft)
{
    for (const ArrivalCase &row : arrival_cases) {
        SCOPED_TRACE(row.name);
        Ledger ledger;
        Ledger_Init(&ledger, &budget);
        int64_t now_us = 100 * CLK_US_PER_S;
        ledger.vm_held_us[0] = row.was_held_up ? now_us : 0;
        for (int i = 0; i < row.requests; i++) {
            std::string id = "r" + std::to_string(i);
            Ledger_AddRequest(&ledger, id.c_str(), LEDGER_RESUME, 0, 3000,
                              now_us);
            for (int k = 0; k < row.arrivals; k++) {
                Ledger_RecordArrival(&ledger, id.c_str(),
                                     row.is_prefill && k == 0, row.limit_ms,
                                     now_us + (row.after_ms + 10 * k) *
                                                  CLK_US_PER_MS);
            }
            now_us += 30 * CLK_US_PER_MS;
        }
        Ledger_Check(&ledger);
        ASSERT_EQ(ledger.findings->len, row.finding != nullptr ? 1u : 0u);
        if (row.finding != nullptr) {
            EXPECT_EQ(
                strncmp((const char *)g_ptr_array_index(ledger.findings, 0),
                        row.finding, strlen(row.finding)),
                0);
        }
        Ledger_Clear(&ledger);
    }
}

/* The time that passed unseen before the VM read the request is excused for
   later calls too, more is not. */
TEST(Soak, LedgerExcusesWhatAHeldUpVmCouldNotSee)
{
    const struct {
        int64_t sent_ms; /* The VM was held up until 1000 ms. */
        int64_t limit_ms;
        guint findings;
    } cases[] = {{0, 9000, 0}, {0, 9600, 1}, {1000, 10000, 1}};

    for (const auto &row : cases) {
        SCOPED_TRACE(testing::Message() << row.sent_ms << " " << row.limit_ms);
        Ledger ledger;
        Ledger_Init(&ledger, &budget);
        ledger.vm_held_us[0] = 1000 * CLK_US_PER_MS;
        Ledger_AddRequest(&ledger, "r1", LEDGER_STREAM, 0, 14000,
                          row.sent_ms * CLK_US_PER_MS);
        Ledger_RecordArrival(&ledger, "r1", true, 14000,
                             (row.sent_ms + 1000) * CLK_US_PER_MS);
        Ledger_RecordArrival(&ledger, "r1", false, row.limit_ms,
                             (row.sent_ms + 6000) * CLK_US_PER_MS);
        EXPECT_EQ(ledger.findings->len, row.findings);
        Ledger_Clear(&ledger);
    }
}

/* While the soak itself is held up, requests on their way get older unseen. */
TEST(Soak, LedgerCountsWhatTheSoakWasHeldUp)
{
    const struct {
        const char *name;
        int64_t held_from_ms; /* The soak ticks each 10 ms but then. */
        int64_t held_until_ms;
        int64_t excess_ms;
        guint findings;
    } cases[] = {
        {"not held up", 0, 0, 600, 1},
        {"held up on the way", 1000, 2000, 1400, 0},
        {"held up still", 1000, 9000, 1400, 0},
        {"by less than the excess", 1000, 2000, 1700, 1},
        {"before the request was sent", 100, 900, 600, 1},
    };

    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        Ledger ledger;
        Ledger_Init(&ledger, &budget);
        for (int64_t ms = 1; ms <= 3000; ms += 10) {
            if (ms <= row.held_from_ms || ms >= row.held_until_ms) {
                Ledger_NoteTick(&ledger, ms * CLK_US_PER_MS,
                                10 * CLK_US_PER_MS);
            }
            if (ms == 951) {
                Ledger_AddRequest(&ledger, "r1", LEDGER_READ, 0, 5000,
                                  ms * CLK_US_PER_MS);
            }
        }
        Ledger_RecordArrival(&ledger, "r1", false, 5000 - 2050 + row.excess_ms,
                             3001 * CLK_US_PER_MS);
        EXPECT_EQ(ledger.findings->len, row.findings);
        Ledger_Clear(&ledger);
    }
}

/* A window counts wherever it begins, and the requests of the one before. */
TEST(Soak, BudgetIsCheckedInAnyWindow)
{
    BudgetCheck check;
    BudgetCheck_Init(&check, &budget);
    for (int i = 0; i < 50; i++) {
        BudgetCheck_NoteRequest(&check, 0, i * 10 * CLK_US_PER_MS);
    }
    for (int i = 0; i < 13; i++) {
        BudgetCheck_NoteExtra(&check, 0, (9 + i / 3) * CLK_US_PER_S);
    }
    BudgetCheckWindow worst = BudgetCheck_FindWorst(&check, 0);
    EXPECT_EQ(worst.extras, 13u);
    EXPECT_DOUBLE_EQ(worst.allowed, 12);
    EXPECT_EQ(BudgetCheck_FindWorst(&check, 1).extras, 0u);
    BudgetCheck_Clear(&check);
}

/* A server that answers each request with one of SimAnswer, and a caller. */
struct AnswerRig {
    event_base *base = event_base_new();
    Clk clk = Clk_Default();
    Server *server;
    Client *client = Client_New(base, &clk);
    ServerExchange *exchange = nullptr;
    ClientCall *call = nullptr;
    ClientFraming framing = CLIENT_FRAMING_NONE;
    std::string body;
    bool is_over = false;
    ClientOutcome outcome = CLIENT_NOT_SENT;

    AnswerRig()
    {
        ServerOptions options = Server_DefaultOptions();
        LsError err;
        options.base = base;
        options.clk = &clk;
        options.context = this;
        options.on_request = [](void *context, ServerExchange *exchange) {
            ((AnswerRig *)context)->exchange = exchange;
        };
        options.on_disconnect = [](void *, ServerExchange *) {};
        server = Server_New(&options, &err);
    }

    ~AnswerRig()
    {
        Client_Free(client);
        Server_Free(server);
        event_base_free(base);
    }

    void
    Turn()
    {
        event_base_loop(base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }

    /* Sends a request and waits until the server has it. */
    void
    Ask()
    {
        std::string address =
            "127.0.0.1:" + std::to_string(Server_GetPort(server));
        HeaderList *headers = Header_New();
        ClientCallOptions options = {};
        options.address = address.c_str();
        options.method = "POST";
        options.target = "/";
        options.headers = headers;
        options.context = this;
        options.on_head = [](void *context, int, const HeaderList *) {
            AnswerRig *rig = (AnswerRig *)context;
            rig->framing = Client_GetFraming(rig->call);
        };
        options.on_data = [](void *context, const void *data, size_t size) {
            ((AnswerRig *)context)->body.append((const char *)data, size);
        };
        options.on_end = [](void *context, ClientOutcome outcome) {
            ((AnswerRig *)context)->outcome = outcome;
            ((AnswerRig *)context)->is_over = true;
        };
        body.clear();
        is_over = false;
        call = Client_BeginCall(client, &options);
        Header_Free(headers);
        for (exchange = nullptr; exchange == nullptr;) {
            Turn();
        }
    }

    /* Turns the loop until the caller has this many bytes, or the end. */
    void
    Receive(size_t size)
    {
        while (!is_over && body.size() < size) {
            Turn();
        }
    }

    void
    End()
    {
        while (!is_over) {
            Turn();
        }
    }
};

const SimStreamOptions answer_stream = {"r1", 2, 12, 1, 7, 30, false};

SimAnswer
DrawAnswer(bool is_stream, bool has_steps, GRand *rand)
{
    SimStreamOptions options = answer_stream;
    SimAnswer answer;

    options.has_steps = has_steps;
    if (is_stream) {
        SimAnswer_InitStream(&answer, &options, rand);
    }
    else {
        SimAnswer_InitPlain(&answer, "r1234567", rand);
    }
    return answer;
}

bool
EndsEvent(const SimAnswer &answer, size_t offset)
{
    return offset >= 2 &&
           strncmp(answer.body->str + offset - 2, "\n\n", 2) == 0;
}

/* Each answer arrives whole, in the framing that was drawn, and all forms are
   drawn. */
TEST(Soak, AnswersOfWorkersArriveInEachForm)
{
    GRand *rand = g_rand_new_with_seed(62);
    HeaderList *headers = Header_New();
    AnswerRig rig;
    int framings[3] = {0, 0, 0};
    int split = 0;
    int joined = 0;
    int steps = 0;
    int pieces = 0;

    for (int i = 0; i < 200; i++) {
        bool is_stream = i % 2 == 0;
        SimAnswer answer = DrawAnswer(is_stream, i % 4 == 0, rand);
        const size_t size = answer.body->len;
        uint32_t pause_ms;
        rig.Ask();
        SimAnswer_Begin(&answer, rig.exchange, 200, headers);
        while (SimAnswer_Write(&answer, rig.exchange, &pause_ms)) {
            split += is_stream && !EndsEvent(answer, answer.written);
            rig.Receive(answer.written);
        }
        Server_EndStream(rig.exchange);
        rig.End();
        EXPECT_EQ(rig.outcome, CLIENT_COMPLETE);
        EXPECT_EQ(rig.body, std::string(answer.body->str, size));
        EXPECT_EQ(rig.framing, answer.framing == SIM_FRAMING_CHUNKS
                                   ? CLIENT_FRAMING_CHUNKS
                               : answer.framing == SIM_FRAMING_LENGTH
                                   ? CLIENT_FRAMING_LENGTH
                                   : CLIENT_FRAMING_CLOSE);
        framings[answer.framing]++;
        joined += is_stream && answer.pieces->len < 8;
        steps += is_stream && strstr(answer.body->str, "id: 3\n") == nullptr;
        pieces += !is_stream && answer.pieces->len > 1;
        SimAnswer_Clear(&answer);
    }
    for (int framing : framings) {
        EXPECT_GT(framing, 20);
    }
    EXPECT_GT(split, 0);
    EXPECT_GT(joined, 0);
    EXPECT_GT(steps, 0);
    EXPECT_GT(pieces, 0);
    Header_Free(headers);
    g_rand_free(rand);
}

/* An answer that is broken off is seen to be incomplete: by the end of its
   connection, or by its last event. */
TEST(Soak, AnswersThatAreBrokenOffLookIncomplete)
{
    GRand *rand = g_rand_new_with_seed(63);
    HeaderList *headers = Header_New();
    AnswerRig rig;
    int inside = 0;

    for (int i = 0; i < 200; i++) {
        bool is_stream = i % 2 == 0;
        SimAnswer answer = DrawAnswer(is_stream, false, rand);
        uint32_t pause_ms;
        rig.Ask();
        SimAnswer_Begin(&answer, rig.exchange, 200, headers);
        for (int k = 0; k < i / 2 % 3; k++) {
            SimAnswer_Write(&answer, rig.exchange, &pause_ms);
        }
        if (i % 3 > 0) {
            SimAnswer_WritePart(&answer, rig.exchange, rand);
        }
        if (answer.written == answer.body->len) {
            Server_EndStream(rig.exchange);
        }
        else {
            rig.Receive(answer.written);
            SimAnswer_Abort(&answer, rig.exchange, rand);
        }
        rig.End();
        bool is_inside = is_stream && rig.body.size() > 1 &&
                         !EndsEvent(answer, rig.body.size());
        bool is_whole = rig.body.size() == answer.body->len;
        EXPECT_TRUE(rig.outcome != CLIENT_COMPLETE || is_inside || is_whole);
        inside += rig.outcome == CLIENT_COMPLETE && is_inside;
        SimAnswer_Clear(&answer);
    }
    EXPECT_GT(inside, 0);
    Header_Free(headers);
    g_rand_free(rand);
}

struct CheckCase {
    const char *name;
    const char *route;
    /* Body made of the request's identifier and its number of events. */
    std::string (*make)(const std::string &id, int events);
    bool until_close; /* Without framing. */
    bool ends_worker; /* The process of its worker ends. */
    const char *finding;
    guint unproven;
};

std::string
MakeEvents(const std::string &id, int first, int end, int step = 1,
           unsigned run = 1, int from = 0)
{
    std::string text;
    char bytes[128];

    for (int next = first; next < end; next += step) {
        SimEvent event = {};
        event.last = std::min(next + step, end) - 1;
        g_strlcpy(event.id, id.c_str(), sizeof(event.id));
        event.first = next;
        event.version = 1;
        event.run = run;
        event.from = from;
        SimAnswer_FormatEvent(bytes, sizeof(bytes), &event);
        text += bytes;
    }
    return text;
}

const CheckCase check_cases[] = {
    {"whole stream", "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 0, n); }, false,
     false, nullptr, 0},
    {"whole stream without framing", "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 0, n); }, true,
     false, nullptr, 0},
    {"events of several tokens", "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 0, n, 3); },
     false, false, nullptr, 0},
    {"first event missing", "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 1, n); }, false,
     false, "ORDER", 0},
    {"event missing", "/stream/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 1) + MakeEvents(id, 2, n);
     },
     false, false, "ORDER", 0},
    {"event doubled", "/stream/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 2) + MakeEvents(id, 1, n);
     },
     false, false, "ORDER", 0},
    {"last event missing", "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 0, n - 1); },
     false, false, "ORDER", 0},
    {"last event missing, without framing, the worker's process ended",
     "/stream/",
     [](const std::string &id, int n) { return MakeEvents(id, 0, n - 1); },
     true, true, "ORDER", 0},
    {"part of an event at the end", "/stream/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, n) + "id: 9";
     },
     false, false, "ORDER", 0},
    {"parts of two events joined", "/stream/",
     [](const std::string &id, int n) {
         return "id: 0\ndata: " + MakeEvents(id, 0, n);
     },
     false, false, "MIXED", 0},
    {"data without an ID", "/stream/",
     [](const std::string &id, int n) {
         return "data: x\n\n" + MakeEvents(id, 0, n);
     },
     false, false, "MIXED", 0},
    {"two IDs, of which a caller takes the last one", "/stream/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, n - 1) + "id: " + std::to_string(n - 1) +
                "\n" + MakeEvents(id, n - 1, n);
     },
     false, false, "MIXED", 0},
    {"an event behind a CR in a comment", "/stream/",
     [](const std::string &id, int n) {
         return ": c\rid: 3\rdata: x\r\r\n\n" + MakeEvents(id, 0, n);
     },
     false, false, "MIXED", 0},
    {"a field of another name", "/stream/",
     [](const std::string &id, int n) {
         return "event: x\n" + MakeEvents(id, 0, n);
     },
     false, false, "MIXED", 0},
    {"event of another request", "/stream/",
     [](const std::string &, int n) { return MakeEvents("x1", 0, n); }, false,
     false, "MIXED", 0},
    {"another run goes on", "/resume/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 1) + MakeEvents(id, 1, n, 1, 2, 1);
     },
     false, false, nullptr, 0},
    {"another run goes on, where it may not", "/stream/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 1) + MakeEvents(id, 1, n, 1, 2, 1);
     },
     false, false, "ORDER", 0},
    {"another run, without its first event", "/resume/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 2) + MakeEvents(id, 2, n, 1, 2, 1);
     },
     false, false, "ORDER", 0},
    {"the first run goes on after another one", "/resume/",
     [](const std::string &id, int n) {
         return MakeEvents(id, 0, 1) + MakeEvents(id, 1, 2, 1, 2, 1) +
                MakeEvents(id, 2, n);
     },
     false, false, "ORDER", 0},
    {"whole body", "/read/", [](const std::string &id, int) { return id; },
     false, false, nullptr, 0},
    {"whole body without framing", "/read/",
     [](const std::string &id, int) { return id; }, true, false, nullptr, 0},
    {"part of a body", "/read/",
     [](const std::string &id, int) { return id.substr(0, 1); }, false, true,
     "MIXED", 0},
    {"part of a body without framing, the worker went on", "/read/",
     [](const std::string &id, int) { return id.substr(0, 1); }, true, false,
     "MIXED", 0},
    {"part of a body without framing, the worker's process ended", "/read/",
     [](const std::string &id, int) { return id.substr(0, 1); }, true, true,
     "MIXED", 1},
    {"body doubled, the worker's process ended", "/read/",
     [](const std::string &id, int) { return id + id; }, true, true, "MIXED",
     0},
};

struct CheckRig {
    const CheckCase *row;
    Ledger ledger;
    int answered;
};

/* Answers the first request of the row's kind, and no other one. */
void
AnswerCheck(void *context, ServerExchange *exchange)
{
    CheckRig *rig = (CheckRig *)context;
    const char *route = rig->row->route;
    std::string id = Header_Find(exchange->headers, "X-Request-Id");

    if (rig->answered > 0 ||
        strncmp(exchange->target, route, strlen(route)) != 0) {
        return;
    }
    rig->answered++;
    Ledger_RecordRun(&rig->ledger, id.c_str(), 3);
    if (rig->row->ends_worker) {
        Ledger_RecordProcessEnd(&rig->ledger, 3);
    }
    HeaderList *headers = Header_New();
    Header_Add(headers, "X-Response-Stamp", "s1");
    std::string body = rig->row->make(id, (int)Sim_CountEvents(id.c_str()));
    if (rig->row->until_close) {
        Server_SendUntilClose(exchange, 200, headers, body.data(),
                              body.size());
    }
    else {
        Server_SendResponse(exchange, 200, headers, body.data(), body.size());
    }
    Header_Free(headers);
}

TEST(Soak, CallersJudgeWhatTheyReceive)
{
    for (const CheckCase &row : check_cases) {
        SCOPED_TRACE(row.name);
        event_base *base = event_base_new();
        Clk clk = Clk_Default();
        CheckRig rig = {&row, {}, 0};
        GRand *rand = g_rand_new_with_seed(62);
        ServerOptions server_options = Server_DefaultOptions();
        LsError err;
        Ledger_Init(&rig.ledger, &budget);
        server_options.base = base;
        server_options.clk = &clk;
        server_options.context = &rig;
        server_options.on_request = AnswerCheck;
        server_options.on_disconnect = [](void *, ServerExchange *) {};
        Server *server = Server_New(&server_options, &err);
        std::string address =
            "127.0.0.1:" + std::to_string(Server_GetPort(server));
        LoadGenOptions options = {};
        options.base = base;
        options.clk = &clk;
        options.ledger = &rig.ledger;
        options.rand = rand;
        options.addresses[0] = address.c_str();
        options.vm_count = 1;
        options.requests_per_s = 400;
        LoadGen *load_gen = LoadGen_New(&options);
        guint ended = 0;
        while (ended == 0) {
            GHashTableIter iter;
            gpointer value;
            event_base_loop(base, EVLOOP_ONCE);
            g_hash_table_iter_init(&iter, rig.ledger.rows);
            while (g_hash_table_iter_next(&iter, nullptr, &value)) {
                ended += ((LedgerRow *)value)->is_ended;
            }
        }
        ASSERT_EQ(rig.ledger.findings->len, row.finding != nullptr ? 1u : 0u);
        if (row.finding != nullptr) {
            EXPECT_EQ(std::string((char *)rig.ledger.findings->pdata[0])
                          .find(row.finding),
                      0u);
        }
        EXPECT_EQ(rig.ledger.unproven, row.unproven);
        LoadGen_Free(load_gen);
        Server_Free(server);
        Ledger_Clear(&rig.ledger);
        g_rand_free(rand);
        event_base_free(base);
    }
}

/* A worker of the model service whose process ends bit by bit closes its
   answers, and responds to the question for its state until its end. */
TEST(Soak, ProcessThatEndsBitByBitRespondsForAWhile)
{
    event_base *base = event_base_new();
    Clk clk = Clk_Default();
    Ledger ledger;
    GRand *rand = g_rand_new_with_seed(65);
    SimOptions options = {};
    int closed_first = 0;
    int responded = 0;

    Ledger_Init(&ledger, &budget);
    options.slots = 8;
    options.form_rand = rand;
    options.linger_rand = rand;
    Sim *sim = Sim_New(base, &clk, &ledger, rand, &options);
    for (int play = 0; play < 20; play++) {
        /* A stream and an idle connection. */
        struct Conn {
            bufferevent *bev;
            std::string text;
            bool closed = false;
        } conns[2];
        sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(Proxy_GetPort(
            Sim_GetWorkerProxy(sim, SIM_PLAIN_COUNT + SIM_PREFILL_COUNT)));
        std::string id = "l" + std::to_string(play);
        Ledger_AddRequest(&ledger, id.c_str(), LEDGER_STREAM, 0, 10000,
                          Clk_Now(&clk));
        for (Conn &conn : conns) {
            conn.bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(
                conn.bev,
                [](bufferevent *bev, void *context) {
                    char bytes[4096];
                    size_t size = bufferevent_read(bev, bytes, sizeof(bytes));
                    ((Conn *)context)->text.append(bytes, size);
                },
                nullptr,
                [](bufferevent *, short what, void *context) {
                    ((Conn *)context)->closed |=
                        (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
                },
                &conn);
            bufferevent_enable(conn.bev, EV_READ | EV_WRITE);
            bufferevent_socket_connect(conn.bev, (sockaddr *)&to, sizeof(to));
        }
        std::string run =
            "POST /stream/" + id +
            " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id +
            "\r\nContent-Length: 0\r\n\r\n";
        std::string ask = "GET /v1/report HTTP/1.1\r\nHost: h\r\n\r\n";
        bufferevent_write(conns[0].bev, run.data(), run.size());
        bufferevent_write(conns[1].bev, ask.data(), ask.size());
        while (conns[0].text.find("id: 0") == std::string::npos ||
               conns[1].text.find("born") == std::string::npos) {
            event_base_loop(base, EVLOOP_ONCE);
        }
        conns[1].text.clear();
        Sim_CrashWorker(sim, SIM_PLAIN_COUNT + SIM_PREFILL_COUNT);
        while (!conns[0].closed) {
            event_base_loop(base, EVLOOP_ONCE);
        }
        closed_first += !conns[1].closed;
        bufferevent_write(conns[1].bev, ask.data(), ask.size());
        while (!conns[1].closed) {
            event_base_loop(base, EVLOOP_ONCE);
        }
        responded += conns[1].text.find("born") != std::string::npos;
        Sim_StartWorker(sim, SIM_PLAIN_COUNT + SIM_PREFILL_COUNT);
        for (Conn &conn : conns) {
            bufferevent_free(conn.bev);
        }
    }
    EXPECT_GE(responded, 2);
    EXPECT_LE(responded, 14);
    EXPECT_GE(closed_first, responded);
    Sim_Free(sim);
    Ledger_Clear(&ledger);
    g_rand_free(rand);
    event_base_free(base);
}

} // namespace
