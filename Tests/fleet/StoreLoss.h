#pragma once

#include "fleet/StoreFleet.h"

#include <CppUTest/TestHarness.h>
#include <string>

/** \enum Loss
 * \brief What happens to a group of hosts.
 */
enum class Loss : uint8_t { Cut, Ended, Left };

/** \struct Figures
 * \brief Worst figures of some runs.
 */
struct Figures {
    papayabend::base::Duration oldestVersion { 0 };
    size_t callsPerSecond { 0 };
    size_t runs { 0 };

    void add(const StoreFleet& fleet)
    {
        oldestVersion = std::max(oldestVersion, fleet.oldestVersionInUse());
        callsPerSecond = std::max(callsPerSecond, fleet.maxCallsPerSecond());
        ++runs;
    }

    /** Checks the figures against the time within which a version must be in force, 3 s, of which some is left for slow
     * links and busy hosts, and against the rate of the store. */
    void checkAgainst(size_t maxCalls) const
    {
        CHECK_TRUE(oldestVersion <= std::chrono::milliseconds(2800));
        CHECK_TRUE(callsPerSecond <= maxCalls);
    }

    void print(const std::string& what) const
    {
        auto text = what + ": " + std::to_string(runs) + " runs, oldest version in use "
            + std::to_string(papayabend::base::toMilliseconds(oldestVersion)) + " ms, at most "
            + std::to_string(callsPerSecond) + " calls in a second";
        UT_PRINT(text.c_str());
    }
};

inline void apply(StoreFleet& fleet, Loss loss, size_t host)
{
    if (loss == Loss::Cut)
        fleet.cut(host);
    else if (loss == Loss::Ended)
        fleet.end(host);
    else
        fleet.leave(host);
}

/** Runs a fleet in which the hosts of \a selected are lost at a moment that depends on the seed; changes follow at
 * once and later. */
template <typename Selected> StoreFleet runLoss(StoreFleet::Settings settings, Loss loss, Selected selected)
{
    using namespace std::chrono_literals;
    StoreFleet fleet(settings);
    // The calls of the readers begin at different moments before the loss.
    fleet.runFor(8s + 370ms * static_cast<int64_t>(settings.seed % 9));
    if (settings.seed % 2 == 0) {
        fleet.change();
        fleet.runFor(400ms);
    }
    fleet.resetFigures();
    for (size_t host = 0; host < settings.hosts; ++host) {
        if (selected(host))
            apply(fleet, loss, host);
    }
    fleet.runFor(10ms);
    fleet.change();
    fleet.runFor(1300ms);
    fleet.change();
    fleet.runFor(2200ms);
    fleet.change();
    fleet.runFor(4500ms);
    return fleet;
}
