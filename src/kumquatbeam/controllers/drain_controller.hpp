#pragma once

#include "kumquatbeam/controllers/controller.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

namespace kumquatbeam {

/// Owns the graceful shutdown. The router reports not ready immediately, refuses new requests after the load balancer
/// has had time to notice, and exits once no request is in progress and all replies and messages to peers are written.
/// At the drain limit, each request still in progress is answered with an unknown outcome, and the router exits.
///
/// Settings reloaded during a shutdown may bring its end forward, never put it off: the supervisor may have fixed the
/// time of SIGKILL when it sent SIGTERM.
class drain_controller final : public controller {
public:
    /// Time for writing the last replies after the drain limit; the process then ends even if one is unwritten.
    static constexpr std::chrono::milliseconds replyAllowance { 400 };

    /// `drainLimit` is the limit in force. It is read when a shutdown starts and when settings are reloaded, and must
    /// outlive the controller.
    drain_controller(const router_settings&, const std::chrono::milliseconds& drainLimit);

    std::string_view name() const override { return "drain"; }
    void handle(const decision_event&, decision_context&) override;
    time_point nextDeadline() const override;
    void onDeadline(decision_context&) override;
    void describe(status_report&) const override;

    bool isDraining() const { return m_refuseAt != never; }
    bool refusesRequests(time_point now) const { return now >= m_refuseAt; }

    /// When requests in progress are ended; `never` unless a shutdown has started.
    time_point endsRequestsAt() const { return m_endBy; }

private:
    void bringEndForward(decision_context&);
    void closeCallersWhenIdle(decision_context&);
    void finish(decision_context&);

    const router_settings& m_settings;
    const std::chrono::milliseconds& m_drainLimit;
    std::int64_t m_inProgress = 0;
    time_point m_refuseAt = never;
    time_point m_endBy = never;
    time_point m_exitBy = never;
    bool m_hasStoppedAccepting = false;
    bool m_hasEndedRequests = false;
    bool m_isClosingCallers = false;
    bool m_hasFinished = false;
};

} // namespace kumquatbeam
