#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/types/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <utility>

namespace kumquatbeam {

/// A connection to one life of an endpoint, which may serve one call after the other.
struct endpoint_connection {
    endpoint_connection(boost::asio::io_context& context, endpoint_address endpoint)
        : to(std::move(endpoint))
        , socket(context)
    {
    }

    endpoint_address to;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    /// When the last answer ended; unset while a call is in progress.
    time_point idleSince = never;
    /// When the connection has to be given up while it is idle.
    time_point expiresAt = never;
};

} // namespace kumquatbeam
