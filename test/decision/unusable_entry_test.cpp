/// \file
/// Tests of entries that can't be used: they say nothing about whether the target runs
/// that was announced under their key.

#include "ended_target_fixture.hpp"

#include <array>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

const service_id unnamed = id_of<service_id>("unnamed");

/// Returns the change of \p revision that reports the entry of target \p key unusable.
target_change unusable(std::uint64_t key, std::uint64_t revision)
{
    target_change change = departure(key, revision);
    change.is_unusable = true;
    return change;
}

/// Returns an announcement of target 1 for a service that is not named, at another
/// address than its own.
target_change unnamed_announcement(std::uint64_t revision)
{
    target_change change = announcement(1, revision);
    change.record->service = unnamed;
    change.record->address.port = 9090;
    return change;
}

/// Returns the whole state of \p directory, as a peer sends it.
state_update whole_state_of(const target_directory& directory)
{
    state_update update = update_since(directory, {});
    update.is_whole = true;
    return update;
}

} // namespace

TEST_GROUP_BASE(unusable_entry, ended_target_fixture){
    const known_target & target_1()
                             const {return directory.targets[directory.by_entry.at(1)];
}

/// Returns the verdict on a payload of an open flow that is sent again after
/// \p waited, as one is that the target works on for so long.
steering_verdict verdict_of_repeated_payload(duration waited = 200ms)
{
    verdict_of(payload(1000, 1));
    now += waited;
    return verdict_of(payload(1000, 1));
}
}
;

// Guards against the loss of a request that its target is at work on while somebody
// else's entry stands under the target's key.
TEST(unusable_entry, resets_no_flow_whose_target_leaves_a_packet_unanswered)
{
    open_flow(1000);
    apply_change(directory, unusable(1, 20), now);
    CHECK_TRUE(verdict_of_repeated_payload() == steering_verdict::forward);
    now += gone_target_retention / 2;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::forward);
}

TEST(unusable_entry, names_no_target_for_new_flows)
{
    record_outage_end(directory, 10s, now);
    apply_change(directory, unusable(1, 20), now);
    CHECK_FALSE(takes_new_flows(target_1(), now));
    apply_change(directory, announcement(1, 30), now);
    CHECK_TRUE(takes_new_flows(target_1(), now));
    CHECK_FALSE(target_1().is_unusable);
}

TEST(unusable_entry, that_is_removed_leaves_the_target_time_to_announce_itself_again)
{
    open_flow(1000);
    apply_change(directory, unusable(1, 20), now);
    apply_change(directory, departure(1, 30), now);
    CHECK_TRUE(verdict_of_repeated_payload(expiry_grace - 1ms) ==
               steering_verdict::forward);
    now += 1ms;
    CHECK_TRUE(verdict_of(payload(1000, 1)) == steering_verdict::target_ended);
}

TEST(unusable_entry, that_a_listing_lacks_is_removed)
{
    apply_change(directory, unusable(1, 20), now);
    const std::array listing{announcement(3, 15)};
    apply_listing(directory, listing, {30}, now);
    CHECK_FALSE(target_1().is_unusable);
    CHECK_TRUE(target_1().missing_from == now + expiry_grace);
}

TEST(unusable_entry, that_a_listing_has_stays)
{
    const std::array listing{unusable(1, 20)};
    apply_listing(directory, listing, {30}, now);
    CHECK_TRUE(target_1().is_unusable);
    apply_listing(directory, listing, {40}, now);
    CHECK_TRUE(target_1().is_unusable);
}

TEST(unusable_entry, replaces_no_target_and_keeps_the_address_of_its_own)
{
    apply_change(directory, unusable(1, 20), now);
    apply_change(directory, announcement_at_address_of(1, 2, 30), now);
    CHECK_TRUE(is_replaced(1));
    apply_change(directory, unusable(2, 40), now);
    CHECK_FALSE(is_replaced(1));
    CHECK_FALSE(is_replaced(2));
    apply_change(directory, announcement(1, 50), now);
    CHECK_TRUE(takes_new_flows(target_1(), now));
}

TEST(unusable_entry, is_told_to_peers_as_what_it_is)
{
    apply_change(directory, unusable(1, 20), now);
    target_directory peer = exclusive_directory();
    apply_change(peer, announcement(1, 10), now);
    apply_update(peer, {.position = {20}, .targets = changes_since(directory, {10})},
                 now);
    CHECK_TRUE(peer.targets[peer.by_entry.at(1)].is_unusable);
    target_directory late = exclusive_directory();
    apply_update(late, whole_state_of(directory), now);
    CHECK_TRUE(late.targets[late.by_entry.at(1)].is_unusable);
}

// An instance that started while the entry was unusable knows no announcement.
TEST(unusable_entry, is_told_by_an_instance_that_never_knew_the_announcement)
{
    target_directory late = exclusive_directory();
    const std::array listing{unusable(1, 20)};
    apply_listing(late, listing, {30}, now);
    apply_update(directory, whole_state_of(late), now);
    CHECK_TRUE(target_1().is_unusable);
    apply_change(late, announcement(1, 10), now);
    CHECK_TRUE(late.targets[late.by_entry.at(1)].is_unusable);
}

TEST(unusable_entry, of_an_unknown_target_is_a_departure_once_a_listing_lacks_it)
{
    target_directory late = exclusive_directory();
    const std::array listing{unusable(1, 20)};
    apply_listing(late, listing, {30}, now);
    apply_listing(late, {}, {40}, now);
    CHECK_FALSE(late.tombstones.at(1).is_unusable);
    UNSIGNED_LONGS_EQUAL(40, late.tombstones.at(1).revision.value);
}

TEST(unusable_entry, that_arrives_after_its_removal_is_a_departure)
{
    target_directory late = exclusive_directory();
    late.position = {30};
    apply_change(late, unusable(1, 20), now);
    CHECK_FALSE(late.tombstones.at(1).is_unusable);
    directory.position = {30};
    CHECK_FALSE(apply_change(directory, unusable(1, 20), now));
    CHECK_TRUE(target_1().is_announced);
}

TEST(unusable_entry, is_an_announcement_for_a_service_that_is_not_named)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, unnamed_announcement(20), now);
    CHECK_TRUE(target_1().is_unusable);
    CHECK_TRUE(verdict_of_repeated_payload() == steering_verdict::forward);
    const steering_decision decision =
        steer(steering, table, directory, continuation(1000, token), now);
    CHECK_TRUE(directory.targets[decision.target].record.address ==
               announcement(1, 10).record->address);
    apply_change(directory, announcement(1, 30), now);
    CHECK_TRUE(takes_new_flows(target_1(), now));
    CHECK_FALSE(target_1().set_aside.has_value());
}

TEST(unusable_entry, is_used_once_a_configuration_names_its_service)
{
    apply_change(directory, unnamed_announcement(20), now);
    name_services(directory, {web, store, unnamed}, now);
    CHECK_TRUE(target_1().is_announced);
    CHECK_TRUE(target_1().record.service == unnamed);
    UNSIGNED_LONGS_EQUAL(20, target_1().revision.value);
}

TEST(unusable_entry, that_is_set_aside_is_told_to_peers_as_it_was_written)
{
    apply_change(directory, unnamed_announcement(20), now);
    target_directory peer{.has_exclusive_addresses = true};
    name_services(peer, {web, store, unnamed}, now);
    apply_update(peer, whole_state_of(directory), now);
    const known_target& told = peer.targets[peer.by_entry.at(1)];
    CHECK_TRUE(told.is_announced);
    CHECK_TRUE(told.record.service == unnamed);
}

TEST(unusable_entry, is_counted)
{
    UNSIGNED_LONGS_EQUAL(0, count_unusable_targets(directory));
    apply_change(directory, unusable(1, 20), now);
    UNSIGNED_LONGS_EQUAL(1, count_unusable_targets(directory));
    apply_change(directory, unnamed_announcement(30), now);
    UNSIGNED_LONGS_EQUAL(1, count_unusable_targets(directory));
    UNSIGNED_LONGS_EQUAL(1, count_targets_of_unnamed_services(directory));
}
