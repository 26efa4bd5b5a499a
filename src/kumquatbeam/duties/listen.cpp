#include "kumquatbeam/duties/listen.hpp"

#include "kumquatbeam/types/failure.hpp"

namespace kumquatbeam {

using boost::asio::ip::tcp;

absl::Status listenOn(tcp::acceptor& acceptor, const std::string& address, std::int64_t port, byte_count receiveBuffer)
{
    boost::system::error_code error;
    const auto ipAddress = boost::asio::ip::make_address(address, error);
    if (error)
        return toStatus({ failure_kind::MalformedValue, "address", address, "an IP address" });
    const tcp::endpoint local(ipAddress, static_cast<std::uint16_t>(port));
    acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    // Accepted connections inherit the size; some callers may have sent more before it could be set for each of them.
    boost::system::error_code ignored;
    if (!error && receiveBuffer.value > 0)
        acceptor.set_option(
            boost::asio::socket_base::receive_buffer_size(static_cast<int>(receiveBuffer.value)), ignored);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return toStatus({ failure_kind::AddressInUse, address + ":" + std::to_string(port), error.message() });
    return absl::OkStatus();
}

} // namespace kumquatbeam
