#ifndef KUMQUATPATH_DECISION_EVACUATIONS_HPP
#define KUMQUATPATH_DECISION_EVACUATIONS_HPP

/// \file
/// The data centres that operators have evacuated, as one instance knows them.
///
/// A change takes effect only if its revision is newer than that of its data centre, so
/// changes may arrive in any order, more than once and from any peer. A withdrawn
/// evacuation stays in the table, so that an older change does not bring it back. The
/// table is bounded: a new evacuation then takes the place of the oldest withdrawn one,
/// and is ignored and counted if there is none.

#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/model/state_update.hpp>

#include <cstddef>
#include <optional>

namespace kumquatpath
{

/// The maximum number of data centres in an evacuation_table.
inline constexpr std::size_t max_known_evacuations = 256;

/// The newest known change of the evacuation of a data centre.
struct known_evacuation
{
    evacuation_change change;
    /// What the store has instead since it came back from an older copy. It counts from
    /// held_back_until on unless the store changes it before; see held_back_entries.hpp.
    std::optional<evacuation_change> held_back;
    time_point held_back_until;
    /// When this instance learnt that the evacuation is in force, or that it is
    /// withdrawn; a change that repeats what is known does not move it.
    time_point since;
};

/// The table. Modify it only with the functions below.
struct evacuation_table
{
    boost::unordered_flat_map<data_centre_id, known_evacuation, std::hash<data_centre_id>>
        entries;
    /// Withdrawals up to this revision may have been removed to make room, so
    /// changes_since() is complete only from this revision on.
    state_revision complete_from;
    /// Number of changes that were ignored because the table was full.
    std::uint64_t ignored = 0;
};

// Queries.

/// Returns whether \p data_centre is evacuated.
bool is_evacuated(const evacuation_table& table, data_centre_id data_centre);

/// Returns the evacuations in force, ordered by name.
std::vector<known_evacuation> evacuations_in_force(const evacuation_table& table);

/// Returns the changes that an instance at \p position lacks; position 0 lacks all.
std::vector<evacuation_change> changes_since(const evacuation_table& table,
                                             state_revision position);

/// Returns the name of the data centre of \p change, or its id if the name is unknown.
std::string name_of(const evacuation_change& change);

// Commands.

/// Applies the evacuations in \p update. \p own_position is the position of this instance
/// before the update: it knows every evacuation that is in force there, so an evacuation
/// of that revision or an older one that it does not know is outdated. A whole update
/// that is not older than \p own_position withdraws the evacuations that it lacks.
/// Returns the changes that put an evacuation in force or withdrew one.
std::vector<evacuation_change> apply_evacuations(evacuation_table& table,
                                                 const state_update& update,
                                                 state_revision own_position,
                                                 time_point now);

/// Applies the changes that were held back for long enough. Returns them.
std::vector<evacuation_change> use_held_back_evacuations(evacuation_table& table,
                                                         time_point now);

/// Marks the targets of evacuated data centres and no others, except those of
/// \p excepted; unset: no exception. Call it after each change of \p directory,
/// \p table or \p excepted.
void mark_evacuated_targets(target_directory& directory, const evacuation_table& table,
                            std::optional<data_centre_id> excepted = {});

} // namespace kumquatpath

#endif
