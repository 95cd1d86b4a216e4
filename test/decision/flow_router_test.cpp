/// \file
/// The way of packets of one flow through one instance.

#include "allocation_counter.hpp"
#include "flow_fixture.hpp"

#include <kumquatpath/decision/invariant.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(flow_router)
{
    static constexpr std::uint32_t self = 1;
    static constexpr instance_id from_caller{};

    configuration old = make_configuration(1, targets_from(1, 14));
    configuration drained = change_targets(old, targets_from(2, 14), start_of_test);
    std::shared_ptr<const placement_plan> plan =
        plan_placements(drained, nullptr, start_of_test);
    const service_placement& placement = *plan->services.at(catalogue);
    flow_router router = make_flow_router({.self = {self}, .most_flows = 1000});
    time_point now{seconds(100)};
    action_list actions;

    void setup() override
    {
        violation_policy_is(violation_policy::abort);
    }

    /// Makes the router one of \p fleet instances that all hold the drained
    /// configuration.
    void join(std::uint32_t fleet, generation switched = {2})
    {
        adopt_view(router, make_view(self, fleet), now, actions);
        adopt_plan(router, plan, switched, now);
        advance(seconds(1), switched);
        actions.clear();
    }

    /// Lets time pass with regular ticks and signs of life.
    void advance(duration span, generation switched = {2})
    {
        for (const time_point end = now + span; now < end;)
        {
            now += milliseconds(100);
            tick(router, start_of_test, now, actions);
            note_peer(router, switched, now);
        }
    }

    /// Routes one packet and returns what is done with it.
    action route(packet_kind kind, flow_id flow, instance_id from = from_caller,
                 std::uint8_t hops = 0)
    {
        packet_header header = make_header(kind, flow);
        header.hops = hops;
        actions.clear();
        route_packet(router, {header, {}, from}, now, actions);
        return actions.empty() ? action{drop_packet{}} : actions.back();
    }

    /// Returns the target that a packet goes to, or 0.
    std::uint32_t target_of(packet_kind kind, flow_id flow,
                            instance_id from = from_caller)
    {
        const action done = route(kind, flow, from);
        const auto* sent = std::get_if<send_to_target>(&done);
        return sent == nullptr ? 0 : sent->target.value;
    }

    /// Returns a flow of a moved slot whose first keeper is, or is not, this instance.
    flow_id moved_flow(bool is_kept_here, std::uint64_t from = 1)
    {
        flow_id flow = find_flow_that(true, placement, from);
        while ((group(flow).now.first == instance_id{self}) != is_kept_here)
        {
            flow = find_flow_that(true, placement, flow.value + 1);
        }
        return flow;
    }

    const keeper_group& group(flow_id flow)
    {
        return router.groups[group_of(catalogue, slot_of(flow, placement.slot_count))];
    }

    slot_lookup rest_of(flow_id flow)
    {
        return look_up(placement, slot_of(flow, placement.slot_count), start_of_test,
                       {2});
    }
};

TEST(flow_router, a_flow_of_a_slot_that_did_not_move_goes_straight_to_its_target)
{
    join(8);
    const flow_id flow = find_flow_that(false, placement);

    LONGS_EQUAL(rest_of(flow).current.value, target_of(packet_kind::open, flow));
    LONGS_EQUAL(rest_of(flow).current.value, target_of(packet_kind::data, flow));
    LONGS_EQUAL(0, router.flows.size);
}

TEST(flow_router, a_packet_of_a_moved_slot_goes_one_hop_to_the_keeper)
{
    join(8);
    const flow_id flow = moved_flow(false);
    const action done = route(packet_kind::data, flow);
    const auto* passed = std::get_if<pass_to_peer>(&done);

    CHECK_TRUE(passed != nullptr);
    LONGS_EQUAL(group(flow).now.first.value, passed->peer.value);
    LONGS_EQUAL(1, passed->header.hops);
}

TEST(flow_router, the_keeper_lists_a_new_flow_and_leaves_older_ones_on_the_base)
{
    join(8);
    advance(seconds(4));
    const flow_id fresh = moved_flow(true);
    const flow_id older = moved_flow(true, fresh.value + 1);
    router.groups[group_of(catalogue, slot_of(older, placement.slot_count))].is_complete =
        true;

    LONGS_EQUAL(rest_of(fresh).current.value, target_of(packet_kind::open, fresh));
    LONGS_EQUAL(rest_of(fresh).current.value, target_of(packet_kind::data, fresh));
    LONGS_EQUAL(rest_of(older).base.value, target_of(packet_kind::data, older));
}

TEST(flow_router, a_keeper_whose_list_is_incomplete_asks_the_former_one)
{
    join(8);
    const flow_id flow = moved_flow(true);
    const action done = route(packet_kind::data, flow);
    const auto* passed = std::get_if<pass_to_peer>(&done);

    CHECK_TRUE(passed != nullptr);
    LONGS_EQUAL(group(flow).former.value, passed->peer.value);
}

TEST(flow_router, new_flows_follow_the_old_placement_for_the_switch_delay)
{
    join(1, {1});
    const flow_id early = find_flow_that(true, placement);
    const flow_id late = find_flow_that(true, placement, early.value + 1);

    LONGS_EQUAL(rest_of(early).base.value, target_of(packet_kind::open, early));
    advance(seconds(2), {1});
    LONGS_EQUAL(rest_of(late).current.value, target_of(packet_kind::open, late));
    LONGS_EQUAL(rest_of(early).base.value, target_of(packet_kind::data, early));
}

TEST(flow_router, a_peer_that_has_switched_ends_the_switch_delay)
{
    join(8, {1});
    LONGS_EQUAL(1, router.switched.value);
    note_peer(router, {2}, now);

    LONGS_EQUAL(2, router.switched.value);
}

TEST(flow_router, an_instance_that_was_paused_passes_on_what_it_could_place_before)
{
    join(8);
    const flow_id flow = find_flow_that(false, placement);
    now += seconds(10);

    CHECK_TRUE(std::holds_alternative<pass_to_peer>(route(packet_kind::data, flow)));
    note_peer(router, {2}, now);
    CHECK_TRUE(std::holds_alternative<pass_to_peer>(route(packet_kind::data, flow)));
    advance(seconds(1));
    CHECK_TRUE(std::holds_alternative<send_to_target>(route(packet_kind::data, flow)));
}

TEST(flow_router, an_instance_that_hears_nobody_serves_alone_after_a_while)
{
    join(8);
    const flow_id flow = find_flow_that(false, placement);
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(100);
        tick(router, start_of_test, now, actions);
    }
    CHECK_TRUE(std::holds_alternative<pass_to_peer>(route(packet_kind::data, flow)));
    for (int i = 0; i < 20; ++i)
    {
        now += milliseconds(100);
        tick(router, start_of_test, now, actions);
    }

    CHECK_TRUE(std::holds_alternative<send_to_target>(route(packet_kind::data, flow)));
}

TEST(flow_router, an_instance_behind_a_peer_that_switched_places_nothing_by_itself)
{
    join(8);
    const flow_id flow = find_flow_that(false, placement);
    note_peer(router, {3}, now);

    CHECK_TRUE(std::holds_alternative<pass_to_peer>(route(packet_kind::data, flow)));
}

TEST(flow_router, a_packet_that_was_passed_on_too_often_is_dropped_and_not_guessed)
{
    join(8);
    const action done = route(packet_kind::data, moved_flow(false), {99}, 3);
    const auto* dropped = std::get_if<drop_packet>(&done);

    CHECK_TRUE(dropped != nullptr);
    CHECK_TRUE(dropped->reason == drop_reason::no_keeper);
}

TEST(flow_router, the_reset_of_a_guessed_target_leads_to_the_next_one_and_then_the_caller)
{
    join(1);
    const flow_id flow = find_flow_that(true, placement);
    const flow_key key{catalogue, flow};
    const slot_lookup rest = rest_of(flow);
    LONGS_EQUAL(rest.base.value, target_of(packet_kind::data, flow));

    CHECK_TRUE(take_reset(router, key, rest.base, now));
    LONGS_EQUAL(rest.current.value, target_of(packet_kind::data, flow));
    CHECK_FALSE(take_reset(router, key, rest.current, now));
}

TEST(flow_router, a_listed_flow_is_copied_to_the_replica_only_once_it_has_lasted)
{
    join(8);
    advance(seconds(4));
    const flow_id lasting = moved_flow(true);
    const flow_id brief = moved_flow(true, lasting.value + 1);
    route(packet_kind::open, lasting);
    route(packet_kind::open, brief);
    route(packet_kind::close, brief);
    actions.clear();
    advance(milliseconds(400));
    std::size_t copied = 0;
    for (const action& each : actions)
    {
        const auto* sent = std::get_if<send_to_peer>(&each);
        const auto* listing =
            sent == nullptr ? nullptr : std::get_if<flow_listing>(&sent->message);
        copied += listing == nullptr ? 0 : listing->entries.size();
    }

    LONGS_EQUAL(1, copied);
}

TEST(flow_router, a_full_table_refuses_a_new_flow_of_a_moved_slot_as_not_run)
{
    router = make_flow_router({.self = {self}, .most_flows = 1});
    join(1);
    const flow_id first = find_flow_that(true, placement);
    const flow_id second = find_flow_that(true, placement, first.value + 1);
    route(packet_kind::open, first);
    const action done = route(packet_kind::open, second);
    const auto* refused = std::get_if<send_to_caller>(&done);

    CHECK_TRUE(refused != nullptr);
    CHECK_TRUE(refused->header.outcome == request_outcome::not_run);
    CHECK_TRUE(refused->header.reason == refusal_reason::table_full);
}

TEST(flow_router, a_packet_of_a_known_flow_costs_no_allocation)
{
    join(1);
    const flow_id listed = find_flow_that(true, placement);
    const flow_id unlisted = find_flow_that(false, placement);
    route(packet_kind::open, listed);
    route(packet_kind::data, unlisted);
    const allocation_counter allocations;
    for (int i = 0; i < 100; ++i)
    {
        route(packet_kind::data, listed);
        route(packet_kind::data, unlisted);
    }

    LONGS_EQUAL(0, allocations.made());
}

TEST(flow_router, the_allocation_counter_sees_an_allocation)
{
    const allocation_counter allocations;
    const service_placement copy = placement;

    CHECK_COMPARE(allocations.made(), >=, 1U);
    CHECK_COMPARE(copy.slot_count, >, 0U);
}
