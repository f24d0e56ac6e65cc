#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <thread>

namespace papayabend::transport {

/** \class PlatformClient
 * \brief Reads and watches one key of the configuration service on a thread of its own.
 */
class PlatformClient {
public:
    /** Called with each value that the service returns; the result is the version now in force. */
    using Changed = std::function<uint64_t(const std::string& text)>;

    /** \a address is the service's IP address and port. */
    PlatformClient(std::string address, std::string key, Changed changed);

private:
    void run(const std::stop_token&);

    std::string m_address;
    std::string m_key;
    Changed m_changed;
    std::jthread m_thread;
};

}
