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
 * \brief What an upstream last said of itself.
 */
struct UpstreamRecord {
    std::string id; /**< Names one upstream; may be used again by a later start of it. */
    std::string service;
    std::string address; /**< IPv4 address and port. */
    std::string failureDomain;
    uint32_t concurrency { 1 }; /**< Requests that it runs at the same time. */
    bool isDraining { false };
    base::Duration warmUpLeft { 0 }; /**< How much longer it is slow after its start. */
    uint64_t sequence { 0 }; /**< Grows with each report of one start. */
    std::optional<int64_t> startedAt; /**< Unix time of its start in milliseconds; tells starts under one id apart. */
};

/** \enum Presence
 * \brief Whether an upstream is listed.
 */
enum class Presence : uint8_t {
    Listed,
    Missing, /**< Its entry has gone a moment ago; entries that lapsed in an outage of the store come back. */
    Gone,
};

/** \struct UpstreamEntry
 * \brief An upstream with the revision of the store at which it was last written.
 */
struct UpstreamEntry {
    UpstreamRecord record;
    uint64_t revision { 0 };
    Presence presence { Presence::Listed };
    base::TimePoint changedAt {}; /**< Of state, address, start or presence. */
    base::TimePoint reportedAt {}; /**< Arrival of the record. */
};

/** \class UpstreamDirectory
 * \brief All upstreams that the store or a peer has named. Not safe for use by several threads.
 */
class UpstreamDirectory {
public:
    /** Time for which a missing entry may come back: the two seconds that entries need after an outage, and half a
     * second for the way. */
    static constexpr base::Duration missingTime { std::chrono::milliseconds(2500) };
    /** Time for which the revision of a removed entry is kept, so that no late copy from a peer revives it. */
    static constexpr base::Duration removedTime { std::chrono::seconds(60) };

    /** Takes a written entry; \a record is empty if its value cannot be used. Returns whether the upstream changed; a
     * new time left to warm up alone is no change. */
    bool apply(
        std::string_view id, uint64_t revision, const std::optional<UpstreamRecord>& record, base::TimePoint now);

    /** Takes the removal of an entry. Returns whether anything changed. */
    bool remove(std::string_view id, uint64_t revision, base::TimePoint now);

    /** Marks all entries as missing that a full list as of \a revision did not contain. */
    bool retain(const std::set<std::string>& listed, uint64_t revision, base::TimePoint now);

    /** Turns missing entries into gone ones after missingTime and forgets old ones. Returns whether any changed. */
    bool expire(base::TimePoint now);

    /** Entries of \a service in any presence; valid until the next change. */
    std::vector<const UpstreamEntry*> of(std::string_view service) const;
    const UpstreamEntry* find(std::string_view id) const;
    const std::map<std::string, UpstreamEntry, std::less<>>& entries() const { return m_entries; }

private:
    std::map<std::string, UpstreamEntry, std::less<>> m_entries;
    std::map<std::string, std::set<std::string>, std::less<>> m_byService;
};

/** Returns whether \a next describes an earlier moment of the same or an earlier start than \a known. */
bool isOlder(const UpstreamRecord& next, const UpstreamRecord& known);

}
