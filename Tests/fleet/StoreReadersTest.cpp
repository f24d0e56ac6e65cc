#include "fleet/StoreLoss.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(StoreReaders) {};

// Shows the fault of a fleet that relies on its chosen readers alone: while these are cut off and have not noticed it,
// a host in contact with the store uses an old version for more than the 3 s allowed.
TEST(StoreReaders, ChosenReadersAloneLeaveAnOldVersionInUse)
{
    Figures figures;
    for (uint64_t seed = 1; seed <= 9; ++seed) {
        auto readers = StoreFleet({ .seed = seed }).chosenReaders();
        figures.add(runLoss({ .seed = seed, .usesFreshness = false }, Loss::Cut,
            [&](size_t host) { return std::ranges::find(readers, host) != readers.end(); }));
    }
    figures.print("6 hosts, both readers cut off, chosen readers alone");
    CHECK_TRUE(figures.oldestVersion > 3s);
}

// Guards against hosts that follow readers that are cut off from the store, for each subset of a small fleet.
TEST(StoreReaders, EachSubsetOfASmallFleetMayBeCutOff)
{
    Figures figures;
    for (uint64_t subset = 1; subset < 63; ++subset) {
        for (uint64_t seed = 1; seed <= 18; ++seed)
            figures.add(runLoss({ .seed = seed }, Loss::Cut, [subset](size_t host) { return (subset >> host) & 1; }));
    }
    figures.print("6 hosts, each subset cut off");
    figures.checkAgainst(60);
}

// Guards against hosts that follow readers that are frozen, killed or leave, for each subset of a small fleet.
TEST(StoreReaders, EachSubsetOfASmallFleetMayEndOrLeave)
{
    for (auto loss : { Loss::Ended, Loss::Left }) {
        Figures figures;
        for (uint64_t subset = 1; subset < 63; ++subset) {
            for (uint64_t seed = 1; seed <= 9; ++seed)
                figures.add(runLoss({ .seed = seed }, loss, [subset](size_t host) { return (subset >> host) & 1; }));
        }
        figures.print(loss == Loss::Ended ? "6 hosts, each subset frozen or killed" : "6 hosts, each subset leaves");
        figures.checkAgainst(60);
    }
}

// Guards against a fleet in which only one host is in contact with the store, and is the last to read.
TEST(StoreReaders, AnySingleHostInContactHasTheNewestVersion)
{
    for (size_t size : { 62, 195 }) {
        Figures figures;
        for (uint64_t seed = 1; seed <= 12; ++seed) {
            StoreFleet::Settings settings { .hosts = size, .seed = seed };
            auto left = (seed * 31) % size;
            figures.add(runLoss(settings, Loss::Cut, [&](size_t host) { return host != left; }));
        }
        figures.print(std::to_string(size) + " hosts, all but one cut off");
        figures.checkAgainst(2000);
    }
}

// Guards against ages that are too low on links that are slower than the allowance for the travel time, or that lose
// datagrams, so that hosts notice the loss of the readers too late.
TEST(StoreReaders, SlowLinksAndLossesDelayNoHostTooMuch)
{
    for (size_t size : { 6, 62 }) {
        Figures figures;
        for (uint64_t seed = 1; seed <= 18; ++seed) {
            StoreFleet::Settings settings {
                .hosts = size, .seed = seed, .lossRate = 0.1, .minRemoteDelay = 20ms, .maxRemoteDelay = 60ms
            };
            auto readers = StoreFleet(settings).chosenReaders();
            figures.add(runLoss(
                settings, Loss::Cut, [&](size_t host) { return std::ranges::find(readers, host) != readers.end(); }));
        }
        figures.print(std::to_string(size) + " hosts, 20 to 60 ms one way, a tenth lost, all readers cut off");
        figures.checkAgainst(2000);
    }
}
