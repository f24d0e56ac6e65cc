#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/fleet/FleetView.h"

#include <optional>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \struct PullState
 * \brief State that determines when and from which host this host pulls content.
 */
struct PullState {
    base::TimePoint behindSince {}; /**< Since when a live host has had newer content; default if none has. */
    base::TimePoint notBefore {}; /**< End of the pause after a pull that brought nothing. */
    std::vector<std::string> referrals; /**< Peer addresses of receivers that a busy host has named. */
    /** Newest configuration that another host has stated and a complete pull has not brought. */
    uint64_t unavailableVersion { 0 };
};

/** \struct PullInputs
 * \brief What a host has when it decides whether to pull.
 */
struct PullInputs {
    base::StorePosition position; /**< Of its own content. */
    bool hasContent { false }; /**< It has had a full list. */
    bool readsStore { false }; /**< It watches the store itself. */
    uint64_t configurationVersion { 0 }; /**< In force. */
};

/** \struct PullSource
 * \brief Another host to pull content from.
 */
struct PullSource {
    std::string address; /**< Peer address. */
    /** All items are needed: the other host has a newer configuration, but no newer position. */
    bool needsAll { false };
    uint64_t configurationVersion { 0 }; /**< Of the host that is ahead. */
    bool isReferral { false }; /**< Another host than the one that is ahead, named by a busy one. */
};

/** Returns the host to pull content from, or nothing while there is no need or too early.
 *
 * A host is ahead if its position is newer, or its configuration: the store may have lost a version that hosts have in
 * force, and hosts that were started or cut off meanwhile then have the same position without it. Hosts that a busy
 * host has named come first. Else it is one of the live hosts with newer content, at random, so that not all hosts pull
 * from the same one: a host of the own failure domain, or of another one if this host has been behind for longer.
 */
std::optional<PullSource> choosePullSource(
    const FleetView&, PullState&, const PullInputs&, base::Random&, base::TimePoint now);

/** Records that a pull brought nothing: the host was busy and named \a referrals, or the pull failed. The next one
 * follows after a short random pause, at once if there are referrals for the first time. */
void recordFruitlessPull(PullState&, std::vector<std::string> referrals, base::Random&, base::TimePoint now);

/** Records that a pull brought content. */
void recordPull(PullState&);

/** Records that a complete pull from \a source ended and \a configurationVersion is in force; a newer version that
 * \a source stated is not asked for again. */
void recordVersion(PullState&, const PullSource& source, uint64_t configurationVersion);

}
