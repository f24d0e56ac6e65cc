#include "papayabend/dispatch/ReturnTime.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint now { 100s };
constexpr base::Duration objective { 80ms };

struct Caller {
    base::Duration roundTrip; // between the caller and the host
    base::Duration ownRoundTrip; // between the caller and the hosts of its failure domain
    bool isNewConnection;
    base::Duration lateTimers; // of a busy host
};

/** Returns the time of a caller that asks for addresses first, from its first packet to the last byte of an answer that
 * the host decides to send at its objective less the return time. */
base::Duration callerTime(const Caller& caller)
{
    TurnDelay delay;
    observe(delay, caller.lateTimers, now);
    auto sentAfter = objective - returnTime({ caller.roundTrip, caller.isNewConnection }, delay, now);
    auto question = 2 * caller.ownRoundTrip;
    auto connecting = caller.isNewConnection ? caller.roundTrip : base::Duration(0);
    return question + connecting + caller.roundTrip + sentAfter + caller.lateTimers;
}

}

TEST_GROUP(ReturnTime) {};

// Guards against answers that leave at the objective and reach the caller after it: on kept and new connections, from
// the same and from other failure domains, from idle and from busy hosts.
TEST(ReturnTime, AnswersSentAtTheObjectiveReachTheCallerWithinIt)
{
    for (auto roundTrip : { 1ms, 6ms, 15ms, 40ms }) {
        for (auto isNewConnection : { false, true }) {
            for (auto lateTimers : { 0ms, 5ms, 20ms }) {
                Caller caller { roundTrip, std::min(roundTrip, 6ms), isNewConnection, lateTimers };
                CHECK_TRUE(callerTime(caller) <= objective - 2ms);
            }
        }
    }
}

// Guards against answers that leave out shards although the caller has time left.
TEST(ReturnTime, KeptConnectionOfTheSameFailureDomainKeepsMostOfTheObjective)
{
    CHECK_TRUE(returnTime({ 6ms, false }, {}, now) <= objective / 3);
}

// Guards against a connection without a measured round trip that counts as one without any way back.
TEST(ReturnTime, UnknownRoundTripIsNotZero)
{
    CHECK_TRUE(returnTime({}, {}, now) >= 18ms);
    CHECK_TRUE(returnTime({ 0ms, true }, {}, now) > returnTime({}, {}, now));
}

// Guards against a path or a delay, hostile or measured while packets were lost, that leaves upstreams no time.
TEST(ReturnTime, ExtremeValuesAreBounded)
{
    TurnDelay delay;
    observe(delay, 10s, now);
    CHECK_TRUE(returnTime({ 10s, true }, delay, now) <= 250ms);
    observe(delay, -1s, now);
    CHECK_TRUE(expectedDelay(delay, now) >= 0ms);
}

// Guards against a host that was busy once and leaves out shards ever after.
TEST(ReturnTime, DelayOfTheProcessFades)
{
    TurnDelay delay;
    observe(delay, 20ms, now);
    observe(delay, 1ms, now + 100ms);
    CHECK_TRUE(expectedDelay(delay, now + 100ms) > 15ms);
    CHECK_TRUE(expectedDelay(delay, now + 10s) < 1ms);
}
