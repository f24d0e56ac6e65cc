#include "replay/ControlFleet.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;
using replay::ControlFleet;

TEST_GROUP(ControlPath) { // Fails with the seed and the last events.
    void require(const ControlFleet& fleet, bool condition, const std::string& what) {
        if (condition && fleet.violations.empty()) return;
auto text = what + "\n" + (fleet.violations.empty() ? "" : fleet.violations.front() + "\n") + fleet.trace();
FAIL(text.c_str());
}

void start(ControlFleet& fleet)
{
    fleet.startAll(100ms);
    fleet.runFor(5s);
    require(fleet, fleet.isReadyEverywhere(), "not ready");
}

bool has(const ControlFleet& fleet, const std::string& text) { return fleet.trace().find(text) != std::string::npos; }

replay::ControlFleetSettings settingsOf(uint64_t seed, size_t hosts)
{
    replay::ControlFleetSettings settings;
    settings.seed = seed;
    settings.hosts = hosts;
    return settings;
}
}
;

// Guards against a host that starts empty and does not serve within 2 s although the platform answers.
TEST(ControlPath, EmptyFleetServesWithinTwoSeconds)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(settingsOf(seed, 8));
        fleet.startAll(100ms);
        fleet.runFor(2100ms);
        require(fleet, fleet.isReadyEverywhere(), "not ready");
    }
}

// Guards against a change that misses hosts, or that waits for the periodic exchange.
TEST(ControlPath, ATableIsInForceEverywhereWithinFiveSeconds)
{
    for (size_t hosts : { 1, 2, 8, 60 }) {
        ControlFleet fleet(settingsOf(hosts, hosts));
        start(fleet);
        auto version = fleet.publish("table");
        fleet.runFor(5s);
        require(fleet, fleet.isTableEverywhere(version), "version " + std::to_string(version) + " is missing");
    }
}

// Guards against an invalid table being taken in part, or refused without telling the operator where to look.
TEST(ControlPath, ABadTableIsRefusedWithRowAndColumn)
{
    ControlFleet fleet(settingsOf(3, 8));
    start(fleet);
    fleet.publishText("table", 2, "version,2\naccount,search,orders\nalpha,weight=2,-\nbeta,weight=-3,-\n");
    fleet.runFor(10s);
    require(
        fleet, has(fleet, "table: refused: line 4, account 'beta', service 'search': value 'weight=-3'"), "no report");
    for (const auto& host : fleet.hosts)
        require(fleet, host.tableVersion == 1 && host.isReady, "the table in force changed");
    fleet.publish("table");
    fleet.runFor(5s);
    require(fleet, fleet.isTableEverywhere(3), "a later valid table is not taken");
}

// Guards against a broken table that leaves no line in the log because another one was refused before it.
TEST(ControlPath, EachBadTableIsReported)
{
    ControlFleet fleet(settingsOf(5, 8));
    start(fleet);
    const std::vector<std::string> cells { "weight=-3", "weight=none", "limit=0/s", "priority=soon" };
    for (uint64_t n = 0; n < cells.size(); ++n) {
        fleet.publishText(
            "table", 2 + n, "version," + std::to_string(2 + n) + "\naccount,search,orders\nalpha," + cells[n] + ",-\n");
        fleet.runFor(2s);
    }
    for (const auto& cell : cells)
        require(fleet, has(fleet, "value '" + cell + "'"), cell + " is not reported");
}

// Guards against two contents of one version number being in force one after the other, or unnoticed.
TEST(ControlPath, EqualNumberWithOtherContentKeepsTheFirst)
{
    ControlFleet fleet(settingsOf(4, 8));
    start(fleet);
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
    require(fleet, conflicts > 0 && has(fleet, "published with other content"), "the conflict is not reported");
}

// Guards against a restarted host that serves the old table of a stale service although its peers have the newest.
TEST(ControlPath, ARestartedHostAsksItsPeersBeforeItServes)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        ControlFleet fleet(settingsOf(seed, 8));
        start(fleet);
        auto version = fleet.publish("table");
        fleet.runFor(5s);
        fleet.staleVersions["table"] = 1;
        auto n = seed % 8;
        fleet.killHost(n);
        fleet.startHost(n);
        while (!fleet.hosts[n].isReady && fleet.now() - fleet.hosts[n].started < 2s)
            fleet.runFor(10ms);
        require(fleet, fleet.hosts[n].isReady, "not ready within 2 s");
        require(fleet, fleet.hosts[n].tableVersion == version, "ready with an old table");
    }
}

// Guards against a resumed process that sends work with the view it had before the pause.
TEST(ControlPath, AResumedHostDoesNotServeUntilRefreshed)
{
    ControlFleet fleet(settingsOf(5, 8));
    start(fleet);
    bool isCutOff = true;
    fleet.isCut = [&](size_t from, size_t to) { return isCutOff && (from == 2 || to == 2); };
    fleet.pauseHost(2, 5s);
    fleet.runFor(15s);
    auto readiness = fleet.hosts[2].control->readiness(fleet.now());
    require(fleet, !readiness.canServe && readiness.code == base::RefusalCode::StaleView, "serves with a stale view");
    auto version = fleet.publish("table");
    fleet.runFor(1s);
    isCutOff = false;
    while (!fleet.hosts[2].isReady && fleet.now() < base::TimePoint(2000s))
        fleet.runFor(10ms);
    require(fleet, fleet.hosts[2].tableVersion == version, "serves before it has the newest table");
}

// Guards against answers that were sent before the pause ending the staleness.
TEST(ControlPath, MessagesFromBeforeThePauseDoNotRefresh)
{
    ControlFleet fleet(settingsOf(6, 8));
    start(fleet);
    fleet.pauseHost(2, 5s);
    fleet.runFor(4s);
    fleet.isCut = [](size_t from, size_t to) { return from == 2 || to == 2; };
    fleet.runFor(10s);
    require(fleet, !fleet.hosts[2].isReady, "old messages refreshed the view");
}

// Guards against a partition after which one side keeps an older version or its hosts stay suspected.
TEST(ControlPath, AHealedPartitionEndsWithTheNewestVersion)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        ControlFleet fleet(settingsOf(seed, 12));
        start(fleet);
        fleet.isCut = [](size_t from, size_t to) { return (from < 6) != (to < 6); };
        auto version = fleet.publish("table");
        fleet.runFor(30s);
        for (const auto& host : fleet.hosts)
            require(fleet, host.isReady, "a side stopped serving");
        fleet.isCut = nullptr;
        fleet.runFor(5s);
        require(fleet, fleet.isTableEverywhere(version), "an old version stayed");
        fleet.runFor(15s);
        for (const auto& host : fleet.hosts) {
            for (const auto& it : host.shared->hostView.load()->hosts)
                require(fleet, it.state == membership::HostState::Serving,
                    host.identity.name + " holds " + it.name + " for not serving");
        }
    }
}

// Guards against a lost host that is never noticed, or noticed by some hosts only.
TEST(ControlPath, ALostHostIsSuspectedEverywhere)
{
    ControlFleet fleet(settingsOf(8, 30));
    start(fleet);
    fleet.killHost(11);
    fleet.runFor(15s);
    for (const auto& host : fleet.hosts) {
        const auto* lost = host.control ? membership::findHost(*host.shared->hostView.load(), "host-11") : nullptr;
        require(
            fleet, !lost || lost->state == membership::HostState::Suspected, host.identity.name + " missed the loss");
    }
}

// Guards against a burst of reads when all hosts restart at once, with or without the seeds of their settings.
TEST(ControlPath, AMassRestartReadsThePlatformSparingly)
{
    for (size_t seedsPerDomain : { 2, 0 }) {
        auto settings = settingsOf(9, 120);
        settings.seedsPerDomain = seedsPerDomain;
        ControlFleet fleet(settings);
        auto begin = fleet.now();
        fleet.startAll(0s);
        fleet.runFor(5s);
        require(fleet, fleet.isReadyEverywhere(), "not ready");
        require(fleet, fleet.mostReadsPerSecond(begin) <= 150,
            std::to_string(fleet.mostReadsPerSecond(begin)) + " reads in a second");
    }
}

// Guards against versions that go back under stale service, restarts, partitions, late wake-ups and outages, alone
// and combined, and against a fleet that does not recover from them.
TEST(ControlPath, VersionsNeverGoBackUnderRandomFaults)
{
    for (uint64_t seed = 1; seed <= 12; ++seed) {
        ControlFleet fleet(settingsOf(seed, 9));
        start(fleet);
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
            require(fleet, true, "");
        }
        fleet.staleVersions.clear();
        fleet.isCut = nullptr;
        fleet.isPlatformUp = true;
        fleet.runFor(10s);
        auto version = fleet.publish("table");
        fleet.runFor(10s);
        require(fleet, fleet.isTableEverywhere(version) && fleet.isReadyEverywhere(), "not recovered");
    }
}
