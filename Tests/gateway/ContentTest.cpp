#include "papayabend/gateway/Content.h"

#include "papayabend/gateway/HttpMessage.h"

#include <CppUTest/TestHarness.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

namespace {

// Formats of the test: the value of the configuration is its version, the value of an upstream is its service.
std::optional<routes::Configuration> parseVersion(std::string_view value, base::LastReason& reason)
{
    auto version = parseNumber(value);
    if (!version)
        return base::fail(reason, "no version");
    routes::Configuration configuration;
    configuration.version = *version;
    return configuration;
}

// Parses a configuration of many rows, the first of which is its version.
std::optional<routes::Configuration> parseRows(std::string_view value, base::LastReason& reason)
{
    return parseVersion(value.substr(0, value.find('}')), reason);
}

std::string rowsOf(int version, int changed)
{
    auto text = std::to_string(version) + "}";
    for (int n = 0; n < 4000; ++n)
        text += "{\"route\":" + std::to_string(n) + ",\"timeout\":" + (n == changed ? "9" : "5") + "}";
    return text;
}

std::optional<discovery::UpstreamRecord> parseService(
    std::string_view id, std::string_view value, base::LastReason& reason)
{
    if (value.empty())
        return base::fail(reason, "no service");
    discovery::UpstreamRecord record;
    record.id = id;
    record.service = value;
    return record;
}

}

TEST_GROUP(Content)
{
    PlatformAdapter adapter;
    base::TimePoint now { 100s };
    base::LastReason reason;

    void setup() override
    {
        adapter.configurationKey = "configuration";
        adapter.upstreamPrefix = "upstreams/";
        adapter.parseConfiguration = parseVersion;
        adapter.parseUpstream = parseService;
        adapter.evacuationPrefix = "evacuate/";
        adapter.parseEvacuation = [](std::string_view value, base::LastReason& why) {
            why.text = "no object";
            return value == "{}";
        };
    }

    void apply(Content & content, std::vector<StoreItem> items) const
    {
        auto newest = items.back().revision;
        content.apply(items, now);
        content.setComplete(newest);
    }
};

// Guards against a configuration that is replaced by an older or invalid one, or dropped when its key is removed.
TEST(Content, OnlyANewerValidConfigurationReplacesTheOneInForce)
{
    Content content(adapter);
    apply(content, { { "configuration", "7", 1 } });
    apply(content, { { "configuration", "5", 2 } });
    LONGS_EQUAL(7, content.configuration()->version);
    apply(content, { { "configuration", "broken", 3 } });
    LONGS_EQUAL(7, content.configuration()->version);
    apply(content, { { "configuration", "", 4, true } });
    LONGS_EQUAL(7, content.configuration()->version);
    apply(content, { { "configuration", "9", 5 } });
    LONGS_EQUAL(9, content.configuration()->version);
}

// Guards against a host that applies changes although it lacks earlier ones: its revision would then be newer than the
// missing changes, and it would never request them.
TEST(Content, ChangesAfterAGapAreRejected)
{
    Content source(adapter);
    apply(source, { { "configuration", "1", 1 }, { "upstreams/a", "s", 2 }, { "upstreams/b", "s", 3 } });
    source.retain({ "configuration", "upstreams/a", "upstreams/b" }, 3, now);
    Content target(adapter);
    CHECK_FALSE(target.applyEncoded(source.encode({ 0, 2 }), now, reason).has_value());
    CHECK_TRUE(target.applyEncoded(source.encode({ 0, 0 }), now, reason).has_value());
    LONGS_EQUAL(3, target.revision());
    apply(source, { { "upstreams/a", "", 4, true } });
    apply(source, { { "upstreams/c", "s", 5 } });
    CHECK_FALSE(target.applyEncoded(source.encode({ 0, 4 }), now, reason).has_value());
    CHECK_TRUE(target.applyEncoded(source.encode({ 0, 3 }), now, reason).has_value());
    CHECK_TRUE(target.upstreams().find("a")->presence == discovery::Presence::Missing);
    CHECK_TRUE(target.upstreams().find("c") != nullptr);
}

// Guards against a page of an unfinished list that advances the revision, so that changes between pages are lost.
TEST(Content, PagesOfAnUnfinishedListDoNotAdvanceTheRevision)
{
    Content content(adapter);
    content.apply(std::vector<StoreItem> { { "upstreams/z", "s", 9 } }, now);
    LONGS_EQUAL(0, content.revision());
    CHECK_FALSE(content.hasList());
    content.retain({ "upstreams/z" }, 5, now);
    LONGS_EQUAL(5, content.revision());
    CHECK_TRUE(content.hasList());
}

// Guards against peers that keep an item whose removal this host has only seen as its absence from a full list, because
// the store no longer has the removal itself.
TEST(Content, ItemsAbsentFromAFullListAreSentToPeersAsRemoved)
{
    Content source(adapter);
    apply(source, { { "upstreams/a", "s", 2 } });
    Content target(adapter);
    target.applyEncoded(source.encode({ 0, 0 }), now, reason);
    source.retain({}, 8, now);
    CHECK_TRUE(target.applyEncoded(source.encode(target.position()), now, reason).has_value());
    CHECK_TRUE(target.upstreams().find("a")->presence == discovery::Presence::Missing);
}

// Guards against a malformed message from the network that crashes the process or changes the content.
TEST(Content, MalformedMessagesAreRejected)
{
    Content content(adapter);
    std::string nested(65'000, '\x81');
    for (const auto* bytes : { "", "x", "\x83\x01\x02", "\xff", nested.c_str() }) {
        CHECK_FALSE(content.applyEncoded(bytes, now, reason).has_value());
        CHECK_TRUE(reason.text.starts_with("not a content message: "));
    }
}

// Guards against memory that grows with every upstream that ever existed, and against peers that miss a removal which
// this host has discarded.
TEST(Content, NumberOfRemovedItemsIsLimited)
{
    Content source(adapter);
    apply(source, { { "upstreams/a", "s", 1 } });
    Content target(adapter);
    target.applyEncoded(source.encode({ 0, 0 }), now, reason);
    apply(source, { { "upstreams/a", "", 2, true } });
    for (uint64_t n = 0; n < 3 * Content::maxRemoved; ++n) {
        apply(source, { { "upstreams/n" + std::to_string(n), "", 3 + n, true } });
        source.expire(now);
    }
    CHECK_TRUE(source.encode({ 0, 0 }).size() < Content::maxRemoved * 40);
    CHECK_TRUE(target.applyEncoded(source.encode(target.position()), now, reason).has_value());
    CHECK_TRUE(target.upstreams().find("a")->presence == discovery::Presence::Missing);
    LONGS_EQUAL(source.revision(), target.revision());
}

// Guards against sending the full configuration after each change. For a large configuration that changes 2,200 times
// a day, this exceeds the traffic that the control path may cause; and as it does not fit into a datagram, each host
// has to pull it.
TEST(Content, OnlyTheChangedRowsOfAConfigurationAreSent)
{
    adapter.parseConfiguration = parseRows;
    Content source(adapter);
    apply(source, { { "configuration", rowsOf(1, -1), 4 } });
    Content target(adapter);
    CHECK_TRUE(target.applyEncoded(source.encode({ 0, 0 }), now, reason).has_value());
    apply(source, { { "configuration", rowsOf(2, 1234), 9 } });
    auto changes = source.encode({ 0, 4 });
    CHECK_TRUE(changes.size() < 500);
    CHECK_TRUE(target.applyEncoded(changes, now, reason).has_value());
    LONGS_EQUAL(2, target.configuration()->version);
    CHECK_TRUE(target.encode({ 0, 0 }) == source.encode({ 0, 0 }));
}

// Guards against a host that applies changed rows to another value than they are based on, or that requests the same
// rows again and again instead of the full content.
TEST(Content, ChangedRowsBasedOnAnotherValueAreRejectedAndTheFullContentIsPulled)
{
    adapter.parseConfiguration = parseRows;
    Content source(adapter);
    apply(source, { { "configuration", rowsOf(1, -1), 4 } });
    Content target(adapter);
    target.applyEncoded(source.encode({ 0, 0 }), now, reason);
    apply(target, { { "configuration", rowsOf(2, 7), 6 } });
    apply(source, { { "configuration", rowsOf(3, 8), 9 } });
    CHECK_FALSE(target.applyEncoded(source.encode(target.pullPosition()), now, reason).has_value());
    LONGS_EQUAL(2, target.configuration()->version);
    LONGS_EQUAL(0, target.pullPosition().revision);
    CHECK_TRUE(target.applyEncoded(source.encode(target.pullPosition()), now, reason).has_value());
    LONGS_EQUAL(3, target.configuration()->version);
    LONGS_EQUAL(9, target.pullPosition().revision);
}

// Guards against pulling the full content because a pushed change has overtaken the answer to a pull.
TEST(Content, ChangedRowsOlderThanTheStoredValueAreSkipped)
{
    adapter.parseConfiguration = parseRows;
    Content source(adapter);
    apply(source, { { "configuration", rowsOf(1, -1), 4 } });
    Content target(adapter);
    target.applyEncoded(source.encode({ 0, 0 }), now, reason);
    apply(source, { { "configuration", rowsOf(2, 7), 6 } });
    auto overtaken = source.encode({ 0, 4 });
    target.applyEncoded(overtaken, now, reason);
    apply(source, { { "configuration", rowsOf(3, 8), 9 } });
    CHECK_TRUE(target.applyEncoded(source.encode({ 0, 6 }), now, reason).has_value());
    CHECK_TRUE(target.applyEncoded(overtaken, now, reason).has_value());
    LONGS_EQUAL(3, target.configuration()->version);
    LONGS_EQUAL(9, target.pullPosition().revision);
}

// Guards against an evacuation that an invalid value ends or begins, or that does not end with its key.
TEST(Content, InvalidValueOfAnEvacuationKeepsItsState)
{
    Content content(adapter);
    apply(content, { { "evacuate/d1", "{}", 1 } });
    CHECK_TRUE(content.evacuations().isEvacuated("d1"));
    LONGS_EQUAL(1, content.takeChangedEvacuations().size());
    auto change = content.apply(std::vector<StoreItem> { { "evacuate/d1", "[]", 2 }, { "evacuate/d2", "7", 3 } }, now);
    LONGS_EQUAL(2, change.problems.size());
    STRCMP_EQUAL("evacuate/d1: no object; the previous state stays in force", change.problems.front().c_str());
    CHECK_TRUE(content.evacuations().isEvacuated("d1"));
    CHECK_FALSE(content.evacuations().isEvacuated("d2"));
    CHECK_FALSE(content.hasChangedEvacuations());
    apply(content, { { "evacuate/d1", "", 4, true } });
    CHECK_FALSE(content.evacuations().isEvacuated("d1"));
    LONGS_EQUAL(1, content.takeChangedEvacuations().size());
    apply(content, { { "evacuate/d1", "{}", 3 } });
    CHECK_FALSE(content.evacuations().isEvacuated("d1"));
}

// Guards against a host that starts during evacuations and does not learn of them, and against ones that end while the
// store or the host is away and stay in force.
TEST(Content, FullContentBeginsAndEndsEvacuations)
{
    Content source(adapter);
    apply(source, { { "configuration", "1", 1 }, { "evacuate/d1", "{}", 2 }, { "evacuate/d2", "{}", 3 } });
    source.retain({ "configuration", "evacuate/d1", "evacuate/d2" }, 3, now);
    Content started(adapter);
    CHECK_TRUE(started.applyEncoded(source.encode({ 0, 0 }), now, reason).has_value());
    CHECK_TRUE(started.evacuations().isEvacuated("d1"));
    CHECK_TRUE(started.evacuations().isEvacuated("d2"));
    source.retain({ "configuration", "evacuate/d2" }, 9, now);
    CHECK_FALSE(source.evacuations().isEvacuated("d1"));
    CHECK_TRUE(source.evacuations().isEvacuated("d2"));
    CHECK_TRUE(started.applyEncoded(source.encode({ 0, 0 }), now, reason).has_value());
    CHECK_FALSE(started.evacuations().isEvacuated("d1"));
    CHECK_TRUE(started.evacuations().isEvacuated("d2"));
    started.takeChangedEvacuations();
    started.expire(now + 1h);
    CHECK_TRUE(started.evacuations().isEvacuated("d2"));
}
