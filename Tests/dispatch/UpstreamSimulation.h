#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ChooseUpstream.h"
#include "papayabend/dispatch/LatencyEstimate.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/dispatch/Subrequest.h"

#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace papayabend::dispatch::simulation {

/** A way to choose upstreams, with what one host has learned of each upstream. */
class Policy {
public:
    virtual ~Policy() = default;
    virtual size_t choose(std::span<const Candidate>, const ChoiceInputs&) = 0;
    /** \a expected: of the estimate of the upstream when the attempt was chosen. */
    virtual void attemptEnded(
        size_t upstream, UpstreamLoad&, const Expectation& expected, const AttemptResult&, base::TimePoint now)
        = 0;
    /** Other candidates than \a chosen got no request. */
    virtual void passedOver(std::span<UpstreamLoad>, size_t chosen);
};

using PolicyFactory = std::function<std::unique_ptr<Policy>(uint64_t seed)>;

/** The present choice, and the one by learned estimates. */
std::unique_ptr<Policy> presentPolicy(uint64_t seed);
std::unique_ptr<Policy> learnedPolicy(uint64_t seed);

enum class Statement { None, Truth, Constant, Opposite };

/** Upstreams of one service, and the hosts that send to them. */
struct Scenario {
    size_t hosts { 1 };
    size_t replicas { 3 };
    base::Duration length { std::chrono::seconds(10) };
    double load { 0.3 }; /**< Requests as a share of what equal upstreams run before they slow down. */
    uint32_t slots { 6 };
    bool hasUnlikeSpeeds { false }; /**< 0.8 to 1.3. */
    bool hasKnee { false }; /**< Work takes longer above a third of the slots. */
    base::Duration episode { 0 }; /**< A seventh of the upstreams is 2.5 times slower for this time; 0: none. */
    double failureRate { 0 }; /**< Of the first upstream: half are resets, half truncated answers. */
    double refusalRate { 0 }; /**< Of the first upstream. */
    double lostRate { 0 }; /**< Answers of the first upstream that never come. */
    Statement statement { Statement::None };
    bool isRepeatable { true };
    base::Duration work { std::chrono::milliseconds(20) };
    base::Duration objective { std::chrono::milliseconds(100) };
};

struct Outcome {
    size_t requests { 0 };
    size_t inTime { 0 };
    size_t late { 0 };
    size_t failed { 0 };
    size_t attempts { 0 };
    double totalMs { 0 }; /**< Of the answered requests. */
    std::vector<size_t> sent; /**< Attempts sent to each upstream. */

    Outcome& operator+=(const Outcome&);
    double inTimeShare() const { return static_cast<double>(inTime) / static_cast<double>(requests); }
    double wholeShare() const { return static_cast<double>(inTime + late) / static_cast<double>(requests); }
    double attemptsPerRequest() const { return static_cast<double>(attempts) / static_cast<double>(requests); }
};

/** Plays one run in virtual time. Arrivals, work and slow times depend on \a seed only, so that policies meet the same.
 */
Outcome play(const Scenario&, const PolicyFactory&, uint64_t seed);

/** Adds up the runs of \a count seeds. */
Outcome playSeeds(const Scenario&, const PolicyFactory&, uint64_t count);

/** Prints the totals to standard output. */
void print(const char* name, const Outcome&);

}
