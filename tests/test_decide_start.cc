/* Tests of the decision for which start of a worker an answer counts. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/start.h"
}

namespace {

const int64_t first = 1000; /* Starts of a worker, one after the other. */
const int64_t second = 2000;
const int64_t third = 3000;

struct Row {
    const char *name;
    int64_t asked_ms; /* Of the entry as the worker was asked, and now. */
    int64_t entry_ms;
    int64_t told_ms;
    StartStep same; /* Step if told on the connection of the answer. */
    StartStep other;
};

const Row rows[] = {
    {"start of the entry", first, first, first, START_AS_ASKED,
     START_AS_ASKED},
    {"the entry names a later one since", first, second, first, START_AS_ASKED,
     START_AS_ASKED},
    {"the entry has come since", first, second, second, START_AS_ENTRY,
     START_ASK_AGAIN},
    {"the entry named none", 0, second, second, START_AS_ENTRY,
     START_ASK_AGAIN},
    {"the entry is late", first, first, second, START_WAIT, START_WAIT},
    {"the entry names none", 0, 0, second, START_WAIT, START_WAIT},
    {"one of two entries has come", first, second, third, START_WAIT,
     START_WAIT},
    {"the entry is of a later start", second, second, first, START_UNKNOWN,
     START_UNKNOWN},
    {"none is told", first, first, 0, START_UNKNOWN, START_UNKNOWN},
    {"none is told or named", 0, 0, 0, START_UNKNOWN, START_UNKNOWN},
};

TEST(Start, AnswerCountsForTheStartThatGaveIt)
{
    for (const Row &row : rows) {
        SCOPED_TRACE(row.name);
        StartState state = {};
        state.asked_ms = row.asked_ms;
        state.entry_ms = row.entry_ms;
        state.told_ms = row.told_ms;
        EXPECT_EQ(Start_Decide(&state), row.other);
        state.is_same_connection = true;
        EXPECT_EQ(Start_Decide(&state), row.same);
    }
}

/* A process lives from its start until the next one. No order of starts,
   entries and questions lets an answer count for another start than that which
   gave it. */
TEST(Start, NoAnswerCountsForAnotherStart)
{
    int counted = 0;
    /* Numbers of the starts that gave the answer, that the entries named, and
       that told its start. An entry names a start that has begun. */
    for (int gave = 1; gave <= 3; gave++) {
        for (int told = gave; told <= 3; told++) {
            for (int asked = 0; asked <= gave; asked++) {
                for (int entry = asked; entry <= told; entry++) {
                    for (bool is_same : {false, true}) {
                        StartState state = {};
                        state.asked_ms = 1000 * asked;
                        state.entry_ms = 1000 * entry;
                        state.told_ms = 1000 * told;
                        state.is_same_connection = is_same;
                        if (is_same && told != gave) {
                            continue;
                        }
                        StartStep step = Start_Decide(&state);
                        if (step == START_AS_ASKED) {
                            EXPECT_EQ(asked, gave);
                            counted++;
                        }
                        if (step == START_AS_ENTRY) {
                            EXPECT_EQ(entry, gave);
                            counted++;
                        }
                    }
                }
            }
        }
    }
    EXPECT_GT(counted, 0);
}

} // namespace
