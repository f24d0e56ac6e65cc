#include "papayabend/engine/ServingHosts.h"

#include "papayabend/routing/ServingSet.h"

#include <algorithm>
#include <iterator>

namespace papayabend::engine {

namespace {

    // All calls of a host to an upstream share one gRPC connection.
    constexpr uint32_t connectionsPerHost = 1;

}

std::vector<membership::HostObservation> servingHosts(const SharedState& shared, std::string_view serviceName)
{
    auto view = shared.hostView.load();
    auto catalog = shared.catalog.load();
    const auto* service = catalog::findService(*catalog, serviceName);
    if (!service)
        return {};
    auto size
        = routing::servingSetSize(*catalog, *service, connectionsPerHost, shared.upstreams.settings().connectionShare);
    if (view->hosts.size() <= size)
        return view->hosts;
    std::vector<routing::ServingHost> candidates;
    std::ranges::transform(view->hosts, std::back_inserter(candidates), [](const auto& host) {
        return routing::ServingHost { host.name, host.failureDomain };
    });
    std::vector<membership::HostObservation> hosts;
    std::ranges::transform(routing::servingHosts(serviceName, candidates, size), std::back_inserter(hosts),
        [&](const std::string& name) { return *membership::findHost(*view, name); });
    return hosts;
}

}
