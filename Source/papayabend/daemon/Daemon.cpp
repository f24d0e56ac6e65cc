#include "papayabend/daemon/Daemon.h"

#include "papayabend/engine/Engine.h"
#include "papayabend/transport/CallerHttpApi.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/OperatorHttpApi.h"
#include "papayabend/transport/Shell.h"

#include <csignal>
#include <pthread.h>
#include <random>
#include <spdlog/spdlog.h>

namespace papayabend::daemon {

namespace {

    constexpr int exitCannotListen = 1;
    // The engine ends the hand-over itself; this limit ends a stop if peers do not answer.
    constexpr std::chrono::seconds handOverLimit { 30 };
    constexpr long pollNanoseconds = 100'000'000;

    membership::HostIdentity identityOf(const settings::Settings& settings)
    {
        const auto& host = settings.host;
        // Derived from the time of day, because it must be higher than that of the previous process, which stored no
        // state.
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        auto incarnation = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
        return { host.name, host.callerAddress, host.peerAddress, host.failureDomain, host.region,
            static_cast<uint64_t>(incarnation), settings.platform.seedPeers };
    }

    /** Blocks the stop signals SIGTERM and SIGINT in this thread and in all threads started later. */
    sigset_t blockStopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

    /** Returns whether a stop signal arrived within the poll time. */
    bool stopRequested(const sigset_t& signals)
    {
        timespec timeout { 0, pollNanoseconds };
        return sigtimedwait(&signals, nullptr, &timeout) > 0;
    }

    void finishStop(engine::Engine& engine, transport::Shell& shell, const settings::Settings& settings)
    {
        const auto& stop = settings.engine.stop;
        auto limit = stop.announcement + settings.engine.entry.timeToLive + stop.drain + handOverLimit;
        auto end = base::BootClock::now() + limit;
        while (engine.stage() != membership::Lifecycle::Stopped && base::BootClock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (auto open = shell.openRequests())
            spdlog::warn("host: stopping with {} requests in flight", open);
    }

}

int run(const settings::Settings& settings)
{
    auto signals = blockStopSignals();
    engine::Engine engine(std::random_device {}(), identityOf(settings), settings.engine);
    engine.configureRouting(settings.routing);
    transport::Metrics metrics;
    transport::Shell shell(engine, settings, metrics);
    transport::CallerHttpApi callerApi(engine, shell, metrics, settings.entry);
    transport::OperatorHttpApi operatorApi(engine, shell, metrics, callerApi, settings);
    auto cannotListen = [](const char* kind, const std::string& address) {
        spdlog::error("host: cannot listen on the {} address {}", kind, address);
        return exitCannotListen;
    };
    if (!operatorApi.start())
        return cannotListen("operator", settings.host.operatorAddress);
    if (!shell.start(settings.host.peerAddress))
        return cannotListen("peer", settings.host.peerAddress);
    if (!callerApi.start(settings.host.callerAddress))
        return cannotListen("caller", settings.host.callerAddress);
    spdlog::info("host: {} started, incarnation {}, callers {}, peers {}, operators {}", settings.host.name,
        engine.identity().incarnation, settings.host.callerAddress, settings.host.peerAddress,
        settings.host.operatorAddress);
    while (!stopRequested(signals)) { }
    spdlog::info("host: stop requested, {} requests in flight", shell.openRequests());
    shell.perform(engine.beginStop(base::BootClock::now()));
    finishStop(engine, shell, settings);
    callerApi.stop();
    operatorApi.stop();
    spdlog::info("host: stopped");
    return 0;
}

}
