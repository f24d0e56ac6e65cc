#include "papayabend/dissemination/StoredValue.h"

#include "papayabend/base/Hash.h"
#include "papayabend/dissemination/RowDelta.h"

#include <algorithm>
#include <iterator>

namespace papayabend::dissemination {

namespace {

    // 2,200 changes a day are one in 39 s, so the changes of the last 40 minutes are kept.
    constexpr size_t maxHistory = 64;
    constexpr size_t maxHistoryBytes = 256 * 1024;

    void trimHistory(StoredValue& value)
    {
        while (value.history.size() > maxHistory || value.historyBytes > maxHistoryBytes) {
            value.historyBytes -= value.history.front().text.size();
            value.history.pop_front();
            value.historyHashes.pop_front();
        }
    }

}

ValueDigest digest(const StoredValue& value) { return { value.key, value.version, value.contentHash }; }

Comparison compare(const StoredValue& value, uint64_t version, uint64_t contentHash)
{
    if (version < value.version || version == 0)
        return Comparison::Older;
    if (version == value.version)
        return contentHash == value.contentHash ? Comparison::Same : Comparison::Conflict;
    if (value.refused && value.refused->version == version && value.refused->contentHash == contentHash)
        return Comparison::Refused;
    return Comparison::Newer;
}

std::optional<std::string> countRejectedOffer(StoredValue& value, Comparison comparison, const ValueDigest& offered)
{
    if (comparison == Comparison::Older)
        ++value.staleOffers;
    if (comparison != Comparison::Conflict)
        return std::nullopt;
    auto isKnown = value.conflict && value.conflict->version == offered.version
        && value.conflict->contentHash == offered.contentHash;
    ++value.conflicts;
    value.conflict = offered;
    if (isKnown)
        return std::nullopt;
    return "version " + std::to_string(offered.version) + " was published with other content; the first one stays";
}

void store(StoredValue& value, std::string text, uint64_t version, uint64_t contentHash)
{
    if (value.version != 0) {
        auto change = rowDelta(value.text, text);
        value.historyBytes += change.size();
        value.history.push_back({ value.key, value.version, version, contentHash, std::move(change) });
        value.historyHashes.push_back(value.contentHash);
        trimHistory(value);
    }
    value.version = version;
    value.contentHash = contentHash;
    value.text = std::move(text);
}

void refuse(StoredValue& value, const ValueDigest& offered)
{
    ++value.refusals;
    value.refused = offered;
}

std::vector<ValueDelta> answerRequest(const StoredValue& value, const ValueRequest& request)
{
    if (value.version <= request.haveVersion)
        return {};
    auto first = std::ranges::find(value.history, request.haveVersion, &ValueDelta::baseVersion);
    auto offset = static_cast<size_t>(first - value.history.begin());
    if (first != value.history.end() && value.historyHashes[offset] == request.haveContentHash) {
        std::vector<ValueDelta> changes(first, value.history.end());
        size_t bytes = 0;
        for (const auto& it : changes)
            bytes += it.text.size();
        if (bytes < value.text.size())
            return changes;
    }
    return { { value.key, 0, value.version, value.contentHash, value.text } };
}

std::optional<OfferedValue> applyChanges(
    const StoredValue& value, const std::vector<ValueDelta>& changes, base::LastReason& reason)
{
    OfferedValue offer { {}, value.version, value.contentHash };
    for (const auto& it : changes) {
        if (it.key != value.key || it.version <= offer.version)
            continue;
        if (it.baseVersion != 0 && it.baseVersion != offer.version)
            return base::fail(reason, "change belongs to another base version");
        const auto& before = offer.version == value.version ? value.text : offer.text;
        auto text = it.baseVersion == 0 ? it.text : applyRowDelta(before, it.text, reason);
        if (!text)
            return std::nullopt;
        if (base::hash(*text) != it.contentHash)
            return base::fail(reason, "content hash differs after the change");
        offer = { std::move(*text), it.version, it.contentHash };
    }
    return offer.version == value.version ? std::nullopt : std::optional(std::move(offer));
}

}
