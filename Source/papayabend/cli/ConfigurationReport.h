#pragma once

#include "papayabend/gateway/PlatformAdapter.h"

#include <optional>
#include <ostream>
#include <string>

namespace papayabend::cli {

/** \struct ConfigurationReport
 * \brief Options of a check of a configuration.
 */
struct ConfigurationReport {
    std::string file; /**< Value of the configuration as the store holds it. */
    std::optional<std::string> against; /**< File with the value in force. */
    bool asJson { false };
};

/** Exit codes of the check; docs/OPERATIONS.md lists them. */
enum CheckExitCode : int {
    NoFindings = 0,
    Warnings = 1, /**< Findings that do not prevent sending. */
    Errors = 2, /**< Errors, or a file that cannot be read. */
};

/** Checks a configuration, prints the findings and the differences from the one in force, and returns the exit code. */
int reportConfiguration(
    const ConfigurationReport&, const gateway::PlatformAdapter&, std::ostream& output, std::ostream& errors);

}
