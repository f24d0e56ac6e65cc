#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/gateway/GatewaySettings.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace papayabend::gateway {

/** \class LogFields
 * \brief Builds the fields of one log line as JSON members without the enclosing braces.
 */
class LogFields {
public:
    LogFields& add(std::string_view key, std::string_view text);
    LogFields& add(std::string_view key, int64_t number);
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

/** \enum LineClass
 * \brief Class of a log line. Each class has its own limit of lines per second.
 */
enum class LineClass : uint8_t {
    Lifecycle, /**< Start, stop, reload, new versions in force, a dependency lost or regained. */
    Change, /**< A change of one upstream or item; a full list may write a line for each. */
    Failure, /**< A failed request. */
    Success, /**< A served request; only a sample is written. */
};

/** \class EventLog
 * \brief Writes events to a descriptor as JSON, one object per line, rate-limited and without blocking.
 *
 * Lines over the limit of their class, or over the buffer limit while the reader stalls, are dropped. The next line
 * that is written states how many were dropped, except those of LineClass::Success. Not safe for use by several
 * threads.
 */
class EventLog {
public:
    /** Lines are dropped while at least this many bytes wait for a slow reader. */
    static constexpr size_t maxBufferBytes = 256 * 1024;
    /** Limit of LineClass::Lifecycle, per second; a process exceeds it only if something flaps. */
    static constexpr uint32_t maxLifecyclePerSecond = 100;

    EventLog(const EventLogSettings&, const std::string& host, int descriptor);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void configure(const EventLogSettings& settings) { m_settings = settings; }

    /** Returns whether a line of the class may be written now, so that callers need not build the fields otherwise. If
     * not, the line counts as dropped unless it is of LineClass::Success. */
    bool mayWrite(LineClass, base::TimePoint now);
    void write(LineClass, std::string_view event, const LogFields&, base::TimePoint now);
    /** Writes waiting bytes until the descriptor would block. */
    void flush();

    uint64_t dropped() const { return m_dropped; }

private:
    struct Sink;
    /** Lines of the class that may be written in a second. */
    uint32_t maxLinesPerSecond(LineClass) const;

    EventLogSettings m_settings;
    std::string m_host;
    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
    int64_t m_currentSecond { -1 };
    std::array<uint32_t, 4> m_linesThisSecond {}; /**< Lines written in this second, by class. */
    uint64_t m_dropped { 0 };
    uint64_t m_reportedDrops { 0 };
};

}
