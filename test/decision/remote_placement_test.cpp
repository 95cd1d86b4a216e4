/// \file
/// Tests of when flows leave their data centre: load that is uneven between data centres,
/// many instances that decide alike, and distances that are large or small in proportion
/// to the work.

#include "remote_placement_fixture.hpp"

#include <numbers>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

const data_centre_id here = id_of_data_centre(0);
const data_centre_id there = id_of_data_centre(1);

/// The largest share of flows that may be late once the decision has had time to follow.
constexpr double acceptable_late_share = 0.01;
/// The decision has this long to follow a change of the load.
constexpr duration reaction_time = 2s;

/// Returns a constant load of the three data centres.
offered_load constant(double first, double second, double third)
{
    return [=](std::size_t data_centre, duration)
    {
        return std::array{first, second, third}[data_centre];
    };
}

} // namespace

TEST_GROUP(remote_placement)
{
    static constexpr std::uint32_t flows_in_flight = 6;
    time_point now{100s};
    remote_placement placement;
    std::uint64_t random = 7;

    flow_to_place next_flow()
    {
        random = hash_pair(random, 1);
        return {.service = loaded_service,
                .local = here,
                .remote = there,
                .bearable_in_flight = 3,
                .random = random};
    }

    void setup() override
    {
        change_in_flight(placement, loaded_service, here, flows_in_flight);
    }

    void measure(data_centre_id id, duration distance, duration time)
    {
        const duration round_trip = 2ms + 2 * distance;
        record_opening_time(placement, id, round_trip);
        record_answered_request(placement,
                                {.service = loaded_service,
                                 .data_centre = id,
                                 .time = time + round_trip,
                                 .latency_goal = 500ms},
                                now);
    }

    /// Places flows for \p length while requests take these times. Returns the share that
    /// went to the other data centre.
    double place(duration length, duration local, duration remote, duration distance)
    {
        constexpr duration interval = 20ms;
        double flows = 0;
        double remote_flows = 0;
        for (duration elapsed{0}; elapsed < length; elapsed += interval)
        {
            now += interval;
            measure(here, 0ms, local);
            measure(there, distance, remote);
            const flow_to_place flow = next_flow();
            update_placement(placement, flow, now);
            remote_flows += is_remote_better(placement, flow) ? 1 : 0;
            flows += 1;
        }
        return remote_flows / flows;
    }
};

TEST(remote_placement, flows_stay_local_while_nothing_is_measured)
{
    update_placement(placement, next_flow(), now);
    CHECK_FALSE(is_remote_better(placement, next_flow()));
}

TEST(remote_placement, a_wait_that_exceeds_a_small_distance_sends_flows_away)
{
    DOUBLES_EQUAL(0, place(2s, 50ms, 50ms, 1ms), 0);
    CHECK_TRUE(place(2s, 160ms, 50ms, 1ms) > 0.25);
}

TEST(remote_placement, a_wait_below_a_large_distance_keeps_flows_local)
{
    DOUBLES_EQUAL(0, place(2s, 5ms, 5ms, 12ms), 0);
    DOUBLES_EQUAL(0, place(4s, 40ms, 5ms, 12ms), 0);
    CHECK_TRUE(place(4s, 120ms, 5ms, 12ms) > 0.25);
}

TEST(remote_placement, a_wait_that_callers_do_not_notice_keeps_flows_local)
{
    DOUBLES_EQUAL(0, place(2s, 50ms, 50ms, 1ms), 0);
    DOUBLES_EQUAL(0, place(4s, 80ms, 50ms, 1ms), 0);
}

TEST(remote_placement, a_wait_that_is_as_long_elsewhere_keeps_flows_local)
{
    DOUBLES_EQUAL(0, place(2s, 50ms, 50ms, 1ms), 0);
    DOUBLES_EQUAL(0, place(4s, 400ms, 340ms, 1ms), 0);
}

TEST(remote_placement, flows_return_when_the_local_wait_is_over)
{
    place(2s, 50ms, 50ms, 1ms);
    CHECK_TRUE(place(4s, 200ms, 50ms, 1ms) > 0.25);
    place(6s, 50ms, 50ms, 1ms);
    DOUBLES_EQUAL(0, place(2s, 50ms, 50ms, 1ms), 0);
}

TEST(remote_placement, flows_stay_local_while_few_are_in_flight)
{
    place(2s, 50ms, 50ms, 1ms);
    CHECK_TRUE(place(4s, 200ms, 50ms, 1ms) > 0.25);
    change_in_flight(placement, loaded_service, here, 1 - int(flows_in_flight));
    DOUBLES_EQUAL(0, place(200ms, 200ms, 50ms, 1ms), 0);
}

TEST(remote_placement, one_update_after_a_pause_moves_less_than_half_of_the_flows)
{
    place(2s, 50ms, 50ms, 1ms);
    for (int i = 0; i < 20; ++i)
    {
        measure(here, 0ms, 2000ms);
    }
    now += 500ms;
    update_placement(placement, next_flow(), now);
    int remote_flows = 0;
    for (int i = 0; i < 1000; ++i)
    {
        remote_flows += is_remote_better(placement, next_flow()) ? 1 : 0;
    }
    CHECK_TRUE(remote_flows > 0);
    CHECK_TRUE(remote_flows < 500);
}

TEST(remote_placement, answers_that_came_too_quickly_to_be_real_do_not_attract_flows)
{
    place(2s, 50ms, 50ms, 1ms);
    DOUBLES_EQUAL(0, place(4s, 50ms, 1ms, 1ms), 0);
}

TEST(remote_placement, callers_that_move_to_a_data_centre_are_served_by_those_with_room)
{
    loaded_fleet fleet;
    fleet.run(5s, constant(0.8, 0.8, 0.6));
    fleet.run(reaction_time, constant(1.2, 0.4, 0.6));
    const auto moved = fleet.run(6s, constant(1.2, 0.4, 0.6));
    CHECK_TRUE(moved[0].late_share() <= acceptable_late_share);
    CHECK_TRUE(moved[1].remote_share() <= 0.01);
    CHECK_TRUE(moved[2].remote_share() <= 0.01);
    fleet.run(2 * reaction_time, constant(0.8, 0.8, 0.6));
    const auto returned = fleet.run(4s, constant(0.8, 0.8, 0.6));
    CHECK_TRUE(returned[0].remote_share() <= 0.02);
}

TEST(remote_placement, waves_out_of_phase_are_served_by_the_data_centres_with_room)
{
    loaded_fleet fleet;
    const auto waves =
        fleet.run(40s,
                  [](std::size_t data_centre, duration elapsed)
                  {
                      const double turns =
                          milliseconds_of(elapsed) / 13'000 +
                          static_cast<double>(data_centre) / data_centre_count;
                      return 0.65 * (1 + 0.8 * std::sin(2 * std::numbers::pi * turns));
                  });
    for (const placed_flows& each : waves)
    {
        CHECK_TRUE(each.late_share() <= acceptable_late_share);
    }
}

TEST(remote_placement, many_instances_that_measure_late_do_not_move_back_and_forth)
{
    // Twenty times as late as the network between the data centres makes it.
    loaded_fleet fleet;
    fleet.measurement_delay = 20 * fleet.distance;
    fleet.run(6s, constant(1.3, 0.5, 0.5));
    const double usual_share = fleet.run(10s, constant(1.3, 0.5, 0.5))[0].remote_share();
    for (int i = 0; i < 20; ++i)
    {
        const auto flows = fleet.run(500ms, constant(1.3, 0.5, 0.5));
        CHECK_TRUE(flows[0].remote_share() > 0.5 * usual_share);
        CHECK_TRUE(flows[0].remote_share() < 1.5 * usual_share);
        CHECK_TRUE(flows[1].remote_share() <= 0.01);
        CHECK_TRUE(flows[2].remote_share() <= 0.01);
    }
}

TEST(remote_placement, data_centres_that_all_have_room_exchange_no_flows)
{
    loaded_fleet fleet;
    for (const placed_flows& each : fleet.run(20s, constant(0.8, 0.8, 0.8)))
    {
        CHECK_TRUE(each.remote_share() <= 0.01);
    }
}

TEST(remote_placement, flows_that_fill_the_other_data_centres_are_not_sent_on)
{
    loaded_fleet fleet;
    fleet.run(6s, constant(1.8, 0.5, 0.5));
    const auto flows = fleet.run(10s, constant(1.8, 0.5, 0.5));
    CHECK_TRUE(flows[0].late_share() <= acceptable_late_share);
    CHECK_TRUE(flows[1].remote_share() <= 0.05);
    CHECK_TRUE(flows[2].remote_share() <= 0.05);
}
