/// \file
/// Tests of the selection by speed: targets of three speeds, which nothing announces, and
/// instances that tell each other nothing. Times of answers have a long tail.

#include "entry_fixture.hpp"

#include <array>
#include <cmath>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<double, 3> speeds = {0.6, 1, 1.6};
constexpr double mean_speed = (0.6 + 1 + 1.6) / 3;
constexpr std::size_t target_count = 12;
constexpr std::size_t instance_count = 4;
constexpr double usual_ms = 47;
/// The mean of a log-normal distribution with a deviation of 0.5, as a multiple of its
/// median.
constexpr double mean_of_spread = 1.133;
constexpr double long_answer_share = 0.03;
constexpr double long_answer_factor = 7;
constexpr double mean_ms =
    usual_ms * mean_of_spread * (1 + long_answer_share * (long_answer_factor - 1));
/// The flows a second that all targets together can serve, with two slots each.
constexpr double capacity = 2 * target_count * mean_speed * 1000 / mean_ms;
/// A decision has this long to follow a change of speed.
constexpr duration reaction_time = 2s;

/// Answer times of a target: spread around the usual one, and some much longer.
struct answer_times
{
    std::mt19937_64 random{20'24};

    duration next(double speed)
    {
        const double normal_ms =
            usual_ms * std::exp(std::normal_distribution<double>(0, 0.5)(random));
        const bool is_long = std::bernoulli_distribution(long_answer_share)(random);
        return from_milliseconds(normal_ms * (is_long ? long_answer_factor : 1) / speed);
    }
};

/// A target may get this multiple of its share, and must get this part of it.
constexpr double most_of_share = 1.25;
constexpr double least_of_share = 0.5;

/// Returns the most flows that a target with the share \p fair may get: most_of_share,
/// and three standard deviations of a Poisson count.
double most_flows(double fair)
{
    const double mean = most_of_share * fair;
    return mean + 3 * std::sqrt(mean);
}

/// A flow that awaits its answer.
struct running_flow
{
    std::size_t instance = 0;
    target_index target = 0;
    time_point started;
};

} // namespace

TEST_GROUP(target_speed)
{
    time_point now{100s};
    target_directory directory;
    std::array<target_selector, instance_count> instances;
    std::array<double, target_count> speed_of_target{};
    answer_times times;
    std::multimap<time_point, running_flow> running;
    std::map<target_index, std::uint32_t> placed;
    std::uint64_t random = 7;

    void setup() override
    {
        for (std::uint64_t key = 1; key <= target_count; ++key)
        {
            apply_change(directory, announcement(key, key), now);
            speed_of_target[key - 1] = speeds[key % speeds.size()];
        }
        for (target_selector& each : instances)
        {
            each.local_data_centre = north;
            each.options.uses_speeds = true;
            each.instances = instance_count;
        }
    }

    void end_flows()
    {
        while (!running.empty() && running.begin()->first <= now)
        {
            const auto [ended, flow] = *running.begin();
            running.erase(running.begin());
            target_selector& selector = instances[flow.instance];
            --stats_of(selector, directory, flow.target).in_flight;
            record_request_answered(selector, directory, flow.target,
                                    ended - flow.started, 0ms, ended);
        }
    }

    void place_flow(std::size_t instance)
    {
        random = hash_pair(random, instance);
        target_selector& selector = instances[instance];
        const target_index* const target =
            select_target(selector, directory, {.service = web, .random = random}, now);
        CHECK_TRUE(target != nullptr);
        ++stats_of(selector, directory, *target).in_flight;
        ++placed[*target];
        running.emplace(now + times.next(speed_of_target[*target]),
                        running_flow{instance, *target, now});
    }

    /// Places \p flows at \p flows_per_second, through the instances in turn.
    void place_flows(std::size_t flows, double flows_per_second)
    {
        for (std::size_t i = 0; i < flows; ++i)
        {
            now += from_milliseconds(1000 / flows_per_second);
            end_flows();
            place_flow(i % instance_count);
        }
    }

    std::uint32_t total_placed() const
    {
        std::uint32_t total = 0;
        for (const auto& [target, flows] : placed)
        {
            total += flows;
        }
        return total;
    }

    /// Returns the flows of the targets with \p speed over their share of the capacity.
    double flows_over_fair_share(double speed)
    {
        double flows = 0;
        for (const auto& [target, count] : placed)
        {
            flows += speed_of_target[target] == speed ? count : 0;
        }
        const double fair_share = speed / (mean_speed * speeds.size());
        return flows / total_placed() / fair_share;
    }
};

TEST(target_speed,
     flows_come_in_proportion_to_what_targets_bear_as_the_load_nears_capacity)
{
    // 30 answers a target and instance.
    place_flows(30 * target_count * instance_count, capacity);
    double slow_before = 0;
    for (const double load : {0.4, 0.6, 0.8, 1.0})
    {
        place_flows(1000, load * capacity);
        placed.clear();
        place_flows(2000, load * capacity);
        const double slow = flows_over_fair_share(0.6);
        CHECK_TRUE_TEXT(slow > slow_before, "slow targets help as the load rises");
        slow_before = slow;
    }
    for (const double speed : speeds)
    {
        DOUBLES_EQUAL_TEXT(1, flows_over_fair_share(speed), 0.25,
                           "flows of a class of targets over their fair share");
    }
}

TEST(target_speed, fast_targets_are_preferred_while_they_have_room_and_never_overloaded)
{
    place_flows(30 * target_count * instance_count, 0.2 * capacity);
    for (const double load : {0.2, 0.4, 0.6, 0.8})
    {
        place_flows(500, load * capacity);
        placed.clear();
        const time_point start = now;
        place_flows(2000, load * capacity);
        const double seconds = milliseconds_of(now - start) / 1000;
        CHECK_TRUE(flows_over_fair_share(1.6) > 1);
        CHECK_TRUE(flows_over_fair_share(0.6) < 1);
        for (const auto& [target, flows] : placed)
        {
            const double bearable = seconds * capacity * speed_of_target[target] /
                                    (mean_speed * target_count);
            CHECK_TRUE(flows <= most_flows(bearable) / most_of_share);
        }
        UNSIGNED_LONGS_EQUAL(target_count, placed.size());
    }
}

TEST(target_speed, the_busiest_target_is_not_overloaded_by_many_instances)
{
    // Many instances that each found the same target fast must not all run to it.
    place_flows(30 * target_count * instance_count, capacity);
    const auto flows_per_second = static_cast<std::size_t>(capacity);
    for (int second = 0; second < 10; ++second)
    {
        placed.clear();
        place_flows(flows_per_second, capacity);
        for (const auto& [target, flows] : placed)
        {
            const double fair =
                capacity * speed_of_target[target] / (mean_speed * target_count);
            CHECK_TRUE(flows <= most_flows(fair));
        }
    }
}

TEST(target_speed, a_change_of_speed_is_followed_in_time)
{
    place_flows(30 * target_count * instance_count, capacity);
    const target_index changed = 1;
    DOUBLES_EQUAL(speeds.back(), speed_of_target[changed], 0);
    for (const double speed : {speeds.front(), speeds.back()})
    {
        speed_of_target[changed] = speed;
        const time_point change = now;
        while (now < change + reaction_time)
        {
            place_flows(1, capacity);
        }
        placed.clear();
        place_flows(1000, capacity);
        const double fair = 1000 * speed / (mean_speed * target_count);
        CHECK_TRUE_TEXT(placed[changed] <= most_flows(fair), "it has become slow");
        CHECK_TRUE_TEXT(placed[changed] >= least_of_share * fair, "it has become fast");
    }
}

TEST(target_speed, one_long_answer_does_not_exclude_a_target)
{
    target_speed speed;
    usual_answer_time usual;
    for (int i = 0; i < 20; ++i)
    {
        record_answer_time(speed, usual, 47ms, now);
    }
    target_speed fresh;
    for (target_speed* const each : {&speed, &fresh})
    {
        record_answer_time(*each, usual, 10s, now);
        CHECK_TRUE(speed_of(*each, now) > speeds.front());
        CHECK_TRUE(speed_of(*each, now) < 1);
    }
}

TEST(target_speed, a_target_without_answers_counts_as_usual)
{
    DOUBLES_EQUAL(1, speed_of({}, now), 0.001);
}

TEST(target_speed, the_estimate_stays_within_its_bounds)
{
    for (const duration time : {1h, 0h})
    {
        target_speed speed;
        usual_answer_time usual{.ln_time = std::log(47), .answers = 64};
        for (int i = 0; i < 100; ++i)
        {
            record_answer_time(speed, usual, time, now);
            CHECK_TRUE(speed_of(speed, now) >= min_target_speed);
            CHECK_TRUE(speed_of(speed, now) <= max_target_speed);
        }
    }
}

TEST(target_speed, evidence_fades_so_that_an_avoided_target_is_tried_again)
{
    target_speed speed{
        .own = {.ln_slowness = std::log(8), .answers = 12, .updated_at = now}};
    CHECK_TRUE(speed_of(speed, now) < 0.25);
    CHECK_TRUE(speed_of(speed, now + 2min) > 0.9);
}

TEST(target_speed, what_peers_report_helps_a_new_instance_but_does_not_outweigh_its_own)
{
    const speed_evidence slow{
        .ln_slowness = std::log(4), .answers = 1000, .updated_at = now};
    const speed_evidence fast{
        .ln_slowness = std::log(0.7), .answers = 12, .updated_at = now};
    CHECK_TRUE(speed_of({.reported = slow}, now) < 0.6);
    CHECK_TRUE(speed_of({.reported = slow}, now) > 1.0 / 4);
    CHECK_TRUE(speed_of({.own = fast, .reported = slow}, now) >
               speed_of({.reported = slow}, now));
    CHECK_TRUE(speed_of({.own = fast, .reported = slow}, now) > speeds.front());
}

TEST(target_speed, a_slow_target_holds_fewer_flows_and_a_fast_one_more)
{
    target_directory one;
    apply_change(one, announcement(1, 1), now);
    for (const auto& [ln_slowness, most] :
         {std::pair(std::log(4), 1U), std::pair(0.0, 4U), std::pair(std::log(0.5), 8U)})
    {
        target_selector selector{.local_data_centre = north};
        selector.options.uses_speeds = true;
        target_stats& stats = stats_of(selector, one, 0);
        stats.speed.own = {.ln_slowness = ln_slowness, .answers = 1e6, .updated_at = now};
        std::uint32_t flows = 0;
        while (flows < 20 &&
               select_target(selector, one, {.service = web, .may_wait = true}, now))
        {
            ++flows;
            ++stats.in_flight;
        }
        UNSIGNED_LONGS_EQUAL(most, flows);
    }
}

TEST(target_speed, flows_stay_local_while_a_local_target_has_room)
{
    apply_change(directory, announcement(50, 50, south), now);
    place_flows(2000, 20);
    UNSIGNED_LONGS_EQUAL(0, placed[directory.by_entry.at(50)]);
}

TEST(target_speed, a_target_that_fails_at_once_does_not_count_as_fast)
{
    target_selector& selector = instances[0];
    for (int i = 0; i < 200; ++i)
    {
        now += 10ms;
        const auto target = static_cast<target_index>(i % target_count);
        record_request_answered(selector, directory, target, target == 0 ? 1ms : 60ms,
                                0ms, now);
        select_target(selector, directory, {.service = web}, now);
    }
    CHECK_TRUE(speed_of(selector.stats[0].speed, now) < 1.1);
}

TEST(target_speed, a_restart_of_a_target_ends_what_is_known_of_its_speed)
{
    target_selector& selector = instances[0];
    stats_of(selector, directory, 0).speed.own = {
        .ln_slowness = 1, .answers = 12, .updated_at = now};
    target_change restarted = announcement(1, 100);
    restarted.record->incarnation = 2;
    apply_change(directory, restarted, now);
    DOUBLES_EQUAL(1, speed_of(stats_of(selector, directory, 0).speed, now), 0.001);
}

TEST(target_speed, answers_in_an_announced_warm_up_do_not_count)
{
    target_change warming = announcement(1, 100);
    warming.record->warm_up_left = 2s;
    apply_change(directory, warming, now);
    target_selector& selector = instances[0];
    stats_of(selector, directory, 0);
    selector.services[web].usual_time = {.ln_time = std::log(47), .answers = 64};
    record_request_answered(selector, directory, 0, 500ms, 0ms, now + 1s);
    DOUBLES_EQUAL(1, speed_of(selector.stats[0].speed, now), 0.001);
    record_request_answered(selector, directory, 0, 500ms, 0ms, now + 3s);
    CHECK_TRUE(speed_of(selector.stats[0].speed, now + 3s) < 1);
}

TEST(target_speed, the_first_answer_fades_from_its_own_time_on)
{
    target_speed speed;
    usual_answer_time usual{.ln_time = std::log(47), .answers = 64};
    record_answer_time(speed, usual, 200ms, now);
    CHECK_TRUE(speed.own.updated_at == now);
    DOUBLES_EQUAL(1, decayed(speed.own, now).answers, 1e-9);
}
