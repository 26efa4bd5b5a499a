#include "kumquatbeam/duties/ring_sizes.hpp"

namespace kumquatbeam {

namespace {

    constexpr std::size_t messagesPerRequest = 4;
    constexpr std::size_t abandonedFactor = 2;
    constexpr std::size_t unreservedCapacity = 1024;
    constexpr std::size_t controlReserve = 64;

    ring_limits requestRing(const router_settings& settings)
    {
        const auto reserved = static_cast<std::size_t>(settings.requestLimit) * messagesPerRequest * abandonedFactor;
        return { reserved + unreservedCapacity, reserved };
    }

} // namespace

ring_limits decisionsRing(const router_settings& settings)
{
    return requestRing(settings);
}

ring_limits callersRing(const router_settings& settings)
{
    return requestRing(settings);
}

ring_limits endpointsRing(const router_settings& settings)
{
    return requestRing(settings);
}

ring_limits peersRing()
{
    return { unreservedCapacity + controlReserve, controlReserve };
}

ring_limits operatorsRing()
{
    return { unreservedCapacity + controlReserve, controlReserve };
}

} // namespace kumquatbeam
