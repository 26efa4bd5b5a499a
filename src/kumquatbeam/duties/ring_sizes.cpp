#include "kumquatbeam/duties/ring_sizes.hpp"

namespace kumquatbeam {

namespace {

    constexpr std::size_t messagesOfRequest = 4;
    constexpr std::size_t abandonedFactor = 2;
    constexpr std::size_t refusablePlaces = 1024;
    constexpr std::size_t reservedSmall = 64;

    ring_limits forRequests(const router_settings& settings)
    {
        const auto reserved = static_cast<std::size_t>(settings.requestLimit) * messagesOfRequest * abandonedFactor;
        return { reserved + refusablePlaces, reserved };
    }

} // namespace

ring_limits decisionsRing(const router_settings& settings)
{
    return forRequests(settings);
}

ring_limits callersRing(const router_settings& settings)
{
    return forRequests(settings);
}

ring_limits endpointsRing(const router_settings& settings)
{
    return forRequests(settings);
}

ring_limits peersRing()
{
    return { refusablePlaces + reservedSmall, reservedSmall };
}

ring_limits operatorsRing()
{
    return { refusablePlaces + reservedSmall, reservedSmall };
}

} // namespace kumquatbeam
