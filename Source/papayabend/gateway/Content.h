#pragma once

#include "papayabend/base/LastReason.h"
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
 * The configuration in force is never replaced by an older version. Not safe for use by several threads.
 */
class Content {
public:
    explicit Content(const PlatformAdapter& adapter)
        : m_adapter(adapter)
    {
    }

    /** Stores the items that are newer than the stored ones. revision() does not change before setComplete() or
     * retain(). */
    ContentChange apply(std::span<const StoreItem>, base::TimePoint now);
    /** Records that all changes up to \a revision have been applied. */
    void setComplete(uint64_t revision) { m_revision = std::max(m_revision, revision); }
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
    /** Revision up to which all changes have been applied. */
    uint64_t revision() const { return m_revision; }

    /** Most removed items whose revisions are kept, so that other hosts receive the removals. */
    static constexpr size_t maxRemoved = 2048;

    /** Earlier values of the configuration that are kept, so that other hosts need to receive only the changed rows. */
    static constexpr size_t maxEarlierConfigurations = 3;

    /** Encodes the items that changed after revision \a after as CBOR for another host. Encodes all items if removals
     * since then have been discarded. If the value of the configuration as of \a after is kept, encodes only the rows
     * that differ from it. */
    std::string encode(uint64_t after) const;
    /** Revision after which to request changes from another host; 0 requests all items. */
    uint64_t pullRevision() const { return m_hasList && !m_lacksBaseValue ? m_revision : 0; }
    /** Applies the result of encode() of another host. Fails if this host lacks changes before them, or the value that
     * changed rows are based on. */
    std::optional<ContentChange> applyEncoded(std::string_view bytes, base::TimePoint now, base::LastReason& reason);

private:
    struct EarlierValue {
        uint64_t revision;
        std::string value;
    };

    void storeEarlierValue(const StoreItem&);
    /** The newest earlier configuration as of revision \a after, or nullptr. */
    const EarlierValue* earlierValueAsOf(uint64_t after) const;
    /** Applies changed rows to the stored configuration and returns the full value. Fails if the stored value is not
     * the one of revision \a base, or if the result does not have \a hash. */
    std::optional<std::string> applyChangedRows(
        uint64_t base, uint64_t hash, std::string_view delta, base::LastReason&) const;
    void applyConfiguration(const StoreItem&, base::TimePoint now, ContentChange&);
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
    uint64_t m_revision { 0 };
    uint64_t m_discardedRevision { 0 }; /**< Revision of the newest removal that is no longer kept. */
    bool m_hasList { false };
    /** The last changed rows from another host were based on another value than the stored one. */
    bool m_lacksBaseValue { false };
};

}
