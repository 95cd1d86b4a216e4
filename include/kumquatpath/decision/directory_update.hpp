#ifndef KUMQUATPATH_DECISION_DIRECTORY_UPDATE_HPP
#define KUMQUATPATH_DECISION_DIRECTORY_UPDATE_HPP

/// \file
/// Moves a target directory forward by the updates of the store and of peers, and makes
/// the updates for peers.
///
/// An update states from which position on it is complete. It moves the position of a
/// directory only if the directory lacks nothing that the update does not have. Any other
/// update is merged, but the directory stays at its position.

#include <kumquatpath/decision/target_directory.hpp>
#include <kumquatpath/model/state_update.hpp>

#include <span>
#include <vector>

namespace kumquatpath
{

// Queries.

/// Returns the known changes after \p position, departures included.
std::vector<target_change> changes_since(const target_directory& directory,
                                         state_revision position);

/// Returns what an instance at \p position lacks: the changes since then, or the whole
/// state if not all of them are known any more.
state_update update_since(const target_directory& directory, state_revision position);

// Commands.

/// How many targets an update concerned.
struct update_counts
{
    /// Targets whose known state has a newer revision now.
    std::size_t updated = 0;
    /// Those of them whose state differs from before. A configuration of the native
    /// interface lists all targets anew, and few of them differ.
    std::size_t changed = 0;
};

/// Applies the full state as it was at \p position. Targets that \p listing lacks or
/// reports gone are gone, except those whose last change is at \p position or newer. A
/// listing older than the directory is merged like single changes.
update_counts apply_listing(target_directory& directory,
                            std::span<const target_change> listing,
                            state_revision position, time_point now);

/// The effect of an update.
struct directory_update_result
{
    update_counts targets;
    /// The directory could not move to the position of the update, as the update may lack
    /// changes or is invalid.
    bool is_incomplete = false;
};

/// Applies \p update, which comes from the store or from a peer. The position moves only
/// if the update is whole or is complete from the position or an older one, and is valid.
directory_update_result apply_update(target_directory& directory,
                                     const state_update& update, time_point now);

} // namespace kumquatpath

#endif
