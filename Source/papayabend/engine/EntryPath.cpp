#include "papayabend/engine/EntryPath.h"

#include "papayabend/engine/ServingHosts.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace papayabend::engine {

using membership::Lifecycle;

EntryPath::EntryPath(SharedState& shared, const entry::EntrySettings& settings, const StopSettings& stop)
    : m_shared(shared)
    , m_settings(settings)
    , m_stop(stop)
{
}

entry::EntryAnswer EntryPath::rank(
    std::string_view account, std::string_view service, const entry::Caller& caller, base::TimePoint now)
{
    auto view = m_shared.hostView.load();
    auto names = servingSet(m_shared, service);
    std::scoped_lock lock(m_mutex);
    auto answer = entry::rankHosts(*view, names, account, service, caller, m_settings, m_assignments, now);
    // The own entry of the view may lag behind the own stage.
    if (m_stage != Lifecycle::Serving)
        std::erase_if(answer.hosts, [&](const auto& host) { return host.name == m_shared.identity.name; });
    return answer;
}

std::optional<std::string> EntryPath::otherHost(
    std::string_view account, std::string_view service, const entry::Caller& caller, base::TimePoint now)
{
    auto answer = rank(account, service, caller, now);
    auto it = std::ranges::find_if(answer.hosts, [&](const auto& host) { return host.name != m_shared.identity.name; });
    if (it == answer.hosts.end())
        return std::nullopt;
    return it->callerAddress;
}

bool EntryPath::beginStop(base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    if (m_stage != Lifecycle::Serving)
        return false;
    m_stage = Lifecycle::Withdrawing;
    m_stageBegan = now;
    return true;
}

Lifecycle EntryPath::stage() const
{
    std::scoped_lock lock(m_mutex);
    return m_stage;
}

std::optional<Lifecycle> EntryPath::nextStage(size_t openRequests, bool isHandedOver, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    auto advance = [&](Lifecycle next) {
        m_stage = next;
        m_stageBegan = now;
        return next;
    };
    auto elapsed = now - m_stageBegan;
    if (m_stage == Lifecycle::Withdrawing && elapsed >= m_settings.timeToLive + m_stop.announcement)
        return advance(Lifecycle::Draining);
    if (m_stage == Lifecycle::Draining && (openRequests == 0 || elapsed >= m_stop.drain))
        return advance(Lifecycle::HandingOver);
    // Stale callers may still ask for outcomes; they get their replies before the process ends.
    bool isQuiet = openRequests == 0 || elapsed >= m_stop.lastReplies;
    if (m_stage == Lifecycle::HandingOver && isHandedOver && isQuiet)
        return advance(Lifecycle::Stopped);
    return std::nullopt;
}

std::vector<std::string> servingSet(const SharedState& shared, std::string_view service)
{
    std::vector<std::string> names;
    std::ranges::transform(
        servingHosts(shared, service), std::back_inserter(names), &membership::HostObservation::name);
    return names;
}

}
