#ifndef KUMQUATPATH_DECISION_HELD_BACK_ENTRIES_HPP
#define KUMQUATPATH_DECISION_HELD_BACK_ENTRIES_HPP

/// \file
/// Entries with which the store came back from an older copy of itself.
///
/// Such an entry may be older than what an instance knows of its target: then what is
/// known stays, and the entry is held back. It is used after copied_entry_delay unless
/// the store's entry changes before. By then a target that has left is removed, and one
/// that runs has announced itself again, so all instances decide by what the store has.

#include <kumquatpath/decision/target_directory.hpp>

namespace kumquatpath
{

/// How long an entry is held back: longer than a target may be silent before its entry is
/// removed.
inline constexpr duration copied_entry_delay = std::chrono::seconds(6);

// Queries.

/// Returns whether an update at \p position is the first one after the store has come
/// back from a copy.
bool is_first_of_era(const target_directory& directory, state_revision position);

/// Returns whether \p change, newer by its revision than what is known of \p target, may
/// be an older entry from a copy.
bool must_hold_back(const target_directory& directory, const known_target& target,
                    const target_change& change);

/// Returns how many entries are held back.
std::size_t count_held_back_entries(const target_directory& directory);

// Commands.

/// Holds back the entry in \p change, which must have a record.
void hold_back(known_target& target, const target_change& change, time_point now);

/// Uses the entries that were held back for long enough. Returns how many.
std::size_t use_held_back_entries(target_directory& directory, time_point now);

} // namespace kumquatpath

#endif
