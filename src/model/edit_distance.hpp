#ifndef KUMQUATPATH_MODEL_EDIT_DISTANCE_HPP
#define KUMQUATPATH_MODEL_EDIT_DISTANCE_HPP

/// \file
/// Suggestions for misspelt names.

#include <span>
#include <string_view>

namespace kumquatpath
{

/// Returns the count of insertions, deletions and replacements of one character that turn
/// \p from into \p to.
std::size_t edit_distance(std::string_view from, std::string_view to);

/// Returns the candidate nearest to \p name, or an empty view when none is near: more
/// than a third of the name, and more than 2 edits, away.
std::string_view nearest_name(std::string_view name,
                              std::span<const std::string_view> candidates);

} // namespace kumquatpath

#endif
