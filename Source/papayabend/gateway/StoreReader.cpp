#include "papayabend/gateway/StoreReader.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    // A store that is fifty times slower than usual answers a list within half a second.
    constexpr base::Duration listTimeout { std::chrono::seconds(2) };
    // A watch that the store does not answer is noticed after this time and the slack.
    constexpr base::Duration watchTime { std::chrono::seconds(3) };
    constexpr base::Duration watchSlack { std::chrono::seconds(1) };
    // Changes often come in series; a pause after each answer takes several of them with one call.
    constexpr base::Duration seriesPause { std::chrono::milliseconds(150) };
    // Pauses between calls that fail; they double from the first to the second, spread by a half.
    constexpr base::Duration minPause { std::chrono::milliseconds(100) };
    constexpr base::Duration maxPause { std::chrono::milliseconds(800) };
    // All keys; the store holds those of the operator and of the upstreams only.
    constexpr auto everything = "";
    constexpr unsigned statusGone = 410;

}

StoreReader::StoreReader(
    boost::asio::io_context& io, const PlatformAdapter& adapter, std::string address, uint64_t seed, StoreEvents events)
    : m_io(io)
    , m_adapter(adapter)
    , m_address(std::move(address))
    , m_random(seed)
    , m_events(std::move(events))
    , m_callTimer(io)
    , m_retryTimer(io)
{
}

StoreReader::~StoreReader() = default;

void StoreReader::follow(std::optional<uint64_t> revision)
{
    stop();
    m_isFollowing = true;
    m_isListing = !revision;
    m_revision = revision.value_or(0);
    m_failures = 0;
    m_hasFailed = false;
    next();
}

void StoreReader::stop()
{
    m_isFollowing = false;
    m_isConnected = false;
    m_callTimer.cancel();
    m_retryTimer.cancel();
    m_after.clear();
    m_listed.clear();
    if (auto connection = std::move(m_connection))
        connection->close("the store is read by another host");
    m_connection.reset();
}

void StoreReader::next()
{
    if (m_isListing)
        return call(m_adapter.listTarget(everything, m_after), listTimeout);
    call(m_adapter.watchTarget(everything, m_revision, watchTime), watchTime + watchSlack);
}

void StoreReader::call(const std::string& target, base::Duration timeout)
{
    m_callTimer.expires_after(timeout);
    m_callTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && m_connection)
            m_connection->close("no answer in time");
    });
    if (m_connection && m_connection->isIdle())
        return sent(target);
    auto endpoint = tcpEndpoint(m_address);
    if (!endpoint)
        return failed("the address is not valid");
    m_connection = std::make_shared<HttpConnection>(m_io);
    m_connection->open(*endpoint, [this, target, opened = m_connection](const std::string& problem) {
        if (opened != m_connection)
            return;
        if (!problem.empty())
            return failed(problem);
        sent(target);
    });
}

void StoreReader::sent(const std::string& target)
{
    ++m_calls;
    auto fields = "Host: " + m_address + "\r\n";
    m_connection->send(requestText("GET", target, fields, {}, false), {}, {}, false,
        [this, used = m_connection](const CallResult& result) {
            if (used == m_connection)
                answered(result);
        });
}

void StoreReader::answered(const CallResult& result)
{
    m_callTimer.cancel();
    if (result.end != CallEnd::Answered)
        return failed(result.reason);
    auto status = result.answer.result_int();
    if (status == statusGone && !m_isListing) {
        m_isListing = true;
        m_after.clear();
        m_listed.clear();
        return next();
    }
    if (status != 200)
        return failed("status " + std::to_string(status));
    m_isListing ? takePage(result.answer) : takeEvents(result.answer);
}

void StoreReader::takePage(const HttpResponse& answer)
{
    base::LastReason reason;
    auto page = m_adapter.parsePage(answer.body(), reason);
    if (!page)
        return failed(reason.text);
    // Changes during the list are read again by the watch, which starts at the first page's revision.
    if (m_after.empty())
        m_listAsOf = page->asOf;
    for (const auto& item : page->items)
        m_listed.insert(item.key);
    auto hasMore = page->hasMore && !page->items.empty();
    if (hasMore)
        m_after = page->items.back().key;
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    m_events.paged(*page);
    if (!hasMore) {
        m_events.listed(m_listed, m_listAsOf);
        m_isListing = false;
        m_revision = m_listAsOf;
        m_after.clear();
        m_listed.clear();
        if (!m_isConnected) {
            m_isConnected = true;
            m_events.regained();
        }
    }
    next();
}

void StoreReader::takeEvents(const HttpResponse& answer)
{
    base::LastReason reason;
    auto page = m_adapter.parseEvents(answer.body(), reason);
    if (!page)
        return failed(reason.text);
    m_revision = std::max(m_revision, page->asOf);
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    if (!m_isConnected) {
        m_isConnected = true;
        m_events.regained();
    }
    if (page->items.empty())
        return next();
    m_events.changed(*page);
    pause(seriesPause);
}

void StoreReader::pause(base::Duration time)
{
    m_retryTimer.expires_after(time);
    m_retryTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && m_isFollowing)
            next();
    });
}

void StoreReader::failed(const std::string& reason)
{
    m_callTimer.cancel();
    m_connection.reset();
    if (m_isConnected || !m_hasFailed) {
        m_isConnected = false;
        m_hasFailed = true;
        m_events.lost(reason);
    }
    auto time = std::min<base::Duration>(minPause * (1 << std::min(m_failures, 3U)), maxPause);
    ++m_failures;
    pause(std::chrono::duration_cast<base::Duration>(time * (0.75 + 0.5 * base::uniform(m_random))));
}

}
