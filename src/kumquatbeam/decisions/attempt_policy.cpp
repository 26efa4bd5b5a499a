#include "kumquatbeam/decisions/attempt_policy.hpp"

#include <algorithm>
#include <array>

namespace kumquatbeam {

namespace {

    /// A rule of the table: the verdict of the first rule that applies counts.
    struct attempt_rule {
        bool (*applies)(const attempt_facts&);
        attempt_verdict verdict;
    };

    bool mayHaveRun(const attempt_facts& facts)
    {
        return facts.mayHaveRunBefore || !facts.isProvenNotRun;
    }

    bool hasBegun(const attempt_facts& facts)
    {
        return facts.relayed.value > 0;
    }

    bool mayTryAgain(const attempt_facts& facts)
    {
        return facts.isWanted && facts.attempts < facts.attemptLimit;
    }

    constexpr auto endingRules = std::to_array<attempt_rule>({
        { [](const attempt_facts& facts) { return facts.isComplete; }, attempt_verdict::Answer },
        { [](const attempt_facts& facts) { return hasBegun(facts) || mayHaveRun(facts); },
            attempt_verdict::EndUnknown },
        { [](const attempt_facts&) { return true; }, attempt_verdict::EndNotRun },
    });

    constexpr auto retryRules = std::to_array<attempt_rule>({
        { [](const attempt_facts& facts) {
             return facts.isComplete && !(facts.isFailure && facts.isRepeatable && mayTryAgain(facts));
         },
            attempt_verdict::Answer },
        { [](const attempt_facts& facts) { return !mayTryAgain(facts); }, attempt_verdict::EndUnknown },
        { [](const attempt_facts& facts) { return hasBegun(facts) && facts.canResume && facts.isRepeatable; },
            attempt_verdict::Resume },
        { [](const attempt_facts& facts) { return hasBegun(facts); }, attempt_verdict::EndUnknown },
        { [](const attempt_facts& facts) { return facts.isRepeatable || !mayHaveRun(facts); },
            attempt_verdict::TryAgain },
        { [](const attempt_facts&) { return true; }, attempt_verdict::EndUnknown },
    });

    attempt_verdict firstVerdict(const auto& rules, const attempt_facts& facts)
    {
        return std::find_if(rules.begin(), rules.end(), [&facts](const attempt_rule& rule) {
            return rule.applies(facts);
        })->verdict;
    }

} // namespace

attempt_verdict verdictAfter(const attempt_facts& facts)
{
    const auto verdict = firstVerdict(retryRules, facts);
    return verdict == attempt_verdict::EndUnknown ? endingAfter(facts) : verdict;
}

attempt_verdict endingAfter(const attempt_facts& facts)
{
    return firstVerdict(endingRules, facts);
}

} // namespace kumquatbeam
