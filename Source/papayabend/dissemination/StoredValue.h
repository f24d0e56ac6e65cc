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
 * \brief Request to a peer for a value newer than the version that the sender has in force.
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
    Conflict, /**< Equal version number, different content. */
    Refused, /**< Already found invalid. */
};

/** \struct StoredValue
 * \brief A published value that is in force on this host, and its recent changes. The version never decreases.
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
    std::optional<ValueDigest> conflict; /**< Last offer of the stored version with different content. */
    uint64_t conflicts { 0 };
    uint64_t refusals { 0 };
    uint64_t staleOffers { 0 }; /**< Number of older versions offered. */
};

/** Returns key, version and content hash of the value in force. */
ValueDigest digest(const StoredValue&);

/** Compares an offered version with the one in force; changes nothing. */
Comparison compare(const StoredValue&, uint64_t version, uint64_t contentHash);

/** Counts an older or conflicting version. Returns an error message if the conflict differs from the last one. */
std::optional<std::string> countRejectedOffer(StoredValue&, Comparison, const ValueDigest& offered);

/** Puts a valid text into force. Its version must be newer than the one in force. */
void store(StoredValue&, std::string text, uint64_t version, uint64_t contentHash);

/** Records that a version is invalid, so that it is not fetched and checked again. */
void refuse(StoredValue&, const ValueDigest& offered);

/** Returns the changes from the requester's version to the one in force, or the whole value if the changes are not in
 * the history or not smaller. Empty if the requester's version is not older.
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

/** Applies consecutive changes to the value in force and returns the resulting text. Changes up to the version in
 * force are skipped. Fails if the first of the others has another base version, if they are not consecutive or if a
 * content hash differs. Also returns no value, without setting \a reason, if there is no newer change.
 */
std::optional<OfferedValue> applyChanges(
    const StoredValue&, const std::vector<ValueDelta>& changes, base::LastReason& reason);

}
