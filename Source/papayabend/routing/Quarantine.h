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

/** Returns the fingerprint of a request. Equal on every host. */
uint64_t fingerprintOf(std::string_view account, std::string_view service, std::string_view content);

/** \struct Crash
 * \brief One upstream that was lost with a request in flight.
 */
struct Crash {
    uint64_t upstream { 0 }; /**< Hash of its name. */
    uint64_t shard { 0 }; /**< Hash of its name; 0 for a pool. */
};

/** \class Quarantine
 * \brief Requests that upstreams were lost with. Safe for use by several threads.
 *
 * A request becomes suspect when an upstream is lost while it is in flight. A suspect is cleared when it runs on
 * another replica of the same shard, and quarantined when enough upstreams were lost with it. A request that had
 * answers from other upstreams before needs one crash more, because it was probably only a bystander.
 */
class Quarantine {
public:
    void configure(const CrashSettings&);

    bool isQuarantined(uint64_t fingerprint, base::TimePoint now) const;

    /** Returns the upstreams lost with a request that still count against it. */
    uint32_t crashes(uint64_t fingerprint, base::TimePoint now) const;

    /** Returns whether a request must run on one upstream alone first. */
    bool needsCanary(uint64_t fingerprint, uint64_t snapshot, base::TimePoint now) const;

    /** Records an answer. */
    void succeeded(uint64_t fingerprint, uint64_t snapshot, uint64_t shard, base::TimePoint now);

    /** Records a lost upstream and returns the notice for all other hosts of the serving set. */
    QuarantineNotice crashed(uint64_t fingerprint, const Crash&, bool isProven, base::TimePoint now);

    /** Takes another host's notice. Returns whether it was news. */
    bool received(const QuarantineNotice&, base::TimePoint now);

    /**
     * Returns the time from which a suspect may be tried again. Requests that lost the same upstream get different
     * times on all hosts, in the order of their fingerprints, so that a second crash names the right one.
     */
    base::TimePoint soloRunStart(uint64_t fingerprint, base::TimePoint now) const;

private:
    struct Suspect {
        std::vector<Crash> crashes;
        uint32_t reported { 0 }; /**< Largest number of crashes that a notice without an upstream reported. */
        base::TimePoint lastCrash {};
        base::TimePoint quarantinedUntil {};
    };

    const Suspect* find(uint64_t fingerprint, base::TimePoint now) const;
    void removeExpired(base::TimePoint now);

    mutable std::mutex m_mutex;
    CrashSettings m_settings;
    std::unordered_map<uint64_t, Suspect> m_suspects;
    base::TimePoint m_lastCrash {};
    // Two generations bound the memory of successes without a time stamp for each.
    std::unordered_set<uint64_t> m_succeeded;
    std::unordered_set<uint64_t> m_succeededBefore;
    base::TimePoint m_generationStart {};
};

}
