#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ConnectionChoice.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

using namespace papayabend;
using namespace papayabend::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr auto networkDelay = 1ms;
constexpr auto connectTime = 6ms;
constexpr auto meanWork = 40ms;
constexpr size_t slots = 2;
constexpr size_t queued = 2;
constexpr size_t replicas = 2;
constexpr size_t servicesPerGroup = 10;
constexpr size_t maxUnrun = 5;
// Hosts that share the connections of an upstream, and connections that it accepts from all of them together.
constexpr size_t hostsPerUpstream = 24;
constexpr size_t connectionsPerUpstream = 24;
constexpr double repeatedShare = 0.1;

struct Upstream;

struct Order {
    size_t id { 0 };
    size_t runs { 0 };
    size_t attempts { 0 };
    size_t unrun { 0 };
    std::vector<size_t> tried;
    std::vector<uint64_t> used;
    bool isEnded { false };
    bool isRefused { false };
    base::TimePoint arrivedAt {};
    base::TimePoint endedAt {};
};
using OrderPointer = std::shared_ptr<Order>;

struct Connection {
    ConnectionState state;
    OrderPointer inFlight;
    size_t attempt { 0 }; /**< Number of the attempt in flight; answers to earlier ones come too late. */
    size_t repeatedId { 0 }; /**< Id of a rejection that the upstream will repeat; 0 if there is none. */
    bool closesAfterAnswer { false };
    bool isClosed { false };
};
using ConnectionPointer = std::shared_ptr<Connection>;

struct Upstream {
    size_t present { 0 };
    size_t running { 0 };
    std::vector<std::function<void()>> waiting;
};

/** The connections of one host to one upstream. */
struct Link {
    std::vector<ConnectionPointer> connections;
    std::vector<OrderPointer> waiting;
};

struct Outcome {
    size_t orders { 0 };
    size_t twice { 0 };
    size_t refusedAndRan { 0 };
    size_t refused { 0 };
    size_t attempts { 0 };
    size_t opened { 0 };
    base::Duration total { 0 };
};

/** Orders of a group of hosts to the upstreams whose connections they share, in virtual time. Upstreams that are full
 * reject orders, and repeat some of their rejections on the same connection when the next order arrives there. */
struct Simulation {
    bool avoidsUsed; /**< Attempts avoid the connections of earlier attempts of their order. */
    size_t hosts;
    base::Random random;
    base::TimePoint now { 1000s };
    std::multimap<base::TimePoint, std::function<void()>> events;
    std::vector<Upstream> upstreams { servicesPerGroup * replicas };
    std::map<std::pair<size_t, size_t>, Link> links;
    std::vector<OrderPointer> orders;
    size_t connectionLimit { 1 };
    uint64_t lastConnection { 0 };
    Outcome outcome;

    Simulation(bool avoids, size_t hostCount, uint64_t seed)
        : avoidsUsed(avoids)
        , hosts(hostCount)
        , random(seed)
        , connectionLimit(std::min<size_t>(2 * slots, std::max<size_t>(1, connectionsPerUpstream / hostCount)))
    {
    }

    void at(base::Duration delay, std::function<void()> event) { events.emplace(now + delay, std::move(event)); }

    void end(const OrderPointer& order, bool isRefused)
    {
        order->isEnded = true;
        order->isRefused = isRefused;
        order->endedAt = now;
    }

    void retry(size_t host, const OrderPointer& order)
    {
        if (order->isEnded)
            return;
        if (++order->unrun >= maxUnrun)
            return end(order, true);
        if (order->tried.size() < replicas)
            return tryUpstream(host, order);
        order->tried.clear();
        at(30ms + std::chrono::milliseconds(base::uniformIndex(random, 20)), [=, this] { tryUpstream(host, order); });
    }

    void tryUpstream(size_t host, const OrderPointer& order)
    {
        auto service = order->id % servicesPerGroup;
        std::vector<size_t> left;
        for (size_t n = 0; n < replicas; ++n) {
            if (std::ranges::find(order->tried, service * replicas + n) == order->tried.end())
                left.push_back(service * replicas + n);
        }
        auto upstream = left[base::uniformIndex(random, left.size())];
        order->tried.push_back(upstream);
        links[{ host, upstream }].waiting.push_back(order);
        serve(host, upstream);
    }

    void serve(size_t host, size_t upstream)
    {
        auto& link = links[{ host, upstream }];
        std::erase_if(link.connections, [](const auto& it) { return it->isClosed; });
        for (size_t n = 0; n < link.waiting.size();) {
            std::vector<ConnectionState> states;
            for (const auto& it : link.connections)
                states.push_back(it->state);
            auto order = link.waiting[n];
            auto chosen = chooseConnection(states,
                { true, avoidsUsed ? std::span<const uint64_t>(order->used) : std::span<const uint64_t>() }, now);
            if (!chosen) {
                ++n;
                continue;
            }
            link.waiting.erase(link.waiting.begin() + static_cast<std::ptrdiff_t>(n));
            send(host, upstream, link.connections[*chosen], order);
        }
        if (link.waiting.empty())
            return;
        auto isUnsuitable = [](const auto& it) { return it->state.isIdle; };
        if (link.connections.size() >= connectionLimit)
            if (auto it = std::ranges::find_if(link.connections, isUnsuitable); it != link.connections.end())
                link.connections.erase(it);
        if (link.connections.size() < connectionLimit)
            open(host, upstream);
    }

    void open(size_t host, size_t upstream)
    {
        auto connection = std::make_shared<Connection>();
        connection->state.number = ++lastConnection;
        links[{ host, upstream }].connections.push_back(connection);
        ++outcome.opened;
        at(connectTime, [=, this] {
            connection->state.isIdle = true;
            connection->state.idleSince = now;
            serve(host, upstream);
        });
    }

    void send(size_t host, size_t upstream, const ConnectionPointer& connection, const OrderPointer& order)
    {
        connection->state.isIdle = false;
        connection->inFlight = order;
        auto attempt = ++connection->attempt;
        ++order->attempts;
        order->used.push_back(connection->state.number);
        at(networkDelay, [=, this] { arrive(host, upstream, connection, order, attempt); });
    }

    void arrive(
        size_t host, size_t upstream, const ConnectionPointer& connection, const OrderPointer& order, size_t attempt)
    {
        if (auto repeated = std::exchange(connection->repeatedId, 0))
            at(networkDelay, [=, this] {
                if (repeated == order->id)
                    rejected(host, upstream, connection, order, attempt);
                else
                    connection->closesAfterAnswer = true;
            });
        auto& target = upstreams[upstream];
        if (target.present >= slots + queued) {
            if (base::uniform(random) < repeatedShare)
                connection->repeatedId = order->id;
            at(networkDelay, [=, this] { rejected(host, upstream, connection, order, attempt); });
            return;
        }
        ++target.present;
        auto run = [=, this] {
            ++order->runs;
            ++upstreams[upstream].running;
            auto work = std::chrono::duration_cast<base::Duration>(meanWork * (0.5 + base::uniform(random)));
            at(work, [=, this] { finish(host, upstream, connection, order, attempt); });
        };
        target.running < slots ? run() : target.waiting.push_back(run);
    }

    void finish(
        size_t host, size_t upstream, const ConnectionPointer& connection, const OrderPointer& order, size_t attempt)
    {
        auto& target = upstreams[upstream];
        --target.present;
        --target.running;
        if (!target.waiting.empty()) {
            auto next = target.waiting.front();
            target.waiting.erase(target.waiting.begin());
            next();
        }
        at(networkDelay, [=, this] {
            if (connection->attempt != attempt || connection->inFlight != order)
                return;
            if (!order->isEnded)
                end(order, false);
            release(host, upstream, connection);
        });
    }

    void rejected(
        size_t host, size_t upstream, const ConnectionPointer& connection, const OrderPointer& order, size_t attempt)
    {
        if (connection->attempt != attempt || connection->inFlight != order)
            return;
        release(host, upstream, connection);
        retry(host, order);
    }

    void release(size_t host, size_t upstream, const ConnectionPointer& connection)
    {
        connection->inFlight.reset();
        connection->isClosed = connection->closesAfterAnswer;
        connection->state.isIdle = !connection->isClosed;
        connection->state.idleSince = now;
        serve(host, upstream);
    }

    Outcome run(base::Duration time)
    {
        // Every second half of a second has 1.4 times the load that the upstreams can carry, the other half of it.
        auto capacity = static_cast<double>(upstreams.size() * slots) / std::chrono::duration<double>(meanWork).count();
        for (base::Duration next { 0 }; next < time;) {
            auto order = std::make_shared<Order>();
            order->id = orders.size() + 1;
            order->arrivedAt = now + next;
            orders.push_back(order);
            auto host = base::uniformIndex(random, hosts);
            at(next, [=, this] { tryUpstream(host, order); });
            auto load = next.count() / base::Duration(500ms).count() % 2 == 0 ? 1.4 : 0.5;
            next += std::chrono::duration_cast<base::Duration>(
                std::chrono::duration<double>(2 * base::uniform(random) / (load * capacity)));
        }
        while (!events.empty()) {
            auto event = events.extract(events.begin());
            now = event.key();
            event.mapped()();
        }
        outcome.orders = orders.size();
        for (const auto& order : orders) {
            outcome.twice += order->runs > 1 ? 1 : 0;
            outcome.refused += order->isRefused ? 1 : 0;
            outcome.refusedAndRan += order->isRefused && order->runs > 0 ? 1 : 0;
            outcome.attempts += order->attempts;
            outcome.total += order->endedAt - order->arrivedAt;
        }
        return outcome;
    }
};

/** Plays a fleet of \a hosts in groups that share their upstreams. */
Outcome play(bool avoidsUsed, size_t hosts)
{
    Outcome sum;
    auto groups = (hosts + hostsPerUpstream - 1) / hostsPerUpstream;
    for (size_t n = 0; n < groups; ++n) {
        auto size = hosts / groups + (n < hosts % groups ? 1 : 0);
        auto it = Simulation(avoidsUsed, size, n + 1).run(hosts < 10 ? 8s : hosts < 1000 ? 2s : 400ms);
        sum.orders += it.orders;
        sum.twice += it.twice;
        sum.refusedAndRan += it.refusedAndRan;
        sum.refused += it.refused;
        sum.attempts += it.attempts;
        sum.opened += it.opened;
        sum.total += it.total;
    }
    return sum;
}

}

TEST_GROUP(RepeatedAnswer) { static void print(size_t hosts, const char* which, const Outcome& it) {
    UT_PRINT(StringFromFormat("%zu hosts, %s: %zu orders, twice %zu, refused and ran %zu, refused %zu, attempts %zu, "
                              "connections opened %zu, mean %.2f ms",
        hosts, which, it.orders, it.twice, it.refusedAndRan, it.refused, it.attempts, it.opened,
        std::chrono::duration<double, std::milli>(it.total).count() / static_cast<double>(it.orders)));
}
}
;

// Guards against taking the repetition of an earlier rejection for the answer to an attempt that runs: an order would
// run twice, or be refused although it runs. Proper orders must not be refused or sent more often for it.
TEST(RepeatedAnswer, RejectionOfAnEarlierAttemptProvesNothing)
{
    for (size_t hosts : { 6U, 76U, 195U, 1600U }) {
        auto before = play(false, hosts);
        auto now = play(true, hosts);
        print(hosts, "any connection", before);
        print(hosts, "unused ones", now);
        CHECK_TRUE(before.twice > 0 && before.refusedAndRan > 0);
        LONGS_EQUAL(0, now.twice);
        LONGS_EQUAL(0, now.refusedAndRan);
        CHECK_TRUE(static_cast<double>(now.refused) <= static_cast<double>(before.refused) * 1.02);
        CHECK_TRUE(static_cast<double>(now.attempts) <= static_cast<double>(before.attempts) * 1.02);
    }
}

// Guards against an attempt that is sent where an earlier one of its request was, whichever else is possible.
TEST(RepeatedAnswer, UsedConnectionsAreNotChosen)
{
    base::TimePoint now { 100s };
    std::vector<ConnectionState> connections { { 1, true, now - 10ms, {} }, { 2, true, now - 1ms, {} },
        { 3, false, now, {} }, { 4, true, now - 2s, {} }, { 5, true, now, now - 1ms } };
    std::vector<uint64_t> used { 2 };
    CHECK_EQUAL(1U, chooseConnection(connections, {}, now).value());
    CHECK_EQUAL(0U, chooseConnection(connections, { false, used }, now).value());
    used.push_back(1);
    CHECK_EQUAL(3U, chooseConnection(connections, { false, used }, now).value());
    CHECK_FALSE(chooseConnection(connections, { true, used }, now).has_value());
}
