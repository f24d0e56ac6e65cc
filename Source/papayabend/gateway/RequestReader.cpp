#include "papayabend/gateway/RequestReader.h"

#include "papayabend/gateway/ChunkedInput.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace papayabend::gateway {

namespace {

    using boost::system::error_code;

    // What Boost.Beast allocates for a field beside its name and value: the links of a list and a tree, lengths, and
    // the header of the allocation. 388 MB for 1,500 heads of 3,100 fields are 83 bytes for each.
    constexpr size_t fieldOverheadBytes = 88;

    // The input of a connection without a request keeps at most so much memory for the next one.
    constexpr size_t keptInputBytes = 1024;

    /** Returns what the allocator holds for \a text; short texts are kept in the object itself. */
    size_t memoryOf(const std::string& text)
    {
        return text.capacity() == std::string().capacity() ? 0 : text.capacity();
    }

    constexpr std::array<std::string_view, refusalReasons> names { "invalid_request", "header_bytes", "header_fields",
        "body_bytes", "chunk_framing", "memory", "timeout", "unread_answer", "connections", "no_room" };

}

std::string_view nameOf(RefusalReason reason) { return names.at(static_cast<size_t>(reason)); }

size_t memoryOf(const http::fields& fields)
{
    size_t bytes = 0;
    for (const auto& it : fields)
        bytes += fieldOverheadBytes + it.name_string().size() + it.value().size();
    return bytes;
}

void RequestReader::start(const RequestLimits& limits)
{
    m_limits = limits;
    m_headerBytes = 0;
    m_headerLines = 0;
    m_fieldMemory = 0;
    m_chunkFramingBytes = 0;
    m_parser.emplace();
    m_parser->header_limit(limits.headerBytes);
    m_parser->body_limit(limits.bodyBytes);
    m_parser->eager(true);
}

RequestReader::Result RequestReader::parse()
{
    while (!m_input.empty()) {
        auto hadHeader = hasHeader();
        auto bodyBefore = m_parser->get().body().size();
        if (!mayParse(*m_parser, bodyBefore, m_input.size()))
            break;
        error_code ec;
        auto n = m_parser->put(boost::asio::buffer(m_input), ec);
        auto problem = count(std::string_view(m_input).substr(0, n), hadHeader, bodyBefore);
        removeFront(m_input, n);
        if (m_input.empty() && m_input.capacity() > keptInputBytes)
            std::string().swap(m_input);
        if (ec && ec != http::error::need_more)
            return refuse(ec);
        if (problem)
            return *problem;
        if (m_parser->is_done())
            return Result::Complete;
        // What is left is a part of a header, of the size of a chunk with its extension, or of a trailer.
        if (m_input.size() + (hasHeader() ? 0 : m_headerBytes) > m_limits.headerBytes)
            return hasHeader()
                ? refuse(RefusalReason::ChunkFraming, 431, "a chunk extension or the trailer is too long")
                : refuse(http::error::header_limit);
        if (n == 0 || ec == http::error::need_more)
            break;
    }
    return Result::NeedsMore;
}

std::optional<RequestReader::Result> RequestReader::count(std::string_view taken, bool hadHeader, size_t bodyBefore)
{
    if (!hadHeader && !hasHeader()) {
        m_headerBytes += taken.size();
        m_headerLines += static_cast<size_t>(std::ranges::count(taken, '\n'));
        if (m_headerLines > size_t { m_limits.headerFields } + 1)
            return refuse(RefusalReason::HeaderFields, 431, "the request has more header fields than the limit");
        return std::nullopt;
    }
    // The fields change only with the end of the header and with the trailer.
    if (!hadHeader || (m_parser->is_done() && m_parser->chunked())) {
        const auto& fields = m_parser->get();
        m_fieldMemory = memoryOf(fields) + fields.target().size();
        if (std::distance(fields.begin(), fields.end()) > static_cast<ptrdiff_t>(m_limits.headerFields))
            return refuse(RefusalReason::HeaderFields, 431, "the request has more header fields than the limit");
    }
    if (statesMoreThan(*m_parser, m_limits.bodyBytes))
        return refuse(http::error::body_limit);
    if (hadHeader && m_parser->chunked())
        m_chunkFramingBytes += taken.size() - (m_parser->get().body().size() - bodyBefore);
    if (m_chunkFramingBytes > m_limits.chunkFramingBytes)
        return refuse(RefusalReason::ChunkFraming, 431, "the chunk extensions or the trailer are too long");
    return std::nullopt;
}

RequestReader::Result RequestReader::refuse(RefusalReason reason, unsigned status, std::string_view text)
{
    m_refusal = { reason, status, std::string(text) };
    return Result::Refused;
}

RequestReader::Result RequestReader::refuse(const error_code& problem)
{
    if (problem == http::error::body_limit)
        return refuse(RefusalReason::BodyBytes, 413, "the request body is larger than the limit");
    if (problem == http::error::header_limit)
        return refuse(RefusalReason::HeaderBytes, 431, "the request header is larger than the limit");
    return refuse(
        RefusalReason::InvalidRequest, 400, "the request is not valid HTTP/1.1: " + std::string(problem.message()));
}

HttpRequest RequestReader::release() { return m_parser->release(); }

void RequestReader::drop()
{
    std::string().swap(m_input); // the assignment of an empty text would keep the memory
    start(m_limits);
}

size_t RequestReader::requestBytes() const
{
    if (!hasHeader())
        return m_headerBytes + m_headerLines * fieldOverheadBytes;
    return m_fieldMemory + memoryOf(m_parser->get().body());
}

size_t RequestReader::expectedFieldBytes() const
{
    if (hasHeader())
        return 0;
    auto head = std::string_view(m_input).substr(0, m_limits.headerBytes);
    head = head.substr(0, head.find("\r\n\r\n"));
    return static_cast<size_t>(std::ranges::count(head, '\n')) * fieldOverheadBytes;
}

size_t RequestReader::heldBytes() const { return memoryOf(m_input) + requestBytes(); }

bool RequestReader::expectsContinue() const
{
    return boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue");
}

}
