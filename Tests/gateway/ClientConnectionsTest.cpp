#include "papayabend/gateway/ClientConnections.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace papayabend::gateway;

TEST_GROUP(ClientConnections)
{
    std::shared_ptr<ClientConnections> connections { std::make_shared<ClientConnections>() };
    size_t callers { connections->addListener() };
    size_t readiness { connections->addListener() };
    std::vector<std::unique_ptr<ClientPlace>> places;
    std::vector<size_t> closed; // indexes of places

    // Opens a connection and returns its index, or SIZE_MAX if there is no room.
    size_t open(size_t listener, ClientState state = ClientState::Waiting)
    {
        if (!connections->makeRoom(listener))
            return SIZE_MAX;
        auto index = places.size();
        places.push_back(std::make_unique<ClientPlace>(connections, listener, [this, index] {
            closed.push_back(index);
            places[index].reset();
        }));
        places.back()->enter(state);
        return index;
    }

    bool isClosed(size_t index) const { return std::ranges::count(closed, index) > 0; }
};

// Guards against a group of silent connections that keeps all others out, or pushes out those that are in use.
TEST(ClientConnections, FloodPushesOutItsOwnConnections)
{
    connections->setBounds({ 100, 90 });
    auto served = open(callers, ClientState::Idle);
    auto ready = open(readiness);
    for (auto n = 0; n < 1000; ++n)
        CHECK_TRUE(open(callers) != SIZE_MAX);
    LONGS_EQUAL(91, connections->count());
    CHECK_FALSE(isClosed(served));
    CHECK_FALSE(isClosed(ready));
    // The oldest are closed first, so that a new one has time for its request.
    LONGS_EQUAL(2, closed.front());
    auto fresh = open(callers);
    for (auto n = 0; n < 80; ++n)
        open(callers);
    CHECK_FALSE(isClosed(fresh));
}

// Guards against many idle connections that keep new callers from sending their first request.
TEST(ClientConnections, LongestIdleOnesAreClosedIfMostAreIdle)
{
    connections->setBounds({ 50, 50 });
    for (auto n = 0; n < 50; ++n)
        open(callers, ClientState::Idle);
    places[0]->enter(ClientState::Waiting);
    places[0]->enter(ClientState::Handled);
    places[0]->enter(ClientState::Receiving);
    places[0]->enter(ClientState::Idle);
    auto fresh = open(callers);
    LONGS_EQUAL(1, closed.front());
    open(callers);
    CHECK_FALSE(isClosed(0));
    CHECK_FALSE(isClosed(fresh));
}

// Guards against a request that is being handled and is dropped for a new connection: it may have run.
TEST(ClientConnections, RequestsInHandlingAreNotClosed)
{
    connections->setBounds({ 10, 8 });
    for (auto n = 0; n < 8; ++n)
        open(callers, ClientState::Handled);
    CHECK_TRUE(open(callers) == SIZE_MAX);
    // The bound of a listener leaves connections to the others.
    CHECK_TRUE(open(readiness, ClientState::Handled) != SIZE_MAX);
    CHECK_TRUE(open(readiness) != SIZE_MAX);
    CHECK_TRUE(open(readiness) != SIZE_MAX);
    LONGS_EQUAL(1, closed.size());
    LONGS_EQUAL(10, connections->count());
}

// Guards against a connection that waits only for its end and stays instead of one that is in use.
TEST(ClientConnections, EndedOnesAreClosedFirst)
{
    connections->setBounds({ 5, 5 });
    for (auto n = 0; n < 4; ++n)
        open(callers);
    auto ended = open(callers, ClientState::Ended);
    open(callers);
    LONGS_EQUAL(ended, closed.front());
}

// Guards against bounds that leave no descriptors for upstreams, store and hosts, or none for clients.
TEST(ClientConnections, BoundsFollowTheDescriptors)
{
    auto smallest = connectionBounds(4100, 0, 0, 0);
    LONGS_EQUAL(2734, smallest.total);
    LONGS_EQUAL(2393, smallest.perListener);
    LONGS_EQUAL(16'384, connectionBounds(1'048'576, 0, 0, 0).total);
    LONGS_EQUAL(4000, connectionBounds(4100, 100, 0, 0).total);
    LONGS_EQUAL(300, connectionBounds(4100, 0, 300, 40).total);
    LONGS_EQUAL(40, connectionBounds(4100, 0, 300, 40).perListener);
    LONGS_EQUAL(1, connectionBounds(100, 200, 0, 0).total);
}
