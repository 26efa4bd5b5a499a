#include "kumquatbeam/capacity/capacity_slope.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <ctime>
#include <malloc.h>

namespace kumquatbeam {

namespace {

    constexpr double microsecondsPerSecond = 1e6;
    constexpr double nanosecondsPerMicrosecond = 1e3;
    constexpr double batchMicroseconds = 20'000;
    constexpr std::size_t batchCount = 5;

    double threadCpuMicroseconds()
    {
        timespec now {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
        return static_cast<double>(now.tv_sec) * microsecondsPerSecond
            + static_cast<double>(now.tv_nsec) / nanosecondsPerMicrosecond;
    }

    double batchMean(const std::function<void()>& work)
    {
        const auto start = threadCpuMicroseconds();
        double calls = 0;
        double spent = 0;
        while (spent < batchMicroseconds) {
            work();
            ++calls;
            spent = threadCpuMicroseconds() - start;
        }
        return spent / calls;
    }

} // namespace

line_fit fitLine(std::span<const capacity_point> points)
{
    const auto count = static_cast<double>(points.size());
    double sizeSum = 0;
    double costSum = 0;
    double squareSum = 0;
    double productSum = 0;
    for (const auto& [size, cost] : points) {
        sizeSum += size;
        costSum += cost;
        squareSum += size * size;
        productSum += size * cost;
    }
    const auto spread = count * squareSum - sizeSum * sizeSum;
    line_fit fit;
    fit.perUnit = spread == 0 ? 0 : (count * productSum - sizeSum * costSum) / spread;
    fit.base = count == 0 ? 0 : (costSum - fit.perUnit * sizeSum) / count;
    for (const auto& [size, cost] : points) {
        if (cost != 0)
            fit.largestRelativeError
                = std::max(fit.largestRelativeError, std::abs(fit.base + fit.perUnit * size - cost) / cost);
    }
    return fit;
}

double cpuMicroseconds(const std::function<void()>& work)
{
    std::array<double, batchCount> means {};
    for (auto& mean : means)
        mean = batchMean(work);
    std::sort(means.begin(), means.end());
    return means[batchCount / 2];
}

double allocatedBytes()
{
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

} // namespace kumquatbeam
