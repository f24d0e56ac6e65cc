#include "papayabend/gateway/Exchange.h"

#include "gateway/ScriptedUpstream.h"

#include <CppUTest/TestHarness.h>
#include <sstream>
#include <unistd.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

namespace {

using Behaviour = ScriptedUpstream::Behaviour;

routes::Configuration nextConfiguration;

std::optional<routes::Configuration> parseConfiguration(std::string_view, base::LastReason&)
{
    return nextConfiguration;
}

// The value of an upstream's key is "SERVICE ADDRESS".
std::optional<discovery::UpstreamRecord> parseUpstream(std::string_view id, std::string_view value, base::LastReason&)
{
    discovery::UpstreamRecord record;
    record.id = id;
    std::istringstream(std::string(value)) >> record.service >> record.address;
    return record;
}

UpstreamReport parseUpstreamReport(const HttpResponse& answer)
{
    auto number = [&](const char* name) {
        auto text = fieldOf(answer, name);
        return text.empty() ? std::nullopt : std::optional(std::stod(std::string(text)));
    };
    UpstreamReport report { .requestLimit = number("X-Limit"), .isLeaving = number("X-Leaving").has_value() };
    if (auto seconds = number("X-Pause"))
        report.pause = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(*seconds));
    if (auto ratio = number("X-Work"))
        report.statedLoad = { 1, 0, 6, *ratio };
    return report;
}

PlatformAdapter testAdapter()
{
    PlatformAdapter adapter;
    adapter.headers = { "X-Id", "X-Left", "X-Expect", "X-Not-Executed", "X-Proof", "X-Proofs", "X-Missing" };
    adapter.configurationKey = "configuration";
    adapter.upstreamPrefix = "upstreams/";
    adapter.parseConfiguration = parseConfiguration;
    adapter.parseUpstream = parseUpstream;
    adapter.parseUpstreamReport = parseUpstreamReport;
    return adapter;
}

}

TEST_GROUP(Exchange)
{
    boost::asio::io_context io;
    // The context would stop for good once the last upstream has ended.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    PlatformAdapter adapter { testAdapter() };
    EventLog log { {}, "host", STDERR_FILENO };
    GatewayMetrics metrics;
    std::unique_ptr<GatewayState> state;
    std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
    std::vector<StoreItem> items;
    std::shared_ptr<ClientRequest> client;
    std::optional<Answer> answer;

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
        nextConfiguration = {};
        nextConfiguration.version = 1;
    }

    void teardown() override
    {
        client.reset();
        if (state)
            endAll();
    }

    void endAll()
    {
        auto exchanges = state->exchanges;
        for (const auto& [key, weak] : exchanges)
            weak.lock()->endNow();
    }

    ScriptedUpstream& addUpstream(const std::string& service, Behaviour behaviour)
    {
        auto& added = *upstreams.emplace_back(std::make_unique<ScriptedUpstream>(io));
        added.behaviour = behaviour;
        added.signature = "proof" + std::to_string(upstreams.size());
        auto id = "u" + std::to_string(upstreams.size());
        items.push_back({ "upstreams/" + id, service + ' ' + added.address, upstreams.size() + 1, false });
        return added;
    }

    routes::Route& addRoute(const std::string& prefix, bool idempotent)
    {
        auto& route = nextConfiguration.routes.emplace_back();
        route.name = prefix;
        route.host = "shop";
        route.prefix = prefix;
        route.idempotent = idempotent;
        route.maxAttempts = 2;
        route.timeout = 5s;
        route.latencyObjective = 200ms;
        route.destinations = { { "desk", 1 } };
        return route;
    }

    void addFanOut(const std::string& prefix, std::vector<std::string> shards, double minShare)
    {
        auto& route = addRoute(prefix, true);
        route.destinations.clear();
        route.shards = std::move(shards);
        route.maxRecords = 2;
        route.minShardShare = minShare;
    }

    void publish()
    {
        items.push_back({ "configuration", "", 1, false });
        state->content.apply(items, base::BootClock::now());
        for (const auto& [id, entry] : state->content.upstreams().entries())
            state->pool.setMaxConnections(id, 2);
    }

    void begin(const std::string& target, const dispatch::CallerPath& path = {})
    {
        answer.reset();
        client = std::make_shared<ClientRequest>();
        client->message.method(http::verb::get);
        client->message.target(target);
        client->message.set(http::field::host, "shop");
        client->message.set("X-Id", "7");
        client->message.set("X-Left", "4000");
        client->arrivedAt = base::BootClock::now();
        client->path = path;
        client->answer = [this, own = client.get()](const Answer& it) {
            if (own == client.get())
                answer = it;
        };
        Exchange::begin(*state, client);
    }

    // Runs until the request is answered, for 8 s at most; returns the status, or 0 without an answer.
    unsigned runToAnswer()
    {
        auto end = base::BootClock::now() + 8s;
        while (!answer && base::BootClock::now() < end)
            io.run_for(5ms);
        return answer ? answer->status : 0;
    }

    size_t arrivals() const
    {
        size_t sum = 0;
        for (const auto& it : upstreams)
            sum += it->requests.size();
        return sum;
    }

    /** Returns a flag that is set when the gateway closes the connection of the first request that the upstream does
     * not answer. */
    static std::shared_ptr<bool> watchCut(ScriptedUpstream & upstream)
    {
        auto isCut = std::make_shared<bool>(false);
        auto byte = std::make_shared<char>();
        upstream.heldSockets.front()->async_read_some(boost::asio::buffer(byte.get(), 1),
            [isCut, byte](const boost::system::error_code& ec, size_t) { *isCut = bool(ec); });
        return isCut;
    }

    bool isSetWithin(const std::shared_ptr<bool>& flag, base::Duration time)
    {
        auto end = base::BootClock::now() + time;
        while (!*flag && base::BootClock::now() < end)
            io.run_for(5ms);
        return *flag;
    }

    void checkThatEndsCount(Behaviour behaviour)
    {
        addRoute("/look/", true).maxAttempts = 1;
        for (int n = 0; n < 3; ++n) {
            addUpstream("desk", behaviour);
            publish();
            begin("/look/1");
            CHECK_EQUAL(502U, runToAnswer());
        }
        auto& last = addUpstream("desk", Behaviour::Answer);
        publish();
        begin("/look/1");
        CHECK_EQUAL(503U, runToAnswer());
        LONGS_EQUAL(0, last.requests.size());
        begin("/look/other");
        CHECK_EQUAL(200U, runToAnswer());
    }

    void waitForArrival()
    {
        while (arrivals() == 0)
            io.run_for(1ms);
    }
};

// Guards against a planned stop that ends with a request still in flight and drops it without an answer.
TEST(Exchange, RequestInFlightIsAnsweredAtTheEndOfAStop)
{
    addUpstream("desk", Behaviour::Silent);
    addRoute("/order/", false);
    publish();
    begin("/order/1");
    waitForArrival();
    CHECK_FALSE(answer.has_value());
    endAll();
    CHECK_EQUAL(504U, runToAnswer());
    CHECK_TRUE(state->exchanges.empty());
}

// Guards against a request that still waits for a connection when a planned stop ends: it must be refused as not run,
// neither dropped nor reported as possibly run.
TEST(Exchange, UnsentRequestIsRefusedAtTheEndOfAStop)
{
    auto& upstream = addUpstream("desk", Behaviour::Silent);
    addRoute("/order/", false);
    publish();
    state->pool.setMaxConnections("u1", 1);
    begin("/order/1");
    waitForArrival();
    auto first = client;
    begin("/order/2");
    endAll();
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_EQUAL(1U, upstream.requests.size());
}

// Guards against a process that sends a request to an upstream after the end of its planned stop.
TEST(Exchange, RequestAfterTheEndOfAStopIsRefused)
{
    addUpstream("desk", Behaviour::Answer);
    addRoute("/order/", false);
    publish();
    state->endsAt = base::BootClock::now();
    begin("/order/1");
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_EQUAL(0U, arrivals());
}

// Guards against an order that arrives late in the grace time of a planned stop, is passed on, and of which the caller
// does not learn at the end of that time whether it has run.
TEST(Exchange, OrderLateInTheGraceTimeIsRefusedUnsent)
{
    addUpstream("desk", Behaviour::Silent);
    addRoute("/order/", false);
    publish();
    state->endsAt = base::BootClock::now() + 300ms;
    begin("/order/1");
    io.run_for(20ms);
    CHECK_TRUE(answer.has_value());
    CHECK_EQUAL(503U, answer->status);
    CHECK_TRUE(answer->fields.find("Retry-After: ") != std::string::npos);
    CHECK_EQUAL(0U, arrivals());
}

// Guards against callers of a stopping host that wait before they go to another one.
TEST(Exchange, CallersOfAStoppingHostGoToAnotherOneAtOnce)
{
    addUpstream("desk", Behaviour::Answer);
    addRoute("/order/", true);
    publish();
    fleet::Heartbeat other;
    other.name = "other";
    other.stage = fleet::HostStage::Ready;
    other.sequence = 1;
    state->fleet.apply(other, base::BootClock::now());
    state->endsAt = base::BootClock::now() + 100ms;
    begin("/order/1");
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_TRUE(answer->fields.find("Retry-After: 0.01") != std::string::npos);
}

// Guards against a planned stop that turns requests away which it could serve.
TEST(Exchange, RequestEarlyInTheGraceTimeIsServed)
{
    addUpstream("desk", Behaviour::Answer);
    addRoute("/order/", false);
    publish();
    state->endsAt = base::BootClock::now() + 5500ms;
    begin("/order/1");
    CHECK_EQUAL(200U, runToAnswer());
}

// Guards against a host that goes on spending the queues of its upstreams on fan-outs that fail: upstreams without room
// refuse at once, so that such a fan-out ends early.
TEST(Exchange, FanOutsThatUpstreamsTurnAwayCountAsOverload)
{
    addUpstream("s0", Behaviour::Refuse);
    addUpstream("s1", Behaviour::Answer);
    addFanOut("/all/", { "s0", "s1" }, 1);
    publish();
    begin("/all/1");
    CHECK_EQUAL(502U, runToAnswer());
    CHECK_TRUE(state->limiter.isOverloaded("s0"));
    CHECK_TRUE(state->limiter.limit("s0") < 2);
}

// Guards against callers with a long way back whose fan-outs count as slow ones, and stop the hedges of all others: the
// load is measured by the objective of the route, not by what is left of it for this host.
TEST(Exchange, WayBackOfACallerIsNotLoad)
{
    addUpstream("s0", Behaviour::Answer).delay = 80ms;
    addFanOut("/all/", { "s0" }, 1);
    publish();
    for (int n = 0; n < 8; ++n) {
        begin("/all/1", { .roundTrip = 50ms, .isNewConnection = true });
        CHECK_EQUAL(200U, runToAnswer());
    }
    CHECK_FALSE(state->limiter.isOverloaded("s0"));
}

// Guards against upstreams that reset connections and lower the limit of a host that has room.
TEST(Exchange, FanOutsThatLoseConnectionsDoNotCountAsOverload)
{
    addUpstream("s0", Behaviour::ResetAfterRequest);
    addUpstream("s1", Behaviour::Answer);
    addFanOut("/all/", { "s0", "s1" }, 1);
    publish();
    begin("/all/1");
    CHECK_EQUAL(502U, runToAnswer());
    CHECK_FALSE(state->limiter.isOverloaded("s0"));
}

// Guards against a bound of the fleet that does not see the load of fan-outs, or takes lost connections or the way back
// of callers for load, and against places that fan-outs keep after their end.
TEST(Exchange, BoundOfTheFleetFollowsTheLoadOfFanOuts)
{
    state->settings.admission.sharesOverFleet = true;
    addUpstream("full", Behaviour::Refuse);
    addUpstream("reset", Behaviour::ResetAfterRequest);
    addUpstream("slow", Behaviour::Answer).delay = 80ms;
    addFanOut("/full/", { "full" }, 1);
    addFanOut("/reset/", { "reset" }, 1);
    addFanOut("/slow/", { "slow" }, 1);
    publish();
    begin("/reset/1");
    CHECK_EQUAL(502U, runToAnswer());
    CHECK_FALSE(state->admission.isOverloaded("reset"));
    for (int n = 0; n < 8; ++n) {
        begin("/slow/1", { .roundTrip = 50ms, .isNewConnection = true });
        CHECK_EQUAL(200U, runToAnswer());
    }
    CHECK_FALSE(state->admission.isOverloaded("slow"));
    LONGS_EQUAL(1, state->admission.notices(4, base::BootClock::now()).size());
    begin("/full/1");
    runToAnswer();
    CHECK_TRUE(state->admission.isOverloaded("full"));
    CHECK_TRUE(state->admission.limit("full") <= 2);
    CHECK_FALSE(state->limiter.isOverloaded("full"));
}

// Guards against a request that waits for a connection until its deadline. It must be refused at its latency objective,
// so that the client has time to try another host.
TEST(Exchange, RequestThatFindsNoConnectionIsRefusedAtItsObjective)
{
    auto& upstream = addUpstream("desk", Behaviour::Silent);
    addRoute("/order/", false);
    publish();
    state->pool.setMaxConnections("u1", 1);
    begin("/order/1");
    waitForArrival();
    auto first = client;
    begin("/order/2");
    auto before = base::BootClock::now();
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_TRUE(base::BootClock::now() - before < 3s);
    CHECK_EQUAL(1U, upstream.requests.size());
}

// Guards against running a non-idempotent request twice: an upstream that resets the connection may have run it.
TEST(Exchange, NonIdempotentRequestIsNotSentAgainAfterAReset)
{
    addUpstream("desk", Behaviour::ResetAfterRequest);
    addUpstream("desk", Behaviour::ResetAfterRequest);
    addRoute("/order/", false);
    publish();
    begin("/order/1");
    CHECK_EQUAL(502U, runToAnswer());
    CHECK_EQUAL(1U, arrivals());
}

// Guards against failing a non-idempotent request that an upstream refused as not run, although it can be retried.
TEST(Exchange, NonIdempotentRequestIsRetriedIfTheUpstreamHasNotRunIt)
{
    auto& refusing = addUpstream("desk", Behaviour::Refuse);
    addRoute("/order/", false);
    publish();
    begin("/order/1");
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_TRUE(refusing.requests.size() > 1);
    addUpstream("desk", Behaviour::Answer);
    publish();
    begin("/order/1");
    CHECK_EQUAL(200U, runToAnswer());
    STRCMP_EQUAL("whole body", answer->body.c_str());
}

// Guards against taking the repetition of a rejection for the answer to the next attempt, which runs: an order would
// run twice, or be refused although it runs.
TEST(Exchange, RepeatedRejectionOfAnOrderProvesNothing)
{
    auto& upstream = addUpstream("desk", Behaviour::RefuseOnceAndRepeat);
    addRoute("/order/", false);
    publish();
    begin("/order/1");
    CHECK_EQUAL(200U, runToAnswer());
    LONGS_EQUAL(2, upstream.requests.size());
}

// Guards against the same for a request that may be repeated, which would run on more upstreams than its route allows.
TEST(Exchange, RepeatedRejectionDoesNotAddAttempts)
{
    auto& upstream = addUpstream("desk", Behaviour::RefuseOnceAndRepeat);
    addRoute("/look/", true);
    publish();
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
    LONGS_EQUAL(2, upstream.requests.size());
}

// Guards against an idempotent request that waits for a slow upstream although another upstream is idle.
TEST(Exchange, IdempotentRequestIsHedged)
{
    addUpstream("desk", Behaviour::Silent);
    auto& other = addUpstream("desk", Behaviour::Answer);
    addRoute("/look/", true);
    publish();
    for (int n = 0; n < 100; ++n)
        state->budget.addRequest("desk", {}, base::BootClock::now());
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
    CHECK_EQUAL(1U, other.requests.size());
}

// Guards against a merged answer that does not count its missing shards, or does not have the greatest records.
TEST(Exchange, PartialAnswerStatesTheNumberOfMissingShards)
{
    auto record = [](char c) { return std::string(16, c); };
    addUpstream("s1", Behaviour::Answer).body = record('a') + record('c');
    addUpstream("s2", Behaviour::Answer).body = record('b') + "rest";
    addUpstream("s3", Behaviour::Silent);
    addFanOut("/search/", { "s1", "s2", "s3" }, 0.6);
    publish();
    begin("/search/1");
    CHECK_EQUAL(200U, runToAnswer());
    STRCMP_EQUAL((record('c') + record('b')).c_str(), answer->body.c_str());
    CHECK_TRUE(answer->fields.find("X-Missing: 1\r\n") != std::string::npos);
    CHECK_TRUE(answer->fields.find("X-Proofs: proof1, proof2\r\n") != std::string::npos);
}

// Guards against a merged answer from fewer shards than the route requires. The request must fail once too many shards
// have failed.
TEST(Exchange, RequestFailsIfTooFewShardsAnswer)
{
    addUpstream("s1", Behaviour::Answer);
    addUpstream("s2", Behaviour::ResetAfterRequest);
    addFanOut("/search/", { "s1", "s2" }, 0.9);
    publish();
    begin("/search/1");
    CHECK_EQUAL(502U, runToAnswer());
}

// Guards against an upstream that goes on working on an idempotent request after the client has disconnected.
TEST(Exchange, IdempotentAttemptIsCancelledWhenTheClientDisconnects)
{
    auto& upstream = addUpstream("desk", Behaviour::Silent);
    addRoute("/look/", true);
    publish();
    begin("/look/1");
    waitForArrival();
    client->onClientLeft();
    CHECK_TRUE(isSetWithin(watchCut(upstream), 5s));
    CHECK_TRUE(state->exchanges.empty());
}

// Guards against keeping the connection of a request that cannot be repeated for ever when its upstream never answers.
TEST(Exchange, NonIdempotentAttemptIsAbandonedAfterItsDeadline)
{
    auto& upstream = addUpstream("desk", Behaviour::Silent);
    addRoute("/order/", false).timeout = 300ms;
    publish();
    begin("/order/1");
    waitForArrival();
    CHECK_EQUAL(504U, runToAnswer());
    CHECK_TRUE(isSetWithin(watchCut(upstream), 5s));
    upstream.heldSockets.clear();
    begin("/order/2");
    while (upstream.heldSockets.empty())
        io.run_for(1ms);
    client->onClientLeft();
    auto isCut = watchCut(upstream);
    CHECK_FALSE(isSetWithin(isCut, 100ms));
    CHECK_TRUE(isSetWithin(isCut, 5s));
}

// Guards against serving an account beyond its rate limit or without access in the table, and against a rate-limit
// refusal without Retry-After.
TEST(Exchange, TableAppliesToTheAccountOfTheVirtualHost)
{
    auto& upstream = addUpstream("desk", Behaviour::Answer);
    addRoute("/order/", false);
    publish();
    base::LastReason reason;
    auto table = table::parseTable("version,1\naccount,desk,default\nshop,limit=0.01/s,-\n", reason);
    state->table = std::make_shared<const table::Table>(*table);
    begin("/order/1");
    CHECK_EQUAL(200U, runToAnswer());
    begin("/order/2");
    CHECK_EQUAL(429U, runToAnswer());
    CHECK_TRUE(answer->fields.find("Retry-After: ") != std::string::npos);
    table = table::parseTable("version,2\naccount,desk\nshop,-\n", reason);
    state->table = std::make_shared<const table::Table>(*table);
    begin("/order/3");
    CHECK_EQUAL(403U, runToAnswer());
    CHECK_EQUAL(1U, upstream.requests.size());
}

// Guards against sending more to an upstream than the limit that it names, and against a refusal that is held back or
// does not say when to return.
TEST(Exchange, RequestsBeyondTheLimitOfAnUpstreamAreRefusedAtOnce)
{
    auto& upstream = addUpstream("desk", Behaviour::Answer);
    upstream.fields = "X-Limit: 2\r\n";
    addRoute("/look/", true);
    publish();
    for (int n = 0; n < 60; ++n) {
        begin("/look/1");
        auto status = runToAnswer();
        CHECK_TRUE(status == 200 || status == 503);
    }
    CHECK_TRUE(upstream.requests.size() < 10);
    CHECK_EQUAL(503U, answer->status);
    CHECK_TRUE(answer->fields.find("Retry-After: ") != std::string::npos);
    upstream.fields = "";
    state->gate.limits.observe(
        dispatch::UpstreamLimits::keyOf("u1", std::nullopt), std::nullopt, base::BootClock::now());
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
}

// Guards against a fan-out that uses up the limits of some shards although the limits of others do not admit it.
TEST(Exchange, FanOutThatTheLimitsDoNotAdmitReachesNoUpstream)
{
    addUpstream("s1", Behaviour::Answer).fields = "X-Limit: 1\r\n";
    addUpstream("s2", Behaviour::Answer);
    addFanOut("/search/", { "s1", "s2" }, 0.9);
    addFanOut("/partial/", { "s1", "s2" }, 0.5);
    publish();
    begin("/search/1");
    CHECK_EQUAL(200U, runToAnswer());
    begin("/search/2");
    runToAnswer();
    auto before = arrivals();
    begin("/search/3");
    CHECK_EQUAL(503U, runToAnswer());
    LONGS_EQUAL(before, arrivals());
    begin("/partial/4");
    CHECK_EQUAL(200U, runToAnswer());
    CHECK_TRUE(answer->fields.find("X-Missing: 1\r\n") != std::string::npos);
}

// Guards against hedges that take the place of first attempts at an upstream in need.
TEST(Exchange, UpstreamThatNamesALimitGetsNoHedges)
{
    auto& limited = addUpstream("desk", Behaviour::Answer);
    addRoute("/look/", true);
    publish();
    limited.behaviour = Behaviour::Silent;
    addUpstream("desk", Behaviour::Silent);
    publish();
    auto now = base::BootClock::now();
    for (int n = 0; n < 100; ++n)
        state->budget.addRequest("desk", {}, now);
    for (const auto* id : { "u1", "u2" })
        state->gate.limits.observe(dispatch::UpstreamLimits::keyOf(id, std::nullopt), 100, now);
    begin("/look/1");
    CHECK_EQUAL(504U, runToAnswer());
    LONGS_EQUAL(1, arrivals());
}

// Guards against sending requests to an upstream after it has answered that it leaves, whatever the store says.
TEST(Exchange, UpstreamThatLeavesGetsNoFurtherRequests)
{
    auto& leaving = addUpstream("desk", Behaviour::Answer);
    leaving.fields = "X-Leaving: 1\r\n";
    addRoute("/look/", true);
    publish();
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
    begin("/look/2");
    CHECK_EQUAL(503U, runToAnswer());
    auto& other = addUpstream("desk", Behaviour::Answer);
    publish();
    for (int n = 0; n < 5; ++n) {
        begin("/look/3");
        CHECK_EQUAL(200U, runToAnswer());
    }
    LONGS_EQUAL(1, leaving.requests.size());
    LONGS_EQUAL(5, other.requests.size());
}

// Guards against requests to an upstream in the pause that it has asked for, and against a refusal that sends clients
// back before its end.
TEST(Exchange, UpstreamGetsNoRequestsInItsPause)
{
    auto& upstream = addUpstream("desk", Behaviour::Refuse);
    upstream.fields = "X-Pause: 30\r\n";
    addRoute("/look/", true);
    publish();
    for (int n = 0; n < 5; ++n) {
        begin("/look/1");
        CHECK_EQUAL(503U, runToAnswer());
        auto at = answer->fields.find("Retry-After: ");
        CHECK_TRUE(at != std::string::npos && std::stod(answer->fields.substr(at + 13)) > 25);
    }
    LONGS_EQUAL(1, upstream.requests.size());
}

// Guards against a request that waits for a connection to an upstream which has asked for a pause in the meantime.
TEST(Exchange, RequestsThatWaitForAnUpstreamMoveOnWhenItPauses)
{
    auto& pausing = addUpstream("desk", Behaviour::Refuse);
    pausing.fields = "X-Pause: 30\r\n";
    addRoute("/look/", true);
    publish();
    state->pool.setMaxConnections("u1", 1);
    begin("/look/1");
    auto first = client;
    begin("/look/2");
    CHECK_EQUAL(503U, runToAnswer());
    LONGS_EQUAL(1, pausing.requests.size());
}

// Guards against a fan-out that ends one upstream of every shard, is sent to the others, and ends those too.
TEST(Exchange, FanOutThatEndsUpstreamsIsNotSentToTheirReplicas)
{
    std::vector<std::string> shards { "s1", "s2", "s3", "s4", "s5" };
    for (const auto& shard : shards) {
        addUpstream(shard, Behaviour::End).delay = 20ms;
        addUpstream(shard, Behaviour::End).delay = 20ms;
    }
    addFanOut("/search/", shards, 0.6);
    publish();
    begin("/search/1");
    CHECK_EQUAL(502U, runToAnswer());
    auto reached = arrivals();
    // The first two losses may be repeated elsewhere; with the third one the request is refused.
    CHECK_TRUE(reached < shards.size() + dispatch::CrashSuspects::maxLosses);
    begin("/search/1");
    CHECK_EQUAL(503U, runToAnswer());
    CHECK_TRUE(answer->fields.find("Retry-After: ") != std::string::npos);
    LONGS_EQUAL(reached, arrivals());
}

// Guards against a fan-out that loses parts because a failure domain was lost under it: it must reach the replicas once
// another shard has answered.
TEST(Exchange, FanOutIsSentToReplicasAfterTheLossOfAFailureDomain)
{
    std::vector<std::string> shards { "s1", "s2", "s3", "s4", "s5" };
    for (const auto& shard : shards) {
        auto isLost = shard != "s5";
        auto& first = addUpstream(shard, isLost ? Behaviour::End : Behaviour::Answer);
        first.delay = isLost ? 0ms : 50ms;
    }
    addFanOut("/search/", shards, 0.9);
    publish();
    for (int n = 0; n < 100; ++n) {
        for (const auto& shard : shards)
            state->budget.addRequest(shard, {}, base::BootClock::now());
    }
    begin("/search/1");
    for (const auto& shard : shards)
        addUpstream(shard, Behaviour::Answer);
    publish();
    CHECK_EQUAL(200U, runToAnswer());
    CHECK_TRUE(answer->fields.find("X-Missing: 0\r\n") != std::string::npos);
}

// Guards against a request that ends upstreams one after the other.
TEST(Exchange, RequestThatResetsAllConnectionsOfItsUpstreamsIsRefused) { checkThatEndsCount(Behaviour::End); }

// Guards against a request that ends upstreams one after the other because ends in the middle of an answer do not
// count.
TEST(Exchange, RequestThatEndsUpstreamsInTheirAnswerIsRefused) { checkThatEndsCount(Behaviour::EndInAnswer); }

// Guards against an upstream that does not count because the client had its answer, or had left, before it ended.
TEST(Exchange, UpstreamThatEndsAfterTheAnswerCounts)
{
    auto& upstream = addUpstream("desk", Behaviour::End);
    upstream.delay = 200ms;
    addRoute("/order/", false).timeout = 100ms;
    publish();
    begin("/order/1");
    CHECK_EQUAL(504U, runToAnswer());
    io.run_for(300ms);
    auto fingerprint = dispatch::CrashSuspects::fingerprintOf("GET", "shop", "/order/1", "");
    LONGS_EQUAL(1, state->suspects.losses(fingerprint, base::BootClock::now()));
}

// Guards against refusing a request because upstreams that go on running have reset its connections.
TEST(Exchange, ResetByAnUpstreamThatStillRunsDoesNotCount)
{
    for (int n = 0; n < 3; ++n)
        addUpstream("desk", Behaviour::ResetAfterRequest);
    addRoute("/look/", true).maxAttempts = 1;
    publish();
    for (int n = 0; n < 3; ++n) {
        begin("/look/1");
        CHECK_EQUAL(502U, runToAnswer());
        io.run_for(100ms);
    }
    for (const auto& it : upstreams)
        it->behaviour = Behaviour::Answer;
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
}

// Guards against counting an upstream whose connection this host itself has closed.
TEST(Exchange, CancelledAttemptDoesNotCount)
{
    addUpstream("desk", Behaviour::Silent);
    addRoute("/look/", true);
    publish();
    begin("/look/1");
    waitForArrival();
    client->onClientLeft();
    io.run_for(50ms);
    auto fingerprint = dispatch::CrashSuspects::fingerprintOf("GET", "shop", "/look/1", "");
    LONGS_EQUAL(0, state->suspects.losses(fingerprint, base::BootClock::now()));
}

// Guards against a second upstream that a hedge ends together with the first one's retry.
TEST(Exchange, RequestUnderWhichAnUpstreamEndedIsNotHedged)
{
    addUpstream("desk", Behaviour::Silent);
    auto& other = addUpstream("desk", Behaviour::Silent);
    addRoute("/look/", true).timeout = 600ms;
    publish();
    auto now = base::BootClock::now();
    for (int n = 0; n < 100; ++n)
        state->budget.addRequest("desk", {}, now);
    state->suspects.addLoss(dispatch::CrashSuspects::fingerprintOf("GET", "shop", "/look/1", ""), 99, "desk", now);
    begin("/look/1");
    CHECK_EQUAL(504U, runToAnswer());
    LONGS_EQUAL(1, arrivals());
    begin("/look/2");
    CHECK_EQUAL(504U, runToAnswer());
    LONGS_EQUAL(3, arrivals());
    CHECK_TRUE(other.requests.size() > 0);
}

// Guards against an upstream whose answers cannot be used and that is counted as good because of their status, and
// against stated load that does not reach the estimate.
TEST(Exchange, ResultsOfAttemptsReachTheEstimate)
{
    state->settings.routing.learnsCapacity = true;
    auto& unsignedOne = addUpstream("desk", Behaviour::Answer);
    unsignedOne.signature.clear();
    addUpstream("desk", Behaviour::Answer).fields = "X-Work: 2.5\r\n";
    addRoute("/look/", true);
    publish();
    for (int n = 0; n < 4; ++n) {
        begin("/look/1");
        CHECK_EQUAL(200U, runToAnswer());
    }
    CHECK_TRUE(state->pool.load("u1").estimate.failures > 0);
    const auto& good = state->pool.load("u2").estimate;
    CHECK_TRUE(good.attempts > 3);
    DOUBLES_EQUAL(0, good.failures, 0);
    DOUBLES_EQUAL(2.5, *good.stated->workRatio, 0);
    LONGS_EQUAL(0, good.passedOver);
}

// Guards against a choice that changes although the settings do not ask for it.
TEST(Exchange, NothingIsLearnedByDefault)
{
    addUpstream("desk", Behaviour::Answer).fields = "X-Work: 2.5\r\n";
    addRoute("/look/", true);
    publish();
    begin("/look/1");
    CHECK_EQUAL(200U, runToAnswer());
    const auto& estimate = state->pool.load("u1").estimate;
    CHECK_FALSE(estimate.stated.has_value());
    DOUBLES_EQUAL(0, estimate.attempts, 0);
    LONGS_EQUAL(0, estimate.generation);
}
