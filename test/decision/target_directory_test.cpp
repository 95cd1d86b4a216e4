/// \file
/// Tests of the target directory: changes in any order, listings, outages, tokens and the
/// retention of gone targets.

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

    bool takes_flows(std::uint64_t key)
    {
        const auto found = directory.by_entry.find(key);
        return found != directory.by_entry.end() &&
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
    CHECK_TRUE(takes_flows(1));
    UNSIGNED_LONGS_EQUAL(1, targets_of(directory, web).size());
    UNSIGNED_LONGS_EQUAL(0, targets_of(directory, store).size());
}

TEST(target_directory, a_draining_target_takes_no_new_flow_and_keeps_its_token)
{
    target_change change = announcement(1, 10);
    change.record->is_draining = true;
    apply(change);
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(is_reachable(1));
}

TEST(target_directory, a_reordered_older_change_is_ignored)
{
    apply(announcement(1, 10));
    apply(departure(1, 12));
    apply(announcement(1, 11));
    CHECK_FALSE(takes_flows(1));
}

TEST(target_directory, changes_in_any_order_give_the_same_directory)
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
            const known_target& here = directory.targets[directory.by_entry.at(key)];
            const auto found = other.by_entry.find(key);
            const bool is_there = found != other.by_entry.end() &&
                                  other.targets[found->second].is_announced;
            CHECK_EQUAL(here.is_announced, is_there);
        }
    }
}

TEST(target_directory, a_listing_marks_unlisted_targets_gone)
{
    apply(announcement(1, 10));
    apply(announcement(2, 11));
    const target_change listed = announcement(2, 11);
    apply_listing(directory, {&listed, 1}, {20}, now);
    CHECK_FALSE(takes_flows(1));
    CHECK_TRUE(takes_flows(2));
}

TEST(target_directory, a_listing_does_not_affect_newer_targets)
{
    apply(announcement(1, 30));
    apply_listing(directory, {}, {20}, now);
    CHECK_TRUE(takes_flows(1));
}

TEST(target_directory, a_gone_target_is_found_by_token_until_its_retention_ends)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    now += gone_target_retention - 1s;
    remove_gone_targets(directory, now);
    CHECK_TRUE(is_reachable(1));
    now += 1s;
    remove_gone_targets(directory, now);
    CHECK_FALSE(is_reachable(1));
}

TEST(target_directory,
     a_target_whose_announcement_expired_in_an_outage_gets_a_grace_period)
{
    apply(announcement(1, 10));
    record_outage_end(directory, min_outage_for_expiry, now);
    apply(departure(1, 11));
    CHECK_TRUE(takes_flows(1));
    now += expiry_grace;
    CHECK_FALSE(takes_flows(1));
}

TEST(target_directory, a_draining_target_gets_no_grace_period_after_an_outage)
{
    target_change change = announcement(1, 10);
    change.record->is_draining = true;
    apply(change);
    record_outage_end(directory, min_outage_for_expiry, now);
    apply(departure(1, 11));
    CHECK_FALSE(takes_flows(1));
}

TEST(target_directory, without_an_outage_a_departure_takes_effect_immediately)
{
    apply(announcement(1, 10));
    record_outage_end(directory, min_outage_for_expiry - 1ms, now);
    apply(departure(1, 11));
    CHECK_FALSE(takes_flows(1));
}

TEST(target_directory, a_target_that_returns_under_its_key_gets_its_new_address)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    target_change again = announcement(1, 12);
    again.record->address.port = 9999;
    apply(again);
    CHECK_TRUE(takes_flows(1));
    const target_index index = *find_by_token(directory, token_of({1}));
    UNSIGNED_LONGS_EQUAL(9999, directory.targets[index].record.address.port);
}

TEST(target_directory, a_reused_address_keeps_both_target_keys)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    target_change other = announcement(2, 12);
    other.record->service = store;
    other.record->address = announcement(1, 10).record->address;
    apply(other);
    const target_index old_index = *find_by_token(directory, token_of({1}));
    UNSIGNED_LONGS_EQUAL(1, directory.targets[old_index].record.key.value);
    UNSIGNED_LONGS_EQUAL(
        0,
        std::count_if(directory.by_service[web].begin(), directory.by_service[web].end(),
                      [&](target_index each)
                      { return takes_new_flows(directory.targets[each], now); }));
}

TEST(target_directory, changes_for_a_peer_include_gone_targets)
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
    CHECK_FALSE(takes_new_flows(newcomer.targets[newcomer.by_entry.at(1)], now));
    CHECK_TRUE(takes_new_flows(newcomer.targets[newcomer.by_entry.at(2)], now));
    UNSIGNED_LONGS_EQUAL(1, changes_since(directory, {11}).size());
}

TEST(target_directory, a_freed_index_is_reused)
{
    apply(announcement(1, 10));
    apply(departure(1, 11));
    now += gone_target_retention;
    remove_gone_targets(directory, now);
    apply(announcement(2, 12));
    UNSIGNED_LONGS_EQUAL(1, directory.targets.size());
    CHECK_TRUE(takes_flows(2));
}
