#include "papayabend/gateway/Address.h"

#include "papayabend/gateway/HttpMessage.h"

#include <limits>

namespace papayabend::gateway {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> tcpEndpoint(std::string_view address)
{
    auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code ec;
    auto ip = asio::ip::make_address_v4(std::string(address.substr(0, colon)), ec);
    auto port = parseNumber(address.substr(colon + 1));
    if (ec || !port || *port == 0 || *port > std::numeric_limits<uint16_t>::max())
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, static_cast<uint16_t>(*port));
}

std::optional<asio::ip::udp::endpoint> udpEndpoint(std::string_view address)
{
    auto endpoint = tcpEndpoint(address);
    if (!endpoint)
        return std::nullopt;
    return asio::ip::udp::endpoint(endpoint->address(), endpoint->port());
}

}
