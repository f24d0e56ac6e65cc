#include "papayabend/dissemination/StoredValue.h"
#include "papayabend/base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using dissemination::Comparison;

namespace {

dissemination::StoredValue makeValue()
{
    dissemination::StoredValue value;
    value.key = "table";
    return value;
}

}

TEST_GROUP(StoredValue)
{
    dissemination::StoredValue value = makeValue();
    base::LastReason reason;

    std::string textOf(uint64_t version) const
    {
        std::string text = "version " + std::to_string(version) + "\n";
        for (int n = 0; n < 50; ++n)
            text += "row " + std::to_string(n) + "\n";
        return text;
    }

    void storeVersion(uint64_t version) { store(value, textOf(version), version, base::hash(textOf(version))); }
};

// Guards against an old version, or another text under the same number, replacing the one in force.
TEST(StoredValue, OnlyANewerVersionIsTaken)
{
    storeVersion(5);
    CHECK(compare(value, 4, 1) == Comparison::Older);
    CHECK(compare(value, 5, value.contentHash) == Comparison::Same);
    CHECK(compare(value, 5, 1) == Comparison::Conflict);
    CHECK(compare(value, 6, 1) == Comparison::Newer);
}

// Guards against a conflict that goes unnoticed, and against one report for each message that repeats it.
TEST(StoredValue, AConflictIsCountedEachTimeAndReportedOnce)
{
    storeVersion(5);
    CHECK(countRejectedOffer(value, Comparison::Conflict, { "table", 5, 1 }).has_value());
    CHECK_FALSE(countRejectedOffer(value, Comparison::Conflict, { "table", 5, 1 }).has_value());
    CHECK(countRejectedOffer(value, Comparison::Conflict, { "table", 5, 2 }).has_value());
    LONGS_EQUAL(3, value.conflicts);
}

// Guards against an invalid version being fetched and checked again with every digest.
TEST(StoredValue, ARefusedVersionIsRememberedUntilItsContentChanges)
{
    storeVersion(5);
    refuse(value, { "table", 6, 77 });
    CHECK(compare(value, 6, 77) == Comparison::Refused);
    CHECK(compare(value, 6, 78) == Comparison::Newer);
}

// Guards against whole values being sent where a few rows suffice, and against a chain that gives another text.
TEST(StoredValue, ChangesLeadFromAnyKeptVersionToTheNewest)
{
    for (uint64_t version = 1; version <= 5; ++version)
        storeVersion(version);
    dissemination::StoredValue other = makeValue();
    store(other, textOf(2), 2, base::hash(textOf(2)));
    auto changes = answerRequest(value, { "table", 2, other.contentHash });
    LONGS_EQUAL(3, changes.size());
    auto offer = applyChanges(other, changes, reason);
    CHECK(offer && offer->text == textOf(5) && offer->version == 5);
}

// Guards against changes applied to another text of the same version number, as a conflict leaves behind.
TEST(StoredValue, ABaseWithOtherContentGetsTheWholeValue)
{
    storeVersion(1);
    storeVersion(2);
    auto changes = answerRequest(value, { "table", 1, 99 });
    LONGS_EQUAL(1, changes.size());
    LONGS_EQUAL(0, changes[0].baseVersion);
    dissemination::StoredValue other = makeValue();
    store(other, "something else\n", 1, 99);
    CHECK_FALSE(applyChanges(other, { value.history.back() }, reason).has_value());
    CHECK_FALSE(reason.text.empty());
}

// Guards against memory that grows with the number of changes.
TEST(StoredValue, HistoryIsBounded)
{
    for (uint64_t version = 1; version <= 500; ++version)
        storeVersion(version);
    CHECK(value.history.size() <= 64);
    LONGS_EQUAL(value.history.size(), value.historyHashes.size());
}
