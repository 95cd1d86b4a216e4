#include "metrics.hpp"

#include <algorithm>

namespace kumquatpath
{
namespace
{

constexpr std::size_t most_histograms = 1024;
constexpr unsigned latency_bins = 60;
constexpr double shortest_latency_us = 10;
constexpr double longest_latency_us = 10'000'000;

constexpr std::array<std::string_view, drop_reason_count> drop_names = {
    "malformed",       "unknown_version", "unknown_listener", "unknown_service",
    "unexpected_kind", "too_many_hops",   "no_target",        "no_keeper",
    "stale_answer",    "duplicate",       "table_full",       "unauthenticated_peer",
    "ring_full",
};

constexpr std::array<std::string_view, refusal_reason_count> refusal_names = {
    "none",        "no_target", "service_limit",   "tenant_limit",
    "class_limit", "overload",  "deadline_passed", "table_full",
    "duplicate",   "no_quorum", "leaving",         "target_shed",
};

/// Returns the name of the object with \p id in \p objects, or its number.
template <class Objects, class Id>
std::string name_of(const Objects* objects, Id id)
{
    if (objects != nullptr)
    {
        const auto found = std::ranges::find_if(*objects, [id](const auto& each)
                                                { return each.id == id; });
        if (found != objects->end())
        {
            return found->name;
        }
    }
    return "#" + std::to_string(id.value);
}

histogram_copy copy_histogram(const metric_key& key, const latency_histogram& histogram,
                              const configuration* names)
{
    histogram_copy copy{
        .service = name_of(names ? &names->services : nullptr, key.service),
        .tenant = name_of(names ? &names->tenants : nullptr, key.tenant),
        .traffic_class = name_of(names ? &names->classes : nullptr, key.traffic_class)};
    const auto& axis = histogram.axis(0);
    for (int bin = -1; bin <= axis.size(); ++bin)
    {
        copy.counts.push_back(static_cast<std::uint64_t>(histogram.at(bin)));
        if (bin < axis.size())
        {
            copy.bounds.push_back(axis.bin(bin).upper());
        }
    }
    return copy;
}

} // namespace

void add_latency(metrics& all, const metric_key& key, duration latency)
{
    const bool is_known = all.latencies.contains(key);
    const bool has_room = is_known || all.latencies.size() < most_histograms;
    const metric_key counted = has_room ? key : metric_key{};
    const auto [place, is_new] = all.latencies.try_emplace(
        counted, boost::histogram::make_histogram(latency_axis(
                     latency_bins, shortest_latency_us, longest_latency_us)));
    place->second(std::chrono::duration<double, std::micro>(latency).count());
}

std::string_view to_string(drop_reason reason) noexcept
{
    return drop_names[static_cast<std::size_t>(reason)];
}

std::string_view to_string(refusal_reason reason) noexcept
{
    return refusal_names[static_cast<std::size_t>(reason)];
}

void copy_metrics(const metrics& all, const configuration* names,
                  instance_snapshot& snapshot)
{
    for (const auto& [key, histogram] : all.latencies)
    {
        snapshot.histograms.push_back(copy_histogram(key, histogram, names));
    }
    auto& counters = snapshot.counters;
    counters.emplace_back("requests_answered", all.outcomes.answered);
    counters.emplace_back("requests_refused_not_run", all.outcomes.refused_not_run);
    counters.emplace_back("requests_refused_unknown", all.outcomes.refused_unknown);
    counters.emplace_back("requests_timed_out", all.outcomes.timed_out);
    counters.emplace_back("packets_received", all.packets_received);
    counters.emplace_back("packets_passed_on", all.packets_passed_on);
    counters.emplace_back("packet_bytes_passed_on", all.packet_bytes_passed_on);
    counters.emplace_back("control_bytes_sent", all.control_bytes_sent);
    for (std::size_t i = 0; i < drop_reason_count; ++i)
    {
        const auto reason = static_cast<drop_reason>(i);
        counters.emplace_back("dropped_" + std::string(to_string(reason)), all.drops[i]);
    }
    for (std::size_t i = 0; i < refusal_reason_count; ++i)
    {
        const auto reason = static_cast<refusal_reason>(i);
        counters.emplace_back("refused_" + std::string(to_string(reason)),
                              all.refusals[i]);
    }
    const auto broken = violations();
    for (std::size_t i = 0; i < invariant_count; ++i)
    {
        const auto which = static_cast<invariant>(i);
        counters.emplace_back("violated_" + std::string(to_string(which)), broken[i]);
    }
}

} // namespace kumquatpath
