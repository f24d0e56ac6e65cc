#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>

namespace papayabend::gateway {

/** Returns whether the parser may be called with \a n bytes of input, of which it may have seen some before.
 *
 * Boost.Beast 1.74 asserts that at least five bytes are there when it is called again for a last chunk, which ends a
 * process that was built with assertions: "0 CR LF" may come alone, and its end byte by byte. A chunked message without
 * content has at least five bytes after its header, so that nothing is delayed for good.
 */
template <bool isRequest>
bool mayParse(const boost::beast::http::basic_parser<isRequest>& parser, size_t bodyBytes, size_t n)
{
    constexpr size_t lastChunkBytes = 5;
    return !parser.is_header_done() || !parser.chunked() || bodyBytes > 0 || n >= lastChunkBytes;
}

}
