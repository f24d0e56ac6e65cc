#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::dispatch {

/** \struct CrashNotice
 * \brief Number of upstreams that were lost while they ran a request, as exchanged between hosts.
 */
struct CrashNotice {
    uint64_t fingerprint { 0 }; /**< Of the request, see CrashSuspects::fingerprintOf(). */
    uint32_t crashes { 0 };
};

/** \class CrashSuspects
 * \brief Counts the upstreams that were lost while they ran a request, by a hash of the request.
 *
 * A request with maxCrashes lost upstreams is refused on every host until suspectLifetime has passed. Not safe for use
 * by several threads.
 */
class CrashSuspects {
public:
    /** Lost upstreams after which a request is refused. */
    static constexpr uint32_t maxCrashes = 3;
    /** Time for which a count is kept after its newest crash, and so for which a request is refused; longer than the
     * time between a caller's retries. */
    static constexpr base::Duration suspectLifetime { std::chrono::seconds(120) };
    /** Number of requests whose counts are kept, which bounds the memory. */
    static constexpr size_t maxSuspects = 4096;

    /** Returns a hash of the request: method, virtual host, target and body. */
    static uint64_t fingerprintOf(
        std::string_view method, std::string_view host, std::string_view target, std::string_view body);

    /** Counts an upstream whose connection was lost with the request in flight. */
    void addCrash(uint64_t fingerprint, base::TimePoint now);
    /** Removes the count of a request that an upstream has answered, which shows that it does not crash upstreams. */
    void clear(uint64_t fingerprint);
    /** Merges the counts of another host: of each request, the higher count is kept. */
    void merge(std::span<const CrashNotice>, base::TimePoint now);

    uint32_t crashes(uint64_t fingerprint, base::TimePoint now) const;
    bool isRefused(uint64_t fingerprint, base::TimePoint now) const { return crashes(fingerprint, now) >= maxCrashes; }
    /** Returns the counts to send to other hosts: those of two crashes or more. */
    std::vector<CrashNotice> notices(base::TimePoint now) const;

private:
    struct Suspect {
        uint32_t crashes { 0 };
        base::TimePoint countedAt {}; /**< Time at which the count last rose. */
    };
    std::unordered_map<uint64_t, Suspect> m_suspects;
};

}
