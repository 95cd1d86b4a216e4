/// \file
/// The history of slots, as one configuration tells it.

#include "flow_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

TEST_GROUP(flow_placement)
{
    configuration old = make_configuration(1, targets_from(1, 14));
    configuration drained = change_targets(old, targets_from(2, 14), start_of_test);
    generation newest{~0ULL};

    static const service_placement& only_service(const placement_plan& plan)
    {
        return *plan.services.at(catalogue);
    }
};

TEST(flow_placement, a_service_that_never_changed_has_no_history)
{
    const auto plan = plan_placements(old, nullptr, start_of_test);

    LONGS_EQUAL(0, only_service(*plan).moves.size());
}

TEST(flow_placement, only_little_more_than_the_slots_of_a_drained_target_hold_a_history)
{
    const auto plan = plan_placements(drained, nullptr, start_of_test);
    const auto& placement = only_service(*plan);

    CHECK_COMPARE(placement.moves.size(), >=, placement.slot_count / 14);
    CHECK_COMPARE(placement.moves.size(), <=, placement.slot_count / 14 * 3 / 2);
}

TEST(flow_placement, a_newcomer_knows_the_same_base_as_one_that_saw_the_old_placement)
{
    const auto before = plan_placements(old, nullptr, start_of_test);
    const auto after = plan_placements(drained, nullptr, start_of_test);
    std::uint32_t differing = 0;
    for (std::uint32_t i = 0; i < only_service(*after).slot_count; ++i)
    {
        const auto was = look_up(only_service(*before), {i}, start_of_test, newest);
        const auto is = look_up(only_service(*after), {i}, start_of_test, newest);
        differing += was.current == is.base ? 0U : 1U;
    }

    LONGS_EQUAL(0, differing);
}

TEST(flow_placement, new_flows_follow_the_old_placement_until_the_switch)
{
    const auto plan = plan_placements(drained, nullptr, start_of_test);
    const auto& placement = only_service(*plan);
    const slot_index slot = placement.moves.front().slot;

    const auto before = look_up(placement, slot, start_of_test, {1});
    const auto after = look_up(placement, slot, start_of_test, {2});

    LONGS_EQUAL(before.base.value, before.current.value);
    CHECK_TRUE(after.base != after.current);
}

TEST(flow_placement, a_stay_ends_as_base_at_its_expiry_and_as_history_a_grace_later)
{
    const auto plan = plan_placements(drained, nullptr, start_of_test);
    const auto& placement = only_service(*plan);
    const slot_index slot = placement.moves.front().slot;
    const wall_time expiry = start_of_test + lifetime;

    const auto at_expiry = look_up(placement, slot, expiry, newest);
    const auto after_grace = look_up(placement, slot, expiry + expiry_grace, newest);

    LONGS_EQUAL(at_expiry.current.value, at_expiry.base.value);
    CHECK_TRUE(at_expiry.is_moved);
    CHECK_FALSE(after_grace.is_moved);
}

TEST(flow_placement, a_slot_that_came_back_keeps_the_target_that_it_rested_on_between)
{
    const configuration back = change_targets(drained, targets_from(1, 14),
                                              start_of_test + std::chrono::seconds(60));
    const auto plan = plan_placements(back, nullptr, start_of_test);
    const auto& placement = only_service(*plan);
    const slot_index slot = placement.moves.front().slot;
    const auto rest = look_up(placement, slot, start_of_test, newest);

    LONGS_EQUAL(rest.base.value, rest.current.value);
    CHECK_TRUE(rest.is_moved);
    LONGS_EQUAL(2, history_of(placement, slot, start_of_test).size());
}

TEST(flow_placement, a_service_that_did_not_change_shares_its_placement)
{
    configuration next = drained;
    next.generation = {3};
    const auto plan = plan_placements(drained, nullptr, start_of_test);
    const auto again = plan_placements(next, plan.get(), start_of_test);

    POINTERS_EQUAL(&only_service(*plan), &only_service(*again));
}

TEST(flow_placement, a_larger_slot_count_keeps_the_base_of_every_flow)
{
    const configuration grown = change_targets(old, targets_from(1, 100), start_of_test);
    const auto before = plan_placements(old, nullptr, start_of_test);
    const auto after = plan_placements(grown, nullptr, start_of_test);
    const auto& small = only_service(*before);
    const auto& large = only_service(*after);
    std::uint32_t differing = 0;
    for (flow_id flow{1}; flow.value <= 1000; ++flow.value)
    {
        const auto was =
            look_up(small, slot_of(flow, small.slot_count), start_of_test, newest);
        const auto is =
            look_up(large, slot_of(flow, large.slot_count), start_of_test, newest);
        differing += was.current == is.base ? 0U : 1U;
    }

    CHECK_COMPARE(large.slot_count, >, small.slot_count);
    LONGS_EQUAL(0, differing);
}

TEST(flow_placement, a_newcomer_treats_a_change_of_the_last_seconds_as_not_switched)
{
    using std::chrono::seconds;

    LONGS_EQUAL(1, initial_switch(drained, start_of_test + seconds(1)).value);
    LONGS_EQUAL(2, initial_switch(drained, start_of_test + seconds(7)).value);
}
