#include "papayabend/gateway/HttpCall.h"

#include "papayabend/gateway/ChunkedInput.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t readBytes = 16 * 1024;
    constexpr uint32_t maxHeaderBytes = 32 * 1024;
    // Longest part of the input that the parser leaves for later: it takes a body as it comes, so that only a chunk
    // header or a trailer without end is longer.
    constexpr size_t maxUnparsedBytes = 2 * maxHeaderBytes;
    // A peer that is cut off from the network acknowledges nothing; without this limit the kernel retransmits for
    // minutes.
    constexpr int unacknowledgedLimitMs = 1500;
    // TCP keep-alive probes on a connection without traffic detect an unreachable peer within three seconds.
    constexpr int probeAfterSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int maxProbes = 2;
    // Subtracted from the peer's idle limit, so that a request does not arrive while the peer closes the connection.
    constexpr std::chrono::milliseconds idleMargin { 300 };
    // Longer idle limits of a peer are taken for this one, so that they can be added to a point in time.
    constexpr uint64_t maxIdleSeconds = 3600;
    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;
    constexpr std::string_view memoryReason = "unfinished messages use too much memory of this host";

    void setSocketOptions(tcp::socket& socket)
    {
        error_code ec;
        socket.set_option(tcp::no_delay(true), ec);
        socket.set_option(asio::socket_base::keep_alive(true), ec);
        auto set = [fd = socket.native_handle()](
                       int option, int value) { setsockopt(fd, IPPROTO_TCP, option, &value, sizeof(value)); };
        set(TCP_USER_TIMEOUT, unacknowledgedLimitMs);
        set(TCP_KEEPIDLE, probeAfterSeconds);
        set(TCP_KEEPINTVL, probeIntervalSeconds);
        set(TCP_KEEPCNT, maxProbes);
    }

    uint64_t nextConnectionNumber()
    {
        static uint64_t last = 0;
        return ++last;
    }

    /** Returns the seconds of a Keep-Alive field such as "timeout=5, max=100". */
    std::optional<uint64_t> keepAliveSeconds(std::string_view field)
    {
        constexpr std::string_view key = "timeout=";
        auto at = field.find(key);
        if (at == std::string_view::npos)
            return std::nullopt;
        auto rest = field.substr(at + key.size());
        return parseNumber(rest.substr(0, rest.find_first_not_of("0123456789")));
    }

}

HttpConnection::HttpConnection(
    asio::io_context& io, std::shared_ptr<BufferBudget> buffers, std::shared_ptr<MessageFaults> faults)
    : m_number(nextConnectionNumber())
    , m_socket(io)
    , m_buffers(std::move(buffers))
    , m_faults(faults ? std::move(faults) : std::make_shared<MessageFaults>())
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::open(const tcp::endpoint& endpoint, std::function<void(std::string)> opened)
{
    error_code ec;
    m_socket.open(tcp::v4(), ec);
    if (ec)
        return opened("cannot open a socket: " + ec.message());
    setSocketOptions(m_socket);
    m_socket.async_connect(endpoint, [self = shared_from_this(), opened = std::move(opened)](error_code result) {
        if (result || !self->m_socket.is_open()) {
            error_code ignored;
            self->m_socket.close(ignored);
            return opened(result ? result.message() : "closed while connecting");
        }
        self->m_isConnected = true;
        self->m_idleSince = base::BootClock::now();
        error_code ignored;
        self->m_socket.non_blocking(true, ignored);
        self->waitForInput();
        opened({});
    });
}

void HttpConnection::newParser()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeaderBytes);
    m_parser->body_limit(maxAnswerBytes);
    m_parser->eager(true);
    if (m_isHead)
        m_parser->skip(true);
}

void HttpConnection::send(std::string request, std::string idName, std::string id, bool isHead, Done done)
{
    m_done = std::move(done);
    m_idName = std::move(idName);
    m_id = std::move(id);
    m_isHead = isHead;
    m_isWritten = false;
    m_closesAfterAnswer = false;
    m_output = std::move(request);
    m_receivedBytes = 0;
    newParser();
    newHold();
    if (!m_hold->resize(m_output.size()))
        return fail(CallEnd::NotSent, memoryReason);
    error_code ec;
    auto n = m_socket.write_some(asio::buffer(m_output), ec);
    if (ec && ec != asio::error::would_block) {
        // write_some() fails only if it has written nothing, so no byte was sent.
        return fail(CallEnd::NotSent, ec.message());
    }
    if (!ec && n == m_output.size())
        return written();
    asio::async_write(
        m_socket, asio::buffer(m_output) + (ec ? 0 : n), [self = shared_from_this()](error_code result, size_t) {
            if (!result)
                self->written();
            // A failed write is not handled here: read() reports it too, after any answer that arrived before it.
        });
}

void HttpConnection::written()
{
    m_isWritten = true;
    std::string().swap(m_output); // the assignment of an empty text would keep the memory
}

void HttpConnection::waitForInput()
{
    m_socket.async_wait(tcp::socket::wait_read, [weak = weak_from_this()](error_code ec) {
        auto self = weak.lock();
        if (self && !ec)
            self->read();
    });
}

void HttpConnection::read()
{
    std::array<char, readBytes> buf;
    error_code ec;
    auto n = m_socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block)
        return waitForInput();
    auto self = shared_from_this();
    auto isHandled = m_faults->contain("answer", [&] { receive({ buf.data(), n }, ec); });
    if (!isHandled)
        m_faults->contain("answer", [&] { close("the answer could not be handled", false); });
    if (m_socket.is_open())
        waitForInput();
}

void HttpConnection::receive(std::string_view bytes, const error_code& ec)
{
    if (ec)
        return inputEnded(ec);
    if (!m_done)
        return close("the peer sent data while no request was in flight");
    if (auto problem = countReceived(bytes.size()); !problem.empty())
        return fail(CallEnd::Garbled, problem);
    m_input.append(bytes);
    parse();
    if (m_done && m_input.size() > maxUnparsedBytes)
        return fail(CallEnd::Garbled, "a part of the answer is longer than the limit");
}

bool HttpConnection::confirmIdle()
{
    if (!isIdle())
        return false;
    char byte = 0;
    error_code ec;
    m_socket.read_some(asio::buffer(&byte, 1), ec);
    if (ec == asio::error::would_block)
        return true;
    close(ec ? ec.message() : "the peer sent data while no request was in flight");
    return false;
}

std::string_view HttpConnection::countReceived(size_t n)
{
    // Interim answers and answers to other requests count too, since they may come without end.
    m_receivedBytes += n;
    if (m_receivedBytes > maxAnswerBytes + maxHeaderBytes)
        return "the answer is longer than the limit";
    return m_hold->resize(m_output.size() + m_receivedBytes) ? std::string_view() : memoryReason;
}

void HttpConnection::newHold()
{
    // Posted, because the hold is revoked while another connection is being served.
    m_hold = std::make_shared<BufferHold>(m_buffers, [this, weak = weak_from_this()] {
        asio::post(m_socket.get_executor(), [weak] {
            auto self = weak.lock();
            if (self && self->m_done && self->m_hold->isRevoked())
                self->fail(CallEnd::Garbled, memoryReason);
        });
    });
}

void HttpConnection::parse()
{
    while (!m_input.empty() && mayParse(*m_parser, m_parser->get().body().size(), m_input.size())) {
        error_code ec;
        auto n = m_parser->put(asio::buffer(m_input), ec);
        removeFront(m_input, n);
        if (ec && ec != http::error::need_more)
            return fail(CallEnd::Garbled, "not a valid HTTP answer: " + ec.message());
        if (!m_parser->is_done() && statesMoreThan(*m_parser, maxAnswerBytes))
            return fail(CallEnd::Garbled, "the stated length of the answer is above the limit");
        if (m_parser->is_done()) {
            if (!completeAnswer())
                return;
            continue;
        }
        if (n == 0 || ec == http::error::need_more)
            return;
    }
}

bool HttpConnection::isForThisRequest() const
{
    if (m_idName.empty())
        return true;
    auto [first, end] = m_parser->get().equal_range(toBeast(m_idName));
    return std::all_of(first, end, [this](const auto& it) { return toView(it.value()) == m_id; });
}

bool HttpConnection::lacksId() const { return !m_idName.empty() && m_parser->get().count(toBeast(m_idName)) == 0; }

bool HttpConnection::completeAnswer()
{
    auto status = m_parser->get().result_int();
    if (status < minStatus || status > maxStatus) {
        fail(CallEnd::Garbled, "the status of the answer is none of HTTP: " + std::to_string(status));
        return false;
    }
    auto isInterim = status < 200;
    if (isInterim || !isForThisRequest()) {
        m_closesAfterAnswer = m_closesAfterAnswer || !isInterim;
        newParser();
        return true;
    }
    // A connection is kept only after an answer with an id, so the upstream echoes ids. An answer without one may be an
    // extra copy of an earlier answer and proves nothing about this request.
    if (m_hasAnswered && !m_id.empty() && lacksId()) {
        fail(CallEnd::Garbled, "an answer without the request id followed one with an id");
        return false;
    }
    auto keepsAlive = m_parser->keep_alive() && m_isWritten && m_input.empty() && !m_closesAfterAnswer && !lacksId();
    CallResult result;
    result.end = CallEnd::Answered;
    result.answer = m_parser->release();
    result.hadAnswerBytes = true;
    m_hold->commit();
    result.hold = m_hold;
    if (auto seconds = keepAliveSeconds(toView(result.answer[http::field::keep_alive])))
        m_idleUntil = base::BootClock::now() + std::chrono::seconds(std::min(*seconds, maxIdleSeconds)) - idleMargin;
    m_idleSince = base::BootClock::now();
    m_hasAnswered = true;
    if (!keepsAlive) {
        error_code ec;
        m_socket.close(ec);
    }
    finish(std::move(result));
    return false;
}

void HttpConnection::inputEnded(const error_code& ec)
{
    auto isEnd = ec == asio::error::eof;
    if (m_done && isEnd && m_parser->is_header_done()) {
        error_code ignored;
        m_parser->put_eof(ignored);
        if (!ignored && m_parser->is_done() && isForThisRequest()) {
            m_closesAfterAnswer = true; // the stream has ended
            completeAnswer();
            return;
        }
    }
    close(isEnd ? "closed by the peer" : ec.message(), isEnd || ec == asio::error::connection_reset);
}

void HttpConnection::close(std::string_view reason, bool isEndedByPeer)
{
    auto self = shared_from_this();
    error_code ec;
    m_socket.close(ec);
    if (m_done)
        return fail(CallEnd::Lost, reason, isEndedByPeer);
    if (m_isConnected && m_onIdleEnd)
        m_onIdleEnd();
}

void HttpConnection::fail(CallEnd end, std::string_view reason, bool isEndedByPeer)
{
    error_code ec;
    m_socket.close(ec);
    CallResult result;
    result.end = end;
    result.reason = reason;
    result.hadAnswerBytes = m_parser->got_some();
    result.isEndedByPeer = isEndedByPeer;
    finish(std::move(result));
}

void HttpConnection::finish(CallResult result)
{
    auto self = shared_from_this();
    m_hold.reset();
    auto done = std::move(m_done);
    m_done = nullptr;
    done(std::move(result));
}

}
