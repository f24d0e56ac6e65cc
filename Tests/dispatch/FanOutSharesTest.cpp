#include "papayabend/dispatch/FanOutShares.h"
#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <queue>
#include <vector>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 8;
constexpr base::Duration runTime { 100ms };
// Fan-outs that the limit lets through in a second.
constexpr double capacity = 80;

struct Stream {
    TrafficClass trafficClass;
    double perSecond { 0 };
    size_t asked { 0 };
    size_t served { 0 };

    double share() const { return static_cast<double>(served) / static_cast<double>(asked); }
};

/** Plays streams of requests with random arrivals over one host for 60 s of virtual time. */
void play(std::vector<Stream>& streams)
{
    struct Event {
        base::TimePoint at;
        size_t stream;
        bool isEnd;
        bool operator>(const Event& other) const { return at > other.at; }
    };
    base::Random random { 7 };
    FanOutShares shares;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    auto next = [&](size_t n, base::TimePoint now) {
        auto seconds = -std::log(1 - base::uniform(random)) / streams[n].perSecond;
        events.push(
            { now + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds)), n, false });
    };
    base::TimePoint start { 100s };
    for (size_t n = 0; n < streams.size(); ++n)
        next(n, start);
    while (events.top().at < start + 60s) {
        auto event = events.top();
        events.pop();
        auto& stream = streams[event.stream];
        if (event.isEnd) {
            shares.end(stream.trafficClass, runTime);
            continue;
        }
        next(event.stream, event.at);
        ++stream.asked;
        shares.addArrival(stream.trafficClass, event.at);
        if (!shares.mayBegin(stream.trafficClass, limit, event.at))
            continue;
        ++stream.served;
        shares.begin(stream.trafficClass);
        events.push({ event.at + runTime, event.stream, true });
    }
}

}

TEST_GROUP(FanOutShares) {};

// Guards against an account that takes the places of others by asking more often, at six times the capacity.
TEST(FanOutShares, AccountsGetTheirWeights)
{
    std::vector<Stream> streams { { { "a", 3, 0 }, 200 }, { { "b", 1, 0 }, 280 } };
    play(streams);
    auto ratio = static_cast<double>(streams[0].served) / static_cast<double>(streams[1].served);
    CHECK_TRUE(ratio > 2.5 && ratio < 3.5);
    CHECK_TRUE(static_cast<double>(streams[0].served + streams[1].served) > 0.75 * capacity * 60);
}

// Guards against places that stay empty because an account does not use its share.
TEST(FanOutShares, UnusedShareGoesToOthers)
{
    std::vector<Stream> streams { { { "a", 3, 0 }, 2 }, { { "b", 1, 0 }, 140 } };
    play(streams);
    CHECK_TRUE(streams[0].share() > 0.9);
    CHECK_TRUE(static_cast<double>(streams[1].served) > 0.75 * capacity * 60);
}

// Guards against urgent requests that are refused for less urgent ones, and against less urgent ones that starve, at
// twice the capacity.
TEST(FanOutShares, UrgentRequestsGoFirstAndNoneStarves)
{
    std::vector<Stream> streams { { { "a", 1, 1 }, 40 }, { { "a", 1, 2 }, 120 } };
    play(streams);
    CHECK_TRUE(streams[0].share() > 0.75);
    CHECK_TRUE(streams[1].share() > 0.25);
}

// Guards against a refusal below the limit.
TEST(FanOutShares, NothingIsBoundBelowTheLimit)
{
    FanOutShares shares;
    base::TimePoint now { 100s };
    TrafficClass urgent { "a", 1, 0 };
    TrafficClass other { "a", 1, 5 };
    for (int n = 0; n < 100; ++n, now += 50ms) {
        for (const auto& trafficClass : { urgent, other }) {
            shares.addArrival(trafficClass, now);
            CHECK_TRUE(shares.mayBegin(trafficClass, 256, now));
            shares.begin(trafficClass);
            shares.end(trafficClass, 40ms);
        }
    }
    LONGS_EQUAL(0, shares.running());
}
