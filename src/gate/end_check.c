/* End check: whether a worker's process outlived its answer. See
   end_check.h. */
#include "end_check.h"

#include "../io/loop.h"
#include "../log.h"

#include <string.h>

/* Largest answer with a worker's state: it lists its runs. */
#define END_CHECK_BODY_MAX_BYTES (64 * 1024)

/* A question for the worker's state, and the reply to it. */
typedef struct EndQuestion {
    struct EndCheck *check;
    ClientCall *call;  /* NULL while it is not in progress. */
    int64_t asked_us;  /* Since the end of the answer. */
    bool is_older;     /* It went on an older connection. */
    bool is_early;     /* The reply came before it was delivered. */
    uint64_t number;   /* Of its connection. */
    uint32_t refusals; /* That this one has carried before. */
    int status;
    int64_t born_ms; /* Start that the reply told; 0: none. */
    GByteArray *body;
} EndQuestion;

struct EndCheck {
    TaskCall *call;
    EndQuestion questions[2];
    EndQuestion *question; /* The last one. */
    EndQuestion *held;     /* An earlier one that is left open, or NULL. */
    struct event *timer;   /* End of the last question or of a pause. */
    int64_t began_us;
    AnswerEndState state;
    /* Refusals since the end of the answer on one older connection, and before
       that. */
    uint64_t refusing_number;
    uint32_t refusals;
    uint32_t earlier_refusals;
    bool is_waiting;  /* For an older connection. */
    bool is_settling; /* Until `settle_us`, with an early sign. */
    bool is_learning; /* It asks for the start; the answer may go on. */
    /* NULL while the answer goes on. */
    void (*on_checked)(TaskCall *call, AnswerEndStep step);
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static struct EndCheck *new_check(TaskCall *call);
static void confirm(struct EndCheck *check);
static bool may_hold(const struct EndCheck *check);
static void hold(struct EndCheck *check);
static void end_question(EndQuestion *question);
static bool is_paused(const struct EndCheck *check);
static int64_t get_waited(const struct EndCheck *check);
static int64_t get_patience(const struct EndCheck *check,
                            bool may_go_on_elsewhere);
static bool may_go_on(const GateTask *task);
static void ask(struct EndCheck *check, bool older);
static void fill_older(const struct EndCheck *check,
                       ClientCallOptions *options);
static bool matches_control(void *context, const HeaderList *headers);
static uint64_t get_told_label(void *context);
static void on_head(void *context, int status, const HeaderList *headers);
static void on_data(void *context, const void *data, size_t size);
static void on_end(void *context, ClientOutcome outcome);
static AnswerEndReply read_reply(EndQuestion *question);
static AnswerEndReply count_refusal(const EndQuestion *question);
static void learn_start(struct EndCheck *check, AnswerEndReply reply);
static void advance(struct EndCheck *check, AnswerEndReply reply);
static void decide(struct EndCheck *check);
static void log_end(const struct EndCheck *check, AnswerEndStep step);

bool
EndCheck_IsNeeded(const TaskCall *call, ClientOutcome outcome)
{
    return call->framing == CLIENT_FRAMING_CLOSE &&
           Task_HasAnswer(call, outcome) &&
           Task_GetRun(call, outcome) != LS_RUN_NOT_RUN;
}

void
EndCheck_Begin(TaskCall *call,
               void (*on_checked)(TaskCall *call, AnswerEndStep step))
{
    GateTask *task = call->task;
    struct EndCheck *check = call->end_check;

    if (check == NULL) {
        check = new_check(call);
        Loop_ArmTimerUs(check->timer, 0);
    }
    check->began_us = Task_Now(task);
    check->state.is_stream = task->route->kind == RTE_STREAM;
    check->state.patience_us = get_patience(check, may_go_on(task));
    check->state.settle_us = AnswerEnd_GetSettleTime(check->state.is_stream);
    check->state.knows_start = task->service->is_engine &&
                               call->born_ms != 0 &&
                               !call->worker->tells_no_start;
    check->on_checked = on_checked;
    if (call == task->current) {
        task->step_deadline_us = 0;
        Task_SetTimer(task);
    }
}

static struct EndCheck *
new_check(TaskCall *call)
{
    GateTask *task = call->task;
    struct EndCheck *check = g_new0(struct EndCheck, 1);

    check->call = call;
    check->timer = evtimer_new(task->gate->options.base, on_timer, check);
    for (size_t i = 0; i < G_N_ELEMENTS(check->questions); i++) {
        check->questions[i].check = check;
        check->questions[i].body = g_byte_array_new();
    }
    check->question = &check->questions[0];
    call->end_check = check;
    return check;
}

void
EndCheck_Cancel(TaskCall *call)
{
    struct EndCheck *check = call->end_check;

    if (check == NULL) {
        return;
    }
    call->end_check = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(check->questions); i++) {
        end_question(&check->questions[i]);
        g_byte_array_free(check->questions[i].body, TRUE);
    }
    event_free(check->timer);
    g_free(check);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    struct EndCheck *check = context;

    (void)fd;
    (void)what;
    if (check->question->call != NULL && may_hold(check)) {
        hold(check);
        advance(check, ANSWER_END_NO_REPLY);
    }
    else if (check->question->call != NULL) {
        end_question(check->question);
        advance(check, ANSWER_END_NO_REPLY);
    }
    else if (check->is_settling) {
        confirm(check);
    }
    else if (check->is_learning && check->on_checked == NULL) {
        TaskCall *call = check->call;
        EndCheck_Cancel(call);
        EndCheck_LearnStart(call);
    }
    else if (check->is_learning) {
        learn_start(check, ANSWER_END_NO_REPLY);
    }
    else if (is_paused(check) && check->state.reply != ANSWER_END_NOT_ASKED &&
             check->state.reply != ANSWER_END_REFUSED_AGAIN &&
             get_waited(check) < check->state.patience_us) {
        Loop_ArmTimerUs(check->timer, ANSWER_END_PAUSE_US);
    }
    else if (check->is_waiting || is_paused(check) ||
             check->state.reply == ANSWER_END_NOT_ASKED) {
        decide(check);
    }
    else {
        ask(check, false);
    }
}

/* Asks again in the way that has brought a sign, if that is still possible. A
   worker that has asked for a pause since is treated as if it had done so
   before the first question. */
static void
confirm(struct EndCheck *check)
{
    ClientCallOptions older = {0};

    check->is_settling = false;
    if (is_paused(check)) {
        check->state.reply = ANSWER_END_NOT_ASKED;
        decide(check);
        return;
    }
    fill_older(check, &older);
    ask(check,
        check->question->is_older &&
            Client_HasIdle(check->call->task->gate->options.client, &older));
}

/* Whether the question that had no reply in time stays open: an older
   connection may be the only proof, and is lost with it. */
static bool
may_hold(const struct EndCheck *check)
{
    const TaskCall *call = check->call;
    uint64_t number = Client_GetNumber(check->question->call);

    return !check->is_learning && check->held == NULL &&
           check->state.is_stream && !call->task->route->can_resume &&
           number != 0 && number <= call->last_number;
}

static void
hold(struct EndCheck *check)
{
    check->held = check->question;
    check->question = check->held == &check->questions[0]
                          ? &check->questions[1]
                          : &check->questions[0];
    check->question->is_older = true;
    check->question->asked_us = check->held->asked_us;
}

static void
end_question(EndQuestion *question)
{
    if (question->call != NULL) {
        Client_EndCall(question->call);
        question->call = NULL;
    }
}

static int64_t
get_patience(const struct EndCheck *check, bool may_go_on_elsewhere)
{
    const RteRoute *route = check->call->task->route;

    return AnswerEnd_GetPatience(check->state.is_stream, may_go_on_elsewhere,
                                 (int64_t)route->slo_ms * CLK_US_PER_MS,
                                 (int64_t)route->gap_ms * CLK_US_PER_MS);
}

/* Whether another worker can go on with the stream. */
static bool
may_go_on(const GateTask *task)
{
    return task->route->can_resume && task->runs + 1 < task->attempts;
}

static bool
is_paused(const struct EndCheck *check)
{
    return Notice_IsPaused(&check->call->worker->notice,
                           Task_Now(check->call->task));
}

static int64_t
get_waited(const struct EndCheck *check)
{
    return Task_Now(check->call->task) - check->began_us;
}

static void
ask(struct EndCheck *check, bool older)
{
    Gate *gate = check->call->task->gate;
    const GateCodec *codec = gate->options.codec;
    FleetWorker *worker = check->call->worker;
    EndQuestion *question = check->question;
    GateControlCall control_call = {.headers = Header_New()};
    ClientCallOptions call = {
        .address = check->call->address,
        .headers = control_call.headers,
        .context = question,
        .matches_request = matches_control,
        .get_label = get_told_label,
        .on_head = on_head,
        .on_data = on_data,
        .on_end = on_end,
    };

    codec->encode_state(codec->context, worker->entry.id, &control_call);
    call.method = control_call.method;
    call.target = control_call.target;
    if (older) {
        fill_older(check, &call);
    }
    check->is_waiting = false;
    question->asked_us = get_waited(check);
    question->is_older = older;
    question->is_early = false;
    question->status = 0;
    g_byte_array_set_size(question->body, 0);
    Throttle_Charge(&worker->throttle);
    question->call = Client_BeginCall(gate->options.client, &call);
    Header_Free(control_call.headers);
    Loop_ArmTimerUs(check->timer, ANSWER_END_QUESTION_US);
}

/* Sets the options for a connection that is older than the call. */
static void
fill_older(const struct EndCheck *check, ClientCallOptions *options)
{
    options->address = check->call->address;
    options->idle_max_ms = UINT32_MAX;
    options->number_max = check->call->last_number;
}

void
EndCheck_LearnStart(TaskCall *call)
{
    const GateTask *task = call->task;
    ClientCallOptions older = {0};
    struct EndCheck *check;

    if (task->route->kind != RTE_STREAM || !task->service->is_engine ||
        task->route->can_resume || call->worker->is_vm ||
        !Client_HasOlder(task->gate->options.client, call->address,
                         call->last_number) ||
        Notice_IsPaused(&call->worker->notice, Task_Now(task))) {
        return;
    }
    check = new_check(call);
    check->is_learning = true;
    fill_older(check, &older);
    if (Client_HasIdle(task->gate->options.client, &older)) {
        ask(check, true);
    }
    else {
        /* It may be in use. */
        Loop_ArmTimerUs(check->timer, ANSWER_END_PAUSE_US);
    }
}

/* An answer that names a request is a late one. */
static bool
matches_control(void *context, const HeaderList *headers)
{
    const EndQuestion *question = context;
    const GateCodec *codec = question->check->call->task->gate->options.codec;

    return codec->matches_control(codec->context, headers);
}

/* Returns the label of the question's connection, on which the rest of the
   stream may be asked for. */
static uint64_t
get_told_label(void *context)
{
    const EndQuestion *question = context;
    const TaskCall *call = question->check->call;

    return Task_ReadStartLabel(call->task, call->worker, question->status,
                               question->body);
}

static void
on_head(void *context, int status, const HeaderList *headers)
{
    EndQuestion *question = context;

    (void)headers;
    question->status = status;
    question->number = Client_GetNumber(question->call);
    /* The older one may have gone since it was looked for. */
    question->is_older =
        question->number <= question->check->call->last_number;
    question->is_early = !Client_IsDelivered(question->call);
    question->refusals = Client_CountRefusals(question->call);
}

static void
on_data(void *context, const void *data, size_t size)
{
    EndQuestion *question = context;

    if (question->body->len + size > END_CHECK_BODY_MAX_BYTES) {
        Client_RejectBody(question->call);
        return;
    }
    g_byte_array_append(question->body, data, (guint)size);
}

static void
on_end(void *context, ClientOutcome outcome)
{
    EndQuestion *question = context;
    struct EndCheck *check = question->check;
    AnswerEndReply reply = ANSWER_END_FAILED;

    question->call = NULL;
    if (outcome == CLIENT_COMPLETE) {
        reply = read_reply(question);
    }
    if (question == check->held) {
        check->held = NULL;
        if (reply == ANSWER_END_FAILED) {
            check->state.is_older_broken = true;
            return;
        }
        end_question(check->question);
        check->question = question;
    }
    evtimer_del(check->timer);
    advance(check, reply);
}

static AnswerEndReply
read_reply(EndQuestion *question)
{
    const TaskCall *call = question->check->call;
    const GateCodec *codec = call->task->gate->options.codec;

    question->born_ms = 0;
    if (question->is_early) {
        return ANSWER_END_FAILED; /* It is a late one of another call. */
    }
    if (question->status == 421) {
        return ANSWER_END_OTHER_WORKER;
    }
    if (question->status == 503 || question->status == 429) {
        /* A run that goes on with a stream brings the rest, if it was cut.
           What was asked before the end may come once more. */
        return question->is_older && !call->task->route->can_resume &&
                       !question->check->is_learning
                   ? count_refusal(question)
                   : ANSWER_END_TURNED_AWAY;
    }
    if (question->status != 200) {
        return ANSWER_END_TELLS_NO_START;
    }
    if (!codec->decode_state(codec->context,
                             (const char *)question->body->data,
                             question->body->len, &question->born_ms)) {
        return ANSWER_END_FAILED;
    }
    if (question->born_ms == 0) {
        return ANSWER_END_TELLS_NO_START;
    }
    Fleet_NoteToldStart(call->worker, call->address, question->born_ms,
                        Client_GetLastNumber(call->task->gate->options.client),
                        Task_Now(call->task));
    return question->born_ms == call->born_ms ||
                   question->born_ms == call->told_born_ms
               ? ANSWER_END_SAME_START
               : ANSWER_END_OTHER_START;
}

static AnswerEndReply
count_refusal(const EndQuestion *question)
{
    struct EndCheck *check = question->check;

    if (check->refusing_number != question->number) {
        check->refusing_number = question->number;
        check->refusals = 0;
        check->earlier_refusals = question->refusals;
    }
    check->refusals++;
    return AnswerEnd_JudgeRefusal(check->refusals, check->earlier_refusals);
}

/* Takes the start that the worker told on an older connection for that of the
   process that answers the call: its entry may be behind. */
static void
learn_start(struct EndCheck *check, AnswerEndReply reply)
{
    TaskCall *call = check->call;

    check->is_learning = false;
    if (check->question->is_older && check->question->born_ms != 0 &&
        (reply == ANSWER_END_SAME_START || reply == ANSWER_END_OTHER_START)) {
        call->born_ms = check->question->born_ms;
    }
    if (check->on_checked == NULL) {
        EndCheck_Cancel(call);
        return;
    }
    /* The answer has ended meanwhile. */
    decide(check);
}

/* Takes the reply to the last question. */
static void
advance(struct EndCheck *check, AnswerEndReply reply)
{
    AnswerEndState *state = &check->state;
    bool is_failed =
        reply == ANSWER_END_FAILED || reply == ANSWER_END_NO_REPLY;

    if (check->is_learning) {
        learn_start(check, reply);
        return;
    }
    state->reply = reply;
    state->is_older_connection = check->question->is_older;
    state->asked_us = check->question->asked_us;
    state->failures += reply == ANSWER_END_FAILED;
    state->is_older_broken |= is_failed && check->question->is_older;
    if (reply == ANSWER_END_TURNED_AWAY || reply == ANSWER_END_REFUSED_AGAIN ||
        reply == ANSWER_END_TELLS_NO_START) {
        state->has_responded = true;
        state->is_older_useless |=
            check->question->is_older &&
            (reply == ANSWER_END_TURNED_AWAY ||
             (reply == ANSWER_END_TELLS_NO_START && state->knows_start));
    }
    decide(check);
}

/* Does what the state leads to. */
static void
decide(struct EndCheck *check)
{
    TaskCall *call = check->call;
    Client *client = call->task->gate->options.client;
    AnswerEndState *state = &check->state;
    ClientCallOptions older = {0};
    void (*on_checked)(TaskCall *, AnswerEndStep) = check->on_checked;
    AnswerEndStep step;

    fill_older(check, &older);
    state->waited_us = get_waited(check);
    state->is_older_broken |=
        Client_GetLostTime(client, call->address) >=
        MAX(call->began_us, check->began_us - ANSWER_END_SIGN_US);
    state->is_paused = is_paused(check);
    state->is_pause_long =
        state->is_paused && !call->task->route->can_resume &&
        call->worker->notice.paused_until_us - check->began_us >
            state->patience_us;
    state->has_older_connection =
        call->last_number != 0 && Client_HasIdle(client, &older);
    state->has_busy_older =
        Client_HasOlder(client, call->address, call->last_number);
    step = AnswerEnd_Decide(state);
    switch (step) {
    case ANSWER_END_ASK:
        ask(check, false);
        return;
    case ANSWER_END_ASK_OLDER:
        ask(check, true);
        return;
    case ANSWER_END_ASK_AGAIN:
    case ANSWER_END_WAIT:
        check->is_waiting = step == ANSWER_END_WAIT;
        Loop_ArmTimerUs(check->timer, ANSWER_END_PAUSE_US);
        return;
    case ANSWER_END_CONFIRM:
        check->is_settling = true;
        /* A worker that goes on is not replaced: only the caller's time
           limits the questions. */
        state->patience_us = get_patience(check, false);
        Loop_ArmTimerUs(check->timer,
                        MAX(state->settle_us - state->waited_us, 0));
        return;
    case ANSWER_END_COMPLETE:
    case ANSWER_END_AS_RECEIVED:
    case ANSWER_END_BROKEN:
        break;
    }
    log_end(check, step);
    EndCheck_Cancel(call);
    on_checked(call, step);
}

static void
log_end(const struct EndCheck *check, AnswerEndStep step)
{
    static const char *const replies[] = {
        "not asked",    "no reply",      "connection failed", "turned away",
        "refused anew", "refused again", "tells no start",    "same start",
        "other start",  "other worker"};
    const TaskCall *call = check->call;
    const GateTask *task = call->task;

    if (step != ANSWER_END_COMPLETE) {
        Met_Add(MET_ANSWERS_UNPROVEN, 1);
    }
    Log_WriteJson(
        LOG_LEVEL_INFO, "answer_until_close",
        json_pack(
            "{s:s,s:s,s:I,s:s,s:b,s:b,s:I,s:i,s:I,s:i}", "request",
            task->request.id, "worker", call->worker->entry.id, "born",
            (json_int_t)call->born_ms, "reply", replies[check->state.reply],
            "older_connection", (int)check->question->is_older, "complete",
            (int)(step == ANSWER_END_COMPLETE), "waited_us",
            (json_int_t)check->state.waited_us, "events", (int)call->events,
            "last_event", (json_int_t)task->last_event, "bytes",
            (int)call->body->len));
}
