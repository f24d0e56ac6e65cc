#include "papayabend/discovery/Evacuations.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::discovery;
using namespace std::chrono_literals;

TEST_GROUP(Evacuations)
{
    Evacuations evacuations;
    base::TimePoint now { 100s };
};

// Guards against an evacuation that applies to another failure domain, or ends by itself.
TEST(Evacuations, HoldUntilTheyEnd)
{
    CHECK_TRUE(evacuations.begin("d1"));
    CHECK_FALSE(evacuations.begin("d1"));
    evacuations.expire(now + 24h);
    CHECK_TRUE(evacuations.isEvacuated("d1"));
    CHECK_FALSE(evacuations.isEvacuated("d"));
    DOUBLES_EQUAL(0, evacuations.returnedShare("d1", now + 24h), 0);
    DOUBLES_EQUAL(1, evacuations.returnedShare("d2", now), 0);
    CHECK_FALSE(evacuations.end("d2", now));
}

// Guards against a failure domain that gets its whole load at once when its evacuation ends, or never gets it.
TEST(Evacuations, ReturnedShareGrowsAfterTheEnd)
{
    evacuations.begin("d1");
    CHECK_TRUE(evacuations.end("d1", now));
    CHECK_FALSE(evacuations.isEvacuated("d1"));
    DOUBLES_EQUAL(0, evacuations.returnedShare("d1", now), 0);
    DOUBLES_EQUAL(0.5, evacuations.returnedShare("d1", now + Evacuations::returnTime / 2), 0.01);
    evacuations.expire(now + Evacuations::returnTime - 1ms);
    CHECK_FALSE(evacuations.isEmpty());
    evacuations.expire(now + Evacuations::returnTime);
    CHECK_TRUE(evacuations.isEmpty());
}

// Guards against a second evacuation during the return that the ramp of the first one weakens.
TEST(Evacuations, EvacuationDuringTheReturnIsWhole)
{
    evacuations.begin("d1");
    evacuations.begin("d2");
    evacuations.end("d1", now);
    CHECK_TRUE(evacuations.begin("d1"));
    DOUBLES_EQUAL(0, evacuations.returnedShare("d1", now + 3s), 0);
    LONGS_EQUAL(2, evacuations.failureDomains().size());
}
