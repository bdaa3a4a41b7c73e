/* Event order: which events of a run go on to the caller. See
   event_order.h. */
#include "event_order.h"

static EventOrderStep join(const EventOrder *order, EventOrderRun *run,
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
    if (event->id == EVENT_ORDER_NO_ID && !event->has_data) {
        return EVENT_ORDER_SEND;
    }
    if (!run->is_joined) {
        step = join(order, run, event);
    }
    else if (event->id == EVENT_ORDER_NO_ID || event->id > run->last) {
        step = EVENT_ORDER_SEND;
    }
    else {
        /* A copy of the last event; all else belongs to another run. */
        step = event->id == order->last && event->digest == order->digest
                   ? EVENT_ORDER_SKIP
                   : EVENT_ORDER_REFUSE;
    }
    run->is_refused = step == EVENT_ORDER_REFUSE;
    if (event->id != EVENT_ORDER_NO_ID) {
        run->has_begun = true;
        run->last = event->id;
    }
    return step;
}

/* Decides about an event of a run that may repeat what the caller has. */
static EventOrderStep
join(const EventOrder *order, EventOrderRun *run, const EventOrderEvent *event)
{
    if (!EventOrder_CanJoin(order)) {
        return EVENT_ORDER_REFUSE;
    }
    if (order->last == EVENT_ORDER_NO_ID) {
        run->is_joined = true;
        if (event->id == EVENT_ORDER_NO_ID) {
            run->last = EVENT_ORDER_NO_ID;
        }
        return EVENT_ORDER_SEND;
    }
    if (event->id == EVENT_ORDER_NO_ID ||
        (run->has_begun && event->id <= run->last)) {
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
        order->has_unnamed |= event->has_data;
        return;
    }
    if (order->last != EVENT_ORDER_NO_ID) {
        order->is_uneven |= order->steps > 0 && step != order->step;
        order->step = order->steps == 0 ? step : order->step;
        order->steps++;
    }
    order->last = event->id;
    order->digest = event->digest;
    order->has_unnamed = false;
    order->events++;
}

bool
EventOrder_CanJoin(const EventOrder *order)
{
    return !order->has_unnamed;
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
