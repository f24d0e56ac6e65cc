#include "fleet/StoreLoss.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(LargeFleetReaders) {};

// Guards against hosts that follow lost readers in large fleets, where heartbeats of other failure domains are relayed.
// In each run a random share of the hosts is lost, and all chosen readers.
TEST(LargeFleetReaders, RandomSubsetsOfLargeFleetsMayBeLost)
{
    struct Size {
        size_t hosts;
        size_t domains;
        size_t runs;
        size_t maxCalls;
    };
    for (auto size : { Size { 62, 3, 18, 2000 }, Size { 195, 3, 9, 2000 }, Size { 1600, 13, 2, 6000 } }) {
        for (auto loss : { Loss::Cut, Loss::Ended, Loss::Left }) {
            Figures figures;
            auto runs = loss == Loss::Cut || size.hosts < 1000 ? size.runs : 1;
            for (uint64_t seed = 1; seed <= runs; ++seed) {
                StoreFleet::Settings settings { .hosts = size.hosts, .domains = size.domains, .seed = seed };
                auto readers = StoreFleet(settings).chosenReaders();
                base::Random random(seed);
                auto share = seed % 3 == 0 ? 0.0 : base::uniform(random);
                figures.add(runLoss(settings, loss, [&](size_t host) {
                    return base::uniform(random) < share || std::ranges::find(readers, host) != readers.end();
                }));
            }
            static constexpr const char* names[] = { "cut off", "frozen or killed", "leave" };
            figures.print(
                std::to_string(size.hosts) + " hosts, all readers and some others " + names[static_cast<size_t>(loss)]);
            figures.checkAgainst(size.maxCalls);
        }
    }
}
