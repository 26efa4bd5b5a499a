#pragma once

#include "kumquatbeam/settings/router_settings.hpp"
#include "kumquatbeam/types/ids.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/sessions/message_buffer.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace kumquatbeam {

/// Watches a text that the platform publishes, by long polling: a request waits at the platform for a newer revision.
class platform_watch : public std::enable_shared_from_this<platform_watch> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "platform-watch";

    /// Receives a newer text; returns false if it could not be accepted and must be read again.
    using receiver = std::function<bool(revision, std::string)>;

    platform_watch(boost::asio::io_context&, const router_settings&, std::string path, receiver);

    void start();

    /// Reads again later after an unexpected error in a handler.
    void endUnexpectedly();

private:
    /// A completion handler that calls the member function.
    template <typename Step> auto handlerOf(Step);

    void poll();
    void send(boost::beast::error_code);
    void receive(boost::beast::error_code);
    void handleResponse(boost::beast::error_code);
    void retryLater();

    boost::asio::io_context& m_context;
    const router_settings& m_settings;
    std::string m_path;
    receiver m_receiver;
    deadline_timer m_retryTimer;
    std::minstd_rand m_random;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer { messageBufferLimit };
    boost::beast::http::request<boost::beast::http::empty_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    revision m_seenRevision;
};

} // namespace kumquatbeam
