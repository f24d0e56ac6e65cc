#pragma once

#include "papayabend/base/LastReason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::membership {

/** \struct ListedHost
 * \brief One entry of the host list that the platform publishes.
 */
struct ListedHost {
    std::string name;
    std::string callerAddress;
    std::string peerAddress;
    std::string failureDomain;
    std::string region;
    bool isLeaving { false };
};

/** \struct HostList
 * \brief Live and leaving hosts as published by the platform. The list may lag behind the actual hosts.
 */
struct HostList {
    uint64_t version { 0 };
    std::vector<ListedHost> hosts; /**< Sorted by name. */
};

/** Parses the published JSON. Rejects the whole list on the first error. If a field is faulty, \a reason names the
 * host and the field.
 */
std::optional<HostList> parseHostList(std::string_view text, base::LastReason& reason);

}
