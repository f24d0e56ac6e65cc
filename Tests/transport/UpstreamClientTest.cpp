#include "papayabend/transport/UpstreamClient.h"
#include "standin/UpstreamServer.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

using namespace papayabend;
using routing::AttemptStatus;

TEST_GROUP(UpstreamClient)
{
    standin::StandinSettings settings;
    std::unique_ptr<standin::UpstreamServer> server;
    standin::Deployment deployment;
    std::unique_ptr<transport::UpstreamClient> client;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<routing::AttemptId, std::vector<routing::AttemptResult>> results;
    base::LastReason reason;

    void setup() override
    {
        settings.scalePercent = 10;
        settings.upstreams.serviceTime = std::chrono::milliseconds(1);
    }

    void start(settings::UpstreamSettings upstreams = {})
    {
        server = std::make_unique<standin::UpstreamServer>(settings);
        deployment = server->deployment();
        client = std::make_unique<transport::UpstreamClient>(
            upstreams, [this](const routing::AttemptResult& result, base::Duration) {
                std::scoped_lock lock(mutex);
                results[result.attempt].push_back(result);
                changed.notify_all();
            });
    }

    routing::Attempt search(routing::AttemptId id, std::chrono::milliseconds time = std::chrono::seconds(20))
    {
        routing::Attempt attempt;
        attempt.id = id;
        attempt.address = deployment.upstreams[0].address;
        attempt.service = "fitting-desk";
        attempt.shard = "s0";
        attempt.snapshot = 1;
        attempt.body = "query";
        attempt.maxHits = 3;
        attempt.deadline = base::BootClock::now() + time;
        return attempt;
    }

    routing::Attempt execution(routing::AttemptId id, const std::string& body)
    {
        auto attempt = search(id);
        auto it = std::ranges::find(deployment.upstreams, "depot-counter-0", &standin::UpstreamShape::name);
        attempt.address = it->address;
        attempt.service = "depot-counter";
        attempt.shard.clear();
        attempt.snapshot = 0;
        attempt.isExecution = true;
        attempt.body = body;
        return attempt;
    }

    AttemptStatus statusOf(routing::AttemptId id)
    {
        std::unique_lock lock(mutex);
        CHECK(changed.wait_for(lock, std::chrono::seconds(60), [&] { return !results[id].empty(); }));
        return results[id].front().status;
    }

    void checkStatus(AttemptStatus expected, routing::AttemptId id)
    {
        STRCMP_EQUAL(std::string(toString(expected)).c_str(), std::string(toString(statusOf(id))).c_str());
    }

    void change(const std::string& json) { CHECK(server->change("", json, reason) > 0); }

    void waitFor(const std::function<bool()>& isTrue)
    {
        auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!isTrue() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        CHECK(isTrue());
    }

    void connectAll(size_t connectionsPerUpstream = 1)
    {
        catalog::UpstreamNames names;
        auto catalog = catalog::parseCatalog(standin::catalogOf(deployment), names, reason);
        CHECK(catalog.has_value());
        client->connect(*catalog);
        waitFor([&] {
            auto all = client->connections();
            return std::ranges::all_of(all, [&](const auto& it) { return it.second.ready == connectionsPerUpstream; });
        });
    }
};

// Guards against a query that has to open its connections first, and against more connections than the settings allow.
TEST(UpstreamClient, ConnectionsAreOpenedInAdvanceAndBounded)
{
    start({ .connectionsPerUpstream = 2 });
    connectAll(2);
    for (routing::AttemptId id = 1; id <= 50; ++id)
        client->send(search(id));
    for (routing::AttemptId id = 1; id <= 50; ++id)
        checkStatus(AttemptStatus::Ran, id);
    waitFor([&] {
        auto all = server->connections();
        return std::ranges::all_of(all, [](const auto& it) { return it.second == 2; });
    });
}

// Guards against a request that reached no upstream being reported as possibly executed.
TEST(UpstreamClient, RefusedConnectionIsNotSent)
{
    start();
    change(R"({ "down": true })");
    client->send(execution(1, "order"));
    checkStatus(AttemptStatus::NotSent, 1);
    LONGS_EQUAL(0, server->executions().size());
}

// Guards against a request that ran on a lost upstream being reported as not sent, after which it may run twice.
TEST(UpstreamClient, CrashDuringCallIsConnectionLost)
{
    start();
    connectAll();
    client->send(execution(1, "crash-upstream"));
    checkStatus(AttemptStatus::ConnectionLost, 1);
    LONGS_EQUAL(1, server->executions()["crash-upstream"]);
    LONGS_EQUAL(1, results[1].size());
}

// Guards against an error status from the upstream being reported as a crash.
TEST(UpstreamClient, UpstreamErrorIsNotConnectionLost)
{
    settings.upstreams.failureShare = 1;
    start();
    connectAll();
    client->send(search(1));
    checkStatus(AttemptStatus::Failed, 1);
}

// Guards against a call that outlives its deadline, and against the deadline not reaching the upstream.
TEST(UpstreamClient, DeadlineEndsTheCall)
{
    settings.upstreams.serviceTime = std::chrono::hours(1);
    start();
    connectAll();
    auto attempt = execution(1, "late");
    attempt.deadline = base::BootClock::now() + std::chrono::milliseconds(100);
    client->send(attempt);
    checkStatus(AttemptStatus::TimedOut, 1);
    for (routing::AttemptId id = 2; id < 8; ++id)
        client->send(execution(id, "later " + std::to_string(id)));
    // The upstream has 6 slots, so all 6 later requests run only if the upstream has ended the one that timed out.
    waitFor([&] { return server->executions().size() == 7; });
}

// Guards against a cancelled attempt that keeps its slot on the upstream.
TEST(UpstreamClient, CancellationFreesTheSlot)
{
    settings.upstreams.serviceTime = std::chrono::hours(1);
    start();
    connectAll();
    client->send(execution(1, "first"));
    waitFor([&] { return server->executions().contains("first"); });
    client->cancel(1);
    checkStatus(AttemptStatus::Cancelled, 1);
    for (routing::AttemptId id = 2; id < 8; ++id)
        client->send(execution(id, "later " + std::to_string(id)));
    // The upstream has 6 slots, so all 6 later requests run only if the slot of the cancelled one was freed.
    waitFor([&] { return server->executions().size() == 7; });
}

// Guards against work being sent over a connection that ended, and against one that is not opened again.
TEST(UpstreamClient, ConnectionIsOpenedAgainAfterACrash)
{
    settings.upstreams.restart = std::chrono::milliseconds(50);
    start();
    connectAll();
    CHECK(server->crash(deployment.upstreams[0].name));
    routing::AttemptId id = 0;
    waitFor([&] {
        client->send(search(++id));
        return statusOf(id) == AttemptStatus::Ran;
    });
}

// Guards against a refusal by the upstream being reported as if the request had run.
TEST(UpstreamClient, UpstreamRefusalsAreDistinguished)
{
    start();
    connectAll();
    auto attempt = search(1);
    attempt.snapshot = 9;
    client->send(attempt);
    checkStatus(AttemptStatus::SnapshotUnavailable, 1);
    attempt = search(2);
    attempt.shard = "s99";
    client->send(attempt);
    checkStatus(AttemptStatus::UnknownShard, 2);
    change(R"({ "draining": true })");
    client->send(search(3));
    checkStatus(AttemptStatus::Draining, 3);
}
