#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/dissemination/Digest.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::dissemination {

/** \struct ValueDelta
 * \brief Changed rows of a published value, or the whole text if the receiver has no usable base.
 */
struct ValueDelta {
    std::string key;
    uint64_t baseVersion { 0 }; /**< 0: \a text is the whole value. */
    uint64_t version { 0 };
    uint64_t contentHash { 0 }; /**< Hash of the whole value after the change. */
    std::string text;
};

/** \struct ValueRequest
 * \brief Asks a peer for a value newer than the version that the sender has in force.
 */
struct ValueRequest {
    std::string key;
    uint64_t haveVersion { 0 };
    uint64_t haveContentHash { 0 };
};

/** \enum Comparison
 * \brief How an offered version compares with the one in force.
 */
enum class Comparison : uint8_t {
    Newer,
    Same,
    Older,
    Conflict, /**< Equal number, other content. */
    Refused, /**< Found invalid before. */
};

/** \struct StoredValue
 * \brief One published value as it is in force on this host. The version never goes back.
 */
struct StoredValue {
    std::string key;
    uint64_t version { 0 }; /**< 0: none yet. */
    uint64_t contentHash { 0 };
    std::string text;
    std::deque<ValueDelta> history; /**< Consecutive changes that lead to the version in force. */
    std::deque<uint64_t> historyHashes; /**< Content hash of the base of each change. */
    size_t historyBytes { 0 };
    std::optional<ValueDigest> refused; /**< Last version that was found invalid. */
    std::optional<ValueDigest> conflict; /**< Last version that conflicted. */
    uint64_t conflicts { 0 };
    uint64_t refusals { 0 };
    uint64_t staleOffers { 0 }; /**< Older versions that were offered. */
};

/** Returns version and content of the value in force. */
ValueDigest digest(const StoredValue&);

/** Compares an offered version with the one in force; changes nothing. */
Comparison compare(const StoredValue&, uint64_t version, uint64_t contentHash);

/** Counts an older or conflicting offer. Returns a text to report if the conflict is a new one. */
std::optional<std::string> countRejectedOffer(StoredValue&, Comparison, const ValueDigest& offered);

/** Puts a valid text into force. Its version must be newer. */
void store(StoredValue&, std::string text, uint64_t version, uint64_t contentHash);

/** Remembers that a version is invalid, so that it is not fetched and checked again. */
void refuse(StoredValue&, const ValueDigest& offered);

/** Returns the changes that lead from the requester's version to the one in force, or the whole value if the changes
 * are not known or longer. Empty if the requester has the newest version.
 */
std::vector<ValueDelta> answerRequest(const StoredValue&, const ValueRequest&);

/** \struct OfferedValue
 * \brief Text of a version that may be put into force.
 */
struct OfferedValue {
    std::string text;
    uint64_t version { 0 };
    uint64_t contentHash { 0 };
};

/** Returns the text that consecutive changes give. Changes up to the version in force are skipped. Fails if the
 * others do not follow on it or a hash differs; empty \a reason: there was no newer change.
 */
std::optional<OfferedValue> applyChanges(
    const StoredValue&, const std::vector<ValueDelta>& changes, base::LastReason& reason);

}
