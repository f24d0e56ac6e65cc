#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace papayabend::gateway {

/** \enum CallEnd
 * \brief How a request on a connection ended.
 */
enum class CallEnd : uint8_t {
    Answered,
    NotSent, /**< No byte of it was handed to the connection. */
    Lost, /**< The connection ended before a complete answer. */
    Garbled, /**< What came is not an answer to it. */
};

/** \struct CallResult
 * \brief End of a request on a connection, with the answer if there is one.
 */
struct CallResult {
    CallEnd end { CallEnd::NotSent };
    HttpResponse answer; /**< Set if end is Answered. */
    std::string reason; /**< Cause of any other end. */
    bool hadAnswerBytes { false }; /**< A part of an answer had come. */
};

/** \class HttpConnection
 * \brief Client side of an HTTP/1.1 connection that carries one request at a time, on the thread of its loop.
 *
 * After anything that leaves the position in the byte stream in doubt, the connection is closed and never used again.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Done = std::function<void(CallResult)>;

    /** Time for a connection to be established. */
    static constexpr base::Duration connectTimeout { std::chrono::seconds(1) };
    /** Bytes of an answer's body that are accepted. */
    static constexpr uint64_t maxAnswerBytes = 16 * 1024 * 1024;

    explicit HttpConnection(boost::asio::io_context&);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    /** Connects; \a opened is called once, with an empty text on success. */
    void open(const boost::asio::ip::tcp::endpoint&, std::function<void(std::string)> opened);

    /** Sends \a request on an idle connection. \a idName and \a id: field that a matching answer echoes, if set.
     *
     * An answer that echoes another id belongs to an earlier request and is skipped.
     */
    void send(std::string request, std::string idName, std::string id, bool isHead, Done done);

    /** Closes the connection. A request in flight ends as Lost. */
    void close(std::string_view reason);

    /** Called when an idle connection has ended by itself. */
    void setOnIdleEnd(std::function<void()> onEnd) { m_onIdleEnd = std::move(onEnd); }

    bool isOpen() const { return m_isConnected && m_socket.is_open(); }
    bool isIdle() const { return isOpen() && !m_done; }
    /** Time until which the peer keeps an idle connection, less a margin; nothing if it has not said. */
    std::optional<base::TimePoint> idleUntil() const { return m_idleUntil; }
    base::TimePoint idleSince() const { return m_idleSince; }
    /** Whether a request has been answered on it. */
    bool isProven() const { return m_isProven; }

private:
    using Parser = http::response_parser<http::string_body>;

    void waitForInput();
    void read();
    void parse();
    void newParser();
    /** Takes a complete answer; returns whether the connection goes on reading. */
    bool complete();
    bool isForThisRequest() const;
    void ended(const boost::system::error_code&);
    void finish(CallResult);
    void fail(CallEnd, std::string_view reason);
    void written();

    boost::asio::ip::tcp::socket m_socket;
    std::optional<Parser> m_parser;
    std::string m_input;
    std::string m_output;
    std::string m_idName;
    std::string m_id;
    Done m_done;
    std::function<void()> m_onIdleEnd;
    std::optional<base::TimePoint> m_idleUntil;
    base::TimePoint m_idleSince {};
    bool m_isConnected { false };
    bool m_isProven { false };
    bool m_isHead { false };
    bool m_isWritten { false };
    bool m_isSkipping { false }; // an answer to another request was seen
};

}
