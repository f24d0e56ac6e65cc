#include "papayabend/discovery/Evacuations.h"

#include <algorithm>
#include <utility>

namespace papayabend::discovery {

bool Evacuations::begin(std::string_view failureDomain)
{
    auto& state = m_domains[std::string(failureDomain)];
    return !std::exchange(state.isEvacuated, true);
}

bool Evacuations::end(std::string_view failureDomain, base::TimePoint now)
{
    auto it = m_domains.find(failureDomain);
    if (it == m_domains.end() || !it->second.isEvacuated)
        return false;
    it->second = { false, now };
    return true;
}

bool Evacuations::isEvacuated(std::string_view failureDomain) const
{
    auto it = m_domains.find(failureDomain);
    return it != m_domains.end() && it->second.isEvacuated;
}

double Evacuations::returnedShare(std::string_view failureDomain, base::TimePoint now) const
{
    auto it = m_domains.find(failureDomain);
    if (it == m_domains.end())
        return 1;
    if (it->second.isEvacuated)
        return 0;
    auto share = std::chrono::duration<double>(now - it->second.endedAt) / std::chrono::duration<double>(returnTime);
    return std::clamp(share, 0.0, 1.0);
}

void Evacuations::expire(base::TimePoint now)
{
    std::erase_if(
        m_domains, [now](const auto& it) { return !it.second.isEvacuated && now - it.second.endedAt >= returnTime; });
}

std::vector<std::string> Evacuations::failureDomains() const
{
    std::vector<std::string> result;
    for (const auto& [name, state] : m_domains) {
        if (state.isEvacuated)
            result.push_back(name);
    }
    return result;
}

}
