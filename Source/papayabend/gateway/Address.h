#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace papayabend::gateway {

/** Parses an IPv4 address and port other than 0, for example "10.0.0.1:80"; returns nothing if it is not valid. */
std::optional<boost::asio::ip::tcp::endpoint> tcpEndpoint(std::string_view address);
/** Same as tcpEndpoint(), for UDP. */
std::optional<boost::asio::ip::udp::endpoint> udpEndpoint(std::string_view address);

}
