/* Tests of the decision where a stream that its caller resumes may go on. */
#include <gtest/gtest.h>

extern "C" {
#include "decide/resumption.h"
}

namespace {

struct StepCase {
    const char *name;
    ResumptionState
        state; /* has_record, versions, have_all_answered, survey. */
    ResumptionStep step;
};

const StepCase step_cases[] = {
    {"a VM told which version began it",
     {true, 2, true, RESUMPTION_NOT_ASKED},
     RESUMPTION_FOLLOW_RECORD},
    {"the record counts more than the only version",
     {true, 1, true, RESUMPTION_NOT_ASKED},
     RESUMPTION_FOLLOW_RECORD},
    {"the record counts more than the workers",
     {true, 0, true, RESUMPTION_KEPT_BY_SEVERAL},
     RESUMPTION_FOLLOW_RECORD},
    {"only one version was in service, the others not asked",
     {false, 1, false, RESUMPTION_NOT_ASKED},
     RESUMPTION_ASK},
    {"only one version was in service, and all others answered",
     {false, 1, true, RESUMPTION_KEPT_BY_NONE},
     RESUMPTION_FOLLOW_ONLY},
    {"the same, for a prompt without parts",
     {false, 1, true, RESUMPTION_CANNOT_ASK},
     RESUMPTION_FOLLOW_ONLY},
    {"only one version was in service, one has not answered",
     {false, 1, false, RESUMPTION_KEPT_BY_NONE},
     RESUMPTION_REFUSE},
    {"only one version is known, but several keep the prompt",
     {false, 1, true, RESUMPTION_KEPT_BY_SEVERAL},
     RESUMPTION_REFUSE},
    {"only one version is known, and one keeps the prompt",
     {false, 1, true, RESUMPTION_KEPT_BY_ONE_VERSION},
     RESUMPTION_FOLLOW_SURVEY},
    {"two versions, workers not asked",
     {false, 2, true, RESUMPTION_NOT_ASKED},
     RESUMPTION_ASK},
    {"a VM that has just started, workers not asked",
     {false, 0, true, RESUMPTION_NOT_ASKED},
     RESUMPTION_ASK},
    {"the workers' answers are awaited",
     {false, 0, true, RESUMPTION_ASKING},
     RESUMPTION_WAIT},
    {"one version keeps the prompt",
     {false, 0, true, RESUMPTION_KEPT_BY_ONE_VERSION},
     RESUMPTION_FOLLOW_SURVEY},
    {"three versions, one keeps the prompt",
     {false, 3, true, RESUMPTION_KEPT_BY_ONE_VERSION},
     RESUMPTION_FOLLOW_SURVEY},
    {"two versions keep the prompt",
     {false, 2, true, RESUMPTION_KEPT_BY_SEVERAL},
     RESUMPTION_REFUSE},
    {"no worker keeps it",
     {false, 2, true, RESUMPTION_KEPT_BY_NONE},
     RESUMPTION_REFUSE},
    {"no worker keeps it, the past is not known",
     {false, 0, true, RESUMPTION_KEPT_BY_NONE},
     RESUMPTION_REFUSE},
    {"the workers can't be asked",
     {false, 2, true, RESUMPTION_CANNOT_ASK},
     RESUMPTION_REFUSE},
};

TEST(Resumption, DecidesByWhatIsKnown)
{
    for (const StepCase &row : step_cases) {
        SCOPED_TRACE(row.name);
        EXPECT_EQ(Resumption_Decide(&row.state), row.step);
    }
}

} // namespace
