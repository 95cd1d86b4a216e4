#include "metrics.hpp"

#include <kumquatpath/build_id.hpp>
#include <kumquatpath/decision/address_claims.hpp>
#include <kumquatpath/decision/held_back_entries.hpp>

#include <sstream>

namespace kumquatpath
{
namespace
{

constexpr unsigned bin_count = 24;
constexpr double min_time_ms = 0.5;
constexpr double max_time_ms = 60'000;

time_histogram make_time_histogram()
{
    return boost::histogram::make_histogram(
        time_axis(bin_count, min_time_ms, max_time_ms));
}

void write_histogram(std::ostream& out, std::string_view name, std::string_view route,
                     const time_histogram& times)
{
    double cumulative_count = 0;
    for (auto&& bin : boost::histogram::indexed(times, boost::histogram::coverage::all))
    {
        cumulative_count += *bin;
        out << name << "_bucket{route=\"" << route << "\",le=\"";
        if (bin.bin().upper() > max_time_ms)
        {
            out << "+Inf";
        }
        else
        {
            out << bin.bin().upper();
        }
        out << "\"} " << cumulative_count << "\n";
    }
    out << name << "_count{route=\"" << route << "\"} " << cumulative_count << "\n";
}

void write_metric(std::ostream& out, std::string_view name, std::uint64_t value)
{
    out << "kumquatpath_" << name << " " << value << "\n";
}

void write_traffic(std::ostream& out, std::string_view channel, const traffic& bytes)
{
    const auto write = [&](std::string_view direction, std::uint64_t value)
    {
        out << "kumquatpath_control_bytes_" << direction << "{channel=\"" << channel
            << "\"} " << value << "\n";
    };
    write("sent", bytes.sent);
    write("received", bytes.received);
}

void write_control_traffic(std::ostream& out, const control_traffic& control)
{
    write_traffic(out, "heartbeats", control.heartbeats);
    write_traffic(out, "state_transfers", control.state_transfers);
    write_traffic(out, "store", control.store);
}

void write_evacuations(std::ostream& out, const entry_instance& self, time_point now)
{
    const auto in_force = evacuations_in_force(self.evacuations);
    write_metric(out, "evacuations", in_force.size());
    write_metric(out, "evacuations_ignored", self.evacuations.ignored);
    for (const known_evacuation& each : in_force)
    {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - each.since);
        out << "kumquatpath_evacuation_revision{data_centre=\"" << name_of(each.change)
            << "\"} " << each.change.revision.value << "\n"
            << "kumquatpath_evacuation_age_ms{data_centre=\"" << name_of(each.change)
            << "\"} " << age.count() << "\n";
    }
}

void write_targets(std::ostream& out, const entry_instance& self, time_point now)
{
    const auto& stats = self.steering.selector.stats;
    for (std::size_t i = 0; i < stats.size(); ++i)
    {
        const known_target& target = self.directory.targets[i];
        if (!target.is_used)
        {
            continue;
        }
        out << "kumquatpath_target{target=\"" << std::hex << target.record.key.value
            << std::dec << "\",takes_flows=\"" << takes_new_flows(target, now)
            << "\",suspect=\"" << is_suspect(stats[i]) << "\",failing=\""
            << stats[i].is_failing << "\"} " << stats[i].in_flight << "\n";
    }
}

void write_target_speeds(std::ostream& out, const entry_instance& self, time_point now)
{
    const target_selector& selector = self.steering.selector;
    for (std::size_t i = 0; selector.options.uses_speeds && i < selector.stats.size();
         ++i)
    {
        const known_target& target = self.directory.targets[i];
        const target_stats& stats = selector.stats[i];
        if (target.is_used && stats.key == target.record.key)
        {
            out << "kumquatpath_target_speed{target=\"" << std::hex << stats.key.value
                << std::dec << "\",answers=\"" << decayed(stats.speed.own, now).answers
                << "\"} " << speed_of(stats.speed, now) << "\n";
        }
    }
}

void write_dropped_messages(std::ostream& out, const dropped_message_counts& dropped)
{
    const std::pair<std::string_view, std::uint64_t> counts[] = {
        {"state_reader", dropped.state_reader},
        {"state_transfer", dropped.state_transfer},
        {"status_server", dropped.status_server},
        {"packet_worker", dropped.packet_worker}};
    for (const auto& [from, count] : counts)
    {
        out << "kumquatpath_messages_dropped{from=\"" << from << "\"} " << count << "\n";
    }
}

void write_evidence(std::ostream& out, const entry_instance& self)
{
    const target_selector& selector = self.steering.selector;
    if (!selector.options.uses_peer_evidence)
    {
        return;
    }
    write_metric(out, "evidence_sent", self.evidence.sent);
    write_metric(out, "evidence_accepted", self.evidence.accepted);
    for (std::size_t i = 0; i < evidence_drop_count; ++i)
    {
        out << "kumquatpath_evidence_dropped{why=\""
            << to_string(static_cast<evidence_drop>(i)) << "\"} "
            << self.evidence.dropped[i] << "\n";
    }
    std::uint64_t avoided = 0;
    for (const auto& [service, stats] : selector.services)
    {
        avoided += stats.targets_avoided_by_peer_reports;
    }
    write_metric(out, "targets_avoided_by_peer_reports", avoided);
}

void write_remote_placement(std::ostream& out, const entry_instance& self)
{
    const target_selector& selector = self.steering.selector;
    if (!selector.options.measures_distance)
    {
        return;
    }
    for (std::size_t i = 0; i < remote_reason_count; ++i)
    {
        out << "kumquatpath_flows_placed_remotely{why=\""
            << to_string(static_cast<remote_reason>(i)) << "\"} "
            << selector.remote.flows[i] << "\n";
    }
}

void write_warm_ups(std::ostream& out, const entry_instance& self, time_point now)
{
    const warm_up_allowance& warm_up = self.steering.selector.warm_up;
    const warm_up_summary cold =
        summarize_warm_ups(self.directory, self.configuration.table.get(), now);
    write_metric(out, "targets_in_warm_up", cold.targets);
    write_metric(out, "warm_up_flows", warm_up.flows_used);
    write_metric(out, "warm_up_flows_refused", warm_up.flows_refused);
    write_metric(out, "warm_up_instances", warm_up.instances);
    write_metric(out, "warm_ups_shortened", self.directory.warm_ups_shortened);
}

/// Returns the counters of the route \p name, or null if there are too many routes.
route_openings* openings_of(instance_metrics& metrics, std::string_view name)
{
    const auto found = metrics.openings.find(name);
    if (found != metrics.openings.end())
    {
        return &found->second;
    }
    return metrics.openings.size() < max_timed_routes
               ? &metrics.openings[std::string(name)]
               : nullptr;
}

void write_openings(std::ostream& out, std::string_view route,
                    const route_openings& openings)
{
    out << "kumquatpath_openings_placed{route=\"" << route << "\"} " << openings.placed
        << "\n"
        << "kumquatpath_openings_waiting{route=\"" << route << "\"} " << openings.waiting
        << "\n";
    for (const auto& [why, count] : openings.refused)
    {
        out << "kumquatpath_route_openings_refused{route=\"" << route << "\",why=\""
            << why << "\"} " << count << "\n";
    }
}

void write_second_tries(std::ostream& out, const listener_second_tries& each)
{
    const std::string listener = "{listener=\"" + to_string(each.listener) + "\"";
    const auto write = [&](std::string_view name, std::uint64_t value)
    {
        out << "kumquatpath_second_tries_" << name << listener << "} " << value << "\n";
    };
    write("openings", each.openings);
    write("sent", each.sent);
    write("won", each.won);
    write("lost", each.lost);
    for (std::size_t i = 0; i < each.withheld.size(); ++i)
    {
        out << "kumquatpath_second_tries_withheld" << listener << ",reason=\""
            << to_string(static_cast<second_try_withheld>(i)) << "\"} "
            << each.withheld[i] << "\n";
    }
}

void write_second_tries(std::ostream& out, const second_tries& tries)
{
    if (tries.share <= 0)
    {
        return;
    }
    out << "kumquatpath_second_tries_share " << tries.share << "\n";
    for (const auto& [key, each] : tries.listeners)
    {
        write_second_tries(out, each);
    }
}

} // namespace

void count_placement(instance_metrics& metrics, std::string_view name)
{
    if (route_openings* const found = openings_of(metrics, name))
    {
        ++found->placed;
    }
}

void count_refusal(instance_metrics& metrics, std::string_view name, std::string_view why)
{
    if (route_openings* const found = openings_of(metrics, name))
    {
        const auto counter = found->refused.try_emplace(std::string(why), 0).first;
        ++counter->second;
    }
}

void set_waiting(instance_metrics& metrics, std::string_view name, std::size_t waiting)
{
    if (route_openings* const found = openings_of(metrics, name))
    {
        found->waiting = waiting;
    }
}

std::string_view route_name(const routing_table& table, const endpoint& listener)
{
    const route* const found = find_route(table, listener);
    return found == nullptr ? std::string_view() : std::string_view(found->name);
}

void record_times(instance_metrics& metrics, std::string_view name,
                  const steering_decision& decision)
{
    auto found = metrics.times.find(name);
    if (found == metrics.times.end())
    {
        if (metrics.times.size() >= max_timed_routes)
        {
            return;
        }
        found = metrics.times
                    .emplace(std::string(name),
                             route_times{.opening_ms = make_time_histogram(),
                                         .flow_ms = make_time_histogram()})
                    .first;
    }
    if (decision.opening_time)
    {
        found->second.opening_ms(milliseconds_of(*decision.opening_time));
    }
    if (decision.flow_time)
    {
        found->second.flow_ms(milliseconds_of(*decision.flow_time));
    }
}

std::string_view to_string(steering_verdict verdict) noexcept
{
    switch (verdict)
    {
    case steering_verdict::forward:
        return "forwarded";
    case steering_verdict::no_route:
        return "no_route";
    case steering_verdict::no_target:
        return "no_target";
    case steering_verdict::unknown_token:
        return "unknown_token";
    case steering_verdict::evacuated:
        return "evacuated";
    case steering_verdict::warm_up_limit:
        return "warm_up_limit";
    case steering_verdict::target_ended:
        return "target_ended";
    case steering_verdict::wait:
        break;
    }
    return "waits";
}

std::string metrics_page(const instance_metrics& metrics, const entry_instance& self,
                         time_point now)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < metrics.verdicts.size(); ++i)
    {
        out << "kumquatpath_packets{verdict=\""
            << to_string(static_cast<steering_verdict>(i)) << "\"} "
            << metrics.verdicts[i] << "\n";
    }
    write_metric(out, "packets_malformed", metrics.packets_malformed);
    write_metric(out, "flows_placed", metrics.flows_placed);
    write_metric(out, "flows_placed_at_risk",
                 self.steering.selector.flows_placed_at_risk);
    write_metric(out, "openings_refused", metrics.openings_refused);
    write_metric(out, "peer_messages_refused", metrics.peer_messages_refused);
    write_control_traffic(out, metrics.control);
    write_metric(out, "readings", metrics.readings);
    write_metric(out, "readings_failed", metrics.readings_failed);
    write_metric(out, "whole_replies_sent", metrics.whole_replies_sent);
    write_metric(out, "whole_replies_received", metrics.whole_replies_received);
    write_metric(out, "updates_incomplete", metrics.updates_incomplete);
    out << "kumquatpath_build{id=\"" << build_id << "\"} 1\n";
    write_metric(out, "targets_refused", self.directory.refused_targets);
    write_metric(out, "targets_unusable", count_unusable_targets(self.directory));
    write_metric(out, "targets_of_unnamed_services",
                 count_targets_of_unnamed_services(self.directory));
    write_metric(out, "log_lines_held_back", metrics.log_lines_held_back);
    write_dropped_messages(out, metrics.messages_dropped);
    write_metric(out, "flows_remembered", self.steering.flows.size());
    write_metric(out, "peers", self.fleet.peers.size());
    write_metric(out, "openings_kept", self.corrections.openings.size());
    write_metric(out, "token_corrections_sent", self.corrections.sent);
    write_metric(out, "flow_notices_sent", self.corrections.notices_sent);
    write_metric(out, "flow_notices_used", self.corrections.notices_used);
    write_metric(out, "wrong_tokens", self.corrections.wrong_tokens);
    write_metric(out, "state_era", self.directory.position.era.value);
    write_metric(out, "state_position", self.directory.position.value);
    write_metric(out, "targets_held_back", count_held_back_entries(self.directory));
    write_metric(out, "configuration_ahead_of_store",
                 is_configuration_ahead_of_store(self) ? 1 : 0);
    write_metric(out, "configuration",
                 self.configuration.table ? self.configuration.table->generation.value
                                          : 0);
    write_metric(out, "state_age_ms",
                 static_cast<std::uint64_t>(state_age(self, now).count()));
    write_metric(out, "openings_moved_by_evacuation",
                 self.steering.openings_moved_by_evacuation);
    write_evacuations(out, self, now);
    write_warm_ups(out, self, now);
    write_targets(out, self, now);
    write_target_speeds(out, self, now);
    write_evidence(out, self);
    write_remote_placement(out, self);
    for (const auto& [route, openings] : metrics.openings)
    {
        write_openings(out, route, openings);
    }
    write_second_tries(out, self.second_try_state);
    for (const auto& [route, times] : metrics.times)
    {
        write_histogram(out, "kumquatpath_opening_ms", route, times.opening_ms);
        write_histogram(out, "kumquatpath_flow_ms", route, times.flow_ms);
    }
    return out.str();
}

} // namespace kumquatpath
