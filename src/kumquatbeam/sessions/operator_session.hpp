#pragma once

#include "kumquatbeam/sessions/message_buffer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace kumquatbeam {

class operator_session;

/// Interface of the duty that an operator session runs on.
class operator_session_delegate {
public:
    virtual ~operator_session_delegate() = default;

    /// Answers the query, now or later, by a call of `respond`.
    virtual void handle(const std::shared_ptr<operator_session>&, boost::beast::http::verb, const std::string& target)
        = 0;

    /// Called when the session ends, from its destructor.
    virtual void onEnded(operator_session&) = 0;
};

/// A query by an operator; the connection is closed after the response.
class operator_session : public std::enable_shared_from_this<operator_session> {
public:
    /// Name in logs.
    static constexpr std::string_view partName = "operator-session";

    operator_session(boost::asio::ip::tcp::socket, operator_session_delegate&);
    ~operator_session();

    operator_session(const operator_session&) = delete;
    operator_session& operator=(const operator_session&) = delete;

    void start();
    void respond(boost::beast::http::status, const std::string& type, std::string body);

    /// Closes the connection, so that another operator can connect.
    void close() { m_stream.close(); }

    /// Closes the connection after an unexpected error in a handler.
    void endUnexpectedly();

private:
    void onRead(boost::beast::error_code);

    operator_session_delegate& m_delegate;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer { messageBufferLimit };
    boost::beast::http::request<boost::beast::http::empty_body> m_request;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
};

} // namespace kumquatbeam
