#include "papayabend/routes/SplitChoice.h"

#include <algorithm>
#include <ranges>
#include <unordered_set>

namespace papayabend::routes {

const std::string& SplitChoice::next(const Route& route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    auto& credits = m_credits[route.name];
    auto hasSameServices = std::ranges::equal(
        credits, route.destinations, {}, [](const auto& it) { return it.service; }, &Destination::service);
    if (!hasSameServices) {
        credits.clear();
        std::ranges::transform(route.destinations, std::back_inserter(credits), [](const auto& it) {
            return Credit { it.service, 0 };
        });
    }
    double total = 0;
    for (size_t n = 0; n < credits.size(); ++n) {
        credits[n].credit += route.destinations[n].weight;
        total += route.destinations[n].weight;
    }
    auto selected = std::ranges::max_element(credits, {}, &Credit::credit);
    selected->credit -= total;
    return selected->service;
}

void SplitChoice::retain(const Configuration& configuration)
{
    std::unordered_set<std::string> names;
    for (const auto& route : configuration.routes)
        names.insert(route.name);
    std::erase_if(m_credits, [&](const auto& it) { return !names.contains(it.first); });
}

}
