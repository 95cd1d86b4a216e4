#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatpath
{
namespace
{

/// The limit within any second, from the limit of the policy.
constexpr double overage_factor = 1.5;
constexpr double overage_flows = 5;
/// The number of parts of the fleet that may each use the whole rate, unknown to each
/// other.
constexpr double parts_of_fleet = 2;
/// The longest permission window. A shorter interval has windows of half its length.
constexpr duration max_window = std::chrono::milliseconds(250);
constexpr double max_window_share = 0.5;
/// Bounds the interval, so that a tiny limit neither overflows a duration nor lets the
/// phase exceed the length of any warm-up by orders of magnitude.
constexpr duration max_interval = std::chrono::hours(1);
/// The natural logarithm of the probability with which a second may exceed the limit.
constexpr double max_excess_log_probability = -12;
constexpr int bisection_steps = 40;
/// The smallest share of the flows that consider a target without a limit at its usual
/// cost.
constexpr double min_ramp_share = 0.1;
/// The ramp after a warm-up with a limit takes this share of the warm-up, within bounds.
constexpr double ramp_share_of_warm_up = 0.25;
constexpr duration min_ramp = std::chrono::seconds(1);
constexpr duration max_ramp = std::chrono::seconds(10);
/// The added cost of a target that the ramp leaves out: above that of any healthy target,
/// so that the target is used only if no other one is left.
constexpr double left_out_cost = 200;
constexpr std::uint64_t ramp_hash_key = 0x72616d70;

/// Returns the Chernoff bound, as a natural logarithm, of the probability that a Poisson
/// variable with the mean \p mean reaches \p count, which is above the mean.
double log_probability_of(double count, double mean)
{
    return count - mean - count * std::log(count / mean);
}

duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(
            static_cast<double>(time.count()) * factor));
}

duration interval_of(const warm_up_windows& windows, std::uint32_t instances)
{
    const double seconds = std::max(1U, instances) / windows.used_flows_per_second;
    const double max_seconds = std::chrono::duration<double>(max_interval).count();
    return from_milliseconds(1000 * std::min(seconds, max_seconds));
}

duration window_of(duration interval)
{
    return std::min(max_window, scaled(interval, max_window_share));
}

duration phase_of(const warm_up_allowance& allowance, const known_target& target,
                  duration interval)
{
    const std::uint64_t bits =
        hash_pair(hash_pair(allowance.instance_seed, target.record.key.value),
                  target.record.incarnation);
    return scaled(interval, unit_interval(bits));
}

/// Returns the windows of the target at \p index at \p now. They are drawn for each
/// warm-up. If the interval changes, the time to the next window changes in proportion:
/// this keeps the phases of the instances spread and grants no window early.
warm_up_windows& windows_of(warm_up_allowance& allowance, const warm_up_policy& policy,
                            const target_directory& directory, target_index index,
                            time_point now)
{
    if (index >= allowance.windows.size())
    {
        allowance.windows.resize(directory.targets.size());
    }
    warm_up_windows& windows = allowance.windows[index];
    const known_target& target = directory.targets[index];
    const bool is_same_warm_up =
        windows.key == target.record.key && windows.warm_up_since == target.warm_up_since;
    if (windows.flows_per_second != policy.flows_per_second)
    {
        windows.flows_per_second = policy.flows_per_second;
        windows.used_flows_per_second = used_flows_per_second(policy.flows_per_second);
    }
    const duration interval = interval_of(windows, allowance.instances);
    if (!is_same_warm_up)
    {
        windows.key = target.record.key;
        windows.warm_up_since = target.warm_up_since;
        windows.next_at = now + phase_of(allowance, target, interval);
    }
    else if (interval != windows.interval && windows.next_at > now)
    {
        const double change =
            milliseconds_of(interval) / milliseconds_of(windows.interval);
        windows.next_at = now + scaled(windows.next_at - now, change);
    }
    windows.interval = interval;
    const duration window = window_of(interval);
    if (now >= windows.next_at + window)
    {
        const auto passed = (now - windows.next_at - window) / interval + 1;
        windows.next_at += passed * interval;
    }
    return windows;
}

/// Returns the share of the flows that consider \p target at its usual cost.
double ramp_share(const known_target& target, const warm_up_policy& policy,
                  time_point now)
{
    const time_point end = warm_up_end(target, &policy);
    if (end <= target.warm_up_since)
    {
        return 1;
    }
    const bool has_limit = policy.flows_per_second > 0;
    const duration warm_up = end - target.warm_up_since;
    const duration ramp =
        has_limit ? std::clamp(scaled(warm_up, ramp_share_of_warm_up), min_ramp, max_ramp)
                  : std::max<duration>(policy.duration, duration(1));
    const time_point ramp_end = has_limit ? end + ramp : end;
    const double left = milliseconds_of(ramp_end - now) / milliseconds_of(ramp);
    return std::clamp(1 - left, min_ramp_share, 1.0);
}

bool is_drawn(std::uint64_t random, target_key key, double share)
{
    const std::uint64_t bits = hash_pair(hash_pair(random, key.value), ramp_hash_key);
    return unit_interval(bits) < share;
}

} // namespace

time_point warm_up_end(const known_target& target, const warm_up_policy* policy)
{
    if (policy == nullptr || policy->duration == std::chrono::milliseconds(0))
    {
        return target.warm_up_until;
    }
    return std::min(target.warm_up_until,
                    target.warm_up_since + duration(policy->duration));
}

bool is_warming_up(const known_target& target, const warm_up_policy* policy,
                   time_point now)
{
    return now < warm_up_end(target, policy);
}

bool has_warm_up_limit(const known_target& target, const warm_up_policy* policy,
                       time_point now)
{
    return policy != nullptr && policy->flows_per_second > 0 &&
           is_warming_up(target, policy, now);
}

double max_flows_per_second(double flows_per_second)
{
    return overage_factor * flows_per_second + overage_flows;
}

double used_flows_per_second(double flows_per_second)
{
    const double first_excess = std::floor(max_flows_per_second(flows_per_second)) + 1;
    // After a pause, the flows of all open windows join those of the next second.
    const double flows_per_rate =
        parts_of_fleet * (1 + std::chrono::duration<double>(max_window).count());
    double low = 0;
    double high = std::min(flows_per_second, first_excess / flows_per_rate);
    for (int step = 0; step < bisection_steps; ++step)
    {
        const double middle = (low + high) / 2;
        const bool is_safe = log_probability_of(first_excess, flows_per_rate * middle) <=
                             max_excess_log_probability;
        (is_safe ? low : high) = middle;
    }
    return low;
}

const warm_up_policy* find_warm_up_policy(const routing_table& table, service_id service)
{
    const auto found = table.warm_ups.find(service);
    return found == table.warm_ups.end() ? nullptr : &found->second;
}

warm_up_summary summarize_warm_ups(const target_directory& directory,
                                   const routing_table* table, time_point now)
{
    warm_up_summary summary;
    for (const known_target& each : directory.targets)
    {
        const warm_up_policy* const policy =
            table == nullptr ? nullptr : find_warm_up_policy(*table, each.record.service);
        if (each.is_used && each.is_announced && is_warming_up(each, policy, now))
        {
            ++summary.targets;
            summary.longest_left =
                std::max(summary.longest_left, duration(warm_up_end(each, policy) - now));
        }
    }
    return summary;
}

warm_up_use warm_up_use_of(warm_up_allowance& allowance, const warm_up_policy* policy,
                           const target_directory& directory, target_index index,
                           std::uint64_t random, time_point now)
{
    const known_target& target = directory.targets[index];
    if (policy == nullptr)
    {
        return {};
    }
    if (has_warm_up_limit(target, policy, now))
    {
        if (now < allowance.usable_from)
        {
            return {.is_allowed = false};
        }
        const warm_up_windows& windows =
            windows_of(allowance, *policy, directory, index, now);
        return {.is_allowed = now >= windows.next_at};
    }
    const double share = ramp_share(target, *policy, now);
    const bool is_left_out = share < 1 && !is_drawn(random, target.record.key, share);
    return {.cost = is_left_out ? left_out_cost : 0};
}

void record_warm_up_use(warm_up_allowance& allowance, const warm_up_policy* policy,
                        const target_directory& directory, target_index index,
                        time_point now)
{
    if (!has_warm_up_limit(directory.targets[index], policy, now))
    {
        return;
    }
    warm_up_windows& windows = windows_of(allowance, *policy, directory, index, now);
    windows.next_at += windows.interval;
    ++allowance.flows_used;
}

void restate_warm_ups(const target_directory& directory,
                      std::vector<target_change>& changes, time_point now)
{
    for (target_change& each : changes)
    {
        const target_index* const found = find_target(directory, each);
        if (!each.record || found == nullptr || directory.targets[*found].set_aside ||
            directory.targets[*found].held_back)
        {
            continue;
        }
        const duration left = directory.targets[*found].warm_up_until - now;
        each.record->warm_up_left =
            std::max(std::chrono::ceil<std::chrono::milliseconds>(left),
                     std::chrono::milliseconds(0));
    }
}

} // namespace kumquatpath
