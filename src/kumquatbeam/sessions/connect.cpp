#include "kumquatbeam/sessions/connect.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace kumquatbeam {

namespace asio = boost::asio;

using boost::asio::ip::tcp;

namespace {

    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using keepalive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keepalive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keepalive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

    /// @{ TCP keepalive: an unresponsive remote end of an idle connection is detected after three seconds.
    constexpr int keepaliveIdleSeconds = 1;
    constexpr int keepaliveIntervalSeconds = 1;
    constexpr int keepaliveProbeCount = 2;
    /// @}

} // namespace

std::optional<tcp::endpoint> openClientSocket(
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

void setConnectionOptions(tcp::socket& socket, std::chrono::milliseconds unacknowledgedTimeout)
{
    // Errors are ignored: without one of these options, the deadline of each attempt still applies.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(user_timeout(static_cast<int>(unacknowledgedTimeout.count())), ignored);
    socket.set_option(keepalive_idle(keepaliveIdleSeconds), ignored);
    socket.set_option(keepalive_interval(keepaliveIntervalSeconds), ignored);
    socket.set_option(keepalive_count(keepaliveProbeCount), ignored);
}

bool hasUnexpectedInput(tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace kumquatbeam
