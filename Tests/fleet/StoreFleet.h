#pragma once

#include "fleet/FleetFixture.h"
#include "papayabend/base/Random.h"
#include "papayabend/fleet/ContentFreshness.h"
#include "papayabend/fleet/Roles.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

/** A store and a fleet of hosts in virtual time: calls to the store, heartbeats, pushes and pulls of changes.
 *
 * The decisions are those of fleet::Roles and fleet::ContentFreshness. Hosts learn at once which other ones are chosen;
 * a host that ends without a message is replaced after the liveness timeout.
 */
class StoreFleet {
public:
    using Time = papayabend::base::TimePoint;
    using Duration = papayabend::base::Duration;

    struct Settings {
        size_t hosts { 6 };
        size_t domains { 3 };
        uint64_t seed { 1 };
        bool usesFreshness { true }; /**< False: only the chosen readers read, with one watch of 3 s after another. */
        double lossRate { 0.01 }; /**< Of datagrams. */
        bool losesAllDatagrams { false }; /**< Between all hosts, from the first disturbance on. */
        Duration minRemoteDelay { std::chrono::milliseconds(2) }; /**< One way between failure domains. */
        Duration maxRemoteDelay { std::chrono::milliseconds(8) };
    };

    explicit StoreFleet(const Settings& settings);

    /** The path from host \a host to the store is cut; in-flight calls hang. */
    void cut(size_t host) { m_hosts[host].isCut = true; }
    void restore(size_t host) { m_hosts[host].isCut = false; }
    /** The host is frozen, or killed. */
    void end(size_t host);
    /** The host tells the others that it leaves, and ends after 6 s. */
    void leave(size_t host);
    /** The store no longer answers: every call fails at once. */
    void setStoreDown(bool isDown);
    void loseAllDatagrams() { m_settings.losesAllDatagrams = true; }
    /** The store acknowledges a change. */
    void change();
    void runFor(Duration);

    Time now() const { return m_now; }
    /** Longest time after the acknowledgement of a change for which a host in contact with the store did not have it.
     */
    Duration oldestVersionInUse() const;
    /** Highest age of the newest confirmation at a host since resetFigures(). */
    Duration highestAge() const { return m_highestAge; }
    size_t calls() const { return m_callTimes.size(); }
    size_t maxCallsPerSecond() const;
    size_t standIns() const { return m_standIns; }
    void resetFigures();
    std::vector<size_t> chosenReaders();

private:
    enum class Kind : uint8_t {
        Tick,
        Round,
        Datagrams,
        CallArrives,
        WatchEnds,
        Answer,
        Failure,
        NextCall,
        PullDone,
        Liveness
    };

    struct Event {
        Time at {};
        uint64_t number { 0 };
        Kind kind { Kind::Tick };
        uint32_t host { 0 }; /**< Datagrams: the sender. */
        uint32_t generation { 0 }; /**< Of the call. Datagrams: which hosts receive it. */
        uint64_t revision { 0 };
        uint64_t after { 0 }; /**< Datagrams: revision before the carried changes; UINT64_MAX for no changes. */
        Duration age { -1 };

        friend bool operator<(const Event& a, const Event& b)
        {
            return std::pair(a.at, a.number) > std::pair(b.at, b.number);
        }
    };

    struct Host {
        uint32_t domain { 0 };
        uint32_t index { 0 }; /**< In its failure domain. */
        bool isCut { false };
        bool hasEnded { false };
        Time endedAt {};
        uint64_t revision { 0 };
        uint64_t round { 0 };
        papayabend::fleet::ContentFreshness freshness;
        std::optional<size_t> rank;
        bool isReading { false };
        bool isConnected { false };
        bool needsPromptAnswer { false };
        bool isPulling { false };
        bool isWaiting { false }; /**< The store holds a watch of it open. */
        uint32_t generation { 0 };
        uint32_t failures { 0 };
        Time sentConfirmation {};
    };

    // Receivers of a datagram: all of the failure domain, those with an even or odd index, or one host.
    static constexpr uint32_t toAll = 0;
    static constexpr uint32_t toEven = 1;
    static constexpr uint32_t toOdd = 2;
    static constexpr uint32_t firstSingle = 3;

    bool isSmall() const { return m_hosts.size() <= papayabend::fleet::FleetView::maxSmallFleet; }
    bool isLive(const Host&) const;
    void schedule(Duration after, Kind, size_t host, uint32_t generation = 0, uint64_t revision = 0);
    void send(size_t host, uint32_t receivers, uint64_t after = UINT64_MAX);
    void receive(size_t receiver, const Event&);
    void handle(const Event&);
    void updateRoles();
    void tick(size_t host);
    void round(size_t host);
    void follow(size_t host);
    void startCall(size_t host);
    void handleAnswer(size_t host, uint64_t revision);
    void handleFailure(size_t host);
    void setRevision(size_t host, uint64_t revision);
    void sendAnswer(size_t host, uint64_t after);
    void answerWaiting(size_t host);
    static papayabend::fleet::ReaderKind kindOf(const Host&);
    const std::vector<const papayabend::fleet::Heartbeat*>& orderOf(const Host&) const;
    papayabend::fleet::ReaderSlot slotOf(size_t host) const;

    Settings m_settings;
    papayabend::base::Random m_random;
    Time m_now { std::chrono::seconds(100) };
    uint64_t m_eventNumber { 0 };
    std::priority_queue<Event> m_events;
    std::vector<Host> m_hosts;
    std::vector<papayabend::fleet::Heartbeat> m_heartbeats;
    std::vector<std::vector<uint32_t>> m_domains;
    std::vector<std::vector<const papayabend::fleet::Heartbeat*>> m_orders; /**< By failure domain, or one for all. */
    bool m_areRolesCurrent { false };
    bool m_isStoreDown { false };
    uint64_t m_storeRevision { 1 };
    std::vector<Time> m_acknowledgedAt { {}, {} }; /**< By revision. */
    std::vector<Time> m_callTimes;
    Duration m_oldestVersion { 0 };
    Duration m_highestAge { 0 };
    size_t m_standIns { 0 };
};
