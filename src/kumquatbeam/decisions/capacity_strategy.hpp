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

/// Input of a strategy: an account with requests in this router.
struct account_backlog {
    client_account_id account;
    account_share share;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    /// Service by this router since the start of its incarnation.
    service_cost served;
};

/// Input of a strategy: an endpoint of the pool.
struct endpoint_capacity {
    endpoint_id endpoint;
    failure_domain_id domain;
    slot_count slots;
    /// This router's calls in flight at the endpoint.
    slot_count running;
    /// Whether new calls may be sent: the endpoint is neither leaving nor ejected.
    bool isUsable = true;
};

/// Input of a strategy: a router of the fleet.
struct router_presence {
    entry_vm_id router;
    failure_domain_id domain;
    /// Whether the router is connected and neither silent nor leaving; always true for this router itself.
    bool isReachable = false;
    /// Incarnation from the router's last hello; unset for this router itself and before the first hello.
    incarnation_id incarnation {};
};

/// The state of a pool that a strategy bases its decisions on. Rows are sorted by id.
struct pool_view {
    pool_id pool;
    entry_vm_id self;
    failure_domain_id domain;
    revision document;
    std::chrono::milliseconds exchangePeriod { 0 };
    std::chrono::milliseconds leaseDuration { 0 };
    /// Mean cost of a call; running calls are charged this amount until they end.
    service_cost meanCost;
    std::vector<account_backlog> accounts;
    std::vector<endpoint_capacity> endpoints;
    std::vector<router_presence> routers;
};

/// The next account to serve, and the endpoint for its call.
struct placement_choice {
    client_account_id account;
    endpoint_id endpoint;
    /// The call must not be sent after this time.
    time_point sendBefore = never;
    std::string_view reason;
    endpoint_id runnerUp {};
    std::string_view runnerUpReason {};
};

/// A strategy's message to a peer.
struct addressed_message {
    entry_vm_id to;
    peer_message message;
};

/// The arbiter of the pool's slots in one failure domain, and the slots leased to this router there.
struct domain_lease {
    failure_domain_id domain;
    /// Empty when no router can arbitrate.
    entry_vm_id arbiter;
    slot_count leased;
};

/// A strategy's state for status output.
struct strategy_state {
    /// Normalised service of one account above the least served one, in slot-microseconds per thousandth of a share.
    struct account_row {
        client_account_id account;
        double lead = 0;
    };

    std::vector<domain_lease> domains;
    std::vector<account_row> accounts;
};

/// Divides the slots of one pool between the routers of the fleet and picks the next call to start. One object per
/// pool.
class capacity_strategy {
public:
    virtual ~capacity_strategy() = default;

    /// Name in settings and logs.
    virtual std::string_view name() const = 0;

    /// The next call to start; nothing when no account waits or no slot may be used.
    virtual std::optional<placement_choice> choose(const pool_view&, time_point now) = 0;

    /// Handles a peer's message about this pool.
    virtual void receive(const entry_vm_id& from, const peer_message&, const pool_view&, time_point now);

    /// When `exchange` is due next.
    virtual time_point nextExchange() const { return never; }

    /// Returns the messages to peers that are due.
    virtual std::vector<addressed_message> exchange(const pool_view&, time_point now);

    /// The strategy's state for status output.
    virtual strategy_state describe(const pool_view&) const { return {}; }
};

/// Makes the strategy with this name, or returns null.
std::unique_ptr<capacity_strategy> makeCapacityStrategy(std::string_view name);

std::vector<std::string_view> capacityStrategyNames();

} // namespace kumquatbeam
