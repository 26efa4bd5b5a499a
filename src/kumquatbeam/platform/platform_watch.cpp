#include "kumquatbeam/platform/platform_watch.hpp"

#include "kumquatbeam/codec/http_names.hpp"
#include "kumquatbeam/runtime/containment.hpp"
#include "kumquatbeam/sessions/connect.hpp"
#include "kumquatbeam/types/number_text.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <limits>
#include <utility>

namespace kumquatbeam {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::milliseconds longPollWait { 10000 };
    constexpr std::chrono::milliseconds longPollTimeout { 12000 };
    /// @{ Bounds of the random delay before a retry, so that the routers of a fleet do not retry all at once.
    constexpr std::chrono::milliseconds minRetryDelay { 1000 };
    constexpr std::chrono::milliseconds maxRetryDelay { 3000 };
    /// @}
    constexpr std::uint64_t textLimit = 1024 * 1024;
    constexpr unsigned http11 = 11;

} // namespace

platform_watch::platform_watch(
    asio::io_context& context, const router_settings& settings, std::string path, receiver onNewText)
    : m_context(context)
    , m_settings(settings)
    , m_path(std::move(path))
    , m_receiver(std::move(onNewText))
    , m_retryTimer(context)
    , m_random(std::random_device {}())
{
}

void platform_watch::start()
{
    poll();
}

void platform_watch::endUnexpectedly()
{
    retryLater();
}

template <typename Step> auto platform_watch::handlerOf(Step step)
{
    return contained(
        shared_from_this(), [step](platform_watch& self, beast::error_code error, auto...) { (self.*step)(error); });
}

void platform_watch::poll()
{
    m_stream.emplace(m_context);
    const auto remote = openClientSocket(
        m_stream->socket(), m_settings.sourceAddress, m_settings.platformAddress, m_settings.platformPort);
    if (!remote) {
        retryLater();
        return;
    }
    const auto target = m_path + "?newer-than=" + std::to_string(m_seenRevision.value)
        + "&wait-ms=" + std::to_string(longPollWait.count());
    m_request = { http::verb::get, target, http11 };
    m_request.set(http::field::host, m_settings.platformAddress);
    m_request.keep_alive(false);
    m_buffer.clear();
    m_parser.emplace();
    m_parser->body_limit(textLimit);
    m_stream->expires_after(longPollTimeout);
    m_stream->async_connect(*remote, handlerOf(&platform_watch::send));
}

void platform_watch::send(beast::error_code error)
{
    if (error) {
        retryLater();
        return;
    }
    http::async_write(*m_stream, m_request, handlerOf(&platform_watch::receive));
}

void platform_watch::receive(beast::error_code error)
{
    if (error) {
        retryLater();
        return;
    }
    http::async_read(*m_stream, m_buffer, *m_parser, handlerOf(&platform_watch::handleResponse));
}

void platform_watch::handleResponse(beast::error_code error)
{
    if (error) {
        retryLater();
        return;
    }
    auto response = m_parser->release();
    if (response.result() == http::status::not_modified) {
        poll();
        return;
    }
    const auto text = response[revisionField];
    const auto number = parseWholeNumber<std::uint64_t>(
        { text.data(), text.size() }, { m_seenRevision.value + 1, std::numeric_limits<std::uint64_t>::max() - 1 });
    const bool isNewer = response.result() == http::status::ok && number;
    if (!isNewer || !m_receiver({ *number }, std::move(response.body()))) {
        retryLater();
        return;
    }
    m_seenRevision = { *number };
    poll();
}

void platform_watch::retryLater()
{
    m_stream.reset();
    std::uniform_int_distribution<std::int64_t> pauses(minRetryDelay.count(), maxRetryDelay.count());
    m_retryTimer.expires_after(std::chrono::milliseconds(pauses(m_random)));
    m_retryTimer.async_wait(contained(shared_from_this(), [](platform_watch& self, beast::error_code error) {
        if (!error)
            self.poll();
    }));
}

} // namespace kumquatbeam
