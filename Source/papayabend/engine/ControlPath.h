#pragma once

#include "papayabend/base/Time.h"
#include "papayabend/engine/Action.h"
#include "papayabend/engine/SharedState.h"

#include <string_view>

namespace papayabend::engine {

/** \class ControlPath
 * \brief Published values, host view and exchange with peers.
 */
class ControlPath {
public:
    explicit ControlPath(SharedState&);

    /** Takes a published value as the platform or a peer delivered it. \a key is "table" or "catalog". */
    Actions valuePublished(std::string_view key, std::string_view text, base::TimePoint now);

private:
    SharedState& m_shared;
};

}
