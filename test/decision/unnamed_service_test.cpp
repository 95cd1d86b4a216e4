/// \file
/// Tests of targets whose service the configuration does not name: anyone may have
/// written their announcements.

#include "ended_target_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;

namespace
{

const service_id unnamed = id_of<service_id>("unnamed");

/// Returns the announcement of target \p key, of no named service, at the address of
/// target 1.
target_change unnamed_at_address_of_1(std::uint64_t key, std::uint64_t revision)
{
    target_change change = announcement_at_address_of(1, key, revision);
    change.record->service = unnamed;
    return change;
}

} // namespace

TEST_GROUP_BASE(unnamed_service, ended_target_fixture){
    void name(const service_set& services){name_services(directory, services, now);
}
}
;

// Guards against an entry of another writer that resets all flows of a target that runs.
TEST(unnamed_service, resets_no_flow_of_the_target_that_has_its_address)
{
    entry_instance self = make_entry_instance(
        {.self = {1}, .local_data_centre = north, .has_exclusive_addresses = true});
    apply_configuration(
        self,
        {.revision = {5}, .table = std::make_shared<const routing_table>(web_table())},
        now);
    apply_state_update(
        self, {.position = {10}, .is_whole = true, .targets = {announcement(1, 10)}},
        now);
    apply_state_update(self,
                       {.position = {20},
                        .complete_from = {10},
                        .targets = {unnamed_at_address_of_1(2, 20)}},
                       now);
    const auto steered = [&](const flow_packet& packet)
    {
        return steer(self.steering, table, self.directory, packet, now).verdict;
    };
    CHECK_TRUE(steered(continuation(1000, token_of({1}))) == steering_verdict::forward);
    CHECK_TRUE(steered(opening(1001)) == steering_verdict::forward);
}

TEST(unnamed_service, replaces_no_target_whatever_the_order_of_arrival)
{
    std::vector<target_change> changes{announcement(1, 10),
                                       unnamed_at_address_of_1(2, 20),
                                       unnamed_at_address_of_1(3, 30)};
    std::vector<std::size_t> order{0, 1, 2};
    do
    {
        target_directory any = exclusive_directory();
        for (const std::size_t each : order)
        {
            apply_change(any, changes[each], now);
        }
        CHECK_FALSE(any.targets[any.by_entry.at(1)].is_replaced);
        CHECK_TRUE(takes_new_flows(any.targets[any.by_entry.at(1)], now));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(unnamed_service, hides_no_target_that_replaces_another_one)
{
    apply_change(directory, unnamed_at_address_of_1(2, 20), now);
    apply_change(directory, announcement_at_address_of(1, 3, 15), now);
    CHECK_TRUE(is_replaced(1));
    CHECK_FALSE(is_replaced(3));
}

TEST(unnamed_service, replaces_the_earlier_target_once_a_configuration_names_it)
{
    apply_change(directory, unnamed_at_address_of_1(2, 20), now);
    name({web, store, unnamed});
    CHECK_TRUE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
}

TEST(unnamed_service, does_not_replace_a_later_target_when_a_configuration_names_it)
{
    apply_change(directory, unnamed_at_address_of_1(2, 20), now);
    apply_change(directory, announcement(1, 30), now);
    name({web, store, unnamed});
    CHECK_FALSE(is_replaced(1));
    CHECK_TRUE(is_replaced(2));
}

TEST(unnamed_service, is_that_of_every_target_before_the_first_configuration)
{
    name({});
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_FALSE(is_replaced(1));
    name({web, store});
    CHECK_TRUE(is_replaced(1));
}

// An instance that starts with the later configuration must decide alike.
TEST(unnamed_service, ends_what_its_targets_showed_while_it_was_named)
{
    apply_change(directory, announcement_at_address_of(1, 2, 20), now);
    CHECK_TRUE(is_replaced(1));
    name({web});
    CHECK_FALSE(is_replaced(1));
    name({web, store});
    CHECK_TRUE(is_replaced(1));
}

// Flows that were opened before the configuration dropped the service go on.
TEST(unnamed_service, keeps_the_flows_of_its_targets)
{
    const flow_token token = open_flow(1000);
    name({store});
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(unnamed_service, is_counted_by_its_announced_targets)
{
    UNSIGNED_LONGS_EQUAL(0, count_targets_of_unnamed_services(directory));
    apply_change(directory, unnamed_at_address_of_1(2, 20), now);
    UNSIGNED_LONGS_EQUAL(1, count_targets_of_unnamed_services(directory));
    apply_change(directory, departure(2, 30), now);
    UNSIGNED_LONGS_EQUAL(0, count_targets_of_unnamed_services(directory));
}
