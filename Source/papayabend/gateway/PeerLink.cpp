#include "papayabend/gateway/PeerLink.h"

#include "papayabend/fleet/HeartbeatPlan.h"
#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;
    using boost::system::error_code;

    // Most heartbeats in one datagram to a host that has just started.
    constexpr std::string_view eraParameter = "&era=";
    constexpr size_t maxHeartbeatsSent = 96;
    // Datagrams that are handled before other events have their turn: a sender that is faster than this host would
    // otherwise keep it from all else.
    constexpr size_t maxDatagramsPerTurn = 64;
    // A pull ends if nothing arrives for pullStallTime. The time for all of it depends on the links and the size, so
    // its bound only ends pulls that would hardly ever be complete.
    constexpr std::chrono::milliseconds pullStallTime { 1500 };
    constexpr base::Duration maxPullTime { std::chrono::seconds(10) };
    constexpr unsigned statusBusy = 503;

    std::vector<std::string> parseReferrals(const std::string& body)
    {
        auto value = nlohmann::json::parse(body, nullptr, false);
        std::vector<std::string> addresses;
        if (!value.is_object() || !value.contains("referrals"))
            return addresses;
        for (const auto& it : value["referrals"]) {
            if (it.is_string())
                addresses.push_back(it.get<std::string>());
        }
        return addresses;
    }

}

PeerLink::PeerLink(asio::io_context& io, fleet::FleetView& fleet, uint64_t seed, PeerEvents events,
    std::shared_ptr<MessageFaults> faults, std::shared_ptr<BufferBudget> buffers)
    : m_io(io)
    , m_fleet(fleet)
    , m_random(seed)
    , m_events(std::move(events))
    , m_faults(faults ? std::move(faults) : std::make_shared<MessageFaults>())
    , m_buffers(std::move(buffers))
    , m_socket(io)
    , m_timer(io)
{
}

PeerLink::~PeerLink() = default;

bool PeerLink::start(const std::string& address, std::span<const std::string> seeds)
{
    auto endpoint = udpEndpoint(address);
    if (!endpoint)
        return false;
    error_code ec;
    m_socket.open(udp::v4(), ec);
    m_socket.bind(*endpoint, ec);
    if (ec)
        return false;
    m_socket.non_blocking(true, ec);
    for (const auto& seed : seeds) {
        auto ip = seed.substr(0, seed.rfind(':'));
        auto peer = ip + ':' + std::to_string(endpoint->port());
        if (peer != address)
            m_seeds.push_back(peer);
    }
    receive();
    sendHeartbeats();
    schedule();
    return true;
}

void PeerLink::schedule()
{
    m_timer.expires_after(fleet::FleetView::heartbeatInterval);
    m_timer.async_wait([this](const error_code& ec) {
        if (ec)
            return;
        sendHeartbeats();
        schedule();
    });
}

fleet::HeartbeatMessage PeerLink::ownMessage(bool toNewHost) const
{
    return { { m_fleet.ownHeartbeat(base::BootClock::now()) }, m_events.crashNotices(toNewHost), {},
        m_events.limitNotices() };
}

void PeerLink::sendHeartbeats()
{
    ++m_fleet.self().sequence;
    ++m_rounds;
    auto message = ownMessage();
    auto encoded = fleet::encodeHeartbeats(message);
    for (const auto& planned : fleet::planHeartbeats(m_fleet, m_seeds, m_rounds, m_random, base::BootClock::now())) {
        if (planned.relayed.empty()) {
            send(encoded, planned.address);
            continue;
        }
        auto withRelayed = message;
        std::ranges::copy(planned.relayed, std::back_inserter(withRelayed.heartbeats));
        send(fleet::encodeHeartbeats(withRelayed), planned.address);
    }
}

void PeerLink::push(std::span<const std::string> addresses, std::string changes)
{
    ++m_fleet.self().sequence;
    auto message = ownMessage();
    if (changes.size() <= maxPushedBytes)
        message.changes = std::move(changes);
    auto bytes = fleet::encodeHeartbeats(message);
    for (const auto& address : addresses)
        send(bytes, address);
}

void PeerLink::sendKnownHosts(const std::string& address)
{
    ++m_fleet.self().sequence;
    auto message = ownMessage(true);
    for (const auto* heartbeat : m_fleet.liveHeartbeats(base::BootClock::now())) {
        if (heartbeat != &m_fleet.self() && message.heartbeats.size() < maxHeartbeatsSent)
            message.heartbeats.push_back(*heartbeat);
    }
    send(fleet::encodeHeartbeats(message), address);
}

void PeerLink::send(const std::string& bytes, const std::string& address)
{
    auto endpoint = udpEndpoint(address);
    if (!endpoint)
        return;
    error_code ec;
    // An error is ignored: a datagram that cannot be sent is like one that the network loses, and the next heartbeat
    // repeats its content.
    m_sentBytes += m_socket.send_to(asio::buffer(bytes), *endpoint, 0, ec);
}

void PeerLink::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const error_code& ec) {
        if (ec)
            return;
        for (size_t turn = 0; turn < maxDatagramsPerTurn; ++turn) {
            udp::endpoint from;
            error_code problem;
            auto n = m_socket.receive_from(asio::buffer(m_buffer), from, 0, problem);
            if (problem)
                break;
            m_faults->contain("peer", [&] { handleDatagram(std::span(m_buffer).first(n), from); });
        }
        receive();
    });
}

void PeerLink::handleDatagram(std::span<const uint8_t> bytes, const udp::endpoint& from)
{
    base::LastReason reason;
    if (auto message = fleet::decodeHeartbeats(bytes, reason))
        return m_events.messageReceived(*message);
    ++m_refusedMessages;
    m_events.messageRefused(reason.text, from.address().to_string());
}

std::string PeerLink::busyAnswer(std::span<const std::string> referrals)
{
    return nlohmann::json({ { "error", "too many transfers of content" }, { "referrals", referrals } })
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void PeerLink::watchPull(
    const std::shared_ptr<asio::steady_timer>& timer, base::TimePoint startedAt, uint64_t receivedBytes)
{
    timer->expires_after(pullStallTime);
    timer->async_wait(
        [this, timer, startedAt, receivedBytes, watched = std::weak_ptr(m_pullConnection)](const error_code& ec) {
            auto connection = watched.lock();
            if (ec || !connection)
                return;
            if (connection->receivedBytes() == receivedBytes)
                return connection->close("the host sent nothing for too long");
            if (base::BootClock::now() - startedAt > maxPullTime)
                return connection->close("the transfer took too long");
            watchPull(timer, startedAt, connection->receivedBytes());
        });
}

void PeerLink::endPull(PullResult result)
{
    result.receivedBytes = std::exchange(m_pullConnection, nullptr)->receivedBytes();
    m_events.pullEnded(result);
}

std::string PeerLink::contentTargetAfter(base::StorePosition position)
{
    auto target = std::string(contentTarget) + std::to_string(position.revision);
    // Hosts of previous versions cannot read the era.
    if (position.era > 0)
        target += std::string(eraParameter) + std::to_string(position.era);
    return target;
}

std::optional<base::StorePosition> PeerLink::parseContentTarget(std::string_view target)
{
    target.remove_prefix(std::min(contentTarget.size(), target.size()));
    auto at = target.find(eraParameter);
    auto revision = parseNumber(target.substr(0, at));
    auto era = at == std::string_view::npos ? std::optional<uint64_t>(0)
                                            : parseNumber(target.substr(at + eraParameter.size()));
    if (!revision || !era)
        return std::nullopt;
    return base::StorePosition { *era, *revision };
}

void PeerLink::pull(const std::string& address, base::StorePosition position)
{
    auto endpoint = tcpEndpoint(address);
    if (m_pullConnection || !endpoint)
        return;
    m_pullConnection = std::make_shared<HttpConnection>(m_io, m_buffers, m_faults);
    auto startedAt = base::BootClock::now();
    auto timer = std::make_shared<asio::steady_timer>(m_io);
    watchPull(timer, startedAt, 0);
    auto finish = [this, timer, startedAt](PullResult result) {
        timer->cancel();
        result.duration = base::BootClock::now() - startedAt;
        endPull(std::move(result));
    };
    m_pullConnection->open(*endpoint, [this, address, position, finish](const std::string& problem) {
        if (!problem.empty())
            return finish({ .from = address, .problem = problem });
        auto fields
            = "Host: " + address + "\r\n" + std::string(pullerField) + ": " + m_fleet.self().peerAddress + "\r\n";
        auto request = requestText("GET", contentTargetAfter(position), fields, {}, false);
        m_pullConnection->send(request, {}, {}, false, [address, finish](const CallResult& result) {
            if (result.end != CallEnd::Answered)
                return finish({ .from = address, .problem = result.reason });
            auto status = result.answer.result_int();
            if (status == 200)
                return finish({ .from = address, .content = result.answer.body() });
            finish({ .from = address,
                .problem = "status " + std::to_string(status),
                .isBusy = status == statusBusy,
                .referrals = parseReferrals(result.answer.body()) });
        });
    });
}

}
