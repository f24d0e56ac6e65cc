#include "papayabend/routes/Configuration.h"

#include <algorithm>
#include <cctype>

namespace papayabend::routes {

namespace {

    std::string indexKey(std::string_view host, std::string_view prefix)
    {
        std::string key(host);
        key += prefix;
        return key;
    }

}

std::string problemOf(const Route& route)
{
    if (route.host.empty())
        return "has no virtual host";
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        return "prefix \"" + route.prefix + "\" must begin and end with a slash";
    if (route.destinations.empty() == route.shards.empty())
        return "needs either destinations or shards";
    if (std::ranges::any_of(route.destinations, [](const auto& it) { return !(it.weight >= 0); }))
        return "has a destination with a negative weight";
    if (route.maxAttempts == 0)
        return "needs at least one attempt";
    return {};
}

std::shared_ptr<const Configuration> indexed(Configuration configuration, base::LastReason& reason)
{
    for (size_t n = 0; n < configuration.routes.size(); ++n) {
        const auto& route = configuration.routes[n];
        auto error = problemOf(route);
        if (!error.empty()) {
            reason.text = "route \"" + route.name + "\" " + error;
            return nullptr;
        }
        configuration.index.emplace(indexKey(route.host, route.prefix), n);
    }
    return std::make_shared<const Configuration>(std::move(configuration));
}

const Route* findRoute(const Configuration& configuration, std::string_view host, std::string_view target)
{
    auto path = target.substr(0, target.find('?'));
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        auto it = configuration.index.find(indexKey(host, path.substr(0, end + 1)));
        if (it != configuration.index.end())
            return &configuration.routes[it->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

std::string canonicalHost(std::string_view host)
{
    std::string text(host.substr(0, host.rfind(':')));
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

}
