#ifndef KUMQUATPATH_DECISION_ENTRY_INSTANCE_HPP
#define KUMQUATPATH_DECISION_ENTRY_INSTANCE_HPP

/// \file
/// One entry instance as a whole: the flows it steers, the shared state it knows and the
/// peers it hears.
///
/// The shared state, which is the configuration and the announcements of targets, only
/// ever moves forward here, whatever order it arrives in. An instance serves by what it
/// knows for as long as nobody can tell it better.

#include <kumquatpath/decision/fleet_peers.hpp>
#include <kumquatpath/decision/flow_limits.hpp>
#include <kumquatpath/decision/flow_steering.hpp>

namespace kumquatpath
{

/// The state of an entry instance.
struct entry_instance
{
    /// Differs from one start to the next.
    std::uint64_t incarnation = 0;
    /// Where this instance hears its peers.
    endpoint address;
    target_directory directory;
    shared_configuration configuration;
    flow_steering steering;
    flow_limits limits;
    fleet_peers fleet;
    std::uint64_t heartbeats_sent = 0;
    /// When the shared state was last known to be as it is here; unset: never.
    std::optional<time_point> fresh_as_of;
    std::optional<time_point> leaving_since;
    time_point last_packet_at;
    time_point next_maintenance_at;
    /// Since when a peer is known to know more; unset: none does.
    std::optional<time_point> behind_since;
};

/// What an entry instance is told of itself at its start.
struct entry_instance_options
{
    instance_id self;
    data_centre_id local_data_centre;
    endpoint address;
    std::uint64_t incarnation = 0;
};

/// What came of a part of the shared state.
struct state_update_result
{
    std::size_t targets_changed = 0;
    bool is_configuration_new = false;
};

/// Returns the state of an instance that has just started.
entry_instance make_entry_instance(const entry_instance_options& options);

// Queries.

/// Returns whether the fabric should send packets here.
bool is_ready(const entry_instance& self);

/// Returns how long ago the shared state was known to be so, or never_read.
std::chrono::milliseconds state_age(const entry_instance& self, time_point now);

/// Returns whether an instance that leaves may end: the fabric sends it nothing any more,
/// or its time is up.
bool may_exit(const entry_instance& self, time_point now);

/// Returns what a peer that asked lacks.
state_reply make_state_reply(const entry_instance& self, const state_request& request);

/// Returns the sign of life for peers.
fleet_heartbeat make_heartbeat(const entry_instance& self, time_point now);

// Commands.

/// Takes the changes of the shared state after which it stands at \p position.
state_update_result apply_state_changes(entry_instance& self,
                                        std::span<const target_change> changes,
                                        state_revision position, time_point now);

/// Takes the whole shared state as it was at \p position.
state_update_result apply_state_listing(entry_instance& self,
                                        std::span<const target_change> listing,
                                        state_revision position, time_point now);

/// Takes \p configuration if it is newer than the one in force. Returns whether it is.
bool apply_configuration(entry_instance& self, const shared_configuration& configuration);

/// Notes that this instance has read the shared state, as it was at \p as_of.
void record_state_read(entry_instance& self, time_point as_of, time_point now);

/// Returns the peer to ask for what this instance lacks, or null. \p avoided did not
/// answer.
///
/// In a large fleet a peer of another data centre is asked only when nobody at home has
/// come to know more for a second or so: the data centre's reader usually brings it, once
/// for all.
const fleet_peer* choose_sync_peer(entry_instance& self, instance_id avoided,
                                   time_point now);

/// Returns whether the operators' limits admit the flow that \p packet opens.
bool admit(entry_instance& self, const flow_packet& packet, time_point now);

/// Takes a beat of a peer.
heartbeat_result handle_heartbeat(entry_instance& self, const fleet_message& message,
                                  const fleet_heartbeat& heartbeat, time_point now);

/// Does what is due: to be called every 25 ms or so.
void tick(entry_instance& self, time_point now);

} // namespace kumquatpath

#endif
