#include "papayabend/fleet/ContentPull.h"
#include "papayabend/fleet/HeartbeatPlan.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/Content.h"

#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 50ms; // also the time that a message or a pull takes
constexpr int stepsPerTick = 5;
constexpr int stepsPerHeartbeat = 10;
constexpr double lostDatagrams = 0.1;
constexpr uint64_t firstRevision = 5;

struct SpreadHost {
    fleet::FleetView fleet;
    Content content;
    fleet::PullState pulls;
    uint64_t round { 10 }; // past the start of the process
    bool isReader { false };
    bool isFrozen { false };
    bool isCutOff { false }; /**< From the store and all hosts. */
    bool reachesStore { true };
};

/** Hosts that learn of a change of the store in virtual time: readers from the store, others by datagrams, some of
 * which are lost, and pulls. */
struct SpreadFleet {
    PlatformAdapter adapter {};
    Content store { adapter };
    std::vector<std::unique_ptr<SpreadHost>> hosts;
    std::map<std::string, SpreadHost*> byAddress;
    base::Random random { 7 };
    base::TimePoint now { 1000s };
    int steps { 0 };

    SpreadFleet(size_t count, size_t domains)
    {
        adapter.upstreamPrefix = "upstreams/";
        adapter.evacuationPrefix = "evacuate/";
        adapter.parseEvacuation = [](std::string_view value, base::LastReason&) { return value == "{}"; };
        store.retain({}, firstRevision, now);
        for (size_t n = 0; n < count; ++n) {
            auto heartbeat = hostHeartbeat("h" + std::to_string(n), "d" + std::to_string(n % domains));
            heartbeat.contentRevision = firstRevision;
            hosts.push_back(std::make_unique<SpreadHost>(fleet::FleetView(heartbeat), Content(adapter)));
            hosts.back()->content.retain({}, firstRevision, now);
            byAddress[heartbeat.peerAddress] = hosts.back().get();
        }
        // Hosts know their failure domain and a few hosts of others, as after some minutes.
        constexpr size_t knownOthers = 16;
        for (auto& host : hosts) {
            for (auto& other : hosts) {
                auto isNear = other->fleet.self().failureDomain == host->fleet.self().failureDomain;
                if (isNear || base::uniformIndex(random, count) < knownOthers)
                    host->fleet.apply(other->fleet.self(), now);
            }
        }
        run(500ms, [] { return false; });
    }

    void change(const std::string& key, const std::string& value, bool isRemoved = false)
    {
        auto revision = store.revision() + 1;
        store.apply(std::vector<StoreItem> { { key, value, revision, isRemoved } }, now);
        store.setComplete(revision);
    }

    void deliver(const std::string& address, const std::function<void(SpreadHost&)>& receive)
    {
        auto it = byAddress.find(address);
        auto isLost = it == byAddress.end() || it->second->isFrozen || it->second->isCutOff;
        if (!isLost && base::uniform(random) >= lostDatagrams)
            receive(*it->second);
    }

    void read(SpreadHost& host)
    {
        auto before = host.content.revision();
        if (!host.isReader || !host.reachesStore || host.isCutOff || before == store.revision())
            return;
        base::LastReason reason;
        host.content.applyEncoded(store.encode(before), now, reason);
        host.fleet.self().contentRevision = host.content.revision();
        ++host.fleet.self().sequence;
        auto changes = host.content.encode(before);
        for (const auto& address : fleet::pushTargets(host.fleet, now)) {
            deliver(address, [&](SpreadHost& receiver) {
                receiver.fleet.apply(host.fleet.self(), now);
                receiver.content.applyEncoded(changes, now, reason);
            });
        }
    }

    void sendHeartbeats(SpreadHost& host)
    {
        auto& self = host.fleet.self();
        self.contentRevision = host.content.revision();
        ++self.sequence;
        if (host.isCutOff)
            return;
        for (const auto& planned : fleet::planHeartbeats(host.fleet, {}, ++host.round, random, now)) {
            deliver(planned.address, [&](SpreadHost& receiver) {
                receiver.fleet.apply(self, now);
                for (const auto& heartbeat : planned.relayed)
                    receiver.fleet.apply(heartbeat, now);
            });
        }
    }

    void pull(SpreadHost& host)
    {
        fleet::PullInputs inputs { host.content.revision(), true, host.isReader && host.reachesStore };
        auto address = fleet::choosePullSource(host.fleet, host.pulls, inputs, random, now);
        if (!address)
            return;
        auto* source = byAddress[*address];
        if (host.isCutOff || source->isFrozen || source->isCutOff)
            return fleet::recordFruitlessPull(host.pulls, {}, random, now);
        base::LastReason reason;
        host.content.applyEncoded(source->content.encode(host.content.pullRevision()), now, reason);
        fleet::recordPull(host.pulls);
    }

    /** Plays for \a longest, or until \a isDone; returns the time. */
    base::Duration run(base::Duration longest, const std::function<bool()>& isDone)
    {
        auto since = now;
        while (now - since < longest && !isDone()) {
            now += step;
            ++steps;
            for (size_t n = 0; n < hosts.size(); ++n) {
                auto& host = *hosts[n];
                if (host.isFrozen)
                    continue;
                if ((static_cast<size_t>(steps) + n) % stepsPerTick == 0)
                    host.isReader = fleet::isReader(host.fleet, now);
                read(host);
                if ((static_cast<size_t>(steps) + n) % stepsPerHeartbeat == 0)
                    sendHeartbeats(host);
                pull(host);
            }
        }
        return now - since;
    }

    bool isEvacuatedEverywhere(const std::string& domain, bool expected) const
    {
        return std::ranges::all_of(hosts, [&](const auto& it) {
            return it->isFrozen || it->isCutOff || it->content.evacuations().isEvacuated(domain) == expected;
        });
    }

    base::Duration timeUntil(const std::string& domain, bool expected)
    {
        return run(30s, [&] { return isEvacuatedEverywhere(domain, expected); });
    }
};

struct Size {
    size_t hosts;
    size_t domains;
};
constexpr std::array<Size, 4> sizes { { { 6, 3 }, { 33, 3 }, { 62, 3 }, { 195, 3 } } };
constexpr Size largest { 1600, 13 };
constexpr auto allowed = 5s;

void print(const char* what, size_t hosts, base::Duration time)
{
    printf("%s, %d hosts: %d ms\n", what, static_cast<int>(hosts), static_cast<int>(base::toMilliseconds(time)));
}

}

TEST_GROUP(EvacuationSpread) {};

// Guards against hosts that go on sending to an evacuated failure domain because they learn of it too late, or never
// learn of its end.
TEST(EvacuationSpread, ReachesAllHostsInTime)
{
    std::vector<Size> all(sizes.begin(), sizes.end());
    all.push_back(largest);
    for (auto [hosts, domains] : all) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        auto begun = fleet.timeUntil("d1", true);
        print("begin", hosts, begun);
        CHECK_TRUE(begun < allowed);
        fleet.change("evacuate/d2", "{}");
        fleet.change("evacuate/d1", "", true);
        auto ended = fleet.timeUntil("d1", false);
        print("end", hosts, ended);
        CHECK_TRUE(ended < allowed);
        CHECK_TRUE(fleet.timeUntil("d2", true) < allowed);
    }
}

// Guards against an evacuation that depends on the host that reads the store: it freezes just before it.
TEST(EvacuationSpread, ReachesHostsInTimeAlthoughOneReaderFreezes)
{
    for (auto [hosts, domains] : sizes) {
        SpreadFleet fleet(hosts, domains);
        auto reader = std::ranges::find_if(fleet.hosts, [](const auto& it) { return it->isReader; });
        CHECK_TRUE(reader != fleet.hosts.end());
        (*reader)->isFrozen = true;
        fleet.change("evacuate/d1", "{}");
        auto begun = fleet.timeUntil("d1", true);
        print("one reader frozen", hosts, begun);
        CHECK_TRUE(begun < allowed);
        (*reader)->isFrozen = false;
        CHECK_TRUE(fleet.timeUntil("d1", true) < allowed);
    }
}

// Guards against a host that was cut off from everything and goes on without what has changed meanwhile, and against
// one that forgets its last state there.
TEST(EvacuationSpread, HostsThatWereCutOffKeepTheirStateAndCatchUp)
{
    for (auto [hosts, domains] : sizes) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        fleet.timeUntil("d1", true);
        for (size_t n = 0; n < hosts; n += 3)
            fleet.hosts[n]->isCutOff = true;
        fleet.change("evacuate/d1", "", true);
        fleet.change("evacuate/d2", "{}");
        CHECK_TRUE(fleet.timeUntil("d2", true) < 2 * allowed); // a third of the readers is cut off too
        fleet.run(1s, [] { return false; });
        CHECK_TRUE(fleet.hosts[0]->content.evacuations().isEvacuated("d1"));
        CHECK_FALSE(fleet.hosts[0]->content.evacuations().isEvacuated("d2"));
        for (auto& host : fleet.hosts)
            host->isCutOff = false;
        auto regained = fleet.timeUntil("d2", true);
        print("after the cut", hosts, regained);
        CHECK_TRUE(regained < allowed);
        CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", false));
    }
}

// Guards against an evacuation that ends, or whose end is lost, because the store is away: keys do not lapse, and what
// has changed is read at its return.
TEST(EvacuationSpread, OutageOfTheStoreKeepsTheState)
{
    for (auto [hosts, domains] : sizes) {
        SpreadFleet fleet(hosts, domains);
        fleet.change("evacuate/d1", "{}");
        fleet.timeUntil("d1", true);
        for (auto& host : fleet.hosts)
            host->reachesStore = false;
        fleet.run(2s, [] { return false; });
        CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", true));
        fleet.change("evacuate/d1", "", true);
        for (auto& host : fleet.hosts)
            host->reachesStore = true;
        auto ended = fleet.timeUntil("d1", false);
        print("end after an outage", hosts, ended);
        CHECK_TRUE(ended < allowed);
    }
}
