#include "papayabend/dispatch/CrashSuspects.h"

#include "papayabend/base/Hash.h"

#include <algorithm>

namespace papayabend::dispatch {

uint64_t CrashSuspects::fingerprintOf(
    std::string_view method, std::string_view host, std::string_view target, std::string_view body)
{
    return base::hash(body, base::hash(target, base::hash(host, base::hash(method))));
}

void CrashSuspects::addCrash(uint64_t fingerprint, base::TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto& it) { return now - it.second.lastAt > validity; });
    if (m_suspects.size() >= maxRemembered && !m_suspects.contains(fingerprint))
        return;
    auto& suspect = m_suspects[fingerprint];
    ++suspect.crashes;
    suspect.lastAt = now;
}

void CrashSuspects::clear(uint64_t fingerprint) { m_suspects.erase(fingerprint); }

void CrashSuspects::merge(std::span<const CrashNotice> notices, base::TimePoint now)
{
    for (const auto& notice : notices) {
        auto known = m_suspects.contains(notice.fingerprint);
        if (!known && m_suspects.size() >= maxRemembered)
            continue;
        auto& suspect = m_suspects[notice.fingerprint];
        if (notice.crashes > suspect.crashes)
            suspect = { notice.crashes, now };
    }
}

uint32_t CrashSuspects::crashes(uint64_t fingerprint, base::TimePoint now) const
{
    auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() || now - it->second.lastAt > validity ? 0 : it->second.crashes;
}

std::vector<CrashNotice> CrashSuspects::notices(base::TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto& [fingerprint, suspect] : m_suspects) {
        if (suspect.crashes >= 2 && now - suspect.lastAt <= validity)
            notices.push_back({ fingerprint, suspect.crashes });
    }
    return notices;
}

}
