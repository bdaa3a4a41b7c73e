/* Shutdown: the planned stop of one VM's gate. See shutdown.h. */
#include "shutdown.h"

#include "../decide/admission.h"
#include "../decide/drain.h"
#include "../io/loop.h"
#include "../log.h"

#define SHUTDOWN_TICK_MS 100 /* Interval of checks. */
/* The same once the remaining requests have been ended. */
#define SHUTDOWN_END_TICK_MS 20
/* The loop was held up if a check is later than this. */
#define SHUTDOWN_LATE_US (50 * CLK_US_PER_MS)
/* With less of the grace left, the requests in progress are logged, in case
   that the process is killed before it can end them. */
#define SHUTDOWN_LOG_LEFT_US CLK_US_PER_S

struct Shutdown {
    ShutdownOptions options;
    struct event *timer;
    bool has_begun;
    bool notice_over;  /* No connections are accepted any more. */
    bool tasks_logged; /* Requests in progress have been logged. */
    bool end_delayed;  /* Their end was put off once. */
    bool tasks_ended;  /* They have been ended. */
    int64_t due_us;    /* When the next check is due. */
    int64_t begin_us;
    int64_t drain_end_us; /* When the remaining requests are ended. */
    int64_t exit_us;      /* When the loop ends at the latest. */
};

static void arm_timer(Shutdown *shutdown, int64_t after_us);
static bool is_held_up(const Shutdown *shutdown, int64_t now_us);
static void log_late_check(const Shutdown *shutdown, int64_t now_us);
static void on_tick(evutil_socket_t fd, short what, void *context);
static bool is_drained(const Shutdown *shutdown);
static void end_remaining(Shutdown *shutdown);

Shutdown *
Shutdown_New(const ShutdownOptions *options)
{
    Shutdown *shutdown = g_new0(Shutdown, 1);

    shutdown->options = *options;
    shutdown->timer = evtimer_new(options->base, on_tick, shutdown);
    return shutdown;
}

void
Shutdown_Free(Shutdown *shutdown)
{
    if (shutdown == NULL) {
        return;
    }
    event_free(shutdown->timer);
    g_free(shutdown);
}

void
Shutdown_Begin(Shutdown *shutdown, int64_t signal_us)
{
    const ShutdownOptions *options = &shutdown->options;
    int64_t grace_us = (int64_t)options->grace_ms * CLK_US_PER_MS;

    if (shutdown->has_begun) {
        return;
    }
    shutdown->has_begun = true;
    shutdown->begin_us = Clk_Now(options->clk);
    shutdown->drain_end_us = Drain_GetEnd(signal_us, grace_us);
    shutdown->exit_us = Drain_GetExit(signal_us, grace_us);
    Server_BeginShutdown(options->callers);
    Gate_BeginShutdown(options->gate);
    Gate_SetDrain(options->gate, shutdown->drain_end_us);
    Log_WriteJson(LOG_LEVEL_NOTICE, "stopping",
                  json_pack("{s:i}", "exchanges",
                            (int)Server_CountPending(options->callers)));
    arm_timer(shutdown, SHUTDOWN_TICK_MS * CLK_US_PER_MS);
}

bool
Shutdown_HasBegun(const Shutdown *shutdown)
{
    return shutdown != NULL && shutdown->has_begun;
}

static void
arm_timer(Shutdown *shutdown, int64_t after_us)
{
    shutdown->due_us = Clk_Now(shutdown->options.clk) + after_us;
    Loop_ArmTimerUs(shutdown->timer, after_us);
}

static bool
is_held_up(const Shutdown *shutdown, int64_t now_us)
{
    return now_us - shutdown->due_us > SHUTDOWN_LATE_US;
}

static void
log_late_check(const Shutdown *shutdown, int64_t now_us)
{
    if (is_held_up(shutdown, now_us)) {
        Log_WriteJson(
            LOG_LEVEL_WARNING, "shutdown_held_up",
            json_pack("{s:I,s:I}", "late_us",
                      (json_int_t)(now_us - shutdown->due_us), "left_us",
                      (json_int_t)(shutdown->drain_end_us - now_us)));
    }
}

/* Ends the loop when the load balancer sends no more requests and none is in
   progress, or when the grace is over. */
static void
on_tick(evutil_socket_t fd, short what, void *context)
{
    Shutdown *shutdown = context;
    const ShutdownOptions *options = &shutdown->options;
    int64_t now_us = Clk_Now(options->clk);
    int64_t since_ms = (now_us - shutdown->begin_us) / CLK_US_PER_MS;
    int64_t end_ms =
        (shutdown->drain_end_us - shutdown->begin_us) / CLK_US_PER_MS;
    int64_t next_us;

    (void)fd;
    (void)what;
    log_late_check(shutdown, now_us);
    if (since_ms >= MIN(options->notice_ms, end_ms) &&
        !shutdown->notice_over) {
        shutdown->notice_over = true;
        Server_StopListening(options->callers);
    }
    if (now_us >= shutdown->drain_end_us - SHUTDOWN_LOG_LEFT_US &&
        !shutdown->tasks_logged) {
        shutdown->tasks_logged = true;
        Gate_LogRequests(options->gate);
    }
    if (now_us >= shutdown->drain_end_us && !shutdown->tasks_ended &&
        !shutdown->end_delayed && is_held_up(shutdown, now_us)) {
        shutdown->end_delayed = true;
        /* Answers that have come meanwhile are read before the end. */
        arm_timer(shutdown, SHUTDOWN_END_TICK_MS * CLK_US_PER_MS);
        return;
    }
    if (now_us >= shutdown->drain_end_us && !shutdown->tasks_ended) {
        shutdown->tasks_ended = true;
        end_remaining(shutdown);
        /* The loop writes the last answers, also if it was held up. */
        shutdown->exit_us = MAX(shutdown->exit_us,
                                now_us + SHUTDOWN_END_TICK_MS * CLK_US_PER_MS);
    }
    if (is_drained(shutdown)) {
        Server_CloseIdle(options->callers);
    }
    if (is_drained(shutdown) || now_us >= shutdown->exit_us) {
        Gate_LogDrain(options->gate);
        event_base_loopexit(options->base, NULL);
        return;
    }
    next_us = shutdown->tasks_ended
                  ? MIN(SHUTDOWN_END_TICK_MS * CLK_US_PER_MS,
                        shutdown->exit_us - now_us)
                  : CLAMP(shutdown->drain_end_us - now_us, 1000,
                          SHUTDOWN_TICK_MS * CLK_US_PER_MS);
    arm_timer(shutdown, next_us);
}

/* Whether no caller needs the process any more. */
static bool
is_drained(const Shutdown *shutdown)
{
    const Server *callers = shutdown->options.callers;
    const Relay *relay = shutdown->options.relay;

    if (shutdown->tasks_ended) {
        /* Callers read their last answers. */
        return Server_CountOpen(callers) == 0 &&
               (relay == NULL || Relay_CountPending(relay) == 0);
    }
    return shutdown->notice_over && Server_CountPending(callers) == 0 &&
           (relay == NULL || Relay_CountPending(relay) == 0);
}

/* Ends the requests in progress, and refuses those that are being read. */
static void
end_remaining(Shutdown *shutdown)
{
    const ShutdownOptions *options = &shutdown->options;
    const GateCodec *codec = options->codec;
    HeaderList *headers = Header_New();
    GString *body = g_string_new(NULL);
    LsError err;

    Log_WriteJson(LOG_LEVEL_WARNING, "shutdown_cut",
                  json_pack("{s:i}", "exchanges",
                            (int)Server_CountPending(options->callers)));
    Gate_EndAll(options->gate);
    Err_Set(&err, LS_ERR_SHUTTING_DOWN, LS_RUN_NOT_RUN,
            "the request was not read before the VM stopped");
    err.retry_after_ms = ADMISSION_RETRY_MIN_MS;
    codec->encode_error(codec->context, NULL, &err, headers, body);
    Server_RefuseUnread(options->callers, Err_GetHttpStatus(err.code), headers,
                        body->str, body->len);
    Server_CloseIdle(options->callers);
    Header_Free(headers);
    g_string_free(body, TRUE);
}
