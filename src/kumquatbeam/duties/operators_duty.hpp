#pragma once

#include "kumquatbeam/controllers/command.hpp"
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

/// The duty of answering operators, on an address of its own, and of taking signals.
class operators_duty final : public operator_session_delegate {
public:
    /// How the process ends.
    enum class exit_reason {
        /// A shutdown has finished.
        Finished,
        /// A second signal came before the shutdown had finished.
        Interrupted,
    };

    /// What follows from signals, called on the duty's thread.
    struct callbacks {
        std::function<void(exit_reason)> onExit;
        /// SIGHUP has come: the settings file may have changed. Without it, the signal does nothing.
        std::function<void()> onReload {};
    };

    operators_duty(const router_settings&, duty_links&, callbacks);

    absl::Status listen();
    void start();
    void stop() { m_duty.stop(); }

    duty<operator_command>& inbox() { return m_duty; }

private:
    void handle(const std::shared_ptr<operator_session>&, boost::beast::http::verb, const std::string& target) override;

    /// How the answer to a query is written.
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
    void awaitSignal();
    void handleSignal(int number);
    void endProcess(exit_reason);
    void handle(operator_command);

    const router_settings& m_settings;
    duty_links& m_links;
    callbacks m_callbacks;
    duty<operator_command> m_duty;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::signal_set m_signals;
    std::map<request_id, pending_query> m_queries;
    std::uint64_t m_lastQuery = 0;
    bool m_hasShutdownSignal = false;
    bool m_hasEnded = false;
};

} // namespace kumquatbeam
