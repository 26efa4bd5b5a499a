#pragma once

#include "kumquatbeam/load/load_mix.hpp"
#include "kumquatbeam/load/load_tally.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kumquatbeam {

/// The request of one call and the expected answer.
struct load_call_spec {
    std::string path;
    std::string body;
    std::string expected;
    /// Ticket of the order, as text.
    std::string ticket {};
    /// Time after which the caller disconnects without waiting for the reply; zero for never.
    std::chrono::milliseconds abandonAfter { 0 };
};

/// A call for a streamed answer with the given number of tokens.
load_call_spec modelCallSpec(const load_stream&, const std::string& callId, std::int64_t tokens);

/// A call that places an order.
load_call_spec orderCallSpec(const load_stream&, const std::string& callId);

/// A request for an order ticket.
load_call_spec ticketCallSpec(const load_stream&);

/// One call of a load run.
class load_call : public std::enable_shared_from_this<load_call> {
public:
    using completion = std::function<void(const load_outcome&)>;

    load_call(boost::asio::io_context&, const load_stream&, load_call_spec, completion);

    void start(const boost::asio::ip::tcp::endpoint& router);

private:
    void send(boost::beast::error_code);
    void readHead(boost::beast::error_code);
    void readBody(boost::beast::error_code);
    void handleResponse(boost::beast::error_code);
    void fail(boost::beast::error_code);
    void complete(const load_outcome&);

    const load_stream& m_streamSettings;
    load_call_spec m_spec;
    completion m_completion;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    time_point m_startedAt;
    time_point m_firstByteAt;
};

} // namespace kumquatbeam
