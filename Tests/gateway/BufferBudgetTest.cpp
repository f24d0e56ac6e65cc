#include "papayabend/gateway/BufferBudget.h"
#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

using namespace papayabend;
using namespace papayabend::gateway;

namespace {

constexpr uint64_t kilobyte = 1024;
constexpr uint64_t readBytes = 16 * kilobyte;

/** A peer of a simulated host, with the message that it is sending. */
struct Peer {
    uint64_t size { 0 };
    uint64_t received { 0 };
    bool isFaulty { false };
    bool isRevoked { false };
    std::unique_ptr<BufferHold> hold;
};

struct Outcome {
    size_t proper { 0 }; /**< Proper messages that were begun. */
    size_t givenUp { 0 }; /**< Those of them that were not received to their end. */
    uint64_t peakBytes { 0 };
};

/** What is done with a message that grows: true if it may. */
using Rule = bool (*)(BufferBudget&, Peer&);

/** The former rule: a message above the size of small ones is given up when it grows while the sum is above the bound.
 */
bool growAlone(BufferBudget& budget, Peer& peer)
{
    auto before = peer.hold->bytes();
    budget.bytes += peer.received - before;
    auto isAllowed = budget.bytes <= budget.maxBytes || peer.received <= budget.smallBytes;
    budget.bytes -= peer.received - before;
    auto limits = std::pair(budget.maxBytes, budget.hardMaxBytes);
    budget.maxBytes = budget.hardMaxBytes = UINT64_MAX;
    if (isAllowed)
        peer.hold->resize(peer.received);
    std::tie(budget.maxBytes, budget.hardMaxBytes) = limits;
    return isAllowed;
}

bool growByBudget(BufferBudget&, Peer& peer) { return peer.hold->resize(peer.received); }

/** Peers of one host, of which a part sends bytes without end (or 60 KB without an end, if \a stalls). */
Outcome play(size_t peers, double faultyShare, bool stalls, Rule rule)
{
    auto budget = std::make_shared<BufferBudget>();
    base::Random random(peers);
    std::vector<Peer> all(peers);
    Outcome outcome;
    auto begin = [&](Peer& peer) {
        peer.received = 0;
        peer.isRevoked = false;
        peer.hold = std::make_unique<BufferHold>(budget, [&peer] { peer.isRevoked = true; });
        auto kind = base::uniform(random);
        peer.size = kind < 0.9 ? 200 : kind < 0.9995 ? 20 * kilobyte : 500 * kilobyte;
        if (peer.isFaulty)
            peer.size = stalls ? UINT64_MAX : 16 * kilobyte * kilobyte;
        else
            ++outcome.proper;
    };
    for (size_t n = 0; n < peers; ++n) {
        all[n].isFaulty = static_cast<double>(n) < faultyShare * static_cast<double>(peers);
        begin(all[n]);
    }
    for (size_t step = 0; step < 150 * peers; ++step) {
        auto& peer = all[base::uniformIndex(random, peers)];
        auto isStalled = peer.isFaulty && stalls && peer.received >= 60 * kilobyte;
        if (!peer.isRevoked && !isStalled) {
            peer.received = std::min(peer.size, peer.received + (stalls && peer.isFaulty ? 12 * kilobyte : readBytes));
            peer.isRevoked = !rule(*budget, peer);
        }
        outcome.peakBytes = std::max(outcome.peakBytes, budget->bytes);
        if (!peer.isRevoked && peer.received < peer.size)
            continue;
        outcome.givenUp += peer.isRevoked && !peer.isFaulty ? 1 : 0;
        peer.hold.reset();
        begin(peer);
    }
    return outcome;
}

}

TEST_GROUP(BufferBudget)
{
    std::shared_ptr<BufferBudget> budget { std::make_shared<BufferBudget>() };

    static void print(size_t hosts, const char* what, const char* rule, const Outcome& it)
    {
        UT_PRINT(StringFromFormat("%zu hosts, %s, %s: %zu proper messages, %zu given up, peak %zu KB", hosts, what,
            rule, it.proper, it.givenUp, static_cast<size_t>(it.peakBytes / kilobyte)));
    }
};

// Guards against peers whose bytes never end, or that send a little each and stop: together they would fill the memory
// of the host. Proper messages must not be given up for them more often than before.
TEST(BufferBudget, MemoryIsBoundedAndProperMessagesAreReceived)
{
    // Connections of a host at these sizes of a fleet: callers and upstreams, up to its descriptors.
    for (auto [hosts, peers] : { std::pair<size_t, size_t> { 6, 400 }, { 76, 900 }, { 195, 1600 }, { 1600, 3900 } }) {
        for (auto stalls : { false, true }) {
            const auto* what = stalls ? "messages that stop" : "bytes without end";
            auto share = stalls ? 0.5 : 0.05;
            auto before = play(peers, share, stalls, growAlone);
            auto now = play(peers, share, stalls, growByBudget);
            print(hosts, what, "each alone", before);
            print(hosts, what, "largest first", now);
            CHECK_TRUE(now.peakBytes <= budget->hardMaxBytes);
            CHECK_TRUE(!stalls || hosts < 195 || before.peakBytes > budget->hardMaxBytes);
            // The former rule does not bound the memory of messages that stop.
            CHECK_TRUE(stalls || now.givenUp <= before.givenUp);
            CHECK_TRUE(static_cast<double>(now.givenUp) <= 0.01 * static_cast<double>(now.proper));
        }
        auto calm = play(peers, 0, false, growByBudget);
        LONGS_EQUAL(0, calm.givenUp);
    }
}

// Guards against giving up the message that happens to grow instead of the one that uses the memory.
TEST(BufferBudget, LargestHoldIsRevokedFirst)
{
    size_t revoked = 0;
    BufferHold large(budget, [&] { ++revoked; });
    BufferHold small(budget, [] { FAIL("a small hold was revoked"); });
    CHECK_TRUE(small.resize(60 * kilobyte));
    CHECK_TRUE(large.resize(budget->maxBytes - 60 * kilobyte));
    CHECK_TRUE(small.resize(61 * kilobyte));
    LONGS_EQUAL(1, revoked);
    CHECK_TRUE(large.isRevoked());
    CHECK_FALSE(large.resize(1));
    large.release();
    CHECK_TRUE(large.resize(1));
    CHECK_FALSE(large.resize(budget->maxBytes));
    LONGS_EQUAL(61 * kilobyte, budget->bytes);
}

// Guards against revoking bytes that are in use, and against growing beyond the bound because of them.
TEST(BufferBudget, CommittedBytesAreKeptAndBounded)
{
    BufferHold inUse(budget, [] { FAIL("committed bytes were revoked"); });
    CHECK_TRUE(inUse.resize(budget->maxBytes));
    inUse.commit();
    std::vector<std::unique_ptr<BufferHold>> holds;
    size_t held = 0;
    for (int n = 0; n < 1000; ++n)
        held += holds.emplace_back(std::make_unique<BufferHold>(budget))->resize(60 * kilobyte) ? 1 : 0;
    CHECK_TRUE(budget->bytes <= budget->hardMaxBytes);
    CHECK_TRUE(held > 200);
    holds.clear();
    LONGS_EQUAL(budget->maxBytes, budget->bytes);
    LONGS_EQUAL(1, budget->holds);
}
