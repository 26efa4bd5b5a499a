#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/arrival_watch.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/caller_session.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <unordered_map>

namespace kumquatbeam {

/// The duty of accepting callers and speaking with them.
class callers_duty final : public caller_host {
public:
    callers_duty(const router_settings&, duty_links&);

    /// Listens on the callers' address.
    absl::Status listen();
    void start();
    void stop() { m_duty.stop(); }

    duty<caller_command>& inbox() { return m_duty; }

private:
    std::optional<request_id> open(std::shared_ptr<caller_session>) override;
    void close(request_id) override;
    bool submit(request_id, call_request) override;
    void abandon(request_id) override;
    void acknowledgePiece(request_id) override;
    void end(caller_session&) override;
    bool isReady() const override { return m_isReady && !m_isDraining; }
    bool isDraining() const override { return m_isDraining; }
    time_point earliestArrival() override { return m_arrivals.earliestArrival(); }
    std::uint64_t bodyLimit() const override { return static_cast<std::uint64_t>(m_settings.bodyLimit); }

    void accept();
    void begin(boost::asio::ip::tcp::socket);
    void stopAccepting();
    void finish();
    void reportWhenFinished();
    void handle(caller_command);

    const router_settings& m_settings;
    duty_links& m_links;
    duty<caller_command> m_duty;
    arrival_watch m_arrivals;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_map<request_id, std::shared_ptr<caller_session>> m_inProgress;
    /// Every open connection, by address.
    std::unordered_map<caller_session*, std::weak_ptr<caller_session>> m_sessions;
    std::uint64_t m_lastRequest = 0;
    bool m_isReady = false;
    bool m_isDraining = false;
    bool m_isFinishing = false;
    bool m_hasReported = false;
};

} // namespace kumquatbeam
