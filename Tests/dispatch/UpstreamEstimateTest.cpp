#include "papayabend/dispatch/UpstreamEstimate.h"

#include "papayabend/dispatch/ChooseUpstream.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamEstimate)
{
    static constexpr base::Duration median { 20ms };
    base::TimePoint now { 1000s };
    discovery::UpstreamRecord record;
    std::array<discovery::UpstreamEntry, 2> entries;
    std::array<UpstreamLoad, 2> loads;
    std::array<Candidate, 2> candidates;
    LearnedChoice request { 200ms, true, false };

    void setup() override
    {
        for (size_t n = 0; n < 2; ++n) {
            entries[n].record.address = "10.0.0.1:" + std::to_string(n + 1);
            loads[n] = { .idleConnections = 1, .openConnections = 1, .maxConnections = 2 };
            beginProcess(loads[n], entries[n].record);
            candidates[n] = { &entries[n], &loads[n], false, false };
        }
    }

    Expectation expectation(size_t upstream, double requests = 0)
    {
        return expect(loads[upstream].estimate, {}, requests, now);
    }

    // Adds one result each 20 ms.
    void add(size_t upstream, AttemptEnd end, base::Duration duration, size_t count = 1, double requests = 0,
        std::optional<StatedLoad> stated = {})
    {
        for (size_t n = 0; n < count; ++n) {
            now += 20ms;
            auto expected = expect(loads[upstream].estimate, {}, requests, now);
            addResult(loads[upstream].estimate, expected, { end, duration, median, 200ms, stated }, now);
        }
    }

    int choose()
    {
        auto choice = chooseUpstream(candidates, { median, 40ms, now, request });
        return choice ? static_cast<int>(*choice) : -1;
    }
};

// Guards against a host that sees little and avoids an upstream because of one slow answer.
TEST(UpstreamEstimate, FewSamplesStayNearTheService)
{
    DOUBLES_EQUAL(1, expectation(0).latencyRatio(), 1e-9);
    CHECK_FALSE(expectation(0).age.has_value());
    add(0, AttemptEnd::Answered, 50ms);
    now += 1s;
    CHECK_TRUE(expectation(0).latencyRatio() > 1);
    CHECK_TRUE(expectation(0).latencyRatio() < 1.3);
    CHECK_TRUE(expectation(0).age == 1s);
}

// Guards against fixed weights: an upstream that is a third slower is told apart, and one that grows slower with each
// request is not given more than it handles.
TEST(UpstreamEstimate, SpeedAndGrowthAreLearned)
{
    add(0, AttemptEnd::Answered, 26ms, 100);
    now += 1s;
    DOUBLES_EQUAL(1.3, expectation(0).latencyRatio(), 0.05);
    for (size_t n = 0; n < 50; ++n) {
        add(1, AttemptEnd::Answered, 20ms, 1, 0);
        add(1, AttemptEnd::Answered, 100ms, 1, 2);
    }
    now += 1s;
    DOUBLES_EQUAL(1, expectation(1, 0).latencyRatio(), 0.15);
    DOUBLES_EQUAL(5, expectation(1, 2).latencyRatio(), 0.5);
}

// Guards against an upstream that is slow for half a second and is noticed when it is over, or long remembered.
TEST(UpstreamEstimate, ShortSlownessIsFollowedAndForgotten)
{
    add(0, AttemptEnd::Answered, 20ms, 100);
    add(0, AttemptEnd::Answered, 50ms, 3);
    CHECK_TRUE(expectation(0).deviation > 1.5);
    CHECK_TRUE(expectation(0).steadyRatio < 1.2);
    now += 2s;
    CHECK_TRUE(expectation(0).latencyRatio() < 1.2);
}

// Guards against an upstream that fails four in ten and whose history ends with each timely answer.
TEST(UpstreamEstimate, OneTimelyAnswerDoesNotEraseFailures)
{
    for (size_t n = 0; n < 20; ++n) {
        add(0, AttemptEnd::Failed, 5ms, 2);
        add(0, AttemptEnd::Answered, 20ms, 3);
    }
    DOUBLES_EQUAL(0.4, expectation(0).failureRate, 0.06);
    CHECK_TRUE(isFailing(loads[0].estimate, now));
    LONGS_EQUAL(1, choose());
    // It is still used when the other one has been tried.
    candidates[1].isTried = true;
    LONGS_EQUAL(0, choose());
    now += 120s;
    CHECK_FALSE(isFailing(loads[0].estimate, now));
    CHECK_TRUE(expectation(0).failureRate < 0.05);
}

// Guards against a failure that costs a request that must not be repeated as little as another one.
TEST(UpstreamEstimate, RequestsThatMustNotBeRepeatedAvoidFailures)
{
    add(0, AttemptEnd::Answered, 20ms, 98);
    add(0, AttemptEnd::Failed, 5ms, 2);
    add(0, AttemptEnd::Answered, 20ms, 1);
    add(1, AttemptEnd::Answered, 26ms, 100);
    LONGS_EQUAL(0, choose());
    request.isRepeatable = false;
    LONGS_EQUAL(1, choose());
}

// Guards against a new process that inherits the failures of the one before it, and against late results of the old
// process that count against the new one.
TEST(UpstreamEstimate, NewProcessStartsAfresh)
{
    auto old = expectation(0);
    add(0, AttemptEnd::Failed, 5ms, 10);
    addFailure(loads[0], now);
    beginProcess(loads[0], entries[0].record);
    CHECK_TRUE(isFailing(loads[0].estimate, now));
    entries[0].record.startedAt = 7;
    beginProcess(loads[0], entries[0].record);
    CHECK_FALSE(isFailing(loads[0].estimate, now));
    CHECK_TRUE(loads[0].failurePauseUntil <= now);
    addResult(loads[0].estimate, old, { AttemptEnd::Failed, 5ms, median, 200ms }, now);
    DOUBLES_EQUAL(0, expectation(0).failureRate, 1e-9);
    add(0, AttemptEnd::Failed, 5ms, 10);
    entries[0].record.address = "10.0.0.9:1";
    beginProcess(loads[0], entries[0].record);
    CHECK_FALSE(isFailing(loads[0].estimate, now));
}

// Guards against an upstream that recovers and gets no request which would show it, against probes by requests that
// do not bear it, and against probes that take more than one request in twenty.
TEST(UpstreamEstimate, SuspectUpstreamIsProbed)
{
    add(0, AttemptEnd::Failed, 5ms, 20);
    now += 1s;
    loads[0].estimate.passedOver = probeInterval - 1;
    request.mayProbe = true;
    LONGS_EQUAL(1, choose());
    loads[0].estimate.passedOver = probeInterval;
    LONGS_EQUAL(0, choose());
    request.mayProbe = false;
    LONGS_EQUAL(1, choose());
    request.mayProbe = true;
    loads[0].sentAt = { now };
    LONGS_EQUAL(1, choose());
}

// Guards against a stated percentage that is not used while it is new, or is used when it is old.
TEST(UpstreamEstimate, StatedLoadCountsWhileItIsNew)
{
    add(0, AttemptEnd::Answered, 20ms, 50, 0, StatedLoad { 1, 0, 6, 1.0 });
    add(0, AttemptEnd::Answered, 50ms, 1, 0, StatedLoad { 5, 3, 6, 2.5 });
    auto stated = expectation(0);
    auto without = loads[0].estimate;
    without.stated.reset();
    CHECK_TRUE(stated.deviation > expect(without, {}, 0, now).deviation + 0.2);
    CHECK_TRUE(stated.requests > 5);
    now += 1s;
    DOUBLES_EQUAL(expect(without, {}, 0, now).deviation, expectation(0).deviation, 0.01);
    CHECK_TRUE(expectation(0).requests < 0.5);
}

// Guards against an upstream that attracts or repels requests by what it states: its answers outweigh it.
TEST(UpstreamEstimate, ObservationOutweighsFalseStatements)
{
    for (auto lie : { 0.1, 5.0 }) {
        loads[0].estimate = {};
        add(0, AttemptEnd::Answered, 20ms, 100, 0, StatedLoad { 0, 0, 6, lie });
        DOUBLES_EQUAL(1, expectation(0).latencyRatio(), 0.1);
    }
}

// Guards against figures that are not numbers after odd results.
TEST(UpstreamEstimate, OddResultsGiveFiniteFigures)
{
    add(0, AttemptEnd::Answered, 0s, 10, 1000);
    add(0, AttemptEnd::GivenUp, 1h, 10, 0, StatedLoad { 65535, 65535, 65535, 100.0 });
    addResult(loads[0].estimate, expectation(0), { AttemptEnd::Answered, 1h, 0s, 0s }, now - 10s);
    auto result = expectation(0, 1000);
    CHECK_TRUE(result.latencyRatio() > 0 && result.latencyRatio() < 1e6);
    CHECK_TRUE(result.failureRate >= 0 && result.failureRate <= 1);
}

// Guards against a log line from which an operator cannot tell by which figures an upstream was chosen.
TEST(UpstreamEstimate, DescriptionStatesFiguresAndAge)
{
    STRCMP_EQUAL("time x1.00, failures 0.00, no evidence", describe(expectation(0)).c_str());
    STRCMP_EQUAL("time x2.05, failures 0.12, 340 ms old",
        describe({ .steadyRatio = 1.64, .deviation = 1.25, .failureRate = 0.123, .age = 340ms }).c_str());
}
