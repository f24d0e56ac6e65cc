#include "papayabend/dispatch/UpstreamGate.h"

#include "papayabend/dispatch/ChooseUpstream.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <deque>
#include <map>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr size_t hostCount = 4;
constexpr size_t upstreamCount = 3;
constexpr auto drainTime = 3s;
constexpr auto limitWindow = 4s;
constexpr auto answerTime = 20ms;

struct SimulatedUpstream {
    discovery::UpstreamEntry entry;
    UpstreamLoad load;
    bool isLeaving { false };
    std::optional<double> limit;
    base::TimePoint limitedSince {};
    base::TimePoint pausesUntil {}; /**< Until then it turns requests away. */
    std::deque<base::TimePoint> arrivals; /**< Of the last limitWindow. */
    std::array<base::TimePoint, hostCount> leavingHeardAt {};
    std::array<std::pair<base::TimePoint, base::TimePoint>, hostCount>
        pauseHeard {}; /**< Time of the answer and end. */
    std::array<int, hostCount> arrivalsInPause {};
};

struct PendingAnswer {
    base::TimePoint dueAt;
    size_t host { 0 };
    size_t upstream { 0 };
    uint64_t key { 0 };
    bool isLeaving { false };
    std::optional<double> limit;
    std::optional<base::Duration> pause;
};

/** Hosts that send requests to the upstreams of one service, which leave, pause, name limits and start again at random.
 */
struct Simulation {
    std::array<UpstreamGate, hostCount> gates;
    std::array<SimulatedUpstream, upstreamCount> upstreams;
    std::deque<PendingAnswer> answers;
    base::Random random;
    base::TimePoint now { 100s };
    uint64_t served { 0 };
    uint64_t refused { 0 };
    std::map<std::string, uint64_t> broken;

    explicit Simulation(uint64_t seed)
        : random(seed)
    {
        for (size_t n = 0; n < upstreamCount; ++n)
            start(n);
        for (auto& gate : gates)
            gate.limitShare = 1.0 / hostCount;
    }

    static uint64_t keyOf(const SimulatedUpstream& upstream) { return dispatch::keyOf(upstream.entry.record); }

    void start(size_t n)
    {
        upstreams[n] = {};
        upstreams[n].entry.record.id = "u" + std::to_string(n);
        upstreams[n].entry.record.startedAt = base::toMilliseconds(now.time_since_epoch());
    }

    bool happens(double perSecond) { return base::uniform(random) < perSecond / 1000; }

    void changeUpstreams()
    {
        for (size_t n = 0; n < upstreamCount; ++n) {
            auto& upstream = upstreams[n];
            if (upstream.isLeaving ? happens(0.1) : happens(0.01))
                start(n);
            if (happens(0.02))
                upstream.isLeaving = true;
            if (happens(0.1))
                upstream.pausesUntil = now + std::chrono::milliseconds(base::uniformIndex(random, 4000));
            if (happens(0.1)) {
                upstream.limit = upstream.limit ? std::nullopt : std::optional(5 + 40 * base::uniform(random));
                upstream.limitedSince = now;
            }
        }
    }

    void check(bool holds, const char* rule)
    {
        if (!holds)
            ++broken[rule];
    }

    void arrive(size_t host, size_t n)
    {
        auto& upstream = upstreams[n];
        upstream.arrivals.push_back(now);
        while (now - upstream.arrivals.front() > limitWindow)
            upstream.arrivals.pop_front();
        if (upstream.leavingHeardAt[host] != base::TimePoint {})
            check(now - upstream.leavingHeardAt[host] <= drainTime, "request to a leaving upstream");
        auto [heardAt, pauseEnd] = upstream.pauseHeard[host];
        if (now - heardAt > 500ms && now < pauseEnd)
            check(++upstream.arrivalsInPause[host] <= 2, "more than two requests in a pause");
        if (upstream.limit && now - upstream.limitedSince > 2 * limitWindow)
            check(static_cast<double>(upstream.arrivals.size()) <= 1.5 * *upstream.limit * 4 + 5, "limit exceeded");
        PendingAnswer answer { now + answerTime, host, n, keyOf(upstream), upstream.isLeaving, upstream.limit };
        if (upstream.pausesUntil > now)
            answer.pause = upstream.pausesUntil - now;
        answers.push_back(answer);
    }

    void receive(const PendingAnswer& answer)
    {
        auto& gate = gates[answer.host];
        auto& upstream = upstreams[answer.upstream];
        auto isSameProcess = keyOf(upstream) == answer.key;
        gate.limits.observe(answer.key, answer.limit, now);
        if (answer.isLeaving)
            gate.holds.addLeaving(answer.key, now);
        if (answer.isLeaving && isSameProcess)
            upstream.leavingHeardAt[answer.host] = now;
        if (!answer.pause)
            return;
        gate.holds.addPause(answer.key, *answer.pause, random, now);
        if (isSameProcess && now >= upstream.pauseHeard[answer.host].second) {
            upstream.pauseHeard[answer.host] = { now, now + *answer.pause };
            upstream.arrivalsInPause[answer.host] = 0;
        }
    }

    void request(size_t host)
    {
        auto& gate = gates[host];
        std::vector<Candidate> candidates;
        for (auto& upstream : upstreams) {
            upstream.load.idleConnections = 1;
            candidates.push_back({ &upstream.entry, &upstream.load });
            candidates.back().isHeldBack = !isOpen(gate, keyOf(upstream), false, now);
            // Hosts prefer different upstreams.
            candidates.back().isRemote = (host + candidates.size()) % upstreamCount != 0;
        }
        auto choice = chooseUpstream(candidates, { 10ms, 50ms, now });
        if (!choice) {
            ++refused;
            return;
        }
        ++served;
        gate.limits.take(keyOf(upstreams[*choice]), gate.limitShare, now);
        arrive(host, *choice);
    }

    void run(uint64_t requests)
    {
        while (served + refused < requests) {
            now += 1ms;
            changeUpstreams();
            for (; !answers.empty() && answers.front().dueAt <= now; answers.pop_front())
                receive(answers.front());
            for (size_t host = 0; host < hostCount; ++host) {
                if (happens(25))
                    request(host);
                gates[host].holds.expire(now);
            }
            if (base::toMilliseconds(now.time_since_epoch()) % 500 == 0)
                shareLimits();
        }
    }

    void shareLimits()
    {
        for (const auto& sender : gates) {
            auto notices = sender.limits.notices(random, now);
            for (auto& receiver : gates)
                receiver.limits.merge(notices, now);
        }
    }
};

}

TEST_GROUP(UpstreamGate) {};

// Guards against a request that reaches an upstream against its own word, whatever words come together and how often.
TEST(UpstreamGate, NoRequestGoesAgainstTheWordOfAnUpstream)
{
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        Simulation simulation(seed);
        simulation.run(50'000);
        for (const auto& [rule, count] : simulation.broken)
            printf("seed %d: %s, %d times\n", static_cast<int>(seed), rule.c_str(), static_cast<int>(count));
        CHECK_TRUE(simulation.broken.empty());
        CHECK_TRUE(simulation.served > simulation.refused);
    }
}

// Guards against one owner too few: each reason closes the gate, and the reasons that end a wait are those that last.
TEST(UpstreamGate, ReasonsOfTheDirectoryAndOfEvacuations)
{
    UpstreamGate gate;
    base::TimePoint now { 100s };
    discovery::UpstreamEntry entry;
    discovery::Evacuations evacuations;
    entry.record.failureDomain = "d1";
    entry.changedAt = now - 500ms;
    auto reason = [&](GateQuery query) {
        query.evacuations = &evacuations;
        query.now = now;
        return reasonAgainst(gate, { entry, base::TimePoint { 90s } }, query);
    };
    CHECK_TRUE(reason({}) == GateReason::None);
    CHECK_TRUE(reasonAgainst(gate, { entry, now + 1ms }, { .now = now }) == GateReason::Misdirected);
    entry.record.isDraining = true;
    CHECK_TRUE(reason({}) == GateReason::Draining);
    CHECK_TRUE(reason({ .hasListed = false }) == GateReason::None);
    CHECK_TRUE(reason({ .hasListed = false, .resumedAt = now - 700ms }) == GateReason::Draining);
    CHECK_TRUE(reason({ .hasListed = false, .resumedAt = now - 9s }) == GateReason::None);
    now += 500ms;
    CHECK_TRUE(reason({ .hasListed = false }) == GateReason::Draining);
    entry.record.isDraining = false;
    entry.presence = discovery::Presence::Missing;
    CHECK_TRUE(reason({}) == GateReason::Missing);
    CHECK_TRUE(reason({ .hasListed = false }) == GateReason::None);
    entry.presence = discovery::Presence::Gone;
    CHECK_TRUE(reason({ .hasListed = false }) == GateReason::Gone);
    entry.presence = discovery::Presence::Listed;
    evacuations.begin("d1");
    CHECK_TRUE(reason({}) == GateReason::Evacuated);
    evacuations.end("d1", now);
    now += discovery::Evacuations::returnTime / 2;
    CHECK_TRUE(reason({ .returnDraw = 0.6 }) == GateReason::Returning);
    CHECK_TRUE(reason({ .returnDraw = 0.4 }) == GateReason::None);
    gate.holds.addLeaving(keyOf(entry.record), now);
    CHECK_TRUE(reason({ .returnDraw = 0.4 }) == GateReason::Leaving);
    CHECK_TRUE(isLasting(GateReason::Leaving) && isLasting(GateReason::Evacuated) && isLasting(GateReason::Draining));
    CHECK_FALSE(isLasting(GateReason::Returning) || isLasting(GateReason::Paused) || isLasting(GateReason::Limited));
}

// Guards against attempts that wait for one upstream and together exceed its limit when they are sent.
TEST(UpstreamGate, WaitingAttemptsCountAgainstTheLimit)
{
    UpstreamGate gate;
    base::TimePoint now { 100s };
    discovery::UpstreamEntry entry;
    gate.limits.observe(keyOf(entry.record), 4, now);
    CHECK_TRUE(reasonAgainst(gate, { entry, {}, 1 }, { .now = now }) == GateReason::None);
    CHECK_TRUE(reasonAgainst(gate, { entry, {}, 2 }, { .now = now }) == GateReason::Limited);
}

// Guards against hedges to an upstream in need, and against the hold of a process that applies to its successor.
TEST(UpstreamGate, GateIsPerProcessAndClosedForHedgesAtALimit)
{
    UpstreamGate gate;
    base::TimePoint now { 100s };
    base::Random random { 1 };
    auto key = UpstreamLimits::keyOf("u", 1);
    gate.limits.observe(key, 100, now);
    CHECK_TRUE(isOpen(gate, key, false, now));
    CHECK_FALSE(isOpen(gate, key, true, now));
    gate.holds.addPause(key, 2s, random, now);
    CHECK_TRUE(*waitFor(gate, key, now) >= 2s);
    gate.holds.addLeaving(key, now);
    CHECK_FALSE(waitFor(gate, key, now).has_value());
    CHECK_FALSE(isOpen(gate, key, false, now + 5s));
    CHECK_TRUE(isOpen(gate, UpstreamLimits::keyOf("u", 2), true, now));
}
