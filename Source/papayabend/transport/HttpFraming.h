#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace papayabend::transport {

/** \struct HttpFrame
 * \brief Extent of the first HTTP/1.1 request in a buffer.
 */
struct HttpFrame {
    enum class State {
        Incomplete,
        Complete,
        HeaderTooLarge,
        BodyTooLarge,
        LengthRequired, /**< Body without Content-Length. */
        Malformed,
    };
    State state { State::Incomplete };
    size_t length { 0 }; /**< Bytes of a complete request. */
    bool closeRequested { false }; /**< The client wants the connection closed after the response. */
    bool expectsContinue { false }; /**< The client sends the body after "100 Continue". */
};

/** Returns a copy of a complete request without the header fields in \a names, which are in lower case. */
std::string withoutFields(std::string_view request, std::span<const std::string_view> names);

/** Finds the end of the first request in \a buffer. */
HttpFrame frameOf(std::string_view buffer, size_t maxHeaderBytes, size_t maxBodyBytes);

}
