#include "papayabend/fleet/EntryValidity.h"
#include "fleet/FleetFixture.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;

TEST_GROUP(EntryValidity)
{
    FleetView view { hostHeartbeat("a", "d1") };
    FleetCalm calm;
    EntryValiditySettings settings { 1s, 5s, 6s };
    base::TimePoint now { 1000s };
    uint64_t sequence { 1 };
    std::vector<Heartbeat> others;

    void setup() override
    {
        for (const auto* name : { "b", "c", "d" })
            others.push_back(hostHeartbeat(name, "d2"));
        run(25s);
    }

    /** Lets time pass in which the other hosts send their heartbeats. */
    void run(base::Duration duration)
    {
        for (auto end = now + duration; now < end; now += 250ms) {
            for (auto& heartbeat : others) {
                heartbeat.sequence = ++sequence;
                view.apply(heartbeat, now);
            }
            observe(calm, view, now);
        }
    }

    /** Fills the fleet so that it is large. */
    void fillLargeFleet()
    {
        for (size_t n = 0; n < 20; ++n)
            others.push_back(hostHeartbeat("e" + std::to_string(n), "d1"));
        run(25s);
    }

    base::Duration timeToLive() const { return entryTimeToLive(calm, settings, now); }
};

// Guards against long answers while a series of planned stops goes on, or while hosts start.
TEST(EntryValidity, AnswersAreShortForSomeTimeAfterAStop)
{
    CHECK_TRUE(timeToLive() == 5s);
    others[0].stage = HostStage::Leaving;
    run(1s);
    CHECK_TRUE(timeToLive() == 1s);
    others[0].stage = HostStage::Ready;
    ++others[0].incarnation;
    run(calmTime - 1s);
    CHECK_TRUE(timeToLive() == 1s);
    run(2s);
    CHECK_TRUE(timeToLive() == 5s);
    view.self().stage = HostStage::Leaving;
    run(250ms);
    CHECK_TRUE(timeToLive() == 1s);
}

// Guards against long answers that name a host which has just fallen silent, and against those after a host was lost.
TEST(EntryValidity, AnswersAreShortWhenAHostIsSuspectOrLost)
{
    auto lost = others.back();
    others.pop_back();
    run(suspectTime + 500ms);
    CHECK_TRUE(timeToLive() == 1s);
    others.push_back(lost);
    run(250ms);
    CHECK_TRUE(timeToLive() == 5s);
    others.pop_back();
    run(4s);
    CHECK_TRUE(timeToLive() == 1s);
    run(calmTime - 3s);
    CHECK_TRUE(timeToLive() == 1s);
    run(2s);
    CHECK_TRUE(timeToLive() == 5s);
    others.push_back(lost);
    run(1s);
    CHECK_TRUE(timeToLive() == 1s);
}

// Guards against a large fleet that is never calm because relayed heartbeats are late, and against changes in other
// failure domains that remain unknown.
TEST(EntryValidity, ChangesInOtherDomainsOfALargeFleetAreTakenFromTheirHosts)
{
    fillLargeFleet();
    CHECK_TRUE(timeToLive() == 5s);
    others.erase(others.begin());
    run(12s);
    CHECK_TRUE(timeToLive() == 5s);
    others[0].changeAgeMs = 1000;
    run(1s);
    CHECK_TRUE(timeToLive() == 1s);
    others[0].changeAgeMs = static_cast<uint32_t>(base::toMilliseconds(calmTime)) + 1000;
    calm.changedAt = {};
    run(1s);
    CHECK_TRUE(timeToLive() == 5s);
    std::erase_if(others, [](const auto& it) { return it.failureDomain == "d2"; });
    run(FleetView::relayedLivenessTimeout + 1s);
    CHECK_TRUE(timeToLive() == 1s);
}

// Guards against hosts that renew the time of a change forever because each passes on what the other has stated.
TEST(EntryValidity, StatedChangesAreNotPassedOn)
{
    others[0].changeAgeMs = 1;
    run(1s);
    CHECK_TRUE(changeAgeOf(calm, now) >= 20'000);
    CHECK_TRUE(timeToLive() == 1s);
}

// Guards against answers that outlive the time in which a stopping host still serves.
TEST(EntryValidity, AnswersEndBeforeTheGraceTime)
{
    settings.grace = 3s;
    CHECK_TRUE(timeToLive() == 2100ms);
    settings.grace = 500ms;
    CHECK_TRUE(timeToLive() == 1s);
}

// Guards against a host that stops while callers use it, and against a series of stops of which each one takes longer
// than today.
TEST(EntryValidity, StoppingHostServesWhileAnswersNameIt)
{
    auto stoppedAt = now;
    CHECK_TRUE(answersExpireAt(calm, settings, stoppedAt) > stoppedAt + 5s);
    CHECK_TRUE(answersExpireAt(calm, settings, stoppedAt) < stoppedAt + 6s);
    others[0].stage = HostStage::Leaving;
    run(6s);
    CHECK_TRUE(answersExpireAt(calm, settings, now) == now + 3s);
    CHECK_TRUE(answersExpireAt({}, { 1s, 1s, 6s }, now) == now + 3s);
}
