#include "papayabend/routes/ConfigurationCheck.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <sstream>

namespace papayabend::routes {

namespace {

    // Bytes of all messages that a host holds before it gives up the largest one (gateway::BufferBudget).
    constexpr uint32_t maxHeldBytes = 32 * 1024 * 1024;

    using Findings = std::vector<Finding>;

    std::string nameOf(const Route& route) { return "route " + route.host + route.prefix; }

    std::string nameOf(const std::string& service) { return "service " + service; }

    std::string textOf(double number)
    {
        std::ostringstream stream;
        stream << number;
        return stream.str();
    }

    std::string textOf(base::Duration time)
    {
        return time.count() == 0 ? "none" : textOf(std::chrono::duration<double, std::milli>(time).count()) + " ms";
    }

    void checkAddress(const Route& route, Findings& findings)
    {
        // The query is cut off before the prefix is compared, and a path has no space and no fragment.
        if (route.prefix.find_first_of("?# ") != std::string::npos)
            findings.push_back({ Severity::Warning, nameOf(route),
                "never matches: the prefix has a character that no path contains" });
        if (route.host.find_first_of("/?# ") != std::string::npos)
            findings.push_back({ Severity::Warning, nameOf(route),
                "never matches: the virtual host has a character that no host name contains" });
    }

    void checkSplit(const Route& route, Findings& findings)
    {
        auto total = std::accumulate(route.destinations.begin(), route.destinations.end(), 0.0,
            [](double sum, const auto& it) { return sum + it.weight; });
        if (!route.destinations.empty() && total == 0) {
            findings.push_back({ Severity::Error, nameOf(route), "the weights of its destinations add up to 0" });
            return;
        }
        std::set<std::string_view> services;
        for (const auto& destination : route.destinations) {
            if (destination.weight == 0)
                findings.push_back({ Severity::Warning, nameOf(route),
                    "service " + destination.service + " has the weight 0 and gets no request" });
            if (!services.insert(destination.service).second)
                findings.push_back(
                    { Severity::Warning, nameOf(route), "names service " + destination.service + " twice" });
        }
    }

    void checkFanOut(const Route& route, Findings& findings)
    {
        auto add = [&](Severity severity, std::string text) {
            findings.push_back({ severity, nameOf(route), std::move(text) });
        };
        if (!route.isFanOut()) {
            if (route.minShardShare != 1 || route.maxRecords != 0)
                add(Severity::Warning, "minimum share and number of records have no effect without shards");
            return;
        }
        std::set<std::string_view> shards(route.shards.begin(), route.shards.end());
        if (shards.size() != route.shards.size())
            add(Severity::Warning, "names a shard twice, which counts as two shards");
        if (route.maxRecords == 0)
            add(Severity::Warning, "merged answers have no records: their number is 0");
        auto share = route.minShardShare;
        auto count = static_cast<double>(route.shards.size());
        if (!(share <= 1))
            return add(
                Severity::Error, "the minimum share " + textOf(share) + " is above what all shards together give");
        if (share < 0)
            add(Severity::Warning, "the minimum share " + textOf(share) + " is below 0");
        // A share that the product misses by rounding is met.
        constexpr double rounding = 1e-9;
        if (share < 1 && std::ceil(share * count - rounding) >= count)
            add(Severity::Warning,
                "the minimum share " + textOf(share) + " of " + textOf(count) + " shards lets none of them be missing");
    }

    void checkLimits(const Route& route, const Configuration& configuration, Findings& findings)
    {
        auto add = [&](std::string text) { findings.push_back({ Severity::Warning, nameOf(route), std::move(text) }); };
        if (route.timeout.count() > 0 && route.latencyObjective > route.timeout)
            add("the latency objective " + textOf(route.latencyObjective) + " is above the timeout "
                + textOf(route.timeout));
        std::set<std::string_view> services(route.shards.begin(), route.shards.end());
        for (const auto& destination : route.destinations)
            services.insert(destination.service);
        for (auto service : services) {
            auto it = configuration.maxConnections.find(std::string(service));
            if (it == configuration.maxConnections.end())
                add("service " + std::string(service) + " is not listed");
            else if (it->second > 0 && route.maxAttempts > it->second)
                add("one request may make " + std::to_string(route.maxAttempts) + " attempts at service "
                    + std::string(service) + ", whose upstreams accept " + std::to_string(it->second)
                    + " connections from all hosts");
        }
    }

    void checkServices(const Configuration& configuration, Findings& findings)
    {
        std::set<std::string_view> used;
        for (const auto& route : configuration.routes) {
            used.insert(route.shards.begin(), route.shards.end());
            for (const auto& destination : route.destinations)
                used.insert(destination.service);
        }
        std::set<std::string> services;
        for (const auto& [service, connections] : configuration.maxConnections)
            services.insert(service);
        for (const auto& service : services) {
            if (!used.contains(service))
                findings.push_back({ Severity::Warning, nameOf(service), "no route uses it" });
        }
    }

    void checkClientLimits(const ClientLimits& limits, Findings& findings)
    {
        if (limits.headerBytes == 0)
            findings.push_back({ Severity::Error, "limits", "no request fits: the size of its header is at most 0" });
        if (limits.bodyBytes > maxHeldBytes)
            findings.push_back({ Severity::Warning, "limits",
                "bodies of " + std::to_string(limits.bodyBytes) + " bytes are accepted, but a host holds at most "
                    + std::to_string(maxHeldBytes) + " bytes of all messages" });
        if (limits.headerTimeout > limits.idleTimeout)
            findings.push_back({ Severity::Warning, "limits",
                "the header timeout " + textOf(limits.headerTimeout) + " is above the idle timeout "
                    + textOf(limits.idleTimeout) });
    }

    std::string destinationsOf(const Route& route)
    {
        std::string text;
        for (const auto& it : route.destinations)
            text += (text.empty() ? "" : ", ") + it.service + ":" + textOf(it.weight);
        return text.empty() ? "none" : text;
    }

    /** Returns the fields of a route by name, as text; shards are compared separately. */
    std::vector<std::pair<std::string, std::string>> fieldsOf(const Route& route)
    {
        return { { "name", route.name }, { "idempotent", route.idempotent ? "yes" : "no" },
            { "timeout", textOf(route.timeout) }, { "latency objective", textOf(route.latencyObjective) },
            { "priority", std::to_string(route.priority) }, { "attempts", std::to_string(route.maxAttempts) },
            { "destinations", destinationsOf(route) }, { "records", std::to_string(route.maxRecords) },
            { "minimum share", textOf(route.minShardShare) } };
    }

    std::vector<std::pair<std::string, std::string>> fieldsOf(const ClientLimits& limits)
    {
        return { { "header bytes", std::to_string(limits.headerBytes) },
            { "body bytes", std::to_string(limits.bodyBytes) }, { "header timeout", textOf(limits.headerTimeout) },
            { "idle timeout", textOf(limits.idleTimeout) } };
    }

    template <typename Entry>
    void compareFields(
        const std::string& name, const Entry& before, const Entry& after, std::vector<std::string>& lines)
    {
        auto old = fieldsOf(before);
        auto next = fieldsOf(after);
        for (size_t n = 0; n < old.size(); ++n) {
            if (old[n].second != next[n].second)
                lines.push_back(name + ": " + old[n].first + " " + old[n].second + " -> " + next[n].second);
        }
    }

    void compareShards(const Route& before, const Route& after, std::vector<std::string>& lines)
    {
        std::set<std::string> old(before.shards.begin(), before.shards.end());
        std::set<std::string> next(after.shards.begin(), after.shards.end());
        for (const auto& shard : old) {
            if (!next.contains(shard))
                lines.push_back(nameOf(after) + ": shard " + shard + " removed");
        }
        for (const auto& shard : next) {
            if (!old.contains(shard))
                lines.push_back(nameOf(after) + ": shard " + shard + " added");
        }
    }

    /** Returns the routes by virtual host and prefix; the first of several with the same ones is in use. */
    std::map<std::string, const Route*> routesByAddress(const Configuration& configuration)
    {
        std::map<std::string, const Route*> routes;
        for (const auto& route : configuration.routes)
            routes.emplace(route.host + route.prefix, &route);
        return routes;
    }

    std::string rateText(double perSecond)
    {
        std::ostringstream text;
        text << perSecond;
        return perSecond > 0 ? text.str() : "unbounded";
    }

    std::string connectionsText(uint32_t connections)
    {
        return connections == 0 ? "unbounded" : std::to_string(connections);
    }

}

std::vector<Finding> checkConfiguration(const Configuration& configuration)
{
    Findings findings;
    if (configuration.routes.empty())
        findings.push_back({ Severity::Error, "configuration", "it has no route, so that no request is served" });
    std::map<std::string, const Route*> first;
    for (const auto& route : configuration.routes) {
        if (auto problem = problemOf(route); !problem.empty()) {
            findings.push_back({ Severity::Error, nameOf(route), problem });
            continue;
        }
        auto [it, isFirst] = first.emplace(route.host + route.prefix, &route);
        if (!isFirst)
            findings.push_back({ Severity::Warning, nameOf(route),
                "\"" + route.name + "\" never matches: \"" + it->second->name
                    + "\" has the same virtual host and prefix and comes first" });
        checkAddress(route, findings);
        checkSplit(route, findings);
        checkFanOut(route, findings);
        checkLimits(route, configuration, findings);
    }
    checkServices(configuration, findings);
    checkClientLimits(configuration.limits, findings);
    return findings;
}

std::vector<Finding> checkSuccession(const Configuration& inForce, const Configuration& next)
{
    if (next.version > inForce.version)
        return {};
    return { { Severity::Error, "configuration",
        "hosts ignore version " + std::to_string(next.version) + ", since version " + std::to_string(inForce.version)
            + " is in force" } };
}

std::vector<std::string> compareConfigurations(const Configuration& before, const Configuration& after)
{
    std::vector<std::string> lines;
    auto old = routesByAddress(before);
    auto next = routesByAddress(after);
    for (const auto& [address, route] : old) {
        auto it = next.find(address);
        if (it == next.end()) {
            lines.push_back(nameOf(*route) + ": removed");
            continue;
        }
        compareFields(nameOf(*route), *route, *it->second, lines);
        compareShards(*route, *it->second, lines);
    }
    for (const auto& [address, route] : next) {
        if (!old.contains(address))
            lines.push_back(nameOf(*route) + ": added");
    }
    std::map<std::string, uint32_t> oldServices(before.maxConnections.begin(), before.maxConnections.end());
    std::map<std::string, uint32_t> nextServices(after.maxConnections.begin(), after.maxConnections.end());
    for (const auto& [service, connections] : oldServices) {
        auto it = nextServices.find(service);
        if (it == nextServices.end())
            lines.push_back(nameOf(service) + ": removed");
        else if (it->second != connections)
            lines.push_back(nameOf(service) + ": connections " + connectionsText(connections) + " -> "
                + connectionsText(it->second));
    }
    for (const auto& [service, connections] : nextServices) {
        if (!oldServices.contains(service))
            lines.push_back(nameOf(service) + ": added");
    }
    auto coldRate = [](const Configuration& configuration, const std::string& service) {
        auto it = configuration.coldRequestsPerSecond.find(service);
        return it == configuration.coldRequestsPerSecond.end() ? 0.0 : it->second;
    };
    for (const auto& [service, connections] : nextServices) {
        auto old = coldRate(before, service);
        auto next = coldRate(after, service);
        if (old != next)
            lines.push_back(
                nameOf(service) + ": requests a second while cold " + rateText(old) + " -> " + rateText(next));
    }
    compareFields("limits", before.limits, after.limits, lines);
    return lines;
}

}
