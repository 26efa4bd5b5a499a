#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <map>

namespace kumquatbeam {

/// Measures how far service by share drifts apart among the accounts that wait in one pool at the same time.
///
/// An account counts from its first waiting request until none waits. It enters level with the least served one, so
/// that neither idle time nor service without competition makes a gap.
class fairness_meter {
public:
    /// One more request of the account waits.
    void enqueue(const client_account_id&, account_share);

    /// A waiting request was started or ended without a start.
    void dequeue(const client_account_id&);

    /// A call of the account ended after this service.
    void recordService(const client_account_id&, service_cost);

    /// The largest difference now, in slot-seconds for one share.
    double gap() const;

    /// The largest difference since the start.
    double largestGap() const { return m_largestGap; }

    std::size_t backloggedAccounts() const { return m_backlogged.size(); }

private:
    struct backlog {
        account_share share;
        std::int64_t waiting = 0;
        /// Slot-seconds for one share.
        double served = 0;
    };

    double leastServed() const;

    std::map<client_account_id, backlog> m_backlogged;
    double m_largestGap = 0;
};

} // namespace kumquatbeam
