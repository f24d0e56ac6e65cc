#include "papayabend/admission/QuotaLedger.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace papayabend::admission;
using namespace std::chrono_literals;
using papayabend::base::TimePoint;

TEST_GROUP(QuotaLedger)
{
    TimePoint now { 1000s };
    QuotaSettings settings;
    QuotaLedger a { "a", settings };
    QuotaLedger b { "b", settings };
    std::vector<std::string> both { "a", "b" };
    uint64_t reportSequence = 0;

    void setup() override
    {
        for (auto* host : { &a, &b })
            host->setLimits({ { { "sul", "faturas" }, 20.0 } }, now);
        list(both);
        for (int n = 0; n < 8; ++n) {
            now += 500ms;
            announce();
        }
        CHECK(a.isEstablished() && b.isEstablished());
    }

    void list(const std::vector<std::string>& hosts)
    {
        a.setListed(hosts, now);
        b.setListed(hosts, now);
    }

    void announce()
    {
        a.announcementReceived("b", b.countsPeer("a", now), now);
        b.announcementReceived("a", a.countsPeer("b", now), now);
    }

    double rateOf(const QuotaLedger& host) { return host.rate("sul", "faturas", now); }

    std::vector<QuotaLease> lendToB(double demandOfB)
    {
        b.reportSent(++reportSequence, now);
        return a.lend("b", reportSequence, { { "a", {} }, { "b", { { "sul", "faturas", demandOfB, 0, 0, 0 } } } }, now);
    }

    int admittedIn(QuotaLedger & host, std::chrono::seconds time)
    {
        int admitted = 0;
        for (auto end = now + time; now < end; now += 1ms)
            admitted += host.consume("sul", "faturas", now) == 0us ? 1 : 0;
        return admitted;
    }
};

// Guards against two hosts that both use the whole limit.
TEST(QuotaLedger, PortionsSumUpToTheLimit)
{
    CHECK(rateOf(a) + rateOf(b) <= 20);
    auto admitted = admittedIn(a, 10s);
    CHECK(admitted <= 100);
    CHECK(admitted >= 95);
}

// Guards against a portion that stays unused although another host needs a higher rate than its own portion.
TEST(QuotaLedger, UnusedPortionIsLent)
{
    b.receive(lendToB(50), now);
    CHECK(rateOf(b) > 19);
    CHECK(rateOf(a) + rateOf(b) <= 20);
}

// Guards against a lent rate that borrower and lender use at the same time, also when the lease arrives late.
TEST(QuotaLedger, BorrowerStopsBeforeTheLenderResumes)
{
    auto leases = lendToB(50);
    now += settings.leaseTime - 1ms;
    b.receive(leases, now);
    CHECK(rateOf(b) > 19);
    now += 2ms;
    CHECK(rateOf(b) < 11);
    CHECK(rateOf(a) < 1);
    now += settings.pauseMargin + 100ms;
    CHECK(rateOf(a) > 9);
}

// Guards against the use of a lease that arrives after its validity, which counts from the report that it answers.
TEST(QuotaLedger, ExpiredLeaseIsIgnored)
{
    auto leases = lendToB(50);
    now += settings.leaseTime;
    b.receive(leases, now);
    CHECK(rateOf(b) < 11);
}

// Guards against a host that takes over the portion of an unreachable host, or of one that was listed until recently.
TEST(QuotaLedger, PortionOfAnUnreachableHostRemainsReserved)
{
    now += 10min;
    list(both);
    CHECK(rateOf(a) <= 10);
    a.setListed(std::vector<std::string> { "a" }, now);
    now += settings.holdTime - 1s;
    a.setListed(std::vector<std::string> { "a" }, now);
    CHECK(rateOf(a) <= 10);
}

// Guards against a host that is no longer listed, reaches no peer and still uses a portion that others take over.
TEST(QuotaLedger, UnlistedHostWithoutPeersStopsUsingItsPortion)
{
    a.setListed(std::vector<std::string> { "b" }, now);
    now += settings.holdTime / 2 + 1s;
    DOUBLES_EQUAL(0, rateOf(a), 1e-9);
}

// Guards against a joining host that uses a portion before the others have reduced theirs.
TEST(QuotaLedger, JoiningHostUsesNoPortionUntilAllOthersCountIt)
{
    const std::vector<std::string> three { "a", "b", "c" };
    QuotaLedger c("c", settings);
    c.setLimits({ { { "sul", "faturas" }, 20.0 } }, now);
    auto leases = lendToB(50);
    b.receive(leases, now);
    c.setListed(three, now);
    now += 10s;
    DOUBLES_EQUAL(0, rateOf(c), 1e-9);
    list(three);
    c.announcementReceived("a", a.countsPeer("c", now), now);
    c.announcementReceived("b", b.countsPeer("c", now), now);
    CHECK_FALSE(c.isEstablished());
    now += 4s;
    c.setListed(three, now);
    c.announcementReceived("a", a.countsPeer("c", now), now);
    c.announcementReceived("b", b.countsPeer("c", now), now);
    CHECK(c.isEstablished());
    CHECK(rateOf(a) + rateOf(b) + rateOf(c) <= 20);
}
