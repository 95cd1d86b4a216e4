/// \file
/// Tests of the limit of requests in flight, which follows the share of the latency goal
/// that requests take.

#include <kumquatpath/decision/concurrency_limit.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(concurrency_limit)
{
    static constexpr duration goal = 250ms;

    time_point now{100s};
    concurrency_limit limit;

    /// Finishes \p count requests that took \p time, one every 10 ms, under \p load.
    void finish_requests(int count, duration time, service_load load)
    {
        for (int i = 0; i < count; ++i)
        {
            now += 10ms;
            may_start_request(limit, load);
            record_request_time(limit, time, goal, now);
        }
    }
};

TEST(concurrency_limit, doubles_in_slow_start_while_requests_are_fast)
{
    finish_requests(60, 60ms, {.in_flight = 1000, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.max_in_flight > 200,
                    "a limit that is reached must double until requests become slow");
}

TEST(concurrency_limit, does_not_grow_while_it_is_not_reached)
{
    const double before = limit.max_in_flight;
    finish_requests(60, 60ms, {.in_flight = 2, .slots = 42, .instances = 7});
    DOUBLES_EQUAL(before, limit.max_in_flight, 0);
}

TEST(concurrency_limit, decreases_in_proportion_when_requests_take_most_of_their_goal)
{
    limit.max_in_flight = 40;
    finish_requests(1, 225ms, {.in_flight = 30, .slots = 14, .instances = 7});
    CHECK_TRUE_TEXT(limit.max_in_flight < 20,
                    "requests took twice the desired share of the goal");
    CHECK_TRUE_TEXT(limit.max_in_flight > 10, "the decrease must be in proportion");
}

TEST(concurrency_limit, decreases_once_until_requests_started_under_the_old_limit_end)
{
    limit.max_in_flight = 40;
    finish_requests(1, 225ms, {.in_flight = 30, .slots = 14, .instances = 7});
    const double lowered = limit.max_in_flight;
    finish_requests(20, 225ms, {.in_flight = 30, .slots = 14, .instances = 7});
    DOUBLES_EQUAL(lowered, limit.max_in_flight, 0);
}

TEST(concurrency_limit, never_falls_below_the_share_of_the_slots)
{
    finish_requests(1000, 500ms, {.in_flight = 3, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.max_in_flight >= 6, "an instance's share of 42 slots is 6");
}

TEST(concurrency_limit, grows_again_after_an_overload)
{
    finish_requests(200, 500ms, {.in_flight = 20, .slots = 14, .instances = 7});
    finish_requests(400, 50ms, {.in_flight = 1000, .slots = 14, .instances = 7});
    CHECK_TRUE_TEXT(limit.max_in_flight > 40,
                    "quick answers must raise a limit that is reached");
}

TEST(concurrency_limit, does_not_change_without_a_latency_goal)
{
    const double before = limit.max_in_flight;
    for (int i = 0; i < 100; ++i)
    {
        now += 10ms;
        record_request_time(limit, 10s, 0ms, now);
    }
    DOUBLES_EQUAL(before, limit.max_in_flight, 0);
}

TEST(concurrency_limit, grows_at_most_once_per_change_interval)
{
    limit.is_in_slow_start = false;
    limit.max_in_flight = 10;
    finish_requests(10, 90ms, {.in_flight = 1000, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.max_in_flight < 10 * 1.1 * 1.1 + 4,
                    "100 ms allow at most two changes");
}
