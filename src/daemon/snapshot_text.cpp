/// \file
/// The texts in which operators see a snapshot: JSON, and Prometheus' format.

#include "operator_duty.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatpath
{
namespace
{

namespace json = boost::json;

std::string_view name_of(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::leaving:
        return "leaving";
    case member_state::suspect:
        return "suspect";
    default:
        return "dead";
    }
}

json::object to_json(const histogram_copy& histogram)
{
    return {{"service", histogram.service},
            {"tenant", histogram.tenant},
            {"class", histogram.traffic_class},
            {"unit", "us"},
            {"bounds", json::array(histogram.bounds.begin(), histogram.bounds.end())},
            {"counts", json::array(histogram.counts.begin(), histogram.counts.end())}};
}

/// Appends one sample line: a name, its labels and its value.
void append_sample(std::string& text, std::string_view name, std::string_view labels,
                   std::uint64_t value)
{
    text.append("kumquatpath_answer_seconds_").append(name);
    text.append("{").append(labels).append("} ");
    text.append(std::to_string(value)).append("\n");
}

/// Appends the buckets of one histogram, which Prometheus wants cumulative.
void append_buckets(std::string& text, const histogram_copy& histogram)
{
    constexpr double microseconds_per_second = 1e6;
    std::string labels = "service=\"";
    labels.append(histogram.service).append("\",tenant=\"");
    labels.append(histogram.tenant).append("\",class=\"");
    labels.append(histogram.traffic_class).append("\"");
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i)
    {
        total += histogram.counts[i];
        const bool has_bound = i < histogram.bounds.size();
        std::string bucket = labels + ",le=\"";
        bucket += has_bound
                      ? std::to_string(histogram.bounds[i] / microseconds_per_second)
                      : "+Inf";
        bucket += '"';
        append_sample(text, "bucket", bucket, total);
    }
    append_sample(text, "count", labels, total);
}

} // namespace

std::string status_json(const instance_snapshot& snapshot)
{
    json::array members;
    for (const member_status& each : snapshot.members)
    {
        members.push_back(
            json::object{{"instance", each.instance}, {"state", name_of(each.state)}});
    }
    json::array drains;
    for (const drain_status& each : snapshot.drains)
    {
        drains.push_back(json::object{
            {"kind", each.kind}, {"name", each.name}, {"waits_for", each.waits_for}});
    }
    return json::serialize(json::object{{"instance", snapshot.instance},
                                        {"data_centre", snapshot.data_centre},
                                        {"generation", snapshot.in_force.value},
                                        {"switched", snapshot.switched.value},
                                        {"leaving", snapshot.is_leaving},
                                        {"claims", snapshot.may_claim},
                                        {"members", std::move(members)},
                                        {"drains", std::move(drains)}});
}

std::string metrics_json(const instance_snapshot& snapshot)
{
    json::array histograms;
    for (const histogram_copy& each : snapshot.histograms)
    {
        histograms.push_back(to_json(each));
    }
    json::object counters;
    for (const auto& [name, value] : snapshot.counters)
    {
        counters[name] = value;
    }
    return json::serialize(json::object{{"histograms", std::move(histograms)},
                                        {"counters", std::move(counters)}});
}

std::string metrics_text(const instance_snapshot& snapshot)
{
    std::string text = "# TYPE kumquatpath_answer_seconds histogram\n";
    for (const histogram_copy& each : snapshot.histograms)
    {
        append_buckets(text, each);
    }
    for (const auto& [name, value] : snapshot.counters)
    {
        text += "# TYPE kumquatpath_" + name + "_total counter\n";
        text += "kumquatpath_" + name + "_total " + std::to_string(value) + "\n";
    }
    return text;
}

} // namespace kumquatpath
