/// \file
/// The choice of a target: the slot's own unless the evidence speaks against it.

#include <kumquatpath/decision/target_load.hpp>

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start(100s);

std::vector<target_id> targets_up_to(std::uint32_t count)
{
    std::vector<target_id> targets;
    for (std::uint32_t i = 1; i <= count; ++i)
    {
        targets.push_back({i});
    }
    return targets;
}

/// Seven targets that each answered once, in 10 ms.
struct seven_targets
{
    std::vector<target_id> active = targets_up_to(7);
    target_health health;
    random_source random{.seed = 20261204};

    seven_targets()
    {
        targets_are(health, active, start);
        for (const target_id each : active)
        {
            note_sent(health, each, false, start);
            note_answer(health, each, 10ms, start);
        }
    }

    void silence(target_id target)
    {
        for (int i = 0; i < 50; ++i)
        {
            note_sent(health, target, false, start + i * 20ms);
        }
    }

    target_choice choose(target_id slot_target, time_point now)
    {
        return choose_target(health, random,
                             {.active = active, .slot_target = slot_target}, now);
    }

    /// Returns how many of 6000 flows of the slot's target go to each target, by id.
    std::vector<int> spread(target_id slot_target, time_point now)
    {
        std::vector<int> counts(9, 0);
        for (int i = 0; i < 6000; ++i)
        {
            ++counts[choose(slot_target, now).target.value];
        }
        return counts;
    }
};

} // namespace

TEST_GROUP(target_load){};

TEST(target_load, a_flow_stays_with_the_healthy_target_of_its_slot)
{
    seven_targets pool;
    const target_choice choice = pool.choose({3}, start + 1s);

    CHECK_TRUE(choice.target == target_id{3});
    CHECK_FALSE(choice.deviates);
}

TEST(target_load, a_report_moves_no_flow_while_there_is_evidence)
{
    seven_targets pool;
    note_report(pool.health, {3}, 1e6, start);
    note_report(pool.health, {4}, 0, start);

    LONGS_EQUAL(6000, pool.spread({3}, start + 1s)[3]);
}

TEST(target_load, flows_of_a_silent_target_spread_over_the_others)
{
    seven_targets pool;
    pool.silence({3});
    auto counts = pool.spread({3}, start + 1s);

    LONGS_EQUAL(0, counts[3]);
    for (const target_id each : pool.active)
    {
        CHECK_COMPARE(counts[each.value], <=, 1100);
    }
    CHECK_TRUE(pool.choose({3}, start + 1s).deviates);
}

TEST(target_load, no_flow_moves_when_most_targets_look_silent)
{
    seven_targets pool;
    for (std::uint32_t i = 1; i <= 4; ++i)
    {
        pool.silence({i});
    }

    LONGS_EQUAL(6000, pool.spread({3}, start + 1s)[3]);
}

TEST(target_load, a_cold_target_gets_its_part_and_no_more)
{
    seven_targets pool;
    pool.active = targets_up_to(8);
    targets_are(pool.health, pool.active, start);
    auto counts = pool.spread({8}, start + 1s);

    CHECK_COMPARE(counts[8], <=, 700);
    CHECK_COMPARE(counts[8], >=, 500);
}

TEST(target_load, a_target_that_refuses_some_loses_some)
{
    seven_targets pool;
    for (int i = 0; i < 3; ++i)
    {
        note_refusal(pool.health, {3}, start);
    }
    auto counts = pool.spread({3}, start + 1s);

    CHECK_COMPARE(counts[3], <, 4800);
    CHECK_COMPARE(counts[3], >=, 3000);
}

TEST(target_load, a_slow_target_keeps_at_least_half_of_its_flows)
{
    seven_targets pool;
    for (int i = 0; i < 500; ++i)
    {
        note_answer(pool.health, {3}, 200ms, start);
    }
    auto counts = pool.spread({3}, start + 1s);

    CHECK_COMPARE(counts[3], <, 5400);
    CHECK_COMPARE(counts[3], >=, 2800);
}

TEST(target_load, a_report_counts_only_until_the_target_has_answered)
{
    seven_targets pool;
    pool.active = targets_up_to(8);
    targets_are(pool.health, pool.active, start);
    const double seen_before = score_of(*evidence_of(pool.health, {1}), start);
    const double unseen_before = score_of(*evidence_of(pool.health, {8}), start);
    note_report(pool.health, {1}, 1e6, start);
    note_report(pool.health, {8}, 1e6, start);

    DOUBLES_EQUAL(seen_before, score_of(*evidence_of(pool.health, {1}), start), 1e-9);
    CHECK_COMPARE(score_of(*evidence_of(pool.health, {8}), start), >, unseen_before);
}

TEST(target_load, refusals_and_work_in_flight_raise_the_score)
{
    seven_targets pool;
    note_sent(pool.health, {2}, false, start);
    note_refusal(pool.health, {3}, start);
    const double idle = score_of(*evidence_of(pool.health, {1}), start);

    CHECK_COMPARE(score_of(*evidence_of(pool.health, {2}), start), >, idle);
    CHECK_COMPARE(score_of(*evidence_of(pool.health, {3}), start), >, idle);
}
