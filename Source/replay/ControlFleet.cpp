#include "replay/ControlFleet.h"

#include <algorithm>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayabend::replay {

namespace {

    using namespace std::chrono_literals;

    constexpr base::Duration tickInterval = 100ms;
    constexpr base::Duration platformDelay = 2ms;
    constexpr base::Duration platformTimeout = 1s;
    constexpr size_t traceLength = 60;

    uint64_t processorTime()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<uint64_t>(time.tv_sec) * 1'000'000'000 + static_cast<uint64_t>(time.tv_nsec);
    }

}

ControlFleet::ControlFleet(const ControlFleetSettings& settings)
    : hosts(settings.hosts)
    , m_settings(settings)
    , m_random(settings.seed)
    , m_now(1000s)
    , m_begin(m_now)
{
    std::vector<std::string> seeds;
    for (size_t n = 0; n < settings.hosts; ++n) {
        auto domain = n % settings.domains;
        auto address = "10." + std::to_string(domain) + "." + std::to_string(n / 250) + "." + std::to_string(n % 250);
        hosts[n].identity = { "host-" + std::to_string(n), address + ":8080", address + ":8090",
            "domain-" + std::to_string(domain), "region-" + std::to_string(domain % settings.regions), 0, {} };
        m_addresses[hosts[n].identity.peerAddress] = n;
        if (n < settings.domains * settings.seedsPerDomain)
            seeds.push_back(hosts[n].identity.peerAddress);
    }
    for (auto& host : hosts)
        host.identity.seeds = seeds;
    publishText("table", 1, tableText(1, 0));
    publishText("catalog", 1, catalogText(1, 0));
    m_hostList = hostListText();
}

std::string ControlFleet::tableText(uint64_t version, uint64_t changed) const
{
    auto text = "version," + std::to_string(version) + "\naccount,search,orders\n";
    for (size_t n = 0; n < m_settings.accounts; ++n) {
        auto weight = n == changed % m_settings.accounts ? 1 + version % 900 : 1;
        text += "account-" + std::to_string(n) + ",weight=" + std::to_string(weight) + " limit=200/s,weight=2\n";
    }
    return text;
}

std::string ControlFleet::catalogText(uint64_t version, uint64_t changed) const
{
    using Json = nlohmann::ordered_json;
    Json upstreams = Json::array();
    Json shards = Json::array();
    for (size_t n = 0; n < m_settings.upstreams; ++n) {
        auto name = "u" + std::to_string(n);
        upstreams.push_back({ { "name", name }, { "address", "10.99." + std::to_string(n) },
            { "failureDomain", "domain-" + std::to_string(n % m_settings.domains) },
            { "slots", n == changed % m_settings.upstreams ? 1 + version % 900 : 2 }, { "connectionLimit", 25 } });
        if (n % 2 == 1)
            shards.push_back({ { "name", "s" + std::to_string(n / 2) }, { "units", 1000 },
                { "replicas", { "u" + std::to_string(n - 1), name } } });
    }
    Json services = Json::array();
    services.push_back(
        { { "name", "search" }, { "snapshots", Json::array({ { { "id", 1 }, { "shards", shards } } }) } });
    return Json { { "version", version }, { "upstreams", upstreams }, { "services", services } }.dump();
}

std::string ControlFleet::hostListText() const
{
    nlohmann::ordered_json list { { "version", m_hostListVersion + 1 }, { "hosts", nlohmann::json::array() } };
    for (const auto& host : hosts) {
        const auto& it = host.identity;
        if (host.control || m_hostListVersion == 0)
            list["hosts"].push_back(
                { { "name", it.name }, { "callerAddress", it.callerAddress }, { "peerAddress", it.peerAddress },
                    { "failureDomain", it.failureDomain }, { "region", it.region }, { "state", "live" } });
    }
    return list.dump();
}

void ControlFleet::refreshHostList()
{
    ++m_hostListVersion;
    schedule(m_now + m_settings.listLag, hosts.size(), ListHosts { hostListText() });
}

uint64_t ControlFleet::publish(const std::string& key)
{
    auto version = m_published[key].rbegin()->first + 1;
    publishText(key, version, key == "table" ? tableText(version, m_random()) : catalogText(version, m_random()));
    return version;
}

void ControlFleet::publishText(const std::string& key, uint64_t version, std::string text)
{
    m_published[key][version] = std::move(text);
    note(hosts.size(), "publish " + key + " " + std::to_string(version));
    answerWaiters();
}

void ControlFleet::schedule(base::TimePoint at, size_t host, Body body)
{
    auto incarnation = host < hosts.size() ? hosts[host].identity.incarnation : 0;
    m_events.push({ at, ++m_lastEvent, host, incarnation, std::make_shared<Body>(std::move(body)) });
}

void ControlFleet::startHost(size_t n)
{
    auto& host = hosts[n];
    host.identity.incarnation = ++m_lastIncarnation;
    host.shared = std::make_unique<engine::SharedState>(m_settings.seed + m_lastIncarnation, host.identity);
    host.control = std::make_unique<engine::ControlPath>(*host.shared);
    host.started = m_now;
    host.pausedUntil = {};
    host.tableVersion = host.catalogVersion = 0;
    host.isReady = false;
    host.ready = {};
    note(n, "start");
    schedule(m_now + base::Duration(static_cast<int64_t>(m_random() % 10'000)), n, Tick {});
}

void ControlFleet::startAll(base::Duration spread)
{
    for (size_t n = 0; n < hosts.size(); ++n) {
        killHost(n);
        auto wait = spread.count() > 0 ? static_cast<int64_t>(m_random() % static_cast<uint64_t>(spread.count())) : 0;
        schedule(m_now + base::Duration(wait), n, Start {});
    }
}

void ControlFleet::killHost(size_t n)
{
    note(n, "kill");
    hosts[n].control.reset();
    hosts[n].shared.reset();
    hosts[n].isReady = false;
    std::erase_if(m_waiters, [&](const Waiter& it) { return it.host == n; });
}

void ControlFleet::pauseHost(size_t n, base::Duration duration)
{
    note(n, "pause " + std::to_string(duration.count() / 1000) + " ms");
    hosts[n].pausedUntil = m_now + duration;
}

void ControlFleet::runFor(base::Duration duration)
{
    auto end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_now = end;
}

void ControlFleet::handle(const Event& event)
{
    if (auto* it = std::get_if<ListHosts>(event.body.get())) {
        m_hostList = std::move(it->text);
        return;
    }
    if (std::holds_alternative<EndWatches>(*event.body)) {
        answerWaiters();
        return;
    }
    auto& host = hosts[event.host];
    if (host.identity.incarnation != event.incarnation)
        return;
    if (std::holds_alternative<Start>(*event.body)) {
        startHost(event.host);
        return;
    }
    if (auto* it = std::get_if<Read>(event.body.get())) {
        if (host.control)
            answerRead(event.host, it->read);
        return;
    }
    if (!host.control)
        return;
    // A paused process gets everything that arrived meanwhile when it resumes.
    if (m_now < host.pausedUntil) {
        m_events.push({ host.pausedUntil, event.number, event.host, event.incarnation, event.body });
        return;
    }
    if (std::holds_alternative<Tick>(*event.body)) {
        run(event.host, [&](engine::ControlPath& control) { return control.tick(m_now); });
        schedule(m_now + tickInterval, event.host, Tick {});
    } else if (auto* it = std::get_if<Deliver>(event.body.get())) {
        ++host.messagesReceived;
        if (m_settings.messageBytes)
            host.bytesReceived += m_settings.messageBytes(*it->message);
        run(event.host, [&](engine::ControlPath& control) { return control.peerMessage(*it->message, m_now); });
    } else if (auto* it = std::get_if<ReadEnd>(event.body.get())) {
        if (it->status == engine::ReadStatus::Value)
            run(event.host, [&](engine::ControlPath& control) {
                return it->key == "hosts" ? control.hostListPublished(*it->text, m_now)
                                          : control.valuePublished(it->key, *it->text, m_now);
            });
        run(event.host,
            [&](engine::ControlPath& control) { return control.platformReadEnded(it->key, it->status, m_now); });
    }
}

void ControlFleet::run(size_t n, const std::function<engine::Actions(engine::ControlPath&)>& function)
{
    auto& host = hosts[n];
    auto before = processorTime();
    auto actions = function(*host.control);
    host.cpuNanoseconds += processorTime() - before;
    check(host);
    perform(n, std::move(actions));
}

void ControlFleet::check(FleetHost& host)
{
    auto table = host.shared->table.load()->version;
    auto catalog = host.shared->catalog.load()->version;
    if (table < host.tableVersion || catalog < host.catalogVersion)
        violations.push_back(host.identity.name + ": table " + std::to_string(host.tableVersion) + " to "
            + std::to_string(table) + ", catalogue " + std::to_string(host.catalogVersion) + " to "
            + std::to_string(catalog) + " at " + std::to_string((m_now - m_begin).count()) + " us");
    host.tableVersion = table;
    host.catalogVersion = catalog;
    host.isReady = host.control->readiness(m_now).canServe;
    if (host.isReady && host.ready == base::TimePoint {})
        host.ready = m_now;
}

void ControlFleet::perform(size_t n, engine::Actions&& actions)
{
    for (auto& action : actions) {
        if (auto* send = std::get_if<engine::SendPeerMessage>(&action))
            deliver(n, send->peerAddress, std::move(send->message));
        else if (auto* read = std::get_if<engine::ReadPlatform>(&action))
            schedule(m_now + platformDelay / 2, n, Read { *read });
        else if (auto* change = std::get_if<engine::StateChange>(&action))
            note(n, change->component + ": " + change->text);
    }
}

void ControlFleet::deliver(size_t from, const std::string& address, engine::PeerMessage&& message)
{
    auto& sender = hosts[from];
    if (m_settings.messageBytes)
        sender.bytesSent += m_settings.messageBytes(message);
    auto to = m_addresses.find(address);
    if (to == m_addresses.end() || !hosts[to->second].control || (isCut && isCut(from, to->second)))
        return;
    auto& receiver = hosts[to->second];
    auto isLocal = sender.identity.failureDomain == receiver.identity.failureDomain;
    if (!isLocal && base::uniform(m_random) < m_settings.loss)
        return;
    auto wait = base::Duration(
        static_cast<int64_t>(static_cast<double>(delay(sender, receiver).count()) * (1 + base::uniform(m_random) / 5)));
    schedule(m_now + wait, to->second, Deliver { std::make_shared<const engine::PeerMessage>(std::move(message)) });
}

base::Duration ControlFleet::delay(const FleetHost& from, const FleetHost& to) const
{
    if (from.identity.failureDomain == to.identity.failureDomain)
        return m_settings.delayInDomain;
    return from.identity.region == to.identity.region ? m_settings.delayInRegion : m_settings.delayBetweenRegions;
}

void ControlFleet::answerRead(size_t n, const engine::ReadPlatform& read)
{
    auto bucket = static_cast<size_t>((m_now - m_begin) / 100ms);
    platformCalls.resize(std::max(platformCalls.size(), bucket + 1));
    ++platformCalls[bucket];
    auto incarnation = hosts[n].identity.incarnation;
    if (!isPlatformUp || (isCut && isCut(n, hosts.size()))) {
        m_events.push({ m_now + platformTimeout, ++m_lastEvent, n, incarnation,
            std::make_shared<Body>(ReadEnd { read.key, engine::ReadStatus::Failed, {} }) });
        return;
    }
    m_waiters.push_back({ n, incarnation, read, m_now + read.wait });
    schedule(m_now + read.wait, hosts.size(), EndWatches {});
    answerWaiters();
}

void ControlFleet::answerWaiters()
{
    std::erase_if(m_waiters, [&](const Waiter& it) {
        const auto& key = it.read.key;
        if (key == "hosts") {
            endRead(it.host, it.incarnation, key, engine::ReadStatus::Value, m_hostList);
            return true;
        }
        auto& versions = m_published[key];
        if (auto stale = staleVersions.find(key); stale != staleVersions.end()) {
            endRead(it.host, it.incarnation, key, engine::ReadStatus::Value, versions.at(stale->second));
            return true;
        }
        if (isPlatformUp && versions.rbegin()->first > it.read.afterVersion) {
            endRead(it.host, it.incarnation, key, engine::ReadStatus::Value, versions.rbegin()->second);
            return true;
        }
        if (m_now < it.end)
            return false;
        endRead(it.host, it.incarnation, key, isPlatformUp ? engine::ReadStatus::Unchanged : engine::ReadStatus::Failed,
            {});
        return true;
    });
}

void ControlFleet::endRead(
    size_t n, uint64_t incarnation, const std::string& key, engine::ReadStatus status, const std::string& text)
{
    m_events.push({ m_now + platformDelay / 2, ++m_lastEvent, n, incarnation,
        std::make_shared<Body>(ReadEnd { key, status, std::make_shared<const std::string>(text) }) });
}

bool ControlFleet::isTableEverywhere(uint64_t version) const
{
    return std::ranges::all_of(hosts, [&](const FleetHost& it) { return !it.control || it.tableVersion >= version; });
}

bool ControlFleet::isReadyEverywhere() const
{
    return std::ranges::all_of(hosts, [](const FleetHost& it) { return it.control && it.isReady; });
}

uint64_t ControlFleet::mostReadsPerSecond(base::TimePoint from) const
{
    auto first = static_cast<size_t>((from - m_begin) / 100ms);
    uint64_t most = 0;
    for (auto n = first; n < platformCalls.size(); ++n) {
        uint64_t sum = 0;
        for (auto k = n; k < std::min(n + 10, platformCalls.size()); ++k)
            sum += platformCalls[k];
        most = std::max(most, sum);
    }
    return most;
}

void ControlFleet::note(size_t host, const std::string& text)
{
    auto name = host < hosts.size() ? hosts[host].identity.name : std::string("platform");
    m_trace.push_back(std::to_string((m_now - m_begin).count()) + " us " + name + " " + text);
    if (m_trace.size() > traceLength)
        m_trace.pop_front();
}

std::string ControlFleet::trace() const
{
    std::string text = "seed " + std::to_string(m_settings.seed) + "\n";
    for (const auto& line : m_trace)
        text += line + "\n";
    return text;
}

}
