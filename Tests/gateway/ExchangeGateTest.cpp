#include "papayabend/gateway/Exchange.h"
#include "papayabend/gateway/WaitingAttempts.h"

#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <sstream>
#include <unistd.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

namespace {

using Behaviour = ScriptedUpstream::Behaviour;

routes::Configuration nextConfiguration;

// The value of an upstream's key is "SERVICE ADDRESS FAILURE_DOMAIN", and "draining" if it drains.
std::optional<discovery::UpstreamRecord> parseUpstream(std::string_view id, std::string_view value, base::LastReason&)
{
    discovery::UpstreamRecord record;
    record.id = id;
    std::string state;
    std::istringstream(std::string(value)) >> record.service >> record.address >> record.failureDomain >> state;
    record.isDraining = state == "draining";
    return record;
}

PlatformAdapter testAdapter()
{
    PlatformAdapter adapter {};
    adapter.headers = { "X-Id", "X-Left", "X-Expect", "X-Not-Executed", "X-Proof", "X-Proofs", "X-Missing" };
    adapter.configurationKey = "configuration";
    adapter.upstreamPrefix = "upstreams/";
    adapter.evacuationPrefix = "evacuate/";
    adapter.parseConfiguration
        = [](std::string_view, base::LastReason&) { return std::optional<routes::Configuration>(nextConfiguration); };
    adapter.parseUpstream = parseUpstream;
    adapter.parseEvacuation = [](std::string_view value, base::LastReason&) { return value == "{}"; };
    adapter.parseUpstreamReport = [](const HttpResponse&) { return UpstreamReport(); };
    return adapter;
}

}

/** Requests of callers to upstreams that have one connection each, so that attempts wait. */
TEST_GROUP(ExchangeGate)
{
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    PlatformAdapter adapter { testAdapter() };
    EventLog log { {}, "host", STDERR_FILENO };
    GatewayMetrics metrics;
    std::unique_ptr<GatewayState> state;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::vector<std::shared_ptr<ClientRequest>> clients;
    std::map<std::string, Answer> answers; /**< By target. */
    uint64_t revision { 1 };

    void setup() override
    {
        log.configure({ 0, 0, 0 });
        state.reset(new GatewayState { .io = io,
            .adapter = adapter,
            .settings = {},
            .log = log,
            .metrics = metrics,
            .fleet = fleet::FleetView({}),
            .content = Content(adapter),
            .pool = UpstreamPool(io, "X-Id"),
            .budgetShare = { .startedAt = base::BootClock::now() - 10s },
            .random = base::Random(1) });
        for (int n = 0; n < 100; ++n)
            state->budget.addRequest("desk", {}, base::BootClock::now());
        nextConfiguration = {};
        nextConfiguration.version = 1;
        for (const auto* prefix : { "/look/", "/hold/" }) {
            auto& route = nextConfiguration.routes.emplace_back();
            route.name = prefix;
            route.host = "shop";
            route.prefix = prefix;
            route.idempotent = true;
            route.maxAttempts = route.prefix == "/look/" ? 2 : 1;
            route.timeout = 5s;
            route.latencyObjective = 200ms;
            route.destinations = { { "desk", 1 } };
        }
    }

    void teardown() override
    {
        auto exchanges = state->exchanges;
        for (const auto& [key, weak] : exchanges)
            weak.lock()->endNow();
    }

    void apply(const std::string& key, const std::string& value, bool isRemoved = false)
    {
        state->content.apply(std::vector<StoreItem> { { key, value, ++revision, isRemoved } }, base::BootClock::now());
    }

    void publish() { apply("configuration", ""); }

    void list(size_t n, const std::string& rest)
    {
        auto id = "u" + std::to_string(n);
        apply("upstreams/" + id,
            rest.substr(0, rest.find(' ')) + ' ' + upstreams[n - 1]->address + rest.substr(rest.find(' ')));
        state->pool.setMaxConnections(id, 1);
    }

    ScriptedUpstream& addUpstream(Behaviour behaviour, const std::string& domain, const std::string& service = "desk")
    {
        auto& added = *upstreams.emplace_back(std::make_unique<ScriptedUpstream>(io));
        added.behaviour = behaviour;
        added.signature = "proof" + std::to_string(upstreams.size());
        list(upstreams.size(), service + ' ' + domain);
        return added;
    }

    void begin(const std::string& target)
    {
        auto client = std::make_shared<ClientRequest>();
        client->message.method(http::verb::get);
        client->message.target(target);
        client->message.set(http::field::host, "shop");
        client->message.set("X-Id", "7");
        client->message.set("X-Left", "4000");
        client->arrivedAt = base::BootClock::now();
        client->answer = [this, target](const Answer& it) { answers[target] = it; };
        clients.push_back(client);
        Exchange::begin(*state, client);
    }

    template <typename Condition> bool runUntil(Condition condition, base::Duration time = 4s)
    {
        auto end = base::BootClock::now() + time;
        while (!condition() && base::BootClock::now() < end)
            io.run_for(1ms);
        return condition();
    }

    unsigned statusOf(const std::string& target)
    {
        runUntil([&] { return answers.contains(target); }, 8s);
        return answers.contains(target) ? answers[target].status : 0;
    }

    static size_t arrivals(const ScriptedUpstream& upstream, const std::string& target)
    {
        return static_cast<size_t>(std::ranges::count_if(
            upstream.requests, [&](const auto& it) { return it.find("GET " + target + ' ') == 0; }));
    }

    size_t arrivals(const std::string& target) const
    {
        size_t sum = 0;
        for (const auto& it : upstreams)
            sum += arrivals(*it, target);
        return sum;
    }

    /** Has upstream \a n answer the request that it holds, so that its connection becomes free. */
    void release(ScriptedUpstream & upstream)
    {
        upstream.behaviour = Behaviour::Answer;
        auto held = std::exchange(upstream.heldSockets, {});
        for (const auto& socket : held)
            upstream.react(socket);
    }

    /** Begins a request that occupies the only connection of the newest upstream, while all others are busy or held. */
    void occupy(ScriptedUpstream & upstream, const std::string& target)
    {
        begin(target);
        CHECK_TRUE(runUntil([&] { return !upstream.heldSockets.empty(); }));
    }

    size_t waiting(const char* id) { return state->pool.load(id).waiting; }
};

// Guards against a hedge that waits for a connection to an upstream which drains meanwhile, and reaches it when one
// becomes free (4.7 s after the acknowledgement of the store).
TEST(ExchangeGate, WaitingHedgeIsNotSentToADrainingUpstream)
{
    publish();
    auto& draining = addUpstream(Behaviour::Silent, "d1");
    occupy(draining, "/hold/1");
    addUpstream(Behaviour::Silent, "d1");
    begin("/look/2");
    CHECK_TRUE(runUntil([&] { return waiting("u1") == 1; }));
    list(1, "desk d1 draining");
    release(draining);
    CHECK_EQUAL(200U, statusOf("/hold/1"));
    io.run_for(100ms);
    LONGS_EQUAL(0, arrivals(draining, "/look/2"));
    LONGS_EQUAL(1, arrivals("/look/2"));
}

// Guards against a hedge that goes to a cold upstream as an ordinary attempt after it has waited too long elsewhere.
TEST(ExchangeGate, HedgeThatWaitedTooLongGoesToNoColdUpstream)
{
    nextConfiguration.coldRequestsPerSecond["desk"] = 100;
    publish();
    auto& busy = addUpstream(Behaviour::Silent, "d1");
    occupy(busy, "/hold/1");
    auto& first = addUpstream(Behaviour::Silent, "d1");
    auto& cold = addUpstream(Behaviour::Answer, "d2");
    state->gate.cold.observe(dispatch::UpstreamLimits::keyOf("u3", std::nullopt), 10s, base::BootClock::now());
    begin("/look/2");
    CHECK_TRUE(runUntil([&] { return waiting("u1") == 1; }));
    io.run_for(300ms);
    LONGS_EQUAL(0, cold.requests.size());
    release(first);
    CHECK_EQUAL(200U, statusOf("/look/2"));
    release(busy);
}

// Guards against a request that is sent by what was known before a pause of the process, if a connection is free before
// anything else notices the pause.
TEST(ExchangeGate, PauseIsNoticedAtTheSend)
{
    publish();
    auto& only = addUpstream(Behaviour::Silent, "d1");
    occupy(only, "/hold/1");
    begin("/look/2");
    LONGS_EQUAL(1, waiting("u1"));
    state->checkPause = [this](base::TimePoint) { state->isStale = true; };
    release(only);
    CHECK_EQUAL(200U, statusOf("/hold/1"));
    io.run_for(100ms);
    LONGS_EQUAL(0, arrivals("/look/2"));
    state->checkPause = nullptr;
    state->isStale = false;
}

// Guards against attempts that go on waiting for an upstream to which they will not be sent.
TEST(ExchangeGate, AttemptsThatWaitForADrainingUpstreamEndAtOnce)
{
    publish();
    auto& draining = addUpstream(Behaviour::Silent, "d1");
    occupy(draining, "/hold/1");
    begin("/look/2");
    LONGS_EQUAL(1, waiting("u1"));
    auto& other = addUpstream(Behaviour::Answer, "d1");
    endWaitingForClosed(*state, base::BootClock::now());
    LONGS_EQUAL(1, waiting("u1"));
    list(1, "desk d1 draining");
    endWaitingForClosed(*state, base::BootClock::now());
    LONGS_EQUAL(0, waiting("u1"));
    CHECK_EQUAL(200U, statusOf("/look/2"));
    LONGS_EQUAL(1, arrivals(other, "/look/2"));
    LONGS_EQUAL(0, state->pool.load("u1").consecutiveFailures);
}

// Guards against a request that runs on three upstreams where two are allowed: a hedge waits for a connection while the
// first attempt is lost and retried, and both are sent.
TEST(ExchangeGate, LossBesideAWaitingHedgeAddsNoAttempt)
{
    publish();
    auto& second = addUpstream(Behaviour::Silent, "d1");
    occupy(second, "/hold/1");
    auto& third = addUpstream(Behaviour::Silent, "d1");
    occupy(third, "/hold/2");
    auto& first = addUpstream(Behaviour::Silent, "d1");
    begin("/look/3");
    CHECK_TRUE(runUntil([&] { return waiting("u1") + waiting("u2") == 1; }));
    LONGS_EQUAL(1, arrivals(first, "/look/3"));
    boost::system::error_code ec;
    first.heldSockets.front()->set_option(boost::asio::socket_base::linger(true, 0), ec);
    first.heldSockets.front()->close(ec);
    io.run_for(10ms);
    second.behaviour = Behaviour::Silent;
    for (auto* it : { &second, &third }) {
        auto held = std::exchange(it->heldSockets, {});
        it->behaviour = Behaviour::Answer;
        it->react(held.front());
        it->behaviour = Behaviour::Silent;
    }
    io.run_for(300ms);
    LONGS_EQUAL(2, arrivals("/look/3"));
}

// Guards against a waiting hedge that is sent after its request has been answered.
TEST(ExchangeGate, WaitingHedgeEndsWithTheAnswer)
{
    publish();
    auto& busy = addUpstream(Behaviour::Silent, "d1");
    occupy(busy, "/hold/1");
    auto& first = addUpstream(Behaviour::Silent, "d1");
    begin("/look/2");
    CHECK_TRUE(runUntil([&] { return waiting("u1") == 1; }));
    release(first);
    CHECK_EQUAL(200U, statusOf("/look/2"));
    LONGS_EQUAL(0, waiting("u1"));
    release(busy);
    io.run_for(50ms);
    LONGS_EQUAL(0, arrivals(busy, "/look/2"));
}

// Guards against retry budget that is used up by attempts that are never sent.
TEST(ExchangeGate, AttemptsThatAreNotSentUseNoRetryBudget)
{
    publish();
    auto& busy = addUpstream(Behaviour::Silent, "d1");
    occupy(busy, "/hold/1");
    auto& first = addUpstream(Behaviour::Silent, "d1");
    auto left = [&] { return state->budget.remaining("desk", {}, 0, base::BootClock::now()); };
    begin("/look/2");
    auto before = left();
    CHECK_TRUE(runUntil([&] { return waiting("u1") == 1; }));
    release(first);
    CHECK_EQUAL(200U, statusOf("/look/2"));
    DOUBLES_EQUAL(before, left(), 0.001);
}

// Guards against a request that waits, or reaches the last upstream of its service, although the operator has asked to
// send nothing there; and against a refusal that does not lead to the evacuation.
TEST(ExchangeGate, LastUpstreamOfAnEvacuatedFailureDomainGetsNothing)
{
    publish();
    auto& upstream = addUpstream(Behaviour::Answer, "d1");
    begin("/look/1");
    CHECK_EQUAL(200U, statusOf("/look/1"));
    apply("evacuate/d1", "{}");
    begin("/look/2");
    CHECK_TRUE(answers.contains("/look/2"));
    CHECK_EQUAL(503U, statusOf("/look/2"));
    CHECK_TRUE(answers["/look/2"].body.find("evacuated failure domains: d1") != std::string::npos);
    CHECK_TRUE(answers["/look/2"].fields.find("Retry-After: ") != std::string::npos);
    LONGS_EQUAL(1, upstream.requests.size());
}

// Guards against waiting attempts, retries or hedges that reach an evacuated failure domain, and against cutting off
// what runs there.
TEST(ExchangeGate, EvacuationEndsWaitingAttemptsAndLetsRunningOnesEnd)
{
    publish();
    auto& upstream = addUpstream(Behaviour::Silent, "d1");
    occupy(upstream, "/hold/1");
    begin("/look/2");
    LONGS_EQUAL(1, waiting("u1"));
    apply("evacuate/d1", "{}");
    endWaitingForClosed(*state, base::BootClock::now());
    CHECK_TRUE(answers.contains("/look/2"));
    CHECK_EQUAL(503U, statusOf("/look/2"));
    CHECK_TRUE(answers["/look/2"].body.find("evacuated failure domains: d1") != std::string::npos);
    release(upstream);
    CHECK_EQUAL(200U, statusOf("/hold/1"));
    LONGS_EQUAL(1, upstream.requests.size());
}

// Guards against a fan-out that waits for shards whose upstreams are all evacuated, instead of answering without them.
TEST(ExchangeGate, FanOutIsAnsweredWithoutEvacuatedShards)
{
    auto& route = nextConfiguration.routes.emplace_back(nextConfiguration.routes.front());
    route.name = route.prefix = "/search/";
    route.destinations.clear();
    route.shards = { "s1", "s2" };
    route.maxRecords = 2;
    route.minShardShare = 0.5;
    publish();
    addUpstream(Behaviour::Answer, "d1", "s1");
    auto& evacuated = addUpstream(Behaviour::Answer, "d2", "s2");
    apply("evacuate/d2", "{}");
    begin("/search/1");
    CHECK_EQUAL(200U, statusOf("/search/1"));
    CHECK_TRUE(answers["/search/1"].fields.find("X-Missing: 1\r\n") != std::string::npos);
    apply("evacuate/d1", "{}");
    begin("/search/2");
    CHECK_TRUE(answers.contains("/search/2"));
    CHECK_EQUAL(503U, statusOf("/search/2"));
    CHECK_TRUE(answers["/search/2"].body.find("evacuated failure domains: d1, d2") != std::string::npos);
    LONGS_EQUAL(0, evacuated.requests.size());
}

// Guards against all requests that return to a failure domain at once after its evacuation, and against refusing
// requests during the ramp although no other upstream is left.
TEST(ExchangeGate, RequestsReturnByAndByAfterAnEvacuation)
{
    publish();
    auto& returning = addUpstream(Behaviour::Answer, "d1");
    auto& other = addUpstream(Behaviour::Answer, "d2");
    apply("evacuate/d1", "{}");
    apply("evacuate/d1", "", true);
    for (int n = 0; n < 20; ++n) {
        begin("/look/" + std::to_string(n));
        CHECK_EQUAL(200U, statusOf("/look/" + std::to_string(n)));
    }
    CHECK_TRUE(returning.requests.size() < 5);
    CHECK_TRUE(other.requests.size() >= 15);
    apply("evacuate/d2", "{}");
    begin("/look/last");
    CHECK_EQUAL(200U, statusOf("/look/last"));
    LONGS_EQUAL(1, arrivals(returning, "/look/last"));
}

// Guards against a cold upstream that gets more than its service states, and against a refusal that is held back or
// does not say when to return.
TEST(ExchangeGate, ColdUpstreamGetsWhatItsServiceStates)
{
    nextConfiguration.coldRequestsPerSecond["desk"] = 8;
    publish();
    auto& upstream = addUpstream(Behaviour::Answer, "d1");
    auto key = dispatch::UpstreamLimits::keyOf("u1", std::nullopt);
    state->gate.cold.observe(key, 10s, base::BootClock::now());
    auto allowed = dispatch::coldAllotment({ .perSecond = 8 }, 1, key, "");
    CHECK_TRUE(allowed >= 4 && allowed <= 8);
    for (uint32_t n = 0; n < 10; ++n) {
        begin("/look/" + std::to_string(n));
        CHECK_EQUAL(n < allowed ? 200U : 503U, statusOf("/look/" + std::to_string(n)));
    }
    CHECK_TRUE(answers["/look/9"].fields.find("Retry-After: ") != std::string::npos);
    LONGS_EQUAL(allowed, upstream.requests.size());
    io.run_for(1100ms);
    begin("/look/later");
    CHECK_EQUAL(200U, statusOf("/look/later"));
    state->gate.cold.observe(key, 0s, base::BootClock::now());
    for (int n = 0; n < 5; ++n) {
        begin("/look/warm" + std::to_string(n));
        CHECK_EQUAL(200U, statusOf("/look/warm" + std::to_string(n)));
    }
}

// Guards against hedges to a cold upstream, which would take the place of first attempts.
TEST(ExchangeGate, ColdUpstreamGetsNoHedges)
{
    nextConfiguration.coldRequestsPerSecond["desk"] = 100;
    publish();
    auto& first = addUpstream(Behaviour::Silent, "d1");
    begin("/look/1");
    CHECK_TRUE(runUntil([&] { return !first.heldSockets.empty(); }));
    auto& cold = addUpstream(Behaviour::Answer, "d1");
    state->gate.cold.observe(dispatch::UpstreamLimits::keyOf("u2", std::nullopt), 10s, base::BootClock::now());
    io.run_for(300ms);
    LONGS_EQUAL(0, cold.requests.size());
    release(first);
    CHECK_EQUAL(200U, statusOf("/look/1"));
}
