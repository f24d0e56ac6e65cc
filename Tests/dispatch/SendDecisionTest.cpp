#include "papayabend/dispatch/SendDecision.h"

#include "dispatch/SendSimulation.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

TEST_GROUP(SendDecision)
{
    SendInputs inputs { .policy = { true, 2, 50ms },
        .history = { .inFlight = 1, .waiting = 1 },
        .deadline = base::TimePoint { 110s },
        .now = base::TimePoint { 100s } };

    void checkWithheld(SendReason expected) const { CHECK_TRUE(reasonNotToSend(inputs) == expected); }

    static void print(const SendSimulation& simulation, size_t hosts)
    {
        for (const auto& [rule, count] : simulation.broken)
            printf("%d hosts: %s, %d times\n", static_cast<int>(hosts), rule.c_str(), static_cast<int>(count));
    }
};

// Guards against sending what was allowed when the attempt was queued and is no longer.
TEST(SendDecision, EachReasonWithholdsTheAttempt)
{
    checkWithheld(SendReason::None);
    inputs.budgetLeft = 0.9;
    checkWithheld(SendReason::NoBudget);
    inputs.history.sent = 2;
    checkWithheld(SendReason::AttemptsUsed);
    inputs.gate = GateReason::Draining;
    checkWithheld(SendReason::Gate);
    STRCMP_EQUAL("draining", toString(SendReason::Gate, inputs.gate));
    inputs.isSuspect = true;
    checkWithheld(SendReason::Suspect);
    inputs.isStale = true;
    checkWithheld(SendReason::Stale);
    inputs.now = inputs.deadline;
    checkWithheld(SendReason::OutOfTime);
    inputs.isAnswered = true;
    checkWithheld(SendReason::Answered);
}

// Guards against a search that could not find the fault: attempts that are sent as they were queued reach an upstream
// long after it drains.
TEST(SendDecision, SearchFindsAttemptsThatAreNotDecidedAtTheSend)
{
    SendSimulation simulation(6, 1, {});
    simulation.checksAtSend = false;
    simulation.run(20'000);
    CHECK_TRUE(simulation.broken.contains("request to a draining upstream"));
}

// Guards against a request that reaches an upstream after the allowed time, runs on more upstreams than its route
// allows, or runs although its caller was told that it has not, whatever troubles come together and how often.
TEST(SendDecision, NoRequestBreaksARuleInAnyTrouble)
{
    struct Case {
        size_t hosts;
        size_t requests;
    };
    for (auto [hosts, requests] :
        { Case { 6, 80'000 }, Case { 33, 40'000 }, Case { 62, 40'000 }, Case { 195, 20'000 }, Case { 1600, 5'000 } }) {
        SendSimulation simulation(hosts, hosts, {});
        simulation.run(requests);
        print(simulation, hosts);
        CHECK_TRUE(simulation.broken.empty());
        printf("%d hosts: %d served, %d refused, %d lost\n", static_cast<int>(hosts),
            static_cast<int>(simulation.served), static_cast<int>(simulation.refused),
            static_cast<int>(simulation.lost));
        CHECK_TRUE(simulation.served > simulation.refused);
        CHECK_TRUE(hosts > 62 || simulation.withheld["draining"] > 0);
    }
}

// Guards against faults that only one kind of trouble shows, when it is much more frequent than the others.
TEST(SendDecision, NoRequestBreaksARuleInOneFrequentTrouble)
{
    constexpr SendSimulation::Trouble none { 0, 0, 0, 0.3, 0.3, 0, 0, 0, 0 };
    std::vector<SendSimulation::Trouble> troubles(7, none);
    troubles[0].drains = 0.5;
    troubles[1].leaves = 0.5;
    troubles[2].lossTimes = 2;
    troubles[3].limits = 1;
    troubles[4].evacuations = 0.5;
    troubles[5].freezes = 0.3;
    troubles[5].cuts = 0.1;
    troubles[5].drains = 0.2;
    troubles[6].ends = 0.5;
    for (size_t n = 0; n < troubles.size(); ++n) {
        SendSimulation simulation(6, 100 + n, troubles[n]);
        simulation.run(8'000);
        print(simulation, 6);
        CHECK_TRUE(simulation.broken.empty());
    }
}
