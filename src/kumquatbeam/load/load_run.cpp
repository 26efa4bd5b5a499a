#include "kumquatbeam/load/load_run.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <memory>
#include <sstream>
#include <utility>

namespace kumquatbeam {

namespace {

    constexpr std::chrono::microseconds minute = std::chrono::minutes(1);

    /// Delay before a closed loop sends the next call after one without an answer, to avoid a retry storm.
    constexpr std::chrono::milliseconds refusalDelay { 200 };

    std::vector<std::size_t> routersOf(const load_stream& stream, std::size_t count)
    {
        std::vector<std::size_t> chosen;
        std::istringstream indices(stream.routers);
        for (std::size_t index = 0; indices >> index;) {
            if (index < count)
                chosen.push_back(index);
        }
        for (std::size_t index = 0; chosen.empty() && index < count; ++index) {
            for (std::size_t all = 0; all < count; ++all)
                chosen.push_back(all);
        }
        return chosen;
    }

} // namespace

load_run::load_run(load_plan plan, std::vector<load_stream> streams)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
{
    if (!m_plan.ordersFile.empty())
        m_ordersFile.open(m_plan.ordersFile);
    const auto now = clock::now();
    for (auto& stream : streams) {
        auto routers = routersOf(stream, m_plan.routers.size());
        const auto length
            = stream.endsAfter.count() > 0 ? stream.endsAfter : std::chrono::milliseconds(m_plan.duration);
        const auto startsAt = now + stream.startsAfter;
        m_streams.push_back(
            { std::move(stream), std::move(routers), {}, deadline_timer(m_context), startsAt, now + length });
    }
}

std::string load_run::run()
{
    for (auto& stream : m_streams) {
        stream.nextArrival.expires_at(stream.startsAt);
        stream.nextArrival.async_wait([this, &stream](const boost::system::error_code& error) {
            if (!error)
                startStream(stream);
        });
    }
    m_context.run();
    std::string report;
    for (const auto& stream : m_streams)
        absl::StrAppend(&report, stream.tally.toJson(stream.settings.name, stream.settings.account.value), "\n");
    return report;
}

void load_run::startStream(stream_state& stream)
{
    for (std::int64_t open = 0; open < stream.settings.outstanding; ++open)
        call(stream, true);
    if (stream.settings.perMinute > 0)
        scheduleArrival(stream);
}

void load_run::scheduleArrival(stream_state& stream)
{
    std::exponential_distribution<double> interval(
        static_cast<double>(stream.settings.perMinute) / static_cast<double>(minute.count()));
    const auto delay = std::chrono::microseconds(static_cast<std::int64_t>(interval(m_random)));
    stream.nextArrival.expires_at(stream.nextArrival.expiry() + delay);
    if (stream.nextArrival.expiry() >= stream.endsAt)
        return;
    stream.nextArrival.async_wait([this, &stream](const boost::system::error_code& error) {
        if (error)
            return;
        call(stream, false);
        scheduleArrival(stream);
    });
}

void load_run::call(stream_state& stream, bool isClosedLoop)
{
    if (clock::now() >= stream.endsAt)
        return;
    const auto id = absl::StrCat(stream.settings.name, "-", m_plan.seed, "-", ++m_calls);
    stream.tally.countSent();
    if (stream.settings.kind == "booking")
        placeOrder(stream, id, isClosedLoop);
    else
        callModel(stream, id, isClosedLoop);
}

void load_run::callModel(stream_state& stream, const std::string& id, bool isClosedLoop)
{
    std::uniform_int_distribution<std::int64_t> tokens(
        stream.settings.tokensLow, std::max(stream.settings.tokensLow, stream.settings.tokensHigh));
    std::uniform_int_distribution<std::size_t> index(0, stream.routers.size() - 1);
    const auto& router = m_plan.routers[stream.routers[index(m_random)]];
    const auto whenComplete = [this, &stream, isClosedLoop](const load_outcome& outcome) {
        stream.tally.add(outcome);
        if (isClosedLoop)
            callNext(stream, outcome);
    };
    std::make_shared<load_call>(
        m_context, stream.settings, modelCallSpec(stream.settings, id, tokens(m_random)), whenComplete)
        ->start(router);
}

void load_run::placeOrder(stream_state& stream, const std::string& id, bool isClosedLoop)
{
    const auto whenComplete = [this, &stream, isClosedLoop](const load_order& order) {
        stream.tally.add(order.result());
        if (m_ordersFile.is_open())
            m_ordersFile << order.toLine() << std::endl;
        if (isClosedLoop)
            callNext(stream, order.result().outcome);
    };
    const router_choices routers { m_plan.routers, stream.routers };
    std::make_shared<load_order>(m_context, m_random, stream.settings, routers, id, whenComplete)->start();
}

void load_run::callNext(stream_state& stream, const load_outcome& last)
{
    if (last.kind == "answered") {
        call(stream, true);
        return;
    }
    const auto delay = std::make_shared<deadline_timer>(m_context, refusalDelay);
    delay->async_wait([this, &stream, delay](const boost::system::error_code&) { call(stream, true); });
}

std::vector<boost::asio::ip::tcp::endpoint> parseTargets(const std::string& text)
{
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    const std::vector<std::string> words = absl::StrSplit(text, ',');
    for (const auto& target : words) {
        const auto colon = target.rfind(':');
        boost::system::error_code error;
        int port = 0;
        if (colon == std::string::npos || !absl::SimpleAtoi(target.substr(colon + 1), &port))
            return {};
        const auto address = boost::asio::ip::make_address(target.substr(0, colon), error);
        constexpr int highestPort = 65535;
        if (error || port < 1 || port > highestPort)
            return {};
        targets.emplace_back(address, static_cast<std::uint16_t>(port));
    }
    return targets;
}

} // namespace kumquatbeam
