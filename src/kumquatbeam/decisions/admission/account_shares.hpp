#pragma once

#include "kumquatbeam/decisions/admission/decayed_rate.hpp"
#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/units.hpp"

#include <unordered_map>
#include <vector>

namespace kumquatbeam {

/// What an account asked for and was given, in tokens a second. A prompt token counts once, a generated one twice.
struct account_rates {
    double asked = 0;
    double admitted = 0;
};

/// How each account stands against its max-min share of what a pool gives, over the whole fleet.
///
/// There is nobody who divides: every router adds up what it and the others say was asked and given, and comes to the
/// same level. A router that is cut off goes on with what it sees itself.
class account_shares {
public:
    /// What the other routers say of every account that asked there.
    using rate_map = std::unordered_map<wire_key, account_rates>;

    /// `elsewhere` has to outlive the object; it is looked up whenever a level is worked out.
    explicit account_shares(const rate_map& peerRates);

    /// Tokens a second that the pool is known to give; zero where unknown. It may turn out to give more.
    void setCapacity(double tokensPerSecond) { m_capacity = tokensPerSecond; }

    /// @{ A request was asked for; and one of them was let in.
    void recordAsked(const client_account_id&, token_count, time_point now);
    void recordAdmitted(const client_account_id&, token_count, time_point now);
    /// @}

    /// What the account was given, as a part of its share: below one it is owed more, above one it took more. Zero
    /// while nobody has to go short.
    double shareUsage(const client_account_id&, time_point now) const;

    /// The rates of every account with recent requests at this router.
    std::vector<std::pair<wire_key, account_rates>> rates(time_point now) const;

private:
    /// Time after which the next request has the level worked out anew. Rates move little in this time.
    static constexpr std::chrono::milliseconds fairRateLifetime { 50 };

    struct account_row {
        wire_key key;
        decayed_rate asked;
        decayed_rate admitted;
    };

    account_row& rowOf(const client_account_id&);
    account_rates fleetRatesOf(const account_row&, time_point now) const;
    void refreshFairRate(time_point now);

    const rate_map& m_peerRates;
    double m_capacity = 0;
    std::unordered_map<client_account_id, account_row> m_accounts;
    /// Tokens a second of an account that gets less than it asks for; zero while there is none.
    double m_fairRate = 0;
    time_point m_fairRateValidUntil {};
};

} // namespace kumquatbeam
