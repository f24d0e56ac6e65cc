#include "standin/Deployment.h"

#include <CppUTest/TestHarness.h>
#include <numeric>

using namespace papayabend;

TEST_GROUP(Deployment) {};

// Guards against figures measured over a deployment of another size than the design page states.
TEST(Deployment, ShapesAreThoseOfTheDesignPage)
{
    LONGS_EQUAL(2 * 20 + 2 * 30 + 5 + 3, standin::makeDeployment({}).upstreams.size());
    standin::StandinSettings sul;
    sul.deployment = "sul";
    LONGS_EQUAL(2 * 20 + 2 * 30 + 7 + 4, standin::makeDeployment(sul).upstreams.size());
}

// Guards against a repartition that loses or doubles documents, which would make every coverage look wrong.
TEST(Deployment, RepartitionKeepsTheDocuments)
{
    auto deployment = standin::makeDeployment({});
    const auto& service = deployment.services[0];
    for (size_t shards : { 1, 7, 20, 33 }) {
        uint64_t total = 0;
        for (size_t n = 0; n < shards; ++n)
            total += standin::unitsOf(deployment, service, n, shards);
        LONGS_EQUAL(20'000, total);
    }
}

// Guards against a catalogue that names replicas which do not hold the shard.
TEST(Deployment, HoldingsMatchTheCatalogue)
{
    auto deployment = standin::makeDeployment({});
    standin::addSnapshot(deployment, "fitting-desk", 33);
    const auto& service = deployment.services[0];
    for (size_t n = 0; n < 33; ++n) {
        for (auto replica : standin::replicasOf(service, n, 33)) {
            auto shards = standin::holdingsOf(deployment, replica)[{ "fitting-desk", 2 }];
            CHECK(shards.contains(standin::shardName(n)));
        }
    }
    standin::addSnapshot(deployment, "fitting-desk", 0);
    LONGS_EQUAL(2, service.snapshots.size());
    LONGS_EQUAL(3, deployment.catalogVersion);
}
