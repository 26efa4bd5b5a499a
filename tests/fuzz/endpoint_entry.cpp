#include "fuzzed_text.hpp"

#include "kumquatbeam/types/excerpt.hpp"
#include "kumquatbeam/types/number_text.hpp"
#include "platform/endpoint_decoder.hpp"

// An entry is refused, or each of its fields is in range.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    const auto endpoint = platform::decodeEndpoint("i-1", textOf(data, size));
    if (endpoint.ok()) {
        require(portRange.contains(endpoint->port));
        require(endpoint->slots.value >= 1);
        require(endpoint->incarnation >= 0);
        require(isHeaderSafe(endpoint->pool.value) && isHeaderSafe(endpoint->domain.value));
    }
    return 0;
}
