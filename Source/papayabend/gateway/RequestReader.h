#pragma once

#include "papayabend/gateway/HttpMessage.h"
#include "papayabend/routes/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::gateway {

/** \enum RefusalReason
 * \brief Why a request or a connection of a client was refused or closed.
 */
enum class RefusalReason : uint8_t {
    InvalidRequest,
    HeaderBytes,
    HeaderFields,
    BodyBytes,
    ChunkFraming, /**< Sizes and extensions of chunks, or the trailer, are too long. */
    Memory,
    Timeout, /**< The request was not received completely in time. */
    UnreadAnswer, /**< The client did not take its answer in time. */
    Connections, /**< Closed to make room for another connection. */
    NoRoom, /**< A new connection for which no other one could be closed. */
};

constexpr size_t refusalReasons = 10;

/** Returns the name of \a reason in the log and in the metrics. */
std::string_view nameOf(RefusalReason);

/** \struct RequestLimits
 * \brief Bounds of one request.
 */
struct RequestLimits {
    uint32_t headerBytes { 16 * 1024 }; /**< Also of one chunk extension and of the trailer. */
    uint32_t bodyBytes { 256 * 1024 };
    uint32_t headerFields { 4096 };
    uint32_t chunkFramingBytes { 2 * 1024 * 1024 };
};

/** \struct RequestRefusal
 * \brief Answer to a request that has not been received completely.
 */
struct RequestRefusal {
    RefusalReason reason { RefusalReason::InvalidRequest };
    unsigned status { 400 };
    std::string text;
};

/** Returns the bytes that the allocator holds for the fields of a message. */
size_t memoryOf(const http::fields&);

/** \class RequestReader
 * \brief Takes the bytes of a connection and finds the requests in them, one after the other.
 *
 * It bounds what the parser of Boost.Beast does not: the sum of the parts in which a header is taken (the parser
 * applies its limit to each of them), the number of fields, and chunk extensions and trailers.
 */
class RequestReader {
public:
    enum class Result : uint8_t { NeedsMore, Complete, Refused };

    /** Prepares for the next request; input that has not been parsed is kept. */
    void start(const RequestLimits&);
    void append(std::string_view bytes) { m_input.append(bytes); }
    /** Parses the input as far as it goes. */
    Result parse();

    /** Returns the request; to be called once, after Complete. */
    HttpRequest release();
    /** Frees the request and the input. */
    void drop();

    size_t inputBytes() const { return m_input.size(); }
    /** Bytes that the allocator holds for the request and the input. */
    size_t heldBytes() const;
    /** The same without the input. */
    size_t requestBytes() const;
    /** Bytes that the fields of the header in the input will take once they are parsed, beside their text. */
    size_t expectedFieldBytes() const;
    bool hasHeader() const { return m_parser->is_header_done(); }
    bool expectsContinue() const;
    bool keepsAlive() const { return m_parser->keep_alive(); }
    bool isHead() const { return m_parser->get().method() == http::verb::head; }
    /** Set after Refused. */
    const RequestRefusal& refusal() const { return m_refusal; }

private:
    using Parser = http::request_parser<ReceivedBody>;

    Result refuse(RefusalReason, unsigned status, std::string_view text);
    Result refuse(const boost::system::error_code&);
    /** Counts \a taken bytes, which the parser has taken from the input, and checks the bounds. */
    std::optional<Result> count(std::string_view taken, bool hadHeader, size_t bodyBefore);

    RequestLimits m_limits;
    std::optional<Parser> m_parser;
    std::string m_input;
    RequestRefusal m_refusal;
    size_t m_headerBytes { 0 }; // taken by the parser before the header was complete
    size_t m_headerLines { 0 }; // likewise
    size_t m_fieldMemory { 0 }; // of the fields of a complete header, and of a trailer
    size_t m_chunkFramingBytes { 0 };
};

}
