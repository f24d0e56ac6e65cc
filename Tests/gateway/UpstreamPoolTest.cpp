#include "papayabend/gateway/UpstreamPool.h"

#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamPool)
{
    boost::asio::io_context io;
    ScriptedUpstream upstream { io };
    std::unique_ptr<UpstreamPool> pool;
    discovery::UpstreamRecord record;
    std::optional<CallResult> result;

    void setup() override
    {
        pool = std::make_unique<UpstreamPool>(io, "X-Id");
        record.id = "u";
        record.address = upstream.address;
        pool->setMaxConnections("u", 2);
    }

    std::shared_ptr<Attempt> submit(bool needsFreshConnection, std::vector<uint64_t> usedConnections = {})
    {
        result.reset();
        auto attempt = std::make_shared<Attempt>();
        attempt->upstream = "u";
        attempt->needsFreshConnection = needsFreshConnection;
        attempt->usedConnections = std::move(usedConnections);
        attempt->buildRequest = [](const std::string&) { return "GET / HTTP/1.1\r\nX-Id: 7\r\n\r\n"; };
        attempt->requestId = "7";
        attempt->onEnd = [this](const Attempt&, CallResult it) { result = std::move(it); };
        pool->submit(record, attempt);
        return attempt;
    }

    // Runs until the attempt has ended, for 5 s at most.
    void runToEnd(const Attempt& attempt)
    {
        auto end = base::BootClock::now() + 5s;
        while (!attempt.isEnded && base::BootClock::now() < end)
            io.run_for(10ms);
    }
};

// Guards against an attempt that waits until its deadline for a connection that it cannot get: it needs a new or
// recently used one, the new one was refused, and the only idle one was last used too long ago.
TEST(UpstreamPool, AttemptFailsWhenItsNewConnectionIsRefused)
{
    runToEnd(*submit(false));
    CHECK_TRUE(result && result->end == CallEnd::Answered);
    upstream.acceptor.close();
    io.run_for(1s); // until the connection no longer counts as recently used
    CHECK_EQUAL(1U, pool->load("u").idleConnections);
    runToEnd(*submit(true));
    CHECK_TRUE(result && result->end == CallEnd::NotSent);
}

// Guards against failing a queued attempt because no new connection can be opened, while a busy one will become free.
TEST(UpstreamPool, AttemptWaitsForABusyConnection)
{
    upstream.behaviour = ScriptedUpstream::Behaviour::Silent;
    auto first = submit(false);
    while (upstream.heldSockets.empty())
        io.run_for(1ms);
    upstream.acceptor.close();
    auto second = submit(false);
    io.run_for(50ms);
    CHECK_FALSE(second->isEnded);
    pool->cancel(first, "end of the test");
    runToEnd(*second);
    CHECK_TRUE(second->isEnded);
}

// Guards against a host that keeps opening connections to an upstream that resets each of them.
TEST(UpstreamPool, FewConnectionsAreOpenedToAnUpstreamThatResetsThem)
{
    upstream.behaviour = ScriptedUpstream::Behaviour::ResetOnAccept;
    auto end = base::BootClock::now() + 500ms;
    while (base::BootClock::now() < end) {
        submit(false);
        pool->warm(record, 1);
        io.run_for(5ms);
    }
    CHECK_TRUE(upstream.acceptedConnections >= 2 && upstream.acceptedConnections <= 6);
}

// Guards against unused connections that fill an upstream up to its connection limit.
TEST(UpstreamPool, SurplusIdleConnectionsAreClosed)
{
    auto openTwo = [this] {
        upstream.behaviour = ScriptedUpstream::Behaviour::Silent;
        upstream.heldSockets.clear();
        auto first = submit(false);
        auto second = submit(false);
        while (upstream.heldSockets.size() < 2)
            io.run_for(1ms);
        upstream.behaviour = ScriptedUpstream::Behaviour::Answer;
        for (const auto& socket : upstream.heldSockets)
            upstream.react(socket);
        runToEnd(*first);
        runToEnd(*second);
    };
    openTwo();
    LONGS_EQUAL(2, pool->openConnections());
    pool->sweep(1, base::BootClock::now() + 1s);
    LONGS_EQUAL(2, pool->openConnections());
    pool->sweep(1, base::BootClock::now() + 3s);
    LONGS_EQUAL(1, pool->openConnections());
    pool->sweep(0, base::BootClock::now() + 3s);
    LONGS_EQUAL(0, pool->openConnections());
}

// Guards against losing a request that cannot be retried: if the connection is not within this host's reserved share,
// the upstream may reset it shortly after accepting it, so no request may be sent on it until that time has passed.
TEST(UpstreamPool, UnreservedConnectionIsNotUsedBeforeAPossibleReset)
{
    upstream.behaviour = ScriptedUpstream::Behaviour::ResetAfterAccept;
    pool->setMaxConnections("u", 1, false);
    auto attempt = submit(true);
    runToEnd(*attempt);
    CHECK_TRUE(result && result->end == CallEnd::NotSent);
    CHECK_FALSE(attempt->isSent());
}

// Guards against the same loss after a stall of the process, when the end of the wait and the reset are due at once.
TEST(UpstreamPool, UnreservedConnectionThatWasResetDuringAStallIsNotUsed)
{
    upstream.behaviour = ScriptedUpstream::Behaviour::ResetAfterAccept;
    pool->setMaxConnections("u", 1, false);
    auto attempt = submit(true);
    while (upstream.acceptedConnections == 0)
        io.run_one();
    io.poll();
    std::this_thread::sleep_for(50ms);
    runToEnd(*attempt);
    CHECK_TRUE(result && result->end == CallEnd::NotSent);
    CHECK_FALSE(attempt->isSent());
}

// Guards against an order that is sent on an idle connection which the upstream has closed meanwhile: whether it has
// run would remain unknown.
TEST(UpstreamPool, OrderIsNotSentOnAConnectionThatHasEnded)
{
    runToEnd(*submit(false));
    CHECK_TRUE(result && result->end == CallEnd::Answered);
    for (const auto& socket : upstream.servedSockets)
        socket->close();
    auto attempt = submit(true);
    runToEnd(*attempt);
    CHECK_TRUE(result && result->end == CallEnd::Answered);
    LONGS_EQUAL(2, upstream.acceptedConnections);
}

// Guards against an attempt on the connection of an earlier attempt of its request, whose answer may be repeated there,
// also if no other connection is allowed, and against holding up the attempts of other requests meanwhile.
TEST(UpstreamPool, AttemptAvoidsTheConnectionsOfEarlierOnes)
{
    pool->setMaxConnections("u", 1);
    auto first = submit(false);
    runToEnd(*first);
    auto used = first->connection.lock()->number();
    auto excluded = submit(false, { used });
    runToEnd(*excluded);
    CHECK_TRUE(result && result->end == CallEnd::Answered);
    LONGS_EQUAL(2, upstream.acceptedConnections);
    pool->setMaxConnections("u", 2);
    auto current = excluded->connection.lock()->number();
    auto waiting = submit(false, { current });
    auto other = submit(false);
    CHECK_TRUE(other->isSent() && !waiting->isSent());
    runToEnd(*waiting);
    LONGS_EQUAL(3, upstream.acceptedConnections);
}
