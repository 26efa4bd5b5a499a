#pragma once

#include "kumquatbeam/types/units.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace kumquatbeam {

/// Opens the acceptor on an IP address and port. `receiveBuffer` is the size of the kernel's receive buffer of each
/// accepted connection; zero lets the system choose.
absl::Status listenOn(
    boost::asio::ip::tcp::acceptor&, const std::string& address, std::int64_t port, byte_count receiveBuffer = {});

} // namespace kumquatbeam
