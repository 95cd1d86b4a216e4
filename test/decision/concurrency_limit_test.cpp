/// \file
/// The learned limit: it follows the targets' answers.

#include <kumquatpath/decision/concurrency_limit.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr target_id first_target{1};

concurrency_limit limit_of_four_targets()
{
    concurrency_limit pool;
    const std::vector<target_id> targets{{1}, {2}, {3}, {4}};
    targets_are(pool, targets);
    pool.limit = 16;
    return pool;
}

/// Ends 500 requests, one a 10 ms, in a pool that keeps refusing work.
void end_requests(concurrency_limit& pool, const latency_sample& sample, time_point& now)
{
    for (int i = 0; i < 500; ++i)
    {
        now += 10ms;
        note_started(pool, first_target, room_kind::surplus);
        note_no_room(pool);
        note_ended(pool, {}, first_target, sample, now);
    }
}

} // namespace

TEST_GROUP(concurrency_limit){};

TEST(concurrency_limit, falls_while_answers_are_late)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    end_requests(pool, {.latency = 30ms, .expected = 10ms}, now);

    CHECK_COMPARE(pool.limit, <, 8);
}

TEST(concurrency_limit, grows_while_answers_are_early_and_work_is_refused)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    end_requests(pool, {.latency = 10ms, .expected = 10ms}, now);

    CHECK_COMPARE(pool.limit, >, 32);
}

TEST(concurrency_limit, rests_low_while_nothing_is_refused)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    for (int i = 0; i < 1000; ++i)
    {
        now += 10ms;
        note_started(pool, first_target, room_kind::guaranteed);
        note_ended(pool, {}, first_target, {.latency = 10ms, .expected = 10ms}, now);
    }

    CHECK_COMPARE(pool.limit, <=, 1.1);
    CHECK_COMPARE(pool.limit, >=, 1);
}

TEST(concurrency_limit, goes_by_the_work_that_is_not_flooded)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    for (int i = 0; i < 500; ++i)
    {
        now += 10ms;
        note_started(pool, first_target, room_kind::surplus);
        note_no_room(pool);
        const bool is_flooded = i % 10 != 0;
        note_ended(pool, {}, first_target,
                   {.latency = is_flooded ? 10ms : 30ms,
                    .expected = 10ms,
                    .kind = room_kind::surplus,
                    .is_flooded = is_flooded},
                   now);
    }

    CHECK_COMPARE(pool.limit, <, 8);
}

TEST(concurrency_limit, stands_still_while_the_usual_latency_of_others_is_unknown)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    for (int i = 0; i < 500; ++i)
    {
        now += 10ms;
        note_started(pool, first_target, room_kind::guaranteed);
        note_no_room(pool);
        const bool is_flooded = i % 2 != 0;
        note_ended(pool, {}, first_target,
                   {.latency = 10ms,
                    .expected = is_flooded ? 10ms : 0ms,
                    .is_flooded = is_flooded},
                   now);
    }

    DOUBLES_EQUAL(16, pool.limit, 1e-9);
}

TEST(concurrency_limit, cuts_guaranteed_work_when_answers_stay_late_without_surplus)
{
    concurrency_limit pool = limit_of_four_targets();
    for (int i = 0; i < 100; ++i)
    {
        note_started(pool, first_target, room_kind::guaranteed);
    }
    CHECK_TRUE(is_below_ceiling(pool, 1));
    time_point now(1s);
    end_requests(pool, {.latency = 30ms, .expected = 10ms}, now);

    CHECK_FALSE(is_below_ceiling(pool, 1));
}

TEST(concurrency_limit, falls_when_requests_time_out)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    end_requests(pool, {.end = request_end::timed_out, .latency = 1s}, now);

    CHECK_COMPARE(pool.limit, <=, 4);
}

TEST(concurrency_limit, a_target_that_refuses_at_once_has_no_room_for_a_while)
{
    concurrency_limit pool = limit_of_four_targets();
    time_point now(1s);
    for (int i = 0; i < 10; ++i)
    {
        note_started(pool, first_target, room_kind::surplus);
        note_ended(pool, {}, first_target,
                   {.end = request_end::refused_by_target, .kind = room_kind::surplus},
                   now);
    }

    CHECK_FALSE(has_room(pool, {}, first_target, 1, now + 900ms));
    CHECK_TRUE(has_room(pool, {}, first_target, 1, now + 1001ms));
    CHECK_TRUE(has_room(pool, {}, {2}, 1, now));
}

TEST(concurrency_limit, a_target_takes_no_more_than_its_part)
{
    concurrency_limit pool = limit_of_four_targets();
    for (int i = 0; i < 5; ++i)
    {
        note_started(pool, first_target, room_kind::surplus);
    }

    CHECK_FALSE(has_room(pool, {}, first_target, 1, time_point(1s)));
    CHECK_TRUE(has_room(pool, {}, {2}, 1, time_point(1s)));
}

TEST(concurrency_limit, work_at_a_target_that_left_is_counted_until_it_ends)
{
    concurrency_limit pool = limit_of_four_targets();
    note_started(pool, first_target, room_kind::surplus);
    targets_are(pool, std::vector<target_id>{{2}, {3}, {4}});
    LONGS_EQUAL(1, pool.in_flight);
    note_ended(pool, {}, first_target, {.end = request_end::dropped}, time_point(1s));

    LONGS_EQUAL(0, pool.in_flight);
    DOUBLES_EQUAL(12, pool.limit, 1e-9);
}
