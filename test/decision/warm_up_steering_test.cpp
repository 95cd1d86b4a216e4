/// \file
/// Tests of the steering of openings to a service whose targets warm up.

#include "entry_fixture.hpp"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

/// The limit of each cold target, in new flows per second.
constexpr int rate = 10;
/// The least part of it that the design promises to use at this rate.
constexpr double least_used_part = 1.0 / 6;

} // namespace

TEST_GROUP(warm_up_steering)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;
    std::uint16_t next_flow = 1000;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        limit_warm_ups(rate);
    }

    void limit_warm_ups(double flows_per_second)
    {
        table.warm_ups[web] = {.duration = 20s, .flows_per_second = flows_per_second};
    }

    void add(std::uint64_t key, std::chrono::milliseconds warm_up_left,
             std::uint64_t incarnation = 1)
    {
        target_change change = announcement(key, directory.position.value + 1);
        change.record->warm_up_left = warm_up_left;
        change.record->incarnation = incarnation;
        apply_change(directory, change, now);
        directory.position = change.revision;
    }

    steering_decision steer_packet(const flow_packet& packet)
    {
        return steer(steering, table, directory, packet, now);
    }

    /// Opens a flow whose opening is answered at once and which then ends.
    steering_decision open_and_end_flow()
    {
        const std::uint16_t flow = next_flow++;
        const steering_decision placed = steer_packet(opening(flow));
        if (placed.verdict == steering_verdict::forward)
        {
            steer_packet(continuation(flow, placed.token));
            steer_packet(ending(flow, placed.token));
        }
        return placed;
    }

    void check_equal_shares_after_policy()
    {
        table.warm_ups[web] = {.duration = 5s};
        add(1, 60s);
        add(2, 0ms);
        now += 5s;
        std::map<target_index, int> flows;
        for (int i = 0; i < 1000; ++i, now += 2ms)
        {
            ++flows[open_and_end_flow().target];
        }
        // Five standard deviations off an even share.
        CHECK_TRUE(flows[0] >= 420);
        CHECK_TRUE(flows[1] >= 420);
    }

    /// Opens flows for \p time and returns their number by verdict.
    std::map<steering_verdict, int> serve_for(duration time)
    {
        std::map<steering_verdict, int> counts;
        for (const time_point end = now + time; now < end; now += 2ms)
        {
            ++counts[open_and_end_flow().verdict];
            review_flows(steering, directory, now);
        }
        return counts;
    }
};

TEST(warm_up_steering, targets_that_are_all_cold_get_their_limit_and_the_rest_is_refused)
{
    add(1, 20s);
    add(2, 20s);
    auto counts = serve_for(10s);
    constexpr int rate_of_both = 2 * 10 * rate;
    CHECK_TRUE(counts[steering_verdict::forward] >= least_used_part * rate_of_both);
    CHECK_TRUE(counts[steering_verdict::forward] <= rate_of_both);
    CHECK_TRUE(counts[steering_verdict::warm_up_limit] > 0);
    LONGS_EQUAL(0, counts[steering_verdict::wait]);
    LONGS_EQUAL(0, counts[steering_verdict::no_target]);
    UNSIGNED_LONGS_EQUAL(counts[steering_verdict::forward],
                         steering.selector.warm_up.flows_used);
    UNSIGNED_LONGS_EQUAL(counts[steering_verdict::warm_up_limit],
                         steering.selector.warm_up.flows_refused);
}

TEST(warm_up_steering, warm_targets_take_what_cold_ones_may_not)
{
    add(1, 20s);
    add(2, 0ms);
    auto counts = serve_for(5s);
    LONGS_EQUAL(2500, counts[steering_verdict::forward]);
    CHECK_TRUE(steering.selector.warm_up.flows_used <= 5 * rate);
}

TEST(warm_up_steering, an_opening_waits_for_a_warm_target_that_is_full)
{
    add(1, 20s);
    add(2, 0ms);
    steering.selector.warm_up.usable_from = now + 5s;
    for (std::uint16_t flow = 0; flow < 4; ++flow)
    {
        CHECK_TRUE(steer_packet(opening(flow)).verdict == steering_verdict::forward);
    }
    CHECK_TRUE(steer_packet(opening(4)).verdict == steering_verdict::wait);
}

TEST(warm_up_steering, after_the_warm_up_no_flow_is_refused)
{
    add(1, 2s);
    now += 2s;
    auto counts = serve_for(2s);
    LONGS_EQUAL(1000, counts[steering_verdict::forward]);
}

TEST(warm_up_steering, cold_targets_without_a_stated_rate_take_all_flows_if_alone)
{
    limit_warm_ups(0);
    add(1, 20s);
    auto counts = serve_for(2s);
    LONGS_EQUAL(1000, counts[steering_verdict::forward]);
}

// The announced warm-up may be longer than the policy's duration, which ends it.
TEST(warm_up_steering, after_the_policys_duration_a_target_costs_no_more_than_others)
{
    check_equal_shares_after_policy();
}

TEST(warm_up_steering, after_the_policys_duration_a_target_weighs_as_much_as_others)
{
    steering.selector.options.uses_speeds = true;
    check_equal_shares_after_policy();
}

// A trial flow is chosen before the cheapest target is, so it needs the same permission.
TEST(warm_up_steering, trial_flows_to_a_cold_target_keep_the_limit)
{
    constexpr double low_rate = 0.1;
    // 19 s hold one interval of 10 s, and one more window, as they begin in any phase.
    constexpr std::uint64_t most_used = 2;
    limit_warm_ups(low_rate);
    add(1, 20s);
    add(2, 0ms);
    steering.selector.stats.resize(directory.targets.size());
    steering.selector.stats[0].key = {1};
    steering.selector.stats[0].incarnation = 1;
    steering.selector.stats[0].overdue_openings = 10;
    for (const time_point end = now + 19s; now < end; now += 20ms)
    {
        const std::uint16_t flow = next_flow++;
        const steering_decision placed = steer_packet(opening(flow));
        if (placed.verdict == steering_verdict::forward && placed.target == 1)
        {
            steer_packet(continuation(flow, placed.token));
            steer_packet(ending(flow, placed.token));
        }
    }
    CHECK_TRUE(is_suspect(steering.selector.stats[0]));
    CHECK_TRUE(steering.selector.warm_up.flows_used > 0);
    CHECK_TRUE(steering.selector.warm_up.flows_used <= most_used);
}

// A target that restarts cold meanwhile never counted the flow.
TEST(warm_up_steering,
     a_retransmitted_opening_to_a_restarted_cold_target_needs_permission)
{
    add(1, 0ms);
    CHECK_TRUE(steer_packet(opening(1)).verdict == steering_verdict::forward);
    add(1, 20s, 2);
    steering.selector.warm_up.usable_from = now + 5s;
    now += 300ms;
    CHECK_TRUE(steer_packet(opening(1)).verdict == steering_verdict::warm_up_limit);
}

// The flow was counted when it was placed, and its target may have missed the opening.
TEST(warm_up_steering,
     a_retransmitted_opening_may_reach_the_cold_target_of_its_flow_again)
{
    add(1, 20s);
    steering_decision placed;
    while (placed.verdict != steering_verdict::forward)
    {
        now += 10ms;
        placed = steer_packet(opening(1));
    }
    now += 100ms;
    CHECK_TRUE(steer_packet(opening(1)).verdict == steering_verdict::forward);
    UNSIGNED_LONGS_EQUAL(1, steering.selector.warm_up.flows_used);
}
