#ifndef KUMQUATPATH_DECISION_TARGET_TOMBSTONES_HPP
#define KUMQUATPATH_DECISION_TARGET_TOMBSTONES_HPP

/// \file
/// The departures that a directory knows of targets that it does not hold, and the
/// revision up to which it has forgotten some.

#include <kumquatpath/decision/target_directory.hpp>

namespace kumquatpath
{

/// Records that the directory no longer knows a change of \p revision.
void record_forgotten(target_directory& directory, state_revision revision);

/// Records \p departure unless a newer one of its entry is known. Beyond max_tombstones,
/// it is forgotten at once.
void record_tombstone(target_directory& directory, const target_tombstone& departure);

/// Removes and returns the tombstone of \p entry of the target with \p key. Its revision
/// is 0 if there is none.
target_tombstone take_tombstone(target_directory& directory, target_key key,
                                entry_id entry);

/// Forgets the tombstones that were recorded gone_target_retention ago or earlier. A
/// departure that the position does not include yet stays.
void remove_tombstones(target_directory& directory, time_point now);

} // namespace kumquatpath

#endif
