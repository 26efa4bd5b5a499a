#include "kumquatbeam/types/order_ticket.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("A ticket round-trips through its text [order_ticket]")
{
    const order_ticket ticket { { "vm.with.dots" }, { 0xfeed }, 7, 0xffffffffffffffff };
    CHECK(parseOrderTicket(toText(ticket)) == ticket);
}

TEST_CASE("Malformed tickets are refused [order_ticket]")
{
    for (const char* text : { "", ".", "vm", "vm.1.2", ".1.2.3", "vm.1.2.", "vm.1.2.zz", "vm.1.2.10000000000000000" })
        CHECK_FALSE(parseOrderTicket(text).has_value());
    CHECK_FALSE(parseOrderTicket(std::string(200, 'v') + ".1.2.3").has_value());
}
