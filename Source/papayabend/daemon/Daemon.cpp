#include "papayabend/daemon/Daemon.h"

#include "papayabend/engine/Engine.h"
#include "papayabend/transport/HttpEntry.h"
#include "papayabend/transport/HttpOperator.h"
#include "papayabend/transport/Metrics.h"
#include "papayabend/transport/PlatformClient.h"
#include "papayabend/transport/Shell.h"

#include <csignal>
#include <pthread.h>
#include <random>
#include <spdlog/spdlog.h>

namespace papayabend::daemon {

namespace {

    constexpr int exitCannotListen = 1;
    constexpr long pollNanoseconds = 100'000'000;

    /** Blocks the signals of a planned stop in this thread and in all threads started later. */
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

    void logServing(const transport::HttpOperator& operators, std::string& last)
    {
        auto reason = operators.notServingReason();
        if (reason == last)
            return;
        if (reason.empty())
            spdlog::info("host: serving");
        else
            spdlog::warn("host: not serving: {}", reason);
        last = reason;
    }

    void drain(const transport::Shell& shell, base::Duration limit)
    {
        auto end = base::BootClock::now() + limit;
        while (shell.openRequests() > 0 && base::BootClock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (auto open = shell.openRequests())
            spdlog::warn("host: stopping with {} requests in flight", open);
    }

}

int run(const settings::Settings& settings)
{
    auto signals = blockStopSignals();
    engine::Engine engine(std::random_device {}());
    transport::Metrics metrics;
    transport::Shell shell(engine, settings, metrics);
    transport::HttpEntry entry(engine, shell, metrics, settings.entry);
    transport::HttpOperator operators(engine, shell, metrics, entry, settings);
    if (!operators.start()) {
        spdlog::error("cannot listen on operator address {}", settings.host.operatorAddress);
        return exitCannotListen;
    }
    if (!entry.start(settings.host.callerAddress)) {
        spdlog::error("cannot listen on caller address {}", settings.host.callerAddress);
        return exitCannotListen;
    }
    spdlog::info("host: {} started, callers {}, operators {}", settings.host.name, settings.host.callerAddress,
        settings.host.operatorAddress);
    transport::PlatformClient platform(settings.platform.address, "catalog", [&](const std::string& text) {
        shell.perform(engine.valuePublished("catalog", text, base::BootClock::now()));
        return engine.catalog()->version;
    });
    std::string reason;
    while (!stopRequested(signals))
        logServing(operators, reason);
    spdlog::info("host: stop requested, draining {} requests", shell.openRequests());
    entry.stopAccepting();
    drain(shell, settings.stop.drain);
    entry.stop();
    operators.stop();
    spdlog::info("host: stopped");
    return 0;
}

}
