#include <kumquatpath/decision/entry.hpp>

#include <algorithm>

namespace kumquatpath
{
namespace
{

/// The fabric needs this long to see that an instance leaves.
constexpr duration least_leave = std::chrono::milliseconds(1200);
constexpr duration quiet_before_end = std::chrono::milliseconds(400);
constexpr duration longest_leave = std::chrono::milliseconds(5000);
/// How long the own data centre may take to know more before others are asked, and how
/// far apart its instances lose their patience.
constexpr duration patience_with_home = std::chrono::milliseconds(900);
constexpr std::uint64_t patience_spread_ms = 600;
constexpr duration upkeep_interval = std::chrono::milliseconds(500);
constexpr std::size_t most_members_told = 8;
/// Beats are many in a large fleet, so each may tell of few.
constexpr std::size_t most_members_told_by_large_fleet = 3;

/// Notes that the shared state can be read as it was at \p as_of, after whatever outage.
void note_contact(entry& self, time_point as_of, time_point now)
{
    if (self.fresh_at)
    {
        note_return(self.directory, as_of - *self.fresh_at, now);
    }
}

void note_freshness(entry& self, time_point as_of, time_point now)
{
    note_contact(self, as_of, now);
    self.fresh_at = self.fresh_at ? std::max(*self.fresh_at, as_of) : as_of;
}

/// Returns how many instances serve, with this one.
std::uint32_t live_instances(const entry& self, time_point now)
{
    const auto peers = std::count_if(self.fleet.peers.begin(), self.fleet.peers.end(),
                                     [&](const auto& each) {
                                         return is_live(self.fleet, each.second, now) &&
                                                !each.second.is_leaving;
                                     });
    return static_cast<std::uint32_t>(peers) + 1;
}

bool is_withdrawn(const entry& self)
{
    const auto& withdrawn = self.configuration.table->draining_instances;
    return std::find(withdrawn.begin(), withdrawn.end(), self.fleet.self) !=
           withdrawn.end();
}

} // namespace

entry make_entry(const entry_options& options)
{
    entry self{.incarnation = options.incarnation, .address = options.address};
    self.fleet.self = options.self;
    self.fleet.home = options.home;
    self.steering.selector.local_data_centre = options.home;
    self.steering.random = mix(options.self.value, options.incarnation);
    return self;
}

bool is_ready(const entry& self)
{
    return self.configuration.table != nullptr && self.directory.position.value > 0 &&
           !self.leaving_since && !is_withdrawn(self);
}

std::chrono::milliseconds state_age(const entry& self, time_point now)
{
    const state_freshness newest = newest_freshness(self.fleet, self.directory.position);
    if (!newest.as_of)
    {
        return never_read;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *newest.as_of);
    return std::clamp(age, std::chrono::milliseconds(0), never_read);
}

bool may_end(const entry& self, time_point now)
{
    if (!self.leaving_since)
    {
        return false;
    }
    const duration time = now - *self.leaving_since;
    const bool is_quiet =
        time >= least_leave && now >= self.last_packet_at + quiet_before_end;
    return is_quiet || time >= longest_leave;
}

state_reply reply_to(const entry& self, const state_request& request)
{
    state_reply reply{.position = self.directory.position,
                      .targets = changes_since(self.directory, request.position),
                      .configuration = self.configuration.revision};
    if (self.configuration.text && self.configuration.revision > request.configuration)
    {
        reply.configuration_text = *self.configuration.text;
    }
    return reply;
}

fleet_beat make_beat(const entry& self, time_point now)
{
    return {.incarnation = self.incarnation,
            .address = self.address,
            .data_centre = self.fleet.home,
            .is_leaving = self.leaving_since.has_value(),
            .position = self.directory.position,
            .configuration = self.configuration.revision,
            .age = state_age(self, now),
            .read_by = newest_freshness(self.fleet, self.directory.position).read_by,
            .members =
                members_to_tell(self.fleet,
                                is_large(self.fleet) ? most_members_told_by_large_fleet
                                                     : most_members_told,
                                self.beats_sent, now)};
}

state_outcome take_changes(entry& self, std::span<const target_change> changes,
                           state_revision position, time_point now)
{
    note_contact(self, now, now);
    state_outcome outcome;
    for (const target_change& each : changes)
    {
        outcome.targets_changed += apply_change(self.directory, each, now) ? 1U : 0U;
    }
    self.directory.position = std::max(self.directory.position, position);
    return outcome;
}

state_outcome take_listing(entry& self, std::span<const target_change> listing,
                           state_revision position, time_point now)
{
    note_contact(self, now, now);
    apply_listing(self.directory, listing, position, now);
    return {.targets_changed = listing.size()};
}

bool take_configuration(entry& self, const shared_configuration& configuration)
{
    if (configuration.revision <= self.configuration.revision)
    {
        return false;
    }
    self.configuration = configuration;
    return true;
}

void note_reading(entry& self, time_point as_of, time_point now)
{
    self.fleet.own = {.as_of = as_of, .read_by = self.fleet.self};
    note_freshness(self, as_of, now);
}

const fleet_peer* choose_teller(entry& self, instance_id avoided, time_point now)
{
    teller_request request{.position = self.directory.position,
                           .configuration = self.configuration.revision,
                           .avoided = avoided,
                           .random = mix(self.incarnation, self.beats_sent)};
    if (better_informed(self.fleet, request, now) == nullptr)
    {
        self.behind_since.reset();
        return nullptr;
    }
    self.behind_since = self.behind_since.value_or(now);
    const duration patience =
        patience_with_home +
        std::chrono::milliseconds(mix(self.fleet.self.value, 1) % patience_spread_ms);
    request.is_home_only = is_large(self.fleet) && self.directory.position.value > 0 &&
                           now < *self.behind_since + patience;
    return better_informed(self.fleet, request, now);
}

bool admit(entry& self, const flow_packet& packet, time_point now)
{
    if (!has_limit(*self.configuration.table, packet))
    {
        return true;
    }
    return admit_flow(self.limits, *self.configuration.table, packet,
                      live_instances(self, now), now);
}

beat_outcome take_beat(entry& self, const fleet_message& message, const fleet_beat& beat,
                       time_point now)
{
    return hear_beat(self.fleet, message.sender, message.sequence, beat, now);
}

void tick(entry& self, time_point now)
{
    review_flows(self.steering, self.directory, now);
    self.steering.selector.instances = live_instances(self, now);
    const state_freshness newest = newest_freshness(self.fleet, self.directory.position);
    if (newest.as_of)
    {
        note_freshness(self, *newest.as_of, now);
    }
    if (now >= self.next_upkeep)
    {
        self.next_upkeep = now + upkeep_interval;
        forget_silent(self.fleet, now);
        forget_gone(self.directory, now);
    }
}

} // namespace kumquatpath
