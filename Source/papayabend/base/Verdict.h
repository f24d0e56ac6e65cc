#pragma once

#include <cstdint>
#include <string_view>

namespace papayabend::base {

/** \enum Verdict
 * \brief States whether a request may have run on an upstream.
 */
enum class Verdict : uint8_t {
    NotRun, /**< No byte reached a transport, or the upstream refused the request before running it. */
    MayHaveRun, /**< The request was sent and its outcome is unknown. */
    Ran, /**< The upstream reported that the request ran. */
};

/** Returns the wire name: "not_run", "may_have_run" or "ran". */
std::string_view toString(Verdict);

/** Returns whether a non-idempotent request with this verdict may be sent again. */
constexpr bool mayRetry(Verdict verdict) { return verdict == Verdict::NotRun; }

/** Returns the verdict of a request whose two attempts ended with \a first and \a second: Ran prevails over
 * MayHaveRun, and MayHaveRun over NotRun.
 */
Verdict combine(Verdict first, Verdict second);

}
