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
 * that arrive, and its memory never beyond the stated length.
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

        void init(const boost::optional<uint64_t>& length, boost::system::error_code& ec)
        {
            ec = {};
            m_length = length;
        }

        template <class Buffers> size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            size_t n = 0;
            for (const auto& it : boost::beast::buffers_range_ref(buffers)) {
                growFor(it.size());
                m_body.append(static_cast<const char*>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        /** Makes room for \a n more bytes if append() would take more memory than the stated length: it doubles the
         * capacity, and so does reserve() of a text that is not empty. */
        void growFor(size_t n)
        {
            auto needed = m_body.size() + n;
            if (!m_length || needed > *m_length || needed <= m_body.capacity() || 2 * m_body.capacity() <= *m_length)
                return;
            value_type larger;
            larger.reserve(*m_length);
            larger += m_body;
            m_body.swap(larger);
        }

        value_type& m_body;
        boost::optional<uint64_t> m_length;
    };
};

// NOLINTEND(readability-identifier-naming)

}
