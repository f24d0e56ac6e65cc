#include "papayabend/gateway/HttpMessage.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend::gateway;

TEST_GROUP(HttpMessage) {};

// Guards against forwarding hop-by-hop fields, which would change the framing on the other connection.
TEST(HttpMessage, HopByHopFieldsAreNotForwarded)
{
    http::fields fields;
    fields.set("Connection", "close, X-Hop");
    fields.set("X-Hop", "1");
    fields.set("Keep-Alive", "timeout=5");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("Content-Length", "5");
    fields.set("Upgrade", "h2c");
    fields.set("X-Own", "2");
    fields.set("x-deadline", "100");
    STRCMP_EQUAL("X-Own: 2\r\n", endToEndFields(fields, { "X-Deadline" }).c_str());
}

// Guards against an answer without a length, whose end a client cannot recognise.
TEST(HttpMessage, AnswersStateTheirLength)
{
    Answer answer;
    answer.status = 200;
    answer.body = "abc";
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", answerText(answer, false, false).c_str());
    answer.declaredLength = "9";
    STRCMP_EQUAL(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\n", answerText(answer, true, true).c_str());
    answer.status = 204;
    STRCMP_EQUAL("HTTP/1.1 204 No Content\r\n\r\n", answerText(answer, false, false).c_str());
}

// Guards against accepting a number with trailing text, a sign or no digits, for example as a time limit.
TEST(HttpMessage, OnlyCompleteNumbersAreParsed)
{
    CHECK_TRUE(parseNumber("300") == 300U);
    CHECK_FALSE(parseNumber("300ms").has_value());
    CHECK_FALSE(parseNumber("").has_value());
    CHECK_FALSE(parseNumber("-1").has_value());
}

// Guards against an exception because a reason quotes bytes of a peer that are no text.
TEST(HttpMessage, ReasonsMayQuoteAnyBytes)
{
    CHECK_TRUE(plainAnswer(502, "status \xff\xc0").body.find("status") != std::string::npos);
}
