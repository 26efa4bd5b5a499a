#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/decisions/held_memory.hpp"
#include "kumquatbeam/decisions/waiting_order.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/arrival_monitor.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/caller_session.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace kumquatbeam {

/// The duty that accepts callers' connections and serves them.
class callers_duty final : public caller_session_delegate {
public:
    /// Runs on the traffic thread, which is shared with the endpoints duty.
    callers_duty(const router_settings&, const caller_dialect&, duty_thread& trafficThread, duty_links&);

    /// Listens on the callers' port, and on the load balancer's readiness port if that is separate.
    absl::Status listen();
    void start();

    duty<caller_command>& inbox() { return m_duty; }

private:
    std::optional<request_id> registerRequest(std::shared_ptr<caller_session>) override;
    void unregisterRequest(request_id) override;
    bool submit(request_id, call_request) override;
    void abandon(request_id) override;
    void acknowledgeChunk(request_id) override;
    void recordHeldBytes(caller_session&, byte_count fixed, byte_count droppable) override;
    bool canPassOn(byte_count held) override;
    void recordWaiting(caller_session&, bool isWaiting) override;
    void onConnectionClosed(caller_session&) override;
    bool isReady() const override { return m_isReady && !m_isDraining; }
    bool isDraining() const override { return m_isDraining; }
    bool isNearCallerLimit() const override;
    arrival_bounds arrival() override { return m_arrivals.arrival(); }
    const caller_dialect& dialect() const override { return m_dialect; }
    const caller_limits& limits() const override { return m_limits; }

    void accept(boost::asio::ip::tcp::acceptor&);
    bool canAcceptCaller();
    void resumeAccepting();
    bool closeLongestWaiting();
    void setLimits(const caller_limits&);
    void reportDrop(failure_kind);
    void acceptQueued(boost::asio::ip::tcp::acceptor&);
    void startSession(boost::asio::ip::tcp::socket);
    void stopAccepting();
    void endRequests(const call_reply&);
    void finish();
    void reportWhenFinished();
    void handle(caller_command);

    const router_settings& m_settings;
    const caller_dialect& m_dialect;
    duty_links& m_links;
    duty<caller_command> m_duty;
    arrival_monitor m_arrivals;
    caller_limits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::acceptor m_readinessAcceptor;
    std::unordered_map<request_id, std::shared_ptr<caller_session>> m_inProgress;
    /// All open connections, by address of the session.
    std::unordered_map<caller_session*, std::weak_ptr<caller_session>> m_sessions;
    /// Memory of requests, incomplete or in progress, and of replies that callers have not read.
    held_memory<caller_session*> m_memory;
    waiting_order<caller_session*> m_waiting;
    std::map<failure_kind, connections_dropped> m_unreportedDrops;
    time_point m_dropsReportedAt {};
    std::uint64_t m_lastRequest = 0;
    /// Whether accepting is paused because the caller limit is reached.
    bool m_isAcceptPaused = false;
    bool m_isReady = false;
    bool m_isDraining = false;
    bool m_isFinishing = false;
    bool m_hasReported = false;
};

} // namespace kumquatbeam
