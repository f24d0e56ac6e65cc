#include "papayabend/engine/QuarantineExchange.h"

#include "papayabend/engine/ServingHosts.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace papayabend;
using namespace std::chrono_literals;

TEST_GROUP(QuarantineExchange)
{
    engine::SharedState shared { 1, { .name = "h0" } };
    engine::QuarantineExchange exchange { shared };
    base::TimePoint now { 1h };

    void publish(size_t hosts, uint32_t connectionLimit)
    {
        membership::HostView view;
        for (size_t n = 0; n < hosts; ++n) {
            auto name = "h" + std::to_string(n);
            view.hosts.push_back({ .name = name,
                .peerAddress = "peer-" + name,
                .failureDomain = n % 2 ? "seeb" : "ruwi",
                .state = membership::HostState::Serving });
        }
        std::ranges::sort(view.hosts, {}, &membership::HostObservation::name);
        shared.hostView.publish(std::make_shared<const membership::HostView>(view));
        catalog::Catalog catalog { .version = 1 };
        auto id = shared.upstreamNames.intern("u0");
        catalog.upstreams.push_back({ .id = id, .name = "u0", .connectionLimit = connectionLimit });
        catalog.services.push_back({ "faturas", catalog::ServiceKind::Pooled, {}, { id } });
        shared.catalog.publish(std::make_shared<const catalog::Catalog>(catalog));
    }

    std::multiset<std::string> receivers(const engine::Actions& actions)
    {
        std::multiset<std::string> addresses;
        for (const auto& action : actions) {
            const auto& message = std::get<engine::SendPeerMessage>(action);
            LONGS_EQUAL(7, message.message.quarantine.at(0).fingerprint);
            addresses.insert(message.peerAddress);
        }
        return addresses;
    }
};

// Guards against a crashing request that is resent through another host which has not received the notice.
TEST(QuarantineExchange, NoticeIsSentToAllOtherHostsAtOnce)
{
    publish(4, 25);
    shared.quarantineNotices.push({ "faturas", { .fingerprint = 7, .crashes = 1 } });
    CHECK((receivers(exchange.sendPending(now)) == std::multiset<std::string> { "peer-h1", "peer-h2", "peer-h3" }));
    CHECK(exchange.sendPending(now).empty());
}

// Guards against a notice that is lost because one message was lost, and against repeats that never end.
TEST(QuarantineExchange, NoticeIsRepeatedTwice)
{
    publish(2, 25);
    shared.quarantineNotices.push({ "faturas", { .fingerprint = 7, .crashes = 1 } });
    exchange.sendPending(now);
    LONGS_EQUAL(0, exchange.tick(now + 500ms).size());
    LONGS_EQUAL(1, exchange.tick(now + 1s).size());
    LONGS_EQUAL(1, exchange.tick(now + 2s).size());
    LONGS_EQUAL(0, exchange.tick(now + 1h).size());
}

// Guards against a host that starts, or comes back from a partition, after the repeats of a notice and never learns of
// it.
TEST(QuarantineExchange, HostThatStartsLaterIsTold)
{
    publish(2, 25);
    exchange.tick(now);
    shared.quarantineNotices.push({ "faturas",
        { .fingerprint = 7, .crashes = 2, .isQuarantined = true, .validityUs = 60'000'000, .lostUpstream = 3 } });
    exchange.sendPending(now);
    exchange.tick(now + 1s);
    exchange.tick(now + 2s);
    publish(3, 25);
    CHECK((receivers(exchange.tick(now + 20s)) == std::multiset<std::string> { "peer-h2" }));
    CHECK(exchange.tick(now + 21s).empty());
    publish(2, 25);
    exchange.tick(now + 22s);
    publish(3, 25);
    auto actions = exchange.tick(now + 30s);
    CHECK((receivers(actions) == std::multiset<std::string> { "peer-h2" }));
    const auto& told = std::get<engine::SendPeerMessage>(actions.front()).message.quarantine.at(0);
    CHECK(told.isQuarantined && told.validityUs <= 30'000'000);
    publish(4, 25);
    CHECK(exchange.tick(now + 61s).empty());
}

// Guards against a quarantine that is forgotten when the host that has found it fails.
TEST(QuarantineExchange, ReceivedNoticeIsPassedOnToHostsThatStartLater)
{
    publish(2, 25);
    exchange.tick(now);
    exchange.applyReceived(
        { { .fingerprint = 7, .crashes = 2, .isQuarantined = true, .validityUs = 60'000'000, .lostUpstream = 3 } },
        now);
    publish(3, 25);
    CHECK((receivers(exchange.tick(now + 20s)) == std::multiset<std::string> { "peer-h2" }));
}

// Guards against sending notices to all hosts of a large fleet, at a cost that grows with the fleet.
TEST(QuarantineExchange, NoticeIsSentOnlyWithinServingSet)
{
    publish(400, 25);
    LONGS_EQUAL(22, engine::servingHosts(shared, "faturas").size());
    shared.quarantineNotices.push({ "faturas", { .fingerprint = 7, .crashes = 1 } });
    CHECK(receivers(exchange.sendPending(now)).size() <= 22);
    CHECK(engine::servingHosts(shared, "unknown").empty());
}

// Guards against a host that ignores the quarantine received from another host.
TEST(QuarantineExchange, ReceivedQuarantineIsApplied)
{
    exchange.applyReceived({ { .fingerprint = 7, .crashes = 2, .isQuarantined = true, .validityUs = 1'000'000 } }, now);
    CHECK(shared.routing.quarantine.isQuarantined(7, now + 500ms));
    CHECK_FALSE(shared.routing.quarantine.isQuarantined(8, now));
}
