#pragma once

#include "standin/StandinSettings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace httplib {
class Server;
}

namespace papayabend::standin {

/** \class ConfigService
 * \brief The platform's configuration service and host list, which hosts can only read and watch.
 *
 * Values are the files "table" and "catalog" of a folder; the host list is the file "hosts" and lags behind it.
 */
class ConfigService {
public:
    ConfigService(std::string folder, const PlatformBehaviour&);

    /** Adds GET /v1/values/<key> and GET /v1/hosts. */
    void addRoutes(httplib::Server&);
    bool change(const std::string& json, base::LastReason& reason);
    /** Returns the number of calls by kind; a waiting watch counts as one call. */
    std::map<std::string, uint64_t> calls() const;
    /** Ends waiting watches. */
    void stop();

private:
    using Clock = std::chrono::steady_clock;

    struct Value {
        uint64_t version { 0 };
        std::string text;
    };
    struct Answer {
        int status { 0 };
        std::string text;
    };

    Answer watch(const std::string& key, uint64_t after, std::chrono::milliseconds wait);
    Answer hosts();
    Value load(const std::string& key);
    Value valueOf(const std::string& key);
    std::optional<Answer> refuse(const char* kind);

    mutable std::mutex m_mutex;
    std::string m_folder;
    PlatformBehaviour m_behaviour;
    std::map<std::string, Value> m_frozen; /**< Values that a stale service answers with. */
    std::map<std::string, std::pair<int64_t, Value>> m_cache; /**< By key, with the time of the file. */
    std::map<std::string, uint64_t> m_calls;
    Clock::time_point m_second {};
    uint32_t m_callsThisSecond { 0 };
    std::string m_publishedHosts;
    std::string m_pendingHosts;
    Clock::time_point m_pendingSince {};
    bool m_isStopping { false };
};

}
