#include "papayabend/gateway/Content.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayabend::gateway {

using nlohmann::json;

ContentChange Content::apply(std::span<const StoreItem> items, base::TimePoint now)
{
    ContentChange change;
    for (const auto& item : items) {
        auto it = m_items.find(item.key);
        if (it != m_items.end() && item.revision <= it->second.revision)
            continue;
        m_items.insert_or_assign(item.key, item);
        if (item.key == m_dialect.configurationKey)
            applyConfiguration(item, now, change);
        else if (item.key.starts_with(m_dialect.upstreamPrefix))
            applyUpstream(item, now, change);
    }
    return change;
}

void Content::applyConfiguration(const StoreItem& item, base::TimePoint now, ContentChange& change)
{
    if (item.isRemoved) {
        change.problems.push_back(item.key + ": removed; the configuration stays in force");
        return;
    }
    base::LastReason reason;
    auto parsed = m_dialect.parseConfiguration(item.value, reason);
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
    auto id = std::string_view(item.key).substr(m_dialect.upstreamPrefix.size());
    base::LastReason reason;
    std::optional<discovery::UpstreamRecord> record;
    if (!item.isRemoved)
        record = m_dialect.parseUpstream(id, item.value, reason);
    if (!item.isRemoved && !record)
        change.problems.push_back(item.key + ": " + reason.text);
    if (m_upstreams.apply(id, item.revision, record, now))
        change.upstreams.emplace_back(id);
}

bool Content::retain(const std::set<std::string>& keys, uint64_t asOf, base::TimePoint now)
{
    m_hasList = true;
    setComplete(asOf);
    // Other hosts must not take what this list no longer has from this host.
    for (auto& [key, item] : m_items) {
        if (!item.isRemoved && item.revision <= asOf && !keys.contains(key)) {
            item.isRemoved = true;
            item.revision = asOf;
            item.value.clear();
        }
    }
    std::set<std::string> ids;
    for (const auto& key : keys) {
        if (key.starts_with(m_dialect.upstreamPrefix))
            ids.insert(key.substr(m_dialect.upstreamPrefix.size()));
    }
    return m_upstreams.retain(ids, asOf, now);
}

bool Content::expire(base::TimePoint now)
{
    forgetRemoved();
    return m_upstreams.expire(now);
}

void Content::forgetRemoved()
{
    std::vector<uint64_t> removed;
    for (const auto& [key, item] : m_items) {
        if (item.isRemoved)
            removed.push_back(item.revision);
    }
    if (removed.size() <= maxRemoved)
        return;
    // Half of them, so that this is seldom.
    std::ranges::nth_element(removed, removed.begin() + maxRemoved / 2);
    m_forgottenRevision = removed[maxRemoved / 2];
    std::erase_if(
        m_items, [this](const auto& it) { return it.second.isRemoved && it.second.revision <= m_forgottenRevision; });
}

std::string Content::encode(uint64_t after) const
{
    if (after < m_forgottenRevision)
        after = 0;
    auto items = json::array();
    for (const auto& [key, item] : m_items) {
        if (item.revision > after)
            items.push_back(json::array({ key, item.value, item.revision, item.isRemoved }));
    }
    std::string bytes;
    json::to_cbor(json::array({ after, m_revision, items }), bytes);
    return bytes;
}

std::optional<ContentChange> Content::applyEncoded(
    std::string_view bytes, base::TimePoint now, base::LastReason& reason)
{
    try {
        auto message = json::from_cbor(bytes);
        auto after = message.at(0).get<uint64_t>();
        auto revision = message.at(1).get<uint64_t>();
        if (after > m_revision || (!m_hasList && after > 0))
            return base::fail(reason,
                "changes after revision " + std::to_string(after) + " do not follow on revision "
                    + std::to_string(m_revision));
        std::vector<StoreItem> items;
        for (const auto& item : message.at(2))
            items.push_back({ item.at(0).get<std::string>(), item.at(1).get<std::string>(), item.at(2).get<uint64_t>(),
                item.at(3).get<bool>() });
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
