#include "fuzzed_text.hpp"

#include "kumquatbeam/codec/peer_codec.hpp"

// A frame is refused, or its message can be encoded again.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    const auto now = time_point(std::chrono::hours(1));
    const auto message = decodeFrame(textOf(data, size), { now, now });
    if (message.ok())
        require(decodeFrame(encodeFrame(*message, now).substr(frameLengthSize), { now, now }).ok());
    return 0;
}
