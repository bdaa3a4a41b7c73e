/* Tests of the soak test itself: the violations that its ledger detects, and
   the faults that its proxy injects. If the ledger missed a violated
   guarantee, a soak run without findings would mean nothing. */
#include "gate_rig.h"

extern "C" {
#include "ledger.h"
#include "proxy.h"
}

namespace {

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
        Ledger_Init(&ledger);
        Ledger_AddRequest(&ledger, "r1", row.kind, 0);
        for (int i = 0; i < row.runs; i++) {
            Ledger_RecordRun(&ledger, "r1");
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
    Ledger_Init(&ledger);
    Ledger_RecordRun(&ledger, "r9");
    ASSERT_EQ(ledger.findings->len, 1u);
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

} // namespace
