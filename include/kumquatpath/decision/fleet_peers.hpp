#ifndef KUMQUATPATH_DECISION_FLEET_PEERS_HPP
#define KUMQUATPATH_DECISION_FLEET_PEERS_HPP

/// \file
/// Which peers an instance hears, what they know, and who reads the shared state.
///
/// Few instances read the shared state and the others are told by them. No instance is
/// appointed: the first two of those that hear each other read, by their ids, and any
/// other one reads as soon as what it is told is too old. So a reader that dies, is cut
/// off or is turned away is replaced within a second or two, and an instance that hears
/// nobody reads for itself.

#include <kumquatpath/model/fleet_message.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// The state is known to have been so at this time, by this instance's reading.
struct state_freshness
{
    /// Unset: never read.
    std::optional<time_point> as_of;
    instance_id read_by;
};

/// A peer that was heard.
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
    state_revision configuration;
    state_freshness freshness;
};

/// What one instance knows of the others.
struct fleet_peers
{
    instance_id self;
    data_centre_id local_data_centre;
    boost::unordered_flat_map<instance_id, fleet_peer, std::hash<instance_id>> peers;
    /// Instances that others tell of and that were not heard yet.
    std::vector<fleet_member> peer_candidates;
    /// What this instance read itself.
    state_freshness own_freshness;
    /// It reads until this time although it is none of the first.
    time_point reads_until;
};

/// What a beat brought.
struct heartbeat_result
{
    /// The message is older than one that was heard, or the instance's own.
    bool is_stale = false;
    /// The peer was not known before, or has started anew.
    bool is_new = false;
};

// Queries.

/// Returns whether \p peer was heard lately.
bool is_live(const fleet_peers& fleet, const fleet_peer& peer, time_point now);

/// Returns the newest freshness that peers or this instance know of.
state_freshness newest_freshness(const fleet_peers& fleet, state_revision position);

/// What an instance knows, and whom it asked in vain for more.
struct sync_peer_query
{
    state_revision position;
    state_revision configuration;
    instance_id avoided;
    /// Only peers of the own data centre.
    bool is_local_only = false;
    /// Uniform random bits: they spread the instances over those that can tell.
    std::uint64_t random = 0;
};

/// Returns a live peer that knows more, of the own data centre first; null if there is
/// none.
const fleet_peer* find_peer_with_newer_state(const fleet_peers& fleet,
                                             const sync_peer_query& query,
                                             time_point now);

/// Returns up to \p most live peers, to tell others of; \p turn picks which.
std::vector<fleet_member> members_to_advertise(const fleet_peers& fleet,
                                               std::size_t max_count, std::uint64_t round,
                                               time_point now);

/// Returns whether the fleet is so large that not everybody hears everybody.
bool is_large(const fleet_peers& fleet);

/// Returns how long a reader waits after it has read a change.
std::chrono::milliseconds reading_pause(const fleet_peers& fleet);

// Commands.

/// Takes \p beat of \p sender.
heartbeat_result record_heartbeat(fleet_peers& fleet, instance_id sender,
                                  std::uint64_t sequence,
                                  const fleet_heartbeat& heartbeat, time_point now);

/// Forgets peers that have been silent for long. Returns those forgotten.
std::vector<fleet_peer> remove_silent_peers(fleet_peers& fleet, time_point now);

/// Decides whether this instance reads the shared state itself.
bool update_reader_role(fleet_peers& fleet, state_revision position, time_point now);

} // namespace kumquatpath

#endif
