/// \file
/// Tests of the shares of the flows that targets get in the random choice by speed.

#include "entry_fixture.hpp"

#include <array>
#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t target_count = 6;
constexpr std::array<double, target_count> speeds = {0.5, 0.8, 1, 1, 1.2, 1.6};
constexpr std::array<std::uint32_t, target_count> loads = {0, 1, 0, 3, 2, 0};
constexpr std::uint32_t slots_per_target = 2;
constexpr int draws = 60'000;

} // namespace

TEST_GROUP(target_choice)
{
    time_point now{100s};
    target_directory directory;
    target_selector selector{.local_data_centre = north};
    std::uint64_t random = 7;

    void setup() override
    {
        selector.options.uses_speeds = true;
        for (target_index index = 0; index < target_count; ++index)
        {
            apply_change(directory, announcement(index + 1, index + 1), now);
            target_stats& stats = stats_of(selector, directory, index);
            stats.in_flight = loads[index];
            // So many answers that the assumption of the usual speed is lost among them.
            stats.speed.own = {.ln_slowness = -std::log(speeds[index]),
                               .answers = 1e9,
                               .updated_at = now};
        }
        settle();
    }

    target_index place()
    {
        random = hash_pair(random, 1);
        return *select_target(selector, directory, {.service = web, .random = random},
                              now);
    }

    /// Lets the smoothed share of the slots in use come to rest.
    void settle()
    {
        for (int i = 0; i < 1000; ++i)
        {
            now += 1ms;
            place();
        }
    }

    /// Returns the weight by the rule of docs/design/target-choice.md.
    static double weight(target_index index, double utilization)
    {
        const double emptiness =
            1 / (1 + loads[index] / static_cast<double>(slots_per_target));
        const double exponent = 1 + 5 * (1 - utilization);
        return std::min(std::pow(speeds[index], exponent), 4.0) * std::pow(emptiness, 4);
    }
};

TEST(target_choice, targets_get_flows_in_proportion_to_their_weights)
{
    const double utilization = 6.0 / (target_count * slots_per_target);
    DOUBLES_EQUAL(utilization, selector.services[web].utilization, 1e-6);
    double total = 0;
    for (target_index index = 0; index < target_count; ++index)
    {
        total += weight(index, utilization);
    }
    std::array<int, target_count> placed{};
    for (int i = 0; i < draws; ++i)
    {
        ++placed[place()];
    }
    for (target_index index = 0; index < target_count; ++index)
    {
        const double share = weight(index, utilization) / total;
        const double deviation = std::sqrt(draws * share * (1 - share));
        // Exceeded by chance for one of six targets in one of 2,600 sequences of bits.
        DOUBLES_EQUAL(draws * share, placed[index], 4 * deviation);
    }
}

TEST(target_choice, a_new_answer_changes_the_share_of_its_target_at_once)
{
    target_stats& stats = stats_of(selector, directory, 2);
    stats.speed.own.answers = 8;
    selector.services[web].usual_time = {.ln_time = std::log(60), .answers = 64};
    for (int i = 0; i < 8; ++i)
    {
        record_request_answered(selector, directory, 2, 600ms, 0ms, now);
    }
    int placed = 0;
    for (int i = 0; i < 1000; ++i)
    {
        placed += place() == 2 ? 1 : 0;
    }
    CHECK_TRUE_TEXT(placed < 20, "it is slow, and got an eighth of the flows or so");
}

TEST(target_choice,
     a_service_of_120_targets_is_reviewed_every_50_ms_and_a_larger_one_later)
{
    for (const auto& [targets, interval] :
         {std::pair(120U, duration(50ms)), std::pair(3000U, duration(250ms))})
    {
        target_directory many;
        std::vector<target_index> all;
        for (std::uint64_t key = 1; key <= targets; ++key)
        {
            apply_change(many, announcement(key, key), now);
        }
        target_selector fresh{.local_data_centre = north};
        select_target(fresh, many, {.service = web}, now);
        for (target_stats& each : fresh.stats)
        {
            each.answers = {.total = 10, .updated_at = now};
        }
        // Too many quick answers, which the next review finds.
        fresh.stats[0].answers = {
            .quick = 10, .total = 10, .suspicion = 10, .updated_at = now};
        select_target(fresh, many, {.service = web}, now + interval - 1ms);
        CHECK_FALSE(fresh.stats[0].is_failing);
        select_target(fresh, many, {.service = web}, now + interval);
        CHECK_TRUE(fresh.stats[0].is_failing);
    }
}
