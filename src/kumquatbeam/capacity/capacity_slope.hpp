#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatbeam {

/// What one size costs.
struct capacity_point {
    double size = 0;
    double cost = 0;
};

/// The cost of one thing against one size.
struct capacity_slope {
    std::string_view name;
    std::string_view sizeUnit;
    std::string_view costUnit;
    std::vector<capacity_point> points {};
};

/// The straight line through the points with the least squared error.
struct line_fit {
    double base = 0;
    double perUnit = 0;
    /// Largest distance of a point from the line, as a part of the point's cost.
    double largestRelativeError = 0;
};

line_fit fitLine(std::span<const capacity_point>);

/// What the slopes are measured for.
struct capacity_options {
    /// Name of the strategy that divides slots.
    std::string strategy = "local-only";
};

/// A slope and how to measure it.
struct slope_row {
    std::string_view name;
    capacity_slope (*measure)(const capacity_options&);
};

/// @{ Tables of slopes, by part.
std::span<const slope_row> documentSlopes();
std::span<const slope_row> decisionSlopes();
std::span<const slope_row> strategySlopes();
std::span<const slope_row> frameSlopes();
/// @}

/// Processor time of one call of `work`, in microseconds: the median of several batches on this thread.
double cpuMicroseconds(const std::function<void()>& work);

/// Bytes that the allocator has handed out.
double allocatedBytes();

} // namespace kumquatbeam
