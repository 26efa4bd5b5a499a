#include "kumquatbeam/load/load_order.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace kumquatbeam {

namespace {

    constexpr std::chrono::milliseconds pauseBeforeRetry { 100 };

    /// Outcomes of attempts; a later one says more about the order than an earlier one.
    constexpr auto outcomesByWeight = std::to_array<std::string_view>({ "left", "", "unknown", "not-run", "answered" });

    std::ptrdiff_t weightOf(const std::string& kind)
    {
        return std::find(outcomesByWeight.begin(), outcomesByWeight.end(), kind) - outcomesByWeight.begin();
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

load_order::load_order(boost::asio::io_context& context, std::mt19937_64& random, const load_stream& plan,
    order_routers routers, std::string id, completion whenComplete)
    : m_context(context)
    , m_random(random)
    , m_plan(plan)
    , m_routers(routers)
    , m_id(std::move(id))
    , m_completion(std::move(whenComplete))
    , m_pause(context)
{
    m_result.outcome.kind = "left";
}

std::string load_order::toLine() const
{
    auto line = absl::StrCat(m_id, " ", nameOfKind(m_result.outcome.kind), m_result.isContradictory ? "!" : "");
    for (const auto& one : m_attempts)
        absl::StrAppend(&line, " ", one.router, ":", nameOfKind(one.kind), ":", toMilliseconds(one.began), ":",
            toMilliseconds(one.ended));
    return line;
}

void load_order::askForTicket()
{
    ++m_ticketRequests;
    const auto whenComplete = [self = shared_from_this()](const load_outcome& outcome) { self->takeTicket(outcome); };
    std::make_shared<load_call>(m_context, m_plan, ticketWork(m_plan), whenComplete)
        ->start(m_routers.all[chooseRouter()]);
}

void load_order::takeTicket(const load_outcome& outcome)
{
    m_ticket = outcome.ticket;
    if (!m_ticket.empty()) {
        place();
        return;
    }
    if (m_ticketRequests <= m_plan.retries) {
        retry(&load_order::askForTicket);
        return;
    }
    // Nothing was ever placed.
    m_result.outcome.kind = "not-run";
    std::exchange(m_completion, nullptr)(*this);
}

void load_order::place()
{
    auto work = orderWork(m_plan, m_id);
    work.ticket = m_ticket;
    if (drawPercent(m_plan.leavePercent)) {
        std::uniform_int_distribution<std::int64_t> stay(1, m_plan.leaveAfter.count());
        work.leaveAfter = std::chrono::milliseconds(stay(m_random));
    }
    const auto router = chooseRouter();
    const auto whenComplete = [self = shared_from_this(), router, began = std::chrono::system_clock::now()](
                                  const load_outcome& outcome) { self->takeReply(router, began, outcome); };
    std::make_shared<load_call>(m_context, m_plan, std::move(work), whenComplete)->start(m_routers.all[router]);
}

void load_order::takeReply(std::size_t router, std::chrono::system_clock::time_point began, const load_outcome& outcome)
{
    m_attempts.push_back({ router, outcome.kind, began, std::chrono::system_clock::now() });
    m_result.attempts = static_cast<std::int64_t>(m_attempts.size());
    const bool hadAnswer = m_result.outcome.kind == "answered";
    compare(outcome);
    if (!hadAnswer && wantsAnotherReply(outcome))
        retry(&load_order::place);
    else
        std::exchange(m_completion, nullptr)(*this);
}

void load_order::compare(const load_outcome& outcome)
{
    auto& best = m_result.outcome;
    const bool isAnswered = outcome.kind == "answered";
    if (isAnswered && best.kind == "answered" && outcome.body != best.body)
        m_result.isContradictory = true;
    if ((isAnswered && best.kind == "not-run") || (outcome.kind == "not-run" && best.kind == "answered"))
        m_result.isContradictory = true;
    if (weightOf(outcome.kind) >= weightOf(best.kind))
        best = outcome;
}

bool load_order::wantsAnotherReply(const load_outcome& outcome)
{
    if (m_result.attempts > m_plan.retries)
        return false;
    return outcome.kind != "answered" || drawPercent(m_plan.askAgainPercent);
}

void load_order::retry(void (load_order::*step)())
{
    m_pause.expires_after(pauseBeforeRetry);
    m_pause.async_wait([self = shared_from_this(), step](const boost::system::error_code& error) {
        if (!error)
            ((*self).*step)();
    });
}

std::size_t load_order::chooseRouter()
{
    std::uniform_int_distribution<std::size_t> place(0, m_routers.places.size() - 1);
    return m_routers.places[place(m_random)];
}

bool load_order::drawPercent(std::int64_t percent)
{
    constexpr std::int64_t whole = 100;
    return std::uniform_int_distribution<std::int64_t>(1, whole)(m_random) <= percent;
}

} // namespace kumquatbeam
