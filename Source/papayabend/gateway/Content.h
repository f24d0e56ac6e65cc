#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/StorePosition.h"
#include "papayabend/discovery/Evacuations.h"
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
#include <utility>
#include <vector>

namespace papayabend::gateway {

/** \struct ContentChange
 * \brief What applied items have changed, for the log and the caller.
 */
struct ContentChange {
    bool isNewConfiguration { false };
    std::vector<std::string> upstreams; /**< Ids of upstreams whose state changed. */
    std::vector<std::string> problems; /**< Keys of items that cannot be used, each with the reason. */
};

/** \class Content
 * \brief This host's copy of the configuration store, read from the store or received from other hosts.
 *
 * The configuration in force is never replaced by an older version, whatever the position at which it is stored: a
 * version that was confirmed is written again after the store has lost it. Peers receive the configuration in force.
 * Other items belong to one era of the store's history; those of an earlier era are never applied. Not safe for use by
 * several threads.
 */
class Content {
public:
    explicit Content(const PlatformAdapter& adapter)
        : m_adapter(adapter)
    {
    }

    /** Stores the items, which are of the present era, that are newer than the stored ones. position() does not change
     * before setComplete() or retain(). */
    ContentChange apply(std::span<const StoreItem>, base::TimePoint now);
    /** Records that all changes up to \a revision have been applied. */
    void setComplete(uint64_t revision) { m_position.revision = std::max(m_position.revision, revision); }
    /** Applies a full list. One of a later era begins it; of one of an earlier era, only a newer configuration is
     * taken.
     */
    ContentChange applyList(const StoreList&, base::TimePoint now);
    /** Removes the items that the full list as of revision \a asOf does not contain, and marks their upstreams as
     * missing. Returns whether any upstream changed. */
    bool retain(const std::set<std::string>& keys, uint64_t asOf, base::TimePoint now);
    /** Expires missing upstreams and discards old removed items. Returns whether any upstream changed. */
    bool expire(base::TimePoint now);

    /** The configuration in force; nullptr before the first one. */
    const std::shared_ptr<const routes::Configuration>& configuration() const { return m_configuration; }
    /** When the configuration came into force. */
    base::TimePoint configurationSince() const { return m_configurationSince; }
    const discovery::UpstreamDirectory& upstreams() const { return m_upstreams; }
    const discovery::Evacuations& evacuations() const { return m_evacuations; }
    /** Returns the failure domains whose evacuation has begun or ended since the last call. */
    std::vector<std::string> takeChangedEvacuations() { return std::exchange(m_changedEvacuations, {}); }
    bool hasChangedEvacuations() const { return !m_changedEvacuations.empty(); }
    /** Whether a full list has been applied. */
    bool hasList() const { return m_hasList; }
    /** Position up to which all changes have been applied. */
    base::StorePosition position() const { return m_position; }
    uint64_t revision() const { return m_position.revision; }

    /** Most removed items whose revisions are kept, so that other hosts receive the removals. */
    static constexpr size_t maxRemoved = 2048;

    /** Earlier values of the configuration that are kept, so that other hosts need to receive only the changed rows. */
    static constexpr size_t maxEarlierConfigurations = 3;

    /** Time for which an evacuation stays in force that the store of a later era does not have. */
    static constexpr base::Duration awaitedTime { std::chrono::seconds(5) };

    /** Encodes the items that changed after \a after as CBOR for another host. Encodes all items if \a after is of
     * another era, or if removals since then have been discarded. If the value of the configuration as of \a after is
     * kept, encodes only the rows that differ from it. */
    std::string encode(base::StorePosition after) const;
    /** Position after which to request changes from another host; revision 0 requests all items. */
    base::StorePosition pullPosition() const
    {
        return m_hasList && !m_lacksBaseValue ? m_position : base::StorePosition { m_position.era, 0 };
    }
    /** Applies the result of encode() of another host. Fails if this host lacks changes before them, or the value that
     * changed rows are based on, or if they are of an earlier era and this host has a later one. */
    std::optional<ContentChange> applyEncoded(std::string_view bytes, base::TimePoint now, base::LastReason& reason);

private:
    struct EarlierValue {
        uint64_t revision;
        std::string value;
    };

    /** The items that are stored so far are of an earlier era. */
    void beginEra(uint64_t era);
    void storeEarlierValue(const StoreItem&);
    /** The newest earlier configuration as of revision \a after, or nullptr. */
    const EarlierValue* earlierValueAsOf(uint64_t after) const;
    /** Applies changed rows to the stored configuration and returns the full value. Fails if the stored value is not
     * the one of revision \a base, or if the result does not have \a hash. */
    std::optional<std::string> applyChangedRows(
        uint64_t base, uint64_t hash, std::string_view delta, base::LastReason&) const;
    /** Puts a newer version into force. The stored item has the value in force and the revision of the newest one. */
    void applyConfiguration(const StoreItem&, base::TimePoint now, ContentChange&);
    /** Awaits the evacuations in force that are not among \a keys, the first ones of an era. */
    void awaitEvacuations(const std::set<std::string>& keys, base::TimePoint now);
    bool isEvacuationKey(std::string_view key) const
    {
        return !m_adapter.evacuationPrefix.empty() && key.starts_with(m_adapter.evacuationPrefix);
    }
    void discardRemovedItems();
    void applyUpstream(const StoreItem&, base::TimePoint now, ContentChange&);
    void applyEvacuation(const StoreItem&, base::TimePoint now, ContentChange&);
    void endEvacuation(std::string_view failureDomain, base::TimePoint now);

    const PlatformAdapter& m_adapter;
    std::shared_ptr<const routes::Configuration> m_configuration;
    base::TimePoint m_configurationSince {};
    discovery::UpstreamDirectory m_upstreams;
    discovery::Evacuations m_evacuations;
    std::vector<std::string> m_changedEvacuations;
    std::map<std::string, StoreItem, std::less<>> m_items;
    std::deque<EarlierValue> m_earlierConfigurations; /**< Oldest first. */
    /** Evacuations in force that were begun in an earlier era, and since when the store has not had them. */
    std::map<std::string, base::TimePoint, std::less<>> m_awaitedEvacuations;
    base::StorePosition m_position;
    uint64_t m_discardedRevision { 0 }; /**< Revision of the newest removal that is no longer kept. */
    bool m_hasList { false };
    /** The last changed rows from another host were based on another value than the stored one. */
    bool m_lacksBaseValue { false };
};

}
