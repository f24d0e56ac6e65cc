#pragma once

#include "papayabend/base/Refusal.h"
#include "papayabend/engine/Action.h"
#include "papayabend/query/Search.h"
#include "papayabend/routing/Attempt.h"

#include <functional>
#include <string_view>

namespace papayabend::replay {

struct Simulation;
struct Request;
struct Host;
struct Call;

/** \struct Recorder
 * \brief Callbacks for what happens in a replay. Empty members are skipped. Simulation::now is the time.
 */
struct Recorder {
    std::function<void(const Simulation&, const Request&, const query::SearchAnswer&)> answered;
    std::function<void(const Simulation&, const Request&, const execution::ExecutionAnswer&)> executed;
    std::function<void(const Simulation&, const Request&, const execution::OutcomeAnswer&)> outcomeTold;
    std::function<void(const Simulation&, const Request&, const base::Refusal&)> refused;
    /** The caller's connection ended without an answer because the host died. */
    std::function<void(const Simulation&, const Request&)> reset;
    std::function<void(const Simulation&, const Host&, const routing::Attempt&)> attemptSent;
    std::function<void(const Simulation&, const Host&, const routing::Attempt&, const routing::AttemptResult&)>
        attemptEnded;
    std::function<void(const Simulation&, const Host&, const engine::StateChange&)> stateChanged;
    /** A check failed; the replay goes on. */
    std::function<void(const Simulation&, std::string_view)> violated;
};

}
