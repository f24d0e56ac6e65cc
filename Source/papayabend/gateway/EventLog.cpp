#include "papayabend/gateway/EventLog.h"

#include <cerrno>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace papayabend::gateway {

namespace {

    constexpr size_t flushBytes = 16 * 1024;

    std::string jsonText(std::string_view text)
    {
        return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

}

LogFields& LogFields::add(std::string_view key, std::string_view text)
{
    m_text += ",\"";
    m_text += key;
    m_text += "\":";
    m_text += jsonText(text);
    return *this;
}

LogFields& LogFields::add(std::string_view key, int64_t number)
{
    m_text += ",\"";
    m_text += key;
    m_text += "\":";
    m_text += std::to_string(number);
    return *this;
}

/** \struct EventLog::Sink
 * \brief Buffers lines and writes them to the descriptor without blocking.
 */
struct EventLog::Sink final : spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    explicit Sink(int fd)
        : descriptor(fd)
    {
        auto flags = fcntl(descriptor, F_GETFL);
        if (flags >= 0)
            fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
    void sink_it_(const spdlog::details::log_msg& message) override // NOLINT(readability-identifier-naming)
    {
        buffer.append(message.payload.data(), message.payload.size());
        buffer += '\n';
    }
    void flush_() override // NOLINT(readability-identifier-naming)
    {
        size_t written = 0;
        while (written < buffer.size()) {
            auto n = ::write(descriptor, buffer.data() + written, buffer.size() - written);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                break;
            written += static_cast<size_t>(n);
        }
        buffer.erase(0, written);
    }
    int descriptor;
    std::string buffer;
};

EventLog::EventLog(const EventLogSettings& settings, const std::string& host, int descriptor)
    : m_settings(settings)
    , m_host(jsonText(host))
    , m_sink(std::make_shared<Sink>(descriptor))
    , m_logger(std::make_shared<spdlog::logger>("events", m_sink))
{
}

EventLog::~EventLog() { flush(); }

uint32_t EventLog::maxLinesPerSecond(LineClass kind) const
{
    switch (kind) {
    case LineClass::Lifecycle:
        return maxLifecyclePerSecond;
    case LineClass::Change:
        return m_settings.changesPerSecond;
    case LineClass::Failure:
        return m_settings.failuresPerSecond;
    case LineClass::Success:
        break;
    }
    return m_settings.successesPerSecond;
}

bool EventLog::mayWrite(LineClass kind, base::TimePoint now)
{
    auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_linesThisSecond = {};
    }
    if (m_linesThisSecond[static_cast<size_t>(kind)] < maxLinesPerSecond(kind)
        && m_sink->buffer.size() < maxBufferBytes)
        return true;
    if (kind != LineClass::Success)
        ++m_dropped;
    return false;
}

void EventLog::write(LineClass kind, std::string_view event, const LogFields& fields, base::TimePoint now)
{
    if (!mayWrite(kind, now))
        return;
    ++m_linesThisSecond[static_cast<size_t>(kind)];
    auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    std::string line = "{\"time\":";
    line += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(unixTime).count());
    line += ",\"host\":" + m_host + ",\"event\":\"";
    line += event;
    line += '"';
    line += fields.text();
    if (m_dropped > m_reportedDrops) {
        line += ",\"linesDropped\":" + std::to_string(m_dropped - m_reportedDrops);
        m_reportedDrops = m_dropped;
    }
    line += '}';
    m_logger->info(spdlog::string_view_t(line.data(), line.size()));
    if (m_sink->buffer.size() >= flushBytes)
        flush();
}

void EventLog::flush() { m_sink->flush(); }

}
