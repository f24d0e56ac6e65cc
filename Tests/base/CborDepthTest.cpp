#include "papayabend/base/CborDepth.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace papayabend;
using nlohmann::json;

TEST_GROUP(CborDepth) {
    static bool isOfDepth(const json& value, size_t depth) { return base::isCborOfDepth(json::to_cbor(value), depth);
}
}
;

// Guards against refusing a message that this project sends, and against accepting a deeper one.
TEST(CborDepth, DepthCountsArraysAndMaps)
{
    CHECK_TRUE(isOfDepth("text", 0));
    CHECK_TRUE(isOfDepth({ 1, -70000, 2.5, true, nullptr, std::string(70000, 'x'), uint64_t(1) << 60 }, 1));
    CHECK_FALSE(isOfDepth({ 1, 2 }, 0));
    CHECK_TRUE(isOfDepth({ { 1, 2 }, json::array(), { { "key", { 1, 2 } } } }, 3));
    CHECK_FALSE(isOfDepth({ { 1, 2 }, json::array(), { { "key", { 1, 2 } } } }, 2));
    CHECK_TRUE(isOfDepth(std::vector<int>(1000, 7), 1));
}

// Guards against reading beyond the end, and against lengths that overflow.
TEST(CborDepth, TruncatedOrOverlongItemsAreRefused)
{
    auto bytes = json::to_cbor({ 1, "text", { { "key", 2.5 } } });
    for (size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(base::isCborOfDepth(std::span(bytes).first(n), 4));
    for (auto type : { 0x5b, 0x7b, 0x9b, 0xbb }) {
        std::vector<uint8_t> overlong(9, 0xff);
        overlong[0] = static_cast<uint8_t>(type);
        CHECK_FALSE(base::isCborOfDepth(overlong, 4));
    }
}

// Guards against items whose nesting cannot be counted by their heads.
TEST(CborDepth, TagsAndIndefiniteLengthsAreRefused)
{
    for (auto byte : { 0x5f, 0x7f, 0x9f, 0xbf, 0xc1, 0xff, 0x1c })
        CHECK_FALSE(base::isCborOfDepth(std::vector<uint8_t>(20, static_cast<uint8_t>(byte)), 4));
}
