#include "kumquatbeam/sessions/operator_client.hpp"

#include "kumquatbeam/sessions/message_buffer.hpp"
#include "kumquatbeam/types/failure.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>

namespace kumquatbeam {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::chrono::seconds pageTimeout { 5 };
    constexpr std::uint64_t pageLimit = 64 * 1024 * 1024;
    constexpr unsigned http11 = 11;

    /// A query with its own I/O context. It uses asynchronous operations, since the stream's timeout applies only to
    /// them.
    class page_query {
    public:
        page_query(const boost::asio::ip::tcp::endpoint& router, const std::string& target)
            : m_stream(m_context)
            , m_request(http::verb::get, target, http11)
        {
            m_request.set(http::field::host, router.address().to_string());
            m_parser.body_limit(pageLimit);
            m_stream.expires_after(pageTimeout);
            m_stream.async_connect(router, [this](beast::error_code error) { onConnected(error); });
        }

        beast::error_code run()
        {
            m_context.run();
            return m_result;
        }

        http::response<http::string_body> takeResponse() { return m_parser.release(); }

    private:
        void onConnected(beast::error_code error)
        {
            m_result = error;
            if (!error)
                http::async_write(
                    m_stream, m_request, [this](beast::error_code failed, std::size_t) { onSent(failed); });
        }

        void onSent(beast::error_code error)
        {
            m_result = error;
            if (!error)
                http::async_read(
                    m_stream, m_buffer, m_parser, [this](beast::error_code failed, std::size_t) { m_result = failed; });
        }

        boost::asio::io_context m_context;
        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer { messageBufferLimit };
        http::request<http::empty_body> m_request;
        http::response_parser<http::string_body> m_parser;
        beast::error_code m_result;
    };

} // namespace

absl::StatusOr<std::string> fetchOperatorPage(const boost::asio::ip::tcp::endpoint& router, const std::string& target)
{
    page_query query(router, target);
    if (const auto error = query.run())
        return toStatus({ failure_kind::OwnerUnreachable, router.address().to_string(), error.message() });
    auto response = query.takeResponse();
    if (response.result() != http::status::ok)
        return toStatus({ failure_kind::NotReady, target, std::to_string(response.result_int()), "200" });
    return std::move(response.body());
}

} // namespace kumquatbeam
