/// \file
/// Tests that a departure is learnt whichever way the shared state takes: through peers
/// that listed after it, that have forgotten it or that lag, to instances that slept or
/// that knew nothing.

#include "entry_fixture.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(directory_update)
{
    time_point now{100s};
    entry_instance asker = make_entry_instance({.self = {1}, .local_data_centre = north});
    entry_instance peer = make_entry_instance({.self = {2}, .local_data_centre = north});

    void setup_again()
    {
        asker = make_entry_instance({.self = {1}, .local_data_centre = north});
        peer = make_entry_instance({.self = {2}, .local_data_centre = north});
    }

    void list(entry_instance & instance, std::uint64_t position,
              std::vector<target_change> targets)
    {
        apply_state_update(instance,
                           {.position = {position},
                            .complete_from = {position},
                            .is_whole = true,
                            .targets = std::move(targets)},
                           now);
    }

    void watch(entry_instance & instance, std::uint64_t position,
               std::vector<target_change> targets)
    {
        const state_revision from = instance.directory.position;
        apply_state_update(instance,
                           {.position = {position},
                            .complete_from = from,
                            .targets = std::move(targets)},
                           now);
    }

    state_update reply_of(const entry_instance& instance, std::uint64_t position)
    {
        return make_state_reply(instance, {.position = {position}}, now).update;
    }

    void ask()
    {
        apply_state_update(asker, reply_of(peer, asker.directory.position.value), now);
    }

    bool takes_flows(const entry_instance& instance, std::uint64_t key)
    {
        const auto found = instance.directory.by_entry.find(key);
        return found != instance.directory.by_entry.end() &&
               takes_new_flows(instance.directory.targets[found->second], now);
    }

    void pass(duration time)
    {
        now += time;
        remove_gone_targets(asker.directory, now);
        remove_gone_targets(peer.directory, now);
    }

    /// Makes \p instance know \p sender as a peer at \p position.
    void hear(entry_instance & instance, std::uint32_t sender, std::uint64_t position,
              std::uint64_t sequence)
    {
        const fleet_heartbeat heartbeat{.incarnation = 1,
                                        .data_centre = north,
                                        .position = {position},
                                        .age = std::chrono::milliseconds(0),
                                        .read_by = {sender}};
        handle_heartbeat(instance,
                         {.sender = {sender}, .sequence = sequence, .body = heartbeat},
                         heartbeat, now);
    }
};

TEST(directory_update, a_departure_before_the_listing_of_the_peer_is_learnt)
{
    list(asker, 10, {announcement(1, 5), announcement(2, 6)});
    list(peer, 12, {announcement(2, 6)});
    ask();
    CHECK_FALSE(takes_flows(asker, 1));
    CHECK_TRUE(takes_flows(asker, 2));
    UNSIGNED_LONGS_EQUAL(12, asker.directory.position.value);
}

TEST(directory_update, a_departure_that_the_peer_has_dropped_is_learnt)
{
    list(asker, 10, {announcement(1, 5), announcement(2, 6)});
    list(peer, 10, {announcement(1, 5), announcement(2, 6)});
    watch(peer, 11, {departure(1, 11)});
    pass(gone_target_retention);
    ask();
    CHECK_FALSE(takes_flows(asker, 1));
    CHECK_TRUE(takes_flows(asker, 2));
    UNSIGNED_LONGS_EQUAL(11, asker.directory.position.value);
}

TEST(directory_update, a_departure_that_the_peer_knows_without_its_announcement_is_learnt)
{
    list(asker, 10, {announcement(1, 5)});
    // The peer lacks target 1, as if it had no room for it.
    list(peer, 4, {});
    watch(peer, 12, {departure(1, 11)});
    ask();
    CHECK_FALSE(takes_flows(asker, 1));
    UNSIGNED_LONGS_EQUAL(12, asker.directory.position.value);
}

TEST(directory_update, a_dropped_tombstone_makes_the_next_reply_whole)
{
    list(asker, 10, {announcement(1, 5)});
    list(peer, 4, {});
    watch(peer, 12, {departure(1, 11)});
    pass(gone_target_retention);
    CHECK_TRUE(reply_of(peer, 10).is_whole);
    CHECK_FALSE(reply_of(peer, 11).is_whole);
    ask();
    CHECK_FALSE(takes_flows(asker, 1));
}

TEST(directory_update, a_late_reply_does_not_bring_back_what_a_newer_listing_lacks)
{
    list(peer, 10, {announcement(1, 5)});
    const state_update late = reply_of(peer, 0);
    list(asker, 12, {});
    apply_state_update(asker, late, now);
    CHECK_FALSE(takes_flows(asker, 1));
    // The flows that the target still has are found by its token.
    CHECK_TRUE(find_by_token(asker.directory, token_of({1})) != nullptr);
    UNSIGNED_LONGS_EQUAL(12, asker.directory.position.value);
}

TEST(directory_update, a_late_reply_does_not_bring_back_a_target_that_was_dropped)
{
    list(asker, 10, {announcement(1, 5)});
    const state_update late = reply_of(asker, 0);
    watch(asker, 11, {departure(1, 11)});
    pass(gone_target_retention);
    apply_state_update(asker, late, now);
    CHECK_FALSE(takes_flows(asker, 1));
}

TEST(directory_update, a_late_departed_target_takes_no_flows_in_the_grace_after_an_outage)
{
    list(peer, 10, {announcement(1, 5)});
    const state_update late = reply_of(peer, 0);
    list(asker, 12, {});
    record_outage_end(asker.directory, min_outage_for_expiry, now);
    apply_state_update(asker, late, now);
    CHECK_FALSE(takes_flows(asker, 1));
}

TEST(directory_update, an_instance_that_slept_longer_than_the_retention_learns_departures)
{
    for (const bool do_clocks_agree : {true, false})
    {
        setup_again();
        list(asker, 10, {announcement(1, 5), announcement(2, 6)});
        list(peer, 10, {announcement(1, 5), announcement(2, 6)});
        watch(peer, 11, {departure(1, 11)});
        watch(peer, 12, {announcement(3, 12)});
        now += 2 * gone_target_retention;
        remove_gone_targets(peer.directory, now);
        if (!do_clocks_agree)
        {
            now -= 2 * gone_target_retention;
        }
        ask();
        // The grace period after an outage of the sleeper.
        now += expiry_grace;
        CHECK_FALSE(takes_flows(asker, 1));
        CHECK_TRUE(takes_flows(asker, 2));
        CHECK_TRUE(takes_flows(asker, 3));
    }
}

// A configuration of the native interface lists every target with its own revision.
TEST(directory_update, a_listing_counts_only_the_targets_that_differ_as_changed)
{
    const auto count = [this](std::uint64_t position, std::vector<target_change> targets)
    {
        return apply_state_update(asker,
                                  {.position = {position},
                                   .complete_from = {position},
                                   .is_whole = true,
                                   .targets = std::move(targets)},
                                  now)
            .targets;
    };
    const auto check = [](std::size_t updated, std::size_t changed, update_counts counts)
    {
        UNSIGNED_LONGS_EQUAL(updated, counts.updated);
        UNSIGNED_LONGS_EQUAL(changed, counts.changed);
    };
    check(2, 2, count(10, {announcement(1, 10), announcement(2, 10)}));
    check(0, 0, count(10, {announcement(1, 10), announcement(2, 10)}));
    target_change larger = announcement(2, 20);
    larger.record->slots = 9;
    check(2, 1, count(20, {announcement(1, 20), larger}));
    check(1, 1, count(30, {announcement(1, 20)}));
    check(1, 0, count(40, {announcement(1, 20), departure(2, 40)}));
    check(1, 1, count(50, {announcement(1, 20), announcement(2, 50)}));
}

TEST(directory_update, a_reply_without_its_completeness_is_merged_but_moves_no_position)
{
    list(asker, 10, {announcement(1, 5)});
    const state_update reply{.position = {12},
                             .complete_from = unknown_completeness,
                             .targets = {announcement(2, 12)}};
    const update_counts counts = apply_state_update(asker, reply, now).targets;
    UNSIGNED_LONGS_EQUAL(1, counts.updated);
    UNSIGNED_LONGS_EQUAL(1, counts.changed);
    CHECK_TRUE(takes_flows(asker, 2));
    UNSIGNED_LONGS_EQUAL(10, asker.directory.position.value);
    // The store's changes since then include what the reply lacked.
    watch(asker, 12, {departure(1, 11), announcement(2, 12)});
    CHECK_FALSE(takes_flows(asker, 1));
    UNSIGNED_LONGS_EQUAL(12, asker.directory.position.value);
}

TEST(directory_update,
     an_instance_without_state_stays_so_after_a_reply_of_unknown_completeness)
{
    apply_state_update(
        asker, {.position = {12}, .complete_from = unknown_completeness, .targets = {}},
        now);
    UNSIGNED_LONGS_EQUAL(0, asker.directory.position.value);
    CHECK_TRUE(update_reader_role(asker.fleet, asker.directory.position, now));
}

TEST(directory_update, an_update_that_claims_impossible_completeness_moves_no_position)
{
    list(asker, 10, {announcement(1, 5)});
    const target_change nothing{.key = {7}, .revision = {11}};
    const std::vector<state_update> invalid = {
        {.position = {20}, .complete_from = {21}},
        {.position = {20}, .complete_from = {11}},
        {.position = {20}, .complete_from = {0}, .targets = {nothing}},
        {.position = {20}, .is_whole = true, .targets = {nothing}},
        {.position = {9}, .is_whole = true},
    };
    for (const state_update& each : invalid)
    {
        apply_state_update(asker, each, now);
        UNSIGNED_LONGS_EQUAL(10, asker.directory.position.value);
        CHECK_TRUE(takes_flows(asker, 1));
    }
}

TEST(directory_update, a_reply_to_an_instance_that_is_ahead_does_not_claim_its_position)
{
    list(peer, 10, {announcement(1, 5)});
    const state_update reply = reply_of(peer, 15);
    UNSIGNED_LONGS_EQUAL(10, reply.position.value);
    CHECK_TRUE(reply.complete_from <= reply.position);
    CHECK_FALSE(reply.is_whole);
}

TEST(directory_update, a_departure_ahead_of_the_position_outlives_the_retention)
{
    list(asker, 5, {});
    apply_state_update(asker,
                       {.position = {12},
                        .complete_from = unknown_completeness,
                        .targets = {departure(1, 10)}},
                       now);
    pass(gone_target_retention);
    apply_state_update(asker,
                       {.position = {9},
                        .complete_from = unknown_completeness,
                        .targets = {announcement(1, 9)}},
                       now);
    CHECK_FALSE(takes_flows(asker, 1));
}

TEST(directory_update, an_instance_whose_peers_all_answer_incompletely_reads_the_store)
{
    list(asker, 10, {announcement(1, 5)});
    record_state_read(asker, now, now);
    // Designated readers have lower ids.
    asker.fleet.self = {9};
    for (std::uint64_t round = 1; round <= 6; ++round)
    {
        now += 400ms;
        for (std::uint32_t sender = 1; sender <= 3; ++sender)
        {
            hear(asker, sender, 20, round);
        }
        apply_state_update(
            asker, {.position = {20}, .complete_from = unknown_completeness}, now);
    }
    CHECK_TRUE(update_reader_role(asker.fleet, asker.directory.position, now));
}

TEST(directory_update, further_targets_than_the_maximum_are_counted_and_move_nothing_else)
{
    list(asker, 10, {announcement(1, 5)});
    std::vector<target_change> many;
    for (std::uint64_t key = 2; key <= 70'000; ++key)
    {
        many.push_back(announcement(key, 11));
    }
    watch(asker, 11, std::move(many));
    CHECK_TRUE(asker.directory.by_entry.size() <= 65'536);
    CHECK_TRUE(takes_flows(asker, 1));
    // What it had no room for it doesn't claim to know.
    CHECK_TRUE(reply_of(asker, 10).is_whole);
    watch(asker, 12, {departure(1, 12)});
    CHECK_FALSE(takes_flows(asker, 1));
}
