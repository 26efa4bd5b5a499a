#pragma once

#include "kumquatbeam/decisions/admission/decayed_rate.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// Requested and admitted rates of an account, in tokens per second. A prompt token counts once, a generated one twice.
struct account_rates {
    double requested = 0;
    double admitted = 0;
};

/// Compares each account's admitted rate with its max-min fair share of a pool's throughput, over the whole fleet.
///
/// There is no central coordinator: every router adds its own rates to those reported by its peers, and all compute the
/// same fair rate. A router that is partitioned from its peers continues with its own rates.
class account_shares {
public:
    /// Rates reported by the other routers, for every account with requests there.
    using rate_map = std::unordered_map<wire_key, account_rates>;

    /// `peerRates` must outlive the object; it is read whenever the fair rate is computed.
    explicit account_shares(const rate_map& peerRates);

    /// Sets the known throughput of the pool in tokens per second; zero when unknown. The actual throughput may be
    /// higher.
    void setCapacity(double tokensPerSecond) { m_capacity = tokensPerSecond; }

    /// @{ Records a request, and the admission of one.
    void recordRequested(const client_account_id&, token_count, time_point now);
    void recordAdmitted(const client_account_id&, token_count, time_point now);
    /// @}

    /// The account's admitted rate divided by the fair rate: below one it got less than its share, above one it got
    /// more. Zero while no account gets less than it requests.
    double shareUsage(const client_account_id&, time_point now) const;

    /// The rates of every account with recent requests at this router.
    std::vector<std::pair<wire_key, account_rates>> rates(time_point now) const;

private:
    /// Time after which the next request recomputes the fair rate. Rates change little in this time.
    static constexpr std::chrono::milliseconds fairRateLifetime { 50 };

    struct account_row {
        wire_key key;
        decayed_rate requested;
        decayed_rate admitted;
    };

    account_row& rowOf(const client_account_id&);
    account_rates fleetRatesOf(const account_row&, time_point now) const;
    void refreshFairRate(time_point now);

    const rate_map& m_peerRates;
    double m_capacity = 0;
    std::unordered_map<client_account_id, account_row> m_accounts;
    /// Tokens per second of an account that gets less than it requests; zero while there is none.
    double m_fairRate = 0;
    time_point m_fairRateValidUntil {};
};

} // namespace kumquatbeam
