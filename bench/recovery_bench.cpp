/// \file
/// What comes back, and how fast: one instance replaced, all restarted one by one, and
/// most of them restarted at once, without a stampede on the platform.

#include "instance_fleet.hpp"
#include "report.hpp"

#include <algorithm>

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::bench;
using namespace std::chrono_literals;

constexpr double in_force_bound_s = 6;
/// The platform takes several hundred writes and about 2,000 reads a second.
constexpr double calls_bound = 400;
constexpr std::size_t targets = 18;
constexpr std::size_t instances = 24;

double in_seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

struct trial
{
    report& results;
    instance_fleet& fleet;

    void tell(std::string_view metric, double value, std::string_view unit,
              std::optional<double> bound = {})
    {
        std::optional<metric_bound> limit;
        if (bound)
        {
            limit = metric_bound{bound_kind::at_most, *bound};
        }
        results.add({.variant = "whole",
                     .metric = metric,
                     .value = value,
                     .unit = unit,
                     .bound = limit});
    }

    bool is_whole() const
    {
        const generation newest = fleet.platform.newest->generation;
        return count_in_force(fleet, newest) == fleet.nodes.size();
    }

    /// Returns the most calls on the platform in any second until the fleet is whole.
    double peak_calls(duration at_least)
    {
        std::uint64_t peak = 0;
        const time_point end = fleet.queue.now() + at_least;
        while (fleet.queue.now() < end || !is_whole())
        {
            const std::uint64_t before = fleet.platform.calls;
            run_until(
                fleet, [] { return false; }, 1s);
            peak = std::max(peak, fleet.platform.calls - before);
            if (fleet.queue.now() > end + 120s)
            {
                break;
            }
        }
        return static_cast<double>(peak);
    }
};

/// Returns the first instance that may claim, or the first of all.
std::size_t first_claiming(const instance_fleet& fleet)
{
    const auto found =
        std::ranges::find_if(fleet.nodes, [&](const auto& each)
                             { return may_claim(each->state, fleet.queue.now()); });
    const auto place = static_cast<std::size_t>(found - fleet.nodes.begin());
    return place == fleet.nodes.size() ? 0 : place;
}

/// Replaces a holder of claims; only holders may claim at all.
void replace_one(trial& at)
{
    const std::size_t claiming_before = count_claiming(at.fleet);
    const std::size_t holder = first_claiming(at.fleet);
    replace_node(at.fleet, holder, 1s);
    run_until(
        at.fleet, [] { return false; }, 1100ms);
    const duration configured = run_until(
        at.fleet, [&] { return at.is_whole(); }, 60s);
    at.tell("one replaced: time until its configuration is in force",
            in_seconds_of(configured), "s", in_force_bound_s);
    const duration claiming = run_until(
        at.fleet, [&] { return count_claiming(at.fleet) >= claiming_before; }, 120s);
    at.tell("one replaced: time until as many instances may claim as before",
            in_seconds_of(configured + claiming), "s");
}

void restart_one_by_one(trial& at)
{
    std::size_t fewest_claiming = at.fleet.nodes.size();
    for (std::size_t i = 0; i < at.fleet.nodes.size(); ++i)
    {
        replace_node(at.fleet, i, 1s);
        run_until(
            at.fleet, [] { return false; }, 20s);
        fewest_claiming = std::min(fewest_claiming, count_claiming(at.fleet));
    }
    run_until(
        at.fleet, [&] { return at.is_whole(); }, 60s);
    at.tell("one by one: instances without the configuration afterwards",
            static_cast<double>(
                at.fleet.nodes.size() -
                count_in_force(at.fleet, at.fleet.platform.newest->generation)),
            "1", 0);
    at.tell("one by one: fewest instances that may claim 20 s after a restart",
            static_cast<double>(fewest_claiming), "1");
}

void restart_most(trial& at)
{
    for (std::size_t i = 0; i < at.fleet.nodes.size() - 3; ++i)
    {
        replace_node(at.fleet, i, 500ms);
    }
    run_until(
        at.fleet, [] { return false; }, 600ms);
    const std::uint64_t calls_before = at.fleet.platform.calls;
    const duration taken = run_until(
        at.fleet, [&] { return at.is_whole(); }, 60s);
    const auto first_calls = static_cast<double>(at.fleet.platform.calls - calls_before);
    at.tell("most at once: most platform calls in a second",
            std::max(first_calls, at.peak_calls(10s)), "1/s", calls_bound);
    at.tell("most at once: time until all have the configuration", in_seconds_of(taken),
            "s", in_force_bound_s);
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "recovery");
    report results("recovery", options.seed);
    const auto fleet = start_fleet({.instances = instances, .seed = options.seed});
    trial at{.results = results, .fleet = *fleet};
    publish(*fleet, targets);
    run_until(
        *fleet, [] { return false; }, 60s);
    replace_one(at);
    restart_one_by_one(at);
    restart_most(at);
    at.tell("generations that went back", static_cast<double>(fleet->reverts), "1", 0);
    return results.exit_code();
}
