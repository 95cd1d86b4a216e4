#ifndef KUMQUATPATH_DAEMON_METRICS_HPP
#define KUMQUATPATH_DAEMON_METRICS_HPP

/// \file
/// Metrics of the packet duty: a histogram of answer times for each service, tenant and
/// class, and counters by outcome and by drop reason.

#include "snapshot.hpp"

#include <kumquatpath/decision/action.hpp>
#include <kumquatpath/model/configuration.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <compare>
#include <map>
#include <tuple>

namespace kumquatpath
{

/// What a histogram is kept for.
struct metric_key
{
    service_id service;
    tenant_id tenant;
    class_id traffic_class;

    friend constexpr auto operator<=>(const metric_key&, const metric_key&) = default;
};

/// Answer times in microseconds, in bins of equal ratio.
using latency_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using latency_histogram =
    decltype(boost::histogram::make_histogram(std::declval<latency_axis>()));

/// The counters of requests by what became of them.
struct outcome_counters
{
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t timed_out = 0;
};

/// All metrics of one instance. The tables are bounded: past the bound, what is new is
/// counted under the key of all zeros.
struct metrics
{
    std::map<metric_key, latency_histogram> latencies;
    outcome_counters outcomes;
    std::array<std::uint64_t, drop_reason_count> drops{};
    /// Refusals that were sent to callers, by their reasons.
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    std::uint64_t packets_received = 0;
    std::uint64_t packets_passed_on = 0;
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t packet_bytes_passed_on = 0;
};

/// Adds one answer time.
void add_latency(metrics& all, const metric_key& key, duration latency);

/// Returns the name of \p reason, as metrics and logs print it.
std::string_view to_string(drop_reason reason) noexcept;

/// Returns the name of \p reason, as metrics print it.
std::string_view to_string(refusal_reason reason) noexcept;

/// Copies the metrics into \p snapshot, with names from \p names where it knows them.
void copy_metrics(const metrics& all, const configuration* names,
                  instance_snapshot& snapshot);

} // namespace kumquatpath

#endif
