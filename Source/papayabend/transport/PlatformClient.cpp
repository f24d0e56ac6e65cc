#include "papayabend/transport/PlatformClient.h"

#include <chrono>
#include <httplib.h>

namespace papayabend::transport {

namespace {

    constexpr std::chrono::milliseconds watchTime { 10'000 };
    constexpr std::chrono::milliseconds retryDelay { 500 };

}

PlatformClient::PlatformClient(std::string address, std::string key, Changed changed)
    : m_address(std::move(address))
    , m_key(std::move(key))
    , m_changed(std::move(changed))
    , m_thread([this](const std::stop_token& stop) { run(stop); })
{
}

void PlatformClient::run(const std::stop_token& stop)
{
    httplib::Client client("http://" + m_address);
    client.set_read_timeout(watchTime + std::chrono::seconds(1));
    uint64_t version = 0;
    while (!stop.stop_requested()) {
        auto path = "/v1/values/" + m_key + "?after=" + std::to_string(version)
            + "&wait=" + std::to_string(watchTime.count());
        auto response = client.Get(path);
        if (response && response->status == 200)
            version = m_changed(response->body);
        else if (!response || response->status != 304)
            std::this_thread::sleep_for(retryDelay);
    }
}

}
