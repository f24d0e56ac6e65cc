#include "papayabend/dispatch/CrashSuspects.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace papayabend::dispatch {

namespace {

    constexpr base::Duration pruneInterval { std::chrono::seconds(1) };

    bool isCounted(const UpstreamLoss& loss) { return loss.state != LossState::Void; }

}

uint64_t CrashSuspects::fingerprintOf(
    std::string_view method, std::string_view host, std::string_view target, std::string_view body)
{
    return base::hash(body, base::hash(target, base::hash(host, base::hash(method))));
}

uint32_t CrashSuspects::serviceKey(std::string_view service) { return static_cast<uint32_t>(base::hash(service)); }

uint32_t CrashSuspects::countLosses(std::span<const UpstreamLoss> losses)
{
    auto total = std::ranges::count(losses, LossState::Counted, &UpstreamLoss::state);
    std::ptrdiff_t mostOfOneService = 0;
    for (const auto& loss : losses) {
        auto isOfService = [&](const auto& it) { return isCounted(it) && it.service == loss.service; };
        mostOfOneService = std::max(mostOfOneService, std::ranges::count_if(losses, isOfService));
    }
    return static_cast<uint32_t>(std::max(total, mostOfOneService));
}

bool CrashSuspects::isOverLimit(const Suspect& suspect)
{
    auto hasVoidLoss = !std::ranges::all_of(suspect.losses, isCounted);
    return suspect.count >= maxLosses + (hasVoidLoss ? 1 : 0);
}

bool CrashSuspects::isExpired(const Suspect& suspect, base::TimePoint now)
{
    return now - suspect.newestLossAt > (isOverLimit(suspect) ? refusedLifetime : refusalTime);
}

const CrashSuspects::Suspect* CrashSuspects::find(uint64_t fingerprint, base::TimePoint now) const
{
    auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() || isExpired(it->second, now) ? nullptr : &it->second;
}

CrashSuspects::Suspect& CrashSuspects::findOrCreate(uint64_t fingerprint, base::TimePoint now)
{
    if (now - m_prunedAt >= pruneInterval) {
        std::erase_if(m_suspects, [now](const auto& it) { return isExpired(it.second, now); });
        m_prunedAt = now;
    }
    auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end() && isExpired(it->second, now))
        it->second = {};
    if (it == m_suspects.end() && m_suspects.size() >= maxSuspects) {
        auto relevance = [](const auto& each) { return std::pair(each.second.count, each.second.changedAt); };
        m_suspects.erase(std::ranges::min_element(m_suspects, {}, relevance));
    }
    return m_suspects[fingerprint];
}

void CrashSuspects::insert(Suspect& suspect, const UpstreamLoss& loss, base::TimePoint now)
{
    auto known = std::ranges::find(suspect.losses, loss.upstream, &UpstreamLoss::upstream);
    if (known != suspect.losses.end()) {
        if (loss.state <= known->state)
            return;
        known->state = loss.state;
        return lossesChanged(suspect, now);
    }
    suspect.newestLossAt = std::max(suspect.newestLossAt, loss.lostAt);
    suspect.losses.push_back(loss);
    // All hosts keep the same losses of many, so that they do not exchange the others without end.
    if (suspect.losses.size() > maxKeptLosses) {
        auto leastRelevant = std::ranges::min_element(
            suspect.losses, {}, [](const auto& it) { return std::pair(isCounted(it), it.upstream); });
        auto isNothingNew = leastRelevant == std::prev(suspect.losses.end());
        suspect.losses.erase(leastRelevant);
        if (isNothingNew)
            return;
    }
    lossesChanged(suspect, now);
}

void CrashSuspects::lossesChanged(Suspect& suspect, base::TimePoint now)
{
    auto before = std::exchange(suspect.count, countLosses(suspect.losses));
    suspect.changedAt = now;
    m_hasNewRefusal = m_hasNewRefusal || (suspect.count > before && isOverLimit(suspect));
}

void CrashSuspects::addLoss(uint64_t fingerprint, uint64_t upstream, std::string_view service, base::TimePoint now)
{
    insert(findOrCreate(fingerprint, now), { upstream, serviceKey(service), LossState::Counted, now }, now);
}

bool CrashSuspects::addAnswer(uint64_t fingerprint, std::string_view service, base::TimePoint now)
{
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return false;
    auto& suspect = it->second;
    auto before = suspect.count;
    auto key = serviceKey(service);
    auto hasChanged = false;
    for (auto& loss : suspect.losses) {
        auto state = std::max(loss.state, loss.service == key ? LossState::Void : LossState::ServiceOnly);
        hasChanged = std::exchange(loss.state, state) != state || hasChanged;
    }
    if (hasChanged)
        lossesChanged(suspect, now);
    return suspect.count < before;
}

void CrashSuspects::voidLoss(uint64_t fingerprint, uint64_t upstream, base::TimePoint now)
{
    auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end())
        return;
    auto loss = std::ranges::find(it->second.losses, upstream, &UpstreamLoss::upstream);
    if (loss == it->second.losses.end() || loss->state == LossState::Void)
        return;
    loss->state = LossState::Void;
    lossesChanged(it->second, now);
}

void CrashSuspects::merge(std::span<const CrashNotice> notices, base::TimePoint now)
{
    for (const auto& notice : notices) {
        auto age = std::clamp(notice.age, base::Duration(0), refusedLifetime);
        if (age < refusedLifetime)
            insert(findOrCreate(notice.fingerprint, now), { notice.upstream, notice.service, notice.state, now - age },
                now);
    }
}

uint32_t CrashSuspects::losses(uint64_t fingerprint, base::TimePoint now) const
{
    const auto* suspect = find(fingerprint, now);
    return suspect ? suspect->count : 0;
}

base::Duration CrashSuspects::refusedFor(uint64_t fingerprint, base::TimePoint now) const
{
    const auto* suspect = find(fingerprint, now);
    if (!suspect || !isOverLimit(*suspect))
        return base::Duration(0);
    return std::max(suspect->newestLossAt + refusalTime - now, base::Duration(0));
}

std::vector<CrashNotice> CrashSuspects::notices(base::Random& random, base::TimePoint now, bool toNewHost) const
{
    using Entry = const Suspects::value_type*;
    std::vector<Entry> fresh;
    std::vector<Entry> old;
    for (const auto& it : m_suspects) {
        if (isExpired(it.second, now))
            continue;
        if (now - it.second.changedAt <= freshTime)
            fresh.push_back(&it);
        else if (isOverLimit(it.second))
            old.push_back(&it);
    }
    auto n = std::min(fresh.size(), maxNoticedRequests);
    std::ranges::partial_sort(fresh, fresh.begin() + static_cast<std::ptrdiff_t>(n), std::greater(),
        [](Entry it) { return std::pair(it->second.count, it->second.changedAt); });
    fresh.resize(n);
    if (toNewHost || base::uniformIndex(random, messagesPerOldNotice) == 0) {
        auto room = std::min(maxOldRequests, maxNoticedRequests - n);
        std::ranges::sample(old, std::back_inserter(fresh), static_cast<std::ptrdiff_t>(room), random);
    }
    std::vector<CrashNotice> notices;
    for (const auto* it : fresh) {
        for (const auto& loss : it->second.losses)
            notices.push_back({ it->first, loss.upstream, loss.service, loss.state, now - loss.lostAt });
    }
    return notices;
}

bool CrashSuspects::takeNewRefusal() { return std::exchange(m_hasNewRefusal, false); }

}
