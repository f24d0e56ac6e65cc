#pragma once

#include "papayabend/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::discovery {

/** \struct UpstreamRecord
 * \brief State of an upstream as it last reported it.
 */
struct UpstreamRecord {
    std::string id; /**< Identifies the upstream; a later start of it may use the same id. */
    std::string service;
    std::string address; /**< IPv4 address and port. */
    std::string failureDomain;
    uint32_t concurrency { 1 }; /**< Number of requests that it runs at the same time. */
    bool isDraining { false };
    base::Duration warmUpLeft { 0 }; /**< Time for which it will still be slow after its start. */
    uint64_t sequence { 0 }; /**< Increases with each report within one start. */
    std::optional<int64_t> startedAt; /**< Start as Unix time in ms; distinguishes starts under one id. */
};

/** \enum Presence
 * \brief Whether the store lists an upstream.
 */
enum class Presence : uint8_t {
    Listed,
    Missing, /**< Its entry was removed a moment ago; entries that expired in an outage of the store return. */
    Gone, /**< Its entry has not returned within UpstreamDirectory::missingTime. */
};

/** \struct UpstreamEntry
 * \brief An upstream, with the revision of the store at which its entry was last written or removed.
 *
 * A store that returns from an older copy of its data begins a new era. Its revisions say nothing about those of the
 * earlier era; until an upstream writes its entry again, the start and the sequence decide which record is newer.
 */
struct UpstreamEntry {
    UpstreamRecord record;
    uint64_t revision { 0 };
    Presence presence { Presence::Listed };
    base::TimePoint changedAt {}; /**< Newest change of presence or record, warmUpLeft and sequence excepted. */
    base::TimePoint reportedAt {}; /**< Time at which the record arrived. */
    bool isFromEarlierEra { false }; /**< The entry was last written in an earlier era of the store. */
    /** Since when a listed entry is missing from the store of a later era; its upstream is used meanwhile. */
    std::optional<base::TimePoint> awaitedSince;
    /** Record in the store of a later era that is not newer than the one of this upstream, which has left. */
    std::optional<UpstreamRecord> doubtedRecord;
    base::TimePoint doubtedSince {};
};

/** \class UpstreamDirectory
 * \brief The upstreams that this host knows from the store or from other hosts. Not safe for use by several threads.
 */
class UpstreamDirectory {
public:
    /** Time for which a missing entry may return: the two seconds that entries need after an outage, and half a second
     * for their propagation. */
    static constexpr base::Duration missingTime { std::chrono::milliseconds(2500) };
    /** Time for which the revision of a removed entry is kept, so that a late copy from another host does not restore
     * it. */
    static constexpr base::Duration removedTime { std::chrono::seconds(60) };
    /** Time after which a doubted record is taken. The store removes entries that are not written for three intervals,
     * so the upstream of an entry that is still there runs. */
    static constexpr base::Duration doubtTime { std::chrono::seconds(6) };

    /** Applies a written entry; \a record is empty if its value is invalid, which removes the entry. Returns whether
     * the upstream changed; a new remaining warm-up time alone does not count as a change. */
    bool apply(
        std::string_view id, uint64_t revision, const std::optional<UpstreamRecord>& record, base::TimePoint now);

    /** Applies the removal of an entry. Returns whether anything changed. */
    bool remove(std::string_view id, uint64_t revision, base::TimePoint now);

    /** The store has begun a new era. The full list that begins it follows. */
    void beginEra();

    /** Marks as missing all entries that are not in the full list \a listed as of \a revision; those that were written
     * in an earlier era are awaited instead. Returns whether any entry changed. */
    bool retain(const std::set<std::string>& listed, uint64_t revision, base::TimePoint now);

    /** Marks missing and awaited entries as gone after missingTime, drops gone ones after removedTime, and takes
     * doubted records after doubtTime. Returns whether any entry changed. */
    bool expire(base::TimePoint now);

    /** Returns the entries of \a service with any presence; valid until the next change. */
    std::vector<const UpstreamEntry*> of(std::string_view service) const;
    const UpstreamEntry* find(std::string_view id) const;
    const std::map<std::string, UpstreamEntry, std::less<>>& entries() const { return m_entries; }

private:
    /** Replaces the record of an entry, which is listed then. Returns whether the upstream changed. */
    bool setRecord(UpstreamEntry&, const UpstreamRecord&, base::TimePoint now);

    std::map<std::string, UpstreamEntry, std::less<>> m_entries;
    std::map<std::string, std::set<std::string>, std::less<>> m_byService;
};

/** Returns whether \a next belongs to an earlier start than \a known, or is an earlier report of the same start. */
bool isOlder(const UpstreamRecord& next, const UpstreamRecord& known);

/** Returns whether \a next is the report that is known, or one that isOlder(). */
bool isNotNewer(const UpstreamRecord& next, const UpstreamRecord& known);

}
