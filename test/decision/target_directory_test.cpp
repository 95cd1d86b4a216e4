/// \file
/// The directory of targets: changes in any order, outages, tokens, memory of the gone.

#include "entry_fixture.hpp"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(target_directory)
{
    time_point now{100s};
    target_directory directory;

    bool is_offered(std::uint64_t key)
    {
        const auto found = directory.by_key.find(key);
        return found != directory.by_key.end() &&
               takes_new_flows(directory.targets[found->second], now);
    }

    void apply(const target_change& change)
    {
        apply_change(directory, change, now);
    }

    bool is_reachable(std::uint64_t key)
    {
        return find_by_token(directory, token_of({key})) != nullptr;
    }
};

TEST(target_directory, an_announced_target_takes_flows_of_its_service)
{
    apply(announcement(1, 10));
    CHECK_TRUE(is_offered(1));
    UNSIGNED_LONGS_EQUAL(1, targets_of(directory, web).size());
    UNSIGNED_LONGS_EQUAL(0, targets_of(directory, store).size());
}

TEST(target_directory, a_draining_target_takes_no_new_flow_and_keeps_its_token)
{
    target_change change = announcement(1, 10);
    change.record->is_draining = true;
    apply(change);
    CHECK_FALSE(is_offered(1));
    CHECK_TRUE(is_reachable(1));
}

TEST(target_directory, an_older_change_that_comes_late_does_not_count)
{
    apply(announcement(1, 10));
    apply(departure(1, 12));
    apply(announcement(1, 11));
    CHECK_FALSE(is_offered(1));
}

TEST(target_directory, changes_in_any_order_lead_to_the_same_directory)
{
    std::vector<target_change> changes;
    for (std::uint64_t revision = 1; revision <= 40; ++revision)
    {
        const std::uint64_t key = 1 + revision % 5;
        changes.push_back(revision % 3 == 0 ? departure(key, revision)
                                            : announcement(key, revision));
    }
    std::mt19937 random(1);
    for (const target_change& each : changes)
    {
        apply(each);
    }
    for (int round = 0; round < 20; ++round)
    {
        std::shuffle(changes.begin(), changes.end(), random);
        target_directory other;
        for (const target_change& each : changes)
        {
            apply_change(other, each, now);
        }
        for (std::uint64_t key = 1; key <= 5; ++key)
        {
            const known_target& here = directory.targets[directory.by_key.at(key)];
            const auto found = other.by_key.find(key);
            const bool is_there =
                found != other.by_key.end() && other.targets[found->second].is_announced;
            CHECK_EQUAL(here.is_announced, is_there);
        }
    }
}

TEST(target_directory, a_listing_takes_out_what_it_lacks)
{
    apply(announcement(1, 10));
    apply(announcement(2, 11));
    const target_change listed = announcement(2, 11);
    apply_listing(directory, {&listed, 1}, {20}, now);
    CHECK_FALSE(is_offered(1));
    CHECK_TRUE(is_offered(2));
}

TEST(target_directory, a_listing_leaves_what_is_newer_than_itself)
{
    apply(announcement(1, 30));
    apply_listing(directory, {}, {20}, now);
    CHECK_TRUE(is_offered(1));
}

TEST(target_directory, open_flows_reach_a_target_that_is_gone_until_they_must_have_ended)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    now += flow_memory - 1s;
    forget_gone(directory, now);
    CHECK_TRUE(is_reachable(1));
    now += 1s;
    forget_gone(directory, now);
    CHECK_FALSE(is_reachable(1));
}

TEST(target_directory, an_announcement_that_lapsed_in_an_outage_counts_for_a_while)
{
    apply(announcement(1, 10));
    note_return(directory, lapsing_outage, now);
    apply(departure(1, 11));
    CHECK_TRUE(is_offered(1));
    now += lapse_grace;
    CHECK_FALSE(is_offered(1));
}

TEST(target_directory, a_draining_target_gets_no_grace_after_an_outage)
{
    target_change change = announcement(1, 10);
    change.record->is_draining = true;
    apply(change);
    note_return(directory, lapsing_outage, now);
    apply(departure(1, 11));
    CHECK_FALSE(is_offered(1));
}

TEST(target_directory, without_an_outage_a_departure_counts_at_once)
{
    apply(announcement(1, 10));
    note_return(directory, lapsing_outage - 1ms, now);
    apply(departure(1, 11));
    CHECK_FALSE(is_offered(1));
}

TEST(target_directory, a_target_that_returns_with_its_key_moves_to_its_new_address)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    target_change again = announcement(1, 12);
    again.record->address.port = 9999;
    apply(again);
    CHECK_TRUE(is_offered(1));
    const target_index place = *find_by_token(directory, token_of({1}));
    UNSIGNED_LONGS_EQUAL(9999, directory.targets[place].record.address.port);
}

TEST(target_directory, an_address_that_passes_to_another_target_belongs_to_both_keys)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    target_change other = announcement(2, 12);
    other.record->service = store;
    other.record->address = announcement(1, 10).record->address;
    apply(other);
    const target_index old_place = *find_by_token(directory, token_of({1}));
    UNSIGNED_LONGS_EQUAL(1, directory.targets[old_place].record.key.value);
    UNSIGNED_LONGS_EQUAL(
        0,
        std::count_if(directory.by_service[web].begin(), directory.by_service[web].end(),
                      [&](target_index each)
                      { return takes_new_flows(directory.targets[each], now); }));
}

TEST(target_directory, what_a_peer_lacks_is_told_with_the_tokens_of_the_gone)
{
    apply(announcement(1, 10));
    apply(announcement(2, 11));
    apply(departure(1, 12));
    target_directory newcomer;
    for (const target_change& each : changes_since(directory, {0}))
    {
        apply_change(newcomer, each, now);
    }
    CHECK_TRUE(find_by_token(newcomer, token_of({1})) != nullptr);
    CHECK_FALSE(takes_new_flows(newcomer.targets[newcomer.by_key.at(1)], now));
    CHECK_TRUE(takes_new_flows(newcomer.targets[newcomer.by_key.at(2)], now));
    UNSIGNED_LONGS_EQUAL(1, changes_since(directory, {11}).size());
}

TEST(target_directory, a_place_that_is_free_again_is_used_by_another_target)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    now += flow_memory;
    forget_gone(directory, now);
    apply(announcement(2, 12));
    UNSIGNED_LONGS_EQUAL(1, directory.targets.size());
    CHECK_TRUE(is_offered(2));
}
