#include "papayabend/transport/HttpFraming.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <string>

using namespace papayabend;
using State = transport::HttpFrame::State;

TEST_GROUP(HttpFraming) {
    static transport::HttpFrame frame(std::string_view text) { return transport::frameOf(text, 200, 20);
}
static void checkState(State expected, std::string_view text) { CHECK(expected == frame(text).state); }
}
;

// Guards against a partial request being reported as complete, whatever the sizes of the pieces in which it arrives.
TEST(HttpFraming, RequestIsCompleteOnlyWithItsLastByte)
{
    std::string text = "POST /v1/search HTTP/1.1\r\nCONTENT-length: 4\r\n\r\nbody";
    for (size_t n = 0; n < text.size(); ++n)
        checkState(State::Incomplete, std::string_view(text).substr(0, n));
    LONGS_EQUAL(text.size(), frame(text + "GET /next").length);
}

// Guards against request smuggling: one request that is read as two would give a caller another caller's answer.
TEST(HttpFraming, ContradictoryLengthsAreRefused)
{
    checkState(State::Malformed, "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\n");
    checkState(State::Malformed, "POST / HTTP/1.1\r\nContent-Length: 4, 4\r\n\r\n");
    checkState(State::Malformed, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
    checkState(State::LengthRequired, "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n");
}

// Guards against unbounded memory use if a client announces a large body or sends data without end.
TEST(HttpFraming, SizesAreBounded)
{
    checkState(State::HeaderTooLarge, std::string(200, 'a'));
    checkState(State::BodyTooLarge, "POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n");
    checkState(State::Malformed, "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n");
}

// Guards against withoutFields() keeping a named header field or changing the body.
TEST(HttpFraming, NamedHeaderFieldsAreRemoved)
{
    constexpr std::array<std::string_view, 2> names { "expect", "content-type" };
    STRCMP_EQUAL("POST / HTTP/1.1\r\nHost: a\r\n\r\nExpect: 1\r\n",
        transport::withoutFields(
            "POST / HTTP/1.1\r\nEXPECT: 100-continue\r\nHost: a\r\nContent-Type: b\r\n\r\nExpect: 1\r\n", names)
            .c_str());
    STRCMP_EQUAL("GET / HTTP/1.1\r\n\r\n", transport::withoutFields("GET / HTTP/1.1\r\n\r\n", names).c_str());
}
