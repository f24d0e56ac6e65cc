#pragma once

#include "papayabend/routes/Configuration.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace papayabend::routes {

/** \class SplitChoice
 * \brief Distributes the requests of each route over its destinations in exact proportion to the weights.
 *
 * Smooth weighted round robin: the shares hold over short runs too, which random choice does not give. Not safe for
 * use by several threads.
 */
class SplitChoice {
public:
    /** Returns the service that the next request of \a route goes to. */
    const std::string& next(const Route& route);

    /** Forgets routes that \a configuration does not have. */
    void retain(const Configuration& configuration);

private:
    struct Credit {
        std::string service;
        double credit { 0 };
    };
    std::unordered_map<std::string, std::vector<Credit>> m_credits;
};

}
