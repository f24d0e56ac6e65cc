#include "papayabend/dispatch/StopAdmission.h"

#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

struct Kind {
    const char* name;
    bool isIdempotent;
    base::Duration objective;
    base::Duration limit; // time that the caller gives
    base::Duration work; // median time of an upstream
};

constexpr Kind kinds[] = {
    { "urgent fan-out", true, 80ms, 600ms, 20ms },
    { "full fan-out", true, 200ms, 1500ms, 60ms },
    { "long single request", true, 600ms, 6000ms, 160ms },
    { "order", false, 600ms, 6000ms, 160ms },
    { "order without an objective", false, 0ms, 3000ms, 300ms },
};

constexpr base::Duration grace = 5600ms;

// Time of an upstream: up to 1.6 times the median, and for one request in ten up to 2.5 times.
base::Duration drawWork(const Kind& kind, base::Random& random)
{
    auto factor
        = base::uniformIndex(random, 10) == 0 ? 1.6 + 0.9 * base::uniform(random) : 0.4 + 1.2 * base::uniform(random);
    return base::Duration(static_cast<int64_t>(static_cast<double>(kind.work.count()) * factor));
}

LatencyEstimate estimateOf(const Kind& kind, base::Random& random)
{
    LatencyEstimate latency;
    for (int n = 0; n < 2000; ++n)
        addSample(latency, drawWork(kind, random));
    return latency;
}

StopInputs inputsAt(const Kind& kind, base::Duration sinceSignal, bool hasOtherHost = true)
{
    auto now = base::TimePoint {} + sinceSignal;
    return { now, base::TimePoint {} + grace, now + kind.limit, kind.objective, kind.isIdempotent, hasOtherHost };
}

}

TEST_GROUP(StopAdmission) { base::Random random { 1 }; };

// Guards against requests that arrive late in the grace time, are passed on and are still open at its end: plays every
// millisecond of the grace time with every kind of request and the latency of a calm day.
TEST(StopAdmission, RequestsPassedOnInTheGraceTimeEndWithinIt)
{
    for (const auto& kind : kinds) {
        auto latency = estimateOf(kind, random);
        for (auto at = base::Duration(0); at < grace + 100ms; at += 1ms) {
            auto inputs = inputsAt(kind, at);
            if (mayBeginDuringStop(latency, inputs))
                CHECK_TRUE_TEXT(at + drawWork(kind, random) <= grace, kind.name);
        }
    }
}

// Guards against a stop that turns callers away although their requests would end well inside the grace time.
TEST(StopAdmission, RequestsOfTheFirstHalfOfTheGraceTimeAreServed)
{
    for (const auto& kind : kinds) {
        auto latency = estimateOf(kind, random);
        for (auto at = base::Duration(0); at < grace / 2; at += 1ms)
            CHECK_TRUE_TEXT(mayBeginDuringStop(latency, inputsAt(kind, at)), kind.name);
    }
}

// Guards against an order that is passed on by a host which does not know yet how long upstreams take.
TEST(StopAdmission, WithoutSamplesAnOrderNeedsItsWholeTime)
{
    const auto& order = kinds[4];
    CHECK_TRUE(mayBeginDuringStop({}, inputsAt(order, grace - order.limit)));
    CHECK_FALSE(mayBeginDuringStop({}, inputsAt(order, grace - order.limit + 1ms)));
}

// Guards against a fleet of one host that refuses requests which it could try, and against one that passes on an order
// of which nobody learns whether it has run.
TEST(StopAdmission, WithoutAnotherHostOnlyIdempotentRequestsAreTriedToTheEnd)
{
    for (const auto& kind : kinds) {
        auto latency = estimateOf(kind, random);
        CHECK_EQUAL(kind.isIdempotent, mayBeginDuringStop(latency, inputsAt(kind, grace - 1ms, false)));
        CHECK_FALSE(mayBeginDuringStop(latency, inputsAt(kind, grace, false)));
    }
}

// Guards against callers that wait for a host which ends, and against callers that come back before a single host can
// have started again.
TEST(StopAdmission, RefusedCallersReturnAtOnceOnlyIfThereIsAnotherHost)
{
    CHECK_TRUE(retryAfterStop(inputsAt(kinds[3], grace - 100ms)) < 50ms);
    CHECK_TRUE(retryAfterStop(inputsAt(kinds[3], grace - 100ms, false)) >= 1100ms);
    CHECK_TRUE(retryAfterStop(inputsAt(kinds[3], grace + 100ms, false)) >= 1000ms);
}
