#pragma once

#include <boost/asio.hpp>
#include <string>

/** Returns an address whose port was free a moment ago. */
inline std::string freeAddress()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(
        io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}
