#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// The cost at one size.
struct capacity_point {
    double size = 0;
    double cost = 0;
};

/// The cost of an operation or object as a function of a size.
struct capacity_slope {
    std::string_view name;
    std::string_view sizeUnit;
    std::string_view costUnit;
    std::vector<capacity_point> points {};
};

/// Least-squares line through the points.
struct line_fit {
    double base = 0;
    double perUnit = 0;
    /// Largest distance of a point from the line, as a fraction of the point's cost.
    double largestRelativeError = 0;
};

line_fit fitLine(std::span<const capacity_point>);

/// Options of the measurements.
struct capacity_options {
    /// Name of the strategy that divides slots.
    std::string strategy = "local-only";
};

/// A slope and how to measure it.
struct slope_row {
    std::string_view name;
    capacity_slope (*measure)(const capacity_options&);
};

/// @{ Tables of the slopes of each component.
std::span<const slope_row> documentSlopes();
std::span<const slope_row> decisionSlopes();
std::span<const slope_row> strategySlopes();
std::span<const slope_row> frameSlopes();
/// @}

/// CPU time of one call of `work` on this thread, in microseconds: the median of several batches.
double cpuMicroseconds(const std::function<void()>& work);

/// Bytes that the allocator has in use.
double allocatedBytes();

} // namespace kumquatbeam
