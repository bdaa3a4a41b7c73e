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
    LedKind kind;
    int runs;
    int status;          /* HTTP status that the caller received */
    const char *finding; /* first word of the finding, or nullptr */
};

const LedgerCase ledger_cases[] = {
    {"hold, served", LED_HOLD, 1, 200, nullptr},
    {"hold, outcome unknown", LED_HOLD, 1, 502, nullptr},
    {"hold, refused", LED_HOLD, 0, 503, nullptr},
    {"hold, run twice", LED_HOLD, 2, 200, "TWICE"},
    {"hold, refused and run", LED_HOLD, 1, 503, "REFUSED"},
    {"hold, rate-limited and run", LED_HOLD, 1, 429, "REFUSED"},
    {"stream, run twice", LED_STREAM, 2, 200, "TWICE"},
    {"resumable stream, run twice", LED_RESUME, 2, 200, nullptr},
    {"resumable stream, refused and run", LED_RESUME, 1, 503, "REFUSED"},
    {"read, run twice", LED_READ, 2, 200, nullptr},
};

TEST(Soak, LedgerFindsViolations)
{
    for (const LedgerCase &row : ledger_cases) {
        SCOPED_TRACE(row.name);
        Led led;
        Led_Init(&led);
        Led_AddRequest(&led, "r1", row.kind, 0);
        for (int i = 0; i < row.runs; i++) {
            Led_RecordRun(&led, "r1");
        }
        Led_Find(&led, "r1")->status = row.status;
        Led_Check(&led);
        ASSERT_EQ(led.findings->len, row.finding != nullptr ? 1u : 0u);
        if (row.finding != nullptr) {
            EXPECT_EQ(
                std::string((char *)led.findings->pdata[0]).find(row.finding),
                0u);
        }
        Led_Clear(&led);
    }
}

TEST(Soak, LedgerFindsRunsWithoutRequest)
{
    Led led;
    Led_Init(&led);
    Led_RecordRun(&led, "r9");
    ASSERT_EQ(led.findings->len, 1u);
    Led_Clear(&led);
}

struct ProxyCase {
    const char *name;
    PrxMode mode;
    bool reaches; /* the request reaches the server */
    bool returns; /* the response reaches the caller */
};

const ProxyCase proxy_cases[] = {
    {"passes", PRX_PASS, true, true},
    {"slow", PRX_SLOW, true, true},
    {"silent", PRX_SILENT, false, false},
    {"mute", PRX_MUTE, true, false},
};

TEST(Soak, ProxyInjectsFaultsAndRecovers)
{
    for (const ProxyCase &row : proxy_cases) {
        SCOPED_TRACE(row.name);
        GateRig rig;
        Worker *worker = rig.AddWorker({Ok()});
        uint16_t port = (uint16_t)std::stoi(
            worker->address.substr(worker->address.find(':') + 1));
        Prx *prx = Prx_New(rig.base, port);
        Prx_SetMode(prx, row.mode);
        {
            Caller caller(rig.base, Prx_GetPort(prx));
            caller.Send("GET / HTTP/1.1\r\nX-Request-Id: a\r\n\r\n");
            int ticks = 0;
            rig.Until([&] {
                return row.returns ? caller.IsWhole() : ++ticks > 100;
            });
            EXPECT_EQ(worker->requests.size(), row.reaches ? 1u : 0u);
            EXPECT_EQ(caller.IsWhole(), row.returns);
            Prx_SetMode(prx, PRX_PASS); /* Blocked bytes arrive. */
            EXPECT_TRUE(rig.Until([&] { return caller.IsWhole(); }));
            Prx_ResetAll(prx);
            EXPECT_TRUE(rig.Until([&] { return caller.closed; }));
        }
        Prx_Free(prx);
    }
}

} // namespace
