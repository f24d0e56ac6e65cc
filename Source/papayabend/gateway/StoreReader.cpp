#include "papayabend/gateway/StoreReader.h"

#include "papayabend/gateway/Address.h"

#include <algorithm>
#include <iterator>
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

void StoreReader::follow(std::optional<base::StorePosition> position, base::Duration retryDelay)
{
    stop();
    m_isFollowing = true;
    m_isListing = !position;
    m_hasJustListed = false;
    m_needsPromptAnswer = position.has_value();
    m_retryDelay = retryDelay;
    m_position = position.value_or(base::StorePosition {});
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
    m_list = {};
    if (auto connection = std::move(m_connection))
        connection->close("this host no longer reads the store");
    m_connection.reset();
}

void StoreReader::startNextCall()
{
    if (m_isListing)
        return startCall(m_adapter.listTarget(allKeys, m_lastListedKey), listTimeout);
    // Changes that other hosts have sent during a pause need no answer of the store.
    m_position = std::max(m_position, m_events.appliedPosition());
    auto watchTime = m_needsPromptAnswer ? promptWatchTime : m_events.watchTime();
    startCall(m_adapter.watchTarget(allKeys, m_position.revision, watchTime), watchTime + watchSlack);
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
        beginList();
        // A store that has no changes after its own list would be asked for lists without a pause.
        return m_hasJustListed ? handleFailure("the store has no changes after its list") : startNextCall();
    }
    if (status != 200)
        return handleFailure("status " + std::to_string(status));
    auto era = m_adapter.parseStoreEra(result.answer);
    if (!era)
        return handleFailure("the era of the answer cannot be read");
    if (checkEra(*era))
        m_isListing ? handlePage(result.answer, *era) : handleEvents(result.answer, *era);
}

bool StoreReader::checkEra(uint64_t era)
{
    auto known = std::max(m_position.era, m_events.appliedPosition().era);
    if (era < known) {
        handleFailure("an answer of era " + std::to_string(era) + " came after one of era " + std::to_string(known));
        return false;
    }
    auto isFirstPage = m_isListing && m_lastListedKey.empty();
    auto isOfThisList = isFirstPage || (m_isListing && era == m_list.position.era);
    if (era > known) {
        m_events.eraBegun(known, era);
        m_position = { era, 0 };
    }
    if (isOfThisList || (!m_isListing && era == known))
        return true;
    beginList();
    startNextCall();
    return false;
}

void StoreReader::beginList()
{
    m_isListing = true;
    m_lastListedKey.clear();
    m_list = {};
}

void StoreReader::handlePage(const HttpResponse& answer, uint64_t era)
{
    base::LastReason reason;
    auto page = m_adapter.parsePage(answer.body(), reason);
    if (!page)
        return handleFailure(reason.text);
    // The watch starts at the revision of the first page, so it also returns all changes made during the list.
    if (m_lastListedKey.empty())
        m_list.position = { era, page->asOf };
    auto hasMore = page->hasMore && !page->items.empty();
    if (hasMore)
        m_lastListedKey = page->items.back().key;
    std::ranges::move(page->items, std::back_inserter(m_list.items));
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    if (!hasMore) {
        auto list = std::exchange(m_list, {});
        m_lastListedKey.clear();
        m_events.listReceived(list);
        m_isListing = false;
        m_hasJustListed = true;
        m_position = list.position;
        if (!m_isConnected) {
            m_isConnected = true;
            m_events.regained();
        }
    }
    startNextCall();
}

void StoreReader::handleEvents(const HttpResponse& answer, uint64_t era)
{
    base::LastReason reason;
    auto page = m_adapter.parseEvents(answer.body(), reason);
    if (!page)
        return handleFailure(reason.text);
    page->era = era;
    m_position.revision = std::max(m_position.revision, page->asOf);
    m_failures = 0;
    m_answeredAt = base::BootClock::now();
    m_needsPromptAnswer = false;
    m_hasJustListed = false;
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
