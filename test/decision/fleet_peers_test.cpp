/// \file
/// Tests of the choice of readers of the shared state, of the peers to request newer
/// state from, and of the discovery and removal of peers.

#include <kumquatpath/decision/fleet_peers.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(fleet_peers)
{
    time_point now{100s};
    fleet_peers fleet{.self = {50}, .local_data_centre = {1}};
    std::uint64_t sequence = 0;

    fleet_heartbeat heartbeat_of(std::uint32_t instance, std::chrono::milliseconds age,
                                 std::uint32_t read_by, std::uint64_t position = 10)
    {
        return {.incarnation = instance,
                .address = {.address = instance, .port = 7000},
                .data_centre = {1},
                .position = {position},
                .configuration = {5},
                .age = age,
                .read_by = {read_by}};
    }

    heartbeat_result receive_heartbeat(std::uint32_t instance,
                                       std::chrono::milliseconds age,
                                       std::uint32_t read_by, std::uint64_t position = 10)
    {
        return record_heartbeat(fleet, {instance}, ++sequence,
                                heartbeat_of(instance, age, read_by, position), now);
    }

    bool is_reading()
    {
        return update_reader_role(fleet, {10}, now);
    }
};

TEST(fleet_peers, an_instance_without_peers_reads)
{
    CHECK_TRUE(is_reading());
}

TEST(fleet_peers, an_instance_without_state_reads_immediately)
{
    receive_heartbeat(1, 0ms, 1);
    receive_heartbeat(2, 0ms, 2);
    CHECK_TRUE(update_reader_role(fleet, {0}, now));
}

TEST(fleet_peers, an_instance_after_two_lower_ids_does_not_read)
{
    receive_heartbeat(1, 100ms, 1);
    CHECK_TRUE(is_reading());
    receive_heartbeat(2, 100ms, 2);
    CHECK_FALSE(is_reading());
}

TEST(fleet_peers, an_instance_reads_once_the_state_of_its_peers_is_stale)
{
    receive_heartbeat(1, 100ms, 1);
    receive_heartbeat(2, 100ms, 1);
    now += 1500ms;
    receive_heartbeat(1, 1600ms, 1);
    receive_heartbeat(2, 1600ms, 1);
    CHECK_FALSE(is_reading());
    now += 600ms;
    receive_heartbeat(1, 2200ms, 1);
    receive_heartbeat(2, 2200ms, 1);
    CHECK_TRUE(is_reading());
}

TEST(fleet_peers, a_large_fleet_has_a_reader_in_each_data_centre)
{
    for (std::uint32_t instance = 1; instance <= 20; ++instance)
    {
        fleet_heartbeat heartbeat = heartbeat_of(instance, 0ms, 1);
        heartbeat.data_centre = {2};
        record_heartbeat(fleet, {instance}, ++sequence, heartbeat, now);
    }
    CHECK_TRUE(is_reading());
    receive_heartbeat(49, 0ms, 49);
    CHECK_FALSE(is_reading());
}

TEST(fleet_peers, its_own_read_reported_back_by_peers_does_not_end_its_reading)
{
    now += 10s;
    receive_heartbeat(1, 0ms, 50);
    receive_heartbeat(2, 0ms, 50);
    CHECK_TRUE(is_reading());
    now += 6s;
    receive_heartbeat(1, 0ms, 50);
    receive_heartbeat(2, 0ms, 50);
    CHECK_TRUE(is_reading());
}

TEST(fleet_peers, reading_ends_seconds_after_peers_report_fresh_state_again)
{
    receive_heartbeat(1, 5000ms, 1);
    receive_heartbeat(2, 5000ms, 1);
    CHECK_TRUE(is_reading());
    now += 5s;
    receive_heartbeat(1, 100ms, 1);
    receive_heartbeat(2, 100ms, 1);
    CHECK_FALSE(is_reading());
}

TEST(fleet_peers, only_a_peer_with_newer_state_is_asked)
{
    receive_heartbeat(1, 0ms, 1, 10);
    POINTERS_EQUAL(nullptr, find_peer_with_newer_state(
                                fleet, {.position = {10}, .configuration = {5}}, now));
    receive_heartbeat(2, 0ms, 2, 11);
    const fleet_peer* const peer =
        find_peer_with_newer_state(fleet, {.position = {10}, .configuration = {5}}, now);
    CHECK_TRUE(peer != nullptr);
    UNSIGNED_LONGS_EQUAL(2, peer->instance.value);
}

TEST(fleet_peers, a_peer_with_a_newer_configuration_alone_is_asked)
{
    receive_heartbeat(1, 0ms, 1, 10);
    CHECK_TRUE(find_peer_with_newer_state(fleet, {.position = {10}, .configuration = {4}},
                                          now) != nullptr);
}

TEST(fleet_peers, a_peer_that_did_not_answer_is_asked_last)
{
    receive_heartbeat(1, 0ms, 1, 11);
    receive_heartbeat(2, 0ms, 2, 11);
    for (std::uint64_t random = 0; random < 20; ++random)
    {
        const fleet_peer* const peer = find_peer_with_newer_state(
            fleet,
            {.position = {10}, .configuration = {5}, .avoided = {1}, .random = random},
            now);
        UNSIGNED_LONGS_EQUAL(2, peer->instance.value);
    }
}

TEST(fleet_peers, requests_are_spread_over_all_peers_with_newer_state)
{
    for (std::uint32_t instance = 1; instance <= 5; ++instance)
    {
        receive_heartbeat(instance, 0ms, 1, 11);
    }
    std::vector<std::uint32_t> asked(6);
    for (std::uint64_t random = 0; random < 200; ++random)
    {
        const fleet_peer* const peer = find_peer_with_newer_state(
            fleet, {.position = {10}, .configuration = {5}, .random = random}, now);
        ++asked[peer->instance.value];
    }
    for (std::uint32_t instance = 1; instance <= 5; ++instance)
    {
        CHECK_TRUE(asked[instance] > 10);
    }
}

TEST(fleet_peers, a_peer_that_was_silent_for_a_while_is_not_asked)
{
    receive_heartbeat(1, 0ms, 1, 11);
    now += 1500ms;
    POINTERS_EQUAL(nullptr, find_peer_with_newer_state(
                                fleet, {.position = {10}, .configuration = {5}}, now));
}

TEST(fleet_peers, a_reordered_heartbeat_is_ignored)
{
    receive_heartbeat(1, 0ms, 1, 11);
    const heartbeat_result late =
        record_heartbeat(fleet, {1}, 1, heartbeat_of(1, 0ms, 1, 9), now);
    CHECK_TRUE(late.is_stale);
    UNSIGNED_LONGS_EQUAL(11, fleet.peers[{1}].position.value);
}

TEST(fleet_peers, a_restarted_peer_is_accepted_despite_lower_sequence_and_position)
{
    receive_heartbeat(1, 0ms, 1, 11);
    fleet_heartbeat heartbeat = heartbeat_of(1, 0ms, 1, 3);
    heartbeat.incarnation = 0;
    const heartbeat_result result = record_heartbeat(fleet, {1}, 1, heartbeat, now);
    CHECK_TRUE(result.is_new);
    UNSIGNED_LONGS_EQUAL(3, fleet.peers[{1}].position.value);
}

TEST(fleet_peers, advertised_members_are_candidates_until_heard)
{
    fleet_heartbeat heartbeat = heartbeat_of(1, 0ms, 1);
    heartbeat.members = {{.instance = {2}, .address = {.address = 2, .port = 7000}},
                         {.instance = {50}, .address = {.address = 50, .port = 7000}}};
    record_heartbeat(fleet, {1}, ++sequence, heartbeat, now);
    UNSIGNED_LONGS_EQUAL(1, fleet.peer_candidates.size());
    UNSIGNED_LONGS_EQUAL(2, fleet.peer_candidates[0].instance.value);
    receive_heartbeat(2, 0ms, 1);
    UNSIGNED_LONGS_EQUAL(0, fleet.peer_candidates.size());
}

TEST(fleet_peers, silent_peers_are_removed_and_returned)
{
    receive_heartbeat(1, 0ms, 1);
    now += 30s;
    const auto removed = remove_silent_peers(fleet, now);
    UNSIGNED_LONGS_EQUAL(1, removed.size());
    CHECK_TRUE(fleet.peers.empty());
}

TEST(fleet_peers, a_large_fleet_limits_discovery_of_remote_peers)
{
    for (std::uint32_t instance = 100; instance < 140; ++instance)
    {
        fleet_heartbeat heartbeat = heartbeat_of(instance, 0ms, 1);
        heartbeat.data_centre = {instance < 120 ? 1U : 2U};
        record_heartbeat(fleet, {instance}, ++sequence, heartbeat, now);
    }
    fleet_heartbeat heartbeat = heartbeat_of(100, 0ms, 1);
    heartbeat.members = {
        {.instance = {200}, .address = {.address = 200}, .data_centre = {2}},
        {.instance = {201}, .address = {.address = 201}, .data_centre = {1}}};
    record_heartbeat(fleet, {100}, ++sequence, heartbeat, now);
    UNSIGNED_LONGS_EQUAL_TEXT(1, fleet.peer_candidates.size(), "only the local peer");
    UNSIGNED_LONGS_EQUAL(201, fleet.peer_candidates[0].instance.value);
}

TEST(fleet_peers, a_small_fleet_discovers_every_peer)
{
    fleet_heartbeat heartbeat = heartbeat_of(100, 0ms, 1);
    heartbeat.members = {
        {.instance = {200}, .address = {.address = 200}, .data_centre = {2}}};
    record_heartbeat(fleet, {100}, ++sequence, heartbeat, now);
    UNSIGNED_LONGS_EQUAL(1, fleet.peer_candidates.size());
}
