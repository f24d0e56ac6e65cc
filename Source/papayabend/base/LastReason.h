#pragma once

#include <optional>
#include <string>
#include <utility>

namespace papayabend::base {

/** \struct LastReason
 * \brief Explains why the last call that received it returned no value.
 */
struct LastReason {
    std::string text;
};

/** Stores \a text in \a reason and returns std::nullopt. */
inline std::nullopt_t fail(LastReason& reason, std::string text)
{
    reason.text = std::move(text);
    return std::nullopt;
}

}
