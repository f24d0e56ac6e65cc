#include "papayabend/gateway/UpstreamPool.h"

#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>

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

    std::shared_ptr<Attempt> submit(bool needsFreshConnection)
    {
        result.reset();
        auto attempt = std::make_shared<Attempt>();
        attempt->upstream = "u";
        attempt->needsFreshConnection = needsFreshConnection;
        attempt->text = [](const std::string&) { return "GET / HTTP/1.1\r\n\r\n"; };
        attempt->onEnd = [this](const Attempt&, CallResult it) { result = std::move(it); };
        pool->submit(record, attempt);
        return attempt;
    }

    // Runs until the attempt has ended, for a few seconds at most.
    void runToEnd(const Attempt& attempt)
    {
        auto end = base::BootClock::now() + 5s;
        while (!attempt.isEnded && base::BootClock::now() < end)
            io.run_for(10ms);
    }
};

// Guards against a request that waits for its time limit because the new connection that it needs was refused while an
// idle one, not fit for it, stayed open.
TEST(UpstreamPool, AttemptEndsWhenTheConnectionThatItNeedsIsRefused)
{
    runToEnd(*submit(false));
    CHECK_TRUE(result && result->end == CallEnd::Answered);
    upstream.acceptor.close();
    io.run_for(1s); // until the connection is no longer fresh
    CHECK_EQUAL(1U, pool->load("u").idleConnections);
    runToEnd(*submit(true));
    CHECK_TRUE(result && result->end == CallEnd::NotSent);
}

// Guards against an attempt that is given up although a connection which is in use will serve it.
TEST(UpstreamPool, AttemptWaitsForAConnectionInUse)
{
    upstream.manner = ScriptedUpstream::Manner::Silent;
    auto first = submit(false);
    while (upstream.open.empty())
        io.run_for(1ms);
    upstream.acceptor.close();
    auto second = submit(false);
    io.run_for(50ms);
    CHECK_FALSE(second->isEnded);
    pool->cancel(first, "end of the test");
    runToEnd(*second);
    CHECK_TRUE(second->isEnded);
}

// Guards against a host that opens connections without end to an upstream that resets each of them.
TEST(UpstreamPool, ConnectionsToAFullUpstreamAreFew)
{
    upstream.manner = ScriptedUpstream::Manner::ResetAtOnce;
    auto end = base::BootClock::now() + 500ms;
    while (base::BootClock::now() < end) {
        submit(false);
        pool->warm(record, 1);
        io.run_for(5ms);
    }
    CHECK_TRUE(upstream.connections >= 2 && upstream.connections <= 6);
}

// Guards against an upstream that is full of connections which are not used.
TEST(UpstreamPool, SurplusConnectionsAreClosed)
{
    auto openTwo = [this] {
        upstream.manner = ScriptedUpstream::Manner::Silent;
        upstream.open.clear();
        auto first = submit(false);
        auto second = submit(false);
        while (upstream.open.size() < 2)
            io.run_for(1ms);
        upstream.manner = ScriptedUpstream::Manner::Answer;
        for (const auto& socket : upstream.open)
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

// Guards against a request that is lost, and cannot be repeated, because it was sent on a connection beyond the part of
// this host, which the upstream resets a moment later.
TEST(UpstreamPool, ConnectionWithoutAReservedPlaceIsNotUsedAtOnce)
{
    upstream.manner = ScriptedUpstream::Manner::ResetAfterAMoment;
    pool->setMaxConnections("u", 1, false);
    auto attempt = submit(true);
    runToEnd(*attempt);
    CHECK_TRUE(result && result->end == CallEnd::NotSent);
    CHECK_FALSE(attempt->isSent());
}
