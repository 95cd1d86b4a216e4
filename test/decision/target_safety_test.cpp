/// \file
/// Tests of where requests go that may not be repeated: not where they would test a
/// target.

#include "entry_fixture.hpp"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

TEST_GROUP(target_safety)
{
    time_point now{100s};
    target_directory directory;
    target_selector selector{.local_data_centre = north};
    std::uint64_t random = 7;

    void setup() override
    {
        add(1, 1);
        add(2, 2);
        add(3, 3);
        // The first request makes the targets known; they count as new for some time.
        place(true);
        now += 10s;
        place(true);
        selector.services[web].limit.max_in_flight = 1000;
    }

    void add(std::uint64_t key, std::uint64_t revision, std::uint64_t incarnation = 0)
    {
        target_change change = announcement(key, revision);
        change.record->incarnation = incarnation;
        apply_change(directory, change, now);
    }

    const target_index* place(bool is_repeatable)
    {
        random = hash_pair(random, 1);
        return select_target(selector, directory,
                             {.service = web,
                              .may_wait = true,
                              .is_repeatable = is_repeatable,
                              .random = random},
                             now);
    }

    /// Returns how many of 100 flows go to the target at \p index.
    int flows_to(target_index index, bool is_repeatable)
    {
        int flows = 0;
        for (int i = 0; i < 100; ++i)
        {
            now += 1ms;
            const target_index* const target = place(is_repeatable);
            flows += target != nullptr && *target == index ? 1 : 0;
        }
        return flows;
    }

    void fill(target_index index)
    {
        stats_of(selector, directory, index).in_flight = 4;
    }

    void make_suspect(target_index index)
    {
        record_opening_overdue(selector, directory, index, now);
        record_opening_overdue(selector, directory, index, now);
        // Other targets answer, so that their data centre is not suspect.
        now += 1ms;
        record_opening_answered(selector, directory, index == 0 ? 1 : 0, now, now);
    }

    void answer(target_index index, duration time)
    {
        now += 5ms;
        record_request_answered(selector, directory, index, time, 0ms, now);
    }

    void give_usual_answers()
    {
        for (int i = 0; i < 10; ++i)
        {
            answer(0, 60ms);
            answer(1, 60ms);
            answer(2, 60ms);
        }
        now += 60ms;
        place(true);
    }
};

TEST(target_safety, trials_are_paid_by_requests_that_may_be_repeated)
{
    make_suspect(0);
    int trials = 0;
    for (int i = 0; i < 10; ++i)
    {
        now += 1s;
        LONGS_EQUAL(0, flows_to(0, false));
        trials += flows_to(0, true);
    }
    CHECK_TRUE_TEXT(trials > 0, "a suspect target is tried");
}

TEST(target_safety, a_service_without_repeatable_requests_still_tries_suspect_targets)
{
    // Otherwise the target would never be trusted again.
    make_suspect(0);
    now += 10s;
    CHECK_TRUE(flows_to(0, false) > 0);
}

TEST(target_safety, no_suspect_target_gets_one_while_a_sound_one_has_room)
{
    make_suspect(0);
    LONGS_EQUAL(0, flows_to(0, false));
    fill(1);
    LONGS_EQUAL(0, flows_to(0, false));
}

TEST(target_safety, no_failing_target_gets_one_while_a_sound_one_has_room)
{
    give_usual_answers();
    for (int i = 0; i < 8; ++i)
    {
        answer(0, 1ms);
    }
    now += 60ms;
    fill(1);
    LONGS_EQUAL(0, flows_to(0, false));
    CHECK_TRUE(selector.stats[0].is_failing);
}

TEST(target_safety, no_target_that_has_just_started_gets_one_while_a_sound_one_has_room)
{
    add(4, 50);
    LONGS_EQUAL(0, flows_to(3, false));
    add(1, 51, 2);
    LONGS_EQUAL(0, flows_to(0, false));
    CHECK_TRUE_TEXT(flows_to(3, true) > 0, "requests that may be repeated prove it");
    now += 4s;
    CHECK_TRUE_TEXT(flows_to(3, false) > 0, "it has been known for a while");
}

TEST(target_safety, no_target_with_an_overdue_opening_gets_one_while_a_sound_one_has_room)
{
    record_opening_overdue(selector, directory, 0, now);
    LONGS_EQUAL(0, flows_to(0, false));
    CHECK_TRUE(flows_to(0, true) > 0);
    record_opening_answered(selector, directory, 0, now, now);
    CHECK_TRUE_TEXT(flows_to(0, false) > 0, "a later opening was answered");
}

TEST(target_safety, no_target_with_a_quick_answer_gets_one_while_a_sound_one_has_room)
{
    give_usual_answers();
    now += 30s;
    answer(0, 1ms);
    LONGS_EQUAL(0, flows_to(0, false));
    CHECK_TRUE(flows_to(0, true) > 0);
    now += 30s;
    CHECK_TRUE_TEXT(flows_to(0, false) > 0, "the doubt has faded");
}

TEST(target_safety, a_target_without_proof_gets_one_when_the_sound_ones_are_full)
{
    // Waiting would serve nobody.
    record_opening_overdue(selector, directory, 0, now);
    fill(1);
    fill(2);
    LONGS_EQUAL(100, flows_to(0, false));
    UNSIGNED_LONGS_EQUAL(100, selector.flows_placed_at_risk);
}

TEST(target_safety, the_sound_targets_are_not_overloaded_when_most_have_just_started)
{
    for (std::uint64_t key = 4; key < 10; ++key)
    {
        add(key, 50 + key);
    }
    now += 60ms;
    place(true);
    int flows = 0;
    for (target_index index = 0; index < 3; ++index)
    {
        flows += flows_to(index, false);
    }
    // The share of three of nine targets in the 100 flows of flows_to().
    constexpr double fair_share = 100 * 3.0 / 9;
    CHECK_TRUE_TEXT(flows < 2 * fair_share, "they get less than twice their share");
}

TEST(target_safety, an_instance_that_has_just_started_places_requests_everywhere)
{
    selector = {.local_data_centre = north};
    std::map<target_index, int> placed;
    for (int i = 0; i < 100; ++i)
    {
        ++placed[*place(false)];
    }
    UNSIGNED_LONGS_EQUAL(3, placed.size());
}

TEST(target_safety, a_retransmitted_opening_also_goes_to_a_sound_target)
{
    add(4, 50);
    const target_index avoided = 0;
    for (int i = 0; i < 100; ++i)
    {
        random = hash_pair(random, 1);
        const target_index* const target = select_target(selector, directory,
                                                         {.service = web,
                                                          .is_repeatable = false,
                                                          .avoided = &avoided,
                                                          .random = random},
                                                         now);
        CHECK_TRUE(*target == 1 || *target == 2);
    }
}

TEST(target_safety, the_policy_of_the_route_decides_and_else_that_of_the_class)
{
    routing_table table = web_table();
    table.class_policies[5] = {.is_repeatable = true};
    flow_steering steering;
    steering.selector.local_data_centre = north;
    steer(steering, table, directory, opening(1), now);
    CHECK_FALSE(steering.selector.services[web].repeatable_seen_at.has_value());
    flow_packet packet = opening(2);
    packet.traffic_class = {5};
    steer(steering, table, directory, packet, now);
    CHECK_TRUE(steering.selector.services[web].repeatable_seen_at == now);
    now += 1s;
    table.routes.begin()->second.policy = traffic_policy{.is_repeatable = true};
    steer(steering, table, directory, opening(3), now);
    CHECK_TRUE(steering.selector.services[web].repeatable_seen_at == now);
}
