/// \file
/// The limit of requests under way: it follows the share of the latency goal that they
/// take.

#include <kumquatpath/decision/concurrency_limit.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(concurrency_limit)
{
    static constexpr duration goal = 250ms;

    time_point now{100s};
    concurrency_limit limit;

    /// Notes \p count requests, one every 10 ms, while \p busy are under way.
    void answer(int count, duration time, service_load load)
    {
        for (int i = 0; i < count; ++i)
        {
            now += 10ms;
            has_room(limit, load);
            note_request_time(limit, time, goal, now);
        }
    }
};

TEST(concurrency_limit, grows_fast_after_a_start_while_requests_are_quick)
{
    answer(60, 60ms, {.busy = 1000, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.most > 200,
                    "a limit that is reached must double until requests slow");
}

TEST(concurrency_limit, stays_while_it_is_not_reached)
{
    const double before = limit.most;
    answer(60, 60ms, {.busy = 2, .slots = 42, .instances = 7});
    DOUBLES_EQUAL(before, limit.most, 0);
}

TEST(concurrency_limit, falls_in_proportion_when_requests_take_most_of_their_goal)
{
    limit.most = 40;
    answer(1, 225ms, {.busy = 30, .slots = 14, .instances = 7});
    CHECK_TRUE_TEXT(limit.most < 20, "requests took twice the wanted share");
    CHECK_TRUE_TEXT(limit.most > 10, "a change is in proportion");
}

TEST(concurrency_limit, changes_once_while_requests_of_the_old_limit_end)
{
    limit.most = 40;
    answer(1, 225ms, {.busy = 30, .slots = 14, .instances = 7});
    const double lowered = limit.most;
    answer(20, 225ms, {.busy = 30, .slots = 14, .instances = 7});
    DOUBLES_EQUAL(lowered, limit.most, 0);
}

TEST(concurrency_limit, never_leaves_slots_idle)
{
    answer(1000, 500ms, {.busy = 3, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.most >= 6, "an instance's share of 42 slots is 6");
}

TEST(concurrency_limit, recovers_after_a_flood)
{
    answer(200, 500ms, {.busy = 20, .slots = 14, .instances = 7});
    answer(400, 50ms, {.busy = 1000, .slots = 14, .instances = 7});
    CHECK_TRUE_TEXT(limit.most > 40, "quick answers must raise a limit that is reached");
}

TEST(concurrency_limit, learns_nothing_without_a_goal)
{
    const double before = limit.most;
    for (int i = 0; i < 100; ++i)
    {
        now += 10ms;
        note_request_time(limit, 10s, 0ms, now);
    }
    DOUBLES_EQUAL(before, limit.most, 0);
}

TEST(concurrency_limit, grows_no_faster_than_requests_show_the_effect)
{
    limit.is_starting = false;
    limit.most = 10;
    answer(10, 90ms, {.busy = 1000, .slots = 42, .instances = 7});
    CHECK_TRUE_TEXT(limit.most < 10 * 1.1 * 1.1 + 4,
                    "100 ms are two changes at the most");
}
