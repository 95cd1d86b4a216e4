#ifndef KUMQUATPATH_DAEMON_METRICS_HPP
#define KUMQUATPATH_DAEMON_METRICS_HPP

/// \file
/// What an entry instance counts and times, and the page that shows it.

#include <kumquatpath/decision/entry_instance.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>

namespace kumquatpath
{

/// Times in milliseconds, in bins of equal ratio.
using time_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using time_histogram =
    decltype(boost::histogram::make_histogram(std::declval<time_axis>()));

/// The times of one class of flows: those of one listener.
struct route_times
{
    time_histogram opening_ms;
    time_histogram flow_ms;
};

/// The counters and histograms of one instance.
struct instance_metrics
{
    std::array<std::uint64_t, steering_verdict_count> verdicts{};
    std::uint64_t packets_malformed = 0;
    std::uint64_t flows_placed = 0;
    std::uint64_t openings_refused = 0;
    std::uint64_t peer_messages_refused = 0;
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t readings = 0;
    std::uint64_t readings_failed = 0;
    std::uint64_t log_lines_held_back = 0;
    /// By the name of the route; at most max_timed_routes.
    std::map<std::string, route_times, std::less<>> times;
};

inline constexpr std::size_t max_timed_routes = 64;

/// Adds what \p decision tells of the times of \p name's flows.
void record_times(instance_metrics& metrics, std::string_view name,
                  const steering_decision& decision);

/// Returns the name of \p verdict, as metrics and logs print it.
std::string_view to_string(steering_verdict verdict) noexcept;

/// Returns the page that shows \p metrics and the state of \p self, as text.
std::string metrics_page(const instance_metrics& metrics, const entry_instance& self,
                         time_point now);

} // namespace kumquatpath

#endif
