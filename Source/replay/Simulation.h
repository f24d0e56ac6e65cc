#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/base/Verdict.h"
#include "papayabend/catalog/Catalog.h"
#include "papayabend/engine/Engine.h"
#include "papayabend/routing/Attempt.h"
#include "replay/Event.h"
#include "replay/Recorder.h"
#include "replay/Upstream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace papayabend::replay {

using base::Duration;
using base::TimePoint;

/** Virtual time of the first event; not zero, because zero is often used as "never". */
constexpr TimePoint startTime { std::chrono::seconds(1000) };

/** \struct SearchedShard
 * \brief A shard that an upstream fake really searched for a request.
 */
struct SearchedShard {
    uint64_t snapshot { 0 };
    uint32_t shard { 0 };
    uint64_t units { 0 };
};

enum class RequestOutcome : uint8_t { Open, Answered, Refused, Reset };

/** \enum RequestKind
 * \brief What the caller does.
 */
enum class RequestKind : uint8_t {
    Search,
    Execute, /**< Obtains a ticket first, unless it resends an earlier request's. */
    QueryOutcome, /**< Asks for the outcome of an earlier request's ticket. */
};

/** \struct Request
 * \brief A caller's request and what happened to it. The first group is filled by the case.
 */
struct Request {
    std::string account;
    std::string service;
    RequestKind kind { RequestKind::Search };
    std::optional<uint32_t> ticketOf; /**< Number of the earlier request whose ticket is used. */
    std::string body; /**< Must differ between requests; a body that starts with "crash" crashes its upstream. */
    uint32_t host { 0 };
    uint32_t maxHits { 10 };
    TimePoint sentAt {};
    Duration timeout { std::chrono::seconds(1) };
    std::optional<Duration> callerDelay; /**< One-way delay to the host; Simulation::callerDelay if absent. */

    uint32_t number { 0 }; /**< Index in Simulation::requests. */
    routing::RequestId id { 0 };
    std::string ticket;
    uint64_t hostIncarnation { 0 };
    TimePoint receivedAt {};
    TimePoint finishedAt {}; /**< At the caller. */
    RequestOutcome outcome { RequestOutcome::Open };
    std::optional<base::Verdict> verdict; /**< Of the refusal. */
    double coverage { 0 }; /**< Share of the answer; 1 for a complete one. */
    uint32_t callsSent { 0 };
    uint32_t callsStarted { 0 }; /**< Calls that an upstream fake began to run. */
    std::vector<SearchedShard> searched; /**< Emptied when the request is finished. */
};

/** \struct Call
 * \brief One attempt between a host and an upstream fake.
 */
struct Call {
    routing::Attempt attempt;
    routing::AttemptResult result;
    uint64_t generation { 1 }; /**< Counts the uses of the slot; events of former uses are dropped. */
    uint32_t host { 0 };
    uint64_t hostIncarnation { 0 };
    uint32_t upstream { 0 };
    uint32_t request { 0 };
    uint32_t shard { 0 };
    TimePoint startedAt {};
    bool isClientOpen { false }; /**< The host still waits for the result. */
    bool isServerOpen { false }; /**< The call travels to the upstream, waits there or runs. */
    bool isQueued { false };
    bool isRunning { false };
};

/** \struct Forward
 * \brief An execution that one host passed to another.
 */
struct Forward {
    uint32_t origin { 0 };
    uint64_t originIncarnation { 0 };
    routing::RequestId originId { 0 };
    uint32_t target { 0 };
    uint32_t request { 0 };
    execution::ExecutionRequest execution;
    execution::ForwardReply reply;
    bool isEnded { false };
};

/** \struct Host
 * \brief A host that runs the real engine. A paused host receives its events when it resumes.
 */
struct Host {
    std::string name;
    uint32_t index { 0 };
    uint32_t domain { 0 };
    std::string callerAddress;
    std::string peerAddress;
    uint64_t incarnation { 0 };
    std::unique_ptr<engine::Engine> engine; /**< Null while the host is down. */
    bool isPaused { false };
    std::vector<Event> held;
    std::vector<TimePoint> connections; /**< By upstream: time at which it is usable; the maximum if closed. */
    std::unordered_map<routing::RequestId, uint32_t> requests; /**< Executions stay after their reply. */
    std::unordered_map<routing::RequestId, uint32_t> forwards; /**< Open forwards that this host received. */
    std::unordered_map<routing::AttemptId, uint32_t> calls;
};

/** \struct PlatformRead
 * \brief A read or watch of the configuration service.
 */
struct PlatformRead {
    uint64_t generation { 1 }; /**< Counts the uses of the slot; events of former uses are dropped. */
    uint32_t host { 0 };
    uint64_t hostIncarnation { 0 };
    std::string key;
    uint64_t after { 0 };
    bool isWaiting { false };
    engine::ReadStatus status { engine::ReadStatus::Failed };
    std::string answer;
};

/** \struct Platform
 * \brief Configuration service fake.
 */
struct Platform {
    struct Value {
        uint64_t version { 0 };
        std::string text;
    };
    std::map<std::string, Value> values;
    std::map<std::string, Value> staleValues; /**< What is served while isStale is set. */
    bool isDown { false };
    bool isStale { false };
    Duration delay { 2'000 }; /**< From a read to its answer. */
    Duration hostListLag { std::chrono::seconds(2) }; /**< Until a started or dead host changes the host list. */
    uint64_t reads { 0 };
    std::vector<PlatformRead> slots;
    std::vector<uint32_t> freeSlots;
    std::set<uint32_t> listedHosts;
    uint64_t hostListVersion { 0 };
};

/** \struct PublishedShard
 * \brief Shard map as published, which answers are checked against.
 */
struct PublishedShard {
    uint32_t index { 0 };
    uint64_t units { 0 };
    std::vector<uint32_t> replicas; /**< Indices in Simulation::upstreams. */
};

/** \struct PublishedSnapshot
 * \brief Every shard of a published snapshot.
 */
struct PublishedSnapshot {
    std::unordered_map<std::string, PublishedShard> shards;
    uint64_t units { 0 };
};

/** \struct Simulation
 * \brief Whole state of a replay: hosts with real engines, fakes, and the queue of timed events.
 */
struct Simulation {
    uint64_t seed { 1 };
    TimePoint now { startTime };
    Duration localDelay { 200 }; /**< One way, within a failure domain. */
    Duration remoteDelay { 5'000 }; /**< One way, between failure domains. */
    Duration callerDelay { 1'000 };
    Duration tickPeriod { 100'000 };
    double peerLoss { 0 }; /**< Share of peer messages that are lost. */
    uint32_t hitsPerShard { 1 };
    Duration crashRestartTime { 0 }; /**< Time after which a crashed upstream restarts; 0: it stays down. */

    std::vector<std::string> domains;
    std::vector<Host> hosts;
    std::vector<Upstream> upstreams;
    std::map<std::string, ServiceTime, std::less<>> serviceTimes; /**< By service; the default if absent. */
    Platform platform;
    std::set<std::pair<uint32_t, uint32_t>> cutDomains; /**< Pairs of failure domains without a connection. */
    std::set<uint32_t> platformCutDomains; /**< Failure domains that do not reach the platform. */

    std::deque<Request> requests; /**< A deque keeps references valid while it grows. */
    /** Returns the next request, in order of sentAt, or nothing at the end. */
    std::function<std::optional<Request>()> arrivals;
    /** Creates the engine of a host; the default uses the seed only. */
    std::function<std::unique_ptr<engine::Engine>(const Simulation&, const Host&)> makeEngine;
    Recorder recorder;

    EventQueue events;
    uint64_t lastOrder { 0 };
    std::vector<std::function<void(Simulation&)>> scripts;
    std::vector<Call> calls;
    std::vector<uint32_t> freeCalls;
    std::optional<Request> nextArrival;
    std::map<std::string, std::map<uint64_t, PublishedSnapshot>, std::less<>>
        publishedSnapshots; /**< By service and snapshot. */
    std::unordered_map<std::string, uint32_t> upstreamsByAddress;
    std::unordered_map<std::string, uint32_t> hostsByPeerAddress;
    std::vector<engine::PeerMessage> peerMessages;
    std::vector<uint32_t> freePeerMessages;
    base::Random lossRandom { 1 };
    std::vector<Forward> forwards;
    std::unordered_map<std::string, uint32_t> executions; /**< Starts of each execution body. */
    std::set<std::string> executionsNotRun; /**< Bodies that a caller was told have not run and will not run. */

    uint64_t eventsHandled { 0 };
    uint64_t callsSent { 0 };
    uint64_t peerMessagesSent { 0 };
    uint64_t unhandledActions { 0 };
    uint64_t violations { 0 };
    std::vector<std::string> violationTexts; /**< The first ones. */
};

/** Returns what a process of the host knows from its settings. */
membership::HostIdentity identityOf(const Simulation&, const Host&);
/** Adds a host that is started by run() or startHost(). Returns its index. */
uint32_t addHost(Simulation&, std::string name, std::string_view domain);
/** Returns the index of a failure domain and adds it if it is new. */
uint32_t domainIndex(Simulation&, std::string_view name);
/** Starts a host as a new process. */
void startHost(Simulation&, uint32_t host);
/** Ends a host's process without notice; its callers see a reset. */
void killHost(Simulation&, uint32_t host);
void pauseHost(Simulation&, uint32_t host);
void resumeHost(Simulation&, uint32_t host);

/** Publishes a value on the configuration service under the version it contains, or the next one if it contains
 * none. A catalogue also creates the upstream fakes it lists. */
void publish(Simulation&, std::string_view key, std::string_view text);
/** Takes a service outage's beginning or end. */
void setPlatformDown(Simulation&, bool isDown);
/** While stale, the service answers with the values it had at the call. */
void setPlatformStale(Simulation&, bool isStale);

/** Returns the index of the upstream fake called \a name; throws std::out_of_range if there is none. */
uint32_t upstreamIndex(const Simulation&, std::string_view name);
void killUpstream(Simulation&, uint32_t upstream);
void restartUpstream(Simulation&, uint32_t upstream);
/** Makes an upstream refuse a snapshot from now on. */
void dropSnapshot(Simulation&, uint32_t upstream, std::string_view service, uint64_t snapshot);

void cutDomains(Simulation&, std::string_view first, std::string_view second);
void healDomains(Simulation&);

/** Sends a request at its sentAt. */
void submit(Simulation&, Request);
/** Calls \a script at a virtual time. */
void at(Simulation&, TimePoint, std::function<void(Simulation&)> script);
/** Handles all events up to and including \a until. */
void run(Simulation&, TimePoint until);
/** Checks at the end of a replay that no request was lost without an answer, a refusal or a reset. */
void checkNoSilentLoss(Simulation&);

/** Returns the one-way delay between two failure domains. */
Duration delayBetween(const Simulation&, uint32_t first, uint32_t second);

}
