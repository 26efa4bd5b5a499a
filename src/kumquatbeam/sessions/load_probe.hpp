#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/controllers/decision_event.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include "kumquatbeam/sessions/message_buffer.hpp"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace kumquatbeam {

/// Polls an endpoint for its load periodically until stopped.
class load_probe : public std::enable_shared_from_this<load_probe> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "load-probe";

    using observer = std::function<void(load_observed)>;

    load_probe(boost::asio::io_context&, std::string sourceAddress, endpoint_address, observer);

    void start();
    void stop();

    /// Counts the probe as failed after an unexpected error in a handler.
    void endUnexpectedly();

    /// Whether the probe targets this address and port.
    bool probesAddress(const endpoint_address& other) const
    {
        return m_endpoint.address == other.address && m_endpoint.port == other.port;
    }

private:
    /// A completion handler that calls the member function.
    template <typename Step> auto handlerOf(Step);

    void connect();
    void send(boost::beast::error_code);
    void receive(boost::beast::error_code);
    void handleResponse(boost::beast::error_code);
    void report(std::optional<endpoint_load>);

    boost::asio::io_context& m_context;
    std::string m_sourceAddress;
    endpoint_address m_endpoint;
    observer m_observer;
    deadline_timer m_timer;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer { messageBufferLimit };
    boost::beast::http::request<boost::beast::http::empty_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    bool m_isStopped = false;
};

} // namespace kumquatbeam
