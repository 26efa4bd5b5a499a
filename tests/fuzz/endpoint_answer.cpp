#include "fuzzed_text.hpp"

#include "sessions/endpoint_session_fixture.hpp"

// An answer, head and body through the session, has exactly one outcome, and only a whole answer with a final status
// counts as completed.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace kumquatbeam;
    using namespace std::chrono_literals;
    if (size == 0)
        return 0;
    const auto delivery = *data % 2 == 0 ? answer_delivery::Buffered : answer_delivery::Events;
    testing::endpoint_session_fixture fixture({ .opening = textOf(data + 1, size - 1), .resets = true });
    fixture.start(fixture.attempt(2s, delivery));
    const auto ended = fixture.outcome(3s);
    require(ended.has_value());
    require(fixture.duty.outcomes.size() == 1);
    require((ended->outcome == attempt_outcome::Completed) == !ended->problem.has_value());
    require(ended->outcome != attempt_outcome::Completed || (ended->status.value >= 200 && ended->status.value <= 599));
    return 0;
}
