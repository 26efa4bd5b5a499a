#include "kumquatbeam/codec/event_framer.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace kumquatbeam;

TEST_CASE("An event is returned once its blank line has been received [events]")
{
    event_framer framer(std::nullopt);
    framer.append("id: 1\ndata: a\n");
    CHECK(framer.takeCompleteEvents().empty());
    CHECK(framer.hasPartialEvent());
    framer.append("\nid: 2\nda");
    CHECK(framer.takeCompleteEvents() == "id: 1\ndata: a\n\n");
    CHECK(framer.last() == event_number { 1 });
    CHECK(framer.partialEventSize() == 8);
}

TEST_CASE("After a resume, events that the caller already has are dropped [events]")
{
    event_framer framer(event_number { 2 });
    framer.append("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    CHECK(framer.takeCompleteEvents() == "id: 3\ndata: c\n\n");
    CHECK(framer.last() == event_number { 3 });
    CHECK_FALSE(framer.hasPartialEvent());
}

TEST_CASE("Events without a number and lines that end with a carriage return are passed on [events]")
{
    event_framer framer(event_number { 7 });
    framer.append("data: x\r\n\r\nweight-versions: 3\nid:8\r\ndata: y\r\n\r\n");
    CHECK(framer.takeCompleteEvents() == "data: x\r\n\r\nweight-versions: 3\nid:8\r\ndata: y\r\n\r\n");
    CHECK(framer.last() == event_number { 8 });
}

TEST_CASE("A stream split at arbitrary bytes is returned unchanged [events]")
{
    std::string stream;
    for (int number = 1; number <= 50; ++number)
        stream += "id: " + std::to_string(number) + "\ndata: " + std::string(static_cast<std::size_t>(number), 'x')
            + "\n\n";
    constexpr unsigned seed = 11;
    std::mt19937 random(seed);
    for (int round = 0; round < 100; ++round) {
        event_framer framer(std::nullopt);
        std::string out;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = std::min<std::size_t>(1 + random() % 40, stream.size() - at);
            framer.append(std::string_view(stream).substr(at, size));
            out += framer.takeCompleteEvents();
            at += size;
        }
        CHECK(out == stream);
        CHECK_FALSE(framer.hasPartialEvent());
    }
}

TEST_CASE("An event number that is not a whole number in range does not count [event_framer]")
{
    for (const char* number : { "-1", "+9", "1e3", "18446744073709551616", "7 8" }) {
        event_framer framer(event_number { 3 });
        framer.append("id: " + std::string(number) + "\ndata: x\n\n");
        CHECK_FALSE(framer.takeCompleteEvents().empty());
        CHECK(framer.last() == event_number { 3 });
    }
}
