#ifndef KUMQUATPATH_DAEMON_METRICS_HPP
#define KUMQUATPATH_DAEMON_METRICS_HPP

/// \file
/// The counters and histograms of an entry instance, and the /metrics page.

#include "messages.hpp"

#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/edge/traffic_counter.hpp>

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>

namespace kumquatpath
{

/// A histogram axis for times in milliseconds, with logarithmic bins.
using time_axis =
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using time_histogram =
    decltype(boost::histogram::make_histogram(std::declval<time_axis>()));

/// Histograms of the times of one route's flows, in milliseconds.
struct route_times
{
    /// From an opening to the packet that shows that it was answered.
    time_histogram opening_ms;
    /// From an opening to the end of its answered flow.
    time_histogram flow_ms;
};

/// What became of the openings of one route.
struct route_openings
{
    std::uint64_t placed = 0;
    /// Openings that wait; as of the last page.
    std::uint64_t waiting = 0;
    /// By reason. The reasons are constants, so the map is bounded.
    std::map<std::string, std::uint64_t, std::less<>> refused;
};

/// What the instance exchanges for its own coordination, apart from callers' packets,
/// readiness checks and requests for pages.
struct control_traffic
{
    /// Datagrams that were queued for sending, and all that arrived, refused ones too.
    traffic heartbeats;
    /// See state_transfer::total_traffic().
    traffic state_transfers;
    /// See http_client::total_traffic().
    traffic store;
};

/// The counters and histograms of one instance.
struct instance_metrics
{
    std::array<std::uint64_t, steering_verdict_count> verdicts{};
    std::uint64_t packets_malformed = 0;
    std::uint64_t flows_placed = 0;
    std::uint64_t openings_refused = 0;
    std::uint64_t peer_messages_refused = 0;
    /// As of the last page, except for the heartbeats.
    control_traffic control;
    std::uint64_t readings = 0;
    std::uint64_t readings_failed = 0;
    /// Replies to peers, and of peers, with the whole state instead of changes.
    std::uint64_t whole_replies_sent = 0;
    std::uint64_t whole_replies_received = 0;
    /// Updates that may lack changes and so did not move the position.
    std::uint64_t updates_incomplete = 0;
    std::uint64_t log_lines_held_back = 0;
    /// As of the last page.
    dropped_message_counts messages_dropped;
    /// By route name, with at most max_timed_routes entries.
    std::map<std::string, route_times, std::less<>> times;
    /// By route name, with at most max_timed_routes entries.
    std::map<std::string, route_openings, std::less<>> openings;
};

/// The maximum number of routes with histograms and counters. Further routes are ignored.
inline constexpr std::size_t max_timed_routes = 64;

/// Adds the times in \p decision, if it has any, to the histograms of the route \p name.
void record_times(instance_metrics& metrics, std::string_view name,
                  const steering_decision& decision);

/// Counts an opening of the route \p name that was placed.
void count_placement(instance_metrics& metrics, std::string_view name);

/// Counts an opening of the route \p name that was refused because of \p why.
void count_refusal(instance_metrics& metrics, std::string_view name,
                   std::string_view why);

/// Sets the number of waiting openings of the route \p name.
void set_waiting(instance_metrics& metrics, std::string_view name, std::size_t waiting);

/// Returns the name of the route of \p listener, empty if there is none.
std::string_view route_name(const routing_table& table, const endpoint& listener);

/// Returns the name of \p verdict for metrics and logs.
std::string_view to_string(steering_verdict verdict) noexcept;

/// Returns the /metrics page with \p metrics and the state of \p self, in the Prometheus
/// text format.
std::string metrics_page(const instance_metrics& metrics, const entry_instance& self,
                         time_point now);

} // namespace kumquatpath

#endif
