#include "kumquatbeam/duties/decisions_duty.hpp"

#include "kumquatbeam/duties/ring_sizes.hpp"
#include "kumquatbeam/filters/request_filter.hpp"
#include "kumquatbeam/types/event_handlers.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Delay before the deadlines are handled again after an unexpected error.
    constexpr std::chrono::milliseconds deadlineRetryDelay { 100 };

    /// The request that an event of another duty belongs to, if any.
    std::optional<request_id> requestOf(const decision_event& event)
    {
        std::optional<request_id> id;
        const event_handlers handlers {
            [&](const request_arrived& arrived) { id = arrived.id; },
            [&](const attempt_ended& ended) { id = ended.id; },
        };
        std::visit(handlers, event);
        return id;
    }

} // namespace

decisions_duty::decisions_duty(const router_settings& settings, duty_links& links, const engine_factory& makeEngine)
    : m_links(links)
    , m_duty("decisions", decisionsRing(settings))
    , m_timer(m_duty.context())
    , m_engine(makeEngine(*this))
{
}

void decisions_duty::start()
{
    boost::asio::post(m_duty.context(), [this] { armTimer(); });
    m_duty.start([this](const decision_event& event) { handle(event); });
}

void decisions_duty::send(caller_command command)
{
    m_links.callers->post(std::move(command));
}

void decisions_duty::send(endpoint_command command)
{
    m_links.endpoints->post(std::move(command));
}

void decisions_duty::send(peer_command command)
{
    // A slow peer misses messages: each is either repeated later or covered by a deadline. The set of peers is sent
    // only once, so it uses the reserved capacity.
    if (std::holds_alternative<send_to_peer>(command) || std::holds_alternative<send_heartbeat>(command))
        static_cast<void>(m_links.peers->tryPost(std::move(command)));
    else
        m_links.peers->post(std::move(command));
}

void decisions_duty::send(operator_command command)
{
    m_links.operators->post(std::move(command));
}

void decisions_duty::handle(const decision_event& event)
{
    if (!runContained("decisions", [&] { m_engine->handle(event, clock::now()); }))
        failRequestOf(event);
    armTimer();
}

void decisions_duty::failRequestOf(const decision_event& event)
{
    // The decision may have been carried out in part, so it is unknown whether the request runs.
    if (const auto id = requestOf(event))
        send(caller_command { reply_to_caller { *id, unknownOutcome({ failure_kind::UnexpectedError }) } });
}

void decisions_duty::onDeadline()
{
    m_armedFor = never;
    const auto now = clock::now();
    if (!runContained("decisions", [&] { m_engine->onDeadline(now); }))
        m_retryDeadlineAt = now + deadlineRetryDelay;
    armTimer();
}

void decisions_duty::armTimer()
{
    const auto next = std::max(m_engine->nextDeadline(), m_retryDeadlineAt);
    if (next == m_armedFor)
        return;
    m_armedFor = next;
    if (next == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            onDeadline();
    });
}

} // namespace kumquatbeam
