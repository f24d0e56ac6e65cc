#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::dispatch {

/** \struct CrashNotice
 * \brief Count of upstreams that went down while they ran a request, as hosts tell each other.
 */
struct CrashNotice {
    uint64_t fingerprint { 0 };
    uint32_t crashes { 0 };
};

/** \class CrashSuspects
 * \brief Requests after which upstreams went down, by the hash of their content.
 *
 * A request that was seen with maxCrashes lost upstreams is refused for a while on every host. Not safe for use by
 * several threads.
 */
class CrashSuspects {
public:
    /** Upstreams that one request may take down. */
    static constexpr uint32_t maxCrashes = 3;
    /** Time for which a request stays refused; longer than a caller's pauses between tries. */
    static constexpr base::Duration validity { std::chrono::seconds(120) };
    /** Bound of the memory for requests under suspicion. */
    static constexpr size_t maxRemembered = 4096;

    static uint64_t fingerprintOf(
        std::string_view method, std::string_view host, std::string_view target, std::string_view body);

    /** Counts an upstream that went down with the request in flight. */
    void addCrash(uint64_t fingerprint, base::TimePoint now);
    /** Clears a request that was answered: it does not crash its upstreams. */
    void clear(uint64_t fingerprint);
    /** Takes the counts of another host; the higher one holds. */
    void merge(std::span<const CrashNotice>, base::TimePoint now);

    uint32_t crashes(uint64_t fingerprint, base::TimePoint now) const;
    bool isRefused(uint64_t fingerprint, base::TimePoint now) const { return crashes(fingerprint, now) >= maxCrashes; }
    /** Requests with two crashes or more, for other hosts. */
    std::vector<CrashNotice> notices(base::TimePoint now) const;

private:
    struct Suspect {
        uint32_t crashes { 0 };
        base::TimePoint lastAt {};
    };
    std::unordered_map<uint64_t, Suspect> m_suspects;
};

}
