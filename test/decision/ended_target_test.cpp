/// \file
/// Tests of flows whose target has ended, as the next target at its address shows.

#include "ended_target_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(ended_target, ended_target_fixture){};

TEST(ended_target, resets_an_open_flow_once_another_target_has_its_address)
{
    const flow_token token = open_flow(1000);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::target_ended);
}

TEST(ended_target, resets_a_flow_that_was_opened_through_another_instance)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    const flow_token token = token_of({1});
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::target_ended);
    LONGS_EQUAL(0, steering.flows.size());
}

TEST(ended_target, forwards_the_last_packet_of_a_flow)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(verdict_of(ending(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, is_no_load_after_the_reset)
{
    const flow_token token = open_flow(1000);
    flow_packet request = continuation(1000, token);
    request.has_payload = true;
    verdict_of(request);
    LONGS_EQUAL(1, steering.selector.stats[0].in_flight);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    verdict_of(request);
    LONGS_EQUAL(0, steering.selector.stats[0].in_flight);
}

TEST(ended_target, takes_no_new_flows_although_its_own_announcement_is_still_there)
{
    apply_change(directory, announcement(3, 15), now);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    // As many as target 3 has room for.
    for (std::uint16_t flow = 1000; flow < 1004; ++flow)
    {
        const steering_decision placed =
            steer(steering, table, directory, opening(flow), now);
        CHECK_TRUE(placed.verdict == steering_verdict::forward);
        LONGS_EQUAL(directory.by_entry.at(3), placed.target);
    }
}

TEST(ended_target, is_told_by_revisions_whatever_the_order_of_arrival)
{
    target_directory late = exclusive_directory();
    apply_change(late, announcement_at_address_of(1, 2, 20), now);
    apply_change(late, announcement(1, 10), now);
    CHECK_TRUE(late.targets[late.by_entry.at(1)].is_replaced);
    CHECK_FALSE(late.targets[late.by_entry.at(2)].is_replaced);
}

// An instance that starts then knows nothing of the next target, and must decide alike.
TEST(ended_target, is_ended_only_as_long_as_the_next_target_is_announced)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(is_replaced(1));
    apply_change(directory, departure(2, 30), now);
    CHECK_FALSE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
    apply_change(directory, announcement_at_address_of(1, 2, 40), now);
    CHECK_TRUE(is_replaced(1));
    const std::vector<target_change> listing{announcement(1, 10)};
    apply_listing(directory, listing, {50}, now);
    CHECK_FALSE(is_replaced(1));
}

// The late announcement of a target that ended before this one must not end it.
TEST(ended_target, is_not_one_that_was_announced_later_and_is_missing_for_a_while)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, departure(2, 30), now);
    apply_change(directory, announcement(1, 10), now);
    CHECK_FALSE(is_replaced(2));
}

TEST(ended_target, may_come_back_to_its_address)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, announcement(1, 30), now);
    CHECK_FALSE(is_replaced(1));
    CHECK_TRUE(is_replaced(2));
}

TEST(ended_target, keeps_its_flows_when_it_moves_to_another_address)
{
    const flow_token token = open_flow(1000);
    target_change moved = announcement(1, 20);
    moved.record->address.port = 9090;
    apply_change(directory, moved, now);
    apply_change(directory, announcement_at_address_of(1, 2, 30), now);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, is_not_looked_for_unless_addresses_are_exclusive)
{
    directory = {};
    apply_change(directory, announcement(1, 10), now);
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_FALSE(is_replaced(1));
    LONGS_EQUAL(0, directory.by_address.size());
    apply_change(directory, departure(1, 30), now);
    verdict_of(payload(1000, 1));
    now += 200ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

TEST(ended_target, leaves_no_entry_for_its_address_when_it_is_forgotten)
{
    apply_change(directory, departure(1, 20), now);
    directory.position = {20};
    now += gone_target_retention;
    remove_gone_targets(directory, now);
    LONGS_EQUAL(0, directory.by_address.size());
}

// An instance that starts late knows the target that ended only by its departure, whose
// revision may be newer than the announcement of the next target at the address.
TEST(ended_target, does_not_end_the_next_one_for_an_instance_that_learns_of_it_as_gone)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, departure(1, 30), now);
    directory.position = {30};
    target_directory late = exclusive_directory();
    apply_update(late, update_since(directory, {}), now);
    CHECK_FALSE(late.targets[late.by_entry.at(2)].is_replaced);
}

TEST(ended_target, does_not_end_the_next_one_whatever_the_order_of_a_peers_changes)
{
    target_change gone = announcement(1, 30);
    gone.is_gone = true;
    std::vector<target_change> changes{announcement(1, 10),
                                       announcement_at_address_of(1, 2, 20),
                                       departure(1, 30), gone};
    std::vector<std::size_t> order{0, 1, 2, 3};
    do
    {
        target_directory any = exclusive_directory();
        for (const std::size_t each : order)
        {
            apply_change(any, changes[each], now);
            const auto next = any.by_entry.find(2);
            CHECK_FALSE(next != any.by_entry.end() &&
                        any.targets[next->second].is_replaced);
        }
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(ended_target, leaves_its_service_the_next_one_at_its_address)
{
    target_change gone = announcement(1, 30);
    gone.is_gone = true;
    target_change next = announcement_at_address_of(1, 2, 20);
    next.record->service = web;
    target_directory late = exclusive_directory();
    apply_change(late, gone, now);
    apply_change(late, next, now);
    const steering_decision placed = steer(steering, table, late, opening(1000), now);
    CHECK_TRUE(placed.verdict == steering_verdict::forward);
    LONGS_EQUAL(late.by_entry.at(2), placed.target);
}

TEST(ended_target, is_told_to_an_instance_that_knows_it_as_gone_by_a_later_announcement)
{
    target_change gone = announcement(1, 30);
    gone.is_gone = true;
    target_directory late = exclusive_directory();
    apply_change(late, gone, now);
    apply_change(late, announcement_at_address_of(1, 2, 40), now);
    CHECK_TRUE(late.targets[late.by_entry.at(1)].is_replaced);
    target_directory reversed = exclusive_directory();
    apply_change(reversed, announcement_at_address_of(1, 2, 40), now);
    apply_change(reversed, gone, now);
    CHECK_TRUE(reversed.targets[reversed.by_entry.at(1)].is_replaced);
}

TEST(ended_target, is_told_by_the_last_of_three_although_the_first_is_known_only_as_gone)
{
    target_change gone = announcement(1, 30);
    gone.is_gone = true;
    target_directory late = exclusive_directory();
    apply_change(late, gone, now);
    apply_change(late, announcement_at_address_of(1, 2, 20), now);
    apply_change(late, announcement_at_address_of(1, 3, 25), now);
    CHECK_TRUE(late.targets[late.by_entry.at(2)].is_replaced);
    CHECK_FALSE(late.targets[late.by_entry.at(3)].is_replaced);
}

TEST(ended_target, is_not_one_that_moved_before_whatever_the_order_of_arrival)
{
    target_change moved = announcement(1, 15);
    moved.record->address.port = 9090;
    const std::vector<target_change> changes{announcement(1, 10), moved,
                                             announcement_at_address_of(1, 2, 20)};
    std::vector<std::size_t> order{0, 1, 2};
    do
    {
        target_directory any = exclusive_directory();
        for (const std::size_t each : order)
        {
            apply_change(any, changes[each], now);
        }
        CHECK_FALSE(any.targets[any.by_entry.at(1)].is_replaced);
        CHECK_FALSE(any.targets[any.by_entry.at(2)].is_replaced);
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(ended_target, is_not_one_that_restarts_or_is_rolled_back_under_its_own_key)
{
    const flow_token token = open_flow(1000);
    target_change restarted = announcement(1, 20);
    restarted.record->incarnation = 7;
    apply_change(directory, restarted, now);
    apply_change(directory, departure(1, 30), now);
    apply_change(directory, announcement(1, 40), now);
    apply_change(directory, announcement(1, 10), now);
    CHECK_FALSE(is_replaced(1));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, is_not_one_that_changes_its_service_or_is_evacuated)
{
    const flow_token token = open_flow(1000);
    target_change changed = announcement(1, 20);
    changed.record->service = store;
    apply_change(directory, changed, now);
    directory.targets[directory.by_entry.at(1)].is_evacuated = true;
    CHECK_FALSE(is_replaced(1));
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(ended_target, does_not_end_the_one_that_gets_its_index)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    apply_change(directory, departure(1, 30), now);
    directory.position = {30};
    now += gone_target_retention;
    remove_gone_targets(directory, now);
    apply_change(directory, announcement(3, 40), now);
    LONGS_EQUAL(0, directory.by_entry.at(3));
    CHECK_FALSE(is_replaced(3));
    CHECK_FALSE(is_replaced(2));
    apply_change(directory, announcement_at_address_of(1, 4, 50), now);
    CHECK_TRUE(is_replaced(2));
    CHECK_FALSE(is_replaced(3));
}

TEST(ended_target, of_a_first_placement_does_not_end_a_flow_that_another_one_answered)
{
    apply_change(directory, announcement(3, 15), now);
    const steering_decision placed =
        steer(steering, table, directory, opening(1000), now);
    const std::uint64_t other =
        directory.targets[placed.target].record.key.value == 1 ? 3 : 1;
    const target_index second = directory.by_entry.at(other);
    place_second_try(steering, directory, {1000}, steering.flows.at(1000), second, now);
    now += 6ms;
    verdict_of(continuation(1000, token_of({other})));
    const std::uint64_t first = other == 1 ? 3 : 1;
    apply_change(directory, announcement_at_address_of(first, 2, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token_of({first}))) ==
               steering_verdict::forward);
}

TEST(ended_target, is_not_the_one_of_a_pinned_flow_whose_token_names_an_ended_one)
{
    apply_change(directory, announcement(3, 15), now);
    steering.pins_flows = true;
    verdict_of(continuation(1000, token_of({3})));
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(verdict_of(continuation(1000, token_of({1}))) ==
               steering_verdict::forward);
}
