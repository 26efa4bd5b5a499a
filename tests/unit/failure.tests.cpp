#include "kumquatbeam/types/failure.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("A failure round-trips through a status [failure]")
{
    const failure what { failure_kind::ValueOutOfRange, "line 3 [router] caller-port", "0", "1 to 65535 port" };
    const auto status = toStatus(what);

    CHECK(status.code() == absl::StatusCode::kOutOfRange);
    REQUIRE(failureOf(status).has_value());
    CHECK(*failureOf(status) == what);
}

TEST_CASE("A status that was not made from a failure carries none [failure]")
{
    CHECK_FALSE(failureOf(absl::InternalError("elsewhere")).has_value());
}

TEST_CASE("Every kind of failure is found by its name [failure]")
{
    for (int number = 0; number <= static_cast<int>(failure_kind::PlatformUnreachable); ++number) {
        const auto kind = static_cast<failure_kind>(number);
        CHECK(failureKindNamed(nameOf(kind)) == kind);
    }
}
