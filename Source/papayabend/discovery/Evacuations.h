#pragma once

#include "papayabend/base/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::discovery {

/** \class Evacuations
 * \brief Failure domains to whose upstreams the operator asks to send nothing, and those whose upstreams return.
 *
 * After the end of an evacuation the share of requests that may choose the upstreams grows from 0 to 1, so that
 * upstreams that were idle do not get the load of their failure domain at once. Not safe for use by several threads.
 */
class Evacuations {
public:
    /** Time in which the share of requests grows from 0 to 1. Supposed: long enough to notice the load at a latency
     * objective of about a second. */
    static constexpr base::Duration returnTime { std::chrono::seconds(5) };

    /** Begins the evacuation; returns whether the failure domain was not being evacuated. */
    bool begin(std::string_view failureDomain);

    /** Ends the evacuation; returns whether the failure domain was being evacuated. */
    bool end(std::string_view failureDomain, base::TimePoint now);

    bool isEvacuated(std::string_view failureDomain) const;

    /** Returns the share of requests that may choose upstreams of the failure domain, in [0, 1]. */
    double returnedShare(std::string_view failureDomain, base::TimePoint now) const;

    /** Removes failure domains that have returned. */
    void expire(base::TimePoint now);

    /** Returns the failure domains under evacuation. */
    std::vector<std::string> failureDomains() const;
    /** Returns whether no failure domain is being evacuated or returns. */
    bool isEmpty() const { return m_domains.empty(); }

private:
    struct State {
        bool isEvacuated { false };
        base::TimePoint endedAt {};
    };

    std::map<std::string, State, std::less<>> m_domains;
};

}
