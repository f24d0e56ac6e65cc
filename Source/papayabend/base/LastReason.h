#pragma once

#include <optional>
#include <string>
#include <utility>

namespace papayabend::base {

/** \struct LastReason
 * \brief Text that explains why the last call with it returned no value.
 */
struct LastReason {
    std::string text;
};

/** Records \a text in \a reason and returns the empty optional. */
inline std::nullopt_t fail(LastReason& reason, std::string text)
{
    reason.text = std::move(text);
    return std::nullopt;
}

}
