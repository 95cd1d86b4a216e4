/// \file
/// How metrics are printed.

#include "client/fleet_metrics.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

constexpr std::array quantiles = {0.5, 0.9, 0.99, 0.999};
constexpr int longest_bar = 40;
constexpr int label_width = 14;

/// Returns \p value in a unit that people read: microseconds become ms or s.
std::string in_words(double value, const std::string& unit)
{
    constexpr double thousand = 1000;
    std::ostringstream text;
    text << std::setprecision(3);
    if (unit != "us")
    {
        text << value << ' ' << unit;
    }
    else if (value < thousand)
    {
        text << value << " us";
    }
    else if (value < thousand * thousand)
    {
        text << value / thousand << " ms";
    }
    else
    {
        text << value / thousand / thousand << " s";
    }
    return text.str();
}

/// Prints one bar for each bucket between the first and the last that hold values.
void print_bars(std::ostream& out, const fleet_histogram& histogram,
                const std::string& unit)
{
    const auto holds = [](std::uint64_t count)
    {
        return count > 0;
    };
    const auto first = std::ranges::find_if(histogram.counts, holds);
    const auto last =
        std::find_if(histogram.counts.rbegin(), histogram.counts.rend(), holds).base();
    const double most = static_cast<double>(*std::ranges::max_element(histogram.counts));
    for (auto each = first; each < last; ++each)
    {
        const auto i = static_cast<std::size_t>(each - histogram.counts.begin());
        const bool is_over = i == histogram.bounds.size();
        const std::string label = is_over
                                      ? "over " + in_words(histogram.bounds.back(), unit)
                                      : "to " + in_words(histogram.bounds[i], unit);
        const double share = static_cast<double>(*each) / most;
        // A bucket that holds anything shows at least one mark.
        const auto length = static_cast<std::size_t>(std::ceil(share * longest_bar));
        out << "  " << std::right << std::setw(label_width) << label << ' ' << std::left
            << std::setw(longest_bar) << std::string(length, '#') << ' ' << *each << '\n';
    }
}

void print_quantiles(std::ostream& out, const fleet_histogram& histogram,
                     const std::string& unit)
{
    for (const double each : quantiles)
    {
        const auto bound = quantile_of(histogram, each);
        out << "  p" << each * 100 << ' '
            << (bound ? "<= " + in_words(*bound, unit)
                      : "over " + in_words(histogram.bounds.back(), unit));
    }
    out << '\n';
}

json::object to_json(const histogram_key& key, const fleet_histogram& histogram)
{
    json::object quantile_values;
    for (const double each : quantiles)
    {
        std::ostringstream name;
        name << 'p' << each * 100;
        const auto bound = quantile_of(histogram, each);
        quantile_values[name.str()] = bound ? json::value(*bound) : json::value();
    }
    return {{"service", key.service},
            {"tenant", key.tenant},
            {"class", key.traffic_class},
            {"unit", key.unit},
            {"count", total_of(histogram)},
            {"quantiles", std::move(quantile_values)},
            {"bounds", json::value_from(histogram.bounds)},
            {"counts", json::value_from(histogram.counts)}};
}

void print_json(std::ostream& out, const fleet_metrics& metrics)
{
    json::array histograms;
    for (const auto& [key, histogram] : metrics.histograms)
    {
        histograms.push_back(to_json(key, histogram));
    }
    out << json::serialize(json::object{{"histograms", std::move(histograms)},
                                        {"counters", json::value_from(metrics.counters)},
                                        {"missing", json::value_from(metrics.missing)},
                                        {"incompatible", metrics.incompatible}})
        << '\n';
}

} // namespace

void print_metrics(std::ostream& out, const fleet_metrics& metrics, bool as_json)
{
    if (as_json)
    {
        print_json(out, metrics);
        return;
    }
    for (const auto& [key, histogram] : without_tenants(metrics).histograms)
    {
        const std::uint64_t total = total_of(histogram);
        out << key.service << ", " << key.traffic_class << ": " << total << " values\n";
        if (total > 0)
        {
            print_quantiles(out, histogram, key.unit);
            print_bars(out, histogram, key.unit);
        }
    }
    out << "\nCounters:\n";
    for (const auto& [name, value] : metrics.counters)
    {
        out << "  " << name << ' ' << value << '\n';
    }
    for (const std::string& each : metrics.missing)
    {
        out << "Not reached: " << each << '\n';
    }
    if (metrics.incompatible > 0)
    {
        out << metrics.incompatible
            << " histograms were left out: their bounds differ.\n";
    }
}

} // namespace kumquatpath
