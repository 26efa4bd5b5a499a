#include "kumquatbeam/duties/decisions_duty.hpp"

#include "kumquatbeam/duties/ring_sizes.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace kumquatbeam {

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
    m_engine->handle(event, clock::now());
    armTimer();
}

void decisions_duty::armTimer()
{
    const auto next = m_engine->nextDeadline();
    if (next == m_armedFor)
        return;
    m_armedFor = next;
    if (next == never) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_armedFor = never;
        m_engine->onDeadline(clock::now());
        armTimer();
    });
}

} // namespace kumquatbeam
