#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/StorePosition.h"
#include "papayabend/discovery/UpstreamDirectory.h"
#include "papayabend/dispatch/UpstreamEstimate.h"
#include "papayabend/gateway/HttpMessage.h"
#include "papayabend/routes/Configuration.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::gateway {

/** \struct HeaderNames
 * \brief Names of the HTTP header fields that clients, the gateway and upstreams use.
 */
struct HeaderNames {
    std::string requestId; /**< Identifies one attempt of a client; upstreams echo it. */
    std::string deadline; /**< Milliseconds until the deadline of the request. */
    std::string expectedInstance; /**< Id of the upstream that the request is sent to; no other may run it. */
    std::string notExecuted; /**< Present in an upstream's refusal if the request has not run. */
    std::string signature; /**< The upstream's signature of an answer. */
    std::string partSignatures; /**< Signatures of the parts of a merged answer. */
    std::string missingParts; /**< Number of shards that are missing from a merged answer. */
};

/** \struct StoreItem
 * \brief Key and value of the configuration store at one revision.
 */
struct StoreItem {
    std::string key;
    std::string value;
    uint64_t revision { 0 };
    bool isRemoved { false };
};

/** \struct StorePage
 * \brief Answer of the configuration store to a list or watch call.
 */
struct StorePage {
    std::vector<StoreItem> items;
    bool hasMore { false };
    uint64_t asOf { 0 }; /**< Revision up to which the answer is complete. */
    uint64_t era { 0 }; /**< Era of the store's history that the revisions belong to. */
};

/** \struct StoreList
 * \brief All items of the configuration store.
 */
struct StoreList {
    base::StorePosition position; /**< Up to which the list is complete; single items may be newer. */
    std::vector<StoreItem> items;
};

/** \struct EntryRequest
 * \brief Request of a client for the addresses of the hosts to use.
 */
struct EntryRequest {
    std::string failureDomain;
};

/** \struct UpstreamReport
 * \brief What an upstream says about itself in an answer.
 */
struct UpstreamReport {
    std::optional<double> requestLimit; /**< Requests per second that it takes from all hosts together. */
    bool isLimitReadable { true }; /**< False if it names a limit that cannot be read. */
    bool isLeaving { false }; /**< It will end and wants no further request. */
    std::optional<base::Duration> pause; /**< Time for which it wants nothing from this host. */
    std::optional<dispatch::StatedLoad> statedLoad;
    std::optional<base::Duration> warmUpLeft; /**< Time for which it is cold. */
    std::vector<std::string> problems; /**< Fields that cannot be used, each with the reason. */
};

/** \struct PlatformAdapter
 * \brief Names and formats of the platform: header fields, store keys and calls, and entry requests.
 *
 * Translates only; the gateway makes every decision.
 */
struct PlatformAdapter {
    HeaderNames headers;
    std::string readinessTarget; /**< Request target of readiness checks. */
    std::string configurationKey; /**< Key of the configuration in the store. */
    std::string upstreamPrefix; /**< Prefix of the keys of upstreams; the rest of the key is the id. */
    std::string evacuationPrefix; /**< Prefix of the keys of evacuations; the rest is the failure domain. */

    std::optional<routes::Configuration> (*parseConfiguration)(std::string_view value, base::LastReason&);
    std::optional<discovery::UpstreamRecord> (*parseUpstream)(
        std::string_view id, std::string_view value, base::LastReason&);
    /** Returns whether the value asks for an evacuation. */
    bool (*parseEvacuation)(std::string_view value, base::LastReason&);
    /** Returns the request target that lists the keys with \a prefix after the key \a after, which is empty for the
     * first page. */
    std::string (*listTarget)(std::string_view prefix, std::string_view after);
    /** Returns the request target that waits up to \a wait for changes after \a revision. */
    std::string (*watchTarget)(std::string_view prefix, uint64_t revision, base::Duration wait);
    std::optional<StorePage> (*parsePage)(std::string_view body, base::LastReason&);
    std::optional<StorePage> (*parseEvents)(std::string_view body, base::LastReason&);
    /** Returns the era that an answer of the store names, 0 if it names none, or nothing if it cannot be read. */
    std::optional<uint64_t> (*parseStoreEra)(const HttpResponse&);
    UpstreamReport (*parseUpstreamReport)(const HttpResponse&);
    /** Parses the target of a request for addresses; returns nothing if it is another kind of request. */
    std::optional<EntryRequest> (*parseEntryRequest)(std::string_view target);
    /** Returns the body of the answer to an EntryRequest. */
    std::string (*entryAnswer)(std::span<const std::string> addresses, base::Duration timeToLive);
};

}
