/* Tests of the decision which events of a run go on to the caller. */
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "decide/event_order.h"
}

namespace {

const int none = EVENT_ORDER_NO_ID;
const EventOrderStep send = EVENT_ORDER_SEND;
const EventOrderStep skip = EVENT_ORDER_SKIP;
const EventOrderStep refuse = EVENT_ORDER_REFUSE;

/* An event with data; its digest follows from its ID. */
EventOrderEvent
Event(int64_t id)
{
    return {id, false, true, (uint64_t)id + 100};
}

struct Row {
    const char *name;
    int64_t resumed;           /* The caller's Last-Event-Id, or none. */
    std::vector<int64_t> sent; /* Events of an earlier run. */
    std::vector<EventOrderEvent> events; /* Of the next run. */
    std::vector<EventOrderStep> steps;
};

const EventOrderEvent comment = {none, false, false, 1};
const EventOrderEvent unnamed = {none, false, true, 2};
const Row rows[] = {
    {"a new stream", none, {}, {Event(0), Event(1)}, {send, send}},
    {"a new stream, another number", none, {}, {Event(7)}, {send}},
    {"a higher ID", none, {}, {Event(0), Event(9)}, {send, send}},
    {"the last event again",
     none,
     {},
     {Event(0), Event(0), Event(1)},
     {send, skip, send}},
    {"another event with the last ID",
     none,
     {},
     {Event(0), {0, false, true, 5}},
     {send, refuse}},
    {"nothing after a lower ID",
     none,
     {},
     {Event(0), Event(1), Event(0), Event(2)},
     {send, send, refuse, refuse}},
    {"a malformed ID",
     none,
     {},
     {Event(0), {none, true, true, 3}, Event(1)},
     {send, refuse, refuse}},
    {"data without an ID first",
     none,
     {},
     {unnamed, Event(0), unnamed, Event(1)},
     {send, send, send, send}},
    {"the next ID", none, {0, 1}, {Event(2)}, {send}},
    {"a gap", none, {0, 1, 2}, {Event(4)}, {refuse}},
    {"the step", none, {3, 7, 11}, {Event(15), Event(16)}, {send, send}},
    {"the step, seen once", none, {3, 7}, {Event(11)}, {refuse}},
    {"the last step of several", none, {0, 3, 7, 11}, {Event(15)}, {refuse}},
    {"less than the step", none, {3, 7, 11}, {Event(13)}, {refuse}},
    {"a caller's resumption", 5, {}, {Event(6), Event(9)}, {send, send}},
    {"a caller's resumption, a gap", 5, {}, {Event(9)}, {refuse}},
    {"a caller's resumption, repeated",
     5,
     {},
     {Event(4), {5, false, true, 1}, Event(9)},
     {skip, skip, send}},
    {"repeated events",
     none,
     {0, 1, 2},
     {Event(1), Event(2), Event(3)},
     {skip, skip, send}},
    {"another text", none, {0, 1, 2}, {{2, false, true, 1}}, {refuse}},
    {"repeated, but not the last one",
     none,
     {0, 1, 2},
     {Event(1), Event(3)},
     {skip, refuse}},
    {"repeated, out of order",
     none,
     {0, 1, 2},
     {Event(1), Event(0)},
     {skip, refuse}},
    {"comments", none, {0}, {comment, Event(1), comment}, {send, send, send}},
    {"data without an ID at a join", none, {0}, {unnamed}, {refuse}},
    {"data without an ID before the break",
     none,
     {0, none},
     {Event(1)},
     {refuse}},
    {"the same, at the begin", none, {none}, {Event(0)}, {refuse}},
    {"the same, with an ID after it", none, {0, none, 1}, {Event(2)}, {send}},
};

EventOrder
MakeOrder(int64_t resumed, const std::vector<int64_t> &sent)
{
    EventOrder order = {};
    order.last = resumed;
    for (int64_t id : sent) {
        EventOrderEvent event = Event(id);
        EventOrder_NoteSent(&order, &event);
    }
    return order;
}

TEST(DecideEventOrder, RunFollowsWhatTheCallerHas)
{
    for (const Row &row : rows) {
        SCOPED_TRACE(row.name);
        EventOrder order = MakeOrder(row.resumed, row.sent);
        EventOrderRun run = {};
        for (size_t i = 0; i < row.events.size(); i++) {
            SCOPED_TRACE(i);
            EventOrderStep step =
                EventOrder_Decide(&order, &run, &row.events[i]);
            EXPECT_EQ(step, row.steps[i]);
            if (step == send) {
                EventOrder_NoteSent(&order, &row.events[i]);
            }
        }
    }
}

TEST(DecideEventOrder, EventsAreCounted)
{
    const struct {
        const char *name;
        int64_t resumed;
        std::vector<int64_t> sent;
        int64_t count;
    } counts[] = {
        {"none", none, {}, 0},
        {"by one", none, {0, 1, 2}, 3},
        {"any numbers", none, {1000, 2000, 3001}, 3},
        {"data without an ID", none, {0, none, 1}, 2},
        {"resumed", 4, {}, 5},
        {"resumed, by one", 4, {5, 6}, 7},
        {"resumed, by four", 19, {23, 27}, 7},
        {"resumed, uneven", 19, {20, 24}, 22},
    };
    for (const auto &row : counts) {
        SCOPED_TRACE(row.name);
        EventOrder order = MakeOrder(row.resumed, row.sent);
        EXPECT_EQ(EventOrder_CountEvents(&order, row.resumed), row.count);
    }
}

} // namespace
