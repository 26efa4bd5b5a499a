#include "kumquatbeam/load/load_order.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace kumquatbeam {

namespace {

    constexpr std::chrono::milliseconds retryDelay { 100 };

    /// Outcomes of attempts, in order of increasing certainty about the order.
    constexpr auto outcomesByCertainty
        = std::to_array<std::string_view>({ "left", "", "unknown", "not-run", "answered" });

    std::ptrdiff_t certaintyOf(const std::string& kind)
    {
        return std::find(outcomesByCertainty.begin(), outcomesByCertainty.end(), kind) - outcomesByCertainty.begin();
    }

    std::string nameOfKind(const std::string& kind)
    {
        return kind.empty() ? "no-reply" : kind;
    }

    std::int64_t toMilliseconds(std::chrono::system_clock::time_point time)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    }

} // namespace

load_order::load_order(boost::asio::io_context& context, std::mt19937_64& random, const load_stream& streamSettings,
    router_choices routers, std::string id, completion whenComplete)
    : m_context(context)
    , m_random(random)
    , m_streamSettings(streamSettings)
    , m_routers(routers)
    , m_id(std::move(id))
    , m_completion(std::move(whenComplete))
    , m_retryTimer(context)
{
    m_result.outcome.kind = "left";
}

std::string load_order::toLine() const
{
    auto line = absl::StrCat(m_id, " ", nameOfKind(m_result.outcome.kind), m_result.isContradictory ? "!" : "");
    for (const auto& one : m_attempts)
        absl::StrAppend(&line, " ", one.router, ":", nameOfKind(one.kind), ":", toMilliseconds(one.startedAt), ":",
            toMilliseconds(one.endedAt));
    return line;
}

void load_order::requestTicket()
{
    ++m_ticketRequests;
    const auto whenComplete
        = [self = shared_from_this()](const load_outcome& outcome) { self->handleTicketReply(outcome); };
    std::make_shared<load_call>(m_context, m_streamSettings, ticketCallSpec(m_streamSettings), whenComplete)
        ->start(m_routers.all[chooseRouter()]);
}

void load_order::handleTicketReply(const load_outcome& outcome)
{
    m_ticket = outcome.ticket;
    if (!m_ticket.empty()) {
        sendOrder();
        return;
    }
    if (m_ticketRequests <= m_streamSettings.retries) {
        retry(&load_order::requestTicket);
        return;
    }
    // Without a ticket the order was never sent.
    m_result.outcome.kind = "not-run";
    std::exchange(m_completion, nullptr)(*this);
}

void load_order::sendOrder()
{
    auto spec = orderCallSpec(m_streamSettings, m_id);
    spec.ticket = m_ticket;
    if (drawPercent(m_streamSettings.abandonPercent)) {
        std::uniform_int_distribution<std::int64_t> abandonDelay(1, m_streamSettings.abandonAfter.count());
        spec.abandonAfter = std::chrono::milliseconds(abandonDelay(m_random));
    }
    const auto router = chooseRouter();
    const auto whenComplete = [self = shared_from_this(), router, startedAt = std::chrono::system_clock::now()](
                                  const load_outcome& outcome) { self->handleOrderReply(router, startedAt, outcome); };
    std::make_shared<load_call>(m_context, m_streamSettings, std::move(spec), whenComplete)
        ->start(m_routers.all[router]);
}

void load_order::handleOrderReply(
    std::size_t router, std::chrono::system_clock::time_point startedAt, const load_outcome& outcome)
{
    m_attempts.push_back({ router, outcome.kind, startedAt, std::chrono::system_clock::now() });
    m_result.attempts = static_cast<std::int64_t>(m_attempts.size());
    const bool hadAnswer = m_result.outcome.kind == "answered";
    mergeOutcome(outcome);
    if (!hadAnswer && needsAnotherAttempt(outcome))
        retry(&load_order::sendOrder);
    else
        std::exchange(m_completion, nullptr)(*this);
}

void load_order::mergeOutcome(const load_outcome& outcome)
{
    auto& best = m_result.outcome;
    const bool isAnswered = outcome.kind == "answered";
    if (isAnswered && best.kind == "answered" && outcome.body != best.body)
        m_result.isContradictory = true;
    if ((isAnswered && best.kind == "not-run") || (outcome.kind == "not-run" && best.kind == "answered"))
        m_result.isContradictory = true;
    if (certaintyOf(outcome.kind) >= certaintyOf(best.kind))
        best = outcome;
}

bool load_order::needsAnotherAttempt(const load_outcome& outcome)
{
    if (m_result.attempts > m_streamSettings.retries)
        return false;
    return outcome.kind != "answered" || drawPercent(m_streamSettings.repeatPercent);
}

void load_order::retry(void (load_order::*step)())
{
    m_retryTimer.expires_after(retryDelay);
    m_retryTimer.async_wait([self = shared_from_this(), step](const boost::system::error_code& error) {
        if (!error)
            ((*self).*step)();
    });
}

std::size_t load_order::chooseRouter()
{
    std::uniform_int_distribution<std::size_t> index(0, m_routers.indices.size() - 1);
    return m_routers.indices[index(m_random)];
}

bool load_order::drawPercent(std::int64_t percent)
{
    constexpr std::int64_t whole = 100;
    return std::uniform_int_distribution<std::int64_t>(1, whole)(m_random) <= percent;
}

} // namespace kumquatbeam
