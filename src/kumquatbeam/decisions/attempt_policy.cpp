#include "kumquatbeam/decisions/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// A row of a decision table; the first rule that applies gives the verdict.
    struct attempt_rule {
        bool (*applies)(const attempt_state&);
        attempt_verdict verdict;
    };

    bool mayHaveRun(const attempt_state& attemptState)
    {
        return attemptState.mayHaveRunBefore || !attemptState.isProvenNotRun;
    }

    bool hasRelayedBytes(const attempt_state& attemptState)
    {
        return attemptState.relayedBytes.value > 0;
    }

    bool mayRetry(const attempt_state& attemptState)
    {
        return attemptState.isStillAwaited && attemptState.attempts < attemptState.attemptLimit;
    }

    constexpr auto finalVerdictRules = std::to_array<attempt_rule>({
        { [](const attempt_state& attemptState) { return attemptState.isComplete; }, attempt_verdict::Answer },
        { [](const attempt_state& attemptState) { return hasRelayedBytes(attemptState) || mayHaveRun(attemptState); },
            attempt_verdict::EndUnknown },
        { [](const attempt_state&) { return true; }, attempt_verdict::EndNotRun },
    });

    constexpr auto retryRules = std::to_array<attempt_rule>({
        { [](const attempt_state& attemptState) {
             return attemptState.isComplete
                 && !(attemptState.isEndpointFailure && attemptState.isRepeatable && mayRetry(attemptState));
         },
            attempt_verdict::Answer },
        { [](const attempt_state& attemptState) { return !mayRetry(attemptState); }, attempt_verdict::EndUnknown },
        { [](const attempt_state& attemptState) {
             return hasRelayedBytes(attemptState) && attemptState.canResume && attemptState.isRepeatable;
         },
            attempt_verdict::Resume },
        { [](const attempt_state& attemptState) { return hasRelayedBytes(attemptState); },
            attempt_verdict::EndUnknown },
        { [](const attempt_state& attemptState) { return attemptState.isRepeatable || !mayHaveRun(attemptState); },
            attempt_verdict::Retry },
        { [](const attempt_state&) { return true; }, attempt_verdict::EndUnknown },
    });

    attempt_verdict firstVerdict(const auto& rules, const attempt_state& attemptState)
    {
        return std::find_if(rules.begin(), rules.end(), [&attemptState](const attempt_rule& rule) {
            return rule.applies(attemptState);
        })->verdict;
    }

} // namespace

attempt_verdict verdictAfter(const attempt_state& attemptState)
{
    const auto verdict = firstVerdict(retryRules, attemptState);
    return verdict == attempt_verdict::EndUnknown ? finalVerdictAfter(attemptState) : verdict;
}

attempt_verdict finalVerdictAfter(const attempt_state& attemptState)
{
    return firstVerdict(finalVerdictRules, attemptState);
}

} // namespace kumquatbeam
