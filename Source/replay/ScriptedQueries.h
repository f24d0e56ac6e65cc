#pragma once

#include "replay/Scenario.h"

#include <cstdint>

namespace papayabend::replay {

/** \struct ScriptedResult
 * \brief Figures of scripted queries with faults.
 */
struct ScriptedResult {
    uint64_t queries { 0 };
    uint64_t answered { 0 };
    uint64_t complete { 0 };
    uint64_t refused { 0 };
    uint64_t reset { 0 };
    uint64_t faults { 0 };
    uint64_t injectedResults { 0 }; /**< Results repeated, late, or under the number of another attempt. */
    uint64_t violations { 0 };
    std::vector<std::string> violationTexts;
};

/**
 * Runs searches over one deployment while faults drawn from \a seed occur at any moment, alone, in combination and
 * twice: upstreams that die, drain, shed, slow down or lose a snapshot, repartitions, cut failure domains, and hosts
 * that pause or die. Every answer is checked against what the upstream fakes really searched.
 */
ScriptedResult runScriptedQueries(const Deployment&, uint64_t seed, uint64_t queries);

/** Runs options.requests scripted queries over both deployments in simulations of 25,000. */
Figures measureScriptedQueries(const MeasureOptions&);

}
