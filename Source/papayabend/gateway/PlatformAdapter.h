#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/routes/Configuration.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \struct HeaderNames
 * \brief HTTP header fields that callers, gateway and upstreams exchange.
 */
struct HeaderNames {
    std::string requestId; /**< Identifies one attempt of a caller; upstreams echo it. */
    std::string deadline; /**< Milliseconds that are left. */
    std::string expectedInstance; /**< Id of the upstream that may run the request. */
    std::string notExecuted; /**< In an upstream's refusal: the request has not run. */
    std::string signature; /**< The upstream's signature of an answer. */
    std::string partSignatures; /**< Signatures of the parts of a merged answer. */
    std::string missingParts; /**< Number of shards that a merged answer lacks. */
};

/** \struct StoreItem
 * \brief A key of the configuration store as of one revision.
 */
struct StoreItem {
    std::string key;
    std::string value;
    uint64_t revision { 0 };
    bool isRemoved { false };
};

/** \struct StorePage
 * \brief Answer of the configuration store to a list or a watch.
 */
struct StorePage {
    std::vector<StoreItem> items;
    bool hasMore { false };
    uint64_t asOf { 0 }; /**< Revision up to which the answer is complete. */
};

/** \struct EntryRequest
 * \brief Request of a caller for the addresses to use.
 */
struct EntryRequest {
    std::string failureDomain;
};

/** \struct PlatformAdapter
 * \brief Names, formats and calls of the surroundings that a gateway serves. Holds no decision.
 */
struct PlatformAdapter {
    HeaderNames headers;
    std::string readinessTarget; /**< Request target of readiness checks. */
    std::string configurationKey;
    std::string upstreamPrefix; /**< Keys of upstreams begin with it; their ids follow. */

    std::optional<routes::Configuration> (*parseConfiguration)(std::string_view value, base::LastReason&);
    std::optional<discovery::UpstreamRecord> (*parseUpstream)(
        std::string_view id, std::string_view value, base::LastReason&);
    /** Request target of a list of the keys with \a prefix that follow \a after; empty for the first page. */
    std::string (*listTarget)(std::string_view prefix, std::string_view after);
    /** Request target that waits for changes after \a revision. */
    std::string (*watchTarget)(std::string_view prefix, uint64_t revision, base::Duration wait);
    std::optional<StorePage> (*parsePage)(std::string_view body, base::LastReason&);
    std::optional<StorePage> (*parseEvents)(std::string_view body, base::LastReason&);
    /** Parses the target of a request for addresses; empty if it is none. */
    std::optional<EntryRequest> (*parseEntryRequest)(std::string_view target);
    std::string (*entryAnswer)(std::span<const std::string> addresses, base::Duration timeToLive);
};

}
