#ifndef KUMQUATPATH_BENCH_FLOOD_MEASURE_HPP
#define KUMQUATPATH_BENCH_FLOOD_MEASURE_HPP

/// \file
/// What the flood bench measures on a run, and the bounds.

#include "flood_fleet.hpp"
#include "report.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath::bench
{

inline constexpr duration warm_up = 20s;
inline constexpr duration unflooded = 30s;
inline constexpr duration flood_length = 60s;
inline constexpr duration rest = 15s;
inline constexpr double flood_capacities = 10;
inline constexpr double slowest_against_p99 = 1.2;
inline constexpr duration settle = 10s;
inline constexpr duration bin = 1s;

inline constexpr metric_bound least_kept{.kind = bound_kind::at_least, .value = 0.99};
inline constexpr metric_bound least_useful{.kind = bound_kind::at_least, .value = 0.95};
inline constexpr metric_bound slowest_recovery{.kind = bound_kind::at_most, .value = 5};

inline duration slowest_allowed(duration p99)
{
    return std::chrono::duration_cast<duration>(slowest_against_p99 * p99);
}

/// A span of the run.
struct period
{
    time_point begin;
    time_point end;
};

inline bool contains(const period& span, time_point at)
{
    return at >= span.begin && at < span.end;
}

/// Returns the 99th percentile of the latencies of \p kind that were sent in \p span.
inline duration p99_of(const flood_fleet& fleet, std::size_t kind, const period& span)
{
    std::vector<duration> latencies;
    for (const request_record& each : fleet.records())
    {
        if (each.kind == kind && contains(span, each.sent) && each.latency)
        {
            latencies.push_back(*each.latency);
        }
    }
    if (latencies.empty())
    {
        return duration::zero();
    }
    const auto place =
        latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
    std::ranges::nth_element(latencies, place);
    return *place;
}

/// Returns the part of \p kind sent in \p span that was answered within \p longest; of
/// every tenant but \p left_out.
inline double kept_of(const flood_fleet& fleet, std::size_t kind, const period& span,
                      duration longest,
                      std::optional<std::size_t> left_out = std::nullopt)
{
    std::size_t sent = 0;
    std::size_t kept = 0;
    for (const request_record& each : fleet.records())
    {
        if (each.kind == kind && contains(span, each.sent) && each.tenant != left_out)
        {
            ++sent;
            kept += each.latency && *each.latency <= longest ? 1U : 0U;
        }
    }
    return sent == 0 ? 1 : static_cast<double>(kept) / static_cast<double>(sent);
}

/// Returns the useful work of pool \p pool that ended in \p span, as a part of what its
/// targets could do.
inline double useful_of(const flood_fleet& fleet, const site& shape, std::size_t pool,
                        const period& span)
{
    double useful = 0;
    for (const request_record& each : fleet.records())
    {
        const bool is_there = shape.kinds[each.kind].service == pool;
        if (is_there && each.latency && contains(span, each.sent + *each.latency))
        {
            useful += in_seconds(each.work);
        }
    }
    const auto servers =
        static_cast<double>(shape.pools[pool].targets * servers_per_target);
    return useful / servers / in_seconds(span.end - span.begin);
}

/// Returns the seconds after \p after until no second has a kind of \p pool of which less
/// than 95% is answered within its deadline, or less than 90% as fast as before.
inline double recovery_of(const flood_fleet& fleet, const site& shape, std::size_t pool,
                          const std::vector<duration>& p99, const period& after)
{
    time_point recovered = after.begin;
    for (time_point at = after.begin; at + bin <= after.end; at += bin)
    {
        const period second{at, at + bin};
        for (std::size_t kind = 0; kind < shape.kinds.size(); ++kind)
        {
            const work_kind& each = shape.kinds[kind];
            const duration longest = slowest_allowed(p99[kind]);
            const bool is_useful = kept_of(fleet, kind, second, each.deadline) >= 0.95;
            const bool is_fast = kept_of(fleet, kind, second, longest) >= 0.9;
            if (each.service == pool && !(is_useful && is_fast))
            {
                recovered = second.end;
            }
        }
    }
    return in_seconds(recovered - after.begin);
}

/// One run of one site, and what it reports to.
struct flood_run
{
    const site& shape;
    flood_fleet fleet;
    report& out;
    std::string variant;
    bool is_bounded = false;
    std::vector<duration> p99;
    time_point now{};
};

inline void add(flood_run& run, const std::string& metric, double value,
                std::string_view unit, const metric_bound& bound)
{
    const std::string name = run.shape.name + "." + metric;
    run.out.add({.variant = run.variant,
                 .metric = name,
                 .value = value,
                 .unit = unit,
                 .bound = run.is_bounded ? std::optional(bound) : std::nullopt});
}

inline void advance(flood_run& run, duration span)
{
    run.now += span;
    run.fleet.run_until(run.now);
}

/// Runs the usual load, and takes the 99th percentile of each kind.
inline void warm(flood_run& run)
{
    advance(run, warm_up);
    const time_point begin = run.now;
    advance(run, unflooded);
    for (std::size_t kind = 0; kind < run.shape.kinds.size(); ++kind)
    {
        run.p99.push_back(p99_of(run.fleet, kind, {begin, run.now}));
    }
}

} // namespace kumquatpath::bench

#endif
