#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/routing/QuarantineNotice.h"
#include "papayabend/routing/RoutingSettings.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace papayabend::routing {

/** Returns the fingerprint of a request, which is the same on every host. */
uint64_t fingerprintOf(std::string_view account, std::string_view service, std::string_view content);

/** \struct Crash
 * \brief Upstream whose connection was lost while a request was in flight.
 */
struct Crash {
    uint64_t upstream { 0 }; /**< Hash of the upstream's name. */
    uint64_t shard { 0 }; /**< Hash of the shard's name; 0 for a pool. */
    base::TimePoint at {}; /**< When this host has lost it or heard of it; set by Quarantine. */
};

/** \class Quarantine
 * \brief Detects and quarantines requests that crash upstreams. Thread-safe.
 *
 * A request becomes suspect when the connection to an upstream is lost while the request is in flight there. A suspect
 * is cleared when it runs on another replica of the same shard, and quarantined when enough upstreams were lost while
 * they ran it. A request that other upstreams have answered before needs one crash more, because it was probably in
 * flight only by coincidence.
 */
class Quarantine {
public:
    /** Time within which the hosts notice the same end of an upstream, and start it again at the earliest. */
    static constexpr base::Duration sameLossTime { std::chrono::seconds(3) };

    void configure(const CrashSettings&);

    bool isQuarantined(uint64_t fingerprint, base::TimePoint now) const;

    /** Returns the number of lost upstreams that still count against a request. */
    uint32_t crashes(uint64_t fingerprint, base::TimePoint now) const;

    /** Returns whether a request must first run on a single upstream. */
    bool needsCanary(uint64_t fingerprint, uint64_t snapshot, base::TimePoint now) const;

    /** Records an answer from \a shard, whose crashes then no longer count unless the request is quarantined. */
    void succeeded(uint64_t fingerprint, uint64_t snapshot, uint64_t shard, base::TimePoint now);

    /** Records a lost upstream and returns the notice for all other hosts of the serving set. An upstream that is lost
     * again after sameLossTime has been started again meanwhile, and counts again. */
    QuarantineNotice crashed(uint64_t fingerprint, const Crash&, bool hasSucceeded, base::TimePoint now);

    /** Applies another host's notice. Returns whether it contained newer information. */
    bool received(const QuarantineNotice&, base::TimePoint now);

    /**
     * Returns the time from which a suspect may be sent again. Suspects of the same crash run alone, one after another
     * in the order of their fingerprints, which is the same on all hosts; a second crash then identifies the cause.
     */
    base::TimePoint soloRunStart(uint64_t fingerprint, base::TimePoint now) const;

private:
    struct Suspect {
        std::vector<Crash> crashes;
        uint32_t reportedCrashes { 0 }; /**< Highest number of crashes in a notice that does not name the upstream. */
        base::TimePoint lastCrash {};
        base::TimePoint quarantinedUntil {};
    };

    const Suspect* findSuspect(uint64_t fingerprint, base::TimePoint now) const;
    void removeExpired(base::TimePoint now);

    mutable std::mutex m_mutex;
    CrashSettings m_settings;
    std::unordered_map<uint64_t, Suspect> m_suspects;
    base::TimePoint m_lastCrash {};
    // Requests that succeeded. Two generations bound their number and age without a time stamp for each request.
    std::unordered_set<uint64_t> m_successes;
    std::unordered_set<uint64_t> m_previousSuccesses;
    base::TimePoint m_generationStart {};
};

}
