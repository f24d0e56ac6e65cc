#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace papayabend::gateway {

// Boost.Beast prescribes the names of the members of a body type.
// NOLINTBEGIN(readability-identifier-naming)

/** \struct ReceivedBody
 * \brief Body type of Boost.Beast for messages of peers.
 *
 * Unlike http::string_body it reserves no memory for the length that the peer states: the body grows with the bytes
 * that arrive.
 */
struct ReceivedBody {
    using value_type = std::string;

    static uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<uint64_t>&, boost::system::error_code& ec) { ec = {}; }

        template <class Buffers> size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            size_t n = 0;
            for (const auto& it : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char*>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
};

// NOLINTEND(readability-identifier-naming)

}
