#include "kumquatbeam/sessions/load_probe.hpp"

#include "kumquatbeam/codec/load_report.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/sessions/connect.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::milliseconds probePeriod { 1000 };
    constexpr std::chrono::milliseconds probeTimeout { 800 };
    constexpr unsigned http11 = 11;

    /// Largest load report, in bytes.
    constexpr std::uint64_t reportLimit = 16 * 1024;

} // namespace

load_probe::load_probe(
    asio::io_context& context, std::string sourceAddress, endpoint_address endpoint, observer onObserved)
    : m_context(context)
    , m_sourceAddress(std::move(sourceAddress))
    , m_endpoint(std::move(endpoint))
    , m_observer(std::move(onObserved))
    , m_timer(context)
    , m_request(http::verb::get, "/load", http11)
{
    m_request.set(http::field::host, m_endpoint.address);
    m_request.keep_alive(false);
}

void load_probe::start()
{
    m_timer.expires_after(probePeriod);
    m_timer.async_wait(contained(shared_from_this(), [](load_probe& self, beast::error_code error) {
        if (!error && !self.m_isStopped)
            self.connect();
    }));
}

void load_probe::endUnexpectedly()
{
    report(std::nullopt);
}

template <typename Step> auto load_probe::handlerOf(Step step)
{
    return contained(
        shared_from_this(), [step](load_probe& self, beast::error_code error, auto...) { (self.*step)(error); });
}

void load_probe::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    if (m_stream)
        m_stream->close();
}

void load_probe::connect()
{
    m_buffer.clear();
    m_parser.emplace();
    m_parser->body_limit(reportLimit);
    m_stream.emplace(m_context);
    const auto remote = openClientSocket(m_stream->socket(), m_sourceAddress, m_endpoint.address, m_endpoint.port);
    if (!remote) {
        report(std::nullopt);
        return;
    }
    m_stream->expires_after(probeTimeout);
    m_stream->async_connect(*remote, handlerOf(&load_probe::send));
}

void load_probe::send(beast::error_code error)
{
    if (error) {
        report(std::nullopt);
        return;
    }
    http::async_write(*m_stream, m_request, handlerOf(&load_probe::receive));
}

void load_probe::receive(beast::error_code error)
{
    if (error) {
        report(std::nullopt);
        return;
    }
    http::async_read(*m_stream, m_buffer, *m_parser, handlerOf(&load_probe::handleResponse));
}

void load_probe::handleResponse(beast::error_code error)
{
    if (error || m_parser->get().result() != http::status::ok) {
        report(std::nullopt);
        return;
    }
    report(parseLoadReport(m_endpoint.endpoint, m_parser->get().body()));
}

void load_probe::report(std::optional<endpoint_load> load)
{
    m_stream.reset();
    if (m_isStopped)
        return;
    m_observer({ m_endpoint.endpoint, std::move(load), m_endpoint.address, m_endpoint.port });
    start();
}

} // namespace kumquatbeam
