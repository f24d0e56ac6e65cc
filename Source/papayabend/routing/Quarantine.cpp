#include "papayabend/routing/Quarantine.h"

#include "papayabend/base/Hash.h"

#include <algorithm>

namespace papayabend::routing {

namespace {

    // Suspects of a higher rank start at the same time: to wait longer would exceed the deadlines of most searches.
    constexpr int64_t maxRank = 4;

    // 2^64 divided by the golden ratio; spreads consecutive snapshot ids.
    constexpr uint64_t snapshotMultiplier = 0x9e3779b97f4a7c15ULL;

    uint64_t successKey(uint64_t fingerprint, uint64_t snapshot)
    {
        return fingerprint ^ (snapshot * snapshotMultiplier);
    }

    uint32_t crashCount(const auto& suspect)
    {
        return std::max(suspect.reportedCrashes, static_cast<uint32_t>(suspect.crashes.size()));
    }

    /** \a since: losses of the same upstream before this time are earlier ones. */
    bool addCrash(std::vector<Crash>& crashes, const Crash& crash, base::TimePoint since)
    {
        auto isSame = [&](const Crash& it) { return it.upstream == crash.upstream && it.at >= since; };
        if (std::ranges::any_of(crashes, isSame))
            return false;
        crashes.push_back(crash);
        return true;
    }

}

uint64_t fingerprintOf(std::string_view account, std::string_view service, std::string_view content)
{
    return base::hash(content, base::hash(service, base::hash(account)));
}

void Quarantine::configure(const CrashSettings& settings)
{
    std::scoped_lock lock(m_mutex);
    m_settings = settings;
}

const Quarantine::Suspect* Quarantine::findSuspect(uint64_t fingerprint, base::TimePoint now) const
{
    auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() || now - it->second.lastCrash > m_settings.validity ? nullptr : &it->second;
}

bool Quarantine::isQuarantined(uint64_t fingerprint, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    const auto* suspect = findSuspect(fingerprint, now);
    return suspect && now < suspect->quarantinedUntil;
}

uint32_t Quarantine::crashes(uint64_t fingerprint, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    const auto* suspect = findSuspect(fingerprint, now);
    return suspect ? crashCount(*suspect) : 0;
}

bool Quarantine::needsCanary(uint64_t fingerprint, uint64_t snapshot, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    const auto* suspect = findSuspect(fingerprint, now);
    if (suspect && crashCount(*suspect) > 0)
        return m_settings.canary != CanaryMode::Off;
    if (m_settings.canary == CanaryMode::Off)
        return false;
    if (m_settings.canary == CanaryMode::AfterCrash
        && (m_lastCrash == base::TimePoint {} || now - m_lastCrash > m_settings.recent))
        return false;
    auto key = successKey(fingerprint, snapshot);
    return !m_successes.contains(key) && !m_previousSuccesses.contains(key);
}

void Quarantine::succeeded(uint64_t fingerprint, uint64_t snapshot, uint64_t shard, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    if (m_successes.size() >= m_settings.rememberedRequests / 2 || now - m_generationStart > m_settings.validity / 2) {
        m_previousSuccesses = std::exchange(m_successes, {});
        m_generationStart = now;
    }
    m_successes.insert(successKey(fingerprint, snapshot));
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end() || now < it->second.quarantinedUntil)
        return;
    std::erase_if(it->second.crashes, [&](const Crash& crash) { return crash.shard == shard; });
    if (it->second.crashes.empty())
        m_suspects.erase(it);
}

QuarantineNotice Quarantine::crashed(uint64_t fingerprint, const Crash& crash, bool hasSucceeded, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    removeExpired(now);
    auto& suspect = m_suspects[fingerprint];
    if (addCrash(suspect.crashes, { crash.upstream, crash.shard, now }, now - sameLossTime))
        suspect.lastCrash = now;
    m_lastCrash = now;
    auto isQuarantined = crashCount(suspect) >= m_settings.crashes + (hasSucceeded ? 1 : 0);
    if (isQuarantined)
        suspect.quarantinedUntil = now + m_settings.validity;
    return { fingerprint, crashCount(suspect), isQuarantined, static_cast<uint64_t>(m_settings.validity.count()),
        crash.upstream, crash.shard };
}

bool Quarantine::received(const QuarantineNotice& notice, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    removeExpired(now);
    auto& suspect = m_suspects[notice.fingerprint];
    auto before = crashCount(suspect);
    if (notice.lostUpstream != 0)
        addCrash(suspect.crashes, { notice.lostUpstream, notice.shard, now }, {}); // notices are repeated
    else
        suspect.reportedCrashes = std::max(suspect.reportedCrashes, notice.crashes);
    auto isNewer = crashCount(suspect) > before;
    if (isNewer)
        m_lastCrash = suspect.lastCrash = now;
    if (notice.isQuarantined && now >= suspect.quarantinedUntil) {
        suspect.lastCrash = now;
        suspect.quarantinedUntil = now + base::Duration(static_cast<int64_t>(notice.validityUs));
        isNewer = true;
    }
    // Hosts may each see a different crash at the same time, so that only the sum of them justifies a quarantine. It
    // takes one crash more than a local decision, because a notice does not say whether the request was answered
    // before.
    if (crashCount(suspect) > m_settings.crashes)
        suspect.quarantinedUntil = now + m_settings.validity;
    return isNewer;
}

base::TimePoint Quarantine::soloRunStart(uint64_t fingerprint, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    const auto* suspect = findSuspect(fingerprint, now);
    if (!suspect || suspect->crashes.empty())
        return now;
    auto lost = suspect->crashes.back().upstream;
    auto rank = std::ranges::count_if(m_suspects, [&](const auto& it) {
        const auto& [other, state] = it;
        return other < fingerprint && now >= state.quarantinedUntil
            && std::ranges::find(state.crashes, lost, &Crash::upstream) != state.crashes.end();
    });
    return suspect->lastCrash + m_settings.settle + m_settings.soloRunTime * std::min<int64_t>(rank, maxRank);
}

void Quarantine::removeExpired(base::TimePoint now)
{
    std::erase_if(m_suspects, [&](const auto& it) {
        return now - it.second.lastCrash > m_settings.validity && now >= it.second.quarantinedUntil;
    });
}

}
