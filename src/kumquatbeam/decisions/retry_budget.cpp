#include "kumquatbeam/decisions/retry_budget.hpp"

#include <algorithm>

namespace kumquatbeam {

void retry_budget::deposit()
{
    m_paidAnswers = std::min(m_paidAnswers + 1, burst * answersForRetry);
}

bool retry_budget::tryWithdraw()
{
    if (m_paidAnswers < answersForRetry)
        return false;
    m_paidAnswers -= answersForRetry;
    return true;
}

} // namespace kumquatbeam
