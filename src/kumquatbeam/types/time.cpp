#include "kumquatbeam/types/time.hpp"

#include <ctime>

namespace kumquatbeam {

clock::time_point clock::now() noexcept
{
    std::timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace kumquatbeam
