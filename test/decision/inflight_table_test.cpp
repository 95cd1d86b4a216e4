/// \file
/// The table of unanswered requests: found, taken, expired, bounded.

#include <kumquatpath/decision/inflight_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

inflight_request request_of(std::uint64_t number, duration lifetime)
{
    return {.flow = {number}, .request = {number}, .expires_at = time_point(lifetime)};
}

} // namespace

TEST_GROUP(inflight_table)
{
    inflight_table table = make_inflight_table(64);
};

TEST(inflight_table, finds_every_other_request_after_some_were_taken)
{
    for (std::uint64_t i = 0; i < 64; ++i)
    {
        CHECK_TRUE(remember_inflight(table, request_of(i, 1s)));
    }
    for (std::uint64_t i = 0; i < 64; i += 3)
    {
        CHECK_TRUE(take_inflight(table, {i}, {i}).has_value());
    }
    for (std::uint64_t i = 0; i < 64; ++i)
    {
        CHECK_EQUAL(i % 3 != 0, find_inflight(table, {i}, {i}) != nullptr);
    }
}

TEST(inflight_table, a_full_table_counts_what_it_does_not_remember)
{
    for (std::uint64_t i = 0; i < 65; ++i)
    {
        remember_inflight(table, request_of(i, 1s));
    }
    LONGS_EQUAL(64, table.used);
    LONGS_EQUAL(1, table.refused);
}

TEST(inflight_table, a_copy_of_a_request_is_not_remembered_twice)
{
    CHECK_TRUE(remember_inflight(table, request_of(1, 1s)));
    CHECK_FALSE(remember_inflight(table, request_of(1, 1s)));
}

TEST(inflight_table, expires_just_what_is_past_its_deadline)
{
    for (std::uint64_t i = 0; i < 60; ++i)
    {
        remember_inflight(table, request_of(i, i < 20 ? 1s : 3s));
    }
    std::vector<inflight_request> expired;
    expire_inflight(table, time_point(2s), 1000, expired);
    LONGS_EQUAL(20, expired.size());
    LONGS_EQUAL(40, table.used);
}
