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

/// What one call asks for and what its whole answer is.
struct load_work {
    std::string target;
    std::string body;
    std::string expected;
};

/// The work of one call: `tokens` counts only for model streams.
load_work workFor(const load_stream&, const std::string& callId, std::int64_t tokens);

/// One call of a load run, as a caller makes it.
class load_call : public std::enable_shared_from_this<load_call> {
public:
    using completion = std::function<void(const load_outcome&)>;

    load_call(boost::asio::io_context&, const load_stream&, load_work, completion);

    void start(const boost::asio::ip::tcp::endpoint& router);

private:
    void send(boost::beast::error_code);
    void readHead(boost::beast::error_code);
    void readBody(boost::beast::error_code);
    void conclude(boost::beast::error_code);
    void complete(const load_outcome&);

    const load_stream& m_plan;
    load_work m_work;
    completion m_completion;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    time_point m_startedAt;
    time_point m_firstByteAt;
};

} // namespace kumquatbeam
