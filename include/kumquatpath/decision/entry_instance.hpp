#ifndef KUMQUATPATH_DECISION_ENTRY_INSTANCE_HPP
#define KUMQUATPATH_DECISION_ENTRY_INSTANCE_HPP

/// \file
/// The state of one entry instance, that is of one load balancer process: its flows, the
/// shared state and its peers.
///
/// The shared state consists of the configuration and the announcements of targets.
/// Updates may arrive in any order: an older revision never replaces a newer one. An
/// instance without a source of newer state keeps serving with the state that it has.

#include <kumquatpath/decision/directory_update.hpp>
#include <kumquatpath/decision/evacuations.hpp>
#include <kumquatpath/decision/fleet_peers.hpp>
#include <kumquatpath/decision/fleet_size.hpp>
#include <kumquatpath/decision/flow_limits.hpp>
#include <kumquatpath/decision/flow_steering.hpp>
#include <kumquatpath/decision/second_tries.hpp>
#include <kumquatpath/decision/target_evidence.hpp>
#include <kumquatpath/decision/token_corrections.hpp>

namespace kumquatpath
{

/// The state of an entry instance.
struct entry_instance
{
    /// Differs between any two starts of the instance.
    std::uint64_t incarnation = 0;
    /// The address at which this instance receives messages from its peers.
    endpoint address;
    target_directory directory;
    evacuation_table evacuations;
    /// The local data centre is cut off, so its targets are used even if it is evacuated.
    bool is_cut_off = false;
    shared_configuration configuration;
    /// The generations of the configuration never restart, so a lower one is older
    /// whenever the store shows it.
    bool has_lasting_generations = false;
    flow_steering steering;
    flow_limits limits;
    second_tries second_try_state;
    token_corrections corrections;
    fleet_peers fleet;
    fleet_size estimated_fleet;
    /// The time of the first tick; unset: there was none.
    std::optional<time_point> started_at;
    std::uint64_t heartbeats_sent = 0;
    evidence_counts evidence;
    /// The latest time at which the shared state held here was known to be current;
    /// unset: never.
    std::optional<time_point> fresh_as_of;
    std::optional<time_point> leaving_since;
    time_point last_packet_at;
    time_point next_maintenance_at;
    /// Since when a live peer has had newer state; unset: none has.
    std::optional<time_point> behind_since;
    /// No peer is asked for newer state before.
    time_point next_query_at;
};

/// The identity of an entry instance, set when it starts.
struct entry_instance_options
{
    instance_id self;
    data_centre_id local_data_centre;
    endpoint address;
    std::uint64_t incarnation = 0;
    selection_options selection;
    /// The limit of second tries as a share of a listener's openings; 0: off.
    double second_tries_share = 0;
    /// See target_directory::has_exclusive_addresses.
    bool has_exclusive_addresses = false;
    /// See entry_instance::has_lasting_generations.
    bool has_lasting_generations = false;
    /// See token_corrections::is_on.
    bool corrects_tokens = false;
};

/// The effect of an update of the shared state.
struct state_update_result
{
    update_counts targets;
    /// The evacuations that were put in force or withdrawn.
    std::vector<evacuation_change> evacuations;
    /// The update may lack changes, so the instance is not at its position.
    bool is_incomplete = false;
};

/// The effect of a state that was read from the store or that a peer sent.
struct shared_state_result
{
    state_update_result update;
    bool is_configuration_new = false;
    /// The store came back with an older configuration, and the newer one stays in force.
    bool is_configuration_kept = false;
    /// The store has come back from an older copy of itself; unset: it has not.
    std::optional<store_era> returned_from;
};

/// The effect of a peer's reply.
struct peer_reply_result
{
    shared_state_result state;
    /// The peer reports newer state but its reply did not bring it, for the first time
    /// since a reply of it that did.
    bool is_first_in_vain = false;
};

/// Returns the state of an instance that has just started.
entry_instance make_entry_instance(const entry_instance_options& options);

// Queries.

/// Returns the version of the configuration that this instance has. With generations that
/// may restart, only the revision counts.
configuration_version version_of_configuration(const entry_instance& self);

/// Returns whether the configuration in force is newer than that of the store, which came
/// back with an older one.
bool is_configuration_ahead_of_store(const entry_instance& self);

/// Returns whether the fabric should send packets to this instance: it has a
/// configuration and a listing of targets, is not leaving and is not drained by the
/// configuration.
bool is_ready(const entry_instance& self);

/// Returns how long ago the shared state held here was last known to be current, or
/// never_read.
std::chrono::milliseconds state_age(const entry_instance& self, time_point now);

/// Returns whether a leaving instance may exit: either the fabric has stopped sending it
/// packets, or the maximum leaving time has passed.
bool may_exit(const entry_instance& self, time_point now);

/// Returns the state that is newer than the revisions in \p request. Each warm-up in it
/// has the time that is left at \p now, since its announcement may be old.
state_reply make_state_reply(const entry_instance& self, const state_request& request,
                             time_point now);

/// Returns the heartbeat to send to peers.
fleet_heartbeat make_heartbeat(const entry_instance& self, time_point now);

// Commands.

/// Applies \p update, which comes from the store or from a peer. Unless it is incomplete,
/// the instance has every change up to the position of \p update then.
state_update_result apply_state_update(entry_instance& self, const state_update& update,
                                       time_point now);

/// Applies a state from the store or from a peer: \p update, and \p configuration unless
/// that is null. The targets of a native configuration that is not put in force because a
/// newer one stays are not used either.
shared_state_result apply_shared_state(entry_instance& self,
                                       const shared_configuration* configuration,
                                       const state_update& update, time_point now);

/// Uses what the store came back with and what was held back for long enough.
state_update_result use_held_back_state(entry_instance& self, time_point now);

/// Applies \p reply of the peer \p sender. \p table is that of its configuration, or
/// null. After a reply that did not bring the newer state that the peer reports, no peer
/// is asked for a moment, and that peer only if there is no other.
peer_reply_result apply_peer_reply(entry_instance& self, instance_id sender,
                                   const state_reply& reply,
                                   const std::shared_ptr<const routing_table>& table,
                                   time_point now);

/// Puts \p configuration in force if it is newer than the current one. Returns whether it
/// was. One with which the store came back from an older copy is not newer; the instance
/// takes over its revision only.
bool apply_configuration(entry_instance& self, const shared_configuration& configuration,
                         time_point now);

/// Records that this instance itself has read the shared state, current as of \p as_of.
void record_state_read(entry_instance& self, time_point as_of, time_point now);

/// Returns the live peer to request newer state from, or null if there is none. The peer
/// \p avoided did not answer the last request and is chosen only if no other one can be.
///
/// In a large fleet, a peer of another data centre is chosen only if no local peer has
/// obtained newer state for about a second: usually the reader of the local data centre
/// fetches it once for all instances there.
const fleet_peer* choose_sync_peer(entry_instance& self, instance_id avoided,
                                   time_point now);

/// Returns whether the configured limits admit the flow that \p packet opens. There must
/// be a configuration in force.
bool admit(entry_instance& self, const flow_packet& packet, time_point now);

/// Processes \p heartbeat, which \p message carries.
heartbeat_result handle_heartbeat(entry_instance& self, const fleet_message& message,
                                  const fleet_heartbeat& heartbeat, time_point now);

/// Adds evidence about targets to \p heartbeat, which is to be sent to a local peer, if
/// that is switched on.
void add_evidence(entry_instance& self, fleet_heartbeat& heartbeat, time_point now);

/// Runs periodic work. To be called about every 50 ms.
void tick(entry_instance& self, time_point now);

} // namespace kumquatpath

#endif
