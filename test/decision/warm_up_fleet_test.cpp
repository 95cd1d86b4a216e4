/// \file
/// Tests of the limit on the new flows of targets that warm up. The load is that of a
/// data centre whose targets all return cold together at peak: every instance always has
/// a flow for every target.

#include "entry_fixture.hpp"

#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpath;
using namespace kumquatpath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t cold_targets = 2;
constexpr duration warm_up = 30s;
constexpr duration step = 20ms;

/// How much of the fleet each instance knows.
enum class knowledge : std::uint8_t
{
    whole_fleet,
    half_of_fleet,
    one_side_of_cut,
    whole_fleet_with_restarts,
};

/// When the callers have flows to place.
enum class demand : std::uint8_t
{
    constant,
    /// Bursts of half a second after 2.7 s without any flow.
    bursts,
};

struct scenario
{
    std::uint32_t instances = 1;
    knowledge known = knowledge::whole_fleet;
    demand wanted = demand::constant;
    double flows_per_second = 0;
    std::uint64_t seed = 0;
};

std::uint32_t known_instances(const scenario& each, std::uint32_t instance)
{
    const std::uint32_t smaller_side = each.instances / 3;
    switch (each.known)
    {
    case knowledge::half_of_fleet:
        return (each.instances + 1) / 2;
    case knowledge::one_side_of_cut:
        return instance < smaller_side ? smaller_side : each.instances - smaller_side;
    case knowledge::whole_fleet:
    case knowledge::whole_fleet_with_restarts:
        break;
    }
    return each.instances;
}

bool has_demand(demand wanted, duration since_start)
{
    return wanted == demand::constant || since_start % duration(3200ms) >= 2700ms;
}

/// An instance with its own directory and its own clock.
struct instance_under_test
{
    duration clock_offset{0};
    target_directory directory;
    warm_up_allowance allowance;
};

instance_under_test make_instance(const scenario& each, std::uint32_t number)
{
    instance_under_test made;
    const std::uint64_t seed = hash_pair(each.seed, number);
    made.clock_offset = 100s + duration(seed % duration(1000s).count());
    made.allowance.instance_seed = seed;
    made.allowance.instances = known_instances(each, number);
    for (std::uint64_t key = 1; key <= cold_targets; ++key)
    {
        target_change change = announcement(key, key);
        change.record->warm_up_left =
            std::chrono::duration_cast<std::chrono::milliseconds>(warm_up);
        change.record->incarnation = hash_pair(each.seed, key);
        // The announcement reaches the instances at different times.
        apply_change(made.directory, change,
                     time_point(made.clock_offset + duration(seed % 700'000'000)));
    }
    return made;
}

/// Restarts the instance with new state; it then knows no other instance for a while.
void restart(instance_under_test& instance, std::uint64_t seed, time_point now)
{
    instance.allowance = {.instance_seed = seed,
                          .instances = 1,
                          .usable_from = now + warm_up_discovery_time};
}

using use_times = std::vector<duration>;

/// Returns the times of all uses of each target by the whole fleet.
std::vector<use_times> uses_by(const scenario& each)
{
    const warm_up_policy policy{.duration = 30s,
                                .flows_per_second = each.flows_per_second};
    std::vector<instance_under_test> fleet;
    for (std::uint32_t number = 0; number < each.instances; ++number)
    {
        fleet.push_back(make_instance(each, number));
    }
    std::vector<use_times> uses(cold_targets);
    for (duration at = 1s; at < warm_up; at += step)
    {
        if (!has_demand(each.wanted, at))
        {
            continue;
        }
        for (std::uint32_t number = 0; number < each.instances; ++number)
        {
            instance_under_test& instance = fleet[number];
            const time_point now(instance.clock_offset + at);
            const bool restarts = each.known == knowledge::whole_fleet_with_restarts &&
                                  at == 10s && number % 2 == 0;
            if (restarts)
            {
                restart(instance, hash_pair(each.seed, number + 1000), now);
            }
            if (now >= instance.allowance.usable_from)
            {
                instance.allowance.instances = known_instances(each, number);
            }
            for (target_index index = 0; index < cold_targets; ++index)
            {
                if (warm_up_use_of(instance.allowance, &policy, instance.directory, index,
                                   0, now)
                        .is_allowed)
                {
                    record_warm_up_use(instance.allowance, &policy, instance.directory,
                                       index, now);
                    uses[index].push_back(at);
                }
            }
        }
    }
    return uses;
}

/// Returns the largest number of \p times within any second; \p times are in order.
std::size_t most_within_a_second(const use_times& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last)
    {
        while (times[last] - times[first] > 1s)
        {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

std::string describe(const scenario& each)
{
    return std::to_string(each.instances) + " instances, knowledge " +
           std::to_string(static_cast<int>(each.known)) + ", demand " +
           std::to_string(static_cast<int>(each.wanted)) + ", rate " +
           std::to_string(each.flows_per_second) + ", seed " + std::to_string(each.seed);
}

void check_limit(const scenario& each)
{
    for (const use_times& times : uses_by(each))
    {
        const auto most = static_cast<double>(most_within_a_second(times));
        CHECK_TRUE_TEXT(most <= max_flows_per_second(each.flows_per_second),
                        describe(each).c_str());
    }
}

constexpr double rates[] = {1, 10, 50, 200};

/// The part of the rate that the design promises to use at whole rates. At lower rates,
/// the rule leaves less room for the variance of two halves that do not know each other.
constexpr double least_used_part = 1.0 / 6;
constexpr double least_used_part_of_high_rates = 1.0 / 4;
constexpr double lowest_high_rate = 14;
/// The worst fractional rate is just below 2: the rule allows 7 flows then, and 8 at 2.
constexpr double least_used_part_of_fractional_rates = 1.0 / 7;

double least_use(double rate)
{
    return rate *
           (rate < lowest_high_rate ? least_used_part : least_used_part_of_high_rates);
}

} // namespace

TEST_GROUP(warm_up_fleet){};

// Guards against instances that each use the whole rate, against bursts of saved
// permissions, and against phases that coincide.
TEST(warm_up_fleet, a_fleet_stays_within_the_limit_in_every_second)
{
    for (const std::uint32_t instances : {3U, 72U, 300U})
    {
        for (const knowledge known :
             {knowledge::whole_fleet, knowledge::half_of_fleet,
              knowledge::one_side_of_cut, knowledge::whole_fleet_with_restarts})
        {
            for (const demand wanted : {demand::constant, demand::bursts})
            {
                for (const double rate : rates)
                {
                    for (const std::uint64_t seed : {1U, 2U, 3U, 4U})
                    {
                        check_limit({.instances = instances,
                                     .known = known,
                                     .wanted = wanted,
                                     .flows_per_second = rate,
                                     .seed = seed});
                    }
                }
            }
        }
    }
}

// Guards against an allowance that is safe because hardly anything of it is used.
TEST(warm_up_fleet, a_fleet_that_knows_itself_uses_a_stated_part_of_the_rate)
{
    for (const std::uint32_t instances : {3U, 72U, 300U})
    {
        for (const double rate : {10.0, 50.0, 200.0})
        {
            const scenario each{
                .instances = instances, .flows_per_second = rate, .seed = instances};
            for (const use_times& times : uses_by(each))
            {
                const double used = static_cast<double>(times.size()) /
                                    std::chrono::duration<double>(warm_up).count();
                CHECK_TRUE_TEXT(used >= least_use(rate), describe(each).c_str());
            }
        }
    }
}

TEST(warm_up_fleet, the_used_rate_is_a_stated_part_of_the_limit)
{
    std::vector<double> tested{1000, 1e6};
    for (double rate = 1; rate <= 300; ++rate)
    {
        tested.push_back(rate);
    }
    for (const double rate : tested)
    {
        const double used = used_flows_per_second(rate);
        CHECK_TRUE_TEXT(used >= least_use(rate), std::to_string(rate).c_str());
        CHECK_TRUE(used <= rate);
        CHECK_TRUE(2 * used <= max_flows_per_second(rate));
    }
}

TEST(warm_up_fleet, the_used_part_of_a_fractional_rate_is_little_less)
{
    for (int hundredths = 10; hundredths <= 2000; ++hundredths)
    {
        const double rate = hundredths / 100.0;
        const double used = used_flows_per_second(rate);
        CHECK_TRUE_TEXT(used >= rate * least_used_part_of_fractional_rates,
                        std::to_string(rate).c_str());
        CHECK_TRUE(used <= rate);
        CHECK_TRUE(2 * used <= max_flows_per_second(rate));
    }
    CHECK_TRUE(used_flows_per_second(0.1) >= 0.1 * least_used_part);
}
