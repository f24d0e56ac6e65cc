#include "replay/ControlFleet.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;
using replay::ControlFleet;

namespace {

// Fails with the seed and the last events if the condition is false or a version has decreased.
void requireThat(const ControlFleet& fleet, bool condition, const std::string& what)
{
    if (condition && fleet.violations.empty())
        return;
    auto text = what + "\n" + (fleet.violations.empty() ? "" : fleet.violations.front() + "\n") + fleet.trace();
    FAIL(text.c_str());
}

void startFleet(ControlFleet& fleet)
{
    fleet.startAll(100ms);
    fleet.runFor(5s);
    requireThat(fleet, fleet.isReadyEverywhere(), "not ready");
}

bool hasLogged(const ControlFleet& fleet, const std::string& text)
{
    return fleet.trace().find(text) != std::string::npos;
}

replay::ControlFleetSettings makeSettings(uint64_t seed, size_t hosts)
{
    replay::ControlFleetSettings settings;
    settings.seed = seed;
    settings.hosts = hosts;
    return settings;
}

}

TEST_GROUP(ControlPath) {};

// Guards against hosts that start without values and do not serve within 2 s although the platform answers.
TEST(ControlPath, FleetWithoutValuesServesWithinTwoSeconds)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(makeSettings(seed, 8));
        fleet.startAll(100ms);
        fleet.runFor(2100ms);
        requireThat(fleet, fleet.isReadyEverywhere(), "not ready");
    }
}

// Guards against a published version that does not reach every host, or reaches it only by the periodic exchange.
TEST(ControlPath, PublishedTableReachesAllHostsWithinFiveSeconds)
{
    for (size_t hosts : { 1, 2, 8, 60 }) {
        ControlFleet fleet(makeSettings(hosts, hosts));
        startFleet(fleet);
        auto version = fleet.publish("table");
        fleet.runFor(5s);
        requireThat(fleet, fleet.isTableEverywhere(version), "version " + std::to_string(version) + " is missing");
    }
}

// Guards against an invalid table that is applied in part, or that is refused without naming the row and column.
// Also checks that a later valid table is applied.
TEST(ControlPath, InvalidTableIsRefusedWithRowAndColumn)
{
    ControlFleet fleet(makeSettings(3, 8));
    startFleet(fleet);
    fleet.publishText("table", 2, "version,2\naccount,search,orders\nalpha,weight=2,-\nbeta,weight=-3,-\n");
    fleet.runFor(10s);
    requireThat(fleet, hasLogged(fleet, "table: refused: line 4, account 'beta', service 'search': value 'weight=-3'"),
        "the refusal is not reported");
    for (const auto& host : fleet.hosts)
        requireThat(fleet, host.tableVersion == 1 && host.isReady, "the table in force changed");
    fleet.publish("table");
    fleet.runFor(5s);
    requireThat(fleet, fleet.isTableEverywhere(3), "a later valid table is not applied");
}

// Guards against an invalid table that is not logged because another one was refused before it.
TEST(ControlPath, EachInvalidTableIsReported)
{
    ControlFleet fleet(makeSettings(5, 8));
    startFleet(fleet);
    const std::vector<std::string> cells { "weight=-3", "weight=none", "limit=0/s", "priority=soon" };
    for (uint64_t n = 0; n < cells.size(); ++n) {
        fleet.publishText(
            "table", 2 + n, "version," + std::to_string(2 + n) + "\naccount,search,orders\nalpha," + cells[n] + ",-\n");
        fleet.runFor(2s);
    }
    for (const auto& cell : cells)
        requireThat(fleet, hasLogged(fleet, "value '" + cell + "'"), cell + " is not reported");
}

// Guards against different contents of one version number being in force one after the other, and against a conflict
// that is not reported.
TEST(ControlPath, SameVersionWithOtherContentIsNotApplied)
{
    ControlFleet fleet(makeSettings(4, 8));
    startFleet(fleet);
    auto hash = fleet.hosts[0].shared->table.load()->contentHash;
    fleet.publishText("table", 1, fleet.tableText(1, 0) + "extra,weight=1,-\n");
    fleet.staleVersions["table"] = 1;
    fleet.killHost(7);
    fleet.runFor(30s);
    uint64_t conflicts = 0;
    for (size_t n = 0; n < 7; ++n) {
        LONGS_EQUAL(hash, fleet.hosts[n].shared->table.load()->contentHash);
        conflicts += fleet.hosts[n].control->counters().conflicts;
    }
    requireThat(fleet, conflicts > 0 && hasLogged(fleet, "published again with different content"),
        "the conflict is not reported");
}

// Guards against a restarted host that serves an old table, read from a platform that returns stale versions, although
// its peers have the newest.
TEST(ControlPath, RestartedHostGetsNewestTableFromPeersBeforeServing)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(makeSettings(seed, 8));
        startFleet(fleet);
        auto version = fleet.publish("table");
        fleet.runFor(5s);
        fleet.staleVersions["table"] = 1;
        auto n = seed % 8;
        fleet.killHost(n);
        fleet.startHost(n);
        while (!fleet.hosts[n].isReady && fleet.now() - fleet.hosts[n].started < 2s)
            fleet.runFor(10ms);
        requireThat(fleet, fleet.hosts[n].isReady, "not ready within 2 s");
        requireThat(fleet, fleet.hosts[n].tableVersion == version, "ready with an old table");
    }
}

// Guards against a resumed process that serves with the view and table from before the pause. The host is cut off from
// peers and platform until a newer table is in force elsewhere.
TEST(ControlPath, ResumedHostDoesNotServeUntilViewIsRefreshed)
{
    ControlFleet fleet(makeSettings(5, 8));
    startFleet(fleet);
    bool isCutOff = true;
    fleet.isCut = [&](size_t from, size_t to) { return isCutOff && (from == 2 || to == 2); };
    fleet.pauseHost(2, 5s);
    fleet.runFor(15s);
    auto readiness = fleet.hosts[2].control->readiness(fleet.now());
    requireThat(
        fleet, !readiness.canServe && readiness.code == base::RefusalCode::StaleView, "serves with a stale view");
    auto version = fleet.publish("table");
    fleet.runFor(1s);
    isCutOff = false;
    while (!fleet.hosts[2].isReady && fleet.now() < base::TimePoint(2000s))
        fleet.runFor(10ms);
    requireThat(fleet, fleet.hosts[2].tableVersion == version, "serves before it has the newest table");
}

// Guards against a resumed host that ends its stale state on messages that were sent before or during its pause.
TEST(ControlPath, MessagesSentBeforePauseDoNotRefreshView)
{
    ControlFleet fleet(makeSettings(6, 8));
    startFleet(fleet);
    fleet.pauseHost(2, 5s);
    fleet.runFor(4s);
    fleet.isCut = [](size_t from, size_t to) { return from == 2 || to == 2; };
    fleet.runFor(10s);
    requireThat(fleet, !fleet.hosts[2].isReady, "messages from before the pause refreshed the view");
}

// Guards against a healed partition in which one side keeps an older version, or hosts stay suspected.
TEST(ControlPath, HealedPartitionConvergesToNewestVersion)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        ControlFleet fleet(makeSettings(seed, 12));
        startFleet(fleet);
        fleet.isCut = [](size_t from, size_t to) { return (from < 6) != (to < 6); };
        auto version = fleet.publish("table");
        fleet.runFor(30s);
        for (const auto& host : fleet.hosts)
            requireThat(fleet, host.isReady, "a host stopped serving during the partition");
        fleet.isCut = nullptr;
        fleet.runFor(5s);
        requireThat(fleet, fleet.isTableEverywhere(version), "a host has an old version");
        fleet.runFor(15s);
        for (const auto& host : fleet.hosts) {
            for (const auto& it : host.shared->hostView.load()->hosts)
                requireThat(fleet, it.state == membership::HostState::Serving,
                    host.identity.name + " does not see " + it.name + " as serving");
        }
    }
}

// Guards against a lost host that is not suspected by every other host.
TEST(ControlPath, LostHostIsSuspectedByAllHosts)
{
    ControlFleet fleet(makeSettings(8, 30));
    startFleet(fleet);
    fleet.killHost(11);
    fleet.runFor(15s);
    for (const auto& host : fleet.hosts) {
        const auto* lost = host.control ? membership::findHost(*host.shared->hostView.load(), "host-11") : nullptr;
        requireThat(fleet, !lost || lost->state == membership::HostState::Suspected,
            host.identity.name + " does not suspect the lost host");
    }
}

// Guards against a burst of platform reads when all hosts restart at once, with and without configured seeds.
TEST(ControlPath, MassRestartLimitsPlatformReads)
{
    for (size_t seedsPerDomain : { 2, 0 }) {
        auto settings = makeSettings(9, 120);
        settings.seedsPerDomain = seedsPerDomain;
        ControlFleet fleet(settings);
        auto begin = fleet.now();
        fleet.startAll(0s);
        fleet.runFor(5s);
        requireThat(fleet, fleet.isReadyEverywhere(), "not ready");
        requireThat(fleet, fleet.mostReadsPerSecond(begin) <= 150,
            std::to_string(fleet.mostReadsPerSecond(begin)) + " reads in one second");
    }
}

// Guards against versions that decrease under stale platform reads, restarts, partitions, pauses and platform outages,
// alone and combined, and against a fleet that does not recover afterwards.
TEST(ControlPath, VersionsNeverDecreaseUnderRandomFaults)
{
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        ControlFleet fleet(makeSettings(seed, 9));
        startFleet(fleet);
        base::Random random(seed);
        for (int step = 0; step < 60; ++step) {
            auto n = base::uniformIndex(random, 9);
            switch (random() % 8) {
            case 0:
            case 1:
                fleet.publish(random() % 2 ? "table" : "catalog");
                break;
            case 2:
                fleet.staleVersions["table"] = fleet.hosts[n].tableVersion ? fleet.hosts[n].tableVersion : 1;
                break;
            case 3:
                fleet.staleVersions.clear();
                break;
            case 4:
                fleet.killHost(n);
                fleet.startHost(n);
                fleet.refreshHostList();
                break;
            case 5:
                fleet.pauseHost(n, std::chrono::milliseconds(random() % 6000));
                break;
            case 6:
                fleet.isCut = random() % 2
                    ? nullptr
                    : std::function([n](size_t from, size_t to) { return (from < n) != (to < n); });
                break;
            default:
                fleet.isPlatformUp = random() % 2 == 0;
            }
            fleet.runFor(std::chrono::milliseconds(random() % 1500));
            requireThat(fleet, true, "");
        }
        fleet.staleVersions.clear();
        fleet.isCut = nullptr;
        fleet.isPlatformUp = true;
        fleet.runFor(10s);
        auto version = fleet.publish("table");
        fleet.runFor(10s);
        requireThat(fleet, fleet.isTableEverywhere(version) && fleet.isReadyEverywhere(), "the fleet did not recover");
    }
}
