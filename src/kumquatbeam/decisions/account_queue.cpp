#include "kumquatbeam/decisions/account_queue.hpp"

#include <algorithm>
#include <utility>

namespace kumquatbeam {

namespace {

    /// Until when a request may wait, if its answer takes at least `serviceTime`.
    time_point limitOf(const request_context& context, clock::duration serviceTime)
    {
        return std::min(context.startLimit(), context.deadline == never ? never : context.deadline - serviceTime);
    }

} // namespace

void account_queue::push(request_context context)
{
    m_classes.at(static_cast<std::size_t>(context.call->urgencyClass)).push_back(std::move(context));
}

void account_queue::pushFront(request_context context)
{
    m_classes.at(static_cast<std::size_t>(context.call->urgencyClass)).push_front(std::move(context));
}

std::optional<request_context> account_queue::pop()
{
    for (auto waiting = m_classes.rbegin(); waiting != m_classes.rend(); ++waiting) {
        if (waiting->empty())
            continue;
        auto first = std::move(waiting->front());
        waiting->pop_front();
        return first;
    }
    return std::nullopt;
}

std::optional<request_context> account_queue::remove(request_id id)
{
    for (auto& waiting : m_classes) {
        const auto found = std::find_if(
            waiting.begin(), waiting.end(), [id](const request_context& context) { return context.id == id; });
        if (found == waiting.end())
            continue;
        auto removed = std::move(*found);
        waiting.erase(found);
        return removed;
    }
    return std::nullopt;
}

std::vector<request_context> account_queue::removeExpired(time_point now, clock::duration serviceTime)
{
    std::vector<request_context> expired;
    for (auto& waiting : m_classes) {
        const auto firstExpired = std::stable_partition(waiting.begin(), waiting.end(),
            [&](const request_context& context) { return limitOf(context, serviceTime) > now; });
        std::move(firstExpired, waiting.end(), std::back_inserter(expired));
        waiting.erase(firstExpired, waiting.end());
    }
    return expired;
}

time_point account_queue::nextDeadline(clock::duration serviceTime) const
{
    time_point earliest = never;
    for (const auto& waiting : m_classes) {
        for (const auto& context : waiting)
            earliest = std::min(earliest, limitOf(context, serviceTime));
    }
    return earliest;
}

std::size_t account_queue::countAhead(urgency urgencyClass) const
{
    std::size_t total = 0;
    for (auto index = static_cast<std::size_t>(urgencyClass); index < m_classes.size(); ++index)
        total += m_classes.at(index).size();
    return total;
}

std::size_t account_queue::size() const
{
    std::size_t total = 0;
    for (const auto& waiting : m_classes)
        total += waiting.size();
    return total;
}

} // namespace kumquatbeam
