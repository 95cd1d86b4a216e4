/// \file
/// Who reads the shared state, and who tells whom.

#include <kumquatpath/decision/fleet_peers.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

TEST_GROUP(fleet_peers)
{
    time_point now{100s};
    fleet_peers fleet{.self = {50}, .home = {1}};
    std::uint64_t sequence = 0;

    fleet_beat beat_of(std::uint32_t instance, std::chrono::milliseconds age,
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

    beat_outcome hear(std::uint32_t instance, std::chrono::milliseconds age,
                      std::uint32_t read_by, std::uint64_t position = 10)
    {
        return hear_beat(fleet, {instance}, ++sequence,
                         beat_of(instance, age, read_by, position), now);
    }

    bool reads()
    {
        return decide_reading(fleet, {10}, now);
    }
};

TEST(fleet_peers, an_instance_that_hears_nobody_reads)
{
    CHECK_TRUE(reads());
}

TEST(fleet_peers, an_instance_without_state_reads_at_once)
{
    hear(1, 0ms, 1);
    hear(2, 0ms, 2);
    CHECK_TRUE(decide_reading(fleet, {0}, now));
}

TEST(fleet_peers, behind_two_others_an_instance_is_told)
{
    hear(1, 100ms, 1);
    CHECK_TRUE(reads());
    hear(2, 100ms, 2);
    CHECK_FALSE(reads());
}

TEST(fleet_peers, an_instance_reads_as_soon_as_what_it_is_told_is_too_old)
{
    hear(1, 100ms, 1);
    hear(2, 100ms, 1);
    now += 1500ms;
    hear(1, 1600ms, 1);
    hear(2, 1600ms, 1);
    CHECK_FALSE(reads());
    now += 600ms;
    hear(1, 2200ms, 1);
    hear(2, 2200ms, 1);
    CHECK_TRUE(reads());
}

TEST(fleet_peers, a_large_fleet_has_a_reader_in_each_data_centre)
{
    for (std::uint32_t instance = 1; instance <= 20; ++instance)
    {
        fleet_beat beat = beat_of(instance, 0ms, 1);
        beat.data_centre = {2};
        hear_beat(fleet, {instance}, ++sequence, beat, now);
    }
    CHECK_TRUE(reads());
    hear(49, 0ms, 49);
    CHECK_FALSE(reads());
}

TEST(fleet_peers, its_own_reading_told_back_by_others_does_not_end_its_reading)
{
    now += 10s;
    hear(1, 0ms, 50);
    hear(2, 0ms, 50);
    CHECK_TRUE(reads());
    now += 6s;
    hear(1, 0ms, 50);
    hear(2, 0ms, 50);
    CHECK_TRUE(reads());
}

TEST(fleet_peers, reading_ends_some_seconds_after_others_tell_a_fresh_state_again)
{
    hear(1, 5000ms, 1);
    hear(2, 5000ms, 1);
    CHECK_TRUE(reads());
    now += 5s;
    hear(1, 100ms, 1);
    hear(2, 100ms, 1);
    CHECK_FALSE(reads());
}

TEST(fleet_peers, a_peer_that_knows_more_is_asked_and_one_that_knows_as_much_is_not)
{
    hear(1, 0ms, 1, 10);
    POINTERS_EQUAL(nullptr,
                   better_informed(fleet, {.position = {10}, .configuration = {5}}, now));
    hear(2, 0ms, 2, 11);
    const fleet_peer* const teller =
        better_informed(fleet, {.position = {10}, .configuration = {5}}, now);
    CHECK_TRUE(teller != nullptr);
    UNSIGNED_LONGS_EQUAL(2, teller->instance.value);
}

TEST(fleet_peers, a_peer_with_a_newer_configuration_alone_is_asked)
{
    hear(1, 0ms, 1, 10);
    CHECK_TRUE(better_informed(fleet, {.position = {10}, .configuration = {4}}, now) !=
               nullptr);
}

TEST(fleet_peers, a_peer_that_did_not_answer_is_asked_last)
{
    hear(1, 0ms, 1, 11);
    hear(2, 0ms, 2, 11);
    for (std::uint64_t random = 0; random < 20; ++random)
    {
        const fleet_peer* const teller = better_informed(
            fleet,
            {.position = {10}, .configuration = {5}, .avoided = {1}, .random = random},
            now);
        UNSIGNED_LONGS_EQUAL(2, teller->instance.value);
    }
}

TEST(fleet_peers, askers_spread_over_all_that_can_tell)
{
    for (std::uint32_t instance = 1; instance <= 5; ++instance)
    {
        hear(instance, 0ms, 1, 11);
    }
    std::vector<std::uint32_t> asked(6);
    for (std::uint64_t random = 0; random < 200; ++random)
    {
        const fleet_peer* const teller = better_informed(
            fleet, {.position = {10}, .configuration = {5}, .random = random}, now);
        ++asked[teller->instance.value];
    }
    for (std::uint32_t instance = 1; instance <= 5; ++instance)
    {
        CHECK_TRUE(asked[instance] > 10);
    }
}

TEST(fleet_peers, a_peer_that_was_silent_for_a_while_is_not_asked)
{
    hear(1, 0ms, 1, 11);
    now += 1500ms;
    POINTERS_EQUAL(nullptr,
                   better_informed(fleet, {.position = {10}, .configuration = {5}}, now));
}

TEST(fleet_peers, an_old_beat_that_comes_late_does_not_count)
{
    hear(1, 0ms, 1, 11);
    const beat_outcome late = hear_beat(fleet, {1}, 1, beat_of(1, 0ms, 1, 9), now);
    CHECK_TRUE(late.is_stale);
    UNSIGNED_LONGS_EQUAL(11, fleet.peers[{1}].position.value);
}

TEST(fleet_peers, a_peer_that_started_again_counts_whatever_its_numbers)
{
    hear(1, 0ms, 1, 11);
    fleet_beat beat = beat_of(1, 0ms, 1, 3);
    beat.incarnation = 0;
    const beat_outcome outcome = hear_beat(fleet, {1}, 1, beat, now);
    CHECK_TRUE(outcome.is_new);
    UNSIGNED_LONGS_EQUAL(3, fleet.peers[{1}].position.value);
}

TEST(fleet_peers, members_that_others_tell_of_are_strangers_until_they_are_heard)
{
    fleet_beat beat = beat_of(1, 0ms, 1);
    beat.members = {{.instance = {2}, .address = {.address = 2, .port = 7000}},
                    {.instance = {50}, .address = {.address = 50, .port = 7000}}};
    hear_beat(fleet, {1}, ++sequence, beat, now);
    UNSIGNED_LONGS_EQUAL(1, fleet.strangers.size());
    UNSIGNED_LONGS_EQUAL(2, fleet.strangers[0].instance.value);
    hear(2, 0ms, 1);
    UNSIGNED_LONGS_EQUAL(0, fleet.strangers.size());
}

TEST(fleet_peers, silent_peers_are_forgotten_and_told)
{
    hear(1, 0ms, 1);
    now += 30s;
    const auto forgotten = forget_silent(fleet, now);
    UNSIGNED_LONGS_EQUAL(1, forgotten.size());
    CHECK_TRUE(fleet.peers.empty());
}

TEST(fleet_peers, a_large_fleet_does_not_look_for_every_peer_of_other_data_centres)
{
    for (std::uint32_t instance = 100; instance < 140; ++instance)
    {
        fleet_beat beat = beat_of(instance, 0ms, 1);
        beat.data_centre = {instance < 120 ? 1U : 2U};
        hear_beat(fleet, {instance}, ++sequence, beat, now);
    }
    fleet_beat beat = beat_of(100, 0ms, 1);
    beat.members = {{.instance = {200}, .address = {.address = 200}, .data_centre = {2}},
                    {.instance = {201}, .address = {.address = 201}, .data_centre = {1}}};
    hear_beat(fleet, {100}, ++sequence, beat, now);
    UNSIGNED_LONGS_EQUAL_TEXT(1, fleet.strangers.size(), "the one at home only");
    UNSIGNED_LONGS_EQUAL(201, fleet.strangers[0].instance.value);
}

TEST(fleet_peers, a_small_fleet_looks_for_everybody)
{
    fleet_beat beat = beat_of(100, 0ms, 1);
    beat.members = {{.instance = {200}, .address = {.address = 200}, .data_centre = {2}}};
    hear_beat(fleet, {100}, ++sequence, beat, now);
    UNSIGNED_LONGS_EQUAL(1, fleet.strangers.size());
}
