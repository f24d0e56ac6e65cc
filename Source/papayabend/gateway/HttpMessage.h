#pragma once

#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::gateway {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/** Returns the text of \a fields without those that concern one connection only, and without \a dropped ones. */
std::string endToEndFields(const http::fields& fields, std::initializer_list<std::string_view> dropped);

/** Returns the first line and fields of a request with \a fields, a length if there is a body, and the body. */
std::string requestText(
    std::string_view method, std::string_view target, std::string_view fields, std::string_view body, bool needsLength);

/** \struct Answer
 * \brief Complete answer to a client.
 */
struct Answer {
    unsigned status { 500 };
    std::string reason; /**< Reason phrase; empty for the usual one of the status. */
    std::string fields; /**< Lines that each end with CRLF; without length and connection fields. */
    std::string body;
    std::optional<std::string> declaredLength; /**< Length of the answer to HEAD, which has no body. */
};

/** Returns the bytes of \a answer. \a isHead: the request was HEAD. */
std::string answerText(const Answer&, bool isHead, bool closes);

/** Returns an answer with a JSON body that states \a reason. */
Answer plainAnswer(unsigned status, std::string_view reason);

/** Returns the positive number of \a text, or nothing if it is not one. */
std::optional<uint64_t> parseNumber(std::string_view text);

/** Returns the first value of a field, or an empty text if it is absent. */
std::string_view fieldOf(const HttpResponse& answer, const std::string& name);

/** Returns whether \a status is one of 200 to 299. */
bool isSuccess(unsigned status);

std::string_view toView(boost::beast::string_view text);
boost::beast::string_view toBeast(std::string_view text);

}
