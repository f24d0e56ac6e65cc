#include "papayabend/membership/Members.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace papayabend;
using namespace papayabend::membership;
using namespace std::chrono_literals;

TEST_GROUP(Members)
{
    Members members = makeMembers({ "self", "10.0.0.1:1", "10.0.0.1:2", "ruwi", "om", 7, {} });
    base::TimePoint now { 1000s };

    HostObservation observation(
        const std::string& name, uint64_t incarnation, uint64_t heartbeat, HostState state = HostState::Serving) const
    {
        return { name, "10.0.0.2:1", "10.0.0.2:2", "ruwi", "om", incarnation, heartbeat, state, 0 };
    }

    ListedHost listed(const std::string& name, const std::string& domain = "ruwi") const
    {
        return { name, "10.0.0.2:1", "10.0.0.2:2", domain, "om", false };
    }

    void pass(base::Duration duration)
    {
        for (auto end = now + duration; now < end; now += 1s)
            expireMembers(members, now);
    }

    HostState stateOf(const std::string& name) const { return members.others.at(name).seen.state; }
};

// Guards against work being sent to a process that no longer runs because late news of it arrive.
TEST(Members, ANewerIncarnationReplacesTheOlderOne)
{
    applyObservation(members, observation("b", 2, 5), true, now);
    CHECK(applyObservation(members, observation("b", 1, 900), true, now) != ObservationResult::Newer);
    LONGS_EQUAL(2, members.others.at("b").seen.incarnation);
    CHECK(
        applyObservation(members, observation("b", 3, 1, HostState::Starting), true, now) == ObservationResult::Newer);
    CHECK(stateOf("b") == HostState::Starting);
}

// Guards against a resumed process that serves beside the one that replaced it.
TEST(Members, AProcessLearnsThatItWasReplaced)
{
    applyObservation(members, observation("self", 8, 1), false, now);
    CHECK(members.isReplaced);
}

// Guards against a host being suspected without having been asked, and against silence that is never noticed.
TEST(Members, OnlyAnUnansweredProbeLeadsToSuspicion)
{
    applyHostList(members, { 1, { listed("b") } }, now);
    applyObservation(members, observation("b", 1, 1), true, now);
    pass(60s);
    CHECK(stateOf("b") == HostState::Serving);
    probeSent(members, "b", now);
    pass(3s);
    CHECK(stateOf("b") == HostState::Serving);
    pass(1s);
    CHECK(stateOf("b") == HostState::Suspected);
    applyObservation(members, observation("b", 1, 2), false, now);
    CHECK(stateOf("b") == HostState::Serving);
}

// Guards against a live host that stays suspected: it must hear of the suspicion and refute it with a later heartbeat.
TEST(Members, AHostRefutesItsOwnSuspicion)
{
    applyObservation(members, observation("self", 7, 40, HostState::Suspected), false, now);
    CHECK(members.self.heartbeat > 40);
    auto pendingObservations = takePendingObservations(members);
    CHECK(pendingObservations.size() == 1 && pendingObservations[0].name == "self"
        && pendingObservations[0].state != HostState::Suspected);
}

// Guards against the reserved portions of an unreachable host being given away while the list still names it or
// shortly after.
TEST(Members, AHostIsRemovedOnlyAfterTheListDroppedItAndTheHoldTime)
{
    applyHostList(members, { 1, { listed("b") } }, now);
    probeSent(members, "b", now);
    pass(120s);
    CHECK(stateOf("b") == HostState::Suspected);
    applyHostList(members, { 2, {} }, now);
    pass(29s);
    CHECK(members.others.contains("b"));
    pass(3s);
    CHECK_FALSE(members.others.contains("b"));
}

// Guards against a removed host that comes back with late observations of its old process.
TEST(Members, OldObservationsDoNotRestoreARemovedHost)
{
    applyObservation(members, observation("b", 1, 5), true, now);
    pass(35s);
    CHECK_FALSE(members.others.contains("b"));
    applyObservation(members, observation("b", 1, 5), false, now);
    CHECK_FALSE(members.others.contains("b"));
    applyObservation(members, observation("b", 1, 6), false, now);
    CHECK(members.others.contains("b"));
}

// Guards against a stale host list that restores hosts or drops new ones.
TEST(Members, AnOlderHostListIsIgnored)
{
    CHECK(applyHostList(members, { 5, { listed("b") } }, now));
    CHECK_FALSE(applyHostList(members, { 4, { listed("c") } }, now));
    CHECK_FALSE(applyHostList(members, { 5, {} }, now));
    CHECK(members.others.contains("b") && !members.others.contains("c"));
}

// Guards against hosts that are suspected or removed at once because this process did not run for a while.
TEST(Members, APauseOfThisProcessSuspectsNobody)
{
    applyHostList(members, { 1, { listed("b") } }, now);
    applyObservation(members, observation("b", 1, 5), true, now);
    applyHostList(members, { 2, {} }, now);
    probeSent(members, "b", now);
    now += 300s;
    resumeMembers(members, now);
    expireMembers(members, now);
    CHECK(members.others.contains("b") && stateOf("b") == HostState::Serving);
}

// Guards against messages that grow when many hosts change at once.
TEST(Members, ObservationsPerMessageAreBounded)
{
    for (int n = 0; n < 200; ++n)
        applyObservation(members, observation("b" + std::to_string(n), 1, 1), true, now);
    std::set<std::string> seen;
    for (int n = 0; n < 26; ++n) {
        auto pendingObservations = takePendingObservations(members);
        CHECK(pendingObservations.size() <= maxObservations);
        for (const auto& it : pendingObservations)
            seen.insert(it.name);
    }
    LONGS_EQUAL(200, seen.size());
}

// Guards against a failure domain without a reader, or with a suspected one.
TEST(Members, TwoUsableHostsOfTheDomainAreReaders)
{
    CHECK(chooseReaders(members, "table").empty());
    applyHostList(members, { 1, { listed("b"), listed("c"), listed("d", "seeb"), listed("e") } }, now);
    auto readers = chooseReaders(members, "table");
    LONGS_EQUAL(2, readers.size());
    for (const auto& name : readers) {
        if (name != "self")
            applyObservation(members, observation(name, 1, 1, HostState::Suspected), false, now);
    }
    auto later = chooseReaders(members, "table");
    LONGS_EQUAL(2, later.size());
    for (const auto& name : later) {
        CHECK(name != "d");
        CHECK(name == "self" || stateOf(name) == HostState::Serving);
    }
}
