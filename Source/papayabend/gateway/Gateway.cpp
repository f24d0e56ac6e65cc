#include "papayabend/gateway/Gateway.h"

#include "papayabend/gateway/GatewayHost.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <iostream>
#include <random>

namespace papayabend::gateway {

namespace {

    constexpr int exitCannotListen = 1;

}

int run(const GatewaySettings& settings, const std::string& file, const PlatformAdapter& adapter)
{
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io(1);
    std::random_device device;
    GatewayHost host(io, settings, file, adapter, (static_cast<uint64_t>(device()) << 32U) + device());
    base::LastReason reason;
    if (!host.start(reason)) {
        std::cerr << "papayabend-gateway: " << reason.text << '\n';
        return exitCannotListen;
    }
    // A handler that throws has ended; the others go on.
    while (!host.faults().contain("event loop", [&io] { io.run(); })) { }
    return 0;
}

}
