/// \file
/// Tests of when a warm-up ends, whichever announcements arrive, and of what peers and
/// operators are told of it.

#include "warm_up_fixture.hpp"

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(warm_up_end, warm_up_fixture){};

// The announcement may come again from a listing, a peer or a rewrite, and late.
TEST(warm_up_end, a_late_or_repeated_announcement_does_not_move_the_end)
{
    announce(1, 10s);
    now += 6s;
    announce(1, 10s);
    announce(2, 10s);
    now += 3900ms;
    CHECK_TRUE(is_cold());
    announce(3, 100ms);
    CHECK_TRUE(is_cold());
    now += 100ms;
    CHECK_FALSE(is_cold());
    announce(4, 10s);
    CHECK_FALSE(is_cold());
}

TEST(warm_up_end, a_newer_announcement_that_says_less_brings_the_end_forward)
{
    announce(1, 10s);
    announce(2, 2s);
    now += 2s;
    CHECK_FALSE(is_cold());
}

TEST(warm_up_end, a_departure_and_return_of_the_same_start_keeps_the_end)
{
    announce(1, 10s);
    now += 5s;
    apply_change(directory, departure(1, 2), now);
    announce(3, 10s);
    now += 5s;
    CHECK_FALSE(is_cold());
}

TEST(warm_up_end, without_incarnations_a_longer_warm_up_tells_a_new_start)
{
    announce(1, 10s, 0);
    now += 8s;
    announce(2, 2s, 0);
    now += 2s;
    CHECK_FALSE(is_cold());
    announce(3, 10s, 0);
    CHECK_TRUE(is_cold());
}

TEST(warm_up_end, a_warm_up_of_years_ends_after_the_policys_duration_or_an_hour)
{
    announce(1, std::chrono::hours(24 * 365 * 3));
    UNSIGNED_LONGS_EQUAL(1, directory.warm_ups_shortened);
    now += 20s;
    CHECK_FALSE(is_cold());
    policy.duration = 0ms;
    CHECK_TRUE(is_cold());
    now += max_warm_up;
    CHECK_FALSE(is_cold());
}

TEST(warm_up_end, a_summary_counts_warm_ups_until_the_policys_duration)
{
    routing_table table = web_table();
    table.warm_ups[web] = {.duration = 5s};
    announce(1, 60s);
    apply_change(directory, announcement(2, 2), now);
    now += 4s;
    const warm_up_summary cold = summarize_warm_ups(directory, &table, now);
    UNSIGNED_LONGS_EQUAL(1, cold.targets);
    CHECK_TRUE(cold.longest_left == duration(1s));
    now += 1s;
    UNSIGNED_LONGS_EQUAL(0, summarize_warm_ups(directory, &table, now).targets);
    CHECK_TRUE(summarize_warm_ups(directory, nullptr, now).longest_left == duration(55s));
    apply_change(directory, departure(1, 3), now);
    UNSIGNED_LONGS_EQUAL(0, summarize_warm_ups(directory, nullptr, now).targets);
}

// An instance that starts late gets the announcement from a peer, long after its write.
TEST(warm_up_end, a_peer_passes_on_what_is_left_of_a_warm_up)
{
    announce(1, 10s);
    now += 7s;
    std::vector<target_change> changes = changes_since(directory, {});
    restate_warm_ups(directory, changes, now);
    LONGS_EQUAL(3000, changes.at(0).record->warm_up_left.count());
    now += 7s;
    restate_warm_ups(directory, changes, now);
    LONGS_EQUAL(0, changes.at(0).record->warm_up_left.count());
}
