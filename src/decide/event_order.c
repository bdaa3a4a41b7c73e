/* Event order: which events of a run go on to the caller. See
   event_order.h. */
#include "event_order.h"

static EventOrderStep join(const EventOrder *order, EventOrderRun *run,
                           const EventOrderEvent *event);
static EventOrderStep go_on(const EventOrder *order, EventOrderRun *run,
                            const EventOrderEvent *event);
static bool follows(const EventOrder *order, int64_t id);

EventOrderStep
EventOrder_Decide(const EventOrder *order, EventOrderRun *run,
                  const EventOrderEvent *event)
{
    EventOrderStep step;

    run->is_refused |= event->is_malformed;
    if (run->is_refused) {
        return EVENT_ORDER_REFUSE;
    }
    if (event->id == EVENT_ORDER_NO_ID) {
        return EVENT_ORDER_SEND;
    }
    step = run->is_joined ? go_on(order, run, event) : join(order, run, event);
    run->is_refused = step == EVENT_ORDER_REFUSE;
    run->has_begun = true;
    run->last = event->id;
    return step;
}

/* Decides about an event of a run whose events the caller has had. */
static EventOrderStep
go_on(const EventOrder *order, EventOrderRun *run,
      const EventOrderEvent *event)
{
    if (event->id > run->last) {
        return event->id - run->last <= EVENT_ORDER_STEP_MAX
                   ? EVENT_ORDER_SEND
                   : EVENT_ORDER_REFUSE;
    }
    if (event->id == order->last && event->digest == order->digest) {
        return EVENT_ORDER_SKIP;
    }
    /* An event that follows the one before by 1 is its successor; after a
       longer step the lower ID may be the right one. */
    run->is_contradicted = event->id == order->last || order->last_step != 1;
    return EVENT_ORDER_REFUSE;
}

/* Decides about an event of a run that may repeat what the caller has. */
static EventOrderStep
join(const EventOrder *order, EventOrderRun *run, const EventOrderEvent *event)
{
    if (order->last == EVENT_ORDER_NO_ID) {
        run->is_joined = true;
        return EVENT_ORDER_SEND;
    }
    if (run->has_begun && event->id <= run->last) {
        return EVENT_ORDER_REFUSE;
    }
    if (event->id < order->last) {
        return EVENT_ORDER_SKIP;
    }
    if (event->id == order->last) {
        run->is_joined = true;
        return order->digest == 0 || event->digest == order->digest
                   ? EVENT_ORDER_SKIP
                   : EVENT_ORDER_REFUSE;
    }
    /* A run that repeats events but not the last one is split in another
       way. */
    run->is_joined = !run->has_begun && follows(order, event->id);
    return run->is_joined ? EVENT_ORDER_SEND : EVENT_ORDER_REFUSE;
}

/* Whether no event is missing between the caller's last one and the ID. */
static bool
follows(const EventOrder *order, int64_t id)
{
    int64_t step = id - order->last;

    return step == 1 || (step == order->step && !order->is_uneven &&
                         order->steps >= EVENT_ORDER_STEPS_MIN);
}

void
EventOrder_NoteSent(EventOrder *order, const EventOrderEvent *event)
{
    int64_t step = event->id - order->last;

    if (event->id == EVENT_ORDER_NO_ID) {
        return;
    }
    if (order->last != EVENT_ORDER_NO_ID) {
        order->is_uneven |= order->steps > 0 && step != order->step;
        order->step = order->steps == 0 ? step : order->step;
        order->steps++;
        order->last_step = step;
    }
    order->last = event->id;
    order->digest = event->digest;
    order->events++;
}

int64_t
EventOrder_CountEvents(const EventOrder *order, int64_t resumed)
{
    /* Numbers begin at 0 or 1. */
    int64_t before = resumed == EVENT_ORDER_NO_ID ? 0 : resumed + 1;

    if (order->steps > 0 && !order->is_uneven) {
        before /= order->step;
    }
    return before + order->events;
}
