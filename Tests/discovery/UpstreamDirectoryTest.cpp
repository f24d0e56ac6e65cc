#include "papayabend/discovery/UpstreamDirectory.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace std::chrono_literals;
using discovery::Presence;

TEST_GROUP(UpstreamDirectory)
{
    discovery::UpstreamDirectory directory;
    base::TimePoint now { 100s };

    static discovery::UpstreamRecord record(uint64_t sequence, int64_t startedAt = 1000)
    {
        discovery::UpstreamRecord record;
        record.id = "u1";
        record.service = "desk";
        record.address = "10.0.0.1:80";
        record.sequence = sequence;
        record.startedAt = startedAt;
        return record;
    }

    Presence presence() const { return directory.find("u1")->presence; }
};

// Guards against a delayed write of an earlier state that makes a draining upstream look ready.
TEST(UpstreamDirectory, EarlierSequenceOfTheSameStartIsIgnored)
{
    auto draining = record(5);
    draining.isDraining = true;
    directory.apply("u1", 10, draining, now);
    CHECK_FALSE(directory.apply("u1", 11, record(4), now));
    CHECK_TRUE(directory.find("u1")->record.isDraining);
}

// Guards against a restarted upstream that is ignored because its sequence starts at 1 again.
TEST(UpstreamDirectory, LaterStartUnderTheSameIdIsApplied)
{
    auto draining = record(50);
    draining.isDraining = true;
    directory.apply("u1", 10, draining, now);
    CHECK_TRUE(directory.apply("u1", 11, record(1, 2000), now));
    CHECK_FALSE(directory.find("u1")->record.isDraining);
}

// Guards against an invalid entry that leaves the previous record of its upstream in use, or that adds an upstream.
TEST(UpstreamDirectory, InvalidEntryRemovesItsUpstream)
{
    directory.apply("u1", 10, record(1), now);
    CHECK_TRUE(directory.apply("u1", 11, std::nullopt, now));
    CHECK_TRUE(presence() == Presence::Missing);
    CHECK_FALSE(directory.apply("u2", 12, std::nullopt, now));
    POINTERS_EQUAL(nullptr, directory.find("u2"));
}

// Guards against a late copy from another host that restores a removed upstream.
TEST(UpstreamDirectory, OlderRevisionsAreIgnored)
{
    directory.apply("u1", 10, record(1), now);
    directory.remove("u1", 12, now);
    CHECK_FALSE(directory.apply("u1", 11, record(2), now));
    CHECK_TRUE(presence() == Presence::Missing);
}

// Guards against a delayed write of an earlier state that brings back an upstream that has left, and against ignoring
// one that comes back with its next state, or starts again after its clock was set back.
TEST(UpstreamDirectory, EarlierSequenceAfterTheRemovalIsIgnored)
{
    directory.apply("u1", 10, record(5), now);
    directory.remove("u1", 11, now);
    CHECK_FALSE(directory.apply("u1", 12, record(4), now));
    CHECK_TRUE(presence() == Presence::Missing);
    directory.expire(now + 3s);
    CHECK_FALSE(directory.apply("u1", 13, record(4), now + 3s));
    CHECK_TRUE(presence() == Presence::Gone);
    CHECK_TRUE(directory.apply("u1", 14, record(6), now + 4s));
    CHECK_TRUE(presence() == Presence::Listed);
    directory.remove("u1", 15, now + 5s);
    CHECK_TRUE(directory.apply("u1", 16, record(1, 500), now + 6s));
    CHECK_TRUE(presence() == Presence::Listed);
}

// Guards against dropping upstreams whose entries expired only because of an outage of the store, and against using
// upstreams long after they have left.
TEST(UpstreamDirectory, MissingEntriesAreGoneAfterMissingTime)
{
    directory.apply("u1", 10, record(1), now);
    directory.remove("u1", 11, now);
    CHECK_FALSE(directory.expire(now + 2s));
    CHECK_TRUE(presence() == Presence::Missing);
    CHECK_TRUE(directory.expire(now + 2600ms));
    CHECK_TRUE(presence() == Presence::Gone);
    directory.apply("u1", 12, record(2), now + 3s);
    CHECK_TRUE(presence() == Presence::Listed);
}

// Guards against entries that are never removed because the store no longer has the history with their removal.
TEST(UpstreamDirectory, EntriesThatAreNotInAFullListAreMissing)
{
    directory.apply("u1", 10, record(1), now);
    CHECK_FALSE(directory.retain({}, 9, now));
    CHECK_TRUE(directory.retain({}, 10, now));
    CHECK_TRUE(presence() == Presence::Missing);
}

// Guards against reports of the remaining warm-up time that are logged as changes and that extend the time for which a
// draining upstream is used.
TEST(UpstreamDirectory, WarmUpReportIsNotAChange)
{
    auto draining = record(5);
    draining.isDraining = true;
    directory.apply("u1", 10, draining, now);
    draining.sequence = 6;
    draining.warmUpLeft = 700ms;
    CHECK_FALSE(directory.apply("u1", 11, draining, now + 1s));
    CHECK_TRUE(directory.find("u1")->changedAt == now);
    CHECK_TRUE(directory.find("u1")->reportedAt == now + 1s);
    CHECK_TRUE(directory.find("u1")->record.warmUpLeft == 700ms);
}
