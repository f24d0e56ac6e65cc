#include "papayabend/gateway/Content.h"

#include "papayabend/base/CborDepth.h"
#include "papayabend/base/Hash.h"
#include "papayabend/dissemination/RowDelta.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

namespace papayabend::gateway {

using nlohmann::json;

ContentChange Content::apply(std::span<const StoreItem> items, base::TimePoint now)
{
    ContentChange change;
    for (const auto& item : items) {
        if (item.key == m_adapter.configurationKey) {
            applyConfiguration(item, now, change);
            continue;
        }
        auto it = m_items.find(item.key);
        if (it != m_items.end() && item.revision <= it->second.revision)
            continue;
        m_items.insert_or_assign(item.key, item);
        if (item.key.starts_with(m_adapter.upstreamPrefix))
            applyUpstream(item, now, change);
        else if (isEvacuationKey(item.key))
            applyEvacuation(item, now, change);
    }
    return change;
}

void Content::applyConfiguration(const StoreItem& item, base::TimePoint now, ContentChange& change)
{
    auto it = m_items.find(item.key);
    auto isStored = it != m_items.end();
    auto isNewer = !isStored || item.revision > it->second.revision;
    auto setRevision = [&] {
        if (!isStored || !isNewer)
            return;
        // Hosts that have the same value then receive no row of it.
        storeEarlierValue(it->second);
        it->second.revision = item.revision;
    };
    if (item.isRemoved) {
        if (isNewer)
            change.problems.push_back(item.key + ": key was removed; the present configuration stays in force");
        return setRevision();
    }
    if (isStored && item.value == it->second.value)
        return setRevision();
    base::LastReason reason;
    auto parsed = m_adapter.parseConfiguration(item.value, reason);
    auto next = parsed ? routes::indexed(std::move(*parsed), reason) : nullptr;
    if (!next) {
        if (isNewer)
            change.problems.push_back(item.key + ": " + reason.text);
        return setRevision();
    }
    if (m_configuration && next->version <= m_configuration->version)
        return setRevision();
    if (isStored)
        storeEarlierValue(it->second);
    auto revision = isStored ? std::max(it->second.revision, item.revision) : item.revision;
    m_items.insert_or_assign(item.key, StoreItem { item.key, item.value, revision });
    m_configuration = next;
    m_configurationSince = now;
    change.isNewConfiguration = true;
}

void Content::applyUpstream(const StoreItem& item, base::TimePoint now, ContentChange& change)
{
    auto id = std::string_view(item.key).substr(m_adapter.upstreamPrefix.size());
    base::LastReason reason;
    std::optional<discovery::UpstreamRecord> record;
    if (!item.isRemoved)
        record = m_adapter.parseUpstream(id, item.value, reason);
    if (!item.isRemoved && !record)
        change.problems.push_back(item.key + ": " + reason.text);
    if (m_upstreams.apply(id, item.revision, record, now))
        change.upstreams.emplace_back(id);
}

void Content::applyEvacuation(const StoreItem& item, base::TimePoint now, ContentChange& change)
{
    auto failureDomain = std::string_view(item.key).substr(m_adapter.evacuationPrefix.size());
    if (item.isRemoved)
        return endEvacuation(failureDomain, now);
    base::LastReason reason;
    if (!m_adapter.parseEvacuation(item.value, reason)) {
        change.problems.push_back(item.key + ": " + reason.text + "; the previous state stays in force");
        return;
    }
    if (auto it = m_awaitedEvacuations.find(failureDomain); it != m_awaitedEvacuations.end())
        m_awaitedEvacuations.erase(it);
    if (m_evacuations.begin(failureDomain))
        m_changedEvacuations.emplace_back(failureDomain);
}

void Content::endEvacuation(std::string_view failureDomain, base::TimePoint now)
{
    if (auto it = m_awaitedEvacuations.find(failureDomain); it != m_awaitedEvacuations.end())
        m_awaitedEvacuations.erase(it);
    if (m_evacuations.end(failureDomain, now))
        m_changedEvacuations.emplace_back(failureDomain);
}

void Content::beginEra(uint64_t era)
{
    m_position = { era, 0 };
    auto configuration = m_items.extract(m_adapter.configurationKey);
    m_items.clear();
    if (configuration) {
        configuration.mapped().revision = 0;
        m_items.insert(std::move(configuration));
    }
    m_earlierConfigurations.clear();
    m_discardedRevision = 0;
    m_lacksBaseValue = false;
    m_upstreams.beginEra();
}

void Content::awaitEvacuations(const std::set<std::string>& keys, base::TimePoint now)
{
    for (const auto& failureDomain : m_evacuations.failureDomains()) {
        if (!keys.contains(m_adapter.evacuationPrefix + failureDomain))
            m_awaitedEvacuations.try_emplace(failureDomain, now);
    }
}

ContentChange Content::applyList(const StoreList& list, base::TimePoint now)
{
    if (list.position.era < m_position.era) {
        ContentChange change;
        auto it = std::ranges::find(list.items, m_adapter.configurationKey, &StoreItem::key);
        if (it != list.items.end() && !it->isRemoved)
            applyConfiguration({ it->key, it->value, 0 }, now, change);
        return change;
    }
    auto isNewEra = list.position.era > m_position.era;
    if (isNewEra)
        beginEra(list.position.era);
    auto change = apply(list.items, now);
    std::set<std::string> keys;
    for (const auto& item : list.items) {
        if (!item.isRemoved)
            keys.insert(item.key);
    }
    if (isNewEra)
        awaitEvacuations(keys, now);
    retain(keys, list.position.revision, now);
    return change;
}

bool Content::retain(const std::set<std::string>& keys, uint64_t asOf, base::TimePoint now)
{
    m_hasList = true;
    setComplete(asOf);
    // Marks the items that the list does not contain as removed, so that this host does not send them to other hosts.
    for (auto& [key, item] : m_items) {
        if (key == m_adapter.configurationKey) {
            // It stays in force without being stored, so other hosts are to receive it.
            item.revision = item.revision == 0 ? asOf : item.revision;
            continue;
        }
        if (!item.isRemoved && item.revision <= asOf && !keys.contains(key)) {
            if (isEvacuationKey(key))
                endEvacuation(std::string_view(key).substr(m_adapter.evacuationPrefix.size()), now);
            item.isRemoved = true;
            item.revision = asOf;
            item.value.clear();
        }
    }
    std::set<std::string> ids;
    for (const auto& key : keys) {
        if (key.starts_with(m_adapter.upstreamPrefix))
            ids.insert(key.substr(m_adapter.upstreamPrefix.size()));
    }
    return m_upstreams.retain(ids, asOf, now);
}

bool Content::expire(base::TimePoint now)
{
    discardRemovedItems();
    auto isOver = [now](const auto& it) { return now - it.second > awaitedTime; };
    for (auto it = std::ranges::find_if(m_awaitedEvacuations, isOver); it != m_awaitedEvacuations.end();
         it = std::ranges::find_if(m_awaitedEvacuations, isOver))
        endEvacuation(std::string(it->first), now);
    m_evacuations.expire(now);
    return m_upstreams.expire(now);
}

void Content::discardRemovedItems()
{
    std::vector<uint64_t> removed;
    for (const auto& [key, item] : m_items) {
        if (item.isRemoved)
            removed.push_back(item.revision);
    }
    if (removed.size() <= maxRemoved)
        return;
    // Discards half of them at once, so that this runs seldom.
    std::ranges::nth_element(removed, removed.begin() + maxRemoved / 2);
    m_discardedRevision = removed[maxRemoved / 2];
    std::erase_if(
        m_items, [this](const auto& it) { return it.second.isRemoved && it.second.revision <= m_discardedRevision; });
}

void Content::storeEarlierValue(const StoreItem& item)
{
    // Revision 0: the value is of an earlier era, as of which nothing is sent.
    if (item.isRemoved || item.revision == 0)
        return;
    m_earlierConfigurations.push_back({ item.revision, item.value });
    if (m_earlierConfigurations.size() > maxEarlierConfigurations)
        m_earlierConfigurations.pop_front();
}

const Content::EarlierValue* Content::earlierValueAsOf(uint64_t after) const
{
    auto it = std::ranges::find_if(m_earlierConfigurations.rbegin(), m_earlierConfigurations.rend(),
        [after](const auto& earlier) { return earlier.revision <= after; });
    return it == m_earlierConfigurations.rend() ? nullptr : &*it;
}

std::optional<std::string> Content::applyChangedRows(
    uint64_t base, uint64_t hash, std::string_view delta, base::LastReason& reason) const
{
    auto it = m_items.find(m_adapter.configurationKey);
    if (it == m_items.end() || it->second.revision != base)
        return base::fail(
            reason, "changed rows are based on revision " + std::to_string(base) + ", which is not the stored one");
    auto whole = dissemination::applyRowDelta(it->second.value, delta, reason);
    if (whole && base::hash(*whole) != hash)
        return base::fail(
            reason, "hash of the configuration differs from the sender's after the changed rows were applied");
    return whole;
}

std::string Content::encode(base::StorePosition from) const
{
    auto after = from.era != m_position.era || from.revision < m_discardedRevision ? 0 : from.revision;
    auto items = json::array();
    for (const auto& [key, item] : m_items) {
        if (item.revision <= after)
            continue;
        const auto* base = key == m_adapter.configurationKey && !item.isRemoved ? earlierValueAsOf(after) : nullptr;
        if (base)
            items.push_back(json::array({ key, dissemination::rowDelta(base->value, item.value), item.revision, false,
                base->revision, base::hash(item.value) }));
        else
            items.push_back(json::array({ key, item.value, item.revision, item.isRemoved }));
    }
    std::string bytes;
    json::to_cbor(json::array({ after, m_position.revision, items, m_position.era }), bytes);
    return bytes;
}

std::optional<ContentChange> Content::applyEncoded(
    std::string_view bytes, base::TimePoint now, base::LastReason& reason)
{
    constexpr size_t maxDepth = 3;
    if (!base::isCborOfDepth({ reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size() }, maxDepth))
        return base::fail(reason, "not a content message: not CBOR, or nested too deeply");
    try {
        auto message = json::from_cbor(bytes);
        auto after = message.at(0).get<uint64_t>();
        auto revision = message.at(1).get<uint64_t>();
        constexpr size_t eraIndex = 3;
        // Hosts of previous versions do not send the era.
        auto era = message.size() > eraIndex ? message.at(eraIndex).get<uint64_t>() : 0;
        if (after > 0 && (era != m_position.era || after > m_position.revision || !m_hasList))
            return base::fail(reason,
                "changes after revision " + std::to_string(after) + " of era " + std::to_string(era)
                    + " cannot be applied to revision " + std::to_string(m_position.revision) + " of era "
                    + std::to_string(m_position.era));
        std::vector<StoreItem> items;
        constexpr size_t changedRowsFieldCount = 6;
        for (const auto& item : message.at(2)) {
            auto value = item.at(1).get<std::string>();
            if (item.size() == changedRowsFieldCount) {
                auto stored = m_items.find(item.at(0).get<std::string>());
                if (stored != m_items.end() && stored->second.revision >= item.at(2).get<uint64_t>())
                    continue;
                auto whole = applyChangedRows(item.at(4).get<uint64_t>(), item.at(5).get<uint64_t>(), value, reason);
                m_lacksBaseValue = !whole;
                if (!whole)
                    return std::nullopt;
                value = std::move(*whole);
            }
            items.push_back({ item.at(0).get<std::string>(), std::move(value), item.at(2).get<uint64_t>(),
                item.at(3).get<bool>() });
        }
        if (after == 0) {
            m_lacksBaseValue = false;
            return applyList({ { era, revision }, std::move(items) }, now);
        }
        auto change = apply(items, now);
        setComplete(revision);
        return change;
    } catch (const json::exception& error) {
        return base::fail(reason, std::string("not a content message: ") + error.what());
    }
}

}
