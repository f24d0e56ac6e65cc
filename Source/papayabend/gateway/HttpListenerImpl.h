#pragma once

#include "papayabend/gateway/HttpListener.h"
#include "papayabend/gateway/RequestReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <unordered_set>

namespace papayabend::gateway {

/** Returns the answer to a client that is sent away because there are too many connections. */
Answer roomAnswer();

/** \struct HttpListener::Impl
 * \brief State of the listener that its connections share.
 */
struct HttpListener::Impl : std::enable_shared_from_this<HttpListener::Impl> {
    struct Connection;

    Impl(boost::asio::io_context& context, Handler receiver, std::shared_ptr<MessageFaults> messageFaults,
        std::shared_ptr<BufferBudget> sharedBuffers, std::shared_ptr<ClientGuard> sharedGuard)
        : io(context)
        , acceptor(context)
        , sweepTimer(context)
        , retryTimer(context)
        , handler(std::move(receiver))
        , faults(messageFaults ? std::move(messageFaults) : std::make_shared<MessageFaults>())
        , buffers(std::move(sharedBuffers))
        , guard(sharedGuard ? std::move(sharedGuard) : std::make_shared<ClientGuard>())
        , number(guard->connections->addListener())
    {
    }
    void accept();
    void accepted(boost::asio::ip::tcp::socket);
    RequestLimits requestLimits() const
    {
        return { limits.headerBytes, limits.bodyBytes, guard->headerFields, guard->chunkFramingBytes };
    }
    void sweep();

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer sweepTimer;
    boost::asio::steady_timer retryTimer;
    Handler handler;
    std::shared_ptr<MessageFaults> faults;
    std::shared_ptr<BufferBudget> buffers;
    std::shared_ptr<ClientGuard> guard;
    size_t number; // of this listener among those that share the guard
    routes::ClientLimits limits;
    std::unordered_set<std::shared_ptr<Connection>> connections;
    size_t requests { 0 };
    bool closesAfterAnswer { false };
    bool isStopped { false };
};

/** \struct HttpListener::Impl::Connection
 * \brief One client connection.
 */
struct HttpListener::Impl::Connection : std::enable_shared_from_this<Connection> {
    enum class Phase {
        Idle, // between two requests
        Reading, // a part of a request was read
        Handling, // the handler has the request
        Writing, // the answer is being written
        Lingering, // the last answer was written; input is discarded until the client closes
    };

    Connection(std::shared_ptr<Impl> shared, boost::asio::ip::tcp::socket accepted)
        : owner(std::move(shared))
        , socket(std::move(accepted))
        , place(owner->guard->connections, owner->number, [this] { makeRoom(); })
    {
    }

    void start();
    void enter(Phase next);
    void nextRequest();
    void waitForInput();
    void read();
    /** Calls \a handle; closes the connection if it throws an exception. */
    template <typename Handle> void contain(Handle&& handle)
    {
        auto self = shared_from_this();
        if (!owner->faults->contain("request", std::forward<Handle>(handle)))
            owner->faults->contain("request", [&] { close(); });
    }

    void receive(std::string_view bytes);
    void parse();
    // Each part of the body that arrives extends the deadline by the idle limit. Sends 100 Continue if it is expected.
    void awaitBody();
    void record(RefusalReason reason);
    /** Answers a request that has not run, and closes the connection. */
    void refuse(RefusalReason reason, const Answer& answer);
    /** Closes the connection, so that another one can be opened. */
    void makeRoom();
    bool resizeHold();
    /** Returns whether the memory suffices for the fields of the header in the input. A header of so many fields that
     * it counts as large is refused before it is parsed, because parsing it takes long. */
    bool hasRoomForFields() const;
    /** Drops what the connection holds. Only a request that is complete is still answered. */
    void giveUpBuffers();
    void handle();
    void answered(const Answer& answer);
    void endRequest();
    void write(const Answer& answer);
    void written();
    // Closing a socket with unread input resets the connection, and the client can lose the answer.
    void linger();
    void close();
    void sweep(base::TimePoint now);

    std::shared_ptr<Impl> owner;
    boost::asio::ip::tcp::socket socket;
    ClientPlace place;
    RequestReader reader;
    std::shared_ptr<ClientRequest> request;
    dispatch::CallerPath path;
    std::string output;
    std::optional<BufferHold> hold; // of what the reader holds, and of output
    std::shared_ptr<void> heldUntilReceived; // of the last answer
    base::TimePoint deadline {};
    Phase phase { Phase::Idle };
    bool isWaitingForInput { false };
    bool hasSentContinue { false };
    bool keepsAlive { true };
    bool closesAfterAnswer { false };
    bool discardsInput { false }; // the connection ends with the present answer
    bool isHead { false };
};

}
