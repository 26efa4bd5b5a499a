#include "kumquatbeam/duties/router_process.hpp"

#include "kumquatbeam/controllers/decision_core.hpp"

#include <memory>
#include <random>

namespace kumquatbeam {

router_process::router_process(const router_settings& settings, incarnation_id incarnation, decision_log& log)
    : m_trafficThread("traffic")
    , m_decisions(settings, m_links,
          [&](command_sink& commands) { return std::make_unique<decision_core>(settings, incarnation, commands, log); })
    , m_callers(settings, m_callerDialect, m_trafficThread, m_links)
    , m_endpoints(settings, incarnation, m_endpointDialect, m_trafficThread, m_links)
    , m_peers(settings, incarnation, m_links)
    , m_operators(settings, m_links,
          { .onExit = [this](operators_duty::exit_reason reason) { m_exitReason.set_value(reason); } })
    , m_platform(settings, m_links)
{
    m_links = { &m_decisions.inbox(), &m_callers.inbox(), &m_endpoints.inbox(), &m_peers.inbox(), &m_operators.inbox(),
        &m_controlTraffic, &m_callerResources };
}

absl::Status router_process::listen()
{
    for (auto status : { m_callers.listen(), m_peers.listen(), m_operators.listen() }) {
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

operators_duty::exit_reason router_process::run()
{
    m_decisions.start();
    m_endpoints.start();
    m_callers.start();
    m_peers.start();
    m_operators.start();
    m_trafficThread.start();
    m_platform.start();
    const auto reason = m_exitReason.get_future().get();
    m_platform.stop();
    m_trafficThread.stop();
    m_peers.stop();
    m_operators.stop();
    m_decisions.stop();
    return reason;
}

incarnation_id drawIncarnation()
{
    std::random_device device;
    const auto high = static_cast<std::uint64_t>(device());
    constexpr unsigned halfWidth = 32;
    return { (high << halfWidth) | device() };
}

} // namespace kumquatbeam
