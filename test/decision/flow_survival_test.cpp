/// \file
/// Randomised runs of whole fleets with fixed seeds, in virtual time.

#include "bench/survival_world.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::bench;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(flow_survival)
{
    static constexpr std::uint64_t seed = 11;

    void setup() override
    {
        violation_policy_is(violation_policy::abort);
    }

    static world_options small_world(routing kind = routing::slots_keepers)
    {
        return {.seed = seed, .kind = kind, .flows_per_second = 100};
    }

    /// Replaces two instances and changes the targets four times, all within 8 s.
    static void change_everything(world & fleet)
    {
        fleet.events().run_until(time_point(seconds(12)));
        fleet.drain({{3}});
        fleet.join();
        fleet.events().run_until(time_point(seconds(13)));
        fleet.drain({{3}, {5}});
        fleet.leave(1);
        fleet.join();
        fleet.events().run_until(time_point(seconds(16)));
        fleet.add_targets(2);
        fleet.leave(4);
        fleet.events().run_until(time_point(seconds(20)));
        fleet.drain({{5}});
        fleet.events().run_until(time_point(seconds(50)));
    }

    /// Lets the fleet work with moved slots until \p end, and drains one target first.
    static void drain_and_run(world & fleet, seconds end)
    {
        fleet.events().run_until(time_point(seconds(12)));
        fleet.drain({{3}});
        fleet.events().run_until(time_point(end));
    }
};

TEST(flow_survival, planned_changes_at_once_break_no_flow)
{
    world fleet(small_world());
    change_everything(fleet);

    CHECK_COMPARE(fleet.outcome().flows, >, 3000U);
    LONGS_EQUAL(0, fleet.outcome().broken);
    LONGS_EQUAL(0, fleet.outcome().unopened);
    LONGS_EQUAL(0, fleet.outcome().late_opens);
}

TEST(flow_survival, the_same_changes_break_flows_of_a_hash_without_state)
{
    world fleet(small_world(routing::consistent));
    change_everything(fleet);

    CHECK_COMPARE(fleet.outcome().broken, >, 10U);
}

TEST(flow_survival, the_death_of_an_instance_breaks_no_flow)
{
    world fleet(small_world());
    drain_and_run(fleet, seconds(25));
    fleet.die(2);
    fleet.events().run_until(time_point(seconds(50)));

    LONGS_EQUAL(0, fleet.outcome().broken);
}

TEST(flow_survival, an_instance_that_wakes_with_an_old_configuration_breaks_no_flow)
{
    world fleet(small_world());
    drain_and_run(fleet, seconds(25));
    fleet.freeze(2, seconds(10));
    fleet.events().run_until(time_point(seconds(27)));
    fleet.drain({{3}, {5}});
    fleet.events().run_until(time_point(seconds(55)));

    LONGS_EQUAL(0, fleet.outcome().broken);
}
