#include "papayabend/gateway/GatewayHost.h"

#include "papayabend/fleet/DemandShare.h"
#include "papayabend/fleet/EntryAddresses.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/Exchange.h"
#include "papayabend/gateway/WaitingAttempts.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sys/resource.h>
#include <unistd.h>

namespace papayabend::gateway {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 250 };
    // Until the host is ready, and while its content is stale after a pause.
    constexpr std::chrono::milliseconds shortTickInterval { 25 };
    // Ticks between checks of the settings file and of the connections to upstreams.
    constexpr uint64_t ticksPerCheck = 4;
    constexpr double thousandthsPerCore = 1000;
    // Without an answer from a peer within this time, a host becomes ready with the content of the store alone.
    constexpr base::Duration joinTimeout { std::chrono::milliseconds(200) };
    // A host that starts with an older configuration than others becomes ready without theirs after this time.
    constexpr base::Duration newerConfigurationTimeout { std::chrono::seconds(1) };
    // Most addresses in one entry answer.
    constexpr size_t maxEntryAddresses = 64;
    constexpr base::Duration stopPollInterval { std::chrono::milliseconds(50) };
    // Open requests are ended this long before the end of the grace time.
    constexpr base::Duration stopMargin { std::chrono::milliseconds(400) };
    // Part of stopMargin in which clients receive the answers to requests that are still open.
    constexpr base::Duration finalAnswerTime { std::chrono::milliseconds(200) };

    fleet::Heartbeat initialHeartbeat(const GatewaySettings& settings)
    {
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
        return { settings.host.name, settings.listen.callers, settings.listen.peers, settings.host.failureDomain,
            static_cast<uint64_t>(incarnation), 0, fleet::HostStage::Starting, 0, 0, false,
            static_cast<uint32_t>(settings.host.cores * thousandthsPerCore) };
    }

    std::string readFile(const std::string& file)
    {
        std::ifstream stream(file);
        return { std::istreambuf_iterator<char>(stream), {} };
    }

}

GatewayHost::GatewayHost(boost::asio::io_context& io, const GatewaySettings& settings, std::string settingsFile,
    const PlatformAdapter& adapter, uint64_t seed)
    : m_faults(std::make_shared<MessageFaults>())
    , m_buffers(std::make_shared<BufferBudget>())
    , m_guard(std::make_shared<ClientGuard>())
    , m_log(settings.log, settings.host.name, STDOUT_FILENO)
    , m_state { .io = io,
        .adapter = adapter,
        .settings = settings,
        .log = m_log,
        .metrics = m_metrics,
        .fleet = fleet::FleetView(initialHeartbeat(settings)),
        .content = Content(adapter),
        .pool = UpstreamPool(io, adapter.headers.requestId, m_faults, m_buffers),
        .budgetShare = { .startedAt = base::BootClock::now() },
        .random = base::Random(seed),
        .faults = m_faults }
    , m_settingsFile(std::move(settingsFile))
    , m_settingsText(readFile(m_settingsFile))
    , m_storeReader(io, adapter, settings.store.address, seed + 1, storeEvents(), m_faults, m_buffers)
    , m_peerLink(io, m_state.fleet, seed + 2, peerEvents(), m_faults, m_buffers)
    , m_relay(m_state, m_buffers)
    , m_tickTimer(io)
    , m_stopTimer(io)
    , m_pullTimer(io)
    , m_signals(io, SIGTERM, SIGINT, SIGHUP)
    , m_contentTransfers(std::make_shared<fleet::ContentTransfers>())
    , m_freshness { .startedAt = base::BootClock::now() }
    , m_startedAt(m_freshness.startedAt)
{
    m_calm.changedAt = m_startedAt;
    m_calm.seenChangeAt = m_startedAt;
    m_state.checkPause = [this](base::TimePoint now) { checkPause(now); };
    m_state.gate.hostName = settings.host.name;
    m_state.gate.coldPart = 0;
    // A host may be listed among its own seeds.
    auto ipOf = [](const std::string& address) { return address.substr(0, address.rfind(':')); };
    m_state.coldShare.needsOthers = std::ranges::any_of(
        settings.peers.seeds, [&](const auto& it) { return ipOf(it) != ipOf(settings.listen.peers); });
    m_faults->setReport([this](std::string_view source, std::string_view reason) {
        logEvent("fault", LogFields().add("source", source).add("reason", reason), LineClass::Failure);
    });
}

GatewayHost::~GatewayHost() = default;

void GatewayHost::logEvent(std::string_view event, const LogFields& fields, LineClass kind)
{
    m_log.write(kind, event, fields, base::BootClock::now());
}

HttpListener& GatewayHost::listenerFor(const std::string& address)
{
    auto it = std::ranges::find(m_listeners, address, [](const auto& each) { return each.first; });
    if (it != m_listeners.end())
        return *it->second;
    auto handler = [this, address](const std::shared_ptr<ClientRequest>& request) { handle(address, request); };
    return *m_listeners
                .emplace_back(
                    address, std::make_unique<HttpListener>(m_state.io, handler, m_faults, m_buffers, m_guard))
                .second;
}

bool GatewayHost::start(base::LastReason& reason)
{
    const auto& listen = m_state.settings.listen;
    for (const auto& address : { listen.callers, listen.readiness, listen.entry, listen.peers, listen.metrics })
        listenerFor(address);
    applyClientSettings();
    for (const auto& [address, listener] : m_listeners) {
        if (!listener->start(address)) {
            reason.text = "cannot listen on " + address;
            return false;
        }
    }
    if (!m_peerLink.start(listen.peers, m_state.settings.peers.seeds)) {
        reason.text = "cannot listen for datagrams on " + listen.peers;
        return false;
    }
    logEvent("start",
        LogFields()
            .add("callers", listen.callers)
            .add("peers", listen.peers)
            .add("store", m_state.settings.store.address));
    if (!loadTable(reason))
        return false;
    waitForSignal();
    tick();
    return true;
}

void GatewayHost::handle(const std::string& address, const std::shared_ptr<ClientRequest>& request)
{
    checkPause(base::BootClock::now());
    if (address == m_state.settings.listen.callers) {
        auto isOwn = address == m_state.settings.listen.entry && answerOwnRequest(address, request);
        if (!isOwn && (!relays() || !m_relay.relay(request)))
            Exchange::begin(m_state, request);
        return;
    }
    if (answerOwnRequest(address, request))
        return;
    if (address == m_state.settings.listen.peers && request->message.count(toBeast(RequestRelay::relayField)) > 0)
        Exchange::begin(m_state, request);
    else
        request->answer(plainAnswer(404, "no such resource"));
}

bool GatewayHost::answerOwnRequest(const std::string& address, const std::shared_ptr<ClientRequest>& request)
{
    const auto& listen = m_state.settings.listen;
    auto target = std::string(toView(request->message.target()));
    if (address == listen.readiness && target == m_state.adapter.readinessTarget) {
        request->answer(plainAnswer(isReady() ? 200 : 503, isReady() ? "ready" : "not ready"));
        return true;
    }
    if (address == listen.entry) {
        if (auto entryRequest = m_state.adapter.parseEntryRequest(target)) {
            request->answer(entryAnswer(entryRequest->failureDomain));
            return true;
        }
    }
    if (address == listen.peers && target.starts_with(PeerLink::contentTarget)) {
        auto after = PeerLink::parseContentTarget(target);
        auto puller = toView(request->message[toBeast(PeerLink::pullerField)]);
        request->answer(after ? answerPull(*after, puller) : plainAnswer(400, "the position is not made of numbers"));
        return true;
    }
    if (address == listen.metrics && target == "/metrics") {
        updateMetrics();
        Answer answer;
        answer.status = 200;
        answer.fields = "Content-Type: text/plain; version=0.0.4\r\n";
        answer.body = m_metrics.render();
        request->answer(answer);
        return true;
    }
    return false;
}

void GatewayHost::applyClientSettings()
{
    const auto& clients = m_state.settings.clients;
    rlimit limit {};
    auto descriptors = getrlimit(RLIMIT_NOFILE, &limit) == 0 ? size_t { limit.rlim_cur } : SIZE_MAX;
    m_guard->connections->setBounds(boundsOf(clients, descriptors));
    m_guard->headerFields = clients.headerFields;
    m_guard->chunkFramingBytes = clients.chunkFramingBytes;
    m_buffers->maxBytes = clients.bufferedBytes;
    m_buffers->hardMaxBytes = m_buffers->maxBytes + m_buffers->maxBytes / 2;
}

void GatewayHost::logRefusedClients(base::TimePoint now)
{
    for (const auto& it : m_guard->refusals.takeReports(now))
        logEvent("clients",
            LogFields()
                .add("reason", nameOf(it.reason))
                .add("count", static_cast<int64_t>(it.count))
                .add("client", it.client),
            LineClass::Failure);
}

void GatewayHost::sendHeartbeatNow()
{
    auto addresses = fleet::pushTargets(m_state.fleet, base::BootClock::now());
    m_peerLink.push(addresses, {});
}

fleet::ServingSettings GatewayHost::servingSettings() const { return servingOf(m_state.settings.entryAnswers); }

fleet::EntryValiditySettings GatewayHost::validitySettings() const
{
    return validityOf(m_state.settings.entryAnswers, m_state.settings.stop);
}

Answer GatewayHost::entryAnswer(const std::string& failureDomain)
{
    auto now = base::BootClock::now();
    auto evacuated = m_state.content.evacuations().failureDomains();
    fleet::EntryOptions options { .evacuatedDomains = { evacuated.begin(), evacuated.end() } };
    auto addresses
        = fleet::entryAddresses(m_state.fleet, failureDomain, servingSettings(), maxEntryAddresses, now, options);
    auto timeToLive = fleet::entryTimeToLive(m_calm, validitySettings(), now);
    ++m_entryAnswers;
    m_calmEntryAnswers += timeToLive > validitySettings().timeToLive ? 1 : 0;
    Answer answer;
    answer.status = addresses.empty() ? 503 : 200;
    answer.fields = "Content-Type: application/json\r\n";
    answer.body = m_state.adapter.entryAnswer(addresses, timeToLive);
    return answer;
}

void GatewayHost::updateAdmission(base::TimePoint now)
{
    // Most sets of shards in a heartbeat.
    constexpr size_t maxNotices = 4;
    auto& self = m_state.fleet.self();
    self.fanOutRoom.clear();
    if (!m_state.settings.admission.sharesOverFleet)
        return;
    m_state.admission.setShare(fleet::admissionShare(m_state.fleet, now));
    std::vector<dispatch::AdmissionNotice> notices;
    for (const auto& [name, member] : m_state.fleet.members()) {
        if (!member.heartbeat.fanOutRoom.empty() && now - member.lastHeardAt <= fleet::FleetView::livenessTimeout)
            std::ranges::copy(dispatch::decodeNotices(member.heartbeat.fanOutRoom), std::back_inserter(notices));
    }
    m_state.admission.merge(notices, now);
    self.fanOutRoom = dispatch::encodeNotices(m_state.admission.notices(maxNotices, now));
    auto overloaded = m_state.admission.overloadedSets(now);
    if (overloaded != m_overloadedSets)
        logEvent("admission",
            LogFields()
                .add("overloadedSets", static_cast<int64_t>(overloaded))
                .add("smallestLimit", static_cast<int64_t>(std::ceil(m_state.admission.smallestLimit())))
                .add("sharePermille", static_cast<int64_t>(1000 * fleet::admissionShare(m_state.fleet, now))),
            LineClass::Change);
    m_overloadedSets = overloaded;
}

void GatewayHost::updateCalm(base::TimePoint now)
{
    fleet::observe(m_calm, m_state.fleet, now);
    m_state.fleet.self().changeAgeMs = fleet::changeAgeOf(m_calm, now);
    auto isCalm = fleet::isCalm(m_calm, now);
    auto validity = validitySettings();
    if (isCalm != m_wasCalm && validity.calmTimeToLive > validity.timeToLive)
        logEvent("entry",
            LogFields()
                .add("state", isCalm ? "calm" : "changing")
                .add("timeToLiveMs", base::toMilliseconds(fleet::entryTimeToLive(m_calm, validity, now)))
                .add("cause", m_calm.cause));
    m_wasCalm = isCalm;
}

bool GatewayHost::isReady() const { return m_state.fleet.self().stage == fleet::HostStage::Ready; }

void GatewayHost::updateStage()
{
    auto& self = m_state.fleet.self();
    if (m_isStopping || self.stage != fleet::HostStage::Starting)
        return;
    auto hasJoined = !m_state.fleet.members().empty() || base::BootClock::now() - m_startedAt > joinTimeout;
    if (!m_state.content.configuration() || !m_state.content.hasList() || !hasJoined)
        return;
    // The store may have lost a version that the other hosts have in force.
    auto now = base::BootClock::now();
    if (now - m_startedAt < newerConfigurationTimeout && lacksConfiguration(now))
        return;
    self.stage = fleet::HostStage::Ready;
    logEvent("ready", LogFields().add("configuration", static_cast<int64_t>(self.configurationVersion)));
    sendHeartbeatNow();
}

void GatewayHost::tick()
{
    auto now = base::BootClock::now();
    checkPause(now);
    if (m_state.isStale && (m_storeReader.answeredAt() > m_resumedAt || now - m_resumedAt > staleTimeout))
        m_state.isStale = false;
    if (m_state.content.expire(now))
        updateAfterContentChange();
    auto before = m_state.fleet.members().size();
    for (const auto& name : m_state.fleet.removeSilentHosts(now))
        logEvent("lost", LogFields().add("dependency", "host").add("name", name));
    if (m_state.fleet.members().size() != before)
        updateUpstreamConnections();
    updateCalm(now);
    m_state.pool.sweep(m_state.budgetShare.isServing ? 1 : 0, now);
    fleet::observe(m_loadEstimate, m_state.pool.counters().attempts, now);
    m_state.fleet.self().load = static_cast<uint32_t>(m_loadEstimate.perSecond);
    fleet::observe(m_demandEstimate, m_state.wantedAttempts, now, fleet::demandHalfLife);
    m_state.fleet.self().demand = static_cast<uint32_t>(m_demandEstimate.perSecond);
    m_state.gate.limitShare = fleet::demandShare(m_state.fleet, now);
    updateAdmission(now);
    updateReach(now);
    updateStoreReader(now);
    pullIfBehind(now);
    dropUnusedEncoding(now);
    m_state.gate.coldPart = fleet::partOf(m_state.coldShare, now);
    m_state.gate.cold.expire(now);
    m_state.gate.holds.expire(now);
    endWaitingForClosed(m_state, now);
    if (m_state.suspects.takeNewRefusal())
        sendHeartbeatNow();
    updateStage();
    if (++m_ticks % ticksPerCheck == 0) {
        reloadChangedFiles();
        updateUpstreamConnections();
    }
    logRefusedClients(now);
    m_log.flush();
    auto needsShortInterval = m_state.isStale || m_state.fleet.self().stage == fleet::HostStage::Starting;
    m_tickTimer.expires_after(timeUntilReading(needsShortInterval ? shortTickInterval : tickInterval, now));
    m_tickTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            tick();
    });
}

void GatewayHost::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP)
            reload("signal");
        else
            beginStop();
        waitForSignal();
    });
}

void GatewayHost::reloadChangedFiles()
{
    auto text = readFile(m_settingsFile);
    if (!text.empty() && text != m_settingsText)
        reload("file");
    base::LastReason reason;
    loadTable(reason);
}

void GatewayHost::reload(const char* cause)
{
    m_settingsText = readFile(m_settingsFile);
    base::LastReason reason;
    auto settings = parseGatewaySettings(m_settingsText, m_settingsFile, reason);
    LogFields fields;
    fields.add("cause", cause);
    if (!settings)
        return logEvent("reload", fields.add("outcome", "refused").add("reason", reason.text));
    // The host section and the listen addresses take effect only at the start of the process.
    settings->host = m_state.settings.host;
    settings->listen = m_state.settings.listen;
    m_state.settings = *settings;
    m_log.configure(settings->log);
    applyClientSettings();
    logEvent("reload", fields.add("outcome", "taken"));
    loadTable(reason);
}

bool GatewayHost::loadTable(base::LastReason& reason)
{
    const auto& file = m_state.settings.table.file;
    auto text = file.empty() ? std::string() : readFile(file);
    if (text == m_tableText)
        return true;
    m_tableText = text;
    auto next = readTable(m_state.settings.table, reason);
    if (next && *next && m_state.table && (*next)->contentHash == m_state.table->contentHash)
        return true;
    auto isOlder = next && *next && m_state.table && (*next)->version <= m_state.table->version;
    if (isOlder)
        reason.text = file + ": version " + std::to_string((*next)->version) + " is not newer than "
            + std::to_string(m_state.table->version) + ", which is in force";
    if (!next || isOlder) {
        logEvent("table", LogFields().add("outcome", "refused").add("reason", reason.text));
        return false;
    }
    m_state.table = *next;
    logEvent("table",
        LogFields()
            .add("outcome", "taken")
            .add("version", static_cast<int64_t>(m_state.table ? m_state.table->version : 0))
            .add("accounts", static_cast<int64_t>(m_state.table ? m_state.table->rows.size() : 0)));
    return true;
}

void GatewayHost::beginStop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_state.fleet.self().stage = fleet::HostStage::Leaving;
    sendHeartbeatNow();
    auto now = base::BootClock::now();
    auto grace = std::chrono::duration<double>(m_state.settings.stop.graceSeconds);
    m_stopAt = now + std::chrono::duration_cast<base::Duration>(grace) - stopMargin;
    m_state.endsAt = m_stopAt;
    size_t requests = 0;
    for (const auto& [address, listener] : m_listeners) {
        requests += listener->openRequests();
        if (address == m_state.settings.listen.callers)
            listener->announceClose();
    }
    logEvent("stop", LogFields().add("openRequests", static_cast<int64_t>(requests)));
    m_log.flush();
    stopWhenIdle();
}

void GatewayHost::endRequests()
{
    auto exchanges = m_state.exchanges;
    for (const auto& [key, weak] : exchanges) {
        if (auto exchange = weak.lock())
            exchange->endNow();
    }
    m_relay.endAll();
}

void GatewayHost::stopWhenIdle()
{
    auto now = base::BootClock::now();
    auto validity = validitySettings();
    auto entryAnswersExpireAt = fleet::answersExpireAt(m_calm, validity, m_stopAt + stopMargin - validity.grace);
    auto& callers = listenerFor(m_state.settings.listen.callers);
    if (now >= m_stopAt) {
        endRequests();
        callers.refuseIncompleteRequests("the process is stopping; the request has not run");
    }
    auto isIdle = now >= entryAnswersExpireAt && callers.busyConnections() == 0;
    if (isIdle || now >= m_stopAt + finalAnswerTime) {
        logEvent("stopped", LogFields().add("openRequests", static_cast<int64_t>(callers.openRequests())));
        m_log.flush();
        m_state.io.stop();
        return;
    }
    m_stopTimer.expires_after(stopPollInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            stopWhenIdle();
    });
}

}
