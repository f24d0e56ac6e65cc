#include "papayabend/membership/Lifecycle.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend::membership;

TEST_GROUP(Lifecycle) {};

// Guards against a stopping process that returns to an earlier stage and accepts new requests.
TEST(Lifecycle, StagesOnlyAdvance)
{
    auto stage = Lifecycle::Serving;
    CHECK(advance(stage, Lifecycle::Draining));
    CHECK_FALSE(advance(stage, Lifecycle::Serving));
    CHECK_FALSE(advance(stage, Lifecycle::Draining));
    CHECK(stage == Lifecycle::Draining);
    CHECK(announcedState(stage) == HostState::Draining);
    CHECK(announcedState(Lifecycle::Stopped) == HostState::Gone);
}
