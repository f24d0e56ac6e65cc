#include "papayabend/gateway/StoreReader.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <utility>

namespace papayabend::gateway {

namespace {

    // Even a store that is fifty times slower than usual answers a list within 500 ms.
    constexpr base::Duration listTimeout { std::chrono::seconds(2) };
    // Time for which the store holds a watch open that is to be answered at once.
    constexpr base::Duration promptWatchTime { std::chrono::milliseconds(10) };
    // A watch fails if the time for which the store holds it open and this slack pass without an answer.
    constexpr base::Duration watchSlack { std::chrono::seconds(1) };
    // An answer that has begun may take longer, as over a busy link, if a part of it arrives within each stall time.
    constexpr base::Duration answerStallTime { std::chrono::seconds(1) };
    constexpr base::Duration maxCallTime { std::chrono::seconds(10) };
    // Delays after failed calls double up to this maximum; each is varied at random by up to 25 %.
    constexpr base::Duration maxRetryDelay { std::chrono::milliseconds(800) };
    // Prefix of all keys. The store holds only those of the operator and of the upstreams.
    constexpr auto allKeys = "";
    constexpr unsigned statusGone = 410;

}

StoreReader::StoreReader(boost::asio::io_context& io, const PlatformAdapter& adapter, std::string address,
    uint64_t seed, StoreEvents events, std::shared_ptr<MessageFaults> faults, std::shared_ptr<BufferBudget> buffers)
    : m_io(io)
    , m_adapter(adapter)
    , m_address(std::move(address))
    , m_random(seed)
    , m_events(std::move(events))
    , m_faults(faults ? std::move(faults) : std::make_shared<MessageFaults>())
    , m_buffers(std::move(buffers))
    , m_callTimer(io)
    , m_retryTimer(io)
{
}

StoreReader::~StoreReader() = default;

void StoreReader::follow(std::optional<uint64_t> revision, base::Duration retryDelay)
{
    stop();
    m_isFollowing = true;
    m_isListing = !revision;
    m_needsPromptAnswer = revision.has_value();
    m_retryDelay = retryDelay;
    m_revision = revision.value_or(0);
    m_failures = 0;
    m_hasFailed = false;
    startNextCall();
}

void StoreReader::stop()
{
    m_isFollowing = false;
    m_isConnected = false;
    m_callTimer.cancel();
    m_retryTimer.cancel();
    m_lastListedKey.clear();
    m_listedKeys.clear();
    if (auto connection = std::move(m_connection))
        connection->close("this host no longer reads the store");
    m_connection.reset();
}

void StoreReader::startNextCall()
{
    if (m_isListing)
        return startCall(m_adapter.listTarget(allKeys, m_lastListedKey), listTimeout);
    // Changes that other hosts have sent during a pause need no answer of the store.
    m_revision = std::max(m_revision, m_events.appliedRevision());
    auto watchTime = m_needsPromptAnswer ? promptWatchTime : m_events.watchTime();
    startCall(m_adapter.watchTarget(allKeys, m_revision, watchTime), watchTime + watchSlack);
}

void StoreReader::startCall(const std::string& target, base::Duration timeout)
{
    watchCall(timeout, 0, base::BootClock::now());
    if (m_connection && m_connection->isIdle())
        return sendRequest(target);
    auto endpoint = tcpEndpoint(m_address);
    if (!endpoint)
        return handleFailure("the address of the store is invalid");
    m_connection = std::make_shared<HttpConnection>(m_io, m_buffers, m_faults);
    m_connection->open(*endpoint, [this, target, opened = m_connection](const std::string& problem) {
        if (opened != m_connection)
            return;
        if (!problem.empty())
            return handleFailure(problem);
        sendRequest(target);
    });
}

void StoreReader::watchCall(base::Duration timeout, uint64_t receivedBytes, base::TimePoint startedAt)
{
    m_callTimer.expires_after(timeout);
    m_callTimer.async_wait([this, receivedBytes, startedAt](const boost::system::error_code& ec) {
        if (ec || !m_connection)
            return;
        auto received = m_connection->receivedBytes();
        if (received == receivedBytes || base::BootClock::now() - startedAt > maxCallTime)
            return m_connection->close("the store did not answer in time");
        watchCall(answerStallTime, received, startedAt);
    });
}

void StoreReader::sendRequest(const std::string& target)
{
    ++m_calls;
    auto fields = "Host: " + m_address + "\r\n";
    m_connection->send(requestText("GET", target, fields, {}, false), {}, {}, false,
        [this, used = m_connection](const CallResult& result) {
            if (used != m_connection || m_faults->contain("store", [&] { handleAnswer(result); }))
                return;
            used->close("the answer could not be handled");
            handleFailure("the answer could not be handled");
        });
}

void StoreReader::handleAnswer(const CallResult& result)
{
    m_callTimer.cancel();
    if (result.end != CallEnd::Answered)
        return handleFailure(result.reason);
    auto status = result.answer.result_int();
    if (status == statusGone && !m_isListing) {
        m_isListing = true;
        m_lastListedKey.clear();
        m_listedKeys.clear();
        return startNextCall();
    }
    if (status != 200)
        return handleFailure("status " + std::to_string(status));
    auto era = m_adapter.parseStoreEra(result.answer).value_or(m_era);
    if (era > m_era)
        m_events.eraBegun(std::exchange(m_era, era), era);
    m_isListing ? handlePage(result.answer) : handleEvents(result.answer);
}

void StoreReader::handlePage(const HttpResponse& answer)
{
    base::LastReason reason;
    auto page = m_adapter.parsePage(answer.body(), reason);
    if (!page)
        return handleFailure(reason.text);
    // The watch starts at the revision of the first page, so it also returns all changes made during the list.
    if (m_lastListedKey.empty())
        m_listRevision = page->asOf;
    for (const auto& item : page->items)
        m_listedKeys.insert(item.key);
    auto hasMore = page->hasMore && !page->items.empty();
    if (hasMore)
        m_lastListedKey = page->items.back().key;
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    m_events.pageReceived(*page);
    if (!hasMore) {
        m_events.listCompleted(m_listedKeys, m_listRevision);
        m_isListing = false;
        m_revision = m_listRevision;
        m_lastListedKey.clear();
        m_listedKeys.clear();
        if (!m_isConnected) {
            m_isConnected = true;
            m_events.regained();
        }
    }
    startNextCall();
}

void StoreReader::handleEvents(const HttpResponse& answer)
{
    base::LastReason reason;
    auto page = m_adapter.parseEvents(answer.body(), reason);
    if (!page)
        return handleFailure(reason.text);
    m_revision = std::max(m_revision, page->asOf);
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    m_needsPromptAnswer = false;
    if (!m_isConnected) {
        m_isConnected = true;
        m_events.regained();
    }
    page->items.empty() ? m_events.unchanged() : m_events.changesReceived(*page);
    scheduleNextCall(m_events.pauseTime(!page->items.empty()));
}

void StoreReader::scheduleNextCall(base::Duration time)
{
    m_retryTimer.expires_after(time);
    m_retryTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec && m_isFollowing)
            startNextCall();
    });
}

void StoreReader::handleFailure(const std::string& reason)
{
    m_callTimer.cancel();
    m_connection.reset();
    if (m_isConnected || !m_hasFailed) {
        m_isConnected = false;
        m_hasFailed = true;
        m_events.lost(reason);
    }
    m_needsPromptAnswer = true;
    auto time = std::min(m_retryDelay * (1 << std::min(m_failures, 3U)), std::max(maxRetryDelay, m_retryDelay));
    ++m_failures;
    scheduleNextCall(std::chrono::duration_cast<base::Duration>(time * (0.75 + 0.5 * base::uniform(m_random))));
}

}
