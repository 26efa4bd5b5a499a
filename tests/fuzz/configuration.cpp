#include "fuzzed_text.hpp"

#include "platform/route_decoder.hpp"

// A configuration is refused, or its routes can be looked up and their numbers are in range.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    const auto table = platform::decodeRoutes(textOf(data, size));
    if (!table.ok())
        return 0;
    for (const auto& [host, routes] : table->routes) {
        for (const auto& route : routes) {
            require(route.attemptLimit >= 1);
            require(route.timeout.count() >= 0);
            static_cast<void>(route.poolFor({ "call" }));
            static_cast<void>(table->routeFor(host, route.pathPrefix));
        }
    }
    return 0;
}
