#pragma once

#include "kumquatbeam/types/time.hpp"
#include "kumquatbeam/types/units.hpp"

#include <chrono>
#include <cstdint>

namespace kumquatbeam {

/// The prefill of one request at an engine.
struct prefill_sample {
    /// Prompt tokens that had to be prefilled before the first event: those of the request that were assumed not to be
    /// cached, and those of earlier requests that the engine had not answered when the request was sent.
    token_count work;
    /// Time from sending the request to its first event.
    clock::duration time { 0 };
    /// How long work took relative to the usual time, as reported with the first event.
    double slowdown = 1;
};

/// Estimates the prefill rate of one incarnation of an engine, in prompt tokens per millisecond.
///
/// The estimate is work over time, each a sum over the recent past with exponential decay, so that the requests with
/// much work determine it. It is not derived from the delay of first events alone, because a late first event also has
/// other causes. The sums include some work at the pool's fallback rate, to which the estimate returns when nothing is
/// learned.
class endpoint_speed {
public:
    /// @{ Bounds of the estimate, in tokens per millisecond.
    static constexpr double lowestRate = 10;
    static constexpr double highestRate = 400;
    /// @}

    /// Largest factor by which one sample or one update changes the estimate.
    static constexpr double largestStep = 1.25;

    /// Largest factor by which the rate of one sample or report may differ from the estimate; it counts as that much if
    /// it differs more. Slow phases of an engine and delays elsewhere take several times as long as the prefill.
    static constexpr double largestDeviation = 2;

    /// Part of the time to the first event that does not depend on the prompt: the network and the engine's first step.
    static constexpr std::chrono::milliseconds baseTime { 30 };

    /// Typical variation of the time to the first event, in milliseconds. A sample whose prefill is expected to take
    /// this long has half of its full weight.
    static constexpr double timeNoise = 30;

    /// Weight of the fallback rate, as milliseconds of prefill.
    static constexpr double fallbackWeight = 40;

    /// Weight of a rate reported by another router, as milliseconds of prefill. Lower than that of an ordinary sample.
    static constexpr double reportWeight = 8;

    /// Weight of unreported samples from which their rate is reported to the other routers, as milliseconds of prefill.
    static constexpr double leastReportedWeight = 4;

    /// Time constant of the decay of samples and reports. Long enough to outweigh slow phases of about a second.
    static constexpr std::chrono::seconds decayTime { 5 };

    /// Time without a sample or a report after which all earlier ones are dropped.
    static constexpr std::chrono::seconds learnedRetention { 10 };

    /// Time for which a reported slowdown has an effect.
    static constexpr std::chrono::milliseconds slowdownRetention { 1000 };

    /// @{ Bounds of the effect of a reported slowdown.
    static constexpr double leastSlowdown = 0.5;
    static constexpr double largestSlowdown = 10;
    /// @}

    /// Starts with the fallback rate.
    explicit endpoint_speed(double fallback)
        : m_fallback(fallback)
        , m_rate(fallback)
    {
    }

    /// Adds a sample of this router. Ignores one without work, or whose time is not longer than the base.
    void recordSample(const prefill_sample&, time_point now);

    /// Adds a rate that another router has measured.
    void recordReport(double rate, time_point now);

    /// Records a reported slowdown: 1 is the usual speed, 2 is half of it.
    void recordSlowdown(double slowdown, time_point now);

    /// Applies the decay, and drops samples and reports after their retention.
    void expire(time_point now);

    /// Does the same, and applies the pool's fallback rate.
    void update(double fallback, time_point now);

    /// Whether samples or reports determine the estimate.
    bool hasLearned() const { return m_learned.weight > 0; }

    /// The estimate at the usual speed of the machine.
    double usualRate() const { return m_rate; }

    /// The estimate corrected by the slowdown that the endpoint reported last.
    double rate(time_point now) const;

    /// End of the effect of the last reported slowdown.
    time_point slowdownUntil() const { return m_slowdownUntil; }

    /// The rate of this router's own samples since the last call that returned one, in whole tokens per millisecond, or
    /// zero if they have too little weight. Rates reported by others do not enter it.
    std::uint16_t takeReport(time_point now);

private:
    /// Work and the time that it took, as weighted sums.
    struct sums {
        double tokens = 0;
        /// Milliseconds.
        double weight = 0;
        time_point lastAt {};

        void decay(time_point now);
        void add(double addedTokens, double addedWeight, time_point now);
    };

    /// The rate as far as one sample or report may differ from the estimate.
    double boundedRate(double rate) const;
    void learn(double rate, double weight, time_point now);
    double target() const;

    double m_fallback;
    double m_rate;
    sums m_learned;
    time_point m_learnedUntil = time_point::min();
    sums m_unreported;
    double m_slowdown = 1;
    time_point m_slowdownUntil = time_point::min();
};

} // namespace kumquatbeam
