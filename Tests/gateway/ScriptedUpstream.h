#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/** Upstream on a loopback port whose behaviour a test sets. Records the header of each request that it receives. */
struct ScriptedUpstream {
    enum class Behaviour {
        Answer,
        Silent, /**< Reads requests and never answers. */
        ResetAfterRequest,
        End, /**< Ends with the first request that it receives: all connections are reset, and no further one is
                accepted. */
        EndInAnswer, /**< The same, after a part of an answer. */
        ResetAfterAccept, /**< Resets a connection a few milliseconds after it was accepted. */
        ResetOnAccept, /**< Resets a connection without reading, as an upstream at its limit. */
        Refuse, /**< Answers that it has not run the request. */
        /** Refuses the first request and answers the others; on the connection of the first it repeats the refusal when
         * the next request has arrived there. */
        RefuseOnceAndRepeat,
    };

    explicit ScriptedUpstream(boost::asio::io_context& context)
        : io(context)
        , acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , address("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()))
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket socket) {
            if (ec)
                return;
            ++acceptedConnections;
            auto accepted = std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
            if (behaviour == Behaviour::ResetOnAccept)
                react(accepted);
            else if (behaviour == Behaviour::ResetAfterAccept)
                reactAfterDelay(accepted, std::chrono::milliseconds(3));
            else
                serve(accepted);
            accept();
        });
    }

    void reactAfterDelay(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket, std::chrono::milliseconds pause)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(io, pause);
        timer->async_wait([this, socket, timer](const boost::system::error_code&) { react(socket); });
    }

    void serve(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket)
    {
        servedSockets.push_back(socket);
        auto buf = std::make_shared<std::string>();
        boost::asio::async_read_until(*socket, boost::asio::dynamic_buffer(*buf), "\r\n\r\n",
            [this, socket, buf](const boost::system::error_code& ec, size_t n) {
                if (ec)
                    return;
                requests.push_back(buf->substr(0, n));
                id = idOf(requests.back());
                if (delay.count() > 0)
                    reactAfterDelay(socket, delay);
                else
                    react(socket);
            });
    }

    /** Returns the header line with the id of a request; upstreams echo it. */
    static std::string idOf(const std::string& request)
    {
        auto at = request.find("X-Id: ");
        return at == std::string::npos ? "" : request.substr(at, request.find("\r\n", at) + 2 - at);
    }

    std::string refusal() const
    {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + id + fields + "Content-Length: 0\r\n\r\n";
    }

    void react(const std::shared_ptr<boost::asio::ip::tcp::socket>& socket)
    {
        boost::system::error_code ec;
        switch (behaviour) {
        case Behaviour::Silent:
            heldSockets.push_back(socket);
            return;
        case Behaviour::ResetAfterRequest:
        case Behaviour::ResetOnAccept:
        case Behaviour::ResetAfterAccept:
            socket->set_option(boost::asio::socket_base::linger(true, 0), ec);
            socket->close(ec);
            return;
        case Behaviour::EndInAnswer:
            boost::asio::write(
                *socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nw")), ec);
            [[fallthrough]];
        case Behaviour::End:
            end();
            return;
        case Behaviour::Answer:
            boost::asio::write(*socket,
                boost::asio::buffer("HTTP/1.1 200 OK\r\nX-Proof: " + signature + "\r\n" + id + fields
                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
                ec);
            break;
        case Behaviour::Refuse:
            boost::asio::write(*socket, boost::asio::buffer(refusal()), ec);
            break;
        case Behaviour::RefuseOnceAndRepeat:
            if (requests.size() == 1) {
                refusedSocket = socket;
                boost::asio::write(*socket, boost::asio::buffer(refusal()), ec);
                break;
            }
            if (socket == std::exchange(refusedSocket, nullptr))
                boost::asio::write(*socket, boost::asio::buffer(refusal()), ec);
            behaviour = Behaviour::Answer;
            return reactAfterDelay(socket, std::chrono::milliseconds(20));
        }
        serve(socket);
    }

    void end()
    {
        boost::system::error_code ec;
        acceptor.close(ec);
        for (const auto& it : servedSockets)
            it->close(ec);
    }

    boost::asio::io_context& io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string address;
    size_t acceptedConnections { 0 };
    Behaviour behaviour { Behaviour::Answer };
    std::chrono::milliseconds delay { 0 }; /**< From a request to the reaction to it. */
    std::string signature { "proof" };
    std::string body { "whole body" };
    std::string id; /**< Header line with the id of the newest request. */
    std::shared_ptr<boost::asio::ip::tcp::socket> refusedSocket;
    std::string fields; /**< Further header lines of its answers, each with CRLF. */
    std::vector<std::string> requests; /**< Headers of the received requests. */
    /** Connections on which a request was awaited, once for each request. */
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> servedSockets;
    /** Connections with a request that was not answered (Silent). */
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> heldSockets;
};
