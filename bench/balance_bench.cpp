/// \file
/// How evenly new flows fall on healthy targets, and what becomes of them while a target
/// lies, is cold, falls silent or sheds.

#include "balance_fleet.hpp"
#include "report.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpath::bench
{
namespace
{

bool is_odd_unequal(fault odd)
{
    return odd == fault::joins_cold || odd == fault::falls_silent || odd == fault::sheds;
}

/// Returns the flows that each target got from \p begin on.
std::vector<double> flows_by_target(const balance_fleet& fleet, time_point begin,
                                    time_point end)
{
    std::vector<double> counts(fleet.shape().targets, 0);
    for (const flow_record& each : fleet.flows())
    {
        counts[each.target] += each.sent >= begin && each.sent < end ? 1 : 0;
    }
    return counts;
}

/// Returns the busiest over the mean of the targets that are equally healthy.
double imbalance_of(const balance_fleet& fleet)
{
    std::vector<double> counts =
        flows_by_target(fleet, time_point(change_at), time_point(run_length));
    if (is_odd_unequal(fleet.shape().odd))
    {
        counts.erase(counts.begin() + odd_target);
    }
    const double sum = std::accumulate(counts.begin(), counts.end(), 0.0);
    return std::ranges::max(counts) * static_cast<double>(counts.size()) / sum;
}

/// Returns the part of the flows since the change that was answered in time.
double answered_of(const balance_fleet& fleet)
{
    double sent = 0;
    double answered = 0;
    for (const flow_record& each : fleet.flows())
    {
        const bool counts = each.sent >= time_point(change_at) &&
                            each.sent < time_point(run_length) - fleet.shape().deadline;
        sent += counts ? 1 : 0;
        answered += counts && each.is_answered ? 1 : 0;
    }
    return answered / sent;
}

double deviating_of(const balance_fleet& fleet)
{
    const auto deviating = std::ranges::count_if(fleet.flows(), &flow_record::deviates);
    return static_cast<double>(deviating) / static_cast<double>(fleet.flows().size());
}

/// Returns the seconds after the change from which on, over the next ten seconds, the odd
/// target gets less than 5% of an even share.
double seconds_until_left(const balance_fleet& fleet)
{
    constexpr double left_part = 0.05;
    constexpr duration left_window = 10s;
    const auto even = 1 / static_cast<double>(fleet.shape().targets);
    for (time_point at{change_at}; at + left_window <= time_point(run_length); at += bin)
    {
        const std::vector<double> counts = flows_by_target(fleet, at, at + left_window);
        const double sum = std::accumulate(counts.begin(), counts.end(), 0.0);
        if (counts[odd_target] < left_part * even * sum)
        {
            return std::chrono::duration<double>(at - time_point(change_at)).count();
        }
    }
    return std::chrono::duration<double>(run_length - change_at).count();
}

/// Returns the most work that the odd target was given in a bin while it warmed up, over
/// what it could do in that time.
double cold_peak_of(const balance_fleet& fleet)
{
    double peak = 0;
    for (duration age{0}; age < warm_up; age += bin)
    {
        const time_point begin(change_at + age);
        double work = 0;
        for (const flow_record& each : fleet.flows())
        {
            const bool counts = each.target == odd_target && each.sent >= begin &&
                                each.sent < begin + bin;
            work += counts ? std::chrono::duration<double>(each.work).count() : 0;
        }
        const double part = std::chrono::duration<double>(age) / warm_up;
        const double speed = cold_speed + (1 - cold_speed) * part;
        const double able =
            speed * servers_per_target * std::chrono::duration<double>(bin).count();
        peak = std::max(peak, work / able);
    }
    return peak;
}

constexpr metric_bound most_imbalance{.kind = bound_kind::at_most, .value = 1.10};
constexpr metric_bound slowest_leave{.kind = bound_kind::at_most, .value = 5};
constexpr metric_bound cold_capability{.kind = bound_kind::at_most, .value = 1};
constexpr metric_bound not_worse{.kind = bound_kind::at_least, .value = 0};

/// Runs one policy through one scenario. \p baseline is the part that slots alone get
/// answered; the part that this policy gets is returned.
double run_one(const std::pair<std::string, choice_policy>& variant,
               const scenario& shape, double baseline, std::uint64_t seed, report& out)
{
    balance_fleet fleet(variant.second, shape, seed);
    fleet.run();
    const bool is_ours = variant.second == choice_policy::evidence;
    const auto add = [&](const std::string& metric, double value, std::string_view unit,
                         std::optional<metric_bound> bound = std::nullopt)
    {
        out.add({.variant = variant.first,
                 .metric = shape.name + "." + metric,
                 .value = value,
                 .unit = unit,
                 .bound = is_ours ? bound : std::nullopt});
    };
    const double answered = answered_of(fleet);
    add("busiest_over_mean", imbalance_of(fleet), "ratio", most_imbalance);
    add("answered", answered, "ratio");
    add("answered_beyond_slots_only", answered - baseline, "ratio", not_worse);
    add("deviating", deviating_of(fleet), "ratio");
    if (shape.odd == fault::falls_silent || shape.odd == fault::sheds)
    {
        add("left_after", seconds_until_left(fleet), "s", slowest_leave);
    }
    if (shape.odd == fault::joins_cold)
    {
        add("cold_peak", cold_peak_of(fleet), "ratio", cold_capability);
    }
    return answered;
}

int run_bench(const bench_options& options)
{
    report out("balance", options.seed);
    const std::vector<scenario> scenarios = {
        {"steady", fault::none},
        {"lying", fault::lies},
        {"late_reports", fault::reports_late},
        {"cold_join", fault::joins_cold},
        {"silent", fault::falls_silent},
        {"shedding", fault::sheds},
        {"silent_rare", fault::falls_silent, 4, 200ms, 5s}};
    const std::vector<std::pair<std::string, choice_policy>> variants = {
        {"random", choice_policy::random},
        {"least-reported", choice_policy::least_reported},
        {"slots-only", choice_policy::slots_only},
        {"evidence", choice_policy::evidence}};
    for (const scenario& each : scenarios)
    {
        balance_fleet slots(choice_policy::slots_only, each, options.seed);
        slots.run();
        const double baseline = answered_of(slots);
        for (const auto& variant : variants)
        {
            if (options.variant.empty() || options.variant == variant.first)
            {
                run_one(variant, each, baseline, options.seed, out);
            }
        }
    }
    return out.exit_code();
}

} // namespace
} // namespace kumquatpath::bench

int main(int argc, char** argv)
{
    using namespace kumquatpath::bench;
    return run_bench(read_options(argc, argv, "balance"));
}
