#include "client/fleet_metrics.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include <cmath>
#include <numeric>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

/// Returns \p value as text: a name as it is, a number in digits.
std::string label_of(const json::object& object, json::string_view key)
{
    const json::value* const value = object.if_contains(key);
    if (value == nullptr)
    {
        return "";
    }
    if (const json::string* const text = value->if_string())
    {
        return {text->data(), text->size()};
    }
    json::error_code error;
    const auto number = value->to_number<std::int64_t>(error);
    return error ? "" : std::to_string(number);
}

/// Reads an array of numbers; nothing when it is something else.
template <class Number>
std::optional<std::vector<Number>> numbers_in(const json::object& object,
                                              json::string_view key)
{
    const json::value* const value = object.if_contains(key);
    if (value == nullptr || !value->is_array())
    {
        return std::nullopt;
    }
    std::vector<Number> numbers;
    numbers.reserve(value->get_array().size());
    for (const json::value& each : value->get_array())
    {
        json::error_code error;
        numbers.push_back(each.to_number<Number>(error));
        if (error)
        {
            return std::nullopt;
        }
    }
    return numbers;
}

std::optional<fleet_histogram> read_histogram(const json::object& object)
{
    auto bounds = numbers_in<double>(object, "bounds");
    auto counts = numbers_in<std::uint64_t>(object, "counts");
    if (!bounds || !counts || bounds->empty())
    {
        return std::nullopt;
    }
    if (counts->size() == bounds->size())
    {
        counts->push_back(0);
    }
    if (counts->size() != bounds->size() + 1)
    {
        return std::nullopt;
    }
    return fleet_histogram{std::move(*bounds), std::move(*counts)};
}

void add(fleet_metrics& metrics, const histogram_key& key,
         const fleet_histogram& histogram)
{
    const auto [place, is_new] = metrics.histograms.try_emplace(key, histogram);
    if (is_new)
    {
        return;
    }
    fleet_histogram& sum = place->second;
    if (sum.bounds != histogram.bounds)
    {
        ++metrics.incompatible;
        return;
    }
    for (std::size_t i = 0; i < sum.counts.size(); ++i)
    {
        sum.counts[i] += histogram.counts[i];
    }
}

void add_histograms(fleet_metrics& metrics, const json::object& body)
{
    const json::value* const list = body.if_contains("histograms");
    if (list == nullptr || !list->is_array())
    {
        return;
    }
    for (const json::value& each : list->get_array())
    {
        const json::object* const object = each.if_object();
        const auto histogram = object == nullptr ? std::nullopt : read_histogram(*object);
        if (!histogram)
        {
            ++metrics.incompatible;
            continue;
        }
        add(metrics,
            {label_of(*object, "service"), label_of(*object, "tenant"),
             label_of(*object, "class"), label_of(*object, "unit")},
            *histogram);
    }
}

void add_counters(fleet_metrics& metrics, const json::object& body)
{
    const json::value* const counters = body.if_contains("counters");
    if (counters == nullptr || !counters->is_object())
    {
        return;
    }
    for (const auto& member : counters->get_object())
    {
        json::error_code error;
        const auto number = member.value().to_number<std::uint64_t>(error);
        if (!error)
        {
            metrics.counters[std::string(member.key())] += number;
        }
    }
}

} // namespace

fleet_metrics add_up(const std::vector<instance_answer>& answers)
{
    fleet_metrics metrics;
    for (const instance_answer& each : answers)
    {
        if (!each.body || !each.body->is_object())
        {
            metrics.missing.push_back(each.instance.name);
            continue;
        }
        add_histograms(metrics, each.body->get_object());
        add_counters(metrics, each.body->get_object());
    }
    return metrics;
}

fleet_metrics without_tenants(const fleet_metrics& metrics)
{
    fleet_metrics sums = metrics;
    sums.histograms.clear();
    for (const auto& [key, histogram] : metrics.histograms)
    {
        histogram_key shorter = key;
        shorter.tenant.clear();
        add(sums, shorter, histogram);
    }
    return sums;
}

std::uint64_t total_of(const fleet_histogram& histogram)
{
    return std::accumulate(histogram.counts.begin(), histogram.counts.end(),
                           std::uint64_t{0});
}

std::optional<double> quantile_of(const fleet_histogram& histogram, double quantile)
{
    const std::uint64_t total = total_of(histogram);
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total)));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < histogram.bounds.size(); ++i)
    {
        seen += histogram.counts[i];
        if (total > 0 && seen >= wanted)
        {
            return histogram.bounds[i];
        }
    }
    return std::nullopt;
}

} // namespace kumquatpath
