#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/engine/Engine.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace papayabend::replay {

/** \struct FleetFaults
 * \brief Faults that a run injects; their mean interval is FleetOptions::faultInterval over all kinds.
 */
struct FleetFaults {
    bool hostDeath { false };
    bool pause { false };
    bool partition { false };
    bool resends { false }; /**< Callers resend at once and to other hosts, also with another body. */
    bool lateAnswers { false };
    bool plannedStops { false };
    bool upstreamCrashes { false };
};

/** \struct FleetOptions
 * \brief Size, load and faults of one run.
 */
struct FleetOptions {
    uint64_t seed { 1 };
    uint64_t requests { 10'000 };
    uint32_t hosts { 8 };
    uint32_t upstreams { 10 };
    double requestsPerSecond { 1000 };
    base::Duration faultInterval { std::chrono::seconds(1) };
    FleetFaults faults;
    bool isRolling { false }; /**< Replaces one host after the other by planned stops. */
};

/** \struct FleetResult
 * \brief What a run did and which promises it found broken.
 */
struct FleetResult {
    uint64_t requests { 0 };
    uint64_t answered { 0 }; /**< Callers that got the upstream's answer. */
    uint64_t notRun { 0 };
    uint64_t unknown { 0 }; /**< Outcome still unknown after the caller's last question. */
    uint64_t unknownRan { 0 }; /**< Of these, requests that ran. */
    uint64_t unknownLostCall { 0 }; /**< Of the unknown, requests whose call to an upstream was lost. */
    uint64_t unknownLostHost { 0 }; /**< Of the unknown, requests whose issuing process died. */
    uint64_t noTicket { 0 }; /**< Requests that never got a ticket; nothing was sent. */
    uint64_t resets { 0 };
    uint64_t forwards { 0 };
    uint64_t faults { 0 };
    uint64_t stops { 0 };
    uint64_t cutByStop { 0 }; /**< Requests that were open when a planned stop ended. */
    uint64_t violations { 0 };
    std::vector<std::string> violationTexts; /**< The first ones with the trace of the request. */
};

/** \class ExecutionFleet
 * \brief Several real engines, upstream fakes and scripted callers of non-idempotent requests in virtual time.
 *
 * After every event that concerns a request it is checked that no request runs twice, that "not run" is never said
 * of a request that ran or runs later, and that every caller gets a reply or a reset.
 */
class ExecutionFleet {
public:
    explicit ExecutionFleet(const FleetOptions&);
    FleetResult run();

private:
    struct Event {
        base::TimePoint at;
        uint64_t order;
        std::function<void()> action;
        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };
    struct Host {
        std::string name;
        uint64_t incarnation { 0 };
        std::unique_ptr<engine::Engine> engine;
        bool isPaused { false };
        base::TimePoint resumed {};
        std::vector<std::function<void()>> held;
        std::unordered_map<routing::RequestId, std::function<void(const engine::Action&)>> open;
    };
    struct Upstream {
        uint64_t generation { 1 };
        uint32_t busy { 0 };
        std::set<uint64_t> calls; /**< Open calls, which a crash loses. */
    };
    struct Call {
        uint32_t host { 0 };
        uint64_t incarnation { 0 };
        uint32_t upstream { 0 };
        routing::Attempt attempt;
        uint32_t request { 0 };
    };
    struct Request {
        std::string body;
        std::string ticket;
        uint32_t issuer { 0 };
        uint64_t issuerIncarnation { 0 };
        uint32_t sendsLeft { 0 };
        uint32_t queriesLeft { 0 };
        uint32_t ticketTriesLeft { 0 };
        uint32_t runs { 0 };
        uint32_t otherRuns { 0 }; /**< Runs of another body under the same ticket. */
        uint32_t openReplies { 0 };
        bool isSettled { false };
        bool wasToldNotRun { false };
        bool hasLostCall { false };
        std::string trace;
    };

    void at(base::TimePoint, std::function<void()>);
    void atHost(uint32_t host, base::TimePoint, std::function<void()>);
    void onHost(uint32_t host, uint64_t incarnation, std::function<void()>);
    base::Duration delay();
    bool canReach(uint32_t from, uint32_t to) const;
    uint32_t randomHost();

    void startHost(uint32_t host);
    void endHost(uint32_t host, bool isPlanned);
    void tick(uint32_t host, uint64_t incarnation);
    void perform(uint32_t host, engine::Actions);
    void send(uint32_t host, engine::SendAttempt&);
    void arrive(uint64_t call);
    void finish(uint64_t call, routing::AttemptStatus);
    void crash(uint32_t upstream);
    void forward(uint32_t host, engine::ForwardExecution&);
    void read(uint32_t host, const engine::ReadPlatform&);
    void deliver(uint32_t from, const engine::SendPeerMessage&);

    void arrival();
    void obtainTicket(uint32_t request);
    void submit(uint32_t request, execution::ExecutionKind, bool isResend);
    void replied(uint32_t request, execution::ExecutionKind, const engine::Action*);
    void next(uint32_t request);
    void injectFault();
    void startStop(uint32_t host);
    void rollNext(uint32_t host);
    void note(uint32_t request, const std::string& text);
    void recordViolation(uint32_t request, const std::string& text);
    void checkEnd();

    FleetOptions m_options;
    FleetResult m_result;
    base::Random m_random;
    base::TimePoint m_now { std::chrono::seconds(1000) };
    uint64_t m_order { 0 };
    std::priority_queue<Event> m_events;
    std::vector<Host> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::unordered_map<uint64_t, Call> m_calls;
    uint64_t m_lastCall { 0 };
    std::vector<Request> m_requests;
    std::unordered_map<std::string, uint32_t> m_byBody;
    std::set<uint32_t> m_side; /**< Hosts on one side of the partition. */
    bool m_isPartitioned { false };
    base::TimePoint m_lastArrival {};
    std::string m_tableText;
    std::string m_catalogText;
    std::string m_listText;
};

}
