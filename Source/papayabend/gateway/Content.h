#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/gateway/PlatformAdapter.h"
#include "papayabend/routes/Configuration.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace papayabend::gateway {

/** \struct ContentChange
 * \brief What an item changed, for the log.
 */
struct ContentChange {
    bool isNewConfiguration { false };
    std::vector<std::string> upstreams; /**< Ids whose state changed. */
    std::vector<std::string> problems; /**< Items that cannot be used, with the reason. */
};

/** \class Content
 * \brief What the configuration store holds, as this host knows it from the store or from other hosts.
 *
 * The configuration in force never goes back to an older version. Not safe for use by several threads.
 */
class Content {
public:
    explicit Content(const PlatformAdapter& adapter)
        : m_adapter(adapter)
    {
    }

    /** Takes items of a page; they do not count as complete before setComplete() or retain(). */
    ContentChange apply(std::span<const StoreItem>, base::TimePoint now);
    /** Notes that all changes up to \a revision have been taken. */
    void setComplete(uint64_t revision) { m_revision = std::max(m_revision, revision); }
    /** Marks upstreams as missing that a full list did not contain. Returns whether any changed. */
    bool retain(const std::set<std::string>& keys, uint64_t asOf, base::TimePoint now);
    bool expire(base::TimePoint now);

    /** The configuration in force; nullptr before the first one. */
    const std::shared_ptr<const routes::Configuration>& configuration() const { return m_configuration; }
    base::TimePoint configurationSince() const { return m_configurationSince; }
    const discovery::UpstreamDirectory& upstreams() const { return m_upstreams; }
    bool hasList() const { return m_hasList; }
    /** Revision up to which all changes have been taken. */
    uint64_t revision() const { return m_revision; }

    /** Removed items whose revisions are kept for other hosts. */
    static constexpr size_t maxRemoved = 2048;

    /** Earlier values of the configuration that are kept to tell other hosts only what changed. */
    static constexpr size_t maxEarlier = 3;

    /** The items that changed after revision \a after, as CBOR, for another host; all items if removals since then have
     * been forgotten. Of a configuration that \a after knows the value before, only the changed rows. */
    std::string encode(uint64_t after) const;
    /** Revision whose successors this host asks others for; 0: all items. */
    uint64_t pullRevision() const { return m_hasList && !m_lacksBase ? m_revision : 0; }
    /** Takes the result of encode() of another host. Items are refused if this host lacks what came before them. */
    std::optional<ContentChange> applyEncoded(std::string_view bytes, base::TimePoint now, base::LastReason& reason);

private:
    struct EarlierValue {
        uint64_t revision;
        std::string value;
    };

    void keepEarlier(const StoreItem&);
    /** The newest earlier configuration as of revision \a after, or nullptr. */
    const EarlierValue* earlierAsOf(uint64_t after) const;
    /** The value that changed rows of another host give; nothing if this host has another value than they start from.
     */
    std::optional<std::string> withChangedRows(
        uint64_t base, uint64_t hash, std::string_view delta, base::LastReason&) const;
    void applyConfiguration(const StoreItem&, base::TimePoint now, ContentChange&);
    void forgetRemoved();
    void applyUpstream(const StoreItem&, base::TimePoint now, ContentChange&);

    const PlatformAdapter& m_adapter;
    std::shared_ptr<const routes::Configuration> m_configuration;
    base::TimePoint m_configurationSince {};
    discovery::UpstreamDirectory m_upstreams;
    std::map<std::string, StoreItem, std::less<>> m_items;
    std::deque<EarlierValue> m_earlier; /**< Of the configuration, oldest first. */
    uint64_t m_revision { 0 };
    uint64_t m_forgottenRevision { 0 }; /**< Newest removal that is no longer kept. */
    bool m_hasList { false };
    bool m_lacksBase { false }; /**< Changed rows of another host did not fit the value of this one. */
};

}
