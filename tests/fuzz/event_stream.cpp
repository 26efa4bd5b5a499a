#include "fuzzed_text.hpp"

#include "kumquatbeam/codec/event_framer.hpp"

// The events of a stream are the same however its bytes are split, and only whole events are returned.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    if (size == 0)
        return 0;
    const auto stream = textOf(data + 1, size - 1);
    event_framer whole(std::nullopt);
    whole.append(stream);
    const auto events = whole.takeCompleteEvents();
    require(events.empty() || events.ends_with('\n'));
    event_framer split(std::nullopt);
    const auto cut = stream.empty() ? 0 : *data % stream.size();
    split.append(std::string_view(stream).substr(0, cut));
    auto joined = split.takeCompleteEvents();
    split.append(std::string_view(stream).substr(cut));
    joined += split.takeCompleteEvents();
    require(joined == events);
    require(split.last() == whole.last());
    require(split.partialEventSize() == whole.partialEventSize());
    return 0;
}
