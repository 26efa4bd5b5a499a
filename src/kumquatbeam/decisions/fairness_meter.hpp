#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <cstdint>
#include <map>

namespace kumquatbeam {

/// Measures the largest difference in service per share between the accounts that wait in one pool at the same time.
///
/// An account is measured while it has waiting requests. It enters at the level of the least served account, so that
/// neither idle time nor service without competition counts as a gap.
class fairness_meter {
public:
    /// Records that one more request of the account waits.
    void enqueue(const client_account_id&, account_share);

    /// Records that a waiting request has started, or has ended without a start.
    void dequeue(const client_account_id&);

    /// Records the service of a call that ended.
    void recordService(const client_account_id&, service_cost);

    /// The largest difference now, in slot-seconds per share.
    double gap() const;

    /// The largest difference since construction, in slot-seconds per share.
    double largestGap() const { return m_largestGap; }

    std::size_t backloggedAccounts() const { return m_backlogged.size(); }

private:
    struct backlog {
        account_share share;
        std::int64_t waiting = 0;
        /// Slot-seconds per share.
        double served = 0;
    };

    double leastServed() const;

    std::map<client_account_id, backlog> m_backlogged;
    double m_largestGap = 0;
};

} // namespace kumquatbeam
