#include "papayabend/base/JsonSize.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace papayabend::base;

TEST_GROUP(JsonSize) { static std::string repeated(std::string_view text, size_t n) { std::string all;
for (; n > 0; --n)
    all += text;
return all;
}
}
;

// Guards against a tree that fills the memory.
TEST(JsonSize, ValuesAreBounded)
{
    CHECK_TRUE(isJsonOfSize("[1,[2],{\"a\":3}]", 9));
    CHECK_FALSE(isJsonOfSize("[1,[2],{\"a\":3}]", 6));
    CHECK_TRUE(isJsonOfSize("[" + repeated("[],", 190'000) + "1]"));
    CHECK_FALSE(isJsonOfSize("[" + repeated("[],", 1'300'000) + "1]"));
    CHECK_FALSE(isJsonOfSize(repeated("[", 400'000)));
    CHECK_FALSE(isJsonOfSize("[" + repeated("1,", 400'000) + "1]"));
    CHECK_FALSE(isJsonOfSize("{" + repeated(R"("":1,)", 200'000) + "}"));
}

// Guards against brackets in strings that are counted, and against an escaped quote that ends a string.
TEST(JsonSize, StringsAreSkipped)
{
    CHECK_TRUE(isJsonOfSize("\"" + repeated("[", 500'000) + "\""));
    CHECK_TRUE(isJsonOfSize("\"\\\"" + repeated("[,", 500'000) + "\\\\\""));
    CHECK_FALSE(isJsonOfSize("\"\\\\\"" + repeated("[", 400'000)));
    CHECK_TRUE(isJsonOfSize("\"\\"));
}

// Guards against the largest configurations of the design size that are refused.
TEST(JsonSize, LargestConfigurationsAreTaken)
{
    auto shards = repeated(R"("shard-of-search-0123",)", 135);
    auto route = R"({"name":"r","host":"h","prefix":"/p/","gather":[)" + shards + R"("x"],"top-k":5},)";
    CHECK_TRUE(isJsonOfSize(R"({"version":1,"routes":[)" + repeated(route, 2'000) + "{}]}"));
}
