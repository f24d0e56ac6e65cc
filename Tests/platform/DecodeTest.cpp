#include "platform/Decode.h"
#include "platform/Calls.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace papayabend;
using namespace std::chrono_literals;

namespace {

constexpr auto validUpstream = R"({"service":"desk","address":"10.1.0.9:80","zone":"d1","version":"v1",
    "max-concurrency":2,"state":"ready","warmup-left-ms":1500,"sequence":4,"born":1700000000000})";

}

TEST_GROUP(Decode)
{
    base::LastReason reason;

    std::string rejectionReason(const std::string& field, const std::string& value)
    {
        std::string text = validUpstream;
        auto at = text.find('"' + field + "\":") + field.size() + 3;
        text.replace(at, text.find_first_of(",}", at) - at, value);
        auto record = platform::parseUpstream("i-1", text, reason);
        return record ? std::string() : reason.text;
    }
};

// Guards against an era that is lost or misread, so that revisions of two eras are compared.
TEST(Decode, EraOfTheStoreIsReadFromItsAnswers)
{
    gateway::HttpResponse answer;
    LONGS_EQUAL(0, platform::parseStoreEra(answer).value());
    answer.set("Store-Era", "17");
    LONGS_EQUAL(17, platform::parseStoreEra(answer).value());
    for (const auto* text : { "", "-1", "1.5", "new" }) {
        answer.set("Store-Era", text);
        CHECK_FALSE(platform::parseStoreEra(answer).has_value());
    }
}

// Guards against a value of the store whose tree fills the memory of the host.
TEST(Decode, ValuesOfManyArraysAreNotParsed)
{
    std::string deep(1'000'000, '[');
    std::string wide = "[";
    for (auto n = 0; n < 1'000'000; ++n)
        wide += "[],";
    wide += "1]";
    for (const auto& value : { deep, wide }) {
        CHECK_FALSE(platform::parseUpstream("i-1", value, reason).has_value());
        STRCMP_EQUAL("the JSON text has too many values", reason.text.c_str());
        CHECK_FALSE(platform::parseConfiguration(value, reason).has_value());
        CHECK_FALSE(platform::adapter().parsePage(value, reason).has_value());
    }
}

// Guards against a field of an upstream record that is read from a wrong key.
TEST(Decode, FieldsOfAnUpstreamRecord)
{
    auto record = platform::parseUpstream("i-1", validUpstream, reason);
    CHECK_TRUE(record.has_value());
    STRCMP_EQUAL("i-1", record->id.c_str());
    STRCMP_EQUAL("desk", record->service.c_str());
    STRCMP_EQUAL("10.1.0.9:80", record->address.c_str());
    STRCMP_EQUAL("d1", record->failureDomain.c_str());
    LONGS_EQUAL(2, record->concurrency);
    LONGS_EQUAL(4, record->sequence);
    CHECK_TRUE(record->warmUpLeft == 1500ms);
    CHECK_TRUE(record->startedAt == 1'700'000'000'000);
    CHECK_FALSE(record->isDraining);
}

// Guards against malformed upstream records, for example from another writer, that make the gateway use an upstream.
TEST(Decode, MalformedUpstreamRecordsAreRejected)
{
    for (auto [field, value] : std::initializer_list<std::pair<const char*, const char*>> { { "state", "\"up\"" },
             { "state", "1" }, { "address", "\"nowhere\"" }, { "address", "null" }, { "service", "7" },
             { "sequence", "\"4\"" }, { "sequence", "-4" }, { "born", "1.5" }, { "born", "\"x\"" },
             { "max-concurrency", "\"2\"" }, { "zone", "[]" } })
        CHECK_FALSE(rejectionReason(field, value).empty());
    for (const auto* text : { "", "null", "[]", "{}", "{\"service\":", "\xff\xfe" })
        CHECK_FALSE(platform::parseUpstream("i-1", text, reason).has_value());
}

// Guards against rejecting a record without a start time, which not every deployment states.
TEST(Decode, StartTimeMayBeAbsent)
{
    std::string text = validUpstream;
    text.erase(text.find(",\"born\""));
    auto record = platform::parseUpstream("i-1", text + "}", reason);
    CHECK_TRUE(record && !record->startedAt);
}

// Guards against a field of the configuration that is read from a wrong key.
TEST(Decode, FieldsOfAConfiguration)
{
    auto value = platform::parseConfiguration(R"({"version":7,"routes":[
        {"name":"all","host":"P.example","prefix":"/a/","type":"idempotent","timeout-ms":600,"target-latency-ms":100,
         "priority":2,"gather":["s1","s2"],"max-attempts":2,"top-k":5,"min-shard-ratio":0.75},
        {"name":"one","host":"p.example","prefix":"/b/","type":"non_idempotent","timeout-ms":6000,"service":"s3",
         "max-attempts":3},
        {"name":"split","host":"p.example","prefix":"/c/","type":"idempotent",
         "traffic-split":[{"service":"s1","weight":7},{"service":"s2","weight":3}]}],
        "services":[{"name":"s1","health-path":"/h","max-connections":26}],
        "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":300,"idle-timeout-ms":400}})",
        reason);
    CHECK_TRUE(value.has_value());
    LONGS_EQUAL(7, value->version);
    const auto& all = value->routes[0];
    STRCMP_EQUAL("p.example", all.host.c_str());
    CHECK_TRUE(all.idempotent && all.isFanOut() && all.destinations.empty());
    CHECK_TRUE(all.timeout == 600ms && all.latencyObjective == 100ms);
    LONGS_EQUAL(2, all.priority);
    LONGS_EQUAL(2, all.maxAttempts);
    LONGS_EQUAL(5, all.maxRecords);
    DOUBLES_EQUAL(0.75, all.minShardShare, 0);
    CHECK_FALSE(value->routes[1].idempotent);
    STRCMP_EQUAL("s3", value->routes[1].destinations.front().service.c_str());
    DOUBLES_EQUAL(3, value->routes[2].destinations[1].weight, 0);
    LONGS_EQUAL(26, value->maxConnections.at("s1"));
    LONGS_EQUAL(1000, value->limits.headerBytes);
    LONGS_EQUAL(2000, value->limits.bodyBytes);
    CHECK_TRUE(value->limits.headerTimeout == 300ms && value->limits.idleTimeout == 400ms);
}

// Guards against retries of a request that is not idempotent, on a route whose type is unknown, and against a route
// without required fields.
TEST(Decode, UnknownRouteTypeIsNotIdempotent)
{
    auto value = platform::parseConfiguration(
        R"({"version":1,"routes":[{"host":"p","prefix":"/","type":"keyed","service":"s"}]})", reason);
    CHECK_FALSE(value->routes.front().idempotent);
    CHECK_FALSE(platform::parseConfiguration(R"({"version":1,"routes":[{"prefix":"/"}]})", reason).has_value());
}

// Guards against items and removals in answers of the store that are lost or misread.
TEST(Decode, PagesAndEventsOfTheStore)
{
    auto page = platform::parsePage(
        R"({"items":[{"key":"k","value":"aGk=","revision":4,"created-rev":2,"lease":0}],"has-more":true,"as-of":9})",
        reason);
    CHECK_TRUE(page && page->hasMore);
    LONGS_EQUAL(9, page->asOf);
    STRCMP_EQUAL("hi", page->items.front().value.c_str());
    LONGS_EQUAL(4, page->items.front().revision);
    auto events = platform::parseEvents(R"({"events":[{"key":"k","revision":5,"tombstone":true}],"as-of":5})", reason);
    CHECK_TRUE(events && events->items.front().isRemoved);
    CHECK_FALSE(platform::parsePage("<html>", reason).has_value());
    CHECK_FALSE(platform::parsePage(R"({"items":[{"key":"k"}],"as-of":1})", reason).has_value());
}

// Guards against an odd limit of an upstream that stops all requests to it, or that overflows.
TEST(Decode, LimitOfAnUpstream)
{
    auto reportOf = [](const char* limit) {
        gateway::HttpResponse answer;
        answer.insert("Server-Limit", limit);
        return platform::parseUpstreamReport(answer);
    };
    DOUBLES_EQUAL(22.5, *reportOf("22.5").requestLimit, 0);
    DOUBLES_EQUAL(0, *reportOf("0").requestLimit, 0);
    CHECK_TRUE(*reportOf("1e300").requestLimit <= 1e6);
    for (const auto* text : { "", "-1", "nan", "inf", "1e999", "12 a second", "twelve", "0x10" }) {
        CHECK_FALSE(reportOf(text).requestLimit.has_value());
        CHECK_FALSE(reportOf(text).isLimitReadable);
        CHECK_TRUE(reportOf(text).problems.front().starts_with("Server-Limit is not a decimal number"));
    }
    CHECK_FALSE(platform::parseUpstreamReport({}).requestLimit.has_value());
    CHECK_TRUE(platform::parseUpstreamReport({}).problems.empty());
}

// Guards against a process that ends, or that sends requests to nowhere, because of one odd entry in the list.
TEST(Decode, OddRecordsNameNoUpstream)
{
    auto recordOf = [this](const std::string& field, const std::string& value) {
        nlohmann::json record = { { "service", "s" }, { "address", "10.0.0.1:80" }, { "zone", "z" },
            { "max-concurrency", 2 }, { "state", "ready" }, { "warmup-left-ms", 0 }, { "sequence", 1 }, { "born", 7 } };
        record.erase(field);
        auto text = record.dump();
        text.insert(1, "\"" + field + "\":" + value + ",");
        return platform::parseUpstream("i-1", text, reason);
    };
    CHECK_TRUE(recordOf("zone", "\"z\"").has_value());
    std::string nested(100'000, '[');
    nested += std::string(100'000, ']');
    for (const auto* field :
        { "service", "address", "zone", "max-concurrency", "state", "warmup-left-ms", "sequence", "born", "unknown" }) {
        CHECK_EQUAL(std::string_view(field) == "unknown", recordOf(field, nested).has_value());
        CHECK_FALSE(recordOf(field, std::string(100'000, '{')).has_value());
        CHECK_FALSE(recordOf(field, "1e999").has_value());
    }
    for (const auto* number : { "0", "-1", "1.5", "1e18", "4294967298", "99999999999999999999", "true", "\"2\"" })
        CHECK_FALSE(recordOf("max-concurrency", number).has_value());
    for (const auto* number : { "-1", "1.5", "99999999999999999999" })
        CHECK_FALSE(recordOf("sequence", number).has_value());
    for (const auto* number : { "1.5", "9223372036854775808", "99999999999999999999" })
        CHECK_FALSE(recordOf("born", number).has_value());
    for (const auto* address : { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:80 ", "10.0.0.1",
             "10.0.0.256:80", "[::1]:80", "host:80", ":80", "10.0.0.1:4294967376" })
        CHECK_FALSE(recordOf("address", nlohmann::json(address).dump()).has_value());
    CHECK_TRUE(recordOf("warmup-left-ms", "1e18")->warmUpLeft <= 1h);
    CHECK_TRUE(recordOf("warmup-left-ms", "-1e300")->warmUpLeft == 0s);
    CHECK_FALSE(platform::parseUpstream("i-1", "\xff\xfe", reason).has_value());
}

// Guards against an id of the store that adds header fields or another request to what is sent to an upstream.
TEST(Decode, IdsThatCannotStandInAHeaderNameNoUpstream)
{
    std::string record = R"({"service":"s","address":"10.0.0.1:80","zone":"z","max-concurrency":2,"state":"ready",)"
                         R"("warmup-left-ms":0,"sequence":1})";
    CHECK_TRUE(platform::parseUpstream("i-7f3a/b", record, reason).has_value());
    for (const auto* id : { "", "a b", "a\r\nX-Other: 1", "a\t", "\xc3\xa4" })
        CHECK_FALSE(platform::parseUpstream(id, record, reason).has_value());
}

// Guards against an odd Retry-After or Server-Leaving that keeps all requests from an upstream, or ends the process.
TEST(Decode, PauseAndLeavingOfAnUpstream)
{
    auto reportOf = [](unsigned status, const char* name, const char* value) {
        gateway::HttpResponse answer;
        answer.result(status);
        answer.insert(name, value);
        return platform::parseUpstreamReport(answer);
    };
    CHECK_TRUE(*reportOf(503, "Retry-After", "1.5").pause == 1500ms);
    CHECK_TRUE(*reportOf(503, "Retry-After", "0").pause == 0s);
    CHECK_TRUE(*reportOf(503, "Retry-After", "1e18").pause <= 24h);
    CHECK_FALSE(reportOf(429, "Retry-After", "2").pause.has_value());
    for (const auto* text : { "", "-1", "nan", "1e999", "Fri, 31 Dec 2027 23:59:59 GMT", "2 s" }) {
        CHECK_FALSE(reportOf(503, "Retry-After", text).pause.has_value());
        LONGS_EQUAL(1, reportOf(503, "Retry-After", text).problems.size());
    }
    CHECK_TRUE(reportOf(200, "Server-Leaving", "1").isLeaving);
    for (const auto* text : { "", "0", "yes", "11" }) {
        CHECK_FALSE(reportOf(200, "Server-Leaving", text).isLeaving);
        LONGS_EQUAL(1, reportOf(200, "Server-Leaving", text).problems.size());
    }
}

// Guards against a choice of upstreams that follows figures which no upstream can mean.
TEST(Decode, StatedLoadOfAnUpstream)
{
    auto reportOf = [](const std::string& text) {
        gateway::HttpResponse answer;
        answer.insert("X-Papayabend-Server-Load", text);
        return platform::parseUpstreamReport(answer);
    };
    auto load = reportOf("3, 12,6,250").statedLoad;
    LONGS_EQUAL(3, load->running);
    LONGS_EQUAL(12, load->waiting);
    LONGS_EQUAL(6, load->slots);
    DOUBLES_EQUAL(2.5, *load->workRatio, 1e-9);
    DOUBLES_EQUAL(1.125, *reportOf("0,0,1,112.5").statedLoad->workRatio, 1e-9);
    CHECK_FALSE(reportOf("1,0,2").statedLoad->workRatio.has_value());
    for (const auto* text : { "", ",", "1,0", "1,0,2,100,5", "1,0,2,", "a,0,2", "-1,0,2", "1,0,0", "3,0,2", "1,70000,2",
             "1,0,99999999999", "1,0,2,0", "1,0,2,-5", "1,0,2,nan", "1,0,2,inf", "1,0,2,20000", "1.5,0,2", "1;0;2" }) {
        CHECK_FALSE(reportOf(text).statedLoad.has_value());
        LONGS_EQUAL(1, reportOf(text).problems.size());
    }
    CHECK_FALSE(platform::parseUpstreamReport({}).statedLoad.has_value());
}

// Guards against a value that is not an object and begins an evacuation.
TEST(Decode, EvacuationIsAnObject)
{
    CHECK_TRUE(platform::parseEvacuation("{}", reason));
    CHECK_TRUE(platform::parseEvacuation(R"({"since":1})", reason));
    for (const auto* text : { "", "null", "[]", "1", "\"d1\"", "{", "\xff" })
        CHECK_FALSE(platform::parseEvacuation(text, reason));
    STRCMP_EQUAL("the value is not a JSON object", reason.text.c_str());
}

// Guards against a value whose tree fills the memory of every host.
TEST(Decode, EvacuationWithVeryManyValuesIsNotParsed)
{
    CHECK_FALSE(platform::parseEvacuation(std::string(2'000'000, '['), reason));
    STRCMP_EQUAL("the JSON text has too many values", reason.text.c_str());
}

// Guards against a bound of cold upstreams that is read from a wrong key, or where none is stated.
TEST(Decode, BoundOfColdUpstreams)
{
    auto value = platform::parseConfiguration(R"({"version":7,"routes":[],"services":[
        {"name":"s1","warmup-per-s":4.5,"warmup-s":30},{"name":"s2"},{"name":"s3","warmup-per-s":0}]})",
        reason);
    CHECK_TRUE(value.has_value());
    LONGS_EQUAL(1, value->coldRequestsPerSecond.size());
    DOUBLES_EQUAL(4.5, value->coldRequestsPerSecond["s1"], 0);
    gateway::HttpResponse answer;
    CHECK_FALSE(platform::parseUpstreamReport(answer).warmUpLeft.has_value());
    answer.set("X-Papayabend-Warmup-Ms", "2500");
    CHECK_TRUE(platform::parseUpstreamReport(answer).warmUpLeft == 2500ms);
    answer.set("X-Papayabend-Warmup-Ms", "1e300");
    CHECK_TRUE(platform::parseUpstreamReport(answer).warmUpLeft <= 1h);
    answer.set("X-Papayabend-Warmup-Ms", "-1");
    CHECK_FALSE(platform::parseUpstreamReport(answer).warmUpLeft.has_value());
    LONGS_EQUAL(1, platform::parseUpstreamReport(answer).problems.size());
}
