#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/peer_message.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// An account with requests in this router, as a strategy sees it.
struct account_backlog {
    client_account_id account;
    account_share share;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    /// Service in this router's incarnation so far.
    service_cost served;
};

/// An endpoint of the pool, as a strategy sees it.
struct endpoint_capacity {
    endpoint_id endpoint;
    failure_domain_id domain;
    slot_count slots;
    /// Calls that this router has running there.
    slot_count running;
    /// Whether new work may go there: not leaving, not ejected.
    bool isUsable = true;
};

/// A router of the fleet, as a strategy sees it.
struct router_presence {
    entry_vm_id router;
    failure_domain_id domain;
    /// Whether the router is connected and neither silent nor leaving; always so for this router itself.
    bool isReachable = false;
    /// Its incarnation by its last greeting; unset for this router itself and before the first greeting.
    incarnation_id incarnation {};
};

/// All that a strategy knows about its pool when it decides. Rows are sorted by id.
struct pool_view {
    pool_id pool;
    entry_vm_id self;
    failure_domain_id domain;
    revision document;
    std::chrono::milliseconds exchangePeriod { 0 };
    std::chrono::milliseconds leaseDuration { 0 };
    /// What a call costs on average; running calls are charged this much until they end.
    service_cost meanCost;
    std::vector<account_backlog> accounts;
    std::vector<endpoint_capacity> endpoints;
    std::vector<router_presence> routers;
};

/// The account that goes next and the endpoint that it goes to.
struct placement_choice {
    client_account_id account;
    endpoint_id endpoint;
    /// After this time the call must not be sent any more.
    time_point sendBefore = never;
    std::string_view reason;
    endpoint_id runnerUp {};
    std::string_view runnerUpReason {};
};

/// A message for a peer, from a strategy.
struct addressed_message {
    entry_vm_id to;
    peer_message message;
};

/// Who arbitrates the pool's slots in one failure domain, and what this router holds there.
struct domain_lease {
    failure_domain_id domain;
    /// Empty where no router can arbitrate.
    entry_vm_id arbiter;
    slot_count leased;
};

/// What an operator sees of a strategy's state.
struct strategy_state {
    /// Normalised service of one account: slot-microseconds for each thousandth of a share, above the least served.
    struct account_row {
        client_account_id account;
        double lead = 0;
    };

    std::vector<domain_lease> domains;
    std::vector<account_row> accounts;
};

/// Divides the slots of one pool between the routers of the fleet and picks who goes next. One object for each pool.
class capacity_strategy {
public:
    virtual ~capacity_strategy() = default;

    /// Name in settings and logs.
    virtual std::string_view name() const = 0;

    /// The next call to start, or nothing while no account waits or no slot may be used.
    virtual std::optional<placement_choice> choose(const pool_view&, time_point now) = 0;

    /// Takes in what a peer said about this pool.
    virtual void receive(const entry_vm_id& from, const peer_message&, const pool_view&, time_point now);

    /// When `exchange` is due next.
    virtual time_point nextExchange() const { return never; }

    /// Speaks to the peers.
    virtual std::vector<addressed_message> exchange(const pool_view&, time_point now);

    /// What operators may see.
    virtual strategy_state describe(const pool_view&) const { return {}; }
};

/// Makes the strategy with this name, or returns null.
std::unique_ptr<capacity_strategy> makeCapacityStrategy(std::string_view name);

/// Names of all strategies.
std::vector<std::string_view> capacityStrategyNames();

} // namespace kumquatbeam
