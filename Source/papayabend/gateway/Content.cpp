#include "papayabend/gateway/Content.h"

#include "papayabend/base/CborDepth.h"
#include "papayabend/base/Hash.h"
#include "papayabend/dissemination/RowDelta.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>

namespace papayabend::gateway {

using nlohmann::json;

ContentChange Content::apply(std::span<const StoreItem> items, base::TimePoint now)
{
    ContentChange change;
    for (const auto& item : items) {
        auto it = m_items.find(item.key);
        if (it != m_items.end() && item.revision <= it->second.revision)
            continue;
        if (it != m_items.end() && item.key == m_adapter.configurationKey)
            storeEarlierValue(it->second);
        m_items.insert_or_assign(item.key, item);
        if (item.key == m_adapter.configurationKey)
            applyConfiguration(item, now, change);
        else if (item.key.starts_with(m_adapter.upstreamPrefix))
            applyUpstream(item, now, change);
        else if (!m_adapter.evacuationPrefix.empty() && item.key.starts_with(m_adapter.evacuationPrefix))
            applyEvacuation(item, now, change);
    }
    return change;
}

void Content::applyConfiguration(const StoreItem& item, base::TimePoint now, ContentChange& change)
{
    if (item.isRemoved) {
        change.problems.push_back(item.key + ": key was removed; the present configuration stays in force");
        return;
    }
    base::LastReason reason;
    auto parsed = m_adapter.parseConfiguration(item.value, reason);
    auto next = parsed ? routes::indexed(std::move(*parsed), reason) : nullptr;
    if (!next) {
        change.problems.push_back(item.key + ": " + reason.text);
        return;
    }
    if (m_configuration && next->version <= m_configuration->version)
        return;
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
    if (m_evacuations.begin(failureDomain))
        m_changedEvacuations.emplace_back(failureDomain);
}

void Content::endEvacuation(std::string_view failureDomain, base::TimePoint now)
{
    if (m_evacuations.end(failureDomain, now))
        m_changedEvacuations.emplace_back(failureDomain);
}

bool Content::retain(const std::set<std::string>& keys, uint64_t asOf, base::TimePoint now)
{
    m_hasList = true;
    setComplete(asOf);
    // Marks the items that the list does not contain as removed, so that this host does not send them to other hosts.
    for (auto& [key, item] : m_items) {
        if (!item.isRemoved && item.revision <= asOf && !keys.contains(key)) {
            if (!m_adapter.evacuationPrefix.empty() && key.starts_with(m_adapter.evacuationPrefix))
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
    if (item.isRemoved)
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

std::string Content::encode(uint64_t after) const
{
    if (after < m_discardedRevision)
        after = 0;
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
    json::to_cbor(json::array({ after, m_revision, items }), bytes);
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
        if (after > m_revision || (!m_hasList && after > 0))
            return base::fail(reason,
                "changes after revision " + std::to_string(after) + " cannot be applied to revision "
                    + std::to_string(m_revision));
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
        if (after == 0)
            m_lacksBaseValue = false;
        auto change = apply(items, now);
        if (after == 0) {
            std::set<std::string> keys;
            for (const auto& item : items) {
                if (!item.isRemoved)
                    keys.insert(item.key);
            }
            retain(keys, revision, now);
        }
        setComplete(revision);
        return change;
    } catch (const json::exception& error) {
        return base::fail(reason, std::string("not a content message: ") + error.what());
    }
}

}
