#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace kumquatbeam {

/// Opens the acceptor on an IP address and port.
absl::Status listenOn(boost::asio::ip::tcp::acceptor&, const std::string& address, std::int64_t port);

} // namespace kumquatbeam
