#include "replay/Simulation.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(Simulation)
{
    static constexpr auto catalogText = R"({"version":1,
        "upstreams":[
            {"name":"a0","address":"10.0.0.1:1","failureDomain":"a","slots":2,"connectionLimit":25},
            {"name":"b0","address":"10.0.0.2:1","failureDomain":"b","slots":2,"connectionLimit":25}],
        "services":[{"name":"s","snapshots":[{"id":1,"shards":[
            {"name":"s0","units":10,"replicas":["a0","b0"]},{"name":"s1","units":10,"replicas":["a0","b0"]}]}]}]})";

    static constexpr auto tableText = "version,1\naccount,s\nacc,weight=1\n";

    replay::Simulation simulation;
    std::vector<query::SearchAnswer> answers;

    static void serve(replay::Simulation & it)
    {
        replay::addHost(it, "h0", "a");
        replay::publish(it, "table", tableText);
        replay::publish(it, "catalog", catalogText);
        replay::startHost(it, 0);
        replay::run(it, replay::startTime + 3s);
    }

    void setup() override
    {
        serve(simulation);
        simulation.recorder.answered
            = [this](const auto&, const auto&, const auto& answer) { answers.push_back(answer); };
    }

    void search(std::string body)
    {
        replay::Request request;
        request.account = "acc";
        request.service = "s";
        request.body = std::move(body);
        request.sentAt = simulation.now;
        replay::submit(simulation, std::move(request));
    }
};

// Guards against a replay that performs no calls and so proves nothing.
TEST(Simulation, SearchIsAnsweredInFull)
{
    search("q1");
    replay::run(simulation, simulation.now + 3s);
    LONGS_EQUAL(1, answers.size());
    CHECK(query::isComplete(answers[0].coverage));
    LONGS_EQUAL(0, simulation.violations);
    LONGS_EQUAL(2, simulation.requests[0].callsSent);
}

// Guards against figures that cannot be repeated.
TEST(Simulation, SameSeedGivesTheSameTimes)
{
    search("q1");
    replay::run(simulation, simulation.now + 3s);
    auto first = simulation.requests[0].finishedAt;
    replay::Simulation again;
    serve(again);
    replay::submit(again, [&] {
        replay::Request request;
        request.account = "acc";
        request.service = "s";
        request.body = "q1";
        request.sentAt = again.now;
        return request;
    }());
    replay::run(again, again.now + 3s);
    CHECK(first == again.requests[0].finishedAt);
}

// Guards against a caller that waits for ever when its host dies, which the replay must report as a reset.
TEST(Simulation, KilledHostResetsItsCallers)
{
    search("q1");
    replay::at(simulation, simulation.now + 3ms, [](replay::Simulation& it) { replay::killHost(it, 0); });
    replay::run(simulation, simulation.now + 3s);
    CHECK(simulation.requests[0].outcome == replay::RequestOutcome::Reset);
    replay::checkNoSilentLoss(simulation);
    LONGS_EQUAL(0, simulation.violations);
}

// Guards against a lost upstream that still answers.
TEST(Simulation, LostUpstreamEndsItsCalls)
{
    replay::killUpstream(simulation, 0);
    replay::killUpstream(simulation, 1);
    search("q1");
    replay::run(simulation, simulation.now + 3s);
    LONGS_EQUAL(1, answers.size());
    LONGS_EQUAL(0, answers[0].coverage.unitsSearched);
    LONGS_EQUAL(0, simulation.violations);
}

// Guards against a caller that a paused host holds and that learns nothing when this host dies.
TEST(Simulation, HostKilledWhilePausedResetsItsCallers)
{
    replay::pauseHost(simulation, 0);
    search("q1");
    replay::run(simulation, simulation.now + 100ms);
    replay::killHost(simulation, 0);
    replay::run(simulation, simulation.now + 3s);
    CHECK(simulation.requests[0].outcome == replay::RequestOutcome::Reset);
    LONGS_EQUAL(0, simulation.violations);
}
