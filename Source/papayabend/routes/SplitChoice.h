#pragma once

#include "papayabend/routes/Configuration.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace papayabend::routes {

/** \class SplitChoice
 * \brief Distributes the requests of each route over its destinations in proportion to their weights.
 *
 * Smooth weighted round robin: unlike with random choice, the shares are exact even for a few requests. Not safe for
 * use by several threads.
 */
class SplitChoice {
public:
    /** Returns the service that the next request of \a route is to be sent to. */
    const std::string& next(const Route& route);

    /** Removes the state of routes that are not in \a configuration. */
    void retain(const Configuration& configuration);

private:
    struct Credit {
        std::string service;
        double credit { 0 };
    };
    std::unordered_map<std::string, std::vector<Credit>> m_credits; /**< By name of the route. */
};

}
