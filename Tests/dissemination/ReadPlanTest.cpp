#include "papayabend/dissemination/ReadPlan.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(ReadPlan)
{
    base::Random random { 1 };
    base::TimePoint now { 1000s };

    // Runs the plan for a time and counts its reads; each ends after the given time.
    unsigned countReads(dissemination::ReadPlan & plan, const dissemination::ReadSituation& situation,
        base::Duration duration, base::Duration answerTime, bool isSuccess, bool isNewVersion)
    {
        unsigned reads = 0;
        for (auto end = now + duration; now < end; now += 50ms) {
            if (plan.isUnderWay && now - plan.lastStart >= answerTime)
                readEnded(plan, isSuccess, isNewVersion, now, random);
            reads += nextRead(plan, situation, now, random).has_value() ? 1 : 0;
        }
        return reads;
    }
};

// Guards against a reader that asks in a loop when the service answers a watch at once with an old or invalid value.
TEST(ReadPlan, AnsweredWatchesWithoutNewsAreSpaced)
{
    auto plan = dissemination::startReadPlan(false, now, random);
    auto reads = countReads(plan, { .hasValue = true, .isReader = true }, 20s, 0s, true, false);
    CHECK(reads >= 10 && reads <= 45);
}

// Guards against a change that is seen late because the watch is not renewed at once.
TEST(ReadPlan, AWatchThatBroughtNewsIsRenewedAtOnce)
{
    auto plan = dissemination::startReadPlan(false, now, random);
    nextRead(plan, { .hasValue = true, .isReader = true }, now, random);
    readEnded(plan, true, true, now + 1s, random);
    CHECK(nextRead(plan, { .hasValue = true, .isReader = true }, now + 1s, random) == 10s);
}

// Guards against readers that load a service that has just come back, or that never ask again.
TEST(ReadPlan, FailedReadsBackOff)
{
    auto plan = dissemination::startReadPlan(false, now, random);
    auto reads = countReads(plan, { .hasValue = true, .isReader = true }, 80s, 0s, false, false);
    CHECK(reads >= 8 && reads <= 30);
}

// Guards against hosts that are not readers reading although their peers answer.
TEST(ReadPlan, OtherHostsDoNotReadWhilePeersAnswer)
{
    auto plan = dissemination::startReadPlan(false, now, random);
    for (auto end = now + 60s; now < end; now += 100ms)
        CHECK_FALSE(nextRead(plan, { .hasValue = true, .lastPeerAnswer = now - 1s }, now, random).has_value());
    CHECK(countReads(plan, { .hasValue = true, .lastPeerAnswer = now }, 31s, 0s, true, false) >= 1);
}
