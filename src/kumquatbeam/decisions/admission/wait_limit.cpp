#include "kumquatbeam/decisions/admission/wait_limit.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace kumquatbeam {

namespace {

    /// The wait fraction at one share usage; values between two rows are interpolated linearly.
    struct wait_fraction_row {
        double shareUsage;
        double fraction;
    };

    /// The shortest wait still keeps an engine busy from one call to the next.
    constexpr auto waitFractionTable = std::to_array<wait_fraction_row>({
        { 0.8, 0.5 },
        { 1.1, 0.08 },
        { 1.3, 0.0 },
    });

    /// Share usage from which an account's calls are always refused.
    constexpr double refusedShareUsage = 1.6;

    /// @{ Pressure above which share usage counts, and pressure from which it counts in full.
    constexpr double lightPressure = 0.03;
    constexpr double fullPressure = 0.15;
    /// @}

    double fractionUnderPressure(double shareUsage)
    {
        if (shareUsage >= refusedShareUsage)
            return -1;
        const auto above = std::find_if(waitFractionTable.begin(), waitFractionTable.end(),
            [shareUsage](const wait_fraction_row& row) { return shareUsage < row.shareUsage; });
        if (above == waitFractionTable.begin())
            return above->fraction;
        const auto below = std::prev(above);
        if (above == waitFractionTable.end())
            return below->fraction;
        const double position = (shareUsage - below->shareUsage) / (above->shareUsage - below->shareUsage);
        return below->fraction + position * (above->fraction - below->fraction);
    }

} // namespace

double waitFractionOf(double shareUsage, double pressure)
{
    const auto weight = std::clamp((pressure - lightPressure) / (fullPressure - lightPressure), 0.0, 1.0);
    const auto unloadedFraction = waitFractionTable.front().fraction;
    return unloadedFraction + weight * (fractionUnderPressure(shareUsage) - unloadedFraction);
}

} // namespace kumquatbeam
