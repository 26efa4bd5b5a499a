#pragma once

#include "kumquatbeam/load/load_call.hpp"
#include "kumquatbeam/load/load_mix.hpp"
#include "kumquatbeam/load/load_order.hpp"
#include "kumquatbeam/load/load_tally.hpp"

#include "kumquatbeam/runtime/deadline_timer.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <fstream>
#include <list>
#include <random>
#include <string>
#include <vector>

namespace kumquatbeam {

/// Target routers and duration of a load run, and the seed of its random choices.
struct load_plan {
    std::vector<boost::asio::ip::tcp::endpoint> routers;
    std::chrono::seconds duration { 10 };
    std::uint64_t seed = 1;
    /// File that receives one line for each order; empty for none.
    std::string ordersFile {};
};

/// Runs a mix against a fleet and tallies the replies.
class load_run {
public:
    load_run(load_plan, std::vector<load_stream>);

    /// Runs to the end, waits for the calls in flight, and returns one line with a JSON object for each stream.
    std::string run();

private:
    struct stream_state {
        load_stream settings;
        std::vector<std::size_t> routers;
        load_tally tally;
        deadline_timer nextArrival;
        time_point startsAt;
        time_point endsAt;
    };

    void startStream(stream_state&);
    void scheduleArrival(stream_state&);
    void call(stream_state&, bool isClosedLoop);
    void callModel(stream_state&, const std::string& id, bool isClosedLoop);
    void placeOrder(stream_state&, const std::string& id, bool isClosedLoop);
    void callNext(stream_state&, const load_outcome& last);

    load_plan m_plan;
    boost::asio::io_context m_context;
    std::mt19937_64 m_random;
    std::ofstream m_ordersFile;
    std::list<stream_state> m_streams;
    std::uint64_t m_calls = 0;
};

/// Parses `ADDRESS:PORT,ADDRESS:PORT`; returns an empty list if the text is malformed.
std::vector<boost::asio::ip::tcp::endpoint> parseTargets(const std::string& text);

} // namespace kumquatbeam
