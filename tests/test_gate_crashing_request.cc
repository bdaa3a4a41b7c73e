/* Tests of single requests that crash each worker which runs them, and come
   again and again, at any VM, among sound ones. */
#include "fleet_rig.h"

namespace {

/* Users' bound (RULES, BUDGET): requests after the third crash. */
constexpr int crashes_free = 3;
constexpr int requests_after_max = 3;
/* Time for all VMs to learn of a crash that breaks its connections. */
constexpr int64_t learn_ms = 500;
/* Time for all VMs to learn of a worker that falls silent: until a call counts
   as silent, a connection as unanswered, and a message has come. */
constexpr int64_t learn_dark_ms = 1500;

/* What crashes the workers, and how. */
struct Cause {
    const char *name;
    Route route;
    const char *parts = "";         /* Of the request's prompt; "" for none. */
    const char *shared = "f0:200,"; /* Parts before the sound ones' own. */
    bool changes_body = false;      /* Only its parts repeat. */
    int restart_ms = 500;           /* Until a crashed worker is back. */
    bool ends_dark = false;         /* Workers fall silent instead. */
    /* Sound requests are the same bytes from another address. */
    bool is_sound_for_others = false;
};

struct Outcome {
    int crashes = 0;
    int late = 0;  /* Requests after the third crash. */
    int sound = 0; /* Sound requests of the last two fifths. */
    int served = 0;
};

std::string
MakeRequest(const std::string &parts, const std::string &body, int number)
{
    std::string text = "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-" +
                       std::to_string(number) + "\r\n";
    if (!parts.empty()) {
        text +=
            "X-Token-Usage: 1000,100\r\nX-Prompt-Prefix: " + parts + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/* Plays 3 s, in which the request comes every 60 ms and a sound one every
   30 ms. `on_round` is called before each of 100 rounds. */
Outcome
Play(
    FleetRig *rig, const Cause &cause,
    const std::function<void(int)> &on_round = [](int) {})
{
    const bool has_parts = cause.parts[0] != '\0';
    int64_t third_us = 0;
    std::vector<Caller *> sound;
    Outcome outcome;
    int number = 0;

    rig->restart_ms = cause.restart_ms;
    for (auto &worker : rig->workers) {
        worker->crash_text = "poison";
        worker->ends_dark = cause.ends_dark;
    }
    rig->RunFor(500);
    for (int i = 0; i < 100; i++) {
        size_t vm = (size_t)i % rig->edges.size();
        std::string nth = std::to_string(i);
        std::string good;
        on_round(i);
        if (i % 2 == 0) {
            rig->Call(
                vm, MakeRequest(cause.parts,
                                cause.changes_body ? "poison" + nth : "poison",
                                ++number));
        }
        if (cause.is_sound_for_others) {
            good = MakeRequest(cause.parts, "poison", ++number);
            good.insert(good.find("Content-Length"), sound_field);
        }
        else {
            good = MakeRequest(has_parts ? cause.shared + std::string("e") +
                                               nth + ":500"
                                         : "",
                               "b" + nth, ++number);
        }
        Caller *caller =
            rig->Call(vm, good, cause.is_sound_for_others ? 2 : 1);
        if (i >= 60) {
            sound.push_back(caller);
        }
        rig->RunFor(30);
        if (third_us == 0 && rig->CountCrashes() >= crashes_free) {
            third_us = g_get_monotonic_time();
        }
    }
    rig->RunFor(800);
    outcome.crashes = rig->CountCrashes();
    if (third_us != 0) {
        outcome.late = rig->CountPartSince(
            third_us +
            (cause.ends_dark ? learn_dark_ms : learn_ms) * CLK_US_PER_MS);
    }
    outcome.sound = (int)sound.size();
    for (Caller *caller : sound) {
        outcome.served += caller->Status() == 200 && caller->IsComplete();
    }
    printf("%s: %d crashes, %d requests late, %d of %d sound ones served\n",
           cause.name, outcome.crashes, outcome.late, outcome.served,
           outcome.sound);
    return outcome;
}

void
ExpectStopped(const Outcome &outcome)
{
    EXPECT_LE(outcome.late, requests_after_max);
    EXPECT_GE(outcome.served, outcome.sound * 9 / 10);
}

const Route resumable = {RTE_STREAM, 2, true};
const Route plain = {RTE_IDEMPOTENT, 2};
const Route plain_once = {RTE_NON_IDEMPOTENT, 1};

const Cause streams[] = {
    {"prompt with a part that sound ones share", resumable, "f0:200,bad:500"},
    {"prompt with a part that no other one shares", resumable,
     "f1:200,bad:500"},
    {"prompt of its own part only", resumable, "bad:500", ""},
    {"requests of one session, with the own part of their prompts", resumable,
     "f0:200,bad:500", "f0:200,", true},
};

TEST(GateCrashingRequest, StreamWithSharedPartsIsNotSentToFurtherWorkers)
{
    for (const Cause &row : streams) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 3, 3);
        ExpectStopped(Play(&rig, row));
    }
}

const Cause for_one_caller[] = {
    {"plain, may be repeated", plain, "", "", false, 500, false, true},
    {"plain, may run once", plain_once, "", "", false, 500, false, true},
};

TEST(GateCrashingRequest, SoundAnswersToOtherCallersDontHideIt)
{
    for (const Cause &row : for_one_caller) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 3, 3);
        ExpectStopped(Play(&rig, row));
    }
}

const Cause unseen_crashes[] = {
    {"stream, workers are back at once", resumable, "f0:200,bad:500",
     "f0:200,", false, 0},
    {"plain, workers are back at once", plain, "", "", false, 0},
    {"plain once, workers are back at once", plain_once, "", "", false, 0},
    {"stream, workers fall silent",
     {RTE_STREAM, 2, true, 3000, 500},
     "f0:200,bad:500",
     "f0:200,",
     false,
     500,
     true},
    {"plain, workers fall silent",
     {RTE_IDEMPOTENT, 2, false, 2000, 500},
     "",
     "",
     false,
     500,
     true},
};

TEST(GateCrashingRequest, CrashThatNoRefusedConnectionShowsCounts)
{
    for (const Cause &row : unseen_crashes) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 3, 3);
        ExpectStopped(Play(&rig, row));
    }
}

/* Each worker resets a connection first, and is found to be up. */
TEST(GateCrashingRequest, CrashAfterAResetOfTheSameWorkerCounts)
{
    FleetRig rig(plain, 1, 3);
    Cause cause = {"after resets", plain};
    cause.restart_ms = 2000;
    Outcome outcome = Play(&rig, cause, [&](int round) {
        if (round == 0) {
            for (auto &worker : rig.workers) {
                worker->crash_text = "";
                worker->resets_on_read = 1;
            }
            for (int i = 0; i < 6; i++) {
                rig.Call(0,
                         MakeRequest("", "a" + std::to_string(i), 1000 + i));
                rig.RunFor(50);
            }
            rig.RunFor(300);
            for (auto &worker : rig.workers) {
                EXPECT_EQ(worker->resets_on_read, 0);
                worker->crash_text = "poison";
            }
        }
    });
    ExpectStopped(outcome);
    EXPECT_LE(outcome.crashes, crashes_free);
}

TEST(GateCrashingRequest, IsStoppedAgainAfterAllVmsWereKilled)
{
    FleetRig rig(plain, 3, 3);
    ExpectStopped(Play(&rig, {"all VMs killed", plain}, [&](int round) {
        if (round == 40) {
            rig.RestartAllVms();
        }
    }));
}

/* The VM gets the request before any message of another one. */
TEST(GateCrashingRequest, IsNotSentOnByAVmThatHasJustStarted)
{
    for (const Cause &row :
         {Cause{"stream", resumable, "f0:200,bad:500"}, Cause{"plain", plain},
          Cause{"plain, may run once", plain_once}}) {
        SCOPED_TRACE(row.name);
        FleetRig rig(row.route, 3, 3);
        std::string request = MakeRequest(row.parts, "poison", 1);
        for (auto &worker : rig.workers) {
            worker->crash_text = "poison";
        }
        rig.restart_ms = 100;
        rig.RunFor(500);
        for (size_t i = 0; i < 4; i++) {
            rig.Call(i % 3, request);
            rig.RunFor(300);
        }
        rig.RunFor(500);
        EXPECT_LE(rig.CountCrashes(), crashes_free);
        int64_t now_us = g_get_monotonic_time();
        rig.AddVm();
        Caller *caller = rig.Call(3, request);
        rig.RunFor(500);
        EXPECT_EQ(rig.CountPartSince(now_us), 0);
        EXPECT_EQ(caller->Status(), 503);
    }
}

/* No other VM answers. */
TEST(GateCrashingRequest, VmThatStartsAloneServes)
{
    for (const Route &route : {resumable, plain, plain_once}) {
        for (bool is_seed_down : {false, true}) {
            SCOPED_TRACE(is_seed_down);
            FleetRig rig(route, 1, 3);
            size_t vm = 0;
            if (is_seed_down) {
                rig.RunFor(100);
                rig.KillVm(0);
                rig.AddVm();
                vm = 1;
            }
            Caller *caller = rig.Call(
                vm,
                MakeRequest(route.kind == RTE_STREAM ? "f0:200,e1:500" : "",
                            "b", 1));
            rig.RunFor(400);
            EXPECT_EQ(caller->Status(), 200);
        }
    }
}

TEST(GateCrashingRequest, IsStoppedAtAVmThatIsCutOffFromWorkers)
{
    FleetRig rig(plain, 3, 3);
    rig.CutOff(0, FleetRig::REFUSE);
    ExpectStopped(Play(&rig, {"a VM by way of others", plain}));
}

} // namespace
