#include "kumquatbeam/decisions/concurrency_limit.hpp"

#include <doctest/doctest.h>

using namespace kumquatbeam;

TEST_CASE("An endpoint without waiting calls may use all of its slots [concurrency_limit]")
{
    concurrency_limit limit;
    limit.setCeiling({ 8 });
    limit.observe(0, { 8 });
    CHECK(limit.limit() == slot_count { 8 });
}

TEST_CASE("One report of waiting calls changes nothing, and consecutive ones lower the limit [concurrency_limit]")
{
    concurrency_limit limit;
    limit.setCeiling({ 10 });
    limit.observe(3, { 10 });
    CHECK(limit.limit() == slot_count { 10 });
    limit.observe(3, { 10 });
    CHECK(limit.limit() == slot_count { 7 });
}

TEST_CASE("The limit recovers one slot at a time, up to the slots of the document [concurrency_limit]")
{
    concurrency_limit limit;
    limit.setCeiling({ 4 });
    limit.observe(1, { 4 });
    limit.observe(1, { 4 });
    CHECK(limit.limit() == slot_count { 2 });
    limit.observe(0, { 2 });
    CHECK(limit.limit() == slot_count { 3 });
    limit.observe(0, { 3 });
    limit.observe(0, { 4 });
    CHECK(limit.limit() == slot_count { 4 });
}

TEST_CASE("A decrease starts from this router's own calls and leaves one slot [concurrency_limit]")
{
    concurrency_limit limit;
    limit.setCeiling({ 100 });
    limit.observe(1, { 0 });
    limit.observe(1, { 0 });
    CHECK(limit.limit() == slot_count { 1 });
}

TEST_CASE("A reduced limit stays reduced when the document gives more slots [concurrency_limit]")
{
    concurrency_limit limit;
    limit.setCeiling({ 10 });
    limit.observe(1, { 10 });
    limit.observe(1, { 10 });
    limit.setCeiling({ 20 });
    CHECK(limit.limit() == slot_count { 7 });
    limit.setCeiling({ 5 });
    CHECK(limit.limit() == slot_count { 5 });
}
