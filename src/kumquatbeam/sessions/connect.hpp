#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquatbeam {

/// Opens a socket for a connection to an IP address and port, bound to `source` unless that is empty. Returns the
/// remote endpoint, or nothing when an address is malformed or cannot be bound.
std::optional<boost::asio::ip::tcp::endpoint> openClientSocket(
    boost::asio::ip::tcp::socket&, const std::string& source, const std::string& address, std::int64_t port);

/// Sets the socket options of connections that carry calls: TCP_NODELAY, keepalive probes, and a limit on the time for
/// which sent bytes may stay unacknowledged.
void setConnectionOptions(boost::asio::ip::tcp::socket&, std::chrono::milliseconds unacknowledgedTimeout);

/// Whether the remote end has sent unsolicited bytes or closed the connection.
bool hasUnexpectedInput(boost::asio::ip::tcp::socket&);

} // namespace kumquatbeam
