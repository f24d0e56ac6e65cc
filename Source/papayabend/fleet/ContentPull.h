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
};

/** \struct PullInputs
 * \brief What a host has when it decides whether to pull.
 */
struct PullInputs {
    uint64_t revision { 0 }; /**< Of its own content. */
    bool hasContent { false }; /**< It has had a full list. */
    bool readsStore { false }; /**< It watches the store itself. */
};

/** Returns the peer address of the host to pull content from, or nothing while there is no need or too early.
 *
 * Hosts that a busy host has named come first. Else it is one of the live hosts with newer content, at random, so that
 * not all hosts pull from the same one: a host of the own failure domain, or of another one if this host has been
 * behind for longer.
 */
std::optional<std::string> choosePullSource(
    const FleetView&, PullState&, const PullInputs&, base::Random&, base::TimePoint now);

/** Records that a pull brought nothing: the host was busy and named \a referrals, or the pull failed. The next one
 * follows after a short random pause, at once if there are referrals for the first time. */
void recordFruitlessPull(PullState&, std::vector<std::string> referrals, base::Random&, base::TimePoint now);

/** Records that a pull brought content. */
void recordPull(PullState&);

}
