#ifndef KUMQUATPATH_DECISION_TARGET_DIRECTORY_HPP
#define KUMQUATPATH_DECISION_TARGET_DIRECTORY_HPP

/// \file
/// Every target that is or was announced, as one instance knows it.
///
/// A change takes effect if its revision is newer than what is known of its target, so
/// changes may come in any order, twice, and from any peer, and all instances end with
/// the same directory. A target that is gone takes no new flow but is remembered for
/// flow_memory, as open flows may still rest on it.

#include <kumquatpath/model/target_record.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <span>
#include <vector>

namespace kumquatpath
{

/// How long a target that is gone is remembered: the longest life of a flow, and some.
inline constexpr duration gone_target_retention = std::chrono::seconds(75);

/// An outage of the shared state of at least this length may have lapsed the
/// announcements of living targets.
inline constexpr duration min_outage_for_expiry = std::chrono::seconds(3);

/// How long after such an outage a missing announcement is not yet held against a target.
inline constexpr duration expiry_grace = std::chrono::milliseconds(1900);

/// A place in the directory. It stays the same target's while that is remembered.
using target_index = std::uint32_t;

/// What is known of one target.
struct known_target
{
    /// The last usable announcement.
    target_record record;
    flow_token token;
    state_revision revision;
    /// Whether the newest change announces the target.
    bool is_announced = false;
    /// When it was last told gone; only if it is not announced.
    time_point gone_since;
    /// Until when it takes new flows all the same; only if it is not announced.
    time_point grace_until;
    /// False for a place that is free.
    bool is_used = false;
    /// Another target with a smaller key has the same token: this one gets no new flows.
    bool is_shadowed = false;
    /// When the target said how long it stays slow.
    time_point announced_at;
};

/// The news that a target is gone whose announcement never came.
struct target_tombstone
{
    state_revision revision;
    time_point recorded_at;
};

/// The directory. Change it by the functions below only.
struct target_directory
{
    std::vector<known_target> targets;
    std::vector<target_index> free_indices;
    boost::unordered_flat_map<std::uint64_t, target_index> by_key;
    boost::unordered_flat_map<std::uint32_t, target_index> by_token;
    boost::unordered_flat_map<service_id, std::vector<target_index>,
                              std::hash<service_id>>
        by_service;
    /// By the keys of targets that are not known.
    boost::unordered_flat_map<std::uint64_t, target_tombstone> tombstones;
    /// Changes up to this one are in the directory.
    state_revision position;
    /// Until when announcements that vanish are not yet held against their targets.
    time_point grace_until;
};

// Queries.

/// Returns the place of the target that \p token stands for, or null.
const target_index* find_by_token(const target_directory& directory, flow_token token);

/// Returns the targets that are known for \p service, also those that take no flows.
std::span<const target_index> targets_of(const target_directory& directory,
                                         service_id service);

/// Returns whether \p target takes new flows at \p now.
bool takes_new_flows(const known_target& target, time_point now);

/// Returns the changes that an instance at \p position lacks, all of them if it has none.
std::vector<target_change> changes_since(const target_directory& directory,
                                         state_revision position);

// Commands.

/// Takes one change. Returns whether it was news.
bool apply_change(target_directory& directory, const target_change& change,
                  time_point now);

/// Takes the whole state as it was at \p at: targets that it lacks are gone.
void apply_listing(target_directory& directory, std::span<const target_change> listing,
                   state_revision position, time_point now);

/// Notes that the shared state can be read again after \p outage.
void record_outage_end(target_directory& directory, duration outage, time_point now);

/// Forgets targets that are gone for longer than flow_memory.
void remove_gone_targets(target_directory& directory, time_point now);

} // namespace kumquatpath

#endif
