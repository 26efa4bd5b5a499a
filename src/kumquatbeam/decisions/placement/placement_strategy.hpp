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

/// Input of a placement strategy: an endpoint of a pool.
struct endpoint_view {
    endpoint_id endpoint;
    /// The endpoint's short key in messages between routers.
    wire_key key;
    failure_domain_id domain;
    slot_count slots;
    /// Estimated prefill rate in prompt tokens per millisecond; used only for model engines.
    double prefillRate = 0;
    /// Start of the endpoint's incarnation, to which its load and its learned rate belong.
    std::int64_t incarnation = 0;
    /// Until when the endpoint is cold and takes only a limited rate of requests.
    time_point coldUntil = time_point::min();
    /// This router's calls in flight at the endpoint.
    std::int64_t running = 0;
    /// Prompt tokens of this router's calls that the endpoint has not answered yet.
    token_count prefillTokens;
    /// @{ The same values summed over the other routers, as last reported.
    std::int64_t peerRunning = 0;
    token_count peerPrefillTokens;
    /// @}
    /// @{ What the endpoint last reported to this router, until the report is outdated: the calls that run and wait
    /// there if some wait, and how long work takes relative to the usual time.
    std::int64_t reportedCalls = 0;
    double reportedSlowdown = 1;
    time_point reportUntil = time_point::min();
    /// @}
    /// Whether the call may be sent there: the endpoint is announced, not leaving, not ejected, and not yet tried for
    /// this call.
    bool isUsable = true;

    std::int64_t totalRunning() const { return running + peerRunning; }
    token_count totalPrefillTokens() const { return prefillTokens + peerPrefillTokens; }
};

/// A call that needs an endpoint.
struct placement_call {
    const prompt_metadata& prompt;
    /// The failure domain of this router.
    const failure_domain_id& domain;
    /// Maximum wait before the prefill of the call's own prompt. A call that would wait longer is not placed.
    std::chrono::microseconds waitLimit { 0 };
};

/// Picks the endpoint of a pool that a call is sent to. One object per pool.
class placement_strategy {
public:
    virtual ~placement_strategy() = default;

    /// Name in logs.
    virtual std::string_view name() const = 0;

    /// The endpoint for the call; nothing when none is usable or the wait is too long.
    virtual std::optional<placement> place(
        const placement_call&, std::span<const endpoint_view>, time_point now) const = 0;

    /// Estimated time until an endpoint has finished the prefill of all prompts sent to it.
    virtual std::chrono::microseconds waitTime(const endpoint_view&) const = 0;

    /// Records that a call was sent to the endpoint that `place` returned.
    virtual void recordPlaced(const prompt_metadata&, const endpoint_id&, time_point now) = 0;
};

} // namespace kumquatbeam
