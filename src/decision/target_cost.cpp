#include <kumquatpath/decision/target_cost.hpp>

#include <algorithm>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// A target of the usual speed with this many flows in flight per slot is full.
constexpr std::uint32_t full_flows_per_slot = 2;
/// The cost of sending a flow to another data centre, in response times.
constexpr double remote_cost = 0.34;
/// The factor by which a target is slower while it warms up after its start.
constexpr double warm_up_cost_factor = 1.6;
/// A target whose response time is within this factor of the mean counts as equally fast.
constexpr double slowness_tolerance = 1.2;
constexpr double max_slowness = 6;
/// Added to the exponent of a target's speed in its weight while all slots are free; in
/// proportion to the free share otherwise.
/// High, as slow targets miss the goal of requests that take long.
constexpr double idle_speed_exponent = 5;
/// The weight limit of a fast target, as a multiple of a usual target's weight.
constexpr double max_speed_weight = 4;

double slowness_of(const target_stats& stats, double mean_response_time_ms)
{
    if (mean_response_time_ms <= 0 || stats.response_time_ms <= 0)
    {
        return 1;
    }
    return std::clamp(stats.response_time_ms / mean_response_time_ms / slowness_tolerance,
                      1.0, max_slowness);
}

/// Returns the flows of this instance at \p target for each of its slots.
double load_of(const known_target& target, const target_stats& stats)
{
    // Most targets have none, and a division takes long.
    return stats.in_flight == 0
               ? 0
               : stats.in_flight / static_cast<double>(std::max(1U, target.record.slots));
}

/// Returns \p value to the power of 4: how steeply the weight of a target falls with the
/// flows that this instance has there.
/// Steep, as each of many instances sees only its own few flows.
double fourth_power(double value)
{
    const double square = value * value;
    return square * square;
}

} // namespace

target_estimate estimate_of(const target_stats& stats, const service_stats& service,
                            const selection_options& options, time_point now)
{
    target_estimate result{.slowness = slowness_of(stats, service.mean_response_time_ms),
                           .is_outdated = false};
    if (options.uses_speeds)
    {
        const double free_share = 1 - std::clamp(service.utilization, 0.0, 1.0);
        const double exponent = 1 + idle_speed_exponent * free_share;
        result.speed = speed_of(stats.speed, now);
        result.idle_mean_draw =
            1 / std::min(std::pow(result.speed, exponent), max_speed_weight);
    }
    return result;
}

double cost_of(const target_selector& selector, const known_target& target,
               const target_stats& stats, const warm_up_policy* warm_up, time_point now)
{
    double cost = (1 + load_of(target, stats)) * stats.estimate.slowness;
    cost *= is_warming_up(target, warm_up, now) ? warm_up_cost_factor : 1;
    cost += target.record.data_centre == selector.local_data_centre ? 0 : remote_cost;
    return cost;
}

double mean_draw_of(const known_target& target, const target_stats& stats,
                    const warm_up_policy* warm_up, time_point now)
{
    const double mean =
        stats.estimate.idle_mean_draw * fourth_power(1 + load_of(target, stats));
    return is_warming_up(target, warm_up, now) ? mean * warm_up_cost_factor : mean;
}

std::uint32_t max_flows_at(const known_target& target, double speed)
{
    const double flows = full_flows_per_slot * std::max(1U, target.record.slots) * speed;
    return static_cast<std::uint32_t>(std::max(1.0, std::round(flows)));
}

} // namespace kumquatpath
