#pragma once

#include "kumquatbeam/controllers/command.hpp"
#include "kumquatbeam/decisions/waiting_order.hpp"
#include "kumquatbeam/duties/duty_links.hpp"
#include "kumquatbeam/runtime/duty.hpp"
#include "kumquatbeam/sessions/operator_session.hpp"
#include "kumquatbeam/settings/router_settings.hpp"

#include <absl/status/status.h>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace kumquatbeam {

/// The duty that answers operators' queries, on a separate address, and handles signals.
class operators_duty final : public operator_session_delegate {
public:
    /// Why the process exits.
    enum class exit_reason {
        /// A shutdown finished.
        Finished,
        /// SIGINT arrived before the shutdown finished.
        Interrupted,
    };

    /// Callbacks, called on the duty's thread.
    struct callbacks {
        std::function<void(exit_reason)> onExit;
        /// Called on SIGHUP to reload the settings file. If unset, the signal is ignored.
        std::function<void()> onReload {};
    };

    operators_duty(const router_settings&, duty_links&, callbacks);

    absl::Status listen();
    void start();
    void stop() { m_duty.stop(); }

    duty<operator_command>& inbox() { return m_duty; }

private:
    void handle(const std::shared_ptr<operator_session>&, boost::beast::http::verb, const std::string& target) override;
    void onEnded(operator_session&) override;

    /// Target of a query and the format of its answer.
    struct query_format {
        std::string_view target;
        std::string_view contentType;
        std::string (*encode)(const status_report&);
    };

    struct pending_query {
        std::shared_ptr<operator_session> session;
        const query_format* format = nullptr;
    };

    static const query_format* formatFor(std::string_view target);

    void answer(status_reply);
    void accept();
    void startSession(boost::asio::ip::tcp::socket);
    void reportDrop();
    void awaitSignal();
    void handleSignal(int number);
    void endProcess(exit_reason);
    void handle(operator_command);

    const router_settings& m_settings;
    duty_links& m_links;
    callbacks m_callbacks;
    /// Open connections, the oldest first. Declared before what keeps sessions alive, since their ends are recorded
    /// here.
    waiting_order<operator_session*> m_sessions;
    connections_dropped m_dropped { .part = "operators", .cause = failure_kind::ConnectionsExhausted };
    time_point m_dropsReportedAt {};
    duty<operator_command> m_duty;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::signal_set m_signals;
    std::map<request_id, pending_query> m_queries;
    std::uint64_t m_lastQuery = 0;
    bool m_hasShutdownSignal = false;
    bool m_hasEnded = false;
};

} // namespace kumquatbeam
