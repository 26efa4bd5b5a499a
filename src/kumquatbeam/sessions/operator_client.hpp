#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace kumquatbeam {

/// Fetches a page such as `/status` from a router's operator address. Blocks for at most a few seconds.
absl::StatusOr<std::string> fetchOperatorPage(const boost::asio::ip::tcp::endpoint& router, const std::string& target);

} // namespace kumquatbeam
