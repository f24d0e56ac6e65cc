#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"

#include <string_view>

namespace papayabend::engine {

/** \enum ReadStatus
 * \brief How a read of the platform ended.
 */
enum class ReadStatus : uint8_t {
    Value,
    Unchanged, /**< The platform has no newer version. */
    Failed,
};

/** \struct Readiness
 * \brief Whether the host may serve and, if not, why.
 */
struct Readiness {
    bool canServe { false };
    base::RefusalCode code { base::RefusalCode::NotReady }; /**< For refusals while it may not. */
    std::string reason; /**< Empty if it may. */
};

/** \class ControlPath
 * \brief Published values, host view and exchange with peers.
 */
class ControlPath {
public:
    explicit ControlPath(SharedState&);

    /** Takes a published value as the platform or a peer delivered it. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);
    Actions hostListPublished(std::string_view text, base::TimePoint now);
    Actions platformReadEnded(std::string_view key, ReadStatus, base::TimePoint now);
    Actions peerMessage(const PeerMessage&, base::TimePoint now);
    Actions tick(base::TimePoint now);
    Readiness readiness(base::TimePoint now) const;

private:
    SharedState& m_shared;
};

}
