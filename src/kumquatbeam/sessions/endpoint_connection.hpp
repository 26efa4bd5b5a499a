#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/sessions/message_buffer.hpp"
#include "kumquatbeam/types/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <utility>

namespace kumquatbeam {

/// A connection to one incarnation of an endpoint; carries one call at a time. Pending operations use its socket and
/// buffer, so each of their handlers shares its ownership.
struct endpoint_connection {
    endpoint_connection(boost::asio::io_context& context, endpoint_address endpoint)
        : to(std::move(endpoint))
        , socket(context)
    {
    }

    endpoint_address to;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer { messageBufferLimit };
    /// Whether an earlier call was answered on the connection.
    bool hasCarriedCall = false;
    /// End of the last answer; `never` while a call is in progress.
    time_point idleSince = never;
    /// When the idle connection must be closed.
    time_point expiresAt = never;
};

} // namespace kumquatbeam
