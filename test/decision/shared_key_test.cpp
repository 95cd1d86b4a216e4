/// \file
/// Tests of entries under different ids that mean the same target, by the same digits at
/// the end of their ids. What happens to one of them says nothing about the others.

#include "ended_target_fixture.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr entry_id own{0x1111};
constexpr entry_id copy{0x2222};

target_change with_entry(target_change change, entry_id entry)
{
    change.entry = entry;
    return change;
}

target_change unusable(std::uint64_t revision)
{
    target_change change = departure(1, revision);
    change.is_unusable = true;
    return change;
}

/// An instance that knows target 1 by its own entry.
struct shared_key_fixture : ended_target_fixture
{
    shared_key_fixture()
    {
        directory = exclusive_directory();
        apply_change(directory, with_entry(announcement(1, 10), own), now);
    }

    const known_target& held(entry_id entry) const
    {
        return directory.targets[directory.by_entry.at(entry.value)];
    }

    /// Returns the target that the token of key 1 stands for.
    const known_target& holder() const
    {
        return directory.targets[*find_by_token(directory, token_of({1}))];
    }

    steering_verdict verdict_of_repeated_payload()
    {
        verdict_of(payload(1000, 1));
        now += expiry_grace + 200ms;
        return verdict_of(payload(1000, 1));
    }
};

} // namespace

TEST_GROUP_BASE(shared_key, shared_key_fixture){};

// Guards against open flows that are reset, and a target that gets no new ones, because
// another writer's unusable entry with the same digits was written and removed.
TEST(shared_key, an_unusable_entry_and_its_removal_leave_the_target_as_it_is)
{
    open_flow(1000);
    apply_change(directory, with_entry(unusable(20), copy), now);
    CHECK_TRUE(takes_new_flows(held(own), now));
    apply_change(directory, with_entry(departure(1, 30), copy), now);
    CHECK_TRUE(takes_new_flows(held(own), now));
    CHECK_TRUE(verdict_of_repeated_payload() == steering_verdict::forward);
}

TEST(shared_key, the_own_entry_counts_whatever_the_order_of_arrival)
{
    const std::vector<target_change> changes{with_entry(announcement(1, 10), own),
                                             with_entry(unusable(20), copy),
                                             with_entry(departure(1, 30), copy)};
    std::vector<std::size_t> order{0, 1, 2};
    do
    {
        target_directory any = exclusive_directory();
        for (const std::size_t each : order)
        {
            apply_change(any, changes[each], now);
        }
        CHECK_TRUE(takes_new_flows(any.targets[any.by_entry.at(own.value)], now));
    } while (std::next_permutation(order.begin(), order.end()));
}

TEST(shared_key, is_told_to_peers_entry_by_entry)
{
    apply_change(directory, with_entry(unusable(20), copy), now);
    directory.position = {20};
    directory.complete_from = {20};
    target_directory peer = exclusive_directory();
    apply_update(peer, update_since(directory, {}), now);
    CHECK_TRUE(takes_new_flows(peer.targets[peer.by_entry.at(own.value)], now));
    apply_change(directory, with_entry(departure(1, 30), copy), now);
    directory.position = {30};
    apply_update(peer, update_since(directory, {20}), now);
    CHECK_TRUE(takes_new_flows(peer.targets[peer.by_entry.at(own.value)], now));
}

TEST(shared_key, the_last_usable_entry_keeps_the_target)
{
    target_change second = with_entry(announcement(1, 20), copy);
    apply_change(directory, second, now);
    LONGS_EQUAL(1, std::count_if(directory.targets.begin(), directory.targets.end(),
                                 [&](const known_target& each)
                                 { return takes_new_flows(each, now); }));
    apply_change(directory, with_entry(departure(1, 30), copy), now);
    CHECK_TRUE(takes_new_flows(held(own), now));
    CHECK_TRUE(&holder() == &held(own));
    apply_change(directory, with_entry(announcement(1, 40), copy), now);
    apply_change(directory, with_entry(departure(1, 50), own), now);
    CHECK_TRUE(takes_new_flows(held(copy), now));
    CHECK_TRUE(&holder() == &held(copy));
}

TEST(shared_key, the_entry_of_the_latest_start_and_announcement_counts)
{
    target_change drained = with_entry(announcement(1, 20), own);
    drained.record->incarnation = 7;
    drained.record->sequence = 9;
    drained.record->is_draining = true;
    target_change older = with_entry(announcement(1, 30), copy);
    older.record->incarnation = 7;
    older.record->sequence = 8;
    apply_change(directory, drained, now);
    apply_change(directory, older, now);
    CHECK_FALSE(takes_new_flows(held(own), now));
    CHECK_FALSE(takes_new_flows(held(copy), now));
    older.revision = {40};
    older.record->incarnation = 8;
    apply_change(directory, older, now);
    CHECK_TRUE(takes_new_flows(held(copy), now));
}

TEST(shared_key, entries_at_one_address_replace_each_other_never)
{
    const flow_token token = open_flow(1000);
    apply_change(directory, with_entry(announcement(1, 20), copy), now);
    CHECK_FALSE(held(own).is_replaced);
    CHECK_FALSE(held(copy).is_replaced);
    CHECK_TRUE(verdict_of(continuation(1000, token)) == steering_verdict::forward);
}

TEST(shared_key, a_listing_ends_only_the_entry_that_it_lacks)
{
    apply_change(directory, with_entry(announcement(1, 20), copy), now);
    const std::vector<target_change> listing{with_entry(announcement(1, 10), own)};
    apply_listing(directory, listing, {30}, now);
    CHECK_TRUE(held(own).is_announced);
    CHECK_FALSE(held(copy).is_announced);
}

// An older release does not state entries.
TEST(shared_key, an_entry_that_was_not_stated_is_the_one_that_is_learnt_later)
{
    directory = exclusive_directory();
    apply_change(directory, announcement(1, 10), now);
    apply_change(directory, with_entry(announcement(1, 20), own), now);
    LONGS_EQUAL(1, directory.by_entry.size());
    apply_change(directory, departure(1, 30), now);
    CHECK_FALSE(takes_new_flows(held(own), now));
    apply_change(directory, announcement(1, 40), now);
    CHECK_TRUE(takes_new_flows(held(own), now));
    const std::vector<target_change> listing_of_older_release{announcement(1, 40)};
    apply_listing(directory, listing_of_older_release, {50}, now);
    CHECK_TRUE(takes_new_flows(held(own), now));
}

TEST(shared_key, a_token_passes_on_when_its_target_is_forgotten)
{
    apply_change(directory, with_entry(announcement(1, 20), copy), now);
    apply_change(directory, with_entry(departure(1, 30), copy), now);
    directory.position = {30};
    now += gone_target_retention;
    remove_gone_targets(directory, now);
    LONGS_EQUAL(1, directory.by_entry.size());
    CHECK_TRUE(&holder() == &held(own));
    CHECK_TRUE(directory.token_sharers.empty());
}
