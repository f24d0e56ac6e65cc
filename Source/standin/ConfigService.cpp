#include "standin/ConfigService.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

namespace papayabend::standin {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr size_t maxValueBytes = 1024 * 1024;

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), {} };
    }

    // The table is CSV with the first line "version,<n>"; the catalogue is JSON.
    uint64_t versionOf(const std::string& text)
    {
        constexpr std::string_view csvPrefix = "version,";
        if (text.starts_with(csvPrefix)) {
            uint64_t version = 0;
            std::from_chars(text.data() + csvPrefix.size(), text.data() + text.size(), version);
            return version;
        }
        auto json = nlohmann::json::parse(text, nullptr, false);
        return json.is_object() && json["version"].is_number_unsigned() ? json["version"].get<uint64_t>() : 0;
    }

    uint64_t numberParameter(const httplib::Request& request, const char* name)
    {
        uint64_t number = 0;
        auto text = request.get_param_value(name);
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

}

ConfigService::ConfigService(std::string folder, const PlatformBehaviour& behaviour)
    : m_folder(std::move(folder))
    , m_behaviour(behaviour)
{
}

void ConfigService::addRoutes(httplib::Server& server)
{
    auto write = [](const Answer& answer, httplib::Response& response) {
        response.status = answer.status;
        if (!answer.text.empty())
            response.set_content(answer.text, "text/plain");
    };
    server.Get(
        R"(/v1/values/(table|catalog))", [this, write](const httplib::Request& request, httplib::Response& response) {
            auto wait = std::chrono::milliseconds(std::min<uint64_t>(numberParameter(request, "wait"), 60'000));
            write(watch(request.matches[1], numberParameter(request, "after"), wait), response);
        });
    server.Get(
        "/v1/hosts", [this, write](const httplib::Request&, httplib::Response& response) { write(hosts(), response); });
}

bool ConfigService::change(const std::string& json, base::LastReason& reason)
{
    std::scoped_lock lock(m_mutex);
    auto wasStale = m_behaviour.isStale;
    if (!standin::change(m_behaviour, json, reason))
        return false;
    m_frozen.clear();
    if (m_behaviour.isStale && !wasStale) {
        for (const auto* key : { "table", "catalog" })
            m_frozen[key] = load(key);
    }
    return true;
}

std::map<std::string, uint64_t> ConfigService::calls() const
{
    std::scoped_lock lock(m_mutex);
    return m_calls;
}

void ConfigService::stop()
{
    std::scoped_lock lock(m_mutex);
    m_isStopping = true;
}

// Called with the mutex held.
ConfigService::Value ConfigService::load(const std::string& key)
{
    auto path = m_folder + "/" + key;
    std::error_code ec;
    auto time = std::filesystem::last_write_time(path, ec).time_since_epoch().count();
    if (ec)
        return {};
    auto& cached = m_cache[key];
    if (cached.first != time) {
        auto text = readFile(path);
        if (text.size() > maxValueBytes)
            text.clear();
        cached = { time, { versionOf(text), text } };
    }
    return cached.second;
}

ConfigService::Value ConfigService::valueOf(const std::string& key)
{
    auto it = m_frozen.find(key);
    return it == m_frozen.end() ? load(key) : it->second;
}

// Called with the mutex held. Counts the call and refuses it over the rate limit or during an outage.
std::optional<ConfigService::Answer> ConfigService::refuse(const char* kind)
{
    ++m_calls[kind];
    auto now = Clock::now();
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_callsThisSecond = 0;
    }
    if (m_behaviour.isDown) {
        ++m_calls["refused"];
        return Answer { 503, "outage\n" };
    }
    if (++m_callsThisSecond > m_behaviour.readsPerSecond) {
        ++m_calls["limited"];
        return Answer { 429, "too many reads\n" };
    }
    return std::nullopt;
}

ConfigService::Answer ConfigService::watch(const std::string& key, uint64_t after, std::chrono::milliseconds wait)
{
    auto end = Clock::now() + wait;
    std::unique_lock lock(m_mutex);
    if (auto refused = refuse(key.c_str()))
        return *refused;
    while (true) {
        auto value = valueOf(key);
        // A stale service answers even if the reader has a newer version.
        if (!value.text.empty() && value.version > after)
            return { 200, std::move(value.text) };
        if (Clock::now() >= end || m_isStopping)
            return { 304, {} };
        lock.unlock();
        std::this_thread::sleep_for(pollInterval);
        lock.lock();
        if (m_behaviour.isDown)
            return { 503, "outage\n" };
    }
}

ConfigService::Answer ConfigService::hosts()
{
    std::scoped_lock lock(m_mutex);
    if (auto refused = refuse("hosts"))
        return *refused;
    auto now = Clock::now();
    auto text = readFile(m_folder + "/hosts");
    if (text != m_pendingHosts) {
        m_pendingHosts = text;
        m_pendingSince = now;
    }
    if (m_publishedHosts.empty() || now - m_pendingSince >= m_behaviour.hostListLag)
        m_publishedHosts = m_pendingHosts;
    if (m_publishedHosts.empty())
        return { 404, "no host list\n" };
    return { 200, m_publishedHosts };
}

}
