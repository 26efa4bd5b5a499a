#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace kumquatbeam {

/// Asks a router's operator address for a page such as `/status`, and waits for the answer at most a few seconds.
absl::StatusOr<std::string> fetchOperatorPage(const boost::asio::ip::tcp::endpoint& router, const std::string& target);

} // namespace kumquatbeam
