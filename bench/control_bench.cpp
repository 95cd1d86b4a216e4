/// \file
/// What control costs one instance in bytes a second, as the fleet grows: at rest, and
/// while instances are replaced at the rate of the target.

#include "instance_fleet.hpp"
#include "report.hpp"

namespace
{

using namespace kumquatpath;
using namespace kumquatpath::bench;
using namespace std::chrono_literals;

constexpr double bytes_bound = 6000;
constexpr std::size_t targets = 18;
constexpr auto span = 60s;
/// At the target an instance is replaced every 48 s, whatever the size of the fleet.
constexpr auto replacement_interval = 48s;

double bytes_a_second(instance_fleet& fleet)
{
    const std::uint64_t before = control_bytes(fleet);
    run_until(
        fleet, [] { return false; }, span);
    const double sent = static_cast<double>(control_bytes(fleet) - before);
    return sent / static_cast<double>(fleet.nodes.size()) /
           std::chrono::duration<double>(span).count();
}

void run(report& results, std::size_t instances, std::uint64_t seed)
{
    const auto fleet = start_fleet({.instances = instances, .seed = seed});
    const std::string label = "whole/" + std::to_string(instances);
    publish(*fleet, targets);
    run_until(
        *fleet, [] { return false; }, 60s);
    const metric_bound bound{bound_kind::at_most, bytes_bound};
    results.add({.variant = label,
                 .metric = "control sent by one instance at rest",
                 .value = bytes_a_second(*fleet),
                 .unit = "B/s",
                 .bound = bound});
    for (int i = 0; i < 2; ++i)
    {
        fleet->queue.after(i * duration(replacement_interval), [&held = *fleet, i]
                           { replace_node(held, static_cast<std::size_t>(i) + 1, 2s); });
    }
    results.add({.variant = label,
                 .metric = "control sent by one instance during replacements",
                 .value = bytes_a_second(*fleet),
                 .unit = "B/s",
                 .bound = bound});
}

} // namespace

int main(int argc, char** argv)
{
    const bench_options options = read_options(argc, argv, "control");
    report results("control", options.seed);
    for (const std::size_t instances : {8U, 16U, 32U, 64U})
    {
        run(results, instances, options.seed);
    }
    return results.exit_code();
}
