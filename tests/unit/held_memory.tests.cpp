#include "kumquatbeam/decisions/held_memory.hpp"
#include "kumquatbeam/decisions/waiting_order.hpp"
#include "kumquatbeam/types/ids.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;
using namespace std::chrono_literals;

namespace {

constexpr time_point start { 1000s };

} // namespace

// LOST, memory over the limit: callers that stopped short of the end of their requests held the memory of the process.
TEST_CASE("The owner that has held the most for the longest time is dropped first [held_memory]")
{
    held_memory<request_id> memory({ 1000 }, rankBySizeAndTime);
    memory.record({ 1 }, {}, { 400 }, start);
    memory.record({ 2 }, {}, { 500 }, start + 9s);
    memory.record({ 3 }, {}, { 10 }, start);
    CHECK_FALSE(memory.ownerToDrop(start + 10s));
    memory.record({ 2 }, {}, { 600 }, start + 10s);
    CHECK(memory.ownerToDrop(start + 10s) == request_id { 1 });
    // After a long time, the difference in age no longer decides.
    CHECK(memory.ownerToDrop(start + 1000s) == request_id { 2 });
    memory.release({ 1 });
    CHECK_FALSE(memory.ownerToDrop(start + 1000s));
    CHECK(memory.held().value == 610);
}

TEST_CASE("Among owners that began at the same time, the largest is dropped first [held_memory]")
{
    held_memory<request_id> memory({ 10 }, rankBySizeAndTime);
    memory.record({ 1 }, {}, { 8 }, start);
    memory.record({ 2 }, {}, { 9 }, start);
    CHECK(memory.ownerToDrop(start) == request_id { 2 });
}

TEST_CASE("The time of an owner begins anew when it has held nothing that can be dropped [held_memory]")
{
    held_memory<request_id> memory({ 100 }, rankBySizeAndTime);
    memory.record({ 1 }, {}, { 60 }, start);
    memory.record({ 1 }, { 1 }, {}, start + 50s);
    memory.record({ 1 }, { 1 }, { 60 }, start + 99s);
    memory.record({ 2 }, {}, { 60 }, start + 90s);
    CHECK(memory.ownerToDrop(start + 100s) == request_id { 2 });
}

TEST_CASE("Fixed bytes count, and an owner that holds only such is not dropped [held_memory]")
{
    held_memory<request_id> memory({ 1000 }, rankBySizeAndTime);
    memory.record({ 1 }, { 900 }, {}, start);
    memory.record({ 2 }, {}, { 101 }, start + 5s);
    CHECK(memory.ownerToDrop(start + 5s) == request_id { 2 });
    memory.release({ 2 });
    memory.record({ 1 }, { 2000 }, {}, start);
    CHECK_FALSE(memory.ownerToDrop(start + 5s));
}

TEST_CASE("Bytes are fixed only within a part of the limit [held_memory]")
{
    held_memory<request_id> memory({ 1000 }, rankBySizeAndTime);
    memory.record({ 1 }, { 500 }, { 400 }, start);
    CHECK(memory.canFix({ 250 }, 0.75));
    CHECK_FALSE(memory.canFix({ 251 }, 0.75));
    memory.record({ 1 }, {}, { 400 }, start);
    CHECK(memory.canFix({ 750 }, 0.75));
    memory.record({ 1 }, {}, {}, start);
    CHECK(memory.held().value == 0);
}

// DENIED: connections that said nothing shut out the callers that came after them.
TEST_CASE("Connections wait in the order in which their waiting began [waiting_order]")
{
    waiting_order<request_id> order;
    CHECK(order.isEmpty());
    for (std::uint64_t id : { 1, 2, 3 })
        order.begin({ id });
    order.begin({ 1 });
    order.end({ 2 });
    order.end({ 2 });
    CHECK(order.longestFirst() == std::list<request_id> { { 3 }, { 1 } });
    order.end({ 3 });
    order.end({ 1 });
    CHECK(order.isEmpty());
}
