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
    return {id, false, (uint64_t)id + 100};
}

struct Row {
    const char *name;
    int64_t resumed;           /* The caller's Last-Event-Id, or none. */
    std::vector<int64_t> sent; /* Events of an earlier run. */
    std::vector<EventOrderEvent> events; /* Of the next run. */
    std::vector<EventOrderStep> steps;
};

const EventOrderEvent comment = {none, false, 1};
const EventOrderEvent malformed = {none, true, 2};
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
     {Event(0), {0, false, 5}},
     {send, refuse}},
    {"nothing after a lower ID",
     none,
     {},
     {Event(0), Event(1), Event(0), Event(2)},
     {send, send, refuse, refuse}},
    {"a malformed event",
     none,
     {},
     {Event(0), malformed, Event(1)},
     {send, refuse, refuse}},
    {"a malformed event first",
     none,
     {},
     {malformed, Event(0)},
     {refuse, refuse}},
    {"a malformed event after a comment",
     none,
     {},
     {comment, malformed},
     {send, refuse}},
    {"the largest step",
     none,
     {},
     {Event(4), Event(4 + EVENT_ORDER_STEP_MAX)},
     {send, send}},
    {"more than the largest step",
     none,
     {},
     {Event(4), Event(5 + EVENT_ORDER_STEP_MAX), Event(5)},
     {send, refuse, refuse}},
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
     {Event(4), {5, false, 1}, Event(9)},
     {skip, skip, send}},
    {"repeated events",
     none,
     {0, 1, 2},
     {Event(1), Event(2), Event(3)},
     {skip, skip, send}},
    {"another text", none, {0, 1, 2}, {{2, false, 1}}, {refuse}},
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
    {"a malformed event at a join", none, {0}, {malformed}, {refuse}},
    {"a comment before the break", none, {0, none}, {Event(1)}, {send}},
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

/* An event that contradicts the last one leaves open which of both is false,
   unless the last one followed its predecessor by 1. */
TEST(DecideEventOrder, RunThatContradictsItselfIsTheLastOne)
{
    const struct {
        const char *name;
        int64_t resumed;
        std::vector<int64_t> sent; /* By the same run. */
        EventOrderEvent event;
        bool is_contradicted;
    } cases[] = {
        {"a lower ID after a step of 1", none, {0, 1, 2}, Event(1), false},
        {"a lower ID after a longer step", none, {0, 1, 9}, Event(2), true},
        {"a lower ID after the first one", none, {9}, Event(0), true},
        {"a lower ID after a resumption", 4, {5}, Event(4), false},
        {"other data", none, {0, 1, 2}, {2, false, 1}, true},
        {"a malformed event", none, {0, 1, 9}, malformed, false},
        {"too long a step",
         none,
         {0, 1},
         Event(2 + EVENT_ORDER_STEP_MAX),
         false},
    };
    for (const auto &row : cases) {
        SCOPED_TRACE(row.name);
        EventOrder order = MakeOrder(row.resumed, {});
        EventOrderRun run = {};
        for (int64_t id : row.sent) {
            EventOrderEvent event = Event(id);
            EXPECT_EQ(EventOrder_Decide(&order, &run, &event), send);
            EventOrder_NoteSent(&order, &event);
        }
        EXPECT_EQ(EventOrder_Decide(&order, &run, &row.event), refuse);
        EXPECT_EQ(run.is_contradicted, row.is_contradicted);
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
        {"comments", none, {0, none, 1}, 2},
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
