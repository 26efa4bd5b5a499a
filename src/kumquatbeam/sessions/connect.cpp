#include "kumquatbeam/sessions/connect.hpp"

namespace kumquatbeam {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> openTowards(
    tcp::socket& socket, const std::string& source, const std::string& address, std::int64_t port)
{
    boost::system::error_code error;
    const tcp::endpoint remote(boost::asio::ip::make_address(address, error), static_cast<std::uint16_t>(port));
    if (!error)
        socket.open(remote.protocol(), error);
    if (!error && !source.empty()) {
        const auto local = boost::asio::ip::make_address(source, error);
        if (!error)
            socket.bind({ local, 0 }, error);
    }
    if (error)
        return std::nullopt;
    return remote;
}

} // namespace kumquatbeam
