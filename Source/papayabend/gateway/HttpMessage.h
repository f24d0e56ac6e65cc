#pragma once

#include "papayabend/gateway/ReceivedBody.h"

#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::gateway {

namespace http = boost::beast::http;

using HttpRequest = http::request<ReceivedBody>;
using HttpResponse = http::response<ReceivedBody>;

/** Returns whether the peer has stated a body that is longer than \a limit.
 *
 * To be asked after each part of a message: an eager parser of Boost.Beast 1.74 goes on past its own error for the body
 * limit if a part of the body comes together with the header.
 */
template <bool isRequest> bool statesMoreThan(const http::basic_parser<isRequest>& parser, uint64_t limit)
{
    return parser.is_header_done() && parser.content_length().value_or(0) > limit;
}

/** Returns the header lines of \a fields without hop-by-hop fields, Content-Length and Expect, and without those in
 * \a excluded. */
std::string endToEndFields(const http::fields& fields, std::initializer_list<std::string_view> excluded);

/** Returns the bytes of a request. \a fields: header lines that each end with CRLF. \a needsLength: adds
 * Content-Length. */
std::string requestText(
    std::string_view method, std::string_view target, std::string_view fields, std::string_view body, bool needsLength);

/** \struct Answer
 * \brief Answer to a client.
 */
struct Answer {
    unsigned status { 500 };
    std::string reason; /**< Reason phrase; empty for the standard one of the status. */
    std::string fields; /**< Header lines that each end with CRLF, without Content-Length and Connection. */
    std::string body;
    std::optional<std::string> declaredLength; /**< Content-Length of an answer to HEAD, which has no body. */
    /** Kept until the client closes the connection or sends its next request, either of which shows that it has the
     * answer. */
    std::shared_ptr<void> heldUntilReceived;
};

/** Returns the bytes of \a answer. \a isHead: the request was HEAD. \a closes: adds "Connection: close". */
std::string answerText(const Answer&, bool isHead, bool closes);

/** Returns an answer with the JSON body {"error": \a reason}. */
Answer plainAnswer(unsigned status, std::string_view reason);

/** Parses \a text as a non-negative decimal number; returns nothing if it is anything else. */
std::optional<uint64_t> parseNumber(std::string_view text);

/** Removes the first \a n bytes of a receive buffer; frees the memory of a large one that is empty then. */
void removeFront(std::string& buf, size_t n);

/** Returns the first value of a field, or an empty text if it is absent. */
std::string_view fieldOf(const HttpResponse& answer, const std::string& name);

/** Returns whether \a status is one of 200 to 299. */
bool isSuccess(unsigned status);

/** Returns whether \a status means to a client that its request has not run. */
bool isNotRunStatus(unsigned status);

std::string_view toView(boost::beast::string_view text);
boost::beast::string_view toBeast(std::string_view text);

}
