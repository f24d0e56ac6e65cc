#include "papayabend/dissemination/RowDelta.h"
#include "papayabend/base/Random.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(RowDelta) { base::LastReason reason; };

// Guards against a delta whose result differs from the published value, and against a delta that is not much smaller
// than the value.
TEST(RowDelta, RandomEditsAreReproducedExactly)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        base::Random random(seed);
        std::vector<std::string> rows;
        for (size_t n = 0; n < 200; ++n)
            rows.push_back("{\"row\":" + std::to_string(random() % 150) + (n % 3 == 0 ? "}\n" : "},"));
        auto join = [&] {
            std::string text;
            for (const auto& it : rows)
                text += it;
            return text;
        };
        auto before = join();
        for (auto edits = 1 + random() % 3; edits > 0; --edits) {
            auto at = static_cast<ptrdiff_t>(base::uniformIndex(random, rows.size()));
            switch (random() % 4) {
            case 0:
                rows[static_cast<size_t>(at)] = "changed " + std::to_string(random());
                break;
            case 1:
                rows.erase(rows.begin() + at);
                break;
            case 2:
                rows.insert(rows.begin() + at, "{new}");
                break;
            default:
                std::swap(rows[static_cast<size_t>(at)], rows.back());
            }
        }
        auto after = join();
        auto delta = dissemination::rowDelta(before, after);
        auto result = dissemination::applyRowDelta(before, delta, reason);
        auto text = "seed " + std::to_string(seed) + "\n" + delta;
        CHECK_TEXT(result == after, text.c_str());
        CHECK_TEXT(delta.size() < after.size() / 4, text.c_str());
    }
}

// Guards against a malformed delta that reads outside the value, and against a result of unbounded size.
TEST(RowDelta, MalformedOrTooLargeDeltasAreRejected)
{
    std::string big(3 << 20, 'x');
    for (const std::string delta : { "x", "=", "=0", "=0,3\n", "=2,1\n", "=18446744073709551615,2\n", "=0,0\n",
             "+5\nabc", "+", "=0,1", "+99999999999999999999\na" })
        CHECK_FALSE(dissemination::applyRowDelta("a\nb\n", delta, reason).has_value());
    CHECK_FALSE(dissemination::applyRowDelta("", "+" + std::to_string(big.size()) + "\n" + big, reason).has_value());
}
