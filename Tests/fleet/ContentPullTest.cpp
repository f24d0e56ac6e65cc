#include "papayabend/fleet/ContentPull.h"

#include "fleet/FleetFixture.h"
#include "papayabend/fleet/ContentTransfers.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t oldRevision = 1;
constexpr uint64_t newRevision = 2;
constexpr auto step = 10ms;

struct SimulatedHost {
    FleetView fleet;
    PullState pulls;
    ContentTransfers transfers;
    uint64_t revision { oldRevision };
    SimulatedHost* source { nullptr };
    uint64_t transferNumber { 0 };
    bool isFrozen { false };
    double receivedBytes { 0 };
    base::TimePoint completeAt {};
};

/** Hosts of one failure domain in virtual time. Transfers from a host share its link evenly. */
struct SimulatedDomain {
    double bytesPerSecond { 0 };
    double contentBytes { 0 };
    std::vector<std::unique_ptr<SimulatedHost>> hosts;
    base::Random random { 1 };
    base::TimePoint startedAt { 100s };
    base::TimePoint now { startedAt };
    size_t mostTransfers { 0 }; /**< From one host at the same time. */
    size_t freezing { 0 }; /**< So many receivers, the first ones, freeze at the start of their transfer. */

    explicit SimulatedDomain(size_t count)
    {
        for (size_t n = 0; n < count; ++n)
            hosts.push_back(std::make_unique<SimulatedHost>(
                SimulatedHost { .fleet = FleetView(hostHeartbeat("h" + std::to_string(n), "d")) }));
        hosts.front()->revision = newRevision;
    }

    SimulatedHost* find(const std::string& peerAddress)
    {
        auto it
            = std::ranges::find(hosts, peerAddress, [](const auto& host) { return host->fleet.self().peerAddress; });
        return it->get();
    }

    void sendHeartbeats(uint64_t sequence)
    {
        for (auto& sender : hosts) {
            auto& self = sender->fleet.self();
            self.sequence = sequence;
            self.contentRevision = sender->revision;
            for (auto& receiver : hosts)
                receiver->fleet.apply(self, now);
        }
    }

    void startPull(SimulatedHost& host)
    {
        auto chosen = choosePullSource(host.fleet, host.pulls, { { 0, host.revision }, true, false }, random, now);
        if (!chosen)
            return;
        auto* source = find(chosen->address);
        if (source->revision <= host.revision)
            return recordFruitlessPull(host.pulls, {}, random, now);
        auto number = source->transfers.begin(host.fleet.self().peerAddress, { 0, source->revision }, now);
        if (!number)
            return recordFruitlessPull(host.pulls, source->transfers.receiversOf({ 0, host.revision }), random, now);
        if (freezing > 0) {
            --freezing;
            host.isFrozen = true;
            return;
        }
        host.source = source;
        host.transferNumber = *number;
        host.receivedBytes = 0;
    }

    void advance(SimulatedHost& host)
    {
        auto sharing = std::ranges::count_if(hosts, [&](const auto& it) { return it->source == host.source; });
        mostTransfers = std::max(mostTransfers, static_cast<size_t>(sharing));
        host.receivedBytes
            += bytesPerSecond * std::chrono::duration<double>(step).count() / static_cast<double>(sharing);
        if (host.receivedBytes >= contentBytes)
            host.completeAt = now;
    }

    void completeTransfers()
    {
        for (auto& host : hosts) {
            if (!host->source || host->completeAt != now)
                continue;
            host->source->transfers.end(host->transferNumber);
            host->source = nullptr;
            host->revision = newRevision;
            recordPull(host->pulls);
        }
    }

    /** Returns the time until all hosts have the content, or \a longest. */
    base::Duration run(base::Duration longest)
    {
        uint64_t steps = 0;
        auto hasContent = [](const auto& host) { return host->isFrozen || host->revision == newRevision; };
        while (!std::ranges::all_of(hosts, hasContent) && now - startedAt < longest) {
            if (steps++ % 100 == 0)
                sendHeartbeats(steps + 1);
            for (auto& host : hosts) {
                if (!host->isFrozen)
                    host->source ? advance(*host) : startPull(*host);
            }
            completeTransfers();
            now += step;
        }
        return now - startedAt;
    }
};

}

TEST_GROUP(ContentPull)
{
    base::Random random { 1 };
    base::TimePoint now { 100s };
    FleetView fleet { hostHeartbeat("self", "d") };
    PullState state;

    void addAhead(const std::string& name, const std::string& domain)
    {
        auto heartbeat = hostHeartbeat(name, domain);
        heartbeat.contentRevision = newRevision;
        fleet.apply(heartbeat, now);
    }

    std::optional<std::string> choose()
    {
        auto source = choosePullSource(fleet, state, { { 0, oldRevision }, true }, random, now);
        return source ? std::optional(source->address) : std::nullopt;
    }
};

// Guards against a large change that is not in force in time because all hosts fetch it over one slow link.
TEST(ContentPull, LargestConfigurationReachesADomainInTime)
{
    SimulatedDomain domain(27);
    domain.bytesPerSecond = 20e6 / 8;
    domain.contentBytes = 1 << 20;
    CHECK_TRUE(domain.run(60s) < 5s);
    LONGS_EQUAL(ContentTransfers::maxTransfers, domain.mostTransfers);
}

// Guards against a time that grows with the number of hosts: 123 is the size of a domain to design for.
TEST(ContentPull, LargestConfigurationReachesALargeDomainInTime)
{
    SimulatedDomain domain(123);
    domain.bytesPerSecond = 20e6 / 8;
    domain.contentBytes = 1 << 20;
    CHECK_TRUE(domain.run(60s) < 12s);
}

// Guards against receivers that freeze and keep the places of others for longer than a change may take.
TEST(ContentPull, FrozenReceiversDoNotKeepTheContentFromOthers)
{
    SimulatedDomain domain(8);
    domain.bytesPerSecond = 1e9 / 8;
    domain.contentBytes = 1 << 20;
    domain.freezing = ContentTransfers::maxTransfers;
    CHECK_TRUE(domain.run(60s) < 3s);
}

// Guards against asking a busy host again although it has named others that have the content.
TEST(ContentPull, HostsNamedByABusyHostAreAskedAtOnce)
{
    addAhead("a", "d");
    STRCMP_EQUAL("peers.a", choose()->c_str());
    recordFruitlessPull(state, { "peers.b", "peers.self" }, random, now);
    STRCMP_EQUAL("peers.b", choose()->c_str());
    STRCMP_EQUAL("peers.a", choose()->c_str());
}

// Guards against a host that asks busy hosts without a pause.
TEST(ContentPull, PausesFollowFruitlessPulls)
{
    addAhead("a", "d");
    for (int n = 0; n < 3; ++n) {
        recordFruitlessPull(
            state, n == 0 ? std::vector<std::string>() : std::vector<std::string> { "peers.b" }, random, now);
        CHECK_FALSE(choose().has_value());
        now += 150ms;
        CHECK_TRUE(choose().has_value());
    }
}

// Guards against transfers between failure domains while a host of the own one has the content, or may soon have it.
TEST(ContentPull, HostsOfTheOwnDomainArePreferred)
{
    for (size_t n = 0; n < FleetView::maxSmallFleet; ++n)
        fleet.apply(hostHeartbeat("old " + std::to_string(n), "d"), now);
    addAhead("remote", "other");
    CHECK_FALSE(choose().has_value());
    now += 1s;
    STRCMP_EQUAL("peers.remote", choose()->c_str());
    addAhead("local", "d");
    for (int n = 0; n < 20; ++n)
        STRCMP_EQUAL("peers.local", choose()->c_str());
}
