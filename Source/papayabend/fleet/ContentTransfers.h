#pragma once

#include "papayabend/base/StorePosition.h"
#include "papayabend/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayabend::fleet {

/** \class ContentTransfers
 * \brief Bounds how many hosts this host sends its content to at the same time.
 *
 * If all hosts of a failure domain fetched a large change from the one host that has it, they would share its link and
 * all finish late. With few transfers at a time, the first receivers soon serve others, so that the time grows with the
 * logarithm of the number of hosts. A host that is refused is referred to earlier receivers. Not safe for use by
 * several threads.
 */
class ContentTransfers {
public:
    /** Most transfers at the same time. */
    static constexpr size_t maxTransfers = 2;
    /** Time after which a transfer no longer counts, in case its receiver has failed. */
    static constexpr base::Duration maxTransferTime { std::chrono::milliseconds(1500) };
    /** Receivers that a refused host is referred to, at most. */
    static constexpr size_t maxReferrals = 8;

    /** Begins a transfer of the content as of \a position to the host at \a receiver, which is empty if unknown.
     * Returns its number, or nothing if as many as allowed are in progress. */
    std::optional<uint64_t> begin(std::string receiver, base::StorePosition position, base::TimePoint now);

    /** Ends a transfer. Its receiver is then expected to have the content. */
    void end(uint64_t number);

    /** Returns the addresses of hosts that have received content newer than \a position, the latest ones. */
    std::vector<std::string> receiversOf(base::StorePosition position) const;

private:
    struct Transfer {
        std::string receiver;
        base::StorePosition position;
        base::TimePoint startedAt {};
    };

    std::map<uint64_t, Transfer> m_transfers;
    std::deque<Transfer> m_ended; /**< Newest last; at most maxReferrals. */
    uint64_t m_lastNumber { 0 };
};

}
