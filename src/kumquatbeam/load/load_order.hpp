#pragma once

#include "kumquatbeam/load/load_call.hpp"
#include "kumquatbeam/load/load_mix.hpp"
#include "kumquatbeam/load/load_tally.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquatbeam {

/// The routers of a run, and the indices of those that a stream calls.
struct router_choices {
    const std::vector<boost::asio::ip::tcp::endpoint>& all;
    const std::vector<std::size_t>& indices;
};

/// One order of a load run: requests a ticket, sends the order with the ticket, and retries with the same ticket
/// through randomly chosen routers.
class load_order : public std::enable_shared_from_this<load_order> {
public:
    using completion = std::function<void(const load_order&)>;

    load_order(
        boost::asio::io_context&, std::mt19937_64&, const load_stream&, router_choices, std::string id, completion);

    void start() { requestTicket(); }

    const load_order_result& result() const { return m_result; }

    /// The order as a line of text: id, outcome, and each attempt as ROUTER:OUTCOME:BEGAN:ENDED, with times in
    /// milliseconds of Unix time. A `!` after the outcome marks contradictory replies.
    std::string toLine() const;

private:
    struct attempt {
        std::size_t router = 0;
        std::string kind;
        std::chrono::system_clock::time_point startedAt;
        std::chrono::system_clock::time_point endedAt;
    };

    void requestTicket();
    void handleTicketReply(const load_outcome&);
    void sendOrder();
    void handleOrderReply(std::size_t router, std::chrono::system_clock::time_point startedAt, const load_outcome&);
    void mergeOutcome(const load_outcome&);
    bool needsAnotherAttempt(const load_outcome&);
    void retry(void (load_order::*step)());
    std::size_t chooseRouter();
    bool drawPercent(std::int64_t percent);

    boost::asio::io_context& m_context;
    std::mt19937_64& m_random;
    const load_stream& m_streamSettings;
    router_choices m_routers;
    std::string m_id;
    completion m_completion;
    deadline_timer m_retryTimer;
    std::string m_ticket;
    std::int64_t m_ticketRequests = 0;
    std::vector<attempt> m_attempts;
    load_order_result m_result;
};

} // namespace kumquatbeam
