/// \file
/// A lease as its holder sees it: never believed for longer than the store keeps it.

#include <kumquatpath/decision/lease.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(lease)
{
    lease held{.token = {1}};
    time_point now{100s};

    void setup() override
    {
        ask_lease(held, {1}, now);
        receive_lease_answer(held, {1}, true);
    }
};

TEST(lease, counts_from_before_the_request_was_sent)
{
    CHECK_TRUE(is_held(held, now + 9s - 1ns));
    CHECK_FALSE(is_held(held, now + 9s));
}

TEST(lease, an_answer_that_comes_after_a_pause_gives_no_lease)
{
    ask_lease(held, {2}, now + 3s);
    receive_lease_answer(held, {2}, true);
    CHECK_FALSE(is_held(held, now + 1h));
}

TEST(lease, the_answer_to_an_earlier_request_does_not_count)
{
    ask_lease(held, {2}, now + 3s);
    receive_lease_answer(held, {1}, true);
    CHECK_FALSE(is_held(held, now + 9s));
}

TEST(lease, a_refused_renewal_ends_it)
{
    ask_lease(held, {2}, now + 3s);
    receive_lease_answer(held, {2}, false);
    CHECK_FALSE(is_held(held, now + 3s));
}

TEST(lease, is_renewed_well_before_it_ends)
{
    CHECK_FALSE(is_ask_due(held, now + 3s - 1ns));
    CHECK_TRUE(is_ask_due(held, now + 3s));
}
