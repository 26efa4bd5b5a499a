#include "kumquatbeam/decisions/fairness_meter.hpp"

#include <algorithm>

namespace kumquatbeam {

namespace {

    constexpr double microsecondsPerSecond = 1e6;
    constexpr double thousandthsInShare = 1e3;

    bool isServedLess(const auto& left, const auto& right)
    {
        return left.second.served < right.second.served;
    }

} // namespace

void fairness_meter::enqueue(const client_account_id& account, account_share share)
{
    const auto entryLevel = leastServed();
    auto& row = m_backlogged.try_emplace(account, backlog { .share = share, .served = entryLevel }).first->second;
    row.share = share;
    ++row.waiting;
}

void fairness_meter::dequeue(const client_account_id& account)
{
    const auto row = m_backlogged.find(account);
    if (row != m_backlogged.end() && --row->second.waiting == 0)
        m_backlogged.erase(row);
}

void fairness_meter::recordService(const client_account_id& account, service_cost cost)
{
    const auto row = m_backlogged.find(account);
    if (row == m_backlogged.end())
        return;
    const auto seconds = static_cast<double>(cost.value) / microsecondsPerSecond;
    const auto shares = static_cast<double>(row->second.share.value) / thousandthsInShare;
    row->second.served += seconds / shares;
    m_largestGap = std::max(m_largestGap, gap());
}

double fairness_meter::gap() const
{
    if (m_backlogged.empty())
        return 0;
    const auto most = std::max_element(m_backlogged.begin(), m_backlogged.end(),
        [](const auto& left, const auto& right) { return isServedLess(left, right); });
    return most->second.served - leastServed();
}

double fairness_meter::leastServed() const
{
    const auto least = std::min_element(m_backlogged.begin(), m_backlogged.end(),
        [](const auto& left, const auto& right) { return isServedLess(left, right); });
    return least == m_backlogged.end() ? 0 : least->second.served;
}

} // namespace kumquatbeam
