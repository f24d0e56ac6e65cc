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
 * \brief Builds the fields of one log line, as the inside of a JSON object.
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
 * \brief Decides which bound a line counts against.
 */
enum class LineClass : uint8_t {
    Lifecycle, /**< Start, stop, reload, versions in force, a dependency lost or regained. */
    Change, /**< Of one upstream or item; a list of all of them has a line each. */
    Failure, /**< A failed request. */
    Success, /**< A served request; a sample of them is written. */
};

/** \class EventLog
 * \brief Writes one JSON object a line to standard output, bounded and without blocking.
 *
 * Lines over the bound of a second, or that a stalled reader leaves no room for, are dropped and counted; the count is
 * written with the next line that passes. Not safe for use by several threads.
 */
class EventLog {
public:
    /** Bytes that wait for a slow reader. */
    static constexpr size_t maxBufferBytes = 256 * 1024;
    /** Lines of LineClass::Lifecycle in a second; more than a process has unless something flaps. */
    static constexpr uint32_t maxLifecyclePerSecond = 100;

    EventLog(const EventLogSettings&, const std::string& host, int descriptor);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void configure(const EventLogSettings& settings) { m_settings = settings; }

    /** Returns whether a line of the class would be written now; callers skip building the fields otherwise. */
    bool isOpen(LineClass, base::TimePoint now);
    void write(LineClass, std::string_view event, const LogFields&, base::TimePoint now);
    /** Hands waiting bytes to the descriptor as far as it takes them. */
    void flush();

    uint64_t dropped() const { return m_dropped; }

private:
    struct Sink;
    uint32_t bound(LineClass) const;

    EventLogSettings m_settings;
    std::string m_host;
    std::shared_ptr<Sink> m_sink;
    std::shared_ptr<spdlog::logger> m_logger;
    int64_t m_second { -1 };
    std::array<uint32_t, 4> m_lines {}; /**< Of this second, by class. */
    uint64_t m_dropped { 0 };
    uint64_t m_reported { 0 };
};

}
