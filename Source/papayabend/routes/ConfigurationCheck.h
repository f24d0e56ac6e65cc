#pragma once

#include "papayabend/routes/Configuration.h"

#include <string>
#include <vector>

namespace papayabend::routes {

/** \enum Severity
 * \brief Whether a finding prevents a configuration from being sent.
 */
enum class Severity : uint8_t {
    Warning, /**< Hosts use the configuration, but an entry has no effect or contradicts another one. */
    Error, /**< Hosts refuse or ignore the configuration, or requests of a route can never be answered. */
};

/** \struct Finding
 * \brief One result of a check.
 */
struct Finding {
    Severity severity { Severity::Warning };
    std::string entry; /**< Route, service or section that it is about. */
    std::string text;
};

/** Checks a configuration before it is sent. Findings are in the order of the entries. */
std::vector<Finding> checkConfiguration(const Configuration&);

/** Checks whether hosts that use \a inForce take \a next: they ignore a version that is not higher. */
std::vector<Finding> checkSuccession(const Configuration& inForce, const Configuration& next);

/** Returns one line of text for each difference from \a before to \a after: by route, in which virtual host and prefix
 * identify a route, by service, and in the limits. The order of routes is no difference. */
std::vector<std::string> compareConfigurations(const Configuration& before, const Configuration& after);

}
