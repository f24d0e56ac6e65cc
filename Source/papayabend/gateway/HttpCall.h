#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/BufferBudget.h"
#include "papayabend/gateway/HttpMessage.h"
#include "papayabend/gateway/MessageFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace papayabend::gateway {

/** \enum CallEnd
 * \brief Outcome of a request that was to be sent on a connection.
 */
enum class CallEnd : uint8_t {
    Answered,
    NotSent, /**< No byte of the request was written. */
    Lost, /**< The connection ended before the answer was complete. */
    Garbled, /**< The input is not a valid HTTP answer. */
};

/** \struct CallResult
 * \brief Outcome of a request on a connection, with the answer if there is one.
 */
struct CallResult {
    CallEnd end { CallEnd::NotSent };
    HttpResponse answer; /**< Set if end is Answered. */
    std::string reason; /**< Why there is no answer; set for any other end. */
    std::shared_ptr<BufferHold> hold; /**< Of the bytes of the answer, while they are kept. */
    bool hadAnswerBytes { false }; /**< At least a part of an answer was received. */
    /** This host decided not to send it, which says nothing about the upstream; reason is then a label of the metric
     * of withheld attempts. Only with NotSent. */
    bool isWithheld { false };
    /** The peer has ended the connection; false if this host has closed it, or the network does not reach the peer. */
    bool isEndedByPeer { false };
};

/** \class HttpConnection
 * \brief Client side of an HTTP/1.1 connection that carries one request at a time.
 *
 * Not thread-safe: used only on the thread of its io_context. If it is not certain where the next answer begins in the
 * input, the connection is closed and not used again.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Done = std::function<void(CallResult)>;

    /** Longest time for a connection to be established; the owner of the connection enforces it. */
    static constexpr base::Duration connectTimeout { std::chrono::seconds(1) };
    /** Longest body of an answer that is accepted, and longest input for one request without a header more. */
    static constexpr uint64_t maxAnswerBytes = 16 * 1024 * 1024;

    /** \a buffers: shared with other connections; nullptr if the connection has only its own bound. \a faults: counts
     * the exceptions that answers cause, each of which closes the connection; nullptr if they are not to be counted. */
    explicit HttpConnection(boost::asio::io_context&, std::shared_ptr<BufferBudget> buffers = nullptr,
        std::shared_ptr<MessageFaults> faults = nullptr);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /** Connects; \a opened is called once, with an empty text on success or else the reason of the failure. */
    void open(const boost::asio::ip::tcp::endpoint&, std::function<void(std::string)> opened);

    /** Sends \a request on an idle connection. \a idName and \a id: name and value of the field with
     * the request id, or empty if there is none.
     *
     * An answer that has this field with another value belongs to an earlier request and is skipped. After an answer
     * that should have the field and lacks it, the connection is closed: a repetition of it could not be told from the
     * answer to the next request. A request must not be sent on a connection on which another one with the same id was
     * sent.
     */
    void send(std::string request, std::string idName, std::string id, bool isHead, Done done);

    /** Closes the connection. A request in flight ends as Lost. */
    void close(std::string_view reason) { close(reason, false); }

    /** Closes an idle connection if its peer has ended it or has sent data that nobody asked for, also if the event
     * loop has not reported this yet; returns whether the connection is still idle. */
    bool confirmIdle();

    /** Sets the function that is called when the connection is closed while it carries no request. */
    void setOnIdleEnd(std::function<void()> onEnd) { m_onIdleEnd = std::move(onEnd); }

    bool isOpen() const { return m_isConnected && m_socket.is_open(); }
    bool isIdle() const { return isOpen() && !m_done; }
    /** Returns until when the connection may be reused: the idle limit that the peer stated, less a margin. Empty if
     * the peer stated none. */
    std::optional<base::TimePoint> idleUntil() const { return m_idleUntil; }
    base::TimePoint idleSince() const { return m_idleSince; }
    /** Bytes received since the newest request was sent. */
    uint64_t receivedBytes() const { return m_receivedBytes; }
    /** Tells the connections of this process apart; never used again. */
    uint64_t number() const { return m_number; }
    /** Returns whether the peer has answered a request on this connection. */
    bool hasAnswered() const { return m_hasAnswered; }

private:
    using Parser = http::response_parser<ReceivedBody>;

    void waitForInput();
    void read();
    /** Handles bytes that have arrived, or the end of the input. */
    void receive(std::string_view bytes, const boost::system::error_code&);
    /** Counts received bytes; returns why the answer is to be given up, or an empty text. */
    std::string_view countReceived(size_t);
    /** Creates the hold of the next request and its answer. */
    void newHold();
    void parse();
    void newParser();
    /** Handles a complete answer; returns true if it was skipped and parsing continues. */
    bool completeAnswer();
    bool isForThisRequest() const;
    bool lacksId() const;
    /** Handles the end of the input, which completes an answer without a length. */
    void inputEnded(const boost::system::error_code&);
    void finish(CallResult);
    void fail(CallEnd, std::string_view reason, bool isEndedByPeer = false);
    void close(std::string_view reason, bool isEndedByPeer);
    void written();

    uint64_t m_number;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<BufferBudget> m_buffers;
    std::shared_ptr<BufferHold> m_hold; // of the request that is being sent and of the answer
    std::shared_ptr<MessageFaults> m_faults;
    std::optional<Parser> m_parser;
    std::string m_input;
    std::string m_output;
    std::string m_idName;
    std::string m_id;
    Done m_done;
    std::function<void()> m_onIdleEnd;
    std::optional<base::TimePoint> m_idleUntil;
    base::TimePoint m_idleSince {};
    uint64_t m_receivedBytes { 0 };
    bool m_isConnected { false };
    bool m_hasAnswered { false };
    bool m_isHead { false };
    bool m_isWritten { false };
    bool m_closesAfterAnswer { false }; // the stream has ended or held an answer to another request
};

}
