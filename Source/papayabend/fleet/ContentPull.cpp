#include "papayabend/fleet/ContentPull.h"

#include <algorithm>
#include <utility>

namespace papayabend::fleet {

namespace {

    // Times for which a host is behind another one before it pulls. A reader's own watch returns a change within some
    // milliseconds. A host of another failure domain is asked only if the reader of the own one has not sent the
    // change.
    constexpr base::Duration readerPullDelay { std::chrono::milliseconds(300) };
    constexpr base::Duration otherDomainPullDelay { std::chrono::milliseconds(800) };
    // Pause after a pull that brought nothing, and the range of its random part.
    constexpr base::Duration minPullPause { std::chrono::milliseconds(40) };
    constexpr uint64_t pullPauseSpreadMs = 80;

    bool isAhead(const Heartbeat& other, const PullInputs& inputs, const PullState& state)
    {
        return other.contentPosition() > inputs.position
            || other.configurationVersion > std::max(inputs.configurationVersion, state.unavailableVersion);
    }

    base::Duration pullDelay(const FleetView& fleet, const Member& ahead, const PullInputs& inputs)
    {
        if (!inputs.hasContent)
            return base::Duration(0);
        if (inputs.readsStore)
            return readerPullDelay;
        auto isDirectSource = fleet.isSmall() || ahead.heartbeat.failureDomain == fleet.self().failureDomain;
        return isDirectSource ? base::Duration(0) : otherDomainPullDelay;
    }

}

std::optional<PullSource> choosePullSource(
    const FleetView& fleet, PullState& state, const PullInputs& inputs, base::Random& random, base::TimePoint now)
{
    const Member* ahead = nullptr;
    uint64_t candidates = 0;
    for (const auto& [name, member] : fleet.members()) {
        if (!isAhead(member.heartbeat, inputs, state) || !fleet.isAlive(member, now))
            continue;
        if (ahead && pullDelay(fleet, member, inputs) > pullDelay(fleet, *ahead, inputs))
            continue;
        if (!ahead || pullDelay(fleet, member, inputs) < pullDelay(fleet, *ahead, inputs))
            candidates = 0;
        ++candidates;
        if (base::uniformIndex(random, candidates) == 0)
            ahead = &member;
    }
    if (!ahead) {
        state = { .unavailableVersion = state.unavailableVersion };
        return std::nullopt;
    }
    if (state.behindSince == base::TimePoint {})
        state.behindSince = now;
    if (now < state.notBefore || now - state.behindSince < pullDelay(fleet, *ahead, inputs))
        return std::nullopt;
    PullSource source { ahead->heartbeat.peerAddress, ahead->heartbeat.contentPosition() <= inputs.position,
        ahead->heartbeat.configurationVersion };
    std::erase(state.referrals, fleet.self().peerAddress);
    if (state.referrals.empty())
        return source;
    std::swap(state.referrals[base::uniformIndex(random, state.referrals.size())], state.referrals.back());
    source.address = std::move(state.referrals.back());
    state.referrals.pop_back();
    source.isReferral = true;
    return source;
}

void recordFruitlessPull(
    PullState& state, std::vector<std::string> referrals, base::Random& random, base::TimePoint now)
{
    auto pause = minPullPause + std::chrono::milliseconds(base::uniformIndex(random, pullPauseSpreadMs));
    auto isFirstReferral = state.notBefore == base::TimePoint {} && !referrals.empty();
    state.notBefore = isFirstReferral ? now : now + pause;
    if (!referrals.empty())
        state.referrals = std::move(referrals);
}

void recordPull(PullState& state)
{
    state = { .behindSince = state.behindSince, .unavailableVersion = state.unavailableVersion };
}

void recordVersion(PullState& state, const PullSource& source, uint64_t configurationVersion)
{
    if (source.needsAll && !source.isReferral && source.configurationVersion > configurationVersion)
        state.unavailableVersion = std::max(state.unavailableVersion, source.configurationVersion);
}

}
