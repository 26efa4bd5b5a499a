#pragma once

#include "kumquatbeam/types/ids.hpp"
#include "kumquatbeam/types/placement.hpp"
#include "kumquatbeam/types/prompt.hpp"
#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace kumquatbeam {

/// An endpoint of a pool, as a placement strategy sees it.
struct endpoint_view {
    endpoint_id endpoint;
    /// The short name under which routers tell each other of it.
    wire_key key;
    failure_domain_id domain;
    slot_count slots;
    /// Prompt tokens that it reads in a millisecond; zero for plain services.
    double prefillRate = 0;
    /// Calls that this router has running there.
    std::int64_t running = 0;
    /// Prompt tokens that this router has sent there and that have not been answered yet.
    token_count prefillTokens;
    /// @{ The same of the other routers, by their last word.
    std::int64_t peerRunning = 0;
    token_count peerPrefillTokens;
    /// @}
    /// Whether a call may go there: announced, not leaving, not ejected, not tried before.
    bool isUsable = true;

    std::int64_t totalRunning() const { return running + peerRunning; }
    token_count totalPrefillTokens() const { return prefillTokens + peerPrefillTokens; }
};

/// A call that needs an endpoint.
struct placement_call {
    const prompt_metadata& prompt;
    /// The failure domain of this router.
    const failure_domain_id& domain;
    /// Longest wait before the call's own prompt is read that is worth starting for.
    std::chrono::microseconds waitLimit { 0 };
};

/// Picks the endpoint of a pool that a call goes to. One object for each pool.
class placement_strategy {
public:
    virtual ~placement_strategy() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// The endpoint for the call; nothing where none is usable, or all have too long a wait.
    virtual std::optional<placement> place(
        const placement_call&, std::span<const endpoint_view>, time_point now) const = 0;

    /// Time until an endpoint has read the prompts that it was sent, as far as is known.
    virtual std::chrono::microseconds waitTime(const endpoint_view&) const = 0;

    /// Takes in that a call went where `place` said.
    virtual void recordPlaced(const prompt_metadata&, const endpoint_id&, time_point now) = 0;
};

} // namespace kumquatbeam
