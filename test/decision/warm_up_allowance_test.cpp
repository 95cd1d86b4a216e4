/// \file
/// Tests of the limit on the new flows that one instance gives to a target that warms up,
/// and of its use after that.

#include "warm_up_fixture.hpp"

#include <cmath>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// A period may hold one window more than its length in intervals, as its begin is in
/// any phase.
constexpr double phase_flows = 1;

/// The share of the flows at which the ramp begins.
constexpr double first_ramp_share = 0.1;
/// Above four standard deviations of a share of 2,000 draws.
constexpr double draw_tolerance = 0.05;

} // namespace

TEST_GROUP_BASE(warm_up_allowance, warm_up_fixture){};

TEST(warm_up_allowance, permissions_that_pass_unused_are_lost)
{
    announce(1, 20s);
    CHECK_TRUE(uses_within(2s) > 0);
    now += 5s;
    const int uses = uses_within(1s);
    const double used_rate = used_flows_per_second(10);
    CHECK_TRUE(uses >= std::floor(used_rate));
    CHECK_TRUE(uses <= std::ceil(used_rate) + phase_flows);
}

// A live count that changes with every heartbeat must not grant a window each time.
TEST(warm_up_allowance, a_fleet_size_that_flickers_grants_no_further_flows)
{
    constexpr std::uint32_t fewest = 10;
    constexpr std::uint32_t most = 20;
    announce(1, 20s);
    int uses = 0;
    for (int i = 0; i < 2000; ++i, now += 5ms)
    {
        allowance.instances = i % 2 == 0 ? most : fewest;
        uses += use() ? 1 : 0;
    }
    const double fleet_uses = 10 * used_flows_per_second(10);
    CHECK_TRUE(uses >= std::floor(fleet_uses / most));
    CHECK_TRUE(uses <= fleet_uses / fewest + phase_flows);
}

TEST(warm_up_allowance, an_instance_that_has_just_started_uses_no_limited_target)
{
    announce(1, 20s);
    allowance.usable_from = now + warm_up_discovery_time;
    LONGS_EQUAL(0, uses_within(warm_up_discovery_time));
    CHECK_TRUE(uses_within(2s) > 0);
}

TEST(warm_up_allowance, a_new_start_of_the_target_gets_new_windows)
{
    announce(1, 20s);
    CHECK_TRUE(uses_within(2s) > 0);
    now += 60s;
    CHECK_FALSE(is_cold());
    announce(2, 20s, 8);
    CHECK_TRUE(is_cold());
    const int uses = uses_within(2s);
    CHECK_TRUE(uses > 0);
    CHECK_TRUE(uses <= 2 * max_flows_per_second(10));
    UNSIGNED_LONGS_EQUAL(directory.targets.size(), allowance.windows.size());
}

TEST(warm_up_allowance, a_target_without_a_rate_is_used_more_and_more)
{
    policy.flows_per_second = 0;
    announce(1, 20s);
    const double at_first = drawn_share();
    now += 10s;
    const double half_way = drawn_share();
    now += 10s;
    DOUBLES_EQUAL(first_ramp_share, at_first, draw_tolerance);
    DOUBLES_EQUAL(0.5, half_way, draw_tolerance);
    DOUBLES_EQUAL(1, drawn_share(), 0);
}

TEST(warm_up_allowance, after_a_limited_warm_up_the_use_grows_to_the_full_share)
{
    announce(1, 20s);
    now += 20s;
    DOUBLES_EQUAL(first_ramp_share, drawn_share(), draw_tolerance);
    now += 2500ms;
    DOUBLES_EQUAL(0.5, drawn_share(), draw_tolerance);
    now += 2500ms;
    DOUBLES_EQUAL(1, drawn_share(), 0);
}

TEST(warm_up_allowance, a_target_that_never_was_cold_is_used_fully)
{
    announce(1, 0ms);
    DOUBLES_EQUAL(1, drawn_share(), 0);
    now += 1s;
    DOUBLES_EQUAL(1, drawn_share(), 0);
}

TEST(warm_up_allowance, without_a_policy_every_use_is_allowed_at_no_cost)
{
    announce(1, 20s);
    const warm_up_use use_now = warm_up_use_of(allowance, nullptr, directory, 0, 1, now);
    CHECK_TRUE(use_now.is_allowed);
    DOUBLES_EQUAL(0, use_now.cost, 0);
    UNSIGNED_LONGS_EQUAL(0, allowance.windows.size());
}
