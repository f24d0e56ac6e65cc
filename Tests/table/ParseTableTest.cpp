#include "papayabend/table/Table.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace papayabend;

TEST_GROUP(ParseTable)
{
    base::LastReason reason;

    std::string reasonFor(const std::string& text)
    {
        CHECK_FALSE(table::parseTable(text, reason).has_value());
        return reason.text;
    }
};

namespace {

const std::string head = "version,7\naccount,fitting-desk,depot-counter\n";

}

// Guards against grants and objectives being assigned to the wrong account or service.
TEST(ParseTable, GrantsAreFoundByAccountAndService)
{
    auto parsed = table::parseTable(head
            + "@objective,latency=93ms latencyTarget=0.99 coverage=0.999 availability=0.999,-\n"
              "tailor,weight=4 limit=200/s priority=interactive,-\ncobbler,weight=1 priority=bulk,weight=2\n",
        reason);
    CHECK(parsed.has_value());
    LONGS_EQUAL(7, parsed->version);
    CHECK(*table::findGrant(*parsed, "tailor", "fitting-desk")
        == (table::Grant { 4, 200.0, table::Priority::Interactive }));
    CHECK(*table::findGrant(*parsed, "cobbler", "fitting-desk")
        == (table::Grant { 1, std::nullopt, table::Priority::Bulk }));
    POINTERS_EQUAL(nullptr, table::findGrant(*parsed, "tailor", "depot-counter"));
    POINTERS_EQUAL(nullptr, table::findGrant(*parsed, "nobody", "depot-counter"));
    POINTERS_EQUAL(nullptr, table::findGrant(*parsed, "tailor", "nothing"));
    CHECK(*table::findObjective(*parsed, "fitting-desk")
        == (table::Objective { "fitting-desk", std::chrono::milliseconds(93), 0.99, 0.999, 0.999 }));
    POINTERS_EQUAL(nullptr, table::findObjective(*parsed, "depot-counter"));
}

// Guards against the rejection of a table saved by a spreadsheet because of its byte order mark, line ends, quotes or
// empty cells at the end of lines.
TEST(ParseTable, CsvSavedBySpreadsheetsIsAccepted)
{
    auto parsed = table::parseTable("\xEF\xBB\xBFversion,7,,\r\naccount,fitting-desk,depot-counter,\r\n,,,\r\n"
                                    "tailor,\"weight=4 limit=200/s\",-,\r\n\r\n",
        reason);
    CHECK(parsed.has_value());
    DOUBLES_EQUAL(200, *table::findGrant(*parsed, "tailor", "fitting-desk")->limitPerSecond, 0);
}

// Guards against an error message that does not name the cell to correct and the allowed values.
TEST(ParseTable, ErrorNamesLineAccountServiceValueAndRange)
{
    STRCMP_EQUAL("line 4, account 'b', service 'depot-counter': value 'weight=0' is not allowed (0.001 to 1000)",
        reasonFor(head + "a,weight=1,-\nb,weight=1,weight=0\n").c_str());
}

// Guards against faulty tables being applied in part, or with values that the text does not contain.
TEST(ParseTable, FaultyTablesAreRejectedAsAWhole)
{
    struct Case {
        std::string text;
        std::string_view expected;
    };
    const std::array cases {
        Case { "", "line 1" },
        Case { "version,0\naccount,s\n", "'0'" },
        Case { "version,7x\naccount,s\n", "'7x'" },
        Case { "version,7\n", "ends the table" },
        Case { "version;7\naccount;s\n", "'version;7'" },
        Case { "version,7\naccount,s,s\n", "line 2, service 's'" },
        Case { "version,7\naccount,s,,t\n", "line 2" },
        Case { head + "a,weight=1\n", "line 3, account 'a', service 'depot-counter': value '' is empty" },
        Case { head + "a,,weight=1\n", "line 3, account 'a', service 'fitting-desk': value '' is empty" },
        Case { head + "a,-,-,weight=1\n", "line 3, account 'a': value 'weight=1' is in a column without" },
        Case { head + "a,weight=nan,-\n", "'weight=nan' is not allowed (0.001 to 1000)" },
        Case { head + "a,weight=4e9,-\n", "'weight=4e9'" },
        Case { head + "a,weight=1 weight=2,-\n", "'weight=2' repeats" },
        Case { head + "a,limit=200,-\n", "'limit=200' is not a limit (0.01/s to 10000000/s)" },
        Case { head + "a,limit=-5/s,-\n", "'limit=-5/s'" },
        Case { head + "a,priority=urgent,-\n", "(interactive, bulk)" },
        Case { head + "a,wieght=1,-\n", "weight= limit= priority=" },
        Case { head + "a b,-,-\n", "'a b' is not a name" },
        Case { head + "a,-,-\na,-,-\n", "account 'a'" },
        Case { head + "a,-,-\n@objective,-,-\n", "'@objective' is not valid here" },
        Case { head + "@objective,latency=93,-\n", "1ms to 600s" },
        Case { head + "@objective,latency=93ms coverage=1.5,-\n", "0.5 to 0.999999" },
        Case { head + "a,\"weight=1,-\n", "unpaired quote" },
        Case { head + "a,weight=1\\x,-\n", "not valid CSV" },
    };
    for (const auto& it : cases)
        STRCMP_CONTAINS(std::string(it.expected).c_str(), reasonFor(it.text).c_str());
}
