#include "dispatch/UpstreamSimulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace papayabend::dispatch::simulation {

namespace {

    using namespace std::chrono_literals;
    using enum AttemptEnd;

    constexpr base::TimePoint beginning { 1000s };
    constexpr base::Duration linkTime { 1ms };
    constexpr base::Duration remoteLinkTime { 2400us };
    constexpr base::Duration timeout { 1s };
    constexpr uint32_t maxAttempts = 2;
    // The fixed part is small, as the runs are short; a larger one would hide how many attempts a policy needs.
    constexpr RetryBudgetSettings retryBudget { 0.2, 10, 10s };
    constexpr double slowFactor = 2.5;

    /** Returns a number in [0, 1) that depends on the arguments only. */
    double chance(uint64_t seed, uint64_t what, uint64_t first, uint64_t second = 0)
    {
        uint64_t bits = 0;
        for (auto it : { seed, what, first, second }) {
            bits = (bits ^ it) + 0x9e3779b97f4a7c15;
            bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9;
            bits = (bits ^ (bits >> 27)) * 0x94d049bb133111eb;
            bits ^= bits >> 31;
        }
        return static_cast<double>(bits >> 11) * 0x1.0p-53;
    }

    struct Attempt {
        size_t request;
        size_t upstream;
        base::TimePoint sentAt;
        Expectation expected;
        bool isEnded { false };
        AttemptResult result;
    };

    struct Request {
        size_t host;
        base::TimePoint arrivedAt;
        SubrequestHistory history;
        std::vector<bool> tried;
        std::vector<size_t> attempts;
        bool isOver { false };
    };

    struct Upstream {
        double speed { 1 };
        uint32_t running { 0 };
        std::deque<size_t> queue;
    };

    struct Host {
        std::unique_ptr<Policy> policy;
        std::vector<UpstreamLoad> loads;
        LatencyEstimate latency;
        RetryBudget budget;
    };

    class Run {
    public:
        Run(const Scenario& scenario, const PolicyFactory& factory, uint64_t seed)
            : m_scenario(scenario)
            , m_seed(seed)
            , m_upstreams(scenario.replicas)
            , m_entries(scenario.replicas)
            , m_hosts(scenario.hosts)
        {
            for (size_t n = 0; n < scenario.replicas; ++n) {
                m_upstreams[n].speed = scenario.hasUnlikeSpeeds ? 0.8 + 0.5 * chance(seed, 1, n) : 1;
                m_entries[n].record.address = std::to_string(n);
            }
            for (size_t n = 0; n < scenario.hosts; ++n) {
                m_hosts[n].policy = factory(seed * 1000 + n);
                m_hosts[n].loads.resize(scenario.replicas);
                for (size_t i = 0; i < scenario.replicas; ++i) {
                    m_hosts[n].loads[i] = { .idleConnections = 1, .openConnections = 1, .maxConnections = 4 };
                    beginProcess(m_hosts[n].loads[i].estimate, m_entries[i].record);
                }
            }
            m_outcome.sent.resize(scenario.replicas);
        }

        Outcome play()
        {
            auto slotsBeforeKnee = m_scenario.hasKnee ? m_scenario.slots / 3.0 : m_scenario.slots;
            auto perSecond = m_scenario.load * slotsBeforeKnee * static_cast<double>(m_scenario.replicas)
                / std::chrono::duration<double>(m_scenario.work).count();
            base::Random arrivals(m_seed);
            for (auto at = beginning; at < beginning + m_scenario.length;) {
                auto host = base::uniformIndex(arrivals, m_hosts.size());
                schedule(at, [this, host] { arrive(host); });
                auto gap = -std::log(1 - base::uniform(arrivals)) / perSecond;
                at += std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap));
            }
            while (!m_events.empty()) {
                std::ranges::pop_heap(m_events, {}, &Event::rank);
                auto event = std::move(m_events.back());
                m_events.pop_back();
                m_now = event.at;
                event.run();
            }
            return m_outcome;
        }

    private:
        struct Event {
            base::TimePoint at;
            int64_t number;
            std::function<void()> run;
            std::pair<base::Duration, int64_t> rank() const { return { base::TimePoint {} - at, -number }; }
        };

        void schedule(base::TimePoint at, std::function<void()> run)
        {
            m_events.push_back({ at, m_nextEvent++, std::move(run) });
            std::ranges::push_heap(m_events, {}, &Event::rank);
        }

        void arrive(size_t host)
        {
            auto request = m_requests.size();
            m_requests.push_back({ host, m_now, {}, std::vector<bool>(m_scenario.replicas), {} });
            ++m_outcome.requests;
            m_hosts[host].budget.addRequest("service", retryBudget, m_now);
            send(request);
            schedule(m_now + timeout, [this, request] { end(request, false); });
        }

        base::Duration medianLatency(const Host& host) const
        {
            return base::Duration(static_cast<int64_t>(host.latency.median));
        }

        SubrequestPolicy policyOf(const Host& host) const
        {
            return { m_scenario.isRepeatable, maxAttempts, hedgeDelay(host.latency, m_scenario.objective) };
        }

        bool isRemote(size_t host, size_t upstream) const { return host % m_scenario.replicas != upstream; }

        bool send(size_t index)
        {
            auto& request = m_requests[index];
            auto& host = m_hosts[request.host];
            auto isFirst = request.history.sent == 0;
            if (std::ranges::find(request.tried, false) == request.tried.end())
                return false;
            auto part = 1.0 / static_cast<double>(m_hosts.size());
            if (!isFirst && !host.budget.tryTake("service", retryBudget, part, m_now))
                return false;
            std::vector<Candidate> candidates;
            for (size_t n = 0; n < m_scenario.replicas; ++n)
                candidates.push_back({ &m_entries[n], &host.loads[n], request.tried[n], isRemote(request.host, n) });
            ChoiceInputs inputs { medianLatency(host), policyOf(host).hedgeDelay, m_now };
            inputs.learned = { request.arrivedAt + m_scenario.objective - m_now, m_scenario.isRepeatable,
                m_scenario.isRepeatable && isFirst };
            auto chosen = host.policy->choose(candidates, inputs);
            auto expected = expectationOf(candidates[chosen], serviceMean(candidates, m_now), m_now);
            host.policy->passedOver(host.loads, chosen);
            request.tried[chosen] = true;
            ++request.history.sent;
            ++request.history.inFlight;
            request.history.lastSentAt = m_now;
            ++m_outcome.attempts;
            ++m_outcome.sent[chosen];
            host.loads[chosen].sentAt.push_back(m_now);
            auto attempt = m_attempts.size();
            request.attempts.push_back(attempt);
            m_attempts.push_back({ index, chosen, m_now, expected, false, {} });
            schedule(m_now + linkOf(attempt), [this, attempt] { reach(attempt); });
            schedule(m_now + inputs.hedgeDelay, [this, index] { hedge(index); });
            return true;
        }

        /** Sends a second attempt if it is due; else looks again when it may be. */
        void hedge(size_t index)
        {
            const auto& request = m_requests[index];
            auto policy = policyOf(m_hosts[request.host]);
            if (request.isOver || request.history.inFlight != 1 || !mayRetry(policy, request.history))
                return;
            auto dueAt = request.history.lastSentAt + policy.hedgeDelay;
            if (m_now < dueAt)
                schedule(dueAt, [this, index] { hedge(index); });
            else if (!send(index))
                schedule(m_now + 10ms, [this, index] { hedge(index); });
        }

        base::Duration linkOf(size_t attempt) const
        {
            const auto& it = m_attempts[attempt];
            return isRemote(m_requests[it.request].host, it.upstream) ? remoteLinkTime : linkTime;
        }

        double slownessOf(size_t upstream) const
        {
            if (m_scenario.episode.count() == 0)
                return 1;
            auto episode = static_cast<uint64_t>(m_now.time_since_epoch() / m_scenario.episode);
            return chance(m_seed, 2, upstream, episode) < 1.0 / 7 ? slowFactor : 1;
        }

        void reach(size_t attempt)
        {
            auto& it = m_attempts[attempt];
            auto& upstream = m_upstreams[it.upstream];
            auto draw = it.upstream == 0 ? chance(m_seed, 3, it.request) : 1;
            if (draw < m_scenario.refusalRate || upstream.queue.size() >= 4 * size_t { m_scenario.slots })
                return respond(attempt, Refused);
            // Half of the failures are resets, the others truncated answers after the work.
            if (draw < m_scenario.failureRate / 2)
                return respond(attempt, Failed);
            if (draw < m_scenario.failureRate)
                it.result.end = Failed;
            if (upstream.running >= m_scenario.slots)
                return upstream.queue.push_back(attempt);
            run(attempt);
        }

        void run(size_t attempt)
        {
            const auto& it = m_attempts[attempt];
            auto& upstream = m_upstreams[it.upstream];
            ++upstream.running;
            auto knee = m_scenario.slots / 3.0;
            auto crowding = m_scenario.hasKnee ? std::max(upstream.running / knee, 1.0) : 1;
            auto work
                = (0.6 + 0.8 * chance(m_seed, 4, it.request)) * upstream.speed * slownessOf(it.upstream) * crowding;
            auto time
                = std::chrono::duration_cast<base::Duration>(work * std::chrono::duration<double>(m_scenario.work));
            schedule(m_now + time, [this, attempt] { finishWork(attempt); });
        }

        void finishWork(size_t attempt)
        {
            auto& it = m_attempts[attempt];
            auto& upstream = m_upstreams[it.upstream];
            --upstream.running;
            if (m_scenario.statement != Statement::None)
                it.result.stated = state(it.upstream);
            if (!upstream.queue.empty()) {
                auto next = upstream.queue.front();
                upstream.queue.pop_front();
                run(next);
            }
            if (it.upstream != 0 || chance(m_seed, 5, it.request) >= m_scenario.lostRate)
                respond(attempt, it.result.end);
        }

        StatedLoad state(size_t upstream) const
        {
            auto slowness = slownessOf(upstream);
            auto waiting = static_cast<uint32_t>(m_upstreams[upstream].queue.size());
            switch (m_scenario.statement) {
            case Statement::Constant:
                return { 0, 0, m_scenario.slots, 0.5 };
            case Statement::Opposite:
                return { m_scenario.slots, m_scenario.slots, m_scenario.slots, slowness > 1 ? 0.4 : slowFactor };
            default:
                return { m_upstreams[upstream].running, waiting, m_scenario.slots, slowness };
            }
        }

        void respond(size_t attempt, AttemptEnd kind)
        {
            m_attempts[attempt].result.end = kind;
            schedule(m_now + linkOf(attempt), [this, attempt] { endAttempt(attempt); });
        }

        void endAttempt(size_t index)
        {
            auto& attempt = m_attempts[index];
            if (attempt.isEnded)
                return;
            attempt.isEnded = true;
            auto& request = m_requests[attempt.request];
            auto& host = m_hosts[request.host];
            auto& load = host.loads[attempt.upstream];
            auto& result = attempt.result;
            std::erase(load.sentAt, attempt.sentAt);
            --request.history.inFlight;
            result.duration = m_now - attempt.sentAt;
            result.medianLatency = medianLatency(host);
            result.objective = m_scenario.objective;
            result.ownRequests = load.sentAt.size();
            host.policy->attemptEnded(attempt.upstream, load, attempt.expected, result, m_now);
            if (result.end == Answered)
                addSample(host.latency, result.duration);
            if (request.isOver)
                return;
            if (result.end == Answered)
                return end(attempt.request, true);
            if (result.end == Refused)
                ++request.history.provenNotRun;
            if (mayRetry(policyOf(host), request.history))
                send(attempt.request);
            if (request.history.inFlight == 0)
                end(attempt.request, false);
        }

        void end(size_t index, bool isAnswered)
        {
            auto& request = m_requests[index];
            if (request.isOver)
                return;
            request.isOver = true;
            auto time = m_now - request.arrivedAt;
            if (!isAnswered)
                ++m_outcome.failed;
            else
                ++(time <= m_scenario.objective ? m_outcome.inTime : m_outcome.late);
            if (isAnswered)
                m_outcome.totalMs += std::chrono::duration<double, std::milli>(time).count();
            // Like gateway::Exchange, which gives up what is not needed any more some time later.
            schedule(m_now + 400ms, [this, index] {
                for (auto attempt : m_requests[index].attempts) {
                    if (m_attempts[attempt].isEnded)
                        continue;
                    m_attempts[attempt].result.end = GivenUp;
                    endAttempt(attempt);
                }
            });
        }

        Scenario m_scenario;
        uint64_t m_seed;
        base::TimePoint m_now { beginning };
        std::vector<Upstream> m_upstreams;
        std::vector<discovery::UpstreamEntry> m_entries;
        std::vector<Host> m_hosts;
        std::deque<Request> m_requests;
        std::deque<Attempt> m_attempts;
        std::vector<Event> m_events; /**< A heap; the earliest event is at the front. */
        int64_t m_nextEvent { 0 };
        Outcome m_outcome;
    };

    class PresentPolicy : public Policy {
    public:
        size_t choose(std::span<const Candidate> candidates, const ChoiceInputs& inputs) override
        {
            auto present = inputs;
            present.learned.reset();
            return *chooseUpstream(candidates, present);
        }

        void attemptEnded(
            size_t, UpstreamLoad& load, const Expectation&, const AttemptResult& result, base::TimePoint now) override
        {
            if (result.end == Failed)
                addFailure(load, now);
            else if (result.end == Refused)
                load.fullUntil = now + 30ms;
            else
                addLatency(load, result.duration, result.medianLatency, now);
        }
    };

    class LearnedPolicy : public PresentPolicy {
    public:
        size_t choose(std::span<const Candidate> candidates, const ChoiceInputs& inputs) override
        {
            return *chooseUpstream(candidates, inputs);
        }

        void attemptEnded(size_t upstream, UpstreamLoad& load, const Expectation& expected, const AttemptResult& result,
            base::TimePoint now) override
        {
            PresentPolicy::attemptEnded(upstream, load, expected, result, now);
            addResult(load.estimate, expected, result, now);
        }

        void passedOver(std::span<UpstreamLoad> loads, size_t chosen) override
        {
            for (size_t n = 0; n < loads.size(); ++n)
                loads[n].estimate.passedOver = n == chosen ? 0 : loads[n].estimate.passedOver + 1;
        }
    };

}

void Policy::passedOver(std::span<UpstreamLoad>, size_t) { }

std::unique_ptr<Policy> presentPolicy(uint64_t) { return std::make_unique<PresentPolicy>(); }

std::unique_ptr<Policy> learnedPolicy(uint64_t) { return std::make_unique<LearnedPolicy>(); }

Outcome& Outcome::operator+=(const Outcome& other)
{
    requests += other.requests;
    inTime += other.inTime;
    late += other.late;
    failed += other.failed;
    attempts += other.attempts;
    totalMs += other.totalMs;
    sent.resize(std::max(sent.size(), other.sent.size()));
    for (size_t n = 0; n < other.sent.size(); ++n)
        sent[n] += other.sent[n];
    return *this;
}

Outcome play(const Scenario& scenario, const PolicyFactory& factory, uint64_t seed)
{
    return Run(scenario, factory, seed).play();
}

Outcome playSeeds(const Scenario& scenario, const PolicyFactory& factory, uint64_t count)
{
    Outcome sum;
    for (uint64_t seed = 1; seed <= count; ++seed)
        sum += play(scenario, factory, seed);
    return sum;
}

void print(const char* name, const Outcome& outcome)
{
    std::printf("\n%s: %zu requests, in time %.4f, whole %.4f, attempts %.3f, mean %.1f ms, sent", name,
        outcome.requests, outcome.inTimeShare(), outcome.wholeShare(), outcome.attemptsPerRequest(),
        outcome.totalMs / static_cast<double>(outcome.inTime + outcome.late));
    for (auto count : outcome.sent)
        std::printf(" %zu", count);
}

}
