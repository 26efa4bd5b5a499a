#pragma once

#include "kumquatbeam/sessions/block_buffer.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string_view>

namespace kumquatbeam {

/// A message body that is read into blocks, so that it holds little more memory than the bytes that have arrived. A
/// string would reserve what the sender announces.
struct block_body {
    using value_type = block_buffer;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    /// Names and signatures are those of Beast's `BodyReader`.
    class reader {
    public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            error = {};
            std::size_t size = 0;
            for (const auto part : boost::beast::buffers_range_ref(buffers)) {
                m_body.append({ static_cast<const char*>(part.data()), part.size() });
                size += part.size();
            }
            return size;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace kumquatbeam
