#include "papayabend/dispatch/RecordMerge.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace papayabend;

TEST_GROUP(RecordMerge) { static std::string record(char first) { return std::string(1, first) + std::string(15, '.');
}

static std::string merge(const std::vector<std::string>& parts, size_t count)
{
    std::vector<std::string_view> views(parts.begin(), parts.end());
    return dispatch::mergeRecords(views, count);
}
}
;

// Guards against an answer that lacks one of the greatest records because it is in a later part, and against another
// order than descending.
TEST(RecordMerge, GreatestRecordsOfAllPartsInDescendingOrder)
{
    auto merged = merge({ record('b') + record('e'), record('a') + record('d') }, 3);
    STRCMP_EQUAL((record('e') + record('d') + record('b')).c_str(), merged.c_str());
}

// Guards against a comparison of signed characters, which sorts bytes above 127 last.
TEST(RecordMerge, BytesAreComparedAsUnsigned)
{
    auto merged = merge({ record('z'), record('\xff') }, 1);
    CHECK_TRUE(merged == record('\xff'));
}

// Guards against merging equal records into one.
TEST(RecordMerge, EqualRecordsAreAllKept)
{
    LONGS_EQUAL(48, merge({ record('a') + record('a'), record('a') }, 5).size());
}

// Guards against an incomplete record in the answer.
TEST(RecordMerge, IncompleteRecordIsDropped)
{
    auto merged = merge({ record('a') + "zzz", "y" }, 5);
    CHECK_TRUE(merged == record('a'));
}
