#include "papayabend/gateway/EventLog.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace papayabend;
using namespace papayabend::gateway;
using namespace std::chrono_literals;

TEST_GROUP(EventLog)
{
    std::array<int, 2> pipe {};
    base::TimePoint now { 100s };

    void setup() override { CHECK_EQUAL(0, ::pipe(pipe.data())); }
    void teardown() override
    {
        ::close(pipe[0]);
        ::close(pipe[1]);
    }

    std::string readAll() const
    {
        fcntl(pipe[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> buf;
        for (auto n = ::read(pipe[0], buf.data(), buf.size()); n > 0; n = ::read(pipe[0], buf.data(), buf.size()))
            text.append(buf.data(), static_cast<size_t>(n));
        return text;
    }
};

// Guards against quotes, line breaks or invalid UTF-8 from a client that make a log line invalid JSON.
TEST(EventLog, LineIsValidJsonWhateverTheFieldsContain)
{
    EventLog log({}, "host \"1\"", pipe[1]);
    log.write(LineClass::Failure, "request", LogFields().add("target", "/a\n\"\xff").add("ms", 7), now);
    log.flush();
    auto line = nlohmann::json::parse(readAll());
    CHECK_TRUE(line["host"] == "host \"1\"");
    CHECK_TRUE(line["event"] == "request");
    LONGS_EQUAL(7, line["ms"].get<int>());
}

// Guards against a flood of failed requests whose log lines use up the processor time, and against dropped lines that
// are not counted.
TEST(EventLog, LinesPerSecondAreLimitedAndDroppedOnesCounted)
{
    EventLog log({ .failuresPerSecond = 10, .successesPerSecond = 2 }, "h", pipe[1]);
    for (int n = 0; n < 50; ++n) {
        log.write(LineClass::Failure, "request", {}, now);
        log.write(LineClass::Success, "request", {}, now);
    }
    log.write(LineClass::Failure, "request", {}, now + 1s);
    log.flush();
    auto text = readAll();
    LONGS_EQUAL(13, std::ranges::count(text, '\n'));
    LONGS_EQUAL(40, log.dropped());
    CHECK_TRUE(text.find("\"linesDropped\":40") != std::string::npos);
}

// Guards against a stalled reader of the log that blocks the process or makes its memory grow.
TEST(EventLog, StalledReaderOnlyCausesDroppedLines)
{
    EventLog log({ .failuresPerSecond = 100000, .successesPerSecond = 1 }, "h", pipe[1]);
    LogFields fields;
    fields.add("text", std::string(1000, 'x'));
    for (int n = 0; n < 2000; ++n)
        log.write(LineClass::Failure, "request", fields, now);
    CHECK_TRUE(log.dropped() > 1000);
    readAll();
    log.flush();
    log.write(LineClass::Failure, "request", {}, now);
    std::string text;
    for (int n = 0; n < 10; ++n) {
        log.flush();
        text += readAll();
    }
    CHECK_TRUE(text.find("linesDropped") != std::string::npos);
}

// Guards against lifecycle lines, such as "ready" or a lost store, that are dropped because a list of many upstreams or
// a flood of failures has used up the limit.
TEST(EventLog, FloodOfOtherClassesDoesNotSuppressLifecycleLines)
{
    EventLog log({}, "h", pipe[1]);
    for (int n = 0; n < 1000; ++n) {
        log.write(LineClass::Change, "upstream", {}, now);
        log.write(LineClass::Failure, "request", {}, now);
    }
    log.write(LineClass::Lifecycle, "ready", {}, now);
    log.flush();
    CHECK_TRUE(readAll().find("\"event\":\"ready\"") != std::string::npos);
    CHECK_TRUE(log.dropped() >= 1800);
}
