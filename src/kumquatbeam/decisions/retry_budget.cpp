#include "kumquatbeam/decisions/retry_budget.hpp"

#include <algorithm>

namespace kumquatbeam {

void retry_budget::deposit()
{
    m_credit = std::min(m_credit + 1, burst * answersPerRetry);
}

bool retry_budget::tryWithdraw()
{
    if (m_credit < answersPerRetry)
        return false;
    m_credit -= answersPerRetry;
    return true;
}

} // namespace kumquatbeam
