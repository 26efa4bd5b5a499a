#include "kumquatbeam/sessions/operator_session.hpp"

#include "kumquatbeam/runtime/containment.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>

namespace kumquatbeam {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds queryTimeout { 10 };

} // namespace

operator_session::operator_session(boost::asio::ip::tcp::socket socket, operator_session_delegate& delegate)
    : m_delegate(delegate)
    , m_stream(std::move(socket))
{
}

operator_session::~operator_session()
{
    m_delegate.onEnded(*this);
}

void operator_session::start()
{
    m_stream.expires_after(queryTimeout);
    http::async_read(m_stream, m_buffer, m_request,
        contained(shared_from_this(),
            [](operator_session& self, beast::error_code error, std::size_t) { self.onRead(error); }));
}

void operator_session::endUnexpectedly()
{
    m_stream.close();
}

void operator_session::onRead(beast::error_code error)
{
    if (!error)
        m_delegate.handle(shared_from_this(), m_request.method(), std::string(m_request.target()));
}

void operator_session::respond(http::status status, const std::string& type, std::string body)
{
    m_response = { status, m_request.version() };
    m_response.set(http::field::content_type, type);
    m_response.body() = std::move(body);
    m_response.keep_alive(false);
    m_response.prepare_payload();
    // An operator that does not read the response would hold it without end.
    m_stream.expires_after(queryTimeout);
    http::async_write(m_stream, m_response,
        contained(
            shared_from_this(), [](operator_session& self, beast::error_code, std::size_t) { self.m_stream.close(); }));
}

} // namespace kumquatbeam
