#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace kumquatbeam {

/// Opens a socket for a connection to an IP number and port, bound to `source` unless that is empty. Returns the remote
/// end, or nothing when an address is malformed or cannot be bound.
std::optional<boost::asio::ip::tcp::endpoint> openClientSocket(
    boost::asio::ip::tcp::socket&, const std::string& source, const std::string& address, std::int64_t port);

/// Sets what a connection for calls needs: no delay of small writes, probes that show a silent partner, and an end when
/// sent bytes stay unacknowledged for longer than the limit.
void setConnectionOptions(boost::asio::ip::tcp::socket&, std::chrono::milliseconds unacknowledgedTimeout);

/// Whether the other side has sent bytes that nobody asked for, or has closed the connection.
bool hasUnexpectedInput(boost::asio::ip::tcp::socket&);

} // namespace kumquatbeam
