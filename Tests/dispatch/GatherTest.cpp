#include "papayabend/dispatch/Gather.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(Gather)
{
    base::TimePoint start { 100s };
    GatherTimes times { start + 200ms, start + 1500ms };

    GatherStep decide(GatherState state, base::Duration after, double minShare = 0.85) const
    {
        return decideGather(state, minShare, times, start + after);
    }
};

// Guards against an incomplete answer while the outstanding shards may still answer within the objective.
TEST(Gather, WaitsForAllShardsBeforeTheObjective)
{
    CHECK_TRUE(decide({ 20, 19, 0 }, 199ms) == GatherStep::Wait);
    CHECK_TRUE(decide({ 20, 20, 0 }, 1ms) == GatherStep::Answer);
}

// Guards against an answer that misses the objective because of a slow shard although enough shards have answered.
TEST(Gather, AnswersAtTheObjectiveWithTheMinimumShare)
{
    CHECK_TRUE(decide({ 20, 17, 0 }, 200ms) == GatherStep::Answer);
    CHECK_TRUE(decide({ 20, 16, 0 }, 200ms) == GatherStep::Wait);
    CHECK_TRUE(decide({ 20, 17, 0 }, 700ms) == GatherStep::Answer);
}

// Guards against a caller that waits although the minimum share can no longer be reached.
TEST(Gather, FailsAtOnceWhenTheMinimumShareIsOutOfReach)
{
    CHECK_TRUE(decide({ 20, 5, 3 }, 10ms) == GatherStep::Wait);
    CHECK_TRUE(decide({ 20, 5, 4 }, 10ms) == GatherStep::Fail);
}

// Guards against a request that waits beyond its time limit, and against an answer without any shard.
TEST(Gather, EndsAtTheLimit)
{
    CHECK_TRUE(decide({ 20, 16, 0 }, 1500ms) == GatherStep::Fail);
    CHECK_TRUE(decide({ 20, 0, 0 }, 1500ms, 0) == GatherStep::Fail);
    CHECK_TRUE(decide({ 20, 1, 19 }, 1ms, 0) == GatherStep::Answer);
}

// Guards against a rounding error that rejects a share which is exactly the minimum.
TEST(Gather, ExactShareIsEnough)
{
    CHECK_TRUE(isEnough(17, 20, 0.85));
    CHECK_TRUE(isEnough(27, 30, 0.9));
    CHECK_FALSE(isEnough(17, 20, 0.86));
    CHECK_FALSE(isEnough(0, 20, 0));
}
