#ifndef KUMQUATPATH_CLIENT_FLEET_METRICS_HPP
#define KUMQUATPATH_CLIENT_FLEET_METRICS_HPP

/// \file
/// Histograms and counters of all instances, added up.

#include "client/fleet.hpp"

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpath
{

/// What a histogram is about.
struct histogram_key
{
    std::string service;
    std::string tenant;
    std::string traffic_class;
    std::string unit;

    friend auto operator<=>(const histogram_key&, const histogram_key&) = default;
};

/// Counts of values by bucket. Bucket i counts the values up to bounds[i] that are over
/// the bound before it; the last bucket counts those over every bound.
struct fleet_histogram
{
    std::vector<double> bounds;
    std::vector<std::uint64_t> counts;
};

/// Everything that the instances have counted.
struct fleet_metrics
{
    std::map<histogram_key, fleet_histogram> histograms;
    std::map<std::string, std::uint64_t> counters;
    /// Instances that were not reached or not understood, by name.
    std::vector<std::string> missing;
    /// Histograms left out because their bounds differ from those of other instances.
    std::size_t incompatible = 0;
};

/// Adds up what \p answers hold. What is not understood is left out and told.
fleet_metrics add_up(const std::vector<instance_answer>& answers);

/// Returns the metrics with the tenants of each service and class added up.
fleet_metrics without_tenants(const fleet_metrics& metrics);

/// Returns the count of values in \p histogram.
std::uint64_t total_of(const fleet_histogram& histogram);

/// Returns the bound below which the share \p quantile, from 0 to 1, of the values lies;
/// nothing when there are no values or it lies over the last bound.
std::optional<double> quantile_of(const fleet_histogram& histogram, double quantile);

/// Prints bars and quantiles by service and class, and the counters; or all as JSON.
void print_metrics(std::ostream& out, const fleet_metrics& metrics, bool as_json);

} // namespace kumquatpath

#endif
