/// \file
/// Tests of an instance whose store comes back from an older copy of itself: it follows
/// the store, and nothing that serves is lost.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/held_back_entries.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr store_era first{1};
constexpr store_era second{2};

/// An entry of a target as the store has it.
struct entry
{
    std::uint64_t key = 0;
    state_revision revision;
    std::uint64_t sequence = 0;
    bool is_draining = false;
    std::uint64_t incarnation = 100;
};

target_change change_of(const entry& stored)
{
    target_change change = announcement(stored.key, stored.revision.value);
    change.revision = stored.revision;
    change.record->sequence = stored.sequence;
    change.record->is_draining = stored.is_draining;
    change.record->incarnation = stored.incarnation;
    return change;
}

target_change departure_at(std::uint64_t key, state_revision revision)
{
    target_change change = departure(key, revision.value);
    change.revision = revision;
    return change;
}

state_update listing_of(const std::vector<entry>& entries, state_revision position)
{
    state_update update{
        .position = position, .complete_from = position, .is_whole = true};
    for (const entry& each : entries)
    {
        update.targets.push_back(change_of(each));
    }
    return update;
}

state_update changes(std::vector<target_change> targets, state_revision from,
                     state_revision position)
{
    return {.position = position, .complete_from = from, .targets = std::move(targets)};
}

evacuation_change evacuation_of_north(state_revision revision, bool is_withdrawn)
{
    return {.data_centre = north,
            .name = "north",
            .revision = revision,
            .is_withdrawn = is_withdrawn};
}

shared_configuration configuration_of(std::uint64_t generation, state_revision revision)
{
    auto table = std::make_shared<routing_table>(web_table());
    table->generation = {generation};
    return {.revision = revision,
            .written = revision,
            .text = std::make_shared<const std::string>(std::to_string(generation)),
            .table = std::move(table)};
}

entry_instance instance_on_platform(std::uint32_t number)
{
    return make_entry_instance(
        {.self = {number}, .local_data_centre = north, .has_lasting_generations = true});
}

} // namespace

TEST_GROUP(store_return)
{
    time_point now{100s};
    entry_instance self = instance_on_platform(1);

    bool takes_flows(const entry_instance& instance, std::uint64_t key) const
    {
        const auto found = instance.directory.by_entry.find(key);
        return found != instance.directory.by_entry.end() &&
               takes_new_flows(instance.directory.targets[found->second], now);
    }

    bool takes_flows(std::uint64_t key) const
    {
        return takes_flows(self, key);
    }

    shared_state_result apply(const state_update& update)
    {
        return apply_shared_state(self, nullptr, update, now);
    }

    shared_state_result apply(const shared_configuration& configuration,
                              state_revision position)
    {
        return apply_shared_state(
            self, &configuration,
            {.position = position, .complete_from = position, .is_whole = true}, now);
    }

    std::uint64_t generation_in_force() const
    {
        return self.configuration.table->generation.value;
    }

    /// Sends \p to what it lacks of the state of \p from.
    void answer(const entry_instance& from, entry_instance& to)
    {
        const state_request request{.position = to.directory.position,
                                    .configuration = version_of_configuration(to)};
        const state_reply reply = make_state_reply(from, request, now);
        const auto& table = from.configuration.table;
        apply_peer_reply(to, from.fleet.self, reply,
                         reply.configuration_text.empty() ? nullptr : table, now);
    }

    void wait_for_held_back_entries()
    {
        now += copied_entry_delay;
        use_held_back_state(self, now);
    }
};

// Guards against instances that follow no change after the store has come back, because
// its revisions are below those that they knew.
TEST(store_return, is_followed_although_the_revisions_go_back)
{
    apply(listing_of({{1, {10, first}, 1}, {2, {60, first}, 1}}, {60, first}));
    apply(listing_of({{1, {10, second}, 1}, {2, {41, second}, 1}}, {41, second}));
    CHECK_TRUE(self.directory.position == (state_revision{41, second}));
    apply(changes({change_of({1, {42, second}, 2, true})}, {41, second}, {42, second}));
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(takes_flows(2));
}

TEST(store_return, is_reported_once)
{
    CHECK_FALSE(apply(listing_of({}, {60, first})).returned_from.has_value());
    CHECK_TRUE(apply(listing_of({}, {41, second})).returned_from == first);
    CHECK_FALSE(apply(listing_of({}, {42, second})).returned_from.has_value());
}

TEST(store_return, is_not_reported_before_the_whole_state_is_known)
{
    apply(listing_of({}, {60, first}));
    const state_update part =
        changes({change_of({1, {45, second}, 1})}, {44, second}, {45, second});
    CHECK_FALSE(apply(part).returned_from.has_value());
    CHECK_TRUE(apply(listing_of({{1, {45, second}, 1}}, {46, second})).returned_from ==
               first);
}

TEST(store_return, a_late_answer_of_the_old_era_changes_nothing)
{
    apply(listing_of({{1, {10, first}, 1}}, {50, first}));
    const state_update late_listing =
        listing_of({{1, {70, first}, 5, true}, {3, {71, first}, 1}}, {71, first});
    const state_update late_changes =
        changes({departure_at(1, {55, first})}, {50, first}, {55, first});
    apply(listing_of({{1, {10, second}, 1}}, {41, second}));
    apply(late_listing);
    apply(late_changes);
    CHECK_TRUE(takes_flows(1));
    CHECK_FALSE(takes_flows(3));
    CHECK_TRUE(self.directory.position == (state_revision{41, second}));
}

TEST(store_return, a_draining_target_gets_no_new_flows_by_its_older_entry)
{
    apply(listing_of({{1, {60, first}, 7, true}}, {60, first}));
    apply(listing_of({{1, {10, second}, 3}}, {41, second}));
    CHECK_FALSE(takes_flows(1));
    UNSIGNED_LONGS_EQUAL(1, count_held_back_entries(self.directory));
    // It announces again that it drains.
    apply(changes({change_of({1, {43, second}, 7, true})}, {41, second}, {43, second}));
    wait_for_held_back_entries();
    CHECK_FALSE(takes_flows(1));
    UNSIGNED_LONGS_EQUAL(0, count_held_back_entries(self.directory));
}

TEST(store_return, a_target_that_left_gets_no_new_flows_by_its_older_entry)
{
    apply(listing_of({{1, {10, first}, 3}}, {20, first}));
    apply(changes({departure_at(1, {60, first})}, {20, first}, {60, first}));
    apply(listing_of({{1, {10, second}, 3}}, {41, second}));
    CHECK_FALSE(takes_flows(1));
    // Nobody renews the entry, so the store removes it.
    apply(changes({departure_at(1, {43, second})}, {41, second}, {43, second}));
    wait_for_held_back_entries();
    CHECK_FALSE(takes_flows(1));
}

TEST(store_return, a_departure_without_announcement_holds_the_older_entry_back)
{
    apply(listing_of({}, {20, first}));
    apply(changes({departure_at(1, {60, first})}, {20, first}, {60, first}));
    apply(listing_of({{1, {10, second}, 3}}, {41, second}));
    CHECK_FALSE(takes_flows(1));
    wait_for_held_back_entries();
    CHECK_TRUE(takes_flows(1));
}

// A running target does not write an entry again that the copy has unchanged.
TEST(store_return, an_entry_that_stands_is_used_as_a_new_instance_uses_it)
{
    apply(listing_of({{1, {10, first}, 3}}, {20, first}));
    apply(changes({departure_at(1, {60, first})}, {20, first}, {60, first}));
    apply(listing_of({{1, {10, second}, 3}}, {41, second}));
    now += copied_entry_delay - 1ms;
    use_held_back_state(self, now);
    CHECK_FALSE(takes_flows(1));
    now += 1ms;
    const state_update_result used = use_held_back_state(self, now);
    CHECK_TRUE(takes_flows(1));
    UNSIGNED_LONGS_EQUAL(1, used.targets.changed);
}

TEST(store_return, a_held_back_entry_ends_with_a_listing_that_lacks_it)
{
    apply(listing_of({{1, {10, first}, 3}}, {20, first}));
    apply(changes({departure_at(1, {60, first})}, {20, first}, {60, first}));
    apply(listing_of({{1, {10, second}, 3}}, {41, second}));
    apply(listing_of({}, {44, second}));
    wait_for_held_back_entries();
    CHECK_FALSE(takes_flows(1));
}

TEST(store_return, a_later_start_is_used_at_once)
{
    apply(listing_of({{1, {60, first}, 7, true, 100}}, {60, first}));
    apply(listing_of({{1, {45, second}, 1, false, 200}}, {45, second}));
    CHECK_TRUE(takes_flows(1));
}

TEST(store_return,
     a_target_that_the_copy_lacks_keeps_its_flows_until_the_grace_period_ends)
{
    apply(listing_of({{1, {10, first}, 1}, {2, {60, first}, 1}}, {60, first}));
    apply(listing_of({{1, {10, second}, 1}}, {41, second}));
    CHECK_TRUE(takes_flows(2));
    now += expiry_grace - 1ms;
    CHECK_TRUE(takes_flows(2));
    now += 1ms;
    CHECK_FALSE(takes_flows(2));
    apply(changes({change_of({2, {44, second}, 9})}, {41, second}, {44, second}));
    CHECK_TRUE(takes_flows(2));
}

TEST(store_return, an_evacuation_that_the_copy_lacks_stays_until_it_would_be_there_again)
{
    state_update before = listing_of({{1, {10, first}, 1}}, {60, first});
    before.evacuations = {evacuation_of_north({60, first}, false)};
    apply(before);
    apply(listing_of({{1, {10, second}, 1}}, {41, second}));
    CHECK_FALSE(takes_flows(1));
    entry_instance written_again = self;
    wait_for_held_back_entries();
    CHECK_TRUE(takes_flows(1));
    state_update again = changes({}, {41, second}, {43, second});
    again.evacuations = {evacuation_of_north({43, second}, false)};
    apply_shared_state(written_again, nullptr, again, now);
    use_held_back_state(written_again, now);
    CHECK_FALSE(takes_flows(written_again, 1));
}

TEST(store_return, an_evacuation_that_was_withdrawn_does_not_come_back_with_the_copy)
{
    state_update before = listing_of({{1, {10, first}, 1}}, {50, first});
    before.evacuations = {evacuation_of_north({50, first}, false)};
    apply(before);
    state_update withdrawn = changes({}, {50, first}, {60, first});
    withdrawn.evacuations = {evacuation_of_north({60, first}, true)};
    apply(withdrawn);
    state_update copy = listing_of({{1, {10, second}, 1}}, {51, second});
    copy.evacuations = {evacuation_of_north({50, second}, false)};
    apply(copy);
    CHECK_TRUE(takes_flows(1));
    state_update again = changes({}, {51, second}, {53, second});
    again.evacuations = {evacuation_of_north({53, second}, true)};
    apply(again);
    wait_for_held_back_entries();
    CHECK_TRUE(takes_flows(1));
}

TEST(store_return, an_older_configuration_does_not_replace_the_one_in_force)
{
    apply(configuration_of(21, {60, first}), {60, first});
    const shared_state_result copy =
        apply(configuration_of(18, {45, second}), {50, second});
    CHECK_TRUE(copy.is_configuration_kept);
    CHECK_TRUE(is_configuration_ahead_of_store(self));
    UNSIGNED_LONGS_EQUAL(21, generation_in_force());
    // The lost ones are written again one after the other.
    CHECK_TRUE(
        apply(configuration_of(19, {51, second}), {51, second}).is_configuration_kept);
    UNSIGNED_LONGS_EQUAL(21, generation_in_force());
    CHECK_TRUE(
        apply(configuration_of(21, {52, second}), {52, second}).is_configuration_new);
    CHECK_FALSE(is_configuration_ahead_of_store(self));
    CHECK_TRUE(
        apply(configuration_of(22, {53, second}), {53, second}).is_configuration_new);
    UNSIGNED_LONGS_EQUAL(22, generation_in_force());
}

// Generations of the native interface start again from that of the copy.
TEST(store_return,
     a_native_configuration_written_after_it_is_used_whatever_its_generation)
{
    self = make_entry_instance({.self = {1}, .local_data_centre = north});
    apply(configuration_of(21, {60, first}), {60, first});
    shared_configuration copy = configuration_of(18, {45, second});
    apply_shared_state(self, &copy, listing_of({{1, {45, second}, 0}}, {50, second}),
                       now);
    UNSIGNED_LONGS_EQUAL(21, generation_in_force());
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(self.directory.position == (state_revision{50, second}));
    apply(configuration_of(19, {51, second}), {51, second});
    UNSIGNED_LONGS_EQUAL(19, generation_in_force());
}

TEST(store_return, is_told_by_peers)
{
    entry_instance peer = instance_on_platform(2);
    apply(configuration_of(21, {60, first}), {60, first});
    apply(listing_of({{1, {61, first}, 7, true}, {2, {10, first}, 1}}, {61, first}));
    answer(self, peer);
    apply(configuration_of(18, {30, second}), {41, second});
    apply(listing_of({{1, {10, second}, 3}, {2, {10, second}, 1}}, {41, second}));
    apply(changes({departure_at(2, {42, second})}, {41, second}, {42, second}));
    answer(self, peer);
    CHECK_TRUE(peer.directory.position == (state_revision{42, second}));
    CHECK_FALSE(takes_flows(peer, 1));
    now += expiry_grace;
    CHECK_FALSE(takes_flows(peer, 2));
    UNSIGNED_LONGS_EQUAL(21, peer.configuration.table->generation.value);
    CHECK_TRUE(version_of_configuration(peer) == version_of_configuration(self));
}

// A peer that took the newer configuration for the store's went back when the lost ones
// were written again one after the other.
TEST(store_return, a_peer_knows_that_the_configuration_is_ahead_of_the_store)
{
    entry_instance peer = instance_on_platform(2);
    apply(configuration_of(21, {60, first}), {60, first});
    answer(self, peer);
    apply(configuration_of(18, {45, second}), {50, second});
    answer(self, peer);
    CHECK_TRUE(is_configuration_ahead_of_store(peer));
    const shared_configuration again = configuration_of(19, {51, second});
    CHECK_TRUE(apply_shared_state(peer, &again, listing_of({}, {51, second}), now)
                   .is_configuration_kept);
    UNSIGNED_LONGS_EQUAL(21, peer.configuration.table->generation.value);
}

TEST(store_return, a_peer_that_has_not_noticed_takes_nobody_back)
{
    entry_instance peer = instance_on_platform(2);
    apply(listing_of({{1, {60, first}, 1}}, {60, first}));
    answer(self, peer);
    apply(listing_of({{1, {45, second}, 2, true}}, {45, second}));
    answer(peer, self);
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(self.directory.position == (state_revision{45, second}));
}

TEST(store_return, an_instance_that_read_the_copy_gets_the_newer_configuration_from_peers)
{
    apply(configuration_of(21, {60, first}), {60, first});
    apply(configuration_of(18, {45, second}), {50, second});
    entry_instance restarted = instance_on_platform(2);
    const shared_configuration copy = configuration_of(18, {45, second});
    apply_shared_state(restarted, &copy, listing_of({}, {50, second}), now);
    CHECK_TRUE(version_of_configuration(self) > version_of_configuration(restarted));
    answer(self, restarted);
    UNSIGNED_LONGS_EQUAL(21, restarted.configuration.table->generation.value);
    answer(restarted, self);
    UNSIGNED_LONGS_EQUAL(21, generation_in_force());
}

// An older release states no era, so it can't show that the state is current.
TEST(store_return, a_reader_of_another_era_does_not_make_the_state_fresh)
{
    fleet_peers& fleet = self.fleet;
    record_heartbeat(fleet, {9}, 1,
                     {.incarnation = 1,
                      .data_centre = north,
                      .position = {900},
                      .age = 0ms,
                      .read_by = {9}},
                     now);
    CHECK_FALSE(newest_freshness(fleet, {50, first}).as_of.has_value());
    CHECK_TRUE(newest_freshness(fleet, {900}).as_of.has_value());
}
