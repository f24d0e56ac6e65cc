#include "papayabend/gateway/HttpListenerImpl.h"

#include <array>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayabend::gateway {

namespace {

    namespace asio = boost::asio;
    using asio::ip::tcp;
    using boost::system::error_code;

    constexpr size_t readBytes = 16 * 1024;
    // Input that is read from a client before its current request is answered and the answer was sent.
    constexpr size_t maxPipelinedBytes = 64 * 1024;
    // Time for a client to receive its answer.
    constexpr base::Duration writeTimeout { std::chrono::seconds(10) };
    // Time for a client to close its connection after the last answer.
    constexpr base::Duration lingerTimeout { std::chrono::seconds(1) };
    // Added to the idle limit: clients reuse a connection until the limit, and a request that arrives while the
    // connection is being closed is lost.
    constexpr base::Duration idleMargin { std::chrono::seconds(1) };
    constexpr auto memoryReason = "unfinished messages use too much memory of this host; the request has not run";
    constexpr auto retryAfter = "Retry-After: 0.5\r\n";

    /** Returns the round trip that the kernel has measured on a connection, or 0 if it tells none. */
    base::Duration roundTripOf(tcp::socket& socket)
    {
        tcp_info info {};
        socklen_t n = sizeof(info);
        if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
            return base::Duration(0);
        return std::chrono::microseconds(info.tcpi_rtt);
    }

}

Answer roomAnswer()
{
    auto answer = plainAnswer(503, "this host has too many connections; the request has not run");
    answer.fields += retryAfter;
    return answer;
}

void HttpListener::Impl::Connection::start()
{
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.non_blocking(true, ec);
    path = { roundTripOf(socket), true };
    // A request that is being received is freed at once: many connections may be waiting for their turn of the event
    // loop. The answer is posted, because the hold is revoked while another connection is being served.
    hold.emplace(owner->buffers, [this, weak = weak_from_this()] {
        if (phase == Phase::Reading)
            reader.drop();
        asio::post(owner->io, [weak] {
            auto self = weak.lock();
            if (self && self->hold->isRevoked())
                self->contain([&] { self->giveUpBuffers(); });
        });
    });
    nextRequest(); // the place stays in ClientState::Waiting until the first answer
    waitForInput();
}

void HttpListener::Impl::Connection::enter(Phase next)
{
    phase = next;
    switch (phase) {
    case Phase::Idle:
        return place.enter(ClientState::Idle);
    case Phase::Reading:
        return place.enter(ClientState::Waiting);
    case Phase::Handling:
        return place.enter(ClientState::Handled);
    case Phase::Writing:
        return place.enter(ClientState::Receiving);
    case Phase::Lingering:
        return place.enter(ClientState::Ended);
    }
}

void HttpListener::Impl::Connection::nextRequest()
{
    hasSentContinue = false;
    deadline = base::BootClock::now() + owner->limits.idleTimeout + idleMargin;
    reader.start(owner->requestLimits());
}

void HttpListener::Impl::Connection::waitForInput()
{
    auto isBusy = phase == Phase::Handling || phase == Phase::Writing;
    if (isWaitingForInput || !socket.is_open() || (isBusy && reader.inputBytes() >= maxPipelinedBytes))
        return;
    isWaitingForInput = true;
    socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
        self->isWaitingForInput = false;
        if (!ec)
            self->read();
    });
}

void HttpListener::Impl::Connection::read()
{
    std::array<char, readBytes> buf;
    error_code ec;
    auto n = socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block)
        return waitForInput();
    if (ec)
        return close();
    contain([&] { receive({ buf.data(), n }); });
    waitForInput();
}

void HttpListener::Impl::Connection::receive(std::string_view bytes)
{
    if (phase == Phase::Lingering || discardsInput)
        return;
    reader.append(bytes);
    if (!resizeHold())
        return giveUpBuffers();
    if (phase == Phase::Idle || phase == Phase::Reading)
        parse();
}

void HttpListener::Impl::Connection::parse()
{
    if (reader.inputBytes() == 0 || (phase != Phase::Idle && phase != Phase::Reading))
        return;
    if (phase == Phase::Idle) {
        enter(Phase::Reading);
        heldUntilReceived.reset();
        deadline = base::BootClock::now() + owner->limits.headerTimeout;
    }
    if (!hasRoomForFields())
        return giveUpBuffers();
    switch (reader.parse()) {
    case RequestReader::Result::Complete:
        return handle();
    case RequestReader::Result::Refused:
        return refuse(reader.refusal().reason, plainAnswer(reader.refusal().status, reader.refusal().text));
    case RequestReader::Result::NeedsMore:
        break;
    }
    if (!resizeHold())
        return giveUpBuffers();
    if (reader.hasHeader())
        awaitBody();
}

void HttpListener::Impl::Connection::awaitBody()
{
    deadline = base::BootClock::now() + owner->limits.idleTimeout;
    if (hasSentContinue || !reader.expectsContinue())
        return;
    hasSentContinue = true;
    error_code ec;
    asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ec);
    if (ec)
        close();
}

void HttpListener::Impl::Connection::record(RefusalReason reason)
{
    error_code ec;
    auto client = socket.remote_endpoint(ec);
    owner->guard->refusals.record(reason, ec ? std::string() : client.address().to_string());
}

void HttpListener::Impl::Connection::refuse(RefusalReason reason, const Answer& answer)
{
    record(reason);
    reader.drop();
    keepsAlive = false;
    isHead = false;
    write(answer);
}

void HttpListener::Impl::Connection::makeRoom()
{
    // This function is called from a member of the connection, which must not be destroyed yet.
    asio::post(owner->io, [self = shared_from_this()] {});
    record(RefusalReason::Connections);
    // A request that was sent ahead may have been received completely and not parsed yet.
    if (phase == Phase::Reading || (phase == Phase::Idle && reader.inputBytes() > 0)) {
        error_code ec;
        socket.write_some(asio::buffer(answerText(roomAnswer(), false, true)), ec);
    }
    close();
}

bool HttpListener::Impl::Connection::resizeHold()
{
    // Answers that hold something until they are received are bounded by its number.
    auto outputBytes = heldUntilReceived.use_count() > 0 ? 0 : output.capacity();
    return hold->resize(reader.heldBytes() + outputBytes);
}

bool HttpListener::Impl::Connection::hasRoomForFields() const
{
    if (!owner->buffers)
        return true;
    const auto& budget = *owner->buffers;
    auto bytes = reader.expectedFieldBytes();
    return bytes <= budget.smallBytes || budget.bytes + bytes <= budget.maxBytes;
}

void HttpListener::Impl::Connection::giveUpBuffers()
{
    hold->release();
    if (phase == Phase::Writing) {
        record(RefusalReason::Memory);
        return close();
    }
    if (phase == Phase::Lingering || (phase != Phase::Reading && reader.inputBytes() == 0))
        return;
    if (phase == Phase::Handling) {
        record(RefusalReason::Memory);
        reader.drop();
        keepsAlive = false;
        discardsInput = true;
        return;
    }
    auto answer = plainAnswer(503, memoryReason);
    answer.fields += retryAfter;
    refuse(RefusalReason::Memory, answer);
}

void HttpListener::Impl::Connection::handle()
{
    auto requestHold = std::make_shared<BufferHold>(owner->buffers);
    // Entered first, so that the request stays when room is made for it.
    enter(Phase::Handling);
    if (!requestHold->resize(reader.requestBytes())) {
        enter(Phase::Reading);
        return giveUpBuffers();
    }
    request = std::make_shared<ClientRequest>();
    request->hold = std::move(requestHold);
    keepsAlive = reader.keepsAlive();
    isHead = reader.isHead();
    request->message = reader.release();
    reader.start(owner->requestLimits());
    resizeHold();
    request->arrivedAt = base::BootClock::now();
    request->path = path;
    path.isNewConnection = false;
    request->answer = [weak = weak_from_this(), sent = request.get()](const Answer& answer) {
        auto self = weak.lock();
        if (self && self->request.get() == sent)
            self->answered(answer);
    };
    ++owner->requests;
    owner->handler(request);
}

void HttpListener::Impl::Connection::answered(const Answer& answer)
{
    if (phase != Phase::Handling)
        return;
    endRequest();
    write(answer);
}

void HttpListener::Impl::Connection::endRequest()
{
    if (!request)
        return;
    --owner->requests;
    request.reset();
}

void HttpListener::Impl::Connection::write(const Answer& answer)
{
    enter(Phase::Writing);
    deadline = base::BootClock::now() + writeTimeout;
    closesAfterAnswer = owner->closesAfterAnswer || !keepsAlive;
    output = answerText(answer, isHead, closesAfterAnswer);
    heldUntilReceived = answer.heldUntilReceived;
    error_code ec;
    auto n = socket.write_some(asio::buffer(output), ec);
    if (ec && ec != asio::error::would_block)
        return close();
    if (!ec && n == output.size())
        return written();
    if (!resizeHold()) {
        record(RefusalReason::Memory);
        return close();
    }
    asio::async_write(socket, asio::buffer(output) + (ec ? 0 : n),
        [self = shared_from_this()](error_code result, size_t) { result ? self->close() : self->written(); });
}

void HttpListener::Impl::Connection::written()
{
    std::string().swap(output); // the assignment of an empty text would keep the memory
    resizeHold();
    if (closesAfterAnswer)
        return linger();
    enter(Phase::Idle);
    nextRequest();
    // Posted, because the handler may have answered within parse(), which must not call itself.
    if (reader.inputBytes() > 0)
        asio::post(owner->io, [self = shared_from_this()] {
            self->contain([&] { self->parse(); });
            self->waitForInput();
        });
    waitForInput();
}

void HttpListener::Impl::Connection::linger()
{
    enter(Phase::Lingering);
    deadline = base::BootClock::now() + lingerTimeout;
    reader.drop();
    resizeHold();
    error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    if (ec)
        return close();
    waitForInput();
}

void HttpListener::Impl::Connection::close()
{
    if (!socket.is_open())
        return;
    auto self = shared_from_this();
    error_code ec;
    socket.close(ec);
    place.leave();
    auto unanswered = request;
    endRequest();
    heldUntilReceived.reset();
    if (unanswered && unanswered->onClientLeft)
        unanswered->onClientLeft();
    owner->connections.erase(self);
}

void HttpListener::Impl::Connection::sweep(base::TimePoint now)
{
    if (phase == Phase::Handling || now < deadline)
        return;
    if (phase == Phase::Reading)
        return refuse(RefusalReason::Timeout, plainAnswer(408, "the request was not received completely in time"));
    if (phase == Phase::Writing)
        record(RefusalReason::UnreadAnswer);
    close();
}

}
