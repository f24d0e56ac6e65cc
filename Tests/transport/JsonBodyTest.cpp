#include "papayabend/transport/JsonBody.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace papayabend;
using namespace papayabend::transport;

TEST_GROUP(JsonBody) { base::LastReason reason; };

// Guards against a request whose meaning depends on which of two equal keys a parser uses.
TEST(JsonBody, DuplicatedKeyIsRefused)
{
    CHECK_FALSE(parseJsonBody(R"({"account":"a","account":"b"})", reason).has_value());
    STRCMP_EQUAL("account: key appears twice", reason.text.c_str());
    CHECK_FALSE(parseJsonBody(R"({"a":[{"b":1,"b":1}]})", reason).has_value());
    CHECK_TRUE(parseJsonBody(R"({"a":{"b":1},"c":{"b":1}})", reason).has_value());
}

// Guards against invalid input that terminates the process or is accepted as a request.
TEST(JsonBody, InvalidBodyIsRefused)
{
    for (const auto& text :
        { std::string(), std::string("[]"), std::string("{"), std::string(50'000, '['), std::string("{}x") })
        CHECK_FALSE(parseJsonBody(text, reason).has_value());
}
