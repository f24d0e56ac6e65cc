#include "papayabend/gateway/PeerLink.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::udp;
    using boost::system::error_code;

    // Hosts that hear a beat directly in each round; the others hear it from them.
    constexpr size_t fanOut = 8;
    // Beats that a host passes on in one datagram.
    constexpr size_t maxPassedOn = 96;
    // Rounds between beats to the seeds once other hosts are known; joins halves of a healed partition.
    constexpr uint64_t seedRounds = 8;
    constexpr std::chrono::seconds pullTimeout { 2 };

}

PeerLink::PeerLink(asio::io_context& io, fleet::FleetView& fleet, uint64_t seed, PeerEvents events)
    : m_io(io)
    , m_fleet(fleet)
    , m_random(seed)
    , m_events(std::move(events))
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
    beat(false);
    schedule();
    return true;
}

void PeerLink::schedule()
{
    m_timer.expires_after(fleet::FleetView::beatInterval);
    m_timer.async_wait([this](const error_code& ec) {
        if (ec)
            return;
        beat(false);
        schedule();
    });
}

void PeerLink::beatNow() { beat(true); }

std::vector<std::string> PeerLink::targets(bool isPrompt)
{
    std::vector<std::string> addresses;
    std::ranges::transform(
        m_fleet.members(), std::back_inserter(addresses), [](const auto& it) { return it.second.beat.peerAddress; });
    std::ranges::shuffle(addresses, m_random);
    if (!isPrompt && addresses.size() > fanOut)
        addresses.resize(fanOut);
    if (m_fleet.members().empty() || m_rounds % seedRounds == 0) {
        for (const auto& seed : m_seeds) {
            if (std::ranges::find(addresses, seed) == addresses.end())
                addresses.push_back(seed);
        }
    }
    return addresses;
}

void PeerLink::beat(bool isPrompt)
{
    ++m_fleet.self().sequence;
    ++m_rounds;
    fleet::BeatMessage message { { m_fleet.self() }, m_events.crashes() };
    auto own = fleet::encodeBeats(message);
    for (const auto& [name, member] : m_fleet.members()) {
        if (message.beats.size() < maxPassedOn && m_fleet.isAlive(member, base::BootClock::now()))
            message.beats.push_back(member.beat);
    }
    auto all = fleet::encodeBeats(message);
    auto addresses = targets(isPrompt);
    // One host a round hears of all others, so that hosts find each other through any common acquaintance.
    for (size_t n = 0; n < addresses.size(); ++n)
        send(n == 0 || m_fleet.self().sequence <= 3 ? all : own, addresses[n]);
}

void PeerLink::send(const std::string& bytes, const std::string& address)
{
    auto endpoint = udpEndpoint(address);
    if (!endpoint)
        return;
    error_code ec;
    // A datagram that the system does not take is lost like one on the way; the next beat repeats its content.
    m_sentBytes += m_socket.send_to(asio::buffer(bytes), *endpoint, 0, ec);
}

void PeerLink::receive()
{
    m_socket.async_wait(udp::socket::wait_read, [this](const error_code& ec) {
        if (ec)
            return;
        while (true) {
            udp::endpoint from;
            error_code problem;
            auto n = m_socket.receive_from(asio::buffer(m_buffer), from, 0, problem);
            if (problem)
                break;
            base::LastReason reason;
            if (auto message = fleet::decodeBeats(std::span(m_buffer).first(n), reason))
                m_events.received(*message);
        }
        receive();
    });
}

void PeerLink::pull(const std::string& address)
{
    auto endpoint = tcpEndpoint(address);
    if (m_pull || !endpoint)
        return;
    m_pull = std::make_shared<HttpConnection>(m_io);
    auto timer = std::make_shared<asio::steady_timer>(m_io, pullTimeout);
    timer->async_wait([this, connection = std::weak_ptr(m_pull)](const error_code& ec) {
        auto late = connection.lock();
        if (!ec && late)
            late->close("no answer in time");
    });
    auto finish = [this, timer] {
        timer->cancel();
        m_pull.reset();
    };
    m_pull->open(*endpoint, [this, address, finish](const std::string& problem) {
        if (!problem.empty())
            return finish();
        auto request = requestText("GET", contentTarget, "Host: " + address + "\r\n", {}, false);
        m_pull->send(request, {}, {}, false, [this, address, finish](const CallResult& result) {
            finish();
            if (result.end == CallEnd::Answered && result.answer.result_int() == 200)
                m_events.content(result.answer.body(), address);
        });
    });
}

}
