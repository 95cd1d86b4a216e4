#ifndef KUMQUATPATH_DECISION_FLEET_PEERS_HPP
#define KUMQUATPATH_DECISION_FLEET_PEERS_HPP

/// \file
/// The peers of an instance, the state that they have, and the choice of the instances
/// that read the shared state from its store.
///
/// Only a few instances are readers; the others get the state from them. There is no
/// election: each instance decides by the heartbeats that it receives. In a small fleet
/// the two instances with the lowest ids read, in a large one the instance with the
/// lowest id of each data centre. Any other instance reads as soon as the state that its
/// peers report is too old. A reader that fails, is cut off or is refused by the store is
/// therefore replaced within one or two seconds, and an instance without peers reads for
/// itself.

#include <kumquatpath/model/fleet_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// When the shared state was last known to be current, and by which instance's read.
struct state_freshness
{
    /// Unset: never read.
    std::optional<time_point> as_of;
    instance_id read_by;
};

/// A peer from which a heartbeat was received, with the data of the newest one.
struct fleet_peer
{
    instance_id instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    endpoint address;
    data_centre_id data_centre;
    bool is_leaving = false;
    time_point heard_at;
    state_revision position;
    configuration_version configuration;
    state_freshness freshness;
    /// The last reply of this incarnation did not bring the newer state that it reports.
    bool is_asked_in_vain = false;
};

/// What one instance knows of the other instances.
struct fleet_peers
{
    instance_id self;
    data_centre_id local_data_centre;
    boost::unordered_flat_map<instance_id, fleet_peer, std::hash<instance_id>> peers;
    /// Instances that peers list as members and from which no heartbeat was received yet.
    std::vector<fleet_member> peer_candidates;
    /// From this instance's own reads.
    state_freshness own_freshness;
    /// This instance reads until then even if it is not a designated reader.
    time_point reads_until;
};

/// The effect of a heartbeat.
struct heartbeat_result
{
    /// The heartbeat is no newer than the last one of its sender, or is this instance's
    /// own.
    bool is_stale = false;
    /// The peer was unknown or has restarted.
    bool is_new = false;
};

// Queries.

/// Returns whether the last heartbeat of \p peer is recent enough to count it as live.
bool is_live(const fleet_peers& fleet, const fleet_peer& peer, time_point now);

/// Returns the newest freshness by this instance's reads and its peers' reports, for an
/// instance at \p position. Reports of peers beyond \p position are ignored, as this
/// instance lacks changes that they have.
state_freshness newest_freshness(const fleet_peers& fleet, state_revision position);

/// Returns the freshness that an instance at \p position reports to its peers: by its own
/// last read while that is recent, otherwise the newest. An instance that passed on only
/// the newer read of a peer would hide from that peer that others read as well.
state_freshness freshness_to_report(const fleet_peers& fleet, state_revision position,
                                    time_point now);

/// The state that an instance has, and the criteria for a peer with newer state.
struct sync_peer_query
{
    state_revision position;
    configuration_version configuration;
    /// The peer that did not answer the last request: it is the last choice.
    instance_id avoided;
    /// Considers only peers of the local data centre.
    bool is_local_only = false;
    /// Uniform random bits, which spread the requests of the instances over the peers.
    std::uint64_t random = 0;
};

/// Returns a live peer with newer state than \p query states, preferably one that was not
/// asked in vain and is of the local data centre, or null if there is none.
const fleet_peer* find_peer_with_newer_state(const fleet_peers& fleet,
                                             const sync_peer_query& query,
                                             time_point now);

/// Returns up to \p max_count live peers to list in a heartbeat. \p round selects them,
/// so that successive rounds list different peers.
std::vector<fleet_member> members_to_advertise(const fleet_peers& fleet,
                                               std::size_t max_count, std::uint64_t round,
                                               time_point now);

/// Returns whether the fleet is too large for each instance to send every heartbeat to
/// all others.
bool is_large(const fleet_peers& fleet);

/// Returns how long a reader waits after it has read a change, so that it reads the
/// changes that follow closely together.
std::chrono::milliseconds reading_pause(const fleet_peers& fleet);

// Commands.

/// Records \p heartbeat of \p sender and the members that it lists.
heartbeat_result record_heartbeat(fleet_peers& fleet, instance_id sender,
                                  std::uint64_t sequence,
                                  const fleet_heartbeat& heartbeat, time_point now);

/// Removes peers that have been silent for 30 s. Returns the removed peers.
std::vector<fleet_peer> remove_silent_peers(fleet_peers& fleet, time_point now);

/// Returns whether this instance, whose state is at \p position, should read the shared
/// state itself. If the state that its peers report is too old, it reads for the next few
/// seconds.
bool update_reader_role(fleet_peers& fleet, state_revision position, time_point now);

} // namespace kumquatpath

#endif
