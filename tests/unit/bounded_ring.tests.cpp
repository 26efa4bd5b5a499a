#include "kumquatbeam/runtime/bounded_ring.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace kumquatbeam;

TEST_CASE("A ring with only reserved capacity left refuses tryPush and accepts push [bounded_ring]")
{
    using result = bounded_ring<int>::push_result;
    bounded_ring<int> ring({ 3, 1 });
    CHECK(ring.tryPush(1) == result::QueuedFirst);
    CHECK(ring.tryPush(2) == result::Queued);
    CHECK(ring.tryPush(3) == result::Refused);
    CHECK(ring.push(4) == result::Queued);
    CHECK(ring.refused() == 1);

    std::vector<int> drained;
    ring.drainInto(drained);
    CHECK(drained == std::vector<int> { 1, 2, 4 });
    CHECK(ring.tryPush(5) == result::QueuedFirst);
}

TEST_CASE("Messages from several threads all arrive, each thread's in order [bounded_ring]")
{
    constexpr int perThread = 5000;
    constexpr int threads = 4;
    bounded_ring<int> ring({ perThread * threads + 1, 1 });
    std::vector<std::thread> writers;
    writers.reserve(threads);
    for (int writer = 0; writer < threads; ++writer) {
        writers.emplace_back([&ring, writer] {
            for (int number = 0; number < perThread; ++number)
                static_cast<void>(ring.tryPush(writer * perThread + number));
        });
    }
    for (auto& writer : writers)
        writer.join();
    std::vector<int> drained;
    ring.drainInto(drained);
    REQUIRE(drained.size() == static_cast<std::size_t>(perThread) * threads);
    std::vector<int> last(threads, -1);
    bool isOrdered = true;
    for (const int number : drained) {
        isOrdered = isOrdered && number % perThread == last[static_cast<std::size_t>(number / perThread)] + 1;
        last[static_cast<std::size_t>(number / perThread)] = number % perThread;
    }
    CHECK(isOrdered);
}
