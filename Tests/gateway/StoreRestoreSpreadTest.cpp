#include "gateway/SpreadFleet.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace papayabend;
using namespace std::chrono_literals;

namespace {

// The times within which a configuration must be in force: the shortest of the deployments, and that of the design
// size.
constexpr auto allowed = 3s;
constexpr auto allowedAtDesignSize = 12s;

/** A fleet that has confirmed version 7 in force, and a copy of the store from before, with version 5. */
struct RestoredFleet : SpreadFleet {
    SpreadStore copy;
    std::vector<uint64_t> newest; /**< Highest version that each host has had in force. */

    RestoredFleet(size_t hostCount, size_t domainCount)
        : SpreadFleet(hostCount, domainCount,
            { { "configuration", "5" }, { "upstreams/stays", "1 10" }, { "upstreams/leaves", "1 10" },
                { "upstreams/drains", "1 10" } })
        , copy(store)
    {
        change("configuration", "6");
        change("configuration", "7");
        change("upstreams/starts", "2 1");
        change("upstreams/leaves", "", true);
        change("upstreams/drains", "1 11 draining");
        change("evacuate/d1", "{}");
        CHECK_TRUE(timeUntilVersion(7) < allowedAtDesignSize);
    }

    /** Plays for \a time; fails if a host goes back to an older version. */
    void play(base::Duration time)
    {
        newest.resize(hosts.size());
        run(time, [this] {
            for (size_t n = 0; n < hosts.size(); ++n) {
                const auto& configuration = hosts[n]->content.configuration();
                auto version = configuration ? configuration->version : 0;
                CHECK_TRUE(version >= newest[n]);
                newest[n] = version;
            }
            return false;
        });
    }

    bool isUsedEverywhere(const std::string& upstream, bool expected) const
    {
        return isSoEverywhere([&](const Content& content) {
            const auto* entry = content.upstreams().find(upstream);
            auto isUsed = entry && entry->presence == discovery::Presence::Listed && !entry->record.isDraining;
            return isUsed == expected;
        });
    }

    /** What the operator and the upstreams wrote since the copy is written again. */
    void writeAgain()
    {
        change("configuration", "7");
        change("upstreams/starts", "2 2");
        change("upstreams/drains", "1 12 draining");
        change("upstreams/leaves", "", true);
        change("evacuate/d1", "{}");
    }
};

std::vector<SpreadSize> allSizes()
{
    std::vector<SpreadSize> all(spreadSizes.begin(), spreadSizes.end());
    all.push_back(largestSpread);
    return all;
}

void checkTime(const char* what, size_t hosts, base::Duration time)
{
    printf("%s, %d hosts: %d ms\n", what, static_cast<int>(hosts), static_cast<int>(base::toMilliseconds(time)));
    CHECK_TRUE(time < (hosts == largestSpread.hosts ? allowedAtDesignSize : base::Duration(allowed)));
}

}

TEST_GROUP(StoreRestoreSpread) {};

// Guards against hosts that miss changes after the store has returned from an older copy and gives out revisions again.
TEST(StoreRestoreSpread, ChangesOfTheNextEraComeIntoForceInTime)
{
    for (auto [hosts, domains] : allSizes()) {
        RestoredFleet fleet(hosts, domains);
        fleet.store.restore(fleet.copy);
        fleet.play(200ms);
        fleet.writeAgain();
        fleet.change("configuration", "9");
        checkTime("version after a restore", hosts, fleet.timeUntilVersion(9));
        fleet.store.restore(fleet.copy);
        fleet.writeAgain();
        fleet.change("configuration", "9");
        fleet.change("configuration", "11");
        checkTime("version after a second restore", hosts, fleet.timeUntilVersion(11));
    }
}

// Guards against a confirmed configuration that is replaced by an older one, an evacuation that ends, and upstreams
// that are dropped or brought back, while the store lacks what was written since the copy.
TEST(StoreRestoreSpread, WhatWasConfirmedHoldsUntilItIsWrittenAgain)
{
    for (auto [hosts, domains] : spreadSizes) {
        RestoredFleet fleet(hosts, domains);
        fleet.play(3s);
        fleet.store.restore(fleet.copy);
        for (int n = 0; n < 8; ++n) {
            fleet.play(250ms);
            CHECK_TRUE(fleet.timeUntilVersion(7) == 0s);
            CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", true));
            CHECK_TRUE(fleet.isUsedEverywhere("stays", true));
            CHECK_TRUE(fleet.isUsedEverywhere("starts", true));
            CHECK_TRUE(fleet.isUsedEverywhere("leaves", false));
            CHECK_TRUE(fleet.isUsedEverywhere("drains", false));
        }
        fleet.writeAgain();
        fleet.play(8s);
        CHECK_TRUE(fleet.timeUntilVersion(7) == 0s);
        CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", true));
        CHECK_TRUE(fleet.isUsedEverywhere("starts", true));
        CHECK_TRUE(fleet.isUsedEverywhere("leaves", false));
        CHECK_TRUE(fleet.isUsedEverywhere("drains", false));
    }
}

// Guards against what is never written again and is believed for ever.
TEST(StoreRestoreSpread, WhatIsNotWrittenAgainEnds)
{
    RestoredFleet fleet(6, 3);
    fleet.store.restore(fleet.copy);
    fleet.play(10s);
    CHECK_TRUE(fleet.isEvacuatedEverywhere("d1", false));
    CHECK_TRUE(fleet.isUsedEverywhere("starts", false));
    CHECK_TRUE(fleet.isUsedEverywhere("leaves", true));
}

// Guards against hosts that start while the store lacks a confirmed version and take the older one for the newest.
TEST(StoreRestoreSpread, HostsThatStartTakeTheVersionInForce)
{
    for (auto [hosts, domains] : spreadSizes) {
        RestoredFleet fleet(hosts, domains);
        fleet.store.restore(fleet.copy);
        fleet.play(1s);
        auto& reader = fleet.addHost("new 0");
        reader.content.applyList(fleet.list(), fleet.now);
        fleet.addHost("new 1");
        checkTime("new hosts", hosts, fleet.timeUntilVersion(7));
        fleet.writeAgain();
        fleet.change("configuration", "9");
        checkTime("next version", hosts, fleet.timeUntilVersion(9));
    }
}

// Guards against hosts that were cut off or did not run through the restore, keep the higher revision of the earlier
// era and refuse what others have, or make others believe that they are ahead.
TEST(StoreRestoreSpread, HostsThatMissedTheRestoreCatchUp)
{
    for (auto [hosts, domains] : spreadSizes) {
        for (auto isCutOff : { true, false }) {
            RestoredFleet fleet(hosts, domains);
            for (int n = 0; n < 20; ++n)
                fleet.change("upstreams/busy", "1 " + std::to_string(n));
            fleet.play(2s);
            for (size_t n = 0; n < hosts; n += 3)
                (isCutOff ? fleet.hosts[n]->isCutOff : fleet.hosts[n]->isFrozen) = true;
            fleet.store.restore(fleet.copy);
            fleet.writeAgain();
            fleet.change("configuration", "9");
            CHECK_TRUE(fleet.timeUntilVersion(9) < 10s); // a third of the readers is away too
            for (size_t n = 0; n < hosts; n += 3)
                fleet.hosts[n]->isCutOff = fleet.hosts[n]->isFrozen = false;
            checkTime(isCutOff ? "after a cut" : "after a pause", hosts, fleet.timeUntilVersion(9));
            fleet.change("configuration", "11");
            checkTime("next version", hosts, fleet.timeUntilVersion(11));
        }
    }
}

// Guards against a restore that some readers see before others: hosts of both eras then exchange their content.
TEST(StoreRestoreSpread, EarlierEraDoesNotReplaceALaterOne)
{
    for (auto [hosts, domains] : spreadSizes) {
        RestoredFleet fleet(hosts, domains);
        auto reader = std::ranges::find_if(fleet.hosts, [](const auto& it) { return it->isReader; });
        (*reader)->reachesStore = false;
        fleet.store.restore(fleet.copy);
        fleet.writeAgain();
        fleet.change("configuration", "9");
        checkTime("with a reader of the earlier era", hosts, fleet.timeUntilVersion(9));
        fleet.play(5s);
        CHECK_TRUE(fleet.isSoEverywhere([](const auto& content) { return content.position().era == 2; }));
    }
}
