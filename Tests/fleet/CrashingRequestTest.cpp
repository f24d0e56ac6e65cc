#include "fleet/FleetFixture.h"
#include "papayabend/dispatch/CrashSuspects.h"
#include "papayabend/fleet/HeartbeatPlan.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <utility>

using namespace papayabend;
using namespace papayabend::fleet;
using namespace std::chrono_literals;
using dispatch::CrashNotice;
using dispatch::CrashSuspects;

namespace {

constexpr auto networkDelay = 6ms;
constexpr auto runTime = 60ms;
constexpr auto upstreamRestartTime = 3s;
// In this time after the third loss a fleet may still learn of it, and this many repeats are allowed later.
constexpr auto learningTime = 4s;
constexpr size_t allowedRepeats = 3;
constexpr uint64_t crashingRequest = 1;

struct Shape {
    size_t hosts { 8 };
    size_t domains { 3 };
    size_t services { 1 };
    size_t upstreamsPerService { 5 };
    size_t maxAttempts { 2 };
};

struct Host {
    std::string name;
    std::string domain;
    FleetView fleet;
    CrashSuspects suspects;
    uint64_t rounds { 0 };
    uint64_t incarnation { 1 };
    base::TimePoint downUntil {}; /**< The process does not run. */
    base::TimePoint frozenUntil {}; /**< Neither sends nor receives; what arrives meanwhile waits. */
    base::TimePoint cutUntil {}; /**< Out of touch with other hosts, not with callers and upstreams. */
};

struct Request;
using RequestPointer = std::shared_ptr<Request>;

struct Upstream {
    size_t service { 0 };
    uint64_t process { 0 };
    base::TimePoint downUntil {};
    std::vector<RequestPointer> running;
};

struct Request {
    uint64_t fingerprint { 0 };
    bool isCrashing { false };
    size_t service { 0 };
    size_t host { 0 };
    size_t attempts { 0 }; /**< At this host. */
    size_t returns { 1 }; /**< How often its caller goes to another host after a failure. */
    std::vector<size_t> tried; /**< At this host. */
};

/** Hosts, callers and upstreams in virtual time. Callers repeat a crashing request at any host, without end. */
struct SimulatedFleet {
    Shape shape;
    base::Random random;
    base::TimePoint now { 1000s };
    std::multimap<base::TimePoint, std::function<void()>> events;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::string, size_t> indexOf;
    std::vector<Upstream> upstreams;
    size_t crashingService { 0 };
    std::vector<base::TimePoint> crashingArrivals;
    std::vector<base::TimePoint> crashes;
    uint64_t nextFingerprint { 1000 };
    uint64_t nextProcess { 1 };
    double lostAnswers {
        0
    }; /**< Share of the proper requests that upstreams run and whose answer is lost by a reset. */
    uint64_t properRequests { 0 };
    uint64_t properRefusals { 0 };

    SimulatedFleet(const Shape& shape, uint64_t seed)
        : shape(shape)
        , random(seed)
    {
        for (size_t n = 0; n < shape.hosts; ++n) {
            auto name = "h" + std::to_string(n);
            auto domain = "d" + std::to_string(n % shape.domains);
            hosts.push_back(std::make_unique<Host>(Host { name, domain, FleetView(hostHeartbeat(name, domain)) }));
            indexOf["peers." + name] = n;
        }
        for (auto& host : hosts)
            introduce(*host);
        for (size_t n = 0; n < shape.services * shape.upstreamsPerService; ++n)
            upstreams.push_back({ .service = n % shape.services, .process = nextProcess++ });
        for (size_t n = 0; n < hosts.size(); ++n)
            at(base::Duration(
                   FleetView::heartbeatInterval.count() * static_cast<int64_t>(n) / static_cast<int64_t>(hosts.size())),
                [this, n] { beat(n); });
    }

    void at(base::Duration delay, std::function<void()> event) { events.emplace(now + delay, std::move(event)); }

    void run(base::Duration time)
    {
        for (auto end = now + time; !events.empty() && events.begin()->first <= end;) {
            auto event = std::move(events.begin()->second);
            now = events.begin()->first;
            events.erase(events.begin());
            event();
        }
    }

    /** Tells a host of all of its failure domain, and of one host of each other one in a large fleet. */
    void introduce(Host& host)
    {
        std::map<std::string, size_t> others;
        auto offset = base::uniformIndex(random, hosts.size());
        for (size_t n = 0; n < hosts.size(); ++n) {
            const auto& other = *hosts[(n + offset) % hosts.size()];
            auto isWanted = hosts.size() <= 200 || other.domain == host.domain || others[other.domain]++ == 0;
            if (&other != &host && isWanted)
                host.fleet.apply(hostHeartbeat(other.name, other.domain, other.incarnation), now);
        }
    }

    bool isRunning(const Host& host) const { return now >= host.downUntil; }

    void beat(size_t index)
    {
        auto& host = *hosts[index];
        at(FleetView::heartbeatInterval, [this, index] { beat(index); });
        if (!isRunning(host) || now < host.frozenUntil)
            return;
        ++host.rounds;
        auto notices = host.suspects.notices(random, now);
        if (notices.empty())
            return;
        constexpr uint64_t startupRounds = 10;
        for (const auto& planned : planHeartbeats(host.fleet, {}, startupRounds + host.rounds, random, now))
            deliver(index, indexOf.at(planned.address), notices);
    }

    void deliver(size_t from, size_t to, const std::vector<CrashNotice>& notices)
    {
        auto isLost = base::uniform(random) < 0.01;
        auto isCut = now < hosts[from]->cutUntil || now < hosts[to]->cutUntil;
        if (notices.empty() || isLost || isCut)
            return;
        auto delay = std::max<base::Duration>(networkDelay, hosts[to]->frozenUntil - now);
        at(delay, [this, to, notices, incarnation = hosts[to]->incarnation] {
            if (isRunning(*hosts[to]) && hosts[to]->incarnation == incarnation)
                hosts[to]->suspects.merge(notices, now);
        });
    }

    /** The gateway sends a heartbeat at once, at its next tick, when a request has come to be refused. */
    void announceRefusal(size_t index)
    {
        auto& host = *hosts[index];
        if (!host.suspects.takeNewRefusal())
            return;
        at(std::chrono::milliseconds(base::uniformIndex(random, 250)), [this, index] {
            auto& sender = *hosts[index];
            for (const auto& [name, member] : sender.fleet.members()) {
                if (sender.fleet.isSmall() || member.heartbeat.failureDomain == sender.domain)
                    deliver(index, indexOf.at(member.heartbeat.peerAddress), sender.suspects.notices(random, now));
            }
        });
    }

    void restart(size_t index, base::Duration downTime)
    {
        auto& host = *hosts[index];
        ++host.incarnation;
        host.suspects = {};
        host.downUntil = now + downTime;
        at(downTime, [this, index] {
            // Each host that hears of the new process sends it a heartbeat.
            for (const auto& [name, member] : hosts[index]->fleet.members())
                deliver(indexOf.at(member.heartbeat.peerAddress), index,
                    hosts[indexOf.at(member.heartbeat.peerAddress)]->suspects.notices(random, now, true));
        });
    }

    void comeToAHost(const RequestPointer& request)
    {
        request->host = base::uniformIndex(random, hosts.size());
        request->attempts = 0;
        request->tried.clear();
        auto& host = *hosts[request->host];
        if (!isRunning(host) || now < host.frozenUntil)
            return at(100ms, [this, request] { comeToAHost(request); });
        auto isRefused = host.suspects.isRefused(request->fingerprint, now);
        properRefusals += isRefused && !request->isCrashing ? 1 : 0;
        if (!isRefused)
            send(request);
    }

    void send(const RequestPointer& request)
    {
        std::vector<size_t> usable;
        for (size_t n = 0; n < upstreams.size(); ++n) {
            auto isTried = std::ranges::find(request->tried, n) != request->tried.end();
            if (upstreams[n].service == request->service && now >= upstreams[n].downUntil && !isTried)
                usable.push_back(n);
        }
        if (usable.empty() || request->attempts >= shape.maxAttempts)
            return comeBack(request);
        auto n = usable[base::uniformIndex(random, usable.size())];
        ++request->attempts;
        request->tried.push_back(n);
        upstreams[n].running.push_back(request);
        if (request->isCrashing)
            crashingArrivals.push_back(now);
        at(runTime, [this, request, n, process = upstreams[n].process] {
            if (upstreams[n].process == process && std::erase(upstreams[n].running, request) > 0)
                runEnds(request, n);
        });
    }

    void runEnds(const RequestPointer& request, size_t upstream)
    {
        if (!request->isCrashing && base::uniform(random) < lostAnswers)
            return loseConnection(request, upstreams[upstream].process);
        if (!request->isCrashing) {
            hosts[request->host]->suspects.addAnswer(request->fingerprint, serviceOf(*request), now);
            return;
        }
        crashes.push_back(now);
        upstreams[upstream].running.push_back(request);
        endUpstream(upstream);
    }

    void endUpstream(size_t n)
    {
        auto& upstream = upstreams[n];
        auto lost = std::exchange(upstream.running, {});
        auto process = std::exchange(upstream.process, nextProcess++);
        upstream.downUntil = now + upstreamRestartTime;
        for (const auto& request : lost)
            lose(request, process);
    }

    /** Resets the connections of a host to all upstreams, which go on running. */
    void resetConnections(size_t host)
    {
        for (auto& upstream : upstreams) {
            auto isOfHost = [host](const auto& it) { return it->host == host; };
            std::vector<RequestPointer> lost;
            std::ranges::copy_if(upstream.running, std::back_inserter(lost), isOfHost);
            std::erase_if(upstream.running, isOfHost);
            for (const auto& request : lost)
                loseConnection(request, upstream.process);
        }
    }

    /** Loses a connection to an upstream that goes on running, which a new connection shows in most cases. */
    void loseConnection(const RequestPointer& request, uint64_t process)
    {
        if (base::uniform(random) < 0.9)
            at(2 * networkDelay, [this, host = request->host, fingerprint = request->fingerprint, process] {
                hosts[host]->suspects.voidLoss(fingerprint, process, now);
            });
        lose(request, process);
    }

    void lose(const RequestPointer& request, uint64_t process)
    {
        auto& host = *hosts[request->host];
        if (!isRunning(host))
            return comeBack(request);
        host.suspects.addLoss(request->fingerprint, process, serviceOf(*request), now);
        announceRefusal(request->host);
        if (host.suspects.isRefused(request->fingerprint, now))
            return comeBack(request);
        send(request);
    }

    void comeBack(const RequestPointer& request)
    {
        if (!request->isCrashing && request->returns-- > 0)
            at(10ms, [this, request] { comeToAHost(request); });
    }

    static std::string serviceOf(const Request& request) { return "service" + std::to_string(request.service); }

    void callCrashing(base::Duration meanPause)
    {
        auto request = std::make_shared<Request>(Request { .fingerprint = crashingRequest, .isCrashing = true });
        request->service = crashingService;
        comeToAHost(request);
        auto pause
            = base::Duration(static_cast<int64_t>(2 * base::uniform(random) * static_cast<double>(meanPause.count())));
        at(pause, [this, meanPause] { callCrashing(meanPause); });
    }

    /** A part of the proper requests are equal to others of that time. */
    void callProper(double perSecond)
    {
        constexpr uint64_t firstPopular = 10;
        constexpr size_t popularRequests = 3;
        auto isPopular = base::uniform(random) < 0.2;
        auto fingerprint = isPopular ? firstPopular + base::uniformIndex(random, popularRequests) : nextFingerprint++;
        auto request = std::make_shared<Request>(Request { .fingerprint = fingerprint });
        request->service = base::uniformIndex(random, shape.services);
        ++properRequests;
        comeToAHost(request);
        at(std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / perSecond)),
            [this, perSecond] { callProper(perSecond); });
    }

    bool isRefusedByAll() const
    {
        return std::ranges::all_of(
            hosts, [this](const auto& it) { return it->suspects.isRefused(crashingRequest, now); });
    }

    /** Returns how often the crashing request reached upstreams when the fleet must have known of it. */
    size_t lateRepeats() const
    {
        if (crashes.size() < CrashSuspects::maxLosses)
            return 0;
        auto from = crashes[CrashSuspects::maxLosses - 1] + learningTime;
        return static_cast<size_t>(std::ranges::count_if(crashingArrivals, [from](auto it) { return it > from; }));
    }
};

}

TEST_GROUP(CrashingRequest) {};

// Guards against a request that ends one upstream on each host it is repeated at, and is refused by none.
TEST(CrashingRequest, RequestThatEndsOneUpstreamOnEachHostIsRefused)
{
    base::TimePoint now { 100s };
    base::Random random { 1 };
    std::array<CrashSuspects, 8> hosts;
    for (size_t n = 0; n < CrashSuspects::maxLosses; ++n) {
        hosts[n].addLoss(7, n, "desk", now);
        for (auto& to : hosts) {
            if (&to != &hosts[n])
                to.merge(hosts[n].notices(random, now), now);
        }
    }
    for (const auto& host : hosts)
        CHECK_TRUE(host.isRefused(7, now));
}

// Guards against hosts that learn too late, or not at all, of what a request has done at others.
TEST(CrashingRequest, RequestIsStoppedInFleetsOfAnySize)
{
    struct Case {
        Shape shape;
        uint64_t seeds;
    };
    for (const auto& it :
        { Case { { .hosts = 6, .maxAttempts = 1 }, 50 }, Case { { .hosts = 8, .maxAttempts = 1 }, 50 },
            Case { { .hosts = 76, .upstreamsPerService = 40, .maxAttempts = 1 }, 4 },
            Case { { .hosts = 195, .upstreamsPerService = 40, .maxAttempts = 1 }, 2 },
            Case { { .hosts = 1600, .domains = 13, .upstreamsPerService = 40, .maxAttempts = 1 }, 1 } }) {
        for (uint64_t seed = 1; seed <= it.seeds; ++seed) {
            SimulatedFleet fleet(it.shape, seed);
            fleet.callCrashing(700ms);
            while (fleet.crashes.size() < CrashSuspects::maxLosses)
                fleet.run(100ms);
            fleet.run(learningTime);
            CHECK_TRUE(fleet.isRefusedByAll());
            CHECK_TRUE(fleet.crashes.size() <= CrashSuspects::maxLosses + allowedRepeats);
        }
    }
}

// Guards against hosts without memory of a request that others refuse: those that start, were cut off, or were frozen.
TEST(CrashingRequest, HostsThatComeBackLearnOfTheRequest)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        SimulatedFleet fleet({ .maxAttempts = 1 }, seed);
        fleet.callCrashing(300ms);
        for (size_t n = 0; n < 30; ++n) {
            auto& host = *fleet.hosts[base::uniformIndex(fleet.random, fleet.hosts.size())];
            auto index = fleet.indexOf.at("peers." + host.name);
            switch (n % 3) {
            case 0:
                fleet.restart(index, 500ms);
                break;
            case 1:
                host.cutUntil = fleet.now + 1500ms;
                break;
            default:
                host.frozenUntil = fleet.now + 1500ms;
            }
            fleet.run(2s);
        }
        CHECK_TRUE(fleet.lateRepeats() <= allowedRepeats);
    }
}

// Guards against a request that is counted anew because a configuration has led it to another service.
TEST(CrashingRequest, RequestThatIsLedToAnotherServiceStaysRefused)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        SimulatedFleet fleet({ .services = 2, .maxAttempts = 1 }, seed);
        fleet.callCrashing(700ms);
        fleet.run(1200ms);
        fleet.crashingService = 1;
        fleet.run(30s);
        CHECK_TRUE(fleet.lateRepeats() <= allowedRepeats);
    }
}

// Guards against refusing proper requests that were in flight at upstreams which a crashing one ended, or whose
// connections were reset, or that were lost together.
TEST(CrashingRequest, ProperRequestsNearAnEndAreServed)
{
    uint64_t requests = 0;
    uint64_t refusals = 0;
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        SimulatedFleet fleet({ .services = 2, .upstreamsPerService = 4 }, seed);
        fleet.lostAnswers = 0.2;
        fleet.callProper(100);
        fleet.callCrashing(700ms);
        for (size_t n = 0; n < 20; ++n) {
            fleet.run(1s);
            fleet.resetConnections(base::uniformIndex(fleet.random, fleet.hosts.size()));
            if (n % 5 == 4) {
                for (size_t upstream : { 1, 3, 6 })
                    fleet.endUpstream(upstream);
            }
        }
        requests += fleet.properRequests;
        refusals += fleet.properRefusals;
        CHECK_TRUE(fleet.lateRepeats() <= allowedRepeats);
    }
    CHECK_TRUE(refusals <= requests / 500);
}
