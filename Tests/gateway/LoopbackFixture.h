#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <vector>

/** Returns an address whose port was free a moment ago. */
inline std::string freeAddress()
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(
        io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/** Sends pieces of an answer one after the other, with a pause before each. */
struct PieceSender {
    explicit PieceSender(boost::asio::io_context& io)
        : timer(io)
    {
    }

    void send(boost::asio::ip::tcp::socket& socket, std::vector<std::string> pieces, std::chrono::milliseconds pause)
    {
        if (pieces.empty())
            return;
        timer.expires_after(pause);
        timer.async_wait([this, &socket, pieces = std::move(pieces), pause](const boost::system::error_code&) mutable {
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(pieces.front()), ec);
            pieces.erase(pieces.begin());
            send(socket, std::move(pieces), pause);
        });
    }

    boost::asio::steady_timer timer;
};
