#include "shared_state.hpp"

#include <kumquatpath/decision/cut_off.hpp>
#include <kumquatpath/decision/entry_instance.hpp>
#include <kumquatpath/decision/warm_up_allowance.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The fabric takes up to this long to notice that an instance is leaving.
constexpr duration min_leaving_time = std::chrono::milliseconds(1200);
/// A leaving instance may exit after this long without packets.
constexpr duration quiet_time_before_exit = std::chrono::milliseconds(400);
constexpr duration max_leaving_time = std::chrono::milliseconds(5000);
/// In a large fleet, local peers have this long to obtain newer state before remote peers
/// are asked for it.
constexpr duration local_peer_wait = std::chrono::milliseconds(900);
/// Each instance prolongs local_peer_wait by its own fixed time of less than this, so
/// that the instances of a data centre don't ask remote peers all at once.
constexpr std::uint64_t local_peer_wait_jitter_ms = 600;
constexpr duration maintenance_interval = std::chrono::milliseconds(500);
constexpr std::size_t max_members_per_heartbeat = 8;
/// A large fleet sends many heartbeats, so each of them lists few members.
constexpr std::size_t max_members_per_heartbeat_in_large_fleet = 3;

void record_freshness(entry_instance& self, time_point as_of, time_point now)
{
    record_state_contact(self, as_of, now);
    self.fresh_as_of = self.fresh_as_of ? std::max(*self.fresh_as_of, as_of) : as_of;
}

std::chrono::milliseconds age_of(const state_freshness& freshness, time_point now)
{
    if (!freshness.as_of)
    {
        return never_read;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *freshness.as_of);
    return std::clamp(age, std::chrono::milliseconds(0), never_read);
}

/// Returns the number of live instances that are not leaving, including this one.
std::uint32_t count_live_instances(const entry_instance& self, time_point now)
{
    const auto peers = std::count_if(self.fleet.peers.begin(), self.fleet.peers.end(),
                                     [&](const auto& each) {
                                         return is_live(self.fleet, each.second, now) &&
                                                !each.second.is_leaving;
                                     });
    return static_cast<std::uint32_t>(peers) + 1;
}

void update_warm_up_allowance(entry_instance& self, time_point now)
{
    self.started_at = self.started_at.value_or(now);
    update_fleet_size(self.estimated_fleet, self.fleet, now);
    warm_up_allowance& warm_up = self.steering.selector.warm_up;
    warm_up.instances = self.estimated_fleet.instances;
    warm_up.usable_from = *self.started_at + warm_up_discovery_time;
}

/// Stops obeying the evacuation of the local data centre while that is cut off.
void update_cut_off(entry_instance& self, time_point now)
{
    const bool is_cut_off =
        is_evacuated(self.evacuations, self.fleet.local_data_centre) &&
        is_data_centre_cut_off(self, now);
    if (is_cut_off != self.is_cut_off)
    {
        self.is_cut_off = is_cut_off;
        mark_evacuations(self);
    }
}

bool is_draining(const entry_instance& self)
{
    const auto& draining = self.configuration.table->draining_instances;
    return std::find(draining.begin(), draining.end(), self.fleet.self) != draining.end();
}

} // namespace

entry_instance make_entry_instance(const entry_instance_options& options)
{
    entry_instance self{.incarnation = options.incarnation, .address = options.address};
    self.fleet.self = options.self;
    self.fleet.local_data_centre = options.local_data_centre;
    self.steering.selector.local_data_centre = options.local_data_centre;
    self.steering.selector.options = options.selection;
    self.directory.has_exclusive_addresses = options.has_exclusive_addresses;
    self.has_lasting_generations = options.has_lasting_generations;
    self.second_try_state.share = options.second_tries_share;
    self.corrections.is_on = options.corrects_tokens;
    self.steering.pins_flows = options.second_tries_share > 0 || options.corrects_tokens;
    self.steering.random = hash_pair(options.self.value, options.incarnation);
    self.steering.selector.warm_up.instance_seed = self.steering.random;
    return self;
}

bool is_ready(const entry_instance& self)
{
    return self.configuration.table != nullptr && self.directory.position.value > 0 &&
           !self.leaving_since && !is_draining(self);
}

std::chrono::milliseconds state_age(const entry_instance& self, time_point now)
{
    return age_of(newest_freshness(self.fleet, self.directory.position), now);
}

bool may_exit(const entry_instance& self, time_point now)
{
    if (!self.leaving_since)
    {
        return false;
    }
    const duration leaving_time = now - *self.leaving_since;
    const bool is_quiet = leaving_time >= min_leaving_time &&
                          now >= self.last_packet_at + quiet_time_before_exit;
    return is_quiet || leaving_time >= max_leaving_time;
}

fleet_heartbeat make_heartbeat(const entry_instance& self, time_point now)
{
    const state_freshness reported =
        freshness_to_report(self.fleet, self.directory.position, now);
    return {.incarnation = self.incarnation,
            .address = self.address,
            .data_centre = self.fleet.local_data_centre,
            .is_leaving = self.leaving_since.has_value(),
            .position = self.directory.position,
            .configuration = version_of_configuration(self),
            .age = age_of(reported, now),
            .read_by = reported.read_by,
            .members = members_to_advertise(self.fleet,
                                            is_large(self.fleet)
                                                ? max_members_per_heartbeat_in_large_fleet
                                                : max_members_per_heartbeat,
                                            self.heartbeats_sent, now)};
}

void record_state_read(entry_instance& self, time_point as_of, time_point now)
{
    self.fleet.own_freshness = {.as_of = as_of, .read_by = self.fleet.self};
    record_freshness(self, as_of, now);
}

const fleet_peer* choose_sync_peer(entry_instance& self, instance_id avoided,
                                   time_point now)
{
    sync_peer_query query{.position = self.directory.position,
                          .configuration = version_of_configuration(self),
                          .avoided = avoided,
                          .random = hash_pair(self.incarnation, self.heartbeats_sent)};
    if (find_peer_with_newer_state(self.fleet, query, now) == nullptr)
    {
        self.behind_since.reset();
        return nullptr;
    }
    self.behind_since = self.behind_since.value_or(now);
    if (now < self.next_query_at)
    {
        return nullptr;
    }
    const duration wait =
        local_peer_wait + std::chrono::milliseconds(hash_pair(self.fleet.self.value, 1) %
                                                    local_peer_wait_jitter_ms);
    query.is_local_only = is_large(self.fleet) && self.directory.position.value > 0 &&
                          now < *self.behind_since + wait;
    return find_peer_with_newer_state(self.fleet, query, now);
}

bool admit(entry_instance& self, const flow_packet& packet, time_point now)
{
    if (!has_limit(*self.configuration.table, packet))
    {
        return true;
    }
    return admit_flow(self.limits, *self.configuration.table, packet,
                      count_live_instances(self, now), now);
}

heartbeat_result handle_heartbeat(entry_instance& self, const fleet_message& message,
                                  const fleet_heartbeat& heartbeat, time_point now)
{
    const heartbeat_result result =
        record_heartbeat(self.fleet, message.sender, message.sequence, heartbeat, now);
    target_selector& selector = self.steering.selector;
    if (result.is_new && selector.options.uses_peer_evidence)
    {
        forget_evidence_of(selector, message.sender, now);
    }
    if (!result.is_stale)
    {
        record_evidence(selector, self.directory, self.fleet.peers.at(message.sender),
                        heartbeat.evidence, self.evidence, now);
    }
    return result;
}

void add_evidence(entry_instance& self, fleet_heartbeat& heartbeat, time_point now)
{
    review_evidence_to_report(self.steering.selector, self.directory, now);
    heartbeat.evidence = evidence_to_report(
        self.steering, self.directory,
        {.max_count = is_large(self.fleet) ? max_evidence_per_heartbeat_in_large_fleet
                                           : max_evidence_per_heartbeat,
         .random = hash_pair(self.steering.random, self.heartbeats_sent)},
        now);
    self.evidence.sent += heartbeat.evidence.size();
}

void tick(entry_instance& self, time_point now)
{
    review_flows(self.steering, self.directory, now);
    self.steering.selector.instances = count_live_instances(self, now);
    update_warm_up_allowance(self, now);
    observe_fleet(self.second_try_state, self.fleet, self.configuration.table.get(),
                  self.leaving_since.has_value(), now);
    const state_freshness newest = newest_freshness(self.fleet, self.directory.position);
    if (newest.as_of)
    {
        record_freshness(self, *newest.as_of, now);
    }
    self.directory.is_outdated =
        self.fresh_as_of && now - *self.fresh_as_of >= min_outage_for_expiry;
    update_cut_off(self, now);
    if (now >= self.next_maintenance_at)
    {
        self.next_maintenance_at = now + maintenance_interval;
        remove_silent_peers(self.fleet, now);
        forget_silent_evidence(self.steering.selector, self.fleet, now);
        remove_gone_targets(self.directory, now);
        forget_old_openings(self.corrections, now);
    }
}

} // namespace kumquatpath
