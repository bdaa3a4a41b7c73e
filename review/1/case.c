/* Case 1: a VM that is being stopped takes a stream late, by the caller's
   estimate of its length, and cuts it at the end of the grace. */
#include "../rig.h"

#include <signal.h>

#define CASE_WARM_CALLERS 9
#define CASE_WARM_EVENTS 30
#define CASE_PROMPT 2000
#define CASE_LONG_EVENTS 170 /* The longest answer on the sheet. */
#define CASE_LATE_US (3200 * CLK_US_PER_MS)
#define CASE_LATE_EACH_US (20 * CLK_US_PER_MS)
#define CASE_GRACE_US (8 * CLK_US_PER_S)
/* Requests that were sent no later than this after SIGTERM, and at which a
   worker is still at work in the last sixth of the grace, don't count. */
#define CASE_EXCUSED_US (3 * CLK_US_PER_S)
#define CASE_END_US (17 * CLK_US_PER_S)

/* A late stream: its events, and what its caller expects. */
typedef struct Late {
    uint32_t events;
    uint32_t hint;
} Late;

static const Late lates[] = {
    {150, 38}, {125, 40}, {71, 48},  {71, 71},
    {71, 105}, {50, 80},  {40, 110}, {30, 100},
};

typedef enum Step {
    STEP_START,
    STEP_WARM,
    STEP_LONG,
    STEP_STOP,
    STEP_LATE,
    STEP_END,
} Step;

typedef struct Case {
    Rig *rig;
    bool has_trouble;
    Step step;
    int64_t step_us; /* When the step began. */
    int64_t stop_us; /* When SIGTERM is sent, or would be. */
    uint32_t first;  /* First late request. */
    uint32_t sent;   /* Late requests so far. */
    bool is_sound;   /* All late ones were sent on kept connections. */
} Case;

static void begin_step(Case *self, Step step, int64_t now_us);
static void send_warm(Case *self);
static void send_late(Case *self);
static int judge(Case *self);
static void on_tick(void *context, int64_t now_us);

int
main(int argc, char **argv)
{
    RigOptions options = Rig_DefaultOptions();
    Case self = {.is_sound = true};
    int status;

    if (!Rig_ReadFlags(argc, argv, &options)) {
        return 2;
    }
    options.context = &self;
    options.on_tick = on_tick;
    options.seconds = 60;
    self.has_trouble = options.has_trouble;
    self.rig = Rig_New(&options);
    Rig_Note(self.rig, "trouble: %d", (int)self.has_trouble);
    status = Rig_Run(self.rig);
    Rig_Free(self.rig);
    return status;
}

static void
begin_step(Case *self, Step step, int64_t now_us)
{
    self->step = step;
    self->step_us = now_us;
}

static void
on_tick(void *context, int64_t now_us)
{
    Case *self = context;
    int64_t since_us = now_us - self->step_us;
    RigCaller *caller;

    switch (self->step) {
    case STEP_START:
        if (since_us > 3 * CLK_US_PER_S && Rig_IsReady(self->rig, 0) &&
            Rig_IsReady(self->rig, 1) && Rig_IsReady(self->rig, 2)) {
            begin_step(self, STEP_WARM, now_us);
            send_warm(self);
        }
        break;
    case STEP_WARM:
        if (since_us > 2500 * CLK_US_PER_MS) {
            caller = Rig_GetCaller(self->rig, 0, false);
            Rig_Note(self->rig, "a stream that takes most of the grace");
            Rig_SendStream(caller, "/once/1", CASE_PROMPT, CASE_LONG_EVENTS,
                           CASE_LONG_EVENTS);
            begin_step(self, STEP_LONG, now_us);
        }
        break;
    case STEP_LONG:
        if (since_us > 200 * CLK_US_PER_MS) {
            self->stop_us = now_us;
            if (self->has_trouble) {
                Rig_Signal(self->rig, 0, SIGTERM);
            }
            begin_step(self, STEP_STOP, now_us);
        }
        break;
    case STEP_STOP:
        if (since_us > CASE_LATE_US) {
            self->first = Rig_CountRequests(self->rig);
            begin_step(self, STEP_LATE, now_us);
        }
        break;
    case STEP_LATE:
        if (since_us > self->sent * CASE_LATE_EACH_US) {
            send_late(self);
        }
        if (self->sent == G_N_ELEMENTS(lates)) {
            begin_step(self, STEP_END, now_us);
        }
        break;
    case STEP_END:
        if (now_us - self->stop_us > CASE_END_US - CASE_GRACE_US / 2) {
            Rig_End(self->rig, judge(self));
        }
        break;
    }
}

/* Opens connections that are kept, with a request on each. */
static void
send_warm(Case *self)
{
    for (uint32_t i = 0; i < CASE_WARM_CALLERS; i++) {
        RigCaller *caller = Rig_GetCaller(self->rig, 0, true);
        Rig_SendStream(caller, "/once/0", CASE_PROMPT, CASE_WARM_EVENTS,
                       CASE_WARM_EVENTS);
    }
}

/* Sends the next late stream on a kept connection. */
static void
send_late(Case *self)
{
    const Late *late = &lates[self->sent++];
    RigCaller *caller = Rig_GetCaller(self->rig, 0, false);
    RigRequest *request;

    if (!caller->is_open || caller->is_new) {
        self->is_sound = false;
    }
    request = Rig_SendStream(caller, "/once/2", CASE_PROMPT, late->events,
                             late->hint);
    Rig_Note(self->rig, "%s sent %.3f s after SIGTERM: %u events, hint %u",
             request->id,
             (double)(request->sent_us - self->stop_us) / CLK_US_PER_S,
             late->events, late->hint);
}

/* Returns 1 if a stream that was passed on ended without a complete answer,
   though its worker was at work. */
static int
judge(Case *self)
{
    uint32_t lost = 0;

    for (uint32_t i = 0; i < Rig_CountRequests(self->rig); i++) {
        const RigRequest *request = Rig_GetRequest(self->rig, i);
        int64_t after_us = request->sent_us - self->stop_us;
        bool is_lost = request->run_us != RIG_NEVER && !request->is_complete &&
                       request->cut_us != RIG_NEVER;
        if (request->status == 200 && request->is_complete &&
            (!request->has_receipt || request->seen != request->events)) {
            Rig_Note(self->rig, "%s: the answer is not the worker's",
                     request->id);
            return 2;
        }
        if (!self->has_trouble &&
            (request->status != 200 || !request->is_complete)) {
            Rig_Note(self->rig, "%s failed without trouble", request->id);
            return 1;
        }
        if (is_lost && after_us > CASE_EXCUSED_US) {
            Rig_Note(self->rig,
                     "LOST %s: sent %.3f s after SIGTERM, passed on, and cut "
                     "%.3f s after it, %u of %u events, worker at work",
                     request->id, (double)after_us / CLK_US_PER_S,
                     (double)(request->cut_us - self->stop_us) / CLK_US_PER_S,
                     request->seen, request->events);
            lost++;
        }
    }
    if (self->sent != G_N_ELEMENTS(lates) || !self->is_sound) {
        Rig_Note(self->rig, "the late streams could not be sent");
        return 2;
    }
    Rig_Note(self->rig, "%u streams lost", lost);
    return lost > 0 ? 1 : 0;
}
