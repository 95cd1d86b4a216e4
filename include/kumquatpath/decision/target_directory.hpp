#ifndef KUMQUATPATH_DECISION_TARGET_DIRECTORY_HPP
#define KUMQUATPATH_DECISION_TARGET_DIRECTORY_HPP

/// \file
/// The targets that are announced or recently were, as one instance knows them.
///
/// A change takes effect only if its revision is newer than that of its target. Changes
/// may therefore arrive in any order, more than once and from any peer, and the
/// directories of all instances converge. A target that is gone takes no new flows but is
/// kept for gone_target_retention, as open flows may still use it.
///
/// The position promises: of every target, the directory holds the state that the store
/// had at this position or at a later one. An announcement up to the position that the
/// directory lacks is therefore outdated, even if the departure that followed it is
/// forgotten.

#include <kumquatpath/model/routing_table.hpp>
#include <kumquatpath/model/target_record.hpp>
#include <kumquatpath/model/time.hpp>

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <span>
#include <vector>

namespace kumquatpath
{

/// How long a target that is gone is kept: the maximum lifetime of a flow plus a margin.
inline constexpr duration gone_target_retention = std::chrono::seconds(75);

/// During an outage of the shared state of at least this length, the announcements of
/// running targets may have expired.
inline constexpr duration min_outage_for_expiry = std::chrono::seconds(3);

/// For this long after such an outage, a target whose announcement is missing still takes
/// new flows.
inline constexpr duration expiry_grace = std::chrono::milliseconds(1900);

/// A longer warm-up in an announcement counts as this one.
inline constexpr std::chrono::seconds max_warm_up = std::chrono::hours(1);

/// The maximum number of targets in a directory, gone ones included. A further target is
/// not added but counted; the state of the others still moves on.
inline constexpr std::size_t max_known_targets = 65'536;

/// The maximum number of tombstones in a directory. A further departure of an unknown
/// target is forgotten at once.
inline constexpr std::size_t max_tombstones = 65'536;

/// An index into target_directory::targets. It is not reused before its target is
/// removed.
using target_index = std::uint32_t;

/// An entry of the store that is held back; see held_back_entries.hpp.
struct held_back_entry
{
    target_record record;
    time_point until;
};

/// A target in the directory.
struct known_target
{
    /// The last valid announcement.
    target_record record;
    entry_id entry;
    flow_token token;
    state_revision revision;
    /// Whether the newest change announces the target.
    bool is_announced = false;
    /// The newest entry of the target is unusable. It says nothing about whether the
    /// target runs. Only if the target is not announced.
    bool is_unusable = false;
    /// The newest announcement, if it is unusable because the configuration does not name
    /// its service; it is used as soon as one does. Only if is_unusable.
    std::optional<target_record> set_aside;
    /// The store's entry, while that counts as older than what is known; see
    /// held_back_entries.hpp.
    std::optional<held_back_entry> held_back;
    /// When the target was reported gone; only valid if it is not announced.
    time_point gone_since;
    /// The target takes new flows until then although it is gone; only valid if it is not
    /// announced.
    time_point grace_until;
    /// Before then, the missing announcement says nothing about whether the target runs;
    /// only valid if it is not announced.
    time_point missing_from;
    /// False if this index is free.
    bool is_used = false;
    /// Its token stands for another target, so this one takes no new flows.
    bool is_shadowed = false;
    /// The target's data centre is evacuated, so the target takes no new flows.
    bool is_evacuated = false;
    /// The revision of the last announcement, or a later one if is_announcement_older.
    state_revision announced_revision;
    /// The target was gone when it became known: announced_revision is that of its
    /// departure, and when it was announced is unknown.
    bool is_announcement_older = false;
    /// A later target is announced at the same address, so this one has ended and takes
    /// no new flows. Only if addresses are exclusive.
    bool is_replaced = false;
    /// When the first announcement of this start of the target was applied.
    time_point warm_up_since;
    /// The end of the warm-up, never before its true end. It is fixed by the first
    /// announcement of this start; a newer one may only bring it forward.
    time_point warm_up_until;
};

/// The departure of a target of which no announcement has arrived. An older announcement
/// that arrives later adds the target as gone.
struct target_tombstone
{
    target_key key;
    entry_id entry;
    state_revision revision;
    /// See known_target::is_unusable.
    bool is_unusable = false;
    time_point recorded_at;
};

/// The directory. Modify it only with the functions below.
struct target_directory
{
    std::vector<known_target> targets;
    std::vector<target_index> free_indices;
    /// By the entry or, if that is not stated, by the key.
    boost::unordered_flat_map<std::uint64_t, target_index> by_entry;
    /// The target that each token stands for.
    boost::unordered_flat_map<std::uint32_t, target_index> by_token;
    /// The targets with a token that several have.
    boost::unordered_flat_map<std::uint32_t, std::vector<target_index>> token_sharers;
    boost::unordered_flat_map<service_id, std::vector<target_index>,
                              std::hash<service_id>>
        by_service;
    /// Only one target at a time has an address: an address is announced by its next
    /// target only after the previous one has ended.
    bool has_exclusive_addresses = false;
    /// The targets at each address, by the packed endpoint; only if addresses are
    /// exclusive.
    boost::unordered_flat_map<std::uint64_t, std::vector<target_index>> by_address;
    /// The services that the configuration in force names. A target of another service
    /// may come from anyone: it ends no other target.
    service_set named_services;
    /// As by_entry; only for targets that are not in the directory.
    boost::unordered_flat_map<std::uint64_t, target_tombstone> tombstones;
    /// Each target is held as it was in the store at this position or later.
    state_revision position;
    /// The directory knows every change after this one up to \c position. Departures up
    /// to this one may be forgotten or were never known.
    state_revision complete_from;
    /// How many announcements were refused because of max_known_targets.
    std::uint64_t refused_targets = 0;
    /// A target that is reported gone before this time takes new flows until then, unless
    /// it is draining.
    time_point grace_until;
    /// The shared state has been out of reach for so long that a target whose
    /// announcement is missing may have announced itself again.
    bool is_outdated = false;
    /// The number of announcements whose warm-up was longer than max_warm_up.
    std::uint64_t warm_ups_shortened = 0;
};

// Queries.

/// Returns what identifies an entry in target_directory::by_entry.
inline std::uint64_t identity_of(target_key key, entry_id entry)
{
    return entry.value == 0 ? key.value : entry.value;
}

/// Returns the index of the target that \p change is about, or null. An older release
/// doesn't state entries, so one that is not stated may be any entry of the key, and the
/// other way round.
const target_index* find_target(const target_directory& directory,
                                const target_change& change);

/// Returns the index of the target that \p token stands for, or null.
const target_index* find_by_token(const target_directory& directory, flow_token token);

/// Returns the targets of \p service in the directory, including those that take no new
/// flows.
std::span<const target_index> targets_of(const target_directory& directory,
                                         service_id service);

/// Returns how many targets have an unusable entry.
std::size_t count_unusable_targets(const target_directory& directory);

/// Returns whether \p target takes new flows at \p now.
bool takes_new_flows(const known_target& target, time_point now);

// Commands.

/// Applies one change. Returns whether it added or updated a target: an outdated change
/// of a known target does not, nor does the departure of a target of which no
/// announcement is known. An outdated announcement of an unknown target adds it as gone.
bool apply_change(target_directory& directory, const target_change& change,
                  time_point now);

/// Replaces the services that the configuration in force names by \p services.
/// Announcements that were set aside for them are used.
void name_services(target_directory& directory, const service_set& services,
                   time_point now);

/// Marks \p target gone since \p revision.
void mark_gone(const target_directory& directory, known_target& target,
               state_revision revision, time_point now);

/// Records that the shared state is available again after \p outage. The grace period
/// starts if \p outage is at least min_outage_for_expiry.
void record_outage_end(target_directory& directory, duration outage, time_point now);

/// Records that the shared state came back from an older copy, which may lack the
/// announcements of running targets. The grace period starts.
void record_store_return(target_directory& directory, time_point now);

/// Removes targets and tombstones that were reported gone at least gone_target_retention
/// ago. A departure that the position does not include yet stays as a tombstone.
void remove_gone_targets(target_directory& directory, time_point now);

} // namespace kumquatpath

#endif
