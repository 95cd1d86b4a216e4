/// \file
/// Tests of the choice of a target while flows leave the data centre by measured times.

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
