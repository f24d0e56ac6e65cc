#include "papayabend/discovery/UpstreamDirectory.h"

#include <algorithm>
#include <utility>

namespace papayabend::discovery {

namespace {

    bool isSameState(const UpstreamRecord& a, const UpstreamRecord& b)
    {
        return a.service == b.service && a.address == b.address && a.isDraining == b.isDraining
            && a.startedAt == b.startedAt && a.concurrency == b.concurrency && a.failureDomain == b.failureDomain;
    }

}

bool isOlder(const UpstreamRecord& next, const UpstreamRecord& known)
{
    if (!next.startedAt || !known.startedAt)
        return false;
    if (*next.startedAt != *known.startedAt)
        return *next.startedAt < *known.startedAt;
    return next.sequence < known.sequence;
}

bool isNotNewer(const UpstreamRecord& next, const UpstreamRecord& known)
{
    auto isKnown = next.startedAt && next.startedAt == known.startedAt && next.sequence == known.sequence;
    return isKnown || isOlder(next, known);
}

bool UpstreamDirectory::apply(
    std::string_view id, uint64_t revision, const std::optional<UpstreamRecord>& record, base::TimePoint now)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end() && revision <= it->second.revision)
        return false;
    if (!record)
        return remove(id, revision, now);
    if (it == m_entries.end()) {
        m_entries.emplace(id, UpstreamEntry { *record, revision, Presence::Listed, now, now });
        m_byService[record->service].insert(std::string(id));
        return true;
    }
    auto& entry = it->second;
    entry.revision = revision;
    entry.awaitedSince.reset();
    entry.doubtedRecord.reset();
    // The copy that a store returns from may list an upstream that has left since.
    if (std::exchange(entry.isFromEarlierEra, false) && isNotNewer(*record, entry.record)) {
        if (entry.presence != Presence::Listed) {
            entry.doubtedRecord = record;
            entry.doubtedSince = now;
        }
        return false;
    }
    // A delayed write of the same start must not bring back an upstream that has left. An earlier start is taken after
    // the removal: the clock of the upstream's host may have been set back before it started again.
    auto isSameStart = record->startedAt == entry.record.startedAt;
    if (isOlder(*record, entry.record) && (entry.presence == Presence::Listed || isSameStart))
        return false;
    return setRecord(entry, *record, now);
}

bool UpstreamDirectory::setRecord(UpstreamEntry& entry, const UpstreamRecord& record, base::TimePoint now)
{
    if (entry.record.service != record.service) {
        m_byService[entry.record.service].erase(entry.record.id);
        m_byService[record.service].insert(record.id);
    }
    auto hasChanged = entry.presence != Presence::Listed || !isSameState(record, entry.record);
    entry.record = record;
    entry.presence = Presence::Listed;
    entry.reportedAt = now;
    if (hasChanged)
        entry.changedAt = now;
    return hasChanged;
}

bool UpstreamDirectory::remove(std::string_view id, uint64_t revision, base::TimePoint now)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end() || revision <= it->second.revision)
        return false;
    it->second.revision = revision;
    it->second.isFromEarlierEra = false;
    it->second.awaitedSince.reset();
    it->second.doubtedRecord.reset();
    if (it->second.presence != Presence::Listed)
        return false;
    it->second.presence = Presence::Missing;
    it->second.changedAt = now;
    return true;
}

void UpstreamDirectory::beginEra()
{
    for (auto& [id, entry] : m_entries) {
        entry.revision = 0;
        entry.isFromEarlierEra = true;
        entry.awaitedSince.reset();
        entry.doubtedRecord.reset();
    }
}

bool UpstreamDirectory::retain(const std::set<std::string>& listed, uint64_t revision, base::TimePoint now)
{
    bool hasChanged = false;
    for (auto& [id, entry] : m_entries) {
        if (listed.contains(id) || entry.revision > revision)
            continue;
        entry.doubtedRecord.reset();
        if (entry.presence != Presence::Listed)
            continue;
        if (entry.isFromEarlierEra) {
            entry.awaitedSince = entry.awaitedSince.value_or(now);
        } else {
            entry.presence = Presence::Missing;
            entry.changedAt = now;
            hasChanged = true;
        }
    }
    return hasChanged;
}

bool UpstreamDirectory::expire(base::TimePoint now)
{
    bool hasChanged = false;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        if (entry.awaitedSince && now - *entry.awaitedSince > missingTime) {
            entry.awaitedSince.reset();
            entry.presence = Presence::Gone;
            entry.changedAt = now;
            hasChanged = true;
        }
        if (entry.presence == Presence::Missing && now - entry.changedAt > missingTime) {
            entry.presence = Presence::Gone;
            hasChanged = true;
        }
        if (entry.doubtedRecord && now - entry.doubtedSince > doubtTime) {
            auto record = *std::exchange(entry.doubtedRecord, std::nullopt);
            hasChanged = setRecord(entry, record, now) || hasChanged;
        }
        if (entry.presence == Presence::Gone && now - entry.changedAt > removedTime) {
            m_byService[entry.record.service].erase(it->first);
            it = m_entries.erase(it);
            continue;
        }
        ++it;
    }
    return hasChanged;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::of(std::string_view service) const
{
    std::vector<const UpstreamEntry*> result;
    auto it = m_byService.find(service);
    if (it == m_byService.end())
        return result;
    std::ranges::transform(
        it->second, std::back_inserter(result), [this](const auto& id) { return &m_entries.find(id)->second; });
    return result;
}

const UpstreamEntry* UpstreamDirectory::find(std::string_view id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

}
