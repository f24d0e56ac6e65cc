#include "papayabend/gateway/Gateway.h"

#include "papayabend/gateway/GatewayHost.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <iostream>
#include <malloc.h>
#include <random>

namespace papayabend::gateway {

namespace {

    constexpr int exitCannotListen = 1;
    // Larger buffers are mapped, and so returned to the system when they are freed. By default glibc raises the bound
    // to the largest buffer that was freed, and the heap then keeps the gaps that large messages leave.
    constexpr int mappedBytes = 128 * 1024;
    // Free memory at the end of the heap that is kept.
    constexpr int keptHeapBytes = 1024 * 1024;

}

int run(const GatewaySettings& settings, const std::string& file, const PlatformAdapter& adapter)
{
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mappedBytes);
    mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
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
