#include "kumquatbeam/decisions/admission/wait_limit.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace kumquatbeam {

namespace {

    /// The part at one standing; between two rows it changes evenly.
    struct term_row {
        double shareUsage;
        double part;
    };

    /// At the shortest wait an engine is still kept busy from one call to the next.
    constexpr auto termTable = std::to_array<term_row>({
        { 0.8, 0.5 },
        { 1.1, 0.08 },
        { 1.3, 0.0 },
    });

    /// Standing from which an account is refused outright.
    constexpr double refusedStanding = 1.6;

    /// @{ Pressures at which shares begin to count, and from which on they count in full.
    constexpr double lightPressure = 0.03;
    constexpr double fullPressure = 0.15;
    /// @}

    double partUnderPressure(double shareUsage)
    {
        if (shareUsage >= refusedStanding)
            return -1;
        const auto above = std::find_if(termTable.begin(), termTable.end(),
            [shareUsage](const term_row& row) { return shareUsage < row.shareUsage; });
        if (above == termTable.begin())
            return above->part;
        const auto below = std::prev(above);
        if (above == termTable.end())
            return below->part;
        const double way = (shareUsage - below->shareUsage) / (above->shareUsage - below->shareUsage);
        return below->part + way * (above->part - below->part);
    }

} // namespace

double waitFractionOf(double shareUsage, double pressure)
{
    const auto weight = std::clamp((pressure - lightPressure) / (fullPressure - lightPressure), 0.0, 1.0);
    const auto relaxed = termTable.front().part;
    return relaxed + weight * (partUnderPressure(shareUsage) - relaxed);
}

} // namespace kumquatbeam
