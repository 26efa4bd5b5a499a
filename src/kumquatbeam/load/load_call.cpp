#include "kumquatbeam/load/load_call.hpp"

#include "kumquatbeam/codec/http_names.hpp"

#include <absl/strings/str_cat.h>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace kumquatbeam {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    constexpr std::chrono::seconds graceAfterDeadline { 10 };
    constexpr unsigned http11 = 11;

} // namespace

load_call_spec modelCallSpec(const load_stream& stream, const std::string& callId, std::int64_t tokens)
{
    load_call_spec spec { absl::StrCat("/v1/call/", stream.pool.value, "/generate"),
        absl::StrCat("id=", callId, " tokens=", tokens, " ms=", stream.pace.count()), {} };
    for (std::int64_t index = 0; index < tokens; ++index)
        absl::StrAppend(&spec.expected, callId, ":", index, " ");
    absl::StrAppend(&spec.expected, "end ", callId, " ", tokens, "\n");
    return spec;
}

load_call_spec orderCallSpec(const load_stream& stream, const std::string& callId)
{
    return { absl::StrCat("/v1/call/", stream.pool.value, "/order"),
        absl::StrCat("order=", callId, " ms=", stream.pace.count()), absl::StrCat("order ", callId, " done\n") };
}

load_call_spec ticketCallSpec(const load_stream& stream)
{
    return { absl::StrCat("/v1/tickets/", stream.pool.value), {}, {} };
}

load_call::load_call(
    boost::asio::io_context& context, const load_stream& streamSettings, load_call_spec spec, completion whenComplete)
    : m_streamSettings(streamSettings)
    , m_spec(std::move(spec))
    , m_completion(std::move(whenComplete))
    , m_stream(context)
    , m_startedAt(clock::now())
{
}

void load_call::start(const boost::asio::ip::tcp::endpoint& router)
{
    if (m_spec.abandonAfter.count() > 0)
        m_stream.expires_after(m_spec.abandonAfter);
    else
        m_stream.expires_after(m_streamSettings.deadline + graceAfterDeadline);
    m_stream.async_connect(router, [self = shared_from_this()](beast::error_code error) { self->send(error); });
}

void load_call::send(beast::error_code error)
{
    if (error) {
        fail(error);
        return;
    }
    m_request = { http::verb::post, m_spec.path, http11 };
    m_request.set(http::field::host, "router");
    m_request.set(http::field::authorization, "Bearer " + m_streamSettings.credential);
    m_request.set(http::field::content_type, "text/plain");
    m_request.set(deadlineField, std::to_string(m_streamSettings.deadline.count()));
    m_request.set(urgencyField, m_streamSettings.urgencyName);
    if (!m_spec.ticket.empty())
        m_request.set(ticketField, m_spec.ticket);
    m_request.keep_alive(false);
    m_request.body() = m_spec.body;
    m_request.prepare_payload();
    http::async_write(m_stream, m_request,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->readHead(failed); });
}

void load_call::readHead(beast::error_code error)
{
    if (error) {
        fail(error);
        return;
    }
    m_parser.emplace();
    http::async_read_header(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->readBody(failed); });
}

void load_call::readBody(beast::error_code error)
{
    if (error) {
        fail(error);
        return;
    }
    m_firstByteAt = clock::now();
    http::async_read(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](beast::error_code failed, std::size_t) { self->handleResponse(failed); });
}

void load_call::handleResponse(beast::error_code error)
{
    const auto& response = m_parser->get();
    const auto kind = response[outcomeField];
    const auto ticket = response[ticketField];
    if (error == beast::error::timeout && m_spec.abandonAfter.count() > 0) {
        fail(error);
        return;
    }
    load_outcome outcome { .kind = std::string(kind.data(), kind.size()),
        .body = response.body(),
        .ticket = std::string(ticket.data(), ticket.size()) };
    // If the body is truncated, it is unknown whether the call ran.
    if (error)
        outcome.kind = "unknown";
    outcome.isBodyCorrect = response.body() == m_spec.expected;
    outcome.firstByte = std::chrono::duration_cast<std::chrono::microseconds>(m_firstByteAt - m_startedAt);
    outcome.total = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - m_startedAt);
    complete(outcome);
}

void load_call::fail(beast::error_code error)
{
    const bool wasAbandoned = error == beast::error::timeout && m_spec.abandonAfter.count() > 0;
    complete({ .kind = wasAbandoned ? "left" : "" });
}

void load_call::complete(const load_outcome& outcome)
{
    m_stream.close();
    std::exchange(m_completion, nullptr)(outcome);
}

} // namespace kumquatbeam
