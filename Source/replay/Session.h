#pragma once

#include "papayabend/base/LastReason.h"
#include "replay/Simulation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayabend::replay {

/** \struct Session
 * \brief A recorded session: what is published, requested and broken at which virtual time.
 *
 * The format of its input is described in Tests/Session/README.md.
 */
struct Session {
    std::unique_ptr<Simulation> simulation;
    TimePoint until {};
    /** Bounds of counters after the run, by name. They hold also when the expected output is regenerated. */
    std::map<std::string, std::pair<uint64_t, uint64_t>> required;
};

/** Parses JSON with comments. Fails with the text of the first entry that is not valid. */
std::optional<Session> parseSession(std::string_view text, base::LastReason& reason);

/** \struct SessionResult
 * \brief What a session printed and which promises it broke.
 */
struct SessionResult {
    std::string output; /**< Every answer, refusal, attempt and change of state, one a line. */
    std::vector<std::string> failures; /**< Failed checks and counters out of bounds. */
};

SessionResult runSession(Session&);

}
