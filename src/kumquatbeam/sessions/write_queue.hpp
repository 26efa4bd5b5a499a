#pragma once

#include "kumquatbeam/types/units.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include <deque>
#include <string>
#include <utility>

namespace kumquatbeam {

/// Bytes to be written to a caller, and their framing.
struct outgoing_bytes {
    enum class framing {
        Plain,
        Chunk,
        LastChunk,
    };
    framing as = framing::Plain;
    std::string bytes {};
};

/// The bytes that wait to be written to one connection. The first of them are being written.
class write_queue {
public:
    /// Adds bytes. Returns whether they are the first, so that writing begins with `writeNext`.
    bool push(outgoing_bytes);

    /// Starts to write the first bytes. The queue keeps them until `pop`.
    template <typename Handler> void writeNext(boost::beast::tcp_stream&, Handler&&);

    /// Removes the first bytes and returns their framing.
    outgoing_bytes::framing pop();

    bool isEmpty() const { return m_items.empty(); }

    /// Memory that the queue holds.
    byte_count heldBytes() const { return m_held; }

private:
    std::deque<outgoing_bytes> m_items;
    byte_count m_held {};
};

template <typename Handler> void write_queue::writeNext(boost::beast::tcp_stream& stream, Handler&& whenWritten)
{
    const auto& item = m_items.front();
    const auto bytes = boost::asio::buffer(item.bytes);
    switch (item.as) {
    case outgoing_bytes::framing::Plain:
        boost::asio::async_write(stream, bytes, std::forward<Handler>(whenWritten));
        break;
    case outgoing_bytes::framing::Chunk:
        boost::asio::async_write(stream, boost::beast::http::make_chunk(bytes), std::forward<Handler>(whenWritten));
        break;
    case outgoing_bytes::framing::LastChunk:
        boost::asio::async_write(stream, boost::beast::http::make_chunk_last(), std::forward<Handler>(whenWritten));
        break;
    }
}

} // namespace kumquatbeam
