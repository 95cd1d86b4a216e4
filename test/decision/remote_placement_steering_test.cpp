/// \file
/// Tests of the choice of a target while flows leave the data centre by measured times,
/// and of what the placed flows count for.

#include "entry_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(remote_placement_steering)
{
    static constexpr target_index first_southern_target = 4;
    static constexpr std::uint32_t flows_in_flight = 6;
    time_point now{100s};
    target_directory directory;
    target_selector selector;
    std::uint64_t random = 7;

    void setup() override
    {
        for (std::uint64_t key = 1; key <= 2 * first_southern_target; ++key)
        {
            apply_change(
                directory,
                announcement(key, key, key <= first_southern_target ? north : south),
                now);
        }
        selector.local_data_centre = north;
        selector.options = {.uses_speeds = true, .measures_distance = true};
    }

    bool is_southern(target_index index) const
    {
        return directory.targets[index].record.data_centre == south;
    }

    void measure(data_centre_id id, duration time)
    {
        record_opening_time(selector.remote, id, 2ms);
        record_answered_request(
            selector.remote,
            {.service = web, .data_centre = id, .time = time, .latency_goal = 500ms},
            now);
    }

    /// Selects targets for \p length while requests in the north take \p time and those
    /// in the south 50 ms. Returns how many of the targets are in the south.
    int select_for(duration length, duration time)
    {
        constexpr duration interval = 20ms;
        int southern = 0;
        for (duration elapsed{0}; elapsed < length; elapsed += interval)
        {
            now += interval;
            random = hash_pair(random, 1);
            measure(north, time);
            measure(south, 50ms);
            const target_index* const target = select_target(
                selector, directory, {.service = web, .random = random}, now);
            CHECK_TRUE(target != nullptr);
            southern += is_southern(*target) ? 1 : 0;
        }
        return southern;
    }

    /// Lets local flows wait until flows go to the south as well.
    void overload_north()
    {
        change_in_flight(selector.remote, web, north, flows_in_flight);
        select_for(2s, 50ms);
        CHECK_TRUE(select_for(2s, 200ms) > 10);
    }
};

TEST(remote_placement_steering, flows_leave_a_data_centre_whose_targets_make_them_wait)
{
    change_in_flight(selector.remote, web, north, flows_in_flight);
    LONGS_EQUAL(0, select_for(2s, 50ms));
    CHECK_TRUE(select_for(2s, 200ms) > 0);
    CHECK_TRUE(selector.remote.reason == remote_reason::shorter_time);
}

TEST(remote_placement_steering, flows_stay_local_unless_the_setting_is_on)
{
    selector.options.measures_distance = false;
    change_in_flight(selector.remote, web, north, flows_in_flight);
    LONGS_EQUAL(0, select_for(4s, 200ms));
}

TEST(remote_placement_steering, nothing_but_trial_flows_goes_to_a_silent_data_centre)
{
    overload_north();
    for (target_index index = 0; index < directory.targets.size(); ++index)
    {
        for (int i = 0; is_southern(index) && i < 3; ++i)
        {
            record_opening_overdue(selector, directory, index, now);
        }
    }
    // A trial flow every 0.7 s at first.
    CHECK_TRUE(select_for(2s, 200ms) <= 3);
}

TEST(remote_placement_steering, a_remote_target_is_used_if_no_local_one_is_left)
{
    for (std::uint64_t key = 1; key <= first_southern_target; ++key)
    {
        apply_change(directory, departure(key, 100 + key), now);
    }
    LONGS_EQUAL(50, select_for(1s, 50ms));
    CHECK_TRUE(selector.remote.reason == remote_reason::no_local_target);
}

TEST_GROUP(remote_flows)
{
    time_point now{100s};
    routing_table table = web_table();
    target_directory directory;
    flow_steering steering;

    void setup() override
    {
        steering.selector.local_data_centre = north;
        steering.selector.options = {.uses_speeds = true, .measures_distance = true};
    }

    std::uint32_t in_flight(data_centre_id id)
    {
        return steering.selector.remote.services[web].data_centres[id].in_flight;
    }

    steering_decision steer_packet(const flow_packet& packet)
    {
        now += 6ms;
        return steer(steering, table, directory, packet, now);
    }
};

TEST(remote_flows, a_flow_counts_for_the_data_centre_of_its_target_until_it_ends)
{
    apply_change(directory, announcement(1, 1, north), now);
    const steering_decision placed = steer_packet(opening(1));
    UNSIGNED_LONGS_EQUAL(1, in_flight(north));
    steer_packet(continuation(1, placed.token));
    steer_packet(ending(1, placed.token));
    UNSIGNED_LONGS_EQUAL(0, in_flight(north));
}

TEST(remote_flows, a_flow_whose_target_has_left_stops_counting_where_it_was_counted)
{
    apply_change(directory, announcement(1, 1, north), now);
    steer_packet(opening(1));
    apply_change(directory, departure(1, 2), now);
    apply_change(directory, announcement(2, 3, south), now);
    steer_packet(opening(1, 2s));
    UNSIGNED_LONGS_EQUAL(0, in_flight(north));
    UNSIGNED_LONGS_EQUAL(1, in_flight(south));
}

TEST(remote_flows, a_remote_placement_says_why_and_is_counted)
{
    apply_change(directory, announcement(1, 1, south), now);
    const steering_decision placed = steer_packet(opening(1));
    CHECK_TRUE(placed.remote == remote_reason::no_local_target);
    UNSIGNED_LONGS_EQUAL(
        1, steering.selector.remote
               .flows[static_cast<std::size_t>(remote_reason::no_local_target)]);
    apply_change(directory, announcement(2, 2, north), now);
    CHECK_FALSE(steer_packet(opening(2)).remote.has_value());
}

TEST(remote_flows, a_trial_flow_says_that_it_is_one)
{
    apply_change(directory, announcement(1, 1, north), now);
    apply_change(directory, announcement(2, 2, south), now);
    steer_packet(opening(1));
    const target_index southern = 1;
    for (int i = 0; i < 3; ++i)
    {
        record_opening_overdue(steering.selector, directory, southern, now);
    }
    const steering_decision placed = steer_packet(opening(2));
    UNSIGNED_LONGS_EQUAL(southern, placed.target);
    CHECK_TRUE(placed.remote == remote_reason::trial);
}
