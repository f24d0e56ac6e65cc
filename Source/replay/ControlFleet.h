#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"
#include "papayabend/engine/ControlPath.h"
#include "papayabend/engine/SharedState.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <variant>
#include <vector>

namespace papayabend::replay {

/** \struct ControlFleetSettings
 * \brief Shape of a fleet whose control paths run in virtual time.
 */
struct ControlFleetSettings {
    uint64_t seed { 1 };
    size_t hosts { 8 };
    size_t domains { 3 };
    size_t regions { 1 };
    size_t seedsPerDomain { 2 };
    size_t accounts { 4 }; /**< Rows of the table. */
    size_t upstreams { 4 }; /**< Of the catalogue. */
    double loss { 0 }; /**< Share of messages lost between failure domains. */
    base::Duration delayInDomain { std::chrono::microseconds(250) };
    base::Duration delayInRegion { std::chrono::milliseconds(5) };
    base::Duration delayBetweenRegions { std::chrono::milliseconds(40) };
    base::Duration listLag { std::chrono::seconds(2) }; /**< Of the platform's host list. */
    /** Size of a message on the wire; not set: messages are not measured. */
    std::function<size_t(const engine::PeerMessage&)> messageBytes {};
};

/** \struct FleetHost
 * \brief One host of the fleet and the process that runs on it.
 */
struct FleetHost {
    membership::HostIdentity identity;
    std::unique_ptr<engine::SharedState> shared; /**< Null while no process runs. */
    std::unique_ptr<engine::ControlPath> control;
    base::TimePoint started {};
    base::TimePoint pausedUntil {};
    uint64_t bytesSent { 0 };
    uint64_t bytesReceived { 0 };
    uint64_t messagesReceived { 0 };
    uint64_t cpuNanoseconds { 0 };
    uint64_t tableVersion { 0 }; /**< In force at the last event of the process. */
    uint64_t catalogVersion { 0 };
    bool isReady { false };
    base::TimePoint ready {}; /**< When the process first could serve; 0: not yet. */
};

/** \class ControlFleet
 * \brief Control paths of all hosts of a fleet, an in-memory network and platform, in virtual time.
 */
class ControlFleet {
public:
    explicit ControlFleet(const ControlFleetSettings&);

    base::TimePoint now() const { return m_now; }
    void runFor(base::Duration);

    void startHost(size_t);
    void startAll(base::Duration spread);
    void killHost(size_t);
    void pauseHost(size_t, base::Duration);

    /** Publishes the next version of "table" or "catalog", with one changed row, and returns its number. */
    uint64_t publish(const std::string& key);
    /** Publishes a text under "table" or "catalog". */
    void publishText(const std::string& key, uint64_t version, std::string text);
    /** Lets the platform list the hosts whose processes run, after the lag. */
    void refreshHostList();

    std::string tableText(uint64_t version, uint64_t changed) const;
    std::string catalogText(uint64_t version, uint64_t changed) const;

    bool isPlatformUp { true };
    /** Version that reads return instead of the newest one, whatever they ask for; 0: the newest. */
    std::map<std::string, uint64_t> staleVersions;
    /** Returns whether messages from one host to another are lost; host number hosts.size() is the platform. */
    std::function<bool(size_t from, size_t to)> isCut;
    std::vector<FleetHost> hosts;
    std::vector<uint64_t> platformCalls; /**< Reads that arrived, for each 100 ms since the start. */
    std::vector<std::string> violations; /**< Versions that went back. */

    bool isTableEverywhere(uint64_t version) const;
    bool isReadyEverywhere() const;
    /** Returns the most reads of the platform in any second since \a from. */
    uint64_t mostReadsPerSecond(base::TimePoint from) const;
    /** Returns the last events, newest last. */
    std::string trace() const;

private:
    struct Tick { };
    struct Read {
        engine::ReadPlatform read;
    };
    struct ReadEnd {
        std::string key;
        engine::ReadStatus status;
        std::shared_ptr<const std::string> text;
    };
    struct Deliver {
        std::shared_ptr<const engine::PeerMessage> message;
    };
    struct Waiter {
        size_t host;
        uint64_t incarnation;
        engine::ReadPlatform read;
        base::TimePoint end;
    };
    struct EndWatches { };
    struct ListHosts {
        std::string text;
    };
    struct Start { };
    using Body = std::variant<Tick, Read, ReadEnd, Deliver, EndWatches, ListHosts, Start>;
    struct Event {
        base::TimePoint at;
        uint64_t number;
        size_t host;
        uint64_t incarnation;
        std::shared_ptr<Body> body;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void schedule(base::TimePoint, size_t host, Body);
    void handle(const Event&);
    void run(size_t host, const std::function<engine::Actions(engine::ControlPath&)>&);
    void perform(size_t host, engine::Actions&&);
    void deliver(size_t from, const std::string& address, engine::PeerMessage&&);
    void answerRead(size_t host, const engine::ReadPlatform&);
    void answerWaiters();
    void endRead(size_t host, uint64_t incarnation, const std::string& key, engine::ReadStatus, const std::string&);
    void check(FleetHost&);
    void note(size_t host, const std::string& text);
    base::Duration delay(const FleetHost&, const FleetHost&) const;
    std::string hostListText() const;

    ControlFleetSettings m_settings;
    base::Random m_random;
    base::TimePoint m_now;
    base::TimePoint m_begin;
    uint64_t m_lastEvent { 0 };
    uint64_t m_lastIncarnation { 0 };
    std::priority_queue<Event> m_events;
    std::map<std::string, std::map<uint64_t, std::string>> m_published;
    std::vector<Waiter> m_waiters;
    std::map<std::string, size_t> m_addresses;
    std::string m_hostList;
    uint64_t m_hostListVersion { 0 };
    std::deque<std::string> m_trace;
};

}
