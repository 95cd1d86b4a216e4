/// \file
/// How fast a configuration is in force everywhere, what it costs the platform, and that
/// it never goes back: with readers and peers, with a watch for every instance, and with
/// readers alone.

#include "instance_fleet.hpp"
#include "report.hpp"

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::bench;
using namespace std::chrono_literals;

constexpr double in_force_bound_s = 6;
constexpr std::size_t targets = 18;

double in_seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

struct variant
{
    std::string_view name;
    bool everybody_reads = false;
    bool peers_are_mute = false;
    /// Only our own way has to keep the bounds.
    bool is_bound = false;
};

constexpr variant variants[] = {
    {.name = "readers-and-peers", .is_bound = true},
    {.name = "everybody-watches", .everybody_reads = true},
    {.name = "readers-alone", .peers_are_mute = true},
};

/// One variant at one size.
struct trial
{
    report& results;
    const variant& which;
    instance_fleet& fleet;
    std::string label;

    void tell(std::string_view metric, double value, std::string_view unit,
              std::optional<double> bound = {})
    {
        std::optional<metric_bound> limit;
        if (which.is_bound && bound)
        {
            limit = metric_bound{bound_kind::at_most, *bound};
        }
        results.add({.variant = label,
                     .metric = metric,
                     .value = value,
                     .unit = unit,
                     .bound = limit});
    }

    duration until_switched(generation wanted)
    {
        const std::size_t all = fleet.nodes.size();
        return run_until(
            fleet, [&] { return count_switched(fleet, wanted) == all; }, 120s);
    }
};

void measure_changes(trial& at)
{
    duration worst{};
    const std::uint64_t calls_before = at.fleet.platform.calls;
    const time_point start = at.fleet.queue.now();
    for (std::size_t i = 0; i < 5; ++i)
    {
        worst = std::max(worst, at.until_switched(publish(at.fleet, targets + i)));
        run_until(
            at.fleet, [] { return false; }, 5s);
    }
    const double span = in_seconds_of(at.fleet.queue.now() - start);
    at.tell("worst time until in force everywhere", in_seconds_of(worst), "s",
            in_force_bound_s);
    at.tell("platform calls",
            static_cast<double>(at.fleet.platform.calls - calls_before) / span, "1/s");
}

/// The platform goes away, an instance is replaced meanwhile: it must get the newest
/// generation from its peers.
void measure_outage(trial& at)
{
    const generation newest = at.fleet.platform.newest->generation;
    at.fleet.platform.is_up = false;
    replace_node(at.fleet, 1, 500ms);
    run_until(
        at.fleet, [] { return false; }, 600ms);
    const duration taken = run_until(
        at.fleet,
        [&] { return count_in_force(at.fleet, newest) == at.fleet.nodes.size(); }, 60s);
    at.tell("newcomer's configuration while the platform is away", in_seconds_of(taken),
            "s", in_force_bound_s);
    at.fleet.platform.is_up = true;
    run_until(
        at.fleet, [] { return false; }, 10s);
}

/// A data centre is cut off, a generation is published, the cut heals.
void measure_cut(trial& at)
{
    at.fleet.cut_off = {0};
    run_until(
        at.fleet, [] { return false; }, 30s);
    const generation newest = publish(at.fleet, targets + 20);
    run_until(
        at.fleet, [] { return false; }, 30s);
    at.fleet.cut_off = {};
    at.tell("time until in force everywhere after a cut healed",
            in_seconds_of(at.until_switched(newest)), "s", in_force_bound_s);
}

void run(report& results, const variant& which, std::size_t instances, std::uint64_t seed)
{
    const auto fleet = start_fleet({.instances = instances,
                                    .seed = seed,
                                    .everybody_reads = which.everybody_reads,
                                    .peers_are_mute = which.peers_are_mute});
    trial at{.results = results,
             .which = which,
             .fleet = *fleet,
             .label = std::string(which.name) + "/" + std::to_string(instances)};
    publish(*fleet, targets);
    run_until(
        *fleet, [] { return false; }, 20s);
    measure_changes(at);
    measure_outage(at);
    measure_cut(at);
    at.tell("generations that went back", static_cast<double>(fleet->reverts), "1", 0);
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "config");
    report results("config", options.seed);
    for (const variant& each : variants)
    {
        if (!options.variant.empty() && options.variant != each.name)
        {
            continue;
        }
        for (const std::size_t instances : {std::size_t{8}, std::size_t{48}})
        {
            run(results, each, instances, options.seed);
        }
    }
    return results.exit_code();
}
