#include "papayabend/table/CompareTables.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;

TEST_GROUP(CompareTables) {
    std::string compare(const std::string& before, const std::string& after) { base::LastReason reason;
auto first = table::parseTable("version,1\naccount,s,t\n" + before, reason);
auto second = table::parseTable("version,2\naccount,s,t\n" + after, reason);
CHECK(first&& second);
std::string text;
for (const auto& line : table::compareTables(*first, *second))
    text += line + "\n";
return text;
}
}
;

// Guards against a difference that is not shown to the operator who approves an edit.
TEST(CompareTables, EachDifferenceIsOneLine)
{
    STRCMP_EQUAL("version: 1 -> 2\n"
                 "@objective of s: - -> latency=93ms latencyTarget=0.99\n"
                 "account a, service s: weight=4 limit=200/s priority=interactive -> "
                 "weight=4 limit=250/s priority=bulk\n"
                 "account b: removed\n"
                 "account b, service t: weight=1 priority=interactive -> -\n"
                 "account c: added\n",
        compare("a,weight=4 limit=200/s,-\nb,-,weight=1\n",
            "@objective,latency=93ms latencyTarget=0.99,-\nc,-,-\na,weight=4 limit=250/s priority=bulk,-\n")
            .c_str());
}

// Guards against reported differences where only the order of rows or keys or the spelling of a number changed, or a
// default was written out.
TEST(CompareTables, OrderAndSpellingAreNotDifferences)
{
    STRCMP_EQUAL(
        "version: 1 -> 2\n", compare("a,weight=1.0,-\nb,-,-\n", "b,-,-\na,priority=interactive weight=1,-\n").c_str());
}
