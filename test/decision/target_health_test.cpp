/// \file
/// Evidence of targets: silence, refusals and recovery are seen in the traffic alone.

#include <kumquatpath/decision/target_health.hpp>

#include <array>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace std::chrono_literals;

namespace
{

constexpr target_id first{1};
constexpr target_id second{2};
constexpr std::array both = {first, second};
constexpr time_point start(100s);

target_health two_targets()
{
    target_health health;
    targets_are(health, both, start);
    return health;
}

/// Sends a request every 20 ms for \p span, and answers each after 10 ms.
time_point answer_for(target_health& health, target_id target, duration span)
{
    time_point now = start;
    for (; now < start + span; now += 20ms)
    {
        note_sent(health, target, false, now);
        note_answer(health, target, 10ms, now + 10ms);
    }
    return now;
}

/// Sends \p count requests, one every 20 ms, that nobody answers.
time_point send_unanswered(target_health& health, target_id target, int count,
                           time_point now)
{
    for (int i = 0; i < count; ++i)
    {
        now += 20ms;
        note_sent(health, target, false, now);
    }
    return now;
}

} // namespace

TEST_GROUP(target_health){};

TEST(target_health, a_target_that_answers_is_healthy)
{
    target_health health = two_targets();
    const time_point now = answer_for(health, first, 10s);

    CHECK_TRUE(assess(health, first, now) == target_assessment::healthy);
}

TEST(target_health, a_target_without_traffic_stays_healthy)
{
    const target_health health = two_targets();

    CHECK_TRUE(assess(health, first, start + 1h) == target_assessment::healthy);
}

TEST(target_health, a_silent_target_is_suspect_within_a_second)
{
    target_health health = two_targets();
    time_point now = answer_for(health, first, 1s);
    now = send_unanswered(health, first, 50, now);

    CHECK_TRUE(assess(health, first, now) == target_assessment::suspect);
    CHECK_TRUE(assess(health, second, now) == target_assessment::healthy);
}

TEST(target_health, one_unanswered_request_is_enough_after_a_longer_wait)
{
    target_health health = two_targets();
    note_sent(health, first, false, start);

    CHECK_TRUE(assess(health, first, start + 1s) == target_assessment::healthy);
    CHECK_TRUE(assess(health, first, start + 1600ms) == target_assessment::suspect);
}

TEST(target_health, a_target_with_long_answers_is_given_its_time)
{
    target_health health = two_targets();
    note_sent(health, first, false, start);
    note_answer(health, first, 2s, start + 2s);
    const time_point now = send_unanswered(health, first, 10, start + 2s);

    CHECK_TRUE(assess(health, first, now + 1500ms) == target_assessment::healthy);
}

TEST(target_health, fragments_of_a_long_answer_are_signs_of_life)
{
    target_health health = two_targets();
    note_sent(health, first, false, start);
    note_heard(health, first, start + 1s);

    CHECK_TRUE(assess(health, first, start + 10s) == target_assessment::healthy);
}

TEST(target_health, a_target_that_refuses_most_requests_is_suspect)
{
    target_health health = two_targets();
    for (int i = 0; i < 10; ++i)
    {
        note_sent(health, first, false, start);
        note_refusal(health, first, start);
    }

    CHECK_TRUE(assess(health, first, start) == target_assessment::suspect);
}

TEST(target_health, probes_of_a_suspect_target_come_one_at_a_time)
{
    target_health health = two_targets();
    time_point now = send_unanswered(health, first, 50, start);
    int probes = 0;
    for (int i = 0; i < 1000; ++i)
    {
        now += 10ms;
        if (is_probe_due(*evidence_of(health, first), true, now))
        {
            ++probes;
            note_sent(health, first, true, now);
        }
    }

    CHECK_COMPARE(probes, >=, 3);
    CHECK_COMPARE(probes, <=, 5);
}

TEST(target_health, a_request_that_may_not_be_repeated_is_no_early_probe)
{
    target_health health = two_targets();
    const time_point now = send_unanswered(health, first, 50, start);
    const target_evidence& seen = *evidence_of(health, first);

    CHECK_TRUE(is_probe_due(seen, true, now + 5s));
    CHECK_FALSE(is_probe_due(seen, false, now + 5s));
    CHECK_TRUE(is_probe_due(seen, false, now + 31s));
}

TEST(target_health, a_target_that_answers_again_starts_slowly)
{
    target_health health = two_targets();
    const time_point now = send_unanswered(health, first, 50, start);
    note_answer(health, first, 10ms, now);

    CHECK_TRUE(assess(health, first, now) == target_assessment::cold);
}

TEST(target_health, a_target_that_is_added_is_cold_until_it_has_answered_for_a_while)
{
    target_health health;
    targets_are(health, std::span(both).first(1), start);
    targets_are(health, both, start);
    CHECK_TRUE(assess(health, first, start) == target_assessment::healthy);
    CHECK_TRUE(assess(health, second, start) == target_assessment::cold);
    CHECK_TRUE(assess(health, second, start + 1h) == target_assessment::cold);
    const time_point now = answer_for(health, second, 31s);

    CHECK_TRUE(assess(health, second, now) == target_assessment::healthy);
}

TEST(target_health, random_events_keep_the_counts_whole)
{
    std::mt19937_64 random(20261204);
    target_health health = two_targets();
    std::array<std::uint32_t, 2> in_flight{};
    time_point now = start;
    for (int i = 0; i < 100'000; ++i)
    {
        now += std::chrono::milliseconds(random() % 50);
        const std::size_t which = random() % 2;
        const target_id target = both[which];
        if (in_flight[which] == 0 || random() % 2 == 0)
        {
            note_sent(health, target, random() % 10 == 0, now);
            ++in_flight[which];
        }
        else
        {
            const std::uint64_t end = random() % 3;
            end == 0   ? note_answer(health, target, 10ms, now)
            : end == 1 ? note_refusal(health, target, now)
                       : note_abandoned(health, target, now);
            --in_flight[which];
        }
        LONGS_EQUAL(in_flight[which], evidence_of(health, target)->in_flight);
        const double refused = evidence_of(health, target)->refused_part;
        CHECK_TRUE(refused >= 0 && refused <= 1);
    }
}
